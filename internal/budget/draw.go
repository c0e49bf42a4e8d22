package budget

import (
	"context"
	"errors"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// prefetchTurns is how many further turns a node draws tokens for at once, so that
	// most turns need no store call and running programs survive short store outages.
	prefetchTurns = 4
	// prefetchDivisor limits a prefetch to this fraction of the tokens left, which bounds
	// the loss when a node crashes.
	prefetchDivisor = 6
	// exhaustedTTL is how long the store's report that a budget is exhausted is reused.
	exhaustedTTL = time.Second
	// peerExhaustedTTL is how long a refusal that another node received is reused. Tokens
	// freed since are held by nodes that ran turns of the program, which are asked first.
	// A node that returns tokens to the store withdraws the refusal.
	peerExhaustedTTL = 5 * time.Second
	// shareTimeout is the minimum time to wait for one share before the next is tried. It
	// is extended if the store is observed to be slower: a slow share is more likely to
	// answer than the next one.
	shareTimeout = 130 * time.Millisecond
	// retryPause is the pause between rounds over all shares, unless the store throttles
	// calls.
	retryPause = 50 * time.Millisecond
)

// errHolderUnresponsive means that the missing tokens may be held by a process that does
// not answer.
var errHolderUnresponsive = errors.New("a node that may hold the program's tokens does not answer")

// draw obtains the tokens that this node lacks for a turn, from other nodes or the store,
// and reserves them for the turn. If it succeeds, the caller holds account.sharesLock and
// must release it.
func (a *Accounts) draw(ctx context.Context, account *account, claim Claim, sources *tokenSources) error {
	select {
	case account.sharesLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	var throttled store.Backoff
	for {
		taken, err := a.drawOnce(ctx, account, claim, sources)
		account.publishRows()
		if taken {
			return nil
		}
		if err != nil && !isFinal(err) && waitBeforeRetry(ctx, err, &throttled) == nil {
			continue
		}
		<-account.sharesLock
		if err == nil {
			err = ctx.Err()
		}
		return err
	}
}

// waitBeforeRetry pauses before the next round, with exponential backoff if the store
// throttles calls. It fails if ctx ends first.
func waitBeforeRetry(ctx context.Context, err error, throttled *store.Backoff) error {
	if errors.Is(err, store.ErrThrottled) {
		return throttled.Wait(ctx)
	}
	return timing.Sleep(ctx, retryPause)
}

// isFinal reports whether retrying cannot change the result.
func isFinal(err error) bool {
	return fault.Is(err, fault.BudgetExhausted) || errors.Is(err, errHolderUnresponsive) || errors.Is(err, errOwnerUnresponsive)
}

// drawOnce makes one round: it asks the known holders, then draws from each share,
// stopping early if the store throttles calls, and finally asks the owner for a grant. If
// no row was read yet, the budget was reported exhausted before, or a share fails, it also
// asks the processes that the locator returns. If the store does not answer, it also asks
// recent peers and the owner, unless the turn needs the store to end (see Claim.MustPersist).
//
// It fails with fault.BudgetExhausted if the turn exceeds the whole budget, if a recent
// refusal by the store still applies, or if all shares were read and are exhausted and no
// other process may still hand over or grant the missing tokens.
func (a *Accounts) drawOnce(ctx context.Context, account *account, claim Claim, sources *tokenSources) (taken bool, failure error) {
	budget, tokens := claim.Budget, claim.Tokens
	if account.reserve(tokens) {
		return true, nil
	}
	if tokens > budget { // a budget that never covered the turn is not overdrawn
		return false, exhaustedError(budget, budget, tokens)
	}
	if err := account.checkExhausted(budget, tokens); err != nil {
		return false, err
	}
	a.requestFromHolders(ctx, account, tokens, sources)
	if !account.anyRowRead() || account.wasExhausted() {
		located := a.requestFromLocated(ctx, account, tokens, sources)
		if account.reserve(tokens) {
			return true, nil
		}
		if located.refuses(tokens) && !a.mayRecover(account) {
			return false, located.refusal(tokens)
		}
	}
	if a.storeUnavailable() && !claim.MustPersist && a.reserveWithoutStore(ctx, account, claim, sources) {
		return true, nil
	}
	failures := 0
	claim.reportHolders(a.responsiveHolders(account))
	for _, index := range account.shareOrder(budget, account.shortfall(tokens)) {
		limited, cancel := context.WithTimeout(ctx, store.HedgeDelayAtLeast(a.options.Store, shareTimeout))
		err := a.drawFromShare(limited, account, index, claim, sources)
		cancel()
		a.recordShareResult(ctx, err)
		if err != nil {
			failure = err
			a.requestFromLocated(ctx, account, tokens, sources)
			if !claim.MustPersist {
				a.broadcastRequest(ctx, account, tokens, sources)
			}
			if failures++; failures > 1 && !claim.MustPersist && a.requestGrant(ctx, account, claim, sources) {
				return true, nil
			}
		}
		if account.reserve(tokens) {
			return true, nil
		}
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		if errors.Is(err, store.ErrThrottled) {
			break // all shares lie in the same throttled table
		}
	}
	if (failure == nil || !claim.MustPersist) && a.requestGrant(ctx, account, claim, sources) {
		return true, nil
	}
	if failure != nil {
		return false, failure
	}
	if a.mayRecover(account) {
		return false, errHolderUnresponsive
	}
	if a.ownerUnanswered(claim, sources) {
		return false, errOwnerUnresponsive
	}
	account.markExhausted()
	if a.options.Locator != nil {
		a.options.Locator.RecordRefusal(account.program, tokens)
	}
	return false, exhaustedError(account.undrawn(budget), budget, tokens)
}

// reserveWithoutStore obtains a turn's tokens while the store is unavailable: from
// processes that the locator returns, from recent peers and from the owner. It reports
// whether the turn's tokens are reserved.
func (a *Accounts) reserveWithoutStore(ctx context.Context, account *account, claim Claim, sources *tokenSources) bool {
	a.requestFromLocated(ctx, account, claim.Tokens, sources)
	a.broadcastRequest(ctx, account, claim.Tokens, sources)
	return account.reserve(claim.Tokens) || a.requestGrant(ctx, account, claim, sources)
}

// drawFromShare draws from one share until the turn has its tokens or the share is
// exhausted. If it finds that other processes have drawn from the share, it asks them
// first. A nil error means that the turn has its tokens or that the row is known to be
// current.
func (a *Accounts) drawFromShare(ctx context.Context, account *account, index int, claim Claim, sources *tokenSources) error {
	budget, tokens := claim.Budget, claim.Tokens
	share, limit := account.shares[index], account.limit(budget, index)
	certain := false
	for {
		missing := account.shortfall(tokens)
		if missing <= 0 {
			return nil
		}
		left := share.undrawn(limit)
		if left == 0 && certain {
			return nil
		}
		if left == 0 || claim.Continues && !share.hasRow() {
			found, err := share.read(ctx, a.options.Store)
			if err != nil {
				return err
			}
			account.addFree(found.drawn)
			certain = true
			a.requestFromHolders(ctx, account, tokens, sources)
			continue
		}
		wanted := drawSize(index, left, missing, prefetchSize(account.undrawnWithOwnedParts(budget)-missing, tokens))
		found, done, err := share.commit(ctx, a.options.Store, store.CommitUnlessThrottled, wanted, account.lastKnownWorker())
		if err != nil {
			return err
		}
		account.addFree(found.drawn)
		if done && share.undrawn(limit) == 0 {
			return nil
		}
		certain = !done
		if !done {
			a.requestFromHolders(ctx, account, tokens, sources)
		}
	}
}

// drawSize returns how many tokens to draw from a share with left tokens.
//
// While the overdraft share is not exhausted, it gives a turn all tokens that it lacks,
// even beyond the share's limit. This lets a program continue after a node crashed with
// the tokens of its earlier turn. The share is then over its limit, so this happens at
// most once, and the sum of all draws stays below the budget plus the maximum of one
// turn. Prefetching always leaves one token in this share, so that only a turn's need can
// exhaust it.
func drawSize(index, left, missing, ahead int) int {
	if index != overdraftShare {
		return min(left, missing+ahead)
	}
	return max(missing, min(left-1, missing+ahead))
}

// prefetchSize returns how many tokens to draw beyond a turn's need.
func prefetchSize(left, tokens int) int {
	return max(0, min(prefetchTurns*tokens, left/prefetchDivisor))
}

// exhaustedRemedy is the remedy given when a program's budget is exhausted.
const exhaustedRemedy = "raise the program's budget or start a new program"

func exhaustedError(left, budget, tokens int) error {
	return fault.Newf(fault.BudgetExhausted, exhaustedRemedy,
		"%d tokens are left of a budget of %d, and the turn may need %d", left, budget, tokens)
}
