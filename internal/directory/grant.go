package directory

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// The owner of a slot grants a part of the budgets of the slot's programs from memory. This needs
// no lease: each ownership of a slot has a part of its own, and the slot's row counts the earlier
// owners that may have granted. A successor never grants from the part of its predecessor, so both
// may grant at the same time, and what a crashed owner granted is not granted again. Once all parts
// are used up, nothing is granted until the earlier owners expire after earlierOwnersTTL.

const (
	// earlierOwnersTTL is how long one process must own a slot before its earlier owners no longer
	// count. A program that runs for longer could be granted a part twice.
	earlierOwnersTTL = 24 * time.Hour
	// maxGrantStaleness is how long after its last successful read of the slots an owner may grant. It
	// must outlast store outages and be much shorter than earlierOwnersTTL.
	maxGrantStaleness = time.Hour
	// grantTimeout is the timeout of a grant request. It is longer than that of a hint, since the
	// owner keeps what it grants reserved for the sender.
	grantTimeout = 150 * time.Millisecond
	// maxGrants limits the grants remembered per ownership of a slot, about 200 bytes each. In a
	// 10 s outage, each of 64 owners is expected to see some 2,000 new programs.
	maxGrants = 20_000
)

// grants is the grant state in a slot's row. Nodes of versions without grants leave it zero.
type grants struct {
	Known bool // the row was written by a version that supports grants
	// Earlier counts the earlier owners that may have granted to programs that are still running.
	Earlier int
	// Clean says that the slot is vacant and that its last owner, which Earlier does not count,
	// granted nothing.
	Clean bool
}

// mayGrant reports whether the owner of a slot in this state may grant.
func (g grants) mayGrant() bool { return g.Known && g.Earlier < budget.OwnedParts }

// successor returns the state for the next owner of the slot, given the row's revision (0 if there
// is no row). Nodes of versions without grants may let programs draw their whole budget, so after
// such an owner all parts count as used.
func (g grants) successor(revision store.Version) grants {
	switch {
	case revision == 0:
		return grants{Known: true}
	case !g.Known:
		return grants{Known: true, Earlier: budget.OwnedParts}
	case g.Clean:
		return grants{Known: true, Earlier: g.Earlier}
	}
	return grants{Known: true, Earlier: min(g.Earlier+1, budget.OwnedParts)}
}

// grantsAfter returns the grant state to write when next replaces before. The caller must hold
// d.mutex, and must read the revision for the write's condition under the same lock.
func (d *Directory) grantsAfter(slot int, next row, before owner) grants {
	self := d.options.Self.Process
	kept := before.grants
	switch {
	case next.Process == "":
		kept.Clean = before.Process == self && d.ungranted[slot] == before.grants
		return kept
	case before.Process != self:
		return before.grants.successor(before.revision)
	}
	if held, ok := d.ownerships[slot]; ok && time.Since(held.acquiredAt) > earlierOwnersTTL {
		return grants{Known: true}
	}
	return kept
}

// GrantRequest asks the owner of a program's slot to grant its part of the program's budget.
type GrantRequest struct {
	Process string // process that the request is meant for
	Program string
	Tokens  int           // size of the part
	From    budget.Holder // the sender
	// Number identifies this request among all requests of the sender. A retry uses the same
	// number and gets the same tokens.
	Number uint64
}

// GrantAnswer is the owner's reply to a GrantRequest.
type GrantAnswer struct {
	Owner bool // whether the receiver owns the program's slot
	Grant budget.Grant
}

// GrantPeers sends grant requests to other nodes.
type GrantPeers interface {
	Grant(ctx context.Context, address string, request GrantRequest) (GrantAnswer, error)
}

// GrantOutcome is the owner's decision on a grant request, used as a metric label.
type GrantOutcome string

// Outcomes of a grant request.
const (
	GrantMade      GrantOutcome = "granted"  // the part was granted
	GrantRepeated  GrantOutcome = "repeated" // a retry of a request that was granted before
	GrantTaken     GrantOutcome = "taken"    // this owner's part was already granted to another request
	GrantExhausted GrantOutcome = "doubt"    // earlier owners may have granted all parts
	GrantStale     GrantOutcome = "lapsed"   // the last read of the slots is older than maxGrantStaleness
	GrantFull      GrantOutcome = "full"     // maxGrants grants are remembered already
)

// grantRecord is a grant that this process made.
type grantRecord struct {
	taker  budget.Holder
	number uint64
	tokens int
}

// Grant implements budget.Granter. It returns false if the owner of the program's slot is unknown
// or did not answer.
func (d *Directory) Grant(ctx context.Context, program string, tokens int, number uint64) (budget.Grant, bool) {
	slot := d.grantSlotOf(program)
	d.mutex.Lock()
	asked := d.owners[slot].Holder // suspected owners too: a retry may have to collect an earlier grant
	if asked.Process == "" {
		d.refreshVacant()
	}
	d.mutex.Unlock()
	if asked.Process == "" {
		return budget.Grant{}, false
	}
	request := GrantRequest{Process: asked.Process, Program: program, Tokens: tokens, From: d.options.Self, Number: number}
	if asked.Process == d.options.Self.Process {
		answer := d.HandleGrantRequest(request)
		return answer.Grant, answer.Owner
	}
	limited, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	answer, err := d.options.Grants.Grant(limited, asked.Address, request)
	if ctx.Err() != nil && err != nil {
		return budget.Grant{}, false
	}
	if err != nil || !answer.Owner {
		d.RecordNoAnswer(slot, asked)
		return budget.Grant{}, false
	}
	d.RecordAnswer(slot)
	return answer.Grant, true
}

// grantSlotOf returns the slot whose owners grant parts of a program's budget. There is one over all
// regions; with one per region, a program whose turns enter through two regions would be granted
// each part twice.
func (d *Directory) grantSlotOf(program string) int {
	hash := xxhash.Sum64String(program)
	return d.layout.RoundRobinSlot(hash/slotsPerRegion, hash)
}

// HandleGrantRequest handles a grant request from another node.
func (d *Directory) HandleGrantRequest(request GrantRequest) GrantAnswer {
	slot := d.grantSlotOf(request.Program)
	if request.Process != d.options.Self.Process || request.Tokens <= 0 {
		return GrantAnswer{}
	}
	grant, outcome, owner := d.decideGrant(slot, request)
	if !owner {
		return GrantAnswer{}
	}
	d.record(Request{Program: request.Program, From: request.From})
	if d.options.OnGrantOutcome != nil {
		d.options.OnGrantOutcome(outcome)
	}
	d.options.Logger.WithField("program", request.Program).WithField("outcome", string(outcome)).
		WithField("tokens", grant.Tokens).WithField("asker", request.From.Process).Info("handled grant request")
	return GrantAnswer{Owner: true, Grant: grant}
}

// decideGrant decides on a request and records the grant. owner is false if this process does not
// own the slot.
func (d *Directory) decideGrant(slot int, request GrantRequest) (grant budget.Grant, outcome GrantOutcome, owner bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	held, ok := d.ownerships[slot]
	known := d.owners[slot]
	if !ok || known.Process != d.options.Self.Process {
		return budget.Grant{}, "", false
	}
	if before, ok := held.granted[request.Program]; ok {
		if before.taker == request.From && before.number == request.Number {
			return budget.Grant{Tokens: before.tokens}, GrantRepeated, true
		}
		return budget.Grant{Taker: before.taker}, GrantTaken, true
	}
	switch {
	case !known.grants.mayGrant():
		return budget.Grant{}, GrantExhausted, true
	case time.Since(d.lastRead) > maxGrantStaleness:
		return budget.Grant{}, GrantStale, true
	case len(held.granted) >= maxGrants:
		return budget.Grant{}, GrantFull, true
	}
	if held.granted == nil {
		held.granted = map[string]grantRecord{}
	}
	held.granted[request.Program] = grantRecord{taker: request.From, number: request.Number, tokens: request.Tokens}
	return budget.Grant{Tokens: request.Tokens}, GrantMade, true
}

// recordUngranted records, at shutdown, the slots in which this process has granted nothing. The caller
// must hold d.mutex.
func (d *Directory) recordUngranted() {
	for slot, held := range d.ownerships {
		if len(held.granted) == 0 {
			d.ungranted[slot] = d.owners[slot].grants
		}
	}
}

// CountGrantableSlots returns the number of slots that this process owns, and in how many of them it may
// grant.
func (d *Directory) CountGrantableSlots() (may, owned int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for slot := range d.ownerships {
		owned++
		if d.owners[slot].grants.mayGrant() {
			may++
		}
	}
	return may, owned
}

// clearEarlierOwners clears the count of earlier owners in the row of one slot that this process has
// owned for longer than earlierOwnersTTL, if there is one.
func (d *Directory) clearEarlierOwners(ctx context.Context) {
	slot, ok := d.slotWithExpiredOwners()
	if ok {
		d.rewrite(ctx, slot, func(tenants []string) []string { return tenants }, "cleared the earlier owners of a directory slot")
	}
}

func (d *Directory) slotWithExpiredOwners() (int, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for slot, held := range d.ownerships {
		if d.owners[slot].grants.Earlier > 0 && time.Since(held.acquiredAt) > earlierOwnersTTL {
			return slot, true
		}
	}
	return 0, false
}
