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

// Load pattern: a cut divides the VMs; each side takes the other one for gone and divides the whole limit among itself, or has a placer
// of its own. Guards against two sides that together send more than a cold upstream may get.
func TestColdUpstreamBoundHoldsForBothSidesOfACut(t *testing.T) {
	for _, rate := range []float64{1, 4, 8, 16} {
		for _, split := range [][2]int{{2, 1}, {150, 150}, {290, 10}} {
			t.Run(fmt.Sprintf("%g a second, %d and %d VMs", rate, split[0], split[1]), func(t *testing.T) {
				vms := split[0] + split[1]
				s := newStartFleet(vms, 1, 1)
				s.list[0].ColdUntil = t0.Add(time.Hour)
				names := ids("vm", vms)
				s.after(5*time.Second, func() {
					for i, c := range s.choosers {
						side := names[:split[0]]
						if i >= split[0] {
							side = names[split[0]:]
						}
						c.SetNodes(s.now, side)
					}
				})
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
			for now := t0; now.Before(t0.Add(8 * time.Second)); now = now.Add(tick) {
				for i, p := range sides {
					p.SetOwned(now, i == 0 || now.After(t0.Add(3*time.Second)))
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
