package capacity

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/scheduling"
)

const (
	// maxHoldPerQuery is how long a keeper may hold one query. Longer waits repeat the query, which
	// detects a keeper that failed meanwhile.
	maxHoldPerQuery = 100 * time.Millisecond
	// minHold is the shortest remaining time for which a query is repeated.
	minHold = 5 * time.Millisecond
	// fullTTL is how long a group of another zone that was full gets no queries.
	fullTTL = 50 * time.Millisecond
)

// PlacementRequest describes a request that needs a worker.
type PlacementRequest struct {
	Service string
	Key     string   // spreads new programs over groups
	Home    string   // key of the worker that holds its context; empty: none
	Fresh   int      // tokens that any other worker has to read
	Tokens  int      // maximum number of tokens in memory
	Exclude []string // keys of workers that may not get it
	Program scheduling.Program
	// MaxWait is the maximum time to wait for capacity.
	MaxWait time.Duration
	// Allows reports whether the request may be served in a zone.
	Allows func(zone string) bool
}

// Source is how a request found its worker, or why it found none. It is a metric label.
type Source string

// Values of Source.
const (
	SourceUntracked Source = "none"   // no group: capacity is not tracked, the home worker is in another region, or this zone is not allowed
	SourceLocal     Source = "calm"   // the load is low or not known yet; no query was sent
	SourceKeeper    Source = "keeper" // the group's keeper assigned a worker
	SourceOtherZone Source = "away"   // the keeper of a group in another zone assigned a worker, since the first group was full
	SourceFull      Source = "full"   // no keeper had capacity within the maximum wait
	SourceUnsettled Source = "new"    // the keeper cannot decide: not all nodes have reported yet, or it has no eligible worker
	SourceNoAnswer  Source = "silent" // no keeper is known, or it did not answer in time
)

// Placement is the result of Find. Without a Reservation the node chooses a worker from local knowledge.
type Placement struct {
	Reservation *Reservation
	Source      Source
	Group       Group
	Keeper      string        // process that was queried last
	Reason      Reason        // reason of the keeper's decision
	Busy        float64       // utilization of the group, see Answer.Busy; 0 if not known
	Age         time.Duration // age of Busy; 0 if a query returned it
	Took        time.Duration // duration of Find
}

// Reserve looks for a worker for a request. It queries the group's keeper unless the load is low or not
// known yet. If the group is full, it may query another zone, and waits for up to PlacementRequest.MaxWait.
func (r *Client) Reserve(ctx context.Context, wanted PlacementRequest) Placement {
	begun := time.Now()
	found := r.find(ctx, wanted, begun)
	found.Took = time.Since(begun)
	r.options.OnFind(found)
	return found
}

func (r *Client) find(ctx context.Context, wanted PlacementRequest, begun time.Time) Placement {
	group, ok := r.groupFor(wanted)
	if !ok {
		return Placement{Source: SourceUntracked}
	}
	found, sufficient := r.localView(group, begun)
	if sufficient {
		return found
	}
	answer, found := r.ask(ctx, group, wanted, 0)
	if answer.Outcome != OutcomeWait {
		return found
	}
	if other, ok := r.tryOtherZone(ctx, group, wanted, answer.After); ok {
		return other
	}
	for {
		remaining := wanted.MaxWait - time.Since(begun)
		if remaining < minHold || ctx.Err() != nil {
			return found
		}
		answer, found = r.ask(ctx, group, wanted, min(remaining, maxHoldPerQuery))
		if answer.Outcome != OutcomeWait {
			return found
		}
	}
}

// groupFor returns the group of the request's home worker, or else a group of this node's zone. ok is
// false if the home worker is in another region: its keeper does not weigh the cost of the longer
// path.
func (r *Client) groupFor(wanted PlacementRequest) (Group, bool) {
	group, ok := r.options.Workers.GroupOf(wanted.Service, wanted.Home)
	if ok && wanted.Allows(group.Zone) {
		return group, r.options.Workers.InRegion(group.Zone)
	}
	if !wanted.Allows(r.options.Zone) {
		return Group{}, false
	}
	return r.options.Workers.GroupIn(wanted.Service, r.options.Zone, wanted.Key)
}

// localView returns what this node knows of a group, and whether that suffices to choose a worker
// without its keeper.
func (r *Client) localView(group Group, now time.Time) (found Placement, sufficient bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, ok := r.groups[group]
	if !ok {
		return Placement{Source: SourceLocal, Group: group}, true
	}
	found = Placement{Source: SourceLocal, Group: group, Keeper: state.keeper}
	if busy, age, known := state.Busy(now); known {
		found.Busy, found.Age = busy, age
	}
	return found, state.CanDecideLocally(now)
}

// ask queries a group's keeper, which may hold the query for up to hold.
func (r *Client) ask(ctx context.Context, group Group, wanted PlacementRequest, hold time.Duration) (Answer, Placement) {
	found := Placement{Source: SourceNoAnswer, Group: group}
	keeper, passed, ok := r.options.Slots.keeper(group, r.isSuspected)
	if !ok {
		return Answer{}, found
	}
	found.Keeper = keeper.Process
	answer, sequence, ok := r.query(ctx, group, keeper, passed, r.newAsk(wanted, group, hold))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.groupState(group)
	if state == nil {
		return Answer{}, found
	}
	state.QueryDone(sequence)
	if !ok || !answer.Keeper {
		return Answer{}, found
	}
	found.Busy, found.Reason = answer.Busy, answer.Reason
	switch answer.Outcome {
	case OutcomeAssigned:
		found.Source = SourceKeeper
		state.BeginGranted(answer.Worker, wanted.Tokens)
		found.Reservation = &Reservation{reporter: r, group: group, worker: answer.Worker, tokens: wanted.Tokens, started: time.Now()}
	case OutcomeUnknown:
		found.Source = SourceUnsettled
	default:
		found.Source = SourceFull
	}
	return answer, found
}

// query sends a query to a keeper and waits for the answer. It returns the sequence of the query, 0 if
// none was sent, and whether the keeper answered.
func (r *Client) query(ctx context.Context, group Group, keeper budget.Holder, passed bool, ask Ask) (Answer, uint64, bool) {
	timeout := r.options.Patience.For(keeper.Process, queryTimeout, maxQueryTimeout)
	queryCtx, cancel := context.WithTimeout(ctx, timeout+ask.Patience)
	defer cancel()
	request, sequence := r.newRequest(group, keeper, passed, &ask)
	if sequence == 0 {
		return Answer{}, 0, false
	}
	answer, ok := r.send(queryCtx, group, keeper, request, false)
	return answer, sequence, ok
}

// newAsk returns the description of a request that is sent to a keeper.
func (r *Client) newAsk(wanted PlacementRequest, group Group, hold time.Duration) Ask {
	return Ask{
		Program:  wanted.Program,
		Home:     wanted.Home,
		Fresh:    wanted.Fresh,
		Tokens:   wanted.Tokens,
		Exclude:  append(r.options.Workers.Excluded(group), wanted.Exclude...),
		Patience: hold,
	}
}

// tryOtherZone queries the nearest group of another zone that is expected to be faster than waiting
// for after.
func (r *Client) tryOtherZone(ctx context.Context, group Group, wanted PlacementRequest, after time.Duration) (Placement, bool) {
	for _, zone := range r.options.Workers.OtherZones(wanted.Service, group.Zone) {
		cost := 2 * zone.RoundTrip // round trips to its keeper and to its worker
		if wanted.Home != "" {
			cost += prefillTime(wanted.Fresh)
		}
		if !wanted.Allows(zone.Zone) || cost >= after {
			continue
		}
		other, ok := r.options.Workers.GroupIn(wanted.Service, zone.Zone, wanted.Key)
		if !ok || r.recentlyFull(other) {
			continue
		}
		if answer, found := r.ask(ctx, other, wanted, 0); answer.Outcome == OutcomeAssigned {
			found.Source = SourceOtherZone
			return found, true
		}
		return Placement{}, false // at most one query to another zone per request
	}
	return Placement{}, false
}

// recentlyFull reports whether the keeper's latest status is recent and showed a full group.
func (r *Client) recentlyFull(group Group) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, ok := r.groups[group]
	if !ok {
		return false
	}
	busy, age, known := state.Busy(time.Now())
	return known && age < fullTTL && busy >= 1
}
