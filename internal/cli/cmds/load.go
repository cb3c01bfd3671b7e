package cmds

import (
	"context"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/test/load"
)

var errCrashed = errors.New("the upstream crashed")

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send open-loop load and report what callers saw",
		Description: "Plays a scenario file against entry nodes.\n\n" +
			"   berylledge load --entry 127.0.0.1:7001 --scenario flood.json --output json",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "address of an entry node to ask first"},
			&cli.StringFlag{Name: "scenario", Required: true, Usage: "scenario as JSON, see docs/load.md"},
			&cli.StringFlag{Name: "output", Value: "table", Usage: "table or json"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	data, err := os.ReadFile(c.String("scenario"))
	if err != nil {
		return usage(err)
	}
	var s load.Scenario
	if err := json.Unmarshal(data, &s); err != nil {
		return usage(errors.Wrap(err, "scenario"))
	}
	r := load.Run(ctx, load.Options{Clock: clock.Real(), Entries: c.StringSlice("entry"), Scenario: s})
	switch c.String("output") {
	case "json":
		return r.JSON(c.Root().Writer)
	case "table":
		r.Table(c.Root().Writer)
		return nil
	default:
		return usage(errors.Newf("--output %q: table or json are allowed", c.String("output")))
	}
}
