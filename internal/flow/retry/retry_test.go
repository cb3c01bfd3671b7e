package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/flow/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Decide must report correctly whether work has run, and must not repeat work that may have run and is not idempotent.
func TestDecideTable(t *testing.T) {
	idempotent := retry.Attempt{Upstream: "u", Number: 1, Idempotent: true, PossiblyDispatched: true, TimeLeft: time.Second}
	with := func(f func(*retry.Attempt)) retry.Attempt { a := idempotent; f(&a); return a }
	for name, c := range map[string]struct {
		in   retry.Attempt
		want retry.Action
	}{
		"idempotent, connection reset": {with(func(a *retry.Attempt) { a.Class = retry.ClassReset }), retry.Retry{Exclude: "u"}},
		"not repeatable, reset": {
			with(func(a *retry.Attempt) { a.Class, a.Idempotent = retry.ClassReset, false }),
			retry.Fail{retry.Unknown, retry.ReasonNotRepeatable},
		},
		"not repeatable, failed": {
			with(func(a *retry.Attempt) { a.Class, a.Idempotent = retry.ClassFailed, false }),
			retry.Fail{retry.DidRun, retry.ReasonNotRepeatable},
		},
		"not repeatable, refused before it started": {
			with(func(a *retry.Attempt) { a.Class, a.Idempotent = retry.ClassNotStarted, false }),
			retry.Fail{retry.NotRun, retry.ReasonNotRepeatable},
		},
		"not repeatable, never dispatched": {
			with(func(a *retry.Attempt) { a.Class, a.Idempotent, a.PossiblyDispatched = retry.ClassConnect, false, false }),
			retry.Retry{Exclude: "u"},
		},
		"not repeatable, an earlier attempt may have run": {
			with(func(a *retry.Attempt) {
				a.Class, a.Idempotent, a.PossiblyDispatched, a.EarlierRan = retry.ClassConnect, false, false, retry.Unknown
			}),
			retry.Fail{retry.Unknown, retry.ReasonNotRepeatable},
		},
		"busy and no time left, an earlier attempt may have run": {
			with(func(a *retry.Attempt) { a.Class, a.EarlierRan, a.TimeLeft = retry.ClassBusy, retry.Unknown, 0 }),
			retry.Fail{retry.Unknown, retry.ReasonDeadline},
		},
		"broken stream on a live upstream": {
			with(func(a *retry.Attempt) { a.Class, a.Delivered, a.Resumable = retry.ClassReset, 7, true }),
			retry.Resume{Offset: 7},
		},
		"broken stream, resumes used up": {
			with(func(a *retry.Attempt) { a.Class, a.Delivered, a.Resumable, a.Resumes = retry.ClassReset, 7, true, 2 }),
			retry.Retry{Exclude: "u", Offset: 7},
		},
		"broken stream, not repeatable": {
			with(func(a *retry.Attempt) { a.Class, a.Delivered, a.Idempotent = retry.ClassReset, 7, false }),
			retry.Fail{retry.DidRun, retry.ReasonNotRepeatable},
		},
		"output of the rerun differs from what was delivered": {
			with(func(a *retry.Attempt) { a.Class, a.Delivered = retry.ClassMismatch, 7 }),
			retry.Fail{retry.DidRun, retry.ReasonRequest},
		},
		"retry-after beyond the deadline": {
			with(func(a *retry.Attempt) { a.Class, a.RetryAfter = retry.ClassBusy, 2*time.Second }),
			retry.Fail{retry.NotRun, retry.ReasonDeadline},
		},
		"last attempt": {
			with(func(a *retry.Attempt) { a.Class, a.Number = retry.ClassTimeout, 3 }),
			retry.Fail{retry.Unknown, retry.ReasonAttempts},
		},
	} {
		got := retry.New(retry.DefaultPolicy(), 1).Decide(start, c.in)
		switch a := got.(type) {
		case retry.Retry:
			// The backoff is at most a quarter of the time left.
			assert.Assert(t, a.After >= 0 && a.After <= c.in.TimeLeft/4, name)
			a.After = 0
			got = a
		case retry.Resume:
			a.After = 0
			got = a
		case retry.Fail:
		}
		assert.DeepEqual(t, got, c.want)
	}
}

// For any mix of failures and hedges there must be at most 1 + BudgetPercent/100 (1.1 by default) attempts
// per stage run, plus the initial credit.
func TestAttemptsStayWithinTheBudget(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		p := retry.DefaultPolicy()
		m := retry.New(p, seed)
		failureRate := float64(seed) / 19 // 0 for the first seed to 1 for the last
		now, attempts, runs := start, 0, 0
		for runs = 1; runs <= 5000; runs++ {
			now = now.Add(time.Millisecond)
			number := 1
			for {
				attempts++
				if _, ok := m.Hedge(now, retry.RunningAttempt{
					Pool: "p", Idempotent: true, Attempts: 1, TimeLeft: time.Second, Elapsed: time.Duration(rng.IntN(20)) * time.Millisecond,
				}).(retry.StartHedge); ok {
					attempts++
				}
				if rng.Float64() >= failureRate {
					m.RecordSuccess()
					m.RecordLatency(now, "p", time.Duration(rng.IntN(10))*time.Millisecond)
					break
				}
				a := m.Decide(now, retry.Attempt{Number: number, Idempotent: true, Class: retry.ClassReset, TimeLeft: time.Second})
				if _, ok := a.(retry.Retry); !ok {
					break
				}
				number++
			}
			assert.Assert(t, float64(attempts) <= 1.1*float64(runs)+float64(p.InitialCredit),
				"seed %d: %d attempts for %d runs", seed, attempts, runs)
		}
	}
}

// There must be no hedge before the measured tail latency, for work that is not idempotent, or when only one
// credit is left, which is reserved for a retry.
func TestHedgeFollowsTheMeasuredTail(t *testing.T) {
	p := retry.DefaultPolicy()
	m := retry.New(p, 1)
	slow := retry.RunningAttempt{Pool: "p", Upstream: "u", Idempotent: true, Attempts: 1, Elapsed: time.Second, TimeLeft: 9 * time.Second}
	assert.DeepEqual(t, m.Hedge(start, slow), retry.HedgeAction(retry.NoHedge{})) // no latencies recorded
	for i := range 100 {
		m.RecordLatency(start, "p", time.Duration(i+1)*time.Millisecond)
	}
	now := start.Add(time.Second) // the quantile is recomputed after quantileTTL
	// The quantile is about 98 ms and 50 ms have passed, so about 48 ms remain.
	notYetSlow := slow
	notYetSlow.Elapsed = 50 * time.Millisecond
	w, ok := m.Hedge(now, notYetSlow).(retry.Wait)
	assert.Assert(t, ok && w.For > 40*time.Millisecond && w.For < 60*time.Millisecond, "%v", w)
	notIdempotent := slow
	notIdempotent.Idempotent = false
	assert.DeepEqual(t, m.Hedge(now, notIdempotent), retry.HedgeAction(retry.NoHedge{}))
	// Each hedge uses one of the three initial credits.
	assert.DeepEqual(t, m.Hedge(now, slow), retry.HedgeAction(retry.StartHedge{Exclude: "u"}))
	assert.DeepEqual(t, m.Hedge(now, slow), retry.HedgeAction(retry.StartHedge{Exclude: "u"}))
	assert.DeepEqual(t, m.Hedge(now, slow), retry.HedgeAction(retry.NoHedge{})) // the last credit is reserved for a retry
	assert.Equal(t, m.Credit(), 1.0)
	assert.DeepEqual(t, retry.Losers([]int{1, 2, 3}, 2), []int{1, 3})
}

// Callers refused at the same time must not all retry at the same time, and delays must depend on the seed alone.
func TestRetryAfterIsSpreadAndSeeded(t *testing.T) {
	a, b := retry.New(retry.DefaultPolicy(), 7), retry.New(retry.DefaultPolicy(), 7)
	seen := map[time.Duration]bool{}
	for range 100 {
		d := a.RetryAfter(time.Second)
		assert.Equal(t, d, b.RetryAfter(time.Second))
		assert.Assert(t, d >= time.Second && d <= 1500*time.Millisecond)
		seen[d/(100*time.Millisecond)] = true
	}
	assert.Assert(t, len(seen) == 5, "delays fall into %d of 5 intervals of 100 ms between 1 s and 1.5 s", len(seen))
}

// A configured retry budget must take effect.
func TestSetPercentChangesTheRateOfCredit(t *testing.T) {
	p := retry.DefaultPolicy()
	p.InitialCredit = 0
	m := retry.New(p, 1)
	m.SetPercent(5)
	for range 20 {
		m.RecordSuccess()
	}
	assert.Equal(t, m.Credit(), 1.0)
	m.SetPercent(0) // restores the default
	for range 10 {
		m.RecordSuccess()
	}
	assert.Equal(t, m.Credit(), 2.0)
}
