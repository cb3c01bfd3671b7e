package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// testTimeout limits waits for something that may never happen.
const testTimeout = 20 * time.Second

// Guards against a response that reaches the wrong caller. Reported of other systems: a server sent a late
// duplicate of a response on a connection that was already reused, and the next caller received it. The
// duplicate comes before, within and after the next response.
func TestALateSecondCopyReachesNobody(t *testing.T) {
	whole := func(id string) string { return rawResponse(200, id, "answer of "+id, signed) }
	for name, late := range map[string]func(c *rawup.Conn, own, copied string){
		"before the next head": func(c *rawup.Conn, own, copied string) { c.WriteString(copied + own) },
		"within the next head": func(c *rawup.Conn, own, copied string) {
			c.WriteString(own[:20] + copied + own[20:])
		},
		"within the next body": func(c *rawup.Conn, own, copied string) {
			cut := len(own) - 4
			c.WriteString(own[:cut] + copied + own[cut:])
		},
		"after the next body": func(c *rawup.Conn, own, copied string) { c.WriteString(own + copied) },
		"instead of it":       func(c *rawup.Conn, _, copied string) { c.WriteString(copied); c.End() },
	} {
		var last atomic.Value
		last.Store("")
		up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
			id := r.Header.Get("Berylledge-Request")
			before := last.Swap(id).(string)
			if before == "" {
				c.WriteString(whole(id))
				return
			}
			late(c, whole(id), whole(before))
		})
		s := newTestProxy(t, unsafeOnce, up)
		for i := range 6 {
			id := fmt.Sprint("id", i)
			got := s.do(s.request("/x/", id))
			if got.err == nil && got.status == http.StatusOK && name != "within the next body" {
				assert.Equal(t, got.body, "answer of "+id, name)
			}
			for other := range 6 {
				if other != i {
					assert.Assert(t, !strings.HasPrefix(got.body, fmt.Sprint("answer of id", other)), "%s: %s got %q", name, id, got.body)
				}
			}
		}
	}
}

// breakPoint is a point at which an upstream breaks off its response to a request.
type breakPoint struct {
	name  string
	bytes func(id string) string
}

func breakPoints(stream bool) []breakPoint {
	whole := func(id string) string { return rawResponse(200, id, "ok", signed) }
	if stream {
		whole = func(id string) string { return streamHead(id) + chunk(events(1, 4)) }
	}
	return []breakPoint{
		{"before the head", func(string) string { return "" }},
		{"within the status line", func(id string) string { return whole(id)[:9] }},
		{"within the head", func(id string) string { return whole(id)[:40] }},
		{"after the head", func(id string) string { return whole(id)[:strings.Index(whole(id), "\r\n\r\n")+4] }},
		{"within the body", func(id string) string { return whole(id)[:len(whole(id))-1] }},
	}
}

// Guards against work that runs again, or a caller that is told that it did not run, after a response was lost.
// Reported of other systems. Covers each point at which an upstream can break off, by a close and by a reset,
// for each kind of route.
func TestWorkThatMayHaveRunIsNeverSaidNotToHaveRun(t *testing.T) {
	kinds := []struct {
		name   string
		change func(*conf.Route)
		once   bool
	}{
		{"safe", func(r *conf.Route) { r.Attempts = 3 }, false},
		{"unsafe", func(r *conf.Route) { r.Kind, r.Attempts = conf.Unsafe, 3 }, true},
		{"stream", func(r *conf.Route) { r.Kind, r.Affinity, r.Attempts = conf.Stream, true, 3 }, true},
		{"stream that may go on", func(r *conf.Route) { r.Kind, r.Resume, r.Affinity, r.Attempts = conf.Stream, true, true, 3 }, false},
	}
	for _, k := range kinds {
		for _, point := range breakPoints(strings.HasPrefix(k.name, "stream")) {
			for _, end := range []func(*rawup.Conn){(*rawup.Conn).End, (*rawup.Conn).Reset} {
				answer := func(c *rawup.Conn, r *rawup.Request) {
					c.WriteString(point.bytes(r.Header.Get("Berylledge-Request")))
					end(c) // a reset may discard unread bytes, which moves the break to an earlier point
				}
				a, b := rawup.New(t, answer), rawup.New(t, answer)
				s := newTestProxy(t, k.change, a, b)
				got := s.do(s.request("/x/", "id1"))
				where := k.name + ", " + point.name
				runs := len(a.Requests()) + len(b.Requests())
				assert.Assert(t, runs >= 1 && runs <= 3 && (!k.once || runs == 1), "%s: %d runs", where, runs)
				for _, promise := range []int{408, 421, 429, 503} {
					assert.Assert(t, got.status != promise, "%s: %d says that it has not run", where, promise)
				}
				whole := got.err == nil && got.status == http.StatusOK
				assert.Assert(t, !whole, "%s: a truncated response looks complete: %q", where, got.body)
			}
		}
	}
}

// pacedUpstream sends each text when the test asks for it, and then waits until its connection ends.
type pacedUpstream struct {
	*rawup.Upstream
	texts chan string
	end   func() // no more text follows
	ended chan struct{}
}

func newPacedUpstream(t *testing.T) *pacedUpstream {
	p := &pacedUpstream{texts: make(chan string), ended: make(chan struct{})}
	p.Upstream = rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(streamHead(r.Header.Get("Berylledge-Request")))
		for text := range p.texts {
			c.WriteString(text)
		}
		_, _ = io.Copy(io.Discard, c) // until the connection ends
		close(p.ended)
	})
	p.end = sync.OnceFunc(func() { close(p.texts) })
	t.Cleanup(p.end)
	return p
}

// send makes the upstream send a text.
func (p *pacedUpstream) send(t *testing.T, text string) {
	t.Helper()
	select {
	case p.texts <- text:
	case <-time.After(testTimeout):
		t.Fatal("the upstream cannot send any more")
	}
}

// stream sends a request and returns a channel with its response once that has begun.
func (p *pacedUpstream) stream(t *testing.T, s *testProxy) <-chan *http.Response {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	began := make(chan *http.Response, 1)
	go func() {
		resp, err := s.server.Client().Do(s.request("/x/", "id1").WithContext(ctx))
		if assert.Check(t, err) {
			t.Cleanup(func() { _ = resp.Body.Close() })
		}
		began <- resp
	}()
	return began
}

func readText(t *testing.T, r io.Reader, want string) {
	t.Helper()
	got := make([]byte, len(want))
	_, err := io.ReadFull(r, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want)
}

// Guards against cutting off slow but healthy streams, as reported of other systems. Events arrive in parts, as
// slowly as the route allows, for longer than its target.
func TestASlowSoundStreamIsKept(t *testing.T) {
	c := clock.NewFake(time.Now())
	up := newPacedUpstream(t)
	s := newTestProxyAt(t, c, streamRoute(false), up.Upstream)
	began := up.stream(t, s)
	var body io.ReadCloser
	for i := 1; i <= 6; i++ {
		for _, part := range strings.SplitAfter(events(i, i), ":") {
			up.send(t, chunk(part))
		}
		if body == nil {
			body = (<-began).Body
		}
		readText(t, body, events(i, i))
		c.Advance(320 * time.Millisecond) // 1,920 ms in total; the route allows 2,000
	}
	up.send(t, "0\r\n\r\n")
	up.end()
	rest, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "")
}

// Guards against stalled streams that send a byte now and then and never end, as reported of other systems. The
// route allows two seconds.
func TestAStreamOfBytesWithoutAnEventEnds(t *testing.T) {
	c := clock.NewFake(time.Now())
	up := newPacedUpstream(t)
	s := newTestProxyAt(t, c, streamRoute(false), up.Upstream)
	began := up.stream(t, s)
	up.send(t, chunk(events(1, 1)))
	resp := <-began
	readText(t, resp.Body, events(1, 1))
	for range 20 {
		up.send(t, chunk("a"))
		c.Advance(100 * time.Millisecond)
	}
	up.end()
	rest, err := io.ReadAll(resp.Body)
	assert.Assert(t, err != nil && !errors.Is(err, context.DeadlineExceeded), "%v: the stream must end, and not look complete", err)
	assert.Equal(t, string(rest), "")
	<-up.ended
}

// Guards against a caller that occupies the node by sending its body byte by byte, as reported of other systems.
// It must be told that its request has not run.
func TestACallerThatSendsItsBodyByteByByteIsGivenUp(t *testing.T) {
	up := newGoodUpstream(t)
	s := newTestProxy(t, func(r *conf.Route) { r.Timeout = 600 }, up)
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /x/ HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer secret\r\nBerylledge-Request: id1\r\nContent-Length: 90\r\n\r\n")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for range 89 { // never the whole body
			if _, err := io.WriteString(c, "a"); err != nil || clock.Sleep(ctx, clock.Real(), 100*time.Millisecond) != nil {
				return
			}
		}
	}()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	raw, err := io.ReadAll(c)
	assert.NilError(t, err, "the connection is left open")
	assert.Assert(t, strings.HasPrefix(string(raw), "HTTP/1.1 408 "), "%s", raw)
	assert.Equal(t, len(up.Requests()), 0)
}

// chunkRecorder records the chunks of a response and the write deadline set for each.
type chunkRecorder struct {
	http.ResponseWriter
	deadline time.Time
	chunks   map[time.Time]int
	clock    *clock.Fake
}

func (w *chunkRecorder) SetWriteDeadline(at time.Time) error {
	w.deadline = at
	return nil
}

func (w *chunkRecorder) Write(data []byte) (int, error) {
	w.chunks[w.deadline] = len(data)
	w.clock.Advance(chunkTimeout - time.Second) // just within the limit
	return len(data), nil
}

// Guards against a caller that reads a byte now and then and so holds its response indefinitely, and against
// cutting off a slow but healthy caller, as reported of other systems. The total time must grow with the length
// of the response.
func TestEachPartOfAnAnswerHasItsOwnTime(t *testing.T) {
	c := clock.NewFake(time.Unix(1000, 0))
	to := &chunkRecorder{chunks: map[time.Time]int{}, clock: c}
	n, err := newCallerWriter(to, c).Write(make([]byte, 5*maxChunkBytes+1))
	assert.NilError(t, err)
	assert.Equal(t, n, 5*maxChunkBytes+1)
	assert.Equal(t, len(to.chunks), 6)
	for at, size := range to.chunks {
		assert.Assert(t, size <= maxChunkBytes && !at.IsZero())
	}
}
