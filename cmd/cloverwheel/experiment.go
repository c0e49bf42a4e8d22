package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cloverwheel/cloverwheel/internal/report"
	"github.com/cloverwheel/cloverwheel/internal/sim"
	"github.com/cloverwheel/cloverwheel/internal/workload"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "compare scheduling policies on workloads in virtual time",
		ArgsUsage: "WORKLOAD-FILE-OR-DIRECTORY...",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "policy", Usage: "scheduling policy; repeat to compare (default: the baselines and ours)"},
			&cli.Uint64SliceFlag{Name: "seed", Usage: "seed; repeat for more (default: five)"},
			&cli.BoolFlag{Name: "list", Usage: "list the policies and stop"},
			&cli.StringFlag{Name: "report", Usage: "write the report as JSON to `FILE`"},
			&cli.StringFlag{Name: "save", Usage: "write tables, JSON and plots into `DIRECTORY`, such as docs/experiments"},
		},
		Action: runExperiment,
	}
}

func runExperiment(ctx context.Context, command *cli.Command) error {
	if command.Bool("list") {
		fmt.Println(strings.Join(sim.PolicyNames(), "\n"))
		return nil
	}
	specs, err := loadWorkloads(command.Args().Slice())
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	options := sim.Options{Workloads: specs, Seeds: command.Uint64Slice("seed"), Done: printRuns}
	if names := command.StringSlice("policy"); len(names) > 0 {
		if options.Policies, err = sim.PoliciesNamed(names); err != nil {
			return cli.Exit(err.Error(), exitUsage)
		}
	}
	result, err := sim.Run(ctx, options)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr)
	return writeExperiment(command, result)
}

func printRuns(done, all int) { fmt.Fprintf(os.Stderr, "\r%d of %d runs ", done, all) }

func writeExperiment(command *cli.Command, result *report.Report) error {
	if err := writeFile(command.String("report"), result.WriteJSON); err != nil {
		return err
	}
	if directory := command.String("save"); directory != "" {
		if err := result.Save(directory); err != nil {
			return err
		}
	}
	return result.WriteText(os.Stdout)
}

// loadWorkloads reads files and the YAML files of directories.
func loadWorkloads(paths []string) ([]*workload.Spec, error) {
	var specs []*workload.Spec
	for _, path := range paths {
		found, err := loadWorkload(path)
		if err != nil {
			return nil, err
		}
		specs = append(specs, found...)
	}
	if len(specs) == 0 {
		return nil, fmt.Errorf("no workload given; name files or a directory such as experiments")
	}
	return specs, nil
}

func loadWorkload(path string) ([]*workload.Spec, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return workload.LoadDirectory(path)
	}
	spec, err := workload.Load(path)
	return []*workload.Spec{spec}, err
}
