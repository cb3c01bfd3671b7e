package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/roster"
)

// setReady sets whether both batchers see a node as ready.
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
	q := n.queues[queueKey{"s", "n"}]
	if q == nil {
		return 0
	}
	return q.Snapshot(time.Now()).Results
}

// Load pattern: the owner of a queue leaves while results fill the upstreams' memory. Guards against calls that fail
// for lack of memory because the next owner does not know of these results (incident SHORT).
func TestTheNextOwnerLearnsOfResultsInUse(t *testing.T) {
	a, b, _ := newPair(t, answerWithHandles)
	made, err := a.Run(t.Context(), "s", "n", jobs(4))
	assert.NilError(t, err)
	assert.Equal(t, made[0].Owner, b.Self())
	setReady(a, b.Self(), false)
	more, err := a.Run(t.Context(), "s", "n", jobs(1))
	assert.NilError(t, err)
	assert.Equal(t, more[0].Owner, a.Self())
	// The fake upstream numbers its handles from h0 again, so the new result has the handle of the first one.
	assert.Equal(t, results(a), 4)

	setReady(a, b.Self(), true)
	_, err = a.Run(t.Context(), "s", "n", jobs(1))
	assert.NilError(t, err)
	a.Free("s", b.Self(), []ResultRef{{"h1", "u1"}, {"h2", "u1"}})
	waitFor(t, "both accounts drop the results", func() bool { return results(a) == 2 && results(b) == 2 })
}

// Load pattern: many entry nodes are killed at once. Guards against results of their requests that occupy the
// upstreams' memory until they expire, some seconds later (incident SHORT).
func TestResultsOfADeadNodeAreFreed(t *testing.T) {
	a, b, up := newPair(t, answerWithHandles)
	_, err := a.Run(t.Context(), "s", "n", jobs(4))
	assert.NilError(t, err)
	assert.Equal(t, results(b), 4)
	a.hub.Close()
	// The queue drops its accounting at once; the upstream is told in separate calls.
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

// Guards against freeing results in use because a connection between two nodes was reset.
func TestResultsInUseSurviveAReset(t *testing.T) {
	a, b, up := newPair(t, answerWithHandles)
	_, err := a.Run(t.Context(), "s", "n", jobs(4))
	assert.NilError(t, err)
	b.freeUnusedBy(a.Self())
	assert.Equal(t, results(b), 4)
	assert.Equal(t, len(up.Requests()), 1)
	a.mu.Lock()
	a.localResults.remove("s", "h3") // as a node that has been restarted would not know it
	a.mu.Unlock()
	b.freeUnusedBy(a.Self())
	assert.Equal(t, results(b), 3)
}
