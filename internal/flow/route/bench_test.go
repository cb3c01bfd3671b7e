package route_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/flow/route"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// BenchmarkPick measures Pick together with Dispatched, Done and Observe, for pools of engines in one data centre.
func BenchmarkPick(b *testing.B) {
	prompt := upapi.PrefixHashes("m", string(make([]byte, 32*upapi.PrefixBlock)))
	for _, kind := range []string{"plain", "fingerprint", "model"} {
		for _, n := range []int{10, 50, 156, 350, 700, 1400} {
			b.Run(fmt.Sprintf("%s/upstreams=%d", kind, n), func(b *testing.B) {
				var list []upapi.Announce
				for i := range n {
					list = append(list, engine(fmt.Sprintf("e%04d", i), "m"))
				}
				tab := table(list...)
				now := start.Add(time.Minute)
				for i, a := range list {
					tab.Report(now, upapi.Load{ID: a.ID, Incarnation: 1, Running: i % 4})
					if i%100 == 0 {
						tab.CacheEvents(upapi.CacheEvents{ID: a.ID, Incarnation: 1, Events: []upapi.CacheEvent{{Seq: 1, Prefix: prompt[20]}}})
					}
				}
				req := route.Request{Pool: "m", DataCentre: "a", Region: "r", Rank: 1, Repeatable: true}
				if kind == "model" {
					req.Model, req.Prefixes, req.PromptTokens = true, prompt, 8192
				}
				r := route.New(route.DefaultPolicy(), 1)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now = now.Add(100 * time.Microsecond)
					if kind == "fingerprint" {
						req.Fingerprint = uint64(i)*0x9e3779b97f4a7c15 + 1
					}
					c, err := r.Pick(now, tab.View(), req)
					if err != nil {
						b.Fatal(err)
					}
					r.Dispatched(now, c)
					r.Done(now, c)
					r.Observe(now, c.Upstream.ID, route.Outcome{Latency: time.Millisecond, Service: time.Millisecond})
				}
			})
		}
	}
}

// Pick must not allocate: garbage is no problem at 650 requests per second, but it is under overload.
func TestPickDoesNotAllocate(t *testing.T) {
	tab := table(services(100)...)
	r := route.New(route.DefaultPolicy(), 1)
	now := start.Add(time.Minute)
	step := func() {
		now = now.Add(time.Millisecond)
		c, err := r.Pick(now, tab.View(), req)
		assert.NilError(t, err)
		r.Dispatched(now, c)
		r.Done(now, c)
	}
	for range 5000 {
		step() // registers all upstreams and grows the buffers to their final size
	}
	assert.Assert(t, testing.AllocsPerRun(900, step) < 1)
}
