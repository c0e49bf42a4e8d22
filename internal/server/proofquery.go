package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

const (
	// queryInterval is the minimum time between two store queries; each unanswered query adds as
	// much again. At most maxOutstandingQueries are unanswered at once. Overlapping queries
	// detect both a lost answer and a slow store early.
	queryInterval         = 400 * time.Millisecond
	maxOutstandingQueries = 4
	// queryTimeout bounds one query. An overloaded store may take a second to answer.
	queryTimeout = 1500 * time.Millisecond
	// readFallbackTime is how long queries read rows after a failed query. The usual transaction
	// without writes transfers less, but queues behind the writes of its part.
	readFallbackTime = 5 * time.Second
	// Backoff after failed queries. Slot owners retry sooner.
	initialQueryBackoff = 150 * time.Millisecond
	maxOwnerBackoff     = 600 * time.Millisecond
	maxNonOwnerBackoff  = 4 * time.Second
)

// queryState is the state of the queries to the store.
type queryState struct {
	outstanding int
	lastSent    time.Time     // when the newest query was sent
	notBefore   time.Time     // no query is sent before this time
	backoff     time.Duration // after a failure; 0: the last query was answered
	readUntil   time.Time     // queries read rows until this time
}

// queryStore starts a query without waiting for its answer, unless one was sent recently or the
// store is in backoff. The backoff after a failure grows up to maxBackoff.
func (v *verifier) queryStore(ctx context.Context, claims []store.Condition, maxBackoff time.Duration) {
	if !v.tryStartQuery() {
		return
	}
	go func() {
		err := v.query(ctx, claims)
		v.finishQuery(ctx, err, maxBackoff)
		if err == nil && len(claims) > 0 {
			v.directory.MarkSettled(ctx)
		}
	}()
}

// tryStartQuery reports whether a query may be sent now, and if so counts it as outstanding.
func (v *verifier) tryStartQuery() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := time.Now()
	interval := time.Duration(1+v.queries.outstanding) * queryInterval
	if v.queries.outstanding >= maxOutstandingQueries || now.Before(v.queries.notBefore) || now.Sub(v.queries.lastSent) < interval {
		return false
	}
	v.queries.outstanding++
	v.queries.lastSent = now
	return true
}

// query verifies that the configuration is the newest and that this process owns its slots. It
// commits a transaction without writes whose conditions are the known versions. (A watch that
// delivers no events would not prove this.)
func (v *verifier) query(ctx context.Context, claims []store.Condition) error {
	if v.usesReads() {
		return v.queryByRead(ctx, claims)
	}
	row := v.currentRow()
	conditions := append([]store.Condition{{Key: row.Key, Version: row.Version}}, claims...)
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	sent := time.Now()
	_, err := v.store.Commit(ctx, store.Transaction{Conditions: conditions})
	var conflict *store.Conflict
	switch {
	case err == nil:
		v.fresh.AddProof(row.Version, sent)
		v.recordClaims(claims, nil, sent)
	case errors.As(err, &conflict):
		v.applyRow(conflict.Find(row.Key), sent)
		v.recordClaims(claims, conflict, sent)
	}
	return err
}

func (v *verifier) usesReads() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return time.Now().Before(v.queries.readUntil)
}

// queryByRead verifies the same as query by reading the rows.
func (v *verifier) queryByRead(ctx context.Context, claims []store.Condition) error {
	known := v.currentRow()
	if known.Version == 0 {
		return nil // the follower reads the first configuration
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	sent := time.Now()
	page, err := v.store.Range(ctx, known.Table, known.Part, known.Name, known.Name+"\x00", 1)
	if err != nil {
		return err
	}
	if len(page.Rows) > 0 {
		v.applyRow(page.Rows[0], sent)
	}
	if len(claims) == 0 {
		return nil
	}
	sent = time.Now()
	if page, err = v.store.Range(ctx, claims[0].Table, claims[0].Part, "", "", 0); err != nil {
		return err
	}
	v.recordClaims(claims, &store.Conflict{Rows: page.Rows}, sent)
	return nil
}

// finishQuery records the result of a query and logs when the store starts or stops answering.
func (v *verifier) finishQuery(ctx context.Context, err error, maxBackoff time.Duration) {
	age := v.proofAgeMillis()
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.queries.outstanding--
	entry := v.options.Logger.WithField("proof_ms", age)
	switch {
	case store.IsDefinite(err):
		if v.queries.backoff > 0 {
			entry.Info("configuration verified as the newest again")
		}
		v.queries.backoff, v.queries.notBefore = 0, time.Time{}
	case ctx.Err() != nil:
	default:
		if v.queries.backoff == 0 {
			entry.WithError(err).Warn("cannot verify that the configuration is the newest; retrying")
		}
		v.queries.readUntil = time.Now().Add(readFallbackTime)
		v.queries.backoff = min(max(2*v.queries.backoff, initialQueryBackoff), maxBackoff)
		v.queries.notBefore = time.Now().Add(v.queries.backoff/2 + rand.N(v.queries.backoff))
	}
}
