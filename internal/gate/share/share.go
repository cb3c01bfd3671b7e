// Package share accounts for the recent work of teams and of data centres, by rank, and tells which of them have more and
// which have less than their fair share of the room while room is scarce.
//
// Usage:
//
//	a := share.New()
//	caller := share.Caller{Rank: 2, Team: "search", DataCentre: "delta-a"}
//	a.Ask(now, caller, work)    // a request arrives for the first time
//	a.Give(now, caller, work)   // it gets room
//	a.Refuse(now, caller, share.Left(work, age)) // it was refused after all, and its room is free again
//	a.Standing(now, caller)     // Even while room is not scarce
//
// Room is scarce for a rank while requests of it were refused within the last second. The fair shares are max-min fair:
// the work given lately is split so that each team gets the smaller of what it asked for and an equal part of what the
// others leave.
//
// An Account is deterministic, does no I/O and is not safe for concurrent use.
package share

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Standing is the position of a caller relative to its fair share.
type Standing int8

// Standings.
const (
	Below    Standing = iota - 1 // less than half of the fair share
	Even                         // also while room is not scarce
	Above                        // more than the fair share
	FarAbove                     // much more than the fair share
)

// Parameters of an Account.
const (
	decayTime     = 3 * time.Second // in which the weight of work falls to 1/e
	scarceTime    = time.Second     // after a refusal
	refreshPeriod = 50 * time.Millisecond
	belowFraction = 0.5
	// aboveFraction leaves a margin for the noise of requests that come and go one by one.
	aboveFraction    = 1.05
	farAboveFraction = 1.25
	forgottenWork    = 1e-6 // members with less recent work are removed
	maxMembers       = 1024 // of a rank, each for teams and data centres; further ones share one member
	maxRank          = 31   // less urgent ranks share one account
)

// overflow is the member that those beyond maxMembers share. It is not a valid name of a team or data centre.
const overflow = "\x00"

// Caller identifies whose work is accounted.
type Caller struct {
	Rank       int
	Team       string
	DataCentre string // of the entry VM that received the request
}

// Account is the record of recent work.
type Account struct {
	ranks [maxRank + 1]*rankAccount
}

type rankAccount struct {
	refusedAt   time.Time
	reportedAt  time.Time
	teams       group
	dataCentres group
}

// group holds the members between which room is split.
type group struct {
	members     map[string]*member
	total       member  // sums of all members
	level       float64 // largest fair share as a part of the total given work; infinite if all demands are met
	refreshedAt time.Time
}

// member is a team or a data centre. Its sums decay with decayTime.
type member struct {
	asked, given float64
	at           time.Time // up to which the sums have decayed
}

// New returns an empty account.
func New() *Account { return &Account{} }

func (a *Account) rank(number int) *rankAccount {
	number = min(max(number, 0), maxRank)
	if a.ranks[number] == nil {
		a.ranks[number] = &rankAccount{}
	}
	return a.ranks[number]
}

// Ask records that a caller asks for room. A request that returns after a refusal must not be recorded again.
func (a *Account) Ask(now time.Time, c Caller, work float64) { a.add(now, c, work, 0) }

// Give records that a caller gets room.
func (a *Account) Give(now time.Time, c Caller, work float64) { a.add(now, c, 0, work) }

// Left returns what an account still holds of work that was recorded some time ago.
func Left(work float64, age time.Duration) float64 {
	return work * math.Exp(-float64(max(age, 0))/float64(decayTime))
}

// Return records that room given to a caller was not used. The work is what is left of it.
func (a *Account) Return(now time.Time, c Caller, work float64) { a.add(now, c, 0, -work) }

// Withdraw records that a request no longer asks for the room that it was given. The work is what is left of it.
func (a *Account) Withdraw(now time.Time, c Caller, work float64) { a.add(now, c, -work, -work) }

// Refuse records that a request was refused after it had been given room. The work is what is left of it.
func (a *Account) Refuse(now time.Time, c Caller, work float64) {
	a.Return(now, c, work)
	a.rank(c.Rank).refusedAt = now
}

func (a *Account) add(now time.Time, c Caller, asked, given float64) {
	r := a.rank(c.Rank)
	r.teams.add(now, c.Team, asked, given)
	r.dataCentres.add(now, c.DataCentre, asked, given)
}

// Scarce reports whether requests of a rank were refused lately.
func (a *Account) Scarce(now time.Time, rank int) bool {
	at := a.rank(rank).refusedAt
	return !at.IsZero() && now.Sub(at) < scarceTime
}

// Standing returns the position of a caller. Its team decides; its data centre raises the position of a team that has
// its share or lowers that of one with more. A team that is below its share is never held back for its data centre.
func (a *Account) Standing(now time.Time, c Caller) Standing {
	if !a.Scarce(now, c.Rank) {
		return Even
	}
	r := a.rank(c.Rank)
	team, dataCentre := r.teams.standing(now, c.Team), r.dataCentres.standing(now, c.DataCentre)
	switch {
	case team == Below:
		return Below
	case dataCentre == Below:
		if team >= Above {
			return Even
		}
		return Below
	case dataCentre == FarAbove && team == Even:
		return Above
	}
	return max(team, dataCentre)
}

func (g *group) add(now time.Time, name string, asked, given float64) {
	m := g.members[name]
	if m == nil && len(g.members) >= maxMembers {
		name = overflow
		m = g.members[name]
	}
	if m == nil {
		if g.members == nil {
			g.members = map[string]*member{}
		}
		m = &member{at: now}
		g.members[name] = m
	}
	m.add(now, asked, given)
	g.total.add(now, asked, given)
}

func (m *member) add(now time.Time, asked, given float64) {
	m.decay(now)
	m.asked = max(m.asked+asked, 0)
	m.given = max(m.given+given, 0)
}

func (m *member) decay(now time.Time) {
	if passed := now.Sub(m.at); passed > 0 {
		m.asked, m.given = Left(m.asked, passed), Left(m.given, passed)
		m.at = now
	}
}

// demand is what a member asked for. It is at least what it got: a request that returns is given room later than it
// asked for it.
func (m *member) demand() float64 { return max(m.asked, m.given) }

func (g *group) standing(now time.Time, name string) Standing {
	g.refresh(now)
	m := g.members[name]
	if m == nil {
		m = g.members[overflow]
	}
	if m == nil {
		return Even
	}
	m.decay(now)
	fair := g.fair(now, m)
	switch {
	case m.given < belowFraction*fair:
		return Below
	case m.given > farAboveFraction*fair:
		return FarAbove
	case m.given > aboveFraction*fair:
		return Above
	}
	return Even
}

// fair returns the fair share of a member. The level is a part of the total, since the total may double between two
// refreshes when a flood begins, and a level from before would make every team seem above its share.
func (g *group) fair(now time.Time, m *member) float64 {
	g.total.decay(now)
	if math.IsInf(g.level, 1) {
		return m.demand()
	}
	return min(m.demand(), g.level*g.total.given)
}

// refresh computes the largest fair share, by filling up the smallest demands first.
func (g *group) refresh(now time.Time) {
	if now.Sub(g.refreshedAt) < refreshPeriod {
		return
	}
	g.refreshedAt = now
	demands := make([]float64, 0, len(g.members))
	left := 0.0
	for _, name := range slices.Sorted(maps.Keys(g.members)) { // in a fixed order, so that sums are exactly the same
		m := g.members[name]
		m.decay(now)
		if m.demand() < forgottenWork {
			delete(g.members, name)
			continue
		}
		demands = append(demands, m.demand())
		left += m.given
	}
	slices.Sort(demands)
	total := left
	g.total = member{given: total, at: now}
	g.level = math.Inf(1)
	if total == 0 {
		return
	}
	for i, d := range demands {
		if equal := left / float64(len(demands)-i); d > equal {
			g.level = equal / total
			return
		}
		left -= d
	}
}

// Demand returns the recent demand of a caller's team.
func (a *Account) Demand(now time.Time, c Caller) float64 {
	m := a.rank(c.Rank).teams.members[c.Team]
	if m == nil {
		return 0
	}
	m.decay(now)
	return m.demand()
}
