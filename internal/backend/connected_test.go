package backend

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// newConnectableRegistry returns a registry whose workers accept connections.
func newConnectableRegistry(t *testing.T, workers int) *Registry {
	return newTestRegistry(Options{Dial: func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		t.Cleanup(func() { server.Close() })
		return client, nil
	}}, workers)
}

// connect opens a connection to a worker and leaves it idle.
func connect(t *testing.T, registry *Registry, worker string) {
	require.NoError(t, registry.get(worker).Pool().Probe(t.Context()))
}

// Guards against opening new connections for plain requests where an equal worker has one. Model
// calls must still be spread over all workers and stay with their cached context.
func TestOpenConnectionsAreReused(t *testing.T) {
	registry := newConnectableRegistry(t, 14)
	connect(t, registry, "w9")
	first := map[string]bool{}
	for key := range 50 {
		require.Equal(t, "w9", choose(t, registry, Query{Key: fmt.Sprint(key)}), "a plain request")
		first[choose(t, registry, modelCall(func(q *Query) { q.Key = fmt.Sprint(key) }))] = true
	}
	require.Greater(t, len(first), 10, "first turns")
	require.Equal(t, "w3", choose(t, registry, modelCall(func(q *Query) { q.Home = "w3" })))
}

// Guards against overloading a worker just because a connection to it is open.
func TestBusyWorkerIsAvoidedDespiteOpenConnection(t *testing.T) {
	registry := newConnectableRegistry(t, 14)
	connect(t, registry, "w9")
	for range 20 {
		registry.get("w9").Begin()
	}
	require.NotEqual(t, "w9", choose(t, registry, Query{Key: "r"}))
}
