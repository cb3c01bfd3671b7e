package gwnode

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/test/netem"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// Bounds of a cold upstream in these tests.
const (
	coldPerSecond = 5.2
	coldOverage   = 1.5
	coldSlack     = 5.0
	coldBound     = 12 // requests in any second: coldPerSecond times coldOverage and coldSlack, 12.8
	// coldNotice is the time after a heartbeat that says cold which is not judged: entry nodes have to learn of it.
	coldNotice = 1500 * time.Millisecond
)

// pacedUpstream notes when requests arrive, and sends its heartbeats to one control node.
type pacedUpstream struct {
	*rawup.Upstream
	id string

	mu        sync.Mutex
	node      int // control node for the heartbeats
	sequence  int64
	coldUntil time.Time
	arrivals  []time.Time
}

func newPacedUpstream(t *testing.T, id string, node int) *pacedUpstream {
	u := &pacedUpstream{id: id, node: node}
	u.Upstream = rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		u.mu.Lock()
		u.arrivals = append(u.arrivals, time.Now())
		u.mu.Unlock()
		c.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\nBerylledge-Request: %s\r\nBerylledge-Signature: s\r\nContent-Length: 2\r\n\r\nok",
			r.Header.Get("Berylledge-Request")))
	})
	return u
}

// beat sends one heartbeat and returns the status of its answer.
func (u *pacedUpstream) beat(f *fleet) int {
	u.mu.Lock()
	u.sequence++
	body := roster.Upstream{
		Service: "desk", Address: u.Address, DataCentre: "a", State: roster.Ready, StartedMs: 5, Sequence: u.sequence,
		ColdMs: max(time.Until(u.coldUntil).Milliseconds(), 0),
	}
	node := u.node
	u.mu.Unlock()
	status, _ := f.do("PUT", "http://"+f.at(node, controlPort)+"/v1/traffic/upstreams/"+u.id, body)
	return status
}

// turnCold says with a heartbeat that the upstream is cold for a time.
func (u *pacedUpstream) turnCold(f *fleet, d time.Duration) (turned time.Time) {
	turned = time.Now()
	u.mu.Lock()
	u.coldUntil = turned.Add(d)
	u.mu.Unlock()
	u.beat(f)
	return turned
}

// mostInASecond returns the largest number of requests that arrived within a second between two times.
func (u *pacedUpstream) mostInASecond(from, to time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := 0
	for i, at := range u.arrivals {
		if at.Before(from) || at.After(to.Add(-time.Second)) {
			continue
		}
		n := 0
		for _, later := range u.arrivals[i:] {
			if later.Sub(at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// coldFleet starts control nodes 1 to 3, entry nodes 11 to 13 and two upstreams, the first of which reports to a control node that is
// no leader, and lets clients call the entry nodes until the test ends.
func coldFleet(t *testing.T, network int) (f *fleet, u *pacedUpstream) {
	f = newFleet(t, network)
	f.links = netem.New(clock.Real(), 100_000_000)
	f.every = 1200
	f.cold = pace.Bounds{ColdOverage: coldOverage, ColdSlack: coldSlack}
	for n := 1; n <= 3; n++ {
		f.start(n, true)
	}
	c := f.config(5, "/x/")
	c.Services = []conf.Service{{Name: "desk", ColdPerSecond: coldPerSecond}}
	f.put(1, c)
	for n := 11; n <= 13; n++ {
		f.start(n, true).poller.SetReady(true)
	}
	u = newPacedUpstream(t, "u1", f.follower())
	other := newPacedUpstream(t, "u2", f.leader())
	f.repeat(f.every.Duration(), func() { u.beat(f) })
	f.repeat(f.every.Duration(), func() { other.beat(f) })
	for n := 11; n <= 13; n++ {
		f.eventually("the entry node knows both upstreams", func() bool { return len(f.nodes[n].poller.View().Services["desk"]) == 2 })
		for range 6 {
			f.repeat(50*time.Millisecond, func() { f.request(n, "/x/") })
		}
	}
	f.eventually("the upstream gets its full load", func() bool {
		now := time.Now()
		return u.mostInASecond(now.Add(-2*time.Second), now) > 2*coldBound
	})
	return f, u
}

// repeat calls a function, with a pause after each call, until the test ends.
func (f *fleet) repeat(pause time.Duration, call func()) {
	var wg sync.WaitGroup
	wg.Go(func() {
		for f.t.Context().Err() == nil {
			call()
			_ = clock.Sleep(f.t.Context(), clock.Real(), pause)
		}
	})
	f.t.Cleanup(wg.Wait)
}

// Guards against an upstream that turns cold while no entry node can learn of it, and that gets its full load: "48 requests in a second,
// 12.8 allowed; it crashed" (review/8). Only a control node that is cut off hears it, or no control node answers the entry nodes. It may
// turn cold at any time after the cut.
func TestUpstreamThatTurnsColdUnheardGetsTheColdShare(t *testing.T) {
	entries, others := []int{11, 12, 13}, func(u *pacedUpstream) []int { return []int{u.node%3 + 1, (u.node+1)%3 + 1} }
	fromAll := func(f *fleet, u *pacedUpstream) { f.cutBetween([]int{u.node}, append(others(u), entries...)) }
	fromControl := func(f *fleet, u *pacedUpstream) { f.cutBetween([]int{u.node}, others(u)) }
	entriesOff := func(f *fleet, _ *pacedUpstream) { f.cutBetween(entries, []int{1, 2, 3}) }
	for i, c := range []struct {
		name  string
		cut   func(f *fleet, u *pacedUpstream)
		after time.Duration
	}{
		{"its control node is cut off from all", fromAll, 300 * time.Millisecond},
		{"its control node is cut off from all, later", fromAll, 1800 * time.Millisecond},
		{"its control node is cut off from the others", fromControl, 300 * time.Millisecond},
		{"its control node is cut off from the others, later", fromControl, 1800 * time.Millisecond},
		{"the entry nodes are cut off from all control nodes", entriesOff, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, u := coldFleet(t, 106+i)
			c.cut(f, u)
			f.sleep(c.after)
			const cold = 4 * time.Second
			turned := u.turnCold(f, cold)
			f.sleep(cold)
			most := u.mostInASecond(turned.Add(coldNotice), turned.Add(cold))
			assert.Assert(t, most <= coldBound, "%d requests in a second", most)
		})
	}
}

// cutBetween cuts each of some nodes off from each of others.
func (f *fleet) cutBetween(some, others []int) {
	for _, a := range some {
		for _, b := range others {
			f.links.Cut(f.ip(a), f.ip(b))
		}
	}
}

// Guards against an upstream that goes on reporting to a control node that is cut off, so that nobody else learns what it says.
func TestCutOffNodeSendsHeartbeatsElsewhere(t *testing.T) {
	f, u := coldFleet(t, 111)
	f.cutBetween([]int{u.node}, []int{u.node%3 + 1, (u.node+1)%3 + 1})
	f.eventually("the heartbeat is refused", func() bool { return u.beat(f) == 503 })
	u.mu.Lock()
	behind := f.nodes[u.node].control
	u.node = f.leader()
	u.mu.Unlock()
	f.eventually("the next node acknowledges", func() bool { return u.beat(f) == 200 })
	assert.Equal(t, behind.Upstreams()[roster.Ready], 2, "what it has refused counts for its own entry nodes")
}
