package poller

import (
	"crypto/sha256"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/base/pack"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

var t0 = time.Unix(1000, 0)

// newTestPoller returns a poller that asks no one; the test hands it the answers of two control nodes.
func newTestPoller() *Poller {
	return &Poller{
		o:         Options{Dialect: proto.Own(), Clock: clock.NewFake(t0), Events: event.New(event.Options{Clock: clock.NewFake(t0)})},
		upstreams: map[string]*known{}, entries: map[string]*knownEntry{},
		sources: map[string]*source{"a": {address: "a"}, "b": {address: "b"}},
	}
}

func (f *Poller) tell(now time.Time, from string, tell Reply) {
	f.take(now, f.sources[from], followAll, tell)
	f.publish(now)
}

// withText adds a configuration in one piece to an answer.
func withText(tell Reply, version uint64, body string) Reply {
	tell.Version, tell.Text = version, withPacked(version, 0, body, "")
	return tell
}

// withPacked returns a configuration in one piece.
func withPacked(version, base uint64, body, earlier string) *Piece {
	sum, packed := sha256.Sum256([]byte(body)), pack.Compress([]byte(body), []byte(earlier))
	return &Piece{Version: version, Base: base, Total: len(packed), Sum: sum[:], Body: packed}
}

func upstream(state roster.State, sequence int64, silent bool) Reply {
	return Reply{Sure: true, Delta: roster.Delta{Upstreams: []roster.Upstream{
		{ID: "u", Service: "s", Address: "x", State: state, StartedMs: 5, Sequence: sequence, Silent: silent},
	}}}
}

func (f *Poller) state(t *testing.T) roster.Upstream {
	t.Helper()
	list := f.View().Services["s"]
	assert.Equal(t, len(list), 1)
	return list[0]
}

// Guards against all upstreams of one half of a divided control group that count as silent, because the other half does not
// hear them.
func TestUpstreamIsSilentOnlyIfNoControlNodeHearsIt(t *testing.T) {
	f := newTestPoller()
	f.tell(t0, "a", upstream(roster.Ready, 3, false))
	f.tell(t0, "b", upstream(roster.Ready, 3, false))
	now := t0.Add(5 * time.Second)
	f.tell(now, "b", Reply{})
	f.tell(now, "a", upstream(roster.Ready, 3, true))
	assert.Assert(t, !f.state(t).Silent, "b hears it; renewals are not told")
	f.tell(now, "b", upstream(roster.Ready, 9, true))
	assert.Assert(t, f.state(t).Silent)
	f.tell(now, "b", upstream(roster.Ready, 10, false))
	assert.Assert(t, !f.state(t).Silent)
	f.tell(now.Add(3*time.Second), "a", upstream(roster.Ready, 10, true))
	assert.Assert(t, f.state(t).Silent, "b has not answered for a while")
}

// Guards against an entry node whose log does not tell how it sees an upstream, or repeats it with each answer.
func TestViewOfUpstreamIsLoggedOnce(t *testing.T) {
	f := newTestPoller()
	var codes []event.Code
	f.o.Events = event.New(event.Options{Clock: clock.NewFake(t0), Keep: 16})
	for _, tell := range []Reply{
		upstream(roster.Ready, 1, false), upstream(roster.Ready, 2, false), upstream(roster.Ready, 2, true),
		upstream(roster.Ready, 3, false), upstream(roster.Draining, 4, false),
	} {
		f.tell(t0, "a", tell)
		f.tell(t0, "b", tell)
	}
	for _, e := range f.o.Events.Select(event.Filter{}) {
		codes = append(codes, e.Code)
	}
	want := []event.Code{event.UpstreamAnnounced, event.UpstreamExpired, event.UpstreamAnnounced, event.UpstreamLeaving}
	assert.DeepEqual(t, codes, want)
}

// Guards against work for an upstream that leaves, because a control node that lags says that it is ready.
func TestOlderWordChangesNothing(t *testing.T) {
	f := newTestPoller()
	f.tell(t0, "a", upstream(roster.Draining, 7, false))
	f.tell(t0, "b", upstream(roster.Ready, 6, false))
	assert.Equal(t, f.state(t).State, roster.Draining)
	f.tell(t0, "b", upstream(roster.Gone, 0, false))
	assert.Equal(t, len(f.View().Services["s"]), 0)
	f.tell(t0, "a", upstream(roster.Ready, 8, false))
	assert.Equal(t, len(f.View().Services["s"]), 0, "gone is the last word of a start")
}

// Guards against a configuration that goes back to an older version, or is replaced by one that cannot be read.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newTestPoller()
	put := func(from string, version uint64, body string) {
		f.tell(t0, from, withText(Reply{}, version, body))
	}
	put("a", 7, `{"version":7}`)
	put("b", 5, `{"version":5}`)
	assert.Equal(t, f.View().Table.Config.Version, uint64(7))
	put("b", 9, `{"vers`)
	assert.Equal(t, f.View().Table.Config.Version, uint64(7))
}

// Guards against a restarted entry node that puts a configuration in force that the group replaced before it restarted as
// well, and against one that serves nothing while the group has no leader.
func TestFirstConfigurationComesFromASureControlNode(t *testing.T) {
	f := newTestPoller()
	f.started = t0
	old := withText(Reply{}, 5, `{"version":5}`)
	f.tell(t0.Add(time.Second), "a", old)
	assert.Assert(t, f.View().Table == nil)
	f.tell(t0.Add(time.Second), "b", withText(Reply{Sure: true}, 7, `{"version":7}`))
	assert.Equal(t, f.View().Table.Config.Version, uint64(7))

	f = newTestPoller()
	f.started = t0
	f.tell(t0.Add(unsureAfter), "a", old)
	assert.Equal(t, f.View().Table.Config.Version, uint64(5))
}

// Guards against a restarted entry node that asks the control nodes only now and then, while it can serve no one.
func TestEntryNodeWithoutConfigurationAsksOften(t *testing.T) {
	f := newTestPoller()
	a, b := f.sources["a"], f.sources["b"]
	assert.Equal(t, f.every(nil, a), helloEvery)
	f.tell(t0, "a", Reply{})
	assert.Equal(t, f.every(a, b), helloEvery, "a is not sure")
	assert.Equal(t, f.every(a, a), primaryEvery)
	f.tell(t0, "a", withText(Reply{Sure: true}, 7, `{"version":7}`))
	assert.Equal(t, f.every(a, b), time.Duration(0), "in turn with others")
	assert.Equal(t, f.every(a, a), primaryEvery)
}

// Guards against entry nodes that are taken for gone because a control node that is cut off does not hear them.
func TestOnlyASureControlNodeSaysThatAnEntryNodeIsGone(t *testing.T) {
	f := newTestPoller()
	entry := func(ready, sure bool, report int64) Reply {
		return Reply{Sure: sure, Delta: roster.Delta{Entries: []roster.Entry{{Node: "e", Ready: ready, ReportSequence: report}}}}
	}
	f.tell(t0, "a", entry(true, true, 3))
	f.tell(t0, "b", entry(false, false, 4))
	assert.Assert(t, f.View().Entries[0].Ready)
	f.tell(t0, "a", entry(false, true, 4))
	assert.Assert(t, !f.View().Entries[0].Ready)
}

// Guards against an entry node that uses its part of the limits of cold upstreams after the others have taken it for gone.
func TestNodeWithoutTheControlGroupIsIsolated(t *testing.T) {
	f := newTestPoller()
	f.o.Seeds = func() []string { return nil }
	at := t0
	tell := func(reply Reply) {
		f.noteContact(at, followAll, reply)
		from := "a"
		if s := f.primary(); s != nil {
			from = s.address
		}
		f.tell(at, from, reply)
	}
	tell(withText(Reply{Sure: true, Control: []string{"a", "b"}}, 1, "{}"))
	assert.Assert(t, f.table != nil && !f.View().Isolated)
	later := func(d time.Duration) bool {
		at = at.Add(d)
		for _, s := range f.sources {
			s.asking = true // nobody is asked
		}
		f.askDue(at)
		return f.View().Isolated
	}
	assert.Assert(t, !later(2*time.Second), "an election is no isolation")
	assert.Assert(t, later(time.Second), "no answer for 3 s")
	tell(Reply{Sure: true})
	assert.Assert(t, !later(0))
	tell(Reply{})
	assert.Assert(t, !later(0), "a leader is elected")
	for range 2 {
		tell(Reply{Sure: true, CutOff: true})
	}
	assert.Assert(t, later(0), "all control nodes that answer are cut off")
}
