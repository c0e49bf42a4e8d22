package server

import (
	"fmt"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/outlier"
)

// EjectionMetrics count the decisions to eject and readmit workers, on the node that merges the
// observations of all nodes.
type EjectionMetrics struct {
	decisions  *prometheus.CounterVec // by event and reason
	ejectedFor prometheus.Histogram   // seconds for which workers were ejected
}

func newEjectionMetrics(registry *prometheus.Registry) *EjectionMetrics {
	m := &EjectionMetrics{
		decisions:  prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "worker_ejections_total", Help: "Decisions on workers by the experience of all nodes, by event and reason."}, []string{"event", "reason"}),
		ejectedFor: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cloverwheel", Name: "worker_ejected_seconds", Help: "Time for which workers got no requests but trials.", Buckets: []float64{1, 2, 4, 8, 16, 32}}),
	}
	registry.MustRegister(m.decisions, m.ejectedFor)
	return m
}

// RecordDecision logs and counts a decision on a worker of a group.
func (m *EjectionMetrics) RecordDecision(logger log.Interface, group fmt.Stringer, change outlier.Change) {
	m.decisions.WithLabelValues(change.Event(), string(change.Reason)).Inc()
	fields := log.Fields{
		"worker": change.Worker,
		"group":  group.String(),
		"reason": string(change.Reason),
		"share":  truncateHundredths(change.FailureRate),
		"weight": truncateHundredths(change.Requests),
		"nodes":  change.Nodes,
		"busy":   truncateHundredths(change.Utilization),
	}
	if change.Ejected {
		fields["wait_ms"] = change.TrialDelay.Milliseconds()
		logger.WithFields(fields).Warnf("worker %s", change.Event())
		return
	}
	fields["lasted_ms"] = change.EjectedFor.Milliseconds()
	m.ejectedFor.Observe(change.EjectedFor.Seconds())
	logger.WithFields(fields).Infof("worker %s", change.Event())
}

// truncateHundredths truncates a number to two decimals.
func truncateHundredths(value float64) float64 { return float64(int(100*value)) / 100 }
