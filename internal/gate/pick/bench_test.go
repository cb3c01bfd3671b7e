package pick

import (
	"fmt"
	"testing"
	"time"

	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// Measures one choice among the upstreams of a service at a small and at a grown site.
func BenchmarkChoose(b *testing.B) {
	for _, upstreams := range []int{9, 90} {
		b.Run(fmt.Sprint("upstreams=", upstreams), func(b *testing.B) {
			var list []roster.Upstream
			for i := range upstreams {
				list = append(list, roster.Upstream{ID: fmt.Sprint("u", i), DataCentre: []string{"own", "region", "far"}[i%3], State: roster.Ready})
			}
			c := New(pace.Bounds{}, "")
			b.ReportAllocs()
			for b.Loop() {
				u, _ := c.Choose(t0, list, Criteria{Distance: testDistance})
				c.Begin(t0, u.ID)
				c.End(t0, u.ID, Succeeded, time.Millisecond)
			}
		})
	}
}
