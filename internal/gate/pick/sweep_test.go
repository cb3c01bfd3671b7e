package pick

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// sendersAfterCold returns how many of 300 nodes may send to an upstream half a second after its cold time of 20 s, in which they sent
// nothing.
func sendersAfterCold(sweep bool) int {
	t0 := time.Unix(1_700_000_000, 0)
	s := &conf.Service{Name: "desk", ColdPerSecond: 4, ColdTime: 20_000}
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprint("vm", i))
	}
	u := roster.Upstream{ID: "u", Service: "desk", State: roster.Ready, Slots: 12, StartedMs: t0.UnixMilli()}
	allowed := 0
	for _, n := range names {
		c := New(pace.Bounds{ColdOverage: 1.5, ColdSlack: 5}, n)
		c.SetNodes(t0, names)
		for ms := 0; ms <= 20_500; ms += 500 {
			now := t0.Add(time.Duration(ms) * time.Millisecond)
			if sweep && ms%1000 == 500 {
				c.Sweep(now)
				c.IsCold(now, u, s) // updatePace
			}
			c.Verdict(now, u, s)
		}
		if c.Verdict(t0.Add(20_510*time.Millisecond), u, s).OK {
			allowed++
		}
	}
	return allowed
}

// Guards against nodes that forget the start of an upstream while it is cold, and send to it all at once when the cold time ends.
func TestSweepKeepsTheStartOfAnUpstream(t *testing.T) {
	without, with := sendersAfterCold(false), sendersAfterCold(true)
	assert.Equal(t, with, without)
	assert.Assert(t, with < 150, "%d of 300 nodes", with)
}
