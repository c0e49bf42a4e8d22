package admit

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Name is an admission policy's stable name.
type Name string

// The admission policies.
const (
	// FirstCome lets calls in by order of arrival while memory lasts, and sheds
	// nothing. It is the baseline.
	FirstCome Name = "first_come"
	// WholeProgram orders by what shortens whole programs.
	WholeProgram Name = "whole_program"
)

// Names lists all policies, baselines first.
var Names = []Name{FirstCome, WholeProgram}

// Options choose a policy, switch its single mechanisms off, and set its limits.
type Options struct {
	Policy Name // empty: WholeProgram
	// Switches for ablations.
	NoFairShares bool // tenants are not balanced
	NoAttained   bool // the program's service so far does not count
	NoRemaining  bool // the estimate of its remaining work does not count
	NoAge        bool // the program's age does not count
	NoLaterFirst bool // later turns do not go before first calls
	NoDeadline   bool // deadlines do not count
	NoBackfill   bool // nothing is let in past a call that does not fit
	NoShedding   bool // nothing is refused for load
	NoWorkingSet bool // first calls may push out the context of paused programs
	// StarvationBound is the wait after which a call goes first; zero: 45 s.
	StarvationBound time.Duration
	// QueueLimit is the expected wait beyond which first calls are shed; zero: 15 s.
	QueueLimit time.Duration
	// LaterQueueLimit is the same for later turns; zero: eight times QueueLimit.
	LaterQueueLimit time.Duration
	// MaxRunning bounds the calls in the batch; zero: 256.
	MaxRunning int
	// PrefillWindow is the prefill that may be outstanding in the batch before
	// more is let in, in tokens; zero: 4,096; negative: no bound. A short window
	// leaves the order to this package rather than to the engine.
	PrefillWindow int
	// MaxPending bounds the calls in the batch that have not come to their first
	// token, which wait in the engine's own queue or are prefilled; zero: 16.
	MaxPending int
}

// The defaults of Options.
const (
	defaultStarvationBound = 45 * time.Second
	defaultQueueLimit      = 15 * time.Second
	laterQueueFactor       = 8
	defaultMaxRunning      = 256
	defaultPrefillWindow   = 4096
	defaultMaxPending      = 16
)

func (o Options) withDefaults() Options {
	if o.Policy == "" {
		o.Policy = WholeProgram
	}
	if o.StarvationBound == 0 {
		o.StarvationBound = defaultStarvationBound
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = defaultQueueLimit
	}
	if o.LaterQueueLimit == 0 {
		o.LaterQueueLimit = laterQueueFactor * o.QueueLimit
	}
	if o.MaxRunning == 0 {
		o.MaxRunning = defaultMaxRunning
	}
	if o.PrefillWindow == 0 {
		o.PrefillWindow = defaultPrefillWindow
	}
	if o.MaxPending == 0 {
		o.MaxPending = defaultMaxPending
	}
	return o
}

// Waiting is a call in the worker's queue.
type Waiting struct {
	Request   id.Request
	Program   id.Program
	Tenant    id.Tenant
	Priority  int       // higher is more urgent
	Turn      int       // from 1
	Attained  int       // tokens of service that the program has had
	Remaining int       // tokens of service that it is expected to need; zero: unknown
	Prompt    int       // tokens
	Cached    int       // of Prompt, present at the engine
	Shared    int       // of Prompt, in memory that the snapshot counts already
	Output    int       // most tokens that it may generate
	Started   time.Time // of the program; zero: Enqueued
	Enqueued  time.Time // here
	Deadline  time.Time // of the program; zero: none
}

// Need is the memory that the call may come to use beyond what is counted.
func (w *Waiting) Need() int { return w.Prompt - w.Shared + w.Output }

// Work is the service that the call itself takes, in tokens.
func (w *Waiting) Work() int { return w.Prompt - w.Cached + w.Output }

// first reports whether the call opens its program.
func (w *Waiting) first() bool { return w.Turn <= 1 }

func (w *Waiting) later() bool { return !w.first() }

// Snapshot is all that a plan depends on.
type Snapshot struct {
	Capacity int // KV memory in tokens
	Reserved int // tokens set aside for running calls
	Held     int // tokens pinned for programs that wait on tools
	// Foreign tokens are used by calls that this owner did not let in, such as
	// those of the owner before it.
	Foreign int
	// Idle tokens are the unpinned context of paused programs that are expected
	// back soon: later turns may push it out, first calls may not.
	Idle    int
	Running int // calls in the batch
	Pending int // of these, calls without a first token
	Backlog int // tokens that running calls have yet to prefill
	Waiting []Waiting
	// Served is the recent service of each tenant, in tokens, decayed over time.
	Served map[id.Tenant]float64
	// DrainRate is the memory that ending calls give back while the worker is
	// busy, in tokens per second; zero means unknown, and nothing is shed then.
	DrainRate float64
	// FirstRate is the part of DrainRate that goes to first calls; zero means
	// unknown, and DrainRate counts for them.
	FirstRate float64
	// Paused lets nothing in, as while a breaker is open or a worker leaves.
	Paused bool
}

// Used is the memory that is spoken for.
func (s Snapshot) Used() int { return s.Reserved + s.Held + s.Foreign }

// Refusal is a call that will not run.
type Refusal struct {
	Request id.Request
	Fault   *fault.Error
}

// Plan is what to do now.
type Plan struct {
	Start  []id.Request // in this order
	Refuse []Refusal
	// Blocked is the first call that does not fit, empty if all were let in or
	// something else than memory keeps them out; Short is how many tokens of
	// memory it lacks.
	Blocked id.Request
	Short   int
	// BlockedFirst says that the blocked call opens its program and has not aged.
	BlockedFirst bool
}
