package directory

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// A fixed seed makes the test reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// grantSimulation is a set of nodes with directories and budget accounts that share one store.
type grantSimulation struct {
	t     *testing.T
	table *storetest.Table

	mutex       sync.Mutex
	random      *rand.Rand
	nodes       []*grantNode // indexed by address
	started     int
	storeDown   bool // the store is down for all nodes
	lossPercent int  // chance in percent that a message is lost, duplicated, or loses its answer
	granted     int
}

// grantNode is a process of a node.
type grantNode struct {
	directory *Directory
	accounts  *budget.Accounts
	cancel    context.CancelFunc
	denied    bool // the store refuses this node's calls
	isolated  bool // partitioned from the other nodes
}

func (w *grantSimulation) draw(below int) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.random.IntN(below)
}

// start starts a process at an address; it replaces the previous one.
func (w *grantSimulation) start(index int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if old := w.nodes[index]; old != nil {
		old.cancel()
	}
	w.started++
	node := &grantNode{}
	self := budget.Holder{Process: fmt.Sprint("p", w.started), Address: fmt.Sprint(index)}
	table := nodeStore{w.table, w, node}
	peers := simulationPeers{w, node}
	node.directory = New(Options{
		Store: table, Self: self, Peers: peers, Grants: peers, Logger: &log.Logger{Handler: discard.New()},
		OnGrantOutcome: func(outcome GrantOutcome) {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			if outcome == GrantMade {
				w.granted++
			}
		},
	})
	node.accounts = budget.NewAccounts(budget.Options{Store: table, Self: self, Peers: peers, Locator: node.directory, Granter: node.directory})
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	w.nodes[index] = node
	go node.directory.Run(ctx)
}

// nodeStore is one node's connection to the store.
type nodeStore struct {
	*storetest.Table
	simulation *grantSimulation
	node       *grantNode
}

func (s nodeStore) refused() bool {
	s.simulation.mutex.Lock()
	defer s.simulation.mutex.Unlock()
	return s.node.denied
}

// Commit implements store.Store.
func (s nodeStore) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	if s.refused() {
		return 0, store.ErrNotApplied
	}
	return s.Table.Commit(ctx, transaction)
}

// Range implements store.Store.
func (s nodeStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	if s.refused() {
		return store.Page{}, store.ErrNotApplied
	}
	return s.Table.Range(ctx, table, part, from, to, limit)
}

// Watch implements store.Store.
func (s nodeStore) Watch(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Page, error) {
	if s.refused() {
		return store.Page{}, store.ErrNotApplied
	}
	return s.Table.Watch(ctx, table, after, wait)
}

// simulationPeers sends messages from one node.
type simulationPeers struct {
	simulation *grantSimulation
	from       *grantNode
}

// send delivers one message. The message may be lost or duplicated, and its answer may be lost.
func send[A any](ctx context.Context, p simulationPeers, address string, ask func(*grantNode) A) (answer A, err error) {
	w := p.simulation
	w.mutex.Lock()
	var to *grantNode
	for index, node := range w.nodes {
		if fmt.Sprint(index) == address {
			to = node
		}
	}
	lost := to.isolated || p.from.isolated || w.random.IntN(100) < w.lossPercent
	twice := w.random.IntN(100) < w.lossPercent
	answerLost := w.random.IntN(100) < w.lossPercent
	w.mutex.Unlock()
	if !lost {
		answer = ask(to)
		if twice {
			ask(to)
		}
	}
	if lost || answerLost {
		<-ctx.Done()
		var none A
		return none, ctx.Err()
	}
	return answer, nil
}

// Locate implements Peers.
func (p simulationPeers) Locate(ctx context.Context, address string, request Request) (Answer, error) {
	return send(ctx, p, address, func(to *grantNode) Answer { return to.directory.HandleRequest(request) })
}

// Grant implements GrantPeers.
func (p simulationPeers) Grant(ctx context.Context, address string, request GrantRequest) (GrantAnswer, error) {
	return send(ctx, p, address, func(to *grantNode) GrantAnswer { return to.directory.HandleGrantRequest(request) })
}

// HandOver implements budget.Peers.
func (p simulationPeers) HandOver(ctx context.Context, address string, request budget.HandOverRequest) (budget.HandOverAnswer, error) {
	return send(ctx, p, address, func(to *grantNode) budget.HandOverAnswer { return to.accounts.HandOver(ctx, request) })
}

// program tracks the tokens that turns of a program have generated.
type program struct {
	budget, generated, largest int
}

// turn runs a turn of a program on a node.
func (w *grantSimulation) turn(index int, name string, of *program) {
	w.mutex.Lock()
	node := w.nodes[index]
	w.mutex.Unlock()
	ctx, cancel := context.WithTimeout(w.t.Context(), 900*time.Millisecond)
	defer cancel()
	most := 100 + w.draw(of.budget/5)
	reservation, err := node.accounts.Reserve(ctx, budget.Claim{Program: name, Budget: of.budget, Tokens: most})
	if err != nil {
		return
	}
	used := most
	if w.draw(3) > 0 {
		used = w.draw(most + 1)
	}
	of.generated, of.largest = of.generated+used, max(of.largest, most)
	reservation.Settle(used, "w")
}

// injectFault injects a random fault, restart or recovery.
func (w *grantSimulation) injectFault() {
	index := w.draw(len(w.nodes))
	change := func(do func()) {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		do()
	}
	switch w.draw(12) {
	case 0:
		w.start(index)
	case 1:
		for each := range w.nodes {
			w.start(each)
		}
	case 2:
		ctx, cancel := context.WithTimeout(w.t.Context(), 300*time.Millisecond)
		node := w.nodes[index]
		node.directory.Leave(ctx)
		node.accounts.GiveBack(ctx)
		cancel()
		w.start(index)
	case 3, 4, 5:
		change(func() { w.storeDown = !w.storeDown })
	case 6:
		change(func() { w.nodes[index].denied = !w.nodes[index].denied })
	case 7:
		change(func() { w.nodes[index].isolated = !w.nodes[index].isolated })
	case 8:
		change(func() { w.lossPercent = w.random.IntN(50) })
	case 9:
		w.table.ApplyLate(w.draw)
	default:
		change(func() { w.lossPercent, w.storeDown = 0, false })
	}
}

// Grants must not let a program generate more than its budget plus one turn, however nodes crash,
// leave, are partitioned or lose access to the store.
func TestGrantsNeverOverspend(t *testing.T) {
	granted := 0
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		size := rapid.IntRange(1200, 12000).Draw(r, "budget")
		faulty := rapid.IntRange(0, 40).Draw(r, "faults in 100")
		var failure error
		synctest.Test(t, func(t *testing.T) {
			w := &grantSimulation{t: t, table: storetest.New(), random: rand.New(rand.NewPCG(seed, 2)), nodes: make([]*grantNode, 3)}
			failure = w.run(size, faulty)
			granted += w.granted
		})
		if failure != nil {
			r.Fatal(failure)
		}
	})
	if granted == 0 {
		t.Fatal("no grant was made")
	}
	t.Logf("%d grants", granted)
}

func (w *grantSimulation) run(size, faulty int) error {
	w.table.SetFault(func(string, bool) storetest.Fault {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.storeDown {
			return storetest.RequestLost
		}
		if w.random.IntN(100) >= faulty {
			return storetest.None
		}
		return storetest.Fault(w.random.IntN(int(storetest.AppliedThenReset) + 1))
	})
	for index := range w.nodes {
		w.start(index)
	}
	time.Sleep(5 * time.Second)
	programs := []*program{{budget: size}, {budget: size}}
	for range 60 {
		if w.draw(4) == 0 {
			w.injectFault()
		}
		number := w.draw(len(programs))
		w.turn(w.draw(len(w.nodes)), fmt.Sprint("program", number), programs[number])
		time.Sleep(time.Duration(w.draw(1500)) * time.Millisecond)
	}
	for _, node := range w.nodes {
		node.cancel()
	}
	w.mutex.Lock()
	w.storeDown, w.lossPercent = false, 0
	w.mutex.Unlock()
	time.Sleep(time.Minute)
	for number, each := range programs {
		if each.generated >= each.budget+each.largest {
			return fmt.Errorf("program %d generated %d tokens of a budget of %d; the largest turn had %d tokens", number, each.generated, each.budget, each.largest)
		}
	}
	return nil
}
