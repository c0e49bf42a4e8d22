package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/node"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/settings"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run one node; SIGTERM drains it, a second SIGTERM or SIGINT stops it at once",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`; flags override it"},
			&cli.StringFlag{Name: "node", Usage: "name of the node"},
			&cli.StringFlag{Name: "internal", Usage: "`IP:PORT` for other nodes; port 0 takes a free one"},
			&cli.StringFlag{Name: "public", Usage: "`IP:PORT` for callers and operators"},
			&cli.StringFlag{Name: "advertise", Usage: "`IP:PORT` that other nodes dial"},
			&cli.StringFlag{Name: "zone"},
			&cli.StringFlag{Name: "region"},
			&cli.StringFlag{Name: "platform", Usage: "base `URL` of table, objects and machine list"},
			&cli.StringFlag{Name: "table", Usage: "base `URL` of the table service"},
			&cli.StringFlag{Name: "objects", Usage: "base `URL` of the object store"},
			&cli.StringFlag{Name: "machines", Usage: "base `URL` of the machine list"},
			&cli.StringSliceFlag{Name: "peer-key", Usage: "key shared by the nodes; repeat to rotate"},
			&cli.StringSliceFlag{Name: "operator-key"},
			&cli.Uint32Flag{Name: "shards", Usage: "set once, at the cluster's creation"},
			&cli.IntFlag{Name: "replicas", Usage: "of each shard"},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error"},
			&cli.StringSliceFlag{Name: "initial", Usage: "template and tenant `FILE` for a cluster that has no configuration"},
			&cli.DurationFlag{Name: "drain-limit", Value: node.DefaultDrainLimit, Usage: "longest planned stop"},
			&cli.StringFlag{Name: "policy", Value: worker.DefaultPolicy, Usage: "scheduling policy"},
		},
		Commands: nodeOperations(),
		Action:   runNode,
	}
}

func runNode(ctx context.Context, command *cli.Command) error {
	chosen, err := settings.Load(command.String("config"), overridesOf(command))
	if err != nil {
		return err
	}
	policy, ok := worker.PolicyNamed(command.String("policy"))
	if !ok {
		return cli.Exit("node: unknown policy; see 'cloverwheel experiment --help' for the names", exitUsage)
	}
	initial, err := readConfiguration(command.StringSlice("initial"))
	if err != nil {
		return err
	}
	log.SetLevelFromString(string(chosen.LogLevel))
	n, err := node.New(node.Options{
		Settings:   chosen,
		Platform:   platformOf(chosen.Platform),
		Initial:    initial,
		Policy:     policy,
		DrainLimit: command.Duration("drain-limit"),
	})
	if err != nil {
		return err
	}
	fmt.Printf("internal=%s public=%s\n", n.InternalAddress(), n.PublicAddress())
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go obeySignals(ctx, n, stop)
	return n.Run(ctx)
}

// obeySignals drains on the first SIGTERM and stops at once on a second one or
// on SIGINT.
func obeySignals(ctx context.Context, n *node.Node, stop context.CancelFunc) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	draining := false
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-signals:
			if draining || received == syscall.SIGINT {
				log.WithField("signal", received.String()).Warn("stopping at once; requests in progress are cut")
				stop()
				return
			}
			draining = true
			n.Drain(ctx)
		}
	}
}

func overridesOf(command *cli.Command) settings.Overrides {
	return settings.Overrides{
		Node:         command.String("node"),
		Internal:     command.String("internal"),
		Public:       command.String("public"),
		Advertise:    command.String("advertise"),
		Zone:         command.String("zone"),
		Region:       command.String("region"),
		Platform:     command.String("platform"),
		Table:        command.String("table"),
		Objects:      command.String("objects"),
		Machines:     command.String("machines"),
		PeerKeys:     command.StringSlice("peer-key"),
		OperatorKeys: command.StringSlice("operator-key"),
		Shards:       command.Uint32("shards"),
		Replicas:     command.Int("replicas"),
		LogLevel:     command.String("log-level"),
	}
}

// platformTimeout bounds one exchange with a platform service.
const platformTimeout = 5 * time.Second

// platformOf returns HTTP clients of the platform's services.
func platformOf(urls settings.Platform) node.Platform {
	return node.Platform{
		Table:    outside.NewHTTPTable(outside.Options{Address: urls.Table, Timeout: platformTimeout}),
		Objects:  outside.NewHTTPObjects(outside.Options{Address: urls.Objects, Timeout: platformTimeout}),
		Machines: outside.NewHTTPMachines(outside.Options{Address: urls.Machines, Timeout: platformTimeout}),
		Tools:    outside.NewHTTPTools(outside.Options{}),
		Dial: func(machine outside.Machine) engine.Client {
			return engine.NewHTTP(engine.HTTPOptions{Address: machine.Address})
		},
	}
}

// readConfiguration reads template and tenant files; no files mean nil.
func readConfiguration(files []string) (*template.Configuration, error) {
	if len(files) == 0 {
		return nil, nil
	}
	var all template.Change
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, cli.Exit(err.Error()+"; name a readable file", exitUsage)
		}
		change, problems := template.Parse(file, data)
		if len(problems) > 0 {
			return nil, problems
		}
		all.PutTemplates = append(all.PutTemplates, change.PutTemplates...)
		all.PutTenants = append(all.PutTenants, change.PutTenants...)
	}
	empty := new(template.Configuration)
	if problems := empty.ValidateChange(all); len(problems) > 0 {
		return nil, problems
	}
	return empty.With(1, all), nil
}
