package room

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/standing"
)

var testStart = time.Unix(1000, 0)

// settledDesk is a desk of workers that has heard for long enough.
func settledDesk(members ...Member) (*Desk, time.Time) {
	desk := NewDesk()
	desk.SetMembers(members)
	desk.Tell(Report{From: "settling", Sequence: 1, Lasts: time.Millisecond}, testStart)
	now := testStart.Add(settling)
	desk.Tell(Report{From: "settling", Sequence: 2, Lasts: time.Millisecond}, now)
	return desk, now
}

// running is a node's report.
func running(from string, sequence uint64, all ...Running) Report {
	return Report{From: from, Sequence: sequence, Lasts: reportLasts, Running: all}
}

// ask asks at a desk without waiting.
func ask(desk *Desk, from string, sequence uint64, ask Ask, now time.Time) Answer {
	desk.Tell(running(from, sequence), now)
	answer, _ := desk.Ask(&Question{From: from, Sequence: sequence, Ask: ask}, now)
	return answer
}

// TestNoPlaceIsGivenOutTwice: whatever nodes report and ask in whatever order, no worker is given more
// than its places and one, as long as nodes report what they were given.
func TestNoPlaceIsGivenOutTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make([]Member, rapid.IntRange(1, 5).Draw(t, "workers"))
		for index := range members {
			members[index] = Member{Worker: fmt.Sprint(index), Places: rapid.IntRange(1, 4).Draw(t, "places"), Memory: 100}
		}
		desk, now := settledDesk(members...)
		type node struct {
			tally   *Tally
			holds   []string
			pending []Answer // on their way, with their sequences and when they were asked for
			asked   []uint64
			since   []time.Time
		}
		nodes := make([]node, 3)
		for index := range nodes {
			nodes[index].tally = NewTally(Group{})
		}
		taken := func() map[string]int {
			all := map[string]int{}
			for _, one := range nodes {
				for _, worker := range one.holds {
					all[worker]++
				}
				for _, answer := range one.pending {
					all[answer.Worker]++
				}
			}
			return all
		}
		arrive := func(one *node) {
			one.tally.Answered(one.asked[0])
			one.tally.Begin(one.pending[0].Worker, 10)
			one.holds = append(one.holds, one.pending[0].Worker)
			one.pending, one.asked, one.since = one.pending[1:], one.asked[1:], one.since[1:]
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			for index := range nodes { // no node waits for longer
				for len(nodes[index].since) > 0 && now.Sub(nodes[index].since[0]) >= longestAskWait+holdOnce {
					arrive(&nodes[index])
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			index := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			one := &nodes[index]
			name := fmt.Sprint("n", index)
			switch rapid.SampledFrom([]string{"ask", "arrive", "end", "report"}).Draw(t, "step") {
			case "ask":
				report := one.tally.Report(name, now)
				one.tally.Asked(report.Sequence)
				desk.Tell(report, now)
				answer, _ := desk.Ask(&Question{From: name, Sequence: report.Sequence, Ask: Ask{Tokens: 10}}, now)
				if answer.Outcome != Go {
					one.tally.Answered(report.Sequence)
					continue
				}
				one.pending, one.asked, one.since = append(one.pending, answer), append(one.asked, report.Sequence), append(one.since, now)
			case "arrive":
				if len(one.pending) > 0 {
					arrive(one)
				}
			case "end":
				if len(one.holds) == 0 {
					continue
				}
				one.tally.End(one.holds[0], 10, time.Millisecond)
				one.holds = one.holds[1:]
			case "report":
				desk.Tell(one.tally.Report(name, now), now)
			}
			for index := range nodes { // reports are renewed before they lapse, answers come soon
				desk.Tell(nodes[index].tally.Report(fmt.Sprint("n", index), now), now)
			}
			for _, member := range members {
				require.LessOrEqual(t, taken()[member.Worker], member.Places+overbooked)
			}
		}
	})
}

// TestRoomIsNeverDeniedWhileThereIsSome: a request waits only if all workers that may get it lack
// places or memory; and for one beyond the places of another worker only if it has a home, at which it
// will have one sooner than the other would have read its context.
func TestRoomIsNeverDeniedWhileThereIsSome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make([]Member, rapid.IntRange(1, 6).Draw(t, "workers"))
		var reported []Running
		for index := range members {
			members[index] = Member{Worker: fmt.Sprint(index), Places: rapid.IntRange(1, 4).Draw(t, "places"), Memory: 100}
			if requests := rapid.IntRange(0, 6).Draw(t, "requests"); requests > 0 {
				reported = append(reported, Running{Worker: members[index].Worker, Requests: requests, Tokens: rapid.IntRange(0, 120).Draw(t, "held")})
			}
		}
		desk, now := settledDesk(members...)
		desk.Tell(running("other", 1, reported...), now)
		tokens := rapid.IntRange(0, 150).Draw(t, "tokens")
		var exclude []string
		if rapid.Bool().Draw(t, "excluded") {
			exclude = []string{"0"}
		}
		home := rapid.SampledFrom([]string{"", "0", "1", "gone"}).Draw(t, "home")
		answer := ask(desk, "n", 1, Ask{Tokens: tokens, Exclude: exclude, Home: home, Fresh: 1000}, now)
		free, some := 0, false
		for _, member := range members {
			has := Running{}
			for _, one := range reported {
				if one.Worker == member.Worker {
					has = one
				}
			}
			usable := len(exclude) == 0 || member.Worker != "0"
			fits := has.Requests == 0 || has.Tokens+tokens <= member.Memory
			if usable && fits && has.Requests <= member.Places {
				some = true
				free = max(free, member.Places-has.Requests)
			}
		}
		if some && (home != "0" && home != "1" || free > 0) {
			require.Equal(t, Go, answer.Outcome)
		}
		if !some {
			require.NotEqual(t, Go, answer.Outcome)
		}
		if answer.Outcome != Go {
			require.Equal(t, Wait, answer.Outcome)
			require.Positive(t, answer.After)
			return
		}
		require.NotContains(t, exclude, answer.Worker)
		if answer.Reason == ReasonOverbook {
			require.Zero(t, free, "a worker beyond its places got the request while another had a free one")
		}
	})
}

// TestHomeComesFirstAsLongAsItIsSooner than reading what it knows elsewhere.
func TestHomeComesFirstAsLongAsItIsSooner(t *testing.T) {
	for name, test := range map[string]struct {
		atHome, fresh int
		want          string
		reason        Reason
	}{
		"has room":                            {5, 1500, "home", ReasonHome},
		"has room, and others more":           {3, 0, "home", ReasonHome},
		"full, much to read elsewhere":        {6, 6000, "home", ReasonSooner},
		"full, little to read elsewhere":      {6, 500, "other", ReasonRoomiest},
		"full, one waits, much to be read":    {7, 60000, "other", ReasonRoomiest},
		"all full, little to be read":         {6, 10, "home", ReasonSooner},
		"all full, one waits at home":         {7, 60000, "", ReasonFull},
		"all full, one waits, little to read": {7, 10, "other", ReasonOverbook},
		"queue at home, little to be read ":   {9, 100, "other", ReasonRoomiest},
	} {
		t.Run(name, func(t *testing.T) {
			desk, now := settledDesk(Member{Worker: "home", Places: 6}, Member{Worker: "other", Places: 6})
			elsewhere := 5
			if strings.HasPrefix(name, "all full") {
				elsewhere = 6
			}
			report := running("n1", 1, Running{Worker: "home", Requests: test.atHome}, Running{Worker: "other", Requests: elsewhere})
			report.Ended, report.Held = 10, 1600*time.Millisecond // 0.16 s each: a place in 27 ms
			desk.Tell(report, now)
			answer := ask(desk, "n2", 1, Ask{Home: "home", Fresh: test.fresh}, now)
			require.Equal(t, test.want, answer.Worker)
			require.Equal(t, test.reason, answer.Reason)
		})
	}
}

// TestReportsReplaceEachOtherAndLapse.
func TestReportsReplaceEachOtherAndLapse(t *testing.T) {
	desk, now := settledDesk(Member{Worker: "w", Places: 50})
	desk.Tell(running("dies", 2, Running{Worker: "w", Requests: 50}), now)
	require.InDelta(t, 1, desk.account.Busy(), 0)
	desk.Tell(running("dies", 1, Running{Worker: "w", Requests: 3}), now)
	require.InDelta(t, 1, desk.account.Busy(), 0, "an older report came late")
	require.Equal(t, ReasonOverbook, ask(desk, "n", 1, Ask{}, now).Reason)

	for range 9 { // others go on telling
		now = now.Add(100 * time.Millisecond)
		desk.Tell(running("n", uint64(now.UnixMilli())), now)
	}
	now = now.Add(50 * time.Millisecond)
	desk.Tell(running("n", uint64(now.UnixMilli())), now)
	require.Zero(t, desk.account.Busy(), "a node died with 50 places, which are free within a second")
}

// TestAGrantCountsUntilAReportCoversIt, and no report does that was made before its answer came.
func TestAGrantCountsUntilAReportCoversIt(t *testing.T) {
	desk, now := settledDesk(Member{Worker: "w", Places: 2})
	tally := NewTally(Group{})
	report := tally.Report("n", now)
	tally.Asked(report.Sequence)
	desk.Tell(report, now)
	answer, _ := desk.Ask(&Question{From: "n", Sequence: report.Sequence}, now)
	require.Equal(t, Go, answer.Outcome)
	require.InDelta(t, 0.5, desk.account.Busy(), 0)
	desk.Tell(tally.Report("n", now), now)
	require.InDelta(t, 0.5, desk.account.Busy(), 0, "the answer is still on its way")
	tally.Answered(report.Sequence)
	tally.Begin("w", 0)
	desk.Tell(tally.Report("n", now), now)
	require.InDelta(t, 0.5, desk.account.Busy(), 0, "it counts once")
	tally.End("w", 0, time.Millisecond)
	desk.Tell(tally.Report("n", now), now)
	require.Zero(t, desk.account.Busy())

	report = tally.Report("n", now)
	tally.Asked(report.Sequence)
	desk.Tell(report, now)
	_, _ = desk.Ask(&Question{From: "n", Sequence: report.Sequence}, now)
	now = now.Add(grantLasts)
	desk.Tell(running("other", 1), now)
	require.Zero(t, desk.account.Busy(), "nothing more was heard of it")
}

// TestANewAccountDoesNotTell until it has heard of all nodes, nor does one that was paused.
func TestANewAccountDoesNotTell(t *testing.T) {
	desk := NewDesk()
	desk.SetMembers([]Member{{Worker: "w", Places: 2}})
	now := testStart
	for range 4 {
		answer := ask(desk, "n", uint64(now.UnixMilli()), Ask{}, now)
		require.Equal(t, Unknown, answer.Outcome)
		require.Equal(t, ReasonNew, answer.Reason)
		now = now.Add(settling / 4)
	}
	require.Equal(t, Go, ask(desk, "n", uint64(now.UnixMilli()), Ask{}, now).Outcome)
	now = now.Add(4 * time.Second)
	require.Equal(t, Unknown, ask(desk, "n", uint64(now.UnixMilli()), Ask{}, now).Outcome)
}

// TestThoseWhoWaitGetPlacesInTheirOrder: least slack first that is not lost, and nobody for ever
// behind those who come later.
func TestThoseWhoWaitGetPlacesInTheirOrder(t *testing.T) {
	desk, now := settledDesk(Member{Worker: "w", Places: 1})
	full := Running{Worker: "w", Requests: 2}
	desk.Tell(running("busy", 1, full), now)
	programs := map[string]standing.Program{
		"calm":    {Timed: true, Finish: 3 * time.Second},
		"pressed": {Timed: true, Finish: 100 * time.Millisecond, Needs: 50 * time.Millisecond},
		"lost":    {Timed: true, Finish: 10 * time.Millisecond, Needs: 500 * time.Millisecond},
		"unknown": {Urgency: 2},
		"urgent":  {Urgency: 0},
	}
	for name, program := range programs {
		desk.Tell(running(name, 1), now)
		_, held := desk.Ask(&Question{From: name, Sequence: 1, Ask: Ask{Program: program, Patience: time.Minute}}, now)
		require.True(t, held)
	}
	var order []string
	for sequence := range uint64(5) {
		served := desk.Tell(running("busy", 2+2*sequence, Running{Worker: "w", Requests: 1}), now)
		require.Len(t, served, 1)
		order = append(order, served[0].Question.From)
		desk.Tell(running("busy", 3+2*sequence, full), now)
		desk.Tell(running(served[0].Question.From, 2), now) // it has ended
	}
	require.Equal(t, []string{"pressed", "urgent", "unknown", "lost", "calm"}, order)

	desk.Tell(running("calm", 3), now)
	_, _ = desk.Ask(&Question{From: "calm", Sequence: 3, Ask: Ask{Program: programs["calm"], Patience: time.Minute}}, now)
	later := now
	for sequence := range uint64(6) {
		later = later.Add(500 * time.Millisecond)
		desk.Tell(running("busy", 20+sequence, full), later)
	}
	desk.Tell(running("pressed", 100), later)
	_, held := desk.Ask(&Question{From: "pressed", Sequence: 101, Ask: Ask{Program: programs["pressed"], Patience: time.Minute}}, later)
	require.True(t, held)
	served := desk.Tell(running("busy", 103, Running{Worker: "w", Requests: 1}), later)
	require.Equal(t, "calm", served[0].Question.From)
}

// TestNobodyIsPassedOverForEver by those whose home has room: one without a home waits beside a steady
// stream of them.
func TestNobodyIsPassedOverForEver(t *testing.T) {
	desk, now := settledDesk(Member{Worker: "w", Places: 1})
	full := Running{Worker: "w", Requests: 2}
	desk.Tell(running("busy", 1, full), now)
	hold := func(from string, sequence uint64, ask Ask) {
		ask.Patience = time.Minute
		desk.Tell(running(from, sequence), now)
		_, held := desk.Ask(&Question{From: from, Sequence: sequence, Ask: ask}, now)
		require.True(t, held)
	}
	begun := now
	hold("begins", 1, Ask{Program: standing.Program{Timed: true, Finish: 100 * time.Millisecond}})
	for sequence := uint64(2); ; sequence += 2 {
		now = now.Add(20 * time.Millisecond)
		hold("stays", sequence, Ask{Home: "w", Fresh: 1000, Program: standing.Program{Timed: true, Finish: 50 * time.Millisecond}})
		served := desk.Tell(running("busy", sequence, Running{Worker: "w", Requests: 1}), now)
		require.Len(t, served, 1)
		if served[0].Question.From == "begins" {
			break
		}
		require.LessOrEqual(t, now.Sub(begun), 100*time.Millisecond+passedFor)
		desk.Tell(running("busy", sequence+1, full), now)
		desk.Tell(running("stays", sequence+1), now)
	}
}

// TestAWorkerThatDeclinesIsFull, whatever the account says, for a moment.
func TestAWorkerThatDeclinesIsFull(t *testing.T) {
	desk, now := settledDesk(Member{Worker: "w", Places: 6})
	report := running("n", 1)
	report.Declined = []string{"w"}
	desk.Tell(report, now)
	require.Equal(t, Wait, ask(desk, "m", 1, Ask{}, now).Outcome)
	now = now.Add(declinedFor)
	require.Equal(t, Go, ask(desk, "m", 2, Ask{}, now).Outcome)
}

// TestWaitsAreToldByThePace at which places came free.
func TestWaitsAreToldByThePace(t *testing.T) {
	desk, now := settledDesk(Member{Worker: "w", Places: 4})
	report := running("n", 1, Running{Worker: "w", Requests: 5})
	report.Ended, report.Held = 10, 2*time.Second // 200 ms each, 4 at a time: one in 50 ms
	desk.Tell(report, now)
	require.Equal(t, 50*time.Millisecond, ask(desk, "m", 1, Ask{}, now).After)
	_, _ = desk.Ask(&Question{From: "m", Sequence: 2, Ask: Ask{Patience: time.Second}}, now)
	require.Equal(t, 100*time.Millisecond, ask(desk, "m", 3, Ask{}, now).After)
}

// TestAnAccountIsBounded: nodes that come and go leave nothing behind.
func TestAnAccountIsBounded(t *testing.T) {
	desk, now := settledDesk(Member{Worker: "w", Places: 4})
	for index := range 20_000 {
		now = now.Add(time.Millisecond)
		desk.Tell(running(fmt.Sprint(index), 1, Running{Worker: fmt.Sprint("w", index), Requests: 1}), now)
		_, _ = desk.Ask(&Question{From: fmt.Sprint(index), Sequence: 1, Ask: Ask{Patience: time.Minute}}, now)
	}
	require.LessOrEqual(t, len(desk.account.nodes), maxNodes)
	require.LessOrEqual(t, desk.Waiting(), maxWaiting)
	now = now.Add(time.Minute)
	desk.Tell(running("n", 1), now)
	now = now.Add(time.Minute)
	desk.Tell(running("n", 2), now)
	require.LessOrEqual(t, len(desk.account.nodes), 1)
	require.Empty(t, desk.account.taken)
}
