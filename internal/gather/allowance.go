package gather

import "time"

const (
	// loweredTo is what a refusal for the number of calls leaves of the allowance, and lowestAllowance
	// the least: accounts and slots never take more of the calls than that leaves.
	loweredTo       = 0.85
	lowestAllowance = 0.5
	// lowerPause is the least time between two reductions: what was refused in one moment is one sign.
	lowerPause = 150 * time.Millisecond
	// raisedPerSecond is by how much it grows again.
	raisedPerSecond = 0.4
)

// allowance follows which part of the calls that gathered rows may make the table takes beside those
// of others: it falls fast when calls are refused for their number, and grows slowly. Its zero value
// allows all.
type allowance struct {
	lacking float64   // of 1, as of a moment
	lowered time.Time // that moment
}

// at is the part that is allowed at a moment.
func (a *allowance) at(now time.Time) float64 {
	if a.lacking == 0 {
		return 1
	}
	return min(1, 1-a.lacking+raisedPerSecond*now.Sub(a.lowered).Seconds())
}

// refused notes that a call was refused for the number of calls.
func (a *allowance) refused(now time.Time) {
	if now.Sub(a.lowered) < lowerPause {
		return
	}
	a.lacking = 1 - max(lowestAllowance, loweredTo*a.at(now))
	a.lowered = now
}
