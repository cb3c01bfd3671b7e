package gwnode

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/test/netem"
)

// inForceWithin is the time after its acknowledgement within which a configuration has to be in force on each entry node.
const inForceWithin = 3 * time.Second

// twoRegions returns a fleet of control nodes 1 and 2 in data centre a and 4 in c of region north, 3 in b and 5 in d of region
// south, with a link of some bytes a second between the regions. Data centre b has the control node 3 alone.
func twoRegions(t *testing.T, network int, rate int64) *fleet {
	f := newFleet(t, network)
	f.links = netem.New(clock.Real(), rate)
	f.place = map[int]poller.Place{
		3: {DataCentre: "b", Region: "south"}, 4: {DataCentre: "c", Region: "north"}, 5: {DataCentre: "d", Region: "south"},
	}
	for n := 1; n <= 5; n++ {
		f.start(n, true)
	}
	return f
}

// within fails unless a check holds before some time has passed.
func (f *fleet) within(d time.Duration, what string, check func() bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), d)
	defer cancel()
	began := time.Now()
	for !check() {
		if clock.Sleep(ctx, clock.Real(), 10*time.Millisecond) != nil {
			f.t.Fatalf("not within %s: %s", d, what)
		}
	}
	f.t.Logf("%s after %s", what, time.Since(began).Round(10*time.Millisecond))
}

func (f *fleet) sleep(d time.Duration) { _ = clock.Sleep(f.t.Context(), clock.Real(), d) }

// inForce reports whether some nodes handle requests by a version.
func (f *fleet) inForce(version uint64, nodes ...int) func() bool {
	return func() bool {
		for _, n := range nodes {
			if f.nodes[n].poller.Version() != version {
				return false
			}
		}
		return true
	}
}

// Guards against a link between regions that fills with whole configurations, so that control nodes behind it lose their group and
// entry nodes there serve an old version: "1,000 routes in ten versions within 5 s, then power loss".
func TestLargeConfigurationCrossesASlowLinkInTime(t *testing.T) {
	const versions, routes = 10, 1000
	f := twoRegions(t, 72, 750_000)
	entries := []int{11, 12, 13, 14}
	for _, n := range entries {
		f.place[n] = poller.Place{DataCentre: "b", Region: "south"}
	}
	f.put(1, f.largeConfig(1, routes))
	for _, n := range entries {
		f.start(n, true)
	}
	f.eventually("the first configuration is in force", f.inForce(1, entries...))
	for v := uint64(2); v <= versions; v++ {
		f.put(1, f.largeConfig(v, routes))
	}
	f.within(inForceWithin, "the last configuration is in force in the other region", f.inForce(versions, entries...))
	status, _ := f.nodes[3].member.Status()
	assert.Assert(t, status.Raft.Current, "the control node behind the link knows its leader")

	for n := range f.nodes {
		f.stop(n)
	}
	for _, n := range []int{1, 2, 3, 4, 5} {
		f.start(n, false)
	}
	for _, n := range entries {
		f.start(n, false)
	}
	f.put(1, f.largeConfig(versions+1, routes))
	f.within(inForceWithin, "the next configuration is in force after the loss of power", f.inForce(versions+1, entries...))
}

// Guards against entry nodes that miss a configuration, or are not given to callers, while the only control node of their data centre
// stands still, is slow, is cut off from its group or comes back without its disk.
func TestEntryNodesOutliveTheOnlyControlNodeOfTheirDataCentre(t *testing.T) {
	const lone = 3
	entries := []int{11, 12}
	cut := func(f *fleet, nodes ...int) {
		for _, n := range nodes {
			f.links.Cut(f.ip(lone), f.ip(n))
		}
	}
	for i, c := range []struct {
		name  string
		fault func(f *fleet)
	}{
		{"stands still", func(f *fleet) { cut(f, 1, 2, 4, 5, 11, 12) }},
		{"is slow", func(f *fleet) { f.links.Delay(f.ip(lone), 500*time.Millisecond) }},
		{"is cut off from its group", func(f *fleet) { cut(f, 1, 2, 4, 5) }},
		{"comes back without its disk", func(f *fleet) {
			f.stop(lone)
			f.dirs[lone] = ""
			f.start(lone, false)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := twoRegions(t, 73+i, 750_000)
			f.put(1, f.config(1, "/x/"))
			for _, n := range entries {
				f.place[n] = poller.Place{DataCentre: "b", Region: "south"}
				f.start(n, true)
			}
			f.eventually("the first configuration is in force", f.inForce(1, entries...))
			given := func() bool {
				_, text := f.do("GET", "http://"+f.at(1, directoryPort)+"/v1/traffic/entries?data_centre=b&region=south", nil)
				return strings.Contains(text, f.ip(11)) && strings.Contains(text, f.ip(12))
			}
			for _, n := range entries {
				f.nodes[n].poller.SetReady(true)
			}
			f.eventually("both entry nodes are given to callers", given)
			c.fault(f)
			for v := uint64(2); v <= 5; v++ {
				f.put(1, f.config(v, "/x/"))
				f.within(inForceWithin, "the configuration is in force", func() bool {
					if !given() {
						t.Errorf("an entry node is not given to callers with version %d", v)
					}
					return f.inForce(v, entries...)()
				})
			}
		})
	}
}

// beatAll sends one heartbeat of each of some upstreams, to control nodes 1 to 5 in turn.
func (f *fleet) beatAll(count int) {
	f.t.Helper()
	var wg sync.WaitGroup
	for part := range 8 {
		wg.Go(func() {
			for i := part; i < count; i += 8 {
				u := roster.Upstream{
					Service: "desk", Address: fmt.Sprintf("10.9.%d.%d:8080", i/200, i%200), DataCentre: "a", State: roster.Ready,
					StartedMs: f.born, Sequence: 1,
				}
				url := fmt.Sprintf("http://%s/v1/traffic/upstreams/u%04d", f.at(1+i%5, controlPort), i)
				if status, text := f.do("PUT", url, u); status != 200 {
					f.t.Errorf("heartbeat of u%04d: %d %s", i, status, text)
				}
			}
		})
	}
	wg.Wait()
}

// Guards against a restart after which each entry node reads all records from each control node, over and over since none arrives in
// time: "all VMs restart with 3,000 upstreams".
func TestRestartWithManyUpstreamsFillsNoLink(t *testing.T) {
	const upstreams = 3000
	f := twoRegions(t, 78, 750_000)
	f.every = 10_000
	entries := []int{11, 12, 13, 14}
	for _, n := range entries {
		f.place[n] = poller.Place{DataCentre: "b", Region: "south"}
	}
	f.put(1, f.config(1, "/x/"))
	for n := range f.nodes {
		f.stop(n)
	}
	for n := 1; n <= 5; n++ {
		f.start(n, false)
	}
	for _, n := range entries {
		f.start(n, false)
	}
	f.eventually("the configuration is in force", f.inForce(1, entries...))
	crossed := func() int64 { return f.links.Sent("north", "south") + f.links.Sent("south", "north") }
	known := func() bool {
		for _, n := range entries {
			if len(f.nodes[n].poller.View().Services["desk"]) < upstreams {
				return false
			}
		}
		return true
	}
	before := crossed()
	f.beatAll(upstreams)
	f.within(inForceWithin, "each entry node knows all upstreams", known)
	for _, n := range entries {
		f.stop(n)
		f.start(n, false)
	}
	f.within(inForceWithin, "each restarted entry node knows all upstreams", known)
	// A record has some 100 bytes and crosses once for each control node of the other region.
	const recordBytes, controlAcross = 150, 3
	assert.Assert(t, crossed()-before < upstreams*recordBytes*controlAcross, "%d bytes crossed", crossed()-before)
}
