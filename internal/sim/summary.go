package sim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/report"
)

const (
	// longestLatency and latencyDigits bound the histograms, in milliseconds.
	longestLatency = int64(24 * time.Hour / time.Millisecond)
	latencyDigits  = 3
)

// summarize merges the runs of one policy on one workload with several seeds.
func summarize(policy Policy, arrivals time.Duration, runs []*Result) report.Row {
	row := report.Row{Policy: policy.Name, Baseline: policy.Baseline()}
	all := newHistogram()
	refusals := map[fault.Code]int{}
	var account enginemodel.Account
	for _, run := range runs {
		single := newHistogram()
		for _, p := range run.measured() {
			row.Programs++
			if !p.Finished {
				row.Unfinished++
			}
			_ = single.RecordValue(p.Latency.Milliseconds())
		}
		all.Merge(single)
		row.SeedP95 = append(row.SeedP95, quantile(single, 95))
		row.Fairness += run.fairness() / float64(len(runs))
		row.Goodput = addGoodput(row.Goodput, run.goodput(arrivals), len(runs))
		row.Retries += run.Retries
		row.Calls += run.Calls
		row.Moves += run.Moves
		row.Transfers.Exports += run.Exports
		row.Transfers.StoredPeak = max(row.Transfers.StoredPeak, run.StoredPeak)
		account = account.Add(run.Account)
		for code, count := range run.Refusals {
			refusals[code] += count
		}
	}
	row.Latency = latencyOf(all)
	row.Waste = wasteOf(account)
	row.Transfers.Tokens = account.Transferred
	row.Refusals = refusalsOf(refusals)
	return row
}

// idealOf is the latency of the same programs on an empty cluster.
func idealOf(runs []*Result) report.Latency {
	all := newHistogram()
	for _, run := range runs {
		for _, p := range run.measured() {
			_ = all.RecordValue(p.Ideal.Milliseconds())
		}
	}
	return latencyOf(all)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLatency, latencyDigits)
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Millisecond
}

func latencyOf(h *hdrhistogram.Histogram) report.Latency {
	return report.Latency{
		Mean: time.Duration(h.Mean() * float64(time.Millisecond)),
		P50:  quantile(h, 50),
		P95:  quantile(h, 95),
		P99:  quantile(h, 99),
	}
}

func wasteOf(a enginemodel.Account) report.Waste {
	waste := report.Waste{
		Computed:    a.Computed(),
		Reused:      a.Reused,
		Inherent:    a.Wasted[enginemodel.Inherent],
		Avoidable:   a.Waste(),
		Recovered:   a.Recovered,
		Preemptions: a.Preemptions,
	}
	for _, cause := range enginemodel.Causes() {
		if cause != enginemodel.Inherent {
			waste.Causes = append(waste.Causes, report.CauseTokens{Cause: cause.String(), Tokens: a.Wasted[cause]})
		}
	}
	return waste
}

func refusalsOf(counts map[fault.Code]int) []report.Refusals {
	var refusals []report.Refusals
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		refusals = append(refusals, report.Refusals{Code: string(code), Count: counts[code]})
	}
	return refusals
}

// measured are the programs of well-behaved tenants.
func (r *Result) measured() []Program {
	return slices.DeleteFunc(slices.Clone(r.Programs), func(p Program) bool { return p.Misbehaving })
}

// goodput counts what ended while programs arrived.
func (r *Result) goodput(arrivals time.Duration) report.Goodput {
	programs, tokens := 0, 0
	for _, p := range r.measured() {
		if p.Finished && p.Started+p.Latency <= arrivals {
			programs++
			tokens += p.Tokens
		}
	}
	return report.Goodput{
		ProgramsPerMinute: float64(programs) / arrivals.Minutes(),
		TokensPerSecond:   float64(tokens) / arrivals.Seconds(),
	}
}

func addGoodput(sum, one report.Goodput, runs int) report.Goodput {
	sum.ProgramsPerMinute += one.ProgramsPerMinute / float64(runs)
	sum.TokensPerSecond += one.TokensPerSecond / float64(runs)
	return sum
}

// fairness is Jain's index over the tenants' mean speeds, where a program's
// speed is its ideal latency over the real one.
func (r *Result) fairness() float64 {
	type speed struct {
		sum   float64
		count int
	}
	speeds := map[id.Tenant]speed{}
	for _, p := range r.measured() {
		s := speeds[p.Tenant]
		s.sum += p.Ideal.Seconds() / max(p.Latency, time.Millisecond).Seconds()
		s.count++
		speeds[p.Tenant] = s
	}
	sum, squares := 0.0, 0.0
	for _, tenant := range slices.SortedFunc(maps.Keys(speeds), cmp.Compare[id.Tenant]) {
		mean := speeds[tenant].sum / float64(speeds[tenant].count)
		sum += mean
		squares += mean * mean
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(speeds)) * squares)
}
