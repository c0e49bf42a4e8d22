package server

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/streamorigin"
)

// streamOrigins remembers which software versions began streams, which versions each service has, and which services share routes.
type streamOrigins struct {
	client   *streamorigin.Client
	versions *streamorigin.Versions
	services *streamorigin.SharedServices
	logger   log.Interface
	// resumable returns the services with streams that another worker may continue; set by attach.
	resumable func() []string
}

// newStreamOrigins returns the records of a node and registers their handlers for calls of other nodes. nodes returns the other nodes that
// may hold records, and listed the software versions of the workers that this node lists.
func newStreamOrigins(options Options, rows streamorigin.RowStore, peers *peers, nodes func() []budget.Holder, listed func(service string) []string) *streamOrigins {
	o := &streamOrigins{services: streamorigin.NewSharedServices(), logger: options.Logger, resumable: func() []string { return nil }}
	o.versions = streamorigin.NewVersions(streamorigin.VersionsOptions{
		Feed: options.Store, Store: rows, Listed: listed, OnChange: func(service string) { o.client.SendUnsent(service) }, OnLoad: o.registerListed, Logger: options.Logger,
	})
	o.client = streamorigin.New(streamorigin.Options{
		Location: options.Settings.location(), Nodes: nodes, Peers: peers.client, Versions: o.versions, Services: o.services,
		ResponseTimes: peers.client.timeout, OnSent: options.Metrics.StreamRecords,
		OnLearned: o.logLearned,
	})
	peer.Handle(peers.mux, methodRecordStreams, func(_ context.Context, request streamorigin.RecordRequest) (streamorigin.RecordAnswer, error) {
		return o.client.HandleRecord(request), nil
	})
	peer.Handle(peers.mux, methodFindStream, func(_ context.Context, request streamorigin.FindRequest) (streamorigin.FindAnswer, error) {
		return o.client.HandleFind(request), nil
	})
	return o
}

// noNodes returns no nodes: those that a node without peers knows.
func noNodes() []budget.Holder { return nil }

// attach sets the source of the configuration, which is created after the records.
func (o *streamOrigins) attach(s *Server) {
	o.resumable = func() []string {
		if configuration := s.forwarder.Configuration(); configuration != nil {
			return configuration.ResumableServices()
		}
		return nil
	}
}

// registerListed registers the software versions that this node lists of services with resumable streams, in the background, and sends
// the records that other nodes need since the versions or the routes have changed. Streams begin only at registered versions.
func (o *streamOrigins) registerListed() {
	for _, service := range o.resumable() {
		o.versions.RegisterListed(service)
		o.client.SendUnsent(service)
	}
}

// applyConfiguration takes a configuration before it is in use. Once it is, registerListed sends the records that other nodes
// need because of it.
func (o *streamOrigins) applyConfiguration(next *route.Configuration) {
	if added := o.services.Apply(next, time.Now()); len(added) > 0 {
		o.logger.WithField("version", int64(next.Version)).WithField("services", added).
			Info("streams of a route may begin at several services; they are recorded at other nodes")
	}
}

// logLearned logs what another node told of the services that share routes.
func (o *streamOrigins) logLearned(history streamorigin.RouteHistory) {
	o.logger.WithField("version", int64(history.Version)).WithField("services", history.Shared).
		Info("learned from another node which services share routes; streams of the other services may be resumed without a record")
}

// loaded reports whether the registered versions are known.
func (o *streamOrigins) loaded() bool { return o.versions.Loaded() }
