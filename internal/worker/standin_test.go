package worker

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/standin"
)

// newStandins starts stand-in engines that share exports.
func newStandins(f *fixture, model enginemodel.Options) map[string]*standin.Engine {
	store := standin.NewMemoryObjects()
	engines := map[string]*standin.Engine{}
	for name := range f.engines {
		worker := standin.NewEngine(standin.EngineOptions{Name: name, Model: model, Store: store})
		engines[name] = worker
		go func() { _ = worker.Run(f.t.Context()) }()
	}
	return engines
}

// runProgram makes a program's calls one after the other, with pauses between
// them, and ends it. It returns the worker of each call.
func (f *fixture) runProgram(from id.Node, program id.Program, turns int, pauses time.Duration) ([]Location, error) {
	var history []chat.Message
	var locations []Location
	transport := f.network.Transport(peer.Address(from))
	for turn := 1; turn <= turns; turn++ {
		if turn == 1 {
			history = append(history, message("you price sukuma against yesterday's wholesale"))
		}
		history = append(history, message(fmt.Sprintf("%s asks %d", program, turn)))
		job := f.job(program, turn, 40)
		job.Messages, job.Prefix = history, chat.Prefix{}.Extend(history...)
		location, err := f.place(from, job)
		if err != nil {
			return locations, err
		}
		locations = append(locations, location)
		job.Import = location.Import
		outcome, err := f.submit(from, location, job)
		if err != nil {
			return locations, err
		}
		history = append(history, outcome.Message)
		_, _ = peer.Invoke[Ack](f.t.Context(), transport, location.Owner, MethodPause, PauseNotice{
			Worker: location.Worker, Program: program, Prefix: chat.Prefix{}.Extend(history...), Expected: pauses,
		})
		time.Sleep(pauses)
	}
	for _, location := range locations {
		_, _ = peer.Invoke[Ack](f.t.Context(), transport, location.Owner, MethodEnd, EndNotice{Worker: location.Worker, Program: program})
	}
	return locations, nil
}

// newStandinFixture starts nodes over stand-in engines.
func newStandinFixture(t *testing.T, nodes, workers, zones int, model enginemodel.Options) (*fixture, map[string]*standin.Engine) {
	f := prepareFixture(t, nodes, workers, zones)
	engines := newStandins(f, model)
	f.dialStandins(engines)
	f.start()
	return f, engines
}

func (f *fixture) dialStandins(engines map[string]*standin.Engine) {
	f.dial = func(machine outside.Machine) engine.Client { return engines[machine.ID] }
}

func TestProgramsRunOnceAndLeaveNothingHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, engines := newStandinFixture(t, 2, 3, 2, enginemodel.Options{Model: "m", MemoryTokens: 3000})
		var programs sync.WaitGroup
		for index := range 40 {
			programs.Go(func() {
				program := id.Program(fmt.Sprintf("p-%d", index))
				_, err := f.runProgram(id.Node(fmt.Sprintf("n%d", index%2)), program, 4, time.Duration(100+index*20)*time.Millisecond)
				require.NoError(t, err)
			})
			time.Sleep(20 * time.Millisecond)
		}
		programs.Wait()
		settle()
		runs := 0
		for name, worker := range engines {
			for _, run := range worker.Record().Runs {
				require.Equal(t, 1, run.Starts, "%s at %s", run.Request, name)
				runs++
			}
			report, err := worker.Load(t.Context())
			require.NoError(t, err)
			require.Zero(t, report.HeldTokens, "nothing is held for programs that are gone")
			require.Zero(t, report.Running)
		}
		require.Equal(t, 160, runs)
		f.stopAll()
	})
}

func TestLeavingWorkersContextMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, engines := newStandinFixture(t, 1, 2, 1, enginemodel.Options{Model: "m"})
		words := ""
		for index := range 3000 {
			words += fmt.Sprint(index, " ")
		}
		history := []chat.Message{message("system"), message(words)}
		call := func(turn int) Location {
			job := f.job("p-1", turn, 20)
			job.Messages, job.Prefix = history, chat.Prefix{}.Extend(history...)
			location, err := f.place("n0", job)
			require.NoError(t, err)
			job.Import = location.Import
			outcome, err := f.submit("n0", location, job)
			require.NoError(t, err)
			history = append(history, outcome.Message)
			_, err = peer.Invoke[Ack](t.Context(), f.network.Transport("n0"), location.Owner, MethodPause, PauseNotice{
				Worker: location.Worker, Program: "p-1", Prefix: chat.Prefix{}.Extend(history...), Expected: 5 * time.Second,
			})
			require.NoError(t, err)
			return location
		}
		first := call(1)
		index := 0
		if first.Worker == "w1" {
			index = 1
		}
		f.setMachine(index, func(m *outside.Machine) { m.Leaving = true })
		settle()
		history = append(history, message("and now?"))
		second := call(2)
		require.NotEqual(t, first.Worker, second.Worker)
		require.NotEmpty(t, second.Import.Key)
		record := engines[string(second.Worker)].Record()
		usage := record.Runs[len(record.Runs)-1].Usage
		require.Greater(t, usage.CachedTokens, usage.PromptTokens*9/10, "the context was imported, not computed again")
		f.stopAll()
	})
}

func TestAdaptersAreLoadedOnceAndKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, engines := newStandinFixture(t, 1, 1, 1, enginemodel.Options{Model: "m"})
		for round := range 3 {
			for index := range 4 {
				job := f.job(id.Program(fmt.Sprintf("p-%d-%d", round, index)), 1, 5)
				job.Adapter = id.Adapter(fmt.Sprintf("a%d", index))
				_, err := f.submit("n0", Location{Worker: "w0", Owner: "n0"}, job)
				require.NoError(t, err)
			}
		}
		require.Len(t, engines["w0"].Record().Orders, 4, "each adapter is ordered once")
		f.stopAll()
	})
}

func TestPartialAnswersAreGoneOnWith(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, engines := newStandinFixture(t, 1, 1, 1, enginemodel.Options{Model: "m"})
		job := f.job("p-1", 1, 40)
		job.Request = id.NewRequest("p-1", 1, 2)
		job.Partial = engine.Partial{Text: standin.AnswerText("p-1/1/1", 0, 30), Tokens: 30}
		location, err := f.place("n0", job)
		require.NoError(t, err)
		job.Worker = location.Worker
		whole := job.Partial.Text + standin.AnswerText(job.Request, 30, 40)
		transport := f.network.Transport("n0")
		for _, test := range []struct {
			method  string
			request any
			first   int
		}{
			{MethodSubmit, job, 30},
			{MethodResume, ResumeRequest{Worker: job.Worker, Request: job.Request, Offset: 30}, 30},
			{MethodResume, ResumeRequest{Worker: job.Worker, Request: job.Request}, 0},
			{MethodResume, ResumeRequest{Worker: job.Worker, Request: job.Request, Direct: true}, 0},
		} {
			text, next := "", test.first
			receive := func(event Event) error {
				if event.Chunk != nil {
					require.Equal(t, next, event.Chunk.Offset)
					next += event.Chunk.Tokens
					text += event.Chunk.Text
				}
				if event.Outcome != nil {
					require.Equal(t, whole, event.Outcome.Message.Content)
				}
				return nil
			}
			if submitted, ok := test.request.(Job); ok {
				err = peer.InvokeStream(t.Context(), transport, location.Owner, test.method, submitted, receive)
			} else {
				err = peer.InvokeStream(t.Context(), transport, location.Owner, test.method, test.request.(ResumeRequest), receive)
			}
			require.NoError(t, err)
			require.Equal(t, whole[4*test.first:], text)
		}
		require.Equal(t, 1, engines["w0"].Record().Runs[0].Starts)
		f.stopAll()
	})
}

func TestPartialAnswersCountAsPrefillWithinTheirReservation(t *testing.T) {
	core := NewCore(CoreOptions{Worker: "w", Models: []id.Model{"m"}, Ready: true, MemoryTokens: 1000})
	now := time.Now()
	job := jobOf("p", 1, 1, 900) // fills the memory with its prompt of 100
	job.Partial = engine.Partial{Tokens: 300}
	require.Equal(t, ActStart, core.Enqueue(now, job)[0].Kind)
	require.Equal(t, 1000, core.memory.used())
	require.Equal(t, 400, core.backlog())
	require.Empty(t, core.Progress(now, job.Request, 300), "nothing was made yet")
	require.Equal(t, 400, core.backlog())
	core.Progress(now, job.Request, 301)
	require.Zero(t, core.backlog())
	core.Finished(now, job.Request, engine.Outcome{}, false)
	require.Zero(t, core.memory.used())
}

func TestEngineIsAskedForWhatTheOwnerLost(t *testing.T) {
	for name, test := range map[string]struct {
		faults standin.EngineFaults
		stop   bool // the owner's node, whose listener still answers
		state  engine.RequestState
		resume fault.Code
	}{
		"owner stopped":    {stop: true, state: engine.RequestRunning},
		"outcome lost":     {faults: standin.EngineFaults{LoseOutcomes: -1}, state: engine.RequestFinished},
		"engine restarted": {faults: standin.EngineFaults{Dead: true}, state: engine.RequestUnknown, resume: fault.NotFound},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, engines := newStandinFixture(t, 1, 1, 1, enginemodel.Options{Model: "m"})
				job := f.job("p-1", 1, 100)
				location, err := f.place("n0", job)
				require.NoError(t, err)
				ended := make(chan error)
				go func() {
					_, err := f.submit("n0", location, job)
					ended <- err
				}()
				time.Sleep(100 * time.Millisecond)
				engines["w0"].SetEngineFaults(test.faults)
				if test.stop {
					f.stops["n0"]()
				}
				require.Equal(t, fault.RanUnknown, fault.From(<-ended).Ran)
				engines["w0"].SetEngineFaults(standin.EngineFaults{})
				transport := f.network.Transport("n0")
				status, err := peer.Invoke[engine.RequestStatus](t.Context(), transport, location.Owner, MethodLookup,
					LookupRequest{Worker: location.Worker, Request: job.Request})
				require.NoError(t, err)
				require.Equal(t, test.state, status.State)
				err = peer.InvokeStream(t.Context(), transport, location.Owner, MethodResume,
					ResumeRequest{Worker: location.Worker, Request: job.Request}, func(Event) error { return nil })
				require.Equal(t, test.resume, fault.CodeOf(err))
				f.stopAll()
			})
		})
	}
}

// A call waits in the queue of an owner that is cut off, and its worker gets
// another owner. Then the call runs neither there nor at the former owner.
func TestCallsOfAFormerOwnersQueueNeverRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, engines := newStandinFixture(t, 2, 1, 1, enginemodel.Options{Model: "m", MemoryTokens: 1000})
		running := f.job("p-1", 1, 900)
		location, err := f.place("n0", running)
		require.NoError(t, err)
		former, next := id.Node(location.Owner), id.Node("n0")
		if former == next {
			next = "n1"
		}
		submit := func(job Job) chan error {
			ended := make(chan error, 1)
			go func() {
				_, err := f.submit(next, location, job)
				ended <- err
			}()
			return ended
		}
		submit(running)
		time.Sleep(100 * time.Millisecond)
		queued := f.job("p-2", 1, 500)
		queued.Fence = location.Fence
		require.NotEmpty(t, queued.Fence.Instance)
		refused := submit(queued)
		time.Sleep(100 * time.Millisecond)
		never := func() bool {
			status, err := peer.Invoke[engine.RequestStatus](t.Context(), f.network.Transport("n0"), peer.Address(next), MethodLookup,
				LookupRequest{Worker: location.Worker, Request: queued.Request, Direct: true})
			require.NoError(t, err)
			return status.NeverRuns(queued.Fence)
		}
		require.False(t, never(), "its owner may send it")
		f.setState(former, member.Dead) // the others think so; it lives on
		settle()
		require.True(t, never())
		require.Equal(t, fault.RanNo, fault.From(<-refused).Ran)
		late := queued
		late.Worker = location.Worker
		moved := location
		moved.Owner = peer.Address(next)
		_, err = f.submit(former, moved, late)
		require.True(t, fault.Is(err, fault.NotLeader), "a late copy is refused by the next owner: %v", err)
		time.Sleep(time.Minute)
		for _, run := range engines["w0"].Record().Runs {
			require.NotEqual(t, queued.Request, run.Request)
		}
		f.stopAll()
	})
}
