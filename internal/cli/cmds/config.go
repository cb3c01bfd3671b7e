package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/node/admin"
	"github.com/berylledge/berylledge/pkg/fleet"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "check, change and follow the configuration",
		Commands: []*cli.Command{
			configCheckCommand(), configDiffCommand(), configApplyCommand(), configGetCommand(), configHistoryCommand(),
			configRollbackCommand(), configWaitCommand(),
		},
	}
}

// readConfigFile reads and checks a configuration; "-" is standard input.
func readConfigFile(path string) (*fleet.Config, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, usage(err)
	}
	cfg, err := fleet.Parse(data)
	if err != nil {
		return nil, err
	}
	if problems := cfg.Check(); len(problems) > 0 {
		return nil, errors.New(problemsText(path, problems))
	}
	return cfg, nil
}

func configCheckCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "list all problems of a configuration file", ArgsUsage: "FILE",
		Description: "Needs no running process. FILE - is standard input.\n\n   berylledge config check config.json",
		Action: func(_ context.Context, c *cli.Command) error {
			if _, err := configArg(c); err != nil {
				return err
			}
			fmt.Fprintln(c.Root().Writer, c.Args().First()+": no problems")
			return nil
		},
	}
}

func configDiffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "compare a file with the latest revision", ArgsUsage: "FILE",
		Description: "Prints one line for each difference, nothing if both are equal.\n\n" +
			"   berylledge config diff config.json --address 10.0.0.5:7001",
		Flags: remoteFlags(),
		Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
			cfg, err := configArg(c)
			if err != nil {
				return err
			}
			var rev admin.Revision
			if err := r.get(ctx, "/config", &rev); err != nil {
				return err
			}
			before, err := contentOf(rev)
			if err != nil {
				return err
			}
			changes := append([]fleet.Change{}, fleet.Diff(before, cfg)...)
			if c.String(flagOutput) == "json" {
				return writeJSON(c.Root().Writer, map[string]any{"revision": rev.Revision, "changes": changes})
			}
			for _, change := range changes {
				fmt.Fprintln(c.Root().Writer, change)
			}
			return nil
		}),
	}
}

// contentOf returns the configuration of a revision.
func contentOf(rev admin.Revision) (*fleet.Config, error) {
	if rev.Config == nil {
		return nil, errors.Newf("the content of revision %d is no longer kept", rev.Revision)
	}
	return fleet.Parse(rev.Config)
}

// putFlags are the flags of a change of the configuration.
func putFlags() []cli.Flag {
	return changeFlags(
		&cli.Uint64Flag{Name: "expect", Required: true, Usage: "latest revision that the change was made for; 0 if there is none yet"},
		&cli.StringFlag{Name: "change-id", Usage: "name of this change, kept when it is sent again; made and printed when empty"},
		&cli.StringFlag{Name: "note", Usage: "reason, for the audit history"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until the new revision is in force everywhere"},
	)
}

func configApplyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "make a file the next revision", ArgsUsage: "FILE",
		Description: "The change is accepted only if --expect is still the latest revision. If the answer is lost, the command\n" +
			"sends the change again under the same id, so it takes effect once; after exit code 4 do the same by hand.\n\n" +
			"   berylledge config apply config.json --address 10.0.0.5:7001 --operator ann --expect 6 --note \"more for crew\" --wait",
		Flags: putFlags(),
		Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
			cfg, err := configArg(c)
			if err != nil {
				return err
			}
			return putConfig(ctx, c, r, cfg.Print())
		}),
	}
}

func configRollbackCommand() *cli.Command {
	return &cli.Command{
		Name: "rollback", Usage: "make the content of an earlier revision the next revision", ArgsUsage: "REVISION",
		Description: "The history is never cut: the rollback is a new revision.\n\n" +
			"   berylledge config rollback 5 --address 10.0.0.5:7001 --operator ann --expect 7 --wait",
		Flags: putFlags(),
		Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
			n, err := revisionArg(c)
			if err != nil {
				return err
			}
			var rev admin.Revision
			if err := r.get(ctx, fmt.Sprintf("/config/revisions/%d", n), &rev); err != nil {
				return err
			}
			cfg, err := contentOf(rev)
			if err != nil {
				return err
			}
			return putConfig(ctx, c, r, cfg.Print())
		}),
	}
}

// configArg reads the configuration file that the argument FILE names.
func configArg(c *cli.Command) (*fleet.Config, error) {
	file, err := arg(c, "FILE")
	if err != nil {
		return nil, err
	}
	return readConfigFile(file)
}

func revisionArg(c *cli.Command) (uint64, error) {
	text, err := arg(c, "REVISION")
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, usage(errors.Newf("REVISION %q: a number from 1 is required", text))
	}
	return n, nil
}

func putConfig(ctx context.Context, c *cli.Command, r *remote, body []byte) error {
	id := c.String("change-id")
	if id == "" {
		id = uuid.NewString()
		fmt.Fprintln(c.Root().ErrWriter, "change id", id)
	}
	var result admin.PutResult
	err := r.do(ctx, http.MethodPut, "/config", admin.Put{
		Order: orderOf(c), ExpectedRevision: c.Uint64("expect"), ChangeID: id, Note: c.String("note"), Config: json.RawMessage(body),
	}, &result)
	if err != nil {
		var conflict *conflictError
		if errors.As(err, &conflict) && c.String(flagOutput) == "json" {
			return errors.CombineErrors(err, writeJSON(c.Root().Writer, conflict.result))
		}
		return err
	}
	if err := show(c, result, "STATUS REVISION CHANGE", [][]any{{result.Status, result.Revision, id}}); err != nil {
		return err
	}
	if c.Bool("wait") && !c.Bool(flagDryRun) {
		return waitInForce(ctx, c, r, result.Revision)
	}
	return nil
}

func configGetCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print the latest or another revision",
		Description: "Prints the configuration as config apply takes it; --output json prints it with its audit fields.\n\n" +
			"   berylledge config get --address 10.0.0.5:7001 > config.json\n" +
			"   berylledge config get --address 10.0.0.5:7001 --revision 5 --output json",
		Flags: remoteFlags(&cli.Uint64Flag{Name: "revision", Usage: "0 is the latest"}),
		Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
			path := "/config"
			if n := c.Uint64("revision"); n != 0 {
				path = fmt.Sprintf("/config/revisions/%d", n)
			}
			var rev admin.Revision
			if err := r.get(ctx, path, &rev); err != nil {
				return err
			}
			if c.String(flagOutput) == "json" {
				return writeJSON(c.Root().Writer, rev)
			}
			cfg, err := contentOf(rev)
			if err != nil {
				return err
			}
			_, err = c.Root().Writer.Write(cfg.Print())
			return err
		}),
	}
}

func configHistoryCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list revisions, the latest first",
		Description: "   berylledge config history --address 10.0.0.5:7001 --count 10",
		Flags:       remoteFlags(&cli.IntFlag{Name: "count", Value: 20, Usage: "number of revisions"}),
		Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
			var list []admin.Revision
			if err := r.get(ctx, fmt.Sprintf("/config/history?count=%d", c.Int("count")), &list); err != nil {
				return err
			}
			return show(c, list, "REVISION TIME OPERATOR CHANGE SAME-AS NOTE", historyRows(list))
		}),
	}
}

func historyRows(list []admin.Revision) (rows [][]any) {
	for _, v := range list {
		same := ""
		if v.SameAs != 0 {
			same = strconv.FormatUint(v.SameAs, 10)
		}
		rows = append(rows, []any{v.Revision, stampText(v.AtMS), v.Operator, v.ChangeID, same, v.Note})
	}
	return rows
}

func configWaitCommand() *cli.Command {
	return &cli.Command{
		Name: "wait", Usage: "wait until a revision is in force on all processes", ArgsUsage: "REVISION",
		Description: "Prints progress to standard error. Exit code 1 if --timeout passes first.\n\n" +
			"   berylledge config wait 7 --address 10.0.0.5:7001 --timeout 10s",
		Flags: remoteFlags(),
		Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
			n, err := revisionArg(c)
			if err != nil {
				return err
			}
			return waitInForce(ctx, c, r, n)
		}),
	}
}

// waitPause is the time between two looks; a revision is in force everywhere within seconds.
const waitPause = 200 * time.Millisecond

// waitInForce waits until each process has the revision or a later one, and prints each change of the count.
func waitInForce(ctx context.Context, c *cli.Command, r *remote, revision uint64) error {
	last := ""
	for {
		var s admin.ConfigStatus
		err := r.get(ctx, "/config/status", &s)
		if err == nil {
			missing, n := notInForce(s, revision), len(s.Nodes)
			if line := fmt.Sprintf("revision %d is in force on %d of %d processes", revision, n-len(missing), n); line != last {
				fmt.Fprintln(c.Root().ErrWriter, line)
				last = line
			}
			if len(missing) == 0 && n > 0 {
				return nil
			}
			err = errors.Newf("revision %d is not in force on %v", revision, missing)
		}
		if clock.Sleep(ctx, r.clock, waitPause) != nil {
			return &exitError{ExitFailed, err}
		}
	}
}

func notInForce(s admin.ConfigStatus, revision uint64) (out []string) {
	for _, n := range s.Nodes {
		if n.Revision < revision || !n.Reported {
			out = append(out, n.Node)
		}
	}
	return out
}
