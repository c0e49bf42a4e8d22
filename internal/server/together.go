package server

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/gather"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// newWriter gathers rows of turns, and sends this node's to those who gather.
func newWriter(options Options, table *store.Relayed, peers *peers, programs *directory.Directory) *gather.Writer {
	vantage := options.Settings.vantage()
	slots := gather.Slots{Layout: directory.NewLayout(vantage.Places), Region: vantage.Region()}
	pace := gather.Pace{Writes: options.Settings.TableWrites, Groups: slots.Groups(), Across: options.Settings.TableAcross}
	gatherer := gather.NewGatherer(gather.GathererOptions{
		Process: options.Process,
		Owns:    slots.Owned(programs.Owns),
		Store:   table,
		Lost:    table.Lost,
		Region:  vantage.Region(),
		Pace:    pace,
		Bytes:   int(options.Settings.MemoryBytes / memoryForGathering),
		Meter:   options.Metrics,
		Logger:  options.Logger,
	})
	peers.handleGather(gatherer)
	return gather.NewWriter(gather.WriterOptions{
		Process: options.Process, Slots: slots, Owners: programs,
		Peers: peers.asker, Patience: peers.asker.patience, Gatherer: gatherer,
		ThrottledSince: table.ThrottledSince, Pace: pace, Nodes: func() int { return 1 + len(programs.Owners()) },
		Meter: options.Metrics, Logger: options.Logger,
	})
}

// handleGather sets what other nodes are answered that send rows of turns.
func (p *peers) handleGather(gatherer *gather.Gatherer) {
	peer.Handle(p.mux, methodGather, func(ctx context.Context, request gather.Request) (gather.Answer, error) {
		return gatherer.Answer(ctx, request), nil
	})
}
