package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/flow/admit"
	"github.com/berylledge/berylledge/internal/flow/exec"
	"github.com/berylledge/berylledge/internal/flow/stream"
	"github.com/berylledge/berylledge/internal/wire/memory"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
)

// requestKey names a request: ids are chosen by callers, so they are unique inside a team only.
type requestKey struct{ team, id string }

// request is a request that was admitted, until its answer is forgotten.
type request struct {
	key    requestKey
	run    *exec.Request
	cancel context.CancelFunc
	state  string // in the chart request.json
	whole  bool   // the answer is whole
	sent   bool   // a caller got the last event before the node noted the end
	ended  time.Time
	input  *memory.Reservation // while the request waits or runs
	kept                       // the answer
}

// prepare checks a submission and returns the request that it describes.
func (n *Node) prepare(team string, s caller.Submit) (*exec.Request, *caller.Refusal) {
	c := n.config.Load()
	if !n.Ready() {
		return nil, refusal(caller.CodeNoConfig, "this node started a moment ago and does not know the fleet yet")
	}
	if c.cfg.Team(team) == nil {
		return nil, refusal(caller.CodeUnknownTeam, "team %q is not configured; set the header %s", team, caller.HeaderTeam)
	}
	p := c.cfg.Pipeline(s.Pipeline)
	if p == nil {
		return nil, refusal(caller.CodeUnknownPipeline, "pipeline %q is not configured", s.Pipeline)
	}
	rank := c.cfg.RankIndex(s.Rank)
	if rank < 0 {
		return nil, refusal(caller.CodeBadRequest, "rank %q is not configured", s.Rank)
	}
	if r := n.allowed(rank); r != nil {
		return nil, r
	}
	if limit := inputLimit(c.cfg); int64(len(s.Input)) > limit {
		return nil, refusal(caller.CodeTooLarge, "input has %d bytes; %d are allowed", len(s.Input), limit)
	}
	if s.DeadlineMS < 0 || s.DeadlineMS > p.DeadlineMS {
		return nil, refusal(caller.CodeBadRequest, "deadline_ms is %d; 1 to %d are allowed, 0 means %d", s.DeadlineMS, p.DeadlineMS, p.DeadlineMS)
	}
	if len(s.ID) > maxID || len(s.IdempotencyKey) > maxID {
		return nil, refusal(caller.CodeBadRequest, "id and idempotency_key may have %d bytes", maxID)
	}
	if r := checkKey(p, s); r != nil {
		return nil, r
	}
	return n.build(team, s, p, rank), nil
}

// allowed refuses work that a node may not take while its configuration may be out of date.
func (n *Node) allowed(rank int) *caller.Refusal {
	if n.o.Service == nil {
		return nil
	}
	switch n.o.Service() {
	case ServeNone:
		return refusal(caller.CodeNoConfig, "this node does not know the current configuration yet")
	case ServeUrgent:
		if rank > 0 {
			return refusal(caller.CodeNoConfig, "this node is cut off from the control group and serves only the most urgent rank")
		}
	case ServeAll:
	}
	return nil
}

// maxID bounds the names that callers choose.
const maxID = 128

func checkKey(p *fleet.Pipeline, s caller.Submit) *caller.Refusal {
	stage := exec.NonRepeatableStage(p, s.Params)
	if stage == nil {
		return nil
	}
	if s.IdempotencyKey == "" || s.KeyCreatedMS <= 0 {
		return refusal(caller.CodeKeyRequired, "stage %q may not repeat: idempotency_key and key_created_ms are required", stage.Name)
	}
	return nil
}

func (n *Node) build(team string, s caller.Submit, p *fleet.Pipeline, rank int) *exec.Request {
	if s.ID == "" {
		s.ID = uuid.NewString()
	}
	if s.DeadlineMS == 0 {
		s.DeadlineMS = p.DeadlineMS
	}
	now, input := n.o.Clock.Now(), sha256.Sum256([]byte(s.Input))
	return &exec.Request{
		ID: s.ID, WorkID: uuid.NewString(), Team: team, Rank: rank, Pipeline: p, Input: s.Input, Params: s.Params,
		Accepted: now, Deadline: now.Add(time.Duration(s.DeadlineMS) * time.Millisecond),
		Key: s.IdempotencyKey, KeyCreatedMS: s.KeyCreatedMS, BodyHash: bodyHash(s, input), InputHash: input, Out: stream.NewBuffer(),
	}
}

// bodyHash identifies what a request asks for, whatever its id and deadline. The input counts with its hash, which the
// crash defence needs as well.
func bodyHash(s caller.Submit, input [32]byte) [32]byte {
	s.ID, s.DeadlineMS, s.IdempotencyKey, s.KeyCreatedMS, s.Input = "", 0, "", 0, hex.EncodeToString(input[:])
	data, _ := json.Marshal(s) // strings only; maps are printed in the order of their keys
	return sha256.Sum256(data)
}

// defaultInputLimit holds when the configuration gives none.
const defaultInputLimit = 1 << 20

func inputLimit(cfg *fleet.Config) int64 {
	if cfg.Limits.MaxInputBytes > 0 {
		return cfg.Limits.MaxInputBytes
	}
	return defaultInputLimit
}

// admitRequest asks for admission and starts the request. A submission that repeats a known id is attached to the request
// that it names, if both ask for the same.
func (n *Node) admitRequest(ctx context.Context, x *exec.Request) (*request, *caller.Refusal) {
	key := requestKey{x.Team, x.ID}
	runCtx, cancel := context.WithCancel(context.Background())
	r := &request{key: key, run: x, cancel: cancel, state: n.life.Initial}
	n.mu.Lock()
	if known := n.requests[key]; known != nil {
		n.mu.Unlock()
		cancel()
		if known.run.BodyHash != x.BodyHash {
			return nil, refusal(caller.CodeDuplicateID, "id %q names another request", x.ID)
		}
		return known, nil
	}
	if n.closing.Load() {
		n.mu.Unlock()
		cancel()
		return nil, refusal(caller.CodeDraining, "this VM stops; ask for another one")
	}
	if !n.reserve(r) {
		n.mu.Unlock()
		cancel()
		ref := refusal(caller.CodeOverloaded, "the memory for requests is in use")
		ref.RetryAfterMS = n.runner.SpreadRetry(memoryRetry).Milliseconds()
		return nil, ref
	}
	n.requests[key] = r
	n.running++
	n.mu.Unlock()
	if ref := n.wait(ctx, r); ref != nil {
		cancel()
		n.refuseRequest(r, ref)
		return nil, ref
	}
	n.mu.Lock()
	n.move(r, eventAdmitted)
	n.mu.Unlock()
	n.wg.Go(func() { n.execute(runCtx, r) })
	return r, nil
}

// wait returns nil once the request is admitted.
func (n *Node) wait(ctx context.Context, r *request) *caller.Refusal {
	x := r.run
	verdict, ok := n.gate.arrive(ctx, admit.Request{
		ID: x.WorkID, Team: x.Team, Rank: x.Rank, Pipeline: x.Pipeline.Name, Deadline: x.Deadline,
		EstimatedCost: exec.EstimateCost(x.Pipeline, x.Input, x.Params), EstimatedTime: n.runner.EstimateTime(x),
		LongRunning: patient(x.Pipeline),
	})
	if !ok {
		return refusal(caller.CodeCancelled, "the caller left before the request was admitted")
	}
	refused, isRefusal := verdict.(admit.Refuse)
	if !isRefusal {
		return nil
	}
	ref := refusal(codeOf(refused.Reason), "refused at admission: %s", refused.Reason)
	ref.RetryAfterMS = max(refused.RetryAfter.Milliseconds(), 1)
	return ref
}

// patientDeadline is the deadline from which a pipeline counts as long work, several times that of interactive ones.
const patientDeadline = 30 * time.Second

func patient(p *fleet.Pipeline) bool {
	return time.Duration(p.DeadlineMS)*time.Millisecond >= patientDeadline
}

func codeOf(r admit.Reason) caller.Code {
	switch r {
	case admit.Deadline:
		return caller.CodeDeadline
	case admit.TeamLimit:
		return caller.CodeTeamLimit
	case admit.Overloaded, admit.Evicted:
	}
	return caller.CodeOverloaded
}

func (n *Node) execute(ctx context.Context, r *request) {
	ctx, cancel := context.WithDeadline(ctx, r.run.Deadline)
	defer cancel()
	res := n.runner.Run(ctx, r.run)
	n.gate.step(admit.Finish{ID: r.run.WorkID, Cost: res.Cost, QueueDelay: res.QueueDelay, Late: res.Late})
	took := n.o.Clock.Now().Sub(r.run.Accepted)
	n.measureEnd(r, took, res)
	elapsed := took.Milliseconds()
	if res.Refusal != nil {
		n.o.Events.Emit(event.RequestFailed, event.F("request", r.key.id), event.F("team", r.key.team),
			event.F("code", res.Refusal.Code), event.F("ran", res.Refusal.Ran))
	} else {
		n.o.Events.Emit(event.RequestFinished, event.F("request", r.key.id), event.F("team", r.key.team),
			event.F("tokens", res.Tokens), event.F("elapsed_ms", elapsed))
	}
	r.cancel()
	r.input.Release()
	n.mu.Lock()
	defer n.mu.Unlock()
	r.whole = res.Refusal == nil
	n.move(r, eventEnded)
}

// defaultResume is how long a finished answer is kept.
const defaultResume = time.Minute

// forget drops finished answers after the resume window.
func (n *Node) forget(now time.Time) {
	window := defaultResume
	if c := n.config.Load(); c != nil && c.cfg.Limits.ResumeWindowMS > 0 {
		window = time.Duration(c.cfg.Limits.ResumeWindowMS) * time.Millisecond
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	first := 0
	for first < len(n.done) && now.Sub(n.done[first].ended) > window {
		n.move(n.done[first], eventWindow)
		first++
	}
	if first > 0 {
		n.done = append([]*request(nil), n.done[first:]...)
	}
}

func (n *Node) find(key requestKey) *request {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requests[key]
}

func (n *Node) markRead(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.move(r, eventLastSent)
}
