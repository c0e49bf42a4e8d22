package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/ledger"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/timing"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

// fakeLedger keeps reservations and settlements by request.
type fakeLedger struct {
	mutex    sync.Mutex
	reserved map[id.Request]int64
	settled  map[id.Request]int64
	refusal  *fault.Error
}

func newFakeLedger() *fakeLedger {
	return &fakeLedger{reserved: map[id.Request]int64{}, settled: map[id.Request]int64{}}
}

func (f *fakeLedger) register(mux *peer.Mux) {
	peer.Handle(mux, ledger.MethodReserve, func(_ context.Context, r ledger.ReserveRequest) (ledger.Reservation, error) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if f.refusal != nil {
			return ledger.Reservation{}, f.refusal
		}
		if _, known := f.reserved[r.Request]; !known {
			f.reserved[r.Request] = r.Tokens
		}
		return ledger.Reservation{Tokens: f.reserved[r.Request]}, nil
	})
	peer.Handle(mux, ledger.MethodSettle, func(_ context.Context, r ledger.SettleRequest) (ledger.Balance, error) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.settled[r.Request] = r.Spent
		return ledger.Balance{}, nil
	})
}

// unsettled lists the reservations that were never given back.
func (f *fakeLedger) unsettled() []id.Request {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var left []id.Request
	for request := range f.reserved {
		if _, done := f.settled[request]; !done {
			left = append(left, request)
		}
	}
	return left
}

// fakeWorker answers each request by its text, one token a word, each after
// tokenTime. Requests go on when their stream is broken.
type fakeWorker struct {
	world *world
	name  id.Worker

	mutex   sync.Mutex
	runs    map[id.Request]int
	serial  int
	serials map[id.Request]int // tells the answers of different runs apart
	jobs    []worker.Job
	starts  map[id.Request]time.Time
	ended   []id.Program
	refusal *fault.Error // of the next submits
	// refusals is how many submits are refused; zero: one.
	refusals int
	breakAt  int  // token after which the next submit's stream breaks; zero: never
	forget   bool // lookups and resumes find nothing
	words    []string
	partial  map[id.Request]engine.Partial
	lose     bool                 // jobs wait at an owner that dies with them
	status   engine.RequestStatus // what the engine says of unknown requests
}

const tokenTime = 10 * time.Millisecond

func newFakeWorker(w *world, name id.Worker) *fakeWorker {
	f := &fakeWorker{world: w, name: name, runs: map[id.Request]int{}, serials: map[id.Request]int{}, starts: map[id.Request]time.Time{}}
	f.partial = map[id.Request]engine.Partial{}
	f.words = []string{"sukuma ", "costs ", "forty ", "today"}
	mux := peer.NewMux()
	peer.HandleStream(mux, worker.MethodSubmit, f.submit)
	peer.HandleStream(mux, worker.MethodResume, f.resume)
	peer.Handle(mux, worker.MethodLookup, f.lookup)
	peer.Handle(mux, worker.MethodPause, func(context.Context, worker.PauseNotice) (worker.Ack, error) { return worker.Ack{OK: true}, nil })
	peer.Handle(mux, worker.MethodCancel, func(context.Context, worker.CancelRequest) (worker.Ack, error) { return worker.Ack{OK: true}, nil })
	peer.Handle(mux, worker.MethodEnd, func(_ context.Context, n worker.EndNotice) (worker.Ack, error) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.ended = append(f.ended, n.Program)
		return worker.Ack{OK: true}, nil
	})
	w.network.Attach(peer.Address(name), mux)
	return f
}

func (f *fakeWorker) submit(ctx context.Context, job worker.Job, send func(worker.Event) error) error {
	f.checkStarted(job.Request)
	f.mutex.Lock()
	if f.refusal != nil {
		problem := f.refusal
		if f.refusals--; f.refusals <= 0 {
			f.refusal = nil
		}
		f.mutex.Unlock()
		return problem
	}
	if f.lose {
		f.mutex.Unlock()
		return fault.New(fault.Unavailable, "connection lost", "try again").WithRan(fault.RanUnknown)
	}
	f.runs[job.Request]++
	f.serial++
	f.serials[job.Request] = f.serial
	if !job.Repeatable {
		w := f.world
		w.mutex.Lock()
		call, _ := w.machine.Call(job.Program, uint64(job.Profile.Turn))
		w.effects[string(job.Program)+"/"+call.Key]++
		w.mutex.Unlock()
	}
	f.jobs = append(f.jobs, job)
	f.starts[job.Request] = time.Now()
	f.partial[job.Request] = job.Partial
	breakAt := f.breakAt
	f.breakAt = 0
	f.mutex.Unlock()
	return f.stream(ctx, job.Request, job.Partial.Tokens, breakAt, send)
}

// checkStarted is the rule that nothing leaves before its start is committed.
func (f *fakeWorker) checkStarted(request id.Request) {
	w := f.world
	w.mutex.Lock()
	defer w.mutex.Unlock()
	call, _ := w.machine.Next(request.Program())
	if call.State != program.Started || id.NewRequest(request.Program(), call.Number, call.Attempt) != request {
		w.violations = append(w.violations, "sent before its start: "+string(request))
	}
}

func (f *fakeWorker) stream(ctx context.Context, request id.Request, from, breakAt int, send func(worker.Event) error) error {
	f.mutex.Lock()
	start := f.starts[request]
	partial := f.partial[request]
	f.mutex.Unlock()
	if from < partial.Tokens {
		_ = send(worker.Event{Chunk: &engine.Chunk{Tokens: partial.Tokens, Text: partial.Text}})
		from = partial.Tokens
	}
	for i := from; i < len(f.words); i++ {
		if breakAt > 0 && i >= breakAt {
			return fault.New(fault.Unavailable, "connection lost", "try again").WithRan(fault.RanUnknown)
		}
		if !f.world.instant && timing.Sleep(ctx, time.Until(start.Add(time.Duration(i+1)*tokenTime))) != nil {
			return fault.New(fault.Unavailable, "cancelled", "try again").WithRan(fault.RanUnknown)
		}
		if err := send(worker.Event{Chunk: &engine.Chunk{Offset: i, Tokens: 1, Text: f.words[i]}}); err != nil {
			return err
		}
	}
	return send(worker.Event{Outcome: f.outcome(request)})
}

func (f *fakeWorker) outcome(request id.Request) *engine.Outcome {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	partial := f.partial[request]
	text := partial.Text
	for i := partial.Tokens; i < len(f.words); i++ {
		text += f.words[i]
	}
	return &engine.Outcome{
		Message:      chat.Message{Role: chat.Assistant, Content: text},
		FinishReason: "stop",
		Usage:        chat.Usage{PromptTokens: 10, CachedTokens: f.serials[request], OutputTokens: max(len(f.words), partial.Tokens)},
	}
}

func (f *fakeWorker) known(request id.Request) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.runs[request] > 0 && !f.forget
}

func (f *fakeWorker) resume(ctx context.Context, r worker.ResumeRequest, send func(worker.Event) error) error {
	if !f.known(r.Request) {
		return fault.New(fault.NotFound, "unknown request", "run it")
	}
	return f.stream(ctx, r.Request, r.Offset, 0, send)
}

func (f *fakeWorker) lookup(_ context.Context, r worker.LookupRequest) (engine.RequestStatus, error) {
	if !f.known(r.Request) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		status := f.status
		status.State = engine.RequestUnknown
		return status, nil
	}
	f.mutex.Lock()
	start := f.starts[r.Request]
	f.mutex.Unlock()
	if time.Since(start) < time.Duration(len(f.words))*tokenTime {
		return engine.RequestStatus{State: engine.RequestRunning}, nil
	}
	return engine.RequestStatus{State: engine.RequestFinished, Outcome: *f.outcome(r.Request)}, nil
}

func (f *fakeWorker) endedPrograms() []id.Program {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.ended)
}
