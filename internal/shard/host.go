package shard

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Host runs the replicas of one node. It implements Proposer.
type Host struct {
	options  Options
	self     ReplicaID
	routes   *routeBook
	outboxes *outboxes
	notices  *notices
	metrics  *metrics
	changes  *rate.Limiter
	moves    *rate.Limiter
	storing  *rate.Limiter

	running context.Context
	stop    context.CancelFunc
	handing atomic.Bool // a planned stop is under way

	founding  sync.Mutex // held while groups are created or recovered
	look      lookBackoff
	beaten    time.Time // of the last beats; used by tick only
	mutex     sync.RWMutex
	groups    map[id.Shard]*group
	departed  map[id.Shard]departure
	creations map[id.Shard]string // change ids of creations whose outcome is unknown
	silent    map[id.Shard]time.Time
}

// departure is what a process must remember of a seat that was taken away.
type departure struct {
	epoch, joined uint64
	position      Position
	promised      ReplicaID
}

// New returns a host and registers its peer handlers on options.Mux.
func New(options Options) (*Host, error) {
	if options.Shards == 0 || options.NewMachine == nil || options.Mux == nil || options.Transport == nil {
		return nil, eris.New("shard host needs Shards, NewMachine, Mux and Transport")
	}
	options.defaults()
	h := &Host{
		options:   options,
		self:      ReplicaID{options.Self.Node, options.Self.Incarnation},
		routes:    newRouteBook(),
		notices:   newNotices(options.Observer),
		changes:   rate.NewLimiter(rate.Limit(options.ChangeRate), 32),
		moves:     rate.NewLimiter(rate.Limit(options.RebalanceRate), 1),
		storing:   rate.NewLimiter(rate.Limit(options.StoreRate), int(options.StoreRate)+1),
		groups:    map[id.Shard]*group{},
		departed:  map[id.Shard]departure{},
		creations: map[id.Shard]string{},
		silent:    map[id.Shard]time.Time{},
	}
	h.running, h.stop = context.WithCancel(context.Background())
	h.outboxes = newOutboxes(h)
	h.metrics = newMetrics(h, options.Registerer)
	h.register(options.Mux)
	return h, nil
}

// Run keeps the node's groups going until ctx ends. It then forgets them all,
// as a process does that dies.
func (h *Host) Run(ctx context.Context) error {
	running, ctx := errgroup.WithContext(ctx)
	running.Go(func() error { return h.every(ctx, h.options.TickInterval, h.tick) })
	running.Go(func() error { return h.every(ctx, 2*h.options.TickInterval, h.maintain) })
	running.Go(func() error { return h.every(ctx, h.options.ElectionTimeout, h.ensure) })
	running.Go(func() error { return h.every(ctx, h.options.RowInterval, h.writeRows) })
	running.Go(func() error { return h.every(ctx, h.options.StoreInterval, h.storeAll) })
	running.Go(func() error { return h.notices.run(ctx) })
	err := running.Wait()
	h.close()
	if ctx.Err() != nil && eris.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// every runs work at once and then at each interval until ctx ends.
func (h *Host) every(ctx context.Context, interval time.Duration, work func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (h *Host) close() {
	h.stop()
	for _, g := range h.list() {
		h.drop(g)
	}
}

// list returns the groups in the order of their shards.
func (h *Host) list() []*group {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	groups := make([]*group, 0, len(h.groups))
	for _, g := range h.groups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b *group) int { return int(a.shard) - int(b.shard) })
	return groups
}

func (h *Host) group(shard id.Shard) *group {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.groups[shard]
}

// start makes a replica of a group, unless this process holds one as good.
func (h *Host) start(shard id.Shard, epoch, joined uint64, meta SnapshotMeta, machine Machine) *group {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	options := ReplicaOptions{
		Self: h.self, Epoch: epoch, Joined: joined, Start: meta, Timing: h.options.timing(), Now: time.Now(),
		Random: rand.New(rand.NewPCG(h.options.Seed, uint64(shard))),
	}
	if left, ok := h.departed[shard]; ok && left.epoch >= epoch {
		if left.epoch > epoch || joined <= left.joined {
			return nil
		}
		options.Position, options.Promised = left.position, left.promised
	}
	if current, ok := h.groups[shard]; ok {
		if current.epoch > epoch || (current.epoch == epoch && current.joined >= joined) || h.running.Err() != nil {
			return current
		}
		position, promised := current.close()
		if current.epoch == epoch {
			options.Position, options.Promised = position, promised
		}
	}
	g := &group{
		host: h, shard: shard, epoch: epoch, joined: joined, machine: machine,
		replica: NewReplica(options), waiters: map[uint64]waiter{}, reads: map[uint64]*readWaiter{},
	}
	h.groups[shard] = g
	return g
}

// drop forgets a group but for what the process must remember of its seat.
func (h *Host) drop(g *group) {
	position, promised := g.close()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.groups[g.shard] == g {
		delete(h.groups, g.shard)
	}
	left, ok := h.departed[g.shard]
	if !ok || left.epoch < g.epoch || (left.epoch == g.epoch && left.joined < g.joined) {
		h.departed[g.shard] = departure{g.epoch, g.joined, position, promised}
	}
}

// tick lets time pass for all replicas and sends the beats.
func (h *Host) tick(context.Context) {
	now := time.Now()
	for _, g := range h.list() {
		g.tick(now)
	}
	if now.Sub(h.beaten) >= h.options.timing().Resend {
		h.beaten = now
		h.sendBeats(now)
		h.outboxes.sweep(now)
	}
}

// Propose implements Proposer.
func (h *Host) Propose(ctx context.Context, shard id.Shard, command []byte) (any, error) {
	g := h.group(shard)
	if g == nil {
		return nil, h.notLeader(shard)
	}
	done, err := g.propose(command)
	if err != nil {
		return nil, err
	}
	select {
	case outcome := <-done:
		return outcome.value, outcome.err
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, "the command is not known to be committed in time", "ask for its outcome by its own key").WithRan(fault.RanUnknown)
	}
}

// Query implements Proposer.
func (h *Host) Query(ctx context.Context, shard id.Shard, read func(Machine)) error {
	g := h.group(shard)
	if g == nil {
		return h.notLeader(shard)
	}
	wait, err := g.query(read)
	if err != nil {
		return err
	}
	select {
	case err := <-wait.done:
		return err
	case <-ctx.Done():
		g.cancelRead(wait)
		return fault.New(fault.Unavailable, "no majority of the shard confirmed the read in time", "try again").WithRetryAfter(h.options.ElectionTimeout)
	}
}

// Peek implements Proposer.
func (h *Host) Peek(shard id.Shard, read func(Machine)) bool {
	g := h.group(shard)
	if g == nil {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return false
	}
	read(g.machine)
	return true
}

// Leads implements Proposer.
func (h *Host) Leads(shard id.Shard) (Position, bool) {
	g := h.group(shard)
	if g == nil {
		return Position{}, false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.leading, g.leads
}

// Route implements Proposer.
func (h *Host) Route(shard id.Shard) (Route, bool) { return h.routes.get(shard) }

// notLeader names the leader's address, if it is known.
func (h *Host) notLeader(shard id.Shard) *fault.Error {
	refusal := fault.Newf(fault.NotLeader, "ask its leader", "this node does not lead shard %d", shard)
	if route, ok := h.routes.get(shard); ok && route.Leader.Node != h.self.Node {
		return refusal.WithHint(string(route.Leader.Address))
	}
	return refusal
}

// register serves the host's peer methods.
func (h *Host) register(mux *peer.Mux) {
	peer.Handle(mux, methodBatch, h.serveBatch)
	peer.HandleStream(mux, methodSnapshot, h.serveSnapshot)
	peer.Handle(mux, methodBeat, h.serveBeat)
	peer.Handle(mux, methodRoutes, h.serveRoutes)
	peer.Handle(mux, methodSurvey, h.serveSurvey)
	peer.HandleStream(mux, methodSalvage, h.serveSalvage)
}
