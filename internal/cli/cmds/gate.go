package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/node/gwnode"
)

// Dialects are the ways to speak that the gate command offers, by name.
type Dialects map[string]func() *proto.Dialect

// ownDialect is the name of the project's own dialect.
const ownDialect = "own"

func (d Dialects) names() []string {
	out := []string{ownDialect}
	for name := range d {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (d Dialects) find(name string) (*proto.Dialect, error) {
	if name == ownDialect {
		return proto.Own(), nil
	}
	if f := d[name]; f != nil {
		return f(), nil
	}
	return nil, usage(fmt.Errorf("--dialect %q: %s are allowed", name, strings.Join(d.names(), ", ")))
}

func gateCommand(dialects Dialects) *cli.Command {
	return &cli.Command{
		Name:  "gate",
		Usage: "run one process of a fleet that forwards requests",
		Description: "Reads its settings from a file (docs/gate.md). Runs until SIGTERM or Ctrl-C, which begin a planned stop.\n" +
			"SIGHUP reads the settings again.\n\n" +
			"   berylledge gate --settings /etc/berylledge/gate.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings file"},
			&cli.StringFlag{Name: "dialect", Value: ownDialect, Usage: "what callers, upstreams and operators speak: " + strings.Join(dialects.names(), ", ")},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "least level of log lines: trace, debug, info, warn, error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return runGate(ctx, c, dialects) },
	}
}

func runGate(ctx context.Context, c *cli.Command, dialects Dialects) error {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP) // first, because until then the signal ends the process
	defer signal.Stop(hangUp)
	dialect, err := dialects.find(c.String("dialect"))
	if err != nil {
		return err
	}
	level := hclog.LevelFromString(c.String("log-level"))
	if level == hclog.NoLevel {
		return usage(fmt.Errorf("--log-level %q: trace, debug, info, warn and error are allowed", c.String("log-level")))
	}
	path := c.String("settings")
	s, err := gwnode.ReadSettings(path)
	if err != nil {
		return err
	}
	may := s.Limits.Quota()
	may.LimitRuntime()
	sink := event.NewSink(c.Root().Writer)
	defer sink.Close()
	logger := hclog.New(&hclog.LoggerOptions{Name: s.Node, Level: level, Output: sink, JSONFormat: true})
	p, err := gwnode.New(s, gwnode.Options{Dialect: dialect, Clock: clock.Real(), Logger: logger, Path: path, Quota: may})
	if err != nil {
		return err
	}
	for running := true; running; {
		select {
		case <-hangUp:
			p.Reload()
		case <-ctx.Done():
			running = false
		}
	}
	drain, cancel := secondSignal()
	defer cancel()
	cut := p.Drain(drain)
	p.Close()
	if cut > 0 {
		return &exitError{ExitFailed, fmt.Errorf("%d requests were cut off", cut)}
	}
	return nil
}
