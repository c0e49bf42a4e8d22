package server

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cloverwheel/cloverwheel/internal/forward"
)

// Metrics are a node's counters and histograms.
type Metrics struct {
	Registry *prometheus.Registry
	Requests *forward.Metrics
	Dials    prometheus.Counter
	Table    *prometheus.CounterVec // by call
	Relayed  prometheus.Counter     // calls to the table that other nodes were asked for
}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	m := &Metrics{
		Registry: registry,
		Requests: forward.NewMetrics(registry),
		Dials:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "worker_connections_total", Help: "New connections to workers."}),
		Table:    prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "table_calls_total", Help: "Calls to the table."}, []string{"call"}),
	}
	m.Relayed = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "table_relayed_calls_total", Help: "Calls to the table that other nodes were asked to make."})
	registry.MustRegister(m.Dials, m.Table, m.Relayed)
	return m
}

// MetricsPath is where metrics are told as text.
const MetricsPath = "/metrics"

// Handler tells the metrics.
func (m *Metrics) Handler() http.Handler {
	handler := http.NewServeMux()
	handler.Handle(MetricsPath, promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	return handler
}
