package raftd_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// command returns a proposal of 100 bytes, about the size of a claim in the ledger.
func command() []byte { return append(number(1), make([]byte, 92)...) }

func newBenchCluster(b *testing.B, size int, every uint64) (*cluster, string) {
	c := newCluster(b, size)
	c.realClock, c.snapshotEvery = true, every
	c.startAll()
	return c, c.awaitLeader()
}

// proposeMany proposes n commands on one node from concurrent callers.
func (c *cluster) proposeMany(id string, callers, n int) {
	var left atomic.Int64
	left.Store(int64(n))
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				_, err := c.nodes[id].Propose(context.Background(), command())
				assert.Check(c.t, err)
			}
		})
	}
	wg.Wait()
}

func (c *cluster) totalBytesSent() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesSent
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCommits measures commits and how many entries share a sync, with 3 voters on real files.
func BenchmarkCommits(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("proposers=%d", callers), func(b *testing.B) {
			c, leader := newBenchCluster(b, 3, 4096)
			c.proposeMany(leader, callers, callers) // warm up
			store := c.stores[leader]
			c.nodes[leader].Status()
			before := store.Stats
			b.ResetTimer()
			c.proposeMany(leader, callers, b.N)
			b.StopTimer()
			c.nodes[leader].Status()
			after := store.Stats
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(after.Entries-before.Entries)/float64(after.Persists-before.Persists), "entries/sync")
			b.ReportMetric(float64(after.BytesWritten-before.BytesWritten)/float64(b.N), "stored-B/entry")
		})
	}
}

// BenchmarkRestart measures the time from opening one voter's folder until it has reapplied all entries, with the other
// two voters running, and the bytes read from the file.
func BenchmarkRestart(b *testing.B) {
	for _, every := range []uint64{1000, 4096} {
		for _, entries := range []int{1200, 12000} {
			b.Run(fmt.Sprintf("every=%d/entries=%d", every, entries), func(b *testing.B) {
				c, leader := newBenchCluster(b, 3, every)
				c.proposeMany(leader, 256, entries)
				id, commit := c.follower(), c.nodes[leader].Status().Raft.Commit
				var read uint64
				var opened time.Duration
				b.ResetTimer()
				for range b.N {
					b.StopTimer()
					assert.NilError(b, c.stop(id))
					b.StartTimer()
					start := time.Now()
					n := c.start(id)
					opened += time.Since(start)
					for n.Status().Raft.Applied < commit {
						assert.NilError(b, clock.Sleep(b.Context(), clock.Real(), 100*time.Microsecond))
					}
					read += c.stores[id].Stats.BytesRead
				}
				b.ReportMetric(float64(read)/float64(b.N), "B-read/op")
				b.ReportMetric(float64(opened.Microseconds())/1000/float64(b.N), "ms-open/op")
			})
		}
	}
}

// BenchmarkCost measures the bytes sent and the CPU time of all voters together, per entry and per idle second.
func BenchmarkCost(b *testing.B) {
	for _, voters := range []int{3, 5, 7} {
		for _, callers := range []int{1, 16} {
			b.Run(fmt.Sprintf("voters=%d/proposers=%d", voters, callers), func(b *testing.B) {
				c, leader := newBenchCluster(b, voters, 4096)
				bytes, used := c.totalBytesSent(), cpuTime()
				b.ResetTimer()
				c.proposeMany(leader, callers, b.N)
				b.StopTimer()
				b.ReportMetric(float64(c.totalBytesSent()-bytes)/float64(b.N), "B/entry")
				b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(b.N), "cpu-us/entry")
			})
		}
		b.Run(fmt.Sprintf("voters=%d/idle-seconds", voters), func(b *testing.B) {
			c, _ := newBenchCluster(b, voters, 4096)
			bytes, used := c.totalBytesSent(), cpuTime()
			b.ResetTimer()
			assert.NilError(b, clock.Sleep(b.Context(), clock.Real(), time.Duration(b.N)*time.Second))
			b.StopTimer()
			b.ReportMetric(float64(c.totalBytesSent()-bytes)/float64(b.N), "B/s")
			b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(b.N), "cpu-us/s")
		})
	}
}
