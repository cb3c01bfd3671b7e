package dial

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/test/leak"
)

func TestMain(m *testing.M) { leak.Verify(m) }

type attempt struct {
	ctx    context.Context
	answer chan net.Conn // nil: the attempt fails
}

// scripted returns a dialer whose attempts wait for the test.
func scripted() (Dialer, *clock.Fake, chan attempt) {
	c := clock.NewFake(time.Unix(1, 0))
	attempts := make(chan attempt)
	return Dialer{Clock: c, Timeout: time.Minute, dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		a := attempt{ctx, make(chan net.Conn)}
		attempts <- a
		if conn := <-a.answer; conn != nil {
			return conn, nil
		}
		return nil, net.ErrClosed
	}}, c, attempts
}

// Guards against a request that waits a second because the first packet to an upstream was lost, and against connections
// that are made and never closed.
func TestLostPacketIsOvertakenByAnotherAttempt(t *testing.T) {
	d, c, attempts := scripted()
	got := make(chan net.Conn)
	go func() {
		conn, err := d.DialContext(t.Context(), "tcp", "x")
		assert.Check(t, err == nil)
		got <- conn
	}()
	first := <-attempts
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.Waiting() == 0 {
			return poll.Continue("the dialer does not wait yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	c.Advance(againAfter)
	second := <-attempts
	won, other := net.Pipe()
	defer other.Close()
	second.answer <- won
	assert.Equal(t, <-got, won)
	<-first.ctx.Done()
	late, peer := net.Pipe()
	first.answer <- late
	_, err := peer.Read(make([]byte, 1)) // returns when the late connection is closed
	assert.Assert(t, err != nil)
	_ = won.Close()
}

// Guards against attempts that go on after the upstream has refused the connection.
func TestRefusalEndsTheAttempts(t *testing.T) {
	d, _, attempts := scripted()
	failed := make(chan error)
	go func() {
		_, err := d.DialContext(t.Context(), "tcp", "x")
		failed <- err
	}()
	(<-attempts).answer <- nil
	assert.ErrorIs(t, <-failed, net.ErrClosed)
}
