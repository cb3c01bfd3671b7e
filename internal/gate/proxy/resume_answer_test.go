package proxy

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// brokenThen returns the route and upstreams of a stream that breaks off after two of four events. The first upstream asked to resume
// it gives an answer; further ones resume it as they should.
func brokenThen(t *testing.T, attempts int, answer func(id string) string) *testProxy {
	var calls atomic.Int32
	handle := func(c *rawup.Conn, r *rawup.Request) {
		id := r.Header.Get("Berylledge-Request")
		switch calls.Add(1) {
		case 1:
			c.WriteString(streamHead(id) + chunk(events(1, 2)))
			c.End()
		case 2:
			c.WriteString(answer(id))
		default:
			resumeStream(c, r)
		}
	}
	return newTestProxy(t, func(r *conf.Route) {
		streamRoute(true)(r)
		r.Attempts = attempts
	}, rawup.New(t, handle), rawup.New(t, handle), rawup.New(t, handle))
}

func typed(id, contentType, body string) string {
	head := "HTTP/1.1 200 OK\r\nBerylledge-Request: " + id + "\r\n" + signed + "\r\n"
	if contentType != "" {
		head += "Content-Type: " + contentType + "\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against an answer of another kind in the middle of a stream, and against a stream that ends as if it were complete after an
// answer that does not go on with it: "the text stands in the client's stream, 528 of 528 times".
func TestAnswerThatDoesNotResumeAStreamIsNotForwarded(t *testing.T) {
	const text, comment = "upstream connect error\nretry later", ": ping\n\n" // readers of events skip comments
	for name, answer := range map[string]func(id string) string{
		"another content type":         func(id string) string { return typed(id, "text/plain", text) },
		"no content type":              func(id string) string { return typed(id, "", text) },
		"events as another type":       func(id string) string { return typed(id, "application/json", events(3, 4)) },
		"no event":                     func(id string) string { return typed(id, "text/event-stream", "") },
		"a comment only":               func(id string) string { return typed(id, "text/event-stream", comment) },
		"no event, but text":           func(id string) string { return typed(id, "text/event-stream", text) },
		"text that ends like an event": func(id string) string { return typed(id, "text/event-stream", text+"\n\n") },
		"an event without an id":       func(id string) string { return typed(id, "text/event-stream", "data: x3\n\n"+events(4, 4)) },
		"known events only":            func(id string) string { return typed(id, "text/event-stream", events(1, 2)) },
		"chunks without an event":      func(id string) string { return streamHead(id) + "0\r\n\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			s := brokenThen(t, 2, answer)
			got := s.do(s.request("/x/", "id1"))
			assert.Assert(t, got.err != nil, "%q counts as whole", got.body)
			body := strings.ReplaceAll(got.body, comment, "")
			assert.Assert(t, strings.HasPrefix(events(1, 4), body), "%q", got.body)

			s = brokenThen(t, 3, answer)
			got = s.do(s.request("/x/", "id1"))
			assert.NilError(t, got.err)
			assert.Equal(t, strings.ReplaceAll(got.body, comment, ""), events(1, 4), "a third upstream resumes it")
		})
	}
}

// Guards against a sound answer to a resumed stream that is taken for another one: with parameters of its type, with comments, and with
// events that the caller has.
func TestAnswerThatResumesAStreamIsForwarded(t *testing.T) {
	for name, c := range map[string]struct{ contentType, body, want string }{
		"parameters":         {"Text/Event-Stream; charset=utf-8", events(3, 4), events(1, 4)},
		"comment and retry":  {"text/event-stream", ": ping\nretry: 10\n\n" + events(3, 4), events(1, 2) + ": ping\nretry: 10\n\n" + events(3, 4)},
		"known events again": {"text/event-stream", events(1, 4), events(1, 4)},
	} {
		t.Run(name, func(t *testing.T) {
			s := brokenThen(t, 2, func(id string) string { return typed(id, c.contentType, c.body) })
			got := s.do(s.request("/x/", "id1"))
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, c.want)
		})
	}
}

// Guards against events without ids that reach the caller twice, because the stream is run again from its beginning.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	var calls atomic.Int32
	handle := func(c *rawup.Conn, r *rawup.Request) {
		calls.Add(1)
		c.WriteString(streamHead(r.Header.Get("Berylledge-Request")) + chunk("data: x1\n\ndata: x2\n\n"))
		c.End()
	}
	s := newTestProxy(t, streamRoute(true), rawup.New(t, handle), rawup.New(t, handle))
	got := s.do(s.request("/x/", "id1"))
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, "data: x1\n\ndata: x2\n\n")
	assert.Equal(t, calls.Load(), int32(1))
}
