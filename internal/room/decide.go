package room

import (
	"slices"
	"time"
)

const (
	// readPerMillisecond is a cautious guess of how many tokens a worker reads in a millisecond.
	readPerMillisecond = 50
	// overbooked is how many requests a worker may have beyond its places: one, which takes the
	// place of another whose end has not been told yet.
	overbooked = 1
	// guessedHeld is taken for how long a place is held while nothing was told of it.
	guessedHeld = 200 * time.Millisecond
	// shortestWait is the least time after which it is worth asking again.
	shortestWait = 5 * time.Millisecond
)

// Decide says where a request goes now; ahead is how many others wait before it. Nothing is given
// out by it.
func (a *Account) Decide(ask Ask, ahead int, now time.Time) Answer {
	answer := Answer{Keeper: true, Busy: a.Busy(), Settled: a.Settled(now), Waiting: ahead}
	switch {
	case !answer.Settled:
		answer.Reason = ReasonNew
		return answer
	case len(a.members) == 0:
		answer.Reason = ReasonNone
		return answer
	}
	worker, reason := a.pick(ask, now)
	answer.Reason = reason
	if worker != "" {
		answer.Outcome, answer.Worker = Go, worker
		return answer
	}
	answer.Outcome = Wait
	answer.After = a.untilFree(ahead)
	return answer
}

// pick chooses a worker; empty: none has room, or none that is worth going to.
func (a *Account) pick(ask Ask, now time.Time) (string, Reason) {
	best, room := a.roomiest(ask, now)
	if home := a.home(ask, now); home != nil {
		sooner := best == nil || a.untilPlace(*home) <= a.untilPlace(*best)+reading(ask.Fresh)
		switch {
		case a.fits(*home, ask, 0):
			return home.Worker, ReasonHome
		case sooner && a.fits(*home, ask, overbooked):
			return home.Worker, ReasonSooner
		case sooner && room <= 0:
			return "", ReasonFull
		}
	}
	switch {
	case best == nil:
		return "", ReasonFull
	case room > 0:
		return best.Worker, ReasonRoomiest
	default:
		return best.Worker, ReasonOverbook
	}
}

// roomiest is the worker with most room of those that may get the request, and its free places: 0
// if it is taken one place beyond those that it has. Nil: none has room.
func (a *Account) roomiest(ask Ask, now time.Time) (best *Member, room int) {
	for index := range a.members {
		member := &a.members[index]
		if !a.usable(member.Worker, ask, now) || !a.fits(*member, ask, overbooked) {
			continue
		}
		free := member.Places - a.taken[member.Worker].requests
		if best == nil || free > room || free == room && a.emptier(*member, *best) {
			best, room = member, free
		}
	}
	return best, room
}

// emptier reports whether a worker has more memory left than another.
func (a *Account) emptier(one, other Member) bool {
	return one.Memory-a.taken[one.Worker].tokens > other.Memory-a.taken[other.Worker].tokens
}

// home is the worker that knows the request's context, if it may get it.
func (a *Account) home(ask Ask, now time.Time) *Member {
	if ask.Home == "" || !a.usable(ask.Home, ask, now) {
		return nil
	}
	index := slices.IndexFunc(a.members, func(member Member) bool { return member.Worker == ask.Home })
	if index < 0 {
		return nil
	}
	return &a.members[index]
}

// usable reports whether a worker may get the request at all.
func (a *Account) usable(worker string, ask Ask, now time.Time) bool {
	return !slices.Contains(ask.Exclude, worker) && !now.Before(a.declined[worker])
}

// fits reports whether a worker has a place for the request, beyond those that it has if need be,
// and memory. An empty worker takes what is larger than its memory: nobody else could.
func (a *Account) fits(member Member, ask Ask, beyond int) bool {
	present := a.taken[member.Worker]
	if present.requests >= member.Places+beyond {
		return false
	}
	return member.Memory == 0 || present.requests == 0 || present.tokens+ask.Tokens <= member.Memory
}

// untilPlace is when a worker is expected to have a place.
func (a *Account) untilPlace(member Member) time.Duration {
	lacking := a.taken[member.Worker].requests - member.Places + 1
	return time.Duration(max(lacking, 0)) * a.usuallyHeld() / time.Duration(max(member.Places, 1))
}

// untilFree is when some worker is expected to have a place for one who comes after so many others.
func (a *Account) untilFree(ahead int) time.Duration {
	return max(shortestWait, time.Duration(ahead+1)*a.usuallyHeld()/time.Duration(max(a.places(), 1)))
}

func (a *Account) usuallyHeld() time.Duration {
	if a.held == 0 {
		return guessedHeld
	}
	return a.held
}

// reading is how long it takes to read tokens.
func reading(tokens int) time.Duration {
	return time.Duration(tokens) * time.Millisecond / readPerMillisecond
}

// homeHasRoom reports whether the worker that knows a request's context has a place for it, or one
// beyond those that it has.
func (a *Account) homeHasRoom(ask Ask, now time.Time) bool {
	home := a.home(ask, now)
	return home != nil && a.fits(*home, ask, overbooked)
}
