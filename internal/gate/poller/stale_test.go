package poller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

func withStale(tell Reply, version uint64, ids ...string) Reply {
	tell.Stale = &roster.StaleSet{Version: version, IDs: ids}
	return tell
}

// Guards against a view that vouches for an upstream of which its control node knows nothing new, and against one that keeps the set of a
// control node that has restarted, or that is no longer followed.
func TestViewShowsStaleUpstreams(t *testing.T) {
	f := newTestPoller()
	f.tell(t0, "a", upstream(roster.Ready, 1, false))
	id := f.state(t).ID
	assert.Assert(t, !f.state(t).Stale)
	f.tell(t0, "a", withStale(Reply{}, 1, "another", id))
	assert.Assert(t, f.state(t).Stale)
	_, q := f.question(f.sources["a"])
	assert.Equal(t, q.Stale, uint64(1))
	f.tell(t0, "a", Reply{})
	assert.Assert(t, f.state(t).Stale, "the answer says nothing new")
	f.tell(t0, "a", withStale(Reply{}, 2))
	assert.Assert(t, !f.state(t).Stale)

	f.tell(t0, "a", withStale(Reply{}, 3, id))
	f.tell(t0, "a", Reply{Epoch: 7})
	assert.Assert(t, !f.state(t).Stale, "the control node has restarted")
	f.tell(t0, "a", withStale(Reply{Epoch: 7}, 1, id))
	f.tell(t0, "b", Reply{})
	assert.Assert(t, !f.state(t).Stale, "another control node is followed")
}

// Guards against an entry node that no control node answers and that vouches for what they said last.
func TestViewWithoutAnswersIsStale(t *testing.T) {
	f := newTestPoller()
	f.tell(t0, "a", upstream(roster.Ready, 1, false))
	f.publish(t0.Add(uninformedAfter))
	assert.Assert(t, !f.state(t).Stale)
	late := t0.Add(uninformedAfter + time.Millisecond)
	f.publish(late)
	assert.Assert(t, f.state(t).Stale)
	f.tell(late, "b", Reply{})
	assert.Assert(t, !f.state(t).Stale)
}

// Guards against what waited in the sockets of a frozen entry node and is served by the view of the time before, until the node's loop has
// noticed that it is old.
func TestViewIsStaleAtOnceAfterAFreeze(t *testing.T) {
	f := newTestPoller()
	c := clock.NewFake(t0)
	f.o.Clock = c
	f.tell(t0, "a", upstream(roster.Ready, 1, false))
	assert.Assert(t, !f.state(t).Stale)
	c.Advance(uninformedAfter + time.Millisecond)
	assert.Assert(t, f.state(t).Stale)
	assert.Assert(t, f.View().Uninformed)
	f.tell(c.Now(), "a", Reply{})
	assert.Assert(t, !f.state(t).Stale)
}
