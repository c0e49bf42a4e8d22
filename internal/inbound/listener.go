package inbound

import (
	"net"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
)

// Listen wraps a listener, so that its connections are bounded. The guard detects dead connections.
func (c *Connections) Listen(listener net.Listener, guard deadconn.Guard) net.Listener {
	return &boundedListener{Listener: deadconn.Listener{Listener: listener, Guard: guard}, connections: c}
}

type boundedListener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener. It closes connections for which there is no room, and records whether the last Accept succeeded.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		now := time.Now()
		if err != nil {
			l.connections.acceptFailed.Store(&now)
			return conn, err
		}
		l.connections.acceptFailed.Store(nil)
		if connection := l.connections.add(conn, now); connection != nil {
			return connection, nil
		}
		if err := conn.Close(); err != nil {
			l.connections.options.Logger.WithError(err).Warn("cannot close a connection for which there is no room")
		}
	}
}
