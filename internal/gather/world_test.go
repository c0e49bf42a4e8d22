package gather

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	worldNodes = 77
	worldParts = 64
	// worldOwners is how many nodes own slots: not each has got one.
	worldOwners = 45
	// worldWay is between two nodes, there and back.
	worldWay = 2 * time.Millisecond
	// turnTime is how long a turn may take to be kept.
	turnTime = 5 * time.Second
	// missedFor is for how long an owner that did not answer is not asked.
	missedFor = 500 * time.Millisecond
)

// world are nodes before a table that takes so many calls.
type world struct {
	t      *testing.T
	across bool // the table takes calls across parts
	table  *storetest.Counted
	nodes  []*worldNode

	mutex    sync.Mutex
	owners   [Groups]int // index of the node, as others believe
	claims   map[int][]int
	down     map[int]bool // nodes that get no questions
	mute     map[int]bool // nodes whose answers are lost
	old      map[int]bool // nodes that do not know the question
	cut      map[int]bool // nodes that the table does not answer
	paused   map[int]chan struct{}
	asks     atomic.Int64
	calls    atomic.Int64 // of gatherers
	turns    atomic.Int64
	underWay sync.WaitGroup

	results []turnResult
}

// turnResult is what came of a turn.
type turnResult struct {
	begun time.Time
	took  time.Duration
	err   error
	turn  string
}

// worldNode is a node of a world.
type worldNode struct {
	world    *world
	index    int
	gate     *store.Gate
	keeper   *history.Keeper
	gatherer *Gatherer

	mutex  sync.Mutex
	missed map[int]time.Time // by slot
}

// GatherCall implements Meter.
func (w *world) GatherCall(int, bool) { w.calls.Add(1) }

// GatherWait implements Meter.
func (w *world) GatherWait(time.Duration) {}

// GatherAsk implements Meter.
func (w *world) GatherAsk(Outcome) {}

func processOf(index int) string { return locality.ProcessName("zone", fmt.Sprint("node", index), "1") }

// newWorld returns nodes before a table of 1,500 calls a second, each group owned by one of them.
func newWorld(t *testing.T, across bool) *world {
	w := &world{
		t: t, table: storetest.NewCounted(storetest.CountedOptions{Writes: 1500, Way: 8 * time.Millisecond, Takes: 5 * time.Millisecond, Across: across}), across: across,
		claims: map[int][]int{}, down: map[int]bool{}, mute: map[int]bool{}, old: map[int]bool{}, cut: map[int]bool{}, paused: map[int]chan struct{}{},
	}
	for group := range Groups {
		w.own(group, group)
	}
	for index := range worldNodes {
		w.nodes = append(w.nodes, w.newNode(index))
	}
	return w
}

// nodeTable is the table as a node reaches it.
type nodeTable struct {
	*storetest.Counted
	world *world
	index int
}

// reached waits for ever if the node is cut off.
func (n nodeTable) reached(ctx context.Context) error {
	n.world.mutex.Lock()
	cut := n.world.cut[n.index]
	n.world.mutex.Unlock()
	if cut {
		<-ctx.Done()
	}
	return ctx.Err()
}

// Commit implements store.Store.
func (n nodeTable) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	if err := n.reached(ctx); err != nil {
		return 0, err
	}
	return n.Counted.Commit(ctx, transaction)
}

// Range implements store.Store.
func (n nodeTable) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	if err := n.reached(ctx); err != nil {
		return store.Page{}, err
	}
	return n.Counted.Range(ctx, table, part, from, to, limit)
}

// own lets a node own a group, and others believe so. Who owned it before goes on believing it.
func (w *world) own(group, index int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.owners[group] = index
	w.claims[group] = append(w.claims[group], index)
}

func (w *world) newNode(index int) *worldNode {
	logger := &log.Logger{Handler: discard.New()}
	node := &worldNode{world: w, index: index, gate: store.NewGate(nodeTable{Counted: w.table, world: w, index: index}, logger), missed: map[int]time.Time{}}
	slots := Slots{Layout: directory.NewLayout(nil)}
	node.gatherer = NewGatherer(GathererOptions{
		Process: processOf(index),
		Owns: func(group int) bool {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			return slices.Contains(w.claims[group], index)
		},
		Store: node.gate, Lost: node.gate.Suspect, Pace: Pace{Writes: 1500, Groups: slots.Groups(), Across: w.across},
		Bytes: 8 << 20, Meter: w, Logger: logger,
	})
	writer := NewWriter(WriterOptions{
		Process: processOf(index), Slots: slots, Owners: node, Peers: w, Gatherer: node.gatherer,
		ThrottledSince: node.gate.ThrottledSince,
		Pace:           Pace{Writes: 1500, Groups: slots.Groups(), Across: w.across}, Nodes: func() int { return worldOwners },
		Meter: w, Logger: logger,
	})
	node.keeper = history.New(history.Options{Store: node.gate, CacheBytes: 1, Together: writer})
	return node
}

// Owner implements Owners.
func (n *worldNode) Owner(slot int) (budget.Holder, bool) {
	n.world.mutex.Lock()
	index := n.world.owners[groupOf(slot)]
	n.world.mutex.Unlock()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return budget.Holder{Process: processOf(index), Address: fmt.Sprint(index)}, time.Since(n.missed[slot]) >= missedFor
}

// Heard implements Owners.
func (n *worldNode) Heard(slot int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.missed, slot)
}

// Missed implements Owners.
func (n *worldNode) Missed(slot int, _ budget.Holder) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.missed[slot] = time.Now()
}

// Gather implements Peers.
func (w *world) Gather(ctx context.Context, owner budget.Holder, request Request) (Answer, error) {
	w.asks.Add(1)
	var index int
	_, err := fmt.Sscan(owner.Address, &index)
	require.NoError(w.t, err)
	if err := wait.For(ctx, worldWay/2); err != nil {
		return Answer{}, err
	}
	w.mutex.Lock()
	down, mute, old, paused := w.down[index], w.mute[index], w.old[index], w.paused[index]
	w.mutex.Unlock()
	switch {
	case old:
		return Answer{}, fault.New(fault.Invalid, "unknown peer method", "run the same version on all nodes")
	case down:
		<-ctx.Done()
		return Answer{}, ctx.Err()
	case paused != nil:
		select {
		case <-paused:
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
	answers := make(chan Answer, 1)
	go func() { answers <- w.nodes[index].gatherer.Answer(context.WithoutCancel(ctx), request) }()
	select {
	case answer := <-answers:
		if mute {
			<-ctx.Done()
		}
		return answer, wait.For(ctx, worldWay/2)
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// load begins so many turns a second at random nodes, and 270 changes of accounts, for a while,
// and returns when all have ended.
func (w *world) load(perSecond int, lasts time.Duration) {
	const accounts = 270
	random := rand.New(rand.NewPCG(1, 2))
	next, nextAccount := time.Now(), time.Now()
	for end := next.Add(lasts); next.Before(end); {
		next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		time.Sleep(time.Until(next))
		w.begin(w.reaching(random))
		for nextAccount.Before(next) {
			nextAccount = nextAccount.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / accounts))
			w.account(w.nodes[random.IntN(worldNodes)], random.IntN(worldParts))
		}
	}
	w.underWay.Wait()
}

// reaching is a node that the table answers: relays help the others, and are not here.
func (w *world) reaching(random *rand.Rand) *worldNode {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for {
		if index := random.IntN(worldNodes); !w.cut[index] {
			return w.nodes[index]
		}
	}
}

// begin keeps a turn at a node.
func (w *world) begin(node *worldNode) {
	turn := &history.Turn{ID: fmt.Sprint(w.turns.Add(1)), Output: make([]byte, 2000)}
	w.underWay.Go(func() {
		ctx, cancel := context.WithTimeout(w.t.Context(), turnTime)
		defer cancel()
		begun := time.Now()
		err := node.keeper.Keep(ctx, turn, nil, time.Hour)
		result := turnResult{begun: begun, took: time.Since(begun), err: err, turn: turn.ID}
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.results = append(w.results, result)
	})
}

// account changes an account.
func (w *world) account(node *worldNode, part int) {
	w.underWay.Go(func() {
		ctx, cancel := context.WithTimeout(w.t.Context(), time.Second)
		defer cancel()
		row := store.Row{Key: store.Key{Table: "budgets", Part: fmt.Sprint("b", part), Name: fmt.Sprint(rand.Int())}}
		_, _ = store.CommitHedged(ctx, node.gate, store.Transaction{Put: []store.Row{row}})
	})
}

// checkKept checks that every kept row is in the table, and that nobody waited past its time.
func (w *world) checkKept() (unkept int) {
	for _, result := range w.results {
		require.LessOrEqual(w.t, result.took, turnTime)
		if result.err != nil {
			unkept++
			continue
		}
		require.True(w.t, w.table.Has("turns", result.turn), "kept and not in the table")
	}
	return unkept
}

// p90 is what nine of ten kept turns took at most that began in a time.
func (w *world) p90(from, to time.Time) time.Duration {
	var took []time.Duration
	for _, result := range w.results {
		if result.err == nil && !result.begun.Before(from) && result.begun.Before(to) {
			took = append(took, result.took)
		}
	}
	require.NotEmpty(w.t, took)
	slices.Sort(took)
	return took[len(took)*9/10]
}
