package upcon

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/test/loopip"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

func newPool() *Pool { return New(Options{Clock: clock.Real(), IDHeader: "Request-Id"}) }

func request(address, id string) Request {
	return Request{
		Address: address, Method: "POST", Target: "/a?b=%2F", Host: "h.example", Body: []byte("body"), ID: id,
		Header: map[string][]string{"Request-Id": {id}},
	}
}

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(t *testing.T, p *Pool, r Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := p.Send(ctx, r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func outcome(t *testing.T, err error) Outcome {
	t.Helper()
	var failed *SendError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	return failed.Outcome
}

// Guards against a request that arrives changed, and against a new connection for each request.
func TestRequestIsSentAsGivenOverOneConnection(t *testing.T) {
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) { c.WriteString(whole(r.Header.Get("Request-Id"), "ok")) })
	p := newPool()
	for _, id := range []string{"a", "b"} {
		body, err := send(t, p, request(up.Address, id))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	got := up.Requests()
	assert.Equal(t, got[1].Conn, 1)
	assert.Equal(t, got[0].RequestURI, "/a?b=%2F")
	assert.Equal(t, got[0].Host, "h.example")
	assert.Equal(t, string(got[0].Body), "body")
}

// Guards against answers, or parts of them, that reach another request or seem whole although they are not.
func TestSpoiltAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"foreign id":       whole("other", "ok"),
		"no id":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"not a response":   "garbage\r\n\r\n",
		"ends in the head": "HTTP/1.1 200 OK\r\nReq",
		"truncated":        "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\nok",
		"truncated chunk":  "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"two lengths":      "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	} {
		up := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
			c.WriteString(answer)
			c.End()
		})
		_, err := send(t, newPool(), request(up.Address, "a"))
		assert.Assert(t, err != nil, name)
	}
}

// Guards against an additional answer that is taken for that of the next request on the connection.
func TestExtraBytesSpoilTheConnection(t *testing.T) {
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		id := r.Header.Get("Request-Id")
		c.WriteString(whole(id, "ok") + whole(id, "again"))
	})
	p := newPool()
	for _, id := range []string{"a", "b"} {
		body, err := send(t, p, request(up.Address, id))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, up.Requests()[1].Conn, 2)
}

// Guards against a second run of a request whose answer was lost: only a request of which no byte was sent is certain not to
// have run.
func TestOutcomeOfAFailedSend(t *testing.T) {
	_, err := send(t, newPool(), request(loopip.Address(t), "a"))
	assert.Equal(t, outcome(t, err), NotSent)
	var failed *SendError
	assert.Assert(t, errors.As(err, &failed) && failed.Refused)

	reset := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) { c.Reset() })
	_, err = send(t, newPool(), request(reset.Address, "a"))
	assert.Equal(t, outcome(t, err), MaybeRan)
}

// Guards against a request that is lost on a kept connection which the upstream has closed in the meantime.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(whole(r.Header.Get("Request-Id"), "ok"))
		c.End()
	})
	p := newPool()
	for _, id := range []string{"a", "b", "c"} {
		_, err := send(t, p, request(up.Address, id))
		assert.NilError(t, err)
		waitClosed(p, up.Address)
	}
	assert.Equal(t, len(up.Requests()), 3)
}

// waitClosed waits until the end of the kept connection has arrived.
func waitClosed(p *Pool, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.hosts[address].idle {
		_, _ = c.br.Peek(1) // returns when the other side closes
	}
}

// Guards against work that goes on at an upstream after its caller has left.
func TestCancelClosesTheConnection(t *testing.T) {
	read, closed := make(chan bool), make(chan bool)
	up := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
		close(read)
		_, _ = c.Read(make([]byte, 1)) // returns when the other side closes
		close(closed)
		c.End()
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-read
		cancel()
	}()
	_, err := newPool().Send(ctx, request(up.Address, "a"))
	assert.Equal(t, outcome(t, err), MaybeRan)
	assert.Assert(t, errors.Is(err, context.Canceled))
	<-closed
}

// Guards against an answer that is lost because the upstream gave it before it had read a long body, and against other bytes
// in the place of the rest of that body.
func TestEarlyAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	answered, rest := make(chan bool), make(chan string, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		head := make([]byte, 64)
		_, _ = io.ReadFull(c, head)
		_, _ = io.WriteString(c, strings.Replace(whole("a", "no"), "200 OK", "413 Too Large", 1))
		<-answered              // the rest is read only now, so it cannot have been written before the answer ended
		all, _ := io.ReadAll(c) // ends when the other side closes
		rest <- string(all)
	}()
	r := request(l.Addr().String(), "a")
	r.Body = []byte(strings.Repeat("x", 64<<20)) // more than the kernel keeps of it
	p := newPool()
	body, err := send(t, p, r)
	close(answered)
	assert.NilError(t, err)
	assert.Equal(t, body, "no")
	assert.Assert(t, !strings.Contains(<-rest, "HTTP/1.1"))
	assert.Equal(t, len(p.hosts[r.Address].idle), 0)
}

// Guards against more connections than an upstream accepts.
func TestConnectionsAreBounded(t *testing.T) {
	up := rawup.New(t, func(_ *rawup.Conn, _ *rawup.Request) {})
	p := newPool()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := request(up.Address, "a")
	r.Limit = 1
	done := make(chan bool)
	go func() {
		_, _ = p.Send(ctx, r) // ends with the test
		close(done)
	}()
	for len(up.Requests()) == 0 {
		_ = clock.Sleep(ctx, clock.Real(), time.Millisecond)
	}
	_, err := p.Send(ctx, r)
	assert.Assert(t, errors.Is(err, ErrAllInUse))
	assert.Equal(t, outcome(t, err), NotSent)
	cancel()
	<-done
}

// Guards against an answer without a length that counts as whole after a reset, and against one that is refused although its
// connection ended in order.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nok"
	orderly := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
		c.WriteString(head)
		c.End()
	})
	body, err := send(t, newPool(), request(orderly.Address, "a"))
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	broken := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
		c.WriteString(head)
		c.Reset()
	})
	_, err = send(t, newPool(), request(broken.Address, "a"))
	assert.Assert(t, err != nil)
}

// Guards against fields after the body that are lost on the way, and against a request whose body is cut short by them.
func TestTrailers(t *testing.T) {
	up := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
		c.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\n\r\n")
	})
	r := request(up.Address, "a")
	r.Trailer = map[string][]string{"X-In": {"9"}}
	resp, err := newPool().Send(t.Context(), r)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	assert.Equal(t, resp.Trailer().Get("X-Sum"), "7")
	got := up.Requests()[0]
	assert.Equal(t, string(got.Body), "body")
	assert.Equal(t, got.Trailer.Get("X-In"), "9")
}

// Guards against a request that must not use a kept connection and does, or that finds no room because of one.
func TestNewConnectionOnDemand(t *testing.T) {
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) { c.WriteString(whole(r.Header.Get("Request-Id"), "ok")) })
	p := newPool()
	for i, id := range []string{"a", "b", "c"} {
		r := request(up.Address, id)
		r.NewConn, r.Limit = i > 0, 1
		body, err := send(t, p, r)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		assert.Equal(t, up.Requests()[i].Conn, i+1)
	}
}
