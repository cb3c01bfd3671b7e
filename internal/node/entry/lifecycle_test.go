package entry

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/flow/exec"
	"github.com/berylledge/berylledge/internal/flow/stream"
)

// Guards against a drain that waits for the whole resume window: the last event can reach the caller before the node has
// noted the end of the request, and must count as read all the same.
func TestLastEventSentBeforeEndIsNoted(t *testing.T) {
	c := clock.NewFake(time.Unix(1, 0))
	n := &Node{requests: map[requestKey]*request{}, running: 1}
	n.o.Clock, n.o.Events = c, event.New(event.Options{Clock: c, Keep: 1})
	n.idle = sync.NewCond(&n.mu)
	var err error
	n.life, err = loadChart()
	assert.NilError(t, err)
	r := &request{run: &exec.Request{Out: stream.NewBuffer()}, state: "running", whole: true}
	n.move(r, eventLastSent)
	n.move(r, eventEnded)
	assert.Equal(t, r.state, "read")
	assert.Assert(t, !n.unread())
	assert.Equal(t, n.running, 0)
}
