package member

import (
	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
)

// registerMetrics exposes the counters of a service.
func registerMetrics(registerer prometheus.Registerer, s *Service) {
	if registerer == nil {
		return
	}
	registerer.MustRegister(
		memberGauge(s, "alive", func(m Member) bool { return m.State == Alive }),
		memberGauge(s, "leaving", func(m Member) bool { return m.State == Leaving }),
		memberGauge(s, "suspect", func(m Member) bool { return m.State == Suspect }),
		counter(s, "probes", "Direct probes of other nodes.", func(c Stats) uint64 { return c.Probes }),
		counter(s, "failed_probes", "Direct probes without an answer.", func(c Stats) uint64 { return c.FailedProbes }),
		counter(s, "suspicions", "Suspicions that this node raised.", func(c Stats) uint64 { return c.Suspicions }),
		counter(s, "deaths", "Members that this node saw die.", func(c Stats) uint64 { return c.Deaths }),
		counter(s, "refutations", "Suspicions of this node that it denied.", func(c Stats) uint64 { return c.Refutations }),
		counter(s, "pauses", "Pauses of this process, found by missing ticks.", func(c Stats) uint64 { return c.Pauses }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cloverwheel_member_health_score", Help: "Local health; 0 is best, each point widens this node's timeouts.",
		}, func() float64 { return float64(s.Stats().Health) }),
	)
}

func memberGauge(s *Service, state string, counts func(Member) bool) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cloverwheel_members", Help: "Members by state.", ConstLabels: prometheus.Labels{"state": state},
	}, func() float64 {
		count := 0
		for _, m := range s.View().Members {
			if counts(m) {
				count++
			}
		}
		return float64(count)
	})
}

func counter(s *Service, name, help string, read func(Stats) uint64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "cloverwheel_member_" + name + "_total", Help: help,
	}, func() float64 { return float64(read(s.Stats())) })
}

func (s *Service) logMember(m Member) *log.Entry {
	return s.log.WithFields(log.Fields{
		"member": m.Node, "incarnation": m.Incarnation, "address": m.Address, "zone": m.Zone, "refutation": m.Refutation,
	})
}
