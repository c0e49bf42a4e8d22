package ledger

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	granted   prometheus.Counter
	refused   *prometheus.CounterVec
	draws     prometheus.Counter
	forfeited prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		granted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverwheel_ledger_reservations_total", Help: "Reservations granted by this node as a shard's leader.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverwheel_ledger_refusals_total", Help: "Reservations refused by this node as a shard's leader, by code.",
		}, []string{"code"}),
		draws: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverwheel_ledger_draws_total", Help: "Writes to the table that drew blocks for one or more tenants.",
		}),
		forfeited: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverwheel_ledger_forfeits_total", Help: "Reservations of unknown outcome that were charged in full.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.granted, m.refused, m.draws, m.forfeited)
	}
	return m
}
