package procs_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/node/admin"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// tell sends a message of an upstream to a node and returns the status.
func (n *node) tell(path string, message any) int {
	n.t.Helper()
	body, err := json.Marshal(message)
	assert.NilError(n.t, err)
	resp, err := http.Post("http://"+n.address+path, "application/json", bytes.NewReader(body))
	assert.NilError(n.t, err)
	assert.NilError(n.t, resp.Body.Close())
	return resp.StatusCode
}

// sees returns what a node lists about an upstream.
func (n *node) sees(id string) string {
	n.t.Helper()
	resp, err := http.Get("http://" + n.address + admin.Prefix + "/upstreams")
	assert.NilError(n.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(n.t, err)
	var list []admin.UpstreamInfo
	assert.NilError(n.t, json.Unmarshal(body, &list), "%s", body)
	for _, u := range list {
		if u.ID == id {
			return u.State
		}
	}
	return ""
}

func (n *node) awaitState(id, state string) {
	n.t.Helper()
	poll.WaitOn(n.t, func(poll.LogT) poll.Result {
		if got := n.sees(id); got != state {
			return poll.Continue("%s sees %q", n.name, got)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// Guards against a departure that is acknowledged before the other nodes know it: the node that received it dies, nobody repeats it, and
// the others send work until the lease runs out.
func TestDepartureIsAcknowledgedOnceAllNodesKnowIt(t *testing.T) {
	s := startSystem(t)
	a := upapi.Announce{
		ID: "extra", Incarnation: uint64(clock.Real().Now().UnixNano()), Kind: upapi.KindEncoder, Services: []string{"other"}, DataCentre: "a",
		Address: "127.0.0.1:9", Slots: 1, LeaseMS: 60_000,
	}
	leave := upapi.Renew{ID: a.ID, Incarnation: a.Incarnation}
	assert.Equal(t, s.nodes[0].tell(upapi.PathAnnounce, a), http.StatusOK)
	for _, n := range s.nodes {
		n.awaitState(a.ID, "live")
	}
	s.nodes[2].freeze()
	assert.Equal(t, s.nodes[0].tell(upapi.PathLeave, leave), http.StatusServiceUnavailable, "the third node cannot know it")
	s.nodes[2].signal(syscall.SIGCONT)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status := s.nodes[0].tell(upapi.PathLeave, leave); status != http.StatusOK {
			return poll.Continue("%d", status)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	s.nodes[0].signal(syscall.SIGKILL)
	for _, n := range s.nodes[1:] {
		n.awaitState(a.ID, "leaving")
	}
}
