package soak

import (
	"context"
	"net/http"
	"os"
	"regexp"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// askWithin sends a request without a body to a control node and returns the status; 0: there was no answer in time.
func (f *fleet) askWithin(most time.Duration, method string, node int, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.at(node, controlPort)+path, nil)
	if err != nil {
		panic(err) // the parts are constants
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

const evacuationOfA = "/v1/traffic/evacuations/a"

// acknowledged repeats an order at control nodes in turn until one acknowledges it.
func (f *fleet) acknowledged(t *testing.T, method string, nodes ...int) {
	t.Helper()
	tries := 0
	await(t, method+" is acknowledged", func() bool {
		tries++
		return f.askWithin(time.Second, method, nodes[tries%len(nodes)], evacuationOfA) == http.StatusOK
	})
}

// await repeats a check until it holds.
func await(t *testing.T, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(settleWithin))
}

// freeze stops a control node. It returns once the node answers nothing.
func (p *process) freeze(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGSTOP)
	await(t, "the node is frozen", func() bool {
		return p.f.askWithin(100*time.Millisecond, http.MethodGet, p.number, "/v1/traffic") == 0
	})
}

var storedLine = regexp.MustCompile(`"evacuation_stored".*"data_centres":"([^"]*)"`)

// evacuated returns the evacuated data centres by the last line about them in the log of a process.
func (p *process) evacuated(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(p.log.Name())
	assert.NilError(t, err)
	found := storedLine.FindAllSubmatch(text, -1)
	if len(found) == 0 {
		return ""
	}
	return string(found[len(found)-1][1])
}

// Guards against an order that waits in the socket of a frozen control node, leader or follower, until long after the operator has given
// it up, and then undoes a newer, acknowledged one.
func TestFrozenControlNodeUndoesNoNewerOrder(t *testing.T) {
	f := newFleet(t, 240, parts{evacuations: true})
	f.acknowledged(t, http.MethodDelete, 1, 2, 3)
	for _, c := range []struct{ before, late, newer, want string }{
		{http.MethodPost, http.MethodDelete, http.MethodPost, "a"},
		{http.MethodDelete, http.MethodPost, http.MethodDelete, ""},
	} {
		for frozen := 1; frozen <= controlNodes; frozen++ { // one of them leads
			others := []int{frozen%controlNodes + 1, (frozen+1)%controlNodes + 1}
			f.acknowledged(t, c.before, 1, 2, 3)
			p := f.nodes[frozen]
			p.freeze(t)
			for range 3 {
				assert.Equal(t, f.askWithin(200*time.Millisecond, c.late, frozen, evacuationOfA), 0)
			}
			f.acknowledged(t, c.newer, others...)
			p.signal(syscall.SIGCONT)
			f.acknowledged(t, c.newer, frozen)
			for n := 1; n <= controlNodes; n++ {
				await(t, "the node holds the newer order", func() bool { return f.nodes[n].evacuated(t) == c.want })
			}
			_ = clock.Sleep(t.Context(), clock.Real(), 500*time.Millisecond) // what waited in its sockets is proposed and stored
			for n := 1; n <= controlNodes; n++ {
				assert.Equal(t, f.nodes[n].evacuated(t), c.want, "node %d after %d was frozen", n, frozen)
			}
		}
	}
}
