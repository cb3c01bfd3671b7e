package stgsim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

// request is one attempt of a caller at its entry node.
type request struct {
	w          *world
	id         string
	kind       *Kind
	first      time.Time // of the caller's first attempt
	began      time.Time // of this one
	returned   bool
	dataCentre string // of its entry VM
	want       engine.Request
	counts     []int

	ticket   uint64
	due      time.Time
	engineID string
	forecast engine.Forecast
	plan     *stage.Plan
	waiting  map[stage.Key]stage.Job // pieces that a queue has
	staged   time.Time
	held     map[string]heldResult // by handle
	onTime   bool                  // the first event was
	pause    time.Duration         // longest one between two events
	ends     time.Time             // when the last event comes, unless prompts are read before
}

type heldResult struct {
	service, upstream string
	bytes             int64
	until             time.Time
}

func (w *world) arrive(k *Kind) {
	r := &request{w: w, kind: k, first: w.now, counts: make([]int, len(k.Stages)), dataCentre: k.DataCentre}
	if k.DataCentre == "" && len(w.o.Entries) > 0 {
		r.dataCentre = w.o.Entries[w.rng.IntN(len(w.o.Entries))]
	}
	c := r.count()
	c.Sent++
	c.Owed += k.Worth
	r.draw()
	r.begin()
}

// count returns where the request is counted. Those outside the counted time have a place of their own that nobody reads.
func (r *request) count() *Count {
	if !r.w.counts(r.first) {
		return &Count{}
	}
	return r.w.result.Kinds[r.kind.Name]
}

// counts reports whether a moment is in the counted time.
func (w *world) counts(t time.Time) bool {
	at := t.Sub(start)
	return w.o.CountTo == 0 || at >= w.o.CountFrom && at < w.o.CountTo
}

// draw chooses the sizes of a request; they stay when it returns.
func (r *request) draw() {
	w, k := r.w, r.kind
	for i, s := range k.Stages {
		n := 1
		if s.Pieces > 0 {
			n = max(int(math.Round(w.spread(s.Pieces, pieceSigma))), 1)
		}
		if s.Share > 0 && w.rng.Float64() >= s.Share {
			n = 0
		}
		r.counts[i] = n
	}
	thing := w.rng.IntN(max(k.Things, 1))
	shared := max(int(float64(k.Shared)*(thingLeast+float64(thing%thingSizes)/thingSizes)), 1)
	own := int(w.spread(float64(k.Own), ownSigma))
	r.want = engine.Request{Prompt: shared + own, Output: 120, Rank: k.Rank}
	r.want.Parts = []engine.Part{{ID: fmt.Sprint(k.Name, "-", thing), Tokens: shared}, {ID: fmt.Sprint("own-", w.rng.Uint64()), Tokens: own}}
}

// Spread of the sizes that are drawn.
const (
	pieceSigma = 0.4
	ownSigma   = 0.8
	thingLeast = 0.55 // the smallest document against the mean
	thingSizes = 10   // different sizes of documents
)

func (r *request) begin() {
	w := r.w
	w.attempts++
	r.id = fmt.Sprint("r", w.attempts)
	r.began = w.now
	r.waiting = map[stage.Key]stage.Job{}
	r.held = map[string]heldResult{}
	w.requests[r.id] = r
	stages := make([]conf.Stage, len(r.kind.Stages))
	r.want.PendingStages = nil
	for i, s := range r.kind.Stages {
		stages[i] = s.Stage
		r.want.PendingStages = append(r.want.PendingStages, engine.PendingStage{Service: s.Service, After: s.After, Pieces: r.counts[i]})
	}
	r.want.Due = r.slack()
	r.want.Team, r.want.DataCentre = r.kind.Team, r.dataCentre
	if !w.o.HideGaps {
		r.want.Gap = r.kind.Gap
	}
	seat, _ := w.placer.Place(w.now, r.want) // no engine fails
	r.ticket, r.engineID, r.forecast, r.due = seat.Ticket, seat.ID, seat.Forecast, seat.Due
	if ok, after := r.forecast.Admit(r.left()); !ok {
		r.refuse(after, engine.Refused)
		return
	}
	plan, err := stage.NewPlan(r.id, "key", stages, r.counts)
	if err != nil { // the counts are drawn for these stages
		panic(err)
	}
	r.plan = plan
	w.live[r] = true
	w.after(hop+max(r.forecast.Hold, 0), r.start)
	w.after(r.left(), r.expire)
}

func (r *request) slack() time.Duration { return r.began.Add(r.kind.Target).Sub(r.w.now) }
func (r *request) left() time.Duration  { return r.first.Add(r.kind.Deadline).Sub(r.w.now) }

// refuse sends the caller away; it returns once.
func (r *request) refuse(after time.Duration, result engine.Result) {
	w := r.w
	r.count().Refused++
	if r.forecast.OverShare {
		r.count().OverShare++
	}
	r.end(result)
	if r.returned || after > r.left()/3 {
		return
	}
	again := &request{w: w, kind: r.kind, first: r.first, returned: true, dataCentre: r.dataCentre, want: r.want, counts: r.counts}
	w.after(after+hop, again.begin)
}

// refusalResult is what the placer is told of a request one of whose pieces was not made.
func refusalResult(reason stage.Reason) engine.Result {
	if reason == stage.ReasonRefused {
		return engine.Refused
	}
	return engine.Cancelled
}

// end gives up all that the request has.
func (r *request) end(result engine.Result) {
	w := r.w
	delete(w.live, r)
	delete(w.requests, r.id)
	w.placer.End(w.now, r.ticket, result)
	if r.plan == nil {
		return
	}
	r.freeAll(r.plan.TakeResults())
	for _, q := range w.queues {
		q.Cancel(r.id)
	}
}

func (r *request) expire() {
	if r.w.live[r] {
		r.end(engine.Cancelled)
	}
}

func (r *request) start() {
	w := r.w
	if !w.live[r] {
		return
	}
	if r.plan.Finished() {
		r.send()
		return
	}
	for _, item := range r.plan.Ready() {
		s := r.kind.Stages[item.Stage]
		after := r.plan.TimeAfter(item.Stage, w.pools[s.Service])
		j := stage.Job{
			Item: item, Rank: r.kind.Rank, Order: r.forecast.Order, Home: "dc", Bytes: s.ResultBytes,
			Due: r.due.Add(-after - r.forecast.EngineTime), Deadline: r.first.Add(r.kind.Deadline - after),
		}
		r.give(j)
	}
}

func keyOf(item stage.Item) stage.Key {
	return stage.Key{Request: item.Request, Stage: item.Stage, Piece: item.Piece}
}

// give hands a piece to the present owner of its queue.
func (r *request) give(j stage.Job) {
	w := r.w
	r.waiting[keyOf(j.Item)] = j
	w.after(hop, func() {
		q := w.queues[r.kind.Stages[j.Stage].Service]
		if w.live[r] {
			q.Add(w.now, j)
			w.pump(q)
		}
	})
}

// tellHeld tells the new owners which results the request uses.
func (r *request) tellHeld() {
	for handle, x := range r.held {
		r.w.queues[x.service].Adopt(r.w.now, x.upstream, handle, r.id, x.bytes, x.until.Sub(r.w.now))
	}
}

// handAgain gives pieces to the new owners, in the order of their stages.
func (r *request) handAgain() {
	var list []stage.Job
	for _, j := range r.waiting {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b stage.Job) int { return (a.Stage-b.Stage)*1000 + a.Piece - b.Piece })
	for _, j := range list {
		r.give(j)
	}
}

// took takes the end of a piece.
func (r *request) took(reply stage.Reply) {
	w := r.w
	service := r.kind.Stages[max(reply.Stage, 0)].Service
	if !w.live[r] {
		if reply.Handle != "" {
			w.free(service, []string{reply.Handle}, reply.Upstream)
		}
		return
	}
	delete(r.waiting, keyOf(reply.Item))
	if reply.Handle == "" {
		if !r.plan.RecordFailure(reply.Stage, reply.Piece, reply.Reason) {
			r.refuse(leastRetry, refusalResult(reply.Reason))
			return
		}
		r.start()
		return
	}
	r.held[reply.Handle] = heldResult{service, reply.Upstream, reply.Bytes, w.now.Add(w.pools[service].HandleTTL.Duration())}
	r.freeAll(r.plan.RecordResult(reply.Stage, reply.Piece, reply.Handle, "owner", reply.Upstream))
	if r.stageDone(reply.Stage) {
		w.placer.StageDone(w.now, r.ticket, reply.Stage)
	}
	r.start()
}

// leastRetry is what a caller is told when a piece of its request was not made.
const leastRetry = 300 * time.Millisecond

func (r *request) stageDone(number int) bool {
	for k := range r.waiting {
		if k.Stage == number {
			return false
		}
	}
	return true
}

func (r *request) freeAll(list []stage.Freed) {
	for _, f := range list {
		delete(r.held, f.Handle)
		r.w.free(f.Service, []string{f.Handle}, f.Upstream)
	}
}

// send passes the request to its engine.
func (r *request) send() {
	w := r.w
	if !r.staged.IsZero() {
		return
	}
	r.staged = w.now
	e := w.engines[r.engineID]
	w.after(hop, func() { e.take(r) })
}

// answered takes the first event.
func (r *request) answered() {
	w := r.w
	if !w.live[r] {
		return
	}
	c := r.count()
	c.Stages = append(c.Stages, r.staged.Sub(r.began))
	c.Engine = append(c.Engine, w.now.Sub(r.staged))
	r.onTime = w.now.Sub(r.first) <= r.kind.Target
	w.placer.FirstEvent(w.now, r.ticket)
	r.ends = w.now.Add(time.Duration(r.kind.Events) * eventEvery)
	w.engines[r.engineID].streams[r] = true
	r.stream()
}

// stream ends the request once its last event has come.
func (r *request) stream() {
	w := r.w
	if left := r.ends.Sub(w.now); left > 0 {
		w.after(left, r.stream)
		return
	}
	delete(w.engines[r.engineID].streams, r)
	if !w.live[r] {
		return
	}
	c := r.count()
	paused := r.kind.Gap > 0 && r.pause > r.kind.Gap
	w.result.Served++
	switch {
	case r.onTime && !paused:
		c.OnTime++
		c.Earned += r.kind.Worth
	default:
		c.Late++
		c.Earned += r.kind.Late
	}
	if r.onTime && paused {
		c.Paused++
	}
	r.end(engine.Served)
}
