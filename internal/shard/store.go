package shard

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

const (
	// objectTimeout limits one request to the object store.
	objectTimeout = 10 * time.Second
	// minSnapshotBytes is the size of log tails after which a snapshot is
	// stored, for small states; large ones wait until the tails are as large.
	minSnapshotBytes = 256 << 10
	// objectPrefix starts the keys of all stored state.
	objectPrefix = "shard/"

	suffixSnapshot = ".snapshot"
	suffixTail     = ".tail"
)

// storedState is what a leader knows of its group's objects.
type storedState struct {
	index    uint64 // up to which everything is stored; valid when known
	known    bool
	snapshot int   // size of the last snapshot
	tails    int   // size of the tails since
	applied  int64 // bytes of commands applied by this replica
	flushed  int64 // of them, stored
}

// storedObject is a snapshot, or a tail of the log when Data is nil.
type storedObject struct {
	Meta    SnapshotMeta // of the snapshot; of the entry before the tail
	Data    []byte
	Entries []Entry
}

func objectKey(shard id.Shard, epoch, index uint64, suffix string) string {
	return fmt.Sprintf("%s%05d/%020d-%020d%s", objectPrefix, shard, epoch, index, suffix)
}

// parseKey reads epoch and index from a key.
func parseKey(key string) (epoch, index uint64, suffix string, ok bool) {
	name := key[strings.LastIndexByte(key, '/')+1:]
	if _, err := fmt.Sscanf(name, "%020d-%020d", &epoch, &index); err != nil {
		return 0, 0, "", false
	}
	return epoch, index, name[strings.IndexByte(name, '.'):], true
}

// note counts what is applied, for Unflushed.
func (g *group) note(applied Applied) { g.stored.applied += int64(applied.Entry.size()) }

// Unflushed returns the bytes of led shards that the object store does not hold
// yet, so that callers can refuse new programs at a bound.
func (h *Host) Unflushed() int {
	total := int64(0)
	for _, g := range h.list() {
		g.mutex.Lock()
		if g.leads {
			total += g.stored.applied - g.stored.flushed
		}
		g.mutex.Unlock()
	}
	return int(total)
}

// StoredIndex returns the index up to which a led shard is in the object store.
func (h *Host) StoredIndex(shard id.Shard) (uint64, bool) {
	g := h.group(shard)
	if g == nil {
		return 0, false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.stored.index, g.leads && g.stored.known
}

// storeAll stores what changed in all led groups.
func (h *Host) storeAll(ctx context.Context) { _ = h.storePass(ctx) }

// storePass goes on after a group that cannot be stored, but not while the
// store itself cannot be reached.
func (h *Host) storePass(ctx context.Context) error {
	if h.options.Objects == nil {
		return nil
	}
	var failed error
	for _, g := range h.list() {
		if !g.dirty() {
			continue
		}
		err := h.store(ctx, g)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			h.options.Log.WithError(err).WithField("shard", g.shard).Warn("state not stored yet")
			failed = err
		}
		if fault.Is(err, fault.Unavailable) {
			break
		}
	}
	return failed
}

func (g *group) dirty() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.leads && (!g.stored.known || g.stored.index < g.replica.emitted)
}

// Flush stores all that the led groups have committed.
func (h *Host) Flush(ctx context.Context) error { return h.storePass(ctx) }

// store puts one group's snapshot or tail.
func (h *Host) store(ctx context.Context, g *group) error {
	object, suffix, applied, err := g.nextObject()
	if err != nil {
		return err
	}
	payload, err := peer.Encode(object)
	if err != nil {
		return err
	}
	index := object.Meta.Index + uint64(len(object.Entries))
	if err := h.put(ctx, objectKey(g.shard, g.epoch, index, suffix), payload); err != nil {
		return err
	}
	h.metrics.stored.Add(float64(len(payload)))
	g.noteStored(index, suffix, len(payload), applied)
	if suffix == suffixSnapshot {
		return h.deleteBefore(ctx, g.shard, g.epoch, index)
	}
	return nil
}

// nextObject chooses between a tail and a snapshot.
func (g *group) nextObject() (storedObject, string, int64, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return storedObject{}, "", 0, g.host.notLeader(g.shard)
	}
	state := g.stored
	if entries, ok := g.replica.Tail(state.index); ok && state.known && state.tails < max(minSnapshotBytes, state.snapshot) {
		position, _ := g.replica.log.positionAt(state.index)
		meta := SnapshotMeta{Index: state.index, Position: position}
		return storedObject{Meta: meta, Entries: entries[:g.replica.emitted-state.index]}, suffixTail, state.applied, nil
	}
	data, err := g.machine.Snapshot()
	if data == nil {
		data = []byte{}
	}
	return storedObject{Meta: g.replica.Meta(), Data: data}, suffixSnapshot, state.applied, err
}

func (g *group) noteStored(index uint64, suffix string, size int, applied int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stored.known, g.stored.index, g.stored.flushed = true, index, applied
	if suffix == suffixSnapshot {
		g.stored.snapshot, g.stored.tails = size, 0
		return
	}
	g.stored.tails += size
}

func (h *Host) put(ctx context.Context, key string, payload []byte) error {
	if err := h.storing.Wait(ctx); err != nil {
		return eris.Wrap(err, "wait for the object store's rate")
	}
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	return h.options.Objects.Put(ctx, key, payload)
}

// deleteBefore deletes the objects that a new snapshot replaces.
func (h *Host) deleteBefore(ctx context.Context, shard id.Shard, epoch, index uint64) error {
	keys, err := h.listObjects(ctx, shard)
	if err != nil {
		return err
	}
	for _, key := range keys {
		keyEpoch, keyIndex, suffix, ok := parseKey(key)
		older := keyEpoch < epoch || (keyEpoch == epoch && (keyIndex < index || (keyIndex == index && suffix == suffixTail)))
		if !ok || !older {
			continue
		}
		if err := h.storing.Wait(ctx); err != nil {
			return eris.Wrap(err, "wait for the object store's rate")
		}
		if err := h.options.Objects.Delete(ctx, key); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) listObjects(ctx context.Context, shard id.Shard) ([]string, error) {
	if err := h.storing.Wait(ctx); err != nil {
		return nil, eris.Wrap(err, "wait for the object store's rate")
	}
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	keys, err := h.options.Objects.List(ctx, fmt.Sprintf("%s%05d/", objectPrefix, shard))
	slices.Sort(keys)
	return keys, err
}

// load reads the newest snapshot of a group and the tails after it.
func (h *Host) load(ctx context.Context, shard id.Shard) (remains, error) {
	var loaded remains
	if h.options.Objects == nil {
		return loaded, nil
	}
	keys, err := h.listObjects(ctx, shard)
	if err != nil {
		return loaded, err
	}
	from := -1
	for i, key := range keys {
		if strings.HasSuffix(key, suffixSnapshot) {
			from = i
		}
	}
	if from < 0 {
		return loaded, nil
	}
	for i, key := range keys[from:] {
		object, err := h.get(ctx, key)
		if err != nil {
			return loaded, err
		}
		if i == 0 {
			loaded.meta, loaded.data = object.Meta, object.Data
			continue
		}
		loaded.extend(object)
	}
	return loaded, nil
}

// extend appends the part of a tail that continues the remains. Tails hold
// committed entries only, so where two overlap they agree.
func (r *remains) extend(tail storedObject) {
	_, index := r.last()
	if tail.Meta.Index <= index && index < tail.Meta.Index+uint64(len(tail.Entries)) {
		r.entries = append(r.entries, tail.Entries[index-tail.Meta.Index:]...)
	}
}

func (h *Host) get(ctx context.Context, key string) (storedObject, error) {
	var object storedObject
	if err := h.storing.Wait(ctx); err != nil {
		return object, eris.Wrap(err, "wait for the object store's rate")
	}
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	payload, err := h.options.Objects.Get(ctx, key)
	if err != nil {
		return object, err
	}
	return object, peer.Decode(payload, &object)
}
