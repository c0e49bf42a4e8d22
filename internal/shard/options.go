package shard

import (
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Defaults of Options.
const (
	DefaultReplicas        = 3
	DefaultTickInterval    = 50 * time.Millisecond
	DefaultElectionTimeout = 600 * time.Millisecond
	DefaultRecoverAfter    = 3 * time.Second
	DefaultRowInterval     = time.Second
	DefaultGrowthWait      = 3 * time.Second
	DefaultChangeRate      = 100
	DefaultRebalanceRate   = 5
	DefaultStoreInterval   = 2 * time.Second
	DefaultStoreRate       = 20
	DefaultCompactBytes    = 1 << 20
)

// Options configures a Host. Zero durations, rates and counts take the defaults.
type Options struct {
	Self      member.Member
	Transport peer.Transport
	Mux       *peer.Mux
	// Members returns the present view of the cluster; nil while it is unknown.
	Members  func() *member.View
	Table    outside.Table
	Objects  outside.Objects  // nil: nothing is stored and nothing can be read back
	Machines outside.Machines // nil: no machine is ever known to be gone
	Shards   uint32
	Replicas int
	// NewMachine makes the empty state machine of a shard.
	NewMachine func(id.Shard) Machine
	Observer   LeadershipObserver // may be nil
	Log        log.Interface      // nil discards
	Registerer prometheus.Registerer
	Seed       uint64 // of the election time-outs; zero: from Self

	TickInterval    time.Duration
	ElectionTimeout time.Duration // a group without a leader elects after one to two of them
	RecoverAfter    time.Duration // without a leader, before the loss of the majority is looked into
	RowInterval     time.Duration // between passes that write changed rows behind
	GrowthWait      time.Duration // how long a new group of a node that sees no other waits for one
	ChangeRate      float64       // membership changes a second that repair groups
	RebalanceRate   float64       // changes a second that only move replicas or leaders
	StoreInterval   time.Duration // between passes that store snapshots and tails
	StoreRate       float64       // object-store requests a second
	CompactBytes    int           // of log that a replica holds before it drops the older half
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o *Options) defaults() {
	setDefault(&o.Replicas, DefaultReplicas)
	setDefault(&o.TickInterval, DefaultTickInterval)
	setDefault(&o.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&o.RecoverAfter, DefaultRecoverAfter)
	setDefault(&o.RowInterval, DefaultRowInterval)
	setDefault(&o.GrowthWait, DefaultGrowthWait)
	setDefault(&o.ChangeRate, DefaultChangeRate)
	setDefault(&o.RebalanceRate, DefaultRebalanceRate)
	setDefault(&o.StoreInterval, DefaultStoreInterval)
	setDefault(&o.StoreRate, DefaultStoreRate)
	setDefault(&o.CompactBytes, DefaultCompactBytes)
	setDefault(&o.Seed, uint64(o.Self.Incarnation))
	if o.Log == nil {
		o.Log = &log.Logger{Handler: discard.Default, Level: log.ErrorLevel}
	}
	if o.Observer == nil {
		o.Observer = func(id.Shard, Position, bool) {}
	}
}

func (o *Options) timing() Timing {
	return Timing{Election: o.ElectionTimeout, Resend: 3 * o.TickInterval}
}
