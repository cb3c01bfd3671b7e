package crash

import (
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/state/poison"
)

// died makes all runs on the incarnation suspects, those that broke earlier included.
func (m *Machine) died(now time.Time, e Died) {
	if d, known := m.dead[e.Upstream]; !known || d.incarnation < e.Incarnation {
		m.dead[e.Upstream] = gone{e.Incarnation, now}
		m.newsUntil = now.Add(m.policy.Refused)
	}
	var fresh []*run
	for _, r := range m.on(e.Upstream, e.Incarnation) {
		if r.died {
			continue
		}
		r.died = true
		m.trouble = true
		fresh = append(fresh, r)
		if r.phase != over {
			r.enter(now, dead)
		}
	}
	m.report(now, fresh)
}

// report reports runs on the same incarnation.
func (m *Machine) report(now time.Time, runs []*run) {
	if len(runs) == 0 {
		return
	}
	var members []poison.Fingerprint
	for _, r := range runs {
		r.reportedAt = now
		members = append(members, r.fingerprint)
	}
	slices.SortFunc(members, poison.Fingerprint.Compare)
	m.do(ReportCrash{poison.ReportDeath{
		Upstream: runs[0].upstream, Incarnation: runs[0].incarnation, Members: slices.Compact(members),
	}})
}

// settle ends the runs whose report is confirmed and in force on this node.
func (m *Machine) settle() {
	for _, r := range m.ordered(func(r *run) bool { return r.confirmed > 0 && r.confirmed <= m.version }) {
		if r.phase == dead {
			m.do(Release{r.id})
		}
		delete(m.runs, r.id)
	}
}

// on returns the dispatched runs on an incarnation, ordered by id.
func (m *Machine) on(upstream string, incarnation uint64) []*run {
	return m.ordered(func(r *run) bool {
		return r.phase >= running && r.upstream == upstream && r.incarnation == incarnation
	})
}

func (m *Machine) ordered(match func(*run) bool) []*run {
	var out []*run
	for _, r := range m.runs {
		if match(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return out
}

func (m *Machine) survived(e Survived) {
	for _, r := range m.on(e.Upstream, e.Incarnation) {
		if !e.At.IsZero() && r.since.After(e.At) {
			continue
		}
		switch r.phase {
		case broken:
			m.do(Release{r.id})
			m.finishSolo(r)
			delete(m.runs, r.id)
		case over:
			m.finishSolo(r)
			delete(m.runs, r.id)
		case asking, claiming, allowed, running, dead:
		}
	}
}

// repeatReports sends the reports again that are not confirmed.
func (m *Machine) repeatReports(now time.Time) {
	due := m.ordered(func(r *run) bool {
		return r.died && r.confirmed == 0 && now.Sub(r.reportedAt) >= m.policy.HoldAnswer
	})
	for len(due) > 0 {
		first := due[0]
		var same, rest []*run
		for _, r := range due {
			if r.upstream == first.upstream && r.incarnation == first.incarnation {
				same = append(same, r)
			} else {
				rest = append(rest, r)
			}
		}
		m.report(now, same)
		due = rest
	}
}
