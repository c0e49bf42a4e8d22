package forward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/admission"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/standing"
)

// serveTurn serves a turn of a program and returns the priority that the worker was told.
func serveTurn(t *testing.T, f *fixture, change func(*Request)) int {
	priority := -1
	f.worker("w", func(ctx context.Context, call Call) (*Answer, error) {
		priority = call.Priority
		return streams(2, 0)(ctx, call)
	})
	got := f.serve(t.Context(), func(r *Request) {
		r.Program, r.Line = "p", "main"
		change(r)
	})
	require.True(t, got.ended)
	return priority
}

// before puts another route to the same service in force, and a learner in place.
func (f *fixture) before(turn route.Route, priorities ...int) {
	routes := []route.Route{turn}
	for _, priority := range priorities {
		other := turn
		other.Name, other.PathPrefix, other.Priority = fmt.Sprint("other", priority), fmt.Sprintf("/other%d/", priority), priority
		routes = append(routes, other)
	}
	f.forwarder.SetConfiguration(route.New(2, routes, []route.Service{{Name: "s", TokensPerEvent: 10}}, route.Limits{}))
	f.forwarder.options.Standing = standing.NewLearner()
}

func TestPriorityOfRequestsWithoutAProgramsTimeIsTheRoutes(t *testing.T) {
	for urgency, want := range map[int]int{0: 1, 1: 3, 2: 5, 7: 9} {
		synctest.Test(t, func(t *testing.T) {
			turn := turnRoute(func(r *route.Route) { r.Retain, r.Priority = true, urgency })
			f := newFixture(t, turn)
			f.before(turn, 0, 1, 2)
			require.Equal(t, want, serveTurn(t, f, func(r *Request) { r.ID = "t1" }))
			require.Equal(t, min(9, 2*urgency), serveTurn(t, f, func(r *Request) { r.ID, r.Continue = "t2", "t1" }))
		})
	}
}

func TestPriorityOfAProgramIsMadeOfUrgencyAndStanding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turn := turnRoute(func(r *route.Route) { r.Retain, r.Priority = true, 0 })
		f := newFixture(t, turn)
		f.before(turn, 2)
		at := func(id, from string, finish time.Duration) int {
			return serveTurn(t, f, func(r *Request) { r.ID, r.Continue, r.Timed, r.Finish = id, from, true, finish })
		}
		begins := at("t1", "", 2*time.Second)
		ample := at("t2", "t1", 1900*time.Millisecond)
		late := at("t3", "t2", 0)
		require.Less(t, ample, late, "those whose time is lost come after those that can be in time")
		require.Less(t, late, begins, "programs under way come before new ones")
		require.Less(t, begins, 2*priorityStep, "which come before all that is less urgent")
	})
}

func TestABandEndsBeforeTheNextLessUrgentOne(t *testing.T) {
	routes := []route.Route{}
	for index, priority := range []int{0, 1, 4} {
		turn := turnRoute(func(r *route.Route) { r.Priority = priority })
		turn.PathPrefix = fmt.Sprintf("/%d/", index)
		routes = append(routes, turn)
	}
	configuration := route.New(1, routes, nil, route.Limits{})
	require.Equal(t, standing.Band{First: 0, Last: 1}, band(configuration, "s", 0))
	require.Equal(t, standing.Band{First: 2, Last: 7}, band(configuration, "s", 1))
	require.Equal(t, standing.Band{First: 8, Last: 9}, band(configuration, "s", 4))
	require.Equal(t, standing.Band{First: 9, Last: 9}, band(configuration, "s", 12))
	require.Equal(t, standing.Band{First: 0, Last: 9}, band(configuration, "unknown", 0))
}

// overloaded lets the gate see first turns that waited for long.
func overloaded(gate *admission.Gate, urgency int) {
	idle := admission.Idle{First: 10 * time.Millisecond, Whole: 100 * time.Millisecond}
	program := standing.Program{Begins: true, Urgency: urgency}
	for range 10 {
		gate.First(gate.Sent("s", program, idle, time.Now().Add(-5*time.Second)), time.Now())
	}
}

func TestUnderOverloadAProgramIsRefusedBeforeAnythingIsDoneForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turn := turnRoute(retained)
		f := newFixture(t, turn)
		f.before(turn)
		f.forwarder.options.Admission = admission.NewGate(nil)
		f.worker("w", streams(2, 0))
		begin := func(r *Request) {
			r.Program, r.Line, r.Timed, r.Finish, r.Budget, r.Output = "p", "main", true, time.Second, 1000, 100
		}
		commits, reads := f.table.Calls()
		overloaded(f.forwarder.options.Admission, 0)
		got := f.serve(t.Context(), begin)
		require.Equal(t, fault.Overloaded, got.refusal.Code)
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.Positive(t, got.refusal.RetryAfter)
		require.LessOrEqual(t, got.refusal.RetryAfter, time.Second, "a third of what its client waits")
		require.Zero(t, got.took, "at once")
		require.Empty(t, f.sent())
		commitsAfter, readsAfter := f.table.Calls()
		require.Equal(t, [2]int{commits, reads}, [2]int{commitsAfter, readsAfter}, "and at nobody's cost")
	})
}

func TestWhoReturnsWhenToldComesBeforeWhoIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turn := turnRoute(retained)
		f := newFixture(t, turn)
		f.before(turn, 2)
		f.forwarder.options.Admission = admission.NewGate(nil)
		f.worker("w", streams(2, 0))
		timed := func(program string) func(*Request) {
			return func(r *Request) { r.ID, r.Program, r.Timed, r.Finish = program, program, true, time.Second }
		}
		overloaded(f.forwarder.options.Admission, 0)
		told := f.serve(t.Context(), timed("told")).refusal
		require.NotNil(t, told)
		time.Sleep(told.RetryAfter)
		fresh := serveTurn(t, f, timed("new"))
		require.Less(t, serveTurn(t, f, timed("told")), fresh)
	})
}

func TestWhatIsUnderWayIsServedUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turn := turnRoute(retained)
		f := newFixture(t, turn)
		f.before(turn)
		f.forwarder.options.Admission = admission.NewGate(nil)
		timed := func(id, from string) func(*Request) {
			return func(r *Request) { r.ID, r.Continue, r.Timed, r.Finish = id, from, true, 0 }
		}
		serveTurn(t, f, timed("t1", ""))
		overloaded(f.forwarder.options.Admission, 0)
		serveTurn(t, f, timed("t2", "t1"))
	})
}
