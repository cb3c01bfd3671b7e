// Package exec runs an admitted request through the stages of its pipeline. For each attempt it picks an upstream, calls it
// or streams from it, and checks that the result belongs to the attempt. It retries or resumes failed attempts within the
// retry budget and writes the events of the response.
//
// Usage:
//
//	r := exec.New(exec.Options{Clock: c, Events: log, View: table.View, Client: client})
//	result := r.Run(ctx, req) // req.Out receives the events; the last one is caller.EventEnd or caller.EventError
//
// Each request calls Run in its own goroutine. Decisions are made by the state machines of the packages route, retry and
// budget, all guarded by one mutex: a decision takes microseconds, a stage milliseconds.
package exec

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/internal/flow/budget"
	"github.com/berylledge/berylledge/internal/flow/retry"
	"github.com/berylledge/berylledge/internal/flow/route"
	"github.com/berylledge/berylledge/internal/flow/stream"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/internal/wire/memory"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// Options configure a Runner.
type Options struct {
	Node       string
	DataCentre string
	Region     string
	Clock      clock.Clock
	Events     *event.Log
	View       func() *upview.View
	Client     httpc.Service
	// OnceClient sends work that may run only once; nil means Client. It must not reuse connections: errors of upstreams carry no
	// identity, so that a late second copy of one would be taken for the answer to the next request on its connection.
	OnceClient httpc.Service
	Ledger     Ledger
	Route      route.Policy
	Retry      retry.Policy
	Seed       uint64
	Guard      Guard // nil disables protection against requests that crash upstreams
	// Account counts results while they are read; nil: no bound for all together.
	Account *memory.Account
}

// Request is an admitted request.
type Request struct {
	ID           string // chosen by the caller
	WorkID       string // unique across nodes and restarts; sent to upstreams
	Team         string
	Rank         int
	Pipeline     *fleet.Pipeline
	Input        string
	Params       map[string]string
	Accepted     time.Time
	Deadline     time.Time
	Key          string
	KeyCreatedMS int64
	BodyHash     [32]byte
	InputHash    [32]byte // SHA-256 of Input
	Out          *stream.Buffer
	Held         *memory.Reservation // of Out and of the outputs of stages; nil: no bound
}

// Result summarizes a run.
type Result struct {
	Refusal    *caller.Refusal // nil if the response is complete
	Cost       float64         // see CostOf
	QueueDelay time.Duration   // longest wait in an upstream's queue
	Tokens     int
	Late       bool
	Stages     []StageResult // stages that ran, in order
}

// StageResult summarizes one stage that ran.
type StageResult struct {
	Name     string
	Attempts int
	Failed   bool
	Cost     float64 // see CostOf
}

// Runner executes requests. It is safe for concurrent use.
type Runner struct {
	o       Options
	closing context.Context // cancelled by Close, which abandons outcomes not yet recorded
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex
	router *route.Router
	retry  *retry.Machine
	book   *budget.Estimator
}

// New returns a Runner without pipelines; see SetConfig.
func New(o Options) *Runner {
	if o.OnceClient == nil {
		o.OnceClient = o.Client
	}
	r := &Runner{
		o: o, router: route.New(o.Route, o.Seed), retry: retry.New(o.Retry, o.Seed), book: budget.New(&fleet.Config{}),
	}
	r.closing, r.cancel = context.WithCancel(context.Background())
	return r
}

// SetConfig replaces the configured pipelines. Statistics of stages that remain are kept.
func (r *Runner) SetConfig(cfg *fleet.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.SetConfig(cfg)
	r.retry.SetPercent(cfg.Limits.RetryBudgetPct)
}

// admissionQuantile is the fraction of responses that the admission estimate should cover.
const admissionQuantile = 0.95

// EstimateTime returns the expected run time of a request after its admission.
func (r *Runner) EstimateTime(req *Request) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.EstimateStages(r.o.Clock.Now(), req.Pipeline.Name, remainingStages(req, 0), admissionQuantile)
}

// remainingStages returns the indexes, starting at from, of the stages that apply to a request.
func remainingStages(req *Request, from int) []int {
	var out []int
	for i := from; i < len(req.Pipeline.Stages); i++ {
		if Applies(&req.Pipeline.Stages[i], req.Params) {
			out = append(out, i)
		}
	}
	return out
}

// SpreadRetry returns when a caller may return, spread around the base, so that those that were refused together do not return together.
func (r *Runner) SpreadRetry(base time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retry.RetryAfter(base)
}

// WaitBackground waits until all outcomes are recorded and all cancellations are sent, or ctx ends.
func (r *Runner) WaitBackground(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.wg.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close cancels the background work that WaitBackground waits for, and waits for it to stop.
func (r *Runner) Close() {
	r.cancel()
	r.wg.Wait()
}

// run is the state of one request.
type run struct {
	*Runner
	req          *Request
	ran          retry.Ran // strongest status over all attempts of all stages
	tokens       int
	bytes        int
	cost         upapi.Cost
	slotTime     time.Duration // slot time of stages that are not generations
	queueDelay   time.Duration
	claim        *claim
	stageResults []StageResult
	reserved     int64 // bytes of the answer's events that are reserved
	noRoom       bool  // the account has no memory for the answer
}

// failure is the error that ends a run.
type failure struct {
	code       caller.Code
	message    string
	retryAfter time.Duration
}

// Run executes the stages of a request and finishes its output buffer.
func (r *Runner) Run(ctx context.Context, req *Request) Result {
	u := &run{Runner: r, req: req, ran: retry.NotRun}
	f := u.claimKey(ctx)
	if f == nil {
		f = u.runStages(ctx)
	}
	u.recordOutcome()
	now := r.o.Clock.Now()
	res := Result{Cost: CostOf(u.cost, u.slotTime), QueueDelay: u.queueDelay, Tokens: u.tokens, Late: now.After(req.Deadline), Stages: u.stageResults}
	if f != nil {
		res.Refusal = u.refusal(ctx, f)
		u.finish(caller.EventError, res.Refusal)
		return res
	}
	elapsed := now.Sub(req.Accepted)
	u.finish(caller.EventEnd, caller.End{
		RequestID: req.ID, Tokens: u.tokens, Bytes: u.bytes, ElapsedUS: elapsed.Microseconds(),
	})
	return res
}

func (u *run) refusal(ctx context.Context, f *failure) *caller.Refusal {
	if ctx.Err() != nil && u.o.Clock.Now().Before(u.req.Deadline) {
		f = &failure{code: caller.CodeCancelled, message: "request cancelled"}
	}
	return &caller.Refusal{
		Code: f.code, Ran: caller.Ran(u.ran), Message: f.message, RequestID: u.req.ID,
		RetryAfterMS: f.retryAfter.Milliseconds(), ProtectedRan: u.protectedRan(),
	}
}

// protectedRan returns whether the non-repeatable stage ran, or "" for a request without one.
func (u *run) protectedRan() caller.Ran {
	switch c := u.claim; {
	case c == nil:
		return ""
	case c.outcome == rstate.OutcomeRan || c.outcome == rstate.OutcomeFailed:
		return caller.DidRun
	case c.outcome == rstate.OutcomeNotStarted || !c.dispatched && u.ran != retry.Unknown:
		return caller.NotRun
	default:
		return caller.RanUnknown
	}
}

func (u *run) finish(name string, v any) {
	data, _ := json.Marshal(v) // cannot fail: the types in pkg/caller hold only strings and numbers
	u.req.Out.Finish(name, data)
}

func (u *run) emit(name string, v any) {
	data, _ := json.Marshal(v)
	u.req.Out.Append(name, data)
	u.noRoom = !u.coverAnswer(0) || u.noRoom
}

const (
	// answerFactor is what a byte of an event takes: in the event, in the output of its stage, and encoded once more for the caller.
	answerFactor = 3
	answerStep   = 64 << 10
)

// coverAnswer reserves what the events take, with so many bytes that will be added, and reports whether there was room.
func (u *run) coverAnswer(more int) bool {
	_, bytes := u.req.Out.Len()
	need := int64(bytes+more) * answerFactor
	if need <= max(u.reserved, memory.FreeBytes) {
		return true
	}
	u.reserved = (need + answerStep - 1) / answerStep * answerStep
	return u.req.Held.Cover(u.reserved)
}

func (u *run) emitToken(text string) {
	u.tokens++
	u.bytes += len(text)
	u.emit(caller.EventToken, caller.Token{Text: text})
}

func (u *run) runStages(ctx context.Context) *failure {
	answer, prior := u.req.Pipeline.Answer(), ""
	for i := range u.req.Pipeline.Stages {
		s := &u.req.Pipeline.Stages[i]
		if !Applies(s, u.req.Params) {
			u.o.Events.Emit(event.StageSkipped, event.F("request", u.req.ID), event.F("stage", s.Name))
			u.emit(caller.EventStage, caller.StageEvent{Stage: s.Name, Skipped: true})
			continue
		}
		out, f := u.runStage(ctx, i, prior, i == answer)
		if f != nil {
			return f
		}
		prior = out
	}
	return nil
}

// Applies reports whether the condition of a stage is met.
func Applies(s *fleet.Stage, params map[string]string) bool {
	return s.When == nil || params[s.When.Param] == s.When.Equals
}

// Relative cost of work. A prompt token is computed in a batch with its neighbours and costs about a tenth of a generated
// one. A millisecond in a slot of any other stage counts as one generated token.
const prefillTokenCost = 0.1

// CostOf returns the cost of work in units of one generated token. slotTime is the slot time of stages that are not generations.
func CostOf(c upapi.Cost, slotTime time.Duration) float64 {
	return float64(c.GeneratedTokens) + prefillTokenCost*float64(c.PrefillTokens) + float64(slotTime)/float64(time.Millisecond)
}

// EstimateCost returns the expected cost of a request.
func EstimateCost(p *fleet.Pipeline, input string, params map[string]string) float64 {
	var c upapi.Cost
	var slotTime time.Duration
	for i := range p.Stages {
		s := &p.Stages[i]
		switch {
		case !Applies(s, params):
		case s.Kind == fleet.Generate:
			c.GeneratedTokens += int64(s.MaxTokens)
			c.PrefillTokens += promptTokens(input)
		default:
			slotTime += expectedTime(s)
		}
	}
	return CostOf(c, slotTime)
}

// bytesPerToken is the usual ratio for English text. Engines report the actual count with the result.
const bytesPerToken = 4

func promptTokens(text string) int64 { return int64(len(text)/bytesPerToken + 1) }

// defaultStageTime is the expected time of a stage without a configured one.
const defaultStageTime = 100 * time.Millisecond

func expectedTime(s *fleet.Stage) time.Duration {
	if s.ExpectedMS > 0 {
		return time.Duration(s.ExpectedMS) * time.Millisecond
	}
	return defaultStageTime
}
