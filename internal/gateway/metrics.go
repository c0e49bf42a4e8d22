package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

type metrics struct {
	requests   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	inFlight   prometheus.Gauge
	duration   *prometheus.HistogramVec
	firstToken prometheus.Histogram
	reconnects prometheus.Counter
	abandoned  prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverwheel_gateway_requests_total", Help: "Requests answered, by route and HTTP status."},
			[]string{"route", "status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverwheel_gateway_errors_total", Help: "Requests answered by a typed error, by code and whether they ran."},
			[]string{"code", "ran"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cloverwheel_gateway_requests_in_progress", Help: "Requests being answered."}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cloverwheel_gateway_request_seconds", Help: "Time to the whole answer, by route.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18)},
			[]string{"route"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cloverwheel_gateway_first_token_seconds", Help: "Time to the first text of an answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18)}),
		reconnects: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverwheel_gateway_reconnects_total", Help: "Answers continued at another leader."}),
		abandoned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverwheel_gateway_abandoned_total", Help: "Callers that went away before their answer was whole."}),
	}
	if registerer == nil {
		return m, nil
	}
	for _, collector := range []prometheus.Collector{m.requests, m.refusals, m.inFlight, m.duration, m.firstToken, m.reconnects, m.abandoned} {
		if err := registerer.Register(collector); err != nil {
			return nil, eris.Wrap(err, "register the gateway's metrics")
		}
	}
	return m, nil
}

func (g *Gateway) metricsHandler() http.Handler {
	if g.options.Gatherer == nil {
		return http.HandlerFunc(g.noRoute)
	}
	return promhttp.HandlerFor(g.options.Gatherer, promhttp.HandlerOpts{})
}

// event collects what the log line of one request says.
type event struct {
	tenant  id.Tenant
	program id.Program
	call    uint64
	fault   *fault.Error
}

type eventKey struct{}

func eventOf(ctx context.Context) *event {
	if noted, ok := ctx.Value(eventKey{}).(*event); ok {
		return noted
	}
	return &event{}
}

func noteTenant(ctx context.Context, tenant id.Tenant)    { eventOf(ctx).tenant = tenant }
func noteProgram(ctx context.Context, program id.Program) { eventOf(ctx).program = program }
func noteCall(ctx context.Context, call uint64)           { eventOf(ctx).call = call }
func noteFault(ctx context.Context, f *fault.Error)       { eventOf(ctx).fault = f }

// statusWriter remembers the status that was sent.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// observe counts and logs each request, and asks clients of a leaving node to
// close their connections.
func (g *Gateway) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started := time.Now()
		g.metrics.inFlight.Inc()
		defer g.metrics.inFlight.Dec()
		if g.leaving() {
			w.Header().Set("Connection", "close")
		}
		noted := &event{}
		recorder := &statusWriter{ResponseWriter: w}
		request := r.WithContext(context.WithValue(r.Context(), eventKey{}, noted))
		next.ServeHTTP(recorder, request)
		g.record(request, noted, recorder.status, time.Since(started))
	})
}

func (g *Gateway) record(r *http.Request, noted *event, status int, took time.Duration) {
	if status == 0 {
		status = statusClosed
	}
	route := routeOf(r)
	g.metrics.requests.WithLabelValues(route, strconv.Itoa(status)).Inc()
	g.metrics.duration.WithLabelValues(route).Observe(took.Seconds())
	entry := g.options.Log.WithFields(log.Fields{
		"route": route, "status": status, "tenant": noted.tenant, "program": noted.program, "call": noted.call, "took": took,
	})
	if noted.fault == nil {
		entry.Debug("request answered")
		return
	}
	g.metrics.refusals.WithLabelValues(string(noted.fault.Code), string(noted.fault.Ran)).Inc()
	entry.WithFields(log.Fields{
		"code": noted.fault.Code, "ran": noted.fault.Ran, "error": noted.fault.Message,
	}).Info("request failed")
}

// routeOf names the route and not the path, so that labels stay few.
func routeOf(r *http.Request) string {
	if route := mux.CurrentRoute(r); route != nil {
		if template, err := route.GetPathTemplate(); err == nil {
			return r.Method + " " + template
		}
	}
	return "none"
}
