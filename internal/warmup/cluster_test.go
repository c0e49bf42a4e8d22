package warmup

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/forward"
)

var errCut = errors.New("no answer")

// world is nodes that lend and borrow requests to one cold worker.
type world struct {
	bearing Bearing

	mutex   sync.Mutex
	owner   *node // of the worker's slot, by the table
	claims  uint64
	nodes   []*node
	arrived []time.Time
	refused int
}

// node is one process, in the place of one machine.
type node struct {
	world    *world
	process  string
	borrower *Borrower
	lender   *Lender

	dead   bool
	cut    bool      // from other nodes
	apart  bool      // from the table
	paused time.Time // until when it stands still

	number uint64 // of its time with the slot
	since  time.Time
	// unsettled: the owner before may have followed one that could still lend.
	unsettled bool
	proven    time.Time
	view      *node // who owns the slot, as it last heard
}

func newTestWorld(nodes int, bearing Bearing) *world {
	w := &world{bearing: bearing, nodes: make([]*node, nodes)}
	for index := range nodes {
		w.start(index)
	}
	w.claim(w.nodes[0], time.Now())
	return w
}

func (w *world) start(index int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.claims++
	n := &node{world: w, process: fmt.Sprint("p", w.claims)}
	n.lender = NewLender(n, Slots{}, func(string) Bearing { return w.bearing })
	n.borrower = NewBorrower(BorrowerOptions{
		Self: budget.Holder{Process: n.process, Address: n.process}, Owners: n, Peers: n, Lender: n.lender, Count: func(Outcome) {},
	})
	if before := w.nodes[index]; before != nil {
		before.dead = true
	}
	w.nodes[index] = n
	go n.renew()
}

// claim lets a node own the slot; nobody before lends after a moment.
func (w *world) claim(n *node, since time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.claims++
	before := w.owner
	n.unsettled = before != nil && time.Since(before.since) <= LentFor
	w.owner, n.view = n, n
	n.number, n.since, n.proven = w.claims, since, time.Now()
}

// renew proves the node's lease, and hears who owns the slot.
func (n *node) renew() {
	for !n.isDead() {
		n.standStill()
		sent := time.Now()
		time.Sleep(4 * time.Millisecond)
		n.world.mutex.Lock()
		if !n.apart {
			n.view = n.world.owner
		}
		if n.view == n && !n.apart {
			n.proven = sent
		}
		n.world.mutex.Unlock()
		time.Sleep(time.Second)
	}
}

func (n *node) isDead() bool {
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	return n.dead
}

func (n *node) standStill() {
	n.world.mutex.Lock()
	until := n.paused
	n.world.mutex.Unlock()
	time.Sleep(time.Until(until))
}

// Lease implements Leases.
func (n *node) Lease(int) (directory.Lease, bool) {
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	lease := directory.Lease{Number: n.number, Since: n.since, Until: n.proven.Add(directory.LongestLease)}
	lease.Before.All = n.unsettled
	return lease, n.view == n
}

// Owner implements Owners.
func (n *node) Owner(int) (budget.Holder, bool) {
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	if n.view == nil {
		return budget.Holder{}, false
	}
	return budget.Holder{Process: n.view.process, Address: n.view.process}, true
}

// Heard implements Owners.
func (n *node) Heard(int) {}

// Missed implements Owners.
func (n *node) Missed(int, budget.Holder) {}

// LendCold implements Peers.
func (n *node) LendCold(_ context.Context, owner budget.Holder, request Request) (Answer, error) {
	time.Sleep(2 * time.Millisecond)
	n.world.mutex.Lock()
	index := slices.IndexFunc(n.world.nodes, func(other *node) bool { return other.process == owner.Address })
	if index < 0 || n.cut || n.world.nodes[index].cut {
		n.world.mutex.Unlock()
		return Answer{}, errCut
	}
	asked := n.world.nodes[index]
	n.world.mutex.Unlock()
	asked.standStill()
	if asked.isDead() {
		return Answer{}, errCut
	}
	answer := asked.lender.Answer(request)
	asked.standStill()
	time.Sleep(2 * time.Millisecond)
	return answer, nil
}

// send lets a node send one request to the worker if it is lent one. It arrives after a
// drawn part of the longest way.
func (w *world) send(index int, delay time.Duration) forward.Loan {
	w.mutex.Lock()
	n := w.nodes[index]
	w.mutex.Unlock()
	n.standStill()
	loan := n.borrower.Borrow(context.Background(), forward.ColdRequest{Worker: "w", Service: "s"})
	n.standStill()
	if n.isDead() {
		return forward.Loan{}
	}
	if !time.Now().Before(loan.Until) {
		w.set(func() { w.refused++ })
		return loan
	}
	time.Sleep(delay)
	w.arrive()
	return loan
}

func (w *world) arrive() { w.set(func() { w.arrived = append(w.arrived, time.Now()) }) }

func (w *world) set(change func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	change()
}

// load lets nodes ask for requests at a rate, far more than may be lent.
func (w *world) load(random *rand.Rand, perSecond float64, duration time.Duration) {
	var sends sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		index, delay := random.IntN(len(w.nodes)), rand.N(way)
		sends.Go(func() { w.send(index, delay) })
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	sends.Wait()
}

// unaware lets nodes that do not know that the worker is cold send to it.
func (w *world) unaware(perSecond float64, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		w.arrive()
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
}

// strike lets drawn faults strike.
func (w *world) strike(random *rand.Rand, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond) {
		index := random.IntN(len(w.nodes))
		n := w.nodes[index]
		switch random.IntN(8) {
		case 0: // a process ends, and another one at its address takes its slot again
			owned := w.isOwner(n)
			w.start(index)
			if owned {
				w.claim(w.nodes[index], time.Now())
			}
		case 1, 2: // another node takes the slot of one that may live
			w.claim(n, time.Now().Add(directory.LongestLease))
		case 3:
			w.set(func() { w.owner.paused = time.Now().Add(time.Duration(random.IntN(7000)) * time.Millisecond) })
		case 4:
			w.set(func() { n.paused = time.Now().Add(time.Duration(random.IntN(7000)) * time.Millisecond) })
		case 5:
			w.set(func() { n.cut = !n.cut })
		case 6:
			w.set(func() { n.apart = !n.apart })
		default:
			w.set(func() {
				for _, other := range w.nodes {
					other.cut, other.apart = false, false
				}
			})
		}
	}
}

func (w *world) isOwner(n *node) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.owner == n
}

func (w *world) stop() {
	w.set(func() {
		for _, n := range w.nodes {
			n.dead = true
		}
	})
	time.Sleep(time.Minute)
}

// mostInASecond is how many requests arrived in the second in which most did.
func mostInASecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
