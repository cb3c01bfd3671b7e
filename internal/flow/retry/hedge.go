package retry

import (
	"time"

	"github.com/berylledge/berylledge/internal/base/hist"
)

// maxPools is the maximum number of pools whose latencies are recorded.
const maxPools = 256

// quantileTTL is how long a computed quantile is reused.
const quantileTTL = time.Second

// poolLatency holds the recent latencies of one pool and a cached quantile.
type poolLatency struct {
	window     *hist.Window
	quantile   time.Duration
	known      bool
	computedAt time.Time
}

// RunningAttempt describes an attempt that has not produced any output yet.
type RunningAttempt struct {
	Pool       string
	Upstream   string
	Idempotent bool
	Elapsed    time.Duration // time since the attempt was sent
	TimeLeft   time.Duration // time until the deadline of the stage
	Attempts   int           // number of attempts of this stage run, including this one
}

// HedgeAction is the result of Hedge: Wait, StartHedge or NoHedge.
//
//sumtype:decl
type HedgeAction interface{ hedgeAction() }

// Wait calls Hedge again after For, unless the attempt has produced output by then.
type Wait struct{ For time.Duration }

// StartHedge starts a second attempt on another upstream.
type StartHedge struct{ Exclude string }

// NoHedge lets the attempt continue without a hedge.
type NoHedge struct{}

func (Wait) hedgeAction()       {}
func (StartHedge) hedgeAction() {}
func (NoHedge) hedgeAction()    {}

// RecordLatency records the time to the first output of an attempt that succeeded without a hedge, or the elapsed time of
// an attempt that was cancelled because its hedge won. Without the latter, each hedge would shorten the measured tail.
func (m *Machine) RecordLatency(now time.Time, pool string, d time.Duration) {
	l := m.latencies[pool]
	if l == nil {
		if len(m.latencies) >= maxPools {
			return
		}
		l = &poolLatency{window: hist.New(m.policy.HedgeWindow)}
		m.latencies[pool] = l
	}
	l.window.Record(now, d)
}

// Hedge decides whether to start a second attempt for a slow one. A hedge is paid from the retry budget and leaves at least
// one attempt in it, because a retry after a failure is worth more than a hedge.
func (m *Machine) Hedge(now time.Time, a RunningAttempt) HedgeAction {
	delay, known := m.hedgeDelay(now, a.Pool)
	if !known || !a.Idempotent || a.Attempts > 1 || a.TimeLeft < delay-a.Elapsed+m.policy.MinTimeLeft {
		return NoHedge{}
	}
	if a.Elapsed < delay {
		return Wait{delay - a.Elapsed}
	}
	if m.credit < 2*attemptCost || !m.spendCredit() {
		return NoHedge{}
	}
	return StartHedge{Exclude: a.Upstream}
}

// hedgeDelay returns the elapsed time after which attempts of a pool are hedged, or false if too few latencies are known.
func (m *Machine) hedgeDelay(now time.Time, pool string) (time.Duration, bool) {
	l := m.latencies[pool]
	if l == nil || m.policy.HedgeQuantile <= 0 {
		return 0, false
	}
	if l.computedAt.IsZero() || now.Sub(l.computedAt) >= quantileTTL {
		l.computedAt = now
		l.known = l.window.Count(now) >= m.policy.MinHedgeSamples
		if l.known {
			l.quantile, l.known = l.window.Quantile(now, m.policy.HedgeQuantile)
		}
	}
	return max(l.quantile, m.policy.MinHedgeDelay), l.known
}

// Losers returns the attempts to cancel after the winner has produced output. The caller sends upapi.Cancel for each of
// them and discards any further output.
func Losers(running []int, winner int) []int {
	var out []int
	for _, n := range running {
		if n != winner {
			out = append(out, n)
		}
	}
	return out
}
