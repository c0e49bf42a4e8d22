package capacity

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The simulated load: many nodes share a few workers, each of which runs some requests at once and
// queues a limited number. Turns are short, and most continue a context held by a worker.
const (
	simNodes                  = 77
	simWorkers                = 45
	simZones                  = 4
	simConcurrency            = 6
	simQueueLimit             = 18
	simTurnTime               = 160 * time.Millisecond
	simFreshTokens            = 2000 // tokens read again by any other worker than the home
	simTokensPerMillisecond   = 76   // prefill speed of a worker
	simHomeShare              = 0.75 // share of turns that have a home
	simDuration               = 8 * time.Second
	localCost                 = time.Millisecond // cost of each own request at a worker, for a node without a coordinator
	localTokensPerMillisecond = 200              // prefill speed that a node without a coordinator assumes
)

// strategy is how a request finds its worker.
type strategy string

const (
	localOnly           strategy = "local"   // by the node's own running requests
	sampled             strategy = "sampled" // by a snapshot of all nodes' load, up to 100 ms old, and two random candidates
	coordinatorAssigned strategy = "keeper"  // by the group's coordinator
	omniscient          strategy = "global"  // by the exact state of all workers
)

// simulation is a discrete-event simulation in virtual time.
type simulation struct {
	t          *testing.T
	strategy   strategy
	hop        time.Duration // one-way latency between a node and its coordinator
	random     *rand.Rand
	now        time.Time
	epoch      time.Time
	events     events
	nextEvent  int
	workers    []*simWorker
	nodes      []*simNode
	schedulers []*Scheduler            // by zone
	pending    map[*Query]func(Answer) // callbacks of the queries without an answer
	snapshot   []int                   // by worker: requests running and queued, up to 100 ms ago
	backlog    []*simTurn              // turns that wait for capacity with the omniscient strategy
	busyTime   time.Duration

	waits                 []time.Duration // from arrival at a node until a worker runs it
	queuedDespiteCapacity int             // requests queued at a worker while its zone had free capacity
	heldDespiteCapacity   int             // requests held by the coordinator although it had reports of free capacity
	declines              int
	mostQueued            int
	dropped               int // declined by all workers tried
}

type simWorker struct {
	name    string
	zone    int
	running int
	queue   []*simTurn
}

type simNode struct {
	name       string
	zone       int
	loads      []*NodeLoad // by zone
	nextReport []time.Time // by zone: when the next report is due
	running    []int       // by worker: own requests running or queued
}

type simTurn struct {
	node    *simNode
	arrived time.Time
	home    int // index of a worker; -1: none
	worker  int
	begun   time.Time // when the worker was chosen
}

type event struct {
	at     time.Time
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].number, e[j].number)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(one any) { *e = append(*e, one.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(t *testing.T, strategy strategy, hop time.Duration) *simulation {
	s := &simulation{t: t, strategy: strategy, hop: hop, random: rand.New(rand.NewPCG(1, 2)), epoch: time.Unix(0, 0), pending: map[*Query]func(Answer){}, snapshot: make([]int, simWorkers)}
	s.now = s.epoch
	for zone := range simZones {
		s.schedulers = append(s.schedulers, NewScheduler())
		var members []Member
		for index := zone; index < simWorkers; index += simZones {
			members = append(members, Member{Worker: fmt.Sprint(index), Concurrency: simConcurrency})
		}
		s.schedulers[zone].SetMembers(members)
	}
	for index := range simWorkers {
		s.workers = append(s.workers, &simWorker{name: fmt.Sprint(index), zone: index % simZones})
	}
	for index := range simNodes {
		node := &simNode{name: fmt.Sprint("n", index), zone: index % simZones, running: make([]int, simWorkers), nextReport: make([]time.Time, simZones)}
		for zone := range simZones {
			node.loads = append(node.loads, NewNodeLoad(Group{Service: "s", Zone: fmt.Sprint(zone)}))
		}
		s.nodes = append(s.nodes, node)
	}
	return s
}

// after schedules a function in virtual time.
func (s *simulation) after(d time.Duration, do func()) {
	s.nextEvent++
	heap.Push(&s.events, event{at: s.now.Add(d), number: s.nextEvent, do: do})
}

// run simulates a load, given as a share of the total capacity.
func (s *simulation) run(load float64) {
	rate := load * simWorkers * simConcurrency / simTurnTime.Seconds()
	var arrive func()
	arrive = func() {
		s.arrive()
		s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	s.after(0, arrive)
	if s.strategy == sampled {
		var refresh func()
		refresh = func() {
			for index, worker := range s.workers {
				s.snapshot[index] = worker.running + len(worker.queue)
			}
			s.after(100*time.Millisecond, refresh)
		}
		s.after(0, refresh)
	}
	end := s.epoch.Add(simDuration)
	for s.now.Before(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
}

func (s *simulation) arrive() {
	turn := &simTurn{node: s.nodes[s.random.IntN(simNodes)], arrived: s.now, home: -1}
	if s.random.Float64() < simHomeShare {
		turn.home = s.random.IntN(len(s.workers))
	}
	s.route(turn, nil)
}

// route sends a turn to a worker chosen by the strategy.
func (s *simulation) route(turn *simTurn, exclude []string) {
	if s.strategy == coordinatorAssigned {
		s.queryCoordinator(turn, exclude)
		return
	}
	if s.strategy == omniscient {
		s.backlog = append(s.backlog, turn)
		s.drainBacklog()
		return
	}
	s.send(turn, s.chooseLocally(turn, exclude), exclude)
}

// chooseLocally chooses a worker without a coordinator.
func (s *simulation) chooseLocally(turn *simTurn, exclude []string) int {
	best, lowest := -1, math.Inf(1)
	for candidate := range s.workers {
		index := candidate
		if s.strategy == sampled {
			if candidate == 2 && best >= 0 {
				break
			}
			index = s.random.IntN(len(s.workers))
		}
		if slices.Contains(exclude, s.workers[index].name) {
			continue
		}
		cost := float64(turn.node.running[index]) * float64(localCost)
		if s.strategy == sampled {
			cost = float64(max(0, s.snapshot[index]-simConcurrency+1)) * float64(simTurnTime/simConcurrency)
			cost += float64(s.snapshot[index])
		}
		if s.workers[index].zone != turn.node.zone {
			cost += 1.5 * float64(time.Millisecond)
		}
		if turn.home >= 0 && turn.home != index {
			cost += float64(simFreshTokens/localTokensPerMillisecond) * float64(time.Millisecond)
		}
		if cost += s.random.Float64() * float64(10*time.Microsecond); cost < lowest {
			best, lowest = index, cost
		}
	}
	if s.strategy == sampled && turn.home >= 0 && best >= 0 && !slices.Contains(exclude, s.workers[turn.home].name) {
		if s.snapshot[turn.home] <= simConcurrency {
			return turn.home
		}
	}
	return best
}

// drainBacklog assigns free capacity to waiting turns: at the home worker, or else at the least loaded
// one.
func (s *simulation) drainBacklog() {
	remaining := s.backlog[:0]
	for _, turn := range s.backlog {
		best := -1
		for index, worker := range s.workers {
			if worker.running < simConcurrency && (best < 0 || index == turn.home || best != turn.home && worker.running < s.workers[best].running) {
				best = index
			}
		}
		if best < 0 {
			remaining = append(remaining, turn)
			continue
		}
		s.send(turn, best, nil)
	}
	s.backlog = remaining
}

// zoneHasCapacity reports whether a worker of a zone is below its concurrency limit.
func (s *simulation) zoneHasCapacity(zone int) bool {
	return slices.ContainsFunc(s.workers, func(w *simWorker) bool { return w.zone == zone && w.running < simConcurrency })
}

func (s *simulation) begin(turn *simTurn, index int, granted bool) {
	if index < 0 {
		return
	}
	turn.begun = s.now
	nodeLoad := turn.node.loads[s.workers[index].zone]
	if granted {
		nodeLoad.BeginGranted(s.workers[index].name, 0)
	} else {
		nodeLoad.Begin(s.workers[index].name, 0)
	}
	s.scheduleReport(turn.node, s.workers[index].zone)
}

// send delivers a turn to a worker, which runs it, queues it or declines it.
func (s *simulation) send(turn *simTurn, index int, exclude []string) {
	if index < 0 {
		s.dropped++
		return
	}
	turn.worker = index
	worker := s.workers[index]
	turn.node.running[index]++
	if worker.running < simConcurrency {
		s.start(turn)
		return
	}
	if s.zoneHasCapacity(worker.zone) {
		s.queuedDespiteCapacity++
	}
	if len(worker.queue) >= simQueueLimit {
		s.declines++
		s.release(turn)
		if len(exclude) >= 3 {
			s.dropped++
			return
		}
		s.route(turn, append(slices.Clone(exclude), worker.name))
		return
	}
	worker.queue = append(worker.queue, turn)
	s.mostQueued = max(s.mostQueued, len(worker.queue))
}

func (s *simulation) start(turn *simTurn) {
	worker := s.workers[turn.worker]
	worker.running++
	s.waits = append(s.waits, s.now.Sub(turn.arrived))
	duration := time.Duration((0.5 + 0.5*s.random.ExpFloat64()) * float64(simTurnTime))
	if turn.home >= 0 && turn.home != turn.worker {
		duration += simFreshTokens * time.Millisecond / simTokensPerMillisecond
	}
	s.busyTime += duration
	s.after(duration, func() {
		worker.running--
		s.release(turn)
		if len(worker.queue) > 0 {
			next := worker.queue[0]
			worker.queue = worker.queue[1:]
			s.start(next)
		}
		if s.strategy == omniscient {
			s.drainBacklog()
		}
	})
}

// release removes a turn from its worker.
func (s *simulation) release(turn *simTurn) {
	worker := s.workers[turn.worker]
	turn.node.running[turn.worker]--
	if s.strategy == coordinatorAssigned {
		turn.node.loads[worker.zone].End(worker.name, 0, s.now.Sub(turn.begun))
		s.scheduleReport(turn.node, worker.zone)
	}
}

// waitStats summarizes the waits of all requests.
type waitStats struct {
	mean, p95, longest time.Duration
	misqueued          float64 // share of requests queued at a worker while its zone had free capacity
}

func (s *simulation) stats() waitStats {
	slices.Sort(s.waits)
	var sum time.Duration
	for _, wait := range s.waits {
		sum += wait
	}
	return waitStats{
		mean:      sum / time.Duration(len(s.waits)),
		p95:       s.waits[len(s.waits)*95/100],
		longest:   s.waits[len(s.waits)-1],
		misqueued: float64(s.queuedDespiteCapacity) / float64(len(s.waits)),
	}
}
