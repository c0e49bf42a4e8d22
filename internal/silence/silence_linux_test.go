package silence

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLimitsFollowTheWayAndTheSettings(t *testing.T) {
	const fresh, grace = 3 * time.Second, 8 * time.Second
	near, far := 2*time.Millisecond, 100*time.Millisecond
	require.Equal(t, 606*time.Millisecond, ForNodes(fresh).Unacknowledged(near))
	require.Equal(t, 900*time.Millisecond, ForTable(fresh).Unacknowledged(far), "longer for far ways")
	require.Equal(t, 500*time.Millisecond, ForTable(time.Second).Unacknowledged(far), "within the settings' bound")
	require.Equal(t, 3030*time.Millisecond, ForWorkers(fresh).Unacknowledged(near))
	require.GreaterOrEqual(t, ForWorkers(time.Second).Unacknowledged(near), 3000*time.Millisecond, "no short loss breaks what cannot be repeated")
	require.Equal(t, 3200*time.Millisecond, ForWorkers(fresh).Unread)
	require.Equal(t, grace, ForClients(fresh, grace).Unacknowledged(near))
	require.Equal(t, ForNodes(3*time.Second), ForNodes(0), "settings that say nothing")
	require.Zero(t, Limits{}.Unacknowledged(near))
}

// pair is both ends of a connection.
func pair(t *testing.T, guard Guard) (dialed, accepted net.Conn) {
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

func option(t *testing.T, connection net.Conn, name int) int {
	control, err := connection.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	var value int
	var failure error
	require.NoError(t, control.Control(func(descriptor uintptr) {
		value, failure = syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, name)
	}))
	require.NoError(t, failure)
	return value
}

func TestConnectionsAreHeldToTheirLimits(t *testing.T) {
	guard := Guard{Limits: ForWorkers(0)}
	dialed, accepted := pair(t, guard)
	require.Equal(t, 3000, option(t, accepted, tcpUserTimeout), "of the listener")
	guard.Protect(dialed, time.Millisecond)
	require.Equal(t, 3015, option(t, dialed, tcpUserTimeout))
	require.Equal(t, 1, option(t, dialed, syscall.TCP_KEEPIDLE))
	require.Equal(t, 1, option(t, dialed, syscall.TCP_KEEPINTVL))
	require.Equal(t, probesUnanswered, option(t, dialed, syscall.TCP_KEEPCNT))
	guard.Stretch(dialed)
	require.Equal(t, 3200, option(t, dialed, tcpUserTimeout))
}

func TestZeroGuardChangesNothing(t *testing.T) {
	dialed, _ := pair(t, Guard{})
	before := option(t, dialed, syscall.TCP_KEEPIDLE)
	Guard{}.Protect(dialed, time.Millisecond)
	Guard{}.Stretch(dialed)
	Guard{}.Count()
	require.Zero(t, option(t, dialed, tcpUserTimeout))
	require.Equal(t, before, option(t, dialed, syscall.TCP_KEEPIDLE))
}

func TestRefusedLimitIsTold(t *testing.T) {
	dialed, _ := pair(t, Guard{})
	var told error
	Guard{Limits: Limits{Idle: time.Second, Every: time.Second, Probes: 1 << 20}, Unguarded: func(err error) { told = err }}.Protect(dialed, 0)
	require.ErrorIs(t, told, syscall.EINVAL)
}

// TestArrivedBytesAreKnown: what the peer's kernel has acknowledged is not waiting, though
// nobody reads it; what the peer has no room for is.
func TestArrivedBytesAreKnown(t *testing.T) {
	dialed, accepted := pair(t, Guard{})
	_, err := dialed.Write([]byte("x"))
	require.NoError(t, err)
	_, err = accepted.Read(make([]byte, 1))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		arrival, known := ArrivalOf(dialed)
		return known && !arrival.Waiting && arrival.Acknowledged > 0
	}, 10*time.Second, time.Millisecond)
	go func() { _, _ = dialed.Write(make([]byte, 64<<20)) }()
	require.Eventually(t, func() bool {
		arrival, known := ArrivalOf(dialed)
		return known && arrival.Waiting
	}, 10*time.Second, time.Millisecond)
	ours, _ := net.Pipe()
	_, known := ArrivalOf(ours)
	require.False(t, known)
}

func TestOnlyTheKernelsTimeOutIsSilence(t *testing.T) {
	require.True(t, Broken(&net.OpError{Op: "read", Err: syscall.ETIMEDOUT}))
	require.False(t, Broken(&net.OpError{Op: "read", Err: syscall.ECONNRESET}))
	require.False(t, Broken(nil))
}

// TestAcknowledgementsAreGivenTheTimeThatTheyWereSeenToTake: bytes written a moment ago are on
// their way, also where the kernel of a slow machine acknowledges late.
func TestAcknowledgementsAreGivenTheTimeThatTheyWereSeenToTake(t *testing.T) {
	begun := time.Now()
	at := func(after time.Duration) time.Time { return begun.Add(after) }
	quick := Arrival{Waiting: true, Acknowledged: 10, RoundTrip: time.Millisecond, Variation: time.Millisecond}
	var a Acknowledgements
	require.False(t, a.overdue(quick, at(0)), "written just now")
	require.False(t, a.overdue(quick, at(longestDelay)), "the peer's kernel may keep its word back")
	require.True(t, a.overdue(quick, at(longestDelay+10*time.Millisecond)))

	progress := quick
	progress.Acknowledged++
	require.False(t, a.overdue(progress, at(longestDelay+10*time.Millisecond)), "others are waiting now")
	require.True(t, a.overdue(progress, at(2*longestDelay+20*time.Millisecond)))

	require.False(t, a.overdue(Arrival{Acknowledged: 12}, at(200*time.Millisecond)), "all have arrived")
	require.False(t, a.overdue(quick, at(300*time.Millisecond)), "what is written later waits anew")

	slow := quick
	slow.RoundTrip, slow.Variation = 80*time.Millisecond, 50*time.Millisecond
	slow.SinceSent = 300 * time.Millisecond
	require.False(t, new(Acknowledgements).overdue(slow, at(0)), "its acknowledgements took as long before")
	quick.SinceSent = slow.SinceSent
	require.True(t, new(Acknowledgements).overdue(quick, at(0)), "sent long before the first look")
}
