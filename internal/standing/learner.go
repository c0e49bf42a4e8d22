package standing

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// routesKept and programsKept bound the memory of a learner.
	routesKept   = 256
	programsKept = 1024
)

// Turn is a turn as it begins.
type Turn struct {
	Route   string
	Program string // alike on all nodes
	Tenant  string
	Urgency int
	Line    string // of turns within the program; empty: not said
	// Begins says that the turn goes on from nothing.
	Begins bool
	// Place is which turn of its line it is; 0: not known.
	Place  int
	Timed  bool
	Finish time.Duration // as its caller gave it
	Hint   int           // tokens that its caller guesses; 0: not said
}

// Took is how a turn went.
type Took struct {
	Failed bool          // it did not run to its end
	Whole  time.Duration // from its coming to its end
	First  time.Duration // from its sending to a worker to the first event
	Tokens int           // that it generated
}

// programState is what is remembered of a program whose turns come through this node.
type programState struct {
	line    uint64        // in which it began
	place   int           // of the turn of that line which came last
	counted int           // the last turn of that line that has ended
	given   time.Duration // at its first turn
	waited  time.Duration // in turns, beyond what these take where nothing makes them wait
	running int           // turns under way
	ended   time.Time     // when its last turn ended; zero: none has
}

// Learner learns from the turns that pass through a node how long programs take. It is safe for
// concurrent use, and bounded in memory.
type Learner struct {
	mutex    sync.Mutex
	routes   recent[string, expectation]
	programs recent[uint64, programState]
}

// NewLearner returns one that has seen nothing.
func NewLearner() *Learner {
	return &Learner{
		routes:   newRecent[string, expectation](routesKept),
		programs: newRecent[uint64, programState](programsKept),
	}
}

// Begin takes in that a turn begins and returns its program's standing.
func (l *Learner) Begin(turn Turn, now time.Time) Program {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	program := Program{
		Key: turn.Program, Tenant: turn.Tenant, Urgency: turn.Urgency,
		Begins: turn.Begins, Timed: turn.Timed, Finish: turn.Finish,
	}
	expected := l.expectation(turn.Route)
	state := l.programs.of(xxhash.Sum64String(turn.Program))
	if state == nil && !turn.Begins {
		program.Needs, program.Turns = expected.unknownProgram(turn)
		return program
	}
	if state == nil {
		state = l.begins(turn)
	}
	program.Begins = turn.Begins && state.place <= 1
	state.comes(turn, expected, now)
	program.Waited = state.still(expected, now)
	program.Needs, program.Turns = state.needs(turn, expected)
	state.running++
	return program
}

// End takes in how a turn went that Begin was told of.
func (l *Learner) End(turn Turn, took Took, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	expected := l.expectation(turn.Route)
	state := l.programs.of(xxhash.Sum64String(turn.Program))
	if state != nil {
		state.ends(turn, expected, took, now)
	}
	if took.Failed {
		return
	}
	expected.turn.observe(took.Whole, idleShare)
	expected.first.observe(took.First, idleShare)
	expected.guesses.observe(turn.Hint, took.Tokens)
}

// Idle is what a route's turn takes where nothing makes it wait, and until its first event.
func (l *Learner) Idle(route string) (whole, first time.Duration, known bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	expected := l.routes.of(route)
	if expected == nil || !expected.turn.known() || !expected.first.known() {
		return 0, 0, false
	}
	return expected.turn.value, expected.first.value, true
}

func (l *Learner) expectation(route string) *expectation {
	if expected := l.routes.of(route); expected != nil {
		return expected
	}
	return l.routes.put(route)
}

// begins remembers a program from its first turn on.
func (l *Learner) begins(turn Turn) *programState {
	state := l.programs.put(xxhash.Sum64String(turn.Program))
	state.line = xxhash.Sum64String(turn.Line)
	state.given = turn.Finish
	return state
}

// unknownProgram is what a program needs of which this node has not seen the first turn.
func (e *expectation) unknownProgram(turn Turn) (needs time.Duration, turns int) {
	if needs, turns, known := e.needs(turn.Place); known {
		return needs + e.byGuess(turn), turns
	}
	return e.turn.value, min(1, e.turn.seen)
}

// byGuess is how much longer than others the turn is expected to be.
func (e *expectation) byGuess(turn Turn) time.Duration {
	return time.Duration((e.guesses.factor(turn.Hint) - 1) * float64(e.turn.value))
}

// comes takes in that a turn of the program begins.
func (s *programState) comes(turn Turn, expected *expectation, now time.Time) {
	if turn.Begins && s.ended.IsZero() {
		s.waited = max(0, s.given-turn.Finish) // nothing has run yet
	}
	if s.line != xxhash.Sum64String(turn.Line) || turn.Place > 0 && turn.Place <= s.place {
		return // a sub-agent's, or a turn that is sent anew
	}
	if turn.Begins && s.place >= 1 {
		return // the first turn, sent anew
	}
	if !s.ended.IsZero() && s.running == 0 {
		expected.pause.observe(now.Sub(s.ended), usualShare)
	}
	s.place = max(s.place+1, turn.Place)
}

// ends takes in how a turn of the program went.
func (s *programState) ends(turn Turn, expected *expectation, took Took, now time.Time) {
	s.running = max(0, s.running-1)
	ours := s.line == xxhash.Sum64String(turn.Line)
	if took.Failed {
		if ours {
			s.waited += took.Whole
		}
		return
	}
	s.ended = now
	if !ours {
		return
	}
	if expected.turn.known() {
		s.waited += max(0, took.Whole-expected.turn.value)
	}
	s.learn(turn, expected)
}

// learn takes in that a turn of the line has ended in which the program began. What is refused or
// fails is not counted: it says nothing of how many turns programs have.
func (s *programState) learn(turn Turn, expected *expectation) {
	if s.counted >= s.place {
		return
	}
	s.counted = s.place
	expected.reach(s.place)
	if turn.Timed && s.place == 1 {
		expected.given.observe(turn.Finish, usualShare)
		expected.leastGiven.observe(turn.Finish, leastGivenShare)
	}
}

// still is for how long the program has got no further.
func (s *programState) still(expected *expectation, now time.Time) time.Duration {
	if s.ended.IsZero() || s.running > 0 {
		return 0
	}
	return max(0, now.Sub(s.ended)-expected.pause.value)
}

// needs is what the program takes still: what its caller's time told at the first turn, less what
// has passed since without waiting. A program that goes on for longer than that needs a turn at least.
func (s *programState) needs(turn Turn, expected *expectation) (needs time.Duration, turns int) {
	passed := s.given - turn.Finish
	needs = max(expected.whole(s.given)-max(0, passed-s.waited), expected.turn.value)
	return needs + expected.byGuess(turn), expected.turnsIn(needs)
}
