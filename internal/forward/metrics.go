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

// Metrics holds the counters and histograms of requests.
type Metrics struct {
	Requests        *prometheus.CounterVec   // by outcome
	Duration        *prometheus.HistogramVec // by route kind, in seconds
	FirstEvent      prometheus.Histogram     // time to the first event of a stream, in seconds
	steps           stepSeconds              // time of turns by step, in seconds
	Sends           prometheus.Counter       // calls sent to workers
	SendsByDistance *prometheus.CounterVec   // sends by route kind, distance and, for other regions, reason
	Declines        prometheus.Counter       // calls that workers declined
	Failures        prometheus.Counter       // exchanges with workers that failed
	UnsavedTurns    prometheus.Counter       // turns that ran and could not be stored
	BlockedSends    *prometheus.CounterVec   // sends not made because the worker may not get the request, by verdict
	DrainingChosen  prometheus.Counter       // choices of draining workers for requests that no other worker could serve
	// AttemptsDropped counts workers that stopped counting as having run a request, by
	// observation. ExcessAttempts counts requests that may have run at more workers than their
	// route allows.
	AttemptsDropped *prometheus.CounterVec
	ExcessAttempts  prometheus.Counter
	WorkersEnded    prometheus.Counter // workers that ended while they ran a request
	Panics          prometheus.Counter // requests whose handling panicked
	// ResumedStreams counts requests that resume a stream of an earlier request, by how the software version that
	// began it is known.
	ResumedStreams *prometheus.CounterVec
	// RestoredOutputs counts requests that resume a turn that is stored, by what came of looking for what its client had got.
	RestoredOutputs *prometheus.CounterVec
	// ContinuedStreams counts sends of streams that are continued after an event, by which answer has the
	// earlier events.
	ContinuedStreams *prometheus.CounterVec
	// Admissions counts turns of programs with a deadline, by the reason why they were admitted
	// or refused.
	Admissions *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them. It panics if they are already registered.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cloverwheel", Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	buckets := []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.6, 3.2}
	m := &Metrics{
		Requests:        prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "requests_total", Help: "Requests by final outcome."}, []string{"outcome"}),
		Duration:        prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "cloverwheel", Name: "request_seconds", Help: "Time to the final answer.", Buckets: buckets}, []string{"kind"}),
		FirstEvent:      prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cloverwheel", Name: "first_event_seconds", Help: "Time to a stream's first event.", Buckets: buckets}),
		Sends:           counter("worker_sends_total", "Calls sent to workers."),
		SendsByDistance: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "worker_sends_by_distance_total", Help: "Calls sent to workers by how far these are; to other regions also by the reason."}, []string{"kind", "distance", "reason"}),
		Declines:        counter("worker_declines_total", "Calls that workers declined unrun."),
		Failures:        counter("worker_failures_total", "Exchanges with workers that broke."),
		UnsavedTurns:    counter("turns_unkept_total", "Turns that ran and could not be kept."),
		DrainingChosen:  counter("draining_workers_chosen_total", "Choices of draining workers for requests that no other worker could serve."),
	}
	m.BlockedSends = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "worker_sends_turned_away_total", Help: "Sends that were not made because the worker chosen may not get the request, by why."}, []string{"verdict"})
	m.AttemptsDropped = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "worker_attempts_dropped_total", Help: "Workers that no longer count against a request's attempts, by what was observed."}, []string{"observed"})
	m.steps = newStepSeconds(registry, buckets)
	m.WorkersEnded = counter("workers_ended_under_requests_total", "Workers that ended while they ran a request of this node, once for each such request.")
	m.Panics = counter("request_panics_total", "Requests whose handling panicked; each is a fault of this program.")
	m.ExcessAttempts = counter("requests_beyond_attempts_total", "Requests that may have run at more workers than their route allows, those included that have ended.")
	m.Admissions = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "program_admissions_total", Help: "Turns of programs with a time by why they were let in (under_way, room, in_time, promised, untimed) or refused (too_late, crowded, leaves)."}, []string{"reason"})
	m.ContinuedStreams = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "streams_continued_total", Help: "Sends of streams that are continued after an event, by whether this answer has the earlier events (answer) or the client's earlier requests (request)."}, []string{"since"})
	m.ResumedStreams = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "streams_resumed_total", Help: "Requests that resume a stream of an earlier request by how the software version that began it is known (here, asked, sole), or unknown, which is refused."}, []string{"origin"})
	m.RestoredOutputs = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "turns_resumed_total", Help: "Requests that resume a turn that is kept by what came of looking for a copy of its earlier events: found, none or ambiguous, of which the last two are refused."}, []string{"copy"})
	registry.MustRegister(m.RestoredOutputs, m.ResumedStreams, m.ContinuedStreams, m.Admissions, m.Requests, m.Duration, m.FirstEvent, m.SendsByDistance, m.BlockedSends, m.AttemptsDropped)
	return m
}

// outcomeServed is the outcome label of a request that got a worker's answer.
const outcomeServed = "served"

// logOutcome logs and counts a request's final outcome.
func (x *exchange) logOutcome(refusal *fault.Error) {
	outcome := outcomeServed
	if refusal != nil {
		outcome = string(refusal.Code)
	}
	now := time.Now()
	took := now.Sub(x.startTime)
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
		fields["proof_ms"] = x.configAge.Milliseconds()
	}
	if x.lastWorker != "" {
		fields["worker"] = x.lastWorker
	}
	if x.crossRegion != "" {
		fields["crossed"] = string(x.crossRegion)
	}
	if x.home != "" {
		fields["home"] = x.home
	}
	if x.request.Program != "" {
		fields["program"] = x.request.Program
	}
	if x.uncopied > 0 {
		fields["uncopied"] = x.uncopied
	}
	if x.events > 0 {
		fields["events"] = x.events
		fields["version"] = x.relayedVersion()
	}
	if x.request.LastEventID != "" {
		fields["resumes"], fields["last_event"] = x.request.ResumedRequest, x.request.LastEventID
	}
	if x.budgetDrawn {
		fields["drawn"] = true
	}
	if x.budgetHandedOver {
		fields["handed"] = true
	}
	if x.budgetLocated {
		fields["located"] = true
	}
	if x.budgetGranted {
		fields["granted"] = true
	}
	if x.historyFromPeer {
		fields["told"] = true
	}
	x.addCapacityFields(fields)
	if kind == string(route.Streaming) {
		x.clock.addTo(fields)
		x.options.Metrics.steps.observe(&x.clock)
	}
	x.addProgramFields(fields)
	x.addAttemptFields(fields)
	if len(x.sendFailures) > 0 {
		fields["tried"] = strings.Join(x.sendFailures, ",")
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

// countSend counts a send by the distance to the worker.
func (x *exchange) countSend(worker *backend.Worker) {
	distance, reason := x.options.Workers.Distance(worker, x.placementQuery(nil))
	x.crossRegion = reason
	x.options.Metrics.SendsByDistance.WithLabelValues(string(x.route.Kind), distance.String(), string(reason)).Inc()
}

// recordSendFailure records for the log why a send failed or was not made.
func (x *exchange) recordSendFailure(worker *backend.Worker, outcome string) {
	x.sendFailures = append(x.sendFailures, worker.Key()+":"+outcome)
}

// logFailure logs and counts an exchange with a worker that failed.
func (x *exchange) logFailure(worker *backend.Worker, err, cause error) {
	x.options.Metrics.Failures.Inc()
	x.recordSendFailure(worker, "failed")
	record := worker.Record()
	entry := x.options.Logger.WithFields(log.Fields{
		"request": x.request.ID,
		"worker":  worker.Key(),
		"address": record.Address,
		"send":    x.sends,
		"events":  x.events,
	}).WithFields(x.workFields())
	if cause != nil && cause != context.Canceled {
		entry = entry.WithField("cause", cause.Error())
	}
	entry.WithError(err).Warn("worker failed")
}
