package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// WriteText writes one table for each workload.
func (r *Report) WriteText(w io.Writer) error {
	for _, workload := range r.Workloads {
		if err := workload.writeText(w, r.Seeds); err != nil {
			return eris.Wrap(err, "write report")
		}
	}
	return nil
}

const header = "policy\tprograms\tunfinished\tp50\tp95\tp99\tp95 ratio\twaste\twaste ratio\tall waste\tfairness\tgoodput/min\tmoved\trefused\tcauses of waste\t"

func (w Workload) writeText(out io.Writer, seeds []uint64) error {
	fmt.Fprintf(out, "%s (%s), seeds %v\n", w.Name, w.Title, seeds)
	fmt.Fprintf(out, "alone on the cluster: p50 %s, p95 %s, p99 %s\n", inSeconds(w.Ideal.P50), inSeconds(w.Ideal.P95), inSeconds(w.Ideal.P99))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, header)
	for _, row := range w.Rows {
		fmt.Fprintln(table, strings.Join(row.cells(), "\t")+"\t")
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out)
	return err
}

func (r Row) cells() []string {
	name := r.Policy
	if r.Baseline {
		name += " (baseline)"
	}
	return []string{
		name,
		fmt.Sprint(r.Programs),
		fmt.Sprint(r.Unfinished),
		inSeconds(r.Latency.P50),
		inSeconds(r.Latency.P95),
		inSeconds(r.Latency.P99),
		fmt.Sprintf("%.2f", r.Ratios.P95),
		inPercent(r.Waste.Share()),
		fmt.Sprintf("%.2f", r.Ratios.Waste),
		inPercent(r.Waste.TotalShare()),
		fmt.Sprintf("%.3f", r.Fairness),
		fmt.Sprintf("%.1f", r.Goodput.ProgramsPerMinute),
		inPercent(share(r.Moves, r.Calls)),
		r.refusals(),
		r.Waste.causes(),
	}
}

func (r Row) refusals() string {
	var parts []string
	for _, refusal := range r.Refusals {
		parts = append(parts, fmt.Sprintf("%s %d", refusal.Code, refusal.Count))
	}
	return orNone(parts)
}

func (w Waste) causes() string {
	var parts []string
	for _, cause := range w.Causes {
		if cause.Tokens > 0 {
			parts = append(parts, fmt.Sprintf("%s %s", cause.Cause, inPercent(share(cause.Tokens, w.Computed))))
		}
	}
	return orNone(parts)
}

func orNone(parts []string) string {
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func inSeconds(d time.Duration) string { return fmt.Sprintf("%.1fs", d.Seconds()) }

func inPercent(part float64) string { return fmt.Sprintf("%.1f%%", part*100) }
