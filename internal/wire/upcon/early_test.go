package upcon

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/test/rawup"
)

// longUpload is more than the socket buffers of both sides hold, so that it is still being written when the answer arrives.
const longUpload = 32 << 20

// resettingUpstream answers each request with a head and a part of its body while the upload is still being written, and resets the
// connection. It returns its address.
func resettingUpstream(t *testing.T, head string) string {
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
			_, _ = c.Read(make([]byte, 1024)) // the head of the request
			_, _ = io.WriteString(c, head+"Request-Id: a\r\n\r\npart")
			rawup.AwaitRead(t, c) // else the reset would discard the part
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

// Guards against a part of an answer that counts as whole: the kernel reports a reset once, and if the writer of the upload gets it,
// the reader sees the end of the connection, which is the end of an answer without a length.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n"} {
		address := resettingUpstream(t, head)
		for range 40 { // which side gets the error varies
			r := request(address, "a")
			r.Body = []byte(strings.Repeat("x", longUpload))
			body, err := send(t, newPool(), r)
			assert.Assert(t, err != nil, "%q after %q counts as whole", body, head)
		}
	}
}

// Guards against a whole answer without a length that is refused because the upstream did not read the whole upload before it
// answered. It reads the rest afterwards.
func TestEarlyAnswerWithoutLengthIsWholeOnceTheUploadIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 1024))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nwhole")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	r := request(l.Addr().String(), "a")
	r.Body = []byte(strings.Repeat("x", longUpload))
	body, err := send(t, newPool(), r)
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
}

// Guards against a status that no answer has and that reaches the caller, or that counts as an informational one, so that what
// follows is taken for the answer.
func TestStatusOutsideTheRangeIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "099", "99", "600", "999", "1000", "-20", "+20", "2x0", "abc", "101 Switching Protocols"} {
		up := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
			c.WriteString("HTTP/1.1 " + status + " \r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok" + whole("a", "second"))
			c.End()
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err := newPool().Send(ctx, request(up.Address, "a"))
		cancel()
		assert.Assert(t, err != nil, status)
		assert.Equal(t, outcome(t, err), MaybeRan, status)
	}
}

// awaitMore waits until bytes after the last answer have arrived on the kept connection, if there is one. It leaves them in the socket.
func awaitMore(t *testing.T, p *Pool, address string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.hosts[address].idle {
			raw, err := c.nc.(syscall.Conn).SyscallConn()
			if err != nil {
				return poll.Error(err)
			}
			var readErr error
			if err := raw.Control(func(fd uintptr) {
				_, _, readErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			}); err != nil {
				return poll.Error(err)
			}
			if errors.Is(readErr, syscall.EAGAIN) {
				return poll.Continue("nothing has arrived after the answer")
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// Guards against bytes that belong to no request, when an upstream contradicts its own framing.
func TestContradictoryFramingEndsTheConnection(t *testing.T) {
	for name, answer := range map[string]string{
		"204 with a body":            "HTTP/1.1 204 No Content\r\nRequest-Id: ID\r\nContent-Length: 2\r\n\r\nok",
		"304 with a body":            "HTTP/1.1 304 Not Modified\r\nRequest-Id: ID\r\n\r\nok",
		"informational after answer": "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 2\r\n\r\nok" + "HTTP/1.1 103 Early Hints\r\n\r\n",
		"length beside chunks": "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"2\r\nok\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
			c.WriteString(strings.ReplaceAll(answer, "ID", r.Header.Get("Request-Id")))
		})
		p := newPool()
		for _, id := range []string{"a", "b"} {
			_, err := send(t, p, request(up.Address, id))
			assert.NilError(t, err, name)
			awaitMore(t, p, up.Address)
		}
		assert.Equal(t, up.Requests()[1].Conn, 2, name)
	}
}

// Guards against chunks of HTTP/1.0, which net/http takes with their sizes for a body that the end of the connection ends, so that a
// part of them counts as whole.
func TestChunksOfHTTP10AreRefused(t *testing.T) {
	for _, fields := range []string{
		"Transfer-Encoding: chunked\r\n", "transfer-encoding:chunked\r\n", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
		strings.Repeat("Pad: "+strings.Repeat("x", 1000)+"\r\n", 8) + "Transfer-Encoding: chunked\r\n",
	} {
		for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.0 103 Early Hints\r\n\r\n"} {
			up := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
				c.WriteString(before + "HTTP/1.0 200 OK\r\nRequest-Id: a\r\n" + fields + "\r\n4\r\npart\r\n")
				c.End()
			})
			body, err := send(t, newPool(), request(up.Address, "a"))
			assert.Assert(t, errors.Is(err, ErrFraming), "%q, %v", body, err)
			assert.Equal(t, outcome(t, err), MaybeRan)
		}
	}
}

// Guards against an answer that is still read after an error, and then seems to have ended as it should.
func TestErrorOfABodyLasts(t *testing.T) {
	up := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
		c.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 5\r\n\r\npart")
		c.End()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := newPool().Send(ctx, request(up.Address, "a"))
	assert.NilError(t, err)
	defer resp.Body.Close()
	for range 3 {
		_, err = io.ReadAll(resp.Body)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

// Guards against an answer to HEAD without a length that waits for the upload, although it has no body, and against a new connection
// after each such answer.
func TestAnswerToHeadDoesNotWaitForTheUpload(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	read := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 1024))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n")
		<-read // the rest of the upload is not read before the answer has ended
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	defer close(read)
	r := request(l.Addr().String(), "a")
	r.Method, r.Body = "HEAD", []byte(strings.Repeat("x", longUpload))
	_, err = send(t, newPool(), r)
	assert.NilError(t, err)

	up := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) { c.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n") })
	p := newPool()
	for range 2 {
		r := request(up.Address, "a")
		r.Method = "HEAD"
		_, err = send(t, p, r)
		assert.NilError(t, err)
	}
	assert.Equal(t, up.Requests()[1].Conn, 1)
}
