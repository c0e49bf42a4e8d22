package peer

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// metrics holds the counters of the client or server side of the transport.
type metrics struct {
	messages *prometheus.CounterVec // by method and code; "ok" on success
	sent     *prometheus.CounterVec // payload bytes by method
	received *prometheus.CounterVec // payload bytes by method
	active   prometheus.Gauge
}

func newMetrics(side string, registerer prometheus.Registerer) *metrics {
	labels := prometheus.Labels{"side": side}
	m := &metrics{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverwheel_peer_messages_total", ConstLabels: labels,
			Help: "Calls and streams between nodes, by method and outcome.",
		}, []string{"method", "code"}),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverwheel_peer_sent_bytes_total", ConstLabels: labels,
			Help: "Payload bytes sent to other nodes, by method.",
		}, []string{"method"}),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverwheel_peer_received_bytes_total", ConstLabels: labels,
			Help: "Payload bytes received from other nodes, by method.",
		}, []string{"method"}),
		active: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cloverwheel_peer_active", ConstLabels: labels,
			Help: "Calls and streams in progress.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.messages, m.sent, m.received, m.active)
	}
	return m
}

// done counts a finished call or stream.
func (m *metrics) done(method string, err error) {
	code := "ok"
	if err != nil {
		code = string(fault.CodeOf(err))
	}
	m.messages.WithLabelValues(method, code).Inc()
}

// registerTLS registers gauges for certificate reload failures and expiry.
func registerTLS(t *TLS, registerer prometheus.Registerer) {
	if t == nil || registerer == nil {
		return
	}
	registerer.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cloverwheel_peer_certificate_reload_failed",
			Help: "1 while the changed certificate files cannot be read and the previous ones stay in use.",
		}, func() float64 {
			if t.Failure() != nil {
				return 1
			}
			return 0
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cloverwheel_peer_certificate_expiry_timestamp_seconds",
			Help: "When this node's certificate ends, in seconds since 1970.",
		}, func() float64 {
			certificate, _ := t.current()
			return float64(certificate.Leaf.NotAfter.Unix())
		}),
	)
}
