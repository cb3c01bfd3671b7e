package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/roster"
)

// setReady changes which nodes the two makers see as ready.
func setReady(m *node, peer string, ready bool) {
	view := m.o.View()
	entries := make([]roster.Entry, len(view.Entries))
	copy(entries, view.Entries)
	for i := range entries {
		if entries[i].Peer == peer {
			entries[i].Ready = ready
		}
	}
	view.Entries = entries
}

func results(n *node) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	q := n.queues[place{"s", "n"}]
	if q == nil {
		return 0
	}
	return q.Snapshot(time.Now()).Results
}

// Load pattern: the node that keeps a queue leaves while results fill the upstreams' memory. Guards against calls for which there
// is no room, because the node that takes over does not know of these results (incident SHORT).
func TestTheNextOwnerLearnsOfResultsInUse(t *testing.T) {
	a, b, _ := pair(t, reply)
	made, err := a.Run(t.Context(), "s", "n", jobs(4))
	assert.NilError(t, err)
	assert.Equal(t, made[0].Owner, b.Self())
	setReady(a, b.Self(), false)
	more, err := a.Run(t.Context(), "s", "n", jobs(1))
	assert.NilError(t, err)
	assert.Equal(t, more[0].Owner, a.Self())
	// The stand-in gives handles from h0 on again, so the new result has the handle of the first one.
	assert.Equal(t, results(a), 4)

	setReady(a, b.Self(), true)
	_, err = a.Run(t.Context(), "s", "n", jobs(1))
	assert.NilError(t, err)
	a.Free("s", b.Self(), []ResultRef{{"h1", "u1"}, {"h2", "u1"}})
	waitFor(t, "both accounts drop the results", func() bool { return results(a) == 2 && results(b) == 2 })
}

// Load pattern: many entry nodes are killed at once. Guards against results of their requests that fill the memory of upstreams
// until they expire, some seconds later (incident SHORT).
func TestResultsOfADeadNodeAreFreed(t *testing.T) {
	a, b, up := pair(t, reply)
	_, err := a.Run(t.Context(), "s", "n", jobs(4))
	assert.NilError(t, err)
	assert.Equal(t, results(b), 4)
	a.hub.Close()
	// The account drops the results at once, and the upstream is told by calls of their own.
	waitFor(t, "the results are freed", func() bool {
		text := ""
		for _, r := range up.Requests()[1:] {
			text += string(r.Body)
		}
		for i := range 4 {
			if !strings.Contains(text, fmt.Sprintf("%q", fmt.Sprint("h", i))) {
				return false
			}
		}
		return results(b) == 0
	})
}

// Guards against results that are freed while they are used, because a connection between two nodes was reset.
func TestResultsInUseSurviveAReset(t *testing.T) {
	a, b, up := pair(t, reply)
	_, err := a.Run(t.Context(), "s", "n", jobs(4))
	assert.NilError(t, err)
	b.checkUser(a.Self())
	assert.Equal(t, results(b), 4)
	assert.Equal(t, len(up.Requests()), 1)
	a.mu.Lock()
	a.holder.drop("s", "h3") // as a node that has been restarted would not know it
	a.mu.Unlock()
	b.checkUser(a.Self())
	assert.Equal(t, results(b), 3)
}
