package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// This file asks the table for the proofs that knowledge keeps.

const (
	// askSpacing is the pause between two questions to the table, longer by as much for each
	// that is unanswered, and maxAsking how many are under way: a table that is silent loses
	// all that wait for it, and one that is slow answers late; both are learnt soon this way.
	askSpacing = 400 * time.Millisecond
	maxAsking  = 4
	// proveTimeout bounds each: a crowded table answers after a second.
	proveTimeout = 1500 * time.Millisecond
	// readFor is for how long questions are reads after one that failed. A transaction that
	// changes nothing is smaller than the rows, but waits its turn among the writes of its part.
	readFor = 5 * time.Second
	// The pauses after questions to the table that failed: owners come back sooner.
	firstAskPause        = 150 * time.Millisecond
	longestOwnerPause    = 600 * time.Millisecond
	longestStrangerPause = 4 * time.Second
)

// asking is what is known of questions to the table.
type asking struct {
	underWay int
	last     time.Time     // when the newest was sent
	again    time.Time     // before which none is sent
	pause    time.Duration // after the last one that failed; 0: it was answered
	reads    time.Time     // until when questions are reads
}

// askTable asks the table, without waiting for its answer, unless it has just been asked.
// After a failure it is not asked for a while, for longest at most.
func (k *knowledge) askTable(ctx context.Context, claims []store.Condition, longest time.Duration) {
	if !k.mayAsk() {
		return
	}
	go func() {
		err := k.question(ctx, claims)
		k.noteAnswer(ctx, err, longest)
		if err == nil && len(claims) > 0 {
			k.programs.Settle(ctx)
		}
	}()
}

// mayAsk reports whether the table may be asked now, and notes that it is.
func (k *knowledge) mayAsk() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	spacing := time.Duration(1+k.asking.underWay) * askSpacing
	if k.asking.underWay >= maxAsking || now.Before(k.asking.again) || now.Sub(k.asking.last) < spacing {
		return false
	}
	k.asking.underWay++
	k.asking.last = now
	return true
}

// question asks whether the configuration is the newest and this process owns its slots: by
// a transaction that changes nothing and holds only if all is as believed. (A call that
// waits for changes proves nothing by its silence.)
func (k *knowledge) question(ctx context.Context, claims []store.Condition) error {
	if k.mustRead() {
		return k.read(ctx, claims)
	}
	row := k.configurationRow()
	conditions := append([]store.Condition{{Key: row.Key, Version: row.Version}}, claims...)
	ctx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	sent := time.Now()
	_, err := k.table.Commit(ctx, store.Transaction{Conditions: conditions})
	var conflict *store.Conflict
	switch {
	case err == nil:
		k.fresh.Prove(row.Version, sent)
		k.proveClaims(claims, nil, sent)
	case errors.As(err, &conflict):
		k.takeRow(conflict.Find(row.Key), sent)
		k.proveClaims(claims, conflict, sent)
	}
	return err
}

func (k *knowledge) mustRead() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return time.Now().Before(k.asking.reads)
}

// read asks the same by reading the rows.
func (k *knowledge) read(ctx context.Context, claims []store.Condition) error {
	known := k.configurationRow()
	if known.Version == 0 {
		return nil // the follower reads it first
	}
	ctx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	sent := time.Now()
	page, err := k.table.Range(ctx, known.Table, known.Part, known.Name, known.Name+"\x00", 1)
	if err != nil {
		return err
	}
	if len(page.Rows) > 0 {
		k.takeRow(page.Rows[0], sent)
	}
	if len(claims) == 0 {
		return nil
	}
	sent = time.Now()
	if page, err = k.table.Range(ctx, claims[0].Table, claims[0].Part, "", "", 0); err != nil {
		return err
	}
	k.proveClaims(claims, &store.Conflict{Rows: page.Rows}, sent)
	return nil
}

// noteAnswer notes whether the table has answered, and logs when that changes.
func (k *knowledge) noteAnswer(ctx context.Context, err error, longest time.Duration) {
	age := k.proofAge()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.asking.underWay--
	entry := k.options.Logger.WithField("proof_ms", age)
	switch {
	case store.Answered(err):
		if k.asking.pause > 0 {
			entry.Info("configuration proven to be the newest again")
		}
		k.asking.pause, k.asking.again = 0, time.Time{}
	case ctx.Err() != nil:
	default:
		if k.asking.pause == 0 {
			entry.WithError(err).Warn("configuration not proven to be the newest, trying again")
		}
		k.asking.reads = time.Now().Add(readFor)
		k.asking.pause = min(max(2*k.asking.pause, firstAskPause), longest)
		k.asking.again = time.Now().Add(k.asking.pause/2 + rand.N(k.asking.pause))
	}
}
