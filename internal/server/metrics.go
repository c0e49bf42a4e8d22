package server

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/evacuation"
	"github.com/cloverwheel/cloverwheel/internal/forward"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/quota"
	"github.com/cloverwheel/cloverwheel/internal/warmup"
)

// Metrics are a node's counters and histograms.
type Metrics struct {
	Registry   *prometheus.Registry
	Requests   *forward.Metrics
	Room       *RoomMetrics
	Dials      prometheus.Counter
	Looks      prometheus.Counter // whether a worker takes connections
	Relayed    prometheus.Counter // calls to the table that other nodes were asked for
	Experience *ExperienceMetrics
	// ForeignEntries counts entries of the list of workers that name no worker.
	ForeignEntries prometheus.Counter

	limitAnswers *prometheus.CounterVec // by outcome
	coldAnswers  *prometheus.CounterVec // by outcome

	ways               *prometheus.GaugeVec   // round trips by zone
	nodeMessages       *prometheus.CounterVec // by distance
	nodeBytes          *prometheus.CounterVec // by distance and direction
	evacuated          *prometheus.GaugeVec   // by zone
	evacuationRevision *prometheus.GaugeVec   // by zone
	silent             *prometheus.CounterVec // by kind of connection
	grants             *prometheus.CounterVec // by outcome
	found              *prometheus.CounterVec // by what was asked for and what came of it

	gatherCalls *prometheus.CounterVec // by outcome
	gatherRows  prometheus.Histogram
	gatherWait  prometheus.Histogram
	gatherAsks  *prometheus.CounterVec // by outcome

	tableCalls *prometheus.CounterVec // by call and table
	tableBytes *prometheus.CounterVec // by what connections carry, and direction
}

// Directions of bytes.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	m := &Metrics{
		Registry:   registry,
		Requests:   forward.NewMetrics(registry),
		Room:       newRoomMetrics(registry),
		Dials:      prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "worker_connections_total", Help: "New connections to workers."}),
		Looks:      prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "worker_looks_total", Help: "Looks whether a silent worker takes connections."}),
		Experience: newExperienceMetrics(registry),
	}
	m.tableCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "table_calls_total", Help: "Calls to the table by what they do and to which table."}, []string{"call", "table"})
	m.tableBytes = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "table_bytes_total", Help: "Bytes on connections to the table by what these carry: feeds is control, calls is work."}, []string{"carries", "direction"})
	m.limitAnswers = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "limit_answers_total", Help: "Questions to owners of shares of tenants' limits by what came of them."}, []string{"outcome"})
	m.ways = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "cloverwheel", Name: "way_seconds", Help: "What a round trip to workers of a zone is taken to last."}, []string{"zone"})
	m.nodeMessages = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "node_messages_total", Help: "Questions to other nodes by how far these are."}, []string{"distance"})
	m.nodeBytes = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "node_bytes_total", Help: "Bytes of questions to other nodes and of their answers by how far these are."}, []string{"distance", "direction"})
	m.evacuated = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "cloverwheel", Name: "zone_evacuated", Help: "1 while a zone's workers get no new work; zones that never were evacuated are left out."}, []string{"zone"})
	m.evacuationRevision = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "cloverwheel", Name: "zone_evacuated_revision", Help: "The table's revision of the word by which a zone is evacuated or was taken back."}, []string{"zone"})
	m.coldAnswers = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "cold_answers_total", Help: "Questions for a request to a cold worker by what came of them."}, []string{"outcome"})
	m.silent = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "silent_connections_total", Help: "Connections that were given up because they fell silent, by kind."}, []string{"kind"})
	m.grants = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "grants_total", Help: "Requests for a part of a program's budget that this node answered as the owner, by what came of them."}, []string{"outcome"})
	m.found = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "list_questions_total", Help: "Questions to the list of workers for some that this node does not keep, by what was asked for and what came of it."}, []string{"found"})
	registry.MustRegister(m.found, m.limitAnswers, m.coldAnswers, m.silent, m.grants, m.ways, m.nodeMessages, m.nodeBytes, m.evacuated, m.evacuationRevision)
	m.Relayed = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "table_relayed_calls_total", Help: "Calls to the table that other nodes were asked to make."})
	m.ForeignEntries = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "foreign_worker_entries_total", Help: "Entries of the list of workers that appeared or changed and name no worker."})
	registry.MustRegister(m.Dials, m.Looks, m.Relayed, m.ForeignEntries, m.tableCalls, m.tableBytes)
	m.addGathering()
	return m
}

// LimitAnswer counts a question to an owner of a share of a limit.
func (m *Metrics) LimitAnswer(outcome quota.Outcome) {
	m.limitAnswers.WithLabelValues(string(outcome)).Inc()
}

// Found counts a question for workers that this node does not keep.
func (m *Metrics) Found(found string) { m.found.WithLabelValues(found).Inc() }

// WayOf tells what a round trip to a zone is taken to last.
func (m *Metrics) WayOf(zone string, roundTrip time.Duration) {
	m.ways.WithLabelValues(zone).Set(roundTrip.Seconds())
}

// NodeMessage counts a question to another node and its answer, without which received is 0.
func (m *Metrics) NodeMessage(distance locality.Distance, sent, received int) {
	m.nodeMessages.WithLabelValues(distance.String()).Inc()
	m.nodeBytes.WithLabelValues(distance.String(), directionSent).Add(float64(sent))
	m.nodeBytes.WithLabelValues(distance.String(), directionReceived).Add(float64(received))
}

// Evacuation tells that a zone was evacuated or taken back.
func (m *Metrics) Evacuation(change evacuation.Change) {
	value := 0.0
	if change.Evacuated {
		value = 1
	}
	m.evacuated.WithLabelValues(change.Zone).Set(value)
	m.evacuationRevision.WithLabelValues(change.Zone).Set(float64(change.Revision))
}

// ColdAnswer counts a question for a request to a cold worker.
func (m *Metrics) ColdAnswer(outcome warmup.Outcome) {
	m.coldAnswers.WithLabelValues(string(outcome)).Inc()
}

// Grant counts a request for a part of a program's budget, at its owner.
func (m *Metrics) Grant(outcome directory.GrantOutcome) {
	m.grants.WithLabelValues(string(outcome)).Inc()
}

// WatchGrants tells how many directory slots this node owns, and in how many of them it may grant.
func (m *Metrics) WatchGrants(rights func() (may, owned int)) {
	gauge := func(name, help string, read func() int) {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "cloverwheel", Name: name, Help: help}, func() float64 { return float64(read()) }))
	}
	gauge("slots_owned", "Directory slots that this node owns.", func() int { _, owned := rights(); return owned })
	gauge("slots_granting", "Directory slots of which this node may grant parts of budgets.", func() int { may, _ := rights(); return may })
}

// WatchProof tells the age of the proof that the configuration is the newest.
func (m *Metrics) WatchProof(age func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "cloverwheel", Name: "proof_age_seconds", Help: "How long ago the configuration in force was proven to be the newest; 0 without a proof.",
	}, age))
}

// TableCall counts a call to the table.
func (m *Metrics) TableCall(call, table string) { m.tableCalls.WithLabelValues(call, table).Inc() }

// TableBytes counts bytes on connections to the table.
func (m *Metrics) TableBytes(carries string, sent, received int) {
	if sent > 0 {
		m.tableBytes.WithLabelValues(carries, directionSent).Add(float64(sent))
	}
	if received > 0 {
		m.tableBytes.WithLabelValues(carries, directionReceived).Add(float64(received))
	}
}

// MetricsPath is where metrics are told as text.
const MetricsPath = "/metrics"

// Handler tells the metrics.
func (m *Metrics) Handler() http.Handler {
	handler := http.NewServeMux()
	handler.Handle(MetricsPath, promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	return handler
}
