package sim

import (
	"maps"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/workload"
)

// Program is what became of one root program.
type Program struct {
	Tenant      id.Tenant
	Template    id.Template
	Misbehaving bool
	Started     time.Duration // after the start of the run
	Latency     time.Duration // of an unfinished program: until the run was stopped
	Ideal       time.Duration // on an empty cluster, with all of its own context cached
	Tokens      int           // of output
	Finished    bool
}

// Result is what one run gave.
type Result struct {
	Workload string
	Policy   string
	Seed     uint64
	Programs []Program
	Account  enginemodel.Account
	Refusals map[fault.Code]int
	Retries  int
	Calls    int // that were answered
	Moves    int // of them, not where the program's call before was
	Exports  int
	// StoredPeak is the most tokens of exported context kept at a time.
	StoredPeak int
	Elapsed    time.Duration // until the last program ended
}

func newResult(workload, policy string, seed uint64) *Result {
	return &Result{Workload: workload, Policy: policy, Seed: seed, Refusals: map[fault.Code]int{}}
}

// conclude closes the books of a run.
func (s *simulation) conclude() {
	for i := range s.result.Programs {
		if p := &s.result.Programs[i]; !p.Finished {
			p.Latency = s.clock.elapsed() - p.Started
		}
	}
	for _, b := range s.backends {
		s.result.Account = s.result.Account.Add(b.engine.Account())
	}
	s.result.Elapsed = s.clock.elapsed()
	s.result.Exports = s.exports
}

// idealLatency is how long a program takes when nothing is in its way.
func idealLatency(script *workload.ProgramScript, options enginemodel.Options) time.Duration {
	ideal := enginemodel.Alone(options)
	total := time.Duration(0)
	context := 0
	for _, text := range script.System {
		context += text.Tokens
	}
	fresh := context
	for _, turn := range script.Turns {
		for _, text := range turn.Input {
			context += text.Tokens
			fresh += text.Tokens
		}
		total += ideal.Prefill(fresh) + ideal.Decode(context, turn.OutputTokens) + turn.Pause
		context += turn.OutputTokens
		fresh = 0
		longest := time.Duration(0)
		for i := range turn.SubAgents {
			longest = max(longest, idealLatency(&turn.SubAgents[i], options))
		}
		total += longest
	}
	return total
}

func sortedRequests(jobs map[id.Request]*attempt) []id.Request {
	return slices.Sorted(maps.Keys(jobs))
}
