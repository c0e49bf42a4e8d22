package report

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Report holds the figures of some workloads.
type Report struct {
	Seeds     []uint64   `json:"seeds"`
	Workloads []Workload `json:"workloads"`
}

// Workload compares policies on one workload.
type Workload struct {
	Name  string `json:"name"`
	Title string `json:"title"`
	// Ideal is the latency on an empty cluster with all of a program's own
	// context cached; no policy can do better.
	Ideal Latency `json:"ideal"`
	Rows  []Row   `json:"rows"`
}

// Row holds one policy's figures, over all seeds.
type Row struct {
	Policy   string `json:"policy"`
	Baseline bool   `json:"baseline"`
	Programs int    `json:"programs"` // root programs of well-behaved tenants
	// Unfinished programs count in the latencies with the time until the run
	// was stopped.
	Unfinished int     `json:"unfinished"`
	Latency    Latency `json:"latency"`
	// SeedP95 is the 95th percentile of each seed alone.
	SeedP95   []time.Duration `json:"seed_p95_ns"`
	Waste     Waste           `json:"waste"`
	Transfers Transfers       `json:"transfers"`
	Fairness  float64         `json:"fairness"` // Jain's index of the tenants' mean speeds
	Goodput   Goodput         `json:"goodput"`
	Refusals  []Refusals      `json:"refusals"`
	Retries   int             `json:"retries"` // of attempts by leaders
	Calls     int             `json:"calls"`   // that were answered
	Moves     int             `json:"moves"`   // of them, not where the call before was
	// Ratios to the best baseline of the same workload; zero without baselines.
	Ratios Ratios `json:"ratios"`
}

// Latency of programs, from the first call to the final answer.
type Latency struct {
	Mean time.Duration `json:"mean_ns"`
	P50  time.Duration `json:"p50_ns"`
	P95  time.Duration `json:"p95_ns"`
	P99  time.Duration `json:"p99_ns"`
}

// Waste counts tokens of context over all engines and seeds.
type Waste struct {
	Computed  int `json:"computed"`
	Reused    int `json:"reused"`   // prompt tokens found in a cache
	Inherent  int `json:"inherent"` // of last calls; no policy can reuse them
	Avoidable int `json:"avoidable"`
	// Causes split Avoidable, before Recovered is taken off.
	Causes      []CauseTokens `json:"causes"`
	Recovered   int           `json:"recovered"` // wasted at one engine, read from an export at another
	Preemptions int           `json:"preemptions"`
}

// Transfers count context that was copied out of engines and into others.
type Transfers struct {
	Exports    int `json:"exports"`
	Tokens     int `json:"tokens"`      // exported and imported
	StoredPeak int `json:"stored_peak"` // most tokens kept outside at a time, in one run
}

// CauseTokens is the waste of one cause.
type CauseTokens struct {
	Cause  string `json:"cause"`
	Tokens int    `json:"tokens"`
}

// Share is the avoidable waste as a share of all computed tokens.
func (w Waste) Share() float64 { return share(w.Avoidable, w.Computed) }

// TotalShare is all waste, the inherent part included.
func (w Waste) TotalShare() float64 { return share(w.Avoidable+w.Inherent, w.Computed) }

// HitShare is the share of prompt tokens found in caches.
func (w Waste) HitShare(output int) float64 {
	return share(w.Reused, w.Reused+w.Computed-output)
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Goodput counts what was finished while programs still arrived.
type Goodput struct {
	ProgramsPerMinute float64 `json:"programs_per_minute"`
	TokensPerSecond   float64 `json:"tokens_per_second"` // of output, of finished programs
}

// Refusals counts the refusals of one code.
type Refusals struct {
	Code  string `json:"code"`
	Count int    `json:"count"`
}

// Ratios compare with the best baseline: the lowest p95, the lowest waste and
// the highest goodput, which need not be the same baseline.
type Ratios struct {
	P95        float64 `json:"p95"`
	P95Of      string  `json:"p95_of"`
	Waste      float64 `json:"waste"` // tokens of avoidable waste
	WasteOf    string  `json:"waste_of"`
	TotalWaste float64 `json:"total_waste"` // the inherent part included
	Goodput    float64 `json:"goodput"`
	GoodputOf  string  `json:"goodput_of"`
}

// Compare fills in the ratios of every row.
func (w *Workload) Compare() {
	latency := w.best(func(r Row) float64 { return float64(r.Latency.P95) })
	waste := w.best(func(r Row) float64 { return float64(r.Waste.Avoidable) })
	total := w.best(func(r Row) float64 { return float64(r.Waste.Avoidable + r.Waste.Inherent) })
	goodput := w.best(func(r Row) float64 { return -r.Goodput.ProgramsPerMinute })
	if latency == nil {
		return
	}
	for i := range w.Rows {
		row := &w.Rows[i]
		row.Ratios = Ratios{
			P95:        ratio(float64(row.Latency.P95), float64(latency.Latency.P95)),
			P95Of:      latency.Policy,
			Waste:      ratio(float64(row.Waste.Avoidable), float64(waste.Waste.Avoidable)),
			WasteOf:    waste.Policy,
			TotalWaste: ratio(float64(row.Waste.Avoidable+row.Waste.Inherent), float64(total.Waste.Avoidable+total.Waste.Inherent)),
			Goodput:    ratio(row.Goodput.ProgramsPerMinute, goodput.Goodput.ProgramsPerMinute),
			GoodputOf:  goodput.Policy,
		}
	}
}

// best returns the baseline with the lowest cost, or nil without baselines.
func (w *Workload) best(cost func(Row) float64) *Row {
	var best *Row
	for i := range w.Rows {
		row := &w.Rows[i]
		if row.Baseline && (best == nil || cost(*row) < cost(*best)) {
			best = row
		}
	}
	return best
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

// Names of the files that Save writes besides the plots.
const (
	TextFile = "results.txt"
	JSONFile = "results.json"
)

// Save writes the report as text and JSON and the plots into directory.
func (r *Report) Save(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return eris.Wrap(err, "make the report's directory")
	}
	writers := map[string]func(io.Writer) error{TextFile: r.WriteText, JSONFile: r.WriteJSON}
	for name, write := range writers {
		if err := saveFile(filepath.Join(directory, name), write); err != nil {
			return err
		}
	}
	_, err := r.WritePlots(directory)
	return err
}

func saveFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrapf(err, "create %s", path)
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return eris.Wrapf(file.Close(), "close %s", path)
}
