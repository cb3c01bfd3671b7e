package cmds

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/state/store"
)

func stateCommand() *cli.Command {
	return &cli.Command{
		Name: "state", Usage: "inspect and restore the data folder of a control node that does not run",
		Commands: []*cli.Command{
			{
				Name: "inspect", Usage: "describe a data folder", ArgsUsage: "DIR",
				Description: "   berylledge state inspect /var/lib/berylledge/state",
				Flags:       []cli.Flag{outputFlag("table", "json")},
				Action:      inspectState,
			},
			{
				Name: "verify", Usage: "check all records of a data folder", ArgsUsage: "DIR",
				Description: "   berylledge state verify /var/lib/berylledge/state",
				Action: func(_ context.Context, c *cli.Command) error {
					dir, err := folderArg(c)
					if err != nil {
						return err
					}
					if err := store.Verify(dir); err != nil {
						return err
					}
					fmt.Fprintln(c.Root().Writer, dir+": no damage found")
					return nil
				},
			},
			{
				Name: "restore", Usage: "start a new control group from an exported snapshot", ArgsUsage: "EXPORT",
				Description: "Makes the folder --data of a new group's only voter. Use it after the majority of a group was lost for good;\n" +
					"the new group has another cluster id, and other control nodes join it with empty folders. What was\n" +
					"acknowledged after the export is lost.\n\n" +
					"   berylledge state restore export-1795000000000.snapshot --data /var/lib/berylledge/state --node c1 --peer-listen 10.0.0.5:7002",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "data", Required: true, Usage: "empty or missing folder"},
					&cli.StringFlag{Name: "node", Required: true, Usage: "name of the process"},
					&cli.StringFlag{Name: "peer-listen", Required: true, Usage: "its IP number and port for the other processes"},
					&cli.BoolFlag{Name: flagDryRun, Usage: "only read and check the export"},
					outputFlag("table", "json"),
				},
				Action: restoreState,
			},
		},
	}
}

// folderArg returns a folder that exists, because opening a store would make one.
func folderArg(c *cli.Command) (string, error) {
	dir, err := arg(c, "DIR")
	if err != nil {
		return "", err
	}
	if _, err := os.Stat(dir); err != nil {
		return "", usage(err)
	}
	return dir, nil
}

func inspectState(_ context.Context, c *cli.Command) error {
	if err := checkOutput(c); err != nil {
		return err
	}
	dir, err := folderArg(c)
	if err != nil {
		return err
	}
	r, err := store.Inspect(dir)
	if err != nil {
		return err
	}
	return show(c, map[string]any{
		"member": r.Identity.Member.ID, "address": r.Identity.Member.Address, "cluster": fmt.Sprintf("%x", r.Identity.Cluster),
		"term": r.HardState.Term, "vote": r.HardState.Vote, "commit": r.HardState.Commit, "first": r.First, "last": r.Last,
		"snapshot_index": r.SnapshotIndex, "snapshot_bytes": r.SnapshotBytes, "file_bytes": r.FileBytes,
	}, "FIELD VALUE", [][]any{
		{"member", r.Identity.Member.ID},
		{"address", r.Identity.Member.Address},
		{"cluster", fmt.Sprintf("%x", r.Identity.Cluster)},
		{"term", r.HardState.Term},
		{"vote", r.HardState.Vote},
		{"commit", r.HardState.Commit},
		{"entries", fmt.Sprintf("%d to %d", r.First, r.Last)},
		{"snapshot", fmt.Sprintf("index %d, %d bytes", r.SnapshotIndex, r.SnapshotBytes)},
		{"file", fmt.Sprintf("%d bytes", r.FileBytes)},
	})
}

func restoreState(_ context.Context, c *cli.Command) error {
	if err := checkOutput(c); err != nil {
		return err
	}
	path, err := arg(c, "EXPORT")
	if err != nil {
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return usage(err)
	}
	e, err := store.ReadExport(bytes.NewReader(data))
	if err != nil {
		return err
	}
	from := fmt.Sprintf("%x", e.Cluster)
	if c.Bool(flagDryRun) {
		return show(c, map[string]any{"from_cluster": from, "index": e.Snapshot.Index, "dry_run": true},
			"FROM-CLUSTER INDEX OUTCOME", [][]any{{from, e.Snapshot.Index, "dry run"}})
	}
	id, err := store.Restore(c.String("data"), e, c.String("node"), c.String("peer-listen"), rand.Reader)
	if err != nil {
		return err
	}
	cluster := fmt.Sprintf("%x", id.Cluster)
	return show(c, map[string]any{"from_cluster": from, "index": e.Snapshot.Index, "cluster": cluster, "member": id.Member.ID},
		"FROM-CLUSTER INDEX CLUSTER MEMBER", [][]any{{from, e.Snapshot.Index, cluster, id.Member.ID}})
}
