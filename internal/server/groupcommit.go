package server

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/groupcommit"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// newGroupCommitWriter returns the writer of turn rows, which batches them with the rows of other
// nodes. It also registers this node as a committer of rows for other nodes.
func newGroupCommitWriter(options Options, relayed *store.RelayedStore, peers *peers, dir *directory.Directory) *groupcommit.Writer {
	location := options.Settings.location()
	slots := groupcommit.Slots{Layout: directory.NewLayout(location.Zones), Region: location.OwnRegion()}
	pace := groupcommit.CommitLimit{PerSecond: options.Settings.StoreWritesPerSecond, Groups: slots.Groups(), CrossPartition: options.Settings.CrossPartTransactions}
	committer := groupcommit.NewCommitter(groupcommit.CommitterOptions{
		Process:          options.Process,
		Owns:             slots.OwnsGroup(dir.Owns),
		Store:            relayed,
		TableUnreachable: relayed.Unreachable,
		Region:           location.OwnRegion(),
		Limit:            pace,
		MaxPendingBytes:  int(options.Settings.MemoryBytes / groupCommitMemoryDivisor),
		Metrics:          options.Metrics,
		Logger:           options.Logger,
	})
	peers.handleGroupCommit(committer)
	return groupcommit.NewWriter(groupcommit.WriterOptions{
		Process: options.Process, Slots: slots, Owners: dir,
		Peers: peers.client, ResponseTimes: peers.client.timeout, Committer: committer,
		ThrottledSince: relayed.ThrottledSince, Limit: pace, Nodes: func() int { return 1 + len(dir.Owners()) },
		Metrics: options.Metrics, Logger: options.Logger,
	})
}

// handleGroupCommit registers the handler for turn rows sent by other nodes.
func (p *peers) handleGroupCommit(committer *groupcommit.Committer) {
	peer.Handle(p.mux, methodGroupCommit, func(ctx context.Context, request groupcommit.Request) (groupcommit.Answer, error) {
		return committer.Answer(ctx, request), nil
	})
}
