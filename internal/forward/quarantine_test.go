package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/backend"
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

// endUnder records ends of workers under the work of a request for /p/x with the given body.
func (f *fixture) endUnder(body string, ends int) {
	tracker := f.forwarder.options.Quarantine
	keys := quarantine.KeysOf(quarantine.Work{Method: http.MethodPost, Host: "h", Target: "/p/x", Body: []byte(body)})
	for range ends {
		tracker.RecordEnd(keys, tracker.Evidence(keys))
	}
}

// Guards against harmless work that is refused because it was sent, time and again, to the same worker as fatal work.
func TestWorksOnTheirLastTrialTryDifferentWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 1))
		for index := range 12 {
			f.worker(fmt.Sprintf("w%d", index), resets)
		}
		const works = 6
		for index := range works {
			f.endUnder(fmt.Sprint(index), maxEnded-1)
		}
		for index := range works {
			f.serve(t.Context(), func(r *Request) { r.Body = []byte(fmt.Sprint(index)) })
		}
		require.Len(t, f.triedWorkers(), works)
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
				if c.workers > 1 {
					f.worker("w1", answers(http.StatusOK, "ok"))
					unusable, _ := f.workers.WorkerByKey("w1")
					unusable.RecordUnreachable(time.Now())
				}
				f.endUnder("in", maxEnded-1)
				got := f.serve(t.Context(), nil)
				require.Equal(t, c.served, got.ended)
				if !c.served {
					require.Equal(t, fault.RanNo, got.refusal.Ran)
					require.Positive(t, got.refusal.RetryAfter)
				}
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
