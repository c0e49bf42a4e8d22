package deadconn

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Guard applies limits to connections of one kind. Its zero value does nothing.
type Guard struct {
	Limits
	// OnDeadConnection is called for each connection that is abandoned as dead; may be nil.
	OnDeadConnection func()
	// OnOptionError is called with the error if the kernel rejects a socket option; may be nil.
	OnOptionError func(error)
}

// Apply applies the limits to a new connection. roundTrip is how long the connection took
// to open; 0 means unknown. Connections other than TCP are left unchanged.
func (g Guard) Apply(connection net.Conn, roundTrip time.Duration) {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return
	}
	if timeout := g.UserTimeout(roundTrip); timeout > 0 {
		g.report(setUserTimeout(tcp, timeout))
	}
	if g.Idle > 0 {
		g.report(tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: g.Idle, Interval: g.Interval, Count: g.Probes}))
	}
}

// AllowSlowRead raises the user timeout of a protected connection to MaxUnread, so that its peer has time
// to read a long message. It does nothing if MaxUnread isn't longer.
func (g Guard) AllowSlowRead(connection net.Conn) {
	tcp, ok := connection.(*net.TCPConn)
	if !ok || g.MaxUnread <= g.UserTimeout(0) {
		return
	}
	g.report(setUserTimeout(tcp, g.MaxUnread))
}

func (g Guard) report(err error) {
	if err != nil && g.OnOptionError != nil && !errors.Is(err, net.ErrClosed) {
		g.OnOptionError(err)
	}
}

// ReportDead reports a connection that is abandoned as dead to OnDeadConnection, if set.
func (g Guard) ReportDead() {
	if g.OnDeadConnection != nil {
		g.OnDeadConnection()
	}
}

// IsTimeout reports whether err is the kernel's timeout of a dead connection (ETIMEDOUT).
func IsTimeout(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }

// Listener applies a guard to each connection that it accepts.
type Listener struct {
	net.Listener
	Guard Guard
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err == nil {
		l.Guard.Apply(connection, 0)
	}
	return connection, err
}
