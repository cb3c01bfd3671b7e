package share

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var t0 = time.Unix(1_000_000, 0)

func caller(team, dataCentre string) Caller { return Caller{1, team, dataCentre} }

// give records that a caller asks for some work and gets part of it.
func give(a *Account, c Caller, asked, given float64) {
	a.Ask(t0, c, asked)
	a.Give(t0, c, given)
}

// Load: a small team that gets all it asks for, a team that gets a tenth of its fair share, and one that takes the rest. Guards
// against shares that are equal parts instead of max-min fair ones.
func TestStandingsAreByMaxMinFairness(t *testing.T) {
	a := New()
	give(a, caller("small", "a"), 2, 2)
	give(a, caller("starved", "a"), 100, 5)
	give(a, caller("flood", "a"), 300, 93)
	for _, team := range []string{"small", "starved", "flood"} {
		assert.Equal(t, a.Standing(t0, caller(team, "a")), Even, "room is not scarce")
	}
	a.Refuse(t0, caller("flood", "a"), 0)
	assert.Equal(t, a.Standing(t0, caller("small", "a")), Even)
	assert.Equal(t, a.Standing(t0, caller("starved", "a")), Below)
	assert.Equal(t, a.Standing(t0, caller("flood", "a")), FarAbove)
	assert.Equal(t, a.Standing(t0, Caller{2, "flood", "a"}), Even, "another rank")
	assert.DeepEqual(t, a.Reports(t0), []Report{{Rank: 1, Teams: 3, Above: 1, Below: 1, Team: "flood", Given: 0.93, Fair: 0.49, Source: "a", Taken: 1}})
	assert.Equal(t, len(a.Reports(t0.Add(reportInterval/2))), 0)
	assert.Equal(t, a.Standing(t0.Add(scarceTime), caller("flood", "a")), Even, "no refusal for a second")
}

// Load: all requests of one data centre come from teams that have their share, and it takes most of the room. Guards against
// data centres that starve, and against a team below its share that is held back for its data centre.
func TestDataCentresCountAfterTeams(t *testing.T) {
	a := New()
	for i := range 4 {
		give(a, caller(fmt.Sprint("t", i), "full"), 100, 30)
		give(a, caller(fmt.Sprint("t", i), "empty"), 100, 2)
	}
	give(a, caller("starved", "full"), 40, 1)
	a.Refuse(t0, caller("t0", "full"), 0)
	assert.Equal(t, a.Standing(t0, caller("t0", "full")), FarAbove)
	assert.Equal(t, a.Standing(t0, caller("t0", "empty")), Even)
	assert.Equal(t, a.Standing(t0, caller("starved", "full")), Below)
}

// Load: callers of 5,000 teams, as after a wrong configuration. Guards against memory that grows with the names of callers, and
// against names that stay for ever.
func TestMembersAreBounded(t *testing.T) {
	a := New()
	for i := range 5000 {
		give(a, caller(fmt.Sprint("t", i), "a"), 1, 1)
	}
	teams := &a.rank(1).teams
	assert.Equal(t, len(teams.members), maxMembers+1)
	assert.Equal(t, a.Standing(t0, caller("t4999", "a")), Even)
	teams.refresh(t0.Add(2 * time.Minute))
	assert.Equal(t, len(teams.members), 0)
}

// Load: 2,000 requests a second of 200 teams in six data centres while room is scarce.
func BenchmarkRequestWhileRoomIsScarce(b *testing.B) {
	a := New()
	var callers []Caller
	for i := range 200 {
		callers = append(callers, caller(fmt.Sprint("t", i), fmt.Sprint("dc", i%6)))
	}
	for i := 0; b.Loop(); i++ {
		now := t0.Add(time.Duration(i) * time.Millisecond / 2)
		c := callers[i%len(callers)]
		a.Ask(now, c, 1)
		_ = a.Standing(now, c)
		a.Give(now, c, 1)
		if i%2 == 0 {
			a.Refuse(now, c, 1)
		}
	}
}

// Load: one team, or several that all grow alike, double their load within some milliseconds while room is scarce. Guards
// against a level from before the growth, by which every team seems above its share.
func TestGrowthOfAllIsNobodysFlood(t *testing.T) {
	for _, teams := range []int{1, 3} {
		a := New()
		for now := t0; now.Before(t0.Add(200 * time.Millisecond)); now = now.Add(5 * time.Millisecond) {
			work := float64(now.Sub(t0)+time.Millisecond) / float64(time.Millisecond)
			for i := range teams {
				c := caller(fmt.Sprint("t", i), "a")
				a.Ask(now, c, 2*work)
				a.Give(now, c, work)
			}
			a.Refuse(now, caller("t0", "a"), 0)
			for i := range teams {
				assert.Equal(t, a.Standing(now, caller(fmt.Sprint("t", i), "a")), Even)
			}
		}
	}
}
