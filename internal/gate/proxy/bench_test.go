package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/internal/wire/memory"
)

// BenchmarkForward compares a request through a Forwarder with the same request sent directly to the fake
// upstream, both over kept-alive connections on loopback, and with the account of memory:
//
//	go test ./internal/gate/proxy -run '^$' -bench Forward
func BenchmarkForward(b *testing.B) {
	up := newGoodUpstream(b)
	s := newTestProxy(b, nil, up)
	run := func(b *testing.B, url string) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		defer client.CloseIdleConnections()
		for b.Loop() {
			r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/x/", strings.NewReader("in"))
			assert.NilError(b, err)
			r.Host = "api.example"
			r.Header.Set("Authorization", "Bearer secret")
			r.Header.Set("Berylledge-Request", "id1")
			resp, err := client.Do(r)
			assert.NilError(b, err)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(b, err)
			assert.NilError(b, resp.Body.Close())
			assert.Equal(b, resp.StatusCode, http.StatusOK)
		}
	}
	b.Run("direct", func(b *testing.B) { run(b, "http://"+up.Address) })
	b.Run("through", func(b *testing.B) { run(b, s.server.URL) })
	account := memory.New(memory.Options{Clock: clock.Real(), Bytes: memory.Bound(144_000_000), Descriptors: 3075})
	s.forwarder.o.Memory = account
	b.Run("counted", func(b *testing.B) { run(b, s.server.URL) })
	guard := &httpd.Guard{Clock: clock.Real(), Account: account, HeadBytes: func() int { return 16 << 10 }}
	server := httptest.NewUnstartedServer(s.forwarder)
	server.Listener = guard.Listen(server.Listener)
	server.Config.ConnState = guard.ConnState
	server.Start()
	defer server.Close()
	b.Run("guarded", func(b *testing.B) { run(b, server.URL) })
}
