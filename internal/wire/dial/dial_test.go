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

// attempt is a connection attempt whose result the test determines.
type attempt struct {
	ctx    context.Context
	result chan net.Conn // nil: the attempt fails
}

// newControlledDialer returns a dialer with a fake clock. Each attempt is sent to the channel and blocks until the test sets its
// result.
func newControlledDialer() (Dialer, *clock.Fake, chan attempt) {
	c := clock.NewFake(time.Unix(1, 0))
	attempts := make(chan attempt)
	return Dialer{Clock: c, Timeout: time.Minute, dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		a := attempt{ctx, make(chan net.Conn)}
		attempts <- a
		if conn := <-a.result; conn != nil {
			return conn, nil
		}
		return nil, net.ErrClosed
	}}, c, attempts
}

// Guards against a request that waits one second because the SYN to an upstream was lost, and against leaking the connections of
// attempts that finish later.
func TestLostPacketIsOvertakenByAnotherAttempt(t *testing.T) {
	d, c, attempts := newControlledDialer()
	got := make(chan net.Conn)
	go func() {
		conn, err := d.DialContext(t.Context(), "tcp", "x")
		assert.Check(t, err == nil)
		got <- conn
	}()
	first := <-attempts
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.Waiting() == 0 {
			return poll.Continue("the dialer has not started its timer")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	c.Advance(attemptDelay)
	second := <-attempts
	winner, winnerPeer := net.Pipe()
	defer winnerPeer.Close()
	second.result <- winner
	assert.Equal(t, <-got, winner)
	<-first.ctx.Done()
	late, latePeer := net.Pipe()
	first.result <- late
	_, err := latePeer.Read(make([]byte, 1)) // returns when the late connection is closed
	assert.Assert(t, err != nil)
	_ = winner.Close()
}

// Guards against further attempts after the upstream has refused the connection.
func TestRefusalStopsFurtherAttempts(t *testing.T) {
	d, _, attempts := newControlledDialer()
	failed := make(chan error)
	go func() {
		_, err := d.DialContext(t.Context(), "tcp", "x")
		failed <- err
	}()
	(<-attempts).result <- nil
	assert.ErrorIs(t, <-failed, net.ErrClosed)
}
