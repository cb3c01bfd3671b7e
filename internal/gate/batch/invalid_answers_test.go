package batch

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// failedCalls returns the number of calls that failed at the upstream.
func failedCalls(n *node) int {
	return len(n.o.Events.Select(event.Filter{Name: "call_failed", Upstream: "u1"}))
}

// Guards against an answer to a call that is taken although its status is impossible or its framing does not show that it is whole.
// Its bytes would be a valid list of results.
func TestCallWithAnInvalidAnswerHasFailed(t *testing.T) {
	body := `{"items":[{"handle":"bad"}]}`
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	for name, answer := range map[string]string{
		"000":                  "HTTP/1.1 000 \r\n" + length + "\r\n" + body,
		"+20":                  "HTTP/1.1 +20 \r\n" + length + "\r\n" + body,
		"99":                   "HTTP/1.1 99 \r\n" + length + "\r\n" + body,
		"101":                  "HTTP/1.1 101 Switching Protocols\r\n" + length + "\r\n" + body,
		"204":                  "HTTP/1.1 204 No Content\r\n" + length + "\r\n" + body,
		"304":                  "HTTP/1.1 304 Not Modified\r\n\r\n" + body,
		"600":                  "HTTP/1.1 600 \r\n" + length + "\r\n" + body,
		"1000":                 "HTTP/1.1 1000 \r\n" + length + "\r\n" + body,
		"letters":              "HTTP/1.1 abc \r\n" + length + "\r\n" + body,
		"length beside chunks": "HTTP/1.1 200 OK\r\n" + length + "Transfer-Encoding: chunked\r\n\r\n" + chunk,
		"chunks without end":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk,
		"HTTP/1.0 and chunks":  "HTTP/1.0 200 OK\r\n" + length + "Transfer-Encoding: chunked\r\n\r\n" + body,
		"part of the length":   fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body),
		"part without length":  "HTTP/1.1 200 OK\r\n\r\n" + body[:len(body)-1],
		"part of the status":   "HTTP/1.1 20",
		"part of the head":     "HTTP/1.1 200 OK\r\nContent-Le",
		"head without its end": "HTTP/1.1 200 OK\r\n" + length + "\r",
		"interim only":         "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + length,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			a, b, _ := newPair(t, func(c *rawup.Conn, r *rawup.Request) {
				if calls.Add(1) > 1 {
					answerWithHandles(c, r)
					return
				}
				c.WriteString(answer)
				c.End()
			})
			made, err := a.Run(t.Context(), "s", "n", jobs(1))
			assert.NilError(t, err)
			assert.Equal(t, made[0].Handle, "h0")
			assert.Assert(t, failedCalls(b) > 0)
		})
	}
}

// Guards against the results of an upstream that answers a long call before it has read it and resets the connection while the call is
// still being written: the kernel may report the reset to the writer alone, and the end of the connection then seems to be that of the
// answer.
func TestEarlyAnswerToACallThatIsResetIsNotWhole(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n"} {
		t.Run(head, func(t *testing.T) {
			t.Parallel()
			for range 2 { // which of write and read sees the reset varies
				_, b, _ := newPair(t, answerWithHandles)
				b.o.View().Services["s"][0].Address = newResettingUpstream(t, head)
				one := jobs(1)
				one[0].Key = strings.Repeat("x", 16<<20) // more than the socket buffers hold
				made, err := b.Run(t.Context(), "s", "n", one)
				assert.NilError(t, err)
				assert.Equal(t, made[0].Handle, "")
				assert.Equal(t, failedCalls(b), 3) // all that the queue makes
			}
		})
	}
}

// newResettingUpstream returns the address of an upstream that answers each call early with a complete list, and resets the connection.
func newResettingUpstream(t *testing.T, head string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1024))
			_, _ = io.WriteString(c, head+"\r\n"+`{"items":[{"handle":"bad"}]}`)
			time.Sleep(20 * time.Millisecond) // the part is read before the reset would discard it
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String()
}
