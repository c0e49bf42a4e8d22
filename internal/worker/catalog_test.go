package worker

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// ownersOf counts the nodes that each worker's calls are answered by.
func (f *fixture) ownersOf() map[id.Worker]int {
	owners := map[id.Worker]int{}
	for node, service := range f.services {
		if f.stopped[node] {
			continue
		}
		service.mutex.Lock()
		for worker := range service.owners {
			owners[worker]++
		}
		service.mutex.Unlock()
	}
	return owners
}

// listed counts the readings of the machine list.
func (f *fixture) listed() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.lists
}

func (f *fixture) kill(node id.Node) {
	f.stopped[node] = true
	f.stops[node]()
	f.network.Attach(peer.Address(node), nil)
	f.setState(node, member.Dead)
}

func (f *fixture) requireEachOwnedOnce(workers int) {
	owners := f.ownersOf()
	require.Len(f.t, owners, workers)
	for worker, count := range owners {
		require.Equal(f.t, 1, count, "owners of %s", worker)
	}
}

func TestFewNodesReadTheMachineList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 12, 36, 3)
		f.requireEachOwnedOnce(36)
		before := f.listed()
		time.Sleep(10 * time.Second)
		require.InDelta(t, directorySize*20, f.listed()-before, directorySize, "three nodes read it twice a second")

		zones := map[string]bool{}
		for _, m := range DirectoryOf(f.view("n0")) {
			zones[m.Zone] = true
		}
		require.Len(t, zones, 3, "the directory is spread over the zones")
		for _, m := range f.members {
			_, outcome, err := f.call(m.Node, id.Program("p-"+string(m.Node)), 1, 3)
			require.NoError(t, err)
			require.NotNil(t, outcome)
		}
		f.stopAll()
	})
}

func TestDirectoryOutlivesItsNodesAndTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 8, 16, 2)
		f.mutex.Lock()
		f.listDown = true
		f.mutex.Unlock()
		for _, m := range DirectoryOf(f.view("n0"))[:2] {
			f.kill(m.Node)
			settle()
		}
		f.requireEachOwnedOnce(16)
		for index := range 8 {
			node := id.Node(fmt.Sprintf("n%d", index))
			if !f.stopped[node] {
				_, _, err := f.call(node, id.Program(fmt.Sprintf("p-%d", index)), 1, 3)
				require.NoError(t, err)
			}
		}
		f.stopAll()
	})
}

func TestOnlyTheLostNodesWorkersMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 9, 30, 3)
		holder := func() map[id.Worker]id.Node {
			held := map[id.Worker]id.Node{}
			for node, service := range f.services {
				service.mutex.Lock()
				for worker := range service.owners {
					held[worker] = node
				}
				service.mutex.Unlock()
			}
			return held
		}
		before := holder()
		f.kill("n4")
		settle()
		f.requireEachOwnedOnce(30)
		delete(f.services, "n4")
		for worker, node := range holder() {
			if before[worker] != "n4" {
				require.Equal(t, before[worker], node, "%s moved for no reason", worker)
			}
		}
		f.stopAll()
	})
}

func TestSampleIsBoundedAndLeavingWorkersAreLeftOut(t *testing.T) {
	var d directory
	var machines []outside.Machine
	for index := range 100 {
		machines = append(machines, outside.Machine{ID: fmt.Sprintf("w%02d", index), Models: []id.Model{"m"}, Leaving: index%2 == 0, Gone: index%5 == 0})
	}
	view := &member.View{Members: []member.Member{{Node: "n0"}, {Node: "n1"}}}
	_, err := d.answer(view, CatalogRequest{})
	require.Error(t, err, "nothing is claimed before the list was read")
	d.set(machines)
	answer, err := d.answer(view, CatalogRequest{Node: "n0", Models: []id.Model{"m", "other"}})
	require.NoError(t, err)
	require.Len(t, answer.Serving[0].Workers, servingSample)
	require.Empty(t, answer.Serving[1].Workers)
	for _, machine := range answer.Serving[0].Workers {
		require.False(t, machine.Leaving || machine.Gone)
	}
	again, err := d.answer(view, CatalogRequest{Node: "n0", Owned: answer.Digest})
	require.NoError(t, err)
	require.False(t, again.Changed, "an unchanged list is not sent again")
	machines[1].Leaving = true
	d.set(machines)
	owned := 0
	for _, node := range []id.Node{"n0", "n1"} {
		all, err := d.answer(view, CatalogRequest{Node: node})
		require.NoError(t, err)
		owned += len(all.Owned)
	}
	require.Equal(t, 80, owned, "those that are not gone")
}
