package shard

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// methodSnapshot streams a group's present state to a member that lags.
const methodSnapshot = "shard.snapshot"

// chunkBytes is the size of the pieces that a snapshot is sent in.
const chunkBytes = 256 << 10

// snapshotTimeout limits the fetching of one snapshot.
const snapshotTimeout = time.Minute

type snapshotRequest struct {
	Shard id.Shard
	Epoch uint64
}

// snapshotChunk is one piece; the first one carries Meta.
type snapshotChunk struct {
	Meta *SnapshotMeta
	Data []byte
}

// serveSnapshot sends the state after the last applied entry.
func (h *Host) serveSnapshot(_ context.Context, request snapshotRequest, send func(snapshotChunk) error) error {
	g := h.group(request.Shard)
	if g == nil || g.epoch != request.Epoch {
		return h.notLeader(request.Shard)
	}
	meta, data, err := g.snapshot()
	if err != nil {
		return err
	}
	return sendChunks(meta, data, send)
}

func sendChunks(meta SnapshotMeta, data []byte, send func(snapshotChunk) error) error {
	if err := send(snapshotChunk{Meta: &meta}); err != nil {
		return err
	}
	for len(data) > 0 {
		size := min(chunkBytes, len(data))
		if err := send(snapshotChunk{Data: data[:size]}); err != nil {
			return err
		}
		data = data[size:]
	}
	return nil
}

func (g *group) snapshot() (SnapshotMeta, []byte, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return SnapshotMeta{}, nil, g.host.notLeader(g.shard)
	}
	data, err := g.machine.Snapshot()
	return g.replica.Meta(), data, err
}

// fetch gets the snapshot that a leader offers. The caller holds the mutex.
func (g *group) fetch(offer Message) {
	if g.fetching {
		return
	}
	g.fetching = true
	go func() {
		meta, data, err := g.host.fetchSnapshot(offer)
		g.install(meta, data, offer, err)
	}()
}

func (h *Host) fetchSnapshot(offer Message) (SnapshotMeta, []byte, error) {
	ctx, cancel := context.WithTimeout(h.running, snapshotTimeout)
	defer cancel()
	var meta *SnapshotMeta
	var data []byte
	request := snapshotRequest{offer.Shard, offer.Position.Epoch}
	address := h.outboxes.addressOf(offer.From)
	err := peer.InvokeStream(ctx, h.options.Transport, address, methodSnapshot, request, func(chunk snapshotChunk) error {
		if chunk.Meta != nil {
			meta = chunk.Meta
		}
		data = append(data, chunk.Data...)
		return nil
	})
	if err == nil && meta == nil {
		err = fault.New(fault.Internal, "a snapshot came without its head", "report it")
	}
	if err != nil {
		return SnapshotMeta{}, nil, err
	}
	return *meta, data, nil
}

// install puts a fetched snapshot in place of the replica's state.
func (g *group) install(meta SnapshotMeta, data []byte, offer Message, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.fetching = false
	if err != nil || g.closed {
		return
	}
	if g.replica.Install(meta, offer, time.Now()) {
		if err := g.machine.Restore(data); err != nil {
			g.host.options.Log.WithError(err).WithField("shard", g.shard).Error("snapshot not restored")
			g.closed = true
			go g.host.drop(g)
			return
		}
	}
	g.drain(nil)
}
