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
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

// Table is the table's name for slots.
const Table = "slots"

// slotsPart is the part of the table in which all slots lie; they are a few KB. It is
// that of the operator's rows, so that one call asks about both.
const slotsPart = ""

const (
	// startSpread is over what time nodes that start together begin to claim slots.
	startSpread = time.Second
	// claimPause and refreshPause are the pause between two claims of a node while there are
	// vacant slots: others get their share of them meanwhile.
	claimPause = 100 * time.Millisecond
	// pollEvery is the mean time between two looks at the table while all is well. It
	// is how long an owner that lost a slot unnoticed may believe to have it.
	pollEvery = 20 * time.Second
	// retryPause is the mean pause after a look that failed: nothing but fewer hints comes
	// of an old view, and a table in trouble has better things to do.
	retryPause = 2 * time.Second
	// refreshPause is the least time between two looks.
	refreshPause = 200 * time.Millisecond
	// askAgainAfter is how long an owner that did not answer is not asked.
	askAgainAfter = 500 * time.Millisecond
	// confirmAfter is for how long an owner must have been silent before its slot is
	// taken over, and confirmAsked how often it must have been asked.
	confirmAfter = 3 * time.Second
	confirmAsked = 2
	// probeWait is how long it is asked once more, then. A slow node misses answers that come
	// within it, and others miss those of a slow owner; a slot that changes hands lends
	// nothing for longer than either costs.
	probeWait = time.Second
	// heardWithin is how lately some owner must have answered: a node that nobody
	// answers is itself cut off, and takes nothing over.
	heardWithin = 2 * time.Second
	// changedAtOnce is how many slots one call changes at most: the table takes 100 entries,
	// and each slot is two, its row and its condition.
	changedAtOnce = 50
	// callTimeout bounds one call to the table.
	callTimeout = time.Second
)

// suspicion is what is known of an owner that did not answer.
type suspicion struct {
	process string
	since   time.Time
	last    time.Time
	asked   int
}

// confirmed reports whether the owner has been silent for long enough.
func (s suspicion) confirmed(now time.Time) bool {
	return s.asked >= confirmAsked && now.Sub(s.since) >= confirmAfter
}

// Missed notes that a process did not answer as the owner of a slot.
func (d *Directory) Missed(slot int, asked budget.Holder) {
	d.mutex.Lock()
	now := time.Now()
	known := d.suspicions[slot]
	if known.process != asked.Process {
		known = suspicion{process: asked.Process, since: now}
	}
	known.asked++
	known.last = now
	d.suspicions[slot] = known
	d.mutex.Unlock()
	d.Doubt()
}

// Doubt notes that another process sees the slots otherwise: they are read again before long.
func (d *Directory) Doubt() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Heard notes that the owner of a slot has answered.
func (d *Directory) Heard(slot int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.heard = time.Now()
	delete(d.suspicions, slot)
}

// Run keeps the view of the slots up to date and claims those that nobody owns,
// until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	if d.refresh(ctx) == nil {
		d.reclaim(ctx)
	}
	if wait.For(ctx, rand.N(startSpread)) != nil {
		return
	}
	for ctx.Err() == nil {
		if err := d.refresh(ctx); err != nil {
			d.options.Logger.WithError(err).WithField("revision", uint64(d.known())).Warn("directory slots not read, trying again")
			_ = wait.For(ctx, retryPause/2+rand.N(retryPause))
			continue
		}
		d.askWitness(ctx)
		d.forgetEarlier(ctx)
		pause := pollEvery
		if d.claimOne(ctx) {
			pause = claimPause
		}
		if wait.For(ctx, refreshPause) != nil {
			return
		}
		timer := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-ctx.Done():
		case <-d.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// refresh takes over what has changed in the table.
func (d *Directory) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := time.Now()
	d.mutex.Lock()
	whole, revision := d.whole, d.revision
	d.mutex.Unlock()
	if !whole {
		return d.readWhole(ctx)
	}
	page, err := d.options.Store.Watch(ctx, Table, revision, 0)
	if errors.Is(err, store.ErrHistoryGone) {
		return d.readWhole(ctx)
	}
	if err != nil {
		return err
	}
	d.learn(page)
	d.noteLook(begun)
	return nil
}

// noteLook notes a look at the table that was begun at a moment and has succeeded.
func (d *Directory) noteLook(begun time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.looked = begun
}

func (d *Directory) readWhole(ctx context.Context) error {
	begun := time.Now()
	page, err := d.options.Store.Range(ctx, Table, slotsPart, "", "", 0)
	if err != nil {
		return err
	}
	d.learn(page)
	d.noteLook(begun)
	d.mutex.Lock()
	d.whole = true
	d.mutex.Unlock()
	return nil
}

// known is the newest change that was taken over.
func (d *Directory) known() store.Version {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.revision
}

// learn takes over newer rows.
func (d *Directory) learn(page store.Page) {
	for _, stored := range page.Rows {
		d.learnRow(stored)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.revision = max(d.revision, page.Version)
}

func (d *Directory) learnRow(stored store.Row) {
	slot, err := strconv.Atoi(stored.Name)
	if err != nil || slot < 0 || slot >= len(d.owners) {
		return // of a version with more slots
	}
	var told row
	if !stored.Gone && stored.Version != 0 {
		if err := gob.NewDecoder(bytes.NewReader(stored.Value)).Decode(&told); err != nil {
			d.options.Logger.WithError(err).WithField("slot", slot).Error("directory slot not understood, taken as vacant; run the same version on all nodes")
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	before := d.owners[slot]
	if stored.Version < before.revision {
		return
	}
	d.owners[slot] = told.owner(stored.Version)
	d.noteTenure(slot, before)
	if before.Process == d.options.Self.Process && told.Process != before.Process {
		d.options.Logger.WithField("slot", slot).WithField("owner", told.Process).WithField("revision", uint64(stored.Version)).Info("directory slot lost")
	}
}

// claimOne claims a slot that nobody owns. It reports whether there may be more.
func (d *Directory) claimOne(ctx context.Context) bool {
	claimable := d.claimable()
	if len(claimable) == 0 {
		return false
	}
	slot := claimable[rand.IntN(len(claimable))]
	if d.ownerLives(ctx, slot) {
		return true
	}
	if _, err := d.put(ctx, slot, d.successor(slot), "directory slot taken"); err != nil && ctx.Err() == nil {
		d.options.Logger.WithError(err).WithField("slot", slot).Warn("directory slot not taken, trying again")
	}
	return true
}

// ownerLives reports whether another process still owns a slot, by its own word.
func (d *Directory) ownerLives(ctx context.Context, slot int) bool {
	d.mutex.Lock()
	known := d.owners[slot]
	d.mutex.Unlock()
	if known.Process == "" || known.Address == d.options.Self.Address {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	answer, err := d.options.Peers.Locate(limited, known.Address, Request{Process: known.Process, Probe: true, Slot: slot})
	if err != nil || !answer.Owner {
		return ctx.Err() != nil
	}
	d.Heard(slot)
	return true
}

// successor is the row of a slot that this process takes over.
func (d *Directory) successor(slot int) row {
	next := d.vacancy(slot)
	next.Process, next.Address = d.options.Self.Process, d.options.Self.Address
	next.Unsettled = true
	return next
}

// vacancy is the row of a slot that nobody owns; it keeps what its last owner says of
// what was lent.
func (d *Directory) vacancy(slot int) row {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	before := d.owners[slot].bequest
	return row{Unsettled: before.All, Raised: before.Raised}
}

// claimable lists the slots of this node's region that are vacant, that an earlier process
// of this node owned, or whose owner has not answered for long enough.
func (d *Directory) claimable() (claimable []int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	connected := now.Sub(d.heard) < heardWithin
	for slot := range d.ownRegion() {
		known := d.owners[slot]
		silent := d.silent(slot, now)
		earlier := known.Address == d.options.Self.Address && known.Process != d.options.Self.Process
		if known.Process == "" || earlier || connected && silent {
			claimable = append(claimable, slot)
		}
	}
	return claimable
}

// silent reports whether the owner of a slot has not answered for long enough. The caller
// holds the mutex.
func (d *Directory) silent(slot int, now time.Time) bool {
	suspected, ok := d.suspicions[slot]
	return ok && suspected.process == d.owners[slot].Process && suspected.confirmed(now)
}

// ownRegion are the slots of this node's region, the only ones that it claims.
func (d *Directory) ownRegion() iter.Seq[int] {
	return func(yield func(int) bool) {
		for slot := d.region * slots; slot < (d.region+1)*slots && yield(slot); slot++ {
		}
	}
}

// askWitness asks the owner of another region's slot, where an owner of this region is
// silent and no other answers: the last node of a region must learn whether it is cut off.
func (d *Directory) askWitness(ctx context.Context) {
	if slot, ok := d.witness(); ok {
		d.ownerLives(ctx, slot)
	}
}

// witness is a slot whose owner is to be asked, if one is needed.
func (d *Directory) witness() (slot int, needed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	if now.Sub(d.heard) < heardWithin {
		return 0, false
	}
	for slot := range d.ownRegion() {
		needed = needed || d.silent(slot, now)
	}
	var others []int
	for slot, known := range d.owners {
		if slot/slots != d.region && known.Process != "" {
			others = append(others, slot)
		}
	}
	if !needed || len(others) == 0 {
		return 0, false
	}
	return others[rand.IntN(len(others))], true
}

// reclaim takes the slots that an earlier process at this address owned, all at once: it is
// gone, and nobody else serves them.
func (d *Directory) reclaim(ctx context.Context) {
	var changes []change
	for _, slot := range d.orphaned() {
		changes = append(changes, change{slot: slot, next: d.successor(slot)})
	}
	for some := range slices.Chunk(changes, changedAtOnce) {
		if _, err := d.putAll(ctx, some, "directory slot taken again"); err != nil && ctx.Err() == nil {
			d.options.Logger.WithError(err).WithField("slots", len(some)).Warn("directory slots not taken again, trying one after the other")
		}
	}
}

// orphaned lists the slots that an earlier process at this address owned.
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

// Leave makes the slots that this process owns vacant, as far as ctx allows.
func (d *Directory) Leave(ctx context.Context) {
	d.endTenures() // whether or not the table hears of it, nothing is lent any more
	var changes []change
	for slot := range len(d.owners) {
		if d.owns(slot) {
			changes = append(changes, change{slot: slot, next: d.vacancy(slot)})
		}
	}
	for some := range slices.Chunk(changes, changedAtOnce) {
		written, err := d.putAll(ctx, some, "directory slot left")
		if err != nil || !written {
			d.options.Logger.WithField("error", err).WithField("slots", len(some)).Warn("directory slots not left; other nodes take them over when this one is missed")
		}
	}
}
