package relay_test

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/fleet/relay"
	"github.com/berylledge/berylledge/pkg/upapi"
)

var t0 = time.Unix(1_800_000_000, 0)

func announce(incarnation uint64) upapi.Announce {
	return upapi.Announce{ID: "up", Incarnation: incarnation, Models: []string{"m"}, Slots: 8, LeaseMS: 9000}
}

func batch(epoch, version uint64, defs ...relay.Def) relay.Received {
	return relay.Received{Message: relay.Message{
		Kind: relay.KindBatch, From: "e2", Epoch: epoch, Version: version, Defs: defs,
	}}
}

func bye(incarnation uint64) relay.Received {
	return relay.Received{Message: relay.Message{
		Kind: relay.KindBye, From: "e2", Seq: 1, Gone: &relay.Gone{ID: "up", Incarnation: incarnation},
	}}
}

// Guards against a field of an announcement that other nodes of the data centre never see, e.g. one that was added to
// upapi.Announce and not to relay.Def.
func TestDefKeepsAllFields(t *testing.T) {
	var a upapi.Announce
	v := reflect.ValueOf(&a).Elem()
	for i := range v.NumField() {
		name, f := v.Type().Field(i).Name, v.Field(i)
		if f.CanInt() {
			f.SetInt(int64(i + 1))
		} else if f.CanUint() {
			f.SetUint(uint64(i + 1))
		} else if f.Kind() == reflect.Bool {
			f.SetBool(true)
		} else if f.Kind() == reflect.String {
			f.SetString(name)
		} else {
			f.Set(reflect.ValueOf([]string{name})) // panics for a kind that the test cannot fill
		}
	}
	for _, sender := range []string{a.DataCentre, "another"} {
		b, err := relay.Encode(relay.Message{Defs: []relay.Def{relay.Define(1, 0, a, sender, a.Region)}})
		assert.NilError(t, err)
		m, err := relay.Decode(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, m.Defs[0].Announce(sender, a.Region), a)
	}
}

// Guards against a late announcement that brings back an upstream that is leaving, also when the leave came first, and
// against a restarted upstream that is taken for the one that left.
func TestLateAnnouncementDoesNotRevive(t *testing.T) {
	for _, first := range []bool{true, false} {
		m := relay.New(relay.Config{ID: "e1"})
		if first {
			m.Step(t0, batch(1, 1, relay.Define(1, 0, announce(1), "", "")))
			assert.Assert(t, m.Knows(t0, "up"))
		}
		m.Step(t0, bye(1))
		as := m.Step(t0, batch(1, 1, relay.Define(1, 0, announce(1), "", "")))
		assert.Equal(t, len(as), 0, "%v", as)
		assert.Assert(t, !m.Knows(t0, "up"))
		m.Step(t0, batch(1, 2, relay.Define(2, 0, announce(2), "", "")))
		assert.Assert(t, m.Knows(t0, "up"))
		m.Step(t0, bye(1)) // late
		assert.Assert(t, m.Knows(t0, "up"))
	}
}

// Guards against applying handles from before a sender's restart, or from a lost batch, to other upstreams.
func TestUnknownHandlesAreAskedFor(t *testing.T) {
	m := relay.New(relay.Config{ID: "e1"})
	as := m.Step(t0, batch(5, 3, relay.Define(3, 0, announce(1), "", "")))
	want := as[len(as)-1].(relay.Send)
	assert.Equal(t, want.Message.Kind, relay.KindWant)
	assert.Equal(t, want.To, "e2")
	r := relay.Message{
		Kind: relay.KindBatch, From: "e2", Epoch: 4, Version: 3, Renews: []relay.Renewal{{Handle: 3}},
	}
	assert.Equal(t, len(m.Step(t0.Add(time.Second), relay.Received{Message: r})), 0) // before the restart
	r.Epoch = 5
	as = m.Step(t0.Add(time.Second), relay.Received{Message: r})
	renew := as[0].(relay.ApplyRenew)
	assert.Equal(t, renew.Renew.ID, "up")
}

// Guards against a lease that a late or repeated renewal moves back or beyond the last renewal of the upstream.
func TestLeaseFollowsTheUpstream(t *testing.T) {
	m := relay.New(relay.Config{ID: "e1"})
	m.Step(t0, batch(1, 1, relay.Define(1, 0, announce(1), "", "")))
	renew := func(now time.Time, age time.Duration) []relay.Action {
		return m.Step(now, relay.Received{Message: relay.Message{
			Kind: relay.KindBatch, From: "e2", Epoch: 1, Version: 1,
			Renews: []relay.Renewal{{Handle: 1, AgeMS: age.Milliseconds()}},
		}})
	}
	as := renew(t0.Add(3*time.Second), time.Second)
	assert.Equal(t, as[0].(relay.ApplyRenew).At, t0.Add(2*time.Second))
	assert.Equal(t, len(renew(t0.Add(4*time.Second), 3*time.Second)), 0)
	assert.Assert(t, m.Knows(t0.Add(10999*time.Millisecond), "up"))
	assert.Assert(t, !m.Knows(t0.Add(11*time.Second), "up"))
}

// reported reports whether a machine says that all peers know a leave.
func reported(actions []relay.Action) bool {
	for _, a := range actions {
		if _, ok := a.(relay.LeaveKnown); ok {
			return true
		}
	}
	return false
}

// Guards against a departure that is acknowledged while a peer has not heard of it, and against one that waits for a node that is gone.
func TestLeaveIsKnownOnceEachPresentPeerHasAcknowledgedIt(t *testing.T) {
	ack := func(from string, seq uint64) relay.Received {
		return relay.Received{Message: relay.Message{Kind: relay.KindByeAck, From: from, Seq: seq}}
	}
	left := relay.Left{Renew: upapi.Renew{ID: "up", Incarnation: 5}}
	m := relay.New(relay.Config{ID: "e1", DataCentre: "a", Region: "r", Seed: 1})
	assert.Assert(t, reported(m.Step(t0, left)), "a node without peers")
	m.Step(t0, relay.SetPeers{Local: []string{"e2", "e3"}})
	assert.Assert(t, !reported(m.Step(t0, left)))
	assert.Assert(t, !reported(m.Step(t0, ack("e2", 2))))
	assert.Assert(t, !reported(m.Step(t0, ack("e2", 2))))
	assert.Assert(t, reported(m.Step(t0, ack("e3", 2))))
	assert.Assert(t, !reported(m.Step(t0, left)), "a leave that comes again is sent again")
	m.Step(t0, ack("e2", 3))
	assert.Assert(t, reported(m.Step(t0, relay.SetPeers{Local: []string{"e2"}})), "the last node that had not answered is gone")
	assert.Assert(t, !reported(m.Step(t0.Add(time.Second), relay.Tick{})))
}
