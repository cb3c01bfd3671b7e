package poller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// newFrozenPoller returns a poller whose process was frozen for some time after it had seen a ready upstream.
func newFrozenPoller(frozen time.Duration) (*Poller, *clock.Fake) {
	f, c := newTestPoller(), clock.NewFake(t0)
	f.o.Clock, f.freeze.enabled = c, true
	f.tell(t0, "a", upstreamIn("dc", 1))
	f.freeze.tick(t0)
	c.Advance(frozen)
	return f, c
}

// Guards against a node that was frozen while a data centre was evacuated, and sends what waited in its sockets to upstreams there
// before it has asked a control node.
func TestFrozenNodeSendsNothingBeforeItHasAsked(t *testing.T) {
	f, c := newFrozenPoller(freezeAfter + time.Millisecond)
	assert.Equal(t, f.state(t).State, roster.Draining)
	f.freeze.tick(c.Now())
	assert.Equal(t, f.state(t).State, roster.Draining, "a round of the loop is no answer")
	f.freeze.answered(t0)
	assert.Equal(t, f.state(t).State, roster.Draining, "the question is older than the return")
	f.freeze.answered(c.Now())
	assert.Equal(t, f.state(t).State, roster.Ready)
}

// Guards against a loop that notices the return before any request does, and thereby hides it.
func TestReturnIsNoticedByTheLoopAsWell(t *testing.T) {
	f, c := newFrozenPoller(freezeAfter + time.Millisecond)
	f.freeze.tick(c.Now())
	assert.Equal(t, f.state(t).State, roster.Draining)
}

// Guards against a node that serves nobody because no control node answers after its return, or because its clock was set back, and
// against one that stops serving for a short pause.
func TestReturnHoldsBackWorkForAShortTimeOnly(t *testing.T) {
	f, c := newFrozenPoller(freezeAfter + time.Millisecond)
	assert.Equal(t, f.state(t).State, roster.Draining)
	f.freeze.tick(c.Now())
	c.Advance(maxFreezeHold)
	assert.Equal(t, f.state(t).State, roster.Ready)
	f.freeze.tick(c.Now())
	assert.Equal(t, f.freeze.since.Load(), int64(0))

	f, _ = newFrozenPoller(freezeAfter + time.Millisecond)
	assert.Equal(t, f.state(t).State, roster.Draining)
	f.o.Clock = clock.NewFake(t0.Add(-time.Hour))
	assert.Equal(t, f.state(t).State, roster.Ready)

	f, _ = newFrozenPoller(freezeAfter)
	assert.Equal(t, f.state(t).State, roster.Ready)
}

// Guards against a request that is refused after a return although a control node answers a moment later.
func TestCallerWaitsForTheAnswerAfterAReturn(t *testing.T) {
	f, c := newFrozenPoller(freezeAfter + time.Millisecond)
	done := make(chan bool)
	go func() {
		f.AwaitCurrent(t.Context())
		close(done)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.Waiting() == 0 {
			return poll.Continue("it has not begun to wait")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	select {
	case <-done:
		t.Fatal("it did not wait")
	default:
	}
	f.freeze.answered(c.Now())
	c.Advance(freezePoll)
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("it waits on after the answer")
	}
	f.AwaitCurrent(t.Context()) // at once
}

// Guards against fleets without evacuations that hold work back after each pause of a process.
func TestReturnHoldsNothingBackWithoutABoundOfEvacuations(t *testing.T) {
	f, _ := newFrozenPoller(freezeAfter + time.Millisecond)
	f.freeze.enabled = false
	assert.Equal(t, f.state(t).State, roster.Ready)
}
