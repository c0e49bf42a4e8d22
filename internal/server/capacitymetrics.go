package server

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/capacity"
)

// CapacityMetrics count how requests are placed on workers with free capacity.
type CapacityMetrics struct {
	registry    *prometheus.Registry
	requests    *prometheus.CounterVec // by source
	waitSeconds prometheus.Histogram
	reports     *prometheus.CounterVec // by whether the coordinator received the report
	answers     *prometheus.CounterVec // by outcome and reason
}

func newCapacityMetrics(registry *prometheus.Registry) *CapacityMetrics {
	m := &CapacityMetrics{
		registry:    registry,
		requests:    prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "room_requests_total", Help: "Requests by what told where there is room for them."}, []string{"source"}),
		waitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cloverwheel", Name: "room_wait_seconds", Help: "Time that requests waited for a keeper's word.", Buckets: []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5}}),
		reports:     prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "room_reports_total", Help: "Reports to keepers that came without a question."}, []string{"heard"}),
		answers:     prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "room_answers_total", Help: "Questions for places that this node answered as a keeper."}, []string{"outcome", "reason"}),
	}
	registry.MustRegister(m.requests, m.waitSeconds, m.reports, m.answers)
	return m
}

// RecordPlacement counts a request that needed a worker, and the time it waited for a coordinator.
func (m *CapacityMetrics) RecordPlacement(placement capacity.Placement) {
	m.requests.WithLabelValues(string(placement.Source)).Inc()
	if placement.Source != capacity.SourceUntracked && placement.Source != capacity.SourceLocal {
		m.waitSeconds.Observe(placement.Took.Seconds())
	}
}

// RecordReport counts a load report sent without a placement request.
func (m *CapacityMetrics) RecordReport(received bool) {
	label := "no"
	if received {
		label = "yes"
	}
	m.reports.WithLabelValues(label).Inc()
}

// RecordAnswer counts a placement request that this node answered as a coordinator.
func (m *CapacityMetrics) RecordAnswer(outcome capacity.Outcome, reason capacity.Reason) {
	m.answers.WithLabelValues(outcome.String(), string(reason)).Inc()
}

// RegisterGauges registers gauges of the groups that this node coordinates and of the requests waiting
// there.
func (m *CapacityMetrics) RegisterGauges(stats func() (groups, waiting int)) {
	gauge := func(name, help string, read func() int) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "cloverwheel", Name: name, Help: help}, func() float64 { return float64(read()) }))
	}
	gauge("room_groups_kept", "Groups of workers of whose places this node keeps account.", func() int { groups, _ := stats(); return groups })
	gauge("room_waiting", "Requests that wait here for a place at a worker.", func() int { _, waiting := stats(); return waiting })
}
