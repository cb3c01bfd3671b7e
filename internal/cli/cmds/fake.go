package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/test/fake"
	"github.com/berylledge/berylledge/pkg/upapi"
)

func fakeCommand() *cli.Command {
	return &cli.Command{
		Name:  "fake",
		Usage: "run a stand-in upstream",
		Description: "Runs an upstream with predictable answers until it is stopped.\n\n" +
			"   berylledge fake --id enc-1 --kind encoder --service encode --entry 127.0.0.1:7001\n" +
			"   berylledge fake --id gen-1 --kind engine --model pond-7b --slots 64 --entry 127.0.0.1:7001",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Required: true, Usage: "name of the upstream"},
			&cli.StringFlag{Name: "kind", Value: string(upapi.KindService), Usage: "encoder, retriever, reranker, engine or service"},
			&cli.StringSliceFlag{Name: "service", Usage: "service that it offers"},
			&cli.StringSliceFlag{Name: "model", Usage: "model that it has loaded"},
			&cli.StringFlag{Name: "data-centre", Value: "a", Usage: "data centre"},
			&cli.StringFlag{Name: "region", Value: "r", Usage: "region"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP number and port"},
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "address of an entry node to announce to"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "requests at the same time"},
			&cli.DurationFlag{Name: "lease", Value: 3 * time.Second, Usage: "lease of the announcement"},
			&cli.DurationFlag{Name: "stage-time", Value: 2 * time.Millisecond, Usage: "time of a call"},
			&cli.DurationFlag{Name: "token-time", Value: time.Millisecond, Usage: "time of a step of the batch"},
			&cli.BoolFlag{Name: "checks-fence", Usage: "refuse orders with an old fencing number"},
			&cli.BoolFlag{Name: "accepts-orders", Usage: "take platform orders"},
		},
		Action: runFake,
	}
}

func runFake(ctx context.Context, c *cli.Command) error {
	crashed := make(chan struct{})
	u, err := fake.New(fake.Options{
		ID: c.String("id"), Kind: upapi.Kind(c.String("kind")), Services: c.StringSlice("service"),
		Models: c.StringSlice("model"), DataCentre: c.String("data-centre"), Region: c.String("region"),
		Address: c.String("listen"), Slots: c.Int("slots"), Entries: c.StringSlice("entry"), Clock: clock.Real(),
		Lease: c.Duration("lease"), StageTime: c.Duration("stage-time"), TokenTime: c.Duration("token-time"),
		ChecksFence: c.Bool("checks-fence"), AcceptsOrders: c.Bool("accepts-orders"),
		OnCrash: func() { close(crashed) },
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, "upstream", c.String("id"), "listens on", u.Address())
	select {
	case <-crashed:
		return &exitError{ExitFailed, errCrashed}
	case <-ctx.Done():
	}
	leave, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	u.Leave(leave)
	u.Close()
	return nil
}
