package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// net is a set of boards that share what they hold.
type net struct {
	names   []string
	boards  map[string]*Registry
	told    map[string]uint64
	lost    func(from, to string) bool
	records int // that were sent
}

func newNet(n int) *net {
	x := &net{boards: map[string]*Registry{}, told: map[string]uint64{}, lost: func(string, string) bool { return false }}
	for i := range n {
		name := fmt.Sprint("c", i)
		x.names = append(x.names, name)
		x.boards[name] = boardOf(name)
	}
	return x
}

// round is one second: each node tells the others what it holds, and marks what it does not hear.
func (x *net) round(now time.Time) {
	for _, from := range x.names {
		b := x.boards[from]
		if b == nil {
			continue
		}
		s := b.SyncSince(now, x.told[from])
		x.told[from] = s.Version
		for _, to := range x.names {
			if to == from || x.boards[to] == nil || x.lost(from, to) {
				continue
			}
			x.records += len(s.Upstreams) + len(s.Entries)
			if x.boards[to].ApplySync(now, s) {
				whole := b.SyncSince(now, 0)
				x.records += len(whole.Upstreams) + len(whole.Entries)
				x.boards[to].ApplySync(now, whole)
			}
		}
		b.Tick(now)
	}
}

func (x *net) beat(now time.Time, node string, id int, sequence int64) {
	u := up(fmt.Sprint("r", id), 10, sequence, Ready)
	u.Address = fmt.Sprint("10.0.0.1:", id)
	x.boards[node].Heartbeat(now, u)
}

func (x *net) silent(node string) int {
	n := 0
	for _, u := range x.boards[node].upstreams {
		if u.Silent {
			n++
		}
	}
	return n
}

// Guards against control nodes that tell each other each heartbeat: with "3,000 upstreams that renew each second" the messages
// grew with the upstreams times the control nodes, and one node drowned.
func TestRenewalsStayWithTheirHolder(t *testing.T) {
	const upstreams = 3000
	x := newNet(9)
	for second := range 20 {
		now := start.Add(time.Duration(second) * time.Second)
		for id := range upstreams {
			x.beat(now, x.names[id%9], id, int64(second+1))
		}
		x.round(now)
		if second == 1 {
			x.records = 0
		}
	}
	assert.Equal(t, x.records, 0, "records that were sent though nothing changed")
	for _, name := range x.names {
		assert.Equal(t, len(x.boards[name].upstreams), upstreams)
		assert.Equal(t, x.silent(name), 0)
	}
}

// Guards against work for a crashed upstream, whose holder goes on to renew what it holds.
func TestUpstreamThatItsHolderDoesNotHearIsSilentEverywhere(t *testing.T) {
	x := newNet(3)
	for second := range 10 {
		now := start.Add(time.Duration(second) * time.Second)
		if second < 3 {
			x.beat(now, "c0", 1, int64(second+1))
		}
		x.beat(now, "c0", 2, int64(second+1))
		x.round(now)
	}
	for _, name := range x.names {
		assert.Equal(t, x.silent(name), 1, name)
	}
}

// Guards against upstreams of a control node that is gone: silent ones that count as heard, and heard ones that count as silent.
func TestUpstreamsTurnToAnotherHolder(t *testing.T) {
	x := newNet(3)
	for second := range 12 {
		now := start.Add(time.Duration(second) * time.Second)
		if second == 4 {
			delete(x.boards, "c0")
		}
		switch {
		case second < 4:
			x.beat(now, "c0", 1, int64(second+1))
			x.beat(now, "c0", 2, int64(second+1))
		case second > 5:
			x.beat(now, "c1", 1, int64(second+1))
		}
		x.round(now)
		if second == 6 {
			assert.Equal(t, x.silent("c2"), 0, "not yet")
		}
	}
	assert.Equal(t, x.silent("c1"), 1)
	assert.Equal(t, x.silent("c2"), 1)
	u, _ := x.boards["c2"].Find("r1")
	assert.Assert(t, !u.Silent)
}

// Guards against records that a node never learns, or keeps for good, because a message between two control nodes was lost.
func TestLostShareIsMadeUpFor(t *testing.T) {
	x := newNet(3)
	x.round(start)
	x.lost = func(from, to string) bool { return from == "c0" && to == "c2" }
	x.beat(start, "c0", 1, 1)
	x.round(start)
	_, known := x.boards["c2"].Find("r1")
	assert.Assert(t, !known)
	x.lost = func(string, string) bool { return false }
	x.beat(start, "c0", 1, 2)
	x.round(start.Add(time.Second))
	_, known = x.boards["c2"].Find("r1")
	assert.Assert(t, known)
}

// Guards against an upstream that counts as silent because a heartbeat that was held up by a cut reached another control node
// later, which then takes itself for its holder.
func TestDelayedHeartbeatDoesNotTakeTheHold(t *testing.T) {
	x := newNet(3)
	for second := range 20 {
		now := start.Add(time.Duration(second) * time.Second)
		x.beat(now, "c0", 1, int64(second+10))
		if second == 5 {
			x.beat(now, "c1", 1, 11)
		}
		x.round(now)
		for _, name := range x.names {
			assert.Equal(t, x.silent(name), 0, "%s, second %d", name, second)
		}
	}
}

// Guards against entry nodes that are not given out any more, or for too long, after the control node that hears them is gone.
func TestEntryNodeOfALostHolderStaysForAMoment(t *testing.T) {
	x := newNet(2)
	x.boards["c0"].ReportEntry(start, Entry{Node: "e", Region: "north", Ready: true, ReportSequence: 1})
	x.round(start)
	x.round(start)
	delete(x.boards, "c0")
	b := x.boards["c1"]
	for ms, want := range map[int]int{1000: 1, 3900: 1, 4100: 0} {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		assert.Equal(t, len(b.ReadyEntries(now, "caller", "a", "north")), want, "after %d ms", ms)
	}
	b.Tick(start.Add(5 * time.Second))
	assert.Equal(t, len(b.ReadyEntries(start.Add(5*time.Second), "caller", "a", "north")), 0)
	b.ReportEntry(start.Add(6*time.Second), Entry{Node: "e", Region: "north", Ready: true, ReportSequence: 2})
	assert.Equal(t, len(b.ReadyEntries(start.Add(6*time.Second), "caller", "a", "north")), 1)
}

// Guards against a reader that must ask all control nodes for all records while they are cut off from each other.
func TestApartTellsHowFarAnotherNodeIsKnown(t *testing.T) {
	x := newNet(3)
	x.beat(start, "c1", 1, 1)
	x.round(start)
	x.round(start)
	x.lost = func(from, _ string) bool { return from == "c1" }
	x.beat(start, "c1", 2, 1)
	x.round(start.Add(3 * time.Second))
	now := start.Add(3 * time.Second)
	apart := x.boards["c0"].UnreachablePeers(now, []string{"c1", "c2"}, 2*time.Second)
	assert.Equal(t, len(apart), 1)
	assert.Equal(t, apart[0].Address, "c1")
	d := x.boards["c1"].OwnedChangesSince(now, apart[0].Version, anyNumber)
	assert.Equal(t, len(d.Upstreams), 1)
	assert.Equal(t, d.Upstreams[0].ID, "r2")
}

// Guards against an upstream that reports to the other side of a divided group now, and that this side does not name to entry nodes.
func TestHeldNamesAnUpstreamThatTurnedToThisNode(t *testing.T) {
	x := newNet(2)
	x.beat(start, "c0", 1, 1)
	x.round(start)
	x.round(start)
	known := x.boards["c1"].Version()
	x.beat(start.Add(time.Second), "c1", 1, 2)
	d := x.boards["c1"].OwnedChangesSince(start.Add(time.Second), known, anyNumber)
	assert.Equal(t, len(d.Upstreams), 1)
	x.boards["c1"].Tick(start.Add(7 * time.Second))
	d = x.boards["c1"].OwnedChangesSince(start.Add(7*time.Second), d.Version, anyNumber)
	assert.Equal(t, len(d.Upstreams), 1)
	assert.Assert(t, d.Upstreams[0].Silent, "heard here last, and not any more")
}
