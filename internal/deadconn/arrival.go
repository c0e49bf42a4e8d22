package deadconn

import (
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// delayedAckTimeout is how long the peer's kernel may delay an acknowledgement, and
	// maxAckDelay the allowance for it, which covers late timers.
	delayedAckTimeout = 40 * time.Millisecond
	maxAckDelay       = 2 * delayedAckTimeout
	// variationFactor is the number of round-trip variations allowed for beyond the round trip, as
	// in TCP's retransmission timeout.
	variationFactor = 4
)

// SendState is the kernel's state of the bytes written to a connection.
type SendState struct {
	Unacknowledged    bool          // bytes are not yet acknowledged by the peer's kernel
	BytesAcknowledged uint64        // since the connection was opened
	SinceLastSend     time.Duration // since the kernel last sent data
	// RoundTrip and RoundTripVariation are the kernel's smoothed estimates.
	RoundTrip, RoundTripVariation time.Duration
}

// expectedAckTime returns how long an acknowledgement may take before it is overdue.
func (s SendState) expectedAckTime() time.Duration {
	return s.RoundTrip + variationFactor*s.RoundTripVariation + maxAckDelay
}

// SendStateOf reads a connection's state from the kernel. known is false if it is unavailable.
func SendStateOf(connection net.Conn) (state SendState, known bool) {
	raw, ok := connection.(syscall.Conn)
	if !ok {
		return SendState{}, false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return SendState{}, false
	}
	var sockErr error
	err = control.Control(func(descriptor uintptr) { state, sockErr = sendStateOf(descriptor) })
	return state, err == nil && sockErr == nil
}

// Acknowledgements tracks a connection's acknowledgements across checks. Its zero value is ready
// for use; it is safe for concurrent use.
type Acknowledgements struct {
	mutex        sync.Mutex
	acknowledged uint64    // bytes acknowledged at the last check
	waitingSince time.Time // first check that saw bytes beyond these unacknowledged; zero: none did
}

// Overdue reports whether written bytes have stayed unacknowledged for longer than the connection's
// measured round trips explain. It returns false for bytes written a moment ago, and where the
// kernel's state is unavailable.
func (a *Acknowledgements) Overdue(connection net.Conn) bool {
	seen, known := SendStateOf(connection)
	return known && a.overdue(seen, time.Now())
}

func (a *Acknowledgements) overdue(seen SendState, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !seen.Unacknowledged {
		a.waitingSince = time.Time{}
		return false
	}
	if a.waitingSince.IsZero() || seen.BytesAcknowledged != a.acknowledged {
		a.acknowledged, a.waitingSince = seen.BytesAcknowledged, now
	}
	waited := max(now.Sub(a.waitingSince), seen.SinceLastSend)
	return waited > seen.expectedAckTime()
}
