package server

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/groupcommit"
)

var _ groupcommit.Metrics = (*Metrics)(nil)

// registerGroupCommitMetrics registers the metrics of batched row writes.
func (m *Metrics) registerGroupCommitMetrics() {
	m.commitCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "gather_calls_total", Help: "Calls to the table by which this node wrote gathered rows, by whether the table took them."}, []string{"taken"})
	m.commitRows = prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cloverwheel", Name: "gather_rows", Help: "Rows in such a call.", Buckets: []float64{1, 2, 4, 8, 16, 32, 64, 100}})
	m.commitWait = prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cloverwheel", Name: "gather_wait_seconds", Help: "How long rows were at this node until the table had them or their sender's time was over.", Buckets: []float64{.01, .02, .04, .08, .16, .32, .64, 1.28}})
	m.forwardedTurns = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "gather_asks_total", Help: "Turns whose rows this node sent to the owner of their group, by what came of it. All but kept were written by a call of the own."}, []string{"outcome"})
	m.Registry.MustRegister(m.commitCalls, m.commitRows, m.commitWait, m.forwardedTurns)
}

// RecordCommit implements groupcommit.Metrics.
func (m *Metrics) RecordCommit(rows int, taken bool) {
	label := "no"
	if taken {
		label = "yes"
	}
	m.commitCalls.WithLabelValues(label).Inc()
	m.commitRows.Observe(float64(rows))
}

// RecordWait implements groupcommit.Metrics.
func (m *Metrics) RecordWait(waited time.Duration) { m.commitWait.Observe(waited.Seconds()) }

// RecordForward implements groupcommit.Metrics.
func (m *Metrics) RecordForward(outcome groupcommit.Outcome) {
	m.forwardedTurns.WithLabelValues(string(outcome)).Inc()
}
