package ledger

import (
	"fmt"
	"maps"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// rowKey names the table's row for all tenants of a shard, so that one write
// draws for many.
func rowKey(shard id.Shard) string { return fmt.Sprintf("ledger/%05d", shard) }

// rowState is the row's content.
type rowState struct{ Entries map[entryKey]rowEntry }

// entryKey names a tenant's period by its start in Unix nanoseconds; zero for a
// budget that is not renewed.
type entryKey struct {
	Tenant id.Tenant
	Start  int64
}

// rowEntry is what is drawn for one tenant.
type rowEntry struct {
	Length time.Duration // of the period; zero: not renewed
	Drawn  int64         // in the period, over all epochs
	Epoch  uint64        // of the group that drew last
	Base   int64         // drawn before that epoch
}

// want asks for tokens to be drawn ahead for one tenant.
type want struct {
	Tenant id.Tenant
	Period time.Time
	Length time.Duration
	Budget int64
	Used   int64 // spent and reserved in this epoch and period
	Ahead  int64 // wanted beyond that
}

func (w want) key() entryKey {
	if w.Period.IsZero() {
		return entryKey{Tenant: w.Tenant}
	}
	return entryKey{Tenant: w.Tenant, Start: w.Period.UnixNano()}
}

func decodeRow(row outside.Row) (rowState, error) {
	state := rowState{Entries: map[entryKey]rowEntry{}}
	if row.Version == 0 {
		return state, nil
	}
	err := peer.Decode(row.Value, &state)
	return state, err
}

// plan returns the row after drawing what is wanted, and what to record of it.
// changed is false when the row has all of it already. It fails with
// fault.Fenced when a later epoch has drawn.
func (r rowState) plan(epoch uint64, now time.Time, wants []want) (next rowState, draws []Draw, changed bool, err error) {
	next = rowState{Entries: maps.Clone(r.Entries)}
	for _, wanted := range wants {
		before := r.Entries[wanted.key()]
		if before.Epoch > epoch {
			return r, nil, false, fault.Newf(fault.Fenced, "ask the leader", "epoch %d has drawn after %d", before.Epoch, epoch)
		}
		after := before.drawn(epoch, wanted)
		next.Entries[wanted.key()] = after
		changed = changed || after != before
		draws = append(draws, Draw{Tenant: wanted.Tenant, Period: wanted.Period, Base: after.Base, Drawn: after.Drawn})
	}
	maps.DeleteFunc(next.Entries, func(key entryKey, e rowEntry) bool { return e.past(key, now) })
	return next, draws, changed, nil
}

func (e rowEntry) drawn(epoch uint64, wanted want) rowEntry {
	e.Length = wanted.Length
	if e.Epoch < epoch {
		e.Epoch, e.Base = epoch, e.Drawn
	}
	e.Drawn = max(e.Drawn, min(e.Base+wanted.Used+wanted.Ahead, wanted.Budget))
	return e
}

// past reports whether an entry can never matter again.
func (e rowEntry) past(key entryKey, now time.Time) bool {
	return e.Length > 0 && now.After(time.Unix(0, key.Start).Add(2*e.Length+forgetAfter))
}
