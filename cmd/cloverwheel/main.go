// Command cloverwheel runs nodes, stand-ins and experiments, and is the
// operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/urfave/cli/v3"

	"github.com/cloverwheel/cloverwheel/internal/strictyaml"
)

// Exit codes of the command line.
const (
	exitFailure = 1
	exitUsage   = 2 // wrong flags, settings or templates
)

func main() {
	log.SetHandler(logfmt.New(os.Stderr))
	root := &cli.Command{
		Name:  "cloverwheel",
		Usage: "schedule agent programs over shared model back ends",
		Commands: []*cli.Command{
			demoCommand(),
			nodeCommand(),
			templateCommand(),
			configCommand(),
			programCommand(),
			standinCommand(),
			checkCommand(),
			loadCommand(),
			experimentCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, strings.TrimRight(err.Error(), "\n"))
		os.Exit(exitCode(err))
	}
}

// exitCode is exitUsage for what the operator has to correct.
func exitCode(err error) int {
	var problems strictyaml.Problems
	if errors.As(err, &problems) {
		return exitUsage
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return exitFailure
}
