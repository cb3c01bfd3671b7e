// Package cmds is the command tree of berylledge.
//
// Usage:
//
//	os.Exit(cmds.Main(context.Background(), os.Args, os.Stdout, os.Stderr, nil))
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/cli/docgen"
	"github.com/berylledge/berylledge/internal/node/flags"
	"github.com/berylledge/berylledge/internal/node/gwnode"
	"github.com/berylledge/berylledge/internal/node/meter"
	"github.com/berylledge/berylledge/pkg/fleet"
)

// Exit codes, documented in docs/cli.md.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the command ran and did not succeed
	ExitUsage    = 2 // wrong flags, arguments or settings; nothing was started
	ExitConflict = 3 // another change won, or the request was refused as not run
	ExitUnknown  = 4 // the outcome is not known
)

// exitError ends the process with a code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usage(err error) error { return &exitError{ExitUsage, err} }

// Main runs the command that args name and returns the exit code. SIGTERM and SIGINT end the context that commands get.
// dialects are offered by the gate command besides the project's own.
func Main(ctx context.Context, args []string, out, errOut io.Writer, dialects Dialects) int {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := root(out, errOut, dialects).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "berylledge:", err)
	var exit *exitError
	var settings *flags.InvalidError
	var config *fleet.InvalidError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &settings), errors.As(err, &config):
		return ExitUsage
	default:
		return ExitFailed
	}
}

func root(out, errOut io.Writer, dialects Dialects) *cli.Command {
	return &cli.Command{
		Name:                  "berylledge",
		Usage:                 "serve multi-stage model pipelines",
		Version:               version(),
		Writer:                out,
		ErrWriter:             errOut,
		EnableShellCompletion: true,
		Suggest:               true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {}, // Main maps errors to exit codes
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return usage(err)
		},
		Commands: []*cli.Command{
			serveCommand(), gateCommand(dialects), configCommand(), nodeCommand(), upstreamCommand(), teamCommand(), requestCommand(),
			quarantineCommand(), controlCommand(), stateCommand(), timelineCommand(), demoCommand(), fakeCommand(), loadCommand(), benchCommand(), docsCommand(),
		},
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "development"
	}
	return info.Main.Version
}

func docsCommand() *cli.Command {
	page := func(name, usage string, text func() string) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, Action: func(_ context.Context, c *cli.Command) error {
			_, err := io.WriteString(c.Root().Writer, text())
			return err
		}}
	}
	return &cli.Command{
		Name: "docs", Usage: "print a generated page of the documentation", Hidden: true,
		Commands: []*cli.Command{
			page("events", "the catalogue of events", event.Markdown),
			page("metrics", "the catalogue of metrics", meter.Markdown),
			page("gate-metrics", "the catalogue of metrics of gate", gwnode.MetricsPage),
			page("schema", "the JSON Schema of the configuration", docgen.Schema),
			page("config", "the fields of the configuration", docgen.Config),
			page("settings", "the settings of serve", func() string { return docgen.Settings(flags.Flags()) }),
		},
	}
}
