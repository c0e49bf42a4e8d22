package admission

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/standing"
)

const (
	// toldKept bounds the programs that are remembered as told to come back.
	toldKept = 2048
	// returnsFor is for how long after the time told a program still counts as one that returns.
	returnsFor = 3 * time.Second
	// queuesKept bounds the queues whose load is followed.
	queuesKept = 64
)

// Keepers tells the word of who keeps account of a service's room.
type Keepers interface {
	// Busy returns nil if nobody is known to keep it.
	Busy(service string) *Keeper
}

// queue is where turns wait for each other: workers take the more urgent first.
type queue struct {
	service string
	urgency int
}

// Gate remembers what admission at one node is decided by. It is safe for concurrent use, and
// bounded in memory.
type Gate struct {
	keepers Keepers
	mutex   sync.Mutex
	windows map[queue]*window
	told    told
}

// NewGate returns one that has seen nothing; keepers may be nil.
func NewGate(keepers Keepers) *Gate {
	return &Gate{keepers: keepers, windows: map[queue]*window{}, told: told{returns: map[uint64]time.Time{}}}
}

// Decide decides on a program's turn, and remembers whom it told to come back.
func (g *Gate) Decide(service string, program standing.Program, left time.Duration, now time.Time) (Verdict, Ask, Load) {
	ask := Ask{Program: program, Left: left}
	if !program.Begins {
		return Decide(ask, Load{}), ask, Load{}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	w := g.window(queue{service, program.Urgency})
	load, let := w.load(now)
	if g.keepers != nil {
		load.Keeper = g.keepers.Busy(service)
	}
	ask.Pace = float64(let) / span.Seconds()
	if load.Crowded() {
		w.crowded = now
		ask.Ahead = g.told.ahead(now)
	}
	key := xxhash.Sum64String(program.Key)
	ask.Program.Returns = g.told.comes(key, now)
	verdict := Decide(ask, load)
	if verdict.In {
		w.at(now).let++
		delete(g.told.returns, key)
	} else {
		g.told.add(key, now.Add(verdict.After))
	}
	return verdict, ask, load
}

// Sent takes in that a program's turn is sent to a worker. First or Ended is to be called of what
// it returns.
func (g *Gate) Sent(service string, program standing.Program, idle Idle, now time.Time) *Sending {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	behind := standing.Classify(program) == standing.New
	sending := &Sending{window: g.window(queue{service, program.Urgency}), sent: now, idle: idle, behind: behind}
	sending.window.pending[sending] = struct{}{}
	sending.window.idle = idle.Whole
	return sending
}

// First takes in that the first event of a turn comes.
func (g *Gate) First(sending *Sending, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(sending.window.pending, sending)
	sending.window.first(sending, now)
}

// Ended takes in that no first event of a turn comes any more. What it waited for until then counts.
func (g *Gate) Ended(sending *Sending, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(sending.window.pending, sending)
	if _, waited := sending.excess(now); waited {
		sending.window.first(sending, now)
	}
}

// Declined takes in that a worker said that it is full.
func (g *Gate) Declined(service string, urgency int, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.window(queue{service, urgency}).declined(now)
}

// window is that of a queue. The caller holds the mutex.
func (g *Gate) window(of queue) *window {
	w, ok := g.windows[of]
	if ok {
		return w
	}
	if len(g.windows) >= queuesKept {
		clear(g.windows) // what they hold is of the last second
	}
	w = &window{pending: map[*Sending]struct{}{}}
	g.windows[of] = w
	return w
}

// told remembers when programs were told to come back.
type told struct {
	returns map[uint64]time.Time
	order   []uint64
}

// add remembers that a program was told.
func (t *told) add(key uint64, at time.Time) {
	if _, known := t.returns[key]; !known {
		t.order = append(t.order, key)
	}
	t.returns[key] = at
	if len(t.order) > toldKept {
		delete(t.returns, t.order[0])
		t.order = t.order[1:]
	}
}

// comes reports whether a program was told to come back by now.
func (t *told) comes(key uint64, now time.Time) bool {
	at, known := t.returns[key]
	return known && !now.Before(at) && now.Before(at.Add(returnsFor))
}

// ahead is how many have been told to come and are still awaited.
func (t *told) ahead(now time.Time) int {
	count := 0
	for _, at := range t.returns {
		if now.Before(at) {
			count++
		}
	}
	return count
}
