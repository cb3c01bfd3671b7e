package place_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/fleet/place"
	"github.com/berylledge/berylledge/pkg/upapi"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engineSim executes the actions of a planner on simulated engines. A model load takes 20 s; the requests of a drained
// engine end after 8 s.
type engineSim struct {
	t            *testing.T
	p            *place.Planner
	now          time.Time
	engines      []*place.Engine
	drained      map[string]time.Time
	orders       map[string]time.Time // time of the reply to each order
	modelChanges int                  // base models loaded
	roleChanges  int
	loadTimes    []time.Time
	drainStuck   bool // the requests of drained engines do not end
}

func newEngineSim(t *testing.T, policy place.Policy, engines int) *engineSim {
	p, err := place.New(policy)
	assert.NilError(t, err)
	sim := &engineSim{t: t, p: p, now: start, drained: map[string]time.Time{}, orders: map[string]time.Time{}}
	for i := range engines {
		sim.engines = append(sim.engines, &place.Engine{ID: fmt.Sprint("e", i), Incarnation: 1, Slots: 10})
	}
	return sim
}

// step reports the demand, advances the clock by one second and returns the number of engines that hold each model.
func (sim *engineSim) step(demands ...place.Demand) map[string]int {
	sim.now = sim.now.Add(time.Second)
	for _, d := range demands {
		sim.apply(sim.p.Step(sim.now, d))
	}
	for _, id := range slices.Sorted(func(yield func(string) bool) {
		for id := range sim.orders {
			if !yield(id) {
				return
			}
		}
	}) {
		if !sim.now.Before(sim.orders[id]) {
			delete(sim.orders, id)
			sim.apply(sim.p.Step(sim.now, place.OrderResult{OrderID: id, OK: true}))
		}
	}
	count := map[string]int{}
	for _, e := range sim.engines {
		at, drained := sim.drained[e.ID]
		e.Running = 5
		if len(e.Models) == 0 || drained && sim.now.Sub(at) >= 8*time.Second && !sim.drainStuck {
			e.Running = 0
		}
		sim.apply(sim.p.Step(sim.now, place.EngineUpdate{Engine: *e}))
		for _, m := range e.Models {
			count[m]++
		}
	}
	sim.apply(sim.p.Step(sim.now, place.Tick{}))
	return count
}

func (sim *engineSim) apply(actions []place.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case place.Drain:
			sim.drained[a.Upstream] = sim.now
		case place.Resume:
			delete(sim.drained, a.Upstream)
		case place.Order:
			sim.execute(a)
		}
	}
}

func (sim *engineSim) execute(a place.Order) {
	i := slices.IndexFunc(sim.engines, func(e *place.Engine) bool { return e.ID == a.Upstream })
	e := sim.engines[i]
	adapter := strings.Contains(a.Order.Model, ":")
	assert.Assert(sim.t, adapter || e.Running == 0, "an order would cut off %d requests of %s", e.Running, e.ID)
	sim.orders[a.Order.ID] = sim.now.Add(time.Second)
	switch a.Order.Kind {
	case upapi.OrderUnload:
		e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m string) bool { return m == a.Order.Model })
	case upapi.OrderLoad:
		e.Models = append(slices.Clone(e.Models), a.Order.Model)
		if !adapter {
			sim.modelChanges++
			sim.loadTimes = append(sim.loadTimes, sim.now)
			sim.orders[a.Order.ID] = sim.now.Add(20 * time.Second)
		}
	case upapi.OrderRole:
		e.Role = a.Order.Role
		sim.roleChanges++
	}
}

func policy(sizeMB float64, models ...string) place.Policy {
	p := place.DefaultPolicy()
	for _, m := range models {
		p.Models = append(p.Models, place.Model{Name: m, SizeMB: sizeMB, Min: 1})
	}
	return p
}

// oscillate simulates two hours of noisy demand that alternates between two models, and returns the number of model changes
// after the first ten minutes.
func oscillate(t *testing.T, p place.Policy, period int, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 1))
	sim := newEngineSim(t, p, 10)
	early := 0
	for s := range 7200 {
		a, b := 45+10*rng.Float64(), 15+10*rng.Float64()
		if s/period%2 == 1 {
			a, b = b, a
		}
		sim.step(place.Demand{Pool: "a", Rank: 1, Busy: a}, place.Demand{Pool: "b", Rank: 1, Busy: b})
		if s == 600 {
			early = sim.modelChanges
		}
	}
	return sim.modelChanges - early
}

// Guards against flapping when demand oscillates between two models at any period, and against a planner that does not follow
// a lasting shift of demand.
func TestOscillatingDemandMovesFewEngines(t *testing.T) {
	for _, period := range []int{10, 60, 300} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("period=%d/seed=%d", period, seed), func(t *testing.T) {
				t.Parallel()
				changes := oscillate(t, policy(100, "a", "b"), period, seed)
				t.Logf("%d changes after the first 10 min", changes)
				assert.Assert(t, changes <= 12, "%d changes", changes)
			})
		}
	}
	aggressive := policy(100, "a", "b")
	aggressive.HighDuration, aggressive.LowDuration, aggressive.MinDwell, aggressive.HalfLife, aggressive.LowUtilization =
		0, 0, 0, time.Second, aggressive.HighUtilization
	without := oscillate(t, aggressive, 300, 0)
	t.Logf("without hysteresis, period 300 s, seed 0: %d changes", without)
	assert.Assert(t, without > 12, "the demand causes no flapping even without hysteresis, so the test checks nothing")
	aggressive.MinDwell = 30 * time.Minute
	bounded := oscillate(t, aggressive, 300, 0)
	t.Logf("with only a minimum dwell time of 30 min: %d changes", bounded)
	assert.Assert(t, bounded <= 4*10, "10 engines changed %d times in 110 min", bounded)
	sim := newEngineSim(t, policy(100, "a", "b"), 10)
	var count map[string]int
	for s := range 3600 {
		a, b := 60.0, 5.0
		if s > 1200 {
			a, b = b, a
		}
		count = sim.step(place.Demand{Pool: "a", Rank: 1, Busy: a}, place.Demand{Pool: "b", Rank: 1, Busy: b})
	}
	assert.Assert(t, count["b"] >= 8 && count["a"] >= 1, "%v", count)
}

// Guards against loads that exceed the rate of the weight store.
func TestLoadsKeepTheStoreRate(t *testing.T) {
	p := policy(10_000, "a")
	p.MaxConcurrentChanges = 8
	sim := newEngineSim(t, p, 10)
	for range 400 {
		sim.step(place.Demand{Pool: "a", Rank: 0, Busy: 100})
	}
	assert.Assert(t, len(sim.loadTimes) >= 8, "%d loads", len(sim.loadTimes))
	for i, at := range sim.loadTimes {
		allowed := p.StoreBurstMB + p.StoreMBPerSecond*at.Sub(start).Seconds()
		assert.Assert(t, float64(i+1)*10_000 <= allowed, "load %d after %v", i+1, at.Sub(start))
	}
}

// Guards against urgent work that waits while engines serve background work, and against background work that takes engines
// from urgent work.
func TestUrgentDemandComesFirst(t *testing.T) {
	sim := newEngineSim(t, policy(100, "bg", "urgent"), 8)
	for range 900 {
		sim.step(place.Demand{Pool: "bg", Rank: 2, Busy: 100}, place.Demand{Pool: "urgent", Rank: 0, Busy: 2})
	}
	var count map[string]int
	for range 1800 {
		count = sim.step(place.Demand{Pool: "bg", Rank: 2, Busy: 100}, place.Demand{Pool: "urgent", Rank: 0, Busy: 45})
	}
	assert.DeepEqual(t, count, map[string]int{"bg": 2, "urgent": 6})
}

// Guards against requests that are interrupted because a drain takes too long.
func TestStuckDrainIsAbandoned(t *testing.T) {
	sim := newEngineSim(t, policy(100, "a", "b"), 2)
	for range 60 {
		sim.step(place.Demand{Pool: "a", Rank: 1, Busy: 5})
	}
	sim.engines[0].Models, sim.engines[1].Models = []string{"a"}, []string{"a"}
	sim.drainStuck = true
	before, drains := sim.modelChanges, 0
	for range 900 {
		sim.step(place.Demand{Pool: "b", Rank: 1, Busy: 5})
		drains = max(drains, len(sim.drained))
	}
	assert.Equal(t, sim.modelChanges, before)
	assert.Equal(t, drains, 1)
	assert.Assert(t, len(sim.drained) <= 1)
}

// Guards against adapters that are never loaded or displace each other, and against roles that flap.
func TestAdaptersAndRoles(t *testing.T) {
	sim := newEngineSim(t, policy(100, "a"), 6)
	var count map[string]int
	demand := func(prefill float64) []place.Demand {
		out := []place.Demand{{Pool: "a", Rank: 1, Busy: 50, Prefill: prefill}}
		for i := range 6 {
			out = append(out, place.Demand{Pool: fmt.Sprint("a:x", i), Rank: 1, Busy: 0.2, Prefill: prefill})
		}
		return out
	}
	for s := range 3600 {
		count = sim.step(demand(0.4 + 0.1*float64(s%2))...)
	}
	for i := range 6 {
		assert.Equal(t, count[fmt.Sprint("a:x", i)], 1)
	}
	prefill := 0
	for _, e := range sim.engines {
		if e.Role == upapi.RolePrefill {
			prefill++
		}
	}
	assert.Assert(t, prefill >= 2 && prefill <= 3 && sim.roleChanges <= 4, "%d prefill engines after %d role changes", prefill, sim.roleChanges)
}

// Guards against transitions out of the final state gone, a late report that ends a drain, and ejection beyond the limit.
func TestLife(t *testing.T) {
	c, err := place.LoadChart()
	assert.NilError(t, err)
	for name, events := range map[string][]place.LifecycleEvent{
		"live":      {place.Reported, place.Missed, place.Reported},
		"suspect":   {place.Reported, place.LooksBad},
		"draining":  {place.Reported, place.Left, place.Reported, place.Missed},
		"gone":      {place.Reported, place.Left, place.Drained, place.Reported},
		"announced": {place.Drained, place.Returned},
	} {
		l := place.NewLifecycle(c)
		for _, ev := range events {
			l.Apply(ev)
		}
		assert.Equal(t, string(l.State()), name)
	}
	l := place.NewLifecycle(c)
	l.MayEject = true
	l.Apply(place.Reported)
	assert.DeepEqual(t, l.Apply(place.LooksBad), []string{place.StopDispatch})
	assert.DeepEqual(t, l.Apply(place.Returned), []string{place.StartSlowly})
	l.Apply(place.ChangePlanned)
	l.Apply(place.Left)
	l.Apply(place.Changed) // a change that completes after the upstream started to leave does not make it live again
	assert.Equal(t, l.State(), place.Draining)
}

// Guards against a diagram in docs/charts.md that differs from life.json.
func TestChartDrawing(t *testing.T) {
	c, err := place.LoadChart()
	assert.NilError(t, err)
	doc, err := os.ReadFile("../../../docs/charts.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(doc), "```mermaid\n"+c.Mermaid()+"```"), "docs/charts.md should contain:\n%s", c.Mermaid())
}
