package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/test/rawup"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/internal/wire/memory"
)

// countedProxy is a Forwarder for bodies of up to 4 MiB with an account of 8 MiB.
type countedProxy struct {
	*testProxy
	account *memory.Account
	mu      sync.Mutex
	limits  []string
}

func newCountedProxy(t *testing.T, up *rawup.Upstream) *countedProxy {
	s := &countedProxy{testProxy: newTestProxy(t, func(r *conf.Route) { r.Timeout = 60_000 }, up), account: memory.New(memory.Options{Clock: clock.Real(), Bytes: 8 << 20})}
	s.forwarder.o.View().Table.Config.Limits.BodyBytes = 4 << 20
	s.forwarder.o.Memory = s.account
	s.forwarder.o.Limited = func(r httpd.Refusal) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.limits = append(s.limits, r.Limit)
	}
	return s
}

func (s *countedProxy) told() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.limits, " ")
}

// send sends a request with a body of which only a part arrives.
func (s *countedProxy) send(id string, announced, sent int) *bufio.Reader {
	s.t.Helper()
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprintf(c, "POST /x/ HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer secret\r\nBerylledge-Request: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, announced, strings.Repeat("b", sent))
	assert.NilError(s.t, err)
	return bufio.NewReader(c)
}

func (s *countedProxy) status(in *bufio.Reader) *http.Response {
	s.t.Helper()
	resp, err := http.ReadResponse(in, nil)
	assert.NilError(s.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(s.t, err)
	return resp
}

func (s *countedProxy) await(what string, check func(memory.Usage) bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if u := s.account.Usage(); !check(u) {
			return poll.Continue("%s: %+v", what, u)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// Guards against bodies that are bounded each and not together; against a refusal of one that has run; and against an account that keeps
// what has ended.
func TestUnfinishedBodyYieldsToAnother(t *testing.T) {
	up := newGoodUpstream(t)
	s := newCountedProxy(t, up)
	unfinished := s.send("id1", 4<<20, 4<<20-1)
	s.await("the first body is held", func(u memory.Usage) bool { return u.Held >= 4<<20 })
	assert.Equal(t, s.status(s.send("id2", 3<<20, 3<<20)).StatusCode, http.StatusOK)
	cut := s.status(unfinished)
	assert.Equal(t, cut.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, cut.Close && cut.Header.Get("Retry-After") != "")
	assert.Equal(t, s.told(), httpd.LimitBody)
	assert.Equal(t, len(up.Requests()), 1)
	s.await("all is given back", func(u memory.Usage) bool { return u.Held == 0 })
}

// Guards against bodies for upstreams that do not answer, which fill the memory, and against refusing small requests because of them.
func TestBodiesThatWaitForUpstreamsAreBounded(t *testing.T) {
	release := make(chan struct{})
	answer := sync.OnceFunc(func() { close(release) })
	defer answer()
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		if len(r.Body) > 1000 {
			<-release
		}
		c.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\nBerylledge-Request: %s\r\n%s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Berylledge-Request"), signed))
	})
	s := newCountedProxy(t, up)
	const bytes = 2 << 20
	var waiting []*bufio.Reader
	for n := range int64(2) { // both fit into the three quarters that bodies may have, a third does not
		waiting = append(waiting, s.send(fmt.Sprint("id", n), bytes, bytes))
		s.await("it waits for the upstream", func(u memory.Usage) bool { return u.Kinds[memory.Upstream].Bytes >= (n+1)*bytes })
	}
	refused := s.status(s.send("id3", bytes, bytes))
	assert.Assert(t, refused.StatusCode == http.StatusServiceUnavailable || refused.StatusCode == http.StatusRequestTimeout, refused.Status)
	assert.Assert(t, refused.Close && refused.Header.Get("Retry-After") != "")
	assert.Equal(t, s.status(s.send("id4", 10, 10)).StatusCode, http.StatusOK)
	answer()
	for _, in := range waiting {
		assert.Equal(t, s.status(in).StatusCode, http.StatusOK)
	}
	assert.Equal(t, len(up.Requests()), 3)
}
