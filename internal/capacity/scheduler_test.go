package capacity

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/scheduling"
)

var testStart = time.Unix(1000, 0)

// settledScheduler returns a scheduler whose settle time is over, and the time.
func settledScheduler(members ...Member) (*Scheduler, time.Time) {
	scheduler := NewScheduler()
	scheduler.SetMembers(members)
	scheduler.ApplyReport(Report{From: "settling", Sequence: 1, Lasts: time.Millisecond}, testStart)
	now := testStart.Add(settleTime)
	scheduler.ApplyReport(Report{From: "settling", Sequence: 2, Lasts: time.Millisecond}, now)
	return scheduler, now
}

// runningReport returns a node's report of its running requests.
func runningReport(from string, sequence uint64, all ...Running) Report {
	return Report{From: from, Sequence: sequence, Lasts: reportTTL, Running: all}
}

// submit sends an empty report and a query that does not wait.
func submit(scheduler *Scheduler, from string, sequence uint64, ask Ask, now time.Time) Answer {
	scheduler.ApplyReport(runningReport(from, sequence), now)
	answer, _ := scheduler.Submit(&Query{From: from, Sequence: sequence, Ask: ask}, now)
	return answer
}

// TestConcurrencyLimitIsNotExceeded guards against assigning the same capacity twice: in any order of
// reports and queries, a worker gets at most its concurrency limit plus the overcommit, as long as
// nodes report what they were granted.
func TestConcurrencyLimitIsNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make([]Member, rapid.IntRange(1, 5).Draw(t, "workers"))
		for index := range members {
			members[index] = Member{Worker: fmt.Sprint(index), Concurrency: rapid.IntRange(1, 4).Draw(t, "places"), Memory: 100}
		}
		scheduler, now := settledScheduler(members...)
		type node struct {
			load      *NodeLoad
			holds     []string
			pending   []Answer // answers in transit; sequences and since are those and the times of their queries
			sequences []uint64
			since     []time.Time
		}
		nodes := make([]node, 3)
		for index := range nodes {
			nodes[index].load = NewNodeLoad(Group{})
		}
		running := func() map[string]int {
			all := map[string]int{}
			for _, node := range nodes {
				for _, worker := range node.holds {
					all[worker]++
				}
				for _, answer := range node.pending {
					all[answer.Worker]++
				}
			}
			return all
		}
		arrive := func(node *node) {
			node.load.QueryDone(node.sequences[0])
			node.load.Begin(node.pending[0].Worker, 10)
			node.holds = append(node.holds, node.pending[0].Worker)
			node.pending, node.sequences, node.since = node.pending[1:], node.sequences[1:], node.since[1:]
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			for index := range nodes { // no node waits longer for an answer
				for len(nodes[index].since) > 0 && now.Sub(nodes[index].since[0]) >= maxQueryTimeout+maxHoldPerQuery {
					arrive(&nodes[index])
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			index := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			node := &nodes[index]
			name := fmt.Sprint("n", index)
			switch rapid.SampledFrom([]string{"ask", "arrive", "end", "report"}).Draw(t, "step") {
			case "ask":
				report := node.load.Report(name, now)
				node.load.QuerySent(report.Sequence)
				scheduler.ApplyReport(report, now)
				answer, _ := scheduler.Submit(&Query{From: name, Sequence: report.Sequence, Ask: Ask{Tokens: 10}}, now)
				if answer.Outcome != OutcomeAssigned {
					node.load.QueryDone(report.Sequence)
					continue
				}
				node.pending, node.sequences, node.since = append(node.pending, answer), append(node.sequences, report.Sequence), append(node.since, now)
			case "arrive":
				if len(node.pending) > 0 {
					arrive(node)
				}
			case "end":
				if len(node.holds) == 0 {
					continue
				}
				node.load.End(node.holds[0], 10, time.Millisecond)
				node.holds = node.holds[1:]
			case "report":
				scheduler.ApplyReport(node.load.Report(name, now), now)
			}
			for index := range nodes { // reports are renewed before they expire
				scheduler.ApplyReport(nodes[index].load.Report(fmt.Sprint("n", index), now), now)
			}
			for _, member := range members {
				require.LessOrEqual(t, running()[member.Worker], member.Concurrency+overcommit)
			}
		}
	})
}

// TestFreeCapacityIsAlwaysUsed guards against idle capacity. A request waits only if every eligible
// worker lacks capacity or memory. It is kept from an overcommitted worker only if its home worker is
// expected to be free before the other one has read the context.
func TestFreeCapacityIsAlwaysUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make([]Member, rapid.IntRange(1, 6).Draw(t, "workers"))
		var reported []Running
		for index := range members {
			members[index] = Member{Worker: fmt.Sprint(index), Concurrency: rapid.IntRange(1, 4).Draw(t, "places"), Memory: 100}
			if requests := rapid.IntRange(0, 6).Draw(t, "requests"); requests > 0 {
				reported = append(reported, Running{Worker: members[index].Worker, Requests: requests, Tokens: rapid.IntRange(0, 120).Draw(t, "held")})
			}
		}
		scheduler, now := settledScheduler(members...)
		scheduler.ApplyReport(runningReport("other", 1, reported...), now)
		tokens := rapid.IntRange(0, 150).Draw(t, "tokens")
		var exclude []string
		if rapid.Bool().Draw(t, "excluded") {
			exclude = []string{"0"}
		}
		home := rapid.SampledFrom([]string{"", "0", "1", "gone"}).Draw(t, "home")
		answer := submit(scheduler, "n", 1, Ask{Tokens: tokens, Exclude: exclude, Home: home, Fresh: 1000}, now)
		mostFree, available := 0, false
		for _, member := range members {
			current := Running{}
			for _, one := range reported {
				if one.Worker == member.Worker {
					current = one
				}
			}
			usable := len(exclude) == 0 || member.Worker != "0"
			fits := current.Requests == 0 || current.Tokens+tokens <= member.Memory
			if usable && fits && current.Requests <= member.Concurrency {
				available = true
				mostFree = max(mostFree, member.Concurrency-current.Requests)
			}
		}
		if available && (home != "0" && home != "1" || mostFree > 0) {
			require.Equal(t, OutcomeAssigned, answer.Outcome)
		}
		if !available {
			require.NotEqual(t, OutcomeAssigned, answer.Outcome)
		}
		if answer.Outcome != OutcomeAssigned {
			require.Equal(t, OutcomeWait, answer.Outcome)
			require.Positive(t, answer.After)
			return
		}
		require.NotContains(t, exclude, answer.Worker)
		if answer.Reason == ReasonOvercommit {
			require.Zero(t, mostFree, "a worker at its limit got the request while another had free capacity")
		}
	})
}

// TestHomeWorkerIsPreferredWhileFaster guards against leaving the home worker when reading the context
// elsewhere takes longer than waiting, and against waiting there when it does not.
func TestHomeWorkerIsPreferredWhileFaster(t *testing.T) {
	for name, test := range map[string]struct {
		atHome, fresh int
		want          string
		reason        Reason
	}{
		"has capacity":                         {5, 1500, "home", ReasonHome},
		"has capacity, other has more":         {3, 0, "home", ReasonHome},
		"full, much to read elsewhere":         {6, 6000, "home", ReasonHomeSooner},
		"full, little to read elsewhere":       {6, 500, "other", ReasonMostFree},
		"one queued, much to read elsewhere":   {7, 60000, "other", ReasonMostFree},
		"all full, little to read":             {6, 10, "home", ReasonHomeSooner},
		"all full, one queued at home":         {7, 60000, "", ReasonFull},
		"all full, one queued, little to read": {7, 10, "other", ReasonOvercommit},
		"queue at home, little to read":        {9, 100, "other", ReasonMostFree},
	} {
		t.Run(name, func(t *testing.T) {
			scheduler, now := settledScheduler(Member{Worker: "home", Concurrency: 6}, Member{Worker: "other", Concurrency: 6})
			elsewhere := 5
			if strings.HasPrefix(name, "all full") {
				elsewhere = 6
			}
			report := runningReport("n1", 1, Running{Worker: "home", Requests: test.atHome}, Running{Worker: "other", Requests: elsewhere})
			report.Ended, report.Held = 10, 1600*time.Millisecond // 0.16 s each: one request ends every 27 ms
			scheduler.ApplyReport(report, now)
			answer := submit(scheduler, "n2", 1, Ask{Home: "home", Fresh: test.fresh}, now)
			require.Equal(t, test.want, answer.Worker)
			require.Equal(t, test.reason, answer.Reason)
		})
	}
}

// TestReportsReplaceEachOtherAndExpire guards against counting a node twice, against late reports, and
// against capacity that stays occupied by a failed node.
func TestReportsReplaceEachOtherAndExpire(t *testing.T) {
	scheduler, now := settledScheduler(Member{Worker: "w", Concurrency: 50})
	scheduler.ApplyReport(runningReport("dies", 2, Running{Worker: "w", Requests: 50}), now)
	require.InDelta(t, 1, scheduler.load.Utilization(), 0)
	scheduler.ApplyReport(runningReport("dies", 1, Running{Worker: "w", Requests: 3}), now)
	require.InDelta(t, 1, scheduler.load.Utilization(), 0, "an older report arrived late")
	require.Equal(t, ReasonOvercommit, submit(scheduler, "n", 1, Ask{}, now).Reason)

	for range 9 { // other nodes go on reporting
		now = now.Add(100 * time.Millisecond)
		scheduler.ApplyReport(runningReport("n", uint64(now.UnixMilli())), now)
	}
	now = now.Add(50 * time.Millisecond)
	scheduler.ApplyReport(runningReport("n", uint64(now.UnixMilli())), now)
	require.Zero(t, scheduler.load.Utilization(), "the capacity of a failed node must be free within a second")
}

// TestGrantCountsUntilCoveredByReport guards against a granted request that counts twice or not at
// all. A report made before the answer arrived does not cover the grant.
func TestGrantCountsUntilCoveredByReport(t *testing.T) {
	scheduler, now := settledScheduler(Member{Worker: "w", Concurrency: 2})
	nodeLoad := NewNodeLoad(Group{})
	report := nodeLoad.Report("n", now)
	nodeLoad.QuerySent(report.Sequence)
	scheduler.ApplyReport(report, now)
	answer, _ := scheduler.Submit(&Query{From: "n", Sequence: report.Sequence}, now)
	require.Equal(t, OutcomeAssigned, answer.Outcome)
	require.InDelta(t, 0.5, scheduler.load.Utilization(), 0)
	scheduler.ApplyReport(nodeLoad.Report("n", now), now)
	require.InDelta(t, 0.5, scheduler.load.Utilization(), 0, "the answer has not arrived yet")
	nodeLoad.QueryDone(report.Sequence)
	nodeLoad.Begin("w", 0)
	scheduler.ApplyReport(nodeLoad.Report("n", now), now)
	require.InDelta(t, 0.5, scheduler.load.Utilization(), 0, "the request must count once")
	nodeLoad.End("w", 0, time.Millisecond)
	scheduler.ApplyReport(nodeLoad.Report("n", now), now)
	require.Zero(t, scheduler.load.Utilization())

	report = nodeLoad.Report("n", now)
	nodeLoad.QuerySent(report.Sequence)
	scheduler.ApplyReport(report, now)
	_, _ = scheduler.Submit(&Query{From: "n", Sequence: report.Sequence}, now)
	now = now.Add(grantTTL)
	scheduler.ApplyReport(runningReport("other", 1), now)
	require.Zero(t, scheduler.load.Utilization(), "the grant was never covered by a report")
}

// TestUnsettledSchedulerDoesNotDecide guards against decisions on partial load: of a new scheduler,
// and of one that received no report for a while.
func TestUnsettledSchedulerDoesNotDecide(t *testing.T) {
	scheduler := NewScheduler()
	scheduler.SetMembers([]Member{{Worker: "w", Concurrency: 2}})
	now := testStart
	for range 4 {
		answer := submit(scheduler, "n", uint64(now.UnixMilli()), Ask{}, now)
		require.Equal(t, OutcomeUnknown, answer.Outcome)
		require.Equal(t, ReasonUnsettled, answer.Reason)
		now = now.Add(settleTime / 4)
	}
	require.Equal(t, OutcomeAssigned, submit(scheduler, "n", uint64(now.UnixMilli()), Ask{}, now).Outcome)
	now = now.Add(4 * time.Second)
	require.Equal(t, OutcomeUnknown, submit(scheduler, "n", uint64(now.UnixMilli()), Ask{}, now).Outcome)
}

// TestQueueOrder guards against a wrong order: least slack first, requests that are late anyway later,
// and no request starved by later arrivals.
func TestQueueOrder(t *testing.T) {
	scheduler, now := settledScheduler(Member{Worker: "w", Concurrency: 1})
	full := Running{Worker: "w", Requests: 2}
	scheduler.ApplyReport(runningReport("busy", 1, full), now)
	programs := map[string]scheduling.Program{
		"calm":    {Timed: true, Finish: 3 * time.Second},
		"pressed": {Timed: true, Finish: 100 * time.Millisecond, Needs: 50 * time.Millisecond},
		"lost":    {Timed: true, Finish: 10 * time.Millisecond, Needs: 500 * time.Millisecond},
		"unknown": {Urgency: 2},
		"urgent":  {Urgency: 0},
	}
	for name, program := range programs {
		scheduler.ApplyReport(runningReport(name, 1), now)
		_, held := scheduler.Submit(&Query{From: name, Sequence: 1, Ask: Ask{Program: program, Patience: time.Minute}}, now)
		require.True(t, held)
	}
	var order []string
	for sequence := range uint64(5) {
		resolved := scheduler.ApplyReport(runningReport("busy", 2+2*sequence, Running{Worker: "w", Requests: 1}), now)
		require.Len(t, resolved, 1)
		order = append(order, resolved[0].Query.From)
		scheduler.ApplyReport(runningReport("busy", 3+2*sequence, full), now)
		scheduler.ApplyReport(runningReport(resolved[0].Query.From, 2), now) // the request has ended
	}
	require.Equal(t, []string{"pressed", "urgent", "unknown", "lost", "calm"}, order)

	scheduler.ApplyReport(runningReport("calm", 3), now)
	_, _ = scheduler.Submit(&Query{From: "calm", Sequence: 3, Ask: Ask{Program: programs["calm"], Patience: time.Minute}}, now)
	later := now
	for sequence := range uint64(6) {
		later = later.Add(500 * time.Millisecond)
		scheduler.ApplyReport(runningReport("busy", 20+sequence, full), later)
	}
	scheduler.ApplyReport(runningReport("pressed", 100), later)
	_, held := scheduler.Submit(&Query{From: "pressed", Sequence: 101, Ask: Ask{Program: programs["pressed"], Patience: time.Minute}}, later)
	require.True(t, held)
	resolved := scheduler.ApplyReport(runningReport("busy", 103, Running{Worker: "w", Requests: 1}), later)
	require.Equal(t, "calm", resolved[0].Query.From)
}

// TestHomePreferenceDoesNotStarveOthers guards against starving a request without a home worker behind
// a steady stream of requests whose home worker has capacity.
func TestHomePreferenceDoesNotStarveOthers(t *testing.T) {
	scheduler, now := settledScheduler(Member{Worker: "w", Concurrency: 1})
	full := Running{Worker: "w", Requests: 2}
	scheduler.ApplyReport(runningReport("busy", 1, full), now)
	enqueue := func(from string, sequence uint64, ask Ask) {
		ask.Patience = time.Minute
		scheduler.ApplyReport(runningReport(from, sequence), now)
		_, held := scheduler.Submit(&Query{From: from, Sequence: sequence, Ask: ask}, now)
		require.True(t, held)
	}
	start := now
	enqueue("begins", 1, Ask{Program: scheduling.Program{Timed: true, Finish: 100 * time.Millisecond}})
	for sequence := uint64(2); ; sequence += 2 {
		now = now.Add(20 * time.Millisecond)
		enqueue("stays", sequence, Ask{Home: "w", Fresh: 1000, Program: scheduling.Program{Timed: true, Finish: 50 * time.Millisecond}})
		resolved := scheduler.ApplyReport(runningReport("busy", sequence, Running{Worker: "w", Requests: 1}), now)
		require.Len(t, resolved, 1)
		if resolved[0].Query.From == "begins" {
			break
		}
		require.LessOrEqual(t, now.Sub(start), 100*time.Millisecond+maxBypass)
		scheduler.ApplyReport(runningReport("busy", sequence+1, full), now)
		scheduler.ApplyReport(runningReport("stays", sequence+1), now)
	}
}

// TestDecliningWorkerCountsAsFull guards against assigning more requests to a worker that has just
// declined one.
func TestDecliningWorkerCountsAsFull(t *testing.T) {
	scheduler, now := settledScheduler(Member{Worker: "w", Concurrency: 6})
	report := runningReport("n", 1)
	report.Declined = []string{"w"}
	scheduler.ApplyReport(report, now)
	require.Equal(t, OutcomeWait, submit(scheduler, "m", 1, Ask{}, now).Outcome)
	now = now.Add(declineBackoff)
	require.Equal(t, OutcomeAssigned, submit(scheduler, "m", 2, Ask{}, now).Outcome)
}

// TestRetryAfterFollowsHoldTime guards against retry delays that ignore how fast capacity is freed.
func TestRetryAfterFollowsHoldTime(t *testing.T) {
	scheduler, now := settledScheduler(Member{Worker: "w", Concurrency: 4})
	report := runningReport("n", 1, Running{Worker: "w", Requests: 5})
	report.Ended, report.Held = 10, 2*time.Second // 200 ms each, 4 at a time: one ends every 50 ms
	scheduler.ApplyReport(report, now)
	require.Equal(t, 50*time.Millisecond, submit(scheduler, "m", 1, Ask{}, now).After)
	_, _ = scheduler.Submit(&Query{From: "m", Sequence: 2, Ask: Ask{Patience: time.Second}}, now)
	require.Equal(t, 100*time.Millisecond, submit(scheduler, "m", 3, Ask{}, now).After)
}

// TestGroupLoadIsBounded guards against unbounded memory when nodes come and go.
func TestGroupLoadIsBounded(t *testing.T) {
	scheduler, now := settledScheduler(Member{Worker: "w", Concurrency: 4})
	for index := range 20_000 {
		now = now.Add(time.Millisecond)
		scheduler.ApplyReport(runningReport(fmt.Sprint(index), 1, Running{Worker: fmt.Sprint("w", index), Requests: 1}), now)
		_, _ = scheduler.Submit(&Query{From: fmt.Sprint(index), Sequence: 1, Ask: Ask{Patience: time.Minute}}, now)
	}
	require.LessOrEqual(t, len(scheduler.load.nodes), maxNodes)
	require.LessOrEqual(t, scheduler.QueueLength(), maxQueued)
	now = now.Add(time.Minute)
	scheduler.ApplyReport(runningReport("n", 1), now)
	now = now.Add(time.Minute)
	scheduler.ApplyReport(runningReport("n", 2), now)
	require.LessOrEqual(t, len(scheduler.load.nodes), 1)
	require.Empty(t, scheduler.load.loads)
}
