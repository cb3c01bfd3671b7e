package procs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/test/fake"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/pkg/caller"
)

// Guards against lost, doubled, reordered or exchanged parts of answers over real processes: 1,000 concurrent requests,
// each resumed after a random event by a caller that drops its connection, each submitted twice under one id, while
// engines break, reorder and double their streams.
func TestThousandConcurrentAnswersAreWhole(t *testing.T) {
	s := startSystem(t)
	s.upstreams["gen-1"].behave(fake.Behaviour{BreakStreamEvery: 9, Disorder: true})
	s.upstreams["gen-2"].behave(fake.Behaviour{Duplicate: true, Disorder: true})
	rng := rand.New(rand.NewPCG(3, 3))
	var wg sync.WaitGroup
	var resumed atomic.Int64
	for i := range 1000 {
		address, cutAfter := s.nodes[i%3].address, 1+rng.IntN(tokens)
		wg.Go(func() {
			input := fmt.Sprintf("pond %d", i)
			body, _ := json.Marshal(caller.Submit{ID: fmt.Sprint(i), Pipeline: "ask", Rank: "normal", Input: input})
			a := &reader{address: address, id: fmt.Sprint(i)}
			b := &reader{address: address, id: fmt.Sprint(i)}
			var both sync.WaitGroup
			both.Go(func() { a.read(body, cutAfter) })
			both.Go(func() { b.read(body, 0) })
			both.Wait()
			resumed.Add(int64(a.resumes))
			for _, r := range []*reader{a, b} {
				if r.err != nil || r.text != expected(input) {
					t.Errorf("request %d: %v; %d bytes", i, r.err, len(r.text))
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d streams were resumed", resumed.Load())
}

// reader reads one answer over raw HTTP.
type reader struct {
	address, id string
	text        string
	last        int
	resumes     int
	ended       bool
	err         error
}

func (r *reader) read(body []byte, cutAfter int) {
	r.err = r.stream(http.MethodPost, caller.PathRequests, body, cutAfter)
	for r.err == nil && !r.ended {
		r.resumes++
		r.err = r.stream(http.MethodGet, caller.PathRequests+"/"+r.id, nil, 0)
	}
}

func (r *reader) stream(method, path string, body []byte, cutAfter int) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadlineMS*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+r.address+path, bytes.NewReader(body))
	req.Header.Set(caller.HeaderTeam, "crew")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set("Last-Event-ID", strconv.Itoa(r.last))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var refusal caller.Refusal
		_ = json.NewDecoder(resp.Body).Decode(&refusal)
		return &refusal
	}
	var failed error
	err = httpd.ReadEvents(resp.Body, func(id, name, data string) bool {
		n, _ := strconv.Atoi(id)
		if n != r.last+1 {
			failed = errors.Newf("event %d after %d", n, r.last)
			return false
		}
		r.last = n
		switch name {
		case caller.EventToken:
			var token caller.Token
			failed = json.Unmarshal([]byte(data), &token)
			r.text += token.Text
		case caller.EventEnd:
			r.ended = true
		case caller.EventError:
			failed = errors.New(data)
		}
		return failed == nil && (cutAfter == 0 || n < cutAfter)
	})
	if failed != nil {
		return failed
	}
	return err
}

// Guards against a planned stop that cuts off a request or refuses one while an answer that names the VM is valid: each
// node is stopped by SIGTERM in turn under load and started again.
func TestStopOfEachNodeCutsOffNothing(t *testing.T) {
	s := startSystem(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	var sent atomic.Int64
	for w := range 12 {
		c := s.client("crew")
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				input := fmt.Sprintf("worker %d request %d", w, i)
				a, err := c.Do(context.Background(), caller.Submit{Pipeline: "ask", Rank: "urgent", Input: input}, func(e caller.Event) {
					if e.Try > 1 {
						t.Errorf("%s was sent again: it was cut off or refused", input)
					}
				})
				if err != nil || a.Output != expected(input) {
					t.Errorf("%s: %v", input, err)
				}
				sent.Add(1)
			}
		})
	}
	for i, n := range s.nodes {
		n.signal(syscall.SIGTERM)
		assert.Equal(t, n.exit(), 0, n.name)
		s.nodes[i] = startNode(t, n.name, n.args...)
		s.awaitReady(s.nodes[i])
	}
	stop()
	wg.Wait()
	t.Logf("%d requests", sent.Load())
}

// Guards against work that is lost or repeated when a node is killed: idempotent requests succeed through another node,
// and no booking runs twice however often it is resent.
func TestKilledNodeLosesNoReadAndRepeatsNoBooking(t *testing.T) {
	s := startSystem(t)
	s.upstreams["gen-1"].behave(fake.Behaviour{Slowdown: 10})
	s.upstreams["gen-2"].behave(fake.Behaviour{Slowdown: 10})
	var wg sync.WaitGroup
	var settled, unknown, refused atomic.Int64
	created := time.Now().UnixMilli()
	started := make(chan struct{}, 1000)
	for i := range 40 {
		c := s.client("crew")
		wg.Go(func() {
			input := fmt.Sprintf("read %d", i)
			a, err := c.Do(context.Background(), caller.Submit{Pipeline: "ask", Rank: "urgent", Input: input}, func(caller.Event) {
				select {
				case started <- struct{}{}:
				default:
				}
			})
			if err != nil || a.Output != expected(input) {
				t.Errorf("%s: %v", input, err)
			}
		})
		wg.Go(func() {
			b := caller.Submit{
				Pipeline: "ask", Rank: "urgent", Input: fmt.Sprintf("booking %d", i), Params: map[string]string{"book": "yes"},
				IdempotencyKey: fmt.Sprint(i), KeyCreatedMS: created,
			}
			for {
				_, err := c.Do(context.Background(), b, nil)
				var refusal *caller.Refusal
				if err == nil {
					settled.Add(1)
					return
				}
				if !errors.As(err, &refusal) {
					t.Errorf("booking %d: %v", i, err)
					return
				}
				if refusal.Ran != caller.NotRun {
					unknown.Add(1)
					return
				}
				if n := s.upstreams["book"].counts().Keys["crew/"+b.IdempotencyKey]; n != 0 {
					t.Errorf("booking %d was refused as not run and ran %d times: %v", i, n, err)
				}
				refused.Add(1)
			}
		})
	}
	<-started
	s.nodes[0].signal(syscall.SIGKILL)
	wg.Wait()
	for key, n := range s.upstreams["book"].counts().Keys {
		assert.Equal(t, n, 1, "key %s", key)
	}
	t.Logf("bookings: %d settled, %d unknown or in progress, %d refused as not run and sent again", settled.Load(), unknown.Load(), refused.Load())
}

// Guards against new work for an upstream later than 3 s after it said that it leaves, or after the lease of one that
// went silent, from any node.
func TestLeavingAndSilentUpstreamsGetNoNewWork(t *testing.T) {
	s := startSystem(t)
	leaves := s.upstreams["gen-1"]
	resp, err := http.Post("http://"+leaves.address+fake.PathLeave, "application/json", nil)
	assert.NilError(t, err)
	resp.Body.Close()
	left := time.Now()
	const lease = 3 * time.Second // the default of the fake
	silent := startFake(t, "gen-3", s.nodes[0].address, "--kind", "engine", "--model", "pond", "--slots", "64")
	// Several requests at a time, because a new engine gets little work while the others are idle.
	ask := func(input string) {
		var wg sync.WaitGroup
		for i := range 24 {
			n := s.nodes[i%len(s.nodes)]
			a := &reader{address: n.address, id: fmt.Sprint(input, i)}
			wg.Go(func() {
				body, _ := json.Marshal(caller.Submit{ID: a.id, Pipeline: "ask", Rank: "urgent", Input: input})
				if a.read(body, 0); a.err != nil {
					t.Errorf("%s: %v", a.id, a.err)
				}
			})
		}
		wg.Wait()
	}
	for i := 0; silent.counts().Calls == 0; i++ {
		assert.Assert(t, i < 200, "the new engine got no work")
		ask(fmt.Sprintf("before %d", i))
	}
	silent.behave(fake.Behaviour{Silent: true})
	quiet := time.Now()
	for i := 0; time.Since(quiet) < lease+2*time.Second; i++ {
		ask(fmt.Sprintf("after %d", i))
	}
	bound := left.Add(3 * time.Second).UnixNano()
	assert.Assert(t, leaves.counts().LastCallNS <= bound, "work %d ms after the announcement", (leaves.counts().LastCallNS-left.UnixNano())/1e6)
	// A renewal may have been under way when the upstream fell silent; the relay counts the lease from the renewal.
	bound = quiet.Add(lease).UnixNano()
	assert.Assert(t, silent.counts().LastCallNS <= bound, "work %d ms after it fell silent", (silent.counts().LastCallNS-quiet.UnixNano())/1e6)
}

// Guards against callers that are sent to a node which has just been started, because it knows no other one yet: it refused their
// requests, which were then sent again.
func TestRestartedNodeIsNotGivenBeforeItKnowsTheOthers(t *testing.T) {
	s := startSystem(t)
	first := s.nodes[0]
	for range 5 {
		first.signal(syscall.SIGKILL)
		first.exit()
		given := make(chan string, 1)
		go func() { given <- firstGiven(t.Context(), first.address) }()
		first = startNode(t, first.name, first.args...)
		assert.Assert(t, <-given != first.address, "it gave itself")
	}
}

// firstGiven asks a node which one to use until it answers.
func firstGiven(ctx context.Context, address string) string {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + address + caller.PathEntry)
		if err != nil {
			continue
		}
		var e caller.Entry
		_ = json.NewDecoder(resp.Body).Decode(&e) // without an address in case of a refusal
		resp.Body.Close()
		if e.Address != "" {
			return e.Address
		}
	}
	return ""
}
