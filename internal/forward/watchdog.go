package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/httpconn"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

var (
	errUnreachable    = errors.New("the worker is silent and accepts no connections")
	errStalled        = errors.New("the worker accepts connections but does not answer")
	errDeadConnection = fmt.Errorf("the worker accepts new connections but this one is dead: %w", httpconn.ErrUnresponsive)
)

const (
	// dialCheckTimeout limits the test connection that distinguishes a slow worker from an
	// unreachable one.
	dialCheckTimeout = 150 * time.Millisecond
	// A request is taken from a worker that accepts connections but does not answer after this
	// many checks: early if the worker already answers requests that were sent later, late if the
	// request may be waiting in its queue or, once its answer has begun, may have been preempted.
	checksIfOvertaken = 3
	checksInQueue     = 9
)

// maxIdleFactor limits the idle timeout to a multiple of its minimum, for services whose
// workers usually take long.
const maxIdleFactor = 8

// unreachableError reports a worker to which two test connections in a row failed.
type unreachableError struct {
	since time.Time // start of the first failed connection
	last  error     // error of the last one
}

// Error implements error.
func (u *unreachableError) Error() string {
	return fmt.Sprintf("%v, first failed %d ms ago: %v", errUnreachable, time.Since(u.since).Milliseconds(), u.last)
}

// Unwrap makes the error match errUnreachable.
func (u *unreachableError) Unwrap() error { return errUnreachable }

// watchdog cancels an exchange with a worker that sends no more data.
type watchdog struct {
	logger         log.Interface // with the request and the worker as fields
	worker         *backend.Worker
	estimates      *backend.LatencyEstimates // usual times without data in the worker's service
	minIdleTimeout time.Duration             // least time without data before a check
	conn           *httpconn.Watch           // distinguishes a dead connection from a silent worker
	// waitForDeadline: a worker that accepts connections is not given up before the deadline.
	waitForDeadline bool
	// repeatable: the request may be sent again on a new connection.
	repeatable bool
	// movable: another worker may take the request over.
	movable bool
	// sentAt and priority identify requests that the worker answers out of order.
	sentAt        time.Time
	priority      int
	cancel        context.CancelCauseFunc
	timer         *time.Timer
	answerStarted atomic.Bool // part of the answer has arrived
	relaying      atomic.Bool // received data is being written to the client, so nothing is read

	mutex        sync.Mutex // guards the fields below; a check may overlap with received data
	lastReceived time.Time  // when the worker last sent data
	checks       int        // number of checks since then
	firstFailure time.Time  // start of the first of the current run of failed checks; zero: the last one succeeded
}

// watch starts checks of the worker once it has been silent for longer than usual, and at least
// for minIdleTimeout. It returns a context that is canceled when they fail. The cause is
// errUnreachable, errStalled or, if the request may be sent again, errDeadConnection.
func (x *exchange) watch(ctx context.Context, worker *backend.Worker, minIdleTimeout time.Duration, waitForDeadline bool) (context.Context, *watchdog) {
	ctx, conn := httpconn.WithWatch(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	now := time.Now()
	w := &watchdog{
		logger: x.options.Logger.WithFields(log.Fields{"request": x.request.ID, "worker": worker.Key()}),
		conn:   conn, worker: worker, estimates: x.options.Workers.LatencyEstimates(x.service), minIdleTimeout: minIdleTimeout, waitForDeadline: waitForDeadline, repeatable: x.route.Repeatable(), movable: x.mayMove(worker.Key()),
		sentAt: now, lastReceived: now, priority: x.priority(), cancel: cancel,
	}
	w.timer = time.AfterFunc(time.Hour, func() { w.check(ctx) })
	w.timer.Reset(w.idleTimeout()) // not before the field is set, which the check reads
	return ctx, w
}

// received records that the worker sent data, and restarts the idle timeout.
func (w *watchdog) received() {
	now := time.Now()
	w.mutex.Lock()
	w.idleEstimate().Observe(now.Sub(w.lastReceived))
	w.lastReceived, w.checks, w.firstFailure = now, 0, time.Time{}
	w.mutex.Unlock()
	w.answerStarted.Store(true)
	w.timer.Reset(w.idleTimeout())
	w.worker.RecordServed(w.sentAt, w.priority)
}

// watchedBody is the body of an answer. It tells the watchdog of each piece that arrives.
type watchedBody struct {
	io.Reader
	watcher *watchdog
}

// Read implements io.Reader.
func (b *watchedBody) Read(buffer []byte) (int, error) {
	count, err := b.Reader.Read(buffer)
	if count > 0 {
		b.watcher.received()
	}
	return count, err
}

// delivered records that the client has accepted the data. The idle time counts from now.
func (w *watchdog) delivered(now time.Time) {
	w.mutex.Lock()
	w.lastReceived = now
	w.mutex.Unlock()
	w.relaying.Store(false)
}

// idleTimeLeft returns how much longer the worker may go without sending data.
func (w *watchdog) idleTimeLeft(now time.Time) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.idleTimeout() - now.Sub(w.lastReceived)
}

// idleEstimate is the usual time without data in this part of the answer: before its first data or between
// later data.
func (w *watchdog) idleEstimate() *timing.LatencyEstimate {
	if w.answerStarted.Load() {
		return &w.estimates.Next
	}
	return &w.estimates.First
}

// idleTimeout is how long the worker may go without sending data before it is checked.
func (w *watchdog) idleTimeout() time.Duration {
	return w.idleEstimate().Timeout(w.minIdleTimeout, maxIdleFactor*w.minIdleTimeout)
}

// isStalled reports whether to give up a worker that accepts connections. An answer that has begun and may not be repeated would only
// be cut.
func (w *watchdog) isStalled(checks int) bool {
	if w.waitForDeadline || w.answerStarted.Load() && !w.repeatable {
		return false
	}
	if !w.answerStarted.Load() && w.worker.Overtaken(w.sentAt, w.priority) {
		return checks >= checksIfOvertaken
	}
	return checks >= checksInQueue
}

// stop ends the watchdog and cancels its context.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// check tests whether the worker accepts connections, and cancels the exchange if it does not, or
// if the worker has been silent for too long.
func (w *watchdog) check(ctx context.Context) {
	if w.relaying.Load() {
		w.timer.Reset(w.idleTimeout()) // a slow client blocks the exchange, not the worker
		return
	}
	begun := time.Now()
	if left := w.idleTimeLeft(begun); left > 0 {
		w.timer.Reset(left)
		return
	}
	limited, cancel := context.WithTimeout(ctx, dialCheckTimeout)
	err := w.worker.Pool().Probe(limited)
	cancel()
	if ctx.Err() != nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lastReceived.After(begun) {
		return // data arrived during the check and restarted the timeout
	}
	if w.checks == 0 && !w.answerStarted.Load() {
		w.worker.RecordTimeout(begun)
	}
	w.checks++
	if err != nil {
		w.dialFailed(begun, err)
		return
	}
	w.firstFailure = time.Time{}
	switch {
	case w.repeatable && w.conn.Unresponsive():
		w.cancel(errDeadConnection)
	case w.isStalled(w.checks):
		w.cancel(errStalled)
	default:
		w.timer.Reset(w.idleTimeout())
	}
}

// dialFailed handles a failed check. The worker is unreachable after two failed checks in a row:
// a single failure is more often a lost packet than a lost worker. A started answer that no other
// worker may continue is not canceled: its worker may only be paused, and the client has its own
// deadline. The caller holds the mutex.
func (w *watchdog) dialFailed(begun time.Time, err error) {
	w.logger.WithFields(log.Fields{
		"look":      w.checks, // number of the check
		"took_ms":   time.Since(begun).Milliseconds(),
		"silent_ms": begun.Sub(w.lastReceived).Milliseconds(),
	}).WithError(err).Warn("worker is silent and a test connection to it failed; it counts as unreachable after two failures in a row")
	if w.firstFailure.IsZero() {
		w.firstFailure = begun
		w.timer.Reset(0)
		return
	}
	if w.answerStarted.Load() && !w.movable {
		w.worker.RecordUnreachable(time.Now())
		w.firstFailure = time.Time{}
		w.timer.Reset(w.idleTimeout())
		return
	}
	w.cancel(&unreachableError{since: w.firstFailure, last: err})
}
