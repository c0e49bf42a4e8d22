package inbound

import (
	"net"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
)

// maxUnreadBytes bounds what the kernel holds of a connection's bytes that have arrived and are not read yet. These bytes are memory of the
// process on machines that count them.
const maxUnreadBytes = 32 << 10

// boundUnread bounds the bytes of a connection that have arrived and are not read yet, if its network can.
func (c *Connections) boundUnread(conn net.Conn) {
	bounded, ok := conn.(interface{ SetReadBuffer(bytes int) error })
	if !ok {
		return
	}
	if err := bounded.SetReadBuffer(maxUnreadBytes); err != nil {
		c.unboundedOnce.Do(func() {
			c.options.Logger.WithError(err).WithField("listener", c.options.Listener).Warn("cannot bound the unread bytes of connections; the kernel's own bound holds")
		})
	}
}

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
			l.connections.boundUnread(conn)
			return connection, nil
		}
		if err := conn.Close(); err != nil {
			l.connections.options.Logger.WithError(err).Warn("cannot close a connection for which there is no room")
		}
	}
}
