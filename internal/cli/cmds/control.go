package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/node/admin"
	"github.com/berylledge/berylledge/internal/node/ctrl"
)

func controlCommand() *cli.Command {
	change := func(name, use, text string) *cli.Command {
		return &cli.Command{
			Name: name, Usage: use, ArgsUsage: "MEMBER",
			Description: text + "\n\n   berylledge control " + name + " c4 --address 10.0.0.5:7001 --operator ann",
			Flags:       changeFlags(),
			Action: order("MEMBER", func(string) string { return "/control/" + name }, func(c *cli.Command, name string) any {
				return admin.MemberOrder{Order: orderOf(c), Member: name}
			}),
		}
	}
	return &cli.Command{
		Name: "control", Usage: "list and change the members of the control group",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list the members, each as it sees itself",
				Description: "Needs no majority.\n\n   berylledge control list --address 10.0.0.5:7001",
				Flags:       remoteFlags(),
				Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
					var v admin.Control
					if err := r.get(ctx, "/control", &v); err != nil {
						return err
					}
					return show(c, v, "NODE VOTE ROLE TERM LEADER COMMIT REVISION MEMBER", controlRows(v))
				}),
			},
			change("add", "add a running control node as a learner", "A learner receives the log and does not vote; promote it once it has caught up."),
			change("promote", "give a learner a vote", "Refused while the learner lags behind; repeat it then."),
			change("remove", "remove a member", "MEMBER is a name, or a member id if several members have the name."),
			{
				Name: "export", Usage: "write a snapshot of the replicated state into the data folder of a control node",
				Description: "berylledge state restore starts a new group from the file, after the majority was lost for good.\n\n" +
					"   berylledge control export --address 10.0.0.5:7001 --operator ann",
				Flags: changeFlags(),
				Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
					var e ctrl.Export
					if err := r.post(ctx, "/control/export", orderOf(c), &e); err != nil {
						return err
					}
					return show(c, e, "NODE BYTES PATH", [][]any{{e.Node, e.Bytes, e.Path}})
				}),
			},
		},
	}
}

func controlRows(v admin.Control) (rows [][]any) {
	votes := map[string]string{}
	for _, m := range v.Members {
		if m.Role != "leader" {
			continue
		}
		for _, l := range m.Members {
			votes[l.ID] = yesNo(!l.Learner)
		}
	}
	for _, m := range v.Members {
		rows = append(rows, []any{m.Node, votes[m.ID], m.Role, m.Term, ctrl.Name(m.Leader), m.Commit, m.Revision, m.ID})
	}
	for _, u := range v.Unreached {
		rows = append(rows, []any{u.Node, "", "not reached: " + u.Reason, "", "", "", "", ""})
	}
	return rows
}
