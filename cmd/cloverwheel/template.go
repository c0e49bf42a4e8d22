package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cloverwheel/cloverwheel/internal/client"
	"github.com/cloverwheel/cloverwheel/internal/config"
	"github.com/cloverwheel/cloverwheel/internal/settings"
	"github.com/cloverwheel/cloverwheel/internal/strictyaml"
)

// documentSeparator stands between documents of one YAML stream.
const documentSeparator = "---\n"

func templateCommand() *cli.Command {
	return &cli.Command{
		Name:  "template",
		Usage: "apply, read and roll back templates and tenants",
		Commands: []*cli.Command{
			{Name: "apply", ArgsUsage: "FILE...", Flags: changeFlags(), Action: operatorAction(applyTemplates)},
			{Name: "get", ArgsUsage: "NAME", Flags: operatorFlags(tenantFlag()), Action: operatorAction(getTemplate)},
			{Name: "list", Flags: operatorFlags(tenantFlag()), Action: operatorAction(listTemplates)},
			{Name: "remove", ArgsUsage: "NAME", Flags: changeFlags(tenantFlag()), Action: operatorAction(removeTemplate)},
			{Name: "history", Flags: operatorFlags(objectFlag(), &cli.IntFlag{Name: "limit", Value: 20}), Action: operatorAction(showHistory)},
			{Name: "diff", ArgsUsage: "FROM TO", Flags: operatorFlags(), Action: operatorAction(showDiff)},
			{Name: "rollback", ArgsUsage: "VERSION", Usage: "make an earlier version's content the newest version", Flags: changeFlags(objectFlag()), Action: operatorAction(rollBack)},
		},
	}
}

// changeFlags are the flags of every command that changes the configuration.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return operatorFlags(append([]cli.Flag{
		&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the change was made on; without it the change may only create"},
		&cli.BoolFlag{Name: "force", Usage: "replace whatever is present"},
		&cli.BoolFlag{Name: "dry-run", Usage: "validate and show the effect only"},
		&cli.StringFlag{Name: "author", Sources: cli.EnvVars("USER")},
		&cli.StringFlag{Name: "message"},
	}, more...)...)
}

func changeOf(command *cli.Command) client.Change {
	change := client.Change{
		Base:    command.Uint64("base"),
		Author:  command.String("author"),
		Message: command.String("message"),
		DryRun:  command.Bool("dry-run"),
	}
	if command.Bool("force") {
		change.Base = config.AnyBase
	}
	return change
}

func objectFlag() cli.Flag {
	return &cli.StringFlag{Name: "object", Usage: "only `OBJECT`, such as \"template market-assistant\" or \"tenant soko-huru\""}
}

func tenantFlag() cli.Flag {
	return &cli.BoolFlag{Name: "tenants", Usage: "tenants in place of templates"}
}

func applyTemplates(ctx context.Context, command *cli.Command, c *client.Client) error {
	files := command.Args().Slice()
	if len(files) == 0 {
		return cli.Exit("template apply: no file given; name template or tenant files", exitUsage)
	}
	document, err := joinFiles(files)
	if err != nil {
		return err
	}
	result, err := c.Apply(ctx, document, changeOf(command))
	if err != nil {
		return err
	}
	return showApplied(command, result)
}

// joinFiles puts the documents of several files into one stream, so that they
// are accepted or refused together.
func joinFiles(files []string) ([]byte, error) {
	var joined bytes.Buffer
	for i, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, strictyaml.Problems{settings.Problem{File: file, What: err.Error(), Remedy: "name a readable file"}}
		}
		if i > 0 {
			joined.WriteString("\n" + documentSeparator)
		}
		joined.Write(content)
	}
	return joined.Bytes(), nil
}

func showApplied(command *cli.Command, result config.ApplyResult) error {
	return show(command, result, func(table *tabwriter.Writer) {
		verb := "accepted"
		if result.DryRun {
			verb = "would become"
		}
		fmt.Fprintf(table, "%s version %d\n", verb, result.Version)
		printDiffers(table, result.Differs)
	})
}

// printDiffers writes one line for each field that differs.
func printDiffers(table *tabwriter.Writer, differs []config.FieldDiff) {
	for _, d := range differs {
		fmt.Fprintf(table, "%s\t%s\t%s\t→ %s\n", d.Object, d.Field, shown(d.Before), shown(d.After))
	}
}

// shown marks a value that is not there.
func shown(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

func removeTemplate(ctx context.Context, command *cli.Command, c *client.Client) error {
	name, err := argument(command, "NAME")
	if err != nil {
		return err
	}
	remove := c.RemoveTemplate
	if command.Bool("tenants") {
		remove = c.RemoveTenant
	}
	result, err := remove(ctx, name, changeOf(command))
	if err != nil {
		return err
	}
	return showApplied(command, result)
}

func getTemplate(ctx context.Context, command *cli.Command, c *client.Client) error {
	name, err := argument(command, "NAME")
	if err != nil {
		return err
	}
	read := c.Template
	if command.Bool("tenants") {
		read = c.Tenant
	}
	document, err := read(ctx, name)
	if err != nil {
		return err
	}
	fmt.Print(document)
	return nil
}

func listTemplates(ctx context.Context, command *cli.Command, c *client.Client) error {
	read := c.Templates
	if command.Bool("tenants") {
		read = c.Tenants
	}
	names, err := read(ctx)
	if err != nil {
		return err
	}
	return show(command, names, func(table *tabwriter.Writer) {
		for _, name := range names.Names {
			fmt.Fprintln(table, name)
		}
	})
}

func showHistory(ctx context.Context, command *cli.Command, c *client.Client) error {
	history, err := c.History(ctx, command.String("object"), command.Int("limit"))
	if err != nil {
		return err
	}
	return show(command, history, func(table *tabwriter.Writer) {
		fmt.Fprintln(table, "VERSION\tMADE\tAUTHOR\tFIELDS\tMESSAGE")
		for _, item := range history.Items {
			fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%s\n", item.Version, item.Made.Format(time.RFC3339), item.Author, len(item.Differs), item.Message)
		}
	})
}

func showDiff(ctx context.Context, command *cli.Command, c *client.Client) error {
	if command.Args().Len() != 2 {
		return cli.Exit("template diff: give two versions, FROM and TO", exitUsage)
	}
	from, err := versionArgument(command.Args().Get(0))
	if err != nil {
		return err
	}
	to, err := versionArgument(command.Args().Get(1))
	if err != nil {
		return err
	}
	diff, err := c.Diff(ctx, from, to)
	if err != nil {
		return err
	}
	return show(command, diff, func(table *tabwriter.Writer) { printDiffers(table, diff.Differs) })
}

func rollBack(ctx context.Context, command *cli.Command, c *client.Client) error {
	text, err := argument(command, "VERSION")
	if err != nil {
		return err
	}
	to, err := versionArgument(text)
	if err != nil {
		return err
	}
	var objects []string
	if object := command.String("object"); object != "" {
		objects = append(objects, object)
	}
	result, err := c.Rollback(ctx, to, objects, changeOf(command))
	if err != nil {
		return err
	}
	return showApplied(command, result)
}

func versionArgument(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, cli.Exit(fmt.Sprintf("%q is not a version; see 'cloverwheel template history'", text), exitUsage)
	}
	return version, nil
}
