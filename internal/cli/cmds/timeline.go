package cmds

import (
	"context"
	_ "embed" // for the page
	"fmt"
	"html/template"
	"io"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/node/admin"
)

//go:embed timeline.html
var timelinePage string

var timelineTemplate = template.Must(template.New("timeline").Parse(timelinePage))

func timelineRemoteFlags(more ...cli.Flag) []cli.Flag {
	flags := remoteFlags(more...)
	for i, f := range flags {
		if s, ok := f.(*cli.StringFlag); ok && s.Name == flagOutput {
			flags[i] = outputFlag("text", "json", "html")
		}
	}
	return flags
}

// timelineFilters are the flags that are sent as parameters of the same name.
var timelineFilters = []struct{ name, usage string }{
	{"request", "events of this request"},
	{"team", "events of this team"},
	{"upstream", "events of this upstream"},
	{"node", "events of this process; only it is asked"},
	{"name", "events whose name begins so"},
	{"since", "RFC 3339 time, or a duration before now such as 5m"},
	{"until", "RFC 3339 time, or a duration before now"},
}

func timelineCommand() *cli.Command {
	var flags []cli.Flag
	for _, f := range timelineFilters {
		flags = append(flags, &cli.StringFlag{Name: f.name, Usage: f.usage})
	}
	return &cli.Command{
		Name: "timeline", Usage: "print the events of all processes in the order of their clocks",
		Description: "Names the processes that could not be reached. The HTML page has a lane for each process and needs nothing else.\n\n" +
			"   berylledge timeline --address 10.0.0.5:7001 --upstream gen-1 --since 10m\n" +
			"   berylledge timeline --address 10.0.0.5:7001 --request r-17 --output html > r-17.html",
		Flags: timelineRemoteFlags(flags...),
		Action: withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
			q := url.Values{}
			title := "all events"
			for _, f := range timelineFilters {
				v := c.String(f.name)
				if v == "" {
					continue
				}
				if d, err := time.ParseDuration(v); err == nil && (f.name == "since" || f.name == "until") {
					v = r.clock.Now().Add(-d).UTC().Format(time.RFC3339Nano)
				}
				q.Set(f.name, v)
				title = f.name + " " + v
			}
			return printRemoteTimeline(ctx, c, r, q, title)
		}),
	}
}

func printRemoteTimeline(ctx context.Context, c *cli.Command, r *remote, q url.Values, title string) error {
	var t admin.Timeline
	if err := r.get(ctx, "/timeline?"+q.Encode(), &t); err != nil {
		return err
	}
	out := c.Root().Writer
	switch c.String(flagOutput) {
	case "json":
		return writeJSON(out, t)
	case "html":
		return writeTimelineHTML(out, title, t)
	}
	printTimeline(out, t.Events)
	for _, u := range t.Unreached {
		fmt.Fprintf(out, "not reached, its events are missing: %s (%s)\n", u.Node, u.Reason)
	}
	return nil
}

type timelineRow struct {
	Time  string
	Cells []timelineCell // one for each process
}

type timelineCell struct {
	Name, Fields string
	Code         event.Code
}

func writeTimelineHTML(out io.Writer, title string, t admin.Timeline) error {
	lanes := slices.Clone(t.Processes)
	for _, e := range t.Events {
		if !slices.Contains(lanes, e.Node) {
			lanes = append(lanes, e.Node)
		}
	}
	slices.Sort(lanes)
	var rows []timelineRow
	for _, e := range t.Events {
		row := timelineRow{Time: e.Stamp.Time().Format("15:04:05.000000"), Cells: make([]timelineCell, len(lanes))}
		fields := make([]string, len(e.Fields))
		for i, f := range e.Fields {
			fields[i] = f.Name + "=" + f.Value
		}
		row.Cells[slices.Index(lanes, e.Node)] = timelineCell{e.Name, strings.Join(fields, " "), e.Code}
		rows = append(rows, row)
	}
	return timelineTemplate.Execute(out, map[string]any{"Title": title, "Lanes": lanes, "Rows": rows, "Unreached": t.Unreached})
}
