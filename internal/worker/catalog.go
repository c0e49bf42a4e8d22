package worker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"golang.org/x/sync/singleflight"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// CatalogOptions hold what a Catalog needs. Fields with a stated default may be
// zero.
type CatalogOptions struct {
	View     func() *member.View
	Machines outside.Machines
	// Transport and Mux join the catalogs of the nodes, so that few of them read
	// the machine list. If either is nil, this node reads it by itself.
	Transport peer.Transport
	Mux       *peer.Mux
	// Interval is the time between readings of the machine list, and between a
	// node's questions for the workers it owns; default 500 ms.
	Interval time.Duration
	// Refresh is how old the sample of a model's workers may be; default 30 s.
	Refresh time.Duration
	Log     log.Interface // default: none
}

// Catalog knows the workers that this node needs to know: those that it owns,
// a sample of each model's that it places calls on, and those that it was asked
// for. A few nodes, the directory, hold the platform's whole list.
type Catalog struct {
	options   CatalogOptions
	owners    ownerCache
	directory directory
	asking    singleflight.Group
	located   *recent[id.Worker, locatedMachine]

	mutex   sync.Mutex
	digest  uint64 // of owned
	owned   []outside.Machine
	serving map[id.Model]*servingModel
}

// servingModel is the sample of a model's workers.
type servingModel struct {
	workers []id.Worker
	read    time.Time
	used    time.Time
}

// locatedMachine is a worker and when the directory told of it.
type locatedMachine struct {
	machine outside.Machine
	read    time.Time
}

const (
	catalogTimeout = 2 * time.Second
	// forgetModel is how long a model that no call asks for is kept up to date.
	forgetModel = 5 * time.Minute
)

// NewCatalog returns an empty Catalog and registers its handlers on the Mux.
func NewCatalog(options CatalogOptions) *Catalog {
	setDefault(&options.Interval, 500*time.Millisecond)
	setDefault(&options.Refresh, 30*time.Second)
	if options.Log == nil {
		options.Log = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	}
	c := &Catalog{
		options: options,
		located: newRecent[id.Worker, locatedMachine](),
		serving: map[id.Model]*servingModel{},
	}
	if options.Mux != nil {
		peer.Handle(options.Mux, MethodCatalog, c.handleCatalog)
		peer.Handle(options.Mux, MethodLocate, c.handleLocate)
		peer.Handle(options.Mux, MethodTable, c.handleTable)
	}
	return c
}

// Run keeps the catalog up to date until ctx ends. While nobody answers, what
// was read last counts. After a change of the members it asks more often for a
// while, because workers have got other owners.
func (c *Catalog) Run(ctx context.Context) error {
	var schedule refreshSchedule
	every(ctx, hurryInterval, func() {
		if !schedule.due(time.Now(), c.options.View(), c.options.Interval) {
			return
		}
		if schedule.reads(time.Now(), c.options.Interval) && c.inDirectory() {
			c.readList(ctx)
		}
		if err := c.refresh(ctx, c.dueModels()); err != nil {
			c.options.Log.WithError(err).Debug("catalog not refreshed")
		}
	})
	return nil
}

const (
	// hurryInterval is the time between questions after a change of the members,
	// and hurryFor how long they are asked that often.
	hurryInterval = 100 * time.Millisecond
	hurryFor      = time.Second
)

// refreshSchedule says when the directory is asked.
type refreshSchedule struct {
	view  *member.View
	hurry time.Time // until then
	last  time.Time
	read  time.Time // of the machine list, which is never read more often
}

// reads reports whether the machine list may be read again.
func (s *refreshSchedule) reads(now time.Time, interval time.Duration) bool {
	if now.Sub(s.read) < interval {
		return false
	}
	s.read = now
	return true
}

func (s *refreshSchedule) due(now time.Time, view *member.View, interval time.Duration) bool {
	if view != s.view {
		s.view = view
		s.hurry = now.Add(hurryFor)
	}
	if now.After(s.hurry) && now.Sub(s.last) < interval {
		return false
	}
	s.last = now
	return true
}

// alone reports whether there is no way to ask other nodes.
func (c *Catalog) alone() bool { return c.options.Transport == nil || c.options.Mux == nil }

// inDirectory reports whether this node reads the machine list.
func (c *Catalog) inDirectory() bool {
	if c.alone() {
		return true
	}
	view := c.options.View()
	return slices.ContainsFunc(DirectoryOf(view), func(m member.Member) bool { return m.Node == view.Self.Node })
}

// readList reads the machine list or, if this node has none and the platform
// does not answer, copies another directory node's.
func (c *Catalog) readList(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, catalogTimeout)
	defer cancel()
	machines, err := c.options.Machines.List(limited, outside.KindWorker)
	if err == nil {
		c.directory.set(machines)
		return
	}
	c.options.Log.WithError(err).Debug("machine list not read")
	if !c.directory.ready() && !c.alone() {
		c.copyTable(ctx)
	}
}

func (c *Catalog) copyTable(ctx context.Context) {
	view := c.options.View()
	for _, m := range view.Members {
		if m.Node == view.Self.Node || !m.Usable() {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, catalogTimeout)
		table, err := peer.Invoke[Table](limited, c.options.Transport, m.Address, MethodTable, TableRequest{})
		cancel()
		if err == nil {
			c.directory.set(table.Machines)
			return
		}
	}
}

// dueModels lists the models in use whose sample is old, and forgets others.
func (c *Catalog) dueModels() []id.Model {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var due []id.Model
	for model, known := range c.serving {
		switch {
		case now.Sub(known.used) > forgetModel:
			delete(c.serving, model)
		case now.Sub(known.read) >= c.options.Refresh:
			due = append(due, model)
		}
	}
	slices.Sort(due)
	return due
}

// refresh asks the directory for the owned workers and for samples of models.
func (c *Catalog) refresh(ctx context.Context, models []id.Model) error {
	c.mutex.Lock()
	request := CatalogRequest{Node: c.options.View().Self.Node, Owned: c.digest, Models: models}
	c.mutex.Unlock()
	answer, err := ask(ctx, c, MethodCatalog, request, c.handleCatalog)
	if err != nil {
		return err
	}
	c.take(answer)
	return nil
}

func (c *Catalog) take(answer CatalogAnswer) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if answer.Changed {
		c.digest = answer.Digest
		c.owned = answer.Owned
	}
	for _, sample := range answer.Serving {
		known := &servingModel{read: now, used: now}
		if before, ok := c.serving[sample.Model]; ok {
			known.used = before.used
		}
		for _, machine := range sample.Workers {
			known.workers = append(known.workers, id.Worker(machine.ID))
			c.located.put(id.Worker(machine.ID), locatedMachine{machine, now})
		}
		c.serving[sample.Model] = known
	}
}

// ask sends a request to the directory, best ranked node first; a node of the
// directory answers itself once it has read the list.
func ask[Answer, Request any](ctx context.Context, c *Catalog, method string, request Request, here func(context.Context, Request) (Answer, error)) (Answer, error) {
	if c.alone() || c.inDirectory() && c.directory.ready() {
		return here(ctx, request)
	}
	var answer Answer
	err := error(fault.New(fault.Unavailable, "no node of the worker directory is known", "wait for nodes to join"))
	view := c.options.View()
	for _, m := range DirectoryOf(view) {
		if m.Node == view.Self.Node {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, catalogTimeout)
		answer, err = peer.Invoke[Answer](limited, c.options.Transport, m.Address, method, request)
		cancel()
		if err == nil || fault.Is(err, fault.NotFound) {
			break
		}
	}
	return answer, err
}

// Owned lists the workers that this node should own, as the directory sees it.
// The slice must not be changed.
func (c *Catalog) Owned() []outside.Machine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.owned
}

// Serving lists workers that can serve a model and take new work: all of them
// where they are few, a sample otherwise. The slice must not be changed.
func (c *Catalog) Serving(ctx context.Context, model id.Model) []id.Worker {
	if workers, ok := c.knownServing(model); ok {
		return workers
	}
	_, _, _ = c.asking.Do("serving "+string(model), func() (any, error) {
		return nil, c.refresh(ctx, []id.Model{model})
	})
	workers, _ := c.knownServing(model)
	return workers
}

// knownServing returns the sample of a model; an empty one is not known, since
// a worker may have come since.
func (c *Catalog) knownServing(model id.Model) ([]id.Worker, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, ok := c.serving[model]
	if !ok {
		return nil, false
	}
	known.used = time.Now()
	return known.workers, len(known.workers) > 0
}

// Locate returns where a worker is and which node owns it now.
func (c *Catalog) Locate(ctx context.Context, worker id.Worker) (Location, bool) {
	machine, ok := c.find(ctx, worker)
	if !ok || machine.Gone {
		return Location{}, false
	}
	holder, ok := c.owners.find(c.options.View(), worker, machine.Zone, machine.Region)
	if !ok {
		return Location{}, false
	}
	return Location{
		Worker: worker,
		Zone:   machine.Zone,
		Region: machine.Region,
		Owner:  holder.Address,
		Models: machine.Models,
	}, true
}

// locatedFor is how long an answer about one worker counts.
const locatedFor = 5 * time.Minute

func (c *Catalog) find(ctx context.Context, worker id.Worker) (outside.Machine, bool) {
	known, ok := c.located.get(worker)
	if ok && time.Since(known.read) < locatedFor {
		return known.machine, true
	}
	found, err, _ := c.asking.Do("locate "+string(worker), func() (any, error) {
		return ask(ctx, c, MethodLocate, LocateRequest{worker}, c.handleLocate)
	})
	if err != nil {
		// A directory that does not answer takes nothing away.
		return known.machine, ok && !fault.Is(err, fault.NotFound)
	}
	machine := found.(outside.Machine)
	c.located.put(worker, locatedMachine{machine, time.Now()})
	return machine, true
}
