package forward

import (
	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
)

// Values of the "since" log field and metric label: which answer holds the events of a continued stream.
const (
	sinceSameAnswer   = "answer"  // events of this answer
	sinceEarlierTries = "request" // events of the client's earlier requests
)

// logContinued logs and counts a send to a worker that is asked to go on with a stream after its last event.
func (x *exchange) logContinued(worker *backend.Worker) {
	if x.lastEventID == "" {
		return
	}
	since := sinceEarlierTries
	if x.events > 0 {
		since = sinceSameAnswer
	}
	x.options.Metrics.ContinuedStreams.WithLabelValues(since).Inc()
	x.options.Logger.WithFields(log.Fields{
		"request":         x.request.ID,
		"resumes":         x.request.Resumes,
		"since":           since,
		"last_event":      x.lastEventID,
		"relayed_by":      x.relayedBy,
		"relayed_version": x.relayedVersion,
		"worker":          worker.Key(),
		"version":         worker.Record().SoftwareVersion,
		"send":            x.sends,
	}).Info("sending a stream's request to go on after its last event")
}

// recordRelayed records the worker whose event is relayed.
func (x *exchange) recordRelayed(worker *backend.Worker) {
	x.relayedBy, x.relayedVersion = worker.Key(), worker.Record().SoftwareVersion
}
