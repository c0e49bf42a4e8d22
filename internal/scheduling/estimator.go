package scheduling

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRoutes and maxPrograms bound the memory of an Estimator.
	maxRoutes   = 256
	maxPrograms = 1024
)

// Turn describes a turn, one request of a program, at its start.
type Turn struct {
	Route   string
	Program string // key of the program, the same on all nodes
	Tenant  string
	Urgency int    // priority of the route; 0 is the most urgent
	Branch  string // sequence of turns within the program, such as a sub-agent's; empty if unknown
	// Begins means that the turn does not continue an earlier one.
	Begins bool
	// Number is the number of the turn within its line, from 1; 0 if unknown.
	Number       int
	HasFinish    bool          // TimeToFinish is set
	TimeToFinish time.Duration // time left until the caller's deadline for the program
	Hint         int           // the caller's estimate of the tokens to be generated; 0 if none
}

// Outcome is the outcome of a turn.
type Outcome struct {
	Failed     bool          // the turn did not complete
	Total      time.Duration // from arrival to the end
	FirstEvent time.Duration // from sending to a worker to the first event
	Tokens     int           // tokens generated
}

// programState is the state of a program with turns at this node. Its main line is the line of its
// first turn.
type programState struct {
	line          uint64        // hash of the main line's name
	number        int           // number of the latest turn of the main line
	countedNumber int           // number of the latest completed turn of the main line
	budget        time.Duration // time to the deadline at the first turn
	waited        time.Duration // time that main-line turns spent queueing or on failed tries
	running       int           // turns in progress on all lines
	endedAt       time.Time     // when the latest turn completed; zero if none has
}

// Estimator estimates from the turns that pass through a node how long programs take. It is safe for
// concurrent use and bounded in memory.
type Estimator struct {
	mutex    sync.Mutex
	routes   fifoMap[string, routeStats]
	programs fifoMap[uint64, programState]
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{
		routes:   newFIFOMap[string, routeStats](maxRoutes),
		programs: newFIFOMap[uint64, programState](maxPrograms),
	}
}

// Begin records the start of a turn and returns the scheduling state of its program, without Returns.
// The caller must call End when the turn is over.
func (e *Estimator) Begin(turn Turn, now time.Time) Program {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	program := Program{
		Key: turn.Program, Tenant: turn.Tenant, Urgency: turn.Urgency,
		Begins: turn.Begins, Timed: turn.HasFinish, Finish: turn.TimeToFinish,
	}
	stats := e.routeStats(turn.Route)
	state := e.programs.get(xxhash.Sum64String(turn.Program))
	if state == nil && !turn.Begins {
		program.Needs, program.Turns = stats.remainingFromNumber(turn)
		return program
	}
	if state == nil {
		state = e.addProgram(turn)
	}
	program.Begins = turn.Begins && state.number <= 1
	state.beginTurn(turn, stats, now)
	program.Waited = state.idleTime(stats, now)
	program.Needs, program.Turns = state.remaining(turn, stats)
	state.running++
	return program
}

// End records the outcome of a turn that was passed to Begin.
func (e *Estimator) End(turn Turn, took Outcome, now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	stats := e.routeStats(turn.Route)
	state := e.programs.get(xxhash.Sum64String(turn.Program))
	if state != nil {
		state.endTurn(turn, stats, took, now)
	}
	if took.Failed {
		return
	}
	stats.turn.observe(took.Total, unloadedQuantile)
	stats.first.observe(took.FirstEvent, unloadedQuantile)
	stats.hints.observe(turn.Hint, took.Tokens)
}

// UnloadedTime returns how long a turn of a route takes without queueing, in all and until its first event.
// known is false while there are too few observations.
func (e *Estimator) UnloadedTime(route string) (whole, first time.Duration, known bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	stats := e.routes.get(route)
	if stats == nil || !stats.turn.known() || !stats.first.known() {
		return 0, 0, false
	}
	return stats.turn.value, stats.first.value, true
}

// routeStats returns the estimates of a route and adds them if needed.
func (e *Estimator) routeStats(route string) *routeStats {
	if stats := e.routes.get(route); stats != nil {
		return stats
	}
	return e.routes.add(route)
}

// addProgram adds a program at its first turn.
func (e *Estimator) addProgram(turn Turn) *programState {
	state := e.programs.add(xxhash.Sum64String(turn.Program))
	state.line = xxhash.Sum64String(turn.Branch)
	state.budget = turn.TimeToFinish
	return state
}

// remainingFromNumber estimates the remaining time and turns of a program that this node has no state of,
// by the number of its turn. If that is unknown or observations are too few it returns one turn; without
// any observations, zeros.
func (r *routeStats) remainingFromNumber(turn Turn) (needs time.Duration, turns int) {
	if needs, turns, known := r.remaining(turn.Number); known {
		return needs + r.hintAdjustment(turn), turns
	}
	return r.turn.value, min(1, r.turn.count)
}

// hintAdjustment returns how much longer than usual a turn is expected to take by its hint; negative if
// shorter.
func (r *routeStats) hintAdjustment(turn Turn) time.Duration {
	return time.Duration((r.hints.factor(turn.Hint) - 1) * float64(r.turn.value))
}

// beginTurn updates the program at the start of a turn.
func (s *programState) beginTurn(turn Turn, stats *routeStats, now time.Time) {
	if turn.Begins && s.endedAt.IsZero() {
		s.waited = max(0, s.budget-turn.TimeToFinish) // no turn has completed: all time since the first try was spent waiting
	}
	if s.line != xxhash.Sum64String(turn.Branch) || turn.Number > 0 && turn.Number <= s.number {
		return // a sub-agent's turn or a retry
	}
	if turn.Begins && s.number >= 1 {
		return // a retry of the first turn
	}
	if !s.endedAt.IsZero() && s.running == 0 {
		stats.pause.observe(now.Sub(s.endedAt), medianQuantile)
	}
	s.number = max(s.number+1, turn.Number)
}

// endTurn updates the program at the end of a turn.
func (s *programState) endTurn(turn Turn, stats *routeStats, took Outcome, now time.Time) {
	s.running = max(0, s.running-1)
	mainLine := s.line == xxhash.Sum64String(turn.Branch)
	if took.Failed {
		if mainLine {
			s.waited += took.Total
		}
		return
	}
	s.endedAt = now
	if !mainLine {
		return
	}
	if stats.turn.known() {
		s.waited += max(0, took.Total-stats.turn.value)
	}
	s.countTurn(turn, stats)
}

// countTurn counts a completed turn of the main line. Refused and failed turns are not counted, since
// they do not show how many turns programs have.
func (s *programState) countTurn(turn Turn, stats *routeStats) {
	if s.countedNumber >= s.number {
		return
	}
	s.countedNumber = s.number
	stats.countReached(s.number)
	if turn.HasFinish && s.number == 1 {
		stats.budget.observe(turn.TimeToFinish, medianQuantile)
		stats.lowBudget.observe(turn.TimeToFinish, lowBudgetQuantile)
	}
}

// idleTime returns how long the program has had no turn in progress, beyond the usual pause.
func (s *programState) idleTime(stats *routeStats, now time.Time) time.Duration {
	if s.endedAt.IsZero() || s.running > 0 {
		return 0
	}
	return max(0, now.Sub(s.endedAt)-stats.pause.value)
}

// remaining estimates the remaining time and turns of the program: the total need derived from its
// budget, less the time spent since the first turn except for waiting, but at least one turn.
func (s *programState) remaining(turn Turn, stats *routeStats) (needs time.Duration, turns int) {
	elapsed := s.budget - turn.TimeToFinish
	needs = max(stats.totalNeed(s.budget)-max(0, elapsed-s.waited), stats.turn.value)
	return needs + stats.hintAdjustment(turn), stats.turnsIn(needs)
}
