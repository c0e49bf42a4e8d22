package directory

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"iter"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// Table is the name of the store table that holds the slots.
const Table = "slots"

// slotsPart is the part of the table that holds all slots, a few KB. It is the same as that of the
// operator's rows, so that one call can check both.
const slotsPart = ""

const (
	// startJitter is the window over which nodes that start together begin to claim slots.
	startJitter = time.Second
	// claimInterval plus minRefreshInterval is the mean interval between a node's claims while slots
	// are vacant. It lets the other nodes claim their share.
	claimInterval = 100 * time.Millisecond
	// pollInterval is the mean interval between reads of the slots without any sign of change. An
	// owner that lost a slot may take as long to notice.
	pollInterval = 20 * time.Second
	// retryDelay is the mean delay after a failed read. A stale view only costs hints, so the
	// delay is long enough to spare a store in trouble.
	retryDelay = 2 * time.Second
	// minRefreshInterval is the minimum interval between reads of the slots.
	minRefreshInterval = 200 * time.Millisecond
	// vacantRefreshInterval is the minimum age of the view at which a request for the owner of a
	// vacant slot refreshes it. A slot stays vacant for long only while its region has no nodes.
	vacantRefreshInterval = time.Second
	// ownerRetryDelay is how long an owner that did not answer is skipped.
	ownerRetryDelay = 500 * time.Millisecond
	// takeoverDelay is how long an owner must have been unresponsive before its slot is taken
	// over, and takeoverMinFailures the minimum number of unanswered requests.
	takeoverDelay       = 3 * time.Second
	takeoverMinFailures = 2
	// probeTimeout is the timeout of the last probe before a takeover. It is long, so that slow nodes
	// keep their slots: waiting for a probe costs less than a takeover, after which no permits
	// are issued for the slot for leaseDuration.
	probeTimeout = time.Second
	// connectedWindow is how recently some owner must have answered before this node takes over an
	// unresponsive owner's slot. A node without any answers may itself be partitioned.
	connectedWindow = 2 * time.Second
	// maxSlotsPerCommit limits the slots written in one commit. The store accepts 100 entries per
	// commit, and each slot needs two, its row and its condition.
	maxSlotsPerCommit = 50
	// callTimeout is the timeout of one call to the store.
	callTimeout = time.Second
)

// suspicion tracks the unanswered requests to a slot's owner.
type suspicion struct {
	process     string
	since       time.Time
	lastFailure time.Time
	failures    int
}

// confirmed reports whether the owner counts as failed.
func (s suspicion) confirmed(now time.Time) bool {
	return s.failures >= takeoverMinFailures && now.Sub(s.since) >= takeoverDelay
}

// RecordNoAnswer records that the process asked did not answer as the owner of a slot.
func (d *Directory) RecordNoAnswer(slot int, asked budget.Holder) {
	d.mutex.Lock()
	now := time.Now()
	known := d.suspicions[slot]
	if known.process != asked.Process {
		known = suspicion{process: asked.Process, since: now}
	}
	known.failures++
	known.lastFailure = now
	d.suspicions[slot] = known
	d.mutex.Unlock()
	d.RequestRefresh()
}

// RequestRefresh requests an early refresh of the slots, after a sign that this node's view is stale.
func (d *Directory) RequestRefresh() {
	select {
	case d.refreshNow <- struct{}{}:
	default:
	}
}

// RecordAnswer records that the owner of a slot has answered.
func (d *Directory) RecordAnswer(slot int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lastAnswer = time.Now()
	delete(d.suspicions, slot)
}

// Run keeps the view of the slots up to date and claims slots without a live owner, until ctx is
// done.
func (d *Directory) Run(ctx context.Context) {
	if d.refresh(ctx) == nil {
		d.reclaim(ctx)
	}
	if timing.Sleep(ctx, rand.N(startJitter)) != nil {
		return
	}
	for ctx.Err() == nil {
		if err := d.refresh(ctx); err != nil {
			d.options.Logger.WithError(err).WithField("revision", uint64(d.newestRevision())).Warn("failed to read the directory slots; will retry")
			_ = timing.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
			continue
		}
		d.probeOtherRegion(ctx)
		d.clearEarlierOwners(ctx)
		pause := pollInterval
		if d.claimOne(ctx) {
			pause = claimInterval
		}
		if timing.Sleep(ctx, minRefreshInterval) != nil {
			return
		}
		timer := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-ctx.Done():
		case <-d.refreshNow:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// refresh applies the changes in the store since the last read.
func (d *Directory) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := time.Now()
	d.mutex.Lock()
	loaded, revision := d.loaded, d.revision
	d.mutex.Unlock()
	if !loaded {
		return d.readAll(ctx)
	}
	page, err := d.options.Store.Watch(ctx, Table, revision, 0)
	if errors.Is(err, store.ErrHistoryCompacted) {
		return d.readAll(ctx)
	}
	if err != nil {
		return err
	}
	d.applyPage(page)
	d.recordRead(begun)
	return nil
}

// recordRead records a successful read that began at time begun.
func (d *Directory) recordRead(begun time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lastRead = begun
}

func (d *Directory) readAll(ctx context.Context) error {
	begun := time.Now()
	page, err := d.options.Store.Range(ctx, Table, slotsPart, "", "", 0)
	if err != nil {
		return err
	}
	d.applyPage(page)
	d.recordRead(begun)
	d.mutex.Lock()
	d.loaded = true
	d.mutex.Unlock()
	return nil
}

// newestRevision returns the newest version applied.
func (d *Directory) newestRevision() store.Version {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.revision
}

// applyPage applies the rows of a page that are newer than the known ones.
func (d *Directory) applyPage(page store.Page) {
	for _, stored := range page.Rows {
		d.applyRow(stored)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.revision = max(d.revision, page.Version)
}

func (d *Directory) applyRow(stored store.Row) {
	slot, err := strconv.Atoi(stored.Name)
	if err != nil || slot < 0 || slot >= len(d.owners) {
		return // written by a version with more slots
	}
	var decoded row
	if !stored.Gone && stored.Version != 0 {
		if err := gob.NewDecoder(bytes.NewReader(stored.Value)).Decode(&decoded); err != nil {
			decoded = row{} // parts of it may have been decoded
			d.options.Logger.WithError(err).WithField("slot", slot).Error("cannot decode the directory slot, treating it as vacant; run the same version on all nodes")
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	before := d.owners[slot]
	if stored.Version < before.revision {
		return
	}
	d.owners[slot] = decoded.owner(stored.Version)
	d.updateOwnership(slot, before)
	if before.Process == d.options.Self.Process && decoded.Process != before.Process {
		d.options.Logger.WithField("slot", slot).WithField("owner", decoded.Process).WithField("revision", uint64(stored.Version)).Info("lost the directory slot")
	}
}

// claimOne claims one random claimable slot. It reports whether there may be more.
func (d *Directory) claimOne(ctx context.Context) bool {
	claimable := d.claimable()
	if len(claimable) == 0 {
		return false
	}
	slot := claimable[rand.IntN(len(claimable))]
	if d.ownerAlive(ctx, slot) {
		return true
	}
	if _, err := d.put(ctx, slot, d.successor(slot), "claimed the directory slot"); err != nil && ctx.Err() == nil {
		d.options.Logger.WithError(err).WithField("slot", slot).Warn("failed to claim the directory slot; will retry")
	}
	return true
}

// ownerAlive probes the owner of a slot and reports whether it confirmed its ownership. It also
// reports true if ctx ended first, so that the slot is not claimed. A vacant slot, or one of an
// earlier process at this address, is not probed and has no live owner.
func (d *Directory) ownerAlive(ctx context.Context, slot int) bool {
	d.mutex.Lock()
	known := d.owners[slot]
	d.mutex.Unlock()
	if known.Process == "" || known.Address == d.options.Self.Address {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := d.options.Peers.Locate(limited, known.Address, Request{Process: known.Process, Probe: true, Slot: slot})
	if err != nil || !answer.Owner {
		return ctx.Err() != nil
	}
	d.RecordAnswer(slot)
	return true
}

// successor returns the row with which this process claims a slot.
func (d *Directory) successor(slot int) row {
	next := d.vacancy(slot)
	next.Process, next.Address = d.options.Self.Process, d.options.Self.Address
	next.Unsettled = true
	return next
}

// vacancy returns the row of a vacant slot; it keeps the last owner's record of issued permits.
func (d *Directory) vacancy(slot int) row {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	before := d.owners[slot].priorPermits
	return row{Unsettled: before.All, Raised: before.FullLimitTenants}
}

// claimable returns the slots of this node's region that are vacant, were owned by an earlier
// process of this node, or whose owner counts as failed.
func (d *Directory) claimable() (claimable []int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	connected := now.Sub(d.lastAnswer) < connectedWindow
	for slot := range d.ownRegion() {
		known := d.owners[slot]
		ownerFailed := d.ownerFailed(slot, now)
		earlier := known.Address == d.options.Self.Address && known.Process != d.options.Self.Process
		if known.Process == "" || earlier || connected && ownerFailed {
			claimable = append(claimable, slot)
		}
	}
	return claimable
}

// ownerFailed reports whether the owner of a slot counts as failed. The caller must hold d.mutex.
func (d *Directory) ownerFailed(slot int, now time.Time) bool {
	suspected, ok := d.suspicions[slot]
	return ok && suspected.process == d.owners[slot].Process && suspected.confirmed(now)
}

// ownRegion yields the slots of this node's region, the only ones that it claims.
func (d *Directory) ownRegion() iter.Seq[int] {
	return func(yield func(int) bool) {
		for slot := d.region * slotsPerRegion; slot < (d.region+1)*slotsPerRegion && yield(slot); slot++ {
		}
	}
}

// probeOtherRegion probes the owner of a slot in another region if an owner in this region has failed
// and no owner has answered recently. It lets the last node of a region find out whether it is
// itself partitioned.
func (d *Directory) probeOtherRegion(ctx context.Context) {
	if slot, ok := d.otherRegionSlot(); ok {
		d.ownerAlive(ctx, slot)
	}
}

// otherRegionSlot returns a random slot of another region to probe, if a probe is needed.
func (d *Directory) otherRegionSlot() (slot int, needed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	if now.Sub(d.lastAnswer) < connectedWindow {
		return 0, false
	}
	for slot := range d.ownRegion() {
		needed = needed || d.ownerFailed(slot, now)
	}
	var others []int
	for slot, known := range d.owners {
		if slot/slotsPerRegion != d.region && known.Process != "" {
			others = append(others, slot)
		}
	}
	if !needed || len(others) == 0 {
		return 0, false
	}
	return others[rand.IntN(len(others))], true
}

// reclaim claims all slots that an earlier process at this address owned. That process has ended,
// so no probe is needed.
func (d *Directory) reclaim(ctx context.Context) {
	var changes []change
	for _, slot := range d.orphaned() {
		changes = append(changes, change{slot: slot, next: d.successor(slot)})
	}
	for some := range slices.Chunk(changes, maxSlotsPerCommit) {
		if _, err := d.putAll(ctx, some, "reclaimed the directory slot"); err != nil && ctx.Err() == nil {
			d.options.Logger.WithError(err).WithField("slots", len(some)).Warn("failed to reclaim directory slots; will claim them one by one")
		}
	}
}

// orphaned returns the slots that an earlier process at this address owned.
func (d *Directory) orphaned() (orphaned []int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for slot := range d.ownRegion() {
		known := d.owners[slot]
		if known.Address == d.options.Self.Address && known.Process != d.options.Self.Process {
			orphaned = append(orphaned, slot)
		}
	}
	return orphaned
}

// Leave ends all leases and marks the slots of this process as vacant in the store. It stops when
// ctx is done; slots that remain are taken over by other nodes.
func (d *Directory) Leave(ctx context.Context) {
	d.endLeases() // stop issuing permits even if the writes below fail
	var changes []change
	for slot := range len(d.owners) {
		if d.owns(slot) {
			changes = append(changes, change{slot: slot, next: d.vacancy(slot)})
		}
	}
	for some := range slices.Chunk(changes, maxSlotsPerCommit) {
		written, err := d.putAll(ctx, some, "released the directory slot")
		if err != nil || !written {
			d.options.Logger.WithField("error", err).WithField("slots", len(some)).Warn("failed to release directory slots; other nodes take them over once this process stops answering")
		}
	}
}
