// Package exec runs one admitted request through the stages of its pipeline: it picks an upstream for each attempt, calls
// or streams, checks that each result belongs to the attempt, retries or resumes under the retry budget, and writes the
// events of the answer.
//
// Usage:
//
//	r := exec.New(exec.Options{Clock: c, Events: log, View: table.View, Client: client})
//	result := r.Run(ctx, req) // req.Out receives the events; the last one is caller.EventEnd or caller.EventError
//
// Run is called in a goroutine of its own for each request. The decisions are taken by the machines of the packages
// route, retry and budget, which one mutex protects: a decision takes microseconds, a stage milliseconds.
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
	Ledger     Ledger
	Route      route.Policy
	Retry      retry.Policy
	Seed       uint64
	Guard      Guard // nil: no defence against requests that crash upstreams
}

// Request is an admitted request.
type Request struct {
	ID           string // the caller's name for it
	WorkID       string // unique over all nodes and time; upstreams see this one
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
}

// Result sums up a run.
type Result struct {
	Refusal    *caller.Refusal // nil if the answer is whole
	Cost       float64         // see CostOf
	QueueDelay time.Duration   // longest wait in the queue of an upstream
	Tokens     int
	Late       bool
	Stages     []StageResult // those that ran, in their order
}

// StageResult sums up one stage that ran.
type StageResult struct {
	Name     string
	Attempts int
	Failed   bool
	Cost     float64 // see CostOf
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	o       Options
	closing context.Context // ends with Close; outcomes that are still to be recorded are given up then
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex
	router *route.Router
	retry  *retry.Machine
	book   *budget.Book
}

// New returns a runner.
func New(o Options) *Runner {
	r := &Runner{
		o: o, router: route.New(o.Route, o.Seed), retry: retry.New(o.Retry, o.Seed), book: budget.New(&fleet.Config{}),
	}
	r.closing, r.cancel = context.WithCancel(context.Background())
	return r
}

// SetConfig tells the runner which pipelines there are; what was learned about stages that remain is kept.
func (r *Runner) SetConfig(cfg *fleet.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.SetConfig(cfg)
	r.retry.SetPercent(cfg.Limits.RetryBudgetPct)
}

// admissionQuantile is the part of answers that the estimate for admission should cover.
const admissionQuantile = 0.95

// EstimateTime returns the time that a request is expected to take after its admission.
func (r *Runner) EstimateTime(req *Request) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.EstimateStages(r.o.Clock.Now(), req.Pipeline.Name, remaining(req, 0), admissionQuantile)
}

// remaining returns the stages from an index on that apply to a request.
func remaining(req *Request, from int) []int {
	var out []int
	for i := from; i < len(req.Pipeline.Stages); i++ {
		if Applies(&req.Pipeline.Stages[i], req.Params) {
			out = append(out, i)
		}
	}
	return out
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

// Close gives up what Settle waits for.
func (r *Runner) Close() {
	r.cancel()
	r.wg.Wait()
}

// run is the state of one request.
type run struct {
	*Runner
	req    *Request
	ran    retry.Ran // strongest statement over all attempts of all stages
	tokens int
	bytes  int
	cost   upapi.Cost
	plain  time.Duration // slot time in stages that are not generations
	queue  time.Duration
	claim  *claim
	done   []StageResult
}

// failure ends a run.
type failure struct {
	code       caller.Code
	message    string
	retryAfter time.Duration
}

// Run takes a request through its stages and finishes its buffer.
func (r *Runner) Run(ctx context.Context, req *Request) Result {
	u := &run{Runner: r, req: req, ran: retry.NotRun}
	f := u.begin(ctx)
	if f == nil {
		f = u.stages(ctx)
	}
	u.settle()
	now := r.o.Clock.Now()
	res := Result{Cost: CostOf(u.cost, u.plain), QueueDelay: u.queue, Tokens: u.tokens, Late: now.After(req.Deadline), Stages: u.done}
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
		f = &failure{code: caller.CodeCancelled, message: "the request was cancelled"}
	}
	return &caller.Refusal{
		Code: f.code, Ran: caller.Ran(u.ran), Message: f.message, RequestID: u.req.ID,
		RetryAfterMS: f.retryAfter.Milliseconds(), ProtectedRan: u.protectedRan(),
	}
}

// protectedRan says whether the stage that may not repeat ran; empty for a request without one.
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
	data, _ := json.Marshal(v) // shapes of pkg/caller hold only strings and numbers
	u.req.Out.Finish(name, data)
}

func (u *run) emit(name string, v any) {
	data, _ := json.Marshal(v)
	u.req.Out.Append(name, data)
}

func (u *run) deliver(text string) {
	u.tokens++
	u.bytes += len(text)
	u.emit(caller.EventToken, caller.Token{Text: text})
}

func (u *run) stages(ctx context.Context) *failure {
	answer, prior := u.req.Pipeline.Answer(), ""
	for i := range u.req.Pipeline.Stages {
		s := &u.req.Pipeline.Stages[i]
		if !Applies(s, u.req.Params) {
			u.o.Events.Emit(event.StageSkipped, event.F("request", u.req.ID), event.F("stage", s.Name))
			u.emit(caller.EventStage, caller.StageEvent{Stage: s.Name, Skipped: true})
			continue
		}
		out, f := u.stage(ctx, i, prior, i == answer)
		if f != nil {
			return f
		}
		prior = out
	}
	return nil
}

// Applies reports whether the condition of a stage holds.
func Applies(s *fleet.Stage, params map[string]string) bool {
	return s.When == nil || params[s.When.Param] == s.When.Equals
}

// Relative cost of work: a prompt token is computed in a batch with its neighbours and costs about a tenth of a generated
// one; a millisecond in a slot of a plain stage counts as one generated token.
const prefillWeight = 0.1

// CostOf returns the cost of work in units of one generated token.
func CostOf(c upapi.Cost, plain time.Duration) float64 {
	return float64(c.GeneratedTokens) + prefillWeight*float64(c.PrefillTokens) + float64(plain)/float64(time.Millisecond)
}

// EstimateCost returns the cost that a request is expected to have.
func EstimateCost(p *fleet.Pipeline, input string, params map[string]string) float64 {
	var c upapi.Cost
	var plain time.Duration
	for i := range p.Stages {
		s := &p.Stages[i]
		switch {
		case !Applies(s, params):
		case s.Kind == fleet.Generate:
			c.GeneratedTokens += int64(s.MaxTokens)
			c.PrefillTokens += promptTokens(input)
		default:
			plain += expected(s)
		}
	}
	return CostOf(c, plain)
}

// bytesPerToken is the usual ratio for English text; engines report the true count with the result.
const bytesPerToken = 4

func promptTokens(text string) int64 { return int64(len(text)/bytesPerToken + 1) }

// defaultExpected is the time of a stage until there are observations.
const defaultExpected = 100 * time.Millisecond

func expected(s *fleet.Stage) time.Duration {
	if s.ExpectedMS > 0 {
		return time.Duration(s.ExpectedMS) * time.Millisecond
	}
	return defaultExpected
}
