package rstate_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/pkg/fleet"
)

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// slope reports, for each of n entries of a kind, the heap of one state, the time of its commands and the size of its
// snapshot, and the time that the whole snapshot takes there and back.
func slope(b *testing.B, n int, l rstate.Limits, command func(i int) []rstate.Command) {
	for b.Loop() {
		before, r, start := heap(), newRig(b, l), b.Elapsed()
		for i := range n {
			for _, c := range command(i) {
				r.index++
				r.s.Apply(r.index, c)
			}
		}
		applied := b.Elapsed() - start
		after, start := heap(), b.Elapsed()
		data, err := r.s.Snapshot()
		assert.NilError(b, err)
		saved := b.Elapsed()
		_, err = rstate.Restore(data)
		assert.NilError(b, err)
		b.ReportMetric(float64(after-before)/float64(n), "heap_B/entry")
		b.ReportMetric(float64(len(data))/float64(n), "snapshot_B/entry")
		b.ReportMetric(float64(applied.Nanoseconds())/float64(n), "apply_ns/entry")
		b.ReportMetric(float64((saved-start).Microseconds())/1000, "save_ms")
		b.ReportMetric(float64((b.Elapsed()-saved).Microseconds())/1000, "restore_ms")
		runtime.KeepAlive(r)
	}
}

// BenchmarkMemory measures the bytes for each entry; docs/measurements/table.md holds the figures. Keys and tokens have
// the length of a UUID.
func BenchmarkMemory(b *testing.B) {
	uuid := func(kind string, i int) string { return fmt.Sprintf("%s%032d", kind, i) }
	open := func(i int) rstate.Claim {
		c := claim(uuid("key-", i), uuid("tok-", i), t0)
		c.RequestID, c.Node = uuid("req-", i), fmt.Sprint("entry-", i%350)
		return c
	}
	var designSize fleet.Config // of the design size
	for i := range 2300 {
		designSize.Teams = append(designSize.Teams, fleet.Team{Name: fmt.Sprintf("team-%04d", i), Weight: 2})
	}
	for i := range 29 {
		designSize.Pipelines = append(designSize.Pipelines, book(fmt.Sprintf("pipe-%02d", i), 5))
	}
	wide := rstate.Limits{MaxRecords: 1 << 20, MaxOutputBytes: 1 << 40, MaxContents: 1}
	for _, row := range []struct {
		name    string
		sizes   []int
		limits  rstate.Limits
		command func(i int) []rstate.Command
	}{
		{"unsettled", []int{10_000, 50_000, 100_000}, wide, func(i int) []rstate.Command { return []rstate.Command{open(i)} }},
		{"settled_200B", []int{10_000, 50_000, 100_000}, wide, func(i int) []rstate.Command {
			s := settle(open(i).Key, open(i).Token, rstate.OutcomeRan, t0)
			s.Output = make([]byte, 200)
			return []rstate.Command{open(i), s}
		}},
		{"tombstone", []int{10_000, 50_000, 100_000}, wide, func(i int) []rstate.Command {
			return []rstate.Command{abandon(uuid("key-", i), uuid("tok-", i), t0)}
		}},
		{"revision_with_content", []int{8, 16, 32}, rstate.Limits{}, func(i int) []rstate.Command {
			return []rstate.Command{put(uint64(i), uuid("chg-", i), finish(designSize), t0)}
		}},
		{"revision_audit_only", []int{600, 1200, 2400}, wide, func(i int) []rstate.Command {
			return []rstate.Command{put(uint64(i), uuid("chg-", i), config(fleet.Limits{MaxInFlight: i}), t0)}
		}},
	} {
		for _, n := range row.sizes {
			b.Run(fmt.Sprint(row.name, "/", n), func(b *testing.B) { slope(b, n, row.limits, row.command) })
		}
	}
}
