package shard

import (
	"context"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// methodBatch carries the messages of all groups between two nodes.
const methodBatch = "shard.batch"

const (
	// maxInFlight limits the batches on their way to one node.
	maxInFlight = 4
	// maxBatchMessages limits the messages of one batch.
	maxBatchMessages = 512
	// maxBatchBytes limits the entries of one batch.
	maxBatchBytes = 2 << 20
	// maxQueued limits the messages that wait for one node; more are dropped,
	// and the replicas send them again.
	maxQueued = 16 << 10
	// outboxIdle is how long an unused outbox is kept.
	outboxIdle = time.Minute
)

// batch is the one message that nodes exchange for their groups.
type batch struct {
	From     ReplicaID
	Address  peer.Address // of From
	To       ReplicaID
	Messages []Message // without From and To
	Beat     *beat
}

// batchAnswer carries what the receiver's replicas answer at once.
type batchAnswer struct {
	Messages []Message
	Beat     beatAnswer
}

// outboxes holds the messages to be sent, by receiver.
type outboxes struct {
	host  *Host
	mutex sync.Mutex
	boxes map[ReplicaID]*outbox
}

func newOutboxes(h *Host) *outboxes {
	return &outboxes{host: h, boxes: map[ReplicaID]*outbox{}}
}

// outbox queues for one receiver and sends with few batches in flight, so that
// what comes up meanwhile rides together.
type outbox struct {
	host     *Host
	to       ReplicaID
	mutex    sync.Mutex
	address  peer.Address
	queue    []Message
	beat     *pendingBeat
	inFlight int
	used     time.Time
}

// pendingBeat is a beat to be sent and what to do with its answer.
type pendingBeat struct {
	beat     *beat
	answered func(beatAnswer)
}

func (o *outboxes) get(to ReplicaID, address peer.Address) *outbox {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	box, ok := o.boxes[to]
	if !ok {
		if address == "" {
			address = o.host.addressOf(to)
		}
		box = &outbox{host: o.host, to: to, address: address}
		o.boxes[to] = box
	}
	box.used = time.Now()
	return box
}

// addressOf returns the address that a node was last heard or reached at.
func (o *outboxes) addressOf(replica ReplicaID) peer.Address { return o.get(replica, "").address }

func (o *outboxes) post(m Message, address peer.Address) {
	box := o.get(m.To, address)
	m.From, m.To = ReplicaID{}, ReplicaID{}
	box.mutex.Lock()
	defer box.mutex.Unlock()
	if len(box.queue) < maxQueued {
		box.queue = append(box.queue, m)
	}
	box.wake()
}

func (o *outboxes) postBeat(to ReplicaID, address peer.Address, pending *pendingBeat) {
	box := o.get(to, address)
	box.mutex.Lock()
	defer box.mutex.Unlock()
	box.beat = pending
	box.wake()
}

// sweep forgets outboxes that are no longer used.
func (o *outboxes) sweep(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for to, box := range o.boxes {
		if now.Sub(box.used) > outboxIdle {
			delete(o.boxes, to)
		}
	}
}

// wake starts another sender if one may run. The caller holds the mutex.
func (b *outbox) wake() {
	if b.inFlight < maxInFlight && b.host.running.Err() == nil {
		b.inFlight++
		go b.run()
	}
}

// run sends batches until nothing is left.
func (b *outbox) run() {
	for {
		request, pending, ok := b.next()
		if !ok {
			return
		}
		b.send(request, pending)
	}
}

// next takes a batch off the queue, or ends the sender.
func (b *outbox) next() (batch, *pendingBeat, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if (len(b.queue) == 0 && b.beat == nil) || b.host.running.Err() != nil {
		b.inFlight--
		return batch{}, nil, false
	}
	count := fitting(b.queue)
	request := batch{From: b.host.self, Address: b.host.options.Self.Address, To: b.to, Messages: b.queue[:count:count]}
	b.queue = b.queue[count:]
	pending := b.beat
	b.beat = nil
	if pending != nil {
		request.Beat = pending.beat
	}
	return request, pending, true
}

// fitting counts the messages that fit into one batch.
func fitting(queue []Message) int {
	bytes := 0
	for i, m := range queue {
		for _, entry := range m.Entries {
			bytes += entry.size()
		}
		if i > 0 && (i >= maxBatchMessages || bytes > maxBatchBytes) {
			return i
		}
	}
	return len(queue)
}

func (b *outbox) send(request batch, pending *pendingBeat) {
	ctx, cancel := context.WithTimeout(b.host.running, b.host.options.ElectionTimeout)
	defer cancel()
	b.host.metrics.batches.Inc()
	if len(request.Messages) == 0 && request.Beat.Items == nil {
		b.sendBeat(ctx, pending)
		return
	}
	answer, err := peer.Invoke[batchAnswer](ctx, b.host.options.Transport, b.address, methodBatch, request)
	if err != nil {
		b.host.metrics.failures.Inc()
		return
	}
	for _, m := range answer.Messages {
		m.From, m.To = b.to, b.host.self
		b.host.deliver(m, b.address, nil)
	}
	if pending != nil {
		pending.answered(answer.Beat)
	}
}

// sendBeat sends a beat that rides alone; its message is much smaller.
func (b *outbox) sendBeat(ctx context.Context, pending *pendingBeat) {
	request := beatRequest{From: b.host.self, To: b.to.Incarnation, Digest: pending.beat.Digest, Count: pending.beat.Count}
	answer, err := peer.Invoke[beatMatch](ctx, b.host.options.Transport, b.address, methodBeat, request)
	if err != nil {
		b.host.metrics.failures.Inc()
		return
	}
	pending.answered(beatAnswer{Matched: answer.Matched})
}

// serveBatch takes a batch in and answers with what the replicas say at once.
func (h *Host) serveBatch(_ context.Context, request batch) (batchAnswer, error) {
	if request.To != h.self || h.running.Err() != nil {
		return batchAnswer{}, notHeldHere()
	}
	back := &reply{to: request.From}
	for _, m := range request.Messages {
		m.From, m.To = request.From, h.self
		h.deliver(m, request.Address, back)
	}
	var answer batchAnswer
	if request.Beat != nil {
		answer.Beat = h.takeBeat(request, back)
	}
	for i := range back.messages {
		back.messages[i].From, back.messages[i].To = ReplicaID{}, ReplicaID{}
	}
	answer.Messages = back.messages
	return answer, nil
}

// deliver gives a message to its group, which a leader's message may found.
func (h *Host) deliver(m Message, sender peer.Address, back *reply) {
	if uint32(m.Shard) >= h.options.Shards {
		return
	}
	h.outboxes.get(m.From, sender)
	g := h.group(m.Shard)
	founding := m.Kind == MessageAppend || m.Kind == MessageOffer
	if founding && (g == nil || g.epoch < m.Position.Epoch || (g.epoch == m.Position.Epoch && g.joined < m.Joined)) {
		g = h.start(m.Shard, m.Position.Epoch, m.Joined, SnapshotMeta{}, h.options.NewMachine(m.Shard))
	}
	if g == nil {
		return
	}
	g.step(m, back)
}
