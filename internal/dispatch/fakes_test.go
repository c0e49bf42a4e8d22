package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/shard"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

const (
	// commitTime is what one commit takes in the fake shard.
	commitTime = time.Millisecond
	// catchUpTime is what a new leader needs before its first commit.
	catchUpTime = 8 * time.Millisecond
	// callerPatience is longer than any answer or refusal takes.
	callerPatience = 10 * time.Minute
)

// world is one shard with its machine, two nodes that can lead it, a ledger and
// workers, all in one synctest bubble.
type world struct {
	t         testing.TB
	instant   bool // commits and tokens take no time
	mutex     sync.Mutex
	machine   *machineAdapter
	leader    int
	term      uint64
	commits   int
	lagging   *machineAdapter // what a new leader has applied, until it commits or confirms
	snapshots [][]byte        // of the last commits, oldest first; kept if lag is set
	lag       bool
	loseStart bool // the answer to the next Start is lost after it was committed
	network   *peer.MemoryNetwork
	nodes     []*Dispatcher
	configuration
	ledger     *fakeLedger
	workers    map[id.Worker]*fakeWorker
	next       []id.Worker // that Place returns in turn
	refuse     *fault.Error
	tools      func(context.Context, outside.ToolRequest) (string, error)
	cancel     context.CancelFunc
	violations []string
	effects    map[string]int // runs of calls that must not be repeated, by program and key
}

// machineAdapter makes a program.Machine a shard.Machine.
type machineAdapter struct{ *program.Machine }

func (m *machineAdapter) Apply(_ uint64, command []byte) any {
	decoded, err := program.Decode(command)
	if err != nil {
		return err
	}
	return m.Machine.Apply(decoded)
}

type configuration struct {
	effective template.Effective
	stale     *fault.Error
}

func (c *configuration) Current() *template.Configuration { return &template.Configuration{Version: 1} }

func (c *configuration) Fresh() error {
	if c.stale != nil {
		return c.stale
	}
	return nil
}

// inWorld runs test in a bubble with a running world.
func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		test(t, w)
	})
}

func newWorld(t *testing.T) *world {
	w := buildWorld(t)
	synctest.Wait()
	return w
}

func buildWorld(t testing.TB) *world {
	w := &world{t: t, term: 1, machine: &machineAdapter{program.New()}, effects: map[string]int{}, network: peer.NewMemoryNetwork()}
	w.effective = template.Effective{
		Template: "stall", SystemPrompt: "You help.", Models: []id.Model{"m"}, Limits: template.DefaultLimits,
		Tools: []template.Tool{
			{Name: "post", Timeout: time.Second},
			{Name: "read", Timeout: time.Second, Repeatable: true},
		},
	}
	w.ledger = newFakeLedger()
	mux := peer.NewMux()
	w.ledger.register(mux)
	w.network.Attach("ledger", mux)
	w.workers = map[id.Worker]*fakeWorker{}
	for _, name := range []id.Worker{"w1", "w2"} {
		w.workers[name] = newFakeWorker(w, name)
	}
	w.next = []id.Worker{"w1"}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	for node := range 2 {
		w.addNode(ctx, node)
	}
	return w
}

func (w *world) addNode(ctx context.Context, node int) {
	mux := peer.NewMux()
	d := New(Options{
		Proposer: &fakeProposer{w, node}, Locator: fakeLocator{}, Mux: mux, Config: &w.configuration,
		Transport: w.network.Transport(address(node)), Placer: fakePlacer{w}, Shards: 1,
		Tools:    toolFunc(func(ctx context.Context, r outside.ToolRequest) (string, error) { return w.tools(ctx, r) }),
		Envelope: program.Command.Encode,
		Machine:  func(m shard.Machine) *program.Machine { return m.(*machineAdapter).Machine },
		Resolve: func(_ *template.Configuration, tenant id.Tenant, _ id.Template, _ map[string]string) (*template.Effective, error) {
			effective := w.effective
			effective.Tenant = tenant
			return &effective, nil
		},
	})
	w.nodes = append(w.nodes, d)
	w.network.Attach(address(node), mux)
	go func() { _ = d.Run(ctx) }()
}

// stop ends the nodes and lets commits that are under way run out.
func (w *world) stop() {
	w.cancel()
	pauseFor(time.Second)
}

func address(node int) peer.Address { return peer.Address(fmt.Sprintf("node-%d", node)) }

// lead moves the leadership to a node.
func (w *world) lead(node int) {
	w.mutex.Lock()
	old := w.leader
	w.leader = node
	w.term++
	position := shard.Position{Term: w.term}
	if len(w.snapshots) > 0 && old != node {
		w.lagging = &machineAdapter{program.New()}
		if err := w.lagging.Restore(w.snapshots[0]); err != nil {
			w.violations = append(w.violations, err.Error())
		}
	}
	w.mutex.Unlock()
	w.nodes[old].ObserveLeadership(0, position, false)
	w.nodes[node].ObserveLeadership(0, position, true)
}

type fakeProposer struct {
	world *world
	node  int
}

func (p *fakeProposer) Propose(ctx context.Context, _ id.Shard, command []byte) (any, error) {
	w := p.world
	w.commitDelay(p.node)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.leader != p.node {
		return nil, fault.New(fault.NotLeader, "not here", "try the other")
	}
	w.commits++
	w.lagging = nil
	w.remember()
	result := w.machine.Apply(0, command)
	if decoded, _ := program.Decode(command); w.loseStart && (decoded.Start != nil || decoded.Begin != nil) {
		w.loseStart = false
		return nil, fault.New(fault.Unavailable, "lost", "ask again").WithRan(fault.RanUnknown)
	}
	return result, ctx.Err()
}

// commitDelay takes the time of a commit, or of catching up and a commit.
func (w *world) commitDelay(node int) {
	w.mutex.Lock()
	behind := w.lagging != nil && w.leader == node
	w.mutex.Unlock()
	if behind {
		time.Sleep(catchUpTime)
	}
	if !w.instant {
		time.Sleep(commitTime)
	}
}

// remember keeps the last states, so that a new leader can lag behind.
func (w *world) remember() {
	if !w.lag {
		return
	}
	snapshot, err := w.machine.Snapshot()
	if err != nil {
		w.violations = append(w.violations, err.Error())
	}
	w.snapshots = append(w.snapshots, snapshot)
	if len(w.snapshots) > 3 {
		w.snapshots = w.snapshots[1:]
	}
}

func (p *fakeProposer) Query(_ context.Context, _ id.Shard, read func(shard.Machine)) error {
	w := p.world
	w.commitDelay(p.node)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.leader != p.node {
		return fault.New(fault.NotLeader, "not here", "try the other")
	}
	w.lagging = nil
	read(w.machine)
	return nil
}

func (p *fakeProposer) Peek(_ id.Shard, read func(shard.Machine)) bool {
	w := p.world
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lagging != nil && w.leader == p.node {
		read(w.lagging)
		return true
	}
	read(w.machine)
	return true
}

func (p *fakeProposer) Leads(id.Shard) (shard.Position, bool) {
	p.world.mutex.Lock()
	defer p.world.mutex.Unlock()
	return shard.Position{Term: p.world.term}, p.world.leader == p.node
}

func (p *fakeProposer) Route(id.Shard) (shard.Route, bool) {
	p.world.mutex.Lock()
	defer p.world.mutex.Unlock()
	return shard.Route{Leader: member.Member{Address: address(p.world.leader)}}, true
}

type fakeLocator struct{}

func (fakeLocator) Do(ctx context.Context, _ id.Shard, attempt func(context.Context, peer.Address) error) error {
	return attempt(ctx, "ledger")
}

type toolFunc func(context.Context, outside.ToolRequest) (string, error)

func (f toolFunc) Invoke(ctx context.Context, r outside.ToolRequest) (string, error) {
	return f(ctx, r)
}

// fakeFence is that of all workers' first owners.
var fakeFence = engine.Fence{Epoch: 1, Instance: "first"}

// fakePlacer places calls on world.next in turn.
type fakePlacer struct{ world *world }

func (p fakePlacer) Place(_ context.Context, _ worker.ProbeRequest, _ []id.Worker) (worker.Location, error) {
	w := p.world
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.refuse != nil {
		return worker.Location{}, w.refuse
	}
	name := w.next[0]
	if len(w.next) > 1 {
		w.next = w.next[1:]
	}
	return worker.Location{Worker: name, Owner: peer.Address(name), Fence: fakeFence}, nil
}

func (p fakePlacer) Locate(name id.Worker) (worker.Location, bool) {
	return worker.Location{Worker: name, Owner: peer.Address(name)}, true
}

func (w *world) view(name id.Program) program.View {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	view, _ := w.machine.View(name, "")
	return view
}

func (w *world) bytes() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.machine.Bytes()
}

// totalRuns counts the requests that reached any worker, repeats included.
func (w *world) totalRuns() int {
	total := 0
	for _, f := range w.workers {
		f.mutex.Lock()
		total += len(f.jobs)
		f.mutex.Unlock()
	}
	return total
}

// create makes a program at the leader.
func (w *world) create(name id.Program) {
	w.t.Helper()
	_, err := peer.Invoke[Program](w.t.Context(), w.network.Transport("client"), address(w.leader), MethodCreate,
		CreateRequest{Program: name, Tenant: "soko", Template: "stall", Parent: parentOf(name)})
	require.NoError(w.t, err)
}

// parentOf is the program above a sub-agent, and empty for a root.
func parentOf(name id.Program) id.Program {
	if name.Root() == name {
		return ""
	}
	return name.Root()
}

// reply is what a caller got from one request.
type reply struct {
	text   string
	answer *Answer
	call   uint64
	err    error
}

// call sends a request to a node and collects its stream.
func (w *world) call(node int, request CallRequest) reply {
	var got reply
	ctx, cancel := context.WithTimeout(w.t.Context(), callerPatience)
	defer cancel()
	got.err = peer.InvokeStream(ctx, w.network.Transport("client"), address(node), MethodCall, request,
		func(event CallEvent) error {
			got.text += event.Text
			got.call = event.Call
			if event.Answer != nil {
				got.answer = event.Answer
			}
			return nil
		})
	return got
}

func ask(name id.Program, key, text string) CallRequest {
	return CallRequest{
		Program: name, Tenant: "soko", Key: key, Repeatable: true, Arrived: time.Now(),
		Messages: []chat.Message{{Role: chat.User, Content: text}},
	}
}

// pauseFor lets the bubble's time pass.
func pauseFor(wait time.Duration) {
	time.Sleep(wait)
	synctest.Wait()
}
