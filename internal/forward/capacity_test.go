package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/capacity"
	"github.com/cloverwheel/cloverwheel/internal/evacuation"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// localCapacity tracks the capacity of service s within the node's own process.
type localCapacity struct {
	client *capacity.Client
	f      *fixture
}

var localGroup = capacity.Group{Service: "s", Zone: "z"}

// withCapacity adds capacity tracking to a fixture, with two slots per worker.
func withCapacity(f *fixture) *localCapacity {
	o := &localCapacity{f: f}
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	slots := &capacity.CoordinatorResolver{Owners: o}
	coordinator := capacity.NewCoordinator(capacity.CoordinatorOptions{Process: "z/n/1", Resolver: slots, Members: o.members, OnAnswer: func(capacity.Outcome, capacity.Reason) {}, Logger: logger})
	o.client = capacity.NewClient(capacity.ClientOptions{
		Self: budget.Holder{Process: "z/n/1"}, Zone: "z", Resolver: slots, Workers: o, Coordinator: coordinator,
		OnFind: func(capacity.Placement) {}, OnReport: func(bool) {}, Logger: logger,
	})
	f.forwarder.options.Capacity = o.client
	return o
}

func (o *localCapacity) Owner(int) (budget.Holder, bool) {
	return budget.Holder{Process: "z/n/1"}, true
}
func (o *localCapacity) RequestRefresh() {}

func (o *localCapacity) members(capacity.Group) (members []capacity.Member, ok bool) {
	for _, worker := range o.f.workers.WorkersInZone("s", "z") {
		members = append(members, capacity.Member{Worker: worker.Key(), Concurrency: 2})
	}
	return members, true
}

func (o *localCapacity) GroupOf(_, worker string) (capacity.Group, bool) {
	return localGroup, worker != ""
}
func (o *localCapacity) GroupIn(_, _, _ string) (capacity.Group, bool) { return localGroup, true }
func (o *localCapacity) OtherZones(_, _ string) []capacity.RemoteZone  { return nil }
func (o *localCapacity) InRegion(string) bool                          { return true }
func (o *localCapacity) Excluded(capacity.Group) []string              { return nil }

// fill occupies slots of workers and waits until the coordinator has the report.
func (o *localCapacity) fill(t *testing.T, requests map[string]int) {
	for worker, count := range requests {
		for range count {
			require.NotNil(t, o.client.Begin("s", worker, 0))
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	o.client.Run(ctx)
	synctest.Wait()
}

// Guards against leaking a worker's slot, for each way in which a request can end.
func TestSlotIsReleasedHoweverARequestEnds(t *testing.T) {
	breaks := func(context.Context, Call) (*Answer, error) {
		return answer(http.StatusOK, true, io.MultiReader(strings.NewReader(events(2)), readerFunc(func([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }))), nil
	}
	for name, does := range map[string]script{
		"served": streams(5, 0), "breaks mid-stream": breaks, "resets": resets, "refuses connections": refusesConnections, "declines": declines,
		"at its connection limit": atConnectionLimit, "hangs": hangs, "fails": answers(http.StatusInternalServerError, "no"),
	} {
		for kind, turn := range map[string]route.Route{"turn": turnRoute(nil), "resumable": turnRoute(resumable), "plain": plainRoute(route.Safe, 2)} {
			t.Run(name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, turn)
					capacity := withCapacity(f)
					during := 0
					f.worker("w", func(ctx context.Context, call Call) (*Answer, error) {
						during = capacity.client.RunningRequests()
						return does(ctx, call)
					})
					f.serve(t.Context(), nil)
					require.Equal(t, 1, during)
					require.Zero(t, capacity.client.RunningRequests())
				})
			})
		}
	}
	t.Run("client leaves", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, turnRoute(nil))
			capacity := withCapacity(f)
			f.worker("w", hangs)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			got := f.serve(ctx, nil)
			require.LessOrEqual(t, got.took, 60*time.Millisecond)
			require.Zero(t, capacity.client.RunningRequests())
		})
	})
}

// Guards against holding a worker's slot while the turn is written to the store.
func TestSlotIsReleasedBeforeTheTurnIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		capacity := withCapacity(f)
		f.worker("w", streams(3, 0))
		f.table.SetFault(func(_ string, write bool) storetest.Fault {
			if write {
				return storetest.RequestLost
			}
			return storetest.None
		})
		held := make(chan int, 1)
		time.AfterFunc(100*time.Millisecond, func() { held <- capacity.client.RunningRequests() })
		got := f.serve(t.Context(), nil)
		require.Greater(t, got.took, 100*time.Millisecond)
		require.Zero(t, <-held)
	})
}

// Guards against sending to a full worker, and against failing after a decline while another
// worker has a free slot.
func TestRequestsGoToWorkersWithCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(resumable))
		capacity := withCapacity(f)
		f.worker("a", streams(1, 0))
		f.worker("b", declines)
		f.worker("c", streams(1, 0))
		capacity.fill(t, map[string]int{"a": 2, "c": 1})
		got := f.serve(t.Context(), nil)
		require.True(t, got.ended)
		require.Equal(t, []string{"b", "c"}, workersOf(f.sent()))
		require.Equal(t, 3, capacity.client.RunningRequests())
	})
}

// Guards against sending a request to a worker with capacity in a zone that the request may not
// use.
func TestCapacityDoesNotOverrideEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(resumable))
		capacity := withCapacity(f)
		f.worker("a", streams(1, 0))
		f.workerAt("y", "y", streams(1, 0))
		capacity.fill(t, map[string]int{"a": 1})
		f.tracker.Apply(evacuation.Word{Zone: "z", Evacuated: true, Revision: 2}, evacuation.FromStore)
		got := f.serve(t.Context(), nil)
		require.True(t, got.ended)
		require.Equal(t, []string{"y"}, workersOf(f.sent()))
	})
}

func workersOf(calls []sent) (workers []string) {
	for _, call := range calls {
		workers = append(workers, call.worker)
	}
	return workers
}
