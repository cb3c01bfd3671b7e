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

// patience ends a test that waits for what does not come.
const patience = 20 * time.Second

// Report of others: a server sent a second copy of an answer, late, on a connection that was in use again, and the next caller got
// it. The copy comes before, within and after the next answer.
func TestALateSecondCopyReachesNobody(t *testing.T) {
	whole := func(id string) string { return answerOf(200, id, "answer of "+id, signed) }
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
		s := newSite(t, unsafeOnce, up)
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

// cut is a point at which an upstream breaks off a request that it has taken.
type cut struct {
	name  string
	bytes func(id string) string
}

func cuts(stream bool) []cut {
	whole := func(id string) string { return answerOf(200, id, "ok", signed) }
	if stream {
		whole = func(id string) string { return streamHead(id) + chunk(events(1, 4)) }
	}
	return []cut{
		{"before the head", func(string) string { return "" }},
		{"within the status line", func(id string) string { return whole(id)[:9] }},
		{"within the head", func(id string) string { return whole(id)[:40] }},
		{"after the head", func(id string) string { return whole(id)[:strings.Index(whole(id), "\r\n\r\n")+4] }},
		{"within the body", func(id string) string { return whole(id)[:len(whole(id))-1] }},
	}
}

// Report of others: after an answer was lost, work that had run was run again, or the caller was told that it had not run. Each point at
// which an upstream can break off, by a close and by a reset, with each kind of route.
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
		for _, point := range cuts(strings.HasPrefix(k.name, "stream")) {
			for _, end := range []func(*rawup.Conn){(*rawup.Conn).End, (*rawup.Conn).Reset} {
				answer := func(c *rawup.Conn, r *rawup.Request) {
					c.WriteString(point.bytes(r.Header.Get("Berylledge-Request")))
					end(c) // a reset may drop what was not read yet, which makes it an earlier cut
				}
				a, b := rawup.New(t, answer), rawup.New(t, answer)
				s := newSite(t, k.change, a, b)
				got := s.do(s.request("/x/", "id1"))
				where := k.name + ", " + point.name
				runs := len(a.Requests()) + len(b.Requests())
				assert.Assert(t, runs >= 1 && runs <= 3 && (!k.once || runs == 1), "%s: %d runs", where, runs)
				for _, promise := range []int{408, 421, 429, 503} {
					assert.Assert(t, got.status != promise, "%s: %d says that it has not run", where, promise)
				}
				whole := got.err == nil && got.status == http.StatusOK
				assert.Assert(t, !whole, "%s: an answer that broke off looks complete: %q", where, got.body)
			}
		}
	}
}

// paced is an upstream that sends each text when it is told to, and then notes that its connection has ended.
type paced struct {
	*rawup.Upstream
	texts chan string
	end   func() // no further text is sent
	ended chan struct{}
}

func newPaced(t *testing.T) *paced {
	p := &paced{texts: make(chan string), ended: make(chan struct{})}
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

// send lets the upstream send a text.
func (p *paced) send(t *testing.T, text string) {
	t.Helper()
	select {
	case p.texts <- text:
	case <-time.After(patience):
		t.Fatal("the upstream cannot send any more")
	}
}

// stream sends a request and returns its answer once it has begun.
func (p *paced) stream(t *testing.T, s *site) <-chan *http.Response {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
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

// Report of others: slow but sound streams were cut. Events come in parts, as slowly as the route allows, for longer than its target.
func TestASlowSoundStreamIsKept(t *testing.T) {
	c := clock.NewFake(time.Now())
	up := newPaced(t)
	s := newSiteAt(t, c, streamRoute(false), up.Upstream)
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
		c.Advance(320 * time.Millisecond) // 1,920 ms in all; the route allows 2,000
	}
	up.send(t, "0\r\n\r\n")
	up.end()
	rest, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "")
}

// Report of others: stalled streams that sent a byte now and then never ended. The route allows two seconds.
func TestAStreamOfBytesWithoutAnEventEnds(t *testing.T) {
	c := clock.NewFake(time.Now())
	up := newPaced(t)
	s := newSiteAt(t, c, streamRoute(false), up.Upstream)
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

// Report of others, the caller's side: a caller that sends a byte of its body now and then. It is told that its request has not run.
func TestACallerThatSendsItsBodyByteByByteIsGivenUp(t *testing.T) {
	up := good(t)
	s := newSite(t, func(r *conf.Route) { r.Timeout = 600 }, up)
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
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(patience)))
	answer, err := io.ReadAll(c)
	assert.NilError(t, err, "the connection is left open")
	assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 408 "), "%s", answer)
	assert.Equal(t, len(up.Requests()), 0)
}

// partsWriter notes the parts of an answer and the deadline that stands for each.
type partsWriter struct {
	http.ResponseWriter
	deadline time.Time
	parts    map[time.Time]int
	clock    *clock.Fake
}

func (w *partsWriter) SetWriteDeadline(at time.Time) error {
	w.deadline = at
	return nil
}

func (w *partsWriter) Write(data []byte) (int, error) {
	w.parts[w.deadline] = len(data)
	w.clock.Advance(partTime - time.Second) // as slow as is allowed
	return len(data), nil
}

// Report of others, the caller's side: one that reads a byte now and then holds its answer for good, and a slow sound one is cut. The
// time for an answer grows with its length.
func TestEachPartOfAnAnswerHasItsOwnTime(t *testing.T) {
	c := clock.NewFake(time.Unix(1000, 0))
	to := &partsWriter{parts: map[time.Time]int{}, clock: c}
	n, err := newCallerWriter(to, c).Write(make([]byte, 5*partBytes+1))
	assert.NilError(t, err)
	assert.Equal(t, n, 5*partBytes+1)
	assert.Equal(t, len(to.parts), 6)
	for at, size := range to.parts {
		assert.Assert(t, size <= partBytes && !at.IsZero())
	}
}
