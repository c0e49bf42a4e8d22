package backend

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// connectable is a registry whose workers take connections.
func connectable(t *testing.T, workers int) *Registry {
	return registryOf(Options{Dial: func(context.Context, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { theirs.Close() })
		return ours, nil
	}}, workers)
}

// connect leaves an idle connection to a worker.
func connect(t *testing.T, registry *Registry, worker string) {
	require.NoError(t, registry.get(worker).Pool().Reach(t.Context()))
}

// TestOpenConnectionsAreUsedAgain: of workers that are alike, a node asks those to which it is
// connected for plain requests. Model calls are spread over all, and stay where their context
// lies.
func TestOpenConnectionsAreUsedAgain(t *testing.T) {
	registry := connectable(t, 14)
	connect(t, registry, "w9")
	first := map[string]bool{}
	for key := range 50 {
		require.Equal(t, "w9", choose(t, registry, Query{Key: fmt.Sprint(key)}), "a plain request")
		first[choose(t, registry, turn(func(q *Query) { q.Key = fmt.Sprint(key) }))] = true
	}
	require.Greater(t, len(first), 10, "first turns")
	require.Equal(t, "w3", choose(t, registry, turn(func(q *Query) { q.Home = "w3" })))
}

// TestBusyWorkerIsNoBargain: what many of this node's requests wait at a worker for is more
// than a new connection.
func TestBusyWorkerIsNoBargain(t *testing.T) {
	registry := connectable(t, 14)
	connect(t, registry, "w9")
	for range 20 {
		registry.get("w9").Begin()
	}
	require.NotEqual(t, "w9", choose(t, registry, Query{Key: "r"}))
}
