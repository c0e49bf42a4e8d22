// Command cloverwheeld runs a stateless node of cloverwheel. It proxies client requests to the
// workers and stores durable state in the platform's table.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/cloverwheel/cloverwheel/internal/eventlog"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/server"
	"github.com/cloverwheel/cloverwheel/internal/startsignals"
	"github.com/cloverwheel/cloverwheel/platform"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2 // invalid settings
)

// processDigits is the number of random hexadecimal digits in a process name. They make it
// unique and hard to guess.
const processDigits = 16

// lastFlushTimeout is how long an ending process waits for the reader of its log.
const lastFlushTimeout = 200 * time.Millisecond

func main() {
	root := rootCommand()
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "cloverwheeld",
		Usage: "route requests of agent programs to model workers",
		Commands: []*cli.Command{
			{
				Name:   "serve",
				Usage:  "run a node; SIGTERM shuts it down gracefully, SIGHUP validates the settings file again",
				Flags:  []cli.Flag{settingsFlag(), metricsFlag()},
				Action: serve,
			},
			{
				Name:   "check",
				Usage:  "check the settings file and exit",
				Flags:  []cli.Flag{settingsFlag()},
				Action: check,
			},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func exitCode(err error) int {
	var wrong *platform.SettingsError
	if errors.As(err, &wrong) {
		return exitUsage
	}
	return exitFailure
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "settings",
		Usage:   "settings `FILE` of this node",
		Sources: cli.EnvVars(platform.EnvironmentSettings),
	}
}

func metricsFlag() cli.Flag {
	return &cli.Uint16Flag{Name: "metrics-port", Usage: "`PORT` that serves metrics under " + server.MetricsPath + "; 0 disables them"}
}

func check(_ context.Context, command *cli.Command) error {
	_, err := platform.LoadSettings(command.String("settings"))
	return err
}

func serve(ctx context.Context, command *cli.Command) error {
	signals := startsignals.Received()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	lines := eventlog.New(os.Stdout)
	go lines.Run(ctx)
	defer lines.FlushWithin(lastFlushTimeout)
	logger := &log.Logger{Handler: logfmt.New(lines), Level: log.InfoLevel}
	path := command.String("settings")
	settings, err := awaitSettings(path, signals, logger)
	if errors.Is(err, errStopped) {
		return nil
	}
	if err != nil {
		return err
	}
	if port := command.Uint16("metrics-port"); port > 0 {
		settings.Server.MetricsAddress = net.JoinHostPort(settings.Server.IP, strconv.Itoa(int(port)))
	}
	process := locality.ProcessName(settings.Server.Zone, settings.Server.Node, strings.ReplaceAll(uuid.NewString(), "-", "")[:processDigits])
	metrics := server.NewMetrics()
	guards := server.NewGuards(settings.Server, metrics, logger)
	node := server.New(server.Options{
		Settings:  settings.Server,
		Process:   process,
		Guards:    guards,
		Store:     platform.NewTable(settings.Store, guards.Store, platform.TableMeter{Call: metrics.StoreCall, Bytes: metrics.StoreBytes}, settings.Server.MemoryBytes),
		Transport: platform.WorkerClient{},
		Prober:    platform.WorkerClient{},
		RowDecoders: server.RowDecoders{
			ConfigurationTable: platform.TableOperator,
			WorkersTable:       platform.TableWorkers,
			Configuration:      platform.DecodeConfiguration,
			Worker:             platform.DecodeWorker,
			Evacuation:         platform.DecodeEvacuation,
		},
		DialTimeout: platform.DialTimeout,
		NewClientHandler: func(s *server.Server) http.Handler {
			return &platform.ClientHandler{Forwarder: s.Forwarder(), Draining: s.RedirectsClients}
		},
		NewReadyHandler: func(s *server.Server) http.Handler { return platform.ReadyHandler(s.Ready) },
		Metrics:         metrics,
		Logger:          logger.WithField("node", settings.Server.Node),
	})
	go handleSignals(ctx, signals, node, path, logger)
	return node.Run(ctx)
}

// handleSignals shuts the node down gracefully on SIGTERM and SIGINT. On SIGHUP it validates the
// settings file and logs the result; changed settings apply after a restart.
func handleSignals(ctx context.Context, signals <-chan os.Signal, node *server.Server, path string, logger log.Interface) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-signals:
			if received != syscall.SIGHUP {
				node.Drain()
				continue
			}
			_, err := platform.LoadSettings(path)
			entry := logger.WithField("path", path)
			if err != nil {
				entry.WithError(err).Error("cannot load the settings file; keeping the current settings")
				continue
			}
			entry.Info("settings file is valid; restart the node to apply changes")
		}
	}
}
