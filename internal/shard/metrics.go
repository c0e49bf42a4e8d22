package shard

import "github.com/prometheus/client_golang/prometheus"

// metrics counts what the host does.
type metrics struct {
	batches, failures  prometheus.Counter
	changes, recovered prometheus.Counter
	stored             prometheus.Counter
}

func newMetrics(h *Host, registerer prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cloverwheel", Subsystem: "shard", Name: name, Help: help})
	}
	m := &metrics{
		batches:   counter("batches_total", "Batches sent to other nodes."),
		failures:  counter("batch_failures_total", "Batches without an answer."),
		changes:   counter("member_changes_total", "Membership changes proposed."),
		recovered: counter("recoveries_total", "Groups recovered under a new epoch."),
		stored:    counter("stored_bytes_total", "Bytes of snapshots and log tails put into the object store."),
	}
	if registerer == nil {
		return m
	}
	led := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "cloverwheel", Subsystem: "shard", Name: "led", Help: "Shards that this node leads.",
	}, func() float64 { return float64(h.led()) })
	unflushed := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "cloverwheel", Subsystem: "shard", Name: "unflushed_bytes", Help: "Bytes of led shards not yet in the object store.",
	}, func() float64 { return float64(h.Unflushed()) })
	registerer.MustRegister(m.batches, m.failures, m.changes, m.recovered, m.stored, led, unflushed)
	return m
}

// led counts the shards that this node leads.
func (h *Host) led() int {
	count := 0
	for _, g := range h.list() {
		g.mutex.Lock()
		if g.leads {
			count++
		}
		g.mutex.Unlock()
	}
	return count
}
