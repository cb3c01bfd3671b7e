package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// earlyUpload is more than the socket buffers hold, so that it is still being written when the answer arrives.
const earlyUpload = 32 << 20

// newResettingUpstream returns an upstream that answers id1 before it has read the upload, with a head without a length and a part
// of the body, and resets the connection.
func newResettingUpstream(t *testing.T, head, part string) *rawup.Upstream {
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
			_, _ = io.WriteString(c, head+"\r\nBerylledge-Request: id1\r\n\r\n"+part)
			rawup.AwaitRead(t, c) // else the reset would discard the part
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return &rawup.Upstream{Address: l.Addr().String()}
}

// upload sends id1 with a long body.
func (s *testProxy) upload() result {
	s.t.Helper()
	s.forwarder.o.View().Table.Config.Limits.BodyBytes = 2 * earlyUpload
	r := s.request("/x/", "id1")
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", earlyUpload))), earlyUpload
	return s.do(r)
}

// Guards against the part of an answer that reaches the caller as a whole one, when the upstream resets the connection while the
// upload is still being written.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	part := events(1, 2)
	for _, head := range []string{"HTTP/1.1 200 OK\r\n" + signed, "HTTP/1.0 200 OK\r\n" + signed, "HTTP/1.1 200 OK"} {
		name := fmt.Sprintf("%q", head)
		for range 5 { // which of write and read sees the reset varies
			s := newTestProxy(t, unsafeOnce, newResettingUpstream(t, head, part))
			got := s.upload()
			assert.NilError(t, got.err, name)
			assert.Equal(t, got.status, http.StatusBadGateway, name)

			s = newTestProxy(t, streamRoute(false), newResettingUpstream(t, head, part))
			got = s.upload()
			assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%s: %d %q", name, got.status, got.body)
		}
	}
}

// Guards against idempotent work that is given up although it may be repeated.
func TestEarlyAnswerThatIsResetIsRepeatedIfIdempotent(t *testing.T) {
	s := newTestProxy(t, nil, newResettingUpstream(t, "HTTP/1.1 200 OK\r\n"+signed, "part"), newGoodUpstream(t))
	got := s.upload()
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "ok")
}

// Guards against an answer with an impossible status that reaches the caller, or after which work runs twice, and against an upstream
// that goes on getting work after it.
func TestStatusOutsideTheRangeIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "99", "600", "1000", "abc"} {
		bad := func() *rawup.Upstream {
			return rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
				c.WriteString(strings.Replace(rawResponse(200, r.Header.Get("Berylledge-Request"), "ok", signed), "200", status, 1))
			})
		}
		s := newTestProxy(t, unsafeOnce, bad())
		got := s.do(s.request("/x/", "id1"))
		assert.Equal(t, got.status, http.StatusBadGateway, status)

		first := bad()
		s = newTestProxy(t, func(r *conf.Route) { r.Kind = conf.Safe }, first, newGoodUpstream(t))
		for i := range 4 {
			assert.Equal(t, s.do(s.request("/x/", fmt.Sprint("id", i))).body, "ok", status)
		}
		assert.Equal(t, len(first.Requests()), 1, status)
	}
}
