// Package deadconn detects dead TCP connections, whose peer or network path is gone without a
// close. It makes the kernel break connections whose bytes stay unacknowledged (TCP_USER_TIMEOUT)
// and probe idle ones (keep-alive). A slow peer isn't affected, since its kernel acknowledges.
package deadconn

import "time"

// Limits are the timeouts for connections of one kind. The zero value keeps the kernel's defaults,
// which take many minutes.
type Limits struct {
	// Transmissions is how often bytes are sent without an acknowledgement before the connection
	// is broken; 0: only MaxUnacknowledged applies.
	Transmissions int
	// MaxUnacknowledged is the maximum time that bytes may stay unacknowledged; 0: no limit.
	MaxUnacknowledged time.Duration
	// MaxUnread is how long the peer may stop reading within a long message, for Guard.AllowSlowRead; 0:
	// no longer than usual. The kernel also counts bytes that don't fit the peer's receive window
	// as unacknowledged.
	MaxUnread time.Duration
	// Idle is the time without traffic before the first keep-alive probe, Interval the time
	// between probes, and Probes the number that may stay unanswered. The kernel supports whole
	// seconds only. Idle 0: no probes.
	Idle, Interval time.Duration
	Probes         int
}

const (
	// minRetransmissionTimeout is the kernel's timeout before the first retransmission at a short
	// round trip; it doubles with each one.
	minRetransmissionTimeout = 200 * time.Millisecond
	// defaultRecovery applies if the settings give no recovery time.
	defaultRecovery = 3 * time.Second
	// minProbeInterval is the shortest keep-alive time that the kernel supports.
	minProbeInterval = time.Second
)

const (
	// shortTransmissions applies to calls between nodes and to the table, which are soon retried
	// over another connection: two transmissions (0.6 s at a short round trip).
	shortTransmissions = 2
	// longTransmissions applies to requests to workers, which may not be repeatable: four
	// transmissions (3 s at a short round trip) survive a link that is down for 2 s. The kernel
	// applies this limit to idle connections too, instead of the number of probes: with three
	// transmissions (1.4 s) one lost probe would break a request that its worker still processes.
	longTransmissions = 4
	// recoveryDivisor limits the timeout to half of the recovery time, however long the round
	// trip, so that the other half is left for the next connection.
	recoveryDivisor = 2
	// maxUnansweredProbes is the number of unanswered probes that break an idle connection.
	maxUnansweredProbes = 2
)

// ForNodes returns the limits of connections between nodes. recovery is how soon a node must be
// reachable again after a fault; 0 means 3 s.
func ForNodes(recovery time.Duration) Limits { return shortLimits(recovery) }

// ForTable returns the limits of connections to the table, the store that all nodes share. recovery
// is as in ForNodes.
func ForTable(recovery time.Duration) Limits { return shortLimits(recovery) }

func shortLimits(recovery time.Duration) Limits {
	return Limits{
		Transmissions:     shortTransmissions,
		MaxUnacknowledged: orDefault(recovery) / recoveryDivisor,
		Idle:              minProbeInterval, Interval: minProbeInterval, Probes: maxUnansweredProbes,
	}
}

// ForWorkers returns the limits of connections to workers. recovery is as in ForNodes; a worker
// may take all of it to read a long body.
func ForWorkers(recovery time.Duration) Limits {
	return Limits{
		Transmissions:     longTransmissions,
		MaxUnacknowledged: max(orDefault(recovery), minRetransmissionTimeout<<longTransmissions),
		MaxUnread:         max(orDefault(recovery), minRetransmissionTimeout<<longTransmissions),
		Idle:              minProbeInterval, Interval: minProbeInterval, Probes: maxUnansweredProbes,
	}
}

// ForClients returns the limits of client connections. A client that stops reading is disconnected
// after grace, the time that a planned shutdown would wait for it. An idle one is probed after
// recovery, which is as in ForNodes.
func ForClients(recovery, grace time.Duration) Limits {
	return Limits{
		MaxUnacknowledged: grace,
		Idle:              max(orDefault(recovery), minProbeInterval), Interval: minProbeInterval, Probes: maxUnansweredProbes,
	}
}

// orDefault returns recovery, or defaultRecovery if it isn't set.
func orDefault(recovery time.Duration) time.Duration {
	if recovery <= 0 {
		return defaultRecovery
	}
	return recovery
}

// UserTimeout returns how long bytes may stay unacknowledged on a connection with this round trip;
// 0: no limit.
func (l Limits) UserTimeout(roundTrip time.Duration) time.Duration {
	if l.Transmissions == 0 {
		return l.MaxUnacknowledged
	}
	backoffUnits := time.Duration(1<<l.Transmissions - 1) // 1+2+4+... retransmission timeouts
	timeout := backoffUnits * (minRetransmissionTimeout + roundTrip)
	if l.MaxUnacknowledged > 0 {
		return min(timeout, l.MaxUnacknowledged)
	}
	return timeout
}
