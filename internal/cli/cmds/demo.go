package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/node/flags"
	"github.com/berylledge/berylledge/internal/node/serve"
	"github.com/berylledge/berylledge/internal/test/fake"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole pipeline on loopback: three nodes and a set of stand-in upstreams in this process",
		Description: "Starts three nodes with the roles entry and control, and stand-ins for each kind of upstream; sends one\n" +
			"request of each rank and a booking twice with one key; prints the streamed answers, time and cost by stage\n" +
			"and the time line of the booking; and stops gracefully. Nothing outside loopback and a temporary folder is\n" +
			"used. There is no TLS: this mode is for the demo alone.\n\n   berylledge demo",
		Action: func(ctx context.Context, c *cli.Command) error { return runDemo(ctx, c.Root().Writer) },
	}
}

const demoTimeout = 50 * time.Second

// demoConfig is a pipeline of five stages: four that may repeat and a booking that may not.
func demoConfig() *fleet.Config {
	return &fleet.Config{
		FormatVersion: fleet.FormatVersion,
		Ranks: []fleet.Rank{
			{Name: "urgent", Share: 0.5}, {Name: "normal", Share: 0.3}, {Name: "background", Share: 0.2},
		},
		Teams:  []fleet.Team{{Name: "crew", Weight: 2}, {Name: "office"}, {Name: "landowner"}},
		Models: []fleet.Model{{Name: "pond-7b"}},
		Pipelines: []fleet.Pipeline{{Name: "ask", DeadlineMS: 8000, Stages: []fleet.Stage{
			{Name: "encode", Kind: fleet.Encode, ExpectedMS: 5},
			{Name: "retrieve", Kind: fleet.Retrieve, ExpectedMS: 5},
			{Name: "rerank", Kind: fleet.Rerank, ExpectedMS: 5},
			{Name: "answer", Kind: fleet.Generate, Model: "pond-7b", MaxTokens: 24, ExpectedMS: 60},
			{Name: "book", Kind: fleet.Call, Service: "booking", NotRepeatable: true, When: &fleet.Condition{Param: "book", Equals: "yes"}},
		}}},
	}
}

// demo is the running system.
type demo struct {
	nodes []*serve.Process
	ups   []*fake.Upstream
	dir   string
}

func runDemo(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d := &demo{}
	defer d.close()
	if err := d.start(ctx, clock.Real(), demoConfig()); err != nil {
		return err
	}
	fmt.Fprintf(out, "three nodes serve callers on %s, %s and %s\n", d.nodes[0].Address(), d.nodes[1].Address(), d.nodes[2].Address())
	if err := d.requests(ctx, out); err != nil {
		return err
	}
	d.timeline(out, "booking-1")
	cut := 0
	for _, n := range d.nodes {
		cut += n.Drain(ctx)
	}
	fmt.Fprintf(out, "\nall nodes stopped as planned; %d requests were cut off\n", cut)
	return nil
}

func (d *demo) start(ctx context.Context, c clock.Clock, cfg *fleet.Config) error {
	var err error
	if d.dir, err = os.MkdirTemp("", "berylledge-demo-"); err != nil {
		return err
	}
	config := filepath.Join(d.dir, "config.json")
	if err := os.WriteFile(config, cfg.Print(), 0o600); err != nil {
		return err
	}
	addresses, err := freeAddresses(3)
	if err != nil {
		return err
	}
	var control []string
	for i, a := range addresses {
		control = append(control, fmt.Sprintf("n%d=%s", i+1, a))
	}
	for i := range addresses {
		s := flags.Settings{
			Node: fmt.Sprintf("n%d", i+1), Roles: []string{flags.RoleEntry, flags.RoleControl}, DataCentre: "a", Region: "r",
			Listen: "127.0.0.1:0", PeerListen: addresses[i], Control: control, Data: filepath.Join(d.dir, fmt.Sprintf("n%d", i+1)),
			ConfigFile: config, EntryValid: 500 * time.Millisecond, SpreadDelay: 500 * time.Millisecond,
			DrainLimit: 10 * time.Second, LogLevel: "error",
		}
		if err := s.Check(); err != nil {
			return err
		}
		p, err := serve.New(s, serve.Options{Clock: c})
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, p)
	}
	if err := d.startUpstreams(c); err != nil {
		return err
	}
	return d.await(ctx, c)
}

func (d *demo) startUpstreams(c clock.Clock) error {
	for i, o := range []fake.Options{
		{ID: "encoder-1", Kind: upapi.KindEncoder, Services: []string{"encode"}},
		{ID: "retriever-1", Kind: upapi.KindRetriever, Services: []string{"retrieve"}},
		{ID: "reranker-1", Kind: upapi.KindReranker, Services: []string{"rerank"}},
		{ID: "runner-1", Kind: upapi.KindEngine, Models: []string{"pond-7b"}},
		{ID: "runner-2", Kind: upapi.KindEngine, Models: []string{"pond-7b"}},
		{ID: "booking-desk", Kind: upapi.KindService, Services: []string{"booking"}},
	} {
		o.Clock, o.DataCentre, o.Region = c, "a", "r"
		o.Entries = []string{d.nodes[i%len(d.nodes)].Address()} // one node is enough: the nodes tell one another
		u, err := fake.New(o)
		if err != nil {
			return err
		}
		d.ups = append(d.ups, u)
	}
	return nil
}

// await waits until each node has a configuration in force and knows all upstreams.
func (d *demo) await(ctx context.Context, c clock.Clock) error {
	for _, n := range d.nodes {
		for !n.Entry().Ready() || len(n.Entry().Upstreams().View().All) < len(d.ups) {
			if err := clock.Sleep(ctx, c, 20*time.Millisecond); err != nil {
				return fmt.Errorf("the nodes did not become ready: %w", err)
			}
		}
	}
	return nil
}

func (d *demo) requests(ctx context.Context, out io.Writer) error {
	var seeds []string
	for _, n := range d.nodes {
		seeds = append(seeds, n.Address())
	}
	booking := caller.Submit{
		Pipeline: "ask", Rank: "normal", Input: "book a visit to pond 12", Params: map[string]string{"book": "yes"},
		IdempotencyKey: "visit-12", KeyCreatedMS: d.nodes[0].Events().Hybrid().Now().Time().UnixMilli(),
	}
	again := booking
	booking.ID, again.ID = "booking-1", "booking-2"
	for _, r := range []struct {
		title, team string
		submit      caller.Submit
	}{
		{"urgent, team crew", "crew", caller.Submit{Pipeline: "ask", Rank: "urgent", Input: "history of pond 12 before we re-puddle"}},
		{"normal, team office", "office", caller.Submit{Pipeline: "ask", Rank: "normal", Input: "which ponds need straw this week"}},
		{"background, team landowner", "landowner", caller.Submit{Pipeline: "ask", Rank: "background", Input: "is this algae harmful to cattle"}},
		{"booking, team office", "office", booking},
		{"the same booking again, under another request id", "office", again},
	} {
		fmt.Fprintf(out, "\n== %s\n", r.title)
		if err := stream(ctx, out, caller.New(caller.Options{Seeds: seeds, Team: r.team}), r.submit); err != nil {
			return err
		}
	}
	return nil
}

// stream sends a request and prints its answer as it comes, then time and cost by stage.
func stream(ctx context.Context, out io.Writer, c *caller.Client, s caller.Submit) error {
	defer c.Close()
	a, err := c.Do(ctx, s, func(e caller.Event) {
		if e.Name == caller.EventToken {
			printToken(out, e.Data)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\n   %-10s %-14s %10s %9s %8s %8s\n", "stage", "upstream", "ms", "attempts", "prefill", "tokens")
	for _, st := range a.Stages {
		switch {
		case st.Skipped:
			fmt.Fprintf(out, "   %-10s skipped\n", st.Stage)
		case st.Replayed:
			fmt.Fprintf(out, "   %-10s recorded outcome, not run again: %s\n", st.Stage, st.Output)
		default:
			fmt.Fprintf(out, "   %-10s %-14s %10.2f %9d %8d %8d %s\n", st.Stage, st.Upstream, float64(st.ElapsedUS)/1000,
				st.Attempts, st.Prefill, st.Generated, st.Output)
		}
	}
	fmt.Fprintf(out, "   whole answer: %d tokens in %.1f ms\n", a.End.Tokens, float64(a.End.ElapsedUS)/1000)
	return nil
}

func (d *demo) timeline(out io.Writer, request string) {
	fmt.Fprintf(out, "\n== time line of request %s\n", request)
	var all []event.Event
	for _, n := range d.nodes {
		all = append(all, n.Events().Select(event.Filter{Request: request})...)
	}
	printTimeline(out, all)
}

func (d *demo) close() {
	for _, u := range d.ups {
		u.Close()
	}
	for _, n := range d.nodes {
		n.Close()
	}
	if d.dir != "" && strings.Contains(d.dir, "berylledge-demo-") {
		_ = os.RemoveAll(d.dir)
	}
}

var errNoPort = errors.New("no free port on loopback")
