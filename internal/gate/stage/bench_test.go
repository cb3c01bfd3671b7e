package stage

import (
	"fmt"
	"testing"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
)

// Measures the cost of one piece from arrival to result, with the queue length of a burst at a small and at a grown
// site, also with upstreams of different speeds.
func BenchmarkPiece(b *testing.B) {
	for _, c := range []struct {
		upstreams, waiting int
		uneven             bool
	}{{3, 100, false}, {10, 300, false}, {10, 300, true}, {100, 0, true}, {100, 300, true}} {
		b.Run(fmt.Sprintf("upstreams=%d,waiting=%d,uneven=%v", c.upstreams, c.waiting, c.uneven), func(b *testing.B) {
			const batch = 8
			q := NewQueue(conf.Pool{Slots: 1, Queue: 2, Batch: batch, CallTime: 150, ItemTime: 16, ResultMemoryMB: 1000, HandleTTL: 4000})
			var list []Target
			for i := range c.upstreams {
				list = append(list, Target{ID: fmt.Sprint("u", i), DataCentre: "a"})
			}
			q.SetTargets(list)
			for i, u := range list {
				if !c.uneven {
					break
				}
				for range 50 {
					took := time.Duration(50+i%3*50) * time.Millisecond
					expected := time.Duration(q.speeds.Estimate(t0, u.ID) * float64(100*time.Millisecond))
					q.speeds.Learn(t0, u.ID, took, expected, expected)
				}
			}
			next := 0
			add := func() {
				q.Add(t0, Job{Item: Item{Request: fmt.Sprint(next / 6), Piece: next % 6}, Bytes: 1000, Due: t0.Add(1e9), Deadline: t0.Add(9e9)})
				next++
			}
			for range c.waiting {
				add()
			}
			var open []Call
			b.ReportAllocs()
			for b.Loop() {
				for range batch {
					add()
				}
				calls, _ := q.Next(t0)
				open = append(open, calls...)
				if len(open) > 0 {
					outcomes := make([]Outcome, len(open[0].Jobs))
					handles := make([]string, len(outcomes))
					for i := range outcomes {
						handles[i] = fmt.Sprint(next, "-", i)
						outcomes[i].Handle = handles[i]
					}
					q.Done(t0, open[0].ID, Answered, outcomes)
					q.Free(handles)
					open = open[1:]
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/piece")
		})
	}
}
