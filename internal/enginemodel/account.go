package enginemodel

// Cause says why computed context was wasted.
type Cause int

// The causes of waste. Each counts tokens that were computed and never read
// again by another request.
const (
	Evicted     Cause = iota // removed by the engine's LRU for lack of memory
	Dropped                  // removed by an order
	Preempted                // a sequence's own context, lost when it was preempted
	Cancelled                // a sequence's own context, lost when it was cancelled
	Duplicate                // computed while another sequence computed the same
	Lost                     // the engine died or changed its model
	NeverReused              // still cached when the account was taken
	Inherent                 // the end of a program's last call: no policy can reuse it
	causeCount
)

var causeNames = [causeCount]string{
	"evicted", "dropped", "preempted", "cancelled", "duplicate", "lost", "never_reused", "inherent",
}

// String returns the cause's name in reports.
func (c Cause) String() string { return causeNames[c] }

// Causes lists all causes.
func Causes() []Cause {
	all := make([]Cause, causeCount)
	for i := range all {
		all[i] = Cause(i)
	}
	return all
}

// Account is the ground truth of what an engine computed and wasted, in tokens.
type Account struct {
	Prefilled int // prompt tokens computed, recomputed ones included
	Generated int // output tokens computed
	Reused    int // prompt tokens found in the cache
	Wasted    [causeCount]int
	// Recovered counts tokens that were wasted where they were computed, but
	// had been exported and were read elsewhere.
	Recovered int
	// Transferred counts tokens exported and imported.
	Transferred int
	// Preemptions counts sequences thrown out of the batch.
	Preemptions int
}

// Computed is all that was computed.
func (a Account) Computed() int { return a.Prefilled + a.Generated }

// Waste is all waste but the inherent part.
func (a Account) Waste() int {
	total := -a.Recovered
	for cause, tokens := range a.Wasted {
		if Cause(cause) != Inherent {
			total += tokens
		}
	}
	return total
}

// Add sums two accounts.
func (a Account) Add(b Account) Account {
	a.Prefilled += b.Prefilled
	a.Generated += b.Generated
	a.Reused += b.Reused
	a.Recovered += b.Recovered
	a.Transferred += b.Transferred
	a.Preemptions += b.Preemptions
	for cause := range a.Wasted {
		a.Wasted[cause] += b.Wasted[cause]
	}
	return a
}

func (e *Engine) waste(cause Cause, tokens int) { e.account.Wasted[cause] += tokens }

// wasteEntry counts an entry that goes, if nobody read it.
func (e *Engine) wasteEntry(cause Cause, n *entry) {
	if n.unread() {
		n.counted = true
		e.waste(n.cause(cause), n.segment.Tokens)
	}
}

// unread reports whether the entry was computed here and never read.
func (n *entry) unread() bool { return n.reuses == 0 && !n.imported }

func (n *entry) cause(cause Cause) Cause {
	if n.last {
		return Inherent
	}
	return cause
}

// Account returns the account so far; what is cached and was never reused
// counts as NeverReused.
func (e *Engine) Account() Account {
	total := e.account
	for _, n := range e.entries {
		if n.unread() {
			total.Wasted[n.cause(NeverReused)] += n.segment.Tokens
		}
	}
	return total
}
