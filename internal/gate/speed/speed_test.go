package speed

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var t0 = time.Unix(1000, 0)

const work = 100 * time.Millisecond

// learn records n pieces of work at an upstream that takes some multiple of the usual time.
func learn(t *Table, now time.Time, id string, n int, multiple float64) time.Time {
	for range n {
		took := time.Duration(multiple * float64(work))
		now = now.Add(took)
		expected := time.Duration(t.Estimate(now, id) * float64(work))
		t.Learn(now, id, took, expected, expected)
	}
	return now
}

// peers returns a table with five upstreams, u0 to u4, that are as fast as expected.
func peers() *Table {
	t := New()
	for range 10 {
		for i := range 5 {
			learn(t, t0, fmt.Sprint("u", i), 10, 1)
		}
	}
	return t
}

// Guards against a speed that is not learnt, and against factors without bounds.
func TestFactorFollowsTheSpeed(t *testing.T) {
	for _, c := range []struct{ multiple, want float64 }{{0.6, 0.6}, {1.05, 1}, {1.6, 1.6}, {0.1, MinFactor}, {10, MaxFactor}} {
		table := peers()
		now := t0
		for range 1500 {
			now = learn(table, now, "u0", 1, c.multiple)
			for i := range 5 {
				learn(table, now, fmt.Sprint("u", i+1), 1, 1)
			}
		}
		f := table.Factor(now, "u0")
		assert.Assert(t, math.Abs(f/c.want-1) < 0.05, "%v: %v", c, f)
		assert.Equal(t, table.Factor(now, "u1"), 1.0)
		assert.Equal(t, table.Factor(now, "unknown"), 1.0)
	}
}

// Guards against a slow-down of 600 ms that is taken for the speed of an upstream, from the first work on.
func TestShortSlowDownIsNotASpeed(t *testing.T) {
	table := peers()
	now := learn(table, t0, "u0", 3, 2.5)
	assert.Equal(t, table.Factor(now, "u0"), 1.0)
	now = learn(table, now, "new", 3, 2.5)
	assert.Assert(t, table.Factor(now, "new") < 1.6, "%v", table.Factor(now, "new"))
	now = learn(table, now, "new", 20, 1)
	assert.Equal(t, table.Factor(now, "new"), 1.0)
}

// Guards against a slow-down of the whole service that marks the upstreams that answer first.
func TestGeneralSlowDownMarksNoUpstream(t *testing.T) {
	table := peers()
	for range 200 {
		for i := range 5 {
			learn(table, t0, fmt.Sprint("u", i), 1, 3)
		}
	}
	for i := range 5 {
		f := table.Factor(t0, fmt.Sprint("u", i))
		assert.Equal(t, f, 1.0)
	}
}

// Guards against an upstream that never gets work again because it was slow once, and against a fast one that is forgotten
// while it has no work.
func TestSlownessFadesWithoutEvidence(t *testing.T) {
	table := peers()
	now := learn(table, t0, "slow", 100, 2)
	learn(table, t0, "fast", 100, 0.5)
	slow, fast := table.Factor(now, "slow"), table.Factor(now, "fast")
	assert.Assert(t, slow > 1.7 && fast < 0.6, "%v %v", slow, fast)
	assert.Equal(t, table.Factor(now.Add(slowGrace), "slow"), slow)
	later := now.Add(slowGrace + 4*slowHalfLife)
	assert.Equal(t, table.Factor(later, "slow"), 1.0)
	assert.Equal(t, table.Factor(later, "fast"), fast)
	later = learn(table, later, "slow", 20, 1)
	assert.Equal(t, table.Factor(later, "slow"), 1.0)
}

// Guards against an upstream that is judged by its former run, and against values that are no times.
func TestForgetAndInvalidTimes(t *testing.T) {
	table := peers()
	now := learn(table, t0, "u0", 100, 2)
	table.Forget("u0")
	table.Forget("unknown")
	assert.Equal(t, table.Factor(now, "u0"), 1.0)
	table.Learn(now, "u1", -1, work, work)
	table.Learn(now, "u1", work, 0, work)
	table.Learn(now, "u1", work, work, 0)
	assert.Equal(t, table.Factor(now, "u1"), 1.0)
}
