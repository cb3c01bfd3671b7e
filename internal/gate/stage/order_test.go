package stage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
)

// Load: pieces of two ranks wait, with work of teams above and below their share and work in progress. Guards against an order
// that puts a less urgent rank, or new work, before what is worth more.
func TestOrderAppliesWithinARank(t *testing.T) {
	q := NewQueue(conf.Pool{Slots: 1, Queue: 2, Batch: 4, CallTime: 150, ItemTime: 3, ResultMemoryMB: 8, HandleTTL: 4000})
	now := time.Unix(1_000_000, 0)
	add := func(request string, rank, order int, due time.Duration, inputs ...string) {
		q.Add(now, Job{Item: Item{Request: request, Inputs: inputs}, Rank: rank, Order: order, Due: now.Add(due), Deadline: now.Add(time.Minute)})
	}
	add("less urgent", 1, FirstOrder, 5*time.Second)
	add("above", 0, LastOrder, 5*time.Second)
	add("usual", 0, 0, 9*time.Second)
	add("below", 0, FirstOrder, 20*time.Second)
	add("in progress", 0, LastOrder, 30*time.Second, "handle")
	q.classify(now)
	q.sortGroups("dc")
	var got []string
	for _, g := range q.groups {
		got = append(got, g.first().Request)
	}
	assert.DeepEqual(t, got, []string{"in progress", "below", "usual", "above", "less urgent"})
}
