package directory

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// row is the stored form of a slot. An empty Process means that the slot is vacant.
type row struct {
	Process string
	Address string
	// Unsettled means that permits of unknown earlier owners may still be in effect.
	Unsettled bool
	// Raised lists the tenants whose full limit may be issued.
	Raised []string
	// Grants is the state of grants from program budgets.
	Grants grants
}

func rowOf(holder budget.Holder) row { return row{Process: holder.Process, Address: holder.Address} }

// owner returns the slot's state with the row at a revision.
func (r row) owner(revision store.Version) owner {
	return owner{
		Holder:       budget.Holder{Process: r.Process, Address: r.Address},
		revision:     revision,
		priorPermits: PriorPermits{All: r.Unsettled, FullLimitTenants: r.Raised},
		grants:       r.Grants,
	}
}

// change is a planned write of a slot's row.
type change struct {
	slot   int
	next   row
	before owner // the state that it replaces
}

// put writes a slot's row if the store still has the known revision. If another node has changed the
// row, put applies that row instead and returns written false without an error.
func (d *Directory) put(ctx context.Context, slot int, next row, event string) (written bool, err error) {
	return d.putAll(ctx, []change{{slot: slot, next: next}}, event)
}

// putAll writes the rows of several slots as put does, all or none.
func (d *Directory) putAll(ctx context.Context, changes []change, event string) (written bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	transaction, err := d.transaction(changes)
	if err != nil {
		return false, err
	}
	sent := time.Now()
	version, err := d.options.Store.Commit(ctx, transaction)
	var refused *store.Conflict
	if errors.As(err, &refused) {
		for _, planned := range changes {
			d.applyRow(refused.Find(keyOf(planned.slot)))
		}
		return false, nil
	}
	if err != nil {
		return false, err
	}
	for _, done := range changes {
		d.applyWritten(done, version, sent)
		d.options.Logger.WithField("slot", done.slot).WithField("before", done.before.Process).WithField("revision", uint64(version)).Info(event)
	}
	return true, nil
}

// transaction builds the write of changes, and fills in the state that each change replaces.
func (d *Directory) transaction(changes []change) (transaction store.Transaction, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for index := range changes {
		planned := &changes[index]
		planned.before = d.owners[planned.slot]
		planned.next.Grants = d.grantsAfter(planned.slot, planned.next, planned.before)
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(planned.next); err != nil {
			return store.Transaction{}, err
		}
		key := keyOf(planned.slot)
		transaction.Conditions = append(transaction.Conditions, store.Condition{Key: key, Version: planned.before.revision})
		transaction.Put = append(transaction.Put, store.Row{Key: key, Value: encoded.Bytes()})
	}
	return transaction, nil
}

// applyWritten applies a row that this process wrote in a request sent at time sent, unless a newer
// row has been applied meanwhile.
func (d *Directory) applyWritten(done change, version store.Version, sent time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.owners[done.slot].revision <= version {
		d.owners[done.slot] = done.next.owner(version)
		delete(d.suspicions, done.slot)
		d.updateOwnership(done.slot, done.before)
	}
	if held, ok := d.ownerships[done.slot]; ok && d.owners[done.slot].revision == version {
		held.confirmedAt = sent
	}
}

func keyOf(slot int) store.Key {
	return store.Key{Table: Table, Part: slotsPart, Name: fmt.Sprintf("%02d", slot)}
}
