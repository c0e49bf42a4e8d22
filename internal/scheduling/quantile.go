package scheduling

import "time"

// minQuantileStep bounds the step size from below, as a share of the estimate, so that the estimate keeps
// adapting.
const minQuantileStep = 0.01

// quantile estimates a quantile of durations in constant memory, by stochastic approximation. The
// zero value is ready to use.
type quantile struct {
	value time.Duration
	count int
}

// observe adds a duration; share is the quantile to estimate, between 0 and 1. Durations of 0 or less
// are ignored.
func (q *quantile) observe(took time.Duration, share float64) {
	if took <= 0 {
		return
	}
	q.count++
	if q.count == 1 {
		q.value = took
		return
	}
	step := max(minQuantileStep, 1/float64(q.count))
	if took < q.value {
		q.value -= time.Duration(min(step*(1-share)*float64(q.value), float64(q.value-took)))
		return
	}
	q.value += time.Duration(min(step*share*float64(q.value), float64(took-q.value)))
}

// known reports whether there are enough observations to use the estimate.
func (q *quantile) known() bool { return q.count >= minObservations }
