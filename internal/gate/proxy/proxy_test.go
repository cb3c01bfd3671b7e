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

// testProxy is a Forwarder with fake upstreams of one service.
type testProxy struct {
	t         testing.TB
	forwarder *Forwarder
	server    *httptest.Server
	events    *event.Log
	refreshes *atomic.Int32 // number of calls to RefreshCrashes
	view      *atomic.Pointer[poller.View]
}

// newTestProxy starts a Forwarder with one route, which change may modify.
func newTestProxy(t testing.TB, change func(*conf.Route), ups ...*rawup.Upstream) *testProxy {
	t.Helper()
	return newTestProxyAt(t, clock.Real(), change, ups...)
}

// newTestProxyAt starts a Forwarder with the given clock. A fake clock must start at the present time, since
// sockets have deadlines.
func newTestProxyAt(t testing.TB, c clock.Clock, change func(*conf.Route), ups ...*rawup.Upstream) *testProxy {
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
	assert.Equal(t, len(cfg.Validate()), 0)
	view := &poller.View{Table: conf.NewTable(cfg), Services: map[string][]roster.Upstream{}}
	for i, u := range ups {
		view.Services["desk"] = append(view.Services["desk"], roster.Upstream{
			ID: fmt.Sprint("u", i), Service: "desk", Address: u.Address, DataCentre: "a", State: roster.Ready,
		})
	}
	events := event.New(event.Options{Node: "e1", Clock: c})
	d := proto.Own()
	pool := upcon.New(upcon.Options{Clock: c, IDHeader: d.Headers.RequestID})
	current := new(atomic.Pointer[poller.View])
	current.Store(view)
	load := current.Load
	regions := map[string]string{"a": "n"}
	mk := batch.New(batch.Options{Node: "e1", Peer: "self", RegionOf: regions, Dialect: d, Clock: c, Events: events, View: load, Pool: pool})
	asked := new(atomic.Int32)
	f := New(Options{
		Node: "e1", DataCentre: "a", Region: "n", RegionOf: regions, Dialect: d, Clock: c, Events: events,
		View: load, Pool: pool, Batcher: mk, RetryBudget: RetryBudget{Ratio: 1, Window: time.Second, Slack: 100},
		Crashes: deny.New(), ReportCrashes: func() {}, RefreshCrashes: func(context.Context) { asked.Add(1) },
	})
	server := httptest.NewServer(f)
	t.Cleanup(func() {
		server.Close()
		f.Close()
		mk.Close()
		pool.Close()
	})
	return &testProxy{t, f, server, events, asked, current}
}

type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (s *testProxy) request(path, id string) *http.Request {
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.server.URL+path, strings.NewReader("in"))
	assert.NilError(s.t, err)
	r.Host = "api.example"
	r.Header.Set("Authorization", "Bearer secret")
	r.Header.Set("Berylledge-Request", id)
	return r
}

func (s *testProxy) do(r *http.Request) result {
	s.t.Helper()
	resp, err := s.server.Client().Do(r)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header, string(body), err}
}

func rawResponse(status int, id, body string, headers ...string) string {
	extra := ""
	for _, h := range headers {
		extra += h + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\nBerylledge-Request: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
}

const signed = "Berylledge-Signature: s"

func newGoodUpstream(t testing.TB) *rawup.Upstream {
	return rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(rawResponse(200, r.Header.Get("Berylledge-Request"), "ok", signed, "X-Own: 1"))
	})
}

func unsafeOnce(r *conf.Route) { r.Kind, r.Attempts = conf.Unsafe, 2 }

// Guards against requests that are modified, that leak the caller's API key, or that carry headers which only
// this system may set.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	up := newGoodUpstream(t)
	s := newTestProxy(t, nil, up)
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

// Guards against non-idempotent work that runs twice, for each way in which an upstream can fail to respond.
func TestUnsafeWorkIsSentOnce(t *testing.T) {
	for name, end := range map[string]func(*rawup.Conn, *rawup.Request){
		"closed": func(c *rawup.Conn, _ *rawup.Request) { c.End() },
		"reset":  func(c *rawup.Conn, _ *rawup.Request) { c.Reset() },
		"foreign": func(c *rawup.Conn, _ *rawup.Request) {
			c.WriteString(rawResponse(200, "other", "ok", signed))
		},
		"unsigned": func(c *rawup.Conn, r *rawup.Request) {
			c.WriteString(rawResponse(200, r.Header.Get("Berylledge-Request"), "ok"))
		},
		"truncated": func(c *rawup.Conn, r *rawup.Request) {
			c.WriteString(strings.Replace(rawResponse(200, r.Header.Get("Berylledge-Request"), "ok", signed), "Length: 2", "Length: 9", 1))
			c.End()
		},
	} {
		a, b := rawup.New(t, end), rawup.New(t, end)
		s := newTestProxy(t, unsafeOnce, a, b)
		got := s.do(s.request("/x/", "id1"))
		assert.Equal(t, got.status, http.StatusBadGateway, name)
		assert.Equal(t, got.header.Get("Berylledge-Signature"), "", name)
		assert.Equal(t, len(a.Requests())+len(b.Requests()), 1, name)
	}
}

// Guards against giving up on a request that provably did not run.
func TestUnsafeWorkGoesOnAfterAProof(t *testing.T) {
	for name, answer := range map[string]string{
		"refused": rawResponse(503, "id1", "full", "Berylledge-Not-Run: 1"),
		"moved":   rawResponse(421, "id1", ""),
	} {
		full := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) { c.WriteString(answer) })
		s := newTestProxy(t, unsafeOnce, full, newGoodUpstream(t))
		s.forwarder.beginRequest("u1") // so that the other upstream is tried first
		got := s.do(s.request("/x/", "id1"))
		assert.Equal(t, got.status, 200, name)
	}
	s := newTestProxy(t, unsafeOnce, rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
		c.WriteString(rawResponse(503, "id1", "full", "Berylledge-Not-Run: 1"))
	}))
	got := s.do(s.request("/x/", "id1"))
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// Guards against an idempotent request that is lost with its upstream, and against more attempts than the route
// allows.
func TestSafeWorkIsRepeatedWithinItsAttempts(t *testing.T) {
	broken := func(c *rawup.Conn, _ *rawup.Request) { c.Reset() }
	a := rawup.New(t, broken)
	s := newTestProxy(t, nil, a, newGoodUpstream(t))
	s.forwarder.beginRequest("u1")
	assert.Equal(t, s.do(s.request("/x/", "id1")).status, 200)
	assert.Equal(t, len(a.Requests()), 1)

	three := []*rawup.Upstream{rawup.New(t, broken), rawup.New(t, broken), rawup.New(t, broken)}
	s = newTestProxy(t, nil, three...)
	assert.Equal(t, s.do(s.request("/x/", "id1")).status, http.StatusBadGateway)
	assert.Equal(t, len(three[0].Requests())+len(three[1].Requests())+len(three[2].Requests()), 2)
}

// Guards against a request that crashes one upstream after another by being repeated, against a wrong status
// when it is blocked, and against blocking other requests along with it.
func TestCrashingContentIsBlocked(t *testing.T) {
	dies := func(c *rawup.Conn, _ *rawup.Request) { c.Reset() }
	ups := []*rawup.Upstream{rawup.New(t, dies), rawup.New(t, dies), rawup.New(t, dies), rawup.New(t, dies)}
	s := newTestProxy(t, func(r *conf.Route) { r.Attempts = 3 }, ups...)
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

// Guards against blocking a harmless request because several of its upstreams failed, although it got a response
// in between.
func TestAnsweredContentIsNotBlocked(t *testing.T) {
	var count atomic.Int32
	third := func(c *rawup.Conn, r *rawup.Request) {
		if count.Add(1)%3 != 0 {
			c.Reset()
			return
		}
		c.WriteString(rawResponse(200, r.Header.Get("Berylledge-Request"), "ok", signed))
	}
	s := newTestProxy(t, func(r *conf.Route) { r.Attempts = 3 }, rawup.New(t, third), rawup.New(t, third), rawup.New(t, third), rawup.New(t, third))
	for i := range 3 {
		assert.Equal(t, s.do(s.request("/x/", fmt.Sprint("id", i))).status, 200)
	}
}

// Guards against fetching crash reports more than once per crash: while the control nodes are unreachable, each
// fetch takes the full timeout.
func TestNewsAreWaitedForOnceAfterEachCrash(t *testing.T) {
	dies := func(c *rawup.Conn, _ *rawup.Request) { c.Reset() }
	s := newTestProxy(t, nil, rawup.New(t, dies), newGoodUpstream(t))
	s.forwarder.beginRequest("u1")
	assert.Equal(t, s.do(s.request("/x/", "id1")).status, 200)
	assert.Equal(t, s.refreshes.Load(), int32(1))
	assert.Equal(t, s.do(s.request("/x/", "id2")).status, 200)
	assert.Equal(t, s.refreshes.Load(), int32(1), "the response cleared the crash record")
}

// Guards against replacing an upstream's error by one of this node, or changing its status.
func TestUpstreamsFailureIsPassedOn(t *testing.T) {
	fails := func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(rawResponse(500, r.Header.Get("Berylledge-Request"), "oops", signed))
	}
	for _, kind := range []conf.Kind{conf.Safe, conf.Unsafe} {
		s := newTestProxy(t, func(r *conf.Route) { r.Kind = kind }, rawup.New(t, fails), rawup.New(t, fails))
		got := s.do(s.request("/x/", "id1"))
		assert.Equal(t, got.status, 500)
		assert.Equal(t, got.body, "oops")
		assert.Equal(t, got.header.Get("Berylledge-Signature"), "s")
	}
}

// Guards against a request that outlives its route's timeout, and against a status that says that it has not
// run.
func TestTimeoutPromisesNothing(t *testing.T) {
	hang := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
		_, _ = c.Read(make([]byte, 1)) // returns when the forwarder gives up
		c.End()
	})
	s := newTestProxy(t, func(r *conf.Route) { r.Timeout = 150 }, hang)
	began := time.Now()
	got := s.do(s.request("/x/", "id1"))
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// Guards against wrong or missing refusals.
func TestRefusals(t *testing.T) {
	up := newGoodUpstream(t)
	s := newTestProxy(t, nil, up)
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

// newBreakingUpstream returns an upstream that breaks off within its fourth event and sets *broke. If that is
// set already, it sends all events from the given last event id on.
func newBreakingUpstream(t *testing.T, broke *bool) *rawup.Upstream {
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

// Guards against lost, duplicated or merged events when a stream resumes at another upstream.
func TestStreamGoesOnAfterABreak(t *testing.T) {
	broke := false
	s := newTestProxy(t, streamRoute(true), newBreakingUpstream(t, &broke), newBreakingUpstream(t, &broke))
	got := s.do(s.request("/x/", "id1"))
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 6))
}

// Guards against a broken stream that looks complete, and against repeating a stream that may not resume.
func TestStreamThatMayNotGoOnBreaksOff(t *testing.T) {
	broke := false
	a, b := newBreakingUpstream(t, &broke), newBreakingUpstream(t, &broke)
	s := newTestProxy(t, streamRoute(false), a, b)
	got := s.do(s.request("/x/", "id1"))
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, events(1, 3))
	assert.Equal(t, len(a.Requests())+len(b.Requests()), 1)
}

// Guards against events that are delayed until more of them arrive.
func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	more := make(chan bool)
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(streamHead(r.Header.Get("Berylledge-Request")) + chunk(events(1, 1)))
		<-more
		c.WriteString(chunk(events(2, 2)) + "0\r\n\r\n")
	})
	s := newTestProxy(t, streamRoute(true), up)
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

// Guards against an upstream that keeps working after the caller has disconnected.
func TestCallersDepartureReachesTheUpstream(t *testing.T) {
	read, closed := make(chan bool), make(chan bool)
	up := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
		close(read)
		_, _ = c.Read(make([]byte, 1)) // returns when the forwarder closes the connection
		close(closed)
		c.End()
	})
	s := newTestProxy(t, nil, up)
	address := strings.TrimPrefix(s.server.URL, "http://")
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = io.WriteString(c, "GET /x/ HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer secret\r\nBerylledge-Request: id1\r\n\r\n")
	assert.NilError(t, err)
	<-read
	assert.NilError(t, c.Close())
	<-closed
}

// Guards against request smuggling: the body of one request must not be parsed as a second request.
func TestBodyIsNotReadAsARequest(t *testing.T) {
	up := newGoodUpstream(t)
	s := newTestProxy(t, nil, up)
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

// Load pattern: upstreams that fail for a while. Guards against retries beyond the budget, by one node or by all
// of them together.
func TestBudgetBoundsRepeats(t *testing.T) {
	b := newRetryLimiter(RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50})
	now := time.Unix(1000, 0)
	for range 100 {
		b.countRequest(now, "s")
	}
	granted := 0
	for range 100 {
		if b.allow(now, "s", 5) {
			granted++
		}
	}
	assert.Equal(t, granted, 21) // 0.7 x (0.2 x 100 + 50/5)
	assert.Assert(t, !b.allow(now.Add(5*time.Second), "s", 5))
	assert.Assert(t, b.allow(now.Add(11*time.Second), "s", 5))
	assert.Assert(t, !b.allow(now, "other", 100))
}

// Guards against sending a request to an engine that began to drain while the request's stages ran.
func TestSeatAtALeavingEngineIsGivenUp(t *testing.T) {
	s := newTestProxy(t, nil, newGoodUpstream(t))
	u := s.forwarder.o.View().Services["desk"][0]
	assert.Assert(t, s.forwarder.stillReady(u))
	s.forwarder.o.View().Services["desk"][0].State = roster.Draining
	assert.Assert(t, !s.forwarder.stillReady(u))
	again := u
	again.StartedMs++
	s.forwarder.o.View().Services["desk"][0] = again
	assert.Assert(t, !s.forwarder.stillReady(u), "another start has nothing of the first one")
	delete(s.forwarder.o.View().Services, "desk")
	assert.Assert(t, !s.forwarder.stillReady(u))
}

// Guards against trailers that are lost between caller and upstream.
func TestTrailersArePassedOn(t *testing.T) {
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString("HTTP/1.1 200 OK\r\nBerylledge-Request: id1\r\n" + signed + "\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n" +
			chunk("ok") + "0\r\nX-Sum: " + r.Trailer.Get("X-In") + "\r\n\r\n")
	})
	s := newTestProxy(t, nil, up)
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

// Guards against a load header that is not read, and against an invalid one that counts.
func TestLoadHeaderOfAPlainServiceIsUsed(t *testing.T) {
	for header, want := range map[string]int{"1,0,4,400": 1, "1,0,4,-400": 2, "1,0,4": 2} {
		first := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
			c.WriteString(rawResponse(200, r.Header.Get("Berylledge-Request"), "ok", signed, "Berylledge-Load: "+header))
		})
		s := newTestProxy(t, nil, first, newGoodUpstream(t))
		for i := range 2 { // without a report, the upstream without measured times does not come first
			assert.Equal(t, s.do(s.request("/x/", fmt.Sprint("id", i))).status, 200)
		}
		assert.Equal(t, len(first.Requests()), want, "%q", header)
	}
}
