package server

import (
	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/forward"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/memory"
	"github.com/cloverwheel/cloverwheel/internal/quarantine"
	"github.com/cloverwheel/cloverwheel/internal/quota"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/streamcopy"
	"github.com/cloverwheel/cloverwheel/internal/warmup"
)

// components are the parts of a node that requests use besides the forwarder and the worker list.
type components struct {
	budgets      *budget.Accounts
	history      *history.TurnStore
	directory    *directory.Directory // nil: the node runs without peers
	historyPeers forward.HistoryPeers // nil likewise
	// store is the shared store, called directly or through other nodes.
	store relayedStore
	// limits enforces the request limits of tenants; nil if the node runs without peers.
	limits forward.RateLimiter
	// allowance limits requests to cold workers; nil likewise.
	allowance forward.WarmupLimiter
	// origins remembers which software versions began streams.
	origins *streamOrigins
	// copies keeps copies of what clients have got of turns that are stored.
	copies *streamcopy.Client
	// quarantine remembers under which work workers ended, and replicator exchanges that with other nodes; replicator is nil
	// likewise.
	quarantine *quarantine.Tracker
	replicator *quarantine.Replicator
	// capacity tracks the free capacity of workers; nil likewise.
	capacity *capacityTracker
}

// newComponents returns the components of a node and registers their handlers for calls of other
// nodes. reserveLong reserves memory for long histories.
func newComponents(options Options, gate *store.Gate, peers *peers, verifier *verifier, workers *backend.Registry, reserveLong memory.Reserve) components {
	if peers.address == "" {
		return newStandaloneComponents(options, gate, peers, workers, reserveLong)
	}
	self, location, client := options.self(), options.Settings.location(), peers.client
	relay := &relayClient{transport: peers.transport, location: location, timeout: gate.HedgeDelay, countCall: options.Metrics.RelayedCalls.Inc}
	relayed := store.NewRelayed(gate, relay, options.Logger)
	dir := directory.New(directory.Options{
		Store: gate, Self: self, Peers: client, ResponseTimes: client.timeout, Location: location, Logger: options.Logger,
		PermitDuration: max(options.Settings.LimitTolerance.Window, warmup.UnsettledPeriod),
		Grants:         client, OnGrantOutcome: options.Metrics.Grant,
	})
	options.Metrics.RegisterGrantGauges(dir.CountGrantableSlots)
	peers.transport.owners = dir.Owners
	budgets := budget.NewAccounts(budget.Options{
		Store: relayed, Self: self, Peers: client, ResponseTimes: client.timeout, Locator: dir, Granter: dir, Location: location,
	})
	relay.candidates = func() []budget.Holder { return withRemoteOwners(location, budgets.RecentPeers(), dir.Owners()) }
	historyOptions := options.historyOptions(relayed, reserveLong)
	historyOptions.BatchWriter = newGroupCommitWriter(options, relayed, peers, dir)
	turns := history.New(historyOptions)
	peers.handleProgramCalls(options.Process, budgets, turns, dir)
	handleRelayCalls(peers.mux, options.Process, gate)
	tracker := newQuarantineTracker(options)
	return components{
		budgets: budgets, history: turns, directory: dir, historyPeers: client, store: relayed,
		limits:    newTenantLimits(options, peers, verifier, dir),
		allowance: newColdAllowance(options, peers, verifier, dir),
		capacity:  newCapacityTracker(options, peers, verifier, dir),
		origins:   newStreamOrigins(options, relayed, peers, dir.Owners, workers.SoftwareVersions),
		copies:    newStreamCopies(options, peers, dir.Owners),

		quarantine: tracker,
		replicator: newQuarantineReplicator(options, tracker, peers, dir),
	}
}

// newStandaloneComponents returns the components of a node that runs without peers.
func newStandaloneComponents(options Options, gate *store.Gate, peers *peers, workers *backend.Registry, reserveLong memory.Reserve) components {
	return components{
		budgets: budget.NewAccounts(budget.Options{Store: gate, Self: options.self()}),
		history: history.New(options.historyOptions(gate, reserveLong)),
		store:   gate,
		origins: newStreamOrigins(options, gate, peers, noNodes, workers.SoftwareVersions),
		copies:  newStreamCopies(options, peers, noNodes),

		quarantine: newQuarantineTracker(options),
	}
}

// newTenantLimits returns the client that requests permits from tenants' limits, and registers this
// node as an allocator of such permits.
func newTenantLimits(options Options, peers *peers, verifier *verifier, dir *directory.Directory) forward.RateLimiter {
	location := options.Settings.location()
	layout := directory.NewLayout(location.Zones)
	allocator := quota.NewAllocator(quota.AllocatorOptions{
		Leases: dir, Layout: layout, Tolerance: options.Settings.LimitTolerance,
		LimitOf: verifier.limitOf, Proof: verifier.fresh.Proof,
	})
	peers.handleProofsAndLimits(allocator, verifier)
	return quota.NewClient(quota.ClientOptions{
		Self: options.self(), Layout: layout, Region: location.OwnRegion(), Owners: dir,
		Peers: peers.client, ResponseTimes: peers.client.timeout, Allocator: allocator,
		OnProof: verifier.adoptProof, OnOutcome: options.Metrics.LimitAnswer,
	})
}

// newColdAllowance returns the client that requests permits for cold workers, and registers this node
// as an allocator of such permits.
func newColdAllowance(options Options, peers *peers, verifier *verifier, dir *directory.Directory) forward.WarmupLimiter {
	zones := options.Settings.Regions
	slots := warmup.Slots{Layout: directory.NewLayout(zones), Zones: zones}
	allocator := warmup.NewAllocator(dir, slots, verifier.coldLimit)
	peers.handleColdPermits(allocator)
	return warmup.NewClient(warmup.ClientOptions{
		Self: options.self(), Slots: slots, Owners: dir,
		Peers: peers.client, ResponseTimes: peers.client.timeout, Allocator: allocator,
		OnOutcome: options.Metrics.ColdAnswer,
	})
}

// self returns the process name and address by which other nodes call this one.
func (o Options) self() budget.Holder {
	return budget.Holder{Process: o.Process, Address: o.Settings.PeerAddress}
}

// historyOptions returns the options of the turn store, which keeps its rows in the given store.
func (o Options) historyOptions(table store.Store, reserveLong memory.Reserve) history.Options {
	return history.Options{
		Store:      table,
		CacheBytes: int(o.Settings.MemoryBytes / historyMemoryDivisor),
		Region:     o.Settings.Regions.Region(o.Settings.Zone),
		Reserve:    reserveLong,
		Logger:     o.Logger,
	}
}
