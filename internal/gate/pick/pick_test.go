package pick

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

var t0 = time.Unix(1000, 0)

func newUpstreams(places ...string) []roster.Upstream {
	var out []roster.Upstream
	for i, dc := range places {
		out = append(out, roster.Upstream{ID: fmt.Sprint("u", i), DataCentre: dc, State: roster.Ready})
	}
	return out
}

func testDistance(dc string) int {
	return map[string]int{"own": 0, "region": 1}[dc] + map[string]int{"far": 2}[dc]
}

func choose(t *testing.T, c *Chooser, list []roster.Upstream, w Criteria) string {
	t.Helper()
	w.Distance = testDistance
	u, ok := c.Choose(t0, list, w)
	assert.Assert(t, ok)
	return u.ID
}

// Guards against work that crosses data centres although the local one has capacity, and against a data centre that
// fails requests because its own upstreams are gone.
func TestNearestUsableDataCentre(t *testing.T) {
	c := New(pace.Bounds{}, "")
	list := newUpstreams("far", "region", "own")
	assert.Equal(t, choose(t, c, list, Criteria{}), "u2")
	c.Begin(t0, "u2")
	c.End(t0, "u2", NoResponse, 0)
	assert.Equal(t, choose(t, c, list, Criteria{}), "u1")
	list[1].State = roster.Draining
	assert.Equal(t, choose(t, c, list, Criteria{}), "u0")
	assert.Equal(t, choose(t, c, newUpstreams("own"), Criteria{Exclude: map[string]bool{}}), "u0")
	_, ok := c.Choose(t0, list[1:2], Criteria{})
	assert.Assert(t, !ok, "a draining upstream receives no new work")
}

// Load pattern: one upstream fails a part of its requests, another is slow. Guards against spreading load evenly over
// unequal upstreams.
func TestFaultyAndSlowUpstreamsGetLess(t *testing.T) {
	c := New(pace.Bounds{}, "")
	list := newUpstreams("own", "own", "own")
	count := map[string]int{}
	var inFlight []string
	for range 300 {
		id := choose(t, c, list, Criteria{})
		c.Begin(t0, id)
		count[id]++
		inFlight = append(inFlight, id)
		if len(inFlight) < 6 {
			continue
		}
		done := inFlight[0]
		inFlight = inFlight[1:]
		switch {
		case done == "u0":
			c.End(t0, done, ErrorResponse, time.Millisecond)
		case done == "u1":
			c.End(t0, done, Succeeded, 40*time.Millisecond)
		default:
			c.End(t0, done, Succeeded, 10*time.Millisecond)
		}
	}
	assert.Assert(t, count["u2"] > count["u0"]*2, "%v", count)
	assert.Assert(t, count["u2"] > count["u1"]*2, "%v", count)
}

// Load pattern: one prompt gets much of the traffic. Guards against caching it at all engines, and against sending all
// of its requests to one engine.
func TestAffinityIsBoundedByLoad(t *testing.T) {
	c := New(pace.Bounds{}, "")
	list := newUpstreams("own", "own", "own")
	home := choose(t, c, list, Criteria{Affinity: "doc"})
	used := map[string]bool{}
	for range 12 {
		id := choose(t, c, list, Criteria{Affinity: "doc"})
		used[id] = true
		c.Begin(t0, id)
	}
	assert.Assert(t, used[home] && len(used) > 1, "%v", used)
	other := New(pace.Bounds{}, "")
	assert.Equal(t, choose(t, other, list, Criteria{Affinity: "doc"}), home, "each node chooses the same one")
}

// Guards against failing requests of a service because each of its upstreams failed once.
func TestAPausedUpstreamIsTriedWhenThereIsNoOther(t *testing.T) {
	c := New(pace.Bounds{}, "")
	list := newUpstreams("own", "own")
	for range 3 {
		c.Begin(t0, "u0")
		c.End(t0, "u0", NoResponse, 0)
	}
	c.Begin(t0, "u1")
	c.End(t0, "u1", NoResponse, 0)
	assert.Equal(t, choose(t, c, list, Criteria{}), "u1")
}

// Guards against requests to a machine that is slow for the moment and says so, against a report that counts for longer, and against
// all requests going to the upstream that last reported itself fast.
func TestReportedSlowDownCountsWhileItIsNew(t *testing.T) {
	c := New(pace.Bounds{}, "")
	list := newUpstreams("own", "own")
	served := func(now time.Time, id string, duration float64) {
		c.Begin(now, id)
		c.ReportDuration(now, id, duration)
		c.End(now, id, Succeeded, 50*time.Millisecond)
	}
	for range 50 {
		served(t0, "u0", 1.6) // its usual figure
		served(t0, "u1", 1)
	}
	assert.Equal(t, choose(t, c, list, Criteria{}), "u0")
	served(t0, "u0", 4)
	assert.Equal(t, choose(t, c, list, Criteria{}), "u1")
	later, _ := c.Choose(t0.Add(1100*time.Millisecond), list, Criteria{})
	assert.Equal(t, later.ID, "u0")
	served(t0, "u0", 0.8)
	count := map[string]int{}
	for range 30 {
		id := choose(t, c, list, Criteria{})
		count[id]++
		c.Begin(t0, id)
	}
	assert.Assert(t, count["u1"] >= 8, "%v", count)
}
