package proxy

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// runs notes which requests have run at the upstreams of a test.
type runs struct {
	mu sync.Mutex
	n  map[string]int
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n[id]++
}

// check fails if a request has run twice, or has run although its answer promised that it has not.
func (r *runs) check(t *testing.T, id string, got result) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Assert(t, r.n[id] <= 1, "%s has run %d times", id, r.n[id])
	if promisesNotRun[got.status] || got.status == http.StatusMisdirectedRequest {
		assert.Equal(t, r.n[id], 0, "%s was answered %d and has run", id, got.status)
	}
}

// repeatedRefusals are ways to send the refusal of an earlier request once more beside the answer to the present one.
var repeatedRefusals = map[string]func(c *rawup.Conn, earlier, own string){
	"before the answer":     func(c *rawup.Conn, earlier, own string) { c.WriteString(earlier + own) },
	"twice before it":       func(c *rawup.Conn, earlier, own string) { c.WriteString(earlier + earlier + own) },
	"in its place":          func(c *rawup.Conn, earlier, _ string) { c.WriteString(earlier) },
	"in its place, closing": func(c *rawup.Conn, earlier, _ string) { c.WriteString(earlier); c.End() },
	"behind the answer":     func(c *rawup.Conn, earlier, own string) { c.WriteString(own + earlier) },
	"within the answer":     func(c *rawup.Conn, earlier, own string) { c.WriteString(own[:30] + earlier + own[30:]) },
}

// refusalsOf are the forms of the refusal of a request.
func refusalsOf(id string) map[string]string {
	const notRun = "Berylledge-Not-Run: 1"
	return map[string]string{
		"503":         rawResponse(503, id, "", notRun),
		"503, body":   rawResponse(503, id, "full, come back later", notRun),
		"429, body":   rawResponse(429, id, "slow down", notRun),
		"421":         rawResponse(421, id, ""),
		"421, body":   rawResponse(421, id, "another upstream", notRun),
		"without id":  "HTTP/1.1 503 X\r\n" + notRun + "\r\nContent-Length: 4\r\n\r\nfull",
		"in chunks":   "HTTP/1.1 503 X\r\nBerylledge-Request: " + id + "\r\n" + notRun + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("full") + "0\r\n\r\n",
		"unproven":    rawResponse(503, id, "unavailable"),
		"two lengths": "HTTP/1.1 503 X\r\nBerylledge-Request: " + id + "\r\n" + notRun + "\r\nContent-Length: 0\r\nContent-Length: 4\r\n\r\nfull",
	}
}

// Guards against a refusal of an earlier request that a faulty upstream writes once more on a kept connection: "clients were told not run
// for requests that had run, or such a request ran at a second upstream".
func TestRepeatedRefusalIsNotTakenForTheAnswer(t *testing.T) {
	for way, write := range repeatedRefusals {
		for form := range refusalsOf("") {
			for _, stream := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, stream %v", way, form, stream), func(t *testing.T) {
					t.Parallel()
					checkRepeatedRefusal(t, form, write, stream)
				})
			}
		}
	}
}

func checkRepeatedRefusal(t *testing.T, form string, write func(c *rawup.Conn, earlier, own string), stream bool) {
	ran := &runs{n: map[string]int{}}
	handle := func() func(c *rawup.Conn, r *rawup.Request) {
		var mu sync.Mutex
		earlier := map[int]string{} // id of the request that was refused, by connection
		return func(c *rawup.Conn, r *rawup.Request) {
			id := r.Header.Get("Berylledge-Request")
			mu.Lock()
			before := earlier[r.Conn]
			earlier[r.Conn] = id
			mu.Unlock()
			if before == "" {
				c.WriteString(refusalsOf(id)[form])
				return
			}
			ran.add(id)
			own := rawResponse(200, id, "answer of "+id, signed)
			if stream {
				own = streamHead(id) + chunk(events(1, 2)) + "0\r\n\r\n"
			}
			write(c, refusalsOf(before)[form], own)
		}
	}
	s := newTestProxy(t, func(r *conf.Route) {
		unsafeOnce(r)
		if stream {
			r.Kind = conf.Stream
		}
		r.Timeout = 500
	}, rawup.New(t, handle()), rawup.New(t, handle()))
	for i := range 6 {
		id := fmt.Sprint("id", i)
		ran.check(t, id, s.do(s.request("/x/", id)))
	}
}

// Guards against the same where the earlier refusal is that of the request itself: it was refused with a pause, and is sent again to the
// same upstream over the kept connection.
func TestRepeatedRefusalOfTheSameRequestIsNotTakenForTheAnswer(t *testing.T) {
	ran := &runs{n: map[string]int{}}
	var mu sync.Mutex
	refusedOn := map[string]int{} // connection on which a request was refused
	handle := func(c *rawup.Conn, r *rawup.Request) {
		id := r.Header.Get("Berylledge-Request")
		refusal := rawResponse(503, id, "", "Berylledge-Not-Run: 1", "Retry-After: 0.05")
		mu.Lock()
		conn, again := refusedOn[id]
		if !again {
			refusedOn[id] = r.Conn
		}
		mu.Unlock()
		if !again {
			c.WriteString(refusal)
			return
		}
		ran.add(id)
		if conn == r.Conn {
			c.WriteString(refusal)
		}
		c.WriteString(rawResponse(200, id, "ok", signed))
	}
	s := newTestProxy(t, func(r *conf.Route) {
		unsafeOnce(r)
		r.Attempts = 4
	}, rawup.New(t, handle))
	for i := range 4 {
		id := fmt.Sprint("id", i)
		ran.check(t, id, s.do(s.request("/x/", id)))
	}
}
