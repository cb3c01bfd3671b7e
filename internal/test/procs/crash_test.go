package procs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/test/fake"
	"github.com/berylledge/berylledge/pkg/caller"
)

// rankers is a pool of reranker processes that exit on poisonous content and are started again.
type rankers struct {
	s       *system
	crashes atomic.Int64
	ended   bool
	wg      sync.WaitGroup
	mu      sync.Mutex
	running map[string]*upstream
}

func (r *rankers) start(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.watch(id, startFake(r.s.t, id, r.s.nodes[0].address, "--kind", "reranker", "--service", "rerank", "--slots", "64"))
}

// watch counts the crash of a process and starts another one. The caller holds the lock.
func (r *rankers) watch(id string, u *upstream) {
	u.behave(fake.Behaviour{CrashOn: "poison"})
	r.running[id] = u
	r.wg.Go(func() {
		<-u.exited
		r.crashes.Add(1)
		_ = clock.Sleep(context.Background(), clock.Real(), 300*time.Millisecond) // a process does not come back at once
		r.start(id)
	})
}

// stop ends the processes before the test does, so that none is started again.
func (r *rankers) stop() {
	r.mu.Lock()
	r.ended = true
	for _, u := range r.running {
		u.signal(syscall.SIGKILL)
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func submit(t *testing.T, n *node, input string) *caller.Refusal {
	body, _ := json.Marshal(caller.Submit{Pipeline: "ask", Rank: "normal", Input: input})
	req, _ := http.NewRequest(http.MethodPost, "http://"+n.address+caller.PathRequests, bytes.NewReader(body))
	req.Header.Set(caller.HeaderTeam, "crew")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Errorf("%s: %v", input, err)
		return nil
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	ref := &caller.Refusal{}
	if err := json.NewDecoder(resp.Body).Decode(ref); err != nil {
		t.Errorf("%s: %v", input, err)
	}
	return ref
}

// Guards against a poisonous request that takes down more than 2 upstream processes when it is sent 50 times through
// three entry nodes, one after the other or at once, beside 50 innocent requests, and against innocent ones that are
// quarantined or never answered. Reports, grants and news travel over the real control group.
func TestPoisonTakesDownTwoProcesses(t *testing.T) {
	s := startSystem(t)
	r := &rankers{s: s, running: map[string]*upstream{}}
	for i := range 8 {
		r.start(fmt.Sprint("ranker-", i))
	}
	r.mu.Lock()
	r.watch("rank", s.upstreams["rank"])
	r.mu.Unlock()
	defer r.stop()
	for _, n := range s.nodes {
		s.awaitReady(n)
	}
	for _, atOnce := range []bool{false, true} {
		t.Run(fmt.Sprintf("at_once=%v", atOnce), func(t *testing.T) {
			before := r.crashes.Load()
			poison := fmt.Sprint("poison at_once=", atOnce)
			var wg sync.WaitGroup
			var served, again, quarantined atomic.Int64
			for i := range 50 {
				wg.Go(func() {
					for try := range 100 {
						ref := submit(t, s.nodes[(i+try)%3], fmt.Sprint("innocent ", i, atOnce))
						if ref == nil {
							served.Add(1)
							return
						}
						again.Add(1)
						if ref.Code == caller.CodeQuarantined {
							quarantined.Add(1)
						}
					}
					t.Errorf("innocent request %d was never answered", i)
				})
			}
			var mu sync.Mutex
			codes := map[caller.Code]int{}
			shoot := func(i int) {
				if ref := submit(t, s.nodes[i%3], poison); ref != nil {
					mu.Lock()
					defer mu.Unlock()
					codes[ref.Code]++
				} else {
					t.Errorf("poison %d was answered", i)
				}
			}
			for i := range 50 {
				if atOnce {
					wg.Go(func() { shoot(i) })
				} else {
					shoot(i)
				}
			}
			wg.Wait()
			t.Logf("at_once=%v: %d crashes; poison %v; innocent: %d answered, %d sent again",
				atOnce, r.crashes.Load()-before, codes, served.Load(), again.Load())
			got := r.crashes.Load() - before
			assert.Assert(t, got >= 1 && got <= 2, "%d crashes", got)
			assert.Equal(t, served.Load(), int64(50))
			assert.Equal(t, quarantined.Load(), int64(0))
		})
	}
	for _, n := range s.nodes {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !strings.Contains(n.output(), "request_isolated") {
				return poll.Continue("%s does not know of an isolated content", n.name)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
	}
	// A process that was dying when its refusal was counted has exited by now.
	assert.Assert(t, r.crashes.Load() <= 4, "%d crashes", r.crashes.Load())
}
