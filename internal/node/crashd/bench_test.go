package crashd_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/node/crashd"
	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/internal/test/inmem"
)

// BenchmarkNormalPath measures the overhead of the guard on a request of four successful stages, with 200 other runs in
// flight. The hash of the input is excluded, because requests compute it without the guard as well. The limit is 5 µs.
func BenchmarkNormalPath(b *testing.B) {
	l, c := inmem.New(), clock.Real()
	g := crashd.New(crashd.Options{
		Node: "e", Clock: c, Events: event.New(event.Options{Node: "e", Clock: c}), Propose: l.Propose, FetchSuspects: l.Fetch,
	})
	defer g.Close()
	ctx, sum, prior := context.Background(), make([]byte, 32), make([]byte, 64)
	claim := func() (string, bool) { return "u", true }
	for i := range 200 {
		p := g.RequestPermit(ctx, poison.Sum("p", "s", []byte(fmt.Sprint(i))), claim)
		g.Started(p.ID, "u", 1)
	}
	b.ResetTimer()
	for i := range b.N {
		sum[0], sum[1], sum[2] = byte(i), byte(i>>8), byte(i>>16)
		for _, stage := range []string{"encode", "retrieve", "rerank", "answer"} {
			p := g.RequestPermit(ctx, poison.Sum("p", stage, sum[:], prior), claim)
			g.Started(p.ID, "u", 1)
			g.Ended(p.ID, true)
		}
	}
}
