package stage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/pace"
)

// refusedWhileCold returns how many of 200 pieces are refused by three cold upstreams, one of which may be slow.
func refusedWhileCold(slow bool) int {
	q := NewQueue(conf.Pool{Slots: 1, Queue: 2, Batch: 4, CallTime: 150, ItemTime: 10, ResultMemoryMB: 1, HandleTTL: 4000})
	q.SetBounds(pace.Bounds{ColdOverage: 1.5, ColdSlack: 5})
	q.SetOwned(t0.Add(-10*time.Second), true)
	var list []Target
	for i := range 3 {
		id := fmt.Sprint("u", i)
		list = append(list, Target{ID: id, Address: id, Pace: pace.Upstream{ID: id, ColdUntil: t0.Add(time.Minute), ColdPerSecond: 0.5}})
	}
	q.SetTargets(list)
	if slow {
		for i := 0; i < 200; i++ {
			at := t0.Add(time.Duration(i-200) * 10 * time.Millisecond)
			for j, f := range []float64{1, 1, 1.6} {
				d := time.Duration(f * 190 * float64(time.Millisecond))
				id := fmt.Sprint("u", j)
				e := time.Duration(q.speeds.Estimate(at, id) * 190 * float64(time.Millisecond))
				q.speeds.Learn(at, id, d, e, e)
			}
		}
	}
	for i := range 200 {
		q.Add(t0, job(fmt.Sprintf("r%03d", i), 500*time.Millisecond, 1))
	}
	_, replies := q.Next(t0)
	return len(replies)
}

// Guards against pieces that wait until their deadline, because the loss by cold upstreams exceeds the rate of slow ones.
func TestLateWorkIsRefusedWhileSlowUpstreamsAreCold(t *testing.T) {
	equal, slow := refusedWhileCold(false), refusedWhileCold(true)
	assert.Assert(t, equal > 100, "%d", equal)
	assert.Assert(t, slow >= equal, "%d refused with equal speeds, %d with a slow one", equal, slow)
}

// Guards against a stage that counts as done while pieces of it are made again, so that its request counts as sent to an engine.
func TestStageIsFinishedWithAllItsResults(t *testing.T) {
	p, err := NewPlan("r", "k", []conf.Stage{{Service: "a", ResultBytes: 1}}, []int{2})
	assert.NilError(t, err)
	p.Ready()
	p.RecordResult(0, 0, "h0", "o", "u")
	assert.Assert(t, p.RecordFailure(0, 1, ReasonError))
	assert.Assert(t, !p.StageFinished(0))
	p.Ready()
	p.RecordResult(0, 1, "h1", "o", "u")
	assert.Assert(t, p.StageFinished(0))
}
