package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

const leaving = "Berylledge-Leaving: 1"

// setUpstreams replaces the records of the service.
func setUpstreams(s *testProxy, list ...roster.Upstream) {
	next := *s.view.Load()
	next.Services = map[string][]roster.Upstream{"desk": list}
	s.view.Store(&next)
}

// sendMany sends n requests, one after the other.
func (s *testProxy) sendMany(n int) (answers []result) {
	for i := range n {
		answers = append(answers, s.do(s.request("/x/", fmt.Sprint("many", i))))
	}
	return answers
}

// Guards against new work for an upstream that has said that it leaves: with an answer of any kind, also one whose body breaks off.
func TestLeavingAnswerEndsUse(t *testing.T) {
	stream := func(r *conf.Route) { r.Kind, r.Affinity = conf.Stream, true }
	for name, c := range map[string]struct {
		change func(*conf.Route)
		answer func(c *rawup.Conn, id string)
	}{
		"success": {nil, func(c *rawup.Conn, id string) { c.WriteString(rawResponse(200, id, "ok", signed, leaving)) }},
		"fault":   {nil, func(c *rawup.Conn, id string) { c.WriteString(rawResponse(500, id, "no", signed, leaving)) }},
		"refusal": {nil, func(c *rawup.Conn, id string) {
			c.WriteString(rawResponse(503, id, "", "Berylledge-Not-Run: 1", leaving))
		}},
		"early head": {nil, func(c *rawup.Conn, id string) { c.WriteString(rawResponse(404, id, "", leaving)) }},
		"broken body": {nil, func(c *rawup.Conn, id string) {
			c.WriteString(strings.TrimSuffix(rawResponse(200, id, "four", signed, leaving), "our"))
			c.End()
		}},
		"stream": {stream, func(c *rawup.Conn, id string) {
			c.WriteString(rawResponse(200, id, "id: 1\ndata: x\n\n", signed, leaving))
		}},
		"broken stream": {stream, func(c *rawup.Conn, id string) {
			c.WriteString(strings.TrimSuffix(rawResponse(200, id, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", signed, leaving), "y\n\n"))
			c.End()
		}},
	} {
		gone := rawup.New(t, func(conn *rawup.Conn, r *rawup.Request) { c.answer(conn, r.Header.Get("Berylledge-Request")) })
		s := newTestProxy(t, c.change, gone, newGoodUpstream(t))
		s.forwarder.beginRequest("u1") // so that the other upstream is tried first
		s.do(s.request("/x/", "id1"))
		assert.Equal(t, len(gone.Requests()), 1, name)
		for range 30 {
			s.forwarder.beginRequest("u1")
		}
		for _, got := range s.sendMany(10) {
			assert.Equal(t, got.status, 200, name)
		}
		assert.Equal(t, len(gone.Requests()), 1, name)
	}
}

// Guards against a node that returns to a leaving upstream because of a later heartbeat of the same start, of an old record, or of a
// control node that has lost all records.
func TestReadyHeartbeatDoesNotUndoLeaving(t *testing.T) {
	gone := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(rawResponse(200, r.Header.Get("Berylledge-Request"), "ok", signed, leaving))
	})
	s := newTestProxy(t, nil, gone)
	u := s.view.Load().Services["desk"][0]
	u.StartedMs = 1000
	setUpstreams(s, u)
	assert.Equal(t, s.do(s.request("/x/", "id1")).status, 200)
	for name, change := range map[string]func(*roster.Upstream){
		"later heartbeat": func(u *roster.Upstream) { u.Sequence += 5 },
		"older record":    func(u *roster.Upstream) { u.StartedMs = 900 },
		"reset":           func(*roster.Upstream) {},
	} {
		next := u
		change(&next)
		if name == "reset" {
			setUpstreams(s)
			assert.Equal(t, s.do(s.request("/x/", "empty")).status, http.StatusServiceUnavailable)
			s.forwarder.sweep(time.Now())
		}
		setUpstreams(s, next)
		got := s.do(s.request("/x/", "id2"))
		assert.Equal(t, got.status, http.StatusServiceUnavailable, name)
		assert.Assert(t, strings.Contains(got.body, "leaving"), "%s: %s", name, got.body)
		assert.Assert(t, got.header.Get("Retry-After") != "", name)
		assert.Equal(t, len(gone.Requests()), 1, name)
	}
}

// Guards against a leaving start that also ends the use of the next one at the id, of another upstream at the address, and against
// a late answer of the earlier start.
func TestNewStartIsNotBoundByLeaving(t *testing.T) {
	var first atomic.Bool
	first.Store(true)
	held := make(chan bool)
	release := sync.OnceFunc(func() { close(held) })
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		id, extra := r.Header.Get("Berylledge-Request"), "X-Own: 1"
		if id == "late" {
			<-held
		}
		if id == "late" || first.Swap(false) {
			extra = leaving
		}
		c.WriteString(rawResponse(200, id, "ok", signed, extra))
	})
	s := newTestProxy(t, nil, up)
	t.Cleanup(release) // before the server closes
	u := s.view.Load().Services["desk"][0]
	u.StartedMs = 1000
	setUpstreams(s, u)
	var late sync.WaitGroup
	late.Go(func() { s.do(s.request("/x/", "late")) })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(up.Requests()) == 0 {
			return poll.Continue("the late request has not arrived")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, s.do(s.request("/x/", "id1")).status, 200)
	assert.Equal(t, s.do(s.request("/x/", "id2")).status, http.StatusServiceUnavailable)

	other := u
	other.ID = "another"
	setUpstreams(s, u, other)
	assert.Equal(t, s.do(s.request("/x/", "id3")).status, 200)

	u.StartedMs = 2000
	setUpstreams(s, u)
	assert.Equal(t, s.do(s.request("/x/", "id4")).status, 200)
	release()
	late.Wait()
	assert.Equal(t, s.do(s.request("/x/", "id5")).status, 200)
}

// pausing returns an upstream that refuses its first request with a Retry-After, and the times of all requests.
func pausing(t *testing.T, retryAfter string) (up *rawup.Upstream, times func() []time.Time) {
	var mu sync.Mutex
	var at []time.Time
	up = rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		mu.Lock()
		at = append(at, time.Now())
		n := len(at)
		mu.Unlock()
		id := r.Header.Get("Berylledge-Request")
		if n == 1 {
			c.WriteString(rawResponse(503, id, "later", "Berylledge-Not-Run: 1", "Retry-After: "+retryAfter))
			return
		}
		c.WriteString(rawResponse(200, id, "ok", signed))
	})
	return up, func() []time.Time {
		mu.Lock()
		defer mu.Unlock()
		return append([]time.Time(nil), at...)
	}
}

// Guards against requests that reach an upstream before the time that it asked for, whatever waits, and against all of those that
// wait reaching it in the same moment. A request that can still be on time is held meanwhile.
func TestPauseOfUpstreamIsHonoured(t *testing.T) {
	t.Run("plain", func(t *testing.T) { checkPause(t, func(*testProxy) {}) })
	t.Run("engine", func(t *testing.T) { checkPause(t, setEngines) })
	for _, invalid := range []string{"0", "-1", "NaN", "Inf", "1e999", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		up, times := pausing(t, invalid)
		s := newTestProxy(t, nil, up)
		s.do(s.request("/x/", "first"))
		s.do(s.request("/x/", "second"))
		assert.Equal(t, len(times()), 2, "%q is no pause", invalid)
	}
}

// setEngines makes the upstreams model engines, for which this node places the requests.
func setEngines(s *testProxy) {
	next := *s.view.Load()
	cfg := *next.Table.Config
	cfg.Services = []conf.Service{{Name: "desk", Engine: &conf.Engine{Slots: 20}}}
	next.Table = conf.NewTable(&cfg)
	s.view.Store(&next)
}

func checkPause(t *testing.T, change func(*testProxy)) {
	const pause = 800 * time.Millisecond
	up, times := pausing(t, "0.8")
	s := newTestProxy(t, func(r *conf.Route) { r.Target, r.Timeout = 4000, 5000 }, up)
	change(s)
	begin := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, s.do(s.request("/x/", "first")).status == 200) })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		u := s.view.Load().Services["desk"][0]
		cause, _ := s.forwarder.o.Batcher.PaceTable().IsSuspended(time.Now(), u.ID, u.StartedMs)
		if cause != pace.Paused && len(times()) < 2 { // on a slow machine the pause may have ended
			return poll.Continue("the pause is not known: %v", cause)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	for i := range 30 {
		wg.Go(func() {
			got := s.do(s.request("/x/", fmt.Sprint("id", i)))
			assert.Check(t, got.status == 200, "%d %s", got.status, got.body)
		})
	}
	wg.Wait()
	at := times()
	assert.Equal(t, len(at), 32)
	assert.Assert(t, at[1].Sub(begin) >= pause, "the second request came after %v", at[1].Sub(begin))
	early := map[time.Duration]int{}
	for _, a := range at[1:] {
		for _, after := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond} {
			if a.Sub(at[0]) < pause+after {
				early[after]++
			}
		}
	}
	assert.Assert(t, early[100*time.Millisecond] <= 1 && early[200*time.Millisecond] <= 3, "requests by time after the pause: %v", early)
}

// Guards against a long pause that outlives the start of the upstream which asked for it.
func TestLongPauseEndsWithTheNextStart(t *testing.T) {
	up, times := pausing(t, "1e300")
	s := newTestProxy(t, nil, up)
	assert.Equal(t, s.do(s.request("/x/", "first")).status, http.StatusServiceUnavailable)
	got := s.do(s.request("/x/", "second"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after < 60, "%v", after)
	assert.Equal(t, len(times()), 1)
	u := s.view.Load().Services["desk"][0]
	u.StartedMs++
	setUpstreams(s, u)
	assert.Equal(t, s.do(s.request("/x/", "third")).status, 200)
}

// Guards against callers that wait for upstreams which are all paused for longer than the request has, that are told to return
// earlier than that, or that return in the same moment.
func TestAllUpstreamsPausedIsRejectedAtOnce(t *testing.T) {
	t.Run("plain", func(t *testing.T) { checkAllPaused(t, func(*testProxy) {}) })
	t.Run("engine", func(t *testing.T) { checkAllPaused(t, setEngines) })
}

func checkAllPaused(t *testing.T, change func(*testProxy)) {
	a, timesA := pausing(t, "3")
	b, timesB := pausing(t, "5")
	s := newTestProxy(t, nil, a, b)
	change(s)
	s.sendMany(2)
	first := time.Now()
	seen := map[string]bool{}
	for _, got := range s.sendMany(20) {
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(got.body, "paused"), got.body)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 2 && after < 4.1, "%v", after)
		seen[got.header.Get("Retry-After")] = true
	}
	assert.Assert(t, time.Since(first) < time.Second)
	assert.Assert(t, len(seen) > 10, "%d different values of Retry-After", len(seen))
	assert.Equal(t, len(timesA())+len(timesB()), 2)
}

// Guards against a 503 of an upstream that the caller takes for the promise that the request has not run.
func TestRefusalWithoutProofIsNoPromise(t *testing.T) {
	for _, extra := range []string{"X-Own: 1", signed} {
		up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
			c.WriteString(rawResponse(503, r.Header.Get("Berylledge-Request"), "busy", extra))
		})
		s := newTestProxy(t, unsafeOnce, up, newGoodUpstream(t))
		s.forwarder.beginRequest("u1")
		assert.Equal(t, s.do(s.request("/x/", "id1")).status, http.StatusBadGateway)
		s = newTestProxy(t, nil, up, newGoodUpstream(t))
		s.forwarder.beginRequest("u1")
		assert.Equal(t, s.do(s.request("/x/", "id2")).status, 200, "safe work goes on")
	}
}

// Guards against placements of a placer on another node that has not learnt that an engine is leaving or paused.
func TestAskingNodeExcludesSuspendedUpstreams(t *testing.T) {
	s := newTestProxy(t, nil, newGoodUpstream(t), newGoodUpstream(t), newGoodUpstream(t))
	s.forwarder.o.Batcher.NoteAnswer("u0", 0, 200, http.Header{"Berylledge-Leaving": {"1"}})
	s.forwarder.o.Batcher.NoteAnswer("u1", 0, 503, http.Header{"Retry-After": {"9"}})
	x := &exchange{f: s.forwarder, r: s.request("/x/", "id1"), service: "desk", table: s.view.Load().Table}
	x.route = &x.table.Config.Routes[0]
	assert.DeepEqual(t, x.engineRequest().Exclude, []string{"u0", "u1"})
	s.view.Store(&poller.View{Table: x.table})
	assert.Equal(t, len(x.engineRequest().Exclude), 0)
}

// Guards against a request that was placed before its engine said that it leaves, and is sent there once its stages are done.
func TestWaitingRequestLeavesALeavingEngine(t *testing.T) {
	s := newTestProxy(t, nil, newGoodUpstream(t), newGoodUpstream(t))
	setEngines(s)
	x := &exchange{f: s.forwarder, r: s.request("/x/", "id1"), service: "desk", table: s.view.Load().Table, ctx: t.Context()}
	x.route = &x.table.Config.Routes[0]
	x.due = time.Now().Add(time.Minute)
	x.renewPlacement()
	assert.Assert(t, x.placement != nil)
	first := x.placement.upstream.ID
	s.forwarder.o.Batcher.NoteAnswer(first, 0, 200, http.Header{"Berylledge-Leaving": {"1"}})
	u, ok := x.upstreamFor("")
	assert.Assert(t, ok)
	assert.Assert(t, u.ID != first)
	s.forwarder.o.Batcher.NoteAnswer(u.ID, 0, 200, http.Header{"Berylledge-Leaving": {"1"}})
	_, ok = x.upstreamFor("")
	assert.Assert(t, !ok, "no engine is left")
}
