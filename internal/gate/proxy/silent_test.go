package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// shortRoute ends requests at an upstream that sends nothing.
func shortRoute(kind conf.Kind) func(*conf.Route) {
	return func(r *conf.Route) { r.Kind, r.Timeout, r.Target, r.Attempts = kind, 100, 50, 1 }
}

// newSilentProxy returns a proxy with one upstream that reads requests and sends nothing. Its background work is stopped, so that the
// test can change the view.
func newSilentProxy(t *testing.T, kind conf.Kind) (*testProxy, *rawup.Upstream) {
	up, _ := newHangingUpstream(t)
	s := newTestProxy(t, shortRoute(kind), up)
	s.forwarder.Close()
	s.forwarder.drain = newDrainState()
	return s, up
}

func (s *testProxy) upstream() *roster.Upstream { return &s.forwarder.o.View().Services["desk"][0] }

// Guards against a request that makes each upstream that runs it go dark, and is never blocked because its end at an upstream is
// a deadline and not a reset.
func TestContentThatSilencesUpstreamsIsBlocked(t *testing.T) {
	for _, kind := range []conf.Kind{conf.Safe, conf.Unsafe, conf.Stream} {
		t.Run(string(kind), func(t *testing.T) {
			s, up := newSilentProxy(t, kind)
			for i := range deny.MaxCrashes {
				assert.Equal(t, s.do(s.request("/x/", fmt.Sprint("id", i))).status, http.StatusGatewayTimeout)
				s.forwarder.checkSilentRuns(time.Now())
				assert.Equal(t, s.forwarder.o.Crashes.Len(), min(i, 1), "the upstream may only be slow")
				s.upstream().StartedMs++
				s.forwarder.checkSilentRuns(time.Now())
			}
			assert.Equal(t, s.do(s.request("/x/", "last")).status, http.StatusServiceUnavailable)
			assert.Equal(t, len(up.Requests()), deny.MaxCrashes)
		})
	}
}

// Guards against content that is blocked because slow upstreams left as planned, or were replaced long after.
func TestSlowContentIsNotBlocked(t *testing.T) {
	for name, change := range map[string]func(s *testProxy){
		"leaves": func(s *testProxy) {
			s.upstream().State = roster.Draining
			s.forwarder.checkSilentRuns(time.Now())
			s.upstream().State = roster.Ready
		},
		"later":  func(s *testProxy) { s.forwarder.checkSilentRuns(time.Now().Add(silentRunLife)) },
		"served": func(s *testProxy) { s.forwarder.dropSilentRuns(deny.Sum("api.example", "/x/", "office", []byte("in"))) },
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newSilentProxy(t, conf.Unsafe)
			assert.Equal(t, s.do(s.request("/x/", "id1")).status, http.StatusGatewayTimeout)
			change(s)
			s.upstream().StartedMs++
			s.forwarder.checkSilentRuns(time.Now())
			assert.Equal(t, s.forwarder.o.Crashes.Len(), 0)
		})
	}
}
