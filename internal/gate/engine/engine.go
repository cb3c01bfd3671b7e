// Package engine places requests on model engines. A Placer knows all requests that the entry nodes of a region send to the
// engines of one service, since they ask it for a place first; so it knows the prompts that still have to be read, and which
// parts of prompts each engine has read before. Reports of engines would be some hundred milliseconds old.
//
// Usage:
//
//	p := engine.New()
//	p.SetTargets(list)
//	seat, ok := p.Place(now, engine.Request{Parts: parts, Prompt: 17020, Output: 120})
//	p.Staged(now, seat.Ticket, 0) // the pieces of stage 0 are made
//	p.First(now, seat.Ticket)     // the first event came, so the prompt has been read
//	p.End(now, seat.Ticket, engine.Served)
//
// Since all requests of the region pass here before their stages begin, a Placer also knows the pieces that the region's
// stage services still have to make, and forecasts how long a request would take (Forecast). The queues themselves show a
// burst only when its requests reach them.
//
// # Choice
//
// The cost of an engine is the number of prompt tokens that it has to read before the request's first token: those of the
// requests placed there before, and those of the request's own prompt that it does not have. Urgent requests do not count
// less urgent ones, which engines put behind. Tokens of shared parts count more, since a part that is read again also takes
// the place of another one.
//
// An engine reads a prompt in one go, and its streams pause meanwhile. A stream that pauses for longer than its route allows
// is late, as one whose first event is late. So a prompt costs more the more streams run at the engine and the nearer its reading
// time comes to their longest pause; and where prompts do make streams late, a request whose own prompt is short goes to an engine
// that has streams already, which leaves others without streams for the long prompts.
package engine

import (
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/base/rendez"
)

// Part is one part of a prompt; requests with the same first parts share them.
type Part struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Request is what a Placer must know of a request.
type Request struct {
	Model   string   `cbor:"1,keyasint,omitempty"`
	Parts   []Part   `cbor:"2,keyasint,omitempty"` // in order; the last one is the request's own
	Prompt  int      `cbor:"3,keyasint,omitempty"` // tokens
	Output  int      `cbor:"4,keyasint,omitempty"` // most tokens
	Rank    int      `cbor:"5,keyasint,omitempty"`
	Exclude []string `cbor:"6,keyasint,omitempty"` // engines that failed it
	PendingStages   []PendingStage   `cbor:"7,keyasint,omitempty"` // stages that it has to pass before
	// Due is the time that is left until the request is late.
	Due time.Duration `cbor:"8,keyasint,omitempty"`
	// Gap is the longest pause between two events that is on time; 0: any.
	Gap time.Duration `cbor:"9,keyasint,omitempty"`
}

// Target is an engine.
type Target struct {
	ID          string
	Slots       int
	CacheTokens int64
	Avoid       bool
}

// Result says how a request ended at its engine.
type Result uint8

// The results.
const (
	Served Result = iota + 1
	Failed        // the engine did not answer, or broke off
	Full          // it refused the request
	Cancelled          // this side gave up
)

// Parameters of the choice.
const (
	firstPause  = time.Second     // after a failure
	mostPause   = 8 * time.Second // after several
	fullPause   = 200 * time.Millisecond
	ticketFor   = 20 * time.Second // a ticket that was not ended is dropped, since its node may have died
	sweepEvery  = 200 * time.Millisecond
	cacheMargin = 0.8 // part of an engine's memory that is taken to hold parts of prompts
)

type ticket struct {
	target string
	part   string // the request's own part of its prompt
	unread int    // prompt tokens that must still be read
	rank   int
	tokens int
	at     time.Time
	due    time.Time
	gap    time.Duration // longest pause between two events that is on time; 0: any
	needs  []PendingStage        // pieces that are still to be made
	own    int           // prompt tokens that had to be read when the place was given
	begun  bool          // a stage is done
	late   bool          // it could not be on time from the beginning
	total  time.Duration // that its stages were expected to take
	ready  time.Time     // when its last stage was done; zero: not yet
}

type target struct {
	Target
	present bool
	tickets map[uint64]*ticket
	parts   map[string]*part // by chain of ids
	held    int64            // tokens of parts
	clock   uint64           // grows with each use of a part
	pause   time.Time
	fails   int
}

type part struct {
	tokens int
	used   uint64
}

// Placer places requests. It is not safe for concurrent use.
type Placer struct {
	targets map[string]*target
	tickets map[uint64]*ticket
	next    uint64
	pools   map[string]Pool
	engine  times   // from the end of a request's stages to its first event, by prompt tokens to read
	stages  times   // of a request's stages, by the time that they were expected to take
	reads   line    // nanoseconds from the end of a request's stages to its first event, by prompt tokens to read, of all ranks
	share   float64 // of streams that are late because of a prompt, on the mean of the prompts placed lately
	unmet   unmet
	swept   time.Time // when tickets were last looked through for forgotten ones
}

// Placement is a place at an engine.
type Placement struct {
	Ticket   uint64
	ID       string // of the engine
	Forecast Forecast
	Due      time.Time // from when on the answer is late
}

// New returns a Placer without engines.
func New() *Placer {
	return &Placer{targets: map[string]*target{}, tickets: map[uint64]*ticket{}}
}

// SetTargets changes the engines. One that comes back under the same id starts with an empty memory only if it was gone.
func (p *Placer) SetTargets(list []Target) {
	for _, t := range p.targets {
		t.present = false
	}
	for _, t := range list {
		have := p.targets[t.ID]
		if have == nil {
			have = &target{tickets: map[uint64]*ticket{}, parts: map[string]*part{}}
			p.targets[t.ID] = have
		}
		have.Target, have.present = t, true
	}
	for id, t := range p.targets {
		if !t.present && len(t.tickets) == 0 {
			delete(p.targets, id)
		}
	}
}

// Place chooses an engine and counts the request there; false if there is none. The forecast is that of the moment before the
// request was counted.
func (p *Placer) Place(now time.Time, r Request) (Placement, bool) {
	p.expire(now)
	chains := r.chains()
	best := p.best(now, r, chains, false)
	if best == nil {
		best = p.best(now, r, chains, true)
	}
	if best == nil {
		return Placement{}, false
	}
	own := ownPart(chains)
	due := p.unmet.due(own, now.Add(r.Due))
	r.Due = due.Sub(now)
	p.next++
	t := &ticket{part: own, target: best.ID, unread: best.unread(r, chains), rank: r.Rank, tokens: r.Prompt + r.Output, at: now, due: due, gap: r.Gap}
	t.needs = slices.Clone(r.PendingStages)
	if !t.staging() {
		t.ready = now
	}
	forecast := p.judge(now, r, best, t.unread)
	p.learnPauses(t.unread, r.Gap)
	t.own, t.total, t.late = t.unread, forecast.Total, forecast.Late
	p.tickets[p.next] = t
	best.tickets[p.next] = t
	best.remember(r, chains)
	return Placement{p.next, best.ID, forecast, due}, true
}

// best returns the engine with the least cost. Engines that are paused or full count only with any.
func (p *Placer) best(now time.Time, r Request, chains []string, paused bool) *target {
	var out *target
	var least float64
	known := p.pauses()
	for _, t := range p.targets {
		if !t.present || slices.Contains(r.Exclude, t.ID) {
			continue
		}
		usable := !t.Avoid && !now.Before(t.pause) && (t.Slots == 0 || len(t.tickets) < t.Slots)
		if !usable && !paused {
			continue
		}
		cost := t.cost(r, chains, known)
		if out == nil || cost < least || cost == least && prefers(t.ID, out.ID, chains) {
			out, least = t, cost
		}
	}
	return out
}

// prefers orders engines with equal cost by rendezvous hashing of the shared parts, so that each has its own.
func prefers(a, b string, chains []string) bool {
	key := ""
	if len(chains) > 1 {
		key = chains[len(chains)-2]
	}
	return rendez.Compare(key, a, b) < 0
}

// chains returns for each part the ids up to it, since a part is of use only after the same parts.
func (r Request) chains() []string {
	out := make([]string, len(r.Parts))
	chain := r.Model
	for i, x := range r.Parts {
		chain += "," + x.ID
		out[i] = chain
	}
	return out
}

// unread returns the tokens of a prompt that the engine has to read.
func (t *target) unread(r Request, chains []string) int {
	unread := r.Prompt
	for i, x := range r.Parts {
		if t.parts[chains[i]] == nil {
			break
		}
		unread -= x.Tokens
	}
	return max(unread, 0)
}

// staging reports whether the request still has stages to pass.
func (t *ticket) staging() bool {
	return slices.ContainsFunc(t.needs, func(n PendingStage) bool { return n.Pieces > 0 })
}

// streaming reports whether the prompt has been read, so that events are on their way.
func (t *ticket) streaming() bool { return t.unread == 0 && !t.staging() }

// judge forecasts a request on an engine where it has some prompt tokens to read. If it cannot be on time, the forecast is that of
// a request that yields to those that can.
func (p *Placer) judge(now time.Time, r Request, at *target, unread int) Forecast {
	f := p.Forecast(now, r, false)
	engine, _ := p.engine.expect(r.Rank, float64(unread))
	likely := f.Total
	if expected, ok := p.stages.expect(r.Rank, float64(f.Total.Milliseconds())); ok && f.Total > 0 {
		likely = expected
	}
	if likely+engine > r.Due {
		f = p.Forecast(now, r, true)
		likely = f.Total
	}
	f.UnreadTokens, f.EngineTime, f.CorrectedTotal = unread, engine, likely
	for _, other := range at.tickets {
		if other.rank <= r.Rank {
			f.TokensAhead += other.unread
		}
		if other.streaming() {
			f.Streams++
		}
	}
	return f
}

// remember notes the parts that the engine will have read, and drops those used least lately when it has no room.
func (t *target) remember(r Request, chains []string) {
	for i, x := range r.Parts {
		t.clock++
		have := t.parts[chains[i]]
		if have == nil {
			have = &part{tokens: x.Tokens}
			t.parts[chains[i]] = have
			t.held += int64(x.Tokens)
		}
		have.used = t.clock
	}
	running := int64(0)
	for _, other := range t.tickets {
		running += int64(other.tokens)
	}
	room := max(int64(cacheMargin*float64(t.CacheTokens))-running, 0)
	for t.CacheTokens > 0 && t.held > room && len(t.parts) > len(r.Parts) {
		t.dropOldest()
	}
}

func (t *target) dropOldest() {
	oldest := ""
	for chain, x := range t.parts {
		if oldest == "" || x.used < t.parts[oldest].used {
			oldest = chain
		}
	}
	t.held -= int64(t.parts[oldest].tokens)
	delete(t.parts, oldest)
}

// FirstEvent notes that the prompt of a request has been read.
func (p *Placer) FirstEvent(now time.Time, id uint64) {
	t := p.tickets[id]
	if t == nil {
		return
	}
	if !t.ready.IsZero() {
		took := now.Sub(t.ready)
		p.engine.add(t.rank, float64(t.own), took)
		p.reads.add(float64(t.own), float64(took))
	}
	t.unread = 0
}

// End takes the result of a request.
func (p *Placer) End(now time.Time, id uint64, r Result) {
	t := p.tickets[id]
	if t == nil {
		return
	}
	p.drop(id)
	if r == Served {
		p.unmet.forget(t.part)
	} else {
		p.unmet.add(now, t.part, t.due)
	}
	at := p.targets[t.target]
	if at == nil {
		return
	}
	switch r {
	case Served:
		at.fails = 0
	case Failed:
		at.pause = now.Add(min(firstPause<<at.fails, mostPause))
		at.fails = min(at.fails+1, 8)
		// It may have been restarted and have nothing of what it had.
		at.parts, at.held = map[string]*part{}, 0
	case Full:
		at.pause = now.Add(fullPause)
	case Cancelled:
	}
}

func (p *Placer) drop(id uint64) {
	t := p.tickets[id]
	delete(p.tickets, id)
	if at := p.targets[t.target]; at != nil {
		delete(at.tickets, id)
	}
}

// expire drops tickets of nodes that have not ended them.
func (p *Placer) expire(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	p.unmet.expire(now)
	for id, t := range p.tickets {
		if now.Sub(t.at) > ticketFor {
			p.drop(id)
		}
	}
}
