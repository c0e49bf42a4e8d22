package member

import (
	"math"
	"time"
)

// Timing holds the intervals and bounds of the protocol. Zero fields take the
// defaults, which suit nodes within one continent.
type Timing struct {
	ProbeInterval     time.Duration // between two probes of a node; default 500 ms
	ProbeTimeout      time.Duration // of one probe, for a healthy node; default 500 ms
	GossipInterval    time.Duration // between bursts while there is news, and of Tick; default 100 ms
	SyncInterval      time.Duration // between comparisons of whole tables; default 30 s
	SeedInterval      time.Duration // between looks at the platform's list; default 60 s
	DeadProbeInterval time.Duration // between probes of some dead node; default 5 s
	DeadRetention     time.Duration // for which dead nodes are remembered; default 2 h
	SuspicionBase     time.Duration // shortest suspicion, before the part that grows with the cluster; default 2 s
	RefusedBase       time.Duration // the same, where nothing listens at the address any more; default 500 ms
}

// Fixed bounds of the protocol.
const (
	relayCount          = 3  // nodes asked to probe indirectly
	neededConfirmations = 3  // further suspects' names that shorten a suspicion fully
	gossipFanout        = 3  // nodes told in each burst
	burstAllowance      = 60 // messages of gossip that a quiet node may send at once
	burstRefill         = 6  // further messages of gossip a second
	maxUpdates          = 16 // updates in one probe or piece of gossip
	maxAnswerUpdates    = 4  // updates in the answer, which mostly goes to a node that knows them
	maxHealth           = 8  // worst score of local health
	longestSuspicion    = 3  // times the shortest
	pauseFactor         = 4  // gossip intervals without a Tick that count as a pause of this process; less than a probe's timeout
)

// Defaults of Timing.
const (
	defaultProbeInterval     = 500 * time.Millisecond
	defaultProbeTimeout      = 500 * time.Millisecond
	defaultGossipInterval    = 100 * time.Millisecond
	defaultSyncInterval      = 30 * time.Second
	defaultSeedInterval      = time.Minute
	defaultDeadProbeInterval = 5 * time.Second
	defaultDeadRetention     = 2 * time.Hour
	defaultSuspicionBase     = 2 * time.Second
	defaultRefusedBase       = 500 * time.Millisecond
)

func (t Timing) withDefaults() Timing {
	setDefault(&t.ProbeInterval, defaultProbeInterval)
	setDefault(&t.ProbeTimeout, defaultProbeTimeout)
	setDefault(&t.GossipInterval, defaultGossipInterval)
	setDefault(&t.SyncInterval, defaultSyncInterval)
	setDefault(&t.SeedInterval, defaultSeedInterval)
	setDefault(&t.DeadProbeInterval, defaultDeadProbeInterval)
	setDefault(&t.DeadRetention, defaultDeadRetention)
	setDefault(&t.SuspicionBase, defaultSuspicionBase)
	setDefault(&t.RefusedBase, defaultRefusedBase)
	return t
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// transmitLimit is how often a node passes on one update in a cluster of nodes.
// With fewer, a node in a few hundred would miss it and wait for an exchange.
func transmitLimit(nodes int) int {
	return 5 + int(math.Ceil(math.Log(float64(nodes+1))))
}

// shortestSuspicion is how long a fully confirmed suspicion lasts: long enough
// for the news to reach the suspect and its refutation to come back.
func (t Timing) shortestSuspicion(nodes int) time.Duration {
	spread := 2 * math.Log2(float64(nodes+1)) * float64(t.GossipInterval)
	return t.SuspicionBase + time.Duration(spread)
}

// refusedSuspicion is how long a suspicion lasts where the process is surely
// gone: until a restarted one has had time to make itself known.
func (t Timing) refusedSuspicion(nodes int) time.Duration {
	spread := math.Log2(float64(nodes+1)) * float64(t.GossipInterval)
	return t.RefusedBase + time.Duration(spread)
}
