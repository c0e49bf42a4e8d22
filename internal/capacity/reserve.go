package capacity

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/scheduling"
)

const (
	// maxHoldPerQuery is how long a coordinator may hold one query. Longer waits repeat the query,
	// which detects a coordinator that failed meanwhile.
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

// Source is how the worker of a request was chosen, or why none was. It is a metric label.
type Source string

// Values of Source.
const (
	SourceUntracked   Source = "none"   // no group: capacity is not tracked, the home worker is in another region, or this zone is not allowed
	SourceLocal       Source = "calm"   // the load is low or not known yet; no query was sent
	SourceCoordinator Source = "keeper" // the group's coordinator assigned a worker
	SourceOtherZone   Source = "away"   // the coordinator of a group in another zone assigned a worker, since the first group was full
	SourceFull        Source = "full"   // no coordinator had capacity within the maximum wait
	SourceUnsettled   Source = "new"    // the coordinator cannot decide: not all nodes have reported yet, or it has no eligible worker
	SourceNoAnswer    Source = "silent" // no coordinator is available, or it did not answer in time
)

// Placement is the result of Reserve. Without a Reservation the node chooses a worker from its
// local state.
type Placement struct {
	Reservation *Reservation
	Source      Source
	Group       Group
	Coordinator string        // process that was queried last
	Reason      Reason        // reason of the coordinator's decision
	Utilization float64       // utilization of the group, see Answer.Busy; 0 if not known
	Age         time.Duration // age of Utilization; 0 if a query returned it
	Took        time.Duration // duration of Reserve
}

// Reserve looks for a worker for a request. It queries the group's coordinator unless the load is
// low or not known yet. If the group is full, it may query another zone, and waits for up to
// PlacementRequest.MaxWait.
func (c *Client) Reserve(ctx context.Context, request PlacementRequest) Placement {
	start := time.Now()
	placement := c.find(ctx, request, start)
	placement.Took = time.Since(start)
	c.options.OnFind(placement)
	return placement
}

func (c *Client) find(ctx context.Context, request PlacementRequest, start time.Time) Placement {
	group, ok := c.groupFor(request)
	if !ok {
		return Placement{Source: SourceUntracked}
	}
	placement, sufficient := c.localView(group, start)
	if sufficient {
		return placement
	}
	answer, placement := c.queryGroup(ctx, group, request, 0)
	if answer.Outcome != OutcomeWait {
		return placement
	}
	if other, ok := c.tryOtherZone(ctx, group, request, answer.After); ok {
		return other
	}
	for {
		remaining := request.MaxWait - time.Since(start)
		if remaining < minHold || ctx.Err() != nil {
			return placement
		}
		answer, placement = c.queryGroup(ctx, group, request, min(remaining, maxHoldPerQuery))
		if answer.Outcome != OutcomeWait {
			return placement
		}
	}
}

// groupFor returns the group of the request's home worker, or else a group of this node's zone. ok is
// false if the home worker is in another region: its coordinator does not weigh the cost of the longer
// path.
func (c *Client) groupFor(request PlacementRequest) (Group, bool) {
	group, ok := c.options.Workers.GroupOf(request.Service, request.Home)
	if ok && request.Allows(group.Zone) {
		return group, c.options.Workers.InRegion(group.Zone)
	}
	if !request.Allows(c.options.Zone) {
		return Group{}, false
	}
	return c.options.Workers.GroupIn(request.Service, c.options.Zone, request.Key)
}

// localView returns the cached state of a group, and whether it suffices to choose a worker without
// the group's coordinator.
func (c *Client) localView(group Group, now time.Time) (placement Placement, sufficient bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state, ok := c.groups[group]
	if !ok {
		return Placement{Source: SourceLocal, Group: group}, true
	}
	placement = Placement{Source: SourceLocal, Group: group, Coordinator: state.coordinator}
	if utilization, age, known := state.Utilization(now); known {
		placement.Utilization, placement.Age = utilization, age
	}
	return placement, state.CanDecideLocally(now)
}

// queryGroup queries a group's coordinator, which may hold the query for up to hold.
func (c *Client) queryGroup(ctx context.Context, group Group, request PlacementRequest, hold time.Duration) (Answer, Placement) {
	placement := Placement{Source: SourceNoAnswer, Group: group}
	coordinator, passed, ok := c.options.Resolver.coordinator(group, c.isSuspected)
	if !ok {
		return Answer{}, placement
	}
	placement.Coordinator = coordinator.Process
	answer, sequence, ok := c.query(ctx, group, coordinator, passed, c.newAsk(request, group, hold))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.groupState(group)
	if state == nil {
		return Answer{}, placement
	}
	state.QueryDone(sequence)
	if !ok || !answer.Keeper {
		return Answer{}, placement
	}
	placement.Utilization, placement.Reason = answer.Busy, answer.Reason
	switch answer.Outcome {
	case OutcomeAssigned:
		placement.Source = SourceCoordinator
		state.BeginGranted(answer.Worker, request.Tokens)
		placement.Reservation = &Reservation{client: c, group: group, worker: answer.Worker, tokens: request.Tokens, started: time.Now()}
	case OutcomeUnknown:
		placement.Source = SourceUnsettled
	default:
		placement.Source = SourceFull
	}
	return answer, placement
}

// query sends a query to a coordinator and waits for the answer. It returns the sequence of the
// query, 0 if none was sent, and whether the coordinator answered.
func (c *Client) query(ctx context.Context, group Group, coordinator budget.Holder, passed bool, ask Ask) (Answer, uint64, bool) {
	timeout := c.options.ResponseTimes.For(coordinator.Process, queryTimeout, maxQueryTimeout)
	queryCtx, cancel := context.WithTimeout(ctx, timeout+ask.Patience)
	defer cancel()
	request, sequence := c.newRequest(group, coordinator, passed, &ask)
	if sequence == 0 {
		return Answer{}, 0, false
	}
	answer, ok := c.send(queryCtx, group, coordinator, request, false)
	return answer, sequence, ok
}

// newAsk returns the description of a request that is sent to a coordinator.
func (c *Client) newAsk(request PlacementRequest, group Group, hold time.Duration) Ask {
	return Ask{
		Program:  request.Program,
		Home:     request.Home,
		Fresh:    request.Fresh,
		Tokens:   request.Tokens,
		Exclude:  append(c.options.Workers.Excluded(group), request.Exclude...),
		Patience: hold,
	}
}

// tryOtherZone queries the nearest group of another zone that is expected to be faster than waiting
// for after.
func (c *Client) tryOtherZone(ctx context.Context, group Group, request PlacementRequest, after time.Duration) (Placement, bool) {
	for _, zone := range c.options.Workers.OtherZones(request.Service, group.Zone) {
		cost := 2 * zone.RoundTrip // round trips to its coordinator and to its worker
		if request.Home != "" {
			cost += prefillTime(request.Fresh)
		}
		if !request.Allows(zone.Zone) || cost >= after {
			continue
		}
		other, ok := c.options.Workers.GroupIn(request.Service, zone.Zone, request.Key)
		if !ok || c.recentlyFull(other) {
			continue
		}
		if answer, placement := c.queryGroup(ctx, other, request, 0); answer.Outcome == OutcomeAssigned {
			placement.Source = SourceOtherZone
			return placement, true
		}
		return Placement{}, false // at most one query to another zone per request
	}
	return Placement{}, false
}

// recentlyFull reports whether the coordinator's latest status is recent and showed a full group.
func (c *Client) recentlyFull(group Group) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state, ok := c.groups[group]
	if !ok {
		return false
	}
	utilization, age, known := state.Utilization(time.Now())
	return known && age < fullTTL && utilization >= 1
}
