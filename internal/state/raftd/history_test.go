package raftd_test

import (
	"context"
	"encoding/binary"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/state/raft"
	"github.com/berylledge/berylledge/internal/state/raftd"
)

// sumModel is a counter: the input is the number to add, 0 for a read, and the output is the sum after it.
var sumModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		next := state.(uint64) + in.(uint64)
		return out.(uint64) == next, next
	},
}

// history records the calls of all clients. Calls reported as having no effect are omitted, so the check fails if one of
// them took effect. Calls with an unknown outcome are included if a replica has applied them.
type history struct {
	mu    sync.Mutex
	clock atomic.Int64
	ops   []porcupine.Operation
	// unknown holds the proposals with an unknown outcome, and results the sum that the replicas returned for each number.
	unknown []porcupine.Operation
	results map[uint64]uint64
}

func (h *history) recordApply(add, sum uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.results[add]; !ok {
		h.results[add] = sum
	}
}

func (h *history) call(c *cluster, id string, client int, add uint64) {
	c.mu.Lock()
	n, state := c.nodes[id], c.states[id]
	c.mu.Unlock()
	if n == nil {
		return
	}
	op := porcupine.Operation{ClientId: client, Input: add, Call: h.clock.Add(1)}
	var sum uint64
	var err error
	if add == 0 {
		err = n.Read(context.Background(), func() { sum = state.sum })
	} else {
		var data []byte
		if data, err = n.Propose(context.Background(), number(add)); err == nil {
			sum = binary.BigEndian.Uint64(data)
		}
	}
	op.Return, op.Output = h.clock.Add(1), sum
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.ops = append(h.ops, op)
	} else if errors.As(err, new(*raftd.OutcomeUnknownError)) {
		op.Return = math.MaxInt64
		h.unknown = append(h.unknown, op)
	}
}

// Guards against non-linearizable histories, proposals applied twice and wrongly reported outcomes, under lost and
// duplicated messages, isolated nodes and restarts during concurrent calls.
func TestHistoryIsLinearizableUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		c, h := newCluster(t, 3), &history{results: map[uint64]uint64{}}
		c.onApply = h.recordApply
		c.startAll()
		c.awaitLeader()
		ids, rng := c.ids(), rand.New(rand.NewPCG(seed, 5))
		var clients sync.WaitGroup
		for client := range 4 {
			random := rand.New(rand.NewPCG(seed, uint64(client)+100))
			clients.Go(func() {
				for i := range uint64(40) {
					add := uint64(client)<<20 + i + 1
					if random.IntN(3) == 0 {
						add = 0
					}
					h.call(c, ids[random.IntN(3)], client, add)
				}
			})
		}
		done := make(chan struct{})
		go func() { clients.Wait(); close(done) }()
		isolated, loss, rounds := "", 5, 0
		filterRandom := rand.New(rand.NewPCG(seed, 6))
		c.setFilter(func(msg raft.Message) int {
			if msg.From == isolated || msg.To == isolated || filterRandom.IntN(100) < loss {
				return 0
			}
			return 1 + filterRandom.IntN(100)/90
		})
		c.waitUntil("end of all calls", func() bool {
			rounds++
			if rounds == 2000 { // end the faults, so that all calls can complete
				c.setFilter(nil)
			}
			if rounds%25 == 5 && rounds < 2000 {
				id := ids[rng.IntN(3)]
				c.mu.Lock()
				isolated, loss = "", 2
				switch rng.IntN(4) {
				case 0:
					isolated = id
				case 1:
					loss = 20
				}
				c.mu.Unlock()
				if rng.IntN(4) == 0 {
					assert.NilError(t, c.stop(id))
					c.start(id)
				}
			}
			select {
			case <-done:
				return true
			default:
				return false
			}
		})
		c.setFilter(nil)
		c.awaitLeader()
		c.read(ids[0]) // makes this replica apply everything committed so far
		for _, op := range h.unknown {
			if sum, ok := h.results[op.Input.(uint64)]; ok {
				op.Output = sum
				h.ops = append(h.ops, op)
			}
		}
		result, _ := porcupine.CheckOperationsVerbose(sumModel, h.ops, 20*time.Second)
		assert.Equal(t, result, porcupine.Ok, "seed %d, %d calls", seed, len(h.ops))
		assert.Assert(t, len(h.ops) > 20, "seed %d, %d calls", seed, len(h.ops))
		for _, id := range c.ids() {
			assert.NilError(t, c.stop(id))
		}
	}
}
