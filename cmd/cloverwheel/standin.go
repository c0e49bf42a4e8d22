package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/standin"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run stand-ins of the platform's services and of engines on loopback",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "engines", Value: 6, Usage: "number of engines"},
			&cli.StringSliceFlag{Name: "zone", Usage: "zones of the engines, filled in turn"},
			&cli.StringFlag{Name: "region", Value: "local"},
			&cli.StringFlag{Name: "model", Value: "clover-8b"},
			&cli.FloatFlag{Name: "speed", Value: 1, Usage: "how many times faster than real time the engines run"},
			&cli.StringFlag{Name: "table", Value: "127.0.0.1:0", Usage: "`IP:PORT` of the table service"},
			&cli.StringFlag{Name: "objects", Value: "127.0.0.1:0", Usage: "`IP:PORT` of the object store"},
			&cli.StringFlag{Name: "machines", Value: "127.0.0.1:0", Usage: "`IP:PORT` of the machine list"},
			&cli.StringFlag{Name: "tools", Value: "127.0.0.1:0", Usage: "`IP:PORT` of the tools"},
		},
		Action: runStandin,
	}
}

func runStandin(ctx context.Context, command *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fleet, err := standin.NewFleet(standin.FleetOptions{
		Region:          command.String("region"),
		TableAddress:    command.String("table"),
		ObjectsAddress:  command.String("objects"),
		MachinesAddress: command.String("machines"),
		ToolsAddress:    command.String("tools"),
		Engines: []standin.EngineGroup{{
			Count:  command.Int("engines"),
			Zones:  command.StringSlice("zone"),
			Model:  id.Model(command.String("model")),
			Engine: standin.EngineOptions{Model: enginemodel.DefaultOptions, Speed: command.Float("speed")},
		}},
	})
	if err != nil {
		return err
	}
	fmt.Printf("table=http://%s objects=http://%s machines=http://%s tools=%s\n",
		fleet.TableAddress(), fleet.ObjectsAddress(), fleet.MachinesAddress(), fleet.ToolsURL())
	<-ctx.Done()
	return fleet.Close()
}
