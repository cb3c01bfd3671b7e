package engine

import (
	"fmt"
	"testing"
)

// Measures one placement among the engines of a region of the small and of the grown site, with 20 requests at each
// engine.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{6, 30} {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) {
			p := newPlacer(engines)
			var open []uint64
			next := 0
			place := func() {
				r := review(fmt.Sprint("doc", next%100), 1000)
				r.Parts[1].ID = fmt.Sprint("own", next)
				next++
				seat, _ := p.Place(t0, r)
				open = append(open, seat.Ticket)
			}
			for range 20 * engines {
				place()
			}
			b.ReportAllocs()
			for b.Loop() {
				place()
				p.FirstEvent(t0, open[0])
				p.End(t0, open[0], Served)
				open = open[1:]
			}
		})
	}
}
