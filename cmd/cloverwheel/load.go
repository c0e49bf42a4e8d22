package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/load"
	"github.com/cloverwheel/cloverwheel/internal/localcluster"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/worker"
	"github.com/cloverwheel/cloverwheel/internal/workload"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "run a workload over HTTP against local clusters, one for each policy, or against given addresses",
		ArgsUsage: "WORKLOAD",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "compare", Usage: "scheduling `POLICY`; repeat to compare, the first is the base", Value: []string{worker.DefaultPolicy}},
			&cli.StringSliceFlag{Name: "address", Usage: "`HOST:PORT` of nodes that run already, in place of local clusters; give caller keys with --tenant-key"},
			&cli.StringSliceFlag{Name: "engine", Usage: "`URL` of a stand-in engine of those nodes, to check answers and waste"},
			&cli.StringSliceFlag{Name: "tenant-key", Usage: "`TENANT=KEY` for --address"},
			&cli.StringFlag{Name: "model", Value: demoModel},
			&cli.IntFlag{Name: "nodes", Usage: "of a local cluster; zero: one for each zone"},
			&cli.Uint64SliceFlag{Name: "seed", Value: []uint64{1}},
			&cli.FloatFlag{Name: "speed", Value: 1, Usage: "how many times faster than real time callers and local engines run"},
			&cli.IntFlag{Name: "programs", Value: load.DefaultMaxPrograms, Usage: "most programs of one run"},
			&cli.DurationFlag{Name: "duration", Value: load.DefaultMaxDuration, Usage: "longest run"},
			&cli.FloatFlag{Name: "non-repeatable", Usage: "share of calls that must not be repeated"},
			&cli.StringFlag{Name: "report", Usage: "write the report as JSON to `FILE`"},
			&cli.StringFlag{Name: "log-level", Value: "error"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	log.SetLevelFromString(command.String("log-level"))
	path, err := argument(command, "WORKLOAD")
	if err != nil {
		return err
	}
	spec, err := workload.Load(path)
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	options := load.Options{
		Spec:          spec,
		Seeds:         command.Uint64Slice("seed"),
		Speed:         command.Float("speed"),
		NonRepeatable: command.Float("non-repeatable"),
		MaxPrograms:   command.Int("programs"),
		MaxDuration:   command.Duration("duration"),
		Progress:      printProgress,
	}
	release, err := chooseTargets(ctx, command, &options)
	defer release()
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	fmt.Println()
	if err := writeFile(command.String("report"), report.WriteJSON); err != nil {
		return err
	}
	return report.WriteText(os.Stdout)
}

// chooseTargets fills the options' targets and keys. The returned function ends
// the local clusters; it is never nil.
func chooseTargets(ctx context.Context, command *cli.Command, options *load.Options) (release func(), err error) {
	if addresses := command.StringSlice("address"); len(addresses) > 0 {
		options.Keys, err = tenantKeys(command.StringSlice("tenant-key"))
		options.Targets = []load.Target{givenTarget(addresses, command.StringSlice("engine"))}
		return func() {}, err
	}
	return localTargets(ctx, command, options)
}

func givenTarget(addresses, engines []string) load.Target {
	target := load.Target{Name: "given", Addresses: addresses}
	if len(engines) > 0 {
		target.Records = load.StandInRecords{Engines: engines}
	}
	return target
}

func tenantKeys(pairs []string) (map[id.Tenant]string, error) {
	keys := map[id.Tenant]string{}
	for _, pair := range pairs {
		tenant, key, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, cli.Exit(fmt.Sprintf("load: --tenant-key %q has no '='; write TENANT=KEY", pair), exitUsage)
		}
		keys[id.Tenant(tenant)] = key
	}
	return keys, nil
}

// localTargets starts one local cluster for each policy to compare.
func localTargets(ctx context.Context, command *cli.Command, options *load.Options) (release func(), err error) {
	var sites []*localcluster.Site
	release = func() {
		for _, site := range sites {
			_ = site.Close()
		}
	}
	document, keys, err := load.Configuration(options.Spec, id.Model(command.String("model")))
	if err != nil {
		return release, err
	}
	options.Keys = keys
	for _, name := range command.StringSlice("compare") {
		policy, ok := worker.PolicyNamed(name)
		if !ok {
			return release, cli.Exit(fmt.Sprintf("load: unknown policy %q; see 'cloverwheel experiment --list'", name), exitUsage)
		}
		site, err := localcluster.StartWorkload(ctx, localcluster.WorkloadOptions{
			Spec:    options.Spec,
			Model:   id.Model(command.String("model")),
			Speed:   options.Speed,
			Nodes:   command.Int("nodes"),
			Policy:  policy,
			Initial: func(string) (*template.Configuration, error) { return parseConfiguration(options.Spec.Name, document) },
		})
		if err != nil {
			return release, err
		}
		sites = append(sites, site)
		options.Targets = append(options.Targets, site.Target(name))
	}
	return release, nil
}

func parseConfiguration(source string, document []byte) (*template.Configuration, error) {
	change, problems := template.Parse(source, document)
	if len(problems) > 0 {
		return nil, problems
	}
	return new(template.Configuration).With(1, change), nil
}

// writeFile writes to path; an empty path writes nothing.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
