package server

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/forward"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/streamorigin"
)

// streamOrigins remembers which software versions began streams, and which versions each service has.
type streamOrigins struct {
	client   *streamorigin.Client
	versions *streamorigin.Versions
}

// newStreamOrigins returns the records of a node and registers their handlers for calls of other nodes. listed returns the software
// versions of the workers that this node lists.
func newStreamOrigins(options Options, gate *store.Gate, peers *peers, dir *directory.Directory, listed func(service string) []string) *streamOrigins {
	o := &streamOrigins{}
	o.versions = streamorigin.NewVersions(streamorigin.VersionsOptions{
		Feed: options.Store, Store: gate, Listed: listed, OnChange: func(service string) { o.client.VersionsChanged(service) }, Logger: options.Logger,
	})
	o.client = streamorigin.New(streamorigin.Options{
		Location: options.Settings.location(), Nodes: dir.Owners, Peers: peers.client, Versions: o.versions,
		ResponseTimes: peers.client.timeout, OnSent: options.Metrics.StreamRecords,
	})
	peer.Handle(peers.mux, methodRecordStreams, func(_ context.Context, request streamorigin.RecordRequest) (streamorigin.RecordAnswer, error) {
		return o.client.HandleRecord(request), nil
	})
	peer.Handle(peers.mux, methodFindStream, func(_ context.Context, request streamorigin.FindRequest) (streamorigin.FindAnswer, error) {
		return o.client.HandleFind(request), nil
	})
	return o
}

// forForwarder returns the records for the forwarder; nil if the node runs without peers.
func (o *streamOrigins) forForwarder() forward.StreamOrigins {
	if o == nil {
		return nil
	}
	return o.client
}
