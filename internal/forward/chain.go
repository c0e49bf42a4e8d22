package forward

import (
	"context"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/history"
)

// Neighbours asks other nodes what they remember.
type Neighbours interface {
	// Chain returns the chain that ends with a turn; nil if the process asked does
	// not remember all of it.
	Chain(ctx context.Context, holder budget.Holder, turn string) ([]*history.Turn, error)
}

// Turns remembers which nodes ran turns. What it tells may be wrong.
type Turns interface {
	// NoteRan notes that this node has run a turn. It does not wait.
	NoteRan(program, turn string)
	// RanBy tells which node ran a turn; ok is false if that is not known.
	RanBy(ctx context.Context, program, turn string) (holder budget.Holder, ok bool)
}

const (
	// Other nodes have as long to tell a chain, once it is known which to ask, as answers
	// from their places are seen to take, from chainPatience to longestChainPatience; then
	// the table is asked, too. Mostly they take less than the table.
	chainPatience        = 25 * time.Millisecond
	longestChainPatience = 120 * time.Millisecond
	// holdersPatience is how long the program's account may take to tell which nodes
	// to ask before the table is asked for the chain without them.
	holdersPatience = 100 * time.Millisecond
	// Each is waited for likewise, from askChainWait to longestAskChainWait. maxChainAsked
	// are asked at the same time: the one that drew last need not have run the last
	// turn, since tokens are handed over.
	askChainWait        = 50 * time.Millisecond
	longestAskChainWait = 200 * time.Millisecond
	maxChainAsked       = 3
)

// chainResult is what came of looking for a chain. No chain and no error means
// that other nodes do not remember it.
type chainResult struct {
	turns []*history.Turn
	told  bool // by another node
	err   error
}

// chain returns what was said before the turn: from memory, else from a node that
// ran the program's last turns, else from the table.
func (x *exchange) chain(ctx context.Context, holders <-chan []budget.Holder) ([]*history.Turn, error) {
	if known := x.options.History.Known(x.previous()); known != nil {
		return known, nil
	}
	if x.options.Neighbours == nil {
		return x.options.History.Chain(ctx, x.previous())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan chainResult, 2)
	asking := make(chan time.Duration, 1)
	go func() { results <- chainResult{turns: x.askChain(ctx, holders, asking), told: true} }()
	read := func() {
		turns, err := x.options.History.Chain(ctx, x.previous())
		results <- chainResult{turns: turns, err: err}
	}
	timer := time.NewTimer(holdersPatience)
	defer timer.Stop()
	reading := false
	for answered := 0; ; {
		select {
		case patience := <-asking:
			timer.Reset(patience)
			continue
		case <-timer.C:
		case result := <-results:
			if result.turns != nil {
				return x.learned(ctx, result), nil
			}
			if answered++; answered == 2 || result.err != nil {
				return nil, result.err
			}
		}
		if !reading {
			reading = true
			go read()
		}
	}
}

// learned takes over a chain that another node told, or that was read.
func (x *exchange) learned(ctx context.Context, result chainResult) []*history.Turn {
	if result.told {
		x.told = true
		x.options.History.Learn(ctx, result.turns)
	}
	return result.turns
}

// askChain asks other nodes; nil if none of them remembers the chain. Once it knows which
// to ask, it tells asking how long they usually take.
func (x *exchange) askChain(ctx context.Context, holders <-chan []budget.Holder, asking chan<- time.Duration) []*history.Turn {
	select {
	case <-ctx.Done():
		return nil
	case known := <-holders:
		others := known[:min(len(known), maxChainAsked)]
		holder, ok := x.ranBy(ctx, known)
		if !ok {
			asking <- x.chainPatience(others)
			return x.firstChain(ctx, others)
		}
		asking <- x.chainPatience([]budget.Holder{holder})
		if chain := x.askOneChain(ctx, holder); chain != nil {
			return chain
		}
		return x.firstChain(ctx, without(others, holder))
	}
}

// isSpread reports whether a program had turns at more nodes than are asked for its chain. Who ran
// which turn is worth a message then.
func isSpread(others []budget.Holder) bool { return len(others) >= maxChainAsked }

// ranBy asks which node ran the turn that this one goes on from.
func (x *exchange) ranBy(ctx context.Context, others []budget.Holder) (budget.Holder, bool) {
	if x.options.Turns == nil || !isSpread(others) {
		return budget.Holder{}, false
	}
	return x.options.Turns.RanBy(ctx, x.tenant.Scope(x.request.Program), x.previous())
}

// noteRan tells who ran this turn.
func (x *exchange) noteRan(others []budget.Holder) {
	if x.options.Turns != nil && isSpread(others) {
		x.options.Turns.NoteRan(x.tenant.Scope(x.request.Program), x.tenant.Scope(x.request.ID))
	}
}

// without is a list without one of its holders.
func without(list []budget.Holder, left budget.Holder) []budget.Holder {
	return slices.DeleteFunc(slices.Clone(list), func(holder budget.Holder) bool { return holder == left })
}

// chainPatience is how long the quickest of nodes usually takes to answer.
func (x *exchange) chainPatience(asked []budget.Holder) time.Duration {
	quickest := longestChainPatience
	for _, holder := range asked {
		quickest = min(quickest, x.options.Patience.Of(holder.Process, chainPatience, longestChainPatience))
	}
	return quickest
}

// firstChain asks nodes at the same time and returns the first chain that one tells.
func (x *exchange) firstChain(ctx context.Context, asked []budget.Holder) []*history.Turn {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chains := make(chan []*history.Turn, len(asked))
	for _, holder := range asked {
		go func() { chains <- x.askOneChain(ctx, holder) }()
	}
	for range asked {
		if chain := <-chains; chain != nil {
			return chain
		}
	}
	return nil
}

func (x *exchange) askOneChain(ctx context.Context, holder budget.Holder) []*history.Turn {
	ctx, cancel := context.WithTimeout(ctx, x.options.Patience.Of(holder.Process, askChainWait, longestAskChainWait))
	defer cancel()
	chain, err := x.options.Neighbours.Chain(ctx, holder, x.previous())
	if err != nil || !isChainOf(x.previous(), chain) {
		return nil
	}
	return chain
}

// isChainOf reports whether turns are the whole chain that ends with the one named.
func isChainOf(id string, turns []*history.Turn) bool {
	if len(turns) == 0 {
		return false
	}
	before, last := turns[:len(turns)-1], turns[len(turns)-1]
	return last.ID == id && slices.EqualFunc(before, last.Ancestors, func(turn *history.Turn, ancestor string) bool {
		return turn.ID == ancestor
	})
}
