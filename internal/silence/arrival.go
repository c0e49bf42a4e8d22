package silence

import (
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// delayedAcknowledgement is for how long a peer's kernel may keep an acknowledgement back, waiting
	// for bytes to send it with, and longestDelay how late that may be where its timers are late.
	delayedAcknowledgement = 40 * time.Millisecond
	longestDelay           = 2 * delayedAcknowledgement
	// variations of the round trip are allowed for beyond it, as TCP does before it sends again.
	variations = 4
)

// Arrival is what the kernel knows of the bytes written to a connection.
type Arrival struct {
	Waiting      bool          // some are not acknowledged by the peer's kernel
	Acknowledged uint64        // how many are, since the connection was opened
	SinceSent    time.Duration // since bytes were last sent
	// RoundTrip is how long acknowledgements were lately seen to take, and Variation by how much
	// that differs from one to the next.
	RoundTrip, Variation time.Duration
}

// usual is how long an acknowledgement may be expected to take.
func (a Arrival) usual() time.Duration {
	return a.RoundTrip + variations*a.Variation + longestDelay
}

// ArrivalOf asks the kernel. known is false where it does not tell.
func ArrivalOf(connection net.Conn) (arrival Arrival, known bool) {
	raw, ok := connection.(syscall.Conn)
	if !ok {
		return Arrival{}, false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Arrival{}, false
	}
	var failure error
	err = control.Control(func(descriptor uintptr) { arrival, failure = arrivalOf(descriptor) })
	return arrival, err == nil && failure == nil
}

// Acknowledgements follows what a connection's peer acknowledges, from one look to the next. Its
// zero value is ready; it is safe for concurrent use.
type Acknowledgements struct {
	mutex   sync.Mutex
	count   uint64    // of bytes acknowledged at the last look
	waiting time.Time // when a look first found bytes waiting beyond these; zero: none did
}

// Overdue reports whether bytes written to a connection wait for its peer's acknowledgement for longer
// than its acknowledgements were seen to take. Bytes that were written a moment ago are not
// overdue. It is false where the kernel does not tell.
func (a *Acknowledgements) Overdue(connection net.Conn) bool {
	seen, known := ArrivalOf(connection)
	return known && a.overdue(seen, time.Now())
}

func (a *Acknowledgements) overdue(seen Arrival, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !seen.Waiting {
		a.waiting = time.Time{}
		return false
	}
	if a.waiting.IsZero() || seen.Acknowledged != a.count {
		a.count, a.waiting = seen.Acknowledged, now
	}
	waited := max(now.Sub(a.waiting), seen.SinceSent)
	return waited > seen.usual()
}
