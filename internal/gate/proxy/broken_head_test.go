package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// brokenHeads are heads of a sound answer, each with the route that it is for and the method of its request.
var brokenHeads = map[string]struct {
	method string
	route  func(*conf.Route)
	head   func(id string) string
}{
	"length": {http.MethodPost, unsafeOnce, func(id string) string { return rawResponse(200, id, "", signed) }},
	"chunks": {http.MethodPost, unsafeOnce, streamHead},
	"without length": {http.MethodPost, unsafeOnce, func(id string) string {
		return "HTTP/1.1 200 OK\r\nBerylledge-Request: " + id + "\r\n" + signed + "\r\n\r\n"
	}},
	"HTTP/1.0": {http.MethodPost, unsafeOnce, func(id string) string {
		return "HTTP/1.0 200 OK\r\nBerylledge-Request: " + id + "\r\n" + signed + "\r\n\r\n"
	}},
	"interim before": {http.MethodPost, unsafeOnce, func(id string) string {
		return "HTTP/1.1 103 Early Hints\r\nBerylledge-Request: " + id + "\r\n" + signed + "\r\n\r\n" + rawResponse(200, id, "", signed)
	}},
	"repeatable": {http.MethodGet, func(r *conf.Route) { r.Kind = conf.Safe }, func(id string) string { return rawResponse(200, id, "", signed) }},
	"HEAD":       {http.MethodHead, func(r *conf.Route) { r.Kind = conf.Safe }, func(id string) string { return rawResponse(200, id, "", signed) }},
	"stream":     {http.MethodPost, streamRoute(false), streamHead},
	"resumable":  {http.MethodPost, streamRoute(true), streamHead},
}

// ends are the ways in which an upstream ends a connection.
var ends = map[string]func(*rawup.Conn){"closed": (*rawup.Conn).End, "reset": (*rawup.Conn).Reset}

// Guards against a head that an upstream broke off and that is taken for a whole answer: "clients got a 200 with an empty or short body,
// framed as whole".
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, c := range brokenHeads {
		for way, end := range ends {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				length := len(c.head("id0"))
				var cut atomic.Int64
				up := rawup.New(t, func(conn *rawup.Conn, r *rawup.Request) {
					conn.WriteString(c.head(r.Header.Get("Berylledge-Request"))[:cut.Load()])
					end(conn)
				})
				s := newTestProxy(t, c.route, up)
				for n := range length {
					cut.Store(int64(n))
					r := s.request(fmt.Sprintf("/x/%d", n), "id0")
					r.Method = c.method
					if c.method != http.MethodPost {
						r.Body, r.ContentLength = nil, 0
					}
					got := s.do(r)
					assert.Assert(t, got.err != nil || got.status >= 500, "%d of %d bytes: %d", n, length, got.status)
					assert.Equal(t, got.header.Get("Berylledge-Signature"), "", "%d of %d bytes", n, length)
				}
			})
		}
	}
}

// Guards against the same in a stream that has begun: the answer that should resume it ends within its head.
func TestBrokenHeadDoesNotEndAStream(t *testing.T) {
	for way, end := range ends {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			length := len(streamHead("id0"))
			for cut := range length {
				var begun atomic.Bool
				handle := func(conn *rawup.Conn, r *rawup.Request) {
					head := streamHead(r.Header.Get("Berylledge-Request"))
					if !begun.Swap(true) {
						conn.WriteString(head + chunk(events(1, 2)))
						conn.End()
						return
					}
					conn.WriteString(head[:cut])
					end(conn)
				}
				s := newTestProxy(t, streamRoute(true), rawup.New(t, handle), rawup.New(t, handle))
				got := s.do(s.request("/x/", "id0"))
				assert.Assert(t, got.err != nil, "%d of %d bytes: %q counts as whole", cut, length, got.body)
				assert.Assert(t, strings.HasPrefix(events(1, 2), got.body), "%q", got.body)
			}
		})
	}
}
