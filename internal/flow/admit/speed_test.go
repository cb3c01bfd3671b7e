package admit_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/berylledge/berylledge/internal/flow/admit"
)

// BenchmarkDecision measures one arrival and one finish on a machine whose teams all have requests queued in three ranks.
// The slope over the number of teams is an input of the capacity model of an entry node.
func BenchmarkDecision(b *testing.B) {
	for _, teams := range []int{5, 50, 500, 2300} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			p := fixedLimit(64, admit.Rank{Share: 0.5}, admit.Rank{Share: 0.3}, admit.Rank{Share: 0.1})
			p.MaxQueue = 6 * teams
			p.Teams = map[string]admit.Team{}
			for i := range teams {
				p.Teams["team-"+strconv.Itoa(i)] = admit.Team{MaxPerSecond: 1e9, MaxInFlight: 1e6}
			}
			m := admit.New(p)
			names := make([]string, 0, teams)
			for i := range teams {
				names = append(names, "team-"+strconv.Itoa(i))
			}
			now, running, next := start, []string{}, 0
			arrive := func() {
				r := request(strconv.Itoa(next), names[next*7919%teams], next%3)
				r.Deadline = now.Add(time.Hour)
				next++
				running = append(running, admitted(m.Step(now, admit.Arrive{Request: r}))...)
			}
			for m.Stats().Queued < 3*teams {
				arrive()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				arrive()
				id := running[0]
				running = append(running[1:], admitted(m.Step(now, admit.Finish{ID: id, Cost: 1, QueueDelay: -1}))...)
			}
		})
	}
}
