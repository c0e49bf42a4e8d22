package shard

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Peer methods of the recovery of a group that has lost its majority.
const (
	methodSurvey  = "shard.survey"
	methodSalvage = "shard.salvage"
)

// surveyTimeout limits the asking of one node.
const surveyTimeout = 2 * time.Second

type surveyRequest struct{ Shards []id.Shard }

// holding is what one node holds of one group.
type holding struct {
	Shard              id.Shard
	Epoch              uint64
	Last               uint64
	LastPosition       Position
	Configuration      Configuration
	ConfigurationIndex uint64
	Led                bool // the replica knows a living leader
}

// departedSeat says that the process had a seat and has given it up.
type departedSeat struct {
	Shard id.Shard
	Epoch uint64
}

type surveyAnswer struct {
	Replica  ReplicaID
	Holdings []holding
	Departed []departedSeat
}

// holds reports whether the process holds a replica of an epoch.
func (a surveyAnswer) holds(shard id.Shard, epoch uint64) bool {
	return slices.ContainsFunc(a.Holdings, func(held holding) bool { return held.Shard == shard && held.Epoch == epoch })
}

// serveSurvey tells what this node holds.
func (h *Host) serveSurvey(_ context.Context, request surveyRequest) (surveyAnswer, error) {
	answer := surveyAnswer{Replica: h.self}
	for _, shard := range request.Shards {
		h.mutex.RLock()
		if left, ok := h.departed[shard]; ok {
			answer.Departed = append(answer.Departed, departedSeat{shard, left.epoch})
		}
		h.mutex.RUnlock()
		if g := h.group(shard); g != nil {
			answer.Holdings = append(answer.Holdings, g.holding())
		}
	}
	return answer, nil
}

func (g *group) holding() holding {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	last, position := g.replica.Last()
	configuration, index := g.replica.Configuration()
	led := !g.closed && g.sealed == 0 && g.replica.Leader() != ReplicaID{}
	return holding{g.shard, g.epoch, last, position, configuration, index, led}
}

// salvageRequest seals a replica for the epoch that will replace its group and
// asks for its state.
type salvageRequest struct {
	Shard id.Shard
	Epoch uint64 // the new one
}

// salvageChunk is one piece of a sealed replica: the snapshot's, then the
// entries after it.
type salvageChunk struct {
	Snapshot snapshotChunk
	Entries  []Entry
}

// serveSalvage seals a replica, which then takes no further part in its epoch,
// and sends all it holds.
func (h *Host) serveSalvage(_ context.Context, request salvageRequest, send func(salvageChunk) error) error {
	g := h.group(request.Shard)
	if g == nil || g.epoch >= request.Epoch {
		return fault.New(fault.NotFound, "this node holds no replica of that epoch", "look again")
	}
	meta, data, entries, err := g.salvage(request.Epoch)
	if err != nil {
		return err
	}
	if err := sendChunks(meta, data, func(chunk snapshotChunk) error { return send(salvageChunk{Snapshot: chunk}) }); err != nil {
		return err
	}
	return sendEntries(entries, func(part []Entry) error { return send(salvageChunk{Entries: part}) })
}

// sendEntries sends entries in parts of limited size.
func sendEntries(entries []Entry, send func([]Entry) error) error {
	for len(entries) > 0 {
		count, bytes := 0, 0
		for count < len(entries) && bytes < chunkBytes {
			bytes += entries[count].size()
			count++
		}
		if err := send(entries[:count]); err != nil {
			return err
		}
		entries = entries[count:]
	}
	return nil
}

func (g *group) salvage(epoch uint64) (SnapshotMeta, []byte, []Entry, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return SnapshotMeta{}, nil, nil, g.host.notLeader(g.shard)
	}
	g.sealed = max(g.sealed, epoch)
	g.announce()
	g.failWaiters()
	data, err := g.machine.Snapshot()
	meta := g.replica.Meta()
	entries, _ := g.replica.Tail(meta.Index)
	return meta, data, entries, err
}

// remains is the state of a group as one source has it.
type remains struct {
	meta    SnapshotMeta
	data    []byte
	entries []Entry
}

func (r remains) last() (Position, uint64) {
	if len(r.entries) == 0 {
		return r.meta.Position, r.meta.Index
	}
	return r.entries[len(r.entries)-1].Position, r.meta.Index + uint64(len(r.entries))
}

// better reports whether r's log beats other's: the highest last position
// first, then the longest.
func (r remains) better(other remains) bool {
	position, index := r.last()
	otherPosition, otherIndex := other.last()
	if order := position.Compare(otherPosition); order != 0 {
		return order > 0
	}
	return index > otherIndex
}

// machine restores the state, with all entries applied.
func (r remains) machine(empty Machine) (Machine, SnapshotMeta, error) {
	if r.data != nil {
		if err := empty.Restore(r.data); err != nil {
			return nil, SnapshotMeta{}, eris.Wrap(err, "restore a group's state")
		}
	}
	for i, entry := range r.entries {
		if entry.Kind == EntryCommand {
			empty.Apply(r.meta.Index+1+uint64(i), entry.Data)
		}
	}
	position, index := r.last()
	return empty, SnapshotMeta{Index: index, Position: position}, nil
}

// recoverAll looks into shards that have been without a leader for long, and
// founds those anew whose majority is lost for good.
func (h *Host) recoverAll(ctx context.Context, shards []id.Shard, rows map[id.Shard]outside.Row) {
	shards = slices.DeleteFunc(slices.Clone(shards), func(shard id.Shard) bool { return rows[shard].Version == 0 })
	if len(shards) == 0 {
		return
	}
	found, err := h.survey(ctx, shards)
	if err != nil {
		h.options.Log.WithError(err).Warn("lost groups not looked into")
		return
	}
	for _, shard := range shards {
		row, err := decodeRow(rows[shard])
		if err != nil {
			continue
		}
		h.abandon(shard, row, found)
		if loss := found.assess(shard, row, h.self, false); loss.lost && h.recovers(shard, loss) {
			if err := h.refound(ctx, shard, rows[shard].Version, row, loss, found); err != nil {
				h.options.Log.WithError(err).WithField("shard", shard).Warn("group not recovered yet")
			}
		}
	}
}

// Recover founds a group anew although not all missing members are known to be
// gone. An operator may ask for it; what only the missing members hold is lost.
func (h *Host) Recover(ctx context.Context, shard id.Shard) error {
	h.founding.Lock()
	defer h.founding.Unlock()
	rows, err := h.readRows(ctx)
	if err != nil {
		return err
	}
	row, err := decodeRow(rows[shard])
	if err != nil {
		return err
	}
	found, err := h.survey(ctx, []id.Shard{shard})
	if err != nil {
		return err
	}
	loss := found.assess(shard, row, h.self, true)
	if !loss.lost {
		return fault.Newf(fault.Conflict, "wait for its leader", "shard %d has a majority or a leader", shard)
	}
	return h.refound(ctx, shard, rows[shard].Version, row, loss, found)
}

// abandon drops a replica that its group goes on without: under a newer epoch,
// or after its seat was taken away without its hearing of it.
func (h *Host) abandon(shard id.Shard, row groupRow, found survey) {
	g := h.group(shard)
	if g == nil {
		return
	}
	for _, answer := range found.answers {
		for _, held := range answer.Holdings {
			if held.Shard != shard || !held.Led || held.Epoch < row.Epoch {
				continue
			}
			seat, ok := held.Configuration.Seat(h.self)
			if held.Epoch > g.epoch || (held.Epoch == g.epoch && held.ConfigurationIndex > g.joined && (!ok || seat.Joined != g.joined)) {
				h.drop(g)
				return
			}
		}
	}
}

// recovers reports whether this node is the one to found a lost group anew: one
// that has tried before, the best-ranked holder, or the best-ranked node when
// nobody holds it. The table lets only one of them win.
func (h *Host) recovers(shard id.Shard, l loss) bool {
	if h.pending(shard) != "" {
		return true
	}
	for _, m := range rankedMembers(shard, h.view()) {
		if len(l.holders) == 0 || slices.Contains(l.holders, m.Node) {
			return m.Node == h.self.Node
		}
	}
	return false
}

// refound takes the next epoch in the table and starts the group from the best
// state that the object store and the surviving replicas have.
func (h *Host) refound(ctx context.Context, shard id.Shard, version uint64, row groupRow, l loss, found survey) error {
	best, err := h.load(ctx, shard)
	if err != nil {
		return eris.Wrap(err, "read the stored state")
	}
	epoch := row.Epoch + 1
	for _, node := range l.holders {
		salvaged, err := h.fetchRemains(ctx, found.addresses[node], salvageRequest{shard, epoch})
		if err != nil {
			return eris.Wrapf(err, "salvage from node %s", node)
		}
		if salvaged.better(best) {
			best = salvaged
		}
	}
	machine, meta, err := best.machine(h.options.NewMachine(shard))
	if err != nil {
		return err
	}
	next := groupRow{Epoch: epoch, Index: meta.Index, Members: []ReplicaID{h.self}}
	written, err := h.writeRow(ctx, shard, version, next, h.begin(shard))
	if err != nil {
		return err
	}
	if present, err := decodeRow(written); err != nil || present.Epoch != epoch {
		return fault.New(fault.Conflict, "the group's row has moved on", "look again")
	}
	h.metrics.recovered.Inc()
	h.found(shard, epoch, meta, machine, written.Version)
	return nil
}

func (h *Host) fetchRemains(ctx context.Context, address peer.Address, request salvageRequest) (remains, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	var fetched remains
	err := peer.InvokeStream(ctx, h.options.Transport, address, methodSalvage, request, func(chunk salvageChunk) error {
		if chunk.Snapshot.Meta != nil {
			fetched.meta = *chunk.Snapshot.Meta
		}
		fetched.data = append(fetched.data, chunk.Snapshot.Data...)
		fetched.entries = append(fetched.entries, chunk.Entries...)
		return nil
	})
	return fetched, err
}
