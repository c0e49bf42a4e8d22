package worker

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

func TestCallRunsThroughItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3, 4, 3)
		location, outcome, err := f.call("n1", "p-1", 1, 20)
		require.NoError(t, err)
		require.Equal(t, 20, outcome.Usage.OutputTokens)
		require.Equal(t, 1, f.engines[string(location.Worker)].ran["p-1/1/1"])

		// The same request again joins the first run's answer.
		again, err := f.submit("n2", location, f.job("p-1", 1, 20))
		require.NoError(t, err)
		require.Equal(t, outcome, again)
		require.Equal(t, 1, f.engines[string(location.Worker)].ran["p-1/1/1"])

		// The next call of the program goes where its context lies.
		next, _, err := f.call("n1", "p-1", 2, 20)
		require.NoError(t, err)
		require.Equal(t, location.Worker, next.Worker)
		f.stopAll()
	})
}

func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 2, 1)
		job := f.job("p-1", 1, 600) // takes six seconds
		location, err := f.place("n0", job)
		require.NoError(t, err)
		finished := make(chan error, 1)
		go func() {
			_, err := f.submit("n0", location, job)
			finished <- err
		}()
		time.Sleep(time.Second)
		leaving := 0
		if location.Worker == "w1" {
			leaving = 1
		}
		f.setMachine(leaving, func(m *outside.Machine) { m.Leaving = true })
		time.Sleep(2 * time.Second)
		for index := range 20 {
			other, _, err := f.call("n1", id.Program(fmt.Sprintf("q-%d", index)), 1, 1)
			require.NoError(t, err)
			require.NotEqual(t, location.Worker, other.Worker)
		}
		_, err = f.submit("n1", location, f.job("q-late", 1, 1))
		require.Equal(t, fault.RanNo, fault.From(err).Ran, "a call that was placed before is refused, not run")
		require.NoError(t, <-finished, "the running call is not cut")
		f.stopAll()
	})
}

func TestNextOwnerNeverAdmitsOverMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 1, 1)
		worker := f.engines["w0"]
		job := f.job("p-1", 1, 8000) // most of the 10,000
		location, err := f.place("n0", job)
		require.NoError(t, err)
		worker.freeze(true)
		go func() { _, _ = f.submit("n0", location, job) }()
		time.Sleep(time.Second)

		// The owner is cut off but not stopped; the other node takes over.
		former := id.Node(location.Owner)
		other := id.Node("n0")
		if former == other {
			other = "n1"
		}
		f.network.Attach(location.Owner, nil)
		f.setState(former, member.Dead)
		settle()
		second := f.job("p-2", 1, 4000)
		next, err := f.place(other, second)
		require.NoError(t, err)
		require.Equal(t, peer.Address(other), next.Owner)
		go func() { _, _ = f.submit(other, next, second) }()
		time.Sleep(5 * time.Second)
		running, _ := worker.runs()
		require.Len(t, running, 1, "a report from before the takeover lets nothing in")
		worker.freeze(false)
		time.Sleep(5 * time.Second)
		running, _ = worker.runs()
		require.Len(t, running, 1, "the second call waits for the first one's memory")
		require.Contains(t, running, id.Request("p-1/1/1"))
		time.Sleep(90 * time.Second)
		_, started := worker.runs()
		require.Equal(t, 1, started["p-2/1/1"], "and runs afterwards")
		f.stopAll()
	})
}

func TestFormerOwnerStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1, 1)
		location, err := f.place("n0", f.job("p-1", 1, 1))
		require.NoError(t, err)
		require.NoError(t, f.engines["w0"].admit(engine.Fence{Epoch: 9})) // another owner's
		_, err = f.submit("n0", location, f.job("p-1", 1, 1))
		require.True(t, fault.Is(err, fault.Fenced), "%v", err)
		require.Equal(t, fault.RanNo, fault.From(err).Ran)
		require.Zero(t, f.engines["w0"].ran["p-1/1/1"])
		f.stopAll()
	})
}

// breakerOpensWithin is the longest time from an idle engine's first failure until
// no call goes there: the poll that is due, the further ones that open the
// breaker, the tick that tells the Core, and a moment to be past them all.
func breakerOpensWithin(options Options) time.Duration {
	return options.IdlePoll + (breakerThreshold-1)*options.Poll + options.Tick + time.Millisecond
}

func TestBreakerKeepsCallsFromFailingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2, 1)
		broken := f.engines["w0"]
		broken.mutex.Lock()
		broken.failure = fault.New(fault.Unavailable, "connection refused", "restart the engine")
		broken.mutex.Unlock()
		time.Sleep(breakerOpensWithin(f.services["n0"].options))
		require.True(t, f.blocked("n0", "w0"))
		for index := range 10 {
			location, _, err := f.call("n0", id.Program(fmt.Sprintf("p-%d", index)), 1, 1)
			require.NoError(t, err)
			require.Equal(t, id.Worker("w1"), location.Worker)
		}
		broken.mutex.Lock()
		broken.failure = nil
		broken.mutex.Unlock()
		time.Sleep(time.Minute)
		job := f.job("q", 1, 1)
		location, err := f.placers["n0"].Place(t.Context(), ProbeRequest{Model: job.Model, Prefix: job.Prefix}, []id.Worker{"w1"})
		require.NoError(t, err)
		require.Equal(t, id.Worker("w0"), location.Worker)
		require.False(t, f.blocked("n0", "w0"))
		_, err = f.submit("n0", location, job)
		require.NoError(t, err, "the engine is used again once it answers")
		f.stopAll()
	})
}

func TestSlowEngineIsEasedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 3, 1)
		var wait sync.WaitGroup
		run := func(prefix string, count int) map[id.Worker]int {
			placed := map[id.Worker]int{}
			for index := range count {
				job := f.job(id.Program(fmt.Sprintf("%s-%d", prefix, index)), 1, 50)
				location, err := f.place("n0", job)
				require.NoError(t, err)
				placed[location.Worker]++
				wait.Go(func() { _, _ = f.submit("n0", location, job) })
				time.Sleep(50 * time.Millisecond)
			}
			return placed
		}
		run("warm", 60)
		slow := f.engines["w1"]
		slow.mutex.Lock()
		slow.step *= 10
		slow.mutex.Unlock()
		run("learn", 60) // three seconds
		placed := run("after", 200)
		require.Less(t, placed["w1"], 20, "a tenth of the calls at most: %v", placed)
		wait.Wait()
		f.stopAll()
	})
}
