package retry

import (
	"time"

	"github.com/berylledge/berylledge/internal/base/hist"
)

// maxPools bounds the pools whose latencies are kept.
const maxPools = 256

// quantileLife is how long a computed quantile is used before it is computed again.
const quantileLife = time.Second

// tail is the recent latency of one pool.
type tail struct {
	window *hist.Window
	delay  time.Duration
	known  bool
	at     time.Time
}

// RunningAttempt describes an attempt that has not produced output yet.
type RunningAttempt struct {
	Pool       string
	Upstream   string
	Idempotent bool
	Elapsed    time.Duration // since the attempt was sent
	TimeLeft   time.Duration // before the deadline of the stage
	Attempts   int           // attempts of this stage run, this one included
}

// HedgeAction is the answer to Hedge: Wait, Start or Never.
//
//sumtype:decl
type HedgeAction interface{ hedgeAction() }

// Wait asks again after For, if the attempt has not produced output by then.
type Wait struct{ For time.Duration }

// StartHedge sends a second attempt to another upstream.
type StartHedge struct{ Exclude string }

// NoHedge leaves the attempt alone.
type NoHedge struct{}

func (Wait) hedgeAction()       {}
func (StartHedge) hedgeAction() {}
func (NoHedge) hedgeAction()    {}

// RecordLatency records the time to the first output of an attempt that succeeded without a hedge, or its elapsed time if it
// was cancelled because a hedge won: leaving the latter out would make the tail look shorter with each hedge.
func (m *Machine) RecordLatency(now time.Time, pool string, d time.Duration) {
	t := m.latency[pool]
	if t == nil {
		if len(m.latency) >= maxPools {
			return
		}
		t = &tail{window: hist.New(m.policy.HedgeWindow)}
		m.latency[pool] = t
	}
	t.window.Record(now, d)
}

// Hedge decides whether a slow attempt gets a second one. A hedge draws on the retry budget and leaves at least one
// attempt in it, because a retry after a failure is worth more than a hedge.
func (m *Machine) Hedge(now time.Time, a RunningAttempt) HedgeAction {
	delay, known := m.hedgeDelay(now, a.Pool)
	if !known || !a.Idempotent || a.Attempts > 1 || a.TimeLeft < delay-a.Elapsed+m.policy.MinLeft {
		return NoHedge{}
	}
	if a.Elapsed < delay {
		return Wait{delay - a.Elapsed}
	}
	if m.credit < 2*attemptCost || !m.take() {
		return NoHedge{}
	}
	return StartHedge{Exclude: a.Upstream}
}

func (m *Machine) hedgeDelay(now time.Time, pool string) (time.Duration, bool) {
	t := m.latency[pool]
	if t == nil || m.policy.HedgeQuantile <= 0 {
		return 0, false
	}
	if t.at.IsZero() || now.Sub(t.at) >= quantileLife {
		t.at = now
		t.known = t.window.Count(now) >= m.policy.HedgeSamples
		if t.known {
			t.delay, t.known = t.window.Quantile(now, m.policy.HedgeQuantile)
		}
	}
	return max(t.delay, m.policy.HedgeMin), t.known
}

// Losers returns the attempts to cancel when one of several running attempts has produced output. The caller sends
// upapi.Cancel for each of them and drops what they still send.
func Losers(running []int, winner int) []int {
	var out []int
	for _, n := range running {
		if n != winner {
			out = append(out, n)
		}
	}
	return out
}
