package poller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

var north = Place{Region: "north"}

// feedOf returns the poller of an entry node that has heard all of a number of control nodes, half of them in its region.
func feedOf(node string, control int) *Poller {
	f := newTestPoller()
	f.o.Self = roster.Entry{Node: node, Region: "north"}
	f.o.Seeds = func() []string { return nil }
	f.sources = map[string]*source{}
	for i := range control {
		a := fmt.Sprintf("10.0.0.%d:7100", i)
		f.addSource(a)
		f.take(t0, f.sources[a], lookIn, Reply{Epoch: 1, Sure: true, Place: Place{Region: []string{"north", "south"}[i%2]}})
	}
	f.tell(t0, "10.0.0.0:7100", withText(Reply{Sure: true, Place: north, Epoch: 1}, 7, `{"version":7}`))
	return f
}

// Guards against one control node that serves all entry nodes while the others idle, and against traffic between regions:
// "300 entry nodes after a restart of the fleet".
func TestEntryNodesSpreadOverTheControlNodesOfTheirRegion(t *testing.T) {
	const entries, control = 300, 10
	load := map[string]int{}
	for i := range entries {
		f := feedOf(fmt.Sprint("entry-", i), control)
		p := f.primary()
		assert.Equal(t, p.place, north)
		load[p.address]++
	}
	mean := entries / (control / 2)
	for a, n := range load {
		assert.Assert(t, n < mean*3/2, "%s serves %d of %d", a, n, entries)
	}
}

// Guards against records that cross data centres though a control node of the own one has them.
func TestControlNodeOfTheOwnDataCentreComesFirst(t *testing.T) {
	f := feedOf("e", 10)
	f.o.Self.DataCentre = "b"
	f.take(t0, f.sources["10.0.0.4:7100"], lookIn, Reply{Epoch: 1, Sure: true, Place: Place{DataCentre: "b", Region: "north"}})
	assert.Equal(t, f.primary().address, "10.0.0.4:7100")
	f.take(t0, f.sources["10.0.0.4:7100"], lookIn, Reply{Epoch: 1, Place: Place{DataCentre: "b", Region: "north"}})
	assert.Equal(t, f.primary().place, north)
}

// Guards against "300 entry nodes that read 3,000 upstreams after a restart": a record has some 100 bytes, most of them the same
// in all.
func TestPageOfRecordsIsCompressed(t *testing.T) {
	tell := Reply{Epoch: 9, Sure: true}
	for i := range 256 {
		tell.Delta.Upstreams = append(tell.Delta.Upstreams, roster.Upstream{
			ID: fmt.Sprintf("i-%08x", i*2654435761%0xffffffff), Service: "boje95a", Address: fmt.Sprintf("10.%d.64.%d:8080", i%6, i),
			DataCentre: "a", Slots: 32, State: roster.Ready, StartedMs: 1780000000000 + int64(i*7919), Sequence: int64(i % 20),
		})
	}
	body, err := tell.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(body) < 256*40, "%d bytes", len(body))
	got, err := DecodeReply(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Delta, tell.Delta)
	small := Reply{Epoch: 9, Delta: roster.Delta{Version: 3}}
	body, err = small.Encode()
	assert.NilError(t, err)
	got, err = DecodeReply(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, small)
}

// Guards against questions that grow with the number of control nodes.
func TestQuestionsDoNotGrowWithTheControlNodes(t *testing.T) {
	rate := func(control int) (all, others int) {
		f := feedOf("e", control)
		for ms := 0; ms < 60_000; ms += 50 {
			now := t0.Add(time.Duration(ms) * time.Millisecond)
			primary := f.primary()
			for _, s := range f.due(now) {
				s.asked = now
				all++
				if s != primary {
					others++
				}
			}
		}
		return all, others
	}
	few, fewOthers := rate(3)
	many, manyOthers := rate(30)
	assert.Assert(t, many <= few, "%d questions a minute, %d with ten times the control nodes", few, many)
	assert.Assert(t, fewOthers > 40 && manyOthers > 40, "%d and %d", fewOthers, manyOthers)
}

// Guards against an entry node that stays with a control node that does not answer, or that has lost its group.
func TestAnotherControlNodeIsFollowedAtOnce(t *testing.T) {
	f := feedOf("e", 6)
	first := f.primary()
	f.failed(first)
	second := f.primary()
	assert.Assert(t, second != first)
	assert.Equal(t, second.place, north)
	f.take(t0, second, followAll, Reply{Epoch: 1, Place: north})
	assert.Assert(t, f.primary() != second, "it is not sure any more")
	f.take(t0, first, lookIn, Reply{Epoch: 1, Sure: true, Place: north})
	assert.Equal(t, f.primary(), first)
}

// Guards against an entry node that stays with a control node which is cut off, until that one or the others notice that the leader
// is gone, and against one that reports to the next control node at its next turn only.
func TestCutOffControlNodeIsFollowedLast(t *testing.T) {
	f := feedOf("e", 6)
	first := f.primary()
	f.take(t0, first, followAll, Reply{Epoch: 1, Sure: true, CutOff: true, Place: north})
	second := f.primary()
	assert.Assert(t, second != first)
	for _, s := range f.sources {
		if s != first {
			f.take(t0, s, lookIn, Reply{Epoch: 1, Place: s.place})
		}
	}
	assert.Equal(t, f.primary(), second, "no other one has a leader")
	second.asked = t0
	f.hurry()
	assert.Assert(t, slices.Contains(f.due(t0), second))
	f.take(t0, first, lookIn, Reply{Epoch: 1, Sure: true, Place: north})
	assert.Equal(t, f.primary(), first)
	for _, s := range f.sources {
		f.take(t0, s, lookIn, Reply{Epoch: 1, Sure: true, CutOff: true, Place: s.place})
	}
	assert.Equal(t, f.primary(), first, "all are alone")
	assert.Equal(t, f.every(first, second), helloEvery)
}

// Guards against upstreams that report to one side of a divided group and are not known to entry nodes that follow the other.
func TestControlNodesThatThePrimaryDoesNotHearAreAsked(t *testing.T) {
	f := feedOf("e", 6)
	primary := f.primary()
	other := f.sources["10.0.0.1:7100"]
	apart := []roster.SyncPosition{{Address: other.address, Epoch: 1, Version: 40}}
	f.take(t0, primary, followAll, Reply{Epoch: 1, Sure: true, Place: north, Apart: apart})
	assert.Equal(t, f.every(primary, other), apartEvery)
	as, q := f.question(other)
	assert.Equal(t, as, followHeld)
	assert.Assert(t, q.Held && q.Entry == nil && q.Seen == 40, "%+v", q)
	f.take(t0, other, as, Reply{Epoch: 1, Delta: roster.Delta{Version: 44, Upstreams: []roster.Upstream{
		{ID: "u", Service: "s", State: roster.Ready, StartedMs: 5},
	}}})
	assert.Equal(t, len(f.View().Services["s"]), 1)
	_, q = f.question(other)
	assert.Equal(t, q.Seen, uint64(44))
	f.take(t0, primary, followAll, Reply{Epoch: 1, Sure: true, Place: north})
	as, _ = f.question(other)
	assert.Equal(t, as, lookIn)
}

// Guards against a crashed upstream that counts as heard while the group is divided, because the other side does not speak of it; and
// against one that reports to the other side now and counts as silent.
func TestOnlyAControlNodeThatNamesAnUpstreamHearsIt(t *testing.T) {
	f := newTestPoller()
	a, b := f.sources["a"], f.sources["b"]
	f.tell(t0, "a", Reply{Sure: true, Epoch: 1, Delta: roster.Delta{Version: 1, Upstreams: []roster.Upstream{
		{ID: "u", Service: "s", State: roster.Ready, StartedMs: 5, Sequence: 3},
	}}})
	b.told = lookIn
	apart := []roster.SyncPosition{{Address: "b", Epoch: 1, Version: 9}}
	silent := upstream(roster.Ready, 3, true)
	silent.Epoch, silent.Apart = 1, apart
	f.take(t0, b, followHeld, Reply{Epoch: 1, Delta: roster.Delta{Version: 9}})
	f.take(t0, a, followAll, silent)
	assert.Assert(t, f.state(t).Silent, "b hears others, not this one")
	f.take(t0, b, followHeld, Reply{Epoch: 1, Delta: roster.Delta{Version: 10, Upstreams: []roster.Upstream{
		{ID: "u", Service: "s", State: roster.Ready, StartedMs: 5, Sequence: 8},
	}}})
	assert.Assert(t, !f.state(t).Silent)
	f.take(t0, b, followHeld, Reply{Epoch: 1, Delta: roster.Delta{Version: 11, Upstreams: []roster.Upstream{
		{ID: "u", Service: "s", State: roster.Ready, StartedMs: 5, Sequence: 8, Silent: true},
	}}})
	assert.Assert(t, f.state(t).Silent)
}

// Guards against an entry node that stays for seconds with a control node of the smaller part of a divided group, since it looks in on
// the others one after the other.
func TestAllControlNodesAreAskedWhileThePrimaryIsNotSure(t *testing.T) {
	f := feedOf("e", 9)
	for _, s := range f.sources {
		f.take(t0, s, lookIn, Reply{Epoch: 1, Place: s.place})
	}
	primary := f.primary()
	for _, s := range f.sources {
		s.asked = t0
	}
	assert.Equal(t, len(f.due(t0.Add(helloEvery))), 9)
	sure := f.sources["10.0.0.7:7100"]
	f.take(t0, sure, lookIn, Reply{Epoch: 1, Sure: true, Place: sure.place})
	assert.Equal(t, f.primary(), sure)
	assert.Equal(t, f.every(sure, primary), time.Duration(0))
}

// Guards against entry nodes that vanish from the view because nothing changed for a minute.
func TestUnchangedEntryNodeStays(t *testing.T) {
	f := newTestPoller()
	f.tell(t0, "a", Reply{Sure: true, Delta: roster.Delta{Entries: []roster.Entry{{Node: "e", Ready: true, ReportSequence: 1}}}})
	f.tell(t0.Add(time.Hour), "a", Reply{Sure: true, Delta: roster.Delta{Upstreams: []roster.Upstream{{ID: "u", State: roster.Ready}}}})
	assert.Equal(t, len(f.View().Entries), 1)
}

// Guards against an entry node that knows no upstream, because all control nodes have just restarted and were not reached by all
// heartbeats yet; and against records that stay for good though a control node removed them while this node did not ask it.
func TestRecordsThatATransferLacksAreKeptForAWhile(t *testing.T) {
	f := newTestPoller()
	two := []roster.Upstream{
		{ID: "u", Service: "s", State: roster.Ready, StartedMs: 5}, {ID: "v", Service: "s", State: roster.Ready, StartedMs: 5},
	}
	entries := []roster.Entry{{Node: "e", Ready: true, ReportSequence: 1}}
	f.tell(t0, "a", Reply{Sure: true, Epoch: 1, Delta: roster.Delta{Full: true, Version: 9, Upstreams: two, Entries: entries}})
	assert.Equal(t, len(f.View().Services["s"]), 2)
	restart := t0.Add(time.Second)
	f.tell(restart, "a", Reply{Sure: true, Epoch: 2, Delta: roster.Delta{Full: true, Version: 0}})
	assert.Equal(t, len(f.View().Services["s"]), 2, "the control node has heard nobody yet")
	assert.Equal(t, len(f.View().Entries), 1)
	f.tell(restart.Add(time.Second), "a", Reply{Sure: true, Epoch: 2, Delta: roster.Delta{Version: 2, Upstreams: two[1:]}})
	f.tell(restart.Add(forgetAfter-time.Second), "a", Reply{Sure: true, Epoch: 2, Delta: roster.Delta{Version: 2}})
	assert.Equal(t, len(f.View().Services["s"]), 2)
	f.tell(restart.Add(forgetAfter+time.Second), "a", Reply{Sure: true, Epoch: 2, Delta: roster.Delta{Version: 2}})
	left := f.View().Services["s"]
	assert.Equal(t, len(left), 1)
	assert.Equal(t, left[0].ID, "v")
	assert.Equal(t, len(f.View().Entries), 0)
}

// Guards against an upstream that counts as heard because the word that it is silent names an older heartbeat than another control
// node told.
func TestSilenceCountsWhateverTheHeartbeat(t *testing.T) {
	f := newTestPoller()
	f.tell(t0, "a", upstream(roster.Ready, 50, false))
	f.sources["a"].failed = 1
	f.sources["a"].told = lookIn
	f.tell(t0, "b", upstream(roster.Ready, 3, false))
	assert.Assert(t, !f.state(t).Silent)
	f.tell(t0, "b", upstream(roster.Ready, 3, true))
	assert.Assert(t, f.state(t).Silent)
}

// pieces cuts a configuration as a control node does.
func pieces(version, base uint64, document, earlier string) []*Piece {
	whole := withPacked(version, base, document, earlier)
	var out []*Piece
	for at := 0; at < len(whole.Body); at += 100 {
		p := *whole
		p.Offset, p.Body = at, whole.Body[at:min(at+100, len(whole.Body))]
		out = append(out, &p)
	}
	return out
}

func largeConfig(version int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range 200 {
		fmt.Fprintf(&b, `{"name":"r%d","prefix":"/%x/"},`, i, i*2654435761)
	}
	b.WriteString(`{"name":"last","prefix":"/"}]}`)
	return b.String()
}

// Guards against a configuration that comes in force in part, or mixed from two sources or versions.
func TestConfigurationArrivesInPieces(t *testing.T) {
	f := newTestPoller()
	list := pieces(7, 0, largeConfig(7), "")
	assert.Assert(t, len(list) > 3)
	for i, p := range list {
		used, more := f.takePiece("a", p)
		assert.Equal(t, used, i == len(list)-1)
		assert.Equal(t, more, !used)
		if i == 1 {
			w := f.text.want("a", 0)
			assert.Equal(t, *w, Want{Version: 7, Offset: 200})
			assert.Equal(t, *f.text.want("b", 0), Want{}, "another one starts anew")
			f.takePiece("b", list[3])
			f.takePiece("a", list[3])
			assert.Equal(t, f.text.want("a", 0).Offset, 200, "a piece that does not follow")
		}
	}
	assert.Equal(t, f.version, uint64(7))
	assert.Equal(t, string(f.document), largeConfig(7))
}

// Guards against a difference that is applied to another version than it was made for, and against a node that asks for it again
// and again.
func TestDifferenceThatDoesNotFitIsAskedForWhole(t *testing.T) {
	f := newTestPoller()
	f.takeDocument(7, []byte(largeConfig(7)), "a")
	used, _ := f.takePiece("a", withPacked(8, 6, largeConfig(8), largeConfig(6)))
	assert.Assert(t, !used, "it is made for version 6")
	wrong := withPacked(8, 7, largeConfig(8), largeConfig(6)+" and more")
	used, _ = f.takePiece("a", wrong)
	assert.Assert(t, !used)
	assert.Equal(t, f.version, uint64(7))
	assert.Equal(t, f.text.want("a", 7).Base, uint64(0))
	used, _ = f.takePiece("a", withPacked(8, 0, largeConfig(8), ""))
	assert.Assert(t, used)
	assert.Equal(t, f.text.want("a", 8).Base, uint64(8))
	used, _ = f.takePiece("a", withPacked(9, 8, largeConfig(9), largeConfig(8)))
	assert.Assert(t, used)
}

// Guards against a malformed piece that takes the process down or fills its memory.
func FuzzPiece(f *testing.F) {
	whole := withPacked(7, 0, largeConfig(7), "")
	f.Add(uint64(7), uint64(0), 0, whole.Total, whole.Body)
	f.Add(uint64(7), uint64(3), 5, -1, []byte{0})
	f.Fuzz(func(t *testing.T, version, base uint64, offset, total int, body []byte) {
		feed := &Poller{o: Options{
			Dialect: proto.Own(), Clock: clock.NewFake(t0), Events: event.New(event.Options{Clock: clock.NewFake(t0)}),
		}}
		for range 3 {
			feed.takePiece("a", &Piece{Version: version, Base: base, Offset: offset, Total: total, Sum: whole.Sum, Body: body})
			offset += len(body)
		}
	})
}
