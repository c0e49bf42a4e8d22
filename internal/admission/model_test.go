package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/standing"
)

// The load of the sheet of a deployment whose callers compete for room: programs of two kinds of
// urgency, with sub-agents, before workers of six places each.
const (
	modelNodes     = 77
	modelWorkers   = 45
	modelPlaces    = 6
	modelQueue     = 18
	modelDeadline  = 3 * time.Second
	modelWork      = 160 * time.Millisecond
	modelFirst     = 40 * time.Millisecond // of a turn, until its first event
	modelAgents    = 5
	modelAgentTurn = 2
	modelSends     = 3 // of a turn by its caller
	modelPicks     = 5 // of workers, before a turn is refused because they are full
	modelTries     = 2 // of a send by its client
)

// kind is a kind of programs.
type kind struct {
	name      string
	urgency   int
	perSecond float64
	turns     int
	pause     time.Duration
	fan       float64 // share of turns after which sub-agents follow
	multiple  float64 // of its time on idle workers that its caller gives it
	objective time.Duration
}

var sheet = []kind{
	{name: "draft", urgency: 0, perSecond: 46, turns: 4, pause: 40 * time.Millisecond, fan: 0.05, multiple: 1.4, objective: 200 * time.Millisecond},
	{name: "assist", urgency: 2, perSecond: 25.1, turns: 7, pause: 150 * time.Millisecond, fan: 0.25, multiple: 1.3, objective: 400 * time.Millisecond},
}

// happening is something that happens at a time.
type happening struct {
	at    time.Duration
	order int
	do    func()
}

type timeline []happening

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(a, b int) bool {
	return t[a].at < t[b].at || t[a].at == t[b].at && t[a].order < t[b].order
}
func (t timeline) Swap(a, b int) { t[a], t[b] = t[b], t[a] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(happening)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// modelNode is a node's own knowledge.
type modelNode struct {
	learner *standing.Learner
	gate    *Gate
}

// modelWorker is a worker's places and queue.
type modelWorker struct {
	running int
	queue   []*modelTurn
}

// modelProgram is a program under way.
type modelProgram struct {
	kind    kind
	name    string
	began   time.Duration
	given   time.Duration
	fans    []bool // after which turns sub-agents follow
	place   int
	agents  int // lines of sub-agents under way
	refused int
	failed  bool
	ended   time.Duration // 0: it has not
}

// modelTurn is one turn of a line.
type modelTurn struct {
	program  *modelProgram
	line     string
	place    int
	left     int // turns of the line after it
	sends    int
	tries    int
	node     *modelNode
	turn     standing.Turn
	stands   standing.Program
	priority int
	begun    time.Duration // its first try
	came     time.Duration // this try
	work     time.Duration
	sending  *Sending
}

// model plays programs against nodes, each of which decides by what it has seen itself.
type model struct {
	random   *rand.Rand
	now      time.Duration
	timeline timeline
	count    int
	nodes    []*modelNode
	workers  []*modelWorker
	programs []*modelProgram
	admits   bool // admission is asked
	waits    []time.Duration
	// refusedFree are those of the refusals at which a place was free and nothing waited.
	refusals, refusedFree int
}

var modelStart = time.Unix(10_000, 0)

func newModel(seed uint64, admits bool) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), admits: admits}
	for range modelNodes {
		m.nodes = append(m.nodes, &modelNode{learner: standing.NewLearner(), gate: NewGate(nil)})
	}
	for range modelWorkers {
		m.workers = append(m.workers, &modelWorker{})
	}
	return m
}

func (m *model) clock() time.Time { return modelStart.Add(m.now) }

func (m *model) after(wait time.Duration, do func()) {
	m.count++
	heap.Push(&m.timeline, happening{at: m.now + wait, order: m.count, do: do})
}

// play lets programs come until a moment, burst times as many between two others, and ends once
// nothing happens any more.
func (m *model) play(until, from, to time.Duration, burst float64) {
	for _, kind := range sheet {
		m.arrive(kind, until, from, to, burst)
	}
	for m.timeline.Len() > 0 {
		next := heap.Pop(&m.timeline).(happening)
		m.now = next.at
		next.do()
	}
}

func (m *model) arrive(kind kind, until, from, to time.Duration, burst float64) {
	rate := kind.perSecond
	if m.now >= from && m.now < to {
		rate *= burst
	}
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.now >= until {
			return
		}
		m.begin(kind)
		m.arrive(kind, until, from, to, burst)
	})
}

func (m *model) begin(kind kind) {
	program := &modelProgram{kind: kind, began: m.now, name: fmt.Sprint("p", len(m.programs))}
	turns := max(1, int(float64(kind.turns)*(0.6+0.8*m.random.Float64())+0.5))
	idle := time.Duration(turns)*(modelWork+24*time.Millisecond) + time.Duration(turns-1)*kind.pause
	for range turns - 1 {
		fans := m.random.Float64() < kind.fan
		program.fans = append(program.fans, fans)
		if fans {
			idle += modelAgentTurn * (modelWork + 24*time.Millisecond)
		}
	}
	program.given = time.Duration(kind.multiple*float64(idle)) + kind.objective
	m.programs = append(m.programs, program)
	m.next(program)
}

func (m *model) next(program *modelProgram) {
	program.place++
	m.send(&modelTurn{program: program, line: "main", place: program.place, begun: m.now})
}

// send brings a turn to a node.
func (m *model) send(turn *modelTurn) {
	program := turn.program
	if program.failed {
		return
	}
	if m.left(turn) <= 0 {
		program.failed = true
		return
	}
	turn.node = m.nodes[(len(program.name)*7+int(rank(program.name)*modelNodes)+turn.tries+turn.sends)%modelNodes]
	turn.came = m.now
	turn.turn = standing.Turn{
		Route: program.kind.name, Program: program.name, Line: turn.line, Urgency: program.kind.urgency,
		Begins: turn.line == "main" && turn.place == 1, Place: turn.place,
		Timed: true, Finish: max(0, program.given-(m.now-program.began)),
	}
	stands := turn.node.learner.Begin(turn.turn, m.clock())
	if m.admits {
		verdict, ask, _ := turn.node.gate.Decide("models", stands, m.left(turn), m.clock())
		if !verdict.In {
			m.refuse(turn, verdict.After)
			return
		}
		stands.Returns = ask.Program.Returns
	}
	turn.stands = stands
	first := 2 * program.kind.urgency
	turn.priority = standing.Band{First: first, Last: first + 3}.Priority(stands)
	m.place(turn)
}

func (m *model) refuse(turn *modelTurn, after time.Duration) {
	m.refusals++
	if m.roomy() {
		m.refusedFree++
	}
	turn.program.refused++
	turn.node.learner.End(turn.turn, standing.Took{Failed: true}, m.clock())
	m.again(turn, after)
}

// roomy reports whether a place is free and nothing waits.
func (m *model) roomy() bool {
	free := false
	for _, worker := range m.workers {
		if len(worker.queue) > 0 {
			return false
		}
		free = free || worker.running < modelPlaces
	}
	return free
}

// left is how long a turn's client still waits: callers leave once twice the time has passed that they
// gave their program.
func (m *model) left(turn *modelTurn) time.Duration {
	program := turn.program
	return min(turn.begun+modelDeadline, program.began+2*program.given) - m.now
}

// again lets a turn's client come back, or its caller send it anew, as long as they do.
func (m *model) again(turn *modelTurn, after time.Duration) {
	left := m.left(turn)
	if turn.tries++; turn.tries < modelTries && left > 0 {
		m.after(min(after, left/3), func() { m.send(turn) })
		return
	}
	turn.tries = 0
	if turn.sends++; turn.sends >= modelSends {
		turn.program.failed = true
		return
	}
	m.after(time.Duration(100+m.random.IntN(300))*time.Millisecond, func() {
		turn.begun = m.now
		m.send(turn)
	})
}

// pick is the emptier one of two workers, drawn again while it is full.
func (m *model) pick() *modelWorker {
	var one *modelWorker
	for range modelPicks {
		one = m.workers[m.random.IntN(modelWorkers)]
		if two := m.workers[m.random.IntN(modelWorkers)]; two.running+len(two.queue) < one.running+len(one.queue) {
			one = two
		}
		if len(one.queue) < modelQueue {
			break
		}
	}
	return one
}

// place sends a turn to the emptier one of two workers.
func (m *model) place(turn *modelTurn) {
	turn.sending = nil
	if whole, first, known := turn.node.learner.Idle(turn.turn.Route); known {
		turn.sending = turn.node.gate.Sent("models", turn.stands, Idle{First: first, Whole: whole}, m.clock())
	}
	turn.work = time.Duration((0.5 + m.random.Float64()) * float64(modelWork))
	one := m.pick()
	switch {
	case one.running < modelPlaces:
		m.run(one, turn)
	case len(one.queue) < modelQueue:
		at, _ := slices.BinarySearchFunc(one.queue, turn.priority, func(other *modelTurn, priority int) int {
			if other.priority <= priority {
				return -1
			}
			return 1
		})
		one.queue = slices.Insert(one.queue, at, turn)
	default:
		turn.leaves(m.clock())
		turn.node.gate.Declined("models", turn.program.kind.urgency, m.clock())
		turn.node.learner.End(turn.turn, standing.Took{Failed: true}, m.clock())
		m.again(turn, time.Duration(120+m.random.IntN(120))*time.Millisecond)
	}
}

// leaves notes that no first event of the turn comes.
func (t *modelTurn) leaves(now time.Time) {
	if t.sending != nil {
		t.node.gate.Ended(t.sending, now)
	}
}

func (m *model) run(worker *modelWorker, turn *modelTurn) {
	worker.running++
	m.waits = append(m.waits, m.now-turn.came)
	waited := m.now - turn.came
	m.after(modelFirst, func() {
		if turn.sending != nil {
			turn.node.gate.First(turn.sending, m.clock())
		}
	})
	m.after(turn.work, func() {
		worker.running--
		took := standing.Took{Whole: m.now - turn.came, First: waited + modelFirst, Tokens: 1}
		turn.node.learner.End(turn.turn, took, m.clock())
		m.take(worker)
		m.ended(turn)
	})
}

// take gives a free place to the next that waits.
func (m *model) take(worker *modelWorker) {
	for len(worker.queue) > 0 {
		next := worker.queue[0]
		worker.queue = worker.queue[1:]
		if m.left(next) > 0 {
			m.run(worker, next)
			return
		}
		next.leaves(m.clock())
		next.node.learner.End(next.turn, standing.Took{Failed: true, Whole: m.now - next.came}, m.clock())
		next.tries = modelTries
		m.again(next, 0)
	}
}

// ended goes on after a turn.
func (m *model) ended(turn *modelTurn) {
	program := turn.program
	if turn.line != "main" {
		m.agentEnded(turn)
		return
	}
	if turn.place > len(program.fans) {
		program.ended = m.now
		return
	}
	if !program.fans[turn.place-1] {
		m.after(program.kind.pause, func() { m.next(program) })
		return
	}
	program.agents = modelAgents
	for agent := range modelAgents {
		line := fmt.Sprint("agent", turn.place, agent)
		m.send(&modelTurn{program: program, line: line, place: turn.place + 1, left: modelAgentTurn - 1, begun: m.now})
	}
}

func (m *model) agentEnded(turn *modelTurn) {
	program := turn.program
	if turn.left > 0 {
		m.send(&modelTurn{program: program, line: turn.line, place: turn.place + 1, left: turn.left - 1, begun: m.now})
		return
	}
	if program.agents--; program.agents == 0 {
		m.next(program)
	}
}
