package deadconn

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against timeouts that are too short for long round trips, or longer than the settings
// permit.
func TestLimitsFollowRoundTripAndSettings(t *testing.T) {
	const recovery, grace = 3 * time.Second, 8 * time.Second
	shortRTT, longRTT := 2*time.Millisecond, 100*time.Millisecond
	require.Equal(t, 606*time.Millisecond, ForNodes(recovery).UserTimeout(shortRTT))
	require.Equal(t, 900*time.Millisecond, ForTable(recovery).UserTimeout(longRTT), "scales with the round trip")
	require.Equal(t, 500*time.Millisecond, ForTable(time.Second).UserTimeout(longRTT), "limited by the settings")
	require.Equal(t, 3030*time.Millisecond, ForWorkers(recovery).UserTimeout(shortRTT))
	require.GreaterOrEqual(t, ForWorkers(time.Second).UserTimeout(shortRTT), 3000*time.Millisecond, "a short outage must not break requests that cannot be repeated")
	require.Equal(t, 3200*time.Millisecond, ForWorkers(recovery).MaxUnread)
	require.Equal(t, grace, ForClients(recovery, grace).UserTimeout(shortRTT))
	require.Equal(t, ForNodes(3*time.Second), ForNodes(0), "default recovery time")
	require.Zero(t, Limits{}.UserTimeout(shortRTT))
}

// connect returns both ends of a connection; the accepted one is guarded.
func connect(t *testing.T, guard Guard) (dialed, accepted net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialed, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { dialed.Close() })
	accepted, err = Listener{Listener: listener, Guard: guard}.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { accepted.Close() })
	return dialed, accepted
}

func tcpOption(t *testing.T, connection net.Conn, name int) int {
	control, err := connection.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	var value int
	var sockErr error
	require.NoError(t, control.Control(func(descriptor uintptr) {
		value, sockErr = syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, name)
	}))
	require.NoError(t, sockErr)
	return value
}

// Guards against connections without the timeouts of their kind.
func TestGuardSetsSocketOptions(t *testing.T) {
	guard := Guard{Limits: ForWorkers(0)}
	dialed, accepted := connect(t, guard)
	require.Equal(t, 3000, tcpOption(t, accepted, tcpUserTimeout), "set by the listener")
	guard.Apply(dialed, time.Millisecond)
	require.Equal(t, 3015, tcpOption(t, dialed, tcpUserTimeout))
	require.Equal(t, 1, tcpOption(t, dialed, syscall.TCP_KEEPIDLE))
	require.Equal(t, 1, tcpOption(t, dialed, syscall.TCP_KEEPINTVL))
	require.Equal(t, maxUnansweredProbes, tcpOption(t, dialed, syscall.TCP_KEEPCNT))
	guard.AllowSlowRead(dialed)
	require.Equal(t, 3200, tcpOption(t, dialed, tcpUserTimeout))
}

// Guards against a zero Guard that modifies connections.
func TestZeroGuardChangesNothing(t *testing.T) {
	dialed, _ := connect(t, Guard{})
	before := tcpOption(t, dialed, syscall.TCP_KEEPIDLE)
	Guard{}.Apply(dialed, time.Millisecond)
	Guard{}.AllowSlowRead(dialed)
	Guard{}.ReportDead()
	require.Zero(t, tcpOption(t, dialed, tcpUserTimeout))
	require.Equal(t, before, tcpOption(t, dialed, syscall.TCP_KEEPIDLE))
}

// Guards against ignoring a socket option that the kernel rejects.
func TestRejectedSocketOptionIsReported(t *testing.T) {
	dialed, _ := connect(t, Guard{})
	var reported error
	Guard{Limits: Limits{Idle: time.Second, Interval: time.Second, Probes: 1 << 20}, OnOptionError: func(err error) { reported = err }}.Apply(dialed, 0)
	require.ErrorIs(t, reported, syscall.EINVAL)
}

// Guards against treating unread bytes as unacknowledged although the peer's kernel has
// acknowledged them, and against missing bytes that exceed its receive window.
func TestSendStateTracksAcknowledgements(t *testing.T) {
	dialed, accepted := connect(t, Guard{})
	_, err := dialed.Write([]byte("x"))
	require.NoError(t, err)
	_, err = accepted.Read(make([]byte, 1))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		state, known := SendStateOf(dialed)
		return known && !state.Unacknowledged && state.BytesAcknowledged > 0
	}, 10*time.Second, time.Millisecond)
	go func() { _, _ = dialed.Write(make([]byte, 64<<20)) }()
	require.Eventually(t, func() bool {
		state, known := SendStateOf(dialed)
		return known && state.Unacknowledged
	}, 10*time.Second, time.Millisecond)
	pipe, _ := net.Pipe()
	_, known := SendStateOf(pipe)
	require.False(t, known)
}

// Guards against mistaking other connection errors for a dead connection.
func TestOnlyKernelTimeoutsCountAsBroken(t *testing.T) {
	require.True(t, IsTimeout(&net.OpError{Op: "read", Err: syscall.ETIMEDOUT}))
	require.False(t, IsTimeout(&net.OpError{Op: "read", Err: syscall.ECONNRESET}))
	require.False(t, IsTimeout(nil))
}

// Guards against declaring bytes overdue that are still in flight, for example where a slow peer
// acknowledges late.
func TestOverdueAllowsForMeasuredRoundTrips(t *testing.T) {
	start := time.Now()
	at := func(after time.Duration) time.Time { return start.Add(after) }
	fast := SendState{Unacknowledged: true, BytesAcknowledged: 10, RoundTrip: time.Millisecond, RoundTripVariation: time.Millisecond}
	var a Acknowledgements
	require.False(t, a.overdue(fast, at(0)), "first check")
	require.False(t, a.overdue(fast, at(maxAckDelay)), "delayed acknowledgement")
	require.True(t, a.overdue(fast, at(maxAckDelay+10*time.Millisecond)))

	progress := fast
	progress.BytesAcknowledged++
	require.False(t, a.overdue(progress, at(maxAckDelay+10*time.Millisecond)), "newer bytes restart the wait")
	require.True(t, a.overdue(progress, at(2*maxAckDelay+20*time.Millisecond)))

	require.False(t, a.overdue(SendState{BytesAcknowledged: 12}, at(200*time.Millisecond)), "all bytes acknowledged")
	require.False(t, a.overdue(fast, at(300*time.Millisecond)), "later bytes start a new wait")

	slow := fast
	slow.RoundTrip, slow.RoundTripVariation = 80*time.Millisecond, 50*time.Millisecond
	slow.SinceLastSend = 300 * time.Millisecond
	require.False(t, new(Acknowledgements).overdue(slow, at(0)), "long measured round trips")
	fast.SinceLastSend = slow.SinceLastSend
	require.True(t, new(Acknowledgements).overdue(fast, at(0)), "sent long before the first check")
}
