package room

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

// The load that is answered here: nodes that share few workers, each of which runs few requests at
// once and queues what comes beyond. Turns are short, and most of them go on from another one whose
// context lies at a worker.
const (
	loadNodes   = 77
	loadWorkers = 45
	loadZones   = 4
	loadPlaces  = 6
	loadQueue   = 18
	loadTurn    = 160 * time.Millisecond
	loadFresh   = 2000 // tokens that are read again away from home
	loadRead    = 76   // tokens that a worker reads in a millisecond
	loadHomes   = 0.75 // share of turns that have a home
	loadLasts   = 8 * time.Second
	ownRunning  = time.Millisecond // what a blind node counts for each request that it has at a worker
	blindRead   = 200              // tokens a millisecond, as a blind node weighs a home
)

// way is how a request finds its worker.
type way string

const (
	blind   way = "blind"   // by what the own node has running
	digests way = "digests" // by what all nodes had running some 100 ms ago, two at random
	kept    way = "kept"    // by a keeper
	exact   way = "exact"   // by one who sees all places of a zone at once: nothing can be better informed
)

// play is a loop of arrivals and ends in virtual time.
type play struct {
	t       *testing.T
	way     way
	hop     time.Duration // one way between a node and its keeper
	random  *rand.Rand
	now     time.Time
	begun   time.Time
	events  events
	number  int
	workers []*loadWorker
	nodes   []*loadNode
	desks   []*Desk
	asked   map[*Question]func(Answer)
	digest  []int
	line    []*turn // that wait, where all places are seen
	worked  time.Duration

	waits      []time.Duration // from arrival at a node until a worker runs it
	queued     int             // requests that waited at a worker while its group had a free place
	unserved   int             // requests held by the keeper while a place was free, as the keeper knew
	declines   int
	mostQueued int
	lost       int // declined by all
}

type loadWorker struct {
	name    string
	zone    int
	running int
	queue   []*turn
}

type loadNode struct {
	name    string
	zone    int
	tallies []*Tally
	armed   []time.Time // when each tally is told next
	own     []int
}

type turn struct {
	node   *loadNode
	came   time.Time
	home   int // -1: none
	worker int
	placed time.Time
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

func newPlay(t *testing.T, way way, hop time.Duration) *play {
	p := &play{t: t, way: way, hop: hop, random: rand.New(rand.NewPCG(1, 2)), begun: time.Unix(0, 0), asked: map[*Question]func(Answer){}, digest: make([]int, loadWorkers)}
	p.now = p.begun
	for zone := range loadZones {
		p.desks = append(p.desks, NewDesk())
		var members []Member
		for index := zone; index < loadWorkers; index += loadZones {
			members = append(members, Member{Worker: fmt.Sprint(index), Places: loadPlaces})
		}
		p.desks[zone].SetMembers(members)
	}
	for index := range loadWorkers {
		p.workers = append(p.workers, &loadWorker{name: fmt.Sprint(index), zone: index % loadZones})
	}
	for index := range loadNodes {
		node := &loadNode{name: fmt.Sprint("n", index), zone: index % loadZones, own: make([]int, loadWorkers), armed: make([]time.Time, loadZones)}
		for zone := range loadZones {
			node.tallies = append(node.tallies, NewTally(Group{Service: "s", Zone: fmt.Sprint(zone)}))
		}
		p.nodes = append(p.nodes, node)
	}
	return p
}

func (p *play) after(d time.Duration, do func()) {
	p.number++
	heap.Push(&p.events, event{at: p.now.Add(d), number: p.number, do: do})
}

// run plays a load, as a share of all places.
func (p *play) run(load float64) {
	rate := load * loadWorkers * loadPlaces / loadTurn.Seconds()
	var arrive func()
	arrive = func() {
		p.arrive()
		p.after(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	p.after(0, arrive)
	if p.way == digests {
		var refresh func()
		refresh = func() {
			for index, worker := range p.workers {
				p.digest[index] = worker.running + len(worker.queue)
			}
			p.after(100*time.Millisecond, refresh)
		}
		p.after(0, refresh)
	}
	end := p.begun.Add(loadLasts)
	for p.now.Before(end) {
		next := heap.Pop(&p.events).(event)
		p.now = next.at
		next.do()
	}
}

func (p *play) arrive() {
	one := &turn{node: p.nodes[p.random.IntN(loadNodes)], came: p.now, home: -1}
	if p.random.Float64() < loadHomes {
		one.home = p.random.IntN(len(p.workers))
	}
	p.place(one, nil)
}

// place sends a turn to a worker.
func (p *play) place(one *turn, exclude []string) {
	if p.way == kept {
		p.ask(one, exclude)
		return
	}
	if p.way == exact {
		p.line = append(p.line, one)
		p.serveLine()
		return
	}
	p.send(one, p.guess(one, exclude), exclude)
}

// guess chooses without a keeper.
func (p *play) guess(one *turn, exclude []string) int {
	best, least := -1, math.Inf(1)
	for try := range p.workers {
		index := try
		if p.way == digests {
			if try == 2 && best >= 0 {
				break
			}
			index = p.random.IntN(len(p.workers))
		}
		if slices.Contains(exclude, p.workers[index].name) {
			continue
		}
		cost := float64(one.node.own[index]) * float64(ownRunning)
		if p.way == digests {
			cost = float64(max(0, p.digest[index]-loadPlaces+1)) * float64(loadTurn/loadPlaces)
			cost += float64(p.digest[index])
		}
		if p.workers[index].zone != one.node.zone {
			cost += 1.5 * float64(time.Millisecond)
		}
		if one.home >= 0 && one.home != index {
			cost += float64(loadFresh/blindRead) * float64(time.Millisecond)
		}
		if cost += p.random.Float64() * float64(10*time.Microsecond); cost < least {
			best, least = index, cost
		}
	}
	if p.way == digests && one.home >= 0 && best >= 0 && !slices.Contains(exclude, p.workers[one.home].name) {
		if p.digest[one.home] <= loadPlaces {
			return one.home
		}
	}
	return best
}

// serveLine gives free places to those who wait: the home's, else one of the emptiest worker.
func (p *play) serveLine() {
	left := p.line[:0]
	for _, one := range p.line {
		best := -1
		for index, worker := range p.workers {
			if worker.running < loadPlaces && (best < 0 || index == one.home || best != one.home && worker.running < p.workers[best].running) {
				best = index
			}
		}
		if best < 0 {
			left = append(left, one)
			continue
		}
		p.send(one, best, nil)
	}
	p.line = left
}

// ask asks the keeper of the home's group, or of the own zone's.
func (p *play) ask(one *turn, exclude []string) {
	zone, home := one.node.zone, ""
	if one.home >= 0 {
		zone, home = p.workers[one.home].zone, p.workers[one.home].name
	}
	tally := one.node.tallies[zone]
	if tally.Calm(p.now) {
		p.way = blind
		index := p.guess(one, exclude)
		p.way = kept
		p.begin(one, index, false)
		p.send(one, index, exclude)
		return
	}
	report := tally.Report(one.node.name, p.now)
	tally.Asked(report.Sequence)
	question := &Question{From: one.node.name, Sequence: report.Sequence, Ask: Ask{Home: home, Fresh: loadFresh, Exclude: exclude, Patience: time.Second}}
	desk := p.desks[zone]
	p.asked[question] = func(answer Answer) {
		p.after(p.hop, func() {
			tally.Answered(question.Sequence)
			if answer.Settled {
				tally.Hear(answer.Busy, p.now)
			}
			if answer.Outcome != Go {
				p.way = blind
				index := p.guess(one, exclude)
				p.way = kept
				p.begin(one, index, false)
				p.send(one, index, exclude)
				return
			}
			index := slices.IndexFunc(p.workers, func(w *loadWorker) bool { return w.name == answer.Worker })
			p.begin(one, index, true)
			p.send(one, index, exclude)
		})
	}
	p.after(p.hop, func() {
		p.serve(desk.Tell(report, p.now))
		answer, held := desk.Ask(question, p.now)
		if held {
			if p.free(zone) && slices.ContainsFunc(desk.account.members, func(m Member) bool {
				return desk.account.taken[m.Worker].requests < m.Places && !slices.Contains(exclude, m.Worker) && !p.now.Before(desk.account.declined[m.Worker])
			}) {
				p.unserved++
			}
			return
		}
		p.answer(question, answer)
	})
}

func (p *play) serve(served []Served) {
	for _, one := range served {
		p.answer(one.Question, one.Answer)
	}
}

func (p *play) answer(question *Question, answer Answer) {
	done := p.asked[question]
	delete(p.asked, question)
	done(answer)
}

// free reports whether a worker of a zone has a free place.
func (p *play) free(zone int) bool {
	return slices.ContainsFunc(p.workers, func(w *loadWorker) bool { return w.zone == zone && w.running < loadPlaces })
}

func (p *play) begin(one *turn, index int, granted bool) {
	if index < 0 {
		return
	}
	one.placed = p.now
	tally := one.node.tallies[p.workers[index].zone]
	if granted {
		tally.BeginGranted(p.workers[index].name, 0)
	} else {
		tally.Begin(p.workers[index].name, 0)
	}
	p.tellLater(one.node, p.workers[index].zone)
}

// tellLater lets a node tell a keeper when that is due.
func (p *play) tellLater(node *loadNode, zone int) {
	tally := node.tallies[zone]
	at, due := tally.Due()
	if !due || !node.armed[zone].IsZero() && !at.Before(node.armed[zone]) {
		return
	}
	node.armed[zone] = at
	p.after(max(0, at.Sub(p.now)), func() {
		if node.armed[zone] != at {
			return // it was told sooner
		}
		node.armed[zone] = time.Time{}
		if again, due := tally.Due(); due && !again.After(p.now) {
			p.tell(node, zone)
		}
		p.tellLater(node, zone)
	})
}

func (p *play) tell(node *loadNode, zone int) {
	report := node.tallies[zone].Report(node.name, p.now)
	p.after(p.hop, func() {
		p.serve(p.desks[zone].Tell(report, p.now))
		word := p.desks[zone].Word(p.now)
		p.after(p.hop, func() {
			if word.Settled {
				node.tallies[zone].Hear(word.Busy, p.now)
			}
		})
	})
}

// send brings a turn to a worker, which runs it, queues it or declines.
func (p *play) send(one *turn, index int, exclude []string) {
	if index < 0 {
		p.lost++
		return
	}
	one.worker = index
	worker := p.workers[index]
	one.node.own[index]++
	if worker.running < loadPlaces {
		p.start(one)
		return
	}
	if p.free(worker.zone) {
		p.queued++
	}
	if len(worker.queue) >= loadQueue {
		p.declines++
		p.leave(one)
		if len(exclude) >= 3 {
			p.lost++
			return
		}
		p.place(one, append(slices.Clone(exclude), worker.name))
		return
	}
	worker.queue = append(worker.queue, one)
	p.mostQueued = max(p.mostQueued, len(worker.queue))
}

func (p *play) start(one *turn) {
	worker := p.workers[one.worker]
	worker.running++
	p.waits = append(p.waits, p.now.Sub(one.came))
	took := time.Duration((0.5 + 0.5*p.random.ExpFloat64()) * float64(loadTurn))
	if one.home >= 0 && one.home != one.worker {
		took += loadFresh * time.Millisecond / loadRead
	}
	p.worked += took
	p.after(took, func() {
		worker.running--
		p.leave(one)
		if len(worker.queue) > 0 {
			next := worker.queue[0]
			worker.queue = worker.queue[1:]
			p.start(next)
		}
		if p.way == exact {
			p.serveLine()
		}
	})
}

// leave takes a turn off a worker.
func (p *play) leave(one *turn) {
	worker := p.workers[one.worker]
	one.node.own[one.worker]--
	if p.way == kept {
		one.node.tallies[worker.zone].End(worker.name, 0, p.now.Sub(one.placed))
		p.tellLater(one.node, worker.zone)
	}
}

// measured is what callers got.
type measured struct {
	mean, p95, longest time.Duration
	share              float64 // of requests that waited at a worker while its zone had a free place
}

func (p *play) measured() measured {
	slices.Sort(p.waits)
	var sum time.Duration
	for _, wait := range p.waits {
		sum += wait
	}
	return measured{
		mean:    sum / time.Duration(len(p.waits)),
		p95:     p.waits[len(p.waits)*95/100],
		longest: p.waits[len(p.waits)-1],
		share:   float64(p.queued) / float64(len(p.waits)),
	}
}
