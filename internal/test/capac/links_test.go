package capac_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/test/capac"
)

const (
	megabit    = 1e6 / 8 // bytes a second
	slowLink   = 60 * megabit
	mostRoutes = 1400
)

// routes returns a body of many routes with names that look random. Versions of it differ in one route.
func routes(version, count int) []byte {
	rng := rand.New(rand.NewPCG(7, 7))
	var b bytes.Buffer
	for i := range count {
		weight := 0
		if i == version%count {
			weight = version
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"%06x.example","prefix":"/%x/%x/","service":"s%d","weight":%d}`+"\n",
			rng.Uint32(), rng.Uint32N(50)*7919, rng.Uint32(), rng.Uint32(), rng.Uint32N(5), weight)
	}
	return b.Bytes()
}

// storm commits ten versions of a large configuration within 5 s and returns the bytes between regions, and how long after the last
// one it is in force everywhere.
func storm(t *testing.T, nodes int) (crossed int64, took time.Duration) {
	n := started(t, capac.Options{Seed: 9, Layout: capac.Spread(nodes, 6, 2, 5), LinkRate: slowLink})
	n.Commit(routes(0, mostRoutes))
	n.Run(5 * time.Second)
	idle := n.Crossed
	n.Run(10 * time.Second)
	idle = n.Crossed - idle
	before, rev := n.Crossed, uint64(0)
	for v := range 10 {
		rev = n.Commit(routes(v+1, mostRoutes))
		n.Run(500 * time.Millisecond)
	}
	took = n.RunUntil(5*time.Second, func() bool { return n.InForceEverywhere(rev) })
	n.Run(5*time.Second - took)
	return n.Crossed - before - idle, took
}

// Guards against a configuration that crosses to each node of the other region by itself: "1,400 routes in ten versions within 5 s"
// over a link of 60 Mbit/s.
func TestVersionsOfALargeConfigurationDoNotCrossOncePerNode(t *testing.T) {
	t.Parallel()
	few, _ := storm(t, 40)
	many, took := storm(t, 160)
	t.Logf("bytes between regions: %d with 40 nodes, %d with 160; in force %s after the last version", few, many, took)
	assert.Assert(t, took < 3*time.Second)
	assert.Assert(t, many < 2*few, "%d bytes with 160 nodes, %d with 40", many, few)
}

// Guards against a restart that asks for the whole configuration from one place: "all VMs lose power under 1,400 routes".
func TestRestartOfAllNodesPutsALargeConfigurationInForceInTime(t *testing.T) {
	t.Parallel()
	n := started(t, capac.Options{Seed: 10, Layout: capac.Spread(120, 6, 2, 5), LinkRate: slowLink})
	rev := n.Commit(routes(0, mostRoutes))
	n.RunUntil(10*time.Second, func() bool { return n.InForceEverywhere(rev) })
	for _, h := range n.Hosts {
		n.Stop(h)
	}
	n.Run(time.Second)
	for _, h := range n.Hosts {
		n.Start(h)
	}
	before := n.Crossed
	took := n.RunUntil(20*time.Second, func() bool { return n.InForceEverywhere(rev) })
	t.Logf("in force everywhere after %s, %d bytes between regions", took, n.Crossed-before)
	assert.Assert(t, took < 5*time.Second)
}
