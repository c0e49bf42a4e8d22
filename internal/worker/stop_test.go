package worker

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// fullWorker returns the owner of a worker whose memory one running call fills, the call, and
// another one that waits behind it.
func fullWorker(t *testing.T) (f *fixture, owned *owner, running, queued Job) {
	f = prepareFixture(t, 1, 1, 1)
	f.engines["w0"].memory = 1000
	f.dial = f.dialFake
	f.start()
	owned, err := f.services["n0"].find(t.Context(), "w0")
	require.NoError(t, err)
	running, queued = f.job("p-1", 1, 900), f.job("p-2", 1, 500)
	for _, job := range []Job{running, queued} {
		job.Worker = "w0"
		_, err := owned.submit(job)
		require.NoError(t, err)
	}
	synctest.Wait()
	_, started := f.engines["w0"].runs()
	require.Equal(t, 1, started[running.Request])
	require.Zero(t, started[queued.Request])
	return f, owned, running, queued
}

// Guards against reporting "not run" for a call that was sent to the engine and whose end the core
// has taken in, when the owner stops before the end reaches the caller.
func TestStoppedOwnerReportsEndOfSentCall(t *testing.T) {
	broken := fault.New(fault.Unavailable, "the stream broke", "resume it").WithRan(fault.RanUnknown)
	for name, failure := range map[string]error{"stream broke": broken, "finished": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, owned, running, _ := fullWorker(t)
				open, _ := owned.stream(running.Request)
				outcome := engine.Outcome{FinishReason: "stop"}
				owned.reportEnd(Action{Request: running.Request}, outcome, failure)
				owned.failAll()
				owned.answer(open, outcome, failure)
				if failure == nil {
					require.Equal(t, &outcome, open.outcome)
				} else {
					require.Equal(t, fault.RanUnknown, fault.From(open.failure).Ran)
				}
				f.stopAll()
			})
		})
	}
}

// Guards against running a call after its caller was told that it did not run: the end of another
// call makes room for it while the owner stops.
func TestStoppedOwnerStartsNothingFromItsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owned, running, queued := fullWorker(t)
		refused, _ := owned.stream(queued.Request)
		owned.failAll()
		require.Equal(t, fault.RanNo, fault.From(refused.failure).Ran)
		owned.reportEnd(Action{Request: running.Request}, engine.Outcome{}, nil)
		late := f.job("p-3", 1, 10)
		late.Worker = "w0"
		_, err := owned.submit(late)
		require.True(t, fault.Is(err, fault.NotLeader), "a stopped owner takes in nothing: %v", err)
		time.Sleep(time.Second)
		_, started := f.engines["w0"].runs()
		require.Zero(t, started[queued.Request])
		require.Zero(t, started[late.Request])
		f.stopAll()
	})
}

// Guards against forgetting the owners of a stopped service while its node still answers what became
// of their calls: a check of ownership may run once more after the stop.
func TestStoppedServiceStillAnswersLookups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, running, _ := fullWorker(t)
		f.stops["n0"]()
		synctest.Wait()
		f.services["n0"].reconcile()
		_, err := f.services["n0"].handleLookup(t.Context(), LookupRequest{Worker: "w0", Request: running.Request})
		require.NoError(t, err)
		f.stopAll()
	})
}
