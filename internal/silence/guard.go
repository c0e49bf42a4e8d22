package silence

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Guard holds connections of one kind to their limits. Its zero value does nothing.
type Guard struct {
	Limits
	// GivenUp counts connections that were given up as silent; may be nil.
	GivenUp func()
	// Unguarded is told when the kernel does not take a limit; may be nil.
	Unguarded func(error)
}

// Protect puts a new connection under the limits. way is how long it took to open, which is
// once there and back; 0: not known. Connections other than TCP's stay as they are.
func (g Guard) Protect(connection net.Conn, way time.Duration) {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return
	}
	if bound := g.Unacknowledged(way); bound > 0 {
		g.report(setUnacknowledged(tcp, bound))
	}
	if g.Idle > 0 {
		g.report(tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: g.Idle, Interval: g.Every, Count: g.Probes}))
	}
}

// Stretch gives the peer of a protected connection the time to read a long message.
func (g Guard) Stretch(connection net.Conn) {
	tcp, ok := connection.(*net.TCPConn)
	if !ok || g.Unread <= g.Unacknowledged(0) {
		return
	}
	g.report(setUnacknowledged(tcp, g.Unread))
}

func (g Guard) report(err error) {
	if err != nil && g.Unguarded != nil && !errors.Is(err, net.ErrClosed) {
		g.Unguarded(err)
	}
}

// Count counts a connection that was given up as silent.
func (g Guard) Count() {
	if g.GivenUp != nil {
		g.GivenUp()
	}
}

// Broken reports whether an error is the kernel's word that a connection has fallen silent.
func Broken(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }

// Listener puts the connections that it accepts under a guard's limits.
type Listener struct {
	net.Listener
	Guard Guard
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err == nil {
		l.Guard.Protect(connection, 0)
	}
	return connection, err
}
