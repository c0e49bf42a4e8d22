// Package quarantine identifies the work of requests over all tries of their clients.
package quarantine
