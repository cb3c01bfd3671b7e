package cmds

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/node/entry"
	"github.com/berylledge/berylledge/internal/test/fake"
	"github.com/berylledge/berylledge/internal/test/inmem"
	"github.com/berylledge/berylledge/internal/test/load"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name: "bench", Usage: "measure the project itself",
		Commands: []*cli.Command{{
			Name: "path", Usage: "cost of the path against calling a stand-in engine directly, in one run",
			Description: "   berylledge bench path --rate 100 --seconds 8 --seed 1",
			Flags: []cli.Flag{
				&cli.FloatFlag{Name: "rate", Value: 100, Usage: "requests a second"},
				&cli.IntFlag{Name: "tokens", Value: 100, Usage: "tokens of an answer"},
				&cli.FloatFlag{Name: "seconds", Value: 4, Usage: "length of each part"},
				&cli.IntFlag{Name: "rounds", Value: 5, Usage: "rounds of direct and path; medians are reported"},
				&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			},
			Action: benchPath,
		}, {
			Name: "streams", Usage: "memory and CPU of open streams against the same streams without the system",
			Description: "   berylledge bench streams --open 100 --tokens 200",
			Flags: []cli.Flag{
				&cli.IntSliceFlag{Name: "open", Value: []int{10, 30, 100, 300, 1000}, Usage: "numbers of open streams"},
				&cli.IntFlag{Name: "tokens", Value: 200, Usage: "tokens of a stream"},
			},
			Action: benchStreams,
		}, {
			Name: "claim", Usage: "a call with a claim in the ledger of three control nodes against the same call without one",
			Description: "   berylledge bench claim --rate 200 --seconds 8 --seed 1",
			Flags: []cli.Flag{
				&cli.FloatFlag{Name: "rate", Value: 200, Usage: "calls a second, half of them with a claim"},
				&cli.FloatFlag{Name: "seconds", Value: 8, Usage: "length of the run"},
				&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			},
			Action: benchClaim,
		}},
	}
}

// pathBench is one entry node and one engine on loopback.
type pathBench struct {
	clock  clock.Clock
	node   *entry.Node
	engine *fake.Upstream
}

const benchModel = "bench"

func newPathBench(ctx context.Context, tokens int) (*pathBench, error) {
	c := clock.Real()
	b := &pathBench{clock: c}
	var err error
	b.node, err = entry.New(entry.Options{
		Node: "bench", DataCentre: "a", Region: "r", Address: "127.0.0.1:0", Clock: c,
		Events: event.New(event.Options{Node: "bench", Clock: c}), Ledger: inmem.New(), Seed: 1,
	})
	if err != nil {
		return nil, err
	}
	b.node.SetConfig(1, &fleet.Config{
		FormatVersion: fleet.FormatVersion, Ranks: []fleet.Rank{{Name: "urgent", Share: 1}}, Teams: []fleet.Team{{Name: "t"}},
		Pipelines: []fleet.Pipeline{{Name: "p", DeadlineMS: 20_000, Stages: []fleet.Stage{
			{Name: "answer", Kind: fleet.Generate, Model: benchModel, MaxTokens: tokens, ExpectedMS: 300},
		}}},
	}, 1)
	b.engine, err = fake.New(fake.Options{
		ID: "engine", Kind: upapi.KindEngine, Models: []string{benchModel}, Slots: 4096, Clock: c, DataCentre: "a", Region: "r",
		Entries: []string{b.node.Address()}, TokenTime: 2 * time.Millisecond,
	})
	if err != nil {
		b.node.Close()
		return nil, err
	}
	for len(b.node.Upstreams().View().All) == 0 {
		if clock.Sleep(ctx, c, 5*time.Millisecond) != nil {
			b.close()
			return nil, ctx.Err()
		}
	}
	return b, nil
}

func (b *pathBench) close() {
	b.engine.Close()
	b.node.Close()
}

// part is one measured part of the run.
type part struct {
	report *load.Report
	cpu    time.Duration
}

func benchPath(ctx context.Context, c *cli.Command) error {
	tokens := c.Int("tokens")
	b, err := newPathBench(ctx, tokens)
	if err != nil {
		return err
	}
	defer b.close()
	s := load.Scenario{Rate: c.Float("rate"), Seconds: c.Float("seconds"), Seed: c.Uint64("seed"), Classes: []load.Class{
		{Name: "all", Weight: 1, Team: "t", Rank: "urgent", Pipeline: "p"},
	}}
	direct := load.NewDirect(b.engine.Address(), benchModel, tokens)
	defer direct.Close()
	o := load.Options{Clock: b.clock, Entries: []string{b.node.Address()}, Scenario: s}
	base := o
	base.Do = direct.Do
	var without, path []part
	// Alternating the parts spreads changes of the machine's load over both.
	for range c.Int("rounds") {
		without = append(without, measure(ctx, base))
		path = append(path, measure(ctx, o))
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "stopped")
		}
	}
	printParts(c.Root().Writer, without, path)
	return nil
}

func measure(ctx context.Context, o load.Options) part {
	before := cpuTime()
	r := load.Run(ctx, o)
	return part{r, cpuTime() - before}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// figure is one line of the comparison.
type figure struct {
	name string
	of   func(part) float64
}

func figures() []figure {
	ms := func(f func(*load.Group) int64) func(part) float64 {
		return func(p part) float64 { return float64(f(p.report.All)) / 1000 }
	}
	return []figure{
		{"answers", func(p part) float64 { return float64(p.report.All.Whole) }},
		{"tokens/s", func(p part) float64 { return float64(p.report.Tokens) / p.report.Seconds }},
		{"first token p50 ms", ms(func(g *load.Group) int64 { return g.FirstToken.P50 })},
		{"first token p95 ms", ms(func(g *load.Group) int64 { return g.FirstToken.P95 })},
		{"first token p99 ms", ms(func(g *load.Group) int64 { return g.FirstToken.P99 })},
		{"between tokens p50 ms", ms(func(g *load.Group) int64 { return g.Gap.P50 })},
		{"between tokens p95 ms", ms(func(g *load.Group) int64 { return g.Gap.P95 })},
		{"between tokens p99 ms", ms(func(g *load.Group) int64 { return g.Gap.P99 })},
		{"CPU us/request", func(p part) float64 { return float64(p.cpu.Microseconds()) / float64(max(p.report.All.Sent, 1)) }},
		{"CPU ms/1000 tokens", func(p part) float64 { return float64(p.cpu.Microseconds()) / float64(max(p.report.Tokens, 1)) }},
	}
}

// printParts prints the medians over the rounds: without the system, with it, the median of the differences by round, and
// the ratio.
func printParts(out io.Writer, without, path []part) {
	w := tabwriter.NewWriter(out, 2, 4, 2, ' ', 0)
	fmt.Fprintln(w, "figure\tdirect\tpath\tadded\tratio")
	for _, f := range figures() {
		var a, b, d []float64
		for i := range without {
			x, y := f.of(without[i]), f.of(path[i])
			a, b, d = append(a, x), append(b, y), append(d, y-x)
		}
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%.2f\n", f.name, median(a), median(b), median(d), median(b)/median(a))
	}
	_ = w.Flush() // the writer below reports errors on its own
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}

// benchStreams opens streams at the same moment and compares the memory and CPU that they take with and without the
// system in between. Client and engine are in the same process in both cases, so the difference is the system's.
func benchStreams(ctx context.Context, c *cli.Command) error {
	tokens := c.Int("tokens")
	b, err := newPathBench(ctx, tokens)
	if err != nil {
		return err
	}
	defer b.close()
	d := load.NewDirect(b.engine.Address(), benchModel, tokens)
	defer d.Close()
	w := tabwriter.NewWriter(c.Root().Writer, 2, 4, 2, ' ', 0)
	fmt.Fprintln(w, "open streams\tdirect heap KiB/stream\tpath heap KiB/stream\tadded KiB/stream\tdirect CPU ms/1000 tokens\tpath CPU\tadded\twhole")
	for _, n := range c.IntSlice("open") {
		var heap, cpu [2]float64
		whole := 0
		for i, do := range []func(context.Context, load.Class, caller.Submit, func()) (*caller.Answer, error){d.Do, nil} {
			s := load.Scenario{Rate: float64(n) * 100, Seconds: 0.01, Seed: 1, Classes: []load.Class{
				{Name: "all", Weight: 1, Team: "t", Rank: "urgent", Pipeline: "p"},
			}}
			h, p := b.openStreams(ctx, load.Options{Clock: b.clock, Entries: []string{b.node.Address()}, Scenario: s, Do: do})
			heap[i] = h
			cpu[i] = float64(p.cpu.Microseconds()) / float64(max(p.report.Tokens, 1))
			whole += p.report.All.Whole
		}
		fmt.Fprintf(w, "%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\n", n, heap[0], heap[1], heap[1]-heap[0], cpu[0], cpu[1], cpu[1]-cpu[0], whole)
	}
	return w.Flush()
}

// openStreams runs a part and returns the growth of the live heap in KiB for each stream, taken while they are open.
func (b *pathBench) openStreams(ctx context.Context, o load.Options) (float64, part) {
	before := liveHeap()
	during := make(chan uint64, 1)
	timer := b.clock.AfterFunc(250*time.Millisecond, func() { during <- liveHeap() })
	defer timer.Stop()
	p := measure(ctx, o)
	grown := float64(<-during) - float64(before)
	return grown / 1024 / float64(max(p.report.All.Sent, 1)), p
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// benchClaim sends the same call with and without a claim, mixed in one run, through three nodes whose ledger writes to
// files.
func benchClaim(ctx context.Context, c *cli.Command) error {
	cfg := demoConfig()
	cfg.Pipelines = append(cfg.Pipelines, []fleet.Pipeline{
		{Name: "claimed", DeadlineMS: 8000, Stages: []fleet.Stage{{Name: "call", Kind: fleet.Call, Service: "booking", NotRepeatable: true, ExpectedMS: 10}}},
		{Name: "plain", DeadlineMS: 8000, Stages: []fleet.Stage{{Name: "call", Kind: fleet.Call, Service: "booking", ExpectedMS: 10}}},
	}...)
	d := &demo{}
	defer d.close()
	if err := d.start(ctx, clock.Real(), cfg); err != nil {
		return err
	}
	var seeds []string
	for _, n := range d.nodes {
		seeds = append(seeds, n.Address())
	}
	r := load.Run(ctx, load.Options{Clock: clock.Real(), Entries: seeds, Scenario: load.Scenario{
		Name: "claim", Rate: c.Float("rate"), Seconds: c.Float("seconds"), Seed: c.Uint64("seed"),
		Classes: []load.Class{
			{Name: "claimed", Weight: 1, Team: "office", Rank: "normal", Pipeline: "claimed", Booking: true},
			{Name: "plain", Weight: 1, Team: "crew", Rank: "normal", Pipeline: "plain"},
		},
	}})
	r.Table(c.Root().Writer)
	return nil
}
