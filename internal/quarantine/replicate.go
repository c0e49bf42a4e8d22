package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// shareTimeout is the timeout of a message to another node. It covers short pauses of a busy one.
	shareTimeout = 250 * time.Millisecond
	// syncPeriod is the time between comparisons with another node. They find what messages have missed, and tell that node that this
	// one wants to hear of changes.
	syncPeriod = 5 * time.Second
	// subscriptionPeriods is the number of syncPeriods for which a node is told of changes after it has asked.
	subscriptionPeriods = 3
	// syncFarOneIn is how rarely a node compares with one of another zone.
	syncFarOneIn = 4
	// startTimeout is how long a node that has just started tries to learn what others know before it serves without.
	startTimeout = 300 * time.Millisecond
	// startRetry is the pause between these tries.
	startRetry = 20 * time.Millisecond
	// youngPeriod is the time between comparisons, and between tries to find a node that answers, until the node is grownAge old. Until
	// then few others may know it, and it may know few of them.
	youngPeriod = 500 * time.Millisecond
	grownAge    = 10 * time.Second
	// stallCheckPeriod is how often a node notes that it runs, and stallThreshold how long it must not have run to have missed messages.
	stallCheckPeriod = 100 * time.Millisecond
	stallThreshold   = 250 * time.Millisecond
	// maxStallWait is how long requests wait for what a node that was stalled has missed, and stallPoll how often they look.
	maxStallWait = 100 * time.Millisecond
	stallPoll    = 5 * time.Millisecond
	// maxPushes is the number of batches of changes that are sent at the same time. Further changes wait and share a batch.
	maxPushes = 4
)

// ShareRequest tells another node of changes, or asks for what it knows. It is sent with gob, so its fields keep their names.
type ShareRequest struct {
	From    string // process that sends it, for the log
	Entries []Entry
	Claims  []Claim
	// Subscriber is the sender if it wants to hear of changes and of what it does not know; empty: it only tells of changes.
	Subscriber budget.Holder
	// Digest is that of the subscriber's entries.
	Digest uint64
}

// ShareAnswer holds what the sender does not know yet: of the keys that it sent, or if it subscribes, of all.
type ShareAnswer struct {
	Entries []Entry
	// Digest is that of all entries of the node that answers; 0 if the sender does not subscribe.
	Digest uint64
}

// Peers sends messages to other nodes.
type Peers interface {
	ShareQuarantine(ctx context.Context, holder budget.Holder, request ShareRequest) (ShareAnswer, error)
}

// ReplicatorOptions configures a Replicator. Tracker, Self, Nodes, Peers and Logger are required.
type ReplicatorOptions struct {
	Tracker *Tracker
	Self    budget.Holder
	// Nodes returns the other nodes that this one knows.
	Nodes func() []budget.Holder
	Peers Peers
	// Location is where this node is; the zero value: there is one region.
	Location locality.Location
	// OnSent is called with the number of nodes that a batch of changes has reached, and that it has not; may be nil.
	OnSent func(reached, missed int)
	Logger log.Interface
}

// Replicator exchanges what trackers know between nodes. A change is sent to all nodes that this one knows, which pass it on to the
// nodes that have asked them: a node that has just started, or that few others know, hears of changes through those.
type Replicator struct {
	options ReplicatorOptions

	mutex       sync.Mutex
	subscribers map[budget.Holder]time.Time // until when they are told of changes
	waiting     *batch                      // changes that no push has taken yet; nil: none
	sending     []*batch
	otherRegion otherRegions
}

// batch is a set of changes that are sent together.
type batch struct {
	changes
	sent chan struct{} // closed once each node has confirmed them or did not answer
}

// NewReplicator returns a replicator of a tracker's changes. Run starts the comparisons with other nodes.
func NewReplicator(options ReplicatorOptions) *Replicator {
	if options.OnSent == nil {
		options.OnSent = func(int, int) {}
	}
	r := &Replicator{options: options, subscribers: map[budget.Holder]time.Time{}}
	options.Tracker.onChange, options.Tracker.flush = r.publish, r.flush
	options.Tracker.loading.Store(true)
	return r
}

// Run compares this node's entries with other nodes' until ctx ends.
func (r *Replicator) Run(ctx context.Context) {
	r.start(ctx)
	r.options.Tracker.loading.Store(false)
	go r.detectStalls(ctx)
	begun, answered := time.Now(), true
	for timing.Sleep(ctx, syncPause(time.Since(begun), answered)) == nil {
		answered = r.sync(ctx)
		r.syncOtherRegion(ctx)
	}
}

// syncPause returns the pause before the next comparison of a node of the given age.
func syncPause(age time.Duration, answered bool) time.Duration {
	if age < grownAge || !answered {
		return youngPeriod/2 + rand.N(youngPeriod)
	}
	return syncPeriod/2 + rand.N(syncPeriod)
}

// detectStalls compares entries with another node at once when this process did not run for a while. Until then, AwaitCurrent waits.
func (r *Replicator) detectStalls(ctx context.Context) {
	r.options.Tracker.noteRunning()
	for timing.Sleep(ctx, stallCheckPeriod) == nil {
		if r.options.Tracker.stalled() {
			r.sync(ctx)
		}
		r.options.Tracker.noteRunning()
	}
	r.options.Tracker.lastRun.Store(0)
}

// start learns what other nodes know.
func (r *Replicator) start(ctx context.Context) {
	begun := time.Now()
	for !r.sync(ctx) {
		if time.Since(begun) >= startTimeout || timing.Sleep(ctx, startRetry) != nil {
			r.options.Logger.Info("no other node told which work is quarantined; serving without")
			return
		}
	}
}

// sync exchanges entries with one other node, and reports whether it answered.
func (r *Replicator) sync(ctx context.Context) bool {
	partner, ok := r.partner()
	if !ok {
		return false
	}
	return r.compare(ctx, partner)
}

// compare exchanges entries with a node, and reports whether it answered.
func (r *Replicator) compare(ctx context.Context, partner budget.Holder) bool {
	request := ShareRequest{Subscriber: r.options.Self, Digest: r.options.Tracker.digest()}
	answer, err := r.share(ctx, partner, request)
	if err != nil {
		return false
	}
	r.learn(partner.Process, answer.Entries)
	if r.options.Tracker.digest() != answer.Digest { // the other node lacks some
		_, err = r.share(ctx, partner, ShareRequest{Entries: r.options.Tracker.Entries()})
	}
	return err == nil
}

// partner returns the node of this region to compare with, mostly one of this node's zone. If the region has no other node, it is
// one of another region.
func (r *Replicator) partner() (budget.Holder, bool) {
	nodes := locality.PreferOwnRegion(r.options.Location, r.otherNodes(), zoneOf)
	if near := slices.DeleteFunc(slices.Clone(nodes), r.isFar); len(near) > 0 && rand.IntN(syncFarOneIn) > 0 {
		nodes = near
	}
	return anyOf(nodes)
}

// anyOf returns a random one of the nodes.
func anyOf(nodes []budget.Holder) (budget.Holder, bool) {
	if len(nodes) == 0 {
		return budget.Holder{}, false
	}
	return nodes[rand.IntN(len(nodes))], true
}

func zoneOf(node budget.Holder) string { return locality.ZoneOf(node.Process) }

// otherNodes returns the nodes that this one knows, without earlier processes at its own address.
func (r *Replicator) otherNodes() []budget.Holder {
	return slices.DeleteFunc(r.options.Nodes(), func(node budget.Holder) bool { return node.Address == r.options.Self.Address })
}

func (r *Replicator) isFar(node budget.Holder) bool {
	return zoneOf(node) != zoneOf(r.options.Self)
}

// publish sends changes of this node to others, in the background.
func (r *Replicator) publish(changed changes) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.waiting == nil {
		r.waiting = &batch{sent: make(chan struct{})}
	}
	r.waiting.Entries = append(r.waiting.Entries, changed.Entries...)
	r.waiting.Claims = append(r.waiting.Claims, changed.Claims...)
	if len(r.sending) < maxPushes {
		r.sending = append(r.sending, r.waiting)
		go r.pushAll(r.waiting)
		r.waiting = nil
	}
}

// pushAll sends a batch, and then those that have waited for it.
func (r *Replicator) pushAll(next *batch) {
	for next != nil {
		r.push(next.changes, append(r.otherNodes(), r.currentSubscribers()...))
		close(next.sent)
		next = r.replaceSent(next)
	}
}

// replaceSent removes a batch that was sent, and returns the one to send in its place; nil: none waits.
func (r *Replicator) replaceSent(done *batch) *batch {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sending = slices.DeleteFunc(r.sending, func(other *batch) bool { return other == done })
	next := r.waiting
	r.waiting = nil
	if next != nil {
		r.sending = append(r.sending, next)
	}
	return next
}

// flush waits until the changes published so far have been sent, or ctx ends.
func (r *Replicator) flush(ctx context.Context) {
	r.mutex.Lock()
	open := slices.Clone(r.sending)
	if r.waiting != nil {
		open = append(open, r.waiting)
	}
	r.mutex.Unlock()
	for _, one := range open {
		select {
		case <-one.sent:
		case <-ctx.Done():
			return
		}
	}
}

// push sends changes to nodes, and waits until each has answered or its timeout has passed.
func (r *Replicator) push(changed changes, nodes []budget.Holder) {
	var reached, missed atomic.Int64
	var group sync.WaitGroup
	sentTo := map[string]bool{} // by address: an earlier process of a node may still be listed
	for _, node := range nodes {
		if sentTo[node.Address] {
			continue
		}
		sentTo[node.Address] = true
		group.Go(func() {
			answer, err := r.share(context.Background(), node, ShareRequest{Entries: changed.Entries, Claims: changed.Claims})
			if err != nil {
				missed.Add(1)
				r.recordMissed(node)
				return
			}
			reached.Add(1)
			r.learn(node.Process, answer.Entries)
		})
	}
	group.Wait()
	r.options.OnSent(int(reached.Load()), int(missed.Load()))
}

// share sends a request to a node.
func (r *Replicator) share(ctx context.Context, node budget.Holder, request ShareRequest) (ShareAnswer, error) {
	request.From = r.options.Self.Process
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	return r.options.Peers.ShareQuarantine(ctx, node, request)
}

// learn takes over what another node knows, and logs how much work is quarantined because of it.
func (r *Replicator) learn(from string, entries []Entry) (news []Entry) {
	news = r.options.Tracker.Merge(entries)
	quarantined := slices.DeleteFunc(slices.Clone(news), func(entry Entry) bool { return entry.State.Ends < MaxEnds })
	if len(quarantined) > 0 {
		r.options.Logger.WithField("from", from).WithField("keys", len(quarantined)).WithField("key", quarantined[0].Key.String()).
			Warn("another node told that work is quarantined; it is refused here, too")
	}
	return news
}

// Handle answers the message of another node, and passes its news on to the nodes that have asked this one.
func (r *Replicator) Handle(request ShareRequest) ShareAnswer {
	news := changes{Entries: r.learn(request.From, request.Entries)}
	for _, claim := range request.Claims {
		if r.options.Tracker.claims.apply(claim, time.Now()) {
			news.Claims = append(news.Claims, claim)
		}
	}
	if subscribers := r.currentSubscribers(); !news.empty() && len(subscribers) > 0 {
		go r.push(news, subscribers)
	}
	if request.Subscriber == (budget.Holder{}) {
		return ShareAnswer{Entries: r.options.Tracker.newerThan(request.Entries)}
	}
	r.subscribe(request.Subscriber)
	digest := r.options.Tracker.digest()
	if request.Digest == digest {
		return ShareAnswer{Digest: digest}
	}
	return ShareAnswer{Entries: r.options.Tracker.Entries(), Digest: digest}
}

func (r *Replicator) subscribe(node budget.Holder) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.subscribers[node] = time.Now().Add(subscriptionPeriods * syncPeriod)
}

// currentSubscribers returns the nodes that have asked this one lately.
func (r *Replicator) currentSubscribers() (nodes []budget.Holder) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for node, until := range r.subscribers {
		if now.After(until) {
			delete(r.subscribers, node)
			continue
		}
		nodes = append(nodes, node)
	}
	return nodes
}
