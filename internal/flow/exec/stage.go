package exec

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/flow/retry"
	"github.com/berylledge/berylledge/internal/flow/route"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// stageRun is the state of one stage of a request over all its attempts.
type stageRun struct {
	*run
	stage  *fleet.Stage
	prior  string
	answer bool // its output is the answer
	began  time.Time
	// deadline is the end of the time that the stage was given; the stages after it need the rest.
	deadline time.Time
	number   int
	resumes  int
	exclude  []string
	earlier  retry.Ran
	texts    []string // chunks of the stream so far
	cost     upapi.Cost
	last     route.Choice
	permit   Permit
	pending  bool // the guard still owes the answer to a refused run
}

// outcome is the end of one attempt.
type outcome struct {
	ok         bool
	class      retry.Class
	dispatched bool // bytes of the request may have reached the upstream
	broken     bool // the connection broke, or nothing was heard, so the upstream may have died
	gone       bool // the upstream refused the connection
	message    string
	output     string
	cost       upapi.Cost
	firstByte  time.Duration
	retryAfter time.Duration
}

func (u *run) stage(ctx context.Context, index int, prior string, answer bool) (string, *failure) {
	s := &u.req.Pipeline.Stages[index]
	now := u.o.Clock.Now()
	u.mu.Lock()
	left := u.book.Split(now, u.req.Deadline, u.req.Pipeline.Name, remaining(u.req, index))
	u.mu.Unlock()
	if left <= 0 { // the pipeline is no longer configured; requests that were admitted under it still end
		left = u.req.Deadline.Sub(now)
	}
	u.o.Events.Emit(event.StageStarted, event.F("request", u.req.ID), event.F("stage", s.Name), event.F("budget_ms", left.Milliseconds()))
	if s.NotRepeatable && u.claim.replayed() {
		return u.replay(s, answer), nil
	}
	st := &stageRun{run: u, stage: s, prior: prior, answer: answer, began: now, deadline: now.Add(left), earlier: retry.NotRun}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	out, f := st.attempts(ctx)
	st.observeStage(index)
	u.done = append(u.done, StageResult{s.Name, st.number, f != nil, CostOf(st.cost, st.plainTime())})
	if f != nil {
		return "", f
	}
	if s.NotRepeatable {
		u.claim.outcome, u.claim.output = rstate.OutcomeRan, out
		// Recorded before the answer is delivered, so that a resend after a lost answer finds the outcome.
		u.settle()
		u.claim.token = ""
	}
	st.report(out)
	return out, nil
}

// observeStage records the time of the stage, also of one that was given up: leaving those out would make a stage that
// has become slow look fast.
func (st *stageRun) observeStage(index int) {
	now := st.o.Clock.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	st.book.Observe(now, st.req.Pipeline.Name, index, now.Sub(st.began))
}

// report writes the events of a finished stage.
func (st *stageRun) report(out string) {
	elapsed := st.o.Clock.Now().Sub(st.began)
	st.account()
	st.o.Events.Emit(event.StageFinished, event.F("request", st.req.ID), event.F("stage", st.stage.Name),
		event.F("elapsed_ms", elapsed.Milliseconds()), event.F("cost", fmt.Sprintf("%.1f", CostOf(st.cost, st.plainTime()))))
	e := caller.StageEvent{
		Stage: st.stage.Name, Upstream: st.last.Upstream.ID, Attempts: st.number, ElapsedUS: elapsed.Microseconds(),
		Prefill: st.cost.PrefillTokens, Cached: st.cost.CachedTokens, Generated: st.cost.GeneratedTokens, BusyUS: st.cost.BusyUS,
	}
	if st.stage.Kind == fleet.Call {
		e.Output = out
	}
	if st.answer && st.stage.Kind != fleet.Generate {
		st.deliver(out)
	}
	st.emit(caller.EventStage, e)
}

// plainTime is the slot time that counts as cost: a generation is counted by its tokens instead.
func (st *stageRun) plainTime() time.Duration {
	if st.stage.Kind == fleet.Generate {
		return 0
	}
	return time.Duration(st.cost.BusyUS) * time.Microsecond
}

func (st *stageRun) account() {
	st.run.cost = addCost(st.run.cost, st.cost)
	st.plain += st.plainTime()
}

func addCost(a, b upapi.Cost) upapi.Cost {
	a.PrefillTokens += b.PrefillTokens
	a.CachedTokens += b.CachedTokens
	a.GeneratedTokens += b.GeneratedTokens
	a.BusyUS += b.BusyUS
	return a
}

// attempts runs the stage until an attempt succeeds or the retry machine ends it.
func (st *stageRun) attempts(ctx context.Context) (string, *failure) {
	resume := false
	defer st.dropPermit()
	for {
		if f := st.enter(ctx, resume); f != nil {
			// Earlier attempts may have run although this one was not started.
			st.ran = worse(st.ran, st.earlier)
			return "", f
		}
		o := st.attempt(ctx, resume)
		st.conclude(o)
		if o.ok {
			st.ran = worse(st.ran, retry.DidRun)
			return o.output, nil
		}
		switch a := st.decide(o).(type) {
		case retry.Retry:
			st.exclude, resume = append(st.exclude, a.Exclude), false
			_ = clock.Sleep(ctx, st.o.Clock, a.After) // the next attempt sees the end of ctx
		case retry.Resume:
			st.resumes, resume = st.resumes+1, true
			_ = clock.Sleep(ctx, st.o.Clock, a.After)
		case retry.Fail:
			st.ran = worse(st.ran, a.Ran)
			return "", st.failed(a, o)
		}
	}
}

func worse(a, b retry.Ran) retry.Ran {
	switch {
	case a == retry.DidRun || b == retry.DidRun:
		return retry.DidRun
	case a == retry.Unknown || b == retry.Unknown:
		return retry.Unknown
	default:
		return retry.NotRun
	}
}

func (st *stageRun) failed(a retry.Fail, o outcome) *failure {
	if st.stage.NotRepeatable {
		st.claim.outcome = outcomeOf(a.Ran)
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

// outcomeOf translates what is known of a failed call into the ledger's terms; "" means that it is not known.
func outcomeOf(ran retry.Ran) rstate.Outcome {
	switch ran {
	case retry.NotRun:
		return rstate.OutcomeNotStarted
	case retry.DidRun:
		return rstate.OutcomeFailed
	case retry.Unknown:
	}
	return ""
}

// retryAfterBase is the least time that a caller waits after a failure of an upstream: long enough for an ejection or a
// lease to take effect.
const retryAfterBase = time.Second

// pick chooses the upstream of the next attempt, from a sample by the fingerprint unless that is 0. When all have been tried, it starts over: a second try of an upstream
// that refused is better than no answer.
func (st *stageRun) pick(ctx context.Context, fingerprint uint64) *failure {
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
		return &failure{code: caller.CodeDeadline, message: "stage " + st.stage.Name + ": the deadline passed"}
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
	st.last = choice
	return nil
}

// prompt is what a model engine reads: the caller's input, which is the part that later requests share, and then the
// output of the stage before.
func (st *stageRun) prompt() string {
	if st.prior == "" {
		return st.req.Input
	}
	return st.req.Input + "\n" + st.prior
}

func (st *stageRun) attempt(ctx context.Context, resume bool) outcome {
	st.number++
	ctx, cancel := st.watched(ctx)
	defer cancel()
	work := upapi.Work{RequestID: st.req.WorkID, Stage: st.stage.Name, Attempt: st.number}
	st.note(event.AttemptStarted)
	began := st.o.Clock.Now()
	st.mu.Lock()
	st.router.Dispatched(began, st.last)
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
	st.observe(ctx, o)
	return o
}

// observe tells the router and the retry budget how the attempt ended.
func (st *stageRun) observe(ctx context.Context, o outcome) {
	now := st.o.Clock.Now()
	busy := time.Duration(o.cost.BusyUS) * time.Microsecond
	st.mu.Lock()
	defer st.mu.Unlock()
	st.router.Done(now, st.last)
	st.router.Observe(now, st.last.Upstream.ID, route.Outcome{Result: health(ctx, o), Latency: o.firstByte, Service: busy})
	if !o.ok {
		st.note(event.AttemptFailed, event.F("reason", o.message))
		return
	}
	st.retry.RecordSuccess()
	st.retry.RecordLatency(now, st.stage.Pool(), o.firstByte)
	st.cost = addCost(st.cost, o.cost)
	// As the upstream reports it: the time that is not spent in a slot also holds the way there, which the limit of
	// concurrent work must not follow.
	st.queue = max(st.queue, time.Duration(o.cost.QueueUS)*time.Microsecond)
}

func health(ctx context.Context, o outcome) route.Result {
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

func (st *stageRun) note(code event.Code, more ...event.Field) {
	fields := []event.Field{
		event.F("request", st.req.ID), event.F("stage", st.stage.Name),
		event.F("attempt", st.number), event.F("upstream", st.last.Upstream.ID),
	}
	st.o.Events.Emit(code, append(fields, more...)...)
}

func (st *stageRun) decide(o outcome) retry.Action {
	now := st.o.Clock.Now()
	up := st.o.View().Get(st.last.Upstream.ID)
	a := retry.Attempt{
		Upstream: st.last.Upstream.ID, Number: st.number, Idempotent: !st.stage.NotRepeatable,
		PossiblyDispatched: o.dispatched, EarlierRan: st.earlier, Delivered: len(st.texts),
		Resumable: up != nil && up.Incarnation == st.last.Upstream.Incarnation && now.Before(up.LeaseUntil),
		Resumes:   st.resumes, Class: o.class, RetryAfter: o.retryAfter, TimeLeft: st.deadline.Sub(now),
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	action := st.retry.Decide(now, a)
	if o.dispatched && o.class != retry.ClassNotStarted && o.class != retry.ClassBusy {
		st.earlier = worse(st.earlier, retry.Unknown)
	}
	return action
}

func (st *stageRun) drop(reason string) {
	st.o.Events.Emit(event.ResultDropped, event.F("request", st.req.ID), event.F("stage", st.stage.Name),
		event.F("upstream", st.last.Upstream.ID), event.F("reason", reason))
}

// call runs a stage that is not a generation.
func (st *stageRun) call(ctx context.Context, work upapi.Work) outcome {
	body, _ := json.Marshal(upapi.StageCall{
		Work: work, Service: st.stage.Pool(), Model: st.stage.Model, Input: st.req.Input, Prior: st.prior, Team: st.req.Team,
		Priority: st.req.Rank, DeadlineMS: st.left(), IdempotencyKey: st.key(),
	})
	began := st.o.Clock.Now()
	dog := st.watch(ctx)
	defer dog.stop()
	resp, o := st.post(ctx, dog.ctx, upapi.PathStage, body)
	if resp == nil {
		return o
	}
	defer drain(resp)
	var res upapi.StageResult
	if err := json.NewDecoder(limited(resp.Body)).Decode(&res); err != nil {
		return outcome{class: classOf(ctx, err), dispatched: true, broken: brokenBy(err), message: "read result: " + err.Error()}
	}
	if res.Work != work {
		st.drop("result of " + res.RequestID)
		// Nothing is known about this attempt: the upstream answered with the result of another one.
		return outcome{class: retry.ClassReset, dispatched: true, message: "the upstream returned the result of another request"}
	}
	return outcome{ok: true, output: res.Output, cost: res.Cost, firstByte: st.o.Clock.Now().Sub(began)}
}

func (st *stageRun) left() int64 { return st.deadline.Sub(st.o.Clock.Now()).Milliseconds() }

// key is the idempotency key that the upstream sees. It is qualified by the team, because two teams may use one key.
func (st *stageRun) key() string {
	if !st.stage.NotRepeatable {
		return ""
	}
	return st.req.Team + "/" + st.req.Key
}
