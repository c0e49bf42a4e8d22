package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// Pauses between repeated attempts.
const (
	retryPause    = 20 * time.Millisecond
	maxRetryPause = time.Second
)

// runner runs the calls of one program one after another. There is at most one
// goroutine for it in a leadership.
type runner struct {
	leadership *leadership
	program    id.Program
	gate       chan struct{} // holds an element while a request is being accepted

	mutex  sync.Mutex
	active bool                     // its goroutine runs
	again  bool                     // there may be more to do
	latest time.Time                // arrival of a request that waits for one of its calls
	pauses map[string]time.Duration // that callers expect after a call, by key
	cancel context.CancelFunc       // of the attempt under way
	sent   id.Request               // the last attempt that left this node
}

// runnerOf returns the runner of a program.
func (l *leadership) runnerOf(name id.Program) *runner {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := l.runners[name]
	if r == nil {
		r = &runner{leadership: l, program: name, gate: make(chan struct{}, 1)}
		l.runners[name] = r
	}
	return r
}

// kick makes sure that the program's next call is run.
func (l *leadership) kick(name id.Program) {
	r := l.runnerOf(name)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.again = true
	if r.active || l.ctx.Err() != nil {
		return
	}
	r.active = true
	l.dispatcher.spawn(r.run)
}

// claim takes the runner's goroutine for a call that is about to begin.
func (r *runner) claim() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.active || r.leadership.ctx.Err() != nil {
		return false
	}
	r.active = true
	return true
}

// enter waits until no other request of the program is being accepted, so that
// calls without a number get theirs in the order of arrival.
func (r *runner) enter(ctx context.Context) bool {
	select {
	case r.gate <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) exit() { <-r.gate }

// run takes one call after another until none is ready.
func (r *runner) run() {
	waits := timing.NewBackoff(retryPause, maxRetryPause)
	for {
		call, view, ready := r.next()
		switch {
		case !ready && r.rest():
			return
		case !ready:
		case r.runCall(call, view):
			waits.Reset()
		default:
			_ = timing.Sleep(r.leadership.ctx, waits.NextBackOff())
		}
	}
}

// rest ends the goroutine unless it was kicked in the meantime.
func (r *runner) rest() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.again && r.leadership.ctx.Err() == nil {
		r.again = false
		return false
	}
	r.active = false
	return true
}

// next returns the call whose turn it is.
func (r *runner) next() (call program.Call, view program.View, ready bool) {
	if r.leadership.ctx.Err() != nil {
		return call, view, false
	}
	r.leadership.peek(func(m *program.Machine) {
		call, ready = m.Next(r.program)
		if ready {
			view, _ = m.View(r.program, "")
		}
	})
	return call, view, ready
}

// arrived notes a request that waits for one of the program's calls.
func (r *runner) arrived(request CallRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if request.Arrived.After(r.latest) {
		r.latest = request.Arrived
	}
	if request.ExpectedPause > 0 {
		if r.pauses == nil {
			r.pauses = map[string]time.Duration{}
		}
		r.pauses[request.Key] = request.ExpectedPause
	}
}

// pauseHint returns what the caller expects after the call with key.
func (r *runner) pauseHint(key string) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.pauses[key]
}

// markSent notes that an attempt is about to leave this node.
func (r *runner) markSent(request id.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sent = request
}

func (r *runner) wasSent(request id.Request) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.sent == request
}

// stop cancels the attempt under way, because the program has ended.
func (r *runner) stop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
}

// log opens a log line about a call.
func (r *runner) log(call program.Call) *log.Entry {
	l := r.leadership
	return l.dispatcher.Log.WithFields(log.Fields{
		"program": r.program, "call": call.Number, "attempt": call.Attempt,
		"shard": l.shard, "epoch": l.position.Epoch, "term": l.position.Term,
	})
}

func (r *runner) latestArrival() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.latest
}

// conclude commits a call's outcome. It tries until the outcome is known to be
// recorded or the leadership ends, since a repeated outcome changes nothing.
func (r *runner) conclude(command program.Command) bool {
	l := r.leadership
	waits := timing.NewBackoff(retryPause, maxRetryPause)
	for {
		_, err := l.propose(l.ctx, command)
		if err == nil {
			return true
		}
		if fault.Is(err, fault.NotLeader) || timing.Sleep(l.ctx, waits.NextBackOff()) != nil {
			return false
		}
	}
}

// fail commits that a call ended without an answer.
func (r *runner) fail(call program.Call, problem *fault.Error, refused bool, spent int64) bool {
	attempt := 0
	if call.State == program.Started {
		attempt = call.Attempt
	}
	problem = forCaller(problem)
	r.log(call).WithField("code", problem.Code).WithField("ran", problem.Ran).Warn("call failed")
	return r.conclude(program.Command{Fail: &program.Fail{
		Time: time.Now(), Program: r.program, Call: call.Number, Attempt: attempt, Fault: problem,
		Refused: refused, Spent: spent, Position: r.leadership.position, Arrived: r.latestArrival(),
	}})
}
