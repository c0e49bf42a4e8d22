// Package localcluster runs nodes and stand-ins of everything outside them in
// one process on loopback, for the demo, the load tool and integration tests.
package localcluster
