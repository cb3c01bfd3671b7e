package engine

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/share"
)

// Load: a request is refused three times and returns. Guards against returns that count as new demand of their team, which would
// raise its share, and against a due time that begins anew.
func TestReturnsCountAsTheSameWork(t *testing.T) {
	p := New()
	p.SetFairShares(true)
	p.SetTargets([]Target{{ID: "e"}})
	p.SetPools(map[string]Pool{"s": {Upstreams: 1, Batch: 1, Call: time.Second}})
	r := Request{
		Parts: []Part{{"doc", 100}, {"own", 50}}, Prompt: 150, Rank: 1, Due: time.Second, Team: "a", DataCentre: "dc",
		PendingStages: []PendingStage{{Service: "s", Pieces: 5}},
	}
	first, ok := p.Place(t0, r)
	assert.Assert(t, ok)
	demand := p.shares.Demand(t0, r.caller())
	assert.Assert(t, demand > 5)
	for range 3 {
		p.End(t0, first.Ticket, Refused)
		assert.Equal(t, p.shares.Demand(t0, r.caller()), demand)
		again, ok := p.Place(t0, r)
		assert.Assert(t, ok)
		assert.Equal(t, again.Due, first.Due)
		assert.Equal(t, p.shares.Demand(t0, r.caller()), demand)
		first.Ticket = again.Ticket
	}
	p.End(t0, first.Ticket, Served)
	_, _ = p.Place(t0, r)
	assert.Equal(t, p.shares.Demand(t0, r.caller()), 2*demand, "an answered request is new when it comes again")
}

// Load: a node asks this region for a forecast, takes another region and cancels. Guards against questions that count as work.
func TestCancelledPlacementsAreNoWork(t *testing.T) {
	p := New()
	p.SetFairShares(true)
	p.SetTargets([]Target{{ID: "e"}})
	r := Request{Parts: []Part{{"own", 50}}, Prompt: 50, Rank: 1, Due: time.Second, Team: "a"}
	r.PendingStages = []PendingStage{{Service: "s", Pieces: 5}}
	for range 3 {
		placed, _ := p.Place(t0, r)
		p.End(t0, placed.Ticket, Cancelled)
		assert.Equal(t, p.shares.Demand(t0, r.caller()), 0.0)
	}
	assert.Assert(t, !p.shares.Scarce(t0, 1))
}

// Load: room is scarce and the queues hold work. Guards against a team far above its share that is refused although the queues
// are short, which would leave capacity unused.
func TestATeamAboveItsShareYieldsOnlyToQueuedWork(t *testing.T) {
	busy := Forecast{Wait: time.Second, Full: 300 * time.Millisecond, Total: 1300 * time.Millisecond, CorrectedTotal: 1300 * time.Millisecond}
	assert.Assert(t, exceedsShare(share.FarAbove, busy, 2*time.Second))
	assert.Assert(t, !exceedsShare(share.Above, busy, 2*time.Second))
	assert.Assert(t, !exceedsShare(share.FarAbove, busy, 5*time.Second), "it takes less than half of its time")
	short := busy
	short.Wait = 200 * time.Millisecond
	assert.Assert(t, !exceedsShare(share.FarAbove, short, 2*time.Second))
	busy.OverShare = true
	ok, after := busy.Admit(10 * time.Second)
	assert.Assert(t, !ok)
	assert.Equal(t, after, time.Second)
}

// Load: callers of one team are refused while those of another are served. Guards against a placer that divides room although the
// configuration does not ask for it.
func TestSharesNeedTheConfiguration(t *testing.T) {
	p := New()
	p.SetTargets([]Target{{ID: "e"}})
	r := Request{Parts: []Part{{"own", 50}}, Prompt: 50, Rank: 1, Due: time.Second, Team: "a"}
	for range 20 {
		placed, ok := p.Place(t0, r)
		assert.Assert(t, ok)
		assert.Assert(t, placed.Forecast.Order == 0 && !placed.Forecast.OverShare)
		p.End(t0, placed.Ticket, Refused)
	}
	assert.Equal(t, p.shares.Demand(t0, r.caller()), 0.0)
}

// Load: a request waits for three seconds and is then refused, or cancelled. Guards against an account that takes back the work as it was
// entered, although most of it has decayed: the other work of the team would vanish with it.
func TestLateEndTakesBackWhatIsLeft(t *testing.T) {
	for _, result := range []Result{Refused, Cancelled} {
		p := New()
		p.SetFairShares(true)
		p.SetTargets([]Target{{ID: "e"}})
		p.SetPools(map[string]Pool{"s": {Upstreams: 1, Batch: 1, Call: time.Second}})
		place := func(now time.Time, team string, pieces int) uint64 {
			placed, ok := p.Place(now, Request{Rank: 1, Due: time.Second, Team: team, PendingStages: []PendingStage{{Service: "s", Pieces: pieces}}})
			assert.Assert(t, ok)
			return placed.Ticket
		}
		waits := place(t0, "a", 4)
		late := t0.Add(3 * time.Second)
		place(late, "a", 4)
		place(late, "b", 2)
		p.End(late, waits, result)
		p.shares.Refuse(late, share.Caller{Rank: 1}, 0)
		report := p.ShareReports(late)[0]
		assert.Equal(t, report.Team, "a", "%v", result)
		assert.Assert(t, report.Given > 0.66 && report.Given < 0.67, "%v: %v", result, report.Given)
	}
}

// Load: callers that nobody controls state the size of their prompts. Guards against a size that fills the account of all callers in a data
// centre for minutes, and against a negative one that empties it.
func TestStatedSizeIsBoundedInTheAccount(t *testing.T) {
	for prompt, want := range map[int]float64{math.MinInt: 0, -1_000_000: 0, math.MaxInt: TicketTTL.Seconds()} {
		p := New()
		p.SetFairShares(true)
		p.SetTargets([]Target{{ID: "e"}})
		r := Request{Rank: 1, Due: time.Second, Team: "a", Prompt: 50}
		_, ok := p.Place(t0, r)
		assert.Assert(t, ok)
		before := p.shares.Demand(t0, r.caller())
		r.Prompt = prompt
		_, ok = p.Place(t0, r)
		assert.Assert(t, ok)
		assert.Equal(t, p.shares.Demand(t0, r.caller()), before+want, "%d", prompt)
	}
}
