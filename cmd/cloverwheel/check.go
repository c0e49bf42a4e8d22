package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/cloverwheel/cloverwheel/internal/settings"
	"github.com/cloverwheel/cloverwheel/internal/strictyaml"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate settings, template and tenant files without starting anything",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, command *cli.Command) error {
			files := command.Args().Slice()
			if len(files) == 0 {
				return cli.Exit("check: no file given; name settings, template or tenant files", exitUsage)
			}
			if problems := settings.Check(files...); len(problems) > 0 {
				return strictyaml.Problems(problems)
			}
			fmt.Printf("%d file(s) in order\n", len(files))
			return nil
		},
	}
}
