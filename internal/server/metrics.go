package server

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/evacuation"
	"github.com/cloverwheel/cloverwheel/internal/forward"
	"github.com/cloverwheel/cloverwheel/internal/inbound"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/quota"
	"github.com/cloverwheel/cloverwheel/internal/warmup"
)

// Metrics are the counters, gauges and histograms of a node.
type Metrics struct {
	Registry     *prometheus.Registry // holds all metrics of the node
	Requests     *forward.Metrics     // client requests
	Capacity     *CapacityMetrics     // placement of requests on workers
	Dials        prometheus.Counter   // new connections to workers
	WorkerProbes prometheus.Counter   // connection probes of unresponsive workers
	RelayedCalls prometheus.Counter   // store calls made through other nodes
	Ejections    *EjectionMetrics     // ejected workers
	// InvalidEntries counts entries of the worker list that do not decode to a worker.
	InvalidEntries prometheus.Counter

	refusedEarly *prometheus.CounterVec // by listener and reason

	limitAnswers *prometheus.CounterVec // by outcome
	coldAnswers  *prometheus.CounterVec // by outcome

	roundTrips         *prometheus.GaugeVec   // by zone
	nodeMessages       *prometheus.CounterVec // by distance
	nodeBytes          *prometheus.CounterVec // by distance and direction
	evacuated          *prometheus.GaugeVec   // by zone
	evacuationRevision *prometheus.GaugeVec   // by zone
	deadConnections    *prometheus.CounterVec // by kind of connection
	grants             *prometheus.CounterVec // by outcome
	workerLookups      *prometheus.CounterVec // by target and result
	streamRecords      *prometheus.CounterVec // by result
	quarantineSent     *prometheus.CounterVec // by result
	copiedEvents       *prometheus.CounterVec // by result

	commitCalls    *prometheus.CounterVec // by outcome
	commitRows     prometheus.Histogram
	commitWait     prometheus.Histogram
	forwardedTurns *prometheus.CounterVec // by outcome

	tableCalls *prometheus.CounterVec // by call and table
	tableBytes *prometheus.CounterVec // by kind of connection and direction
}

// Values of the direction label.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// NewMetrics returns metrics in their own registry.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	m := &Metrics{
		Registry:     registry,
		Requests:     forward.NewMetrics(registry),
		Capacity:     newCapacityMetrics(registry),
		Dials:        prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "worker_connections_total", Help: "New connections to workers."}),
		WorkerProbes: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "worker_looks_total", Help: "Looks whether a silent worker takes connections."}),
		Ejections:    newEjectionMetrics(registry),
	}
	m.tableCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "table_calls_total", Help: "Calls to the table by what they do and to which table."}, []string{"call", "table"})
	m.tableBytes = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "table_bytes_total", Help: "Bytes on connections to the table by what these carry: feeds is control, calls is work."}, []string{"carries", "direction"})
	m.limitAnswers = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "limit_answers_total", Help: "Questions to owners of shares of tenants' limits by what came of them."}, []string{"outcome"})
	m.roundTrips = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "cloverwheel", Name: "way_seconds", Help: "What a round trip to workers of a zone is taken to last."}, []string{"zone"})
	m.nodeMessages = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "node_messages_total", Help: "Questions to other nodes by how far these are."}, []string{"distance"})
	m.nodeBytes = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "node_bytes_total", Help: "Bytes of questions to other nodes and of their answers by how far these are."}, []string{"distance", "direction"})
	m.evacuated = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "cloverwheel", Name: "zone_evacuated", Help: "1 while a zone's workers get no new work; zones that never were evacuated are left out."}, []string{"zone"})
	m.evacuationRevision = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "cloverwheel", Name: "zone_evacuated_revision", Help: "The table's revision of the word by which a zone is evacuated or was taken back."}, []string{"zone"})
	m.coldAnswers = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "cold_answers_total", Help: "Questions for a request to a cold worker by what came of them."}, []string{"outcome"})
	m.deadConnections = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "silent_connections_total", Help: "Connections that were given up because they fell silent, by kind."}, []string{"kind"})
	m.grants = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "grants_total", Help: "Requests for a part of a program's budget that this node answered as the owner, by what came of them."}, []string{"outcome"})
	m.workerLookups = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "list_questions_total", Help: "Questions to the list of workers for some that this node does not keep, by what was asked for and what came of it."}, []string{"found"})
	m.streamRecords = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "stream_records_total", Help: "Records of the software versions that began streams by whether another node got them (sent) or did not answer (lost)."}, []string{"result"})
	m.quarantineSent = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "quarantine_messages_total", Help: "Messages that tell other nodes under which work workers ended, by whether these answered (reached) or not (missed)."}, []string{"result"})
	m.refusedEarly = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "refused_early_total", Help: "Connections that were closed and requests that were refused before they had arrived, by listener and reason."}, []string{"listener", "reason"})
	m.copiedEvents = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "stream_events_copied_total", Help: "Events of kept turns that clients may resume by whether another node had a copy when they left (copied) or not (missed)."}, []string{"result"})
	registry.MustRegister(m.copiedEvents, m.refusedEarly, m.quarantineSent, m.streamRecords, m.workerLookups, m.limitAnswers, m.coldAnswers, m.deadConnections, m.grants, m.roundTrips, m.nodeMessages, m.nodeBytes, m.evacuated, m.evacuationRevision)
	m.RelayedCalls = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "table_relayed_calls_total", Help: "Calls to the table that other nodes were asked to make."})
	m.InvalidEntries = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cloverwheel", Name: "foreign_worker_entries_total", Help: "Entries of the list of workers that appeared or changed and name no worker."})
	registry.MustRegister(m.Dials, m.WorkerProbes, m.RelayedCalls, m.InvalidEntries, m.tableCalls, m.tableBytes)
	m.registerGroupCommitMetrics()
	return m
}

// LimitAnswer counts a request to the owner of a share of a tenant's limit.
func (m *Metrics) LimitAnswer(outcome quota.Outcome) {
	m.limitAnswers.WithLabelValues(string(outcome)).Inc()
}

// RefusedEarly counts a connection that was closed, or a request that was refused, before it had arrived.
func (m *Metrics) RefusedEarly(listener string, reason inbound.Reason) {
	m.refusedEarly.WithLabelValues(listener, string(reason)).Inc()
}

// StreamRecords counts records of the software versions that began streams.
func (m *Metrics) StreamRecords(sent, lost int) {
	m.streamRecords.WithLabelValues("sent").Add(float64(sent))
	m.streamRecords.WithLabelValues("lost").Add(float64(lost))
}

// CopiedEvent counts an event of a turn that its client may resume, by whether another node had a copy of it when it left.
func (m *Metrics) CopiedEvent(copied bool) {
	result := "missed"
	if copied {
		result = "copied"
	}
	m.copiedEvents.WithLabelValues(result).Inc()
}

// RegisterReadings registers gauges of the conversations that a node reads or is to read, and of the reads that it makes at the same time at most.
func (m *Metrics) RegisterReadings(waiting func() (conversations, reads int)) {
	conversations := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "cloverwheel", Name: "conversations_unread", Help: "Conversations that are read from the table or wait for that."}, func() float64 {
		count, _ := waiting()
		return float64(count)
	})
	reads := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "cloverwheel", Name: "conversation_reads_allowed", Help: "Reads of conversations that this node makes at the same time at most; throttling by the table lowers it."}, func() float64 {
		_, allowed := waiting()
		return float64(allowed)
	})
	m.Registry.MustRegister(conversations, reads)
}

// WorkerLookup counts a lookup in the store of workers that this node does not have.
func (m *Metrics) WorkerLookup(result string) { m.workerLookups.WithLabelValues(result).Inc() }

// SetRoundTrip sets the estimated round trip to the workers of a zone.
func (m *Metrics) SetRoundTrip(zone string, roundTrip time.Duration) {
	m.roundTrips.WithLabelValues(zone).Set(roundTrip.Seconds())
}

// NodeMessage counts a call to another node with the sizes of its request and response in bytes;
// received is 0 if there was no response.
func (m *Metrics) NodeMessage(distance locality.Distance, sent, received int) {
	m.nodeMessages.WithLabelValues(distance.String()).Inc()
	m.nodeBytes.WithLabelValues(distance.String(), directionSent).Add(float64(sent))
	m.nodeBytes.WithLabelValues(distance.String(), directionReceived).Add(float64(received))
}

// Evacuation records that a zone was evacuated or is in service again.
func (m *Metrics) Evacuation(change evacuation.Change) {
	value := 0.0
	if change.Evacuated {
		value = 1
	}
	m.evacuated.WithLabelValues(change.Zone).Set(value)
	m.evacuationRevision.WithLabelValues(change.Zone).Set(float64(change.Revision))
}

// ColdAnswer counts a request for permission to use a cold worker.
func (m *Metrics) ColdAnswer(outcome warmup.Outcome) {
	m.coldAnswers.WithLabelValues(string(outcome)).Inc()
}

// Grant counts a request for a part of a program's budget, at the owner.
func (m *Metrics) Grant(outcome directory.GrantOutcome) {
	m.grants.WithLabelValues(string(outcome)).Inc()
}

// RegisterGrantGauges registers gauges of the directory slots that this node owns, and of those
// for which it may grant parts of budgets.
func (m *Metrics) RegisterGrantGauges(rights func() (may, owned int)) {
	m.registerGauge("slots_owned", "Directory slots that this node owns.", func() int { _, owned := rights(); return owned })
	m.registerGauge("slots_granting", "Directory slots of which this node may grant parts of budgets.", func() int { may, _ := rights(); return may })
}

// registerGauge registers a gauge of a number that is read when the metrics are.
func (m *Metrics) registerGauge(name, help string, read func() int) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "cloverwheel", Name: name, Help: help}, func() float64 { return float64(read()) }))
}

// RegisterQuarantineGauges registers gauges of the work under which workers ended.
func (m *Metrics) RegisterQuarantineGauges(count func() (suspected, quarantined int)) {
	m.registerGauge("work_suspected", "Keys of work under which a worker ended and that no worker has answered since.", func() int { suspected, _ := count(); return suspected })
	m.registerGauge("work_quarantined", "Keys of work that is refused because too many workers ended under it.", func() int { _, quarantined := count(); return quarantined })
}

// QuarantineSent counts messages to other nodes about work under which workers ended.
func (m *Metrics) QuarantineSent(reached, missed int) {
	m.quarantineSent.WithLabelValues("reached").Add(float64(reached))
	m.quarantineSent.WithLabelValues("missed").Add(float64(missed))
}

// RegisterProofAge registers a gauge of the age, in seconds, of the proof that the configuration
// is the newest.
func (m *Metrics) RegisterProofAge(age func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "cloverwheel", Name: "proof_age_seconds", Help: "How long ago the configuration in force was proven to be the newest; 0 without a proof.",
	}, age))
}

// StoreCall counts a call to a table of the store.
func (m *Metrics) StoreCall(call, table string) { m.tableCalls.WithLabelValues(call, table).Inc() }

// StoreBytes counts bytes on connections to the store.
func (m *Metrics) StoreBytes(carries string, sent, received int) {
	if sent > 0 {
		m.tableBytes.WithLabelValues(carries, directionSent).Add(float64(sent))
	}
	if received > 0 {
		m.tableBytes.WithLabelValues(carries, directionReceived).Add(float64(received))
	}
}

// MetricsPath is the path of the metrics endpoint.
const MetricsPath = "/metrics"

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
}
