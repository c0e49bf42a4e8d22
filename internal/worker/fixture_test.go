package worker

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// fakeEngine generates MaxTokens tokens a step apart and enforces fences. The
// methods that a test does not need come from the embedded nil Client.
type fakeEngine struct {
	engine.Client

	mutex    sync.Mutex
	step     time.Duration
	epoch    uint64
	failure  error // of every exchange while set
	running  map[id.Request]int
	ran      map[id.Request]int // how often a request was started
	holds    map[id.Program]time.Time
	exported []id.Program
	memory   int
	frozen   *engine.LoadReport // the report of every question while set
}

// runs copies the requests that run, and how often each request was started.
func (e *fakeEngine) runs() (running, started map[id.Request]int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return maps.Clone(e.running), maps.Clone(e.ran)
}

// freeze makes the engine report the present for as long as it is on.
func (e *fakeEngine) freeze(on bool) {
	report, _ := e.Load(context.Background())
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.frozen = nil
	if on {
		e.frozen = &report
	}
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		step:    10 * time.Millisecond,
		running: map[id.Request]int{},
		ran:     map[id.Request]int{},
		holds:   map[id.Program]time.Time{},
		memory:  10_000,
	}
}

func (e *fakeEngine) admit(fence engine.Fence) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.failure != nil {
		return e.failure
	}
	if fence.Epoch < e.epoch {
		return fault.New(fault.Fenced, "a newer owner commands the engine", "ask the newer owner")
	}
	e.epoch = fence.Epoch
	return nil
}

func (e *fakeEngine) Generate(ctx context.Context, request engine.GenerateRequest, receive func(engine.Chunk) error) (engine.Outcome, error) {
	if err := e.admit(request.Fence); err != nil {
		return engine.Outcome{}, err
	}
	prompt := chat.Prefix{}.Extend(request.Messages...).Tokens()
	e.mutex.Lock()
	e.running[request.Request] = prompt + request.MaxTokens
	e.ran[request.Request]++
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		delete(e.running, request.Request)
	}()
	text := ""
	for offset := range request.MaxTokens {
		e.mutex.Lock()
		step := e.step
		e.mutex.Unlock()
		if timing.Sleep(ctx, step) != nil {
			return engine.Outcome{}, fault.New(fault.Unavailable, "the stream broke", "resume it").WithRan(fault.RanUnknown)
		}
		word := fmt.Sprintf("%d ", offset)
		text += word
		if err := receive(engine.Chunk{Offset: offset, Tokens: 1, Text: word}); err != nil {
			return engine.Outcome{}, err
		}
	}
	return engine.Outcome{
		Message:      chat.Message{Role: chat.Assistant, Content: text},
		FinishReason: "stop",
		Usage:        chat.Usage{PromptTokens: prompt, OutputTokens: request.MaxTokens},
	}, nil
}

func (e *fakeEngine) Resume(context.Context, id.Request, int, func(engine.Chunk) error) (engine.Outcome, error) {
	return engine.Outcome{}, fault.New(fault.NotFound, "no such request", "send it again")
}

func (e *fakeEngine) Lookup(_ context.Context, request id.Request) (engine.RequestStatus, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if _, ok := e.running[request]; ok {
		return engine.RequestStatus{State: engine.RequestRunning}, nil
	}
	return engine.RequestStatus{State: engine.RequestUnknown}, nil
}

func (e *fakeEngine) Hold(_ context.Context, hold engine.Hold) error {
	if err := e.admit(hold.Fence); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.holds[hold.Program] = hold.Until
	return nil
}

func (e *fakeEngine) Release(_ context.Context, program id.Program, fence engine.Fence) error {
	if err := e.admit(fence); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.holds, program)
	return nil
}

func (e *fakeEngine) Export(_ context.Context, program id.Program, _ uint64, fence engine.Fence) (string, error) {
	if err := e.admit(fence); err != nil {
		return "", err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.exported = append(e.exported, program)
	return "export-" + string(program), nil
}

func (e *fakeEngine) Drop(_ context.Context, _ uint64, fence engine.Fence) error {
	return e.admit(fence)
}

func (e *fakeEngine) Events(context.Context, uint64) ([]engine.CacheEvent, error) { return nil, nil }

func (e *fakeEngine) Load(context.Context) (engine.LoadReport, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.failure != nil {
		return engine.LoadReport{}, e.failure
	}
	if e.frozen != nil {
		return *e.frozen, nil
	}
	report := engine.LoadReport{
		Taken: time.Now(), Running: len(e.running), MemoryTokens: e.memory,
		Models: []id.Model{"m"}, HighestEpoch: e.epoch, StepTime: e.step, PrefillTokens: 5000,
	}
	for request, tokens := range e.running {
		report.Requests = append(report.Requests, request)
		report.UsedTokens += tokens
	}
	return report, nil
}

// fixture is a cluster of nodes that each run a Service, over a memory network.
type fixture struct {
	t        *testing.T
	network  *peer.MemoryNetwork
	engines  map[string]*fakeEngine
	machines []outside.Machine
	mutex    sync.Mutex
	members  []member.Member
	epochs   map[id.Worker]uint64
	services map[id.Node]*Service
	catalogs map[id.Node]*Catalog
	placers  map[id.Node]*Placer
	stops    map[id.Node]context.CancelFunc
	stopped  map[id.Node]bool
	views    map[id.Node]*member.View
	lists    int // readings of the machine list
	listDown bool
	dial     func(outside.Machine) engine.Client
	alive    func(context.Context, id.Program) (bool, error)
}

func (f *fixture) Claim(_ context.Context, worker id.Worker, above uint64) (uint64, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.epochs[worker] = max(f.epochs[worker], above) + 1
	return f.epochs[worker], nil
}

// List is the platform's machine list.
func (f *fixture) List(context.Context, outside.MachineKind) ([]outside.Machine, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lists++
	if f.listDown {
		return nil, fault.New(fault.Unavailable, "the machine list is down", "wait for it").WithRan(fault.RanUnknown)
	}
	return append([]outside.Machine{}, f.machines...), nil
}

func (f *fixture) Register(context.Context, outside.Machine) error { return nil }

// view is the same until the members change.
func (f *fixture) view(node id.Node) *member.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if known, ok := f.views[node]; ok {
		return known
	}
	view := &member.View{Members: append([]member.Member{}, f.members...)}
	for _, m := range f.members {
		if m.Node == node {
			view.Self = m
		}
	}
	f.views[node] = view
	return view
}

func (f *fixture) setState(node id.Node, state member.State) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	clear(f.views)
	for index := range f.members {
		if f.members[index].Node == node {
			f.members[index].State = state
		}
	}
}

func (f *fixture) setMachine(index int, change func(*outside.Machine)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(&f.machines[index])
}

// newFixture starts nodes over fake engines.
func newFixture(t *testing.T, nodes, workers, zones int) *fixture {
	f := prepareFixture(t, nodes, workers, zones)
	f.dial = f.dialFake
	f.start()
	return f
}

func (f *fixture) dialFake(machine outside.Machine) engine.Client { return f.engines[machine.ID] }

// prepareFixture makes nodes and workers, one of each a zone in turn.
func prepareFixture(t *testing.T, nodes, workers, zones int) *fixture {
	f := &fixture{
		t: t, network: peer.NewMemoryNetwork(), engines: map[string]*fakeEngine{}, epochs: map[id.Worker]uint64{},
		services: map[id.Node]*Service{}, catalogs: map[id.Node]*Catalog{}, placers: map[id.Node]*Placer{},
		stops: map[id.Node]context.CancelFunc{}, stopped: map[id.Node]bool{}, views: map[id.Node]*member.View{},
	}
	zone := func(index int) string { return fmt.Sprintf("z%d", index%zones) }
	for index := range workers {
		name := fmt.Sprintf("w%d", index)
		f.engines[name] = newFakeEngine()
		f.machines = append(f.machines, outside.Machine{ID: name, Kind: outside.KindWorker, Zone: zone(index), Models: []id.Model{"m"}})
	}
	for index := range nodes {
		name := fmt.Sprintf("n%d", index)
		f.members = append(f.members, member.Member{Node: id.Node(name), Address: peer.Address(name), Zone: zone(index)})
	}
	return f
}

func (f *fixture) start() {
	for _, m := range f.members {
		f.startNode(m)
	}
	settle()
}

func (f *fixture) startNode(m member.Member) {
	view := func() *member.View { return f.view(m.Node) }
	mux := peer.NewMux()
	transport := f.network.Transport(m.Address)
	catalog := NewCatalog(CatalogOptions{View: view, Machines: f, Transport: transport, Mux: mux})
	service := New(Options{
		View: view, Catalog: catalog, Epochs: f, Mux: mux,
		Dial: f.dial, Alive: f.alive,
	})
	f.network.Attach(m.Address, mux)
	ctx, cancel := context.WithCancel(f.t.Context())
	f.stops[m.Node] = cancel
	go func() { _ = catalog.Run(ctx) }()
	go func() { _ = service.Run(ctx) }()
	f.services[m.Node], f.catalogs[m.Node] = service, catalog
	f.placers[m.Node] = NewPlacer(PlacerOptions{View: view, Catalog: catalog, Transport: transport})
}

// blocked reports whether a breaker keeps new calls from a worker that a node owns.
func (f *fixture) blocked(node id.Node, worker id.Worker) bool {
	service := f.services[node]
	service.mutex.Lock()
	owner := service.owners[worker]
	service.mutex.Unlock()
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return owner.core.blocked
}

// settle lets polls and reconciliation come round a few times.
func settle() { time.Sleep(2 * time.Second) }

func message(content string) chat.Message { return chat.Message{Role: chat.User, Content: content} }

// call places and submits one call from a node, and returns its location and answer.
func (f *fixture) call(from id.Node, program id.Program, turn, tokens int) (Location, *engine.Outcome, error) {
	job := f.job(program, turn, tokens)
	location, err := f.place(from, job)
	if err != nil {
		return location, nil, err
	}
	outcome, err := f.submit(from, location, job)
	return location, outcome, err
}

func (f *fixture) job(program id.Program, turn, tokens int) Job {
	messages := []chat.Message{message("system prompt"), message(string(program))}
	return Job{
		Request: id.NewRequest(program, uint64(turn), 1), Program: program, Tenant: "soko", Model: "m",
		Messages: messages, Prefix: chat.Prefix{}.Extend(messages...), MaxTokens: tokens, Profile: Profile{Turn: turn},
	}
}

func (f *fixture) place(from id.Node, job Job) (Location, error) {
	return f.placers[from].Place(f.t.Context(), ProbeRequest{
		Program: job.Program, Model: job.Model, Prefix: job.Prefix, MaxTokens: job.MaxTokens, Profile: job.Profile,
	}, nil)
}

func (f *fixture) submit(from id.Node, location Location, job Job) (*engine.Outcome, error) {
	job.Worker = location.Worker
	var outcome *engine.Outcome
	transport := f.network.Transport(peer.Address(from))
	err := peer.InvokeStream(f.t.Context(), transport, location.Owner, MethodSubmit, job, func(event Event) error {
		if event.Outcome != nil {
			outcome = event.Outcome
		}
		return nil
	})
	return outcome, err
}

func (f *fixture) stopAll() {
	for _, stop := range f.stops {
		stop()
	}
	time.Sleep(time.Second)
}
