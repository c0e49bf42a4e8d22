package standing

import "time"

// quantileStep is by which share of itself an estimate moves with each observation.
const quantileStep = 0.01

// quantile follows a quantile of durations in constant memory, by stochastic approximation. Its
// zero value knows nothing.
type quantile struct {
	value time.Duration
	seen  int
}

// observe takes in one duration; share is the quantile that is followed.
func (q *quantile) observe(took time.Duration, share float64) {
	if took <= 0 {
		return
	}
	q.seen++
	if q.seen == 1 {
		q.value = took
		return
	}
	step := max(quantileStep, 1/float64(q.seen))
	if took < q.value {
		q.value -= time.Duration(min(step*(1-share)*float64(q.value), float64(q.value-took)))
		return
	}
	q.value += time.Duration(min(step*share*float64(q.value), float64(took-q.value)))
}

// known reports whether enough was seen.
func (q *quantile) known() bool { return q.seen >= enoughSeen }
