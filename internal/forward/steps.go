package forward

import (
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
)

// step is a part of a turn's time at this node. Each moment of a turn belongs to one step.
type step int

const (
	// stepAdmit: whose request it is, whether it may go anywhere, and its tenant's limit.
	stepAdmit step = iota
	// stepPrepare: tokens are reserved, and what was said before is read.
	stepPrepare
	// stepPlace: a worker is chosen, found, and waited for until it has room, also for each further send.
	stepPlace
	// stepFirstEvent: from a send to the first event that the client does not have yet.
	stepFirstEvent
	// stepStream: from there to the stream's end, or to the break after which it is sent again.
	stepStream
	// stepKeep: the turn is written to the table.
	stepKeep
	steps
)

// stepNames are the steps' names in logs and metrics.
var stepNames = [steps]string{
	stepAdmit:      "admit",
	stepPrepare:    "prepare",
	stepPlace:      "place",
	stepFirstEvent: "first_event",
	stepStream:     "stream",
	stepKeep:       "keep",
}

// stepClock adds up the time of a turn's steps. Its zero value has not been started.
type stepClock struct {
	present step
	since   time.Time // when the present step began; zero: no step is under way
	reached [steps]bool
	spent   [steps]time.Duration
}

// enter ends the present step and begins another. The step that is under way goes on.
func (c *stepClock) enter(next step, now time.Time) {
	if next == c.present && !c.since.IsZero() {
		return
	}
	c.stop(now)
	c.present, c.since = next, now
	c.reached[next] = true
}

// stop ends the present step.
func (c *stepClock) stop(now time.Time) {
	if c.since.IsZero() {
		return
	}
	c.spent[c.present] += now.Sub(c.since)
	c.since = time.Time{}
}

// addTo adds the time of each step that was reached to a log line, in milliseconds.
func (c *stepClock) addTo(fields log.Fields) {
	for index, reached := range c.reached {
		if reached {
			fields[stepNames[index]+"_ms"] = c.spent[index].Milliseconds()
		}
	}
}

// stepSeconds are histograms of the steps.
type stepSeconds [steps]prometheus.Observer

// newStepSeconds registers the histograms.
func newStepSeconds(registry prometheus.Registerer, buckets []float64) (observers stepSeconds) {
	vector := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "cloverwheel", Name: "turn_step_seconds", Help: "Time of turns by step.", Buckets: buckets,
	}, []string{"step"})
	registry.MustRegister(vector)
	for index, name := range stepNames {
		observers[index] = vector.WithLabelValues(name)
	}
	return observers
}

// observe takes in a turn whose clock was stopped.
func (s *stepSeconds) observe(clock *stepClock) {
	for index, reached := range clock.reached {
		if reached {
			s[index].Observe(clock.spent[index].Seconds())
		}
	}
}
