package server

import (
	"net"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

var discardLogger = &log.Logger{Handler: discard.New()}

// fakeListener accepts with the given errors, in order.
type fakeListener struct {
	net.Listener
	errors []error
}

func (l *fakeListener) Accept() (net.Conn, error) {
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, err
}

func (*fakeListener) Close() error { return nil }

// Guards against connections that exceed the memory of a small node, each with little (FAULT).
func TestConnectionLimitFollowsFromDescriptorsAndMemory(t *testing.T) {
	require.Equal(t, 1536, clientLimit(8000, 144<<20))
	require.Equal(t, 4000, clientLimit(8000, 1<<30))
	require.Equal(t, 100, clientLimit(200, 144<<20))
	require.Equal(t, 1536, clientLimit(0, 144<<20))
	require.Zero(t, clientLimit(0, 0))
}
