package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// HistoryPeers fetches cached conversation history from other nodes.
type HistoryPeers interface {
	// History returns the turns up to and including the given one, oldest first; nil if the node
	// asked does not have all of them cached. A *history.BusyError means that it reads them, and has not yet.
	History(ctx context.Context, holder budget.Holder, turn string) ([]*history.Turn, error)
}

// TurnDirectory records which node ran which turn. Its answers are hints and may be wrong.
type TurnDirectory interface {
	// RecordRun records that this node has run a turn. It does not block.
	RecordRun(program, turn string)
	// Lookup returns the node that ran a turn; ok is false if it is not recorded.
	Lookup(ctx context.Context, program, turn string) (holder budget.Holder, ok bool)
}

const (
	// How long other nodes may take to return a history before the store is read as well. The
	// wait follows their usual response time, within these bounds; it is usually shorter than a
	// read from the store.
	minHistoryWait = 25 * time.Millisecond
	maxHistoryWait = 120 * time.Millisecond
	// holdersWait is how long the budget account may take to name the nodes to ask before the
	// store is read without them.
	holdersWait = 100 * time.Millisecond
	// Each node's request times out after its usual response time, within these bounds. Up to
	// maxHistoryPeers nodes are asked at the same time: the node that drew tokens last need not
	// have run the last turn, because tokens are handed over between nodes.
	minPeerTimeout  = 50 * time.Millisecond
	maxPeerTimeout  = 200 * time.Millisecond
	maxHistoryPeers = 3
)

// historyResult is the outcome of one lookup of a history. No turns and no error means that no
// other node has it cached.
type historyResult struct {
	turns    []*history.Turn
	fromPeer bool // returned by another node
	err      error
}

// loadHistory returns the turns before this one: from the local cache, else from a node that ran
// the program's last turns, else from the store.
func (x *exchange) loadHistory(ctx context.Context, holders <-chan []budget.Holder) ([]*history.Turn, error) {
	if cached := x.options.History.CachedChain(x.previousTurn()); cached != nil {
		return cached, x.turnMemory.addChain(cached)
	}
	isWaiting := x.options.History.WaitingFor(x.previousTurn()) != nil // this node reads it already, for an earlier request
	if x.options.HistoryPeers == nil || isWaiting {
		return x.options.History.AdmittedChain(ctx, x.previousTurn(), x.turnMemory.add)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan historyResult, 2)
	peerWait := make(chan time.Duration, 1)
	go func() { results <- x.fetchFromPeers(ctx, holders, peerWait) }()
	read := func() {
		turns, err := x.options.History.AdmittedChain(ctx, x.previousTurn(), x.turnMemory.add)
		results <- historyResult{turns: turns, err: err}
	}
	timer := time.NewTimer(holdersWait)
	defer timer.Stop()
	reading := false
	for answered := 0; ; {
		select {
		case wait := <-peerWait:
			timer.Reset(wait)
			continue
		case <-timer.C:
		case result := <-results:
			if result.turns != nil && result.fromPeer {
				return x.adoptHistory(ctx, result)
			}
			if result.turns != nil {
				return result.turns, nil
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

// adoptHistory caches a history that another node returned.
func (x *exchange) adoptHistory(ctx context.Context, result historyResult) ([]*history.Turn, error) {
	x.historyFromPeer = true
	if err := x.turnMemory.addChain(result.turns); err != nil {
		return nil, err
	}
	x.options.History.CacheChain(ctx, result.turns)
	return result.turns, nil
}

// fetchFromPeers asks other nodes for the history; the result is empty if none of them has it. Once the nodes to
// ask are known, it sends to peerWait how long they may take before the store is read as well. If one of them waits for the store to read the
// history, it waits for that node: another reading would only make both later.
func (x *exchange) fetchFromPeers(ctx context.Context, holders <-chan []budget.Holder, peerWait chan time.Duration) historyResult {
	var known []budget.Holder
	select {
	case <-ctx.Done():
		return historyResult{fromPeer: true}
	case known = <-holders:
	}
	others := known[:min(len(known), maxHistoryPeers)]
	answer := peerAnswer{}
	if holder, ok := x.lookUpHolder(ctx, known); ok {
		peerWait <- x.historyWait([]budget.Holder{holder})
		answer = x.askPeer(ctx, holder)
		others = without(others, holder)
	} else {
		peerWait <- x.historyWait(others)
	}
	if answer.chain == nil && answer.busy == nil {
		answer = x.askPeers(ctx, others)
	}
	if answer.busy != nil {
		sendLatest(peerWait, maxStoreWait)
		answer = x.awaitPeer(ctx, answer)
	}
	if answer.busy != nil {
		return historyResult{err: answer.busy, fromPeer: true}
	}
	return historyResult{turns: answer.chain, fromPeer: true}
}

// sendLatest replaces a value that was sent and not received.
func sendLatest(values chan time.Duration, latest time.Duration) {
	select {
	case <-values:
	default:
	}
	values <- latest
}

// ranOnManyNodes reports whether a program's turns ran on at least maxHistoryPeers other nodes.
// The turn directory is only used for such programs, since it costs a message per turn.
func ranOnManyNodes(others []budget.Holder) bool { return len(others) >= maxHistoryPeers }

// lookUpHolder returns the node that ran the previous turn, if the turn directory has it.
func (x *exchange) lookUpHolder(ctx context.Context, others []budget.Holder) (budget.Holder, bool) {
	if x.options.TurnDirectory == nil || !ranOnManyNodes(others) {
		return budget.Holder{}, false
	}
	return x.options.TurnDirectory.Lookup(ctx, x.tenant.Scope(x.request.Program), x.previousTurn())
}

// recordRun records in the turn directory that this node ran the turn.
func (x *exchange) recordRun(others []budget.Holder) {
	if x.options.TurnDirectory != nil && ranOnManyNodes(others) {
		x.options.TurnDirectory.RecordRun(x.tenant.Scope(x.request.Program), x.tenant.Scope(x.request.ID))
	}
}

// without returns a copy of the list without one holder.
func without(list []budget.Holder, removed budget.Holder) []budget.Holder {
	return slices.DeleteFunc(slices.Clone(list), func(holder budget.Holder) bool { return holder == removed })
}

// historyWait is the usual response time of the fastest of the nodes asked.
func (x *exchange) historyWait(asked []budget.Holder) time.Duration {
	quickest := maxHistoryWait
	for _, holder := range asked {
		quickest = min(quickest, x.options.ResponseTimes.For(holder.Process, minHistoryWait, maxHistoryWait))
	}
	return quickest
}

// peerAnswer is what another node knows of a history.
type peerAnswer struct {
	holder budget.Holder
	chain  []*history.Turn    // nil: it does not have the history
	busy   *history.BusyError // it reads the history and has not yet; nil: it does not
}

// askPeers asks nodes at the same time and returns the first answer with the history, else one of a node that reads it; empty if none
// does.
func (x *exchange) askPeers(ctx context.Context, asked []budget.Holder) (reading peerAnswer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan peerAnswer, len(asked))
	for _, holder := range asked {
		go func() { answers <- x.askPeer(ctx, holder) }()
	}
	for range asked {
		answer := <-answers
		if answer.chain != nil {
			return answer
		}
		if answer.busy != nil {
			reading = answer
		}
	}
	return reading
}

func (x *exchange) askPeer(ctx context.Context, holder budget.Holder) peerAnswer {
	ctx, cancel := context.WithTimeout(ctx, x.options.ResponseTimes.For(holder.Process, minPeerTimeout, maxPeerTimeout))
	defer cancel()
	chain, err := x.options.HistoryPeers.History(ctx, holder, x.previousTurn())
	answer := peerAnswer{holder: holder}
	if errors.As(err, &answer.busy) || err != nil || !isHistoryOf(x.previousTurn(), chain) {
		return answer
	}
	answer.chain = chain
	return answer
}

// awaitPeer asks a node that reads the history again until it has read it, unless that takes longer than this request can wait.
func (x *exchange) awaitPeer(ctx context.Context, answer peerAnswer) peerAnswer {
	for answer.busy != nil {
		pause := max(answer.busy.RetryAfter, minHistoryWait)
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < pause {
			return answer
		}
		if timing.Sleep(ctx, pause) != nil {
			return answer
		}
		answer = x.askPeer(ctx, answer.holder)
	}
	return answer
}

// isHistoryOf reports whether turns are the complete history that ends with the given turn.
func isHistoryOf(id string, turns []*history.Turn) bool {
	if len(turns) == 0 {
		return false
	}
	before, last := turns[:len(turns)-1], turns[len(turns)-1]
	return last.ID == id && slices.EqualFunc(before, last.Ancestors, func(turn *history.Turn, ancestor string) bool {
		return turn.ID == ancestor
	})
}
