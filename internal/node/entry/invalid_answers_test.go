package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/node/entry"
	"github.com/berylledge/berylledge/internal/test/inmem"
	"github.com/berylledge/berylledge/internal/test/rawup"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// rawBench is a node whose upstreams answer byte for byte.
type rawBench struct {
	node   *entry.Node
	events *event.Log
	client *caller.Client
}

// startRaw starts a node with a pipeline for each kind of work: "once" may run once, "again" may be repeated, "talk" is a stream, "long"
// sends the large output of one stage to the next.
func startRaw(t *testing.T) *rawBench {
	t.Helper()
	b := &rawBench{events: event.New(event.Options{Node: "e1", Clock: clock.Real()})}
	var err error
	b.node, err = entry.New(entry.Options{
		Node: "e1", DataCentre: "a", Region: "r", Address: "127.0.0.1:0", Clock: clock.Real(), Events: b.events, Ledger: inmem.New(),
	})
	assert.NilError(t, err)
	t.Cleanup(b.node.Close)
	cfg := testConfig()
	cfg.Pipelines = []fleet.Pipeline{
		{Name: "once", DeadlineMS: 5000, Stages: []fleet.Stage{{Name: "s", Kind: fleet.Call, Service: "s", NotRepeatable: true}}},
		{Name: "again", DeadlineMS: 5000, Stages: []fleet.Stage{{Name: "s", Kind: fleet.Call, Service: "s"}}},
		{Name: "talk", DeadlineMS: 5000, Stages: []fleet.Stage{{Name: "g", Kind: fleet.Generate, Model: "m", MaxTokens: 4}}},
		{Name: "long", DeadlineMS: 20000, Stages: []fleet.Stage{
			{Name: "make", Kind: fleet.Encode}, {Name: "g", Kind: fleet.Generate, Model: "m", MaxTokens: 4},
		}},
	}
	b.node.SetConfig(1, cfg, 1)
	b.client = caller.New(caller.Options{Seeds: []string{b.node.Address()}, Team: "crew"})
	t.Cleanup(b.client.Close)
	return b
}

func (b *rawBench) announce(t *testing.T, id, address string, kind upapi.Kind, name string) {
	t.Helper()
	a := upapi.Announce{ID: id, Incarnation: 1, Kind: kind, Address: address, DataCentre: "a", Region: "r", Slots: 8, LeaseMS: 60_000}
	if kind == upapi.KindEngine {
		a.Models = []string{name}
	} else {
		a.Services = []string{name}
	}
	body, err := json.Marshal(a)
	assert.NilError(t, err)
	resp, err := http.Post("http://"+b.node.Address()+upapi.PathAnnounce, "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func (b *rawBench) do(t *testing.T, pipeline string) (*caller.Answer, error) {
	t.Helper()
	return b.doUnder(t, pipeline, "k")
}

// doUnder sends a request with an idempotency key, if the pipeline needs one.
func (b *rawBench) doUnder(t *testing.T, pipeline, key string) (*caller.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // well above the deadline of the pipelines
	defer cancel()
	s := caller.Submit{Pipeline: pipeline, Rank: "urgent", Input: "x"}
	if pipeline == "once" {
		s.IdempotencyKey, s.KeyCreatedMS = key, keyCreated
	}
	return b.client.Do(ctx, s, nil)
}

func (b *rawBench) failures(upstream string) int {
	return len(b.events.Select(event.Filter{Name: "attempt_failed", Upstream: upstream}))
}

func workOf(r *rawup.Request) (w upapi.Work) {
	_ = json.Unmarshal(r.Body, &w)
	return w
}

func result(r *rawup.Request, output string) string {
	text, _ := json.Marshal(upapi.StageResult{Work: workOf(r), Output: output})
	return string(text)
}

// chunk is an event with one part of a stream.
func chunk(w upapi.Work, offset int) string {
	text, _ := json.Marshal(upapi.Chunk{Choices: []upapi.Choice{{Text: fmt.Sprint(offset)}}, Ext: upapi.Extension{Work: w, Offset: offset}})
	return "data: " + string(text) + "\n\n"
}

// wholeStream is a stream of four chunks from a given one.
func wholeStream(w upapi.Work, from int) string {
	var b strings.Builder
	for i := from; i < 4; i++ {
		b.WriteString(chunk(w, i))
	}
	end, _ := json.Marshal(upapi.Chunk{Ext: upapi.Extension{Work: w, End: true, Count: 4}})
	return b.String() + "data: " + string(end) + "\n\ndata: [DONE]\n\n"
}

func withLength(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Guards against answers with an impossible status that are believed when they say that the work has not run, that hold a request
// beyond its deadline, or that are followed to another address, where the work runs again.
func TestInvalidStatusOfAnUpstreamIsAFailure(t *testing.T) {
	for _, status := range []string{
		"000 ", "+20 ", "99 ", "101 Switching Protocols", "600 ", "999 ", "1000 ", "abc ", "307 Temporary Redirect", "308 Permanent Redirect",
	} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			b := startRaw(t)
			ran := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) { c.WriteString(withLength("200 OK", result(r, "ok"))) })
			bad := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
				answer := withLength(status, `{"code":"not_started","message":"x"}`)
				c.WriteString(strings.Replace(answer, "\r\n", "\r\nConnection: Upgrade\r\nUpgrade: x\r\nLocation: http://"+ran.Address+upapi.PathStage+"\r\n", 1))
				c.Await() // the connection stays open
			})
			b.announce(t, "bad", bad.Address, upapi.KindService, "s")
			_, err := b.do(t, "once")
			refused := refusalOf(t, err)
			assert.Equal(t, refused.Code, caller.CodeUpstreamFailed, "%v", refused)
			assert.Equal(t, refused.ProtectedRan, caller.RanUnknown, "%v", refused)
			assert.Equal(t, b.failures("bad"), 1)
			assert.Equal(t, len(bad.Requests()), 1)
			assert.Equal(t, len(ran.Requests()), 0)
		})
	}
}

// Guards against work that may be repeated and is given up after an impossible status.
func TestWorkIsRepeatedAfterAnInvalidStatus(t *testing.T) {
	for _, status := range []string{"000 ", "101 Switching Protocols", "204 No Content", "304 Not Modified", "600 ", "abc "} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			b := startRaw(t)
			var answered atomic.Bool
			for _, id := range []string{"u1", "u2"} {
				up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
					if answered.CompareAndSwap(false, true) {
						c.WriteString(withLength(status, result(r, "bad")))
						c.Await() // the connection stays open
						c.End()
						return
					}
					c.WriteString(withLength("200 OK", result(r, "ok")))
				})
				b.announce(t, id, up.Address, upapi.KindService, "s")
			}
			a, err := b.do(t, "again")
			assert.NilError(t, err)
			assert.Equal(t, a.Output, "ok")
			assert.Equal(t, b.failures("u1")+b.failures("u2"), 1)
		})
	}
}

// Guards against work that may run only once and is said not to have run, because a late second copy of the answer to another request
// comes before its own.
func TestLateSecondCopyOfAnErrorReachesNoWorkThatRunsOnce(t *testing.T) {
	for _, first := range []string{"once", "again"} { // the answer to work that may be repeated can be late as well
		b := startRaw(t)
		refused := withLength("503 Service Unavailable", `{"code":"not_started","message":"x"}`)
		var mu sync.Mutex
		copies := map[int]bool{} // connections on which a request was refused
		up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case len(copies) == 0:
				copies[r.Conn] = true
				c.WriteString(refused)
			case copies[r.Conn]:
				c.WriteString(refused + withLength("200 OK", result(r, "ok")))
			default:
				c.WriteString(withLength("200 OK", result(r, "ok")))
			}
		})
		b.announce(t, "u1", up.Address, upapi.KindService, "s")
		_, err := b.doUnder(t, first, "k1")
		if first == "once" {
			assert.Equal(t, refusalOf(t, err).ProtectedRan, caller.NotRun)
		}
		a, err := b.doUnder(t, "once", "k2")
		assert.NilError(t, err)
		assert.Equal(t, a.Output, "ok")
	}
}

// Guards against a part of an answer that counts as whole, whatever ends it.
func TestPartOfAnUpstreamsAnswerIsNotWhole(t *testing.T) {
	for name, head := range map[string]string{
		"no length":            "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0":             "HTTP/1.0 200 OK\r\n\r\n",
		"HTTP/1.0 and chunks":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"length beside chunks": "HTTP/1.1 200 OK\r\nContent-Length: 20\r\nTransfer-Encoding: chunked\r\n\r\n%s",
		"length":               "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			part := func(text string) string {
				if strings.HasSuffix(head, "%s") {
					return fmt.Sprintf(head, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text))
				}
				return head + text
			}
			b := startRaw(t)
			var called, generated atomic.Bool
			bad := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
				if called.CompareAndSwap(false, true) {
					text := result(r, "a long output")
					c.WriteString(part(text[:len(text)-4]))
					c.End()
					return
				}
				c.WriteString(withLength("200 OK", result(r, "ok")))
			})
			b.announce(t, "s1", bad.Address, upapi.KindService, "s")
			a, err := b.do(t, "again")
			assert.NilError(t, err)
			assert.Equal(t, a.Output, "ok")
			assert.Equal(t, b.failures("s1"), 1)

			gen := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
				var want upapi.Completion
				if r.URL.Path != upapi.PathCompletions || json.Unmarshal(r.Body, &want) != nil {
					c.WriteString(withLength("200 OK", "{}"))
					return
				}
				if generated.CompareAndSwap(false, true) {
					events := chunk(want.Work, 0) + chunk(want.Work, 1)
					c.WriteString(part(events[:len(events)-8])) // the second one is cut
					c.End()
					return
				}
				c.WriteString("HTTP/1.1 200 OK\r\n\r\n" + wholeStream(want.Work, want.ResumeFrom))
				c.End()
			})
			b.announce(t, "g1", gen.Address, upapi.KindEngine, "m")
			a, err = b.do(t, "talk")
			assert.NilError(t, err)
			assert.Equal(t, a.Output, "0123")
			assert.Equal(t, b.failures("g1"), 1)
		})
	}
}

// Guards against the part of a stream that counts as whole when the engine answers before it has read the request, and resets the
// connection while that is still being written: the kernel may report the reset to the writer alone.
func TestEarlyStreamThatIsResetIsNotWhole(t *testing.T) {
	const long = 7 << 20 // more than the socket buffers hold, less than a stage may return
	b := startRaw(t)
	maker := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(withLength("200 OK", result(r, strings.Repeat("x", long))))
	})
	b.announce(t, "maker", maker.Address, upapi.KindEncoder, "encode")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			begin := make([]byte, 1024)
			n, _ := io.ReadAtLeast(c, begin, 400)
			_, text, _ := strings.Cut(string(begin[:n]), "\r\n\r\n")
			// The body begins with the work.
			var id string
			if _, after, ok := strings.Cut(text, `"request_id":"`); ok {
				id, _, _ = strings.Cut(after, `"`)
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+chunk(upapi.Work{RequestID: id, Stage: "g", Attempt: 1}, 0))
			rawup.AwaitRead(t, c) // else the reset would discard the part
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	b.announce(t, "early", l.Addr().String(), upapi.KindEngine, "m")
	a, err := b.do(t, "long")
	assert.Assert(t, err != nil, "%v counts as whole", a)
	assert.Equal(t, refusalOf(t, err).Code, caller.CodeUpstreamFailed, "%v", err)
	assert.Assert(t, b.failures("early") > 0)
}
