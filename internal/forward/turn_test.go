package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

func turnRoute(change func(*route.Route)) route.Route {
	turn := plainRoute(route.Streaming, 1)
	turn.Timeout = 3 * time.Second
	turn.Retention = time.Minute
	if change != nil {
		change(&turn)
	}
	return turn
}

func resumable(r *route.Route) { r.Resumable = true }

func retained(r *route.Route) { r.StoreTurns = true }

// Guards against changing a worker's stream on its way to the client.
func TestStreamIsPassedOnByteForByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(nil))
		f.worker("w", streams(5, 0))
		got := f.serve(t.Context(), nil)
		require.Equal(t, events(5), got.body.String())
		require.True(t, got.ended)
		require.Equal(t, 1, got.finalAnswers)
	})
}

// Guards against an empty answer to a client that resumes after the last event: it still gets the
// head and a proper end.
func TestStreamWithoutEventsStillSendsItsHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(resumable))
		f.worker("w", streams(3, 0))
		got := f.serve(t.Context(), func(r *Request) { r.LastEventID = "3" })
		require.Equal(t, http.StatusOK, got.status, "the head is sent")
		require.True(t, got.ended)
		require.Empty(t, got.body.String())
	})
}

// Guards against missing or repeated events when a stream is resumed.
func TestBrokenStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(resumable))
		calls := 0
		f.worker("w", func(ctx context.Context, call Call) (*Answer, error) {
			calls++
			if calls < 3 {
				return streams(9, 2*calls)(ctx, call)
			}
			return streams(9, 0)(ctx, call)
		})
		got := f.serve(t.Context(), nil)
		require.Equal(t, events(9), got.body.String(), "each event once, in order")
		require.True(t, got.ended)
		require.Equal(t, []string{"", "2", "4"}, []string{f.sent()[0].resume, f.sent()[1].resume, f.sent()[2].resume})
	})
}

// Guards against a broken stream that looks complete, or is sent again without permission.
func TestUnresumableBrokenStreamIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		f.worker("w", streams(9, 3))
		got := f.serve(t.Context(), nil)
		require.True(t, got.aborted)
		require.False(t, got.ended)
		require.Len(t, f.sent(), 1)
	})
}

// Guards against a wrong history, in particular at a node that has none of it cached.
func TestTurnContinuesAnEarlierOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		f.worker("w", streams(2, 0))
		f.serve(t.Context(), func(r *Request) { r.ID, r.Body = "t1", []byte("one;") })
		f.serve(t.Context(), func(r *Request) { r.ID, r.Body, r.PreviousTurn = "t2", []byte("two;"), "t1" })
		// Another node without a cache continues from t2 twice.
		other := newFixture(t, turnRoute(retained))
		other.table = f.table
		other.forwarder.options.History = newHistory(f.table)
		other.worker("w", streams(2, 0))
		for _, branch := range []string{"t3", "t4"} {
			got := other.serve(t.Context(), func(r *Request) { r.ID, r.Body, r.PreviousTurn = branch, []byte("next"), "t2" })
			require.True(t, got.ended)
		}
		for _, call := range other.sent() {
			require.Equal(t, "one;t1\nt2\ntwo;t1\nt2\nnext", call.body)
		}
	})
}

// Guards against reporting a turn as missing while the store cannot be read.
func TestTurnIsNotFoundOnlyIfTheStoreLacksIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		f.worker("w", streams(2, 0))
		from := func(r *Request) { r.PreviousTurn = "nowhere" }
		require.Equal(t, fault.NotFound, f.serve(t.Context(), from).refusal.Code)
		for _, down := range []storetest.Fault{storetest.RequestLost, storetest.Refused, storetest.ConnectionReset} {
			f.table.SetFault(func(string, bool) storetest.Fault { return down })
			got := f.serve(t.Context(), from)
			require.Equal(t, fault.Unavailable, got.refusal.Code)
			require.Equal(t, fault.RanNo, got.refusal.Ran)
			require.Positive(t, got.refusal.RetryAfter)
			require.Less(t, got.took, 1200*time.Millisecond, "refused early enough for a retry")
		}
		require.Empty(t, f.sent())
	})
}

// Guards against completing an answer whose turn was not stored.
func TestTurnIsNotCompleteBeforeItIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		f.worker("w", streams(3, 0))
		f.table.SetFault(func(_ string, write bool) storetest.Fault {
			if write {
				return storetest.RequestLost
			}
			return storetest.None
		})
		got := f.serve(t.Context(), nil)
		require.Equal(t, events(3), got.body.String(), "events do not wait for the store")
		require.False(t, got.ended)
		require.True(t, got.aborted)
	})
}

// Guards against running turns after the program has spent its budget.
func TestSpentBudgetRefusesTheTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(nil))
		f.worker("w", streams(5, 0)) // uses 50 tokens
		turn := func(r *Request) { r.Program, r.TokenBudget, r.MaxOutputTokens = "p", 120, 60 }
		for range 3 { // the third exceeds the budget: 150 tokens, and up to 179 are allowed
			require.True(t, f.serve(t.Context(), turn).ended)
		}
		got := f.serve(t.Context(), turn)
		require.Equal(t, fault.BudgetExhausted, got.refusal.Code)
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.Zero(t, got.refusal.RetryAfter)
		require.Len(t, f.sent(), 3)
		time.Sleep(time.Minute)
	})
}

// Guards against running a turn without reserved tokens, and against refusing it too late for a
// retry.
func TestTurnIsRefusedWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(resumable))
		f.worker("w", streams(5, 0))
		f.table.SetFault(func(string, bool) storetest.Fault { return storetest.RequestLost })
		got := f.serve(t.Context(), func(r *Request) { r.Program, r.TokenBudget, r.MaxOutputTokens = "p", 1000, 60 })
		require.Equal(t, fault.Unavailable, got.refusal.Code)
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.Positive(t, got.refusal.RetryAfter)
		require.Less(t, got.took, 3*time.Second/2)
		require.Empty(t, f.sent())
		f.table.SetFault(nil)
		time.Sleep(5 * time.Minute) // until the pending draw is settled
	})
}

// Guards against moving a program away from the worker that holds its context.
func TestProgramStaysAtItsWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(resumable))
		for _, id := range []string{"w1", "w2", "w3", "w4"} {
			f.worker(id, streams(2, 0))
		}
		for range 5 {
			f.serve(t.Context(), func(r *Request) {
				r.Program, r.TokenBudget, r.MaxOutputTokens, r.PromptTokens, r.SharedTokens = "p", 100000, 60, 14000, 12000
			})
		}
		for _, call := range f.sent() {
			require.Equal(t, f.sent()[0].worker, call.worker)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against waiting for a request that the worker has lost: it answers requests that were
// sent later.
func TestLostRequestIsResentSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(resumable))
		f.reachable = true
		f.worker("w", func(ctx context.Context, call Call) (*Answer, error) {
			if call.Request.ID == "lost" && len(f.sent()) == 1 {
				return hangs(ctx, call)
			}
			return streams(3, 0)(ctx, call)
		})
		time.AfterFunc(100*time.Millisecond, func() { f.serve(t.Context(), nil) })
		got := f.serve(t.Context(), func(r *Request) { r.ID = "lost" })
		require.Equal(t, events(3), got.body.String())
		require.Less(t, got.took, time.Second)
	})
}

// Guards against resending a request that may be in the worker's queue, which would move it to
// the end.
func TestQueuedRequestIsNotResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(resumable))
		f.reachable = true
		f.worker("w", func(ctx context.Context, call Call) (*Answer, error) {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(1500 * time.Millisecond):
				return streams(3, 0)(ctx, call)
			}
		})
		got := f.serve(t.Context(), nil)
		require.True(t, got.ended)
		require.Len(t, f.sent(), 1)
	})
}

// Guards against sending the client events twice when a worker restarts the stream from its
// beginning.
func TestRepeatedEventsAreSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(resumable))
		calls := 0
		f.worker("w", func(ctx context.Context, call Call) (*Answer, error) {
			if calls++; calls == 1 {
				return streams(9, 4)(ctx, call)
			}
			call.LastEventID = ""
			return streams(9, 0)(ctx, call)
		})
		got := f.serve(t.Context(), nil)
		require.Equal(t, events(9), got.body.String())
	})
}

// Guards against clients that get more tokens than were reserved (BUDGET), from a worker that does not end its stream.
func TestStreamEndsAtTheMostThatTheRequestMayGenerate(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*route.Route)
		most   int // tokens
		events int
		ended  bool
	}{
		"one event too many":          {nil, 30, 3, false},
		"one too many, resumable":     {resumable, 30, 3, false},
		"one too many, retained":      {retained, 30, 3, false},
		"the last event is not full":  {nil, 31, 4, true},
		"as many as may be":           {nil, 40, 4, true},
		"the client gives no maximum": {nil, 0, 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, turnRoute(c.change))
				f.worker("w", streams(4, 0))
				got := f.serve(t.Context(), func(r *Request) {
					r.Program, r.TokenBudget, r.MaxOutputTokens = "p", 1000, c.most
				})
				require.Equal(t, events(c.events), got.body.String())
				require.Equal(t, c.ended, got.ended)
				require.NotEqual(t, c.ended, got.aborted)
			})
		})
	}
}
