package batch

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/stage"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

func jobsUntil(request string, n int, deadline time.Duration) []stage.Job {
	out := jobs(n)
	for i := range out {
		out[i].Request, out[i].Due, out[i].Deadline = request, time.Now().Add(deadline), time.Now().Add(deadline)
	}
	return out
}

// Guards against a header of a leaving upstream that is missed under its other name or taken from another upstream at the address,
// and against values of Retry-After that are taken for pauses.
func TestHeadOfAnswerIsRead(t *testing.T) {
	a, _, _ := newPair(t, answerWithHandles)
	a.o.Dialect.Headers.LeavingAlias = "X-Leaving"
	now := time.Now()
	for i, c := range []struct {
		status int
		header http.Header
		cause  pace.Cause
	}{
		{200, http.Header{"Berylledge-Leaving": {"1"}}, pace.Leaving},
		{418, http.Header{"X-Leaving": {"true"}}, pace.Leaving},
		{200, http.Header{"Berylledge-Leaving": {"0"}}, pace.None},
		{200, http.Header{"Berylledge-Leaving": {"False"}}, pace.None},
		{421, http.Header{"Berylledge-Leaving": {"1"}}, pace.None},
		{421, http.Header{"Berylledge-Leaving": {"1"}, "Berylledge-Upstream": {"u6"}}, pace.None},
		{421, http.Header{"Berylledge-Leaving": {"1"}, "Berylledge-Upstream": {"u6"}}, pace.Leaving},
		{503, http.Header{"Retry-After": {"2.5"}}, pace.Paused},
		{503, http.Header{"Retry-After": {"1e300"}}, pace.Paused},
		{503, http.Header{"Retry-After": {"1e999"}}, pace.None},
		{503, http.Header{"Retry-After": {"-1"}}, pace.None},
		{503, http.Header{"Retry-After": {"NaN"}}, pace.None},
		{429, http.Header{"Retry-After": {"5"}}, pace.None},
		{200, http.Header{"Retry-After": {"5"}}, pace.None},
	} {
		id := fmt.Sprint("u", i)
		a.NoteAnswer(id, 7, c.status, c.header)
		cause, _ := a.PaceTable().IsSuspended(now, id, 7)
		assert.Equal(t, cause, c.cause, "%d: %d %v", i, c.status, c.header)
	}
}

// Guards against calls that reach a stage upstream during the pause that it asked for or after it said that it leaves, also in an
// answer whose body breaks off; against pieces that wait for a pause which is longer than their time; and against results that are
// not freed at an upstream that leaves.
func TestStageCallsObeyPauseAndLeaving(t *testing.T) {
	var calls atomic.Int32
	var leaves atomic.Bool
	a, b, up := newPair(t, func(c *rawup.Conn, r *rawup.Request) {
		switch {
		case r.URL.Path != "/v1/pieces/make":
			answerWithHandles(c, r)
		case calls.Add(1) == 1:
			c.WriteString("HTTP/1.1 503 X\r\nBerylledge-Not-Run: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n")
		case leaves.Load():
			c.WriteString("HTTP/1.1 200 OK\r\nBerylledge-Leaving: 1\r\nContent-Length: 900\r\n\r\n{")
			c.End()
		default:
			answerWithHandles(c, r)
		}
	})
	begin := time.Now()
	done := make(chan []JobResult, 1)
	go func() {
		made, _ := a.Run(t.Context(), "s", "n", jobsUntil("waits", 2, 20*time.Second))
		done <- made
	}()
	waitFor(t, "the owner knows the pause", func() bool {
		cause, _ := b.PaceTable().IsSuspended(time.Now(), "u1", 0)
		return cause == pace.Paused
	})
	made, err := a.Run(t.Context(), "s", "n", jobsUntil("short", 1, 2400*time.Millisecond))
	assert.NilError(t, err)
	assert.Equal(t, made[0].Reason, stage.ReasonRefused)
	assert.Equal(t, made[0].Cause, pace.Paused)
	assert.Assert(t, made[0].RetryIn > time.Second && made[0].RetryIn < 3*time.Second, "%v", made[0].RetryIn)
	assert.Assert(t, time.Since(begin) < 2*time.Second, "refused after %v", time.Since(begin))
	assert.Equal(t, calls.Load(), int32(1))
	waits := <-done
	assert.Assert(t, waits[0].Handle != "")
	assert.Assert(t, time.Since(begin) >= 3*time.Second, "called after %v", time.Since(begin))

	leaves.Store(true)
	before := calls.Load()
	made, err = b.Run(t.Context(), "s", "n", jobsUntil("last", 1, 20*time.Second))
	assert.NilError(t, err)
	assert.Equal(t, made[0].Handle, "")
	for i := range 5 {
		made, err = b.Run(t.Context(), "s", "n", jobsUntil(fmt.Sprint("after", i), 1, 20*time.Second))
		assert.NilError(t, err)
		assert.Equal(t, made[0].Reason, stage.ReasonRefused)
		assert.Equal(t, made[0].Cause, pace.Leaving)
	}
	assert.Equal(t, calls.Load(), before+1)
	n := len(up.Requests())
	a.Free("s", waits[0].Owner, []ResultRef{{waits[0].Handle, waits[0].Upstream}})
	waitFor(t, "the result is freed", func() bool { return len(up.Requests()) > n })
}
