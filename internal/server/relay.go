package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

const (
	// maxRelays is how many nodes are tried for a call, one after the other.
	maxRelays = 2
	// relayTimeoutFactor is the timeout of a relayed call as a multiple of the store's usual
	// timeout.
	relayTimeoutFactor = 3
)

// outcome is the result of a store call made by another node.
type outcome int

// Outcomes. The zero value is also the answer of a process that was not the one addressed.
const (
	outcomeNotApplied outcome = iota // the call had no effect
	outcomeApplied                   // the store applied the call
	outcomeConflict                  // the conditions of the transaction do not hold
	outcomeUnknown                   // the call may have had an effect
)

// commitRequest is a request to commit a transaction.
type commitRequest struct {
	Process     string // process addressed by the request
	Transaction store.Transaction
}

// commitAnswer is the result of a commitRequest.
type commitAnswer struct {
	Outcome outcome
	Version store.Version
	Rows    []store.Row // current rows of a conflict
}

// rangeRequest is a request to read rows.
type rangeRequest struct {
	Process               string // process addressed by the request
	Table, Part, From, To string
	Limit                 int
}

// rangeAnswer is the result of a rangeRequest.
type rangeAnswer struct {
	Outcome outcome
	Page    store.Page
}

// errRelayOutcomeUnknown is the error of a relayed transaction without a definite answer. It may
// have been applied.
var errRelayOutcomeUnknown = errors.New("outcome of the relayed store call is unknown; the transaction may have been applied")

// handleRelayCalls registers the handlers for store calls on behalf of other nodes. They use this
// node's direct connection alone, and only while it works.
func handleRelayCalls(mux *peer.Mux, process string, gate *store.Gate) {
	peer.Handle(mux, methodCommit, func(ctx context.Context, request commitRequest) (commitAnswer, error) {
		if request.Process != process || gate.Suspect() {
			return commitAnswer{}, nil
		}
		version, err := gate.Commit(ctx, request.Transaction)
		return newCommitAnswer(version, err), nil
	})
	peer.Handle(mux, methodRange, func(ctx context.Context, request rangeRequest) (rangeAnswer, error) {
		if request.Process != process || gate.Suspect() {
			return rangeAnswer{}, nil
		}
		page, err := gate.Range(ctx, request.Table, request.Part, request.From, request.To, request.Limit)
		if err != nil {
			return rangeAnswer{}, nil
		}
		return rangeAnswer{Outcome: outcomeApplied, Page: page}, nil
	})
}

func newCommitAnswer(version store.Version, err error) commitAnswer {
	var conflict *store.Conflict
	switch {
	case err == nil:
		return commitAnswer{Outcome: outcomeApplied, Version: version}
	case errors.As(err, &conflict):
		return commitAnswer{Outcome: outcomeConflict, Rows: conflict.Rows}
	case errors.Is(err, store.ErrNotApplied):
		return commitAnswer{}
	default:
		return commitAnswer{Outcome: outcomeUnknown}
	}
}

// err returns the outcome as an error of store.Store.
func (a commitAnswer) err() error {
	switch a.Outcome {
	case outcomeApplied:
		return nil
	case outcomeConflict:
		return &store.Conflict{Rows: a.Rows}
	case outcomeUnknown:
		return errRelayOutcomeUnknown
	default:
		return store.ErrNotApplied
	}
}

// relayClient makes store calls through other nodes. It implements store.Relayer.
type relayClient struct {
	transport  *meteredTransport
	location   locality.Location
	candidates func() []budget.Holder // nodes that may relay a call, newest first
	timeout    func() time.Duration   // usual timeout of a store call
	countCall  func()                 // counts the calls sent to other nodes

	mutex     sync.Mutex
	lastRelay budget.Holder // node that answered last; empty after it failed
	// failures counts consecutive nodes that did not answer the call.
	failures int
}

// Commit implements store.Relayer. Once a node may have applied the transaction, the failure is
// reported as uncertain, whatever the next node answers.
func (r *relayClient) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	chosen, failure := r.choose(ctx)
	for _, holder := range chosen {
		request := commitRequest{Process: holder.Process, Transaction: transaction}
		answer, err := callRelay[commitAnswer](ctx, r, holder, methodCommit, request)
		if err == nil {
			err = answer.err()
		} else {
			err = errRelayOutcomeUnknown
		}
		if store.IsDefinite(err) {
			r.recordSuccess(holder)
			return answer.Version, err
		}
		r.recordFailure(holder)
		if !errors.Is(err, store.ErrNotApplied) {
			failure = err
		}
	}
	return 0, failure
}

// Range implements store.Relayer.
func (r *relayClient) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	chosen, failure := r.choose(ctx)
	for _, holder := range chosen {
		request := rangeRequest{Process: holder.Process, Table: table, Part: part, From: from, To: to, Limit: limit}
		answer, err := callRelay[rangeAnswer](peer.WithRepeatable(ctx), r, holder, methodRange, request)
		if err == nil && answer.Outcome == outcomeApplied {
			r.recordSuccess(holder)
			return answer.Page, nil
		}
		r.recordFailure(holder)
	}
	return store.Page{}, failure
}

// callRelay calls one node with a bounded timeout.
func callRelay[Answer, Request any](ctx context.Context, r *relayClient, holder budget.Holder, method string, request Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeoutFactor*r.timeout())
	defer cancel()
	r.countCall()
	r.transport.recordZone(holder.Process, peer.Address(holder.Address))
	return peer.Invoke[Answer](ctx, r.transport, peer.Address(holder.Address), method, request)
}

// choose returns the nodes to try in order: first the one that answered last, then nodes of this
// node's region, or of any region while those fail. A call bound to regions only goes through
// nodes of these regions. failure is the error to return if none of them answers.
func (r *relayClient) choose(ctx context.Context) (chosen []budget.Holder, failure error) {
	candidates := slices.DeleteFunc(r.candidates(), func(holder budget.Holder) bool { return !mayPassThrough(ctx, r.location.Zones, holder) })
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	r.mutex.Lock()
	lastRelay, failures := r.lastRelay, r.failures
	r.mutex.Unlock()
	if failures < maxRelays {
		locality.OwnRegionFirst(r.location, candidates, budget.Holder.Zone)
	}
	chosen = make([]budget.Holder, 0, maxRelays+1)
	if lastRelay.Process != "" && mayPassThrough(ctx, r.location.Zones, lastRelay) {
		chosen = append(chosen, lastRelay)
	}
	for _, holder := range candidates {
		if len(chosen) == maxRelays {
			break
		}
		if holder != lastRelay {
			chosen = append(chosen, holder)
		}
	}
	if len(chosen) == 0 && locality.ContentRegions(ctx) != nil {
		return nil, store.ErrNotRelayable
	}
	return chosen, store.ErrNotApplied
}

// withRemoteOwners adds slot owners in other regions to the recently seen nodes. Those are mostly
// of this node's region, which may have lost the store as a whole.
func withRemoteOwners(location locality.Location, recent, owners []budget.Holder) []budget.Holder {
	for _, owner := range owners {
		if location.DistanceTo(owner.Zone()) == locality.OtherRegion && !slices.Contains(recent, owner) {
			recent = append(recent, owner)
		}
	}
	return recent
}

// recordSuccess makes the node that answered the first choice.
func (r *relayClient) recordSuccess(holder budget.Holder) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastRelay, r.failures = holder, 0
}

// recordFailure counts a failure of a node, and drops it as the first choice.
func (r *relayClient) recordFailure(holder budget.Holder) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures++
	if r.lastRelay == holder {
		r.lastRelay = budget.Holder{}
	}
}
