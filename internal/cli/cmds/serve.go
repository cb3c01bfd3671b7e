package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/node/flags"
	"github.com/berylledge/berylledge/internal/node/serve"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one process of the system",
		Description: "Runs until SIGTERM or Ctrl-C, which begin a planned stop: the process is no longer given to callers,\n" +
			"serves until its handed-out addresses have expired, finishes requests in flight and exits. A second signal\n" +
			"ends it at once.\n\n" +
			"   berylledge serve --node c1 --roles entry,control --data-centre a --region r --listen 10.0.0.5:7001 \\\n" +
			"     --peer-listen 10.0.0.5:7002 --control c1=10.0.0.5:7002 --data /var/lib/berylledge/state \\\n" +
			"     --config-file config.json\n" +
			"   berylledge serve --node e1 --data-centre a --region r --listen 10.0.0.6:7001 \\\n" +
			"     --peer-listen 10.0.0.6:7002 --join 10.0.0.5:7002\n\n" +
			"Each flag can be given as an environment variable: --peer-listen as BERYLLEDGE_PEER_LISTEN.",
		Flags:  flags.Flags(),
		Action: runServe,
	}
}

func newLogger(s flags.Settings, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: s.Node, Level: hclog.LevelFromString(s.LogLevel), Output: out, JSONFormat: s.LogJSON,
	})
}

func runServe(ctx context.Context, c *cli.Command) error {
	s := flags.From(c)
	if err := s.Check(); err != nil {
		return err
	}
	may := s.Quota()
	may.LimitRuntime()
	p, err := serve.New(s, serve.Options{Clock: clock.Real(), Logger: newLogger(s, c.Root().ErrWriter), Quota: may})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "node %s serves callers on %q and peers on %q\n", s.Node, p.Address(), p.PeerAddress())
	select {
	case <-ctx.Done():
	case <-p.StopAsked():
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
