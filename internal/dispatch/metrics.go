package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics count what the dispatcher does.
type metrics struct {
	programs    *prometheus.CounterVec
	calls       *prometheus.CounterVec
	duration    prometheus.Histogram
	retries     prometheus.Counter
	unsettled   prometheus.Counter
	lostNotices prometheus.Counter
	running     prometheus.Gauge
	bytes       prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		programs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverwheel_programs_total", Help: "Programs created and ended at shards led here, by event.",
		}, []string{"event"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverwheel_calls_total", Help: "Calls that got their outcome, by code (ok for an answer).",
		}, []string{"code"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cloverwheel_call_seconds", Help: "Time from a call's arrival to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 16),
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverwheel_call_retries_total", Help: "Attempts after the first.",
		}),
		unsettled: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverwheel_settlements_failed_total", Help: "Tries of settlements that no ledger acknowledged; they are repeated.",
		}),
		lostNotices: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverwheel_notices_lost_total", Help: "Notices that no worker's owner took; holds expire by themselves.",
		}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cloverwheel_programs_running", Help: "Programs under way at shards led here.",
		}),
		bytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cloverwheel_programs_bytes", Help: "Estimated memory of the programs at shards led here.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.programs, m.calls, m.duration, m.retries, m.unsettled, m.lostNotices, m.running, m.bytes)
	}
	return m
}

func (m *metrics) observe(arrived time.Time) {
	m.duration.Observe(time.Since(arrived).Seconds())
}
