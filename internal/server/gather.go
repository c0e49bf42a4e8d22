package server

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/groupcommit"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// newGatherWriter returns the writer of turn rows, which batches them with the rows of other
// nodes. It also registers this node as a gatherer for other nodes.
func newGatherWriter(options Options, relayed *store.RelayedStore, peers *peers, dir *directory.Directory) *groupcommit.Writer {
	vantage := options.Settings.vantage()
	slots := groupcommit.Slots{Layout: directory.NewLayout(vantage.Zones), Region: vantage.OwnRegion()}
	pace := groupcommit.CommitLimit{PerSecond: options.Settings.StoreWritesPerSecond, Groups: slots.Groups(), CrossPartition: options.Settings.CrossPartTransactions}
	gatherer := groupcommit.NewCommitter(groupcommit.CommitterOptions{
		Process:          options.Process,
		Owns:             slots.OwnsGroup(dir.Owns),
		Store:            relayed,
		TableUnreachable: relayed.Unreachable,
		Region:           vantage.OwnRegion(),
		Limit:            pace,
		MaxPendingBytes:  int(options.Settings.MemoryBytes / gatherMemoryDivisor),
		Meter:            options.Metrics,
		Logger:           options.Logger,
	})
	peers.handleGather(gatherer)
	return groupcommit.NewWriter(groupcommit.WriterOptions{
		Process: options.Process, Slots: slots, Owners: dir,
		Peers: peers.client, Patience: peers.client.timeout, Committer: gatherer,
		ThrottledSince: relayed.ThrottledSince, Limit: pace, Nodes: func() int { return 1 + len(dir.Owners()) },
		Meter: options.Metrics, Logger: options.Logger,
	})
}

// handleGather registers the handler for turn rows sent by other nodes.
func (p *peers) handleGather(gatherer *groupcommit.Committer) {
	peer.Handle(p.mux, methodGather, func(ctx context.Context, request groupcommit.Request) (groupcommit.Answer, error) {
		return gatherer.Answer(ctx, request), nil
	})
}
