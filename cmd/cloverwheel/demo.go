package main

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"github.com/cloverwheel/cloverwheel/examples"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/load"
	"github.com/cloverwheel/cloverwheel/internal/localcluster"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/workload"
)

const (
	// exampleToolsURL is what the example templates name; the demo puts its own
	// tools there.
	exampleToolsURL = "http://127.0.0.1:9000/tools"
	demoModel       = "clover-8b"
	demoWorkload    = "workloads/demo.yaml"
	// demoStart bounds the wait for the nodes.
	demoStart = 30 * time.Second
	demoLimit = time.Minute
)

// demoTemplates are the example files that hold templates and tenants.
var demoTemplates = []string{"market-assistant.yaml", "price-lookup.yaml", "harvest-log.yaml"}

// demoKeys are the caller keys whose hashes the example tenants hold.
var demoKeys = map[id.Tenant]string{
	"soko-huru":  "demo-key-soko-huru",
	"usan-tuukh": "demo-key-usan-tuukh",
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run programs of two tenants through three nodes and stand-ins in this process",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "programs", Value: 40, Usage: "number of programs, sub-agents not counted"},
			&cli.FloatFlag{Name: "speed", Value: 2, Usage: "how many times faster than real time engines and callers run"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "log-level", Value: "error"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, command *cli.Command) error {
	log.SetLevelFromString(command.String("log-level"))
	spec, err := demoSpec()
	if err != nil {
		return err
	}
	site, err := startDemo(ctx, spec, command.Float("speed"))
	if err != nil {
		return err
	}
	defer site.Close()
	fmt.Printf("%d nodes in %d zones before %d engines; callers' addresses: %s\n",
		len(site.Names()), len(spec.Cluster.Zones), len(site.Fleet.Engines), strings.Join(site.Addresses(), " "))
	report, err := load.Run(ctx, load.Options{
		Spec:        spec,
		Seeds:       []uint64{command.Uint64("seed")},
		Targets:     []load.Target{site.Target("demo")},
		Keys:        demoKeys,
		Speed:       command.Float("speed"),
		MaxPrograms: command.Int("programs"),
		MaxDuration: demoLimit,
		Progress:    printProgress,
	})
	if err != nil {
		return err
	}
	fmt.Println()
	return report.WriteText(os.Stdout)
}

func demoSpec() (*workload.Spec, error) {
	content, err := examples.Files.ReadFile(demoWorkload)
	if err != nil {
		return nil, err
	}
	return workload.Parse(content)
}

// demoConfiguration reads the example templates and tenants and points their
// tools at toolsURL.
func demoConfiguration(toolsURL string) (*template.Configuration, error) {
	var all template.Change
	for _, file := range demoTemplates {
		content, err := fs.ReadFile(examples.Files, file)
		if err != nil {
			return nil, err
		}
		text := strings.ReplaceAll(string(content), exampleToolsURL, strings.TrimRight(toolsURL, "/"))
		change, problems := template.Parse(file, []byte(text))
		if len(problems) > 0 {
			return nil, problems
		}
		all.PutTemplates = append(all.PutTemplates, change.PutTemplates...)
		all.PutTenants = append(all.PutTenants, change.PutTenants...)
	}
	return new(template.Configuration).With(1, all), nil
}

func startDemo(ctx context.Context, spec *workload.Spec, speed float64) (*localcluster.Site, error) {
	ctx, cancel := context.WithTimeout(ctx, demoStart)
	defer cancel()
	return localcluster.StartWorkload(ctx, localcluster.WorkloadOptions{
		Spec:    spec,
		Model:   demoModel,
		Speed:   speed,
		Initial: demoConfiguration,
	})
}

func printProgress(progress load.Progress) {
	fmt.Printf("\r%s: programs %d started, %d finished, %d failed; calls %d ",
		progress.Target, progress.Programs, progress.Finished, progress.Failed, progress.Calls)
}
