package batch

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/test/rawup"
)

// Guards against pieces that stay in the queue of a region which their request may no longer use, and against losing the pieces of the
// same request in other queues of the same node: their results would never come.
func TestCancelQueueKeepsOtherQueues(t *testing.T) {
	release := make(chan bool)
	a, b, _ := newPair(t, func(c *rawup.Conn, r *rawup.Request) {
		<-release
		answerWithHandles(c, r)
	})
	waiting := func() int {
		n := 0
		for _, q := range b.Queues() {
			for _, w := range q.Waiting {
				n += w
			}
		}
		return n
	}
	done := make(chan error, 2)
	run := func(ctx context.Context) {
		go func() {
			_, err := a.Run(ctx, "s", "n", jobs(4))
			done <- err
		}()
	}
	run(t.Context()) // occupies the upstream
	waitFor(t, "the first call is sent", func() bool {
		list := b.Queues()
		return len(list) == 1 && list[0].CallsInFlight == 1
	})
	ctx, cancel := context.WithCancel(t.Context())
	run(ctx)
	waitFor(t, "pieces wait", func() bool { return waiting() == 4 })
	for _, q := range []message{{Cancel: "r", Service: "s", Region: "other"}, {Cancel: "r", Service: "t", Region: "n"}, {Cancel: "other"}} {
		body, err := cbor.Marshal(q)
		assert.NilError(t, err)
		_, err = b.Handle(t.Context(), body)
		assert.NilError(t, err)
		b.CancelQueue(q.Cancel, q.Service, q.Region, b.Self())
		assert.Equal(t, waiting(), 4)
	}
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
	a.CancelQueue("r", "s", "n", b.Self())
	waitFor(t, "no pieces wait", func() bool { return waiting() == 0 })
	close(release)
}
