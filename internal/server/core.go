package server

import (
	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/forward"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/quota"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/warmup"
)

// core is what a node knows of programs.
type core struct {
	budgets    *budget.Book
	history    *history.Keeper
	programs   *directory.Directory // nil: the node does not talk to others
	neighbours forward.Neighbours   // nil likewise
	// table is the way to the table, also through other nodes.
	table tableWays
	// limits lends what tenants may ask for; nil if the node does not talk to others.
	limits forward.Limits
	// allowance lends requests to cold workers; nil likewise.
	allowance forward.Allowance
	// room finds workers with room; nil likewise.
	room *rooms
}

// newCore returns the core of a node, and sets what other nodes are answered from it.
func newCore(options Options, gate *store.Gate, peers *peers, knowledge *knowledge) core {
	if peers.address == "" {
		return newLoneCore(options, gate)
	}
	self, vantage, others := options.self(), options.Settings.vantage(), peers.asker
	relays := &relays{transport: peers.transport, vantage: vantage, patience: gate.Patience, count: options.Metrics.Relayed.Inc}
	table := store.NewRelayed(gate, relays, options.Logger)
	programs := directory.New(directory.Options{
		Store: gate, Self: self, Peers: others, Patience: others.patience, Vantage: vantage, Logger: options.Logger,
		LentFor: max(options.Settings.Limits.Window, warmup.LentFor),
		Grants:  others, CountGrant: options.Metrics.Grant,
	})
	options.Metrics.WatchGrants(programs.GrantRights)
	peers.transport.owners = programs.Owners
	budgets := budget.NewBook(budget.Options{
		Store: table, Self: self, Peers: others, Patience: others.patience, Locator: programs, Granter: programs, Vantage: vantage,
	})
	relays.known = func() []budget.Holder { return withFarOwners(vantage, budgets.Met(), programs.Owners()) }
	kept := options.history(table)
	kept.Together = newWriter(options, table, peers, programs)
	keeper := history.New(kept)
	peers.handle(options.Process, budgets, keeper, programs)
	handleRelayed(peers.mux, options.Process, gate)
	return core{
		budgets: budgets, history: keeper, programs: programs, neighbours: others, table: table,
		limits:    newLimits(options, peers, knowledge, programs),
		allowance: newAllowance(options, peers, knowledge, programs),
		room:      newRooms(options, peers, knowledge, programs),
	}
}

// newLoneCore is that of a node that does not talk to others.
func newLoneCore(options Options, gate *store.Gate) core {
	return core{
		budgets: budget.NewBook(budget.Options{Store: gate, Self: options.self()}),
		history: history.New(options.history(gate)),
		table:   gate,
	}
}

// newLimits lends and borrows of tenants' limits.
func newLimits(options Options, peers *peers, knowledge *knowledge, programs *directory.Directory) forward.Limits {
	vantage := options.Settings.vantage()
	layout := directory.NewLayout(vantage.Places)
	lender := quota.NewLender(quota.LenderOptions{
		Leases: programs, Layout: layout, Tolerance: options.Settings.Limits,
		LimitOf: knowledge.limitOf, Proof: knowledge.fresh.Proof,
	})
	peers.handleKnowledge(lender, knowledge)
	return quota.NewBorrower(quota.BorrowerOptions{
		Self: options.self(), Layout: layout, Region: vantage.Region(), Owners: programs,
		Peers: peers.asker, Patience: peers.asker.patience, Lender: lender,
		Learn: knowledge.learn, Count: options.Metrics.LimitAnswer,
	})
}

// newAllowance lends and borrows requests to cold workers.
func newAllowance(options Options, peers *peers, knowledge *knowledge, programs *directory.Directory) forward.Allowance {
	places := options.Settings.Places
	slots := warmup.Slots{Layout: directory.NewLayout(places), Places: places}
	lender := warmup.NewLender(programs, slots, knowledge.bearing)
	peers.handleCold(lender)
	return warmup.NewBorrower(warmup.BorrowerOptions{
		Self: options.self(), Slots: slots, Owners: programs,
		Peers: peers.asker, Patience: peers.asker.patience, Lender: lender,
		Count: options.Metrics.ColdAnswer,
	})
}

// self is this process, as others name it.
func (o Options) self() budget.Holder {
	return budget.Holder{Process: o.Process, Address: o.Settings.Peers}
}

// history are the options of what is remembered of programs, kept in a table.
func (o Options) history(table store.Store) history.Options {
	return history.Options{
		Store:      table,
		CacheBytes: int(o.Settings.MemoryBytes / memoryForHistory),
		Region:     o.Settings.Places.Region(o.Settings.Zone),
	}
}
