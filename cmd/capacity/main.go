// Command capacity measures the cost of membership, configuration and relay per node and prints the tables of
// docs/CAPACITY.md; see `capacity --help`.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/test/capac"
)

func main() {
	cmd := &cli.Command{
		Name:  "capacity",
		Usage: "measure bytes, messages, CPU time and memory of the fleet's control traffic on simulated nodes",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "nodes", Value: []int{10, 25, 50, 100, 200}, Usage: "numbers of nodes for the slopes"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the runs"},
			&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"},
			&cli.BoolFlag{Name: "check", Value: true, Usage: "also measure the design size of 350 nodes"},
			&cli.StringFlag{Name: "write", Usage: "rewrite the tables between the markers of this `FILE`"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(_ context.Context, c *cli.Command) error {
	if out := c.String("output"); out != "text" && out != "json" {
		return errors.Newf("--output is %q, not text or json", out)
	}
	for _, n := range c.IntSlice("nodes") {
		if n < 10 || n > 1000 {
			return errors.Newf("--nodes has %d, which is not between 10 and 1000", n)
		}
	}
	r := capac.Measure(c.IntSlice("nodes"), c.Uint64("seed"), c.Bool("check"), func(s string) {
		fmt.Fprintln(os.Stderr, s)
	})
	if path := c.String("write"); path != "" {
		if err := capac.Rewrite(path, r); err != nil {
			return err
		}
	}
	if c.String("output") == "json" {
		b, err := r.JSON()
		if err != nil {
			return err
		}
		_, err = os.Stdout.Write(b)
		return err
	}
	fmt.Print(r.Text())
	return nil
}
