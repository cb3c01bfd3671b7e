package crash

import (
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/state/poison"
)

// handleUpstreamDied reports all runs on the incarnation as suspects, including those that lost their connection earlier.
func (m *Machine) handleUpstreamDied(now time.Time, e UpstreamDied) {
	if d, known := m.recentDeaths[e.Upstream]; !known || d.incarnation < e.Incarnation {
		m.recentDeaths[e.Upstream] = deathRecord{e.Incarnation, now}
		m.deathSettled = now.Add(m.policy.PostDeathDelay)
	}
	var newlyDead []*run
	for _, r := range m.runsOn(e.Upstream, e.Incarnation) {
		if r.upstreamDied {
			continue
		}
		r.upstreamDied = true
		m.maybeUnresolved = true
		newlyDead = append(newlyDead, r)
		if r.phase != phaseReleased {
			r.setPhase(now, phaseAwaitingReport)
		}
	}
	m.reportDeath(now, newlyDead)
}

// reportDeath emits one report for runs on the same incarnation.
func (m *Machine) reportDeath(now time.Time, runs []*run) {
	if len(runs) == 0 {
		return
	}
	var members []poison.Fingerprint
	for _, r := range runs {
		r.reportedAt = now
		members = append(members, r.fingerprint)
	}
	slices.SortFunc(members, poison.Fingerprint.Compare)
	m.emit(ReportDeath{poison.ReportDeath{
		Upstream: runs[0].upstream, Incarnation: runs[0].incarnation, Members: slices.Compact(members),
	}})
}

// finishReported removes the runs whose report is applied and whose resulting entries are known to this node.
func (m *Machine) finishReported() {
	for _, r := range m.runsMatching(func(r *run) bool { return r.reportVersion > 0 && r.reportVersion <= m.version }) {
		if r.phase == phaseAwaitingReport {
			m.emit(ReleaseFailure{r.id})
		}
		delete(m.runs, r.id)
	}
}

// runsOn returns the runs dispatched to an incarnation, ordered by id.
func (m *Machine) runsOn(upstream string, incarnation uint64) []*run {
	return m.runsMatching(func(r *run) bool {
		return r.phase >= phaseRunning && r.upstream == upstream && r.incarnation == incarnation
	})
}

func (m *Machine) runsMatching(match func(*run) bool) []*run {
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

func (m *Machine) handleUpstreamAlive(e UpstreamAlive) {
	for _, r := range m.runsOn(e.Upstream, e.Incarnation) {
		if !e.At.IsZero() && r.phaseStart.After(e.At) {
			continue
		}
		switch r.phase {
		case phaseConnectionLost:
			m.emit(ReleaseFailure{r.id})
			m.endSolo(r)
			delete(m.runs, r.id)
		case phaseReleased:
			m.endSolo(r)
			delete(m.runs, r.id)
		case phaseRequested, phaseClaimingSolo, phasePermitted, phaseRunning, phaseAwaitingReport:
		}
	}
}

// resendReports resends overdue unconfirmed reports, one per incarnation.
func (m *Machine) resendReports(now time.Time) {
	due := m.runsMatching(func(r *run) bool {
		return r.upstreamDied && r.reportVersion == 0 && now.Sub(r.reportedAt) >= m.policy.ReportTimeout
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
		m.reportDeath(now, same)
		due = rest
	}
}
