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

// Ledger proposes commands to the control group. An error says that the outcome is not known.
type Ledger interface {
	Propose(ctx context.Context, c rstate.Command) (rstate.Result, error)
}

// claim is the right of a request to run its stage that may not repeat.
type claim struct {
	stage      *fleet.Stage
	token      string
	recorded   *rstate.ClaimResult // outcome of an earlier request with the same key
	dispatched bool
	outcome    rstate.Outcome // "" while it is not known
	output     string
}

func (c *claim) replayed() bool { return c != nil && c.recorded != nil }

// NonRepeatableStage returns the stage of a pipeline that may not repeat and applies to a request, or nil.
func NonRepeatableStage(p *fleet.Pipeline, params map[string]string) *fleet.Stage {
	for i := range p.Stages {
		if s := &p.Stages[i]; s.NotRepeatable && Applies(s, params) {
			return s
		}
	}
	return nil
}

// begin claims the key of a request that has a stage which may not repeat. It does so before the first stage, so that a
// resend is answered and a group without quorum is noticed before any cost arises.
func (u *run) begin(ctx context.Context) *failure {
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
		u.noteClaim(event.ClaimRefused, event.F("reason", err.Error()))
		return u.fail(caller.CodeNoQuorum, "the ledger did not answer in time; nothing was started")
	}
	r, ok := res.(rstate.ClaimResult)
	if !ok {
		return u.fail(caller.CodeInternal, "the ledger refused the claim")
	}
	return u.claimed(r)
}

// claimed turns the answer to a claim into a failure, or nil if the request may go on.
func (u *run) claimed(r rstate.ClaimResult) *failure {
	if r.Status == rstate.ClaimGranted {
		u.noteClaim(event.ClaimGranted)
		return nil
	}
	if r.Status != rstate.ClaimSettled {
		u.noteClaim(event.ClaimRefused, event.F("reason", string(r.Status)))
		return u.claimRefused(r)
	}
	u.claim.recorded = &r
	if r.Outcome == rstate.OutcomeRan {
		return nil
	}
	u.claim.outcome, u.ran = r.Outcome, retry.DidRun
	return u.fail(caller.CodeUpstreamFailed, "an earlier request with this key ran and failed")
}

func (u *run) claimRefused(r rstate.ClaimResult) *failure {
	// The token was not granted, so there is nothing to give up.
	u.claim.token = ""
	switch r.Status {
	case rstate.ClaimInProgress:
		u.ran = retry.Unknown
		return u.fail(caller.CodeKeyInProgress, "request "+r.RequestID+" with this key is in progress")
	case rstate.ClaimUnknown:
		u.ran = retry.Unknown
		return u.fail(caller.CodeKeyUnknown, "request "+r.RequestID+" with this key ended without a recorded outcome")
	case rstate.ClaimExpired:
		u.ran = retry.Unknown
		return u.fail(caller.CodeKeyExpired, "the key is older than the retention period and is never run")
	case rstate.ClaimKeyReused:
		// The key may be that of the same work with another creation time, so this work may have run.
		u.ran = retry.Unknown
		return u.fail(caller.CodeKeyReused, "the key was used with another request")
	case rstate.ClaimFull:
		return u.fail(caller.CodeOverloaded, "the ledger is full")
	case rstate.ClaimRefused:
		return u.fail(caller.CodeBadRequest, r.Reason)
	case rstate.ClaimGranted, rstate.ClaimSettled, rstate.ClaimAbandoned:
	}
	return u.fail(caller.CodeInternal, "unexpected answer of the ledger: "+string(r.Status))
}

func (u *run) fail(code caller.Code, message string) *failure {
	u.mu.Lock()
	defer u.mu.Unlock()
	return &failure{code: code, message: message, retryAfter: u.retry.RetryAfter(retryAfterBase)}
}

// replay uses the recorded outcome in place of the stage.
func (u *run) replay(s *fleet.Stage, answer bool) string {
	out := string(u.claim.recorded.Output)
	if answer {
		u.deliver(out)
	}
	u.emit(caller.EventStage, caller.StageEvent{Stage: s.Name, Output: out, Replayed: true})
	return out
}

func (u *run) noteClaim(code event.Code, more ...event.Field) {
	fields := []event.Field{
		event.F("request", u.req.ID), event.F("team", u.req.Team), event.F("stage", u.claim.stage.Name),
	}
	u.o.Events.Emit(code, append(fields, more...)...)
}

// claimTimeout is how long a claim may take. It is above a commit over two regions and below an election, because a
// caller that is refused at once can try again or use another way.
const claimTimeout = time.Second

// Times for recording an outcome. The first try delays the answer to the caller at most by settleTimeout; later tries run
// in the background until settleGiveUp, after which the key stays unknown.
const (
	settleTimeout = 2 * time.Second
	settlePause   = 500 * time.Millisecond
	settleGiveUp  = 5 * time.Minute
)

// settle records how the claim ended. A dispatched claim without a known outcome is left alone: its key is answered as
// unknown once its deadline has passed.
func (u *run) settle() {
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
		cmd = rstate.Settle{Team: u.req.Team, Key: u.req.Key, Token: c.token, Outcome: c.outcome, Output: recordable(c.output), AtMS: now}
	default:
		return
	}
	if _, ran := cmd.(rstate.Settle); ran && u.record(cmd) {
		return
	}
	u.wg.Go(func() {
		until := u.o.Clock.Now().Add(settleGiveUp)
		for u.closing.Err() == nil && !u.record(cmd) && u.o.Clock.Now().Before(until) {
			_ = clock.Sleep(u.closing, u.o.Clock, settlePause)
		}
	})
}

func (u *run) record(cmd rstate.Command) bool {
	ctx, cancel := context.WithTimeout(u.closing, settleTimeout)
	defer cancel()
	if _, err := u.o.Ledger.Propose(ctx, cmd); err != nil {
		return false
	}
	u.noteClaim(event.ClaimSettled, event.F("outcome", string(u.claim.outcome)))
	return true
}

// recordable cuts an output to what the ledger keeps.
func recordable(out string) []byte { return []byte(out[:min(len(out), rstate.MaxOutput)]) }
