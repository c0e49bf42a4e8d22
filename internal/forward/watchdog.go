package forward

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/httpconn"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

var (
	errUnreachable = errors.New("the worker fell silent and takes no connections")
	errStalled     = errors.New("the worker takes connections but does not answer")
	errSilent      = fmt.Errorf("the worker takes new connections but nothing of this one: %w", httpconn.ErrSilent)
)

const (
	// checkTimeout bounds the connection that tells a slow worker from a dead one.
	checkTimeout = 150 * time.Millisecond
	// A request is taken away from a worker that takes connections after so many
	// checks: soon if the worker answers later ones before it, late if it may be
	// waiting its turn there.
	checksIfOvertaken = 3
	checksInQueue     = 9
)

// patienceRange is how much longer than its least the wait for a silent worker may
// be, where the workers of its service are usually silent for long.
const patienceRange = 8

// unreachable is a worker to which no connection came up in several tries in a row.
type unreachable struct {
	since time.Time // when the first of them was made
	last  error     // why the last one failed
}

// Error implements error.
func (u *unreachable) Error() string {
	return fmt.Sprintf("%v, first tried %d ms ago: %v", errUnreachable, time.Since(u.since).Milliseconds(), u.last)
}

// Unwrap makes it an errUnreachable.
func (u *unreachable) Unwrap() error { return errUnreachable }

// watchdog ends an exchange with a worker that has fallen silent.
type watchdog struct {
	logger   log.Interface // that names the request and the worker
	worker   *backend.Worker
	silences *backend.Silences // usual at the worker's service
	least    time.Duration     // of silence before the worker is looked for
	line     *httpconn.Watch   // tells whether the connection is silent, or the worker
	// patient: a reachable worker is waited for as long as the request may take.
	patient bool
	// repeatable: the request may be sent again, on a new connection.
	repeatable bool
	// movable: another worker may take the request over from this one.
	movable bool
	// sent and priority tell whether the worker serves others before this request.
	sent     time.Time
	priority int
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	begun    atomic.Bool // the answer has begun
	passing  atomic.Bool // what the worker has sent is being passed on: nothing is read meanwhile

	mutex  sync.Mutex // a look may be under way when the worker is heard
	last   time.Time  // when the worker was last heard
	checks int        // looks since then
	missed time.Time  // when the first of the looks in a row began that found nobody; zero: none did
}

// watch returns a context that ends with errUnreachable, errStalled or, if the request may
// be sent again, errSilent when the worker has not been heard of for longer than is usual,
// and for least at least.
func (x *exchange) watch(ctx context.Context, worker *backend.Worker, least time.Duration, patient bool) (context.Context, *watchdog) {
	ctx, line := httpconn.WithWatch(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	now := time.Now()
	w := &watchdog{
		logger: x.options.Logger.WithFields(log.Fields{"request": x.request.ID, "worker": worker.Key()}),
		line:   line, worker: worker, silences: x.options.Workers.Silences(x.service), least: least, patient: patient, repeatable: x.route.Repeatable(), movable: x.movable(worker.Key()),
		sent: now, last: now, priority: x.priority(), cancel: cancel,
	}
	w.timer = time.AfterFunc(w.patience(), func() { w.check(ctx) })
	return ctx, w
}

// heard starts the wait anew.
func (w *watchdog) heard() {
	now := time.Now()
	w.mutex.Lock()
	w.usual().Observe(now.Sub(w.last))
	w.last, w.checks, w.missed = now, 0, time.Time{}
	w.mutex.Unlock()
	w.begun.Store(true)
	w.timer.Reset(w.patience())
	w.worker.Serves(w.sent, w.priority)
}

// taken notes that the client has taken what the worker sent: its silence counts from now.
func (w *watchdog) taken(now time.Time) {
	w.mutex.Lock()
	w.last = now
	w.mutex.Unlock()
	w.passing.Store(false)
}

// patienceLeft is how much longer the worker may be silent at a moment.
func (w *watchdog) patienceLeft(now time.Time) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.patience() - now.Sub(w.last)
}

// usual is how long a worker is usually silent where the answer stands.
func (w *watchdog) usual() *wait.Estimate {
	if w.begun.Load() {
		return &w.silences.Next
	}
	return &w.silences.First
}

// patience is how long the worker may be silent before it is looked for.
func (w *watchdog) patience() time.Duration {
	return w.usual().Longest(w.least, patienceRange*w.least)
}

// stalled reports whether a worker that takes connections is to be given up.
func (w *watchdog) stalled(checks int) bool {
	if w.patient {
		return false
	}
	if w.worker.Overtaken(w.sent, w.priority) {
		return checks >= checksIfOvertaken
	}
	return checks >= checksInQueue
}

// stop ends the watch and the context.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// check looks whether the worker is there, and gives it up if it is not, or has been silent for
// long enough.
func (w *watchdog) check(ctx context.Context) {
	if w.passing.Load() {
		w.timer.Reset(w.patience()) // the client is slow, the worker need not be silent
		return
	}
	begun := time.Now()
	if left := w.patienceLeft(begun); left > 0 {
		w.timer.Reset(left)
		return
	}
	limited, cancel := context.WithTimeout(ctx, checkTimeout)
	err := w.worker.Pool().Reach(limited)
	cancel()
	if ctx.Err() != nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.last.After(begun) {
		return // it was heard meanwhile, and the wait for it begun anew
	}
	if w.checks == 0 && !w.begun.Load() {
		w.worker.FellSilent(begun)
	}
	w.checks++
	if err != nil {
		w.miss(begun, err)
		return
	}
	w.missed = time.Time{}
	switch {
	case w.repeatable && w.line.Silent():
		w.cancel(errSilent)
	case w.stalled(w.checks):
		w.cancel(errStalled)
	default:
		w.timer.Reset(w.patience())
	}
}

// miss takes the worker to be out of reach after two looks in a row that found nobody: a single
// one that fails is a lost packet more often than a lost worker. An answer that has begun and
// that nobody else may go on with is not ended for that: its worker may be paused, and its client
// knows how long it waits (before workers that turn dark, mute or unreachable, waiting and
// ending cost the same: mean worth 0.907 and 0.908 of five days). The caller holds the mutex.
func (w *watchdog) miss(begun time.Time, err error) {
	w.logger.WithFields(log.Fields{
		"look":      w.checks,
		"took_ms":   time.Since(begun).Milliseconds(),
		"silent_ms": begun.Sub(w.last).Milliseconds(),
	}).WithError(err).Warn("worker is silent and no connection to it came up")
	if w.missed.IsZero() {
		w.missed = begun
		w.timer.Reset(0)
		return
	}
	if w.begun.Load() && !w.movable {
		w.worker.Unreachable(time.Now())
		w.missed = time.Time{}
		w.timer.Reset(w.patience())
		return
	}
	w.cancel(&unreachable{since: w.missed, last: err})
}
