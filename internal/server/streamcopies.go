package server

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/streamcopy"
)

// newStreamCopies returns the copies of turns that a node holds, and registers their handlers for calls of other nodes. nodes returns the other
// nodes that may hold copies.
func newStreamCopies(options Options, peers *peers, nodes func() []budget.Holder) *streamcopy.Client {
	client := streamcopy.New(streamcopy.Options{
		Location: options.Settings.location(), Nodes: nodes, Peers: peers.client, ResponseTimes: peers.client.timeout,
		MaxBytes: int(options.Settings.MemoryBytes / streamCopyMemoryDivisor),
		OnEvent:  options.Metrics.CopiedEvent,
	})
	peer.Handle(peers.mux, methodAppendStream, func(_ context.Context, request streamcopy.AppendRequest) (streamcopy.AppendAnswer, error) {
		return client.HandleAppend(request), nil
	})
	peer.Handle(peers.mux, methodReadStream, func(_ context.Context, request streamcopy.ReadRequest) (streamcopy.ReadAnswer, error) {
		return client.HandleRead(request), nil
	})
	return client
}
