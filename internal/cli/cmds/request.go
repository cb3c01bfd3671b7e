package cmds

import (
	"context"
	"fmt"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/node/admin"
	"github.com/berylledge/berylledge/internal/node/entry"
	"github.com/berylledge/berylledge/pkg/caller"
)

func requestCommand() *cli.Command {
	return &cli.Command{
		Name: "request", Usage: "submit, look at, cancel and trace a request",
		Commands: []*cli.Command{
			requestSubmitCommand(),
			{
				Name: "show", Usage: "show the state of a request on an entry node", ArgsUsage: "ID",
				Description: "   berylledge request show r-17 --address 10.0.0.5:7001",
				Flags:       remoteFlags(),
				Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
					id, err := arg(c, "ID")
					if err != nil {
						return err
					}
					var list []entry.RequestState
					if err := r.get(ctx, "/requests/"+url.PathEscape(id), &list); err != nil {
						return err
					}
					return show(c, list, "REQUEST TEAM PIPELINE RANK STATE EVENTS BYTES ACCEPTED DEADLINE", requestRows(list))
				}),
			},
			{
				Name: "cancel", Usage: "cancel a request on an entry node", ArgsUsage: "ID",
				Description: "   berylledge request cancel r-17 --address 10.0.0.5:7001 --operator ann --team office",
				Flags:       changeFlags(&cli.StringFlag{Name: "team", Usage: "team of the request; required if several teams use the id"}),
				Action: order("ID", func(id string) string { return "/requests/" + id + "/cancel" }, func(c *cli.Command, _ string) any {
					return admin.Cancel{Order: orderOf(c), Team: c.String("team")}
				}),
			},
			{
				Name: "trace", Usage: "print the time line of a request over all processes", ArgsUsage: "ID",
				Description: "   berylledge request trace r-17 --address 10.0.0.5:7001",
				Flags:       timelineRemoteFlags(),
				Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
					id, err := arg(c, "ID")
					if err != nil {
						return err
					}
					return printRemoteTimeline(ctx, c, r, url.Values{"request": {id}}, "request "+id)
				}),
			},
		},
	}
}

func requestRows(list []entry.RequestState) (rows [][]any) {
	for _, s := range list {
		rows = append(rows, []any{s.ID, s.Team, s.Pipeline, s.Rank, s.State, s.Events, s.Bytes, stampText(s.AcceptedMS), stampText(s.DeadlineMS)})
	}
	return rows
}

func requestSubmitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", Usage: "send a request as a caller and print its answer",
		Description: "Exit code 3 if the request was refused as not run, 4 if it is not known whether it ran.\n\n" +
			"   berylledge request submit --address 10.0.0.5:7001 --team crew --pipeline ask --rank urgent --input \"history of pond 12\"\n" +
			"   berylledge request submit --address 10.0.0.5:7001 --team office --pipeline ask --rank normal --input \"visit pond 12\" \\\n" +
			"     --param book=yes --key visit-12 --key-created-ms 1795000000000",
		Flags: remoteFlags(
			&cli.StringFlag{Name: "team", Required: true, Usage: "team that the request is made for"},
			&cli.StringFlag{Name: "pipeline", Required: true, Usage: "configured pipeline"},
			&cli.StringFlag{Name: "rank", Required: true, Usage: "configured rank"},
			&cli.StringFlag{Name: "input", Required: true, Usage: "input of the request"},
			&cli.StringFlag{Name: "id", Usage: "id of the request; made when empty"},
			&cli.StringSliceFlag{Name: "param", Usage: "name=value for the conditions of stages"},
			&cli.StringFlag{Name: "key", Usage: "idempotency key"},
			&cli.Int64Flag{Name: "key-created-ms", Usage: "Unix time in milliseconds at which the key was made; the same in each resend"},
			&cli.Int64Flag{Name: "deadline-ms", Usage: "0 means the deadline of the pipeline"},
		),
		Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
			s, err := submitOf(c)
			if err != nil {
				return err
			}
			client := caller.New(caller.Options{Seeds: r.addresses, Team: c.String("team")})
			defer client.Close()
			a, err := client.Do(ctx, s, nil)
			if err != nil {
				return &exitError{exitOfRefusal(err), err}
			}
			if c.String(flagOutput) == "json" {
				return writeJSON(c.Root().Writer, a)
			}
			fmt.Fprintf(c.Root().Writer, "%s\n\n", a.Output)
			return writeTable(c.Root().Writer, "STAGE UPSTREAM MS ATTEMPTS TOKENS OUTPUT", stageRows(a.Stages))
		}),
	}
}

func submitOf(c *cli.Command) (caller.Submit, error) {
	s := caller.Submit{
		ID: c.String("id"), Pipeline: c.String("pipeline"), Rank: c.String("rank"), Input: c.String("input"),
		DeadlineMS: c.Int64("deadline-ms"), IdempotencyKey: c.String("key"), KeyCreatedMS: c.Int64("key-created-ms"),
	}
	for _, p := range c.StringSlice("param") {
		name, value, ok := strings.Cut(p, "=")
		if !ok {
			return s, usage(errors.Newf("--param %q: name=value is required", p))
		}
		if s.Params == nil {
			s.Params = map[string]string{}
		}
		s.Params[name] = value
	}
	return s, nil
}

// exitOfRefusal tells a request that did not run from one of which that is not known.
func exitOfRefusal(err error) int {
	var refusal *caller.Refusal
	var lost *caller.LostError
	ran := caller.DidRun
	switch {
	case errors.As(err, &refusal):
		ran = refusal.Ran
	case errors.As(err, &lost):
		ran = lost.Ran
	}
	switch ran {
	case caller.NotRun:
		return ExitConflict
	case caller.RanUnknown:
		return ExitUnknown
	case caller.DidRun:
	}
	return ExitFailed
}

func stageRows(stages []caller.StageEvent) (rows [][]any) {
	for _, s := range stages {
		output := s.Output
		switch {
		case s.Skipped:
			output = "skipped"
		case s.Replayed:
			output += " (recorded outcome, not run again)"
		}
		rows = append(rows, []any{s.Stage, s.Upstream, fmt.Sprintf("%.2f", float64(s.ElapsedUS)/1000), s.Attempts, s.Generated, output})
	}
	return rows
}
