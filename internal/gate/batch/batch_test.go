package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
	"github.com/berylledge/berylledge/internal/test/rawup"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// node is a batcher with its hub.
type node struct {
	*Batcher
	hub *peer.Hub
}

// newPair starts two batchers that see each other and one stage upstream.
func newPair(t *testing.T, answer func(*rawup.Conn, *rawup.Request)) (a, b *node, up *rawup.Upstream) {
	t.Helper()
	up = rawup.New(t, answer)
	cfg := &conf.Config{Services: []conf.Service{{Name: "s", Pool: &conf.Pool{Slots: 1, Queue: 2, Batch: 4, CallTime: 20, ResultMemoryMB: 1, HandleTTL: 4000}}}}
	view := &poller.View{Table: conf.NewTable(cfg), Services: map[string][]roster.Upstream{
		"s": {{ID: "u1", Service: "s", Address: up.Address, DataCentre: "a", State: roster.Ready}},
	}}
	start := func(name string) *node {
		n := &node{}
		c := clock.Real()
		events := event.New(event.Options{Node: name, Clock: c})
		ready := make(chan struct{})
		hub, err := peer.New(peer.Options{
			ID: name, Address: "127.0.0.1:0", Clock: c, Events: events,
			Handle: func(ctx context.Context, _ string, _ peer.Kind, body []byte) ([]byte, error) {
				<-ready
				return n.Handle(ctx, body)
			},
		})
		assert.NilError(t, err)
		n.hub = hub
		pool := upcon.New(upcon.Options{Clock: c})
		n.Batcher = New(Options{
			Node: name, Peer: hub.Address(), RegionOf: map[string]string{"a": "n"}, Dialect: proto.Own(), Clock: c, Events: events,
			View: func() *poller.View { return view }, Hub: hub, Pool: pool,
		})
		close(ready)
		t.Cleanup(func() {
			n.Close()
			pool.Close()
		})
		view.Entries = append(view.Entries, roster.Entry{Node: name, Peer: hub.Address(), DataCentre: "a", Region: "n", Ready: true})
		return n
	}
	a, b = start("e1"), start("e2")
	if a.Owner("s", "n") == a.Self() {
		a, b = b, a // b owns the queue
	}
	t.Cleanup(func() {
		a.hub.Close()
		b.hub.Close()
	})
	return a, b, up
}

func items(r *rawup.Request) int {
	var body struct{ Items []any }
	if json.Unmarshal(r.Body, &body) != nil {
		return 0
	}
	return len(body.Items)
}

// answerWithHandles responds to a call with a handle for each piece, and to a call that frees results.
func answerWithHandles(c *rawup.Conn, r *rawup.Request) {
	list := ""
	for i := range items(r) {
		if i > 0 {
			list += ","
		}
		list += fmt.Sprintf(`{"handle":"h%d"}`, i)
	}
	body := `{"items":[` + list + `]}`
	c.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

func jobs(n int) []stage.Job {
	var out []stage.Job
	for i := range n {
		out = append(out, stage.Job{
			Item: stage.Item{Request: "r", Piece: i, Key: "k"}, Bytes: 10, Due: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute),
		})
	}
	return out
}

// waitFor polls a condition until it holds, and fails the test after 10 seconds.
func waitFor(t *testing.T, what string, check func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for !check() {
		if clock.Sleep(ctx, clock.Real(), 5*time.Millisecond) != nil {
			t.Fatal(what)
		}
	}
}

// Guards against running the pieces of one request in several small calls, and against results that occupy an
// upstream's memory after their request has ended.
func TestPiecesAreHandedToTheOwnerAndFreed(t *testing.T) {
	a, b, up := newPair(t, answerWithHandles)
	made, err := a.Run(t.Context(), "s", "n", jobs(4))
	assert.NilError(t, err)
	assert.Equal(t, len(made), 4)
	assert.Equal(t, made[2].Handle, "h2")
	assert.Equal(t, made[2].Owner, b.Self())
	assert.Equal(t, len(up.Requests()), 1)
	assert.Equal(t, up.Requests()[0].Header.Get("Berylledge-Upstream"), "u1")
	a.Free("s", made[0].Owner, []ResultRef{{made[0].Handle, made[0].Upstream}})
	waitFor(t, "the result is freed", func() bool { return len(up.Requests()) == 2 })
	assert.Equal(t, string(up.Requests()[1].Body), `{"handles":["h0"]}`)
}

// Guards against load headers that are not read, and against invalid ones that harm the call or count.
func TestLoadHeaderReachesTheQueue(t *testing.T) {
	for header, want := range map[string]int{"": 0, "0,0,1": 0, "0,0,1,250": 1, "0,0,1,-1": 0, "x": 0} {
		_, b, _ := newPair(t, func(c *rawup.Conn, r *rawup.Request) {
			body := `{"items":[{"handle":"h0"}]}`
			c.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\nBerylledge-Load: %s\r\nContent-Length: %d\r\n\r\n%s", header, len(body), body))
		})
		made, err := b.Run(t.Context(), "s", "n", jobs(1))
		assert.NilError(t, err)
		assert.Equal(t, made[0].Handle, "h0")
		assert.Equal(t, b.Queues()[0].Reporting, want, "%q", header)
	}
}

// Guards against results that occupy an upstream's memory because the node that accounted for them has restarted.
func TestUnknownResultsAreFreedAtTheirUpstream(t *testing.T) {
	_, b, up := newPair(t, answerWithHandles)
	b.Free("s", b.Self(), []ResultRef{{"lost", "u1"}})
	waitFor(t, "the result is freed", func() bool { return len(up.Requests()) == 1 })
	assert.Equal(t, string(up.Requests()[0].Body), `{"handles":["lost"]}`)
}

// Guards against pieces of a dead node that displace others in the queue of another node.
func TestPiecesOfADeadNodeAreDropped(t *testing.T) {
	release := make(chan bool)
	a, b, up := newPair(t, func(c *rawup.Conn, r *rawup.Request) {
		<-release
		answerWithHandles(c, r)
	})
	ended := make(chan bool)
	go func() {
		_, _ = a.Run(t.Context(), "s", "n", jobs(9)) // ends with the hub
		close(ended)
	}()
	queued := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		if q := b.queues[queueKey{"s", "n"}]; q != nil {
			return q.Len()
		}
		return -1
	}
	waitFor(t, "five pieces wait beside a call of four", func() bool { return queued() == 5 && len(up.Requests()) == 1 })
	a.hub.Close()
	waitFor(t, "the pieces are dropped", func() bool { return queued() == 0 })
	close(release)
	a.Close()
	<-ended
}

// Guards against a handle of a faulty upstream that would be sent as a list of handles, or as another header.
func TestCallWithAnOddHandleHasFailed(t *testing.T) {
	var calls atomic.Int64
	a, _, up := newPair(t, func(c *rawup.Conn, r *rawup.Request) {
		if calls.Add(1) > 1 {
			answerWithHandles(c, r)
			return
		}
		body := `{"items":[{"handle":"h0,h1"}]}`
		c.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	})
	made, err := a.Run(t.Context(), "s", "n", jobs(1))
	assert.NilError(t, err)
	assert.Equal(t, made[0].Handle, "h0")
	assert.Equal(t, len(up.Requests()), 2)
}

// Guards against an upstream in trouble whose answer to a call never ends and is kept in memory.
func TestCallAnswerWithoutEndIsGivenUp(t *testing.T) {
	const tooMuch = 32 << 20 // bytes; exceeds the limit plus the buffers of two sockets
	var taken, calls atomic.Int64
	a, _, _ := newPair(t, func(c *rawup.Conn, r *rawup.Request) {
		if calls.Add(1) > 1 {
			answerWithHandles(c, r)
			return
		}
		c.WriteString("HTTP/1.1 200 OK\r\n\r\n{\"items\":[{\"handle\":\"")
		for part := []byte(strings.Repeat("a", 64<<10)); taken.Load() < tooMuch; {
			n, err := c.Write(part)
			taken.Add(int64(n))
			if err != nil {
				break
			}
		}
		c.End()
	})
	made, err := a.Run(t.Context(), "s", "n", jobs(1))
	assert.NilError(t, err)
	assert.Equal(t, made[0].Handle, "h0")
	assert.Assert(t, taken.Load() < tooMuch, "%d bytes were taken", taken.Load())
}

// repeatingUpstream answers each call twice: the second time just before the next answer on the connection.
type repeatingUpstream struct {
	apart  bool // the next answer follows only once the copy was read
	answer func(call int64) string

	calls atomic.Int64
	mu    sync.Mutex
	last  map[net.Conn]string
}

func (u *repeatingUpstream) serve(c *rawup.Conn, _ *rawup.Request) {
	body := u.answer(u.calls.Add(1))
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	u.mu.Lock()
	copied := u.last[c.Conn]
	u.last[c.Conn] = answer
	u.mu.Unlock()
	if !u.apart || copied == "" {
		c.WriteString(copied + answer)
		return
	}
	c.WriteString(copied)
	awaitUse(c)
	c.WriteString(answer)
}

// awaitUse waits until the node closes the connection or uses it again, which shows that it took the copy for an answer. No verdict
// depends on the time: it only bounds the wait for a node that does neither.
func awaitUse(c *rawup.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	c.Await()
	_ = c.SetReadDeadline(time.Time{})
}

// Guards against a late second copy of an answer that is taken for the answer to the next call on the connection, and against a true
// answer that follows the copy and is taken for the one after: requests would run with the results of others.
func TestRepeatedAnswerIsNotTakenForTheNextCalls(t *testing.T) {
	handle := func(call int64) string { return fmt.Sprintf(`{"items":[{"handle":"h%d"}]}`, call) }
	everySecond := func(call int64) string {
		if call%2 == 1 {
			return `{"items":[{"reason":"gone"}]}`
		}
		return handle(call)
	}
	for name, u := range map[string]*repeatingUpstream{
		"together":             {answer: handle},
		"apart":                {answer: handle, apart: true},
		"together, no results": {answer: everySecond},
		"apart, no results":    {answer: everySecond, apart: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u.last = map[net.Conn]string{}
			a, _, up := newPair(t, u.serve)
			seen := map[string]bool{}
			for i := range 6 {
				one := jobs(1)
				one[0].Request = fmt.Sprint("r", i)
				made, err := a.Run(t.Context(), "s", "n", one)
				assert.NilError(t, err)
				if made[0].Handle == "" {
					continue
				}
				assert.Assert(t, !seen[made[0].Handle], "%s is the result of another request", made[0].Handle)
				seen[made[0].Handle] = true
				call := int64(0)
				_, err = fmt.Sscanf(made[0].Handle, "h%d", &call)
				assert.NilError(t, err)
				assert.Equal(t, requestOf(t, up.Requests()[call-1]), one[0].Request, "the result was made for another request")
			}
			assert.Assert(t, len(seen) > 0)
		})
	}
}

// requestOf returns the request whose piece a call asks for.
func requestOf(t *testing.T, r *rawup.Request) string {
	t.Helper()
	var body struct {
		Items []struct{ Request string }
	}
	assert.NilError(t, json.Unmarshal(r.Body, &body))
	return body.Items[0].Request
}
