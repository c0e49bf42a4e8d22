package cache

import (
	"cmp"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Choice is what becomes of a paused program's context.
type Choice string

// The choices.
const (
	Keep    Choice = "keep"    // pin it until a time
	Offload Choice = "offload" // export it, then unpin it
	Drop    Choice = "drop"    // unpin it; the engine may evict it
)

// Options set the costs and limits of retention, and its ablations.
type Options struct {
	NoHolds   bool // pin nothing; the engine's own eviction decides
	NoOffload bool // never export
	NoCleanup bool // leave the context of ended programs to the engine's eviction
	// HoldTerm is how long one hold lasts unless renewed; zero: 10 s.
	HoldTerm time.Duration
	// MaxHold is the longest that a context is pinned in one pause; zero: 5 min.
	MaxHold time.Duration
	// LifeTerm is how long a program counts as alive after its last call, pause
	// or confirmation; zero: MaxHold.
	LifeTerm time.Duration
	// TransferRate of export and import is in tokens per second; zero: 100,000.
	TransferRate float64
	// KeepShare is the largest share of memory that may be pinned; zero: 0.55.
	KeepShare float64
	// Patience multiplies the break-even pause, up to which memory is better
	// spent on keeping a context than on computing it again; zero: 4.
	Patience float64
}

// The defaults of Options.
const (
	defaultHoldTerm     = 10 * time.Second
	defaultMaxHold      = 5 * time.Minute
	defaultTransferRate = 100_000
	defaultKeepShare    = 0.55
	defaultPatience     = 4
	// defaultPause is expected of a pause of which nothing is known.
	defaultPause = 5 * time.Second
	// minOffloadTokens is the smallest context worth an export.
	minOffloadTokens = 512
)

// WithDefaults returns o with zero fields filled in.
func (o Options) WithDefaults() Options {
	if o.HoldTerm == 0 {
		o.HoldTerm = defaultHoldTerm
	}
	if o.MaxHold == 0 {
		o.MaxHold = defaultMaxHold
	}
	if o.LifeTerm == 0 {
		o.LifeTerm = o.MaxHold
	}
	if o.TransferRate == 0 {
		o.TransferRate = defaultTransferRate
	}
	if o.KeepShare == 0 {
		o.KeepShare = defaultKeepShare
	}
	if o.Patience == 0 {
		o.Patience = defaultPatience
	}
	return o
}

// Context is a paused program's cached context at one worker.
type Context struct {
	Program  id.Program
	Segment  uint64 // hash of its last segment
	Tokens   int    // that are the program's own, not shared with others
	Priority int
	Paused   time.Time
	Expected time.Duration // of the pause; zero: unknown
	Pinned   bool
	Exported bool // a whole copy is kept outside
}

// Remaining is the expected rest of the pause. An overdue pause is expected to
// last as long again as it has, as pauses with a long tail do.
func (c Context) Remaining(now time.Time) time.Duration {
	expected := c.Expected
	if expected == 0 {
		expected = defaultPause
	}
	elapsed := max(now.Sub(c.Paused), 0)
	if elapsed <= expected {
		return expected - elapsed
	}
	return elapsed
}

// Pressure is the state of the memory that contexts compete for.
type Pressure struct {
	Capacity    int
	Reserved    int     // tokens set aside for running calls
	Held        int     // tokens pinned
	Demand      int     // tokens that waiting calls lack
	PrefillRate float64 // tokens per second; what computing again costs
}

// BreakEven is the pause up to which keeping a context costs less than
// computing it again: while it is computed the whole memory is kept busy for
// tokens/rate, and while it is kept its own tokens are, for the pause.
func (p Pressure) BreakEven(options Options) time.Duration {
	if p.PrefillRate <= 0 {
		return options.MaxHold
	}
	seconds := float64(p.Capacity) / p.PrefillRate * options.Patience
	return min(time.Duration(seconds*float64(time.Second)), options.MaxHold)
}

// Retention is a decision on one context.
type Retention struct {
	Context Context
	Choice  Choice
	Until   time.Time // of Keep
}

// Retain decides on a context at the start of its pause and at each renewal.
func Retain(now time.Time, context Context, pressure Pressure, options Options) Retention {
	if options.NoHolds || now.Sub(context.Paused) >= options.MaxHold {
		return Retention{Context: context, Choice: Drop}
	}
	if pressure.Demand > 0 && context.Remaining(now) > pressure.BreakEven(options) {
		return Retention{Context: context, Choice: Unpin(context, options)}
	}
	added := context.Tokens
	if context.Pinned {
		added = 0
	}
	if float64(pressure.Held+added) > options.KeepShare*float64(pressure.Capacity) {
		return Retention{Context: context, Choice: Unpin(context, options)}
	}
	return Retention{Context: context, Choice: Keep, Until: holdUntil(now, context, options)}
}

// holdUntil is one term from now, but never past the longest hold.
func holdUntil(now time.Time, context Context, options Options) time.Time {
	until := now.Add(options.HoldTerm)
	if limit := context.Paused.Add(options.MaxHold); until.After(limit) {
		return limit
	}
	return until
}

// Unpin chooses how to let a context go: by export where the copy is of use.
func Unpin(context Context, options Options) Choice {
	if options.NoOffload || context.Exported || context.Tokens < minOffloadTokens {
		return Drop
	}
	return Offload
}

// Victims chooses pinned contexts to let go until need tokens are free: those
// that are expected back last go first, and at the same time the lowest
// priority. Contexts expected back before shortest stay.
func Victims(now time.Time, contexts []Context, need int, shortest time.Duration, options Options) []Retention {
	sorted := slices.Clone(contexts)
	slices.SortFunc(sorted, func(a, b Context) int {
		if order := cmp.Compare(b.Remaining(now), a.Remaining(now)); order != 0 {
			return order
		}
		if order := cmp.Compare(a.Priority, b.Priority); order != 0 {
			return order
		}
		return cmp.Compare(a.Program, b.Program)
	})
	var victims []Retention
	for _, context := range sorted {
		if need <= 0 || context.Remaining(now) < shortest {
			break
		}
		if !context.Pinned {
			continue
		}
		need -= context.Tokens
		victims = append(victims, Retention{Context: context, Choice: Unpin(context, options)})
	}
	return victims
}
