package exec

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/flow/retry"
	"github.com/berylledge/berylledge/internal/flow/route"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/internal/wire/memory"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// stageRun is the state of one stage of a request across its attempts.
type stageRun struct {
	*run
	stage       *fleet.Stage
	priorOutput string
	isAnswer    bool // the output of this stage is the response
	start       time.Time
	// deadline ends the stage's share of the time budget. The rest is reserved for the stages after it.
	deadline      time.Time
	attemptNumber int
	resumes       int
	exclude       []string
	earlierRan    retry.Ran
	chunks        []string // stream chunks received so far
	cost          upapi.Cost
	choice        route.Choice
	permit        Permit
	permitPending bool // the guard has not answered the last permit request
}

// outcome is the result of one attempt.
type outcome struct {
	ok          bool
	class       retry.Class
	dispatched  bool // bytes of the request may have reached the upstream
	connLost    bool // the connection broke or timed out, so the upstream may have died
	connRefused bool // the upstream refused the connection
	message     string
	output      string
	cost        upapi.Cost
	firstByte   time.Duration
	retryAfter  time.Duration
}

func (u *run) runStage(ctx context.Context, index int, prior string, answer bool) (string, *failure) {
	s := &u.req.Pipeline.Stages[index]
	now := u.o.Clock.Now()
	u.mu.Lock()
	left := u.book.Split(now, u.req.Deadline, u.req.Pipeline.Name, remainingStages(u.req, index))
	u.mu.Unlock()
	if left <= 0 { // the pipeline was removed from the configuration; requests admitted under it still complete
		left = u.req.Deadline.Sub(now)
	}
	u.o.Events.Emit(event.StageStarted, event.F("request", u.req.ID), event.F("stage", s.Name), event.F("budget_ms", left.Milliseconds()))
	if s.NotRepeatable && u.claim.hasRecordedOutcome() {
		return u.replayRecorded(s, answer), nil
	}
	st := &stageRun{run: u, stage: s, priorOutput: prior, isAnswer: answer, start: now, deadline: now.Add(left), earlierRan: retry.NotRun}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	out, f := st.runAttempts(ctx)
	st.recordStageTime(index)
	u.stageResults = append(u.stageResults, StageResult{s.Name, st.attemptNumber, f != nil, CostOf(st.cost, st.chargedSlotTime())})
	if f != nil {
		return "", f
	}
	if s.NotRepeatable {
		u.claim.outcome, u.claim.output = rstate.OutcomeRan, out
		// Recorded before the output is delivered, so that a resend after a lost response finds the outcome.
		u.recordOutcome()
		u.claim.token = ""
	}
	st.emitFinished(out)
	return out, nil
}

// recordStageTime records the duration of the stage, including that of a failed one: leaving those out would make a
// stage that has become slow look fast.
func (st *stageRun) recordStageTime(index int) {
	now := st.o.Clock.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	st.book.Observe(now, st.req.Pipeline.Name, index, now.Sub(st.start))
}

// emitFinished emits the events of a finished stage.
func (st *stageRun) emitFinished(out string) {
	elapsed := st.o.Clock.Now().Sub(st.start)
	st.addCostToRun()
	st.o.Events.Emit(event.StageFinished, event.F("request", st.req.ID), event.F("stage", st.stage.Name),
		event.F("elapsed_ms", elapsed.Milliseconds()), event.F("cost", fmt.Sprintf("%.1f", CostOf(st.cost, st.chargedSlotTime()))))
	e := caller.StageEvent{
		Stage: st.stage.Name, Upstream: st.choice.Upstream.ID, Attempts: st.attemptNumber, ElapsedUS: elapsed.Microseconds(),
		Prefill: st.cost.PrefillTokens, Cached: st.cost.CachedTokens, Generated: st.cost.GeneratedTokens, BusyUS: st.cost.BusyUS,
	}
	if st.stage.Kind == fleet.Call {
		e.Output = out
	}
	if st.isAnswer && st.stage.Kind != fleet.Generate {
		st.emitToken(out)
	}
	st.emit(caller.EventStage, e)
}

// chargedSlotTime returns the slot time that is charged as cost. It is 0 for a generation, which is charged by its tokens.
func (st *stageRun) chargedSlotTime() time.Duration {
	if st.stage.Kind == fleet.Generate {
		return 0
	}
	return time.Duration(st.cost.BusyUS) * time.Microsecond
}

func (st *stageRun) addCostToRun() {
	st.run.cost = addCost(st.run.cost, st.cost)
	st.slotTime += st.chargedSlotTime()
}

func addCost(a, b upapi.Cost) upapi.Cost {
	a.PrefillTokens += b.PrefillTokens
	a.CachedTokens += b.CachedTokens
	a.GeneratedTokens += b.GeneratedTokens
	a.BusyUS += b.BusyUS
	return a
}

// runAttempts runs the stage until an attempt succeeds or the retry policy ends it.
func (st *stageRun) runAttempts(ctx context.Context) (string, *failure) {
	resume := false
	defer st.cancelPendingPermit()
	for {
		if f := st.acquirePermit(ctx, resume); f != nil {
			// Earlier attempts may have run even though this one was not started.
			st.ran = strongerRan(st.ran, st.earlierRan)
			return "", f
		}
		o := st.runAttempt(ctx, resume)
		st.notifyGuard(o)
		if st.noRoom { // another attempt would only cost the upstream more
			st.ran = strongerRan(st.ran, retry.DidRun)
			return "", &failure{code: caller.CodeInternal, message: "stage " + st.stage.Name + ": the memory for answers is in use"}
		}
		if o.ok {
			st.ran = strongerRan(st.ran, retry.DidRun)
			return o.output, nil
		}
		switch a := st.decide(o).(type) {
		case retry.Retry:
			st.exclude, resume = append(st.exclude, a.Exclude), false
			_ = clock.Sleep(ctx, st.o.Clock, a.After) // the next attempt checks ctx
		case retry.Resume:
			st.resumes, resume = st.resumes+1, true
			_ = clock.Sleep(ctx, st.o.Clock, a.After)
		case retry.Fail:
			st.ran = strongerRan(st.ran, a.Ran)
			return "", st.stageFailure(a, o)
		}
	}
}

func strongerRan(a, b retry.Ran) retry.Ran {
	switch {
	case a == retry.DidRun || b == retry.DidRun:
		return retry.DidRun
	case a == retry.Unknown || b == retry.Unknown:
		return retry.Unknown
	default:
		return retry.NotRun
	}
}

func (st *stageRun) stageFailure(a retry.Fail, o outcome) *failure {
	if st.stage.NotRepeatable {
		st.claim.outcome = ledgerOutcome(a.Ran)
	}
	if a.Reason == retry.ReasonDeadline {
		return &failure{code: caller.CodeDeadline, message: "stage " + st.stage.Name + ": " + o.message}
	}
	st.mu.Lock()
	after := st.retry.RetryAfter(retryAfterBase)
	st.mu.Unlock()
	return &failure{
		code: caller.CodeUpstreamFailed, retryAfter: after,
		message: fmt.Sprintf("stage %s: %s (%s)", st.stage.Name, o.message, a.Reason),
	}
}

// ledgerOutcome converts the known status of a failed call to a ledger outcome, "" if it is unknown.
func ledgerOutcome(ran retry.Ran) rstate.Outcome {
	switch ran {
	case retry.NotRun:
		return rstate.OutcomeNotStarted
	case retry.DidRun:
		return rstate.OutcomeFailed
	case retry.Unknown:
	}
	return ""
}

// retryAfterBase is the minimum delay that a caller is told after an upstream failure: long enough for an ejection or an
// expired lease to take effect.
const retryAfterBase = time.Second

// pickUpstream chooses the upstream of the next attempt, sampled by fingerprint unless it is 0. After all upstreams have been
// tried, it starts over: retrying an upstream that refused is better than no response.
func (st *stageRun) pickUpstream(ctx context.Context, fingerprint uint64) *failure {
	need := route.Request{
		Pool: st.stage.Pool(), Model: st.stage.Kind == fleet.Generate, Rank: st.req.Rank,
		DataCentre: st.o.DataCentre, Region: st.o.Region, Exclude: st.exclude, Repeatable: !st.stage.NotRepeatable,
		Fingerprint: fingerprint,
	}
	if need.Model {
		prompt := st.prompt()
		need.Prefixes, need.PromptTokens = upapi.PrefixHashes(st.stage.Model, prompt), promptTokens(prompt)
	}
	now := st.o.Clock.Now()
	need.TimeLeft = st.deadline.Sub(now)
	if ctx.Err() != nil || need.TimeLeft <= 0 {
		return &failure{code: caller.CodeDeadline, message: "stage " + st.stage.Name + ": deadline exceeded"}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	choice, err := st.router.Pick(now, st.o.View(), need)
	var none *route.NoUpstreamError
	if errors.As(err, &none) && none.Reason == route.ReasonExcluded {
		need.Exclude, st.exclude = nil, nil
		choice, err = st.router.Pick(now, st.o.View(), need)
	}
	if err != nil {
		return &failure{code: caller.CodeNoUpstream, message: err.Error(), retryAfter: st.retry.RetryAfter(retryAfterBase)}
	}
	st.choice = choice
	return nil
}

// prompt returns the prompt of a generation: the caller's input, a prefix shared by later requests, followed by the output
// of the previous stage.
func (st *stageRun) prompt() string {
	if st.priorOutput == "" {
		return st.req.Input
	}
	return st.req.Input + "\n" + st.priorOutput
}

func (st *stageRun) runAttempt(ctx context.Context, resume bool) outcome {
	st.attemptNumber++
	ctx, cancel := st.attemptContext(ctx)
	defer cancel()
	work := upapi.Work{RequestID: st.req.WorkID, Stage: st.stage.Name, Attempt: st.attemptNumber}
	st.emitAttemptEvent(event.AttemptStarted)
	began := st.o.Clock.Now()
	st.mu.Lock()
	st.router.Dispatched(began, st.choice)
	st.mu.Unlock()
	if st.stage.NotRepeatable {
		st.claim.dispatched = true
	}
	var o outcome
	if st.stage.Kind == fleet.Generate {
		o = st.generate(ctx, work, resume)
	} else {
		o = st.call(ctx, work)
	}
	st.recordAttempt(ctx, o)
	return o
}

// recordAttempt reports the outcome of the attempt to the router and the retry budget.
func (st *stageRun) recordAttempt(ctx context.Context, o outcome) {
	now := st.o.Clock.Now()
	busy := time.Duration(o.cost.BusyUS) * time.Microsecond
	st.mu.Lock()
	defer st.mu.Unlock()
	st.router.Done(now, st.choice)
	st.router.Observe(now, st.choice.Upstream.ID, route.Outcome{Result: routeResult(ctx, o), Latency: o.firstByte, Service: busy})
	if !o.ok {
		st.emitAttemptEvent(event.AttemptFailed, event.F("reason", o.message))
		return
	}
	st.retry.RecordSuccess()
	st.retry.RecordLatency(now, st.stage.Pool(), o.firstByte)
	st.cost = addCost(st.cost, o.cost)
	// As reported by the upstream: the time outside of a slot would include network latency, which the
	// concurrency limit must not follow.
	st.queueDelay = max(st.queueDelay, time.Duration(o.cost.QueueUS)*time.Microsecond)
}

func routeResult(ctx context.Context, o outcome) route.Result {
	switch {
	case o.ok:
		return route.Succeeded
	case o.class == retry.ClassBusy || o.class == retry.ClassNotStarted:
		return route.Busy
	case o.class == retry.ClassTimeout:
		return route.TimedOut
	case errors.Is(ctx.Err(), context.Canceled) || o.class == retry.ClassBadRequest || o.class == retry.ClassCancelled:
		return route.Neutral
	default:
		return route.Failed
	}
}

func (st *stageRun) emitAttemptEvent(code event.Code, more ...event.Field) {
	fields := []event.Field{
		event.F("request", st.req.ID), event.F("stage", st.stage.Name),
		event.F("attempt", st.attemptNumber), event.F("upstream", st.choice.Upstream.ID),
	}
	st.o.Events.Emit(code, append(fields, more...)...)
}

func (st *stageRun) decide(o outcome) retry.Action {
	now := st.o.Clock.Now()
	up := st.o.View().Get(st.choice.Upstream.ID)
	a := retry.Attempt{
		Upstream: st.choice.Upstream.ID, Number: st.attemptNumber, Idempotent: !st.stage.NotRepeatable,
		PossiblyDispatched: o.dispatched, EarlierRan: st.earlierRan, Delivered: len(st.chunks),
		Resumable: up != nil && up.Incarnation == st.choice.Upstream.Incarnation && now.Before(up.LeaseUntil),
		Resumes:   st.resumes, Class: o.class, RetryAfter: o.retryAfter, TimeLeft: st.deadline.Sub(now),
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	action := st.retry.Decide(now, a)
	if o.dispatched && o.class != retry.ClassNotStarted && o.class != retry.ClassBusy {
		st.earlierRan = strongerRan(st.earlierRan, retry.Unknown)
	}
	return action
}

func (st *stageRun) emitDropped(reason string) {
	st.o.Events.Emit(event.ResultDropped, event.F("request", st.req.ID), event.F("stage", st.stage.Name),
		event.F("upstream", st.choice.Upstream.ID), event.F("reason", reason))
}

// call runs an attempt of a stage that is not a generation.
func (st *stageRun) call(ctx context.Context, work upapi.Work) outcome {
	body, _ := json.Marshal(upapi.StageCall{
		Work: work, Service: st.stage.Pool(), Model: st.stage.Model, Input: st.req.Input, Prior: st.priorOutput, Team: st.req.Team,
		Priority: st.req.Rank, DeadlineMS: st.remainingMS(), IdempotencyKey: st.idempotencyKey(),
	})
	began := st.o.Clock.Now()
	wd := st.startWatchdog(ctx)
	defer wd.stop()
	resp, o := st.post(ctx, wd.ctx, upapi.PathStage, body)
	if resp == nil {
		return o
	}
	defer drainBody(resp)
	res, err := st.readResult(resp)
	if err != nil {
		return outcome{class: errorClass(ctx, err), dispatched: true, connLost: isConnectionError(err), message: "read result: " + err.Error()}
	}
	if res.Work != work {
		st.emitDropped("result of " + res.RequestID)
		// The state of this attempt is unknown: the upstream returned the result of another one.
		return outcome{class: retry.ClassReset, dispatched: true, message: "the upstream returned the result of another request"}
	}
	return outcome{ok: true, output: res.Output, cost: res.Cost, firstByte: st.o.Clock.Now().Sub(began)}
}

// readResult reads the result of a call. What it takes while it is decoded is reserved for as long; the output itself belongs to the answer.
func (st *stageRun) readResult(resp *http.Response) (res upapi.StageResult, err error) {
	held := st.o.Account.Reserve(memory.Answer, nil)
	defer held.Release()
	data, err := held.ReadAll(limitBody(resp.Body), resp.ContentLength)
	if err == nil && len(data) > memory.FreeBytes && !held.Grow(int64(len(data))) {
		err = memory.ErrFull
	}
	if err == nil {
		err = decodeResult(data, &res)
	}
	// Before the bytes of the result are given back, what the output will take is reserved.
	if err == nil && !st.coverAnswer(st.eventBytes(res.Output)) {
		err = memory.ErrFull
	}
	st.noRoom = st.noRoom || errors.Is(err, memory.ErrFull)
	return res, err
}

// decodeResult decodes a result without the buffer that a json.Decoder doubles until it holds the whole value, unless something follows the
// value, which was always passed over.
func decodeResult(data []byte, res *upapi.StageResult) error {
	err := json.Unmarshal(data, res)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return json.NewDecoder(bytes.NewReader(data)).Decode(res)
	}
	return err
}

// eventBytes returns what the events of a finished stage take at least.
func (st *stageRun) eventBytes(output string) int {
	n := 0
	if st.stage.Kind == fleet.Call {
		n += len(output)
	}
	if st.isAnswer {
		n += len(output)
	}
	return n
}

func (st *stageRun) remainingMS() int64 { return st.deadline.Sub(st.o.Clock.Now()).Milliseconds() }

// idempotencyKey returns the key sent to the upstream. It is qualified by the team, because two teams may use the same key.
func (st *stageRun) idempotencyKey() string {
	if !st.stage.NotRepeatable {
		return ""
	}
	return st.req.Team + "/" + st.req.Key
}
