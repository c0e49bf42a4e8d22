package admission

import (
	"fmt"
	"time"
)

// Load is how full the workers of a service are for turns of one urgency, as one node knows it.
type Load struct {
	// Behind are the turns that come after the others of their urgency, first turns among them:
	// they have queues to wait in as soon as there are any. Ahead are the others.
	Ahead, Behind Waits
	Declines      int // workers' words that they are full, of late
	// Idle is what one of these turns takes where nothing makes it wait; 0: not known.
	Idle time.Duration
	// Free says that the newest of what was seen is a first event of those behind that had not waited: a
	// worker has a free place.
	Free bool
	Age  time.Duration // since the newest of what was seen; 0 while a turn waits that has waited by now
	// Was says that it was crowded a moment ago: first turns that are refused show nothing.
	Was bool
	// Keeper is the word of who keeps account of the workers' room; nil: not known.
	Keeper *Keeper
}

// Waits is how some turns waited at their workers of late.
type Waits struct {
	Events int           // first events that came, or should have come if they had not to wait
	Waited int           // of them, those that waited
	Excess time.Duration // that they came later than where nothing makes them wait, in sum
}

// mean is what each had to wait.
func (w Waits) mean() time.Duration {
	if w.Events == 0 {
		return 0
	}
	return w.Excess / time.Duration(w.Events)
}

func (w *Waits) add(other Waits) {
	w.Events += other.Events
	w.Waited += other.Waited
	w.Excess += other.Excess
}

func (w *Waits) observe(excess time.Duration, waited bool) {
	w.Events++
	w.Excess += excess
	if waited {
		w.Waited++
	}
}

// String tells the load for a log line.
func (l Load) String() string {
	text := fmt.Sprintf("first=%d/%d/%dms next=%d/%d/%dms declines=%d free=%t age_ms=%d",
		l.Behind.Waited, l.Behind.Events, l.Behind.mean().Milliseconds(),
		l.Ahead.Waited, l.Ahead.Events, l.Ahead.mean().Milliseconds(), l.Declines, l.Free, min(l.Age, time.Hour).Milliseconds())
	if l.Keeper != nil {
		text += fmt.Sprintf(" keeper=%.2f keeper_age_ms=%d", l.Keeper.Busy, l.Keeper.Age.Milliseconds())
	}
	return text
}

// Keeper is a word of who keeps account of the workers' room.
type Keeper struct {
	Busy float64 // share of the places that are taken; above 1 if requests wait at workers
	Age  time.Duration
}

// queue is how long a turn waits at a worker: until what waits before it has had its places, each for
// as long as a turn takes.
func (k *Keeper) queue(idle time.Duration) time.Duration {
	return time.Duration(max(0, k.Busy-fullyBusy) * float64(idle))
}

// Crowded reports whether all that is known says that the workers have queues.
func (l Load) Crowded() bool {
	if l.Keeper != nil && l.Keeper.Age <= KeeperAge {
		return l.Keeper.Busy > fullyBusy
	}
	if l.Free || l.Age > freshFor {
		return false
	}
	signs := l.Behind.Events + l.Declines
	enough := signs >= enoughEvents || signs > 0 && (l.Was || l.Idle > 0 && l.Behind.Excess >= enoughEvents*l.Idle)
	return enough && float64(l.Behind.Waited+l.Declines) >= crowdedShare*float64(signs)
}

// Wait is what a program that begins now has to wait in all its turns.
func (l Load) Wait(turns int) time.Duration {
	wait := l.Behind.mean() + time.Duration(max(0, turns-1))*l.Ahead.mean()
	if l.Keeper != nil {
		wait = max(wait, time.Duration(max(1, turns))*l.Keeper.queue(l.Idle))
	}
	if l.Declines == 0 {
		return wait
	}
	each := time.Duration(float64(shortestRetry) * float64(l.Declines) / float64(max(1, l.Behind.Events+l.Ahead.Events)))
	return wait + time.Duration(max(1, turns))*each
}

const (
	// span is for how long what was seen counts, and parts into how many slices it is divided.
	span  = 1000 * time.Millisecond
	parts = 8
	// waitedShare of the time that a turn takes where nothing makes it wait is what it must have
	// lost to count as one that waited: about what callers' multiples leave each.
	waitedShare = 1.0 / 3
)

// slice is what was seen in a part of the span.
type slice struct {
	number   int64 // of the part, since the beginning of time
	ahead    Waits
	behind   Waits
	declines int
	let      int // programs let in
}

// Idle is what a turn takes where nothing makes it wait.
type Idle struct {
	First time.Duration // until its first event
	Whole time.Duration
}

// Sending is a turn at a worker whose first event has not come.
type Sending struct {
	window *window
	sent   time.Time
	idle   Idle
	behind bool
}

// excess is how much longer than where nothing makes it wait the first event takes.
func (s *Sending) excess(now time.Time) (excess time.Duration, waited bool) {
	excess = max(0, now.Sub(s.sent)-s.idle.First)
	return excess, float64(excess) > waitedShare*float64(s.idle.Whole)
}

// window is what was seen in the last span of turns of one urgency before one service.
type window struct {
	slices  [parts]slice
	pending map[*Sending]struct{}
	free    bool
	newest  time.Time
	crowded time.Time // when it was last taken to be crowded
	idle    time.Duration
}

// at is the part of a moment, empty if it is new.
func (w *window) at(now time.Time) *slice {
	number := now.UnixNano() / int64(span/parts)
	part := &w.slices[number%parts]
	if part.number != number {
		*part = slice{number: number}
	}
	return part
}

// first takes in that the first event of a turn comes.
func (w *window) first(sending *Sending, now time.Time) {
	excess, waited := sending.excess(now)
	if !sending.behind {
		w.at(now).ahead.observe(excess, waited)
		return
	}
	w.at(now).behind.observe(excess, waited)
	w.free, w.newest = !waited, now
}

// declined takes in that a worker said that it is full.
func (w *window) declined(now time.Time) {
	w.at(now).declines++
	w.free, w.newest = false, now
}

// load sums the span up, with the turns that have waited by now and wait still.
func (w *window) load(now time.Time) (load Load, let int) {
	oldest := now.UnixNano()/int64(span/parts) - parts
	for index := range w.slices {
		part := &w.slices[index]
		if part.number <= oldest {
			continue
		}
		load.Ahead.add(part.ahead)
		load.Behind.add(part.behind)
		load.Declines += part.declines
		let += part.let
	}
	load.Free, load.Age = w.free, now.Sub(w.newest)
	load.Idle = w.idle
	load.Was = now.Sub(w.crowded) < span
	for sending := range w.pending {
		excess, waited := sending.excess(now)
		switch {
		case waited && sending.behind:
			load.Behind.observe(excess, true)
			load.Age = 0
		case waited:
			load.Ahead.observe(excess, true)
		}
	}
	return load, let
}
