package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// Report holds the figures of one run at all targets.
type Report struct {
	Workload string   `json:"workload"`
	Seeds    []uint64 `json:"seeds"`
	Speed    float64  `json:"speed"`
	Results  []Result `json:"results"`
}

// Result holds one target's figures, over all seeds.
type Result struct {
	Target   string        `json:"target"`
	Took     time.Duration `json:"took_ns"`
	Programs int           `json:"programs"` // root programs started
	Finished int           `json:"finished"`
	Failed   int           `json:"failed"`
	Calls    int           `json:"calls"` // of sub-agents, too
	Resumes  int           `json:"resumes"`
	// Restarts counts answers that were made again with another text after a
	// part had been streamed.
	Restarts int `json:"restarts"`
	// Latency is the time of well-behaved programs from first call to final answer.
	Latency    Quantiles  `json:"program_latency"`
	CallTime   Quantiles  `json:"call_time"`
	FirstToken Quantiles  `json:"first_token"`
	Between    Quantiles  `json:"between_tokens"`
	Refusals   []Refusal  `json:"refusals"`             // attempts, repeated ones too
	Failures   []Refusal  `json:"failures"`             // that ended a root program
	Recoveries []Recovery `json:"recoveries,omitempty"` // after actions
	Waste      Waste      `json:"waste"`
	Checked    int        `json:"checked"` // calls compared with the engines' records
	Violated   int        `json:"violated"`
	Violations []string   `json:"violations"` // at most the first 50
	Ratios     *Ratios    `json:"ratios,omitempty"`
}

// Recovery tells how an action was survived: the time from it to the next answer
// of the programs that had a call in progress.
type Recovery struct {
	Action   string    `json:"action"`
	Affected int       `json:"affected"`
	Never    int       `json:"never"` // without an answer until the end of the run
	Time     Quantiles `json:"time"`
}

// Quantiles of a time.
type Quantiles struct {
	Count int64         `json:"count"`
	Mean  time.Duration `json:"mean_ns"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Refusal counts the errors of one code.
type Refusal struct {
	Code  fault.Code `json:"code"`
	Ran   fault.Ran  `json:"ran"`
	Count int        `json:"count"`
}

// Ratios compare a target with the first one; zero where that has no figure.
type Ratios struct {
	To         string  `json:"to"`
	LatencyP50 float64 `json:"latency_p50"`
	LatencyP95 float64 `json:"latency_p95"`
	LatencyP99 float64 `json:"latency_p99"`
	FirstToken float64 `json:"first_token_p95"`
	Waste      float64 `json:"waste_share"`
}

func newReport(options Options, measures []*measure) *Report {
	report := &Report{Workload: options.Spec.Name, Seeds: options.Seeds, Speed: options.Speed}
	for i, target := range options.Targets {
		report.Results = append(report.Results, measures[i].result(target.Name))
	}
	for i := 1; i < len(report.Results); i++ {
		report.Results[i].Ratios = report.Results[i].compare(report.Results[0])
	}
	return report
}

func (m *measure) result(target string) Result {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return Result{
		Target: target, Took: m.took, Programs: m.programs, Finished: m.finished, Failed: m.failed,
		Calls: m.calls, Resumes: m.resumes, Restarts: m.restarts,
		Latency: quantiles(m.latency), CallTime: quantiles(m.callTime),
		FirstToken: quantiles(m.firstToken), Between: quantiles(m.between),
		Refusals: sorted(m.refusals), Failures: sorted(m.failures),
		Recoveries: m.recovered(), Waste: m.waste, Checked: m.checked, Violated: m.violated, Violations: m.violations,
	}
}

func (m *measure) recovered() []Recovery {
	var recoveries []Recovery
	for _, r := range m.recoveries {
		recoveries = append(recoveries, Recovery{Action: r.name, Affected: r.affected, Never: r.never, Time: quantiles(r.times)})
	}
	return recoveries
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Quantiles{
		Count: h.TotalCount(), Mean: time.Duration(h.Mean() * float64(time.Microsecond)),
		P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond,
	}
}

func sorted(counts map[refusalKey]int) []Refusal {
	refusals := []Refusal{}
	for key, count := range counts {
		refusals = append(refusals, Refusal{Code: key.code, Ran: key.ran, Count: count})
	}
	slices.SortFunc(refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Code, b.Code), cmp.Compare(a.Ran, b.Ran))
	})
	return refusals
}

func (r Result) compare(first Result) *Ratios {
	times := func(a, b time.Duration) float64 { return ratio(float64(a), float64(b)) }
	return &Ratios{
		To:         first.Target,
		LatencyP50: times(r.Latency.P50, first.Latency.P50),
		LatencyP95: times(r.Latency.P95, first.Latency.P95),
		LatencyP99: times(r.Latency.P99, first.Latency.P99),
		FirstToken: times(r.FirstToken.P95, first.FirstToken.P95),
		Waste:      ratio(r.Waste.Share(), first.Waste.Share()),
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(r), "write report")
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s, seeds %v, speed %g\n", r.Workload, r.Seeds, r.Speed)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "target\tprograms\tfailed\tcalls\tp50\tp95\tp99\tfirst token p95\tbetween p95\twasted\tcached\trefused\tchecked\tviolated\t")
	for _, result := range r.Results {
		fmt.Fprintln(table, strings.Join(result.cells(), "\t")+"\t")
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "write report")
	}
	for _, result := range r.Results {
		result.writeNotes(w)
	}
	return nil
}

func (r Result) cells() []string {
	return []string{
		r.Target, fmt.Sprintf("%d/%d", r.Finished, r.Programs), fmt.Sprint(r.Failed), fmt.Sprint(r.Calls),
		short(r.Latency.P50), short(r.Latency.P95), short(r.Latency.P99), short(r.FirstToken.P95), short(r.Between.P95),
		r.Waste.text(), percent(ratio(float64(r.Waste.Cached), float64(r.Waste.Cached+r.Waste.Computed))),
		refusalText(r.Refusals), fmt.Sprint(r.Checked), fmt.Sprint(r.Violated),
	}
}

func (w Waste) text() string {
	if !w.Known {
		return "unknown"
	}
	return percent(w.Share())
}

// writeNotes writes what has no place in the table.
func (r Result) writeNotes(w io.Writer) {
	if r.Ratios != nil {
		fmt.Fprintf(w, "%s to %s: program latency p50 %.2f p95 %.2f p99 %.2f, first token p95 %.2f, waste %.2f\n", r.Target, r.Ratios.To,
			r.Ratios.LatencyP50, r.Ratios.LatencyP95, r.Ratios.LatencyP99, r.Ratios.FirstToken, r.Ratios.Waste)
	}
	if r.Resumes+r.Restarts > 0 {
		fmt.Fprintf(w, "%s: %d streams resumed, %d answers made again\n", r.Target, r.Resumes, r.Restarts)
	}
	for _, recovery := range r.Recoveries {
		fmt.Fprintf(w, "%s: after %s, %d programs with a call in progress had their next answer in p50 %s p99 %s max %s, %d never\n", r.Target, recovery.Action,
			recovery.Affected, short(recovery.Time.P50), short(recovery.Time.P99), short(recovery.Time.Max), recovery.Never)
	}
	if len(r.Failures) > 0 {
		fmt.Fprintf(w, "%s: programs failed by %s\n", r.Target, refusalText(r.Failures))
	}
	for _, violation := range r.Violations {
		fmt.Fprintf(w, "%s: VIOLATION %s\n", r.Target, violation)
	}
}

func refusalText(refusals []Refusal) string {
	var parts []string
	for _, refusal := range refusals {
		parts = append(parts, fmt.Sprintf("%s (ran %s) %d", refusal.Code, refusal.Ran, refusal.Count))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func short(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }

func percent(share float64) string { return fmt.Sprintf("%.1f%%", share*100) }
