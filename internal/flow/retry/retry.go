// Package retry decides what follows a failed attempt, and when a slow attempt gets a second one beside it.
//
// A Machine is deterministic for its policy, seed and order of calls, and is not safe for concurrent use. Retries,
// hedges and reruns of broken streams draw on one token bucket that is filled by successes. Since each stage run
// succeeds at most once, the attempts of a node stay at or below (1 + Percent/100) per stage run plus the start credit,
// whatever fails. A resume on the same upstream repeats no work and is free.
//
// Usage:
//
//	m := retry.New(retry.DefaultPolicy(), seed)
//	switch a := m.Decide(now, retry.Attempt{Upstream: "enc-1", Idempotent: true, PossiblyDispatched: true,
//		Class: retry.ClassReset, Left: left}).(type) {
//	case retry.Retry:  // wait a.After, pick again without a.Exclude
//	case retry.Resume: // ask the same upstream for the stream from a.Offset on
//	case retry.Fail:   // answer the caller with a.Ran
//	}
//	m.Succeeded() // once for each stage run that succeeded
package retry

import (
	"math/rand/v2"
	"time"
)

// Policy holds the parameters of a Machine. DefaultPolicy fills all of them.
type Policy struct {
	// Percent is the number of extra attempts allowed per 100 successes.
	Percent int
	// Start is the number of extra attempts allowed before any success.
	Start int
	// Cap bounds the saved extra attempts, and so the burst of retries when everything starts to fail.
	Cap int
	// MaxAttempts bounds the attempts of one stage run, resumes not counted.
	MaxAttempts int
	// MaxResumes bounds the resumes of one attempt that bring no new output.
	MaxResumes int
	// Base and Max bound the back-off, which doubles with each attempt.
	Base, Max time.Duration
	// MinLeft is the time that an attempt needs to be of any use.
	MinLeft time.Duration
	// HedgeQuantile is the quantile of the latency after which a hedge is sent; 0 turns hedging off.
	HedgeQuantile float64
	// HedgeSamples is the number of recent latencies needed for a hedge.
	HedgeSamples int64
	// HedgeWindow is the time after which latencies are forgotten.
	HedgeWindow time.Duration
	// HedgeMin is the least delay of a hedge: below it a hedge saves less than it costs.
	HedgeMin time.Duration
	// RetryAfterSpread is the largest part by which a delay given to a caller is lengthened at random.
	RetryAfterSpread float64
}

// DefaultPolicy returns the parameters that docs/notes/routing.md explains.
func DefaultPolicy() Policy {
	return Policy{
		Percent:          10,
		Start:            3,
		Cap:              20,
		MaxAttempts:      3,
		MaxResumes:       2,
		Base:             20 * time.Millisecond,
		Max:              time.Second,
		MinLeft:          5 * time.Millisecond,
		HedgeQuantile:    0.98,
		HedgeSamples:     50,
		HedgeWindow:      30 * time.Second,
		HedgeMin:         5 * time.Millisecond,
		RetryAfterSpread: 0.5,
	}
}

// Ran says whether work ran, as the caller interface reports it.
type Ran string

// The values of Ran.
const (
	NotRun  Ran = "not_run"
	DidRun  Ran = "ran"
	Unknown Ran = "unknown"
)

// Class is the kind of error that ended an attempt.
type Class int

// The classes of errors.
const (
	// ClassConnect is an error before the request was written, such as a refused connection.
	ClassConnect Class = iota
	// ClassNotStarted and ClassBusy are refusals by which the upstream promises that nothing ran.
	ClassNotStarted
	ClassBusy
	// ClassReset is a connection or stream that broke after the request was written.
	ClassReset
	// ClassTimeout is an attempt that did not answer in its time.
	ClassTimeout
	// ClassFailed is an error that the upstream reported after it had started the work.
	ClassFailed
	// ClassBadRequest is an error that any upstream would report again.
	ClassBadRequest
	// ClassMismatch is a rerun whose output differs from what the caller already has.
	ClassMismatch
	// ClassCancelled is an attempt that the caller gave up.
	ClassCancelled
)

// Attempt describes a failed attempt.
type Attempt struct {
	Upstream string
	// Number counts the attempts of this stage run, from 1.
	Number int
	// Idempotent says that the work may be repeated.
	Idempotent bool
	// PossiblyDispatched says that bytes of the request may have reached the upstream.
	PossiblyDispatched bool
	// EarlierRan is the strongest statement about the attempts before this one; empty means NotRun.
	EarlierRan Ran
	// Delivered is the number of chunks of the stream that the caller has; 0 if the answer is not a stream.
	Delivered int
	// Resumable says that the upstream can continue the stream: it is live and still of the same incarnation.
	Resumable bool
	// Resumes counts the resumes since the last new chunk.
	Resumes int
	Class   Class
	// RetryAfter is the delay that the upstream asked for, or 0.
	RetryAfter time.Duration
	// TimeLeft is the time before the deadline of the stage.
	TimeLeft time.Duration
}

// Action is what follows a failed attempt: Retry, Resume or Fail.
//
//sumtype:decl
type Action interface{ action() }

// Retry starts another attempt on another upstream. If Offset is above 0 it is a rerun of a broken stream: output before
// the offset must be compared with what was delivered, not delivered again.
type Retry struct {
	After   time.Duration
	Exclude string
	Offset  int
}

// Resume continues the stream on the same upstream.
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

// Reason says why a stage run is not retried.
type Reason string

// The reasons of Fail.
const (
	ReasonDeadline      Reason = "deadline"       // no time left for another attempt
	ReasonNotRepeatable Reason = "not_repeatable" // the work may have run and may not be repeated
	ReasonBudget        Reason = "retry_budget"   // the retry budget is spent
	ReasonAttempts      Reason = "max_attempts"   // too many attempts
	ReasonRequest       Reason = "request"        // another attempt would end in the same way
)

// Machine holds the retry budget and the latencies for hedges.
type Machine struct {
	policy  Policy
	rng     *rand.Rand
	credit  int // in hundredths of an attempt, so that tenths add up exactly
	latency map[string]*tail
}

const attemptCost = 100

// New returns a machine with the start credit. The seed decides the jitter.
func New(policy Policy, seed uint64) *Machine {
	return &Machine{
		policy:  policy,
		rng:     rand.New(rand.NewPCG(seed, 0x7265747279)),
		credit:  min(policy.Start, policy.Cap) * attemptCost,
		latency: map[string]*tail{},
	}
}

// RecordSuccess fills the budget. It is called once for each stage run that succeeded, however many attempts it took.
func (m *Machine) RecordSuccess() {
	m.credit = min(m.credit+m.policy.Percent, m.policy.Cap*attemptCost)
}

// SetPercent changes the number of extra attempts that 100 successes allow; 0 means the default. The credit stays.
func (m *Machine) SetPercent(percent int) {
	if percent <= 0 {
		percent = DefaultPolicy().Percent
	}
	m.policy.Percent = percent
}

// Credit returns the number of extra attempts that the budget allows now.
func (m *Machine) Credit() float64 { return float64(m.credit) / attemptCost }

func (m *Machine) take() bool {
	if m.credit < attemptCost {
		return false
	}
	m.credit -= attemptCost
	return true
}

// Decide returns what follows a failed attempt: one of Retry, Resume and Fail.
func (m *Machine) Decide(_ time.Time, a Attempt) Action {
	ran := worst(a.EarlierRan, a.ran())
	if a.Class == ClassBadRequest || a.Class == ClassCancelled || a.Class == ClassMismatch {
		return Fail{ran, ReasonRequest}
	}
	if a.TimeLeft < m.policy.MinLeft {
		return Fail{ran, ReasonDeadline}
	}
	if a.Delivered > 0 && a.Resumable && a.Class == ClassReset && a.Resumes < m.policy.MaxResumes {
		return Resume{After: m.backoff(a.Resumes, a.TimeLeft), Offset: a.Delivered}
	}
	// Even a refusal that proves that nothing ran ends work that may not repeat: its claim allows one dispatch, and the
	// caller, who is told not_run, can safely send it again under a new claim.
	if !a.Idempotent && (a.PossiblyDispatched || ran != NotRun) {
		return Fail{ran, ReasonNotRepeatable}
	}
	if a.Number >= m.policy.MaxAttempts {
		return Fail{ran, ReasonAttempts}
	}
	after := max(m.backoff(max(a.Number-1, 0), a.TimeLeft), a.RetryAfter)
	if after+m.policy.MinLeft > a.TimeLeft {
		return Fail{ran, ReasonDeadline}
	}
	if !m.take() {
		return Fail{ran, ReasonBudget}
	}
	return Retry{After: after, Exclude: a.Upstream, Offset: a.Delivered}
}

// ran returns what is known of this attempt alone.
func (a Attempt) ran() Ran {
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

// worst combines statements about several attempts: work that ran in one of them ran.
func worst(a, b Ran) Ran {
	switch {
	case a == DidRun || b == DidRun:
		return DidRun
	case a == Unknown || b == Unknown:
		return Unknown
	default:
		return NotRun
	}
}

// backoff returns a random delay below Base doubled n times, and at most a quarter of the time left, so that the delay
// itself does not use up the deadline.
func (m *Machine) backoff(n int, left time.Duration) time.Duration {
	limit := min(m.policy.Base<<min(n, 20), m.policy.Max, left/4)
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// RetryAfter returns a delay for a caller whose request is refused: base, lengthened at random, so that callers refused
// at the same moment do not return at the same moment.
func (m *Machine) RetryAfter(base time.Duration) time.Duration {
	return base + time.Duration(m.rng.Float64()*m.policy.RetryAfterSpread*float64(base))
}
