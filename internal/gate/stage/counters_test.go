package stage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// at returns the time some milliseconds after the arrival of a request.
func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a latency breakdown that does not show where a late request spent its time: the parts must follow the
// chain of stages that ended last and add up to the time until its end.
func TestCriticalPathEndsWithTheLastStage(t *testing.T) {
	p := newPlan(t, 1, 1, 2, 1)
	legs := []GroupSpan{
		{Stage: 1, Start: at(5), End: at(205), Timing: PieceTiming{Queued: 20 * time.Millisecond, InCall: 170 * time.Millisecond}},
		{Stage: 2, Start: at(205), End: at(505), Timing: PieceTiming{Queued: 90 * time.Millisecond, InCall: 200 * time.Millisecond}},
		{Stage: 0, Start: at(505), End: at(700), Timing: PieceTiming{Queued: 1 * time.Millisecond, InCall: 180 * time.Millisecond}},
		{Stage: 3, Start: at(505), End: at(905), Timing: PieceTiming{Queued: 150 * time.Millisecond, InCall: 240 * time.Millisecond}},
	}
	after := func(stage int) []int { return p.stages[stage].After }
	split := CriticalPath(after, t0, legs)
	assert.DeepEqual(t, split, LatencyBreakdown{
		Before: 5 * time.Millisecond, Queued: 260 * time.Millisecond, InCall: 610 * time.Millisecond, Transfer: 30 * time.Millisecond,
	})
	assert.DeepEqual(t, CriticalPath(after, t0, nil), LatencyBreakdown{})
}

// Guards against replies without queueing times, and against snapshots that omit results or ranks.
func TestRepliesAndSnapshotReportTheWork(t *testing.T) {
	q := newQueue()
	urgent, other := job("a", time.Second, 400), job("b", time.Second, 900)
	other.Rank = 2
	q.Add(t0, urgent)
	q.Add(t0, other)
	calls, _ := q.Next(at(30))
	replies, _ := q.Done(at(230), calls[0].ID, Answered, []Outcome{{Handle: "h"}})
	assert.DeepEqual(t, replies[0].Timing, PieceTiming{Queued: 30 * time.Millisecond, InCall: 200 * time.Millisecond, Attempts: 1})
	s := q.Snapshot(at(230))
	assert.DeepEqual(t, s.Waiting, []int{0, 0, 1, 0, 0, 0})
	assert.Equal(t, s.OldestWait, 230*time.Millisecond)
	assert.Equal(t, s.Results, 1)
	assert.Equal(t, s.UsedBytes, int64(400))
	assert.Equal(t, s.Counters, Counters{Calls: 1, Pieces: 1, Completed: 1})
}
