package stage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
)

// backlog returns a queue with busy upstreams and many waiting requests of several pieces each.
func backlog(requests, pieces int) *Queue {
	q := NewQueue(conf.Pool{Slots: 1, Queue: 2, Batch: 4, CallTime: 150, ItemTime: 3, ResultMemoryMB: 8, HandleTTL: 4000})
	q.SetTargets([]Target{{ID: "u1"}, {ID: "u2"}})
	for i := range requests {
		for k := range pieces {
			j := job(fmt.Sprint("r", (i*7919)%requests), time.Hour, 10)
			j.Piece, j.Rank, j.Due = k, i%3, t0.Add(time.Hour+time.Duration(i)*time.Millisecond)
			q.Add(t0, j)
		}
	}
	q.Next(t0)
	return q
}

// minNextTime returns the shortest duration of several calls of Next. Other load on the machine lengthens single calls.
func minNextTime(q *Queue) time.Duration {
	least := time.Hour
	for i := range 50 {
		now := t0.Add(time.Duration(i) * time.Microsecond)
		began := time.Now()
		q.Next(now)
		least = min(least, time.Since(began))
	}
	return least
}

// Load pattern: a burst of requests with dozens of pieces each, at a node with a fifth of a core. Guards against a Next
// whose cost grows with the number of waiting pieces: the node then sends fewer calls the more work is queued (incident
// SHORT).
func TestCostFollowsRequestsNotPieces(t *testing.T) {
	few, many := minNextTime(backlog(300, 1)), minNextTime(backlog(300, 32))
	assert.Assert(t, many < 4*few, "300 requests: %v with one piece each, %v with 32", few, many)
}
