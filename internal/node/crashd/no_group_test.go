package crashd_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/flow/crash"
	"github.com/berylledge/berylledge/internal/node/crashd"
	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/internal/test/inmem"
)

// Guards against requests that stop when the control group is unreachable, against a suspect that runs without a grant
// meanwhile, and against one that is not cleared by a solo run afterwards.
func TestOnlySuspectsWaitWithoutControlGroup(t *testing.T) {
	l, c, policy := inmem.New(), clock.Real(), crash.DefaultPolicy()
	policy.MaxWait = 300 * time.Millisecond
	g := crashd.New(crashd.Options{
		Node: "e", Clock: c, Events: event.New(event.Options{Node: "e", Clock: c}), Propose: l.Propose, FetchSuspects: l.Fetch, Policy: policy,
	})
	defer g.Close()
	ctx, suspect, other := context.Background(), poison.Fingerprint{1}, poison.Fingerprint{2}
	claim := func() (string, bool) { return "u2", true }
	p := g.RequestPermit(ctx, suspect, claim)
	assert.Assert(t, p.Run && !p.Solo)
	g.Started(p.ID, "u1", 1)
	g.UpstreamDied("u1", 1)
	g.ConnectionLost(p.ID)
	assert.Equal(t, len(g.List()), 1, "released before the report was known")

	l.Fail(true)
	p = g.RequestPermit(ctx, suspect, claim)
	assert.Assert(t, !p.Run)
	assert.Equal(t, p.Status, poison.Suspect)
	p = g.RequestPermit(ctx, other, claim)
	assert.Assert(t, p.Run && !p.Solo)
	g.Started(p.ID, "u2", 1)
	g.Ended(p.ID, true)

	l.Fail(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p = g.RequestPermit(ctx, suspect, claim); !p.Run {
			return poll.Continue("no grant yet")
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond))
	assert.Assert(t, p.Solo)
	g.Started(p.ID, "u2", 1)
	g.Ended(p.ID, true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(g.List()); n != 0 {
			return poll.Continue("%d suspects", n)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond))
}
