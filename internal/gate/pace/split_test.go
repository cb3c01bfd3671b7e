package pace_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/pace"
)

// Times of the cut.
const (
	cutAt    = 2 * time.Second
	healedAt = 9 * time.Second
)

// Load pattern: a cut divides the VMs for seven seconds. Those without the control group, which may be the more, learn that after 2.6 s;
// each side takes the other one for gone from 3 s on and divides the limit among itself, or has a placer of its own. After the cut each VM
// learns at another time that the others are back. Guards against two sides that together send more than a cold upstream may get.
func TestColdUpstreamBoundHoldsForBothSidesOfACut(t *testing.T) {
	for _, rate := range []float64{1, 4, 8, 16} {
		for _, split := range [][2]int{{2, 1}, {1, 2}, {150, 150}, {290, 10}, {10, 290}} {
			t.Run(fmt.Sprintf("%g a second, %d and %d VMs", rate, split[0], split[1]), func(t *testing.T) {
				vms := split[0] + split[1]
				alone := func(i int) bool { return i >= split[0] }
				s := newStartFleet(vms, 1, 1)
				s.list[0].ColdUntil = t0.Add(time.Hour)
				names := ids("vm", vms)
				for i, c := range s.choosers {
					side := names[:split[0]]
					if alone(i) {
						side = names[split[0]:]
						s.after(cutAt+2600*time.Millisecond, func() { c.SetIsolated(s.now, true) })
						s.after(healedAt, func() { c.SetIsolated(s.now, false) })
					}
					s.after(cutAt+3*time.Second, func() { c.SetNodes(s.now, side) })
					s.after(healedAt+s.between(0, 1400*time.Millisecond), func() { c.SetNodes(s.now, names) })
				}
				s.run(14*time.Second, func() {
					for range 10 {
						s.askFor(&conf.Service{Name: "desk", ColdPerSecond: rate}, s.rng.IntN(vms))
					}
				})
				got := most(s.arrivals["u0"])
				assert.Assert(t, got <= boundOf(rate), "%d in a second, allowed are %d", got, boundOf(rate))
			})
		}
		t.Run(fmt.Sprintf("%g a second, two placers", rate), func(t *testing.T) {
			var placed []time.Time
			sides := []*engine.Placer{engine.NewPaced(bounds), engine.NewPaced(bounds)}
			for now := t0; now.Before(t0.Add(14 * time.Second)); now = now.Add(tick) {
				for i, p := range sides {
					if i == 0 {
						p.SetIsolated(now, !now.Before(t0.Add(cutAt+2600*time.Millisecond)) && now.Before(t0.Add(healedAt)))
						p.SetOwned(now, now.Before(t0.Add(healedAt+1400*time.Millisecond)))
					} else {
						p.SetOwned(now, now.After(t0.Add(cutAt+3*time.Second)))
					}
					p.SetTargets([]engine.Target{{ID: "u", Slots: 40, CacheTokens: 1e6, Pace: pace.Upstream{
						ID: "u", StartedMs: 1, ColdUntil: t0.Add(time.Hour), ColdPerSecond: rate,
					}}})
					if _, ok := p.Place(now, engine.Request{Prompt: 10, Output: 10, Due: 5 * time.Second}); ok {
						placed = append(placed, now)
					}
				}
			}
			assert.Assert(t, most(placed) <= boundOf(rate), "%d in a second, allowed are %d", most(placed), boundOf(rate))
		})
	}
}
