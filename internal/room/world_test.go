package room

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/experience"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

// world is some nodes of one zone before workers that all of them know. Nodes 0 and 1 own slots.
type world struct {
	t       *testing.T
	owners  []budget.Holder // by slot
	workers []string
	nodes   []*worldNode
	hop     time.Duration
	board   seen // what all nodes have seen of workers

	mutex  sync.Mutex
	silent map[string]bool // processes that answer nobody
	cut    map[[2]string]bool
	old    map[string]bool // processes that do not know the question
	doubts int
}

type worldNode struct {
	world    *world
	self     budget.Holder
	keeper   *Keeper
	reporter *Reporter
	found    []Found
	seen     seen
}

const worldPlaces = 4

func newWorld(t *testing.T, nodes, workers int) *world {
	w := &world{t: t, hop: time.Millisecond, silent: map[string]bool{}, cut: map[[2]string]bool{}, old: map[string]bool{}}
	for index := range workers {
		w.workers = append(w.workers, fmt.Sprint("w", index))
	}
	for index := range nodes {
		process := locality.ProcessName("z", fmt.Sprint("n", index), "1")
		w.nodes = append(w.nodes, &worldNode{world: w, self: budget.Holder{Process: process, Address: process}})
	}
	w.owners = make([]budget.Holder, directory.Layout{}.Count())
	for slot := range w.owners {
		w.owners[slot] = w.nodes[slot%2].self
	}
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	for _, node := range w.nodes {
		slots := &Slots{Owners: node}
		node.keeper = NewKeeper(KeeperOptions{Process: node.self.Process, Slots: slots, Members: node.members, Experience: &w.board, Count: func(Outcome, Reason) {}, Logger: logger})
		node.reporter = NewReporter(ReporterOptions{
			Self: node.self, Zone: "z", Slots: slots, Peers: node, Workers: node, Keeper: node.keeper, Learner: &node.seen,
			Count: func(found Found) { node.found = append(node.found, found) }, Told: func(bool) {}, Logger: logger,
		})
		go node.reporter.Run(t.Context())
	}
	return w
}

// first is the node that keeps the group.
func (w *world) first() int {
	keeper, _, _ := w.nodes[0].reporter.options.Slots.keeper(worldGroup, func(string) bool { return false })
	return slices.IndexFunc(w.nodes, func(node *worldNode) bool { return node.self == keeper })
}

var worldGroup = Group{Service: "s", Zone: "z"}

func (n *worldNode) Owner(slot int) (budget.Holder, bool) { return n.world.owners[slot], true }

func (n *worldNode) Doubt() {
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	n.world.doubts++
}

func (n *worldNode) members(Group) (members []Member, ok bool) {
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	for _, worker := range n.world.workers {
		members = append(members, Member{Worker: worker, Places: worldPlaces})
	}
	return members, true
}

func (n *worldNode) GroupOf(_, worker string) (Group, bool) { return worldGroup, worker != "" }
func (n *worldNode) GroupIn(_, _, _ string) (Group, bool)   { return worldGroup, true }
func (n *worldNode) Others(_, _ string) []Distant           { return nil }
func (n *worldNode) Near(string) bool                       { return true }
func (n *worldNode) Shunned(Group) []string                 { return nil }
func (w *world) set(states map[string]bool, of int, to bool) {
	w.locked(func() { states[w.process(of)] = to })
}
func (w *world) process(index int) string { return w.nodes[index].self.Process }
func (w *world) locked(do func())         { w.mutex.Lock(); defer w.mutex.Unlock(); do() }
func (w *world) cutFrom(from, to int) {
	w.locked(func() { w.cut[[2]string{w.process(from), w.process(to)}] = true })
}
func (n *worldNode) fate(to string) (lost, unknown bool) {
	w := n.world
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.silent[to] || w.silent[n.self.Process] || w.cut[[2]string{n.self.Process, to}], w.old[to]
}

// Room implements Peers.
func (n *worldNode) Room(ctx context.Context, keeper budget.Holder, request Request) (Answer, error) {
	lost, unknown := n.fate(keeper.Process)
	if lost {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	if unknown {
		return Answer{}, fault.New(fault.Invalid, "unknown peer method", "run the same version on all nodes")
	}
	if err := wait.For(ctx, n.world.hop); err != nil {
		return Answer{}, err
	}
	index := slices.IndexFunc(n.world.nodes, func(other *worldNode) bool { return other.self == keeper })
	if index < 0 {
		return Answer{}, errors.New("nobody there")
	}
	answer := n.world.nodes[index].keeper.Answer(ctx, request)
	if err := wait.For(ctx, n.world.hop); err != nil {
		return Answer{}, err
	}
	return answer, nil
}

// find asks for a place, and takes the worker that a blind node would where there is none.
func (n *worldNode) find(wanted Wanted) (Found, *Place) {
	wanted.Service = "s"
	wanted.Allows = func(string) bool { return true }
	found := n.reporter.Find(n.world.t.Context(), wanted)
	if found.Place != nil {
		return found, found.Place
	}
	return found, n.reporter.Begin("s", n.world.workers[0], 0)
}

// fill gives a node so many requests, spread over the workers.
func (n *worldNode) fill(requests int) (places []*Place) {
	for index := range requests {
		places = append(places, n.reporter.Begin("s", n.world.workers[index%len(n.world.workers)], 0))
	}
	return places
}

// settle lets the keeper hear of all nodes.
func settle() { time.Sleep(2*settling + 100*time.Millisecond) }

// inWorld runs a test in virtual time.
func inWorld(t *testing.T, nodes, workers int, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) { test(t, newWorld(t, nodes, workers)) })
}

// TestNobodyWaitsWhileTheGroupIsCalm, and messages are few.
func TestNobodyWaitsWhileTheGroupIsCalm(t *testing.T) {
	inWorld(t, 4, 4, func(t *testing.T, w *world) {
		w.nodes[2].fill(4)
		settle()
		found, place := w.nodes[2].find(Wanted{})
		require.Equal(t, SourceCalm, found.Source)
		require.Zero(t, found.Took)
		require.InDelta(t, 0.25, found.Busy, 0)
		place.End()
	})
}

// TestTheKeeperNamesTheWorkerWithRoom while the group is busy.
func TestTheKeeperNamesTheWorkerWithRoom(t *testing.T) {
	inWorld(t, 4, 4, func(t *testing.T, w *world) {
		w.nodes[2].fill(15) // of 16 places; the last worker has 3
		settle()
		w.nodes[3].fill(0)
		found, place := w.nodes[3].find(Wanted{})
		require.Equal(t, SourceCalm, found.Source, "it has heard nothing yet")
		place.End()
		settle()
		found, place = w.nodes[3].find(Wanted{})
		require.Equal(t, SourceKeeper, found.Source)
		require.Equal(t, "w3", place.Worker())
		require.LessOrEqual(t, found.Took, 2*w.hop)
	})
}

// TestAPlaceThatComesFreeIsGivenOn at once: to one who waits, also where a client left or a send
// failed, since all end their places alike.
func TestAPlaceThatComesFreeIsGivenOn(t *testing.T) {
	inWorld(t, 4, 1, func(t *testing.T, w *world) {
		places := w.nodes[2].fill(worldPlaces + overbooked)
		w.nodes[3].fill(1)
		settle()
		begun := time.Now()
		time.AfterFunc(50*time.Millisecond, func() { places[0].End(); places[1].End() })
		found, _ := w.nodes[3].find(Wanted{Longest: 400 * time.Millisecond})
		require.Equal(t, SourceKeeper, found.Source)
		require.Equal(t, "w0", found.Place.Worker())
		require.LessOrEqual(t, time.Since(begun), 50*time.Millisecond+tellBusy+2*tellTick+4*w.hop)
	})
}

// TestNobodyWaitsForLongerThanHeMay.
func TestNobodyWaitsForLongerThanHeMay(t *testing.T) {
	inWorld(t, 4, 1, func(t *testing.T, w *world) {
		w.nodes[2].fill(20)
		w.nodes[3].fill(1)
		settle()
		for _, longest := range []time.Duration{0, 30 * time.Millisecond, 400 * time.Millisecond} {
			found, place := w.nodes[3].find(Wanted{Longest: longest})
			require.Equal(t, SourceFull, found.Source)
			require.LessOrEqual(t, found.Took, longest+10*w.hop)
			place.End()
		}
	})
}

// TestAnAskerThatLeavesTakesNoPlace.
func TestAnAskerThatLeavesTakesNoPlace(t *testing.T) {
	inWorld(t, 4, 1, func(t *testing.T, w *world) {
		places := w.nodes[2].fill(worldPlaces + overbooked)
		held := w.nodes[3].fill(1)
		settle()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		found := w.nodes[3].reporter.Find(ctx, Wanted{Service: "s", Longest: 400 * time.Millisecond, Allows: func(string) bool { return true }})
		require.Nil(t, found.Place)
		require.LessOrEqual(t, found.Took, 21*time.Millisecond)
		for _, place := range append(places, held...) {
			place.End()
		}
		time.Sleep(grantLasts + 100*time.Millisecond)
		require.Zero(t, w.nodes[w.first()].keeper.Busy(worldGroup))
	})
}

// trouble is a failure, and how it is asked for places while and after it lasts.
type trouble struct {
	begin func(w *world, keeper int)
	end   func(w *world, keeper int)
	alone bool // only the asker does not reach the keeper: who stands in knows of nobody else
}

// TestALostKeeperCostsLittle: a keeper is killed, paused for 4 s, cut one way, or an old build takes
// its place. Nobody waits for it for long, requests go as they do without one, and within a second a
// keeper names the worker with room again. A node that alone is cut off from it goes on as without one.
func TestALostKeeperCostsLittle(t *testing.T) {
	for name, trouble := range map[string]trouble{
		"killed":      {begin: func(w *world, keeper int) { w.set(w.silent, keeper, true) }},
		"cut one way": {begin: func(w *world, keeper int) { w.cutFrom(3, keeper) }, alone: true},
		"old build":   {begin: func(w *world, keeper int) { w.set(w.old, keeper, true) }},
		"paused": {
			begin: func(w *world, keeper int) { w.set(w.silent, keeper, true) },
			end:   func(w *world, keeper int) { w.set(w.silent, keeper, false) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 4, 4, func(t *testing.T, w *world) {
				w.nodes[2].fill(15) // w3 alone has room
				w.nodes[3].fill(1)
				settle()
				settle()
				keeper := w.first()
				trouble.begin(w, keeper)
				ask := func() Found {
					found, place := w.nodes[3].find(Wanted{Longest: 400 * time.Millisecond})
					place.End()
					time.Sleep(30 * time.Millisecond)
					return found
				}
				var waited time.Duration
				for begun := time.Now(); time.Since(begun) < time.Second; {
					found := ask()
					waited += found.Took
					require.Contains(t, []Source{SourceKeeper, SourceSilent, SourceNew, SourceCalm}, found.Source)
				}
				require.LessOrEqual(t, waited, missesToSuspect*askWait+time.Second/10)
				for begun := time.Now(); time.Since(begun) < 3*time.Second; {
					found := ask()
					require.LessOrEqual(t, found.Took, 10*w.hop)
					if trouble.alone {
						continue
					}
					require.Equal(t, SourceKeeper, found.Source, "after %v", time.Since(begun))
					require.NotEqual(t, w.process(keeper), found.Keeper)
					require.Equal(t, "w3", found.Place.Worker())
				}
				if trouble.end == nil {
					return
				}
				trouble.end(w, keeper)
				for begun := time.Now(); time.Since(begun) < 2*longestPause; {
					ask()
				}
				found := ask()
				require.Equal(t, SourceKeeper, found.Source)
				require.Equal(t, w.process(keeper), found.Keeper, "it keeps the group again")
				require.Equal(t, "w3", found.Place.Worker())
			})
		})
	}
}

// TestTwoKeepersAtOnce: nodes that see the slots differently tell two keepers. Each knows a part, no
// request waits longer than it may, and a keeper by its own view sends those away who ask it by
// an old one.
func TestTwoKeepersAtOnce(t *testing.T) {
	inWorld(t, 6, 4, func(t *testing.T, w *world) {
		first := w.first()
		second := 1 - first
		for _, index := range []int{3, 5} {
			w.cutFrom(index, first)
		}
		for index := 2; index < 6; index++ {
			w.nodes[index].fill(4) // 16 of 16 places
		}
		settle()
		settle()
		for range 20 {
			for index := 2; index < 6; index++ {
				found, place := w.nodes[index].find(Wanted{Longest: 100 * time.Millisecond})
				require.LessOrEqual(t, found.Took, 100*time.Millisecond+10*w.hop)
				place.End()
			}
			time.Sleep(30 * time.Millisecond)
		}
		last := func(index int) Found { return w.nodes[index].found[len(w.nodes[index].found)-1] }
		require.Equal(t, w.process(first), last(2).Keeper)
		require.Equal(t, w.process(second), last(3).Keeper)

		answer := w.nodes[second].keeper.Answer(t.Context(), Request{Process: w.process(second), Report: Report{From: "x", Group: worldGroup}})
		require.False(t, answer.Keeper, "it does not keep the group, nor was another passed over")
		answer = w.nodes[first].keeper.Answer(t.Context(), Request{Process: "of an earlier process", Report: Report{From: "x", Group: worldGroup}})
		require.False(t, answer.Keeper)
	})
}

// TestANodeThatDiesFreesItsPlaces within a second.
func TestANodeThatDiesFreesItsPlaces(t *testing.T) {
	inWorld(t, 4, 13, func(t *testing.T, w *world) {
		w.nodes[2].fill(50) // of 52
		w.nodes[3].fill(1)
		settle()
		settle()
		busy := func() float64 {
			found, place := w.nodes[3].find(Wanted{})
			place.End()
			return found.Busy
		}
		require.Greater(t, busy(), 0.9)
		w.set(w.silent, 2, true)
		time.Sleep(time.Second)
		require.Less(t, busy(), 0.1)
	})
}

// TestAWorkerThatStartsAgainIsAnother: its key names the incarnation; what ran at the one before does
// not count against it.
func TestAWorkerThatStartsAgainIsAnother(t *testing.T) {
	inWorld(t, 4, 3, func(t *testing.T, w *world) {
		w.nodes[2].fill(11) // w2 has 3, the others 4
		w.nodes[3].fill(1)  // and w0 one more
		settle()
		settle()
		found, place := w.nodes[3].find(Wanted{})
		require.Equal(t, "w2", found.Place.Worker())
		place.End()
		w.locked(func() { w.workers[0] = "w0@2" })
		time.Sleep(100 * time.Millisecond)
		found, place = w.nodes[3].find(Wanted{Home: "w0"})
		require.Equal(t, "w0@2", found.Place.Worker())
		place.End()
	})
}

// seen is an Experience and a Learner: one worker is spoken against once it was told of.
type seen struct {
	mutex   sync.Mutex
	untold  []experience.Sample
	learnt  []experience.Sample
	noted   []experience.Verdict
	against []experience.Verdict
}

func (s *seen) do(what func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	what()
}

func (s *seen) Learn(_ Group, _ string, samples []experience.Sample, _ time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.learnt = append(s.learnt, samples...)
}

func (s *seen) Verdicts(Group, time.Time) []experience.Verdict {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.learnt) == 0 {
		return nil
	}
	return s.against
}

func (s *seen) TakeSamples(string) []experience.Sample {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := s.untold
	s.untold = nil
	return taken
}

func (s *seen) NoteVerdicts(verdicts []experience.Verdict) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.noted = verdicts
}

// TestExperienceRidesOnReports: samples go to the keeper, verdicts come back, and a worker that is to be
// avoided is offered to nobody.
func TestExperienceRidesOnReports(t *testing.T) {
	inWorld(t, 4, 4, func(t *testing.T, w *world) {
		w.board.do(func() { w.board.against = []experience.Verdict{{Worker: "w3", Until: time.Minute}} })
		node := &w.nodes[2].seen
		node.do(func() { node.untold = []experience.Sample{{Worker: "w3", Requests: 9, Failures: 9}} })
		w.nodes[2].fill(14) // w2 and w3 have room
		w.nodes[3].fill(1)
		settle()
		settle()
		w.board.do(func() { require.Len(t, w.board.learnt, 1) })
		node.do(func() { require.Equal(t, w.board.against, node.noted) })
		for range 4 {
			found, _ := w.nodes[3].find(Wanted{Exclude: []string{"w0"}})
			require.NotEqual(t, "w3", found.Place.Worker())
		}
	})
}
