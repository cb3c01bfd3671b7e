// Package retry decides what follows a failed attempt, and when to hedge a slow attempt with a second one.
//
// A Machine is deterministic for its policy, seed and order of calls, and is not safe for concurrent use. Retries, hedges
// and reruns of broken streams are paid from one token bucket that successes fill. Since each stage run succeeds at most
// once, the attempts of a node stay at or below (1 + BudgetPercent/100) per stage run plus the initial credit, no matter
// what fails. A resume on the same upstream repeats no work and costs no credit.
//
// Usage:
//
//	m := retry.New(retry.DefaultPolicy(), seed)
//	switch a := m.Decide(now, retry.Attempt{Upstream: "enc-1", Idempotent: true, PossiblyDispatched: true,
//		Class: retry.ClassReset, TimeLeft: left}).(type) {
//	case retry.Retry:  // wait for a.After, then pick an upstream other than a.Exclude
//	case retry.Resume: // wait for a.After, then request the stream from a.Offset from the same upstream
//	case retry.Fail:   // fail the stage run and report a.Ran
//	}
//	m.RecordSuccess() // once per successful stage run
package retry

import (
	"math/rand/v2"
	"time"
)

// Policy holds the parameters of a Machine. DefaultPolicy sets all of them.
type Policy struct {
	// BudgetPercent is the number of extra attempts allowed per 100 successful stage runs.
	BudgetPercent int
	// InitialCredit is the number of extra attempts allowed before the first success.
	InitialCredit int
	// MaxCredit bounds the accumulated extra attempts, and thus the burst of retries when everything starts to fail.
	MaxCredit int
	// MaxAttempts bounds the attempts of one stage run, not counting resumes.
	MaxAttempts int
	// MaxResumes bounds the consecutive resumes of one attempt without new output.
	MaxResumes int
	// BaseBackoff and MaxBackoff bound the backoff, which doubles with each attempt.
	BaseBackoff, MaxBackoff time.Duration
	// MinTimeLeft is the minimum time until the deadline for another attempt to be useful.
	MinTimeLeft time.Duration
	// HedgeQuantile is the latency quantile after which a hedge is sent; 0 disables hedging.
	HedgeQuantile float64
	// MinHedgeSamples is the number of recent latencies required for hedging.
	MinHedgeSamples int64
	// HedgeWindow is the window over which latencies are kept.
	HedgeWindow time.Duration
	// MinHedgeDelay is the minimum delay of a hedge. Earlier hedges save less than they cost.
	MinHedgeDelay time.Duration
	// RetryAfterSpread is the largest fraction by which RetryAfter randomly extends a delay.
	RetryAfterSpread float64
}

// DefaultPolicy returns the default parameters; docs/notes/routing.md explains them.
func DefaultPolicy() Policy {
	return Policy{
		BudgetPercent:    10,
		InitialCredit:    3,
		MaxCredit:        20,
		MaxAttempts:      3,
		MaxResumes:       2,
		BaseBackoff:      20 * time.Millisecond,
		MaxBackoff:       time.Second,
		MinTimeLeft:      5 * time.Millisecond,
		HedgeQuantile:    0.98,
		MinHedgeSamples:  50,
		HedgeWindow:      30 * time.Second,
		MinHedgeDelay:    5 * time.Millisecond,
		RetryAfterSpread: 0.5,
	}
}

// Ran states whether work has run, with the values of the caller interface.
type Ran string

// Values of Ran.
const (
	NotRun  Ran = "not_run" // certainly not run
	DidRun  Ran = "ran"     // run at least in part
	Unknown Ran = "unknown" // possibly run
)

// Class is the kind of error that ended an attempt.
type Class int

// Error classes.
const (
	// ClassConnect is an error before the request was sent, such as a refused connection.
	ClassConnect Class = iota
	// ClassNotStarted and ClassBusy are refusals that guarantee that nothing ran.
	ClassNotStarted
	ClassBusy
	// ClassReset is a connection or stream that broke after the request was sent.
	ClassReset
	// ClassTimeout is an attempt that was not answered within its timeout.
	ClassTimeout
	// ClassFailed is an error that the upstream reported after it had started working.
	ClassFailed
	// ClassBadRequest is an error that every upstream would return.
	ClassBadRequest
	// ClassMismatch is a rerun whose output differs from what was already delivered.
	ClassMismatch
	// ClassCancelled is an attempt that the caller cancelled.
	ClassCancelled
)

// Attempt describes a failed attempt.
type Attempt struct {
	Upstream string
	// Number is the number of this attempt within the stage run, starting at 1.
	Number int
	// Idempotent is set if the work may be repeated.
	Idempotent bool
	// PossiblyDispatched is set if bytes of the request may have reached the upstream.
	PossiblyDispatched bool
	// EarlierRan is the combined Ran of the earlier attempts; empty means NotRun.
	EarlierRan Ran
	// Delivered is the number of stream chunks delivered to the caller; 0 if the answer is not a stream.
	Delivered int
	// Resumable is set if the upstream can continue the stream: it is live and of the same incarnation.
	Resumable bool
	// Resumes is the number of resumes since the last new chunk.
	Resumes int
	Class   Class
	// RetryAfter is the delay that the upstream requested, or 0.
	RetryAfter time.Duration
	// TimeLeft is the time until the deadline of the stage.
	TimeLeft time.Duration
}

// Action is what follows a failed attempt: Retry, Resume or Fail.
//
//sumtype:decl
type Action interface{ action() }

// Retry starts another attempt on another upstream. If Offset is above 0 it reruns a broken stream: output before the
// offset must be compared with what was delivered, and not be delivered again.
type Retry struct {
	After   time.Duration
	Exclude string
	Offset  int
}

// Resume continues a broken stream on the same upstream.
type Resume struct {
	After  time.Duration
	Offset int
}

// Fail ends the stage run.
type Fail struct {
	Ran    Ran
	Reason Reason
}

func (Retry) action()  {}
func (Resume) action() {}
func (Fail) action()   {}

// Reason is the reason why a stage run is not retried.
type Reason string

// Reasons of Fail.
const (
	ReasonDeadline      Reason = "deadline"       // not enough time for another attempt
	ReasonNotRepeatable Reason = "not_repeatable" // the work may have run and may not be repeated
	ReasonBudget        Reason = "retry_budget"   // the retry budget is spent
	ReasonAttempts      Reason = "max_attempts"   // MaxAttempts is reached
	ReasonRequest       Reason = "request"        // another attempt would fail in the same way, or is not wanted
)

// Machine holds the retry budget of a node and its recent latencies for hedging.
type Machine struct {
	policy    Policy
	rng       *rand.Rand
	credit    int // in hundredths of an attempt, so that fractions add up exactly
	latencies map[string]*poolLatency
}

const attemptCost = 100 // credit for one extra attempt

// New returns a machine with the initial credit. The seed determines the jitter.
func New(policy Policy, seed uint64) *Machine {
	return &Machine{
		policy:    policy,
		rng:       rand.New(rand.NewPCG(seed, 0x7265747279)),
		credit:    min(policy.InitialCredit, policy.MaxCredit) * attemptCost,
		latencies: map[string]*poolLatency{},
	}
}

// RecordSuccess adds to the budget. Call it once per successful stage run, regardless of the number of attempts.
func (m *Machine) RecordSuccess() {
	m.credit = min(m.credit+m.policy.BudgetPercent, m.policy.MaxCredit*attemptCost)
}

// SetPercent changes Policy.BudgetPercent; 0 means the default. The accumulated credit is kept.
func (m *Machine) SetPercent(percent int) {
	if percent <= 0 {
		percent = DefaultPolicy().BudgetPercent
	}
	m.policy.BudgetPercent = percent
}

// Credit returns the number of extra attempts that the budget currently allows.
func (m *Machine) Credit() float64 { return float64(m.credit) / attemptCost }

func (m *Machine) spendCredit() bool {
	if m.credit < attemptCost {
		return false
	}
	m.credit -= attemptCost
	return true
}

// Decide returns what follows a failed attempt: Retry, Resume or Fail.
func (m *Machine) Decide(_ time.Time, a Attempt) Action {
	ran := combineRan(a.EarlierRan, a.ranStatus())
	if a.Class == ClassBadRequest || a.Class == ClassCancelled || a.Class == ClassMismatch {
		return Fail{ran, ReasonRequest}
	}
	if a.TimeLeft < m.policy.MinTimeLeft {
		return Fail{ran, ReasonDeadline}
	}
	if a.Delivered > 0 && a.Resumable && a.Class == ClassReset && a.Resumes < m.policy.MaxResumes {
		return Resume{After: m.backoff(a.Resumes, a.TimeLeft), Offset: a.Delivered}
	}
	// Work that is not idempotent fails even if a refusal guarantees that nothing ran: its claim allows one dispatch. The
	// caller is told not_run and can safely send it again under a new claim.
	if !a.Idempotent && (a.PossiblyDispatched || ran != NotRun) {
		return Fail{ran, ReasonNotRepeatable}
	}
	if a.Number >= m.policy.MaxAttempts {
		return Fail{ran, ReasonAttempts}
	}
	after := max(m.backoff(max(a.Number-1, 0), a.TimeLeft), a.RetryAfter)
	if after+m.policy.MinTimeLeft > a.TimeLeft {
		return Fail{ran, ReasonDeadline}
	}
	if !m.spendCredit() {
		return Fail{ran, ReasonBudget}
	}
	return Retry{After: after, Exclude: a.Upstream, Offset: a.Delivered}
}

// ranStatus returns whether this attempt has run, regardless of earlier ones.
func (a Attempt) ranStatus() Ran {
	switch {
	case a.Delivered > 0 || a.Class == ClassFailed || a.Class == ClassMismatch:
		return DidRun
	case a.Class == ClassNotStarted || a.Class == ClassBusy:
		return NotRun
	case !a.PossiblyDispatched:
		return NotRun
	default:
		return Unknown
	}
}

// combineRan combines the states of several attempts: work that ran in one of them has run.
func combineRan(a, b Ran) Ran {
	switch {
	case a == DidRun || b == DidRun:
		return DidRun
	case a == Unknown || b == Unknown:
		return Unknown
	default:
		return NotRun
	}
}

// backoff returns a random delay below BaseBackoff doubled n times. It is at most MaxBackoff and a quarter of the time
// left, so that the delay itself does not use up the deadline.
func (m *Machine) backoff(n int, left time.Duration) time.Duration {
	limit := min(m.policy.BaseBackoff<<min(n, 20), m.policy.MaxBackoff, left/4)
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// RetryAfter returns the retry delay for a refused caller: base with a random extension, so that callers refused at the
// same time do not retry at the same time.
func (m *Machine) RetryAfter(base time.Duration) time.Duration {
	return base + time.Duration(m.rng.Float64()*m.policy.RetryAfterSpread*float64(base))
}
