package pace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/pick"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// server is an upstream with slots, a queue and a pause.
type server struct {
	slots, queue int
	busy         int
	pausedUntil  time.Time
	arrivals     [12]int // after the pause, by step of 100 ms
	refused      int
}

// Load pattern: 300 entry VMs with 1,200 requests a second for ten upstreams of one service, all of which pause for 3 s at the
// same time while the requests wait. Guards against the fleet returning at once: no upstream gets more than its slots and queue in the first 100 ms.
// Guards also against a return that leaves the upstreams idle.
func TestFleetReturnsFromAPauseStepByStep(t *testing.T) {
	const pause = 3 * time.Second
	const service = 40 * time.Millisecond
	f := &fleet{rng: rand.New(rand.NewPCG(3, 1)), now: t0, events: map[int64][]func(){}}
	servers := map[string]*server{}
	var list []roster.Upstream
	for i := range 10 {
		id := fmt.Sprint("u", i)
		servers[id] = &server{slots: 6, queue: 6}
		list = append(list, roster.Upstream{ID: id, Service: "desk", State: roster.Ready, Slots: 6, StartedMs: 5})
	}
	names := ids("vm", 300)
	choosers, tables := make([]*pick.Chooser, len(names)), make([]*pace.Table, len(names))
	for i, n := range names {
		choosers[i], tables[i] = pick.New(bounds, n), pace.NewTable()
		choosers[i].UseTable(tables[i])
		choosers[i].SetNodes(t0, names)
	}
	pauseAt := t0.Add(2 * time.Second)
	back := pauseAt.Add(pause)
	refusedBefore := 0
	var ask func(vm int, until time.Time)
	ask = func(vm int, until time.Time) {
		u, ok := choosers[vm].Choose(f.now, list, pick.Criteria{})
		if !ok { // the request waits, as in the proxy
			v := choosers[vm].Blocked(f.now, list, pick.Criteria{})
			if !v.OK && v.From.Before(until) {
				f.after(max(v.From.Sub(f.now), 10*time.Millisecond), func() { ask(vm, until) })
			}
			return
		}
		choosers[vm].Begin(f.now, u.ID)
		begin := f.now
		f.after(f.between(time.Millisecond, 20*time.Millisecond), func() {
			s := servers[u.ID]
			answer := func(d time.Duration, r pick.Result, wait time.Duration) {
				f.after(d+f.between(time.Millisecond, 20*time.Millisecond), func() {
					if wait > 0 {
						tables[vm].Pause(f.now, u.ID, u.StartedMs, wait)
					}
					choosers[vm].End(f.now, u.ID, r, f.now.Sub(begin))
				})
			}
			if wait := s.pausedUntil.Sub(f.now); wait > 0 {
				refusedBefore++
				answer(0, pick.Full, wait)
				return
			}
			if step := int(f.now.Sub(back) / (100 * time.Millisecond)); f.now.After(back) && step < len(s.arrivals) {
				s.arrivals[step]++
			}
			if s.busy >= s.slots+s.queue {
				s.refused++
				answer(0, pick.Full, 0)
				return
			}
			s.busy++
			d := service * time.Duration(1+(s.busy-1)/s.slots)
			f.after(d, func() { s.busy-- })
			answer(d, pick.Succeeded, 0)
		})
	}
	f.after(pauseAt.Sub(t0), func() {
		for _, s := range servers {
			s.pausedUntil = back
		}
	})
	f.run(7*time.Second, func() {
		for range 6 { // 1,200 requests a second; ten upstreams with six slots serve 1,500
			ask(f.rng.IntN(len(names)), f.now.Add(4*time.Second))
		}
		for i := range tables {
			if f.now.Sub(t0)%time.Second == 0 {
				tables[i].Sweep(f.now, func(string) (int64, bool) { return 5, true })
			}
		}
	})
	t.Logf("refused during the pause: %d", refusedBefore)
	t.Log("| upstream | arrivals in each 100 ms after the return |")
	total := [12]int{}
	for _, u := range list {
		s := servers[u.ID]
		t.Logf("| %s | %v |", u.ID, s.arrivals)
		assert.Assert(t, s.arrivals[0] <= s.slots+s.queue, "%s got %d in the first 100 ms", u.ID, s.arrivals[0])
		for i, n := range s.arrivals {
			total[i] += n
		}
	}
	t.Logf("| all | %v |", total)
	assert.Assert(t, total[0] >= 10, "%d requests in the first 100 ms: the upstreams are idle", total[0])
	assert.Assert(t, total[11] >= 100, "%d requests in the second after the return", total[11])
	assert.Assert(t, refusedBefore <= 2*len(names)*len(list), "%d requests reached paused upstreams", refusedBefore)
}

// Guards against states that outlive their upstreams, and against a table that forgets a leaving upstream because control nodes have
// no record of it for a moment.
func TestTableLivesAsLongAsItsUpstreams(t *testing.T) {
	table := pace.NewTable()
	known := map[string]int64{}
	for i := range 3000 {
		id := fmt.Sprint("u", i)
		known[id] = 7
		if i%2 == 0 {
			assert.Assert(t, table.Leave(id, 7))
			assert.Assert(t, !table.Leave(id, 7))
			continue
		}
		_, began := table.Pause(t0, id, 7, time.Hour)
		assert.Assert(t, began)
	}
	started := func(id string) (int64, bool) { s, ok := known[id]; return s, ok }
	assert.Equal(t, len(table.Sweep(t0, started)), 0)
	assert.Equal(t, table.Len(), 3000)
	all := known
	known = nil
	assert.Equal(t, len(table.Sweep(t0.Add(time.Second), started)), 0)
	known = all
	assert.Equal(t, len(table.Sweep(t0.Add(10*time.Second), started)), 0)
	known["u0"], known["u1"] = 8, 8
	changes := table.Sweep(t0.Add(11*time.Second), started)
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, changes[0].Reason, "new start")
	known = nil
	table.Sweep(t0.Add(12*time.Second), started)
	assert.Equal(t, len(table.Sweep(t0.Add(10*time.Minute), started)), 2998)
	assert.Equal(t, table.Len(), 0)
}
