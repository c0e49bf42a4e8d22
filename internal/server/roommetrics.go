package server

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/room"
)

// RoomMetrics count how requests find workers with room.
type RoomMetrics struct {
	registry *prometheus.Registry
	found    *prometheus.CounterVec // by source
	took     prometheus.Histogram
	told     *prometheus.CounterVec // by whether the keeper heard it
	answered *prometheus.CounterVec // by outcome and reason
}

func newRoomMetrics(registry *prometheus.Registry) *RoomMetrics {
	m := &RoomMetrics{
		registry: registry,
		found:    prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "room_requests_total", Help: "Requests by what told where there is room for them."}, []string{"source"}),
		took:     prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cloverwheel", Name: "room_wait_seconds", Help: "Time that requests waited for a keeper's word.", Buckets: []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5}}),
		told:     prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "room_reports_total", Help: "Reports to keepers that came without a question."}, []string{"heard"}),
		answered: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "room_answers_total", Help: "Questions for places that this node answered as a keeper."}, []string{"outcome", "reason"}),
	}
	registry.MustRegister(m.found, m.took, m.told, m.answered)
	return m
}

// Found counts a request that needed a worker.
func (m *RoomMetrics) Found(found room.Found) {
	m.found.WithLabelValues(string(found.Source)).Inc()
	if found.Source != room.SourceNone && found.Source != room.SourceCalm {
		m.took.Observe(found.Took.Seconds())
	}
}

// Told counts a report that came without a question.
func (m *RoomMetrics) Told(heard bool) {
	label := "no"
	if heard {
		label = "yes"
	}
	m.told.WithLabelValues(label).Inc()
}

// Answered counts a question that this node answered.
func (m *RoomMetrics) Answered(outcome room.Outcome, reason room.Reason) {
	m.answered.WithLabelValues(outcome.String(), string(reason)).Inc()
}

// Watch tells what this node keeps.
func (m *RoomMetrics) Watch(kept func() (groups, waiting int)) {
	gauge := func(name, help string, read func() int) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "cloverwheel", Name: name, Help: help}, func() float64 { return float64(read()) }))
	}
	gauge("room_groups_kept", "Groups of workers of whose places this node keeps account.", func() int { groups, _ := kept(); return groups })
	gauge("room_waiting", "Requests that wait here for a place at a worker.", func() int { _, waiting := kept(); return waiting })
}
