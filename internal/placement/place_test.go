package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

func ready(worker id.Worker) Candidate {
	return Candidate{Worker: worker, Healthy: true, ModelLoaded: true, AdapterReady: true, Capacity: 1000}
}

func with(candidate Candidate, change func(*Candidate)) Candidate {
	change(&candidate)
	return candidate
}

func workersOf(candidates []Candidate) []id.Worker {
	var workers []id.Worker
	for _, candidate := range candidates {
		workers = append(workers, candidate.Worker)
	}
	return workers
}

// Guards against sending calls to workers that cannot serve them, and against refusing calls that an
// unhealthy worker might still serve.
func TestFeasible(t *testing.T) {
	healthy := ready("a")
	unhealthy := with(ready("b"), func(c *Candidate) { c.Healthy = false })
	leaving := with(ready("c"), func(c *Candidate) { c.Draining = true })
	small := with(ready("d"), func(c *Candidate) { c.Capacity = 10 })
	unmeasured := with(ready("e"), func(c *Candidate) { c.Capacity = 0 })
	for name, test := range map[string]struct {
		query      Query
		candidates []Candidate
		want       []id.Worker
	}{
		"leaving and small are left out":   {Query{Tokens: 100}, []Candidate{healthy, leaving, small, unmeasured}, []id.Worker{"a", "e"}},
		"excluded is left out":             {Query{Exclude: []id.Worker{"a"}}, []Candidate{healthy, small}, []id.Worker{"d"}},
		"healthy before unhealthy":         {Query{}, []Candidate{unhealthy, healthy}, []id.Worker{"a"}},
		"unhealthy if there is no other":   {Query{}, []Candidate{unhealthy, leaving}, []id.Worker{"b"}},
		"none usable":                      {Query{Tokens: 100}, []Candidate{leaving, small}, nil},
		"no candidates":                    {Query{}, nil, nil},
		"a leaving worker is never chosen": {Query{Home: "c"}, []Candidate{leaving}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			feasible, err := Feasible(test.query, test.candidates)
			require.Equal(t, test.want, workersOf(feasible))
			if test.want == nil {
				require.True(t, fault.Is(err, fault.Unavailable))
				require.Equal(t, fault.RanNo, fault.From(err).Ran)
				require.Positive(t, fault.From(err).RetryAfter)
			}
		})
	}
}

// Each case guards one term of a policy's ranking.
func TestRank(t *testing.T) {
	second := time.Second
	near := with(ready("near"), func(c *Candidate) { c.Decode = second })
	far := with(ready("far"), func(c *Candidate) { c.Decode, c.RoundTrip = second, 2 })
	cached := with(ready("cached"), func(c *Candidate) { c.Decode, c.Wait = second, second })
	cold := with(ready("cold"), func(c *Candidate) { c.Decode, c.Prefill = second, 3*second })
	busy := with(ready("busy"), func(c *Candidate) { c.Running, c.OwnPrefill, c.Decode = 10, second, second })
	unloaded := with(ready("unloaded"), func(c *Candidate) { c.Load, c.ModelLoaded = 30*second, false })
	crowded := with(ready("crowded"), func(c *Candidate) { c.Queued, c.Running = 3, 4 })
	idle := with(ready("idle"), func(c *Candidate) { c.Running, c.Decode = 1, 9*second })
	for name, test := range map[string]struct {
		policy Policy
		query  Query
		first  Candidate
		second Candidate
	}{
		"distance breaks ties":                    {Policy{Name: ExpectedCompletion}, Query{}, near, far},
		"a short wait is better than prefill":     {Policy{Name: ExpectedCompletion}, Query{}, cached, cold},
		"prefill does not count without cache":    {Policy{Name: ExpectedCompletion, IgnoreCache: true}, Query{}, cold, cached},
		"the wait does not count if switched off": {Policy{Name: ExpectedCompletion, IgnoreWait: true}, Query{}, cached, cold},
		"the delay of others counts":              {Policy{Name: ExpectedCompletion}, Query{}, cold, busy},
		"and does not if switched off":            {Policy{Name: ExpectedCompletion, IgnoreOthers: true}, Query{}, busy, cold},
		"loading a model counts":                  {Policy{Name: ExpectedCompletion}, Query{}, busy, unloaded},
		"least requests counts calls alone":       {Policy{Name: LeastRequests}, Query{}, idle, crowded},
		"sticky stays at home":                    {Policy{Name: Sticky}, Query{Home: "crowded"}, crowded, idle},
		"sticky starts by least requests":         {Policy{Name: Sticky}, Query{}, idle, crowded},
	} {
		t.Run(name, func(t *testing.T) {
			for _, order := range [][]Candidate{{test.first, test.second}, {test.second, test.first}} {
				ranked := Rank(test.query, order, test.policy)
				require.Equal(t, test.first.Worker, ranked[0].Worker)
			}
		})
	}
}

// Guards against uneven choices among equal workers and against choosing worse ones.
func TestSelect(t *testing.T) {
	candidates := func(costs ...time.Duration) []Candidate {
		var ranked []Candidate
		for index, cost := range costs {
			ranked = append(ranked, with(ready(id.Worker(fmt.Sprint(index))), func(c *Candidate) { c.Decode = cost }))
		}
		return ranked
	}
	expected := Policy{Name: ExpectedCompletion}
	random := rand.New(rand.NewPCG(1, 1))

	t.Run("round robin takes turns", func(t *testing.T) {
		seen := map[id.Worker]int{}
		for sequence := range 9 {
			seen[Select(Query{Sequence: uint64(sequence)}, candidates(3, 2, 1), Policy{Name: RoundRobin}, random).Worker]++
		}
		require.Equal(t, map[id.Worker]int{"0": 3, "1": 3, "2": 3}, seen)
	})
	t.Run("ties are spread and others never taken", func(t *testing.T) {
		seen := map[id.Worker]int{}
		for range 200 {
			seen[Select(Query{}, candidates(1000, 1010, 2000), expected, random).Worker]++
		}
		require.Greater(t, seen["0"], 50)
		require.Greater(t, seen["1"], 50)
		require.Zero(t, seen["2"])
	})
	t.Run("home wins a tie and only a tie", func(t *testing.T) {
		for range 50 {
			require.Equal(t, id.Worker("1"), Select(Query{Home: "1"}, candidates(1000, 1010), expected, random).Worker)
			require.Equal(t, id.Worker("0"), Select(Query{Home: "1"}, candidates(1000, 2000), expected, random).Worker)
		}
	})
	t.Run("an open connection wins a tie, and only a tie, after the home", func(t *testing.T) {
		connected := candidates(1000, 1010, 1010, 2000)
		connected[2].Connected, connected[3].Connected = true, true
		for key := range 50 {
			require.Equal(t, id.Worker("2"), Select(Query{Key: fmt.Sprint(key)}, connected, expected, random).Worker)
			require.Equal(t, id.Worker("1"), Select(Query{Key: fmt.Sprint(key), Home: "1"}, connected, expected, random).Worker)
		}
	})
	t.Run("the margin is over the runner-up", func(t *testing.T) {
		decision := Select(Query{}, candidates(1000, 5000), expected, random)
		require.Equal(t, Decision{Worker: "0", Expected: 1000, RunnerUp: "1", Margin: 4000}, decision)
	})
}

// Guards against shortlists that are long, hold duplicates or excluded workers, or never sample some.
func TestShortlist(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	pool := []id.Worker{"a", "b", "c", "d", "e", "f", "g", "h"}
	seen := map[id.Worker]bool{}
	for range 200 {
		list := Shortlist("a", []id.Worker{"a", "b", "c", "d"}, pool, []id.Worker{"b", "h"}, random)
		require.Len(t, list, 5)
		require.Equal(t, []id.Worker{"a", "c", "d"}, list[:3], "home, then two with the template prefix cached")
		require.NotContains(t, list, id.Worker("b"))
		require.NotContains(t, list, id.Worker("h"))
		require.NotEqual(t, list[3], list[4])
		seen[list[3]], seen[list[4]] = true, true
	}
	require.Len(t, seen, 3, "every other worker is sampled")
	require.Equal(t, []id.Worker{"a"}, Shortlist("a", nil, []id.Worker{"a"}, nil, random))
	require.Empty(t, Shortlist("", nil, nil, nil, random))
}

// BenchmarkDecision measures a whole decision: the shortlist from a model's workers and the choice among
// the candidates.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{76, 760, 7600} {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			pool := make([]id.Worker, size)
			for index := range pool {
				pool[index] = id.Worker(fmt.Sprintf("worker-%d", index))
			}
			random := rand.New(rand.NewPCG(1, 1))
			policy := Policy{Name: ExpectedCompletion}
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				home := pool[index%size]
				list := Shortlist(home, pool[:2], pool, nil, random)
				candidates := make([]Candidate, 0, len(list))
				for rank, worker := range list {
					candidates = append(candidates, with(ready(worker), func(c *Candidate) { c.Wait = time.Duration(rank) * time.Millisecond }))
				}
				if _, err := Choose(Query{Home: home}, candidates, policy, random); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
