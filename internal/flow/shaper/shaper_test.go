package shaper_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/flow/shaper"
	"github.com/berylledge/berylledge/pkg/fleet"
)

var (
	start = time.Unix(1_000_000, 0)
	links = []fleet.Link{{RegionA: "east", RegionB: "west", KbitPerSec: 20_000, ReservedKbit: 4_000, PricePerGB: 100}}
)

func send(id string, rank int, bytes int64) shaper.Send {
	return shaper.Send{ID: id, From: "west", To: "east", Rank: rank, Bytes: bytes, Stage: "answer", Team: "crew"}
}

// tickUntil delivers ticks until the given time and returns the bytes granted by id and when each transfer was done.
func tickUntil(b *shaper.Shaper, until time.Time) (sent map[string]int64, done map[string]time.Time) {
	sent, done = map[string]int64{}, map[string]time.Time{}
	for at, ok := b.NextTick(); ok && !at.After(until); at, ok = b.NextTick() {
		for _, a := range b.Step(at, shaper.Tick{}) {
			g := a.(shaper.Grant)
			sent[g.ID] += g.Bytes
			if g.Done {
				done[g.ID] = at
			}
		}
	}
	return sent, done
}

// Guards against bulk transfers that exceed the link, delay urgent tokens, or starve a more urgent transfer.
func TestBulkTrafficIsPacedAndDoesNotDelayUrgentTraffic(t *testing.T) {
	const nodes = 4
	total := int64(0)
	for node := range nodes {
		b := shaper.New(links, nodes)
		b.Step(start, send("bulk", 2, 100<<20))
		urgent := send("urgent", 0, 1500)
		urgent.Immediate = true
		assert.DeepEqual(t, b.Step(start, urgent), []shaper.Action{shaper.Grant{ID: "urgent", Bytes: 1500, Done: true}})
		sent, _ := tickUntil(b, start.Add(10*time.Second))
		total += sent["bulk"]
		if node > 0 {
			continue
		}
		b.Step(start.Add(10*time.Second), send("normal", 1, 500_000)) // one second of a node's share
		_, done := tickUntil(b, start.Add(12*time.Second))
		took := done["normal"].Sub(start.Add(10 * time.Second))
		assert.Assert(t, took > 900*time.Millisecond && took < 1100*time.Millisecond, took)
	}
	capacity := int64(16_000) * 125 * 10
	assert.Assert(t, total <= capacity+capacity/100 && total >= capacity*97/100, "%d of %d", total, capacity)
}

// Guards against immediate traffic that overruns the link because bulk traffic does not yield, and against a debt that
// blocks other traffic for long.
func TestImmediateTrafficBeyondReserveUsesSharedBucket(t *testing.T) {
	b := shaper.New(links, 1)
	b.Step(start, send("bulk", 2, 100<<20))
	for i := range 100 { // 4 s of the reserve at once
		s := send(fmt.Sprint(i), 0, 20_000)
		s.Immediate = true
		assert.Equal(t, len(b.Step(start, s)), 1)
	}
	sent, _ := tickUntil(b, start.Add(500*time.Millisecond))
	assert.Equal(t, sent["bulk"], int64(0))
	sent, _ = tickUntil(b, start.Add(2*time.Second))
	assert.Assert(t, sent["bulk"] > 1_500_000, sent["bulk"])
}

// Guards against a small transfer that waits for a large one of the same rank, and against cancelled transfers that still
// use the link.
func TestTransfersOfEqualRankAlternate(t *testing.T) {
	b := shaper.New(links, 1)
	b.Step(start, send("large", 1, 100<<20))
	b.Step(start, send("small", 1, 100_000))
	_, done := tickUntil(b, start.Add(time.Second))
	took := done["small"].Sub(start)
	assert.Assert(t, took > 0 && took < 150*time.Millisecond, took)
	b.Step(start.Add(time.Second), shaper.Cancel{ID: "large"})
	_, waits := b.NextTick()
	assert.Assert(t, !waits)
	charges := b.Charges()
	assert.Equal(t, len(charges), 1)
	assert.Equal(t, charges[0].Team, "crew")
	assert.Assert(t, charges[0].Bytes > 1_900_000 && charges[0].Price > 0.19, charges[0])
}

// Guards against moves that miss the deadline, cost more than recomputing, or ignore transfers already waiting for the link.
func TestMoveOnlyWithinDeadlineAndPrice(t *testing.T) {
	q := shaper.MoveQuery{
		From: "west", To: "east", Rank: 1, Bytes: 2_000_000, // 1 s and 0.2 units
		Recompute: 3 * time.Second, RecomputePrice: 0.5, TimeAfter: time.Second, Deadline: start.Add(8 * time.Second),
	}
	for _, c := range []struct {
		name   string
		change func(b *shaper.Shaper, q *shaper.MoveQuery)
		want   bool
	}{
		{"cheaper", func(*shaper.Shaper, *shaper.MoveQuery) {}, true},
		{"more expensive", func(_ *shaper.Shaper, q *shaper.MoveQuery) { q.RecomputePrice = 0.1 }, false},
		{"more expensive, but recomputing is late", func(_ *shaper.Shaper, q *shaper.MoveQuery) {
			q.RecomputePrice, q.Recompute = 0.1, 8*time.Second
		}, true},
		{"late", func(_ *shaper.Shaper, q *shaper.MoveQuery) { q.Deadline = start.Add(1500 * time.Millisecond) }, false},
		{"late because of waiting transfers", func(b *shaper.Shaper, _ *shaper.MoveQuery) { b.Step(start, send("ahead", 0, 14_000_000)) }, false},
		{"less urgent transfers are ignored", func(b *shaper.Shaper, _ *shaper.MoveQuery) {
			b.Step(start, send("behind", 2, 14_000_000))
		}, true},
	} {
		b, q := shaper.New(links, 1), q
		c.change(b, &q)
		assert.Equal(t, b.DecideMove(start, q).Move, c.want, c.name)
	}
}

// Guards against transfers that are lost when the configuration changes.
func TestSetLinksKeepsTransfers(t *testing.T) {
	b := shaper.New(links, 1)
	b.Step(start, send("a", 1, 1_000_000))
	b.Step(start, shaper.SetLinks{Links: links, Nodes: 2})
	sent, _ := tickUntil(b, start.Add(100*time.Millisecond))
	assert.Assert(t, sent["a"] > 60_000 && sent["a"] < 140_000, sent["a"])
	acts := b.Step(start.Add(time.Second), shaper.SetLinks{})
	assert.Equal(t, len(acts), 1)
	assert.Assert(t, acts[0].(shaper.Grant).Done)
}
