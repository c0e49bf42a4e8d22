// Package directory tells a node which other processes have had turns of a program
// lately, by one message and without the table. Programs fall into slots by a hash
// of their name; each slot is owned by one process, which remembers who asked for
// the slot's programs. The table says which process owns which slot. Each region has slots
// of its own, owned by its processes: a program's turns enter through one region.
//
// What a directory says of programs is a hint. A wrong or missing one costs a call to the
// table and breaks no promise, so entries are in memory only. What an owner lends out of
// tenants' limits is no hint: for that, owners have leases (see Lease).
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
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// slots is the number of slots of a region. At the size to build towards (420 nodes in 3
	// regions, 150,000 programs) an owner has one or two, and a slot 780 programs.
	slots = 64
	// An owner is waited for as long as answers from its place are seen to take, from
	// locateWait to longestLocateWait. A message within a region takes 1 to 3 ms, a call
	// to the table about 12 ms.
	locateWait        = 30 * time.Millisecond
	longestLocateWait = 200 * time.Millisecond
	// forgetAfter is how long a program may rest before its entry is dropped; the
	// same as for an account of the budget.
	forgetAfter = 3 * time.Minute
	// maxEntries bounds the programs that a process remembers: 10 MB at most.
	maxEntries = 50_000
	// maxHolders is how many processes an entry remembers; no turn asks more.
	maxHolders = 4
)

// Request tells the owner of a slot of a turn of a program, and asks what it knows.
type Request struct {
	Process string // that is asked; another one at its address is not the owner
	Program string
	From    budget.Holder // the asker, who has a turn of the program now
	Spent   int           // size of the turn that the table has just refused to it; 0: none
	// Returned says that the asker has just given tokens back to the table.
	Returned bool
	// Probe only asks whether the process owns Slot; nothing is noted.
	Probe bool
	Slot  int
}

// Answer is what the owner knows.
type Answer struct {
	Owner   bool // the process asked owns the program's slot
	Located budget.Located
}

// Peers asks other nodes.
type Peers interface {
	Locate(ctx context.Context, address string, request Request) (Answer, error)
}

// Options of a Directory.
type Options struct {
	Store store.Store
	Self  budget.Holder
	Peers Peers
	// Patience is how long other nodes' answers are seen to take; nil: not known.
	Patience wait.Patience
	// Vantage is where this node stands: it owns slots of its region alone.
	Vantage locality.Vantage
	// LentFor is how long what an owner has lent counts; after that, what its
	// predecessors have lent does not.
	LentFor time.Duration
	// Grants asks other nodes for grants, and CountGrant counts this node's answers; nil: it does not.
	Grants     GrantPeers
	CountGrant func(GrantOutcome)
	Logger     log.Interface
}

// Directory is this process's view of the slots, and the entries of those it owns.
type Directory struct {
	options Options
	layout  Layout
	region  int           // the place of this node's region in the layout
	wake    chan struct{} // the view of the slots is in doubt

	mutex      sync.Mutex
	owners     []owner           // by slot
	revision   store.Version     // of the newest change of a slot that was taken over
	whole      bool              // all slots were read
	suspicions map[int]suspicion // slots whose owner did not answer
	heard      time.Time         // when another owner last answered
	entries    map[string]*entry // by program
	swept      time.Time
	tenures    map[int]*tenure // of the slots that this process owns or has owned
	claims     uint64          // slots that it has taken in its life
	leaving    bool            // it takes none any more
	started    time.Time
	looked     time.Time      // when the last look at the slots that succeeded was begun
	unused     map[int]grants // slots of which it has granted nothing, since it leaves

	rewriting chan struct{} // holds one entry while this process writes a slot that it owns
}

// owner is who owns a slot, as the table says. Its zero value is a vacant slot.
type owner struct {
	budget.Holder
	revision store.Version
	bequest  Bequest
	grants   grants
}

// entry is what is remembered of a program.
type entry struct {
	holders []budget.Holder // the newest last
	used    time.Time
	spent   int // size of the last turn that the table refused; 0: none
	spentAt time.Time
}

// located is what an entry tells a process.
func (e *entry) located(asker budget.Holder, now time.Time) (located budget.Located) {
	for _, holder := range slices.Backward(e.holders) {
		if holder != asker {
			located.Holders = append(located.Holders, holder)
		}
	}
	if e.spent > 0 {
		located.Spent, located.SpentAgo = e.spent, now.Sub(e.spentAt)
	}
	return located
}

// note takes in a process's turn.
func (e *entry) note(request Request, now time.Time) {
	asker := request.From
	e.used = now
	if request.Spent > 0 {
		e.spent, e.spentAt = request.Spent, now
	}
	if request.Returned {
		e.spent = 0
		return // the asker stops
	}
	e.holders = slices.DeleteFunc(e.holders, func(holder budget.Holder) bool { return holder == asker })
	if len(e.holders) == maxHolders {
		e.holders = slices.Delete(e.holders, 0, 1)
	}
	e.holders = append(e.holders, asker)
}

// New returns a directory that knows no slot yet.
func New(options Options) *Directory {
	layout := NewLayout(options.Vantage.Places)
	return &Directory{
		options:    options,
		layout:     layout,
		region:     layout.index(options.Vantage.Region()),
		owners:     make([]owner, layout.Count()),
		wake:       make(chan struct{}, 1),
		suspicions: map[int]suspicion{},
		entries:    map[string]*entry{},
		tenures:    map[int]*tenure{},
		unused:     map[int]grants{},
		rewriting:  make(chan struct{}, 1),
		swept:      time.Now(),
		started:    time.Now(),
	}
}

// Locate implements budget.Locator. It tells nothing if the owner of the program's
// slot is not known or does not answer.
func (d *Directory) Locate(ctx context.Context, program string) budget.Located {
	return d.ask(ctx, Request{Program: program, From: d.options.Self})
}

// NoteSpent implements budget.Locator. It does not wait for the owner.
func (d *Directory) NoteSpent(program string, tokens int) {
	go d.ask(context.Background(), Request{Program: program, From: d.options.Self, Spent: tokens})
}

// NoteReturned implements budget.Locator.
func (d *Directory) NoteReturned(ctx context.Context, program string) {
	d.ask(ctx, Request{Program: program, From: d.options.Self, Returned: true})
}

// ask tells the owner of a program's slot of a turn.
func (d *Directory) ask(ctx context.Context, request Request) budget.Located {
	slot := d.slotOf(request.Program)
	asked, ok := d.Owner(slot)
	if !ok {
		return budget.Located{}
	}
	request.Process = asked.Process
	if asked.Process == d.options.Self.Process {
		return d.Answer(request).Located
	}
	limited, cancel := context.WithTimeout(ctx, d.options.Patience.Of(asked.Process, locateWait, longestLocateWait))
	defer cancel()
	answer, err := d.options.Peers.Locate(limited, asked.Address, request)
	if ctx.Err() != nil {
		return budget.Located{}
	}
	if err != nil || !answer.Owner {
		d.Missed(slot, asked)
		return budget.Located{}
	}
	d.Heard(slot)
	return answer.Located
}

// Answer answers another node.
func (d *Directory) Answer(request Request) Answer {
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
	return Answer{Owner: true, Located: d.record(request)}
}

// Owns reports whether this process owns a slot, as far as it knows.
func (d *Directory) Owns(slot int) bool { return d.owns(slot) }

func (d *Directory) owns(slot int) bool {
	if slot < 0 || slot >= len(d.owners) {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.owners[slot].Process == d.options.Self.Process
}

// Owner is the process that owns a slot, as far as this node knows, unless there is none
// or it has just not answered.
func (d *Directory) Owner(slot int) (budget.Holder, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.owners[slot]
	if known.Process == "" {
		return budget.Holder{}, false
	}
	suspected, ok := d.suspicions[slot]
	return known.Holder, !ok || suspected.process != known.Process || time.Since(suspected.last) >= askAgainAfter
}

// record notes a turn of a program, and returns what was known of the program before.
func (d *Directory) record(request Request) budget.Located {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.sweep(now)
	known, ok := d.entries[request.Program]
	if !ok {
		if len(d.entries) >= maxEntries {
			return budget.Located{}
		}
		known = &entry{}
		d.entries[request.Program] = known
	}
	located := known.located(request.From, now)
	known.note(request, now)
	return located
}

// sweep drops the entries of programs at rest, once in a while. The caller holds
// the mutex.
func (d *Directory) sweep(now time.Time) {
	if now.Sub(d.swept) < forgetAfter/4 {
		return
	}
	d.swept = now
	for program, known := range d.entries {
		if now.Sub(known.used) > forgetAfter {
			delete(d.entries, program)
		}
	}
}

// slotOf is the slot of a program whose turns enter through this node's region.
func (d *Directory) slotOf(program string) int {
	return d.region*slots + SlotOf(xxhash.Sum64String(program))
}

// SlotOf is the slot of whatever has the hash given, in the first region.
func SlotOf(hash uint64) int { return int(hash % slots) }
