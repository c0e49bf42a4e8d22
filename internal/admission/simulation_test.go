package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/scheduling"
)

// Parameters of the simulated deployment: nodes and workers, and the sub-agents and retries of
// programs.
const (
	simNodes      = 77
	simWorkers    = 45
	simSlots      = 6                      // turns that a worker runs at a time
	simQueue      = 18                     // queue length of a worker
	simDeadline   = 3 * time.Second        // client timeout of a turn
	simWork       = 160 * time.Millisecond // mean run time of a turn
	simFirstEvent = 40 * time.Millisecond  // from the start of a turn to its first event
	simAgents     = 5                      // sub-agents of a fan-out
	simAgentTurns = 2                      // turns of each sub-agent
	simSends      = 3                      // sends of a turn by its caller
	simPicks      = 5                      // workers tried before a turn is declined
	simTries      = 2                      // tries of each send by the client
)

// kind is a kind of program. The time that a caller allows for a program is its unloaded duration times
// multiple, plus objective.
type kind struct {
	name      string
	urgency   int
	perSecond float64 // arrival rate
	turns     int     // mean number of turns
	pause     time.Duration
	fan       float64 // share of turns followed by a fan-out to sub-agents
	multiple  float64
	objective time.Duration
}

// workload has two kinds of programs of different urgency.
var workload = []kind{
	{name: "draft", urgency: 0, perSecond: 46, turns: 4, pause: 40 * time.Millisecond, fan: 0.05, multiple: 1.4, objective: 200 * time.Millisecond},
	{name: "assist", urgency: 2, perSecond: 25.1, turns: 7, pause: 150 * time.Millisecond, fan: 0.25, multiple: 1.3, objective: 400 * time.Millisecond},
}

// event is a scheduled function call. Events at the same time run in the order of scheduling.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// timeline is a heap of events; it implements heap.Interface.
type timeline []event

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(a, b int) bool {
	return t[a].at < t[b].at || t[a].at == t[b].at && t[a].order < t[b].order
}
func (t timeline) Swap(a, b int) { t[a], t[b] = t[b], t[a] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(event)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// simNode is a node; nodes share no state.
type simNode struct {
	estimator  *scheduling.Estimator
	controller *Controller
}

// simWorker is a worker with its queue, in order of priority.
type simWorker struct {
	running int
	queue   []*simTurn
}

// simProgram is the state of a program.
type simProgram struct {
	kind     kind
	name     string
	beganAt  time.Duration
	budget   time.Duration // from the program's start to its deadline
	fansOut  []bool        // whether sub-agents follow, by turn
	position int           // of the current turn of the main line, from 1
	agents   int           // sub-agents still running
	refused  int           // number of refusals
	failed   bool
	ended    time.Duration // 0 until the program has ended
}

// simTurn is one turn of a program's main line or of a sub-agent.
type simTurn struct {
	program     *simProgram
	line        string
	position    int
	left        int // turns that follow on the line
	sends       int // earlier sends by the caller
	tries       int // earlier tries of the current send
	node        *simNode
	turn        scheduling.Turn
	state       scheduling.Program
	priority    int
	firstSentAt time.Duration // first try of the current send
	sentAt      time.Duration // current try
	work        time.Duration
	sending     *PendingTurn
}

// simulation is a discrete-event simulation of programs that arrive at nodes. Each node makes its
// admission decisions from its own observations.
type simulation struct {
	random    *rand.Rand
	now       time.Duration
	timeline  timeline
	count     int // events scheduled so far
	nodes     []*simNode
	workers   []*simWorker
	programs  []*simProgram
	admission bool            // admission control is on
	waits     []time.Duration // queueing time of each turn that ran
	// refusedWithCapacity counts the refusals made while a worker had a free slot and none had a queue.
	refusals, refusedWithCapacity int
}

var simStart = time.Unix(10_000, 0)

func newSimulation(seed uint64, admission bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), admission: admission}
	for range simNodes {
		s.nodes = append(s.nodes, &simNode{estimator: scheduling.NewEstimator(), controller: NewController(nil)})
	}
	for range simWorkers {
		s.workers = append(s.workers, &simWorker{})
	}
	return s
}

func (s *simulation) clock() time.Time { return simStart.Add(s.now) }

func (s *simulation) schedule(delay time.Duration, run func()) {
	s.count++
	heap.Push(&s.timeline, event{at: s.now + delay, order: s.count, run: run})
}

// simulate runs the simulation until no events are left. Programs arrive before until; between from
// and to, the arrival rate is multiplied by burst.
func (s *simulation) simulate(until, from, to time.Duration, burst float64) {
	for _, kind := range workload {
		s.scheduleArrivals(kind, until, from, to, burst)
	}
	for s.timeline.Len() > 0 {
		next := heap.Pop(&s.timeline).(event)
		s.now = next.at
		next.run()
	}
}

func (s *simulation) scheduleArrivals(kind kind, until, from, to time.Duration, burst float64) {
	rate := kind.perSecond
	if s.now >= from && s.now < to {
		rate *= burst
	}
	s.schedule(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now >= until {
			return
		}
		s.begin(kind)
		s.scheduleArrivals(kind, until, from, to, burst)
	})
}

func (s *simulation) begin(kind kind) {
	program := &simProgram{kind: kind, beganAt: s.now, name: fmt.Sprint("p", len(s.programs))}
	turns := max(1, int(float64(kind.turns)*(0.6+0.8*s.random.Float64())+0.5))
	unloaded := time.Duration(turns)*(simWork+24*time.Millisecond) + time.Duration(turns-1)*kind.pause
	for range turns - 1 {
		fansOut := s.random.Float64() < kind.fan
		program.fansOut = append(program.fansOut, fansOut)
		if fansOut {
			unloaded += simAgentTurns * (simWork + 24*time.Millisecond)
		}
	}
	program.budget = time.Duration(kind.multiple*float64(unloaded)) + kind.objective
	s.programs = append(s.programs, program)
	s.sendNext(program)
}

func (s *simulation) sendNext(program *simProgram) {
	program.position++
	s.send(&simTurn{program: program, line: "main", position: program.position, firstSentAt: s.now})
}

// send sends a turn to a node.
func (s *simulation) send(turn *simTurn) {
	program := turn.program
	if program.failed {
		return
	}
	if s.timeLeft(turn) <= 0 {
		program.failed = true
		return
	}
	turn.node = s.nodes[(len(program.name)*7+int(hashRank(program.name)*simNodes)+turn.tries+turn.sends)%simNodes]
	turn.sentAt = s.now
	turn.turn = scheduling.Turn{
		Route: program.kind.name, Program: program.name, Branch: turn.line, Urgency: program.kind.urgency,
		Begins: turn.line == "main" && turn.position == 1, Number: turn.position,
		HasFinish: true, TimeToFinish: max(0, program.budget-(s.now-program.beganAt)),
	}
	state := turn.node.estimator.Begin(turn.turn, s.clock())
	if s.admission {
		verdict, request, _ := turn.node.controller.Decide("models", state, s.timeLeft(turn), s.clock())
		if !verdict.Admitted {
			s.refuse(turn, verdict.RetryAfter)
			return
		}
		state.Returns = request.Program.Returns
	}
	turn.state = state
	first := 2 * program.kind.urgency
	turn.priority = scheduling.PriorityRange{First: first, Last: first + 3}.Priority(state)
	s.dispatch(turn)
}

func (s *simulation) refuse(turn *simTurn, after time.Duration) {
	s.refusals++
	if s.hasFreeSlot() {
		s.refusedWithCapacity++
	}
	turn.program.refused++
	turn.node.estimator.End(turn.turn, scheduling.Outcome{Failed: true}, s.clock())
	s.retry(turn, after)
}

// hasFreeSlot reports whether a worker has a free slot and none has a queue.
func (s *simulation) hasFreeSlot() bool {
	free := false
	for _, worker := range s.workers {
		if len(worker.queue) > 0 {
			return false
		}
		free = free || worker.running < simSlots
	}
	return free
}

// timeLeft returns the time until a turn's client times out or its caller abandons the program, which
// it does after twice the budget.
func (s *simulation) timeLeft(turn *simTurn) time.Duration {
	program := turn.program
	return min(turn.firstSentAt+simDeadline, program.beganAt+2*program.budget) - s.now
}

// retry schedules the client's next try of a turn or, after the last try, the caller's next send. After
// the last send the program fails.
func (s *simulation) retry(turn *simTurn, after time.Duration) {
	left := s.timeLeft(turn)
	if turn.tries++; turn.tries < simTries && left > 0 {
		s.schedule(min(after, left/3), func() { s.send(turn) })
		return
	}
	turn.tries = 0
	if turn.sends++; turn.sends >= simSends {
		turn.program.failed = true
		return
	}
	s.schedule(time.Duration(100+s.random.IntN(300))*time.Millisecond, func() {
		turn.firstSentAt = s.now
		s.send(turn)
	})
}

// pickWorker returns the less loaded of two random workers. If that one's queue is full it draws
// again, simPicks times at most.
func (s *simulation) pickWorker() *simWorker {
	var picked *simWorker
	for range simPicks {
		picked = s.workers[s.random.IntN(simWorkers)]
		if other := s.workers[s.random.IntN(simWorkers)]; other.running+len(other.queue) < picked.running+len(picked.queue) {
			picked = other
		}
		if len(picked.queue) < simQueue {
			break
		}
	}
	return picked
}

// dispatch starts or queues a turn at a worker. If the worker's queue is full the turn is declined.
func (s *simulation) dispatch(turn *simTurn) {
	turn.sending = nil
	if whole, first, known := turn.node.estimator.UnloadedTime(turn.turn.Route); known {
		turn.sending = turn.node.controller.Sent("models", turn.state, UnloadedTime{FirstEvent: first, Total: whole}, s.clock())
	}
	turn.work = time.Duration((0.5 + s.random.Float64()) * float64(simWork))
	worker := s.pickWorker()
	switch {
	case worker.running < simSlots:
		s.startTurn(worker, turn)
	case len(worker.queue) < simQueue:
		at, _ := slices.BinarySearchFunc(worker.queue, turn.priority, func(other *simTurn, priority int) int {
			if other.priority <= priority {
				return -1
			}
			return 1
		})
		worker.queue = slices.Insert(worker.queue, at, turn)
	default:
		turn.endWithoutEvent(s.clock())
		turn.node.controller.Declined("models", turn.program.kind.urgency, s.clock())
		turn.node.estimator.End(turn.turn, scheduling.Outcome{Failed: true}, s.clock())
		s.retry(turn, time.Duration(120+s.random.IntN(120))*time.Millisecond)
	}
}

// endWithoutEvent records that the turn ended without a first event.
func (t *simTurn) endWithoutEvent(now time.Time) {
	if t.sending != nil {
		t.node.controller.EndedWithoutEvent(t.sending, now)
	}
}

func (s *simulation) startTurn(worker *simWorker, turn *simTurn) {
	worker.running++
	s.waits = append(s.waits, s.now-turn.sentAt)
	waited := s.now - turn.sentAt
	s.schedule(simFirstEvent, func() {
		if turn.sending != nil {
			turn.node.controller.FirstEvent(turn.sending, s.clock())
		}
	})
	s.schedule(turn.work, func() {
		worker.running--
		took := scheduling.Outcome{Total: s.now - turn.sentAt, FirstEvent: waited + simFirstEvent, Tokens: 1}
		turn.node.estimator.End(turn.turn, took, s.clock())
		s.startQueued(worker)
		s.turnEnded(turn)
	})
}

// startQueued starts the next turn in a worker's queue whose client has not timed out.
func (s *simulation) startQueued(worker *simWorker) {
	for len(worker.queue) > 0 {
		next := worker.queue[0]
		worker.queue = worker.queue[1:]
		if s.timeLeft(next) > 0 {
			s.startTurn(worker, next)
			return
		}
		next.endWithoutEvent(s.clock())
		next.node.estimator.End(next.turn, scheduling.Outcome{Failed: true, Total: s.now - next.sentAt}, s.clock())
		next.tries = simTries
		s.retry(next, 0)
	}
}

// turnEnded ends the program or schedules what follows the turn.
func (s *simulation) turnEnded(turn *simTurn) {
	program := turn.program
	if turn.line != "main" {
		s.agentEnded(turn)
		return
	}
	if turn.position > len(program.fansOut) {
		program.ended = s.now
		return
	}
	if !program.fansOut[turn.position-1] {
		s.schedule(program.kind.pause, func() { s.sendNext(program) })
		return
	}
	program.agents = simAgents
	for agent := range simAgents {
		line := fmt.Sprint("agent", turn.position, agent)
		s.send(&simTurn{program: program, line: line, position: turn.position + 1, left: simAgentTurns - 1, firstSentAt: s.now})
	}
}

func (s *simulation) agentEnded(turn *simTurn) {
	program := turn.program
	if turn.left > 0 {
		s.send(&simTurn{program: program, line: turn.line, position: turn.position + 1, left: turn.left - 1, firstSentAt: s.now})
		return
	}
	if program.agents--; program.agents == 0 {
		s.sendNext(program)
	}
}
