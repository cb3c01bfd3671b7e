package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// newHangingUpstream returns an upstream that never answers, and a channel with one value for each request that it has read.
func newHangingUpstream(t *testing.T) (*rawup.Upstream, <-chan bool) {
	read := make(chan bool, 10)
	up := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
		read <- true
		_, _ = c.Read(make([]byte, 1)) // until the connection ends
	})
	return up, read
}

// addStage gives the route a stage that runs at an upstream.
func (s *testProxy) addStage(up *rawup.Upstream) {
	view := s.forwarder.o.View()
	cfg := *view.Table.Config
	cfg.Routes[0].Stages = []conf.Stage{{Service: "prepare", ResultBytes: 1}}
	cfg.Services = append(cfg.Services, conf.Service{
		Name: "prepare", Pool: &conf.Pool{Slots: 1, Queue: 1, Batch: 8, CallTime: 10, ItemTime: 1, ResultMemoryMB: 1, HandleTTL: 4000, LinkMbps: 1000},
	})
	assert.Equal(s.t, len(cfg.Validate()), 0)
	view.Table = conf.NewTable(&cfg)
	view.Services["prepare"] = []roster.Upstream{{ID: "p0", Service: "prepare", Address: up.Address, DataCentre: "a", State: roster.Ready}}
}

func (s *testProxy) start(r *http.Request) <-chan result {
	got := make(chan result, 1)
	go func() { got <- s.do(r) }()
	return got
}

func wait[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(10 * time.Second):
		t.Fatal("not within 10 s")
		panic("not reached")
	}
}

func slowRoute(kind conf.Kind) func(*conf.Route) {
	return func(r *conf.Route) { r.Kind, r.Timeout, r.Target = kind, 60_000, 30_000 }
}

// Guards against a planned stop that closes the connections of requests which wait for their stages, without an answer: they have not
// run, and another node could still serve them.
func TestPlannedStopRefusesRequestsThatWaitForStages(t *testing.T) {
	for _, kind := range []conf.Kind{conf.Safe, conf.Unsafe, conf.Stream} {
		t.Run(string(kind), func(t *testing.T) {
			desk := newGoodUpstream(t)
			prepare, read := newHangingUpstream(t)
			s := newTestProxy(t, slowRoute(kind), desk)
			s.addStage(prepare)
			r := s.request("/x/", "id1")
			r.Header.Set("Berylledge-Pieces", "1")
			r.Header.Set("Berylledge-Piece-Key", "k")
			answer := s.start(r)
			wait(t, read)
			s.forwarder.Drain(Finishing)
			got := wait(t, answer)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, after > 0 && after < 1, "Retry-After is %v", after)
			assert.Equal(t, len(desk.Requests()), 0)
			assert.Equal(t, len(s.events.Select(event.Filter{Request: "id1", Name: "forward_refused"})), 1)
		})
	}
}

// Guards against requests that arrive late in a planned stop and are passed on, although they cannot end before the process does.
func TestPlannedStopRefusesLateArrivals(t *testing.T) {
	up := newGoodUpstream(t)
	s := newTestProxy(t, unsafeOnce, up)
	s.forwarder.Drain(Draining)
	assert.Equal(t, s.do(s.request("/x/", "id1")).status, http.StatusOK, "callers may still know the address")
	s.forwarder.Drain(Refusing)
	s.forwarder.Drain(Draining) // an earlier phase changes nothing
	got := s.do(s.request("/x/", "id2"))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(up.Requests()), 1)
}

// Guards against requests at an upstream whose connections a planned stop closes without an answer, and against an answer that
// says that they have not run.
func TestPlannedStopAnswersRequestsAtAnUpstream(t *testing.T) {
	for _, kind := range []conf.Kind{conf.Safe, conf.Unsafe, conf.Stream} {
		t.Run(string(kind), func(t *testing.T) {
			up, read := newHangingUpstream(t)
			s := newTestProxy(t, slowRoute(kind), up)
			answer := s.start(s.request("/x/", "id1"))
			wait(t, read)
			s.forwarder.Drain(Finishing)
			s.forwarder.Drain(Ending)
			got := wait(t, answer)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Equal(t, len(up.Requests()), 1, "nothing is sent again")
		})
	}
}

// Guards against a planned stop that gives up a request while its upstream is still at work and there is time.
func TestPlannedStopLeavesUpstreamsTheirTime(t *testing.T) {
	read, release := make(chan bool, 1), make(chan bool)
	answerNow := sync.OnceFunc(func() { close(release) })
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		read <- true
		<-release
		c.WriteString(rawResponse(200, r.Header.Get("Berylledge-Request"), "ok", signed))
	})
	s := newTestProxy(t, slowRoute(conf.Unsafe), up)
	t.Cleanup(answerNow)
	answer := s.start(s.request("/x/", "id1"))
	wait(t, read)
	s.forwarder.Drain(Finishing)
	assert.NilError(t, s.forwarder.drain.ending.Err())
	answerNow()
	assert.Equal(t, wait(t, answer).body, "ok")
}

// Guards against a stream that a planned stop cuts and that looks complete.
func TestPlannedStopBreaksOffAStartedStream(t *testing.T) {
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(streamHead(r.Header.Get("Berylledge-Request")) + chunk(events(1, 1)))
		_, _ = c.Read(make([]byte, 1)) // until the connection ends
	})
	s := newTestProxy(t, slowRoute(conf.Stream), up)
	resp, err := s.server.Client().Do(s.request("/x/", "id1"))
	assert.NilError(t, err)
	defer resp.Body.Close()
	readText(t, resp.Body, events(1, 1))
	s.forwarder.Drain(Ending)
	_, err = resp.Body.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "unexpected EOF")
}
