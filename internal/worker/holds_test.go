package worker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/standin"
)

// pauseAfterCall makes one call and pauses the program for an hour.
func (f *fixture) pauseAfterCall(program id.Program) Location {
	job := f.job(program, 1, 20)
	location, err := f.place("n0", job)
	require.NoError(f.t, err)
	outcome, err := f.submit("n0", location, job)
	require.NoError(f.t, err)
	_, err = peer.Invoke[Ack](f.t.Context(), f.network.Transport("n0"), location.Owner, MethodPause, PauseNotice{
		Worker: location.Worker, Program: program, Prefix: job.Prefix.Extend(outcome.Message), Expected: time.Hour,
	})
	require.NoError(f.t, err)
	return location
}

func (f *fixture) held(worker *standin.Engine) int {
	report, err := worker.Load(f.t.Context())
	require.NoError(f.t, err)
	return report.HeldTokens
}

func TestHoldsEnd(t *testing.T) {
	for name, test := range map[string]struct {
		alive func(context.Context, id.Program) (bool, error) // nil: nobody to ask
		then  func(*fixture)
		kept  time.Duration // the context must still be held after it
		gone  time.Duration // and must not be after it
	}{
		"the program lives": {
			alive: func(context.Context, id.Program) (bool, error) { return true, nil },
			then:  func(*fixture) {},
			kept:  4 * time.Minute,
			gone:  5*time.Minute + 2*time.Second,
		},
		"the program is gone and nobody said so": {
			alive: func(context.Context, id.Program) (bool, error) { return false, nil },
			then:  func(*fixture) {},
			kept:  10 * time.Second,
			gone:  20 * time.Second,
		},
		"nobody can say whether it lives": {
			alive: func(context.Context, id.Program) (bool, error) {
				return false, fault.New(fault.Unavailable, "no leader", "wait")
			},
			then: func(*fixture) {},
			kept: 25 * time.Second,
			gone: 45 * time.Second,
		},
		"its owner dies": {
			then: func(f *fixture) { f.kill("n0") },
			kept: 3 * time.Second,
			gone: 12 * time.Second,
		},
		"its owner is paused past its ownership": {
			then: func(f *fixture) { f.setState("n0", member.Dead) },
			kept: 3 * time.Second,
			gone: 12 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := prepareFixture(t, 1, 1, 1)
				engines := newStandins(f, enginemodel.Options{Model: "m"})
				f.alive = test.alive
				f.dialStandins(engines)
				f.start()
				f.pauseAfterCall("p-1")
				test.then(f)
				time.Sleep(test.kept)
				require.Positive(t, f.held(engines["w0"]))
				time.Sleep(test.gone - test.kept)
				require.Zero(t, f.held(engines["w0"]))
				f.stopAll()
			})
		})
	}
}

// TestCallersSeeNoEndBeforeTheCore: a caller that has its outcome may say at once
// that its program pauses, and the Core must know by then that the call is over.
func TestCallersSeeNoEndBeforeTheCore(t *testing.T) {
	service := New(Options{Mux: peer.NewMux(), Dial: func(outside.Machine) engine.Client { return newFakeEngine() }})
	owned := newOwner(service, "w0", outside.Machine{ID: "w0"})
	open := newStream("r1")
	owned.mutex.Lock()
	finished := make(chan struct{})
	go func() {
		owned.finish(Action{Request: "r1"}, open, engine.Outcome{}, nil)
		close(finished)
	}()
	time.Sleep(20 * time.Millisecond)
	_, done, _ := open.from(0)
	require.False(t, done)
	owned.mutex.Unlock()
	<-finished
	_, done, _ = open.from(0)
	require.True(t, done)
}

func TestBrokenStreamsAreJoinedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		faults standin.EngineFaults
		ran    fault.Ran // empty: the whole answer comes
	}{
		"the stream breaks halfway":            {standin.EngineFaults{BreakStreamAt: 10}, ""},
		"the outcome is lost after the work":   {standin.EngineFaults{LoseOutcomes: 1}, ""},
		"everything is sent twice":             {standin.EngineFaults{AnswerTwice: true}, ""},
		"the engine forgets what it was doing": {standin.EngineFaults{Dead: true}, fault.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, engines := newStandinFixture(t, 1, 1, 1, enginemodel.Options{Model: "m"})
				job := f.job("p-1", 1, 40)
				location, err := f.place("n0", job)
				require.NoError(t, err)
				go func() {
					time.Sleep(300 * time.Millisecond)
					engines["w0"].SetEngineFaults(test.faults)
					time.Sleep(2 * time.Second)
					engines["w0"].SetEngineFaults(standin.EngineFaults{})
				}()
				job.Worker = location.Worker
				tokens := 0
				var outcome *engine.Outcome
				err = peer.InvokeStream(t.Context(), f.network.Transport("n0"), location.Owner, MethodSubmit, job, func(event Event) error {
					if event.Chunk != nil {
						require.Equal(t, tokens, event.Chunk.Offset, "no gap and no repeat")
						tokens += event.Chunk.Tokens
					}
					outcome = event.Outcome
					return nil
				})
				runs := engines["w0"].Record().Runs
				require.Equal(t, 1, runs[0].Starts)
				if test.ran != "" {
					require.Equal(t, test.ran, fault.From(err).Ran)
				} else {
					require.NoError(t, err)
					require.Equal(t, outcome.Usage.OutputTokens, tokens)
				}
				settle()
				f.stopAll()
			})
		})
	}
}
