package server

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/quarantine"
)

// newQuarantineTracker returns a tracker and registers its metrics.
func newQuarantineTracker(options Options) *quarantine.Tracker {
	tracker := quarantine.NewTracker()
	options.Metrics.RegisterQuarantineGauges(tracker.Count)
	return tracker
}

// newQuarantineReplicator returns the replicator of what a node knows of work that ends workers, and registers its handler for
// messages of other nodes.
func newQuarantineReplicator(options Options, tracker *quarantine.Tracker, peers *peers, dir *directory.Directory) *quarantine.Replicator {
	replicator := quarantine.NewReplicator(quarantine.ReplicatorOptions{
		Tracker: tracker, Self: options.self(), Nodes: dir.Owners, Peers: peers.client, Location: options.Settings.location(),
		OnSent: options.Metrics.QuarantineSent, Logger: options.Logger,
	})
	peer.Handle(peers.mux, methodShareQuarantine, func(_ context.Context, request quarantine.ShareRequest) (quarantine.ShareAnswer, error) {
		return replicator.Handle(request), nil
	})
	return replicator
}
