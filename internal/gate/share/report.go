package share

import (
	"maps"
	"slices"
	"time"
)

// reportInterval is the time between two reports of a rank.
const reportInterval = time.Second

// Report describes how scarce room of a rank is shared.
type Report struct {
	Rank   int
	Teams  int // with recent work
	Above  int // that get more than their fair share
	Below  int // that get less than half of it
	Team   string
	Given  float64 // part of all work given lately that Team got, the team that got most
	Fair   float64 // its fair part
	Source string  // data centre whose entry VMs got most
	Taken  float64 // part of all work that it got
}

// Reports returns a report for each rank in which room is scarce and that was not reported within the last second.
func (a *Account) Reports(now time.Time) []Report {
	var out []Report
	for number, r := range a.ranks {
		if r == nil || !a.Scarce(now, number) || now.Sub(r.reportedAt) < reportInterval {
			continue
		}
		r.reportedAt = now
		out = append(out, r.report(now, number))
	}
	return out
}

func (r *rankAccount) report(now time.Time, number int) Report {
	out := Report{Rank: number, Teams: len(r.teams.members)}
	for _, name := range slices.Sorted(maps.Keys(r.teams.members)) {
		switch s := r.teams.standing(now, name); {
		case s >= Above:
			out.Above++
		case s == Below:
			out.Below++
		}
	}
	var total, fair float64
	out.Team, out.Given, total = r.teams.most(now)
	if m := r.teams.members[out.Team]; m != nil {
		fair = r.teams.fair(now, m)
	}
	if total > 0 {
		out.Given, out.Fair = out.Given/total, fair/total
	}
	out.Source, out.Taken, total = r.dataCentres.most(now)
	if total > 0 {
		out.Taken /= total
	}
	return out
}

// most returns the member that was given most, what it was given, and the total.
func (g *group) most(now time.Time) (out string, given, total float64) {
	for _, name := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[name]
		m.decay(now)
		total += m.given
		if m.given > given {
			out, given = name, m.given
		}
	}
	return out, given, total
}
