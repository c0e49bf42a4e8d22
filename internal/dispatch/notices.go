package dispatch

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/timing"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

const (
	// noticeTries bounds the tries of one notice. A lost one costs little, since
	// everything held for a program has a time limit.
	noticeTries = 3
	// noticeTimeout bounds one try.
	noticeTimeout = 2 * time.Second
)

// notify sends a notice to a worker's owner, in the background.
func notify[Notice any](l *leadership, name id.Worker, method string, notice Notice) {
	d := l.dispatcher
	d.spawn(func() {
		waits := timing.NewBackoff(retryPause, maxRetryPause)
		for range noticeTries {
			if notifyOnce(l.ctx, d, name, method, notice) == nil || timing.Sleep(l.ctx, waits.NextBackOff()) != nil {
				return
			}
		}
		d.metrics.lostNotices.Inc()
	})
}

func notifyOnce[Notice any](ctx context.Context, d *Dispatcher, name id.Worker, method string, notice Notice) error {
	location, known := d.Placer.Locate(name)
	if !known {
		return errNoOutcome
	}
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	_, err := peer.Invoke[worker.Ack](ctx, d.Transport, location.Owner, method, notice)
	return err
}

// notifyPause tells the worker that the program is away until its next call.
func (m *modelCall) notifyPause() {
	l := m.leadership
	var prefix chat.Prefix
	ended := true
	l.peek(func(machine *program.Machine) {
		_, prefix = machine.History(m.program)
		view, problem := machine.View(m.program, "")
		_, more := machine.Next(m.program)
		ended = problem != nil || view.Ended || more
	})
	if ended {
		return
	}
	notify(l, m.call.Worker, worker.MethodPause, worker.PauseNotice{
		Worker: m.call.Worker, Program: m.program, Prefix: prefix,
		Expected: m.expectedPause(), Priority: m.effective.Priority,
	})
}

// programEnded lets go what workers hold for a program that has ended.
func (l *leadership) programEnded(view program.View) {
	d := l.dispatcher
	l.mutex.Lock()
	r := l.runners[view.Program]
	delete(l.runners, view.Program)
	l.mutex.Unlock()
	if r != nil {
		r.stop()
	}
	for _, name := range view.Workers {
		notify(l, name, worker.MethodEnd, worker.EndNotice{Worker: name, Program: view.Program})
	}
	l.learn(view)
	d.metrics.programs.WithLabelValues(endLabel(view)).Inc()
	d.Log.WithField("program", view.Program).WithField("tenant", view.Tenant).WithField("turns", view.Turns).
		WithField("reason", view.Reason).Info("program ended")
}

func endLabel(view program.View) string {
	if view.Fault == nil {
		return "ended"
	}
	return string(view.Fault.Code)
}

// cancelAttempt stops what an ended program may still have running.
func (l *leadership) cancelAttempt(outcome program.Outcome) {
	if outcome.Call.Worker == "" {
		return
	}
	request := id.NewRequest(outcome.Program, outcome.Call.Number, outcome.Call.Attempt)
	notify(l, outcome.Call.Worker, worker.MethodCancel, worker.CancelRequest{Worker: outcome.Call.Worker, Request: request})
}
