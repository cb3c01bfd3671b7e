package proxy

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against upstreams in trouble that fill the memory of a node: each sends a large part of an answer and stands still, so that
// many requests hold their parts at the same time.
func TestUnfinishedAnswersShareABoundOfMemory(t *testing.T) {
	const (
		requests  = 120
		partBytes = 900 << 10
		mostBytes = 64 << 20 // of a small VM with 184 MB
	)
	for name, c := range map[string]struct {
		kind conf.Kind
		head func(id string) string
	}{
		"event": {conf.Stream, streamHead},
		"body": {conf.Unsafe, func(id string) string {
			return "HTTP/1.1 200 OK\r\nBerylledge-Request: " + id + "\r\n" + signed + "\r\nTransfer-Encoding: chunked\r\n\r\n"
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			part := chunk(strings.Repeat("a", partBytes))
			up := rawup.New(t, func(c2 *rawup.Conn, r *rawup.Request) {
				c2.WriteString(c.head(r.Header.Get("Berylledge-Request")) + part)
				sent.Add(1)
				_, _ = c2.Read(make([]byte, 1)) // until the connection ends
			})
			s := newTestProxy(t, slowRoute(c.kind), up)
			before := heapBytes()
			var clients sync.WaitGroup
			var answered atomic.Int64
			for i := range requests {
				clients.Go(func() {
					r := s.request("/x/", fmt.Sprint("id", i))
					resp, err := http.DefaultTransport.RoundTrip(r)
					answered.Add(1)
					if err == nil {
						_ = resp.Body.Close()
					}
				})
			}
			// A request that gets no more memory ends, or its answer is passed on; the others have read their whole part by then.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if sent.Load() < requests || answered.Load() < requests-sharedBufferBytes/partBytes-2 {
					return poll.Continue("%d parts are sent, %d requests answered, %d kB held", sent.Load(), answered.Load(), (heapBytes()-before)>>10)
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
			held := heapBytes() - before
			t.Logf("%d requests hold %d kB", requests, held>>10)
			s.forwarder.Drain(Ending)
			clients.Wait()
			assert.Assert(t, held < mostBytes, "%d bytes are held", held)
		})
	}
}
