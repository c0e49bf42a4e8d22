package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/backend"
)

var (
	errUnreachable = errors.New("the worker fell silent and takes no connections")
	errStalled     = errors.New("the worker takes connections but does not answer")
)

const (
	// checkTimeout bounds the connection that tells a slow worker from a dead one.
	checkTimeout = 150 * time.Millisecond
	// maxChecks is how many checks a reachable worker passes before a request that
	// may be repeated is taken away from it.
	maxChecks = 6
)

// watchdog ends an exchange with a worker that has fallen silent.
type watchdog struct {
	worker *backend.Worker
	after  time.Duration
	// patient: a reachable worker is waited for as long as the request may take.
	patient bool
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	checks  atomic.Int32
}

// watch returns a context that ends with errUnreachable or errStalled when the
// worker has not been heard of for a while.
func watch(ctx context.Context, worker *backend.Worker, after time.Duration, patient bool) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{worker: worker, after: after, patient: patient, cancel: cancel}
	w.timer = time.AfterFunc(after, func() { w.check(ctx) })
	return ctx, w
}

// heard starts the wait anew.
func (w *watchdog) heard() {
	w.checks.Store(0)
	w.timer.Reset(w.after)
}

// stop ends the watch and the context.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

func (w *watchdog) check(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, checkTimeout)
	reachable := w.worker.Pool.Reachable(limited)
	cancel()
	if ctx.Err() != nil {
		return
	}
	checks := int(w.checks.Add(1))
	switch {
	case !reachable && checks > 1:
		w.cancel(errUnreachable)
	case !reachable:
		w.timer.Reset(0)
	case checks >= maxChecks && !w.patient:
		w.cancel(errStalled)
	default:
		w.timer.Reset(w.after)
	}
}
