package room

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/standing"
)

const (
	// holdOnce is how long a keeper may hold a question; then it is asked again, by which a keeper
	// that was lost meanwhile is found out.
	holdOnce = 100 * time.Millisecond
	// leastHold is the least time worth asking for.
	leastHold = 5 * time.Millisecond
	// fullLasts is for how long another zone's group is not asked that was full.
	fullLasts = 50 * time.Millisecond
)

// Wanted describes a request that needs a worker.
type Wanted struct {
	Service string
	Key     string   // programs that begin are spread over groups by it
	Home    string   // key of the worker that knows its context; empty: none does
	Fresh   int      // tokens that any other worker has to read
	Tokens  int      // that it may hold in all
	Exclude []string // keys of workers that may not get it
	Program standing.Program
	// Longest is how long it may wait for room.
	Longest time.Duration
	// Allows reports whether the request may be served in a zone.
	Allows func(zone string) bool
}

// Source is by what a request found its worker.
type Source string

// The sources.
const (
	SourceNone   Source = "none"   // no room is kept here
	SourceCalm   Source = "calm"   // the group's keeper has just said that there is room
	SourceKeeper Source = "keeper" // its keeper
	SourceAway   Source = "away"   // that of another zone's group: the first had no room
	SourceFull   Source = "full"   // no keeper had room while the request could wait
	SourceNew    Source = "new"    // the keeper cannot tell yet
	SourceSilent Source = "silent" // no keeper answered in time
)

// Found is where a request goes. Without a place the node decides by itself.
type Found struct {
	Place  *Place
	Source Source
	Group  Group
	Keeper string // process that was asked last
	Reason Reason // of its decision
	Busy   float64
	Age    time.Duration // of the word on Busy
	Took   time.Duration
}

// Find asks for a place while room is short.
func (r *Reporter) Find(ctx context.Context, wanted Wanted) Found {
	begun := time.Now()
	found := r.find(ctx, wanted, begun)
	found.Took = time.Since(begun)
	r.options.Count(found)
	return found
}

func (r *Reporter) find(ctx context.Context, wanted Wanted, begun time.Time) Found {
	group, ok := r.groupFor(wanted)
	if !ok {
		return Found{Source: SourceNone}
	}
	found, calm := r.lookUp(group, begun)
	if calm {
		return found
	}
	answer, found := r.ask(ctx, group, wanted, 0)
	if answer.Outcome != Wait {
		return found
	}
	if away, ok := r.tryAway(ctx, group, wanted, answer.After); ok {
		return away
	}
	for {
		left := wanted.Longest - time.Since(begun)
		if left < leastHold || ctx.Err() != nil {
			return found
		}
		answer, found = r.ask(ctx, group, wanted, min(left, holdOnce))
		if answer.Outcome != Wait {
			return found
		}
	}
}

// groupFor is the group that a request belongs to: that of its home, or one of this node's zone.
// There is none if its home is of another region: what the way there is worth, no keeper knows.
func (r *Reporter) groupFor(wanted Wanted) (Group, bool) {
	group, ok := r.options.Workers.GroupOf(wanted.Service, wanted.Home)
	if ok && wanted.Allows(group.Zone) {
		return group, r.options.Workers.Near(group.Zone)
	}
	if !wanted.Allows(r.options.Zone) {
		return Group{}, false
	}
	return r.options.Workers.GroupIn(wanted.Service, r.options.Zone, wanted.Key)
}

// lookUp is what is known of a group, and whether that is enough to do without its keeper.
func (r *Reporter) lookUp(group Group, now time.Time) (found Found, calm bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	tally, ok := r.tallies[group]
	if !ok {
		return Found{Source: SourceCalm, Group: group}, true
	}
	found = Found{Source: SourceCalm, Group: group, Keeper: tally.keeper}
	if busy, age, known := tally.Busy(now); known {
		found.Busy, found.Age = busy, age
	}
	return found, tally.Calm(now)
}

// ask asks a group's keeper, which may hold the question for a while.
func (r *Reporter) ask(ctx context.Context, group Group, wanted Wanted, hold time.Duration) (Answer, Found) {
	found := Found{Source: SourceSilent, Group: group}
	keeper, passed, ok := r.options.Slots.keeper(group, r.passedOver)
	if !ok {
		return Answer{}, found
	}
	found.Keeper = keeper.Process
	answer, sequence, ok := r.question(ctx, group, keeper, passed, r.describe(wanted, group, hold))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	tally := r.tally(group)
	if tally == nil {
		return Answer{}, found
	}
	tally.Answered(sequence)
	if !ok || !answer.Keeper {
		return Answer{}, found
	}
	found.Busy, found.Reason = answer.Busy, answer.Reason
	switch answer.Outcome {
	case Go:
		found.Source = SourceKeeper
		tally.BeginGranted(answer.Worker, wanted.Tokens)
		found.Place = &Place{reporter: r, group: group, worker: answer.Worker, tokens: wanted.Tokens, since: time.Now()}
	case Unknown:
		found.Source = SourceNew
	default:
		found.Source = SourceFull
	}
	return answer, found
}

// question sends a question and waits for its answer.
func (r *Reporter) question(ctx context.Context, group Group, keeper budget.Holder, passed bool, ask Ask) (Answer, uint64, bool) {
	patience := r.options.Patience.Of(keeper.Process, askWait, longestAskWait)
	limited, cancel := context.WithTimeout(ctx, patience+ask.Patience)
	defer cancel()
	request, sequence := r.request(group, keeper, passed, &ask)
	if sequence == 0 {
		return Answer{}, 0, false
	}
	answer, ok := r.send(limited, group, keeper, request, false)
	return answer, sequence, ok
}

// describe is what a keeper is told of a request.
func (r *Reporter) describe(wanted Wanted, group Group, hold time.Duration) Ask {
	return Ask{
		Program:  wanted.Program,
		Home:     wanted.Home,
		Fresh:    wanted.Fresh,
		Tokens:   wanted.Tokens,
		Exclude:  append(r.options.Workers.Shunned(group), wanted.Exclude...),
		Patience: hold,
	}
}

// tryAway asks in other zones for a place that is had sooner than one of the request's own group.
func (r *Reporter) tryAway(ctx context.Context, group Group, wanted Wanted, after time.Duration) (Found, bool) {
	for _, other := range r.options.Workers.Others(wanted.Service, group.Zone) {
		cost := 2 * other.RoundTrip // to its keeper, and to its worker
		if wanted.Home != "" {
			cost += reading(wanted.Fresh)
		}
		if !wanted.Allows(other.Zone) || cost >= after {
			continue
		}
		away, ok := r.options.Workers.GroupIn(wanted.Service, other.Zone, wanted.Key)
		if !ok || r.fullLately(away) {
			continue
		}
		if answer, found := r.ask(ctx, away, wanted, 0); answer.Outcome == Go {
			found.Source = SourceAway
			return found, true
		}
		return Found{}, false // one question is enough for a request
	}
	return Found{}, false
}

// fullLately reports whether a group was full by its keeper's last word.
func (r *Reporter) fullLately(group Group) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	tally, ok := r.tallies[group]
	if !ok {
		return false
	}
	busy, age, known := tally.Busy(time.Now())
	return known && age < fullLasts && busy >= 1
}
