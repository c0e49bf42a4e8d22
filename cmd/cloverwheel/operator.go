package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cloverwheel/cloverwheel/internal/client"
)

// Environment variables that stand for the operators' flags.
const (
	addressVariable = "CLOVERWHEEL_ADDRESS"
	keyVariable     = "CLOVERWHEEL_OPERATOR_KEY"
)

// operatorTimeout bounds one operator request with all its retries.
const operatorTimeout = 30 * time.Second

// operatorFlags are the flags of every command that speaks to a cluster.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: "address", Usage: "`HOST:PORT` of a node's public listener; repeat for more nodes", Sources: cli.EnvVars(addressVariable)},
		&cli.StringFlag{Name: "key", Usage: "operator key", Sources: cli.EnvVars(keyVariable)},
		&cli.BoolFlag{Name: "json", Usage: "write JSON"},
	}, more...)
}

// operatorAction runs act with a client made from the flags.
func operatorAction(act func(ctx context.Context, command *cli.Command, c *client.Client) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		addresses := command.StringSlice("address")
		if len(addresses) == 0 {
			return cli.Exit("no address; give --address HOST:PORT or set "+addressVariable, exitUsage)
		}
		c, err := client.New(client.Options{Addresses: addresses, Key: command.String("key")})
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		return act(ctx, command, c)
	}
}

// argument returns the one positional argument, or a usage error that names it.
func argument(command *cli.Command, name string) (string, error) {
	if command.Args().Len() != 1 {
		return "", cli.Exit(fmt.Sprintf("%s: give exactly one %s", command.FullName(), name), exitUsage)
	}
	return command.Args().First(), nil
}

// show writes value as JSON where that was asked for, and otherwise as text.
func show(command *cli.Command, value any, text func(*tabwriter.Writer)) error {
	if command.Bool("json") {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	text(table)
	return table.Flush()
}

func programCommand() *cli.Command {
	return &cli.Command{
		Name:  "program",
		Usage: "list, show and end programs",
		Commands: []*cli.Command{
			{
				Name:   "list",
				Flags:  operatorFlags(&cli.StringFlag{Name: "tenant"}, &cli.IntFlag{Name: "limit", Value: 100}),
				Action: operatorAction(listPrograms),
			},
			{Name: "show", ArgsUsage: "PROGRAM", Flags: operatorFlags(), Action: operatorAction(showProgram)},
			{Name: "end", ArgsUsage: "PROGRAM", Flags: operatorFlags(), Action: operatorAction(endProgram)},
		},
	}
}

func listPrograms(ctx context.Context, command *cli.Command, c *client.Client) error {
	list, err := c.Programs(ctx, command.String("tenant"), command.Int("limit"))
	if err != nil {
		return err
	}
	return show(command, list, func(table *tabwriter.Writer) {
		fmt.Fprintln(table, "PROGRAM\tTENANT\tTEMPLATE\tTURNS\tTOKENS\tENDED")
		for _, p := range list.Programs {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%t\n", p.ID, p.Tenant, p.Template, p.Turns, p.Tokens, p.Ended)
		}
	})
}

func showProgram(ctx context.Context, command *cli.Command, c *client.Client) error {
	return withProgram(ctx, command, c.AnyProgram)
}

func endProgram(ctx context.Context, command *cli.Command, c *client.Client) error {
	return withProgram(ctx, command, c.EndAnyProgram)
}

func withProgram[P any](ctx context.Context, command *cli.Command, act func(context.Context, string) (P, error)) error {
	name, err := argument(command, "PROGRAM")
	if err != nil {
		return err
	}
	program, err := act(ctx, name)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(program)
}

// nodeOperations are the operators' commands under "node".
func nodeOperations() []*cli.Command {
	return []*cli.Command{
		{Name: "list", Usage: "list the nodes of the cluster", Flags: operatorFlags(), Action: operatorAction(listNodes)},
		{Name: "drain", Usage: "make a node finish its work and stop", ArgsUsage: "NODE", Flags: operatorFlags(), Action: operatorAction(drainNode)},
	}
}

func listNodes(ctx context.Context, command *cli.Command, c *client.Client) error {
	list, err := c.Nodes(ctx)
	if err != nil {
		return err
	}
	return show(command, list, func(table *tabwriter.Writer) {
		fmt.Fprintln(table, "NODE\tSTATE\tZONE\tREGION\tINTERNAL\tPUBLIC")
		for _, n := range list.Nodes {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", n.Node, n.State, n.Zone, n.Region, n.Address, n.Public)
		}
	})
}

func drainNode(ctx context.Context, command *cli.Command, c *client.Client) error {
	name, err := argument(command, "NODE")
	if err != nil {
		return err
	}
	if err := c.Drain(ctx, name); err != nil {
		return err
	}
	fmt.Printf("%s drains\n", name)
	return nil
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "show how far the newest configuration has come",
		Commands: []*cli.Command{
			{Name: "status", Flags: operatorFlags(), Action: operatorAction(showConfigStatus)},
		},
	}
}

func showConfigStatus(ctx context.Context, command *cli.Command, c *client.Client) error {
	status, err := c.ConfigurationStatus(ctx)
	if err != nil {
		return err
	}
	return show(command, status, func(table *tabwriter.Writer) {
		fmt.Fprintln(table, "NODE\tZONE\tVERSION\tIN FORCE\tHEARD\tFRESH\tERROR")
		for _, n := range status.Nodes {
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%t\t%s\n", n.Node, n.Zone, n.Version, rounded(n.InForce), rounded(n.ConfirmedAge), n.Fresh, strings.TrimSpace(n.Error))
		}
	})
}

// rounded keeps times readable in tables.
func rounded(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }
