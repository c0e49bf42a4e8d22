package config

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

const (
	// headKey names the row whose table version equals the head's version, and
	// which holds the entry that made it.
	headKey = "config/head"
	// ringSize is the number of changes before the head that the table keeps. A shard 0
	// that lost its majority catches up from them.
	ringSize = 1024
)

// headTable keeps accepted entries in the platform's table.
type headTable struct{ table outside.Table }

func ringKey(version uint64) string { return fmt.Sprintf("config/change/%04d", version%ringSize) }

// head returns the head's row: its table version is the configuration's
// version, 0 when the table has none.
func (t headTable) head(ctx context.Context) (outside.Row, error) {
	return t.get(ctx, headKey)
}

// get reads a row once, within the time for one round trip.
func (t headTable) get(ctx context.Context, key string) (outside.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableAttempt)
	defer cancel()
	row, err := t.table.Get(ctx, key)
	if err != nil {
		return row, unavailable(err)
	}
	return row, nil
}

// entries reads what follows a version, up to the head's row.
func (t headTable) entries(ctx context.Context, after uint64, head outside.Row) ([]Entry, error) {
	if head.Version <= after {
		return nil, nil
	}
	if head.Version-after > ringSize {
		return nil, fault.Newf(fault.Unavailable, "restore shard 0 from a newer snapshot",
			"configuration version %d is no longer in the table", after+1)
	}
	var entries []Entry
	for version := after + 1; version < head.Version; version++ {
		row, err := t.get(ctx, ringKey(version))
		if err != nil {
			return nil, err
		}
		entry, err := decodeRow(row, version)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	last, err := decodeRow(head, head.Version)
	return append(entries, last), err
}

func decodeRow(row outside.Row, version uint64) (Entry, error) {
	var entry Entry
	if err := peer.Decode(row.Value, &entry); err != nil {
		return entry, err
	}
	if entry.Version != version {
		return entry, fault.Newf(fault.Unavailable, "try again",
			"row %s holds configuration version %d instead of %d", row.Key, entry.Version, version)
	}
	return entry, nil
}

// commit moves the table's head to a prepared entry, after the entry before it
// has been archived in the ring. Anyone may repeat it, because the write is
// recognised by the change id and archived entries are the same whoever writes
// them. It fails with fault.Conflict if the table has another entry at that
// version, and with fault.Unavailable and RanUnknown if ctx ends first.
func (t headTable) commit(ctx context.Context, entry *Entry) error {
	value, err := peer.Encode(*entry)
	if err != nil {
		return err
	}
	var head outside.Row
	err = retried(ctx, func(ctx context.Context) error {
		head, err = t.head(ctx)
		return err
	})
	switch {
	case err != nil:
		return err
	case head.Version == entry.Version && head.Change == entry.ChangeID:
		return nil
	case head.Version != entry.Version-1:
		return overtaken(entry, head.Version)
	}
	if err := t.archive(ctx, head); err != nil {
		return err
	}
	return t.moveHead(ctx, entry, value)
}

// archive copies the head's row to its place in the ring, unless that already
// holds the same version or a later one.
func (t headTable) archive(ctx context.Context, head outside.Row) error {
	if head.Version == 0 {
		return nil
	}
	key := ringKey(head.Version)
	return retried(ctx, func(ctx context.Context) error {
		row, err := t.table.Get(ctx, key)
		if err != nil {
			return err
		}
		var old Entry
		if row.Version > 0 && peer.Decode(row.Value, &old) == nil && old.Version >= head.Version {
			return nil
		}
		_, err = t.table.CompareAndSet(ctx, key, row.Version, head.Value, head.Change)
		return err
	})
}

func (t headTable) moveHead(ctx context.Context, entry *Entry, value []byte) error {
	return retried(ctx, func(ctx context.Context) error {
		_, failed := t.table.CompareAndSet(ctx, headKey, entry.Version-1, value, entry.ChangeID)
		if failed == nil {
			return nil
		}
		// The answer may be lost or belong to a repetition: read back who moved it.
		row, err := t.table.Get(ctx, headKey)
		switch {
		case err != nil:
			return err
		case row.Version == entry.Version && row.Change == entry.ChangeID:
			return nil
		case row.Version >= entry.Version:
			return backoff.Permanent(overtaken(entry, row.Version))
		}
		return failed
	})
}

const (
	tableRetryInitial = 20 * time.Millisecond
	tableRetryMax     = time.Second
	tableAttempt      = time.Second // for one round trip, or two
)

// retried repeats an idempotent table operation until it succeeds, is hopeless
// or ctx ends.
func retried(ctx context.Context, operation func(context.Context) error) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = tableRetryInitial
	policy.MaxInterval = tableRetryMax
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		attempt, cancel := context.WithTimeout(ctx, tableAttempt)
		defer cancel()
		return struct{}{}, operation(attempt)
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	if err != nil && !fault.Is(err, fault.Conflict) {
		return unavailable(err).WithRan(fault.RanUnknown)
	}
	return err
}

func overtaken(entry *Entry, present uint64) *fault.Error {
	return fault.Newf(fault.Conflict, "look at the present version and apply the change again",
		"the table's head is at version %d, so change %s cannot become %d", present, entry.ChangeID, entry.Version)
}

// retryAfter tells operators when to try again while something is down.
const retryAfter = 2 * time.Second

func unavailable(err error) *fault.Error {
	if typed := fault.From(err); typed.Code == fault.Conflict {
		return typed
	}
	return fault.Newf(fault.Unavailable, "try again when the platform's table answers", "the table did not answer: %v", err).WithRetryAfter(retryAfter)
}
