package server

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/groupcommit"
)

var _ groupcommit.Metrics = (*Metrics)(nil)

// registerGatherMetrics registers the metrics of batched row writes.
func (m *Metrics) registerGatherMetrics() {
	m.gatherCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "gather_calls_total", Help: "Calls to the table by which this node wrote gathered rows, by whether the table took them."}, []string{"taken"})
	m.gatherRows = prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cloverwheel", Name: "gather_rows", Help: "Rows in such a call.", Buckets: []float64{1, 2, 4, 8, 16, 32, 64, 100}})
	m.gatherWait = prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cloverwheel", Name: "gather_wait_seconds", Help: "How long rows were at this node until the table had them or their sender's time was over.", Buckets: []float64{.01, .02, .04, .08, .16, .32, .64, 1.28}})
	m.gatherRequests = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "gather_asks_total", Help: "Turns whose rows this node sent to the owner of their group, by what came of it. All but kept were written by a call of the own."}, []string{"outcome"})
	m.Registry.MustRegister(m.gatherCalls, m.gatherRows, m.gatherWait, m.gatherRequests)
}

// RecordCommit implements groupcommit.Metrics.
func (m *Metrics) RecordCommit(rows int, taken bool) {
	label := "no"
	if taken {
		label = "yes"
	}
	m.gatherCalls.WithLabelValues(label).Inc()
	m.gatherRows.Observe(float64(rows))
}

// RecordWait implements groupcommit.Metrics.
func (m *Metrics) RecordWait(waited time.Duration) { m.gatherWait.Observe(waited.Seconds()) }

// RecordForward implements groupcommit.Metrics.
func (m *Metrics) RecordForward(outcome groupcommit.Outcome) {
	m.gatherRequests.WithLabelValues(string(outcome)).Inc()
}
