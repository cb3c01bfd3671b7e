package route_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/internal/flow/route"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// runAttempts picks n times, 10 ms apart, with 12 attempts in flight, reports the outcome of each attempt to the router and
// returns the share of attempts per upstream.
func runAttempts(
	t *testing.T, r *route.Router, now *time.Time, tab *upview.Table, n int, outcome func(id string) route.Outcome,
) map[string]float64 {
	t.Helper()
	shares := map[string]float64{}
	var inFlight []route.Choice
	for range n {
		*now = now.Add(10 * time.Millisecond)
		c, err := r.Pick(*now, tab.View(), req)
		assert.NilError(t, err)
		shares[c.Upstream.ID] += 1 / float64(n)
		r.Dispatched(*now, c)
		if inFlight = append(inFlight, c); len(inFlight) > 12 {
			r.Done(*now, inFlight[0])
			inFlight = inFlight[1:]
		}
		r.Observe(*now, c.Upstream.ID, outcome(c.Upstream.ID))
		assert.Assert(t, len(r.Ejected(*now))*3 <= len(tab.View().Pool("s")))
	}
	for _, c := range inFlight {
		r.Done(*now, c)
	}
	return shares
}

func failing(ids ...string) func(string) route.Outcome {
	return func(id string) route.Outcome {
		for _, f := range ids {
			if f == id {
				return route.Outcome{Result: route.Failed}
			}
		}
		return route.Outcome{Result: route.Succeeded, Latency: 10 * time.Millisecond}
	}
}

// An upstream that fails fast looks idle and must not attract traffic. If all upstreams of a pool fail, all must still be
// used.
func TestFailingUpstreamsAreAvoided(t *testing.T) {
	for _, c := range []struct {
		failing  []string
		maxShare float64 // upper bound on the failing upstreams' share of attempts
	}{
		{[]string{"s0"}, 0.02},
		{[]string{"s0", "s1", "s2"}, 0.05},
		{[]string{"s0", "s1", "s2", "s3"}, 0.15},
		{[]string{"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"}, 1.01},
	} {
		tab := table(services(9)...)
		r := route.New(route.DefaultPolicy(), 1)
		now := start.Add(time.Minute)
		got := 0.0
		shares := runAttempts(t, r, &now, tab, 1000, failing(c.failing...))
		for _, id := range c.failing {
			got += shares[id]
		}
		assert.Assert(t, got < c.maxShare, "%v got %.3f of the attempts", c.failing, got)
		for id, share := range shares {
			assert.Assert(t, len(c.failing) < 9 || share > 0.03, "%s was not used although all upstreams fail", id)
		}
	}
}

// failUntilEjected records enough consecutive failures to eject an upstream.
func failUntilEjected(r *route.Router, now time.Time, id string) {
	for range route.DefaultPolicy().EjectConsecutiveFailures {
		r.Observe(now, id, route.Outcome{Result: route.Failed})
	}
}

// At most a third of a pool may be ejected, even after the pool has shrunk, and ejected upstreams must not be picked.
func TestEjectionIsLimitedToOneThird(t *testing.T) {
	tab := table(services(9)...)
	r := route.New(route.DefaultPolicy(), 1)
	now := start.Add(time.Minute)
	runAttempts(t, r, &now, tab, 200, failing()) // registers all upstreams in the router
	for i := range 4 {
		failUntilEjected(r, now, fmt.Sprint("s", i))
	}
	assert.DeepEqual(t, r.Ejected(now), []string{"s0", "s1", "s2"})
	shares := runAttempts(t, r, &now, tab, 200, failing())
	assert.Equal(t, shares["s0"]+shares["s1"]+shares["s2"], 0.0)
	for i := 3; i < 7; i++ {
		tab.Leave(upapi.Renew{ID: fmt.Sprint("s", i), Incarnation: 1})
	}
	now = now.Add(time.Second)
	pick(t, r, now, tab, req)
	assert.Equal(t, len(r.Ejected(now)), 1) // a third of the remaining 5
	for i := range 9 {
		failUntilEjected(r, now, fmt.Sprint("s", i))
	}
	shares = runAttempts(t, r, &now, tab, 200, failing("s0", "s1", "s2", "s7", "s8"))
	assert.Equal(t, len(shares), 5) // panic mode: all live upstreams are used
}

// An ejection must end, and repeated ejections must last longer.
func TestEjectionGrowsAndEnds(t *testing.T) {
	p := route.DefaultPolicy()
	tab := table(services(4)...)
	r := route.New(p, 1)
	now := start.Add(time.Minute)
	runAttempts(t, r, &now, tab, 100, failing())
	for _, want := range []time.Duration{p.BaseEjectionTime, 2 * p.BaseEjectionTime, 4 * p.BaseEjectionTime} {
		failUntilEjected(r, now, "s0")
		assert.Equal(t, len(r.Ejected(now.Add(want-1))), 1)
		now = now.Add(want)
		assert.Equal(t, len(r.Ejected(now)), 0)
		pick(t, r, now, tab, req)
	}
	shares := runAttempts(t, r, &now, tab, 10_000, failing()) // the upstream recovers
	assert.Assert(t, shares["s0"] > 0.1, "%v", shares)
}

// An upstream far slower than its pool must be ejected; a moderately slower one must not.
func TestLatencyOutlierIsEjected(t *testing.T) {
	for slow, want := range map[time.Duration]int{20 * time.Millisecond: 0, 100 * time.Millisecond: 1} {
		tab := table(services(6)...)
		r := route.New(route.DefaultPolicy(), 1)
		now := start.Add(time.Minute)
		runAttempts(t, r, &now, tab, 500, func(id string) route.Outcome {
			if id == "s0" {
				return route.Outcome{Latency: slow}
			}
			return route.Outcome{Latency: 10 * time.Millisecond}
		})
		assert.Equal(t, len(r.Ejected(now)), want, "%v", slow)
	}
}

// A new upstream must not be flooded because it is idle, and must reach its full share in the end.
func TestNewUpstreamStartsSlowly(t *testing.T) {
	tab := table(services(4)...)
	now := start.Add(time.Hour - time.Minute)
	r := route.New(route.DefaultPolicy(), 1)
	for range 12 { // load on the other upstreams
		c, err := r.Pick(now, tab.View(), req)
		assert.NilError(t, err)
		r.Dispatched(now, c)
	}
	tab.Announce(now, service("new"))
	early := runAttempts(t, r, &now, tab, 200, failing())["new"]
	now = now.Add(30 * time.Second)
	late := runAttempts(t, r, &now, tab, 400, failing())["new"]
	// With 12 requests running on the others and 12 more, an equal share of all 24 is 4.8, which is 0.4 of the 12. The mean
	// load that slow start scales is up to a second old, so at first it is still that of 12 requests.
	assert.Assert(t, early > 0.01 && early < 0.2 && late > 0.35 && late < 0.45, "share is %.2f at first, %.2f later", early, late)
}

// Choices must depend only on the seed and the order of calls.
func TestRouterIsDeterministic(t *testing.T) {
	var runs [2]string
	for i := range runs {
		tab := table(services(30)...)
		r := route.New(route.DefaultPolicy(), 5)
		now := start.Add(time.Minute)
		for range 500 {
			now = now.Add(time.Millisecond)
			c, err := r.Pick(now, tab.View(), req)
			assert.NilError(t, err)
			r.Dispatched(now, c)
			r.Observe(now, c.Upstream.ID, failing("s3", "s4")(c.Upstream.ID))
			runs[i] += c.Upstream.ID + " "
		}
	}
	assert.Equal(t, runs[0], runs[1])
}

// Each component of the cost must affect the choice: distance, link, role, adapter, refusal and summaries.
func TestCostComponents(t *testing.T) {
	far := func(a upapi.Announce, dc, region string) upapi.Announce {
		a.DataCentre, a.Region = dc, region
		return a
	}
	role := func(a upapi.Announce, r upapi.Role) upapi.Announce { a.Role = r; return a }
	orders := func(a upapi.Announce) upapi.Announce { a.AcceptsOrders = true; return a }
	m := route.Request{Pool: "m", Model: true, PromptTokens: 1000, DataCentre: "a", Region: "r", Rank: 1, Repeatable: true}
	decode, adapter := m, m
	decode.Role = upapi.RoleDecode
	adapter.Pool = "m:x"
	idle := func(*upview.Table, *route.Router) {}
	loaded := func(tab *upview.Table, _ *route.Router) {
		tab.Report(start, upapi.Load{ID: "e1", Incarnation: 1, Running: 4, Waiting: 40})
	}
	for name, c := range map[string]struct {
		req     route.Request
		ups     []upapi.Announce
		prepare func(*upview.Table, *route.Router)
		want    string
	}{
		"own data centre":  {m, []upapi.Announce{engine("e1", "m"), far(engine("e0", "m"), "b", "r")}, idle, "e1"},
		"own region":       {m, []upapi.Announce{far(engine("e1", "m"), "b", "r"), far(engine("e0", "m"), "c", "q")}, idle, "e1"},
		"far but idle":     {m, []upapi.Announce{engine("e1", "m"), far(engine("e0", "m"), "c", "q")}, loaded, "e0"},
		"role":             {decode, []upapi.Announce{role(engine("e0", "m"), upapi.RolePrefill), role(engine("e1", "m"), upapi.RoleDecode)}, idle, "e1"},
		"adapter loaded":   {adapter, []upapi.Announce{orders(engine("e0", "m")), engine("e1", "m", "m:x")}, idle, "e1"},
		"adapter too busy": {adapter, []upapi.Announce{orders(engine("e0", "m")), engine("e1", "m", "m:x")}, loaded, "e0 loads m:x"},
		"adapter missing":  {adapter, []upapi.Announce{engine("e0", "m"), orders(engine("e1", "m"))}, idle, "e1 loads m:x"},
		"refused as busy": {m, []upapi.Announce{engine("e0", "m"), engine("e1", "m")}, func(tab *upview.Table, r *route.Router) {
			_, _ = r.Pick(start, tab.View(), m)
			r.Observe(start, "e0", route.Outcome{Result: route.Busy})
		}, "e1"},
		"summary of an idle data centre": {m, []upapi.Announce{engine("e1", "m")}, func(tab *upview.Table, r *route.Router) {
			loaded(tab, r)
			tab.StoreSummary(upview.Summary{Pool: "m", DataCentre: "b", Region: "r", Live: 2, FreeSlots: 3, At: start})
		}, "forward to b"},
	} {
		p := route.DefaultPolicy()
		p.UseSummaries = true
		r, tab := route.New(p, 1), table(c.ups...)
		c.prepare(tab, r)
		got, err := r.Pick(start, tab.View(), c.req)
		assert.NilError(t, err, name)
		text := ""
		switch {
		case got.Forward != nil:
			text = "forward to " + got.Forward.DataCentre
		case got.LoadAdapter != "":
			text = got.Upstream.ID + " loads " + got.LoadAdapter
		default:
			text = got.Upstream.ID
		}
		assert.Equal(t, text, c.want, name)
	}
}
