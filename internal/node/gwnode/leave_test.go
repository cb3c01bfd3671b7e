package gwnode

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/state/vdoc"
	"github.com/berylledge/berylledge/internal/test/netem"
)

// restartControl stops all control nodes at once and starts them again with their folders.
func (f *fleet) restartControl() {
	f.t.Helper()
	var wg sync.WaitGroup
	for n := 1; n <= 3; n++ {
		wg.Go(f.nodes[n].Close)
	}
	wg.Wait()
	for n := 1; n <= 3; n++ {
		f.start(n, false)
	}
}

func (f *fleet) knows(node int, state roster.State) func() bool {
	return func() bool { return f.nodes[node].control.Upstreams()[state] == 1 }
}

// Guards against an acknowledged departure that a restart of all control nodes forgets: the upstream sends no more heartbeats and
// serves on for a while, and entry nodes that had not asked yet would send it work until it exits.
func TestDepartureSurvivesARestartOfAllControlNodes(t *testing.T) {
	leave := map[roster.State]func(f *fleet) int{
		roster.Gone: func(f *fleet) int {
			status, _ := f.do("DELETE", "http://"+f.at(1, controlPort)+"/v1/traffic/upstreams/u1", nil)
			return status
		},
		roster.Draining: func(f *fleet) int { return f.beat(1, roster.Draining, 2) },
	}
	for state, send := range leave {
		t.Run(map[roster.State]string{roster.Gone: "gone", roster.Draining: "draining"}[state], func(t *testing.T) {
			f := newFleet(t, 67)
			for n := 1; n <= 3; n++ {
				f.start(n, true)
			}
			f.put(1, f.config(5, "/x/"))
			f.start(11, true)
			f.eventually("the upstream is registered", func() bool { return f.beat(1, roster.Ready, 1) == 200 })
			f.eventually("the entry node serves", func() bool { return f.request(11, "/x/") == 200 })
			f.eventually("the departure is acknowledged", func() bool { return send(f) == 200 })
			f.restartControl()
			for n := 1; n <= 3; n++ {
				f.eventually("each control node knows the departure", f.knows(n, state))
			}
			f.eventually("the entry node sends it no more work", func() bool { return f.request(11, "/x/") == 503 })
			assert.Equal(t, f.beat(2, roster.Ready, 1), 200, "a late heartbeat is acknowledged")
			f.eventually("and changes nothing", f.knows(2, state))
		})
	}
}

// Guards against a control node that never learns of a departure which was acknowledged while it was away, because the node that
// heard it is lost before it could tell: the entry nodes that follow it would send work to the upstream.
func TestDepartureReachesAControlNodeThatWasAway(t *testing.T) {
	f := newFleet(t, 68)
	for n := 1; n <= 3; n++ {
		f.start(n, true)
	}
	f.put(1, f.config(5, "/x/"))
	f.eventually("the upstream is registered", func() bool { return f.beat(1, roster.Ready, 1) == 200 })
	f.eventually("the third node knows it", f.knows(3, roster.Ready))
	f.stop(3)
	f.eventually("the departure is acknowledged", func() bool { return f.beat(1, roster.Draining, 2) == 200 })
	f.stop(1)
	f.start(3, false)
	f.eventually("the third node knows the departure", f.knows(3, roster.Draining))
}

// Guards against a new run of an upstream that is kept from work by the stored departure of the run before.
func TestNewRunIsNotBoundByAStoredDeparture(t *testing.T) {
	f := newFleet(t, 69)
	p := f.startSmallest()
	f.eventually("the departure is acknowledged", func() bool { return f.beat(1, roster.Draining, 2) == 200 })
	f.stop(1)
	f.start(1, false)
	f.eventually("the control node knows it", f.knows(1, roster.Draining))
	f.born++
	f.eventually("the new run is registered", func() bool { return f.beat(1, roster.Ready, 1) == 200 })
	f.eventually("the entry node serves", func() bool { return p.isReady() && f.request(11, "/x/") == 200 })
}

// leave sends the DELETE of the upstream to a control node.
func (f *fleet) leave(node int) int {
	status, _ := f.do("DELETE", "http://"+f.at(node, controlPort)+"/v1/traffic/upstreams/u1", nil)
	return status
}

// Guards against the departure of an earlier run that is delivered late and replaces the acknowledged one of a newer run under the same
// id: after a restart of all control nodes the upstream that is leaving would get work again.
func TestLateDepartureDoesNotReplaceThatOfANewerRun(t *testing.T) {
	f := newFleet(t, 104)
	for n := 1; n <= 3; n++ {
		f.start(n, true)
	}
	f.put(1, f.config(5, "/x/"))
	f.eventually("the upstream is registered", func() bool { return f.beat(1, roster.Ready, 1) == 200 })
	f.eventually("its departure is acknowledged", func() bool { return f.leave(1) == 200 })
	var late vdoc.Notice
	f.eventually("the node has applied it", func() bool {
		var stored bool
		late, stored = f.nodes[1].member.Notice("u1")
		return stored
	})
	f.born++
	f.eventually("the next run is registered", func() bool { return f.beat(2, roster.Ready, 1) == 200 })
	f.eventually("its departure is acknowledged", func() bool { return f.beat(2, roster.Draining, 2) == 200 })
	assert.NilError(t, f.nodes[3].member.ProposeNotice(t.Context(), late))
	for v := uint64(6); v <= 80; v++ { // more than the 64 entries between two snapshots
		f.put(1, f.config(v, "/x/"))
	}
	f.restartControl()
	for n := 1; n <= 3; n++ {
		f.eventually("each control node knows the departure of the newer run", f.knows(n, roster.Draining))
	}
}

// Guards against a DELETE that a frozen control node reads when it wakes, after the upstream has started again under the same id: the
// new run would get no work for 45 s.
func TestDepartureOfASenderThatHasLeftIsNotCarriedOut(t *testing.T) {
	f := newFleet(t, 105)
	f.every = 60_000
	f.links = netem.New(clock.Real(), 10_000_000)
	for n := 1; n <= 3; n++ {
		f.start(n, true)
	}
	f.put(1, f.config(5, "/x/"))
	f.eventually("the upstream is registered", func() bool { return f.beat(1, roster.Ready, 1) == 200 })
	for n := 1; n <= 3; n++ {
		f.eventually("each control node knows it", func() bool { return len(f.nodes[n].control.Upstreams()) == 1 })
	}
	f.sendAndLeave("DELETE", "/v1/traffic/upstreams/u1")
	f.put(2, f.config(6, "/x/")) // behind what the nodes have proposed
	for n := 1; n <= 3; n++ {
		f.eventually("the node has applied it", func() bool { return f.read(n) == 6 })
		assert.Equal(t, f.nodes[n].control.Upstreams()[roster.Gone], 0)
	}
	f.eventually("a departure whose sender waits is carried out", func() bool { return f.leave(2) == 200 })
	f.eventually("it is known", f.knows(1, roster.Gone))
}
