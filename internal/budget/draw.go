package budget

import (
	"context"
	"errors"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// aheadTurns is for how many further turns a node draws at once, so that most
	// turns need no call and programs under way outlive short outages.
	aheadTurns = 4
	// aheadShare of what is left is the most that is drawn ahead: what a node
	// that dies strands stays small against the budget.
	aheadShare = 6
	// spentFor is for how long a budget that was spent is taken to be so.
	spentFor = time.Second
	// othersSpentFor is for how long another node's word that the table has refused a
	// turn counts. Tokens that became free since are at the nodes that had turns of
	// the program, which are asked first; a node that gives tokens back withdraws it.
	othersSpentFor = 5 * time.Second
	// shareWait is how long one share is waited for before the next is tried, or longer if
	// the table is seen to take more: a share that is only slow says more than the next.
	shareWait = 130 * time.Millisecond
	// roundPause is the pause after a round in which no share said enough.
	roundPause = 50 * time.Millisecond
)

// errHolderSilent says that what lacks may be held by a node that does not answer.
var errHolderSilent = errors.New("a node that may hold the program's tokens does not answer")

// draw gets what this node lacks for a turn, from other nodes or the table, and
// takes the turn's tokens. If it succeeds, the caller holds the account's turn.
func (b *Book) draw(ctx context.Context, account *account, claim Claim, inquiry *inquiry) error {
	select {
	case account.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	var throttled store.Backoff
	for {
		taken, err := b.drawOnce(ctx, account, claim, inquiry)
		if taken {
			return nil
		}
		if err != nil && !final(err) && betweenRounds(ctx, err, &throttled) == nil {
			continue
		}
		<-account.turn
		if err == nil {
			err = ctx.Err()
		}
		return err
	}
}

// betweenRounds pauses before the next round, longer each time that the table takes no more
// calls. It fails if the turn's time ends before that.
func betweenRounds(ctx context.Context, err error, throttled *store.Backoff) error {
	if errors.Is(err, store.ErrThrottled) {
		return throttled.Wait(ctx)
	}
	return wait.For(ctx, roundPause)
}

// final reports whether another round would say nothing else.
func final(err error) bool {
	return fault.Is(err, fault.BudgetExhausted) || errors.Is(err, errHolderSilent) || errors.Is(err, errOwnerSilent)
}

// drawOnce asks the nodes that are known to hold tokens, and then each share
// once, unless the table says that it takes no more calls. A node that has not read the program's rows yet, or cannot, has others
// named by the locator first. It fails with fault.BudgetExhausted if all shares were read and are used
// up, and no node handed over what lacks or may still do so.
func (b *Book) drawOnce(ctx context.Context, account *account, claim Claim, inquiry *inquiry) (taken bool, failure error) {
	budget, tokens := claim.Budget, claim.Tokens
	if account.take(tokens) {
		return true, nil
	}
	if tokens > budget { // reaching past the budget is for a turn that it held once
		return false, spentError(budget, budget, tokens)
	}
	if err := account.stillSpent(budget, tokens); err != nil {
		return false, err
	}
	b.ask(ctx, account, tokens, inquiry)
	if !account.learnt() || account.wasSpent() {
		located := b.locate(ctx, account, tokens, inquiry)
		if account.take(tokens) {
			return true, nil
		}
		if located.spent(tokens) && !b.mayComeBack(account) {
			return false, located.refusal(tokens)
		}
	}
	if b.away() && !claim.Kept && b.askOthers(ctx, account, claim, inquiry) {
		return true, nil
	}
	failures := 0
	for _, index := range drawOrder {
		limited, cancel := context.WithTimeout(ctx, store.PatienceWith(b.options.Store, shareWait))
		err := b.drawFrom(limited, account, index, claim, inquiry)
		cancel()
		b.noteShare(err)
		if err != nil {
			failure = err
			b.locate(ctx, account, tokens, inquiry)
			if !claim.Kept {
				b.askAround(ctx, account, tokens, inquiry)
			}
			if failures++; failures > 1 && !claim.Kept && b.grant(ctx, account, claim, inquiry) {
				return true, nil
			}
		}
		if account.take(tokens) {
			return true, nil
		}
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		if errors.Is(err, store.ErrThrottled) {
			break // the other shares lie in the same table
		}
	}
	if (failure == nil || !claim.Kept) && b.grant(ctx, account, claim, inquiry) {
		return true, nil
	}
	if failure != nil {
		return false, failure
	}
	if b.mayComeBack(account) {
		return false, errHolderSilent
	}
	if b.ownerSilent(claim, inquiry) {
		return false, errOwnerSilent
	}
	account.noteSpent()
	if b.options.Locator != nil {
		b.options.Locator.NoteSpent(account.program, tokens)
	}
	return false, spentError(account.left(budget), budget, tokens)
}

// askOthers gets a turn's tokens without the table, which has just not answered: from the nodes
// that the locator names, those met lately, and the owner.
func (b *Book) askOthers(ctx context.Context, account *account, claim Claim, inquiry *inquiry) bool {
	b.locate(ctx, account, claim.Tokens, inquiry)
	b.askAround(ctx, account, claim.Tokens, inquiry)
	return account.take(claim.Tokens) || b.grant(ctx, account, claim, inquiry)
}

// drawFrom draws from one share until the turn has its tokens or the share has
// none. When it learns that other nodes have drawn there, it asks them first. No
// error means that the share's row is known for certain.
func (b *Book) drawFrom(ctx context.Context, account *account, index int, claim Claim, inquiry *inquiry) error {
	budget, tokens := claim.Budget, claim.Tokens
	share, limit := account.shares[index], account.limit(budget, index)
	certain := false
	for {
		lacking := account.lacks(tokens)
		if lacking <= 0 {
			return nil
		}
		left := share.left(limit)
		if left == 0 && certain {
			return nil
		}
		if left == 0 || claim.Continues && !share.seen {
			found, err := share.read(ctx, b.options.Store)
			if err != nil {
				return err
			}
			account.add(found.drawn)
			certain = true
			b.ask(ctx, account, tokens, inquiry)
			continue
		}
		wanted := drawPlan(index, left, lacking, ahead(account.unspent(budget)-lacking, tokens))
		found, done, err := share.commit(ctx, b.options.Store, store.CommitUnlessThrottled, wanted, account.homeOf())
		if err != nil {
			return err
		}
		account.add(found.drawn)
		if done && share.left(limit) == 0 {
			return nil
		}
		certain = !done
		if !done {
			b.ask(ctx, account, tokens, inquiry)
		}
	}
}

// drawPlan is how many tokens to draw from a share of which so many are left.
//
// The elastic share gives a turn all that it lacks while the share is not used up,
// even if that reaches past it: a program whose earlier turn died with its node, and
// the tokens with it, can go on then. The share is over its part afterwards, so this
// happens once, and the sum of all shares stays below the budget and the most of
// one turn. It keeps a token back from what is drawn ahead, so that it is used up
// by a turn's need only.
func drawPlan(index, left, lacking, ahead int) int {
	if index != elasticShare {
		return min(left, lacking+ahead)
	}
	return max(lacking, min(left-1, lacking+ahead))
}

// ahead is what is drawn beyond a turn's need.
func ahead(left, tokens int) int {
	return max(0, min(aheadTurns*tokens, left/aheadShare))
}

// spentRemedy is what helps a program whose budget is spent.
const spentRemedy = "raise the program's budget or start a new program"

func spentError(left, budget, tokens int) error {
	return fault.Newf(fault.BudgetExhausted, spentRemedy,
		"%d tokens are left of a budget of %d, and the turn may need %d", left, budget, tokens)
}
