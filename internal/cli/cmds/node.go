package cmds

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/node/admin"
	"github.com/berylledge/berylledge/pkg/fleet"
)

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name: "node", Usage: "list, stop and look at processes",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list the processes of the fleet",
				Description: "   berylledge node list --address 10.0.0.5:7001",
				Flags:       remoteFlags(),
				Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
					var list []admin.NodeInfo
					if err := r.get(ctx, "/nodes", &list); err != nil {
						return err
					}
					return show(c, list, "NODE ROLES DATA-CENTRE REGION STATE REVISION ADDRESS PEER-ADDRESS", nodeRows(list))
				}),
			},
			{
				Name: "drain", Usage: "begin the planned stop of a process", ArgsUsage: "NODE",
				Description: "The process is no longer given to callers, finishes requests in flight and exits.\n\n" +
					"   berylledge node drain e1 --address 10.0.0.5:7001 --operator ann",
				Flags: changeFlags(),
				Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
					at, err := nodeRemote(ctx, c, r)
					if err != nil {
						return err
					}
					defer at.trans.CloseIdleConnections()
					var done admin.Done
					if err := at.post(ctx, "/node/drain", orderOf(c), &done); err != nil {
						return err
					}
					return showDone(c, done)
				}),
			},
			{
				Name: "status", Usage: "show the load of a process", ArgsUsage: "NODE",
				Description: "   berylledge node status e1 --address 10.0.0.5:7001",
				Flags:       remoteFlags(),
				Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
					at, err := nodeRemote(ctx, c, r)
					if err != nil {
						return err
					}
					defer at.trans.CloseIdleConnections()
					var s admin.NodeStatus
					if err := at.get(ctx, "/node", &s); err != nil {
						return err
					}
					return show(c, s, "NODE DRAINING REVISION LIMIT IN-FLIGHT QUEUED PATIENT", [][]any{{
						s.Node, yesNo(s.Draining), s.Revision, s.Limit, s.InFlight, s.Queued, s.Patient,
					}})
				}),
			},
		},
	}
}

func nodeRows(list []admin.NodeInfo) (rows [][]any) {
	for _, n := range list {
		rows = append(rows, []any{n.Node, strings.Join(n.Roles, ","), n.DataCentre, n.Region, n.State, n.Revision, n.Address, n.PeerAddress})
	}
	return rows
}

// nodeRemote returns a client for the process that the argument names, whose address it asks for.
func nodeRemote(ctx context.Context, c *cli.Command, r *remote) (*remote, error) {
	name, err := arg(c, "NODE")
	if err != nil {
		return nil, err
	}
	var list []admin.NodeInfo
	if err := r.get(ctx, "/nodes", &list); err != nil {
		return nil, err
	}
	for _, n := range list {
		switch {
		case n.Node != name:
		case n.Address == "":
			return nil, &exitError{ExitFailed, errors.Newf("process %s does not listen for operators; it has no --listen", name)}
		default:
			return newRemote([]string{n.Address}), nil
		}
	}
	return nil, &exitError{ExitFailed, errors.Newf("no process is named %s", name)}
}

func teamCommand() *cli.Command {
	return &cli.Command{
		Name: "team", Usage: "list teams",
		Commands: []*cli.Command{{
			Name: "list", Usage: "list the teams of the configuration in force on an entry node",
			Description: "   berylledge team list --address 10.0.0.5:7001",
			Flags:       remoteFlags(),
			Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
				var list []fleet.Team
				if err := r.get(ctx, "/teams", &list); err != nil {
					return err
				}
				var rows [][]any
				for _, t := range list {
					rows = append(rows, []any{t.Name, weightOf(t), limitText(t.MaxPerSecond), limitText(float64(t.MaxInFlight))})
				}
				return show(c, list, "TEAM WEIGHT PER-SECOND IN-FLIGHT", rows)
			}),
		}},
	}
}

// weightOf returns the weight that a team has; 0 in the configuration means 1.
func weightOf(t fleet.Team) float64 {
	if t.Weight == 0 {
		return 1
	}
	return t.Weight
}

func limitText(v float64) string {
	if v == 0 {
		return "no limit"
	}
	return fmt.Sprint(v)
}
