package sim

import (
	"context"
	"runtime"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/report"
	"github.com/cloverwheel/cloverwheel/internal/workload"
)

// DefaultSeeds is how many seeds an experiment runs.
const DefaultSeeds = 5

// Options describe an experiment.
type Options struct {
	Workloads []*workload.Spec
	Policies  []Policy // empty: MainPolicies
	Seeds     []uint64 // empty: 1 to DefaultSeeds
	// Parallel bounds the runs at a time; zero: one for each processor.
	Parallel int
	// Done is called after each run, one call at a time; it may be nil.
	Done func(done, all int)
}

func (o Options) withDefaults() Options {
	if len(o.Policies) == 0 {
		o.Policies = MainPolicies()
	}
	if len(o.Seeds) == 0 {
		for seed := range uint64(DefaultSeeds) {
			o.Seeds = append(o.Seeds, seed+1)
		}
	}
	if o.Parallel == 0 {
		o.Parallel = runtime.GOMAXPROCS(0)
	}
	return o
}

// Run runs every workload under every policy with every seed and compares the
// policies. Its result does not depend on Parallel.
func Run(ctx context.Context, options Options) (*report.Report, error) {
	options = options.withDefaults()
	results, err := runAll(ctx, options)
	if err != nil {
		return nil, err
	}
	summary := &report.Report{Seeds: options.Seeds}
	for w, spec := range options.Workloads {
		compared := report.Workload{Name: spec.Name, Title: spec.Title}
		for p, policy := range options.Policies {
			compared.Rows = append(compared.Rows, summarize(policy, spec.Duration, results[w][p]))
		}
		compared.Ideal = idealOf(results[w][0])
		compared.Compare()
		summary.Workloads = append(summary.Workloads, compared)
	}
	return summary, nil
}

// runAll returns results by workload, policy and seed.
func runAll(ctx context.Context, options Options) ([][][]*Result, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(options.Parallel)
	progress := newProgress(options)
	results := make([][][]*Result, len(options.Workloads))
	for w, spec := range options.Workloads {
		results[w] = make([][]*Result, len(options.Policies))
		for p := range options.Policies {
			results[w][p] = make([]*Result, len(options.Seeds))
		}
		for s, seed := range options.Seeds {
			scripts := workload.Generate(spec, seed)
			for p, policy := range options.Policies {
				group.Go(func() error {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					results[w][p][s] = simulate(spec, scripts, policy, seed)
					progress.done()
					return nil
				})
			}
		}
	}
	return results, group.Wait()
}
