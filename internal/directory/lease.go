package directory

import (
	"context"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Hints need no proof of ownership, but permits do: two owners of one slot would issue the same
// part of a limit twice. When the store confirms an ownership, the owner may issue permits for
// leaseDuration, counted from when it sent the request. A process that takes a slot over from one
// that may still be running waits for leaseDuration before it issues any. Both measure with their
// own monotonic clock, so an owner that resumes after a pause finds its lease expired.

// leaseDuration is how long a confirmed ownership lets the owner issue permits. It outlasts most
// outages of the store. It is also how long no permits are issued for a slot after it was taken
// over from a failed owner.
const leaseDuration = 4 * time.Second

// MaxLeaseDuration is how long a process that lost a slot without noticing may go on issuing permits.
const MaxLeaseDuration = leaseDuration

// ownership is a continuous ownership of a slot by this process.
type ownership struct {
	number      uint64       // increases with each acquisition by this process
	issueFrom   time.Time    // earliest time to issue permits; earlier owners' leases have expired by then
	confirmedAt time.Time    // send time of the last request that confirmed the ownership; zero if none
	prior       PriorPermits // permits that earlier owners may have issued
	acquiredAt  time.Time    // when this process acquired the slot
	// granted holds the grants made, by program.
	granted map[string]grantRecord
}

// PriorPermits is the permits that a new owner must assume its predecessors to have issued. They
// always include the base part of each limit, which is issued without a record in the store.
type PriorPermits struct {
	All              bool     // the full limit of every tenant
	FullLimitTenants []string // tenants whose full limit may be issued
}

// MayHaveIssued reports whether permits for the full limit of a tenant may have been issued.
func (p PriorPermits) MayHaveIssued(tenant string) bool {
	return p.All || slices.Contains(p.FullLimitTenants, tenant)
}

// Lease is an owner's right to issue permits against the limits that belong to a slot.
type Lease struct {
	Number           uint64       // identifies the ownership; differs if the slot was lost and acquired again
	Since            time.Time    // start of the lease; earlier owners issue nothing from then on
	Until            time.Time    // end of the lease unless it is renewed
	Prior            PriorPermits // permits that earlier owners may have issued
	FullLimitTenants []string     // tenants whose full limit may be issued, as recorded in the store
}

// Valid reports whether the owner may issue permits at time now.
func (l Lease) Valid(now time.Time) bool { return !now.Before(l.Since) && now.Before(l.Until) }

// Lease returns this process's lease of a slot. ok is false if this process does not own the slot.
func (d *Directory) Lease(slot int) (lease Lease, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	held, ok := d.ownerships[slot]
	if !ok || d.owners[slot].Process != d.options.Self.Process {
		return Lease{}, false
	}
	return Lease{
		Number:           held.number,
		Since:            held.issueFrom,
		Until:            held.confirmedAt.Add(leaseDuration),
		Prior:            held.prior,
		FullLimitTenants: d.owners[slot].priorPermits.FullLimitTenants,
	}, true
}

// Owners returns the other processes that own slots, each once.
func (d *Directory) Owners() []budget.Holder {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var owners []budget.Holder
	for _, known := range d.owners {
		if known.Process != "" && known.Process != d.options.Self.Process && !slices.Contains(owners, known.Holder) {
			owners = append(owners, known.Holder)
		}
	}
	return owners
}

// Claims returns the store conditions that hold as long as this process owns its slots.
func (d *Directory) Claims() []store.Condition {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var claims []store.Condition
	for slot := range d.ownerships {
		if known := d.owners[slot]; known.Process == d.options.Self.Process {
			claims = append(claims, store.Condition{Key: keyOf(slot), Version: known.revision})
		}
	}
	return claims
}

// ConfirmClaims renews the leases of the claims that the store confirmed in a request sent at time sent.
func (d *Directory) ConfirmClaims(claims []store.Condition, sent time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for slot, held := range d.ownerships {
		claim := store.Condition{Key: keyOf(slot), Version: d.owners[slot].revision}
		if slices.Contains(claims, claim) && sent.After(held.confirmedAt) {
			held.confirmedAt = sent
		}
	}
}

// HandleConflict handles a conflict on a request sent at time sent with claims as conditions. It applies
// the rows in the conflict and renews the leases of the claims that did hold.
func (d *Directory) HandleConflict(claims []store.Condition, conflict *store.Conflict, sent time.Time) {
	var confirmed []store.Condition
	for _, claim := range claims {
		stored := conflict.Find(claim.Key)
		if stored.Version == claim.Version {
			confirmed = append(confirmed, claim)
			continue
		}
		d.applyRow(stored)
	}
	d.ConfirmClaims(confirmed, sent)
}

// updateOwnership begins or ends this process's ownership of a slot after its row has changed from
// before. The caller must hold d.mutex.
func (d *Directory) updateOwnership(slot int, before owner) {
	if d.owners[slot].Process != d.options.Self.Process {
		delete(d.ownerships, slot)
		return
	}
	if _, ok := d.ownerships[slot]; ok || d.leaving {
		return
	}
	d.acquisitions++
	held := &ownership{number: d.acquisitions, issueFrom: time.Now(), acquiredAt: time.Now(), prior: before.priorPermits}
	if before.Process == d.options.Self.Process {
		held.prior = PriorPermits{All: true} // the response to the claim was lost, and the previous row with it
	}
	mayLive := before.Process != "" && before.Address != d.options.Self.Address
	switch {
	case mayLive || before.Process == d.options.Self.Process:
		held.issueFrom = held.issueFrom.Add(leaseDuration)
	case before.Process != "":
		held.issueFrom = d.started // the previous process at this address ended before this one started
	}
	d.ownerships[slot] = held
}

// endLeases ends all leases for shutdown.
func (d *Directory) endLeases() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.leaving = true
	d.recordUngranted()
	clear(d.ownerships)
}

// MarkSettled clears Unsettled in the row of one slot that this process has owned for so long that all
// permits of its predecessors have expired. It reports whether there was such a slot, also if the
// write failed.
func (d *Directory) MarkSettled(ctx context.Context) bool {
	slot, ok := d.slotToSettle()
	if !ok {
		return false
	}
	d.rewrite(ctx, slot, func(tenants []string) []string { return tenants }, "marked the directory slot as settled")
	return true
}

func (d *Directory) slotToSettle() (int, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for slot := range d.ownerships {
		if d.owners[slot].priorPermits.All && d.priorPermitsExpired(slot) {
			return slot, true
		}
	}
	return 0, false
}

// priorPermitsExpired reports whether all permits issued before this process owned the slot have
// expired. The caller must hold d.mutex.
func (d *Directory) priorPermitsExpired(slot int) bool {
	held, ok := d.ownerships[slot]
	return ok && time.Since(held.issueFrom) > d.options.PermitDuration
}

// AllowFullLimit records in the store that permits for the full limit of a tenant may be issued
// from now on, so that the slot's next owner takes it into account. Lease shows the tenant once the
// store has it. AllowFullLimit returns true if the store has confirmed the write; no earlier write
// can take effect after that.
func (d *Directory) AllowFullLimit(ctx context.Context, slot int, tenant string) bool {
	return d.rewrite(ctx, slot, func(tenants []string) []string {
		if slices.Contains(tenants, tenant) {
			return tenants
		}
		return append(slices.Clone(tenants), tenant)
	}, "allowed the full limit of a tenant in the directory slot")
}

// RevokeFullLimit reverts AllowFullLimit. The caller must already have stopped issuing more than
// the base part.
func (d *Directory) RevokeFullLimit(ctx context.Context, slot int, tenant string) {
	d.rewrite(ctx, slot, func(tenants []string) []string {
		return slices.DeleteFunc(slices.Clone(tenants), func(name string) bool { return name == tenant })
	}, "revoked the full limit of a tenant in the directory slot")
}

// rewrite updates the row of a slot that this process owns, with the tenants whose full limit is
// allowed changed by update. Rewrites are serialized, so that none overwrites another's change.
// event is the log message on success.
func (d *Directory) rewrite(ctx context.Context, slot int, update func(tenants []string) []string, event string) (written bool) {
	select {
	case d.rewriteLock <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-d.rewriteLock }()
	d.mutex.Lock()
	if _, ok := d.ownerships[slot]; !ok {
		d.mutex.Unlock()
		return false
	}
	known := d.owners[slot].priorPermits
	next := rowOf(d.options.Self)
	next.Raised = update(known.FullLimitTenants)
	next.Unsettled = known.All && !d.priorPermitsExpired(slot)
	d.mutex.Unlock()
	written, err := d.put(ctx, slot, next, event)
	if err != nil && ctx.Err() == nil {
		d.options.Logger.WithError(err).WithField("slot", slot).Warn("failed to write the directory slot; will retry")
	}
	return written
}
