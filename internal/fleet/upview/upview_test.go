package upview_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/pkg/upapi"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engine(i int) upapi.Announce {
	return upapi.Announce{
		ID: fmt.Sprintf("e%04d", i), Incarnation: 1, Kind: upapi.KindEngine, Models: []string{fmt.Sprintf("m%d", i%21)},
		DataCentre: fmt.Sprintf("dc%d", i%9), Region: "r", Slots: 16, LeaseMS: 10_000,
	}
}

// Guards against a patched view that differs from a rebuilt one, and against a view that changes after it was returned.
func TestPatchedViewEqualsRebuiltOne(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	patched, rebuilt := upview.New(), upview.New()
	for i := range 60 {
		patched.Announce(start, engine(i))
	}
	last := map[string]upapi.Load{}
	leaving := map[string]bool{}
	held := patched.View()
	before := held.Get("e0007").Load
	for range 300 {
		id := fmt.Sprintf("e%04d", rng.IntN(60))
		if rng.IntN(20) == 0 {
			patched.Leave(upapi.Renew{ID: id, Incarnation: 1})
			leaving[id] = true
		}
		l := upapi.Load{ID: id, Incarnation: 1, Running: rng.IntN(50)}
		last[id] = l
		patched.Report(start.Add(time.Duration(len(last)+l.Running)*time.Second), l)
		if rng.IntN(4) == 0 {
			patched.View()
		}
	}
	for i := range 60 {
		rebuilt.Announce(start, engine(i))
	}
	v, w := patched.View(), rebuilt.View()
	for i := range 60 {
		a := engine(i)
		u := v.Get(a.ID)
		assert.Equal(t, u.Leaving, leaving[a.ID])
		for name, list := range map[string][]*upview.Upstream{"pool": v.Pool(a.Models[0]), "local": v.PoolIn(a.Models[0], a.DataCentre)} {
			found := false
			for _, other := range list {
				found = found || other == u
			}
			assert.Assert(t, found, "%s list holds another version of %s", name, a.ID)
		}
		assert.Equal(t, len(v.Pool(a.Models[0])), len(w.Pool(a.Models[0])))
	}
	assert.Equal(t, held.Get("e0007").Load, before)
	assert.Assert(t, v.Get("e0007").Load != before)
}

// Guards against late or missing cache events that leave the confidence in entries too high or lose entries permanently.
func TestCacheEventsWithGapsAndLateOnes(t *testing.T) {
	tab := upview.New()
	tab.Announce(start, engine(1))
	p := upapi.PrefixHashes("m1", string(make([]byte, 4*upapi.PrefixBlock)))
	send := func(evs ...upapi.CacheEvent) {
		assert.Assert(t, tab.CacheEvents(upapi.CacheEvents{ID: "e0001", Incarnation: 1, Events: evs}))
	}
	check := func(blocks int, trust float64) {
		t.Helper()
		b, tr := tab.View().Cached(tab.View().Get("e0001"), p)
		assert.Equal(t, b, blocks)
		assert.Equal(t, tr, trust)
	}
	assert.Assert(t, !tab.CacheEvents(upapi.CacheEvents{ID: "e0001", Incarnation: 2}))
	check(0, 0)
	send(upapi.CacheEvent{Seq: 1, Prefix: p[0]}, upapi.CacheEvent{Seq: 2, Prefix: p[1]})
	check(2, 1)
	send(upapi.CacheEvent{Seq: 9, Prefix: 99}) // sequence numbers 3 to 8 are missing
	check(2, 0.5)
	send(upapi.CacheEvent{Seq: 5, Prefix: p[2]}) // late: may have been superseded, so it adds nothing
	check(2, 0.5)
	send(upapi.CacheEvent{Seq: 6, Prefix: p[1], Evicted: true}) // late, but newer than the entry
	check(1, 0.5)
	send(upapi.CacheEvent{Seq: 10, Prefix: p[3]})
	check(4, 1)
	assert.DeepEqual(t, tab.View().Holders(nil, p, 4), []string{"e0001"})
	a := engine(1)
	a.Incarnation = 2
	tab.Announce(start, a) // restarted with an empty cache
	check(0, 0)
}

// Guards against memory use that grows with the number of cache events.
func TestPrefixMemoryIsBounded(t *testing.T) {
	tab := upview.New()
	tab.Announce(start, engine(1))
	u := tab.View().Get("e0001")
	for seq := range uint64(5 * upview.MaxPrefixes) {
		tab.CacheEvents(upapi.CacheEvents{ID: "e0001", Incarnation: 1, Events: []upapi.CacheEvent{{Seq: seq, Prefix: seq}}})
	}
	held := 0
	for prefix := range uint64(5 * upview.MaxPrefixes) {
		n, _ := tab.View().Cached(u, []uint64{prefix})
		held += n
	}
	assert.Equal(t, held, upview.MaxPrefixes)
	n, _ := tab.View().Cached(u, []uint64{5*upview.MaxPrefixes - 1})
	assert.Equal(t, n, 1) // the newest is kept
}

// Guards against routing by a summary that is too old or whose data centre has no live upstream.
func TestSummaries(t *testing.T) {
	from, to := upview.New(), upview.New()
	for i := range 4 {
		a := engine(9 * 21 * i) // same model and data centre
		from.Announce(start, a)
		from.Report(start, upapi.Load{ID: a.ID, Incarnation: 1, Running: 10 * i, QueueMS: int64(100 * i)})
	}
	from.Leave(upapi.Renew{ID: "e0000", Incarnation: 1})
	list := from.View().Summarize(start, "dc0", "r")
	assert.DeepEqual(t, list, []upview.Summary{{
		Pool: "m0", DataCentre: "dc0", Region: "r", Live: 3, FreeSlots: 6, QueueP90: 300 * time.Millisecond, At: start,
	}})
	assert.Assert(t, to.StoreSummary(list[0]))
	assert.Assert(t, !to.StoreSummary(list[0]))
	got := to.View().Summaries("m0")
	assert.DeepEqual(t, got, list)
	assert.Assert(t, got[0].Usable(start.Add(upview.MaxSummaryAge)))
	assert.Assert(t, !got[0].Usable(start.Add(upview.MaxSummaryAge+1)))
	assert.Assert(t, !from.View().Summarize(start.Add(time.Minute), "dc0", "r")[0].Usable(start.Add(time.Minute)))
}

func newFilledTable(n int) *upview.Table {
	tab := upview.New()
	for i := range n {
		tab.Announce(start, engine(i))
	}
	tab.View()
	return tab
}

// BenchmarkReport measures one load report; one View is read per perView reports.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{10, 156, 1400} {
		for _, perView := range []int{1, 100} {
			b.Run(fmt.Sprintf("upstreams=%d/reports_per_view=%d", n, perView), func(b *testing.B) {
				tab := newFilledTable(n)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					tab.Report(start.Add(time.Duration(i+1)), upapi.Load{ID: engine(i % n).ID, Incarnation: 1, Running: i})
					if i%perView == 0 {
						tab.View()
					}
				}
			})
		}
	}
}

// BenchmarkAnnounce measures a repeated announcement and a new incarnation, each followed by reading a View.
func BenchmarkAnnounce(b *testing.B) {
	for _, fresh := range []bool{false, true} {
		b.Run(fmt.Sprintf("upstreams=1400/new_incarnation=%v", fresh), func(b *testing.B) {
			tab := newFilledTable(1400)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				a := engine(i % 1400)
				if fresh {
					a.Incarnation = uint64(i + 2)
				}
				tab.Announce(start, a)
				tab.View()
			}
		})
	}
}

// Guards against a report that modifies an upstream shared with a published View. It fails only under -race.
func TestViewsAreReadWhileReportsArrive(t *testing.T) {
	tab := newFilledTable(20)
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			for i := range 2000 {
				id := engine((i*7 + worker) % 20).ID
				tab.Report(start.Add(time.Duration(i)), upapi.Load{ID: id, Incarnation: 1, Running: i})
				tab.CacheEvents(upapi.CacheEvents{ID: id, Incarnation: 1, Events: []upapi.CacheEvent{{Seq: uint64(i + 1), Prefix: uint64(i % 50)}}})
				v := tab.View()
				u := v.Get(id)
				if u.Load.Running > 2000 || !u.Live(start) {
					t.Errorf("%s has a torn load %d", id, u.Load.Running)
				}
				v.Cached(u, []uint64{uint64(i % 50)})
				v.Holders(nil, []uint64{uint64(i % 50)}, 4)
			}
		})
	}
	wg.Wait()
}
