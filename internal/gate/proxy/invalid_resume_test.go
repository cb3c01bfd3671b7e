package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// resumeStream sends the events after those that the request says to be known.
func resumeStream(c *rawup.Conn, r *rawup.Request) {
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last) // 0 if there is none
	c.WriteString(streamHead(r.Header.Get("Berylledge-Request")) + chunk(events(last+1, 4)) + "0\r\n\r\n")
}

// Guards against a stream that ends, or loses or repeats events, when an upstream answers before it has read the upload and resets the
// connection within the stream.
func TestEarlyStreamThatIsResetIsResumed(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n" + signed, "HTTP/1.0 200 OK\r\n" + signed} {
		for range 3 { // which of write and read sees the reset varies
			s := newTestProxy(t, streamRoute(true), newResettingUpstream(t, head, events(1, 2)), rawup.New(t, resumeStream))
			s.forwarder.beginRequest("u1") // so that the other upstream is tried first
			got := s.upload()
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, events(1, 4))
		}
	}
}

// Guards against a resumed stream that seems whole although the upstream that should have resumed it gave no valid answer, and against
// one that is given up although another upstream can resume it.
func TestInvalidAnswerToAResumeIsNotTheEnd(t *testing.T) {
	for name, c := range map[string]struct {
		head string
		lost bool // the answer is valid, but it is no stream
	}{
		"000":                 {"HTTP/1.1 000 ", false},
		"99":                  {"HTTP/1.1 99 ", false},
		"101":                 {"HTTP/1.1 101 Switching Protocols", false},
		"600":                 {"HTTP/1.1 600 ", false},
		"1000":                {"HTTP/1.1 1000 ", false},
		"letters":             {"HTTP/1.1 abc ", false},
		"HTTP/1.0 and chunks": {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", false},
		"204":                 {"HTTP/1.1 204 No Content", true},
		"304":                 {"HTTP/1.1 304 Not Modified", true},
	} {
		var calls atomic.Int32
		answer := func(conn *rawup.Conn, r *rawup.Request) {
			id := r.Header.Get("Berylledge-Request")
			switch calls.Add(1) {
			case 1:
				conn.WriteString(streamHead(id) + chunk(events(1, 2)))
				conn.End()
			case 2:
				conn.WriteString(c.head + "\r\nBerylledge-Request: " + id + "\r\n" + signed + "\r\n\r\n" + chunk(events(3, 3)))
				conn.End()
			default:
				resumeStream(conn, r)
			}
		}
		ups := []*rawup.Upstream{rawup.New(t, answer), rawup.New(t, answer), rawup.New(t, answer)}
		s := newTestProxy(t, func(r *conf.Route) {
			streamRoute(true)(r)
			r.Attempts = 3
		}, ups...)
		got := s.do(s.request("/x/", "id1"))
		if c.lost {
			assert.Assert(t, got.err != nil, "%s: %q counts as whole", name, got.body)
			assert.Assert(t, strings.HasPrefix(events(1, 4), got.body), "%s: %q", name, got.body)
			continue
		}
		assert.NilError(t, got.err, name)
		assert.Equal(t, got.body, events(1, 4), name)
		for _, u := range ups {
			assert.Equal(t, len(u.Requests()), 1, "%s: the upstreams that failed must not be used again", name)
		}
	}
}

// Guards against content that goes on crashing upstreams, because the reset of its connection is only seen by the writer of the upload.
func TestEarlyAnswerThatIsResetCountsAsCrash(t *testing.T) {
	var ups []*rawup.Upstream
	for range deny.MaxCrashes {
		ups = append(ups, newResettingUpstream(t, "HTTP/1.1 200 OK\r\n"+signed, "part"))
	}
	s := newTestProxy(t, func(r *conf.Route) { r.Attempts = deny.MaxCrashes }, ups...)
	assert.Equal(t, s.upload().status, http.StatusBadGateway)
	got := s.upload()
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}
