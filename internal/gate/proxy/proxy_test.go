package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/batch"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/test/rawup"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// site is a front before stand-in upstreams of one service.
type site struct {
	t      testing.TB
	front  *Front
	server *httptest.Server
	events *event.Log
	asked  *atomic.Int32 // times that news of a content were waited for
}

// newSite starts a front with one route, which change may alter.
func newSite(t testing.TB, change func(*conf.Route), ups ...*rawup.Upstream) *site {
	t.Helper()
	return newSiteAt(t, clock.Real(), change, ups...)
}

// newSiteAt starts a front whose time the test controls. A fake clock must begin at the present time, since sockets have deadlines.
func newSiteAt(t testing.TB, c clock.Clock, change func(*conf.Route), ups ...*rawup.Upstream) *site {
	t.Helper()
	route := conf.Route{
		Name: "r", Host: "api.example", Prefix: "/x/", Kind: conf.Safe, Timeout: 2000, Target: 500, Attempts: 2,
		Split: []conf.Weight{{Service: "desk", Weight: 1}},
	}
	if change != nil {
		change(&route)
	}
	cfg := &conf.Config{
		Version: 1, Routes: []conf.Route{route}, Services: []conf.Service{{Name: "desk"}},
		Teams:  []conf.Team{{Name: "office", Keys: []conf.KeyHash{conf.HashKey("secret")}}},
		Limits: conf.Limits{BodyBytes: 100, HeaderBytes: 4096},
	}
	assert.Equal(t, len(cfg.Check()), 0)
	view := &poller.View{Table: conf.NewTable(cfg), Services: map[string][]roster.Upstream{}}
	for i, u := range ups {
		view.Services["desk"] = append(view.Services["desk"], roster.Upstream{
			ID: fmt.Sprint("u", i), Service: "desk", Address: u.Address, DataCentre: "a", State: roster.Ready,
		})
	}
	events := event.New(event.Options{Node: "e1", Clock: c})
	d := proto.Own()
	pool := upcon.New(upcon.Options{Clock: c, IDHeader: d.Headers.RequestID})
	load := func() *poller.View { return view }
	mk := batch.New(batch.Options{Node: "e1", Peer: "self", Dialect: d, Clock: c, Events: events, View: load, Pool: pool})
	asked := new(atomic.Int32)
	f := New(Options{
		Node: "e1", DataCentre: "a", Region: "n", RegionOf: map[string]string{"a": "n"}, Dialect: d, Clock: c, Events: events,
		View: load, Pool: pool, Maker: mk, Budget: Budget{Ratio: 1, Window: time.Second, Slack: 100},
		Blame: deny.New(), Report: func() {}, Consult: func(context.Context) { asked.Add(1) },
	})
	server := httptest.NewServer(f)
	t.Cleanup(func() {
		server.Close()
		f.Close()
		mk.Close()
		pool.Close()
	})
	return &site{t, f, server, events, asked}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (s *site) request(path, id string) *http.Request {
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.server.URL+path, strings.NewReader("in"))
	assert.NilError(s.t, err)
	r.Host = "api.example"
	r.Header.Set("Authorization", "Bearer secret")
	r.Header.Set("Berylledge-Request", id)
	return r
}

func (s *site) do(r *http.Request) reply {
	s.t.Helper()
	resp, err := s.server.Client().Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body), err}
}

func answerOf(status int, id, body string, headers ...string) string {
	extra := ""
	for _, h := range headers {
		extra += h + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\nBerylledge-Request: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
}

const signed = "Berylledge-Signature: s"

func good(t testing.TB) *rawup.Upstream {
	return rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(answerOf(200, r.Header.Get("Berylledge-Request"), "ok", signed, "X-Own: 1"))
	})
}

func unsafeOnce(r *conf.Route) { r.Kind, r.Attempts = conf.Unsafe, 2 }

// Guards against requests that arrive changed, with the caller's key, or with headers that only this system may set.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	up := good(t)
	s := newSite(t, nil, up)
	r := s.request("/x/a%2Fb?q=1&q=2", "id1")
	r.Header.Set("X-Unknown", "kept")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "dropped")
	r.Header.Set("Berylledge-Team", "forged")
	r.Header.Set("Berylledge-Inputs", "forged")
	r.Header.Set("Berylledge-Deadline-Ms", "700")
	got := s.do(r)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "ok")
	assert.Equal(t, got.header.Get("X-Own"), "1")
	in := up.Requests()[0]
	assert.Equal(t, in.RequestURI, "/x/a%2Fb?q=1&q=2")
	assert.Equal(t, in.Host, "api.example")
	assert.Equal(t, string(in.Body), "in")
	for name, want := range map[string]string{
		"X-Unknown": "kept", "X-Hop": "", "Authorization": "", "Berylledge-Team": "office", "Berylledge-Inputs": "",
		"Berylledge-Upstream": "u0", "Berylledge-Request": "id1",
	} {
		assert.Equal(t, in.Header.Get(name), want, name)
	}
	left := in.Header.Get("Berylledge-Deadline-Ms")
	assert.Assert(t, len(left) == 3 && left <= "700", left)
}

// Guards against a second run of work that may run once, in each way in which an upstream can end without an answer.
func TestUnsafeWorkIsSentOnce(t *testing.T) {
	for name, end := range map[string]func(*rawup.Conn, *rawup.Request){
		"closed": func(c *rawup.Conn, _ *rawup.Request) { c.End() },
		"reset":  func(c *rawup.Conn, _ *rawup.Request) { c.Reset() },
		"foreign": func(c *rawup.Conn, _ *rawup.Request) {
			c.WriteString(answerOf(200, "other", "ok", signed))
		},
		"unsigned": func(c *rawup.Conn, r *rawup.Request) {
			c.WriteString(answerOf(200, r.Header.Get("Berylledge-Request"), "ok"))
		},
		"truncated": func(c *rawup.Conn, r *rawup.Request) {
			c.WriteString(strings.Replace(answerOf(200, r.Header.Get("Berylledge-Request"), "ok", signed), "Length: 2", "Length: 9", 1))
			c.End()
		},
	} {
		a, b := rawup.New(t, end), rawup.New(t, end)
		s := newSite(t, unsafeOnce, a, b)
		got := s.do(s.request("/x/", "id1"))
		assert.Equal(t, got.status, http.StatusBadGateway, name)
		assert.Equal(t, got.header.Get("Berylledge-Signature"), "", name)
		assert.Equal(t, len(a.Requests())+len(b.Requests()), 1, name)
	}
}

// Guards against work that is given up although it certainly did not run.
func TestUnsafeWorkGoesOnAfterAProof(t *testing.T) {
	for name, answer := range map[string]string{
		"refused": answerOf(503, "id1", "full", "Berylledge-Not-Run: 1"),
		"moved":   answerOf(421, "id1", ""),
	} {
		full := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) { c.WriteString(answer) })
		s := newSite(t, unsafeOnce, full, good(t))
		s.front.begin("u1") // so that the other one is tried first
		got := s.do(s.request("/x/", "id1"))
		assert.Equal(t, got.status, 200, name)
	}
	s := newSite(t, unsafeOnce, rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
		c.WriteString(answerOf(503, "id1", "full", "Berylledge-Not-Run: 1"))
	}))
	got := s.do(s.request("/x/", "id1"))
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// Guards against idempotent work that is lost with one upstream, and against more upstreams than the route allows.
func TestSafeWorkIsRepeatedWithinItsAttempts(t *testing.T) {
	broken := func(c *rawup.Conn, _ *rawup.Request) { c.Reset() }
	a := rawup.New(t, broken)
	s := newSite(t, nil, a, good(t))
	s.front.begin("u1")
	assert.Equal(t, s.do(s.request("/x/", "id1")).status, 200)
	assert.Equal(t, len(a.Requests()), 1)

	three := []*rawup.Upstream{rawup.New(t, broken), rawup.New(t, broken), rawup.New(t, broken)}
	s = newSite(t, nil, three...)
	assert.Equal(t, s.do(s.request("/x/", "id1")).status, http.StatusBadGateway)
	assert.Equal(t, len(three[0].Requests())+len(three[1].Requests())+len(three[2].Requests()), 2)
}

// Guards against a request that takes down one upstream after the other by coming again, against its blocking without a
// true refusal, and against other requests that are blocked with it.
func TestCrashingContentIsBlocked(t *testing.T) {
	dies := func(c *rawup.Conn, _ *rawup.Request) { c.Reset() }
	ups := []*rawup.Upstream{rawup.New(t, dies), rawup.New(t, dies), rawup.New(t, dies), rawup.New(t, dies)}
	s := newSite(t, func(r *conf.Route) { r.Attempts = 3 }, ups...)
	runs := func() (n int) {
		for _, u := range ups {
			n += len(u.Requests())
		}
		return n
	}
	assert.Equal(t, s.do(s.request("/x/", "id1")).status, http.StatusBadGateway)
	assert.Equal(t, runs(), 3)
	got := s.do(s.request("/x/", "id2"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, runs(), 3)
	assert.Equal(t, s.do(s.request("/x/other", "id3")).status, http.StatusBadGateway)
	assert.Equal(t, runs(), 6)
}

// Guards against an innocent request that is blocked because the upstreams that it ran on broke, although it was answered
// in between.
func TestAnsweredContentIsNotBlocked(t *testing.T) {
	var count atomic.Int32
	third := func(c *rawup.Conn, r *rawup.Request) {
		if count.Add(1)%3 != 0 {
			c.Reset()
			return
		}
		c.WriteString(answerOf(200, r.Header.Get("Berylledge-Request"), "ok", signed))
	}
	s := newSite(t, func(r *conf.Route) { r.Attempts = 3 }, rawup.New(t, third), rawup.New(t, third), rawup.New(t, third), rawup.New(t, third))
	for i := range 3 {
		assert.Equal(t, s.do(s.request("/x/", fmt.Sprint("id", i))).status, 200)
	}
}

// Guards against a request that waits for news of its content more than once after each crash: while the control nodes cannot
// be reached, each wait takes its whole time.
func TestNewsAreWaitedForOnceAfterEachCrash(t *testing.T) {
	dies := func(c *rawup.Conn, _ *rawup.Request) { c.Reset() }
	s := newSite(t, nil, rawup.New(t, dies), good(t))
	s.front.begin("u1")
	assert.Equal(t, s.do(s.request("/x/", "id1")).status, 200)
	assert.Equal(t, s.asked.Load(), int32(1))
	assert.Equal(t, s.do(s.request("/x/", "id2")).status, 200)
	assert.Equal(t, s.asked.Load(), int32(1), "the answer cleared it")
}

// Guards against an upstream's failure that is replaced by one of this node, or passed on with another status.
func TestUpstreamsFailureIsPassedOn(t *testing.T) {
	fails := func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(answerOf(500, r.Header.Get("Berylledge-Request"), "oops", signed))
	}
	for _, kind := range []conf.Kind{conf.Safe, conf.Unsafe} {
		s := newSite(t, func(r *conf.Route) { r.Kind = kind }, rawup.New(t, fails), rawup.New(t, fails))
		got := s.do(s.request("/x/", "id1"))
		assert.Equal(t, got.status, 500)
		assert.Equal(t, got.body, "oops")
		assert.Equal(t, got.header.Get("Berylledge-Signature"), "s")
	}
}

// Guards against a request that is kept past its route's timeout, and against a promise that it has not run.
func TestTimeoutPromisesNothing(t *testing.T) {
	hang := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
		_, _ = c.Read(make([]byte, 1)) // returns when the front gives up
		c.End()
	})
	s := newSite(t, func(r *conf.Route) { r.Timeout = 150 }, hang)
	began := time.Now()
	got := s.do(s.request("/x/", "id1"))
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// Guards against requests that are refused for the wrong reason, or are not refused.
func TestRefusals(t *testing.T) {
	up := good(t)
	s := newSite(t, nil, up)
	key := s.request("/x/", "id1")
	key.Header.Set("Authorization", "Bearer wrong")
	long := s.request("/x/", "id1")
	long.Body, long.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 200))), 200
	head := s.request("/x/", "id1")
	head.Header.Set("X-Long", strings.Repeat("x", 5000))
	for want, r := range map[int]*http.Request{
		404: s.request("/y/", "id1"), 401: key, 413: long, 431: head, 400: s.request("/x/", ""),
	} {
		assert.Equal(t, s.do(r).status, want)
	}
	assert.Equal(t, len(up.Requests()), 0)
	assert.Equal(t, len(s.events.Select(event.Filter{Name: "forward_refused"})), 5, "each refusal has its line")
}

func streamRoute(resume bool) func(*conf.Route) {
	return func(r *conf.Route) { r.Kind, r.Resume, r.Affinity = conf.Stream, resume, true }
}

func events(from, to int) string {
	out := ""
	for i := from; i <= to; i++ {
		out += fmt.Sprintf("id: %d\ndata: x%d\n\n", i, i)
	}
	return out
}

func streamHead(id string) string {
	return "HTTP/1.1 200 OK\r\nBerylledge-Request: " + id + "\r\n" + signed + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// breaking sends events up to the third, breaks off within the next, and goes on after the last id that it is given.
func breaking(t *testing.T, broke *bool) *rawup.Upstream {
	return rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		id := r.Header.Get("Berylledge-Request")
		last := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last) // 0 if there is none
		if !*broke {
			*broke = true
			c.WriteString(streamHead(id) + chunk(events(last+1, 3)+"id: 4\nda"))
			c.End()
			return
		}
		c.WriteString(streamHead(id) + chunk(events(max(last, 1), 6)) + "0\r\n\r\n")
	})
}

// Guards against events that are lost, doubled or joined when a stream goes on at another upstream.
func TestStreamGoesOnAfterABreak(t *testing.T) {
	broke := false
	s := newSite(t, streamRoute(true), breaking(t, &broke), breaking(t, &broke))
	got := s.do(s.request("/x/", "id1"))
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 6))
}

// Guards against a broken stream that looks complete, and against a second run of one that may not go on.
func TestStreamThatMayNotGoOnBreaksOff(t *testing.T) {
	broke := false
	a, b := breaking(t, &broke), breaking(t, &broke)
	s := newSite(t, streamRoute(false), a, b)
	got := s.do(s.request("/x/", "id1"))
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, events(1, 3))
	assert.Equal(t, len(a.Requests())+len(b.Requests()), 1)
}

// Guards against events that wait in this node for more of them.
func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	more := make(chan bool)
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(streamHead(r.Header.Get("Berylledge-Request")) + chunk(events(1, 1)))
		<-more
		c.WriteString(chunk(events(2, 2)) + "0\r\n\r\n")
	})
	s := newSite(t, streamRoute(true), up)
	resp, err := s.server.Client().Do(s.request("/x/", "id1"))
	assert.NilError(t, err)
	defer resp.Body.Close()
	first := make([]byte, len(events(1, 1)))
	_, err = io.ReadFull(resp.Body, first)
	assert.NilError(t, err)
	assert.Equal(t, string(first), events(1, 1))
	close(more)
	rest, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), events(2, 2))
}

// Guards against an upstream that works on for a caller that has left.
func TestCallersDepartureReachesTheUpstream(t *testing.T) {
	read, closed := make(chan bool), make(chan bool)
	up := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
		close(read)
		_, _ = c.Read(make([]byte, 1)) // returns when the front closes the connection
		close(closed)
		c.End()
	})
	s := newSite(t, nil, up)
	address := strings.TrimPrefix(s.server.URL, "http://")
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = io.WriteString(c, "GET /x/ HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer secret\r\nBerylledge-Request: id1\r\n\r\n")
	assert.NilError(t, err)
	<-read
	assert.NilError(t, c.Close())
	<-closed
}

// Guards against a second request that is smuggled in the body of the first.
func TestBodyIsNotReadAsARequest(t *testing.T) {
	up := good(t)
	s := newSite(t, nil, up)
	c, err := net.Dial("tcp", strings.TrimPrefix(s.server.URL, "http://"))
	assert.NilError(t, err)
	defer c.Close()
	inner := "GET /x/inner HTTP/1.1\r\nHost: api.example\r\n\r\n"
	_, err = fmt.Fprintf(c, "POST /x/ HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer secret\r\nBerylledge-Request: id1\r\n"+
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	for _, r := range up.Requests() {
		assert.Equal(t, r.URL.Path, "/x/")
		assert.Equal(t, string(r.Body), inner)
	}
}

// Load pattern: upstreams that fail for a while. Guards against repeats beyond the budget, by one node or by all of them.
func TestBudgetBoundsRepeats(t *testing.T) {
	b := newBudget(Budget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50})
	now := time.Unix(1000, 0)
	for range 100 {
		b.request(now, "s")
	}
	granted := 0
	for range 100 {
		if b.repeat(now, "s", 5) {
			granted++
		}
	}
	assert.Equal(t, granted, 21) // 0.7 x (0.2 x 100 + 50/5)
	assert.Assert(t, !b.repeat(now.Add(5*time.Second), "s", 5))
	assert.Assert(t, b.repeat(now.Add(11*time.Second), "s", 5))
	assert.Assert(t, !b.repeat(now, "other", 100))
}

// Guards against a request that is sent to an engine which began to leave while the request's stages ran.
func TestSeatAtALeavingEngineIsGivenUp(t *testing.T) {
	s := newSite(t, nil, good(t))
	u := s.front.o.View().Services["desk"][0]
	assert.Assert(t, s.front.takesWork(u))
	s.front.o.View().Services["desk"][0].State = roster.Draining
	assert.Assert(t, !s.front.takesWork(u))
	again := u
	again.StartedMs++
	s.front.o.View().Services["desk"][0] = again
	assert.Assert(t, !s.front.takesWork(u), "another start has nothing of the first one")
	delete(s.front.o.View().Services, "desk")
	assert.Assert(t, !s.front.takesWork(u))
}

// Guards against fields after the body that are lost between caller and upstream.
func TestTrailersArePassedOn(t *testing.T) {
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString("HTTP/1.1 200 OK\r\nBerylledge-Request: id1\r\n" + signed + "\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n" +
			chunk("ok") + "0\r\nX-Sum: " + r.Trailer.Get("X-In") + "\r\n\r\n")
	})
	s := newSite(t, nil, up)
	r := s.request("/x/", "id1")
	r.ContentLength, r.Trailer = -1, http.Header{"X-In": {"9"}}
	resp, err := s.server.Client().Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	assert.Equal(t, resp.Trailer.Get("X-Sum"), "9")
	assert.Equal(t, string(up.Requests()[0].Body), "in")
}
