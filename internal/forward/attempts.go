package forward

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/httpconn"
)

// attempts tracks the workers that may have run a request. The route's MaxAttempts limits how
// many of them count at the same time.
//
// A worker stops counting only when its process is known to have ended: its host reports the
// connection closed and the port unused, or another process has registered under its ID. Neither
// can be reversed by a later event. A missing answer or a failed dial is not enough: a worker that
// is paused with a full accept queue, or behind a path that drops the first packets, may still run
// the request.
type attempts struct {
	all     []string // every worker that may have run the request
	counted []string // those of all that are not known to have ended
	dropped []string // the rest of all, each as worker:observation, for the log
	broken  []string // workers that closed or reset the connection before the answer was complete
	// abandoned are workers whose connection this node closed before the answer was complete. Such a request may have
	// reached a later process at the same address.
	abandoned []string
}

// any reports whether some worker may have run the request.
func (a *attempts) any() bool { return len(a.all) > 0 }

// add records that a worker may have run the request.
func (a *attempts) add(worker string) {
	if !slices.Contains(a.all, worker) {
		a.all = append(a.all, worker)
	}
	if !slices.Contains(a.counted, worker) {
		a.counted = append(a.counted, worker)
	}
}

// recordBreak records that the connection to a worker broke before the answer was complete, and whether
// the worker closed it.
func (a *attempts) recordBreak(worker string, err error) {
	if httpconn.ClosedByPeer(err) {
		a.broken = append(a.broken, worker)
		return
	}
	a.recordAbandoned(worker)
}

// recordAbandoned records that this node closed the connection to a worker before the answer was complete.
func (a *attempts) recordAbandoned(worker string) { a.abandoned = append(a.abandoned, worker) }

// endedWithProcess reports whether a request that a worker may have run has ended if the worker's process has: the worker
// closed the connection of each send to it.
func (a *attempts) endedWithProcess(worker string) bool { return !slices.Contains(a.abandoned, worker) }

// processEnded reports whether a worker that may have run the request is known to have ended,
// given the error of a later connection to it. The worker must have closed the request's own
// connection, and its address must now refuse connections. Either alone is not enough: a worker
// that sends a malformed answer also closes connections, and one that shuts down gracefully stops
// listening before it is done.
func (a *attempts) processEnded(worker string, err error) bool {
	return httpconn.Refused(err) && a.closedBy(worker)
}

// supplanted reports whether a worker that may have run the request is known to have ended, given that another process has its
// address. A send that this node gave up may have reached that process.
func (a *attempts) supplanted(worker string) bool {
	return a.closedBy(worker) && a.endedWithProcess(worker)
}

// closedBy reports whether a worker that counts has closed the connection of a send to it.
func (a *attempts) closedBy(worker string) bool {
	return slices.Contains(a.broken, worker) && slices.Contains(a.counted, worker)
}

// unresolved returns the number of workers that closed a connection and are not known to have ended.
func (a *attempts) unresolved() (count int) {
	for _, worker := range a.counted {
		if slices.Contains(a.broken, worker) {
			count++
		}
	}
	return count
}

// drop stops counting a worker.
func (a *attempts) drop(worker, observed string) {
	a.counted = slices.DeleteFunc(a.counted, func(counted string) bool { return counted == worker })
	a.dropped = append(a.dropped, worker+":"+observed)
}

// recordAttempt records that a worker may have run the request.
func (x *exchange) recordAttempt(worker *backend.Worker) {
	x.attempts.add(worker.Key())
	x.attempted = append(x.attempted, worker)
}

// dropRestarted stops counting the workers whose process has been replaced by a new one under the
// same ID or, after it closed the request's connection, at the same address: the old process has ended. An answer of the new process does not show whether
// the old one ran the request. A send that this node gave up may have reached the new process, so its worker still counts.
func (x *exchange) dropRestarted() {
	for _, worker := range x.attempted {
		if slices.Contains(x.attempts.counted, worker.Key()) && worker.Replaced() && x.attempts.endedWithProcess(worker.Key()) {
			x.dropAttempt(worker, observedRestarted)
		}
		if x.attempts.supplanted(worker.Key()) && x.options.Workers.AddressTaken(worker) {
			x.dropAttempt(worker, observedSupplanted)
		}
	}
}

// mayRunElsewhere reports whether the route allows another worker.
func (x *exchange) mayRunElsewhere() bool { return len(x.attempts.counted) < x.route.MaxAttempts }

// mayMove reports whether another worker may take the request over from the given one; empty:
// from a worker not yet chosen.
func (x *exchange) mayMove(from string) bool {
	count := len(x.attempts.counted)
	if !slices.Contains(x.attempts.counted, from) {
		count++
	}
	return x.route.Repeatable() && count < x.route.MaxAttempts
}

// dropAttempt stops counting a worker, and logs the observation that proved its end.
func (x *exchange) dropAttempt(worker *backend.Worker, observed string) {
	id := worker.Key()
	x.attempts.drop(id, observed)
	x.recordEnd(worker, observed)
	x.options.Metrics.AttemptsDropped.WithLabelValues(observed).Inc()
	x.options.Logger.WithFields(log.Fields{
		"request":      x.request.ID,
		"worker":       id,
		"address":      worker.Record().Address,
		"send":         x.sends,
		"observed":     observed,
		"counted":      strings.Join(x.attempts.counted, ","),
		"max_attempts": x.route.MaxAttempts,
	}).WithFields(x.workFields()).Warn("worker no longer counts as one that may have run the request")
}

// logResend logs that a request that may have run is sent again, with the attempts that allow it.
// A send after a worker declined appears only in the request's own log line.
func (x *exchange) logResend(worker *backend.Worker, left time.Duration) {
	if !x.attempts.any() {
		return
	}
	x.options.Logger.WithFields(log.Fields{
		"request":      x.request.ID,
		"worker":       worker.Key(),
		"send":         x.sends,
		"after_ms":     time.Since(x.startTime).Milliseconds(),
		"left_ms":      left.Milliseconds(),
		"counted":      strings.Join(x.attempts.counted, ","),
		"dropped":      strings.Join(x.attempts.dropped, ","),
		"max_attempts": x.route.MaxAttempts,
	}).Info("sending the request again")
}

// addAttemptFields adds to the request's log line how many workers may have run it, if more than
// one, and counts the request if they exceed the route's limit.
func (x *exchange) addAttemptFields(fields log.Fields) {
	if len(x.attempts.all) > 1 {
		fields["may_have_run"] = fmt.Sprintf("%d of %d", len(x.attempts.all), x.route.MaxAttempts)
	}
	if x.route != nil && len(x.attempts.all) > max(1, x.route.MaxAttempts) {
		x.options.Metrics.ExcessAttempts.Inc()
	}
}

// Values of the "observed" log field and metric label: why a worker no longer counts.
const (
	observedEnded     = "ended"     // it closed the connection, and its address refuses new ones
	observedRestarted = "succeeded" // another process has registered under its ID
	// observedSupplanted: it closed the connection, and another process has its address.
	observedSupplanted = "supplanted"
)
