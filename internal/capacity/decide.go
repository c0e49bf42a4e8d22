package capacity

import (
	"slices"
	"time"
)

const (
	// prefillTokensPerMillisecond is a conservative estimate of a worker's prefill speed.
	prefillTokensPerMillisecond = 50
	// overcommit is how many requests a worker may get above its concurrency limit. One request
	// replaces another whose end has not been reported yet.
	overcommit = 1
	// defaultHoldTime is used until hold times have been reported.
	defaultHoldTime = 200 * time.Millisecond
	// minRetryAfter is the lower bound of Answer.After.
	minRetryAfter = 5 * time.Millisecond
)

// Decide returns the worker that a request should be sent to now, or after which time to query
// again. ahead is the number of queries queued before it. Decide records no grant.
func (l *GroupLoad) Decide(ask Ask, ahead int, now time.Time) Answer {
	answer := Answer{Keeper: true, Busy: l.Utilization(), Settled: l.Settled(now), Waiting: ahead}
	switch {
	case !answer.Settled:
		answer.Reason = ReasonUnsettled
		return answer
	case len(l.members) == 0:
		answer.Reason = ReasonNoWorkers
		return answer
	}
	worker, reason := l.chooseWorker(ask, now)
	answer.Reason = reason
	if worker != "" {
		answer.Outcome, answer.Worker = OutcomeAssigned, worker
		return answer
	}
	answer.Outcome = OutcomeWait
	answer.After = l.expectedWait(ahead)
	return answer
}

// chooseWorker returns the key of a worker. The key is empty if no worker has capacity or if waiting
// for the home worker is faster.
func (l *GroupLoad) chooseWorker(ask Ask, now time.Time) (string, Reason) {
	best, free := l.mostFree(ask, now)
	if home := l.homeMember(ask, now); home != nil {
		sooner := best == nil || l.timeToFree(*home) <= l.timeToFree(*best)+prefillTime(ask.Fresh)
		switch {
		case l.fits(*home, ask, 0):
			return home.Worker, ReasonHome
		case sooner && l.fits(*home, ask, overcommit):
			return home.Worker, ReasonHomeSooner
		case sooner && free <= 0:
			return "", ReasonFull
		}
	}
	switch {
	case best == nil:
		return "", ReasonFull
	case free > 0:
		return best.Worker, ReasonMostFree
	default:
		return best.Worker, ReasonOvercommit
	}
}

// mostFree returns the eligible worker with most free capacity and the number of requests that fit
// below its concurrency limit; 0 if only overcommit is left. best is nil if no worker has capacity.
func (l *GroupLoad) mostFree(ask Ask, now time.Time) (best *Member, bestFree int) {
	for index := range l.members {
		member := &l.members[index]
		if !l.eligible(member.Worker, ask, now) || !l.fits(*member, ask, overcommit) {
			continue
		}
		free := member.Concurrency - l.loads[member.Worker].requests
		if best == nil || free > bestFree || free == bestFree && l.moreFreeMemory(*member, *best) {
			best, bestFree = member, free
		}
	}
	return best, bestFree
}

// moreFreeMemory reports whether one worker has more free memory than the other.
func (l *GroupLoad) moreFreeMemory(one, other Member) bool {
	return one.Memory-l.loads[one.Worker].tokens > other.Memory-l.loads[other.Worker].tokens
}

// homeMember returns the worker that holds the request's context; nil if there is none or if it may
// not get the request.
func (l *GroupLoad) homeMember(ask Ask, now time.Time) *Member {
	if ask.Home == "" || !l.eligible(ask.Home, ask, now) {
		return nil
	}
	index := slices.IndexFunc(l.members, func(member Member) bool { return member.Worker == ask.Home })
	if index < 0 {
		return nil
	}
	return &l.members[index]
}

// eligible reports whether a worker is neither excluded by the request nor has just declined one.
func (l *GroupLoad) eligible(worker string, ask Ask, now time.Time) bool {
	return !slices.Contains(ask.Exclude, worker) && !now.Before(l.declined[worker])
}

// fits reports whether a worker has capacity and memory for the request, with extra requests above its
// concurrency limit. An empty worker accepts a request larger than its memory, since no other worker
// could take it.
func (l *GroupLoad) fits(member Member, ask Ask, extra int) bool {
	current := l.loads[member.Worker]
	if current.requests >= member.Concurrency+extra {
		return false
	}
	return member.Memory == 0 || current.requests == 0 || current.tokens+ask.Tokens <= member.Memory
}

// timeToFree returns the expected time until a worker runs fewer requests than its concurrency limit.
func (l *GroupLoad) timeToFree(member Member) time.Duration {
	excess := l.loads[member.Worker].requests - member.Concurrency + 1
	return time.Duration(max(excess, 0)) * l.meanHoldTime() / time.Duration(max(member.Concurrency, 1))
}

// expectedWait returns the expected time until a worker has capacity for a query with ahead others
// before it. It is at least minRetryAfter.
func (l *GroupLoad) expectedWait(ahead int) time.Duration {
	return max(minRetryAfter, time.Duration(ahead+1)*l.meanHoldTime()/time.Duration(max(l.totalCapacity(), 1)))
}

// meanHoldTime returns the average time that a request occupies a worker, or a default before any
// report of it.
func (l *GroupLoad) meanHoldTime() time.Duration {
	if l.holdTime == 0 {
		return defaultHoldTime
	}
	return l.holdTime
}

// prefillTime returns the estimated time in which a worker reads tokens.
func prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Millisecond / prefillTokensPerMillisecond
}

// homeHasCapacity reports whether the worker that holds the request's context can take it, overcommit
// included.
func (l *GroupLoad) homeHasCapacity(ask Ask, now time.Time) bool {
	home := l.homeMember(ask, now)
	return home != nil && l.fits(*home, ask, overcommit)
}
