package pick

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/roster"
)

var t0 = time.Unix(1000, 0)

func fleet(places ...string) []roster.Upstream {
	var out []roster.Upstream
	for i, dc := range places {
		out = append(out, roster.Upstream{ID: fmt.Sprint("u", i), DataCentre: dc, State: roster.Ready})
	}
	return out
}

func near(dc string) int {
	return map[string]int{"own": 0, "region": 1}[dc] + map[string]int{"far": 2}[dc]
}

func choose(t *testing.T, c *Chooser, list []roster.Upstream, w Criteria) string {
	t.Helper()
	w.Distance = near
	u, ok := c.Choose(t0, list, w)
	assert.Assert(t, ok)
	return u.ID
}

// Guards against work that crosses data centres while the own one can do it, and against a data centre that stops serving
// because its upstreams are gone.
func TestNearestUsableDataCentre(t *testing.T) {
	c := New()
	list := fleet("far", "region", "own")
	assert.Equal(t, choose(t, c, list, Criteria{}), "u2")
	c.Begin("u2")
	c.End(t0, "u2", NoResponse, 0)
	assert.Equal(t, choose(t, c, list, Criteria{}), "u1")
	list[1].State = roster.Draining
	assert.Equal(t, choose(t, c, list, Criteria{}), "u0")
	assert.Equal(t, choose(t, c, fleet("own"), Criteria{Exclude: map[string]bool{}}), "u0")
	_, ok := c.Choose(t0, list[1:2], Criteria{})
	assert.Assert(t, !ok, "a draining upstream receives no new work")
}

// Load pattern: one upstream fails a part of its requests, or answers slowly. Guards against an even spread over unequal
// upstreams.
func TestFaultyAndSlowUpstreamsGetLess(t *testing.T) {
	c := New()
	list := fleet("own", "own", "own")
	count := map[string]int{}
	var flying []string
	for range 300 {
		id := choose(t, c, list, Criteria{})
		c.Begin(id)
		count[id]++
		flying = append(flying, id)
		if len(flying) < 6 {
			continue
		}
		done := flying[0]
		flying = flying[1:]
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

// Load pattern: one prompt gets much of the traffic. Guards against a cache that is spread over all engines, and against one
// engine that gets all of it.
func TestAffinityIsBoundedByLoad(t *testing.T) {
	c := New()
	list := fleet("own", "own", "own")
	home := choose(t, c, list, Criteria{Affinity: "doc"})
	used := map[string]bool{}
	for range 12 {
		id := choose(t, c, list, Criteria{Affinity: "doc"})
		used[id] = true
		c.Begin(id)
	}
	assert.Assert(t, used[home] && len(used) > 1, "%v", used)
	other := New()
	assert.Equal(t, choose(t, other, list, Criteria{Affinity: "doc"}), home, "each node chooses the same one")
}

// Guards against a service that is given up because all of its upstreams failed once.
func TestAPausedUpstreamIsTriedWhenThereIsNoOther(t *testing.T) {
	c := New()
	list := fleet("own", "own")
	for range 3 {
		c.Begin("u0")
		c.End(t0, "u0", NoResponse, 0)
	}
	c.Begin("u1")
	c.End(t0, "u1", NoResponse, 0)
	assert.Equal(t, choose(t, c, list, Criteria{}), "u1")
}
