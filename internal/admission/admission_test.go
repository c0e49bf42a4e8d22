package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/scheduling"
)

// overloaded returns a load at which each turn queues for wait.
func overloaded(wait time.Duration) Load {
	waits := WaitStats{Events: 10, Waited: 10, Excess: 10 * wait}
	return Load{Others: waits, New: waits}
}

func newProgram(key string) scheduling.Program {
	return scheduling.Program{Key: key, Begins: true, Timed: true, Finish: 1500 * time.Millisecond, Needs: time.Second, Turns: 4}
}

func request(program scheduling.Program) Request {
	return Request{Program: program, TimeLeft: 3 * time.Second, AdmitRate: 10, PendingRetries: 4}
}

// A program in progress must not be refused, however overloaded the workers are.
func TestProgramInProgressIsNeverRefused(t *testing.T) {
	program := newProgram("p")
	program.Begins, program.Finish = false, 0
	require.Equal(t, Verdict{Admitted: true, Reason: ReasonInProgress}, Decide(request(program), overloaded(time.Second)))
}

// A program without a deadline cannot miss it, so it must not be refused.
func TestProgramWithoutDeadlineIsAdmitted(t *testing.T) {
	require.Equal(t, ReasonNoDeadline, Decide(request(scheduling.Program{Key: "p", Begins: true}), overloaded(time.Second)).Reason)
}

// A program that will be late in any case must not take capacity from others, but may use spare capacity.
func TestLateProgramIsRefusedOnlyUnderOverload(t *testing.T) {
	program := newProgram("p")
	program.Finish = 0
	require.True(t, Decide(request(program), Load{}).Admitted)
	verdict := Decide(request(program), overloaded(time.Second))
	require.Equal(t, ReasonTooLate, verdict.Reason)
	require.False(t, verdict.Admitted)
}

// Only programs that would miss their deadline by queueing must be refused.
func TestProgramIsAdmittedIfItsSlackCoversTheWait(t *testing.T) {
	require.Equal(t, ReasonInTime, Decide(request(newProgram("p")), overloaded(10*time.Millisecond)).Reason)
	require.Equal(t, ReasonOverloaded, Decide(request(newProgram("p")), overloaded(time.Second)).Reason)
}

// Ranks must be uniform, or nodes admit another share of programs than intended.
func TestHashRankIsUniform(t *testing.T) {
	in := 0
	for index := range 1000 {
		if hashRank(fmt.Sprint("p", index)) < 0.3 {
			in++
		}
	}
	require.InDelta(t, 300, in, 60)
}

// Programs must not be refused without recent evidence that all workers have queues.
func TestNoRefusalWithoutEvidenceOfOverload(t *testing.T) {
	for name, load := range map[string]Load{
		"newest sample did not queue": {New: WaitStats{Events: 10, Waited: 9, Excess: time.Minute}, WorkerFree: true},
		"no samples":                  {},
		"samples are stale":           {New: overloaded(time.Second).New, Age: time.Second},
		"utilization report below 1":  {New: overloaded(time.Second).New, Utilization: &UtilizationReport{Share: 0.9}},
	} {
		require.Equal(t, ReasonNotOverloaded, Decide(request(newProgram("p")), load).Reason, name)
	}
}

// A report older than MaxUtilizationAge must not cause refusals.
func TestStaleUtilizationReportIsIgnored(t *testing.T) {
	load := Load{Utilization: &UtilizationReport{Share: 1.5}}
	require.True(t, load.Overloaded())
	load.Utilization.Age = time.Minute
	require.False(t, load.Overloaded())
}

// A program that retries at the time that it was given must be admitted, even if it will be late.
func TestReturningProgramIsAdmitted(t *testing.T) {
	program := newProgram("p")
	program.Returns, program.Finish = true, 0
	require.Equal(t, ReasonReturning, Decide(request(program), overloaded(time.Second)).Reason)
}

// A retry delay must be neither negative nor longer than a third of the client's remaining time.
func TestRetryDelayIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		program := newProgram(rapid.String().Draw(t, "key"))
		a := Request{
			Program:        program,
			TimeLeft:       time.Duration(rapid.IntRange(0, 10_000).Draw(t, "left")) * time.Millisecond,
			PendingRetries: rapid.IntRange(0, 100).Draw(t, "ahead"),
			AdmitRate:      rapid.Float64Range(0, 100).Draw(t, "pace"),
		}
		verdict := Decide(a, overloaded(time.Second))
		if verdict.Admitted {
			return
		}
		require.GreaterOrEqual(t, verdict.RetryAfter, time.Duration(0))
		require.LessOrEqual(t, verdict.RetryAfter, a.TimeLeft/3+time.Millisecond, "retry delay exceeds a third of the time left")
	})
}

// Refused programs must not all retry at once.
func TestRetryDelayGrowsWithProgramsAhead(t *testing.T) {
	few, many := request(newProgram("p")), request(newProgram("p"))
	few.PendingRetries, many.PendingRetries = 1, 5
	require.Less(t, Decide(few, overloaded(time.Second)).RetryAfter, Decide(many, overloaded(time.Second)).RetryAfter)
}

// observeWaits makes a controller observe ten first turns that queued for wait each.
func observeWaits(controller *Controller, wait time.Duration, now time.Time) {
	idle := UnloadedTime{FirstEvent: 40 * time.Millisecond, Total: 160 * time.Millisecond}
	for range 10 {
		controller.FirstEvent(controller.Sent("s", newProgram("x"), idle, now.Add(-wait-idle.FirstEvent)), now)
	}
}

// A refused program that retries too early must be refused again; on time it must be admitted.
func TestControllerAdmitsRefusedProgramAtItsRetryTime(t *testing.T) {
	controller, now := NewController(nil), time.Unix(1000, 0)
	observeWaits(controller, 2*time.Second, now)
	first, _, _ := controller.Decide("s", newProgram("p"), 3*time.Second, now)
	require.False(t, first.Admitted)
	observeWaits(controller, 2*time.Second, now.Add(first.RetryAfter/2))
	early, _, _ := controller.Decide("s", newProgram("p"), 3*time.Second, now.Add(first.RetryAfter/2))
	require.False(t, early.Admitted, "admitted before its retry time")
	now = now.Add(first.RetryAfter + early.RetryAfter)
	observeWaits(controller, 2*time.Second, now)
	returned, _, _ := controller.Decide("s", newProgram("p"), 3*time.Second, now)
	require.Equal(t, ReasonReturning, returned.Reason)
	other, _, _ := controller.Decide("s", newProgram("q"), 3*time.Second, now)
	require.False(t, other.Admitted)
}

// A refused program must stay recorded until as many others as are kept have been refused, also if it was
// admitted in between.
func TestRefusedProgramIsNotEvictedEarly(t *testing.T) {
	refused, now := refusedPrograms{returnAt: map[uint64]time.Time{}}, time.Unix(1000, 0)
	refused.add(1, now)
	refused.remove(1)
	refused.add(1, now)
	for key := range uint64(maxRefused - 1) {
		refused.add(100+key, now)
	}
	require.True(t, refused.isDue(1, now))
	refused.add(2, now)
	require.False(t, refused.isDue(1, now), "the program refused first is evicted")
}

// Turns that are still queueing must count as load, although their first event has not arrived.
func TestControllerCountsPendingTurns(t *testing.T) {
	controller, now := NewController(nil), time.Unix(1000, 0)
	idle := UnloadedTime{FirstEvent: 40 * time.Millisecond, Total: 160 * time.Millisecond}
	var sendings []*PendingTurn
	for range 5 {
		sendings = append(sendings, controller.Sent("s", newProgram("x"), idle, now))
	}
	_, _, load := controller.Decide("s", newProgram("p"), 3*time.Second, now.Add(50*time.Millisecond))
	require.False(t, load.Overloaded())
	_, _, load = controller.Decide("s", newProgram("p"), 3*time.Second, now.Add(500*time.Millisecond))
	require.True(t, load.Overloaded())
	for _, sending := range sendings {
		controller.EndedWithoutEvent(sending, now.Add(50*time.Millisecond))
	}
	_, _, load = controller.Decide("s", newProgram("p"), 3*time.Second, now.Add(500*time.Millisecond))
	require.Zero(t, load.New.Events)
}

// A turn that ends without a first event must count with the time that it queued.
func TestTurnWithoutFirstEventCounts(t *testing.T) {
	controller, now := NewController(nil), time.Unix(1000, 0)
	idle := UnloadedTime{FirstEvent: 40 * time.Millisecond, Total: 160 * time.Millisecond}
	for range 5 {
		controller.EndedWithoutEvent(controller.Sent("s", newProgram("x"), idle, now.Add(-3*time.Second)), now)
	}
	_, _, load := controller.Decide("s", newProgram("p"), 3*time.Second, now)
	require.True(t, load.Overloaded())
	require.Equal(t, 5*(3*time.Second-idle.FirstEvent), load.New.Excess)
}

// Under overload, a turn whose client would time out first must be refused at once, even on return.
func TestTurnBeyondClientTimeoutIsRefused(t *testing.T) {
	program := newProgram("p")
	program.Returns = true
	hopeless := request(program)
	hopeless.TimeLeft = 500 * time.Millisecond
	require.Equal(t, ReasonClientTimeout, Decide(hopeless, overloaded(time.Second)).Reason)
	require.True(t, Decide(hopeless, Load{}).Admitted, "refused without overload")
}

// Queueing of urgent turns must not count as load of less urgent ones.
func TestLoadIsTrackedPerUrgency(t *testing.T) {
	controller, now := NewController(nil), time.Unix(1000, 0)
	observeWaits(controller, 2*time.Second, now)
	lessUrgent := newProgram("p")
	lessUrgent.Urgency = 2
	_, _, load := controller.Decide("s", lessUrgent, 3*time.Second, now)
	require.Zero(t, load.New.Events, "each urgency has its own queue")
}

// Many programs and services must not make a Controller grow without limit.
func TestControllerMemoryIsBounded(t *testing.T) {
	controller, now := NewController(nil), time.Unix(1000, 0)
	for index := range 3 * maxRefused {
		observeWaits(controller, 2*time.Second, now)
		program := newProgram(fmt.Sprint("p", index))
		program.Finish = 0
		controller.Decide("s", program, 3*time.Second, now)
		controller.Decide(fmt.Sprint("s", index), program, 3*time.Second, now)
	}
	require.LessOrEqual(t, len(controller.refused.returnAt), maxRefused)
	require.LessOrEqual(t, len(controller.refused.order), maxRefused)
	require.LessOrEqual(t, len(controller.windows), maxQueues)
}
