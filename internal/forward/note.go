package forward

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// Metrics are the counters and histograms of requests.
type Metrics struct {
	Requests   *prometheus.CounterVec // by outcome
	Duration   *prometheus.HistogramVec
	FirstEvent prometheus.Histogram
	steps      stepSeconds
	Sends      prometheus.Counter
	Ways       *prometheus.CounterVec // sends by the route's kind, distance and, to other regions, reason
	Declines   prometheus.Counter
	Failures   prometheus.Counter
	Unkept     prometheus.Counter
	TurnedAway *prometheus.CounterVec // by verdict
	// AttemptsDropped counts workers that no longer count as having run a request, by what was
	// observed, and BeyondAttempts requests that may have run at more workers than allowed.
	AttemptsDropped *prometheus.CounterVec
	BeyondAttempts  prometheus.Counter
	// Admissions counts turns of programs with a time by why these were in or refused.
	Admissions *prometheus.CounterVec
}

// NewMetrics registers the metrics of requests.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cloverwheel", Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	buckets := []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.6, 3.2}
	m := &Metrics{
		Requests:   prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "requests_total", Help: "Requests by final outcome."}, []string{"outcome"}),
		Duration:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "cloverwheel", Name: "request_seconds", Help: "Time to the final answer.", Buckets: buckets}, []string{"kind"}),
		FirstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cloverwheel", Name: "first_event_seconds", Help: "Time to a stream's first event.", Buckets: buckets}),
		Sends:      counter("worker_sends_total", "Calls sent to workers."),
		Ways:       prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "worker_sends_by_distance_total", Help: "Calls sent to workers by how far these are; to other regions also by the reason."}, []string{"kind", "distance", "reason"}),
		Declines:   counter("worker_declines_total", "Calls that workers declined unrun."),
		Failures:   counter("worker_failures_total", "Exchanges with workers that broke."),
		Unkept:     counter("turns_unkept_total", "Turns that ran and could not be kept."),
	}
	m.TurnedAway = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "worker_sends_turned_away_total", Help: "Sends that were not made because the worker chosen may not get the request, by why."}, []string{"verdict"})
	m.AttemptsDropped = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "worker_attempts_dropped_total", Help: "Workers that no longer count against a request's attempts, by what was observed."}, []string{"observed"})
	m.steps = newStepSeconds(registry, buckets)
	m.BeyondAttempts = counter("requests_beyond_attempts_total", "Requests that may have run at more workers than their route allows, those included that have ended.")
	m.Admissions = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "program_admissions_total", Help: "Turns of programs with a time by why they were let in (under_way, room, in_time, promised, untimed) or refused (too_late, crowded, leaves)."}, []string{"reason"})
	registry.MustRegister(m.Admissions, m.Requests, m.Duration, m.FirstEvent, m.Ways, m.TurnedAway, m.AttemptsDropped)
	return m
}

// outcomeServed is the outcome of a request that got a worker's answer.
const outcomeServed = "served"

// note logs a request's final outcome with what decided it.
func (x *exchange) note(refusal *fault.Error) {
	outcome := outcomeServed
	if refusal != nil {
		outcome = string(refusal.Code)
	}
	now := time.Now()
	took := now.Sub(x.begun)
	x.clock.stop(now)
	kind := "none"
	fields := log.Fields{
		"request": x.request.ID,
		"outcome": outcome,
		"ms":      took.Milliseconds(),
		"sends":   x.sends,
	}
	if x.route != nil {
		kind = string(x.route.Kind)
		fields["route"] = x.route.Name
	}
	if configuration := x.Configuration(); configuration != nil {
		fields["config"] = int64(configuration.Version)
	}
	if x.tenant != nil {
		fields["tenant"] = x.tenant.Name
		fields["proof_ms"] = x.proofAge.Milliseconds()
	}
	if x.worker != "" {
		fields["worker"] = x.worker
	}
	if x.crossed != "" {
		fields["crossed"] = string(x.crossed)
	}
	if x.home != "" {
		fields["home"] = x.home
	}
	if x.request.Program != "" {
		fields["program"] = x.request.Program
	}
	if x.events > 0 {
		fields["events"] = x.events
	}
	if x.drawn {
		fields["drawn"] = true
	}
	if x.handed {
		fields["handed"] = true
	}
	if x.located {
		fields["located"] = true
	}
	if x.granted {
		fields["granted"] = true
	}
	if x.told {
		fields["told"] = true
	}
	x.noteRoom(fields)
	if kind == string(route.Streaming) {
		x.clock.addTo(fields)
		x.options.Metrics.steps.observe(&x.clock)
	}
	x.noteStanding(fields)
	x.noteAttempts(fields)
	if len(x.tried) > 0 {
		fields["tried"] = strings.Join(x.tried, ",")
	}
	x.options.Metrics.Requests.WithLabelValues(outcome).Inc()
	x.options.Metrics.Duration.WithLabelValues(kind).Observe(took.Seconds())
	entry := x.options.Logger.WithFields(fields)
	if refusal == nil {
		entry.Info("request")
		return
	}
	entry.WithField("ran", string(refusal.Ran)).WithField("reason", refusal.Message).
		WithField("retry_after_ms", refusal.RetryAfter.Milliseconds()).Warn("request")
}

// noteWay counts how far a send goes.
func (x *exchange) noteWay(worker *backend.Worker) {
	distance, reason := x.options.Workers.Way(worker, x.query(nil))
	x.crossed = reason
	x.options.Metrics.Ways.WithLabelValues(string(x.route.Kind), distance.String(), string(reason)).Inc()
}

// noteTried notes what became of a send that did not bring the answer.
func (x *exchange) noteTried(worker *backend.Worker, outcome string) {
	x.tried = append(x.tried, worker.Key()+":"+outcome)
}

// noteFailure logs a broken exchange with a worker.
func (x *exchange) noteFailure(worker *backend.Worker, err, cause error) {
	x.options.Metrics.Failures.Inc()
	x.noteTried(worker, "failed")
	record := worker.Record()
	entry := x.options.Logger.WithFields(log.Fields{
		"request": x.request.ID,
		"worker":  worker.Key(),
		"address": record.Address,
		"send":    x.sends,
		"events":  x.events,
	})
	if cause != nil && cause != context.Canceled {
		entry = entry.WithField("cause", cause.Error())
	}
	entry.WithError(err).Warn("worker failed")
}
