// Package directory locates the processes that recently handled turns of a program, with one
// message and without reading the store. Programs are hashed into slots. Each slot is owned by
// one process, which keeps its entries in memory; the store records which process owns which
// slot. Each region has its own set of slots, owned by processes of that region. A program uses
// the slots of the region through which its turns enter.
//
// Lookups return hints. A wrong or missing hint costs an extra call to the store and breaks no
// guarantee, so entries are not persisted. Issuing permits against tenants' limits needs
// exclusive ownership; for that, owners hold leases (see Lease).
package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// slotsPerRegion is the number of slots per region. With 420 nodes in 3 regions and 150,000
	// programs, an owner has one or two slots of about 780 programs each.
	slotsPerRegion = 64
	// minLocateTimeout and maxLocateTimeout bound the timeout of a request to an owner; within them,
	// the timeout follows the response times observed from that process. A message within a region
	// takes 1 to 3 ms, a call to the store about 12 ms.
	minLocateTimeout = 30 * time.Millisecond
	maxLocateTimeout = 200 * time.Millisecond
	// entryTTL is how long an entry may stay unused before it is dropped. It equals the
	// lifetime of an idle budget account.
	entryTTL = 3 * time.Minute
	// maxEntries limits the programs that a process has entries for, about 10 MB of memory.
	maxEntries = 50_000
	// maxHolders limits the processes recorded per entry; no turn contacts more.
	maxHolders = 4
)

// Request reports a turn of a program to the owner of its slot and asks for the owner's entry.
type Request struct {
	Process string // process that the request is meant for; any other process answers with Owner false
	Program string
	From    budget.Holder // the sender, which is handling a turn of the program
	Spent   int           // tokens of a turn that the store has just refused for lack of budget; 0 if none
	// Returned reports that the sender has just returned its tokens to the store.
	Returned bool
	// Probe asks only whether the process owns Slot; nothing is recorded.
	Probe bool
	Slot  int
	// Ran names a turn of the program that the sender has run. After names a turn that the sender
	// continues from; the answer says which process ran it. Both may be empty.
	Ran, After string
}

// Answer is the owner's reply to a Request.
type Answer struct {
	Owner   bool // whether the receiver owns the slot; if false, the other fields are empty
	Located budget.Located
	RanBy   budget.Holder // process that ran the turn Request.After; empty Process if unknown
}

// Peers sends requests to other nodes.
type Peers interface {
	Locate(ctx context.Context, address string, request Request) (Answer, error)
}

// Options configures a Directory.
type Options struct {
	Store store.Store
	Self  budget.Holder
	Peers Peers
	// ResponseTimes estimates the response times of other processes; nil if they are not measured.
	ResponseTimes timing.TimeoutFunc
	// Location is the location of this node, which owns slots of its own region only.
	Location locality.Location
	// PermitDuration is how long a permit stays in effect. Once a process has owned a slot for longer,
	// permits issued by its predecessors have expired.
	PermitDuration time.Duration
	// Grants sends grant requests to other nodes. OnGrantOutcome, if not nil, is called with
	// the outcome of each grant request that this node answers.
	Grants         GrantPeers
	OnGrantOutcome func(GrantOutcome)
	Logger         log.Interface
}

// Directory holds this process's view of slot ownership, and the entries of the slots it owns.
type Directory struct {
	options    Options
	layout     Layout
	region     int           // index of this node's region in the layout
	refreshNow chan struct{} // requests an early refresh of the slots

	mutex        sync.Mutex
	owners       []owner           // by slot
	revision     store.Version     // newest version applied
	loaded       bool              // all slots have been read
	suspicions   map[int]suspicion // slots whose owner did not answer
	lastAnswer   time.Time         // when another owner last answered
	entries      map[string]*entry // by program
	lastSweep    time.Time
	ownerships   map[int]*ownership // slots that this process owns
	acquisitions uint64             // number of slots acquired since the process started
	leaving      bool               // shutting down; acquires no more slots
	started      time.Time
	lastRead     time.Time      // start of the last successful read of the slots
	ungranted    map[int]grants // slots in which nothing was granted, as of shutdown

	rewriteLock chan struct{} // semaphore that serializes rewrites of owned slots
}

// owner is a slot's state as last read from the store. The zero value is a vacant slot.
type owner struct {
	budget.Holder
	revision     store.Version
	priorPermits PriorPermits
	grants       grants
}

// entry is what the owner of a slot records about a program.
type entry struct {
	holders []budget.Holder // newest last
	used    time.Time
	spent   int // tokens of the last turn that the store refused; 0 if none
	spentAt time.Time
	turns   []turnRecord // newest last
}

// located returns the entry as a hint for requester, without requester itself.
func (e *entry) located(requester budget.Holder, now time.Time) (located budget.Located) {
	for _, holder := range slices.Backward(e.holders) {
		if holder != requester {
			located.Holders = append(located.Holders, holder)
		}
	}
	if e.spent > 0 {
		located.Spent, located.SpentAgo = e.spent, now.Sub(e.spentAt)
	}
	return located
}

// update records the turn that request reports.
func (e *entry) update(request Request, now time.Time) {
	requester := request.From
	e.used = now
	if request.Spent > 0 {
		e.spent, e.spentAt = request.Spent, now
	}
	if request.Ran != "" {
		e.recordTurn(request.Ran, requester)
	}
	if request.Returned {
		e.spent = 0
		return // the sender holds no tokens any more
	}
	e.holders = slices.DeleteFunc(e.holders, func(holder budget.Holder) bool { return holder == requester })
	if len(e.holders) == maxHolders {
		e.holders = slices.Delete(e.holders, 0, 1)
	}
	e.holders = append(e.holders, requester)
}

// New returns a directory whose slots have not been read yet; Run reads them.
func New(options Options) *Directory {
	layout := NewLayout(options.Location.Zones)
	return &Directory{
		options:     options,
		layout:      layout,
		region:      layout.index(options.Location.OwnRegion()),
		owners:      make([]owner, layout.SlotCount()),
		refreshNow:  make(chan struct{}, 1),
		suspicions:  map[int]suspicion{},
		entries:     map[string]*entry{},
		ownerships:  map[int]*ownership{},
		ungranted:   map[int]grants{},
		rewriteLock: make(chan struct{}, 1),
		lastSweep:   time.Now(),
		started:     time.Now(),
	}
}

// Locate implements budget.Locator. It returns nothing if the owner of the program's slot is
// unknown or does not answer.
func (d *Directory) Locate(ctx context.Context, program string) budget.Located {
	return d.ask(ctx, Request{Program: program, From: d.options.Self}).Located
}

// RecordRefusal implements budget.Locator. It does not wait for the owner's answer.
func (d *Directory) RecordRefusal(program string, tokens int) {
	go d.ask(context.Background(), Request{Program: program, From: d.options.Self, Spent: tokens})
}

// RecordReturned implements budget.Locator.
func (d *Directory) RecordReturned(ctx context.Context, program string) {
	d.ask(ctx, Request{Program: program, From: d.options.Self, Returned: true})
}

// ask sends request to the owner of the program's slot. The answer is empty if the owner is
// unknown or does not answer in time.
func (d *Directory) ask(ctx context.Context, request Request) Answer {
	slot := d.slotOf(request.Program)
	asked, ok := d.Owner(slot)
	if !ok {
		return Answer{}
	}
	request.Process = asked.Process
	if asked.Process == d.options.Self.Process {
		return d.HandleRequest(request)
	}
	limited, cancel := context.WithTimeout(ctx, d.options.ResponseTimes.For(asked.Process, minLocateTimeout, maxLocateTimeout))
	defer cancel()
	answer, err := d.options.Peers.Locate(limited, asked.Address, request)
	if ctx.Err() != nil {
		return Answer{}
	}
	if err != nil || !answer.Owner {
		d.RecordNoAnswer(slot, asked)
		return Answer{}
	}
	d.RecordAnswer(slot)
	return answer
}

// HandleRequest handles a request from another node.
func (d *Directory) HandleRequest(request Request) Answer {
	slot := request.Slot
	if !request.Probe {
		slot = d.slotOf(request.Program)
	}
	if request.Process != d.options.Self.Process || !d.owns(slot) {
		return Answer{}
	}
	if request.Probe {
		return Answer{Owner: true}
	}
	return d.record(request)
}

// Owns reports whether this process owns the slot, according to its view.
func (d *Directory) Owns(slot int) bool { return d.owns(slot) }

func (d *Directory) owns(slot int) bool {
	if slot < 0 || slot >= len(d.owners) {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.owners[slot].Process == d.options.Self.Process
}

// Owner returns the process that owns the slot, according to this node's view. It returns false
// if the slot is vacant or its owner failed to answer within the last ownerRetryDelay. A view in
// which a slot that is asked for is vacant is refreshed: the slot may have been claimed since.
func (d *Directory) Owner(slot int) (budget.Holder, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.owners[slot]
	if known.Process == "" {
		d.refreshVacant()
		return budget.Holder{}, false
	}
	suspected, ok := d.suspicions[slot]
	return known.Holder, !ok || suspected.process != known.Process || time.Since(suspected.lastFailure) >= ownerRetryDelay
}

// refreshVacant requests a refresh because a slot that is vacant in this node's view is needed, unless
// the view is recent. The caller holds the mutex.
func (d *Directory) refreshVacant() {
	if time.Since(d.lastRead) >= vacantRefreshInterval {
		d.RequestRefresh()
	}
}

// record records a turn of a program and returns the entry as it was before.
func (d *Directory) record(request Request) Answer {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.sweep(now)
	known, ok := d.entries[request.Program]
	if !ok {
		if len(d.entries) >= maxEntries {
			return Answer{Owner: true}
		}
		known = &entry{}
		d.entries[request.Program] = known
	}
	answer := Answer{Owner: true, Located: known.located(request.From, now)}
	if request.After != "" {
		answer.RanBy = known.ranBy(request.After)
	}
	known.update(request, now)
	return answer
}

// sweep drops the entries of idle programs, at most once per quarter of entryTTL. The caller
// must hold d.mutex.
func (d *Directory) sweep(now time.Time) {
	if now.Sub(d.lastSweep) < entryTTL/4 {
		return
	}
	d.lastSweep = now
	for program, known := range d.entries {
		if now.Sub(known.used) > entryTTL {
			delete(d.entries, program)
		}
	}
}

// slotOf returns the slot of a program whose turns enter through this node's region.
func (d *Directory) slotOf(program string) int {
	return d.region*slotsPerRegion + SlotOf(xxhash.Sum64String(program))
}

// SlotOf returns the slot that a hash falls into, within the first region.
func SlotOf(hash uint64) int { return int(hash % slotsPerRegion) }
