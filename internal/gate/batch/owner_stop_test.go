package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/test/rawup"
)

// Guards against a request that is refused because the owner of a queue stops: while its connections were still open,
// it reported the pieces as late instead of leaving them to the next node.
func TestANodeThatStopsDoesNotSayThatPiecesAreLate(t *testing.T) {
	release := make(chan bool)
	called := make(chan bool)
	_, b, _ := newPair(t, func(*rawup.Conn, *rawup.Request) {
		close(called)
		<-release
	})
	defer close(release)
	q := message{Service: "s", Region: "n"}
	q.pack(jobs(1), time.Now())
	body, err := cbor.Marshal(q)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	go func() {
		<-called
		stop()
	}()
	_, err = b.Handle(ctx, body)
	assert.ErrorIs(t, err, errStopping)
}

// The owner of a queue is cut off during a call, and another node takes over the queue, so that both are active for a
// while, as other systems have reported for hand-overs between two processes. The pieces run twice, which the protocol
// allows. The request must get each result once, and the results of the old owner must not occupy the upstream's
// memory.
func TestTheLateCallOfAnOldOwnerIsFreed(t *testing.T) {
	hold := make(chan bool)
	release := sync.OnceFunc(func() { close(hold) })
	defer release() // also when the test fails, so that the upstream ends
	var mu sync.Mutex
	calls, freed := 0, map[string]bool{}
	a, b, _ := newPair(t, func(c *rawup.Conn, r *rawup.Request) {
		var body struct{ Handles []string }
		assert.Check(t, json.Unmarshal(r.Body, &body))
		mu.Lock()
		for _, h := range body.Handles {
			freed[h] = true
		}
		if len(body.Handles) == 0 {
			calls++
		}
		call := calls
		mu.Unlock()
		if len(body.Handles) > 0 {
			c.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			return
		}
		if call == 1 { // the old owner's
			<-hold
		}
		text := `{"items":[`
		for i := range items(r) {
			if i > 0 {
				text += ","
			}
			text += fmt.Sprintf(`{"handle":"call%d-%d"}`, call, i)
		}
		text += "]}"
		c.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
	})
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return calls
	}
	done := make(chan []JobResult, 1)
	go func() {
		made, err := a.Run(t.Context(), "s", "n", jobs(4))
		assert.Check(t, err)
		done <- made
	}()
	waitFor(t, "the old owner calls the upstream", func() bool { return count() == 1 })
	b.hub.Close()
	made := <-done
	var handles []string
	for _, m := range made {
		assert.Equal(t, m.Owner, a.Self())
		handles = append(handles, m.Handle)
	}
	slices.Sort(handles)
	assert.DeepEqual(t, handles, []string{"call2-0", "call2-1", "call2-2", "call2-3"})
	release()
	waitFor(t, "the late results are freed", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return freed["call1-0"] && freed["call1-1"] && freed["call1-2"] && freed["call1-3"]
	})
	mu.Lock()
	defer mu.Unlock()
	for _, h := range handles {
		assert.Assert(t, !freed[h], "%s is in use", h)
	}
}
