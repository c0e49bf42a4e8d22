// Package node assembles one cloverwheel process: it wires membership, shards
// and roles to their listeners and to the platform, announces the process, and
// stops it without cutting off requests.
package node
