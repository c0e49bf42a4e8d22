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
	"github.com/cloverwheel/cloverwheel/internal/evacuation"
	"github.com/cloverwheel/cloverwheel/internal/room"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// ownRoom keeps the room of service s in the node's own process.
type ownRoom struct {
	reporter *room.Reporter
	f        *fixture
}

var ownGroup = room.Group{Service: "s", Zone: "z"}

// withRoom lets a fixture's workers, of two places each, be found by a keeper.
func withRoom(f *fixture) *ownRoom {
	o := &ownRoom{f: f}
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	slots := &room.Slots{Owners: o}
	keeper := room.NewKeeper(room.KeeperOptions{Process: "z/n/1", Slots: slots, Members: o.members, Count: func(room.Outcome, room.Reason) {}, Logger: logger})
	o.reporter = room.NewReporter(room.ReporterOptions{
		Self: budget.Holder{Process: "z/n/1"}, Zone: "z", Slots: slots, Workers: o, Keeper: keeper,
		Count: func(room.Found) {}, Told: func(bool) {}, Logger: logger,
	})
	f.forwarder.options.Room = o.reporter
	return o
}

func (o *ownRoom) Owner(int) (budget.Holder, bool) { return budget.Holder{Process: "z/n/1"}, true }
func (o *ownRoom) Doubt()                          {}

func (o *ownRoom) members(room.Group) (members []room.Member, ok bool) {
	for _, worker := range o.f.workers.OfZone("s", "z") {
		members = append(members, room.Member{Worker: worker.Key(), Places: 2})
	}
	return members, true
}

func (o *ownRoom) GroupOf(_, worker string) (room.Group, bool) { return ownGroup, worker != "" }
func (o *ownRoom) GroupIn(_, _, _ string) (room.Group, bool)   { return ownGroup, true }
func (o *ownRoom) Others(_, _ string) []room.Distant           { return nil }
func (o *ownRoom) Near(string) bool                            { return true }
func (o *ownRoom) Shunned(room.Group) []string                 { return nil }

// fill gives a worker requests, and lets the keeper hear of it.
func (o *ownRoom) fill(t *testing.T, requests map[string]int) {
	for worker, count := range requests {
		for range count {
			require.NotNil(t, o.reporter.Begin("s", worker, 0))
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	o.reporter.Run(ctx)
	synctest.Wait()
}

// TestAPlaceIsGivenBackHoweverARequestEnds.
func TestAPlaceIsGivenBackHoweverARequestEnds(t *testing.T) {
	breaks := func(context.Context, Call) (*Answer, error) {
		return answer(http.StatusOK, true, io.MultiReader(strings.NewReader(events(2)), readerFunc(func([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }))), nil
	}
	for name, does := range map[string]script{
		"served": streams(5, 0), "breaks": breaks, "resets": resets, "takes no connection": refuses, "declines": declines,
		"crowded": crowded, "hangs": hangs, "fails": answers(http.StatusInternalServerError, "no"),
	} {
		for kind, turn := range map[string]route.Route{"turn": turnRoute(nil), "resumable": turnRoute(resumable), "plain": plainRoute(route.Safe, 2)} {
			t.Run(name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, turn)
					rooms := withRoom(f)
					during := 0
					f.worker("w", func(ctx context.Context, call Call) (*Answer, error) {
						during = rooms.reporter.Holds()
						return does(ctx, call)
					})
					f.serve(t.Context(), nil)
					require.Equal(t, 1, during)
					require.Zero(t, rooms.reporter.Holds())
				})
			})
		}
	}
	t.Run("client leaves", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, turnRoute(nil))
			rooms := withRoom(f)
			f.worker("w", hangs)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			got := f.serve(ctx, nil)
			require.LessOrEqual(t, got.took, 60*time.Millisecond)
			require.Zero(t, rooms.reporter.Holds())
		})
	})
}

// TestAPlaceIsGivenBackBeforeItsTurnIsDurable: the worker is done with it.
func TestAPlaceIsGivenBackBeforeItsTurnIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		rooms := withRoom(f)
		f.worker("w", streams(3, 0))
		f.table.SetFault(func(_ string, write bool) storetest.Fault {
			if write {
				return storetest.Silent
			}
			return storetest.None
		})
		held := make(chan int, 1)
		time.AfterFunc(100*time.Millisecond, func() { held <- rooms.reporter.Holds() })
		got := f.serve(t.Context(), nil)
		require.Greater(t, got.took, 100*time.Millisecond)
		require.Zero(t, <-held)
	})
}

// TestRequestsGoWhereTheKeeperSaysThereIsRoom, and after a decline to another that has some.
func TestRequestsGoWhereTheKeeperSaysThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(resumable))
		rooms := withRoom(f)
		f.worker("a", streams(1, 0))
		f.worker("b", declines)
		f.worker("c", streams(1, 0))
		rooms.fill(t, map[string]int{"a": 2, "c": 1})
		got := f.serve(t.Context(), nil)
		require.True(t, got.ended)
		require.Equal(t, []string{"b", "c"}, workersOf(f.sent()))
		require.Equal(t, 3, rooms.reporter.Holds())
	})
}

// TestAKeeperDoesNotOverruleWhatARequestMay: a worker that the keeper names, and that the request may
// not be sent to, does not get it.
func TestAKeeperDoesNotOverruleWhatARequestMay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(resumable))
		rooms := withRoom(f)
		f.worker("a", streams(1, 0))
		f.workerAt("y", "y", streams(1, 0))
		rooms.fill(t, map[string]int{"a": 1})
		f.board.Hear(evacuation.Word{Zone: "z", Evacuated: true, Revision: 2}, evacuation.FromTable)
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
