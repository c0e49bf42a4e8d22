package server

import (
	"fmt"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/experience"
)

// ExperienceMetrics count what the experience of all nodes with workers leads to, at the node that
// merges it.
type ExperienceMetrics struct {
	decisions *prometheus.CounterVec // by event and reason
	out       prometheus.Histogram   // how long workers were ejected
}

func newExperienceMetrics(registry *prometheus.Registry) *ExperienceMetrics {
	m := &ExperienceMetrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "worker_ejections_total", Help: "Decisions on workers by the experience of all nodes, by event and reason."}, []string{"event", "reason"}),
		out:       prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cloverwheel", Name: "worker_ejected_seconds", Help: "Time for which workers got no requests but trials.", Buckets: []float64{1, 2, 4, 8, 16, 32}}),
	}
	registry.MustRegister(m.decisions, m.out)
	return m
}

// Noted logs and counts a decision on a worker of a group.
func (m *ExperienceMetrics) Noted(logger log.Interface, group fmt.Stringer, change experience.Change) {
	m.decisions.WithLabelValues(change.Event(), string(change.Reason)).Inc()
	fields := log.Fields{
		"worker": change.Worker,
		"group":  group.String(),
		"reason": string(change.Reason),
		"share":  hundredths(change.Share),
		"weight": hundredths(change.Weight),
		"nodes":  change.Nodes,
		"busy":   hundredths(change.Busy),
	}
	if change.Out {
		fields["wait_ms"] = change.Wait.Milliseconds()
		logger.WithFields(fields).Warnf("worker %s", change.Event())
		return
	}
	fields["lasted_ms"] = change.Lasted.Milliseconds()
	m.out.Observe(change.Lasted.Seconds())
	logger.WithFields(fields).Infof("worker %s", change.Event())
}

// hundredths cuts a number for the log.
func hundredths(value float64) float64 { return float64(int(100*value)) / 100 }
