package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/flow/budget"
	"github.com/berylledge/berylledge/pkg/fleet"
)

const ms = time.Millisecond

func config() *fleet.Config {
	return &fleet.Config{Pipelines: []fleet.Pipeline{{Name: "ask", Stages: []fleet.Stage{
		{Name: "encode", ExpectedMS: 50}, {Name: "retrieve"}, {Name: "answer", ExpectedMS: 850},
	}}}}
}

func about(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, got >= want*9/10 && got <= want*11/10, "%v, want about %v", got, want)
}

// Estimates must use the configured times before the first observation, and a single outlier must not determine them.
func TestEstimateUsesExpectedTimesUntilObserved(t *testing.T) {
	e, now := budget.New(config()), time.Unix(100, 0)
	assert.Equal(t, e.Estimate(now, "ask", 0, 0.95), 1000*ms)
	assert.Equal(t, e.Estimate(now, "ask", 2, 0.95), 850*ms)
	assert.Equal(t, e.EstimateStages(now, "ask", []int{0, 2, 9}, 0.95), 900*ms)
	assert.Equal(t, e.Estimate(now, "none", 0, 0.95), time.Duration(0))
	e.Observe(now, "ask", 2, 10*time.Second)
	now = now.Add(time.Second)
	about(t, e.Estimate(now, "ask", 2, 0.95), 2680*ms) // one of MinObservations = 5, so the outlier has a weight of a fifth
	for range 20 {
		e.Observe(now, "ask", 2, 200*ms)
	}
	now = now.Add(time.Second)
	about(t, e.Estimate(now, "ask", 2, 0.5), 200*ms)
}

// An estimate must rise after a stage has become slow, and fall after it has recovered.
func TestEstimateFollowsStageTime(t *testing.T) {
	e, now := budget.New(config()), time.Unix(100, 0)
	run := func(d, took time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * ms) {
			e.Observe(now, "ask", 0, took)
		}
	}
	run(20*time.Second, 50*ms)
	about(t, e.Estimate(now, "ask", 0, 0.95)-e.Estimate(now, "ask", 1, 0.95), 50*ms)
	run(2*time.Second, 250*ms)
	about(t, e.EstimateStages(now, "ask", []int{0}, 0.95), 250*ms)
	run(20*time.Second, 50*ms)
	about(t, e.EstimateStages(now, "ask", []int{0}, 0.95), 50*ms)
}

// The first stage must not use up the time of later stages, and no timeout may exceed the deadline.
func TestSplitLeavesTimeForLaterStages(t *testing.T) {
	e, now := budget.New(config()), time.Unix(100, 0)
	for i := range 100 {
		e.Observe(now, "ask", 0, 50*ms)
		e.Observe(now, "ask", 1, 100*ms)
		e.Observe(now, "ask", 2, time.Duration(600+5*i)*ms) // median 850 ms, 95th percentile 1075 ms
	}
	now = now.Add(time.Second)
	deadline := now.Add(2 * time.Second)
	first := e.Split(now, deadline, "ask", []int{0, 1, 2})
	assert.Assert(t, first > 50*ms && first < 150*ms, first)
	about(t, e.Split(now, deadline, "ask", []int{2}), 2*time.Second)
	late := e.Split(now, now.Add(500*ms), "ask", []int{0, 1, 2})
	about(t, late, 25*ms)
	assert.Equal(t, e.Split(now, now, "ask", []int{2}), time.Duration(0))
	assert.Equal(t, e.Split(now, deadline, "ask", []int{7}), time.Duration(0))
}

// A high estimate makes admission refuse all requests, and refused requests record no observations. A probe must therefore
// detect that the stage has recovered.
func TestProbeDetectsRecoveredStage(t *testing.T) {
	e, now := budget.New(config()), time.Unix(100, 0)
	for range 20 {
		e.Observe(now, "ask", 2, 5*time.Second)
	}
	ask := func() time.Duration { return e.Estimate(now, "ask", 2, 0.9) }
	now = now.Add(time.Second)
	about(t, ask(), 5*time.Second)
	now = now.Add(1800 * ms)
	about(t, ask(), 5*time.Second)
	now = now.Add(100 * ms)
	assert.Equal(t, ask(), 850*ms) // the probe
	about(t, ask(), 5*time.Second)
	now = now.Add(800 * ms)
	e.Observe(now, "ask", 2, 800*ms)
	about(t, ask(), 850*ms)
}
