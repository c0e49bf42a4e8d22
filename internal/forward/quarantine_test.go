package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/quarantine"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// maxEnded is the number of workers that may end under one content.
const maxEnded = 3

// Guards against a request that ends every worker that runs it, and that is sent to more of them within a try and over the tries
// of its client.
func TestWorkUnderWhichWorkersEndIsNotSentOn(t *testing.T) {
	for name, one := range map[string]route.Route{
		"a resumable stream":               turnRoute(resumable),
		"a stream that may not be resumed": turnRoute(nil),
		"a safe request":                   plainRoute(route.Safe, 2),
		"an unsafe request":                plainRoute(route.Unsafe, 1),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, one)
				f.reachable = true
				for index := range 12 {
					id := fmt.Sprintf("w%d", index)
					f.worker(id, f.ends(id))
				}
				for try := range 6 {
					f.serve(t.Context(), func(r *Request) { r.ID = fmt.Sprintf("r%d", try) })
					time.Sleep(150 * time.Millisecond)
				}
				require.Len(t, f.ended, maxEnded)
			})
		})
	}
}

// Guards against a fourth worker for a request whose first worker still took connections for a moment after it closed the request's.
func TestWorkersThatEndSlowlyCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 2))
		f.reachable = true
		for index := range 12 {
			id := fmt.Sprintf("w%d", index)
			f.worker(id, func(ctx context.Context, call Call) (*Answer, error) {
				if len(f.sent()) == 1 {
					time.AfterFunc(20*time.Millisecond, func() { _, _ = f.ends(id)(ctx, call) })
					return nil, io.ErrUnexpectedEOF
				}
				return f.ends(id)(ctx, call)
			})
		}
		require.Equal(t, fault.WorkQuarantined, f.serve(t.Context(), nil).refusal.Code)
		require.Len(t, f.ended, maxEnded)
	})
}

// endUnder records ends of workers under the work of a request for /p/x with the given body.
func (f *fixture) endUnder(body string, ends int) {
	tracker := f.forwarder.options.Quarantine
	keys := quarantine.KeysOf(quarantine.Work{Method: http.MethodPost, Host: "h", Target: "/p/x", Body: []byte(body)})
	for range ends {
		tracker.RecordEnd(keys, tracker.Evidence(keys))
	}
}

// Guards against harmless work that is refused because it ran, time and again, beside fatal work.
func TestSuspectedWorksRunAtDifferentWorkers(t *testing.T) {
	for ends := 1; ends < maxEnded; ends++ {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, plainRoute(route.Safe, 1))
			const works = 12
			for index := range works {
				f.worker(fmt.Sprintf("w%d", index), func(ctx context.Context, call Call) (*Answer, error) {
					time.Sleep(100 * time.Millisecond)
					return answers(http.StatusOK, "ok")(ctx, call)
				})
				f.endUnder(fmt.Sprint(index), ends)
			}
			var running sync.WaitGroup
			for index := range works {
				running.Go(func() { f.serve(t.Context(), func(r *Request) { r.Body = []byte(fmt.Sprint(index)) }) })
			}
			running.Wait()
			require.Len(t, f.triedWorkers(), works)
			require.False(t, f.forwarder.options.Quarantine.Claimed(0, "w0"), "claims are given back")
		})
	}
}

// Guards against a service whose workers are all given to work on its last trial, and against such work that waits for a worker in vain.
func TestWorkOnItsLastTrialIsRefusedWhileOtherSuspectsRunEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 1))
		for _, id := range []string{"w0", "w1"} {
			f.worker(id, answers(http.StatusOK, "ok"))
			require.True(t, f.forwarder.options.Quarantine.Claim(t.Context(), quarantine.Key(7), id))
		}
		f.endUnder("in", maxEnded-1)
		got := f.serve(t.Context(), nil)
		require.Empty(t, f.sent())
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.Positive(t, got.refusal.RetryAfter)
		f.forwarder.options.Quarantine.EndClaim(quarantine.Key(7), "w1")
		require.True(t, f.serve(t.Context(), nil).ended)
	})
}

// Guards against concurrent requests with the same fatal content that each end another worker, at whatever nodes.
func TestSuspectedWorkTriesTheSameWorkerFromAllNodes(t *testing.T) {
	for ends := 1; ends < maxEnded; ends++ {
		tried := map[string]bool{}
		for range 4 {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, plainRoute(route.Safe, 1))
				for index := range 12 {
					f.worker(fmt.Sprintf("w%d", index), resets)
				}
				f.endUnder("in", ends)
				f.serve(t.Context(), nil)
				tried[f.sent()[0].worker] = true
			})
		}
		require.Len(t, tried, 1)
	}
}

// Guards against the last worker of a service being given away to work that may end it, and against services of one worker that serve
// no suspected work.
func TestLastUsableWorkerIsNotGivenToWorkOnItsLastTrial(t *testing.T) {
	for name, c := range map[string]struct {
		workers int // in all; one of them is usable
		served  bool
	}{"one of two": {2, false}, "the only one": {1, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, plainRoute(route.Safe, 1))
				f.worker("w0", answers(http.StatusOK, "ok"))
				loseOther := func() {
					if c.workers > 1 {
						f.worker("w1", refusesConnections)
						unusable, _ := f.workers.WorkerByKey("w1")
						unusable.RecordUnreachable(time.Now())
					}
				}
				loseOther()
				f.endUnder("in", maxEnded-1)
				got := f.serve(t.Context(), nil)
				require.Equal(t, c.served, got.ended)
				if c.served {
					return
				}
				require.Equal(t, fault.RanNo, got.refusal.Ran)
				require.GreaterOrEqual(t, got.refusal.RetryAfter, lastTrialDelay, "an earlier try would be refused, too")
				time.Sleep(got.refusal.RetryAfter)
				loseOther()
				require.True(t, f.serve(t.Context(), nil).ended, "the other worker does not come back, and the work is not refused for ever")
			})
		})
	}
}

// Guards against work that is suspected for breaks that prove no end of a worker: by the network, or by a worker that goes on.
func TestBreaksWithoutAnEndRaiseNoSuspicion(t *testing.T) {
	for name, breaks := range map[string]error{"the network": errReset, "a worker that goes on": io.ErrUnexpectedEOF} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, plainRoute(route.Safe, 2))
				f.reachable = true
				for index := range 6 {
					f.worker(fmt.Sprintf("w%d", index), func(context.Context, Call) (*Answer, error) { return nil, breaks })
				}
				for range 4 {
					f.serve(t.Context(), nil)
				}
				require.True(t, f.forwarder.options.Quarantine.Empty())
			})
		})
	}
}

// Guards against an end that is missed because another process had the worker's address by the time that the node looked.
func TestWorkerWhoseAddressHasAnotherProcessHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 1))
		f.reachable = true
		f.worker("w0", func(ctx context.Context, call Call) (*Answer, error) {
			if len(f.sent()) == 1 {
				return nil, io.ErrUnexpectedEOF
			}
			answer, err := declines(ctx, call)
			answer.OtherProcess = true
			return answer, err
		})
		f.serve(t.Context(), nil)
		suspected, _ := f.forwarder.options.Quarantine.Count()
		require.Equal(t, 1, suspected)
	})
}

// Guards against failing a request whose worker was replaced at its address before the node looked.
func TestRequestOfASupplantedWorkerIsSentToItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 1))
		f.reachable = true
		f.startProcess(1, 1)
		f.scripts["w0"] = func(context.Context, Call) (*Answer, error) {
			f.worker("w1", answers(http.StatusOK, "ok"))
			f.workers.Put(backend.Record{ID: "w1", StartedAt: time.UnixMilli(2000), Service: "s", Address: "w0", Zone: "z", Slots: 4, Revision: 2})
			f.workers.Remove("w0")
			return nil, io.ErrUnexpectedEOF
		}
		require.True(t, f.serve(t.Context(), nil).ended)
	})
}

// Guards against work that is suspected because the worker that ran it was leaving and ended as planned.
func TestEndOfALeavingWorkerRaisesNoSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 1))
		f.worker("w0", func(ctx context.Context, call Call) (*Answer, error) {
			f.workers.Put(backend.Record{ID: "w0", Service: "s", Address: "w0", Zone: "z", Slots: 4, Revision: 2, Draining: true})
			return f.ends("w0")(ctx, call)
		})
		f.serve(t.Context(), nil)
		require.True(t, f.forwarder.options.Quarantine.Empty())
	})
}

// silentPeers are nodes that do not answer.
type silentPeers struct{}

func (silentPeers) ShareQuarantine(ctx context.Context, _ budget.Holder, _ quarantine.ShareRequest) (quarantine.ShareAnswer, error) {
	<-ctx.Done()
	return quarantine.ShareAnswer{}, ctx.Err()
}

// Guards against a node that serves before it knows what others know, and against one that waits for nodes that never answer.
func TestStartedNodeRefusesUntilItKnowsWhatOthersKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 1))
		f.worker("w0", answers(http.StatusOK, "ok"))
		replicator := quarantine.NewReplicator(quarantine.ReplicatorOptions{
			Tracker: f.forwarder.options.Quarantine, Self: budget.Holder{Process: "self", Address: "self"}, Peers: silentPeers{},
			Nodes:  func() []budget.Holder { return []budget.Holder{{Process: "other", Address: "other"}} },
			Logger: f.forwarder.options.Logger,
		})
		ctx, stop := context.WithCancel(t.Context())
		go replicator.Run(ctx)
		got := f.serve(t.Context(), nil)
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.Positive(t, got.refusal.RetryAfter)
		time.Sleep(time.Second)
		require.True(t, f.serve(t.Context(), nil).ended)
		stop()
		time.Sleep(time.Second)
	})
}

// Guards against answers other than a final refusal to quarantined work, and against sends, reservations or waiting before it.
func TestQuarantinedWorkIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(resumable))
		f.worker("w0", streams(3, 0))
		f.endUnder("in", maxEnded)
		got := f.serve(t.Context(), nil)
		require.Equal(t, fault.WorkQuarantined, got.refusal.Code)
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.Zero(t, got.refusal.RetryAfter)
		require.Zero(t, got.took)
		require.Empty(t, f.sent())
	})
}
