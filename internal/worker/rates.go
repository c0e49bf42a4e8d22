package worker

import (
	"math"
	"time"
)

const (
	// rateWeight is the weight of a new observation in a moving average.
	rateWeight = 0.2
	// fitHalfLife is how many observations halve the weight of one in a fit.
	fitHalfLife = 200
	// drainMemory is the time over which the drain rate is averaged.
	drainMemory = 20 * time.Second
	// forgetAfter is how long without an observation before the engine's own
	// report counts again, so that a worker that was slow is tried again.
	forgetAfter = 10 * time.Second
)

// rates learns how fast an engine is from the calls that ran there.
type rates struct {
	prefill     float64 // tokens per second
	step        stepFit
	observed    time.Time // last observation of either
	assumedStep time.Duration
	drain       drain // of memory that ending calls give back
	firsts      drain // of memory that starting first calls take
}

func newRates(prefill float64, step time.Duration) rates {
	return rates{prefill: prefill, assumedStep: step}
}

// suspectPrefill takes in a first token whose prompt turns out only later to
// have been cached or not: it can show at once that the engine has slowed down,
// and never that it is quick.
func (r *rates) suspectPrefill(now time.Time, work int, elapsed time.Duration) {
	if elapsed > 0 && float64(work)/elapsed.Seconds() < r.prefill {
		r.observePrefill(now, work, elapsed)
	}
}

// observePrefill takes in that work tokens of prefill took elapsed.
func (r *rates) observePrefill(now time.Time, work int, elapsed time.Duration) {
	if work < minPrefillSample || elapsed <= 0 {
		return
	}
	r.observed = now
	r.prefill += rateWeight * (float64(work)/elapsed.Seconds() - r.prefill)
}

// minPrefillSample is the least work that tells the prefill rate from the
// duration of a step.
const minPrefillSample = 256

// observeStep takes in that a token took each at the batch's size.
func (r *rates) observeStep(now time.Time, batch int, each time.Duration) {
	if each <= 0 {
		return
	}
	r.observed = now
	r.step.add(float64(batch), each.Seconds())
}

// reported takes the engine's own figures in where nothing newer was observed.
func (r *rates) reported(now time.Time, prefill int, step time.Duration) {
	if !r.observed.IsZero() && now.Sub(r.observed) < forgetAfter {
		return
	}
	if prefill > 0 {
		r.prefill = float64(prefill)
	}
	if step > 0 {
		r.step = stepFit{}
		r.assumedStep = step
	}
}

// stepAt estimates the time of a token at the batch's size.
func (r *rates) stepAt(batch int) time.Duration {
	if r.step.weight < 1 {
		return r.assumedStep
	}
	return time.Duration(r.step.at(float64(batch)) * float64(time.Second))
}

// knownStep is stepAt, or zero before anything was observed.
func (r *rates) knownStep(batch int) time.Duration {
	if r.step.weight < 1 {
		return 0
	}
	return r.stepAt(batch)
}

// prefillTime estimates how long tokens of prefill take.
func (r *rates) prefillTime(tokens int) time.Duration {
	if r.prefill <= 0 || tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / r.prefill * float64(time.Second))
}

// stepFit is a decayed least-squares line of step time over batch size.
type stepFit struct {
	weight, x, y, xx, xy float64
}

var fitDecay = math.Pow(0.5, 1.0/fitHalfLife)

func (f *stepFit) add(x, y float64) {
	f.weight = f.weight*fitDecay + 1
	f.x = f.x*fitDecay + x
	f.y = f.y*fitDecay + y
	f.xx = f.xx*fitDecay + x*x
	f.xy = f.xy*fitDecay + x*y
}

// at returns the fitted value; the line never falls, and never below half of
// the mean, so that few points cannot promise wonders.
func (f *stepFit) at(x float64) float64 {
	meanX, meanY := f.x/f.weight, f.y/f.weight
	spread := f.xx/f.weight - meanX*meanX
	if spread < 1 {
		return meanY
	}
	slope := max((f.xy/f.weight-meanX*meanY)/spread, 0)
	return max(meanY+slope*(x-meanX), meanY/2)
}

// advance moves the measures that depend on how long the worker was busy.
func (r *rates) advance(now time.Time, busy bool) {
	r.drain.advance(now, busy)
	r.firsts.advance(now, busy)
}

// drain measures tokens per second of busy time.
type drain struct {
	tokens float64
	busy   float64 // seconds
	last   time.Time
}

// advance decays the measure and counts the time since the last call, if the
// worker was busy.
func (d *drain) advance(now time.Time, busy bool) {
	elapsed := now.Sub(d.last).Seconds()
	if d.last.IsZero() || elapsed <= 0 {
		d.last = now
		return
	}
	decay := math.Exp(-elapsed / drainMemory.Seconds())
	if busy {
		d.tokens *= decay
		d.busy = d.busy*decay + elapsed
	}
	d.last = now
}

// add counts tokens while the worker is busy.
func (d *drain) add(tokens int) { d.tokens += float64(tokens) }

// minBusy is the busy time below which the drain rate is not known.
const minBusy = 2.0

func (d *drain) rate() float64 {
	if d.busy < minBusy {
		return 0
	}
	return d.tokens / d.busy
}
