package pace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/pick"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

var slowStart = &conf.Service{Name: "desk", ColdTime: 1}

// startFleet is a number of VMs with requests for one plain service.
type startFleet struct {
	*fleet
	choosers []*pick.Chooser
	list     []roster.Upstream
	took     map[string]time.Duration // service time, by upstream; 0: it breaks off
	arrivals map[string][]time.Time
	waiting  int // requests for which no upstream was found
}

func newStartFleet(vms, upstreams int, startedMs int64) *startFleet {
	s := &startFleet{
		fleet: &fleet{rng: rand.New(rand.NewPCG(5, 1)), now: t0, events: map[int64][]func(){}},
		took:  map[string]time.Duration{}, arrivals: map[string][]time.Time{},
	}
	for i := range upstreams {
		id := fmt.Sprint("u", i)
		s.list = append(s.list, roster.Upstream{ID: id, Service: "desk", State: roster.Ready, Slots: 12, StartedMs: startedMs})
		s.took[id] = 40 * time.Millisecond
	}
	names := ids("vm", vms)
	for _, n := range names {
		c := pick.New(bounds, n)
		c.SetNodes(t0, names)
		s.choosers = append(s.choosers, c)
	}
	return s
}

// start starts an upstream anew.
func (s *startFleet) start(i int) {
	s.list[i].StartedMs = s.now.UnixMilli()
}

func (s *startFleet) ask(vm int) {
	c := s.choosers[vm]
	// Most VMs have no request in flight, so that affinity spreads the requests.
	u, ok := c.Choose(s.now, s.list, pick.Criteria{Service: slowStart, Affinity: fmt.Sprint(s.rng.Uint64())})
	if !ok {
		s.waiting++
		return
	}
	c.Begin(s.now, u.ID)
	s.arrivals[u.ID] = append(s.arrivals[u.ID], s.now)
	d, r := s.took[u.ID], pick.Succeeded
	if d == 0 {
		d, r = 20*time.Millisecond, pick.NoResponse
	}
	s.after(d+s.between(time.Millisecond, 10*time.Millisecond), func() { c.End(s.now, u.ID, r, d) })
}

// counts returns the arrivals at an upstream from a time on, by interval.
func (s *startFleet) counts(id string, from time.Time, each time.Duration, n int) []int {
	out := make([]int, n)
	for _, a := range s.arrivals[id] {
		if i := int(a.Sub(from) / each); !a.Before(from) && i < n {
			out[i]++
		}
	}
	return out
}

// Load pattern: 300 VMs send 1,000 requests a second to ten upstreams, one of which starts anew. Guards against the flood of a new
// upstream, whose low number of requests in flight attracts each VM at the same time, and against one that stays idle. An
// upstream that is slower than its peers must not get as much as one that is as quick.
func TestNewUpstreamIsNeitherFloodedNorIdle(t *testing.T) {
	for name, c := range map[string]struct {
		vms         int
		took        time.Duration
		least, most int // requests in the third second after the start
	}{
		"as quick as its peers": {300, 40 * time.Millisecond, 50, 150},
		"few VMs, as quick":     {10, 40 * time.Millisecond, 70, 150},
		"few VMs, slow":         {10, 400 * time.Millisecond, 1, 25},
	} {
		s := newStartFleet(c.vms, 10, 1)
		at := t0.Add(3 * time.Second)
		s.after(at.Sub(t0), func() {
			s.start(9)
			s.took["u9"] = c.took
		})
		s.run(7*time.Second, func() {
			for range 5 {
				s.ask(s.rng.IntN(c.vms))
			}
		})
		got := s.counts("u9", at, 300*time.Millisecond, 10)
		second := s.counts("u9", at.Add(2*time.Second), time.Second, 1)[0]
		t.Logf("%s: arrivals in each 300 ms after the start %v, in the third second %d of 1000", name, got, second)
		assert.Assert(t, got[0] <= s.list[9].Slots, "%s: %d requests in the first 300 ms", name, got[0])
		assert.Assert(t, second >= c.least && second <= c.most, "%s: %d requests in the third second", name, second)
		assert.Equal(t, s.waiting, 0)
	}
}

// Load pattern: all upstreams of a service start at the same time, and work waits. Guards against windows that hold back work which
// these could serve, at each of the deciders.
func TestFleetReturnsAtOnceAfterPowerLoss(t *testing.T) {
	s := newStartFleet(300, 10, t0.UnixMilli())
	for i := range 300 {
		s.ask(i)
	}
	assert.Equal(t, s.waiting, 0)
	most := 0
	for _, u := range s.list {
		most = max(most, len(s.arrivals[u.ID]))
	}
	t.Logf("300 requests of 300 VMs: at most %d at one of ten upstreams", most)
	assert.Assert(t, most <= 60)

	placer := engine.NewPaced(bounds)
	placer.SetOwned(t0, true)
	var engines []engine.Target
	for i := range 10 {
		id := fmt.Sprint("m", i)
		engines = append(engines, engine.Target{ID: id, Slots: 6, Pace: pace.Upstream{ID: id, StartedMs: t0.UnixMilli(), Slots: 6, SlowStart: true}})
	}
	placer.SetTargets(engines)
	placed := map[string]int{}
	for range 60 {
		p, ok := placer.Place(t0, engine.Request{Prompt: 100, Output: 10, Due: time.Second})
		assert.Assert(t, ok)
		placed[p.ID]++
	}
	for id, n := range placed {
		assert.Equal(t, n, 6, id)
	}

	q := stage.NewQueue(pool)
	q.SetBounds(bounds)
	q.SetOwned(t0, true)
	var targets []stage.Target
	for i := range 5 {
		id := fmt.Sprint("p", i)
		targets = append(targets, stage.Target{ID: id, Address: id, Pace: pace.Upstream{ID: id, StartedMs: t0.UnixMilli(), Slots: 4, SlowStart: true}})
	}
	q.SetTargets(targets)
	for i := range 5 * pool.Slots * pool.Batch {
		item := stage.Item{Request: fmt.Sprint("r", i), Key: "k"}
		q.Add(t0, stage.Job{Item: item, Due: t0.Add(3 * time.Second), Deadline: t0.Add(6 * time.Second)})
	}
	calls, _ := q.Next(t0)
	assert.Equal(t, len(calls), 5*pool.Slots)
}

// Load pattern: an upstream starts anew each second and breaks off most of what it gets. Guards against trust that it has earned with an
// earlier start, or by the time alone.
func TestFlappingUpstreamIsNotTrustedAtOnce(t *testing.T) {
	s := newStartFleet(300, 10, 1)
	from := t0.Add(2 * time.Second)
	for i := range 8 {
		s.after(time.Duration(2+i)*time.Second, func() {
			s.start(9)
			s.took["u9"] = 0
		})
	}
	s.run(10*time.Second, func() {
		for range 5 {
			s.ask(s.rng.IntN(300))
		}
	})
	each := s.counts("u9", from, time.Second, 8)
	peers := s.counts("u0", from, time.Second, 8)
	t.Logf("arrivals in each second: flapping %v, a peer %v", each, peers)
	for i, n := range each {
		first := s.counts("u9", from.Add(time.Duration(i)*time.Second), 300*time.Millisecond, 1)[0]
		assert.Assert(t, first <= 12, "%d requests in the first 300 ms of start %d", first, i)
		assert.Assert(t, n <= 30, "%d requests in second %d", n, i)
	}
}

// Guards against a first request from each VM to a new upstream, and against a lone VM that takes minutes to use it.
func TestPaceOfOneVMAmongThreeHundred(t *testing.T) {
	for _, vms := range []int{300, 1} {
		s := newStartFleet(vms, 4, 1)
		for i := range s.choosers {
			s.choosers[i].Choose(t0, s.list, pick.Criteria{Service: slowStart})
		}
		s.now = t0.Add(time.Second)
		s.start(3)
		begin := s.now
		only := map[string]bool{"u0": true, "u1": true, "u2": true}
		// may counts the VMs that would send to the new upstream if it were the only one left, by their windows.
		may := func() (n int) {
			for _, c := range s.choosers {
				c.Choose(s.now, s.list, pick.Criteria{Service: slowStart})
				if c.Blocked(s.now, s.list, pick.Criteria{Service: slowStart, Exclude: only}).OK {
					n++
				}
			}
			return n
		}
		var counts []int
		for range 10 {
			counts = append(counts, may())
			s.now = s.now.Add(300 * time.Millisecond)
		}
		t.Logf("%d VMs: of them may send to a new upstream, every 300 ms: %v", vms, counts)
		assert.Assert(t, counts[0] >= 1 && counts[0] <= 4, "%d VMs send at first", counts[0])
		assert.Equal(t, counts[9], vms)
		if vms > 1 {
			continue
		}
		s.now = begin
		s.run(s.now.Sub(t0)+4*time.Second, func() {
			for range 4 {
				s.ask(0)
			}
		})
		last := s.counts("u3", begin.Add(3*time.Second), time.Second, 1)[0]
		t.Logf("a lone VM with 800 requests a second sends %d of them in the fourth second", last)
		assert.Assert(t, last >= 150)
	}
}
