package exec

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/flow/retry"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
)

// Ledger proposes commands to the control group. An error means that the outcome is unknown.
type Ledger interface {
	Propose(ctx context.Context, c rstate.Command) (rstate.Result, error)
}

// claim is the right of a request to run its non-repeatable stage.
type claim struct {
	stage      *fleet.Stage
	token      string
	recorded   *rstate.ClaimResult // outcome of an earlier request with the same key
	dispatched bool
	outcome    rstate.Outcome // "" while unknown
	output     string
}

func (c *claim) hasRecordedOutcome() bool { return c != nil && c.recorded != nil }

// NonRepeatableStage returns the non-repeatable stage of a pipeline that applies to a request, or nil.
func NonRepeatableStage(p *fleet.Pipeline, params map[string]string) *fleet.Stage {
	for i := range p.Stages {
		if s := &p.Stages[i]; s.NotRepeatable && Applies(s, params) {
			return s
		}
	}
	return nil
}

// claimKey claims the idempotency key of a request that has a non-repeatable stage. It does so before the first stage, so
// that a resend is answered and a group without quorum is detected before any work is spent.
func (u *run) claimKey(ctx context.Context) *failure {
	s := NonRepeatableStage(u.req.Pipeline, u.req.Params)
	if s == nil {
		return nil
	}
	u.claim = &claim{stage: s, token: uuid.NewString()}
	now := u.o.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, u.req.Deadline.Sub(now)))
	defer cancel()
	res, err := u.o.Ledger.Propose(ctx, rstate.Claim{
		Team: u.req.Team, Key: u.req.Key, BodyHash: u.req.BodyHash[:], Token: u.claim.token, RequestID: u.req.WorkID,
		Node: u.o.Node, KeyCreatedMS: u.req.KeyCreatedMS, DispatchDeadlineMS: u.req.Deadline.UnixMilli(), AtMS: now.UnixMilli(),
	})
	if err != nil {
		u.emitClaimEvent(event.ClaimRefused, event.F("reason", err.Error()))
		return u.newFailure(caller.CodeNoQuorum, "the ledger did not respond in time; no stage was started")
	}
	r, ok := res.(rstate.ClaimResult)
	if !ok {
		return u.newFailure(caller.CodeInternal, "the ledger rejected the claim")
	}
	return u.handleClaimResult(r)
}

// handleClaimResult converts the ledger's reply to a failure, or nil if the request may continue.
func (u *run) handleClaimResult(r rstate.ClaimResult) *failure {
	if r.Status == rstate.ClaimGranted {
		u.emitClaimEvent(event.ClaimGranted)
		return nil
	}
	if r.Status != rstate.ClaimSettled {
		u.emitClaimEvent(event.ClaimRefused, event.F("reason", string(r.Status)))
		return u.claimFailure(r)
	}
	u.claim.recorded = &r
	if r.Outcome == rstate.OutcomeRan {
		return nil
	}
	u.claim.outcome, u.ran = r.Outcome, retry.DidRun
	return u.newFailure(caller.CodeUpstreamFailed, "an earlier request with this key ran and failed")
}

func (u *run) claimFailure(r rstate.ClaimResult) *failure {
	// The token was not granted, so recordOutcome has nothing to abandon.
	u.claim.token = ""
	switch r.Status {
	case rstate.ClaimInProgress:
		u.ran = retry.Unknown
		return u.newFailure(caller.CodeKeyInProgress, "request "+r.RequestID+" with this key is in progress")
	case rstate.ClaimUnknown:
		u.ran = retry.Unknown
		return u.newFailure(caller.CodeKeyUnknown, "request "+r.RequestID+" with this key ended without a recorded outcome")
	case rstate.ClaimExpired:
		u.ran = retry.Unknown
		return u.newFailure(caller.CodeKeyExpired, "the key is older than the retention period and cannot run")
	case rstate.ClaimKeyReused:
		// The same work may have used the key with another creation time, so it may have run.
		u.ran = retry.Unknown
		return u.newFailure(caller.CodeKeyReused, "the key was already used by a different request")
	case rstate.ClaimFull:
		return u.newFailure(caller.CodeOverloaded, "the ledger is full")
	case rstate.ClaimRefused:
		return u.newFailure(caller.CodeBadRequest, r.Reason)
	case rstate.ClaimGranted, rstate.ClaimSettled, rstate.ClaimAbandoned:
	}
	return u.newFailure(caller.CodeInternal, "unexpected reply from the ledger: "+string(r.Status))
}

func (u *run) newFailure(code caller.Code, message string) *failure {
	u.mu.Lock()
	defer u.mu.Unlock()
	return &failure{code: code, message: message, retryAfter: u.retry.RetryAfter(retryAfterBase)}
}

// replayRecorded returns the recorded output in place of running the stage.
func (u *run) replayRecorded(s *fleet.Stage, answer bool) string {
	out := string(u.claim.recorded.Output)
	if answer {
		u.emitToken(out)
	}
	u.emit(caller.EventStage, caller.StageEvent{Stage: s.Name, Output: out, Replayed: true})
	return out
}

func (u *run) emitClaimEvent(code event.Code, more ...event.Field) {
	fields := []event.Field{
		event.F("request", u.req.ID), event.F("team", u.req.Team), event.F("stage", u.claim.stage.Name),
	}
	u.o.Events.Emit(code, append(fields, more...)...)
}

// claimTimeout limits a claim. It exceeds a commit across two regions and is shorter than an election, because a caller
// that is refused early can retry or use another path.
const claimTimeout = time.Second

// Limits for recording an outcome. The first try delays the response to the caller by at most recordTimeout. Later tries
// run in the background for up to recordRetryLimit, after which the key stays unknown.
const (
	recordTimeout    = 2 * time.Second
	recordRetryDelay = 500 * time.Millisecond
	recordRetryLimit = 5 * time.Minute
)

// recordOutcome records how the claim ended. A dispatched claim without a known outcome is not recorded: once its deadline
// has passed, the ledger reports its key as unknown.
func (u *run) recordOutcome() {
	c := u.claim
	if c == nil || c.token == "" || c.recorded != nil {
		return
	}
	now := u.o.Clock.Now().UnixMilli()
	var cmd rstate.Command
	switch {
	case !c.dispatched:
		cmd = rstate.Abandon{Team: u.req.Team, Key: u.req.Key, Token: c.token, AtMS: now}
	case c.outcome != "":
		cmd = rstate.Settle{Team: u.req.Team, Key: u.req.Key, Token: c.token, Outcome: c.outcome, Output: truncateOutput(c.output), AtMS: now}
	default:
		return
	}
	if _, ran := cmd.(rstate.Settle); ran && u.proposeOutcome(cmd) {
		return
	}
	u.wg.Go(func() {
		until := u.o.Clock.Now().Add(recordRetryLimit)
		for u.closing.Err() == nil && !u.proposeOutcome(cmd) && u.o.Clock.Now().Before(until) {
			_ = clock.Sleep(u.closing, u.o.Clock, recordRetryDelay)
		}
	})
}

func (u *run) proposeOutcome(cmd rstate.Command) bool {
	ctx, cancel := context.WithTimeout(u.closing, recordTimeout)
	defer cancel()
	if _, err := u.o.Ledger.Propose(ctx, cmd); err != nil {
		return false
	}
	u.emitClaimEvent(event.ClaimSettled, event.F("outcome", string(u.claim.outcome)))
	return true
}

// truncateOutput truncates an output to the size that the ledger stores.
func truncateOutput(out string) []byte { return []byte(out[:min(len(out), rstate.MaxOutput)]) }
