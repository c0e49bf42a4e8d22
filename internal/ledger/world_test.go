package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/shard"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// call is what the oracle knows of a request.
type call struct {
	tenant  id.Tenant
	tokens  int64
	key     entryKey // of the period it was charged to
	granted bool
	over    bool
	void    bool // promised never to run
	spent   int64
}

// world is two nodes that lead one shard in turn, and the oracle beside them.
type world struct {
	table *fakeTable
	shard *fakeShard
	nodes map[id.Node]*peer.Mux
	stop  context.CancelFunc
	saved []byte

	mutex   sync.Mutex
	calls   map[id.Request]*call
	problem string
}

var worldTenants = map[id.Tenant]template.Budget{
	"fixed":    {Tokens: 1000},
	"renewed":  {Tokens: 600, Period: 20 * time.Second},
	"lifelong": {Tokens: 300},
	"hourly":   {Tokens: 200, Period: time.Hour},
	"large":    {Tokens: 1_000_000},
}

func newWorld(ctx context.Context, fault mutant, inquire, sparing bool) *world {
	ctx, stop := context.WithCancel(ctx)
	w := &world{
		table: &fakeTable{rows: map[string]outside.Row{}, latency: 5 * time.Millisecond},
		shard: &fakeShard{machine: NewMachine(), believed: map[id.Node]shard.Position{}, latency: time.Millisecond},
		nodes: map[id.Node]*peer.Mux{}, stop: stop, calls: map[id.Request]*call{},
	}
	w.shard.machine.mutant = fault
	w.shard.lead("a", shard.Position{Epoch: 1, Term: 1})
	for _, node := range []id.Node{"a", "b"} {
		mux := peer.NewMux()
		options := Options{
			Proposer: fakeProposer{w.shard, node}, Mux: mux, Table: w.table,
			Log: &log.Logger{Handler: discard.New()}, Shards: 1, ForfeitAfter: 5 * time.Minute,
		}
		if inquire {
			options.Inquire = w.fate
		}
		service := New(options)
		service.mutant = fault
		if sparing {
			service.ahead = aheadPolicy{low: time.Second, full: 2 * time.Second, calls: 1}
		}
		w.nodes[node] = mux
		go func() { _ = service.Run(ctx) }()
	}
	return w
}

func invoke[Response, Request any](ctx context.Context, w *world, node id.Node, method string, request Request) (Response, error) {
	var response Response
	payload, err := peer.Encode(request)
	if err != nil {
		return response, err
	}
	answer, err := w.nodes[node].ServeCall(ctx, method, payload)
	if err != nil {
		return response, err
	}
	return response, peer.Decode(answer, &response)
}

// fate answers for the program's shard: a request that its caller does not know
// to be granted is promised never to run.
func (w *world) fate(_ context.Context, _ id.Tenant, request id.Request) (Fate, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.calls[request]
	switch {
	case !c.granted:
		c.void = true
		return Fate{Kind: FateVoid}, nil
	case c.over:
		return Fate{Kind: FateOver, Spent: c.spent}, nil
	}
	return Fate{}, nil
}

// reserve asks one node and, if it is granted, starts the call.
func (w *world) reserve(ctx context.Context, node id.Node, tenant id.Tenant, request id.Request, tokens int64) error {
	w.mutex.Lock()
	if w.calls[request] == nil {
		w.calls[request] = &call{tenant: tenant}
	}
	w.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	message := ReserveRequest{Tenant: tenant, Request: request, Tokens: tokens, Budget: worldTenants[tenant], Version: 1}
	reservation, err := invoke[Reservation](ctx, w, node, MethodReserve, message)
	if err == nil {
		w.start(request, reservation.Tokens)
	}
	return err
}

// start runs a call that may use as many tokens as the answer set aside.
func (w *world) start(request id.Request, tokens int64) {
	w.shard.mutex.Lock()
	defer w.shard.mutex.Unlock()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.calls[request]
	if c.granted || c.void {
		return
	}
	c.granted, c.tokens = true, tokens
	c.key = entryKey{Tenant: c.tenant}
	if held, ok := w.shard.machine.accounts[c.tenant].Reservations[request]; ok && !held.Period.IsZero() {
		c.key.Start = held.Period.UnixNano()
	}
}

// finish ends a running call and settles it, any number of times.
func (w *world) finish(ctx context.Context, node id.Node, request id.Request, percent int64) {
	w.mutex.Lock()
	c := w.calls[request]
	if c == nil || !c.granted {
		w.mutex.Unlock()
		return
	}
	if !c.over {
		c.over, c.spent = true, c.tokens*percent/100
	}
	message := SettleRequest{Tenant: c.tenant, Request: request, Spent: c.spent}
	w.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_, _ = invoke[Balance](ctx, w, node, MethodSettle, message)
}

// check compares what may have been spent with the budgets and with the table.
func (w *world) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	spent := map[entryKey]int64{}
	for _, c := range w.calls {
		switch {
		case c.over:
			spent[c.key] += c.spent
		case c.granted:
			spent[c.key] += c.tokens
		}
	}
	for key, tokens := range spent {
		if budget := worldTenants[key.Tenant].Tokens; tokens > budget {
			w.problem = fmt.Sprintf("%v spent %d of a budget of %d", key, tokens, budget)
		}
		if drawn := w.table.drawn(key); tokens > drawn {
			w.problem = fmt.Sprintf("%v spent %d, but the table has drawn %d", key, tokens, drawn)
		}
	}
}

// step is one action of the fuzzing.
type step struct {
	Kind    string
	Tenant  id.Tenant
	Node    id.Node
	Request int
	Tokens  int64
	Percent int64
	Wait    time.Duration
}

var stepGenerator = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]string{
			"reserve", "reserve", "reserve", "reserve", "reserve", "reserve", "reserve", "reserve",
			"finish", "finish", "finish", "finish", "takeover", "save", "lose", "table down", "table up",
			"table up", "table late", "lose answer", "slow commits", "fast commits", "wait",
		}).Draw(t, "kind"),
		Tenant:  rapid.SampledFrom([]id.Tenant{"lifelong", "hourly"}).Draw(t, "tenant"),
		Node:    rapid.SampledFrom([]id.Node{"leader", "leader", "leader", "a", "b"}).Draw(t, "node"),
		Request: rapid.IntRange(0, 60).Draw(t, "request"),
		Tokens:  rapid.Int64Range(1, 90).Draw(t, "tokens"),
		Percent: rapid.Int64Range(0, 100).Draw(t, "percent"),
		Wait:    time.Duration(rapid.SampledFrom([]int{0, 0, 3, 40, 400, 2000}).Draw(t, "wait")) * time.Millisecond,
	}
})

func (w *world) run(ctx context.Context, s step) {
	w.shard.mutex.Lock()
	if s.Node == "leader" {
		s.Node = w.shard.leader
	}
	w.shard.mutex.Unlock()
	request := id.Request(fmt.Sprintf("%s/%d/1", s.Tenant, s.Request))
	switch s.Kind {
	case "reserve":
		go func() { _ = w.reserve(ctx, s.Node, s.Tenant, request, s.Tokens) }()
	case "finish":
		go w.finish(ctx, s.Node, request, s.Percent)
	case "wait":
		time.Sleep(200 * s.Wait)
	case "table down", "table up", "table late", "lose answer":
		w.table.mutex.Lock()
		defer w.table.mutex.Unlock()
		w.table.down = s.Kind == "table down"
		w.table.latency = 5 * time.Millisecond
		if s.Kind == "table late" {
			w.table.latency = 300 * time.Millisecond
		}
		if s.Kind == "lose answer" {
			w.table.lose = 1
		}
	default:
		w.shard.mutex.Lock()
		defer w.shard.mutex.Unlock()
		w.disturb(s)
	}
}

// disturb changes the shard; the caller holds its mutex.
func (w *world) disturb(s step) {
	switch s.Kind {
	case "slow commits":
		w.shard.latency = 200 * time.Millisecond
	case "fast commits":
		w.shard.latency = time.Millisecond
	case "takeover":
		w.shard.lead(s.Node, shard.Position{Epoch: w.shard.position.Epoch, Term: w.shard.position.Term + 1})
	case "save":
		w.saved, _ = w.shard.machine.Snapshot()
	case "lose":
		fault := w.shard.machine.mutant
		w.shard.machine = NewMachine()
		w.shard.machine.mutant = fault
		if w.saved != nil {
			_ = w.shard.machine.Restore(w.saved)
		}
		w.shard.lead(s.Node, shard.Position{Epoch: w.shard.position.Epoch + 1, Term: 1})
	}
}

// play runs steps in a bubble and returns the first broken invariant, or "".
func play(t *testing.T, fault mutant, inquire, sparing bool, steps []step) string {
	var problem string
	bubble(t, func(ctx context.Context) {
		w := newWorld(ctx, fault, inquire, sparing)
		defer w.stop()
		for _, s := range steps {
			w.run(ctx, s)
			time.Sleep(s.Wait)
			w.check()
			if w.problem != "" {
				break
			}
		}
		time.Sleep(10 * time.Second)
		w.check()
		problem = w.problem
	})
	return problem
}
