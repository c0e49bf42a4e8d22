package node

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/cloverwheel/cloverwheel/internal/config"
	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/ledger"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/ownership"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/shard"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

// readHeaderTimeout keeps strangers from holding connections open.
const readHeaderTimeout = 10 * time.Second

// unflushedLimit bounds what waits for the object store, in bytes. It is an
// hour's worth of 1,000 calls a minute of 4 KB each.
const unflushedLimit = 256 << 20

// Names under which roles ride on membership messages.
const (
	configRider = "config"
	routeRider  = "routes"
)

// wire makes all parts, from the bottom up.
func (n *Node) wire() error {
	n.registry.MustRegister(collectors.NewGoCollector())
	mux := peer.NewMux()
	n.peers.handle(mux)
	n.wireMembers(mux)
	if err := n.wireShards(mux); err != nil {
		return err
	}
	n.wireConfig(mux)
	n.wireLedger(mux)
	n.wireWorkers(mux)
	n.wireDispatch(mux)
	peer.Handle(mux, MethodDrain, n.serveDrain)
	return n.wireGateway()
}

func (n *Node) wireMembers(mux *peer.Mux) {
	n.members = member.New(member.Options{
		Self:       n.self,
		Transport:  n.peers.transport(),
		Mux:        mux,
		Seeds:      n.seeds,
		Log:        n.log,
		Registerer: n.registry,
	})
}

func (n *Node) wireShards(mux *peer.Mux) error {
	var err error
	n.host, err = shard.New(shard.Options{
		Self:       n.self,
		Transport:  n.peers.transport(),
		Mux:        mux,
		Members:    n.members.View,
		Table:      n.options.Platform.Table,
		Objects:    n.options.Platform.Objects,
		Machines:   n.options.Platform.Machines,
		Shards:     n.options.Settings.Shards,
		Replicas:   n.options.Settings.Replicas,
		NewMachine: newMachine,
		Observer:   n.leadershipChanged,
		Log:        n.log,
		Registerer: n.registry,
	})
	if err != nil {
		return err
	}
	n.locator = shard.NewLocator(n.host)
	n.members.AddRider(routeRider, shard.NewRouteRider(n.host))
	return nil
}

// leadershipChanged tells the roles that work at a shard's leader.
func (n *Node) leadershipChanged(number id.Shard, position shard.Position, leads bool) {
	if n.dispatcher != nil {
		n.dispatcher.ObserveLeadership(number, position, leads)
	}
}

func (n *Node) wireConfig(mux *peer.Mux) {
	n.config = config.New(config.Options{
		Proposer:   n.host,
		Locator:    n.locator,
		Transport:  n.peers.transport(),
		Mux:        mux,
		Members:    n.members.View,
		Table:      n.options.Platform.Table,
		Log:        n.log,
		Registerer: n.registry,
		Envelope: func(command config.Command) ([]byte, error) {
			encoded, err := command.Encode()
			return tagged(configTag, encoded), err
		},
		Part: headOf,
	})
	n.members.AddRider(configRider, n.config)
}

func (n *Node) wireLedger(mux *peer.Mux) {
	n.ledger = ledger.New(ledger.Options{
		Proposer:   n.host,
		Mux:        mux,
		Table:      n.options.Platform.Table,
		Shards:     n.options.Settings.Shards,
		Log:        n.log,
		Registerer: n.registry,
		Envelope: func(command ledger.Command) ([]byte, error) {
			encoded, err := command.Encode()
			return tagged(ledgerTag, encoded), err
		},
		Part:    ledgersOf,
		Inquire: n.fateOf,
	})
}

func (n *Node) wireWorkers(mux *peer.Mux) {
	n.catalog = worker.NewCatalog(worker.CatalogOptions{
		View:      n.members.View,
		Machines:  n.options.Platform.Machines,
		Transport: n.peers.transport(),
		Mux:       mux,
		Log:       n.log,
	})
	epochs := ownership.New(ownership.Options{
		Node:      n.self.Node,
		Proposer:  n.host,
		Locator:   n.locator,
		Transport: n.peers.transport(),
		Mux:       mux,
		Shards:    n.options.Settings.Shards,
		Envelope:  func(claim []byte) []byte { return tagged(ownershipTag, claim) },
	})
	n.workers = worker.New(worker.Options{
		View:       n.members.View,
		Catalog:    n.catalog,
		Epochs:     epochs,
		Dial:       n.options.Platform.Dial,
		Mux:        mux,
		Policy:     n.options.Policy,
		Alive:      n.programAlive,
		Log:        n.log,
		Registerer: n.registry,
	})
	n.placer = worker.NewPlacer(worker.PlacerOptions{
		View:      n.members.View,
		Catalog:   n.catalog,
		Transport: n.peers.transport(),
		Policy:    n.options.Policy,
	})
}

func (n *Node) wireDispatch(mux *peer.Mux) {
	n.dispatcher = dispatch.New(dispatch.Options{
		Proposer:  n.host,
		Locator:   n.locator,
		Transport: n.peers.transport(),
		Self:      n.self.Address,
		Mux:       mux,
		Config:    n.config,
		Resolve:   (*template.Configuration).Resolve,
		Placer:    n.placer,
		Tools:     n.options.Platform.Tools,
		Shards:    n.options.Settings.Shards,
		Envelope: func(command program.Command) []byte {
			return tagged(programTag, command.Encode())
		},
		Machine:        programsOf,
		Unflushed:      n.host.Unflushed,
		UnflushedLimit: unflushedLimit,
		KnownModel:     (*template.Configuration).KnowsModel,
		Nodes:          func() int { return len(n.members.View().Members) },
		Log:            n.log,
		Registerer:     n.registry,
	})
}

func (n *Node) wireGateway() error {
	var err error
	n.gateway, err = gateway.New(gateway.Options{
		Locator:      n.locator,
		Transport:    n.peers.transport(),
		Config:       n.config,
		Members:      n.members.View,
		Shards:       n.options.Settings.Shards,
		OperatorKeys: n.options.Settings.OperatorKeys,
		Configurator: n.config,
		Nodes:        nodeOperations{n},
		Log:          n.log,
		Registerer:   n.registry,
		Gatherer:     n.registry,
	})
	if err != nil {
		return err
	}
	n.callers = &http.Server{Handler: n.gateway.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	return nil
}

// programAlive asks the leader of the program's shard whether it still runs.
func (n *Node) programAlive(ctx context.Context, name id.Program) (bool, error) {
	alive := false
	number := id.ShardOfProgram(name, n.options.Settings.Shards)
	err := n.locator.Do(ctx, number, func(ctx context.Context, leader peer.Address) error {
		shown, err := peer.Invoke[dispatch.Program](ctx, n.peers.transport(), leader, dispatch.MethodShow, dispatch.ShowRequest{Program: name})
		alive = err == nil && !shown.Ended
		return err
	})
	if fault.Is(err, fault.NotFound) {
		return false, nil
	}
	return alive, err
}

// fateOf asks the leader of a request's program what became of the request.
func (n *Node) fateOf(ctx context.Context, tenant id.Tenant, request id.Request) (ledger.Fate, error) {
	var fate ledger.Fate
	number := id.ShardOfProgram(request.Program(), n.options.Settings.Shards)
	err := n.locator.Do(ctx, number, func(ctx context.Context, leader peer.Address) error {
		var err error
		fate, err = peer.Invoke[ledger.Fate](ctx, n.peers.transport(), leader, dispatch.MethodFate, dispatch.FateRequest{Tenant: tenant, Request: request})
		return err
	})
	return fate, err
}
