package shard

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

const (
	// rowPrefix starts the keys of all rows of groups.
	rowPrefix = "shard/"
	// tableTimeout limits one request to the table.
	tableTimeout = 2 * time.Second
	// parallelCreations limits the creations under way at once.
	parallelCreations = 8
	// rowsPerPass limits the rows written behind in one pass.
	rowsPerPass = 32
)

// groupRow is the table's record of one group. Members lag behind the group's
// own log; Epoch never does.
type groupRow struct {
	Epoch   uint64      `json:"epoch"`
	Index   uint64      `json:"index"` // of the configuration written
	Members []ReplicaID `json:"members"`
}

// rowState is what a leader knows of its group's row.
type rowState struct {
	known   bool
	version uint64
	index   uint64
}

func rowKey(shard id.Shard) string { return fmt.Sprintf("%s%05d", rowPrefix, shard) }

func decodeRow(row outside.Row) (groupRow, error) {
	var decoded groupRow
	if row.Version == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return decoded, eris.Wrapf(err, "decode table row %s", row.Key)
	}
	return decoded, nil
}

// ensure creates the groups that this node is the first choice for, and looks
// into groups that have been without a leader for long.
func (h *Host) ensure(ctx context.Context) {
	view := h.view()
	if view == nil || h.handing.Load() {
		return
	}
	h.pullRoutes(ctx, view)
	h.founding.Lock()
	defer h.founding.Unlock()
	suspects := h.suspects(view, time.Now())
	if !h.look.due(len(suspects.unrouted)+len(suspects.silent) > 0, time.Now(), h.options.ElectionTimeout) {
		return
	}
	rows, err := h.readRows(ctx)
	if err != nil {
		h.options.Log.WithError(err).Warn("shard table unavailable")
		return
	}
	h.createAll(ctx, suspects.unrouted, rows)
	h.recoverAll(ctx, suspects.silent, rows)
}

// maxLookFactor bounds the pause between looks, in election time-outs.
const maxLookFactor = 10

// lookBackoff spaces out the looks at the table and at all nodes, which cost
// most when a large part of the cluster is cut off.
type lookBackoff struct {
	next time.Time
	wait time.Duration
}

// due reports whether a look is needed and due. Pauses grow until none is needed.
func (b *lookBackoff) due(needed bool, now time.Time, first time.Duration) bool {
	if !needed {
		*b = lookBackoff{}
		return false
	}
	if now.Before(b.next) {
		return false
	}
	b.wait = min(max(first, 2*b.wait), maxLookFactor*first)
	b.next = now.Add(b.wait/2 + rand.N(b.wait/2))
	return true
}

// suspects are the shards that need a look.
type suspects struct {
	unrouted []id.Shard // without any known leader: perhaps never created
	silent   []id.Shard // without a living leader for longer than RecoverAfter
}

func (h *Host) readRows(ctx context.Context) (map[id.Shard]outside.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	list, err := h.options.Table.List(ctx, rowPrefix)
	if err != nil {
		return nil, err
	}
	rows := map[id.Shard]outside.Row{}
	for _, row := range list {
		var shard uint32
		if _, err := fmt.Sscanf(row.Key, rowPrefix+"%05d", &shard); err == nil {
			rows[id.Shard(shard)] = row
		}
	}
	return rows, nil
}

// createAll creates the groups that have no row yet.
func (h *Host) createAll(ctx context.Context, shards []id.Shard, rows map[id.Shard]outside.Row) {
	creating, ctx := errgroup.WithContext(ctx)
	creating.SetLimit(parallelCreations)
	for _, shard := range shards {
		row, exists := rows[shard]
		if exists && row.Change != h.pending(shard) {
			h.settle(shard)
			continue
		}
		creating.Go(func() error {
			h.create(ctx, shard)
			return nil
		})
	}
	_ = creating.Wait()
}

// begin returns the change id under which this process founds a group. It stays
// the same until the outcome is settled.
func (h *Host) begin(shard id.Shard) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if _, ok := h.creations[shard]; !ok {
		h.creations[shard] = uuid.NewString()
	}
	return h.creations[shard]
}

// pending returns the change id of a founding whose outcome is not settled.
func (h *Host) pending(shard id.Shard) string {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.creations[shard]
}

// settle forgets a founding whose outcome is known.
func (h *Host) settle(shard id.Shard) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.creations, shard)
}

// create makes the row of a group with this replica as its only member; the
// other members are then added through the group's own log.
func (h *Host) create(ctx context.Context, shard id.Shard) {
	row := groupRow{Epoch: 1, Members: []ReplicaID{h.self}}
	written, err := h.writeRow(ctx, shard, 0, row, h.begin(shard))
	if err != nil {
		h.options.Log.WithError(err).WithField("shard", shard).Warn("group not created yet")
		return
	}
	if present, err := decodeRow(written); err != nil || present.Epoch != row.Epoch {
		return
	}
	h.found(shard, row.Epoch, SnapshotMeta{}, h.options.NewMachine(shard), written.Version)
}

// writeRow writes a group's row. An answer that is lost, or refused because an
// earlier try took effect, is settled by reading the row's change id.
func (h *Host) writeRow(ctx context.Context, shard id.Shard, version uint64, row groupRow, change string) (outside.Row, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return outside.Row{}, eris.Wrap(err, "encode group row")
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	written, err := h.options.Table.CompareAndSet(ctx, rowKey(shard), version, value, change)
	if err == nil {
		return written, nil
	}
	present, readErr := h.options.Table.Get(ctx, rowKey(shard))
	if readErr == nil && present.Change == change {
		return present, nil
	}
	return outside.Row{}, err
}

// found starts a group with this replica as its only member.
func (h *Host) found(shard id.Shard, epoch uint64, meta SnapshotMeta, machine Machine, version uint64) {
	seat := seatOf(h.options.Self)
	seat.Joined, seat.Voter = meta.Index, true
	meta.Configuration, meta.ConfigurationIndex = Configuration{Seats: []Seat{seat}}, meta.Index
	h.settle(shard)
	g := h.start(shard, epoch, meta.Index, meta, machine)
	if g == nil || g.epoch != epoch {
		return
	}
	g.mutex.Lock()
	g.growing = time.Now().Add(h.options.GrowthWait)
	g.row = rowState{known: true, version: version, index: meta.Index}
	g.mutex.Unlock()
	h.options.Log.WithField("shard", shard).WithField("epoch", epoch).WithField("index", meta.Index).Info("group founded")
	g.tick(time.Now())
}

// writeRows writes the members of led groups behind, as far as they changed.
func (h *Host) writeRows(ctx context.Context) {
	budget := rowsPerPass
	for _, g := range h.list() {
		row, state, dirty := g.dirtyRow()
		if !dirty {
			continue
		}
		if budget--; budget < 0 || h.writeBehind(ctx, g, row, state) != nil {
			return
		}
	}
}

// dirtyRow returns the row to be written, if the table's lags.
func (g *group) dirtyRow() (groupRow, rowState, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed || !g.leads {
		return groupRow{}, rowState{}, false
	}
	placed := g.replica.log.configurationAt(g.replica.Commit())
	if g.row.known && placed.index <= g.row.index {
		return groupRow{}, rowState{}, false
	}
	return groupRow{g.epoch, placed.index, placed.configuration.replicas()}, g.row, true
}

func (h *Host) writeBehind(ctx context.Context, g *group, row groupRow, state rowState) error {
	if !state.known {
		return h.refreshRow(ctx, g)
	}
	written, err := h.writeRow(ctx, g.shard, state.version, row, uuid.NewString())
	if fault.Is(err, fault.Conflict) {
		return h.refreshRow(ctx, g)
	}
	if err != nil {
		return err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.row = rowState{known: true, version: written.Version, index: row.Index}
	return nil
}

// refreshRow reads a group's row. A higher epoch there ends the group.
func (h *Host) refreshRow(ctx context.Context, g *group) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	present, err := h.options.Table.Get(ctx, rowKey(g.shard))
	if err != nil {
		return err
	}
	decoded, err := decodeRow(present)
	if err != nil {
		return err
	}
	if decoded.Epoch > g.epoch {
		h.options.Log.WithField("shard", g.shard).WithField("epoch", g.epoch).WithField("newer", decoded.Epoch).Warn("group fenced by a newer epoch")
		h.drop(g)
		return nil
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.row = rowState{known: true, version: present.Version, index: decoded.Index}
	return nil
}

// addressOf looks a replica up in the member view.
func (h *Host) addressOf(replica ReplicaID) peer.Address {
	view := h.view()
	if view == nil {
		return ""
	}
	m, _ := view.Lookup(replica.Node)
	return m.Address
}

// suspects finds the shards without a living leader that this node answers for:
// it holds a replica, ranks first, or has tried to found the group.
func (h *Host) suspects(view *member.View, now time.Time) suspects {
	var found suspects
	for number := range h.options.Shards {
		shard := id.Shard(number)
		if h.hasLeader(shard, view) {
			h.noteSpoken(shard)
			continue
		}
		g := h.group(shard)
		ranked := rankedMembers(shard, view)
		first := len(ranked) > 0 && ranked[0].Node == h.self.Node
		if g == nil && !first && h.pending(shard) == "" {
			continue
		}
		if _, routed := h.routes.get(shard); g == nil && !routed {
			found.unrouted = append(found.unrouted, shard)
		}
		if h.noteSilent(shard, now) >= h.options.RecoverAfter {
			found.silent = append(found.silent, shard)
		}
	}
	return found
}

// hasLeader reports whether a living leader of a shard is known.
func (h *Host) hasLeader(shard id.Shard, view *member.View) bool {
	if g := h.group(shard); g != nil {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		return !g.closed && g.sealed == 0 && g.replica.Leader() != ReplicaID{}
	}
	route, ok := h.routes.get(shard)
	if !ok {
		return false
	}
	m, ok := view.Lookup(route.Leader.Node)
	return ok && m.Incarnation == route.Leader.Incarnation
}

func (h *Host) noteSpoken(shard id.Shard) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.silent, shard)
}

// noteSilent returns for how long a shard has had no known leader.
func (h *Host) noteSilent(shard id.Shard, now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if _, ok := h.silent[shard]; !ok {
		h.silent[shard] = now
	}
	return now.Sub(h.silent[shard])
}
