package forward

import (
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
)

// step is a phase of a turn at this node. At any time a turn is in one step.
type step int

const (
	// stepAdmit: authentication, zone and region checks, program admission and the tenant's rate
	// limit.
	stepAdmit step = iota
	// stepPrepare: reserving tokens and loading the conversation history.
	stepPrepare
	// stepPlace: choosing a worker and waiting for capacity, before each send.
	stepPlace
	// stepFirstEvent: from a send to the first event that the client does not have yet.
	stepFirstEvent
	// stepStream: from that event to the end of the stream, or to the break before the next send.
	stepStream
	// stepStore: writing the turn to the store.
	stepStore
	stepCount
)

// stepNames are the names of the steps in logs and metrics.
var stepNames = [stepCount]string{
	stepAdmit:      "admit",
	stepPrepare:    "prepare",
	stepPlace:      "place",
	stepFirstEvent: "first_event",
	stepStream:     "stream",
	stepStore:      "keep",
}

// stepClock measures the time that a turn spends in each step. The zero value is a stopped clock.
type stepClock struct {
	current step
	since   time.Time // start of the current step; zero: the clock is stopped
	reached [stepCount]bool
	spent   [stepCount]time.Duration
}

// enter switches to another step. It does nothing if that step is already running.
func (c *stepClock) enter(next step, now time.Time) {
	if next == c.current && !c.since.IsZero() {
		return
	}
	c.stop(now)
	c.current, c.since = next, now
	c.reached[next] = true
}

// stop ends the current step.
func (c *stepClock) stop(now time.Time) {
	if c.since.IsZero() {
		return
	}
	c.spent[c.current] += now.Sub(c.since)
	c.since = time.Time{}
}

// addTo adds the time of each step that was entered to a log line, in milliseconds.
func (c *stepClock) addTo(fields log.Fields) {
	for index, reached := range c.reached {
		if reached {
			fields[stepNames[index]+"_ms"] = c.spent[index].Milliseconds()
		}
	}
}

// stepSeconds are the histograms of step durations.
type stepSeconds [stepCount]prometheus.Observer

// newStepSeconds creates and registers the histograms.
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

// observe records the steps of a stopped clock.
func (s *stepSeconds) observe(clock *stepClock) {
	for index, reached := range clock.reached {
		if reached {
			s[index].Observe(clock.spent[index].Seconds())
		}
	}
}
