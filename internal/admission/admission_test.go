package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/standing"
)

// crowded is a load at which each turn waits.
func crowded(wait time.Duration) Load {
	waits := Waits{Events: 10, Waited: 10, Excess: 10 * wait}
	return Load{Ahead: waits, Behind: waits}
}

func newProgram(key string) standing.Program {
	return standing.Program{Key: key, Begins: true, Timed: true, Finish: 1500 * time.Millisecond, Needs: time.Second, Turns: 4}
}

func ask(program standing.Program) Ask {
	return Ask{Program: program, Left: 3 * time.Second, Pace: 10, Ahead: 4}
}

func TestWhatIsUnderWayIsNeverRefused(t *testing.T) {
	program := newProgram("p")
	program.Begins, program.Finish = false, 0
	require.Equal(t, Verdict{In: true, Reason: UnderWay}, Decide(ask(program), crowded(time.Second)))
}

func TestProgramsWithoutATimeAreLetIn(t *testing.T) {
	require.Equal(t, Untimed, Decide(ask(standing.Program{Key: "p", Begins: true}), crowded(time.Second)).Reason)
}

func TestAProgramThatIsLateAnywayIsRefusedUnderOverloadOnly(t *testing.T) {
	program := newProgram("p")
	program.Finish = 0
	require.True(t, Decide(ask(program), Load{}).In)
	verdict := Decide(ask(program), crowded(time.Second))
	require.Equal(t, TooLate, verdict.Reason)
	require.False(t, verdict.In)
}

func TestAProgramThatCanBearTheWaitIsLetIn(t *testing.T) {
	require.Equal(t, InTime, Decide(ask(newProgram("p")), crowded(10*time.Millisecond)).Reason)
	require.Equal(t, Crowded, Decide(ask(newProgram("p")), crowded(time.Second)).Reason)
}

func TestNodesLetTheSameProgramsIn(t *testing.T) {
	in := 0
	for index := range 1000 {
		if rank(fmt.Sprint("p", index)) < 0.3 {
			in++
		}
	}
	require.InDelta(t, 300, in, 60)
}

func TestNobodyIsRefusedWhileAFreePlaceIsKnown(t *testing.T) {
	for name, load := range map[string]Load{
		"the newest did not wait": {Behind: Waits{Events: 10, Waited: 9, Excess: time.Minute}, Free: true},
		"nothing is known":        {},
		"what is known is old":    {Behind: crowded(time.Second).Behind, Age: time.Second},
		"the keeper says so":      {Behind: crowded(time.Second).Behind, Keeper: &Keeper{Busy: 0.9}},
	} {
		require.Equal(t, Room, Decide(ask(newProgram("p")), load).Reason, name)
	}
}

func TestAKeepersWordCountsWhileItIsNew(t *testing.T) {
	load := Load{Keeper: &Keeper{Busy: 1.5}}
	require.True(t, load.Crowded())
	load.Keeper.Age = time.Minute
	require.False(t, load.Crowded())
}

func TestWhoWasToldToComeNowIsLetIn(t *testing.T) {
	program := newProgram("p")
	program.Returns, program.Finish = true, 0
	require.Equal(t, Promised, Decide(ask(program), crowded(time.Second)).Reason)
}

func TestReturnsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		program := newProgram(rapid.String().Draw(t, "key"))
		a := Ask{
			Program: program,
			Left:    time.Duration(rapid.IntRange(0, 10_000).Draw(t, "left")) * time.Millisecond,
			Ahead:   rapid.IntRange(0, 100).Draw(t, "ahead"),
			Pace:    rapid.Float64Range(0, 100).Draw(t, "pace"),
		}
		verdict := Decide(a, crowded(time.Second))
		if verdict.In {
			return
		}
		require.GreaterOrEqual(t, verdict.After, time.Duration(0))
		require.LessOrEqual(t, verdict.After, a.Left/3+time.Millisecond, "no client waits longer")
	})
}

func TestTheLaterOnesToldComeLater(t *testing.T) {
	few, many := ask(newProgram("p")), ask(newProgram("p"))
	few.Ahead, many.Ahead = 1, 5
	require.Less(t, Decide(few, crowded(time.Second)).After, Decide(many, crowded(time.Second)).After)
}

// seeGate lets a gate see first turns that waited for so long each.
func seeGate(gate *Gate, wait time.Duration, now time.Time) {
	idle := Idle{First: 40 * time.Millisecond, Whole: 160 * time.Millisecond}
	for range 10 {
		gate.First(gate.Sent("s", newProgram("x"), idle, now.Add(-wait-idle.First)), now)
	}
}

func TestGateRemembersWhomItTold(t *testing.T) {
	gate, now := NewGate(nil), time.Unix(1000, 0)
	seeGate(gate, 2*time.Second, now)
	told, _, _ := gate.Decide("s", newProgram("p"), 3*time.Second, now)
	require.False(t, told.In)
	seeGate(gate, 2*time.Second, now.Add(told.After/2))
	early, _, _ := gate.Decide("s", newProgram("p"), 3*time.Second, now.Add(told.After/2))
	require.False(t, early.In, "it was told to come later")
	now = now.Add(told.After + early.After)
	seeGate(gate, 2*time.Second, now)
	then, _, _ := gate.Decide("s", newProgram("p"), 3*time.Second, now)
	require.Equal(t, Promised, then.Reason)
	other, _, _ := gate.Decide("s", newProgram("q"), 3*time.Second, now)
	require.False(t, other.In)
}

func TestGateSeesTurnsThatWaitStill(t *testing.T) {
	gate, now := NewGate(nil), time.Unix(1000, 0)
	idle := Idle{First: 40 * time.Millisecond, Whole: 160 * time.Millisecond}
	var sendings []*Sending
	for range 5 {
		sendings = append(sendings, gate.Sent("s", newProgram("x"), idle, now))
	}
	_, _, load := gate.Decide("s", newProgram("p"), 3*time.Second, now.Add(50*time.Millisecond))
	require.False(t, load.Crowded())
	_, _, load = gate.Decide("s", newProgram("p"), 3*time.Second, now.Add(500*time.Millisecond))
	require.True(t, load.Crowded())
	for _, sending := range sendings {
		gate.Ended(sending, now.Add(50*time.Millisecond))
	}
	_, _, load = gate.Decide("s", newProgram("p"), 3*time.Second, now.Add(500*time.Millisecond))
	require.Zero(t, load.Behind.Events)
}

func TestATurnThatWaitedInVainStillCounts(t *testing.T) {
	gate, now := NewGate(nil), time.Unix(1000, 0)
	idle := Idle{First: 40 * time.Millisecond, Whole: 160 * time.Millisecond}
	for range 5 {
		gate.Ended(gate.Sent("s", newProgram("x"), idle, now.Add(-3*time.Second)), now)
	}
	_, _, load := gate.Decide("s", newProgram("p"), 3*time.Second, now)
	require.True(t, load.Crowded())
	require.Equal(t, 5*(3*time.Second-idle.First), load.Behind.Excess)
}

func TestNobodyWaitsForATurnThatCannotEndInTime(t *testing.T) {
	program := newProgram("p")
	program.Returns = true
	hopeless := ask(program)
	hopeless.Left = 500 * time.Millisecond
	require.Equal(t, Leaves, Decide(hopeless, crowded(time.Second)).Reason)
	require.True(t, Decide(hopeless, Load{}).In, "on a calm system it may try")
}

func TestUrgentTurnsDoNotWaitForLessUrgentOnes(t *testing.T) {
	gate, now := NewGate(nil), time.Unix(1000, 0)
	seeGate(gate, 2*time.Second, now)
	less := newProgram("p")
	less.Urgency = 2
	_, _, load := gate.Decide("s", less, 3*time.Second, now)
	require.Zero(t, load.Behind.Events, "each urgency has its own queue")
}

func TestAGatesMemoryIsBounded(t *testing.T) {
	gate, now := NewGate(nil), time.Unix(1000, 0)
	for index := range 3 * toldKept {
		seeGate(gate, 2*time.Second, now)
		program := newProgram(fmt.Sprint("p", index))
		program.Finish = 0
		gate.Decide("s", program, 3*time.Second, now)
		gate.Decide(fmt.Sprint("s", index), program, 3*time.Second, now)
	}
	require.LessOrEqual(t, len(gate.told.returns), toldKept)
	require.LessOrEqual(t, len(gate.told.order), toldKept)
	require.LessOrEqual(t, len(gate.windows), queuesKept)
}
