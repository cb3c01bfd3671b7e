package admit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/berylledge/berylledge/internal/flow/admit"
)

var start = time.Unix(1_000_000, 0)

func fixedLimit(limit int, ranks ...admit.Rank) admit.Policy {
	return admit.Policy{Limit: admit.Fixed, InitialLimit: limit, MinLimit: 1, Ranks: ranks}
}

func request(id, team string, rank int) admit.Request {
	return admit.Request{ID: id, Team: team, Rank: rank, EstimatedCost: 1, EstimatedTime: time.Second}
}

// admitted returns the IDs of the admitted requests.
func admitted(actions []admit.Action) []string {
	var ids []string
	for _, a := range actions {
		if a, ok := a.(admit.Admit); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

func refusal(t *testing.T, actions []admit.Action) admit.Refuse {
	t.Helper()
	for _, a := range actions {
		if r, ok := a.(admit.Refuse); ok {
			return r
		}
	}
	t.Fatalf("no refusal in %v", actions)
	return admit.Refuse{}
}

// A request that cannot meet its deadline must be refused, on arrival or as soon as this is certain while it is queued.
func TestRequestIsRefusedOnceItsDeadlineCannotBeMet(t *testing.T) {
	m := admit.New(fixedLimit(1))
	r := request("slow", "a", 0)
	r.Deadline = start.Add(900 * time.Millisecond)
	assert.Equal(t, refusal(t, m.Step(start, admit.Arrive{Request: r})).Reason, admit.Deadline)
	m.Step(start, admit.Arrive{Request: request("running", "a", 0)})
	r = request("queued", "a", 0)
	r.Deadline = start.Add(3 * time.Second)
	assert.DeepEqual(t, m.Step(start, admit.Arrive{Request: r}), []admit.Action{admit.Queue{ID: "queued"}})
	wake, ok := m.Wake()
	assert.Assert(t, ok)
	assert.Equal(t, wake, start.Add(2*time.Second+1))
	assert.Equal(t, len(m.Step(wake.Add(-1), admit.Tick{})), 0)
	assert.Equal(t, refusal(t, m.Step(wake, admit.Tick{})).ID, "queued")
	// Three requests of one second each are ahead, so the fourth cannot finish within three seconds.
	for i := range 3 {
		m.Step(wake, admit.Arrive{Request: request(fmt.Sprint(i), "a", 0)})
	}
	r = request("behind", "a", 0)
	r.Deadline = wake.Add(3 * time.Second)
	assert.Equal(t, refusal(t, m.Step(wake, admit.Arrive{Request: r})).Reason, admit.Deadline)
}

// runBacklogged keeps every rank backlogged for the given number of rounds, with requests that each take hold, and returns
// the number of finished requests by rank.
func runBacklogged(m *admit.Machine, ranks, slots int, rounds int, hold time.Duration) []int {
	counts, next, running := make([]int, ranks), 0, []string{}
	rankOf := map[string]int{}
	arrive := func(now time.Time, rank int) {
		next++
		id := fmt.Sprint(next)
		rankOf[id] = rank
		running = append(running, admitted(m.Step(now, admit.Arrive{Request: request(id, "a", rank)}))...)
	}
	now := start
	for rank := ranks - 1; rank >= 0; rank-- {
		for range 2 * slots {
			arrive(now, rank)
		}
	}
	for range rounds {
		now = now.Add(hold / time.Duration(slots))
		done := running[0]
		running = append(running[1:], admitted(m.Step(now, admit.Finish{ID: done, QueueDelay: -1}))...)
		counts[rankOf[done]]++
		arrive(now, rankOf[done])
	}
	return counts
}

// A flood of urgent requests must not starve the other ranks, even where a share is less than one slot.
func TestEachRankKeepsItsShareUnderOverload(t *testing.T) {
	for _, slots := range []int{4, 40} {
		m := admit.New(fixedLimit(slots, admit.Rank{Share: 0.5}, admit.Rank{Share: 0.3}, admit.Rank{Share: 0.1}))
		const rounds = 4000
		counts := runBacklogged(m, 3, slots, rounds, 200*time.Millisecond)
		t.Log(slots, counts)
		for rank, share := range []float64{0.5, 0.3, 0.1} {
			assert.Assert(t, float64(counts[rank]) >= 0.97*share*rounds, "rank %d: %d of %d", rank, counts[rank], rounds)
		}
	}
}

// A team with many requests must not exceed its share by weight, and underestimated costs must be corrected at Finish.
func TestTeamsShareByWeightAndActualCost(t *testing.T) {
	p := fixedLimit(1)
	p.Teams = map[string]admit.Team{"heavy": {Weight: 2}, "light": {}, "underestimated": {}}
	m := admit.New(p)
	m.Step(start, admit.Arrive{Request: request("first", "other", 0)})
	for _, team := range []string{"heavy", "underestimated", "light"} {
		for i := range 200 {
			m.Step(start, admit.Arrive{Request: request(fmt.Sprint(team, " ", i), team, 0)})
		}
	}
	counts, now := map[string]int{}, start
	finish := admit.Finish{ID: "first"}
	for range 210 {
		now = now.Add(time.Millisecond)
		id := admitted(m.Step(now, finish))[0]
		var team string
		fmt.Sscan(id, &team)
		counts[team]++
		finish = admit.Finish{ID: id, Cost: 1}
		if team == "underestimated" { // its requests cost four times the estimate
			finish.Cost = 4
		}
	}
	t.Log(counts)
	assert.Assert(t, counts["heavy"] >= 2*counts["light"]-2 && counts["heavy"] <= 2*counts["light"]+2, counts)
	assert.Assert(t, counts["light"] >= 4*counts["underestimated"]-4 && counts["light"] <= 4*counts["underestimated"]+4, counts)
}

// Less urgent requests must not evict more urgent ones, and each rank must keep its share of the queue.
func TestFullQueueEvictsTheLeastUrgent(t *testing.T) {
	p := fixedLimit(1, admit.Rank{Share: 0.5}, admit.Rank{Share: 0.25})
	p.MaxQueue = 8
	m := admit.New(p)
	arrive := func(id, team string, rank int) []admit.Action {
		return m.Step(start, admit.Arrive{Request: request(id, team, rank)})
	}
	arrive("running", "a", 0)
	for i := range 8 {
		arrive(fmt.Sprint("low ", i), "a", 1)
	}
	assert.Equal(t, refusal(t, arrive("low 8", "a", 1)).Reason, admit.Overloaded)
	assert.Equal(t, refusal(t, arrive("small team", "b", 1)).ID, "low 7")
	for i := range 6 {
		r := refusal(t, arrive(fmt.Sprint("high ", i), "a", 0))
		assert.Equal(t, r.Reason, admit.Evicted)
		assert.Assert(t, r.ID[:3] == "low", r.ID)
	}
	assert.Equal(t, refusal(t, arrive("high 6", "a", 0)).Reason, admit.Overloaded)
}

// Long-running requests must not occupy all slots, and must not starve behind short requests.
func TestLongRunningRequestsAreBoundedAndDoNotStarve(t *testing.T) {
	p := fixedLimit(8, admit.Rank{Share: 1})
	m := admit.New(p)
	for i := range 10 {
		r := request(fmt.Sprint("long ", i), "a", 0)
		r.LongRunning, r.EstimatedCost, r.EstimatedTime = true, 100, time.Minute
		m.Step(start, admit.Arrive{Request: r})
	}
	assert.Equal(t, m.Stats().InFlight, 2)
	now := start
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		id := fmt.Sprint("short ", i)
		acts := m.Step(now, admit.Arrive{Request: request(id, "a", 0)})
		assert.DeepEqual(t, admitted(acts), []string{id})
		m.Step(now.Add(5*time.Millisecond), admit.Finish{ID: id})
	}
	for i := range 100 { // keeps short requests queued
		m.Step(now, admit.Arrive{Request: request(fmt.Sprint("flood ", i), "a", 0)})
	}
	acts := m.Step(now, admit.Finish{ID: "long 0"})
	assert.DeepEqual(t, admitted(acts), []string{"long 2"})
}

// The fleet must not exceed a team's rate limit by more than the documented bound, and a cancelled request must free the
// team's in-flight place.
func TestTeamLimits(t *testing.T) {
	const rate, nodes, seconds = 10.0, 4, 20
	p := fixedLimit(1000)
	p.Nodes, p.Teams = nodes, map[string]admit.Team{"a": {MaxPerSecond: rate}, "b": {MaxInFlight: 2}}
	accepted := 0
	for node := range nodes {
		m := admit.New(p)
		for i := range seconds * 100 {
			acts := m.Step(start.Add(time.Duration(i)*10*time.Millisecond), admit.Arrive{Request: request(fmt.Sprint(i), "a", 0)})
			accepted += len(admitted(acts))
		}
		if node > 0 {
			continue
		}
		for i, want := range []int{1, 1, 0} {
			assert.Equal(t, len(admitted(m.Step(start.Add(time.Hour), admit.Arrive{Request: request(fmt.Sprint("b", i), "b", 0)}))), want)
		}
		m.Step(start.Add(time.Hour), admit.Cancel{ID: "b1"})
		assert.Equal(t, len(admitted(m.Step(start.Add(time.Hour), admit.Arrive{Request: request("b3", "b", 0)}))), 1)
	}
	assert.Assert(t, accepted >= rate*seconds-nodes && accepted <= rate*seconds+max(nodes, rate), accepted)
}

// For random events, every request must get exactly one outcome: none may be lost, answered twice, admitted after a
// refusal, admitted too late, or queued beyond the limit.
func TestEveryRequestHasOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := admit.Policy{
			Ranks:    []admit.Rank{{Share: 0.4}, {Share: 0.3}, {Share: 0.2}},
			Limit:    admit.LimitKind(rapid.IntRange(0, 2).Draw(t, "limit")),
			MaxQueue: rapid.IntRange(1, 10).Draw(t, "queue"), InitialLimit: 5, MinLimit: 1, MaxLimit: 9,
			Teams: map[string]admit.Team{"t1": {MaxPerSecond: 5, Weight: 3}, "t2": {MaxInFlight: 3}},
		}
		m := admit.New(p)
		now, next := start, 0
		state, latest := map[string]string{}, map[string]time.Time{}
		var queued, running []string
		apply := func(acts []admit.Action, arrival string) {
			for _, a := range acts {
				switch a := a.(type) {
				case admit.Admit:
					assert.Assert(t, state[a.ID] == "new" || state[a.ID] == "queued", "%s: %s", a.ID, state[a.ID])
					assert.Assert(t, !now.After(latest[a.ID]), "%s was admitted too late to meet its deadline", a.ID)
					state[a.ID] = "running"
				case admit.Queue:
					assert.Equal(t, state[a.ID], "new")
					state[a.ID] = "queued"
				case admit.Refuse:
					assert.Assert(t, state[a.ID] == "new" || state[a.ID] == "queued", "%s: %s", a.ID, state[a.ID])
					assert.Assert(t, a.RetryAfter > 0)
					state[a.ID] = "refused"
				}
			}
			assert.Assert(t, arrival == "" || state[arrival] != "new", "Step returned no action for the arrival of %s", arrival)
			queued, running = queued[:0], running[:0]
			for i := range next {
				switch id := fmt.Sprint(i); state[id] {
				case "queued":
					queued = append(queued, id)
					assert.Assert(t, !now.After(latest[id]), "%s is still queued although it cannot meet its deadline", id)
				case "running":
					running = append(running, id)
				}
			}
			s := m.Stats()
			assert.Equal(t, s.Queued, len(queued))
			assert.Equal(t, s.InFlight, len(running))
			assert.Assert(t, s.Queued <= p.MaxQueue)
		}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch k := rapid.IntRange(0, 9).Draw(t, "event"); {
			case k < 5:
				r := request(fmt.Sprint(next), fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "team")), rapid.IntRange(0, 3).Draw(t, "rank"))
				r.Deadline = now.Add(time.Duration(rapid.IntRange(500, 5000).Draw(t, "deadline")) * time.Millisecond)
				r.LongRunning = rapid.Bool().Draw(t, "long running")
				state[r.ID], latest[r.ID] = "new", r.Deadline.Add(-r.EstimatedTime)
				next++
				apply(m.Step(now, admit.Arrive{Request: r}), r.ID)
			case k < 8 && len(running) > 0:
				id := rapid.SampledFrom(running).Draw(t, "finish")
				state[id] = "done"
				delay := time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * time.Millisecond
				apply(m.Step(now, admit.Finish{ID: id, Cost: rapid.Float64Range(0, 5).Draw(t, "cost"), QueueDelay: delay, Late: k == 5}), "")
			case k == 8 && len(queued)+len(running) > 0:
				id := rapid.SampledFrom(append(append([]string{}, queued...), running...)).Draw(t, "cancel")
				state[id] = "done"
				apply(m.Step(now, admit.Cancel{ID: id}), "")
			default:
				p.MaxQueue, p.NoFairness = rapid.IntRange(1, 10).Draw(t, "queue"), rapid.Bool().Draw(t, "unfair")
				p.Ranks = []admit.Rank{{Share: 0.4}, {Share: 0.3}, {Share: 0.2}}[:rapid.IntRange(1, 3).Draw(t, "ranks")]
				apply(m.Step(now, admit.SetPolicy{Policy: p}), "")
			}
		}
	})
}

// The limit must fall while upstreams queue, recover after the queues are gone, and not grow while it is unused.
func TestLimitFollowsQueueingDelay(t *testing.T) {
	for _, kind := range []admit.LimitKind{admit.Gradient, admit.AIMD} {
		m := admit.New(admit.Policy{Limit: kind, InitialLimit: 40})
		now, next, running := start, 0, []string{}
		run := func(rounds, load int, delay time.Duration) int {
			for range rounds {
				now = now.Add(200 * time.Millisecond)
				done := running
				running = nil
				for _, id := range done {
					running = append(running, admitted(m.Step(now, admit.Finish{ID: id, QueueDelay: delay}))...)
				}
				for range load {
					next++
					running = append(running, admitted(m.Step(now, admit.Arrive{Request: request(fmt.Sprint(next), "a", 0)}))...)
				}
			}
			return m.Stats().Limit
		}
		low := run(60, 50, 160*time.Millisecond)
		high := run(200, 100, 0)
		unused := run(200, 10, 0)
		t.Log(kind, low, high, unused)
		assert.Assert(t, low <= 10, low)
		assert.Assert(t, high >= 80, high)
		assert.Assert(t, unused <= 30, unused)
	}
}

// The slots of an idle rank must be lent to others, and be returned as requests finish once the rank needs them.
func TestLentSlotsAreReturnedOnFinish(t *testing.T) {
	m := admit.New(fixedLimit(10, admit.Rank{Share: 0.6}, admit.Rank{Share: 0.1}))
	for i := range 50 {
		m.Step(start, admit.Arrive{Request: request(fmt.Sprint("low ", i), "a", 1)})
	}
	assert.Equal(t, m.Stats().InFlight, 10)
	now := start.Add(time.Second)
	for i := range 6 {
		m.Step(now, admit.Arrive{Request: request(fmt.Sprint("high ", i), "a", 0)})
	}
	for i := range 6 {
		assert.DeepEqual(t, admitted(m.Step(now, admit.Finish{ID: fmt.Sprint("low ", i)})), []string{fmt.Sprint("high ", i)})
	}
}

// Callers refused at the same time must not all retry at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	p := fixedLimit(1)
	p.Teams = map[string]admit.Team{"a": {MaxPerSecond: 1}}
	m := admit.New(p)
	m.Step(start, admit.Arrive{Request: request("first", "a", 0)})
	seen := map[time.Duration]bool{}
	for i := range 100 {
		retry := refusal(t, m.Step(start, admit.Arrive{Request: request(fmt.Sprint(i), "a", 0)})).RetryAfter
		assert.Assert(t, retry >= 500*time.Millisecond && retry <= 1500*time.Millisecond, retry)
		seen[retry/(100*time.Millisecond)] = true
	}
	assert.Assert(t, len(seen) >= 8, len(seen))
}
