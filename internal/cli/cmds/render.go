package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/node/admin"
	"github.com/berylledge/berylledge/pkg/fleet"
)

// outputFlag lists the forms of a command's output, the default first.
func outputFlag(forms ...string) cli.Flag {
	return &cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: forms[0], Usage: strings.Join(forms, " or ")}
}

func checkOutput(c *cli.Command) error {
	for _, f := range c.Flags {
		s, ok := f.(*cli.StringFlag)
		if !ok || s.Name != flagOutput {
			continue
		}
		if !slices.Contains(strings.Split(s.Usage, " or "), c.String(flagOutput)) {
			return usage(errors.Newf("--output %q: %s is allowed", c.String(flagOutput), s.Usage))
		}
	}
	return nil
}

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// show writes v as JSON, or as a table with one row for each entry.
func show(c *cli.Command, v any, head string, rows [][]any) error {
	if c.String(flagOutput) == "json" {
		return writeJSON(c.Root().Writer, v)
	}
	return writeTable(c.Root().Writer, head, rows)
}

// writeTable aligns columns. An empty cell becomes "-", so that the columns can be cut by fields.
func writeTable(out io.Writer, head string, rows [][]any) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(strings.Fields(head), "\t"))
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, v := range row {
			if cells[i] = fmt.Sprint(v); cells[i] == "" {
				cells[i] = "-"
			}
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

func stampText(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z") }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// showDone writes the answer to an order. An order that did not reach all processes fails, so that a script notices.
func showDone(c *cli.Command, d admin.Done) error {
	var rows [][]any
	for _, n := range d.Reached {
		rows = append(rows, []any{d.Action, d.Target, n, doneText(d)})
	}
	for _, u := range d.Unreached {
		rows = append(rows, []any{d.Action, d.Target, u.Node, "not reached: " + u.Reason})
	}
	if len(rows) == 0 {
		rows = append(rows, []any{d.Action, d.Target, "", doneText(d)})
	}
	if err := show(c, d, "ACTION TARGET NODE OUTCOME", rows); err != nil {
		return err
	}
	if len(d.Unreached) > 0 {
		return &exitError{ExitFailed, errors.Newf("%d processes were not reached", len(d.Unreached))}
	}
	return nil
}

func doneText(d admin.Done) string {
	if d.DryRun {
		return "dry run"
	}
	return "done"
}

func problemsText(what string, problems []fleet.Problem) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.Error()
	}
	return what + ":\n  " + strings.Join(lines, "\n  ")
}
