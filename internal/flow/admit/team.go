package admit

import (
	"math"
	"time"
)

// teamState tracks a team's use of its limits on this node: requests in flight, and a token bucket for the rate.
type teamState struct {
	active     int // number of queued and admitted requests
	tokens     float64
	refilledAt time.Time
}

// burst returns the size of the token bucket: one second's worth, at least one request.
func burst(rate float64) float64 { return max(rate, 1) }

func (m *Machine) nodeRate(team string) float64 {
	return m.policy.Teams[team].MaxPerSecond / float64(m.policy.Nodes)
}

func (m *Machine) hasLimits(team string) bool {
	t := m.policy.Teams[team]
	return t.MaxPerSecond > 0 || t.MaxInFlight > 0
}

// refillTeam returns the state of a team with its tokens refilled up to now.
func (m *Machine) refillTeam(now time.Time, team string) *teamState {
	rate := m.nodeRate(team)
	t := m.teams[team]
	if t == nil {
		t = &teamState{tokens: burst(rate), refilledAt: now}
		m.teams[team] = t
	}
	t.tokens = min(t.tokens+rate*now.Sub(t.refilledAt).Seconds(), burst(rate))
	t.refilledAt = now
	return t
}

// chargeTeam counts one request against the team's limits, or returns the delay after which to retry.
func (m *Machine) chargeTeam(now time.Time, team string) (retry time.Duration, ok bool) {
	if !m.hasLimits(team) {
		return 0, true
	}
	t, policy := m.refillTeam(now, team), m.policy.Teams[team]
	if policy.MaxInFlight > 0 && t.active >= policy.MaxInFlight {
		return m.expectedSlotWait(), false
	}
	if policy.MaxPerSecond > 0 {
		const rounding = 1e-9 // tolerance for the rounding errors of repeated refills
		if t.tokens < 1-rounding {
			return time.Duration(math.Ceil((1 - t.tokens) / m.nodeRate(team) * float64(time.Second))), false
		}
		t.tokens--
	}
	t.active++
	return 0, true
}

// releaseTeam stops counting a request as in flight. If the request has not run, its token is returned.
func (m *Machine) releaseTeam(now time.Time, team string, ran bool) {
	if m.teams[team] == nil { // the team had no limit when the request arrived
		return
	}
	t := m.refillTeam(now, team)
	t.active = max(t.active-1, 0)
	if !ran {
		t.tokens = min(t.tokens+1, burst(m.nodeRate(team)))
	}
}

func (m *Machine) removeIdleTeams(now time.Time) {
	for team := range m.teams {
		if t := m.refillTeam(now, team); t.active == 0 && t.tokens >= burst(m.nodeRate(team)) {
			delete(m.teams, team)
		}
	}
}
