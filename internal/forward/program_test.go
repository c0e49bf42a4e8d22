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
	"github.com/cloverwheel/cloverwheel/internal/scheduling"
)

// serveTurn serves a turn of a program and returns the priority sent to the worker.
func serveTurn(t *testing.T, f *fixture, change func(*Request)) int {
	priority := -1
	f.worker("w", func(ctx context.Context, call Call) (*Answer, error) {
		priority = call.Priority
		return streams(2, 0)(ctx, call)
	})
	got := f.serve(t.Context(), func(r *Request) {
		r.Program, r.Branch = "p", "main"
		change(r)
	})
	require.True(t, got.ended)
	return priority
}

// setRoutes configures the turn's route and others of the given priorities to the same service,
// and enables the program estimates.
func (f *fixture) setRoutes(turn route.Route, priorities ...int) {
	routes := []route.Route{turn}
	for _, priority := range priorities {
		other := turn
		other.Name, other.PathPrefix, other.Priority = fmt.Sprint("other", priority), fmt.Sprintf("/other%d/", priority), priority
		routes = append(routes, other)
	}
	f.forwarder.SetConfiguration(route.New(2, routes, []route.Service{{Name: "s", TokensPerEvent: 10}}, route.Limits{}))
	f.forwarder.options.Estimator = scheduling.NewEstimator()
}

// Guards against a priority other than the route's for requests without a program deadline.
func TestPriorityWithoutProgramDeadlineIsTheRoutes(t *testing.T) {
	for urgency, want := range map[int]int{0: 1, 1: 3, 2: 5, 7: 9} {
		synctest.Test(t, func(t *testing.T) {
			turn := turnRoute(func(r *route.Route) { r.StoreTurns, r.Priority = true, urgency })
			f := newFixture(t, turn)
			f.setRoutes(turn, 0, 1, 2)
			require.Equal(t, want, serveTurn(t, f, func(r *Request) { r.ID = "t1" }))
			require.Equal(t, min(9, 2*urgency), serveTurn(t, f, func(r *Request) { r.ID, r.PreviousTurn = "t2", "t1" }))
		})
	}
}

// Guards against a wrong order of a route's programs, or one that reaches into the next route's
// priorities.
func TestPriorityCombinesUrgencyAndProgramState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turn := turnRoute(func(r *route.Route) { r.StoreTurns, r.Priority = true, 0 })
		f := newFixture(t, turn)
		f.setRoutes(turn, 2)
		at := func(id, from string, finish time.Duration) int {
			return serveTurn(t, f, func(r *Request) { r.ID, r.PreviousTurn, r.HasFinish, r.TimeToFinish = id, from, true, finish })
		}
		begins := at("t1", "", 2*time.Second)
		ample := at("t2", "t1", 1900*time.Millisecond)
		late := at("t3", "t2", 0)
		require.Less(t, ample, late, "programs past their deadline come after those that can meet it")
		require.Less(t, late, begins, "running programs come before new ones")
		require.Less(t, begins, 2*priorityStep, "new programs come before those of less urgent routes")
	})
}

// Guards against overlapping ranges of worker priorities.
func TestPriorityRangeEndsBeforeTheNextRoutes(t *testing.T) {
	routes := []route.Route{}
	for index, priority := range []int{0, 1, 4} {
		turn := turnRoute(func(r *route.Route) { r.Priority = priority })
		turn.PathPrefix = fmt.Sprintf("/%d/", index)
		routes = append(routes, turn)
	}
	configuration := route.New(1, routes, nil, route.Limits{})
	require.Equal(t, scheduling.PriorityRange{First: 0, Last: 1}, priorityRange(configuration, "s", 0))
	require.Equal(t, scheduling.PriorityRange{First: 2, Last: 7}, priorityRange(configuration, "s", 1))
	require.Equal(t, scheduling.PriorityRange{First: 8, Last: 9}, priorityRange(configuration, "s", 4))
	require.Equal(t, scheduling.PriorityRange{First: 9, Last: 9}, priorityRange(configuration, "s", 12))
	require.Equal(t, scheduling.PriorityRange{First: 0, Last: 9}, priorityRange(configuration, "unknown", 0))
}

// overload reports to admission control first turns with long waits for their first event.
func overload(controller *admission.Controller, urgency int) {
	idle := admission.UnloadedTime{FirstEvent: 10 * time.Millisecond, Total: 100 * time.Millisecond}
	program := scheduling.Program{Begins: true, Urgency: urgency}
	for range 10 {
		controller.FirstEvent(controller.Sent("s", program, idle, time.Now().Add(-5*time.Second)), time.Now())
	}
}

// Guards against store calls, sends or delays for a program that is refused under overload.
func TestOverloadRefusesNewProgramsBeforeAnyWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turn := turnRoute(retained)
		f := newFixture(t, turn)
		f.setRoutes(turn)
		f.forwarder.options.Admission = admission.NewController(nil)
		f.worker("w", streams(2, 0))
		begin := func(r *Request) {
			r.Program, r.Branch, r.HasFinish, r.TimeToFinish, r.TokenBudget, r.MaxOutputTokens = "p", "main", true, time.Second, 1000, 100
		}
		commits, reads := f.table.Calls()
		overload(f.forwarder.options.Admission, 0)
		got := f.serve(t.Context(), begin)
		require.Equal(t, fault.Overloaded, got.refusal.Code)
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.Positive(t, got.refusal.RetryAfter)
		require.LessOrEqual(t, got.refusal.RetryAfter, time.Second, "a third of the client's deadline")
		require.Zero(t, got.took, "refused at once")
		require.Empty(t, f.sent())
		commitsAfter, readsAfter := f.table.Calls()
		require.Equal(t, [2]int{commits, reads}, [2]int{commitsAfter, readsAfter}, "without calls to the store")
	})
}

// Guards against a refused program that retries at the requested time losing to new ones.
func TestReturningProgramGoesBeforeNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turn := turnRoute(retained)
		f := newFixture(t, turn)
		f.setRoutes(turn, 2)
		f.forwarder.options.Admission = admission.NewController(nil)
		f.worker("w", streams(2, 0))
		timed := func(program string) func(*Request) {
			return func(r *Request) { r.ID, r.Program, r.HasFinish, r.TimeToFinish = program, program, true, time.Second }
		}
		overload(f.forwarder.options.Admission, 0)
		refusal := f.serve(t.Context(), timed("refused")).refusal
		require.NotNil(t, refusal)
		time.Sleep(refusal.RetryAfter)
		newPriority := serveTurn(t, f, timed("new"))
		require.Less(t, serveTurn(t, f, timed("refused")), newPriority)
	})
}

// Guards against refusing running programs under overload.
func TestRunningProgramsAreServedUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turn := turnRoute(retained)
		f := newFixture(t, turn)
		f.setRoutes(turn)
		f.forwarder.options.Admission = admission.NewController(nil)
		timed := func(id, from string) func(*Request) {
			return func(r *Request) { r.ID, r.PreviousTurn, r.HasFinish, r.TimeToFinish = id, from, true, 0 }
		}
		serveTurn(t, f, timed("t1", ""))
		overload(f.forwarder.options.Admission, 0)
		serveTurn(t, f, timed("t2", "t1"))
	})
}
