package config

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// metrics measures acceptance and spreading. Versions wait in accepted until
// every live node has acknowledged them.
type metrics struct {
	changes     *prometheus.CounterVec
	propagation prometheus.Histogram

	mutex  sync.Mutex
	waited map[uint64]time.Time // acceptance by version
}

// waitedLimit bounds the versions whose spreading is timed.
const waitedLimit = 1024

func newMetrics(registerer prometheus.Registerer, s *Service) *metrics {
	m := &metrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverwheel_config_changes_total",
			Help: "Changes that this node decided on as leader of shard 0, by outcome.",
		}, []string{"outcome"}),
		propagation: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "cloverwheel_config_propagation_seconds",
			Help:    "Time from the acceptance of a version to its being in force on every live node.",
			Buckets: []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 3, 5, 10, 30},
		}),
		waited: map[uint64]time.Time{},
	}
	version := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cloverwheel_config_version", Help: "Configuration version in force on this node.",
	}, func() float64 { return float64(s.Current().Version) })
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cloverwheel_config_confirmed_age_seconds", Help: "Time since the head was last confirmed; -1 before the first time.",
	}, func() float64 {
		if confirmed := s.confirmed.Load(); confirmed != nil {
			return time.Since(*confirmed).Seconds()
		}
		return -1
	})
	if registerer != nil {
		registerer.MustRegister(m.changes, m.propagation, version, age)
	}
	return m
}

const outcomeAccepted = "accepted"

func (m *metrics) applied(err error) {
	outcome := outcomeAccepted
	if err != nil {
		outcome = string(fault.CodeOf(err))
	}
	m.changes.WithLabelValues(outcome).Inc()
}

// accepted starts the clock of a version.
func (m *metrics) accepted(entry Entry) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.waited) < waitedLimit {
		m.waited[entry.Version] = time.Now()
	}
}

// everywhere stops the clocks of all versions up to one.
func (m *metrics) everywhere(version uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for waiting, since := range m.waited {
		if waiting <= version {
			m.propagation.Observe(time.Since(since).Seconds())
			delete(m.waited, waiting)
		}
	}
}
