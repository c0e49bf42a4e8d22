package quota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/forward"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/staleness"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

var (
	errUnreachable = errors.New("node is not reachable")
	testTolerance  = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
)

// cluster is a set of nodes that issue and request permits, over one store.
type cluster struct {
	table *storetest.Table

	mutex        sync.Mutex
	nodes        map[string]*node // by address
	starts       int
	isolated     map[string]bool   // nodes that are partitioned from other nodes
	storeDown    map[string]bool   // nodes whose calls to the store fail
	limit        tenant.Limit      // of every tenant
	places       *locality.ZoneMap // nil: no regions
	regionsSplit bool              // regions are partitioned from each other
	crossRegion  int               // calls for permits to another region
	admitted     map[string][]time.Time
	refused      map[fault.Code]int
}

// node is one process.
type node struct {
	cluster   *cluster
	self      budget.Holder
	directory *directory.Directory
	client    *Client
	allocator *Allocator
	cancel    context.CancelFunc
	paused    time.Time // end of the pause of the process
}

func newTestCluster(nodes int, limit tenant.Limit) *cluster {
	c := &cluster{
		table: storetest.New(), nodes: map[string]*node{}, isolated: map[string]bool{}, storeDown: map[string]bool{}, limit: limit,
		admitted: map[string][]time.Time{}, refused: map[fault.Code]int{},
	}
	for index := range nodes {
		c.start(addressOf(index))
	}
	return c
}

// locationOf returns the location of the node at an address; the address's index selects its region.
func (c *cluster) locationOf(address string) locality.Location {
	regions := c.places.Regions()
	if len(regions) == 0 {
		return locality.Location{}
	}
	index, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimPrefix(address, "10.0.0."), ":1"))
	return locality.Location{Zones: c.places, Zone: regions[index%len(regions)]}
}

// newSettledCluster is a cluster whose owners have owned their slots for more than a window.
func newSettledCluster(nodes int, limit tenant.Limit) *cluster {
	c := newTestCluster(nodes, limit)
	time.Sleep(12 * time.Second)
	return c
}

func addressOf(index int) string { return fmt.Sprintf("10.0.0.%d:1", index) }

// faultyStore is a node's view of the store, which fails or blocks with the node's faults.
type faultyStore struct {
	store.Store
	node *node
}

// Commit implements store.Store.
func (t faultyStore) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	t.node.waitWhilePaused()
	if t.node.isStoreDown() {
		return 0, store.ErrNotApplied
	}
	version, err := t.Store.Commit(ctx, transaction)
	t.node.waitWhilePaused()
	return version, err
}

// Range implements store.Store.
func (t faultyStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	t.node.waitWhilePaused()
	if t.node.isStoreDown() {
		return store.Page{}, store.ErrNotApplied
	}
	return t.Store.Range(ctx, table, part, from, to, limit)
}

func (n *node) isStoreDown() bool {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	return n.cluster.storeDown[n.self.Address]
}

// waitWhilePaused blocks while the process is paused.
func (n *node) waitWhilePaused() {
	n.cluster.mutex.Lock()
	until := n.paused
	n.cluster.mutex.Unlock()
	time.Sleep(time.Until(until))
}

func (c *cluster) start(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.starts++
	n := &node{cluster: c, self: budget.Holder{Process: fmt.Sprintf("p%d", c.starts), Address: address}}
	peers := clusterPeers{c, n}
	location := c.locationOf(address)
	layout := directory.NewLayout(c.places)
	n.directory = directory.New(directory.Options{
		Store: faultyStore{c.table, n}, Self: n.self, Peers: peers, PermitDuration: testTolerance.Window, Logger: &log.Logger{Handler: discard.New()},
		Location: location,
	})
	n.allocator = NewAllocator(AllocatorOptions{
		Leases: n.directory, Tolerance: testTolerance, Layout: layout,
		LimitOf: func(string) (tenant.Limit, bool) {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return c.limit, true
		},
		Proof: func() staleness.Proof { return staleness.Proof{} },
	})
	n.client = NewClient(ClientOptions{
		Self: n.self, Layout: layout, Region: location.OwnRegion(), Owners: n.directory, Peers: peers, Allocator: n.allocator, OnProof: func(staleness.Proof, time.Time) {}, OnOutcome: func(Outcome) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	c.nodes[address] = n
	go n.directory.Run(ctx)
	go n.renew(ctx)
}

// renew keeps the leases, as a server does.
func (n *node) renew(ctx context.Context) {
	for ctx.Err() == nil {
		claims := n.directory.Claims()
		sent := time.Now()
		_, err := (faultyStore{n.cluster.table, n}).Commit(ctx, store.Transaction{Conditions: claims})
		var conflict *store.Conflict
		switch {
		case err == nil:
			n.directory.ConfirmClaims(claims, sent)
		case errors.As(err, &conflict):
			n.directory.HandleConflict(claims, conflict, sent)
		}
		n.directory.MarkSettled(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// kill ends a process; calls to its address fail.
func (c *cluster) kill(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if n, ok := c.nodes[address]; ok {
		n.cancel()
		delete(c.nodes, address)
	}
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.cancel()
	}
	time.Sleep(time.Minute)
}

// clusterPeers sends a node's calls to other nodes.
type clusterPeers struct {
	cluster *cluster
	from    *node
}

// reach returns the node at an address after a network delay.
func (p clusterPeers) reach(ctx context.Context, address string) (*node, error) {
	time.Sleep(2 * time.Millisecond)
	p.cluster.mutex.Lock()
	defer p.cluster.mutex.Unlock()
	n, ok := p.cluster.nodes[address]
	regionsSplit := p.cluster.regionsSplit && p.cluster.locationOf(address) != p.cluster.locationOf(p.from.self.Address)
	if !ok || regionsSplit || p.cluster.isolated[address] || p.cluster.isolated[p.from.self.Address] {
		return nil, errUnreachable
	}
	if time.Now().Before(n.paused) {
		// The call is not answered before the caller times out.
		return nil, context.DeadlineExceeded
	}
	return n, ctx.Err()
}

// Locate implements directory.Peers.
func (p clusterPeers) Locate(ctx context.Context, address string, request directory.Request) (directory.Answer, error) {
	n, err := p.reach(ctx, address)
	if err != nil {
		return directory.Answer{}, err
	}
	return n.directory.HandleRequest(request), nil
}

// RequestPermit implements Peers.
func (p clusterPeers) RequestPermit(ctx context.Context, owner budget.Holder, request Request) (Answer, error) {
	n, err := p.reach(ctx, owner.Address)
	if err != nil {
		return Answer{}, err
	}
	if p.cluster.locationOf(owner.Address) != p.cluster.locationOf(p.from.self.Address) {
		p.cluster.set(func() { p.cluster.crossRegion++ })
	}
	return n.allocator.Answer(request), nil
}

// send has a node request one permit for a tenant, and records whether it was issued.
func (c *cluster) send(address, name, program string) error {
	c.mutex.Lock()
	n, ok := c.nodes[address]
	c.mutex.Unlock()
	if !ok {
		return errUnreachable
	}
	n.waitWhilePaused()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := n.client.Admit(ctx, forward.RateLimitRequest{Tenant: name, Program: program})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.refused[fault.CodeOf(err)]++
		return err
	}
	c.admitted[name] = append(c.admitted[name], time.Now())
	return nil
}

// maxInWindow returns the largest number of times in any window. It sorts times.
func maxInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// bound returns how many requests of a tenant may run in any window.
func bound(limit tenant.Limit) float64 {
	return (limit.PerSecond*testTolerance.Window.Seconds()+limit.Burst)*(1+testTolerance.Overage) + testTolerance.Slack
}

// programRate is the requests per second of a program of the test load, and programLife its
// duration.
const (
	programRate = 4
	programLife = 5 * time.Second
)

// load sends requests of a tenant at a rate through random nodes. They belong to programs whose
// starts are spread over time.
func (c *cluster) load(random *rand.Rand, nodes int, name string, perSecond float64, duration time.Duration) {
	var sends sync.WaitGroup
	begun, programs := time.Now(), max(1, int(perSecond/programRate))
	for end := begun.Add(duration); time.Now().Before(end); {
		line := random.IntN(programs)
		age := time.Since(begun) + programLife*time.Duration(line)/time.Duration(programs)
		address, program := addressOf(random.IntN(nodes)), fmt.Sprint(line, "-", int(age/programLife))
		sends.Go(func() { _ = c.send(address, name, program) })
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	sends.Wait()
}
