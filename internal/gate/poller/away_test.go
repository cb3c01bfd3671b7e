package poller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// newAwayPoller returns a poller whose process was frozen for some time after it had seen a ready upstream.
func newAwayPoller(frozen time.Duration) (*Poller, *clock.Fake) {
	f, c := newTestPoller(), clock.NewFake(t0)
	f.o.Clock, f.away.enabled = c, true
	f.tell(t0, "a", upstreamIn("dc", 1))
	f.away.tick(t0)
	c.Advance(frozen)
	return f, c
}

// Guards against a node that was frozen while a data centre was evacuated, and sends what waited in its sockets to upstreams there
// before it has asked a control node.
func TestFrozenNodeSendsNothingBeforeItHasAsked(t *testing.T) {
	f, c := newAwayPoller(awayAfter + time.Millisecond)
	assert.Equal(t, f.state(t).State, roster.Draining)
	f.away.tick(c.Now())
	assert.Equal(t, f.state(t).State, roster.Draining, "a round of the loop is no answer")
	f.away.answered(t0)
	assert.Equal(t, f.state(t).State, roster.Draining, "the question is older than the return")
	f.away.answered(c.Now())
	assert.Equal(t, f.state(t).State, roster.Ready)
}

// Guards against a loop that notices the return before any request does, and thereby hides it.
func TestReturnIsNoticedByTheLoopAsWell(t *testing.T) {
	f, c := newAwayPoller(awayAfter + time.Millisecond)
	f.away.tick(c.Now())
	assert.Equal(t, f.state(t).State, roster.Draining)
}

// Guards against a node that serves nobody because no control node answers after its return, or because its clock was set back, and
// against one that stops serving for a short pause.
func TestReturnHoldsBackWorkForAShortTimeOnly(t *testing.T) {
	f, c := newAwayPoller(awayAfter + time.Millisecond)
	assert.Equal(t, f.state(t).State, roster.Draining)
	f.away.tick(c.Now())
	c.Advance(awayMost)
	assert.Equal(t, f.state(t).State, roster.Ready)
	f.away.tick(c.Now())
	assert.Equal(t, f.away.since.Load(), int64(0))

	f, _ = newAwayPoller(awayAfter + time.Millisecond)
	assert.Equal(t, f.state(t).State, roster.Draining)
	f.o.Clock = clock.NewFake(t0.Add(-time.Hour))
	assert.Equal(t, f.state(t).State, roster.Ready)

	f, _ = newAwayPoller(awayAfter)
	assert.Equal(t, f.state(t).State, roster.Ready)
}

// Guards against a request that is refused after a return although a control node answers a moment later.
func TestCallerWaitsForTheAnswerAfterAReturn(t *testing.T) {
	f, c := newAwayPoller(awayAfter + time.Millisecond)
	done := make(chan bool)
	go func() {
		f.AwaitCurrent(t.Context())
		close(done)
	}()
	for c.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	select {
	case <-done:
		t.Fatal("it did not wait")
	default:
	}
	f.away.answered(c.Now())
	c.Advance(awayPoll)
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("it waits on after the answer")
	}
	f.AwaitCurrent(t.Context()) // at once
}

// Guards against fleets without evacuations that hold work back after each pause of a process.
func TestReturnHoldsNothingBackWithoutABoundOfEvacuations(t *testing.T) {
	f, _ := newAwayPoller(awayAfter + time.Millisecond)
	f.away.enabled = false
	assert.Equal(t, f.state(t).State, roster.Ready)
}
