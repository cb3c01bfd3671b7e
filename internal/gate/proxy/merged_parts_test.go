package proxy

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// Guards against a request that goes to an engine which this node knows to be draining or evacuated, because the view of the placer is
// older.
func TestPlacementAtADrainingEngineIsNotUsed(t *testing.T) {
	p := newRegionProxyBeside(t, true, nil)
	p.setUpstreams("models", func(u *roster.Upstream) {
		if u.DataCentre == "a" {
			u.State = roster.Draining
		}
		if u.DataCentre == "b" {
			u.DataCentre = "a"
		}
	})
	got := p.ask("engine", "id1")
	assert.Equal(t, got.status, 200, got.body)
	assert.Equal(t, len(p.ups["models-a"].Requests()), 0)
}

// Guards against a status that promises that the request has not run, when it may have run at another upstream before.
func TestUnprovenPromiseIsNotForwarded(t *testing.T) {
	var n atomic.Int32
	up := func() *rawup.Upstream {
		return rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
			if n.Add(1) == 1 {
				c.Reset()
				return
			}
			c.WriteString(rawResponse(429, r.Header.Get("Berylledge-Request"), "busy", "Retry-After: 1"))
		})
	}
	s := newTestProxy(t, nil, up(), up())
	got := s.do(s.request("/x/", "id1"))
	assert.Equal(t, got.status, 502)
}

// Guards against a retry after a failure that waits for the end of a pause and is then not sent.
func TestFaultIsRetriedAfterAPause(t *testing.T) {
	bad := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(rawResponse(500, r.Header.Get("Berylledge-Request"), "broken", signed))
	})
	good := newGoodUpstream(t)
	s := newTestProxy(t, func(r *conf.Route) { r.Target, r.Timeout, r.Attempts = 4000, 5000, 3 }, bad, good)
	s.forwarder.o.Batcher.NoteAnswer("u1", 0, 503, map[string][]string{"Retry-After": {"1.5"}})
	got := s.do(s.request("/x/", "id1"))
	assert.Equal(t, got.status, 200)
}
