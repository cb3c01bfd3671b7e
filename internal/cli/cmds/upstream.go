package cmds

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/node/admin"
)

func upstreamCommand() *cli.Command {
	mark := func(name, use, text string) *cli.Command {
		return &cli.Command{
			Name: name, Usage: use, ArgsUsage: "UPSTREAM",
			Description: text + " The order goes to all entry nodes. Exit code 1 if one\nwas not reached; it takes the order over from the others within 10 s of being reachable.\n\n" +
				"   berylledge upstream " + name + " gen-1 --address 10.0.0.5:7001 --operator ann",
			Flags:  changeFlags(),
			Action: order("UPSTREAM", func(id string) string { return "/upstreams/" + id + "/" + name }, plainOrder),
		}
	}
	return &cli.Command{
		Name: "upstream", Usage: "list upstreams, take them out of service and back",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list the upstreams that an entry node knows",
				Description: "   berylledge upstream list --address 10.0.0.5:7001",
				Flags:       remoteFlags(),
				Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
					var list []admin.UpstreamInfo
					if err := r.get(ctx, "/upstreams", &list); err != nil {
						return err
					}
					return show(c, list, "UPSTREAM KIND SERVES DATA-CENTRE STATE RUNNING WAITING SLOTS ADDRESS", upstreamRows(list))
				}),
			},
			mark("drain", "give an upstream no new work until it starts again", "Work in flight goes on."),
			mark("eject", "give an upstream no new work until it is restored", "Work in flight goes on."),
			mark("restore", "end a drain or an eject", "The upstream gets work again."),
		},
	}
}

func upstreamRows(list []admin.UpstreamInfo) (rows [][]any) {
	for _, u := range list {
		rows = append(rows, []any{u.ID, u.Kind, strings.Join(u.Serves, ","), u.DataCentre, u.State, u.Running, u.Waiting, u.Slots, u.Address})
	}
	return rows
}

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "list and clear requests that are suspected of crashing upstreams",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list isolated and suspected content fingerprints",
				Description: "   berylledge quarantine list --address 10.0.0.5:7001",
				Flags:       remoteFlags(),
				Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
					var list []admin.Suspect
					if err := r.get(ctx, "/quarantine", &list); err != nil {
						return err
					}
					return show(c, list, "FINGERPRINT STATUS DEATHS UNTIL", suspectRows(list))
				}),
			},
			{
				Name: "clear", Usage: "end the isolation or suspicion of a fingerprint", ArgsUsage: "FINGERPRINT",
				Description: "   berylledge quarantine clear 5f2a --address 10.0.0.5:7001 --operator ann",
				Flags:       changeFlags(),
				Action:      order("FINGERPRINT", func(id string) string { return "/quarantine/" + id + "/clear" }, plainOrder),
			},
		},
	}
}

func suspectRows(list []admin.Suspect) (rows [][]any) {
	for _, s := range list {
		rows = append(rows, []any{s.Fingerprint, s.Status, s.Deaths, stampText(s.UntilMS)})
	}
	return rows
}
