package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// probeTimeout bounds one query whether a silent leader still leads.
const probeTimeout = time.Second

// The reasons for ending an attempt at a silent leader.
var (
	errMoved  = errors.New("another node leads the shard now")
	errSilent = fault.New(fault.Unavailable, "no leader of the program's shard answers", "try again").WithRan(fault.RanUnknown)
)

// watch looks after one silent stream: a paused leader keeps its connections
// open, so only asking who leads shows that it has been replaced.
type watch struct {
	timer    *time.Timer
	stall    time.Duration
	patience time.Duration

	mutex     sync.Mutex
	contact   time.Time // when the leader last showed that it leads
	confirmed bool      // it has shown that at least once
}

func (f *forwarder) watch(ctx context.Context, program id.Program, address peer.Address, cancel context.CancelCauseFunc) *watch {
	w := &watch{stall: f.stall, patience: f.patience, contact: time.Now()}
	w.timer = time.AfterFunc(f.timeout, func() {
		leader, answered := f.leaderOf(ctx, program)
		switch {
		case ctx.Err() != nil:
			return
		case answered && leader != address:
			cancel(errMoved)
		case answered:
			w.touch()
		case w.silence() > w.patience:
			cancel(errSilent)
		}
		w.timer.Reset(w.stall)
	})
	w.timer.Reset(w.stall)
	return w
}

// touch notes that the leader leads, and puts the next check off.
func (w *watch) touch() {
	w.mutex.Lock()
	w.contact = time.Now()
	w.confirmed = true
	w.mutex.Unlock()
	w.timer.Reset(w.stall)
}

// silence is how long the leader has shown nothing.
func (w *watch) silence() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Since(w.contact)
}

// met reports whether the leader has ever shown that it leads.
func (w *watch) met() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.confirmed
}

func (w *watch) stop() { w.timer.Stop() }

// leaderOf returns the address that answers for the program's shard, if one does.
func (f *forwarder) leaderOf(ctx context.Context, program id.Program) (leader peer.Address, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	err := f.locator.Do(ctx, id.ShardOfProgram(program, f.shards), func(ctx context.Context, address peer.Address) error {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		_, err := peer.Invoke[dispatch.Program](ctx, f.transport, address, dispatch.MethodShow, dispatch.ShowRequest{Program: program})
		if ctx.Err() != nil {
			// Reading is safe to repeat, and the locator must learn of the silence.
			return fault.New(fault.Unavailable, "the leader does not answer", "try another node")
		}
		leader = address
		return err
	})
	return leader, err == nil || fault.Is(err, fault.NotFound) // a leader knows which programs there are
}
