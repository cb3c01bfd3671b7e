// Package engine places requests on model engines. The entry nodes of a region ask a Placer for a placement before they
// send a request to an engine of a service. The Placer therefore knows all prompts that still have to be read, and
// which prompt parts each engine has cached. Load reports from the engines would be several hundred milliseconds old.
//
// Usage:
//
//	p := engine.New()
//	p.SetTargets(list)
//	placement, ok := p.Place(now, engine.Request{Parts: parts, Prompt: 17020, Output: 120})
//	p.StageDone(now, placement.Ticket, 0) // all pieces of stage 0 are complete
//	p.FirstEvent(now, placement.Ticket)   // the first event arrived, so the prompt has been read
//	p.End(now, placement.Ticket, engine.Served)
//
// Requests are placed before their stages start, so a Placer also knows the pending pieces of the region's stage
// services and forecasts the latency of a request from them (Forecast). The stage queues themselves show a burst only
// once its requests reach them.
//
// # Speed
//
// The engines of a service differ in speed. A Placer learns the speed of each from the times between first events, and
// counts unread tokens as the number that the median engine would read in the same time.
//
// # Placement
//
// The cost of an engine is the number of prompt tokens that it has to read before the request's first token: those of
// the requests placed there before, and the uncached tokens of the request's own prompt. Less urgent requests are not
// counted, since engines schedule them later. Tokens of shared parts have a higher weight, since a shared part that is
// read again also evicts another one.
//
// While an engine reads a prompt, its streams pause. A stream that pauses for longer than its route allows is late, as
// is a stream whose first event is late. A prompt therefore costs more the more streams run at the engine, and the
// closer its reading time comes to their permitted gap. Where prompts do make streams late, a request with a short
// prompt goes to an engine that already has streams, which keeps other engines free of streams for long prompts.
package engine

import (
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/base/rendez"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/share"
	"github.com/berylledge/berylledge/internal/gate/speed"
)

// Part is one part of a prompt. Requests with the same leading parts share them in an engine's cache.
type Part struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Request describes a request to be placed.
type Request struct {
	Model         string         `cbor:"1,keyasint,omitempty"`
	Parts         []Part         `cbor:"2,keyasint,omitempty"` // in order; the last one is unique to the request
	Prompt        int            `cbor:"3,keyasint,omitempty"` // tokens
	Output        int            `cbor:"4,keyasint,omitempty"` // maximum number of tokens
	Rank          int            `cbor:"5,keyasint,omitempty"`
	Exclude       []string       `cbor:"6,keyasint,omitempty"` // engines that failed this request
	PendingStages []PendingStage `cbor:"7,keyasint,omitempty"` // stages that run before the request reaches its engine
	// Due is the time left until the request is late.
	Due time.Duration `cbor:"8,keyasint,omitempty"`
	// Gap is the longest permitted time between two events; 0: no limit.
	Gap time.Duration `cbor:"9,keyasint,omitempty"`
	// Team and DataCentre, that of the entry VM, are those between which scarce room is shared.
	Team       string `cbor:"10,keyasint,omitempty"`
	DataCentre string `cbor:"11,keyasint,omitempty"`
	// Order sorts requests within a rank; lower comes first. The placer sets it.
	Order int `cbor:"-"`
}

// Target describes an engine.
type Target struct {
	ID          string
	Slots       int
	CacheTokens int64
	Avoid       bool          // used only if no other engine is available
	Pace        pace.Upstream // its ID is that of the engine, and its start identifies the run that a learnt speed belongs to
}

// Result tells how a request ended at its engine.
type Result uint8

// Results of a request.
const (
	Served    Result = iota + 1
	Failed           // no response, or it broke off
	Full             // the engine rejected the request
	Cancelled        // cancelled by this side
	Refused          // refused by this side because room is scarce
)

// Placement parameters.
const (
	initialBackoff    = time.Second // after a failure; doubles with each further failure
	maxBackoff        = 8 * time.Second
	fullBackoff       = 200 * time.Millisecond
	TicketTTL         = 20 * time.Second // drops tickets that were never ended, since their node may have died
	expireInterval    = 200 * time.Millisecond
	partCacheFraction = 0.8 // of an engine's memory that is assumed to cache prompt parts
)

type ticket struct {
	target        string
	ownPart       string // last part of the prompt, unique to the request
	unread        int    // prompt tokens still to be read
	rank          int
	tokens        int
	placedAt      time.Time
	due           time.Time
	gap           time.Duration  // longest permitted time between two events; 0: no limit
	pending       []PendingStage // stages with the number of pieces still to be computed
	initialUnread int            // prompt tokens that had to be read at placement
	started       bool           // at least one stage is complete
	late          bool           // could not be on time at placement
	forecastTotal time.Duration  // forecast duration of its stages
	worked        bool           // its first event counted as completed work
	stagesDone    time.Time      // when its last stage was completed, and the request sent; zero: not yet
	order         int            // within the rank
	caller        share.Caller
	work          float64 // in the account of shares
	asked         bool    // its work was entered as demand
}

type target struct {
	Target
	present      bool
	tickets      map[uint64]*ticket
	parts        map[string]*part // by chain of part IDs
	cachedTokens int64            // total tokens of parts
	useCount     uint64           // logical clock of part uses, for eviction
	pausedUntil  time.Time
	failures     int
	pace         pace.State
	reading      readMeter
	loggedSpeed  float64 // last factor returned by SpeedChanges; 0: none
}

type part struct {
	tokens  int
	lastUse uint64
}

// Placer places requests on the engines of one service. It is not safe for concurrent use.
type Placer struct {
	targets          map[string]*target
	tickets          map[uint64]*ticket
	lastID           uint64
	pools            map[string]Pool
	engineTimes      durationModel   // time from the end of a request's stages to its first event, by unread prompt tokens
	stageTimes       durationModel   // duration of a request's stages, by the forecast duration
	readTime         speed.LinearFit // nanoseconds from the end of a request's stages to its first event, by unread prompt tokens; all ranks
	speeds           *speed.Table
	readPeriod       speed.LinearFit // nanoseconds in which an engine read a prompt without other prompts, by unread prompt tokens
	lastSpeedChange  time.Time       // when SpeedChanges last looked
	meanLateFraction float64         // fraction of streams that a prompt makes late, averaged over recent prompts
	unanswered       unansweredRequests
	lastExpiry       time.Time // when expired tickets were last removed
	owner            *pace.Owner
	shares           *share.Account
	fairShares       bool // the account decides who gets scarce room
}

// Placement is the engine chosen for a request.
type Placement struct {
	Ticket   uint64
	ID       string // engine ID
	Forecast Forecast
	Due      time.Time // when the response becomes late
	// Cold is set if the engine is cold, so that the ticket permits a single send to it.
	Cold bool
	// Blocked tells why there is no placement if all engines are at a limit of package pace, and when one accepts requests again.
	// Its OK is true if there is none.
	Blocked pace.Verdict
}

// New returns a Placer without engines.
func New() *Placer { return NewPaced(pace.Bounds{}) }

// NewPaced returns a Placer without engines that keeps to the bounds of cold engines. It uses no cold engine before SetOwned.
func NewPaced(b pace.Bounds) *Placer {
	return &Placer{
		targets: map[string]*target{}, tickets: map[uint64]*ticket{}, owner: pace.NewOwner(b), speeds: speed.New(),
		shares:     share.New(),
		readPeriod: speed.LinearFit{Decay: readPeriodDecay},
	}
}

// SetFairShares sets whether scarce room is divided fairly between teams and data centres.
func (p *Placer) SetFairShares(on bool) { p.fairShares = on }

// SetOwned tells whether this node is the one that places the requests on these engines, by its own view.
func (p *Placer) SetOwned(now time.Time, owned bool) { p.owner.Set(now, owned) }

// SetIsolated tells whether this node may have lost the others, so that another one may place requests on these engines too.
func (p *Placer) SetIsolated(now time.Time, isolated bool) { p.owner.SetIsolated(now, isolated) }

// SetTargets replaces the set of engines. The cached parts of an engine are kept while it is in the set or has
// requests.
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
		if have.Pace.StartedMs != t.Pace.StartedMs {
			p.speeds.Forget(t.ID)
			have.reading = readMeter{}
		}
		have.Target, have.present = t, true
		have.pace.Update(t.Pace)
	}
	for id, t := range p.targets {
		if !t.present && len(t.tickets) == 0 && !t.pace.HasRecentSends(p.lastExpiry) {
			delete(p.targets, id)
			p.speeds.Forget(id)
		}
	}
}

// Place chooses an engine and counts the request there; false if there is none. The forecast does not include the
// request itself.
func (p *Placer) Place(now time.Time, r Request) (Placement, bool) {
	p.expire(now)
	chains := r.chains()
	best := p.best(now, r, chains, onlyIdle)
	if best == nil {
		best = p.best(now, r, chains, alsoNew)
	}
	if best == nil {
		best = p.best(now, r, chains, alsoPaused)
	}
	if best == nil {
		return Placement{Blocked: p.blocked(now, r)}, false
	}
	own := ownPart(chains)
	due := p.unanswered.due(own, now.Add(r.Due))
	r.Due = due.Sub(now)
	cold := best.pace.IsCold(now)
	best.pace.Reserve()
	p.lastID++
	t := &ticket{ownPart: own, target: best.ID, unread: best.unreadTokens(r, chains), rank: r.Rank, tokens: r.Prompt + r.Output, placedAt: now, due: due, gap: r.Gap}
	t.pending = slices.Clone(r.PendingStages)
	if !t.hasPendingStages() {
		t.stagesDone = now
		best.pace.SentReserved(now, p.owner)
	}
	standing := p.enterShare(now, r, t)
	t.order = order(standing)
	r.Order = t.order
	forecast := p.forecastAt(now, r, best, t.unread)
	forecast.Order, forecast.OverShare = t.order, exceedsShare(standing, forecast, r.Due)
	p.updatePauseStats(forecast.Speed*float64(t.unread), r.Gap)
	t.initialUnread, t.forecastTotal, t.late = t.unread, forecast.Total, forecast.Late
	p.tickets[p.lastID] = t
	best.tickets[p.lastID] = t
	best.cacheParts(r, chains)
	return Placement{Ticket: p.lastID, ID: best.ID, Forecast: forecast, Due: due, Cold: cold}, true
}

// blocked returns the verdict on the engine that accepts requests again before the others.
func (p *Placer) blocked(now time.Time, r Request) pace.Verdict {
	out := pace.Verdict{OK: true}
	for _, t := range p.targets {
		if t.present && !slices.Contains(r.Exclude, t.ID) {
			out = out.Earlier(t.pace.Allow(now, p.owner))
		}
	}
	return out
}

// choice is the set of engines among which one is chosen.
type choice uint8

const (
	onlyIdle   choice = iota // those with room that are not backing off
	alsoNew                  // and those that have just started and got as much as they should while others could take the work
	alsoPaused               // and those that are backing off, full or marked Avoid
)

// best returns the engine of a choice with the lowest cost. Engines at another limit of package pace than that of new ones are in no
// choice.
func (p *Placer) best(now time.Time, r Request, chains []string, among choice) *target {
	var out *target
	var minCost float64
	stats := p.pauseStats()
	together := p.startedTogether(now)
	for _, t := range p.targets {
		if !t.present || slices.Contains(r.Exclude, t.ID) {
			continue
		}
		usable := !t.Avoid && !now.Before(t.pausedUntil) && (t.Slots == 0 || len(t.tickets) < t.Slots)
		if !usable && among < alsoPaused {
			continue
		}
		if v := t.pace.Allow(now, p.owner); !v.OK && (v.Cause != pace.New || among == onlyIdle && !together) {
			continue
		}
		cost := t.cost(r, chains, stats, p.speeds.Factor(now, t.ID))
		if out == nil || cost < minCost || cost == minCost && prefersByHash(t.ID, out.ID, chains) {
			out, minCost = t, cost
		}
	}
	return out
}

// startedTogether reports whether the windows of engines that have just started do not count.
func (p *Placer) startedTogether(now time.Time) bool {
	fresh, all := 0, 0
	for _, t := range p.targets {
		if !t.present || t.Avoid {
			continue
		}
		all++
		if t.pace.SlowStart && t.pace.IsNew(now) {
			fresh++
		}
	}
	return pace.StartedTogether(fresh, all)
}

// prefersByHash orders engines with equal cost by rendezvous hashing of the shared parts, so that the parts are spread
// over the engines consistently.
func prefersByHash(a, b string, chains []string) bool {
	key := ""
	if len(chains) > 1 {
		key = chains[len(chains)-2]
	}
	return rendez.Compare(key, a, b) < 0
}

// chains returns, for each part, the IDs of all parts up to it. A cached part is useful only after the same preceding
// parts.
func (r Request) chains() []string {
	out := make([]string, len(r.Parts))
	chain := r.Model
	for i, x := range r.Parts {
		chain += "," + x.ID
		out[i] = chain
	}
	return out
}

// unreadTokens returns the prompt tokens that the engine does not have in its cache.
func (t *target) unreadTokens(r Request, chains []string) int {
	unread := r.Prompt
	for i, x := range r.Parts {
		if t.parts[chains[i]] == nil {
			break
		}
		unread -= x.Tokens
	}
	return max(unread, 0)
}

// hasPendingStages reports whether some stages of the request are not complete.
func (t *ticket) hasPendingStages() bool {
	return slices.ContainsFunc(t.pending, func(n PendingStage) bool { return n.Pieces > 0 })
}

// isStreaming reports whether the prompt has been read, so that events are being sent.
func (t *ticket) isStreaming() bool { return t.unread == 0 && !t.hasPendingStages() }

// forecastAt forecasts a request on an engine that has to read the given number of its prompt tokens. If the request
// cannot be on time, it is forecast at the lower urgency of late requests.
func (p *Placer) forecastAt(now time.Time, r Request, at *target, unread int) Forecast {
	f := p.Forecast(now, r, false)
	factor := p.speeds.Factor(now, at.ID)
	engine, _ := p.engineTimes.predict(r.Rank, factor*float64(unread))
	likely := f.Total
	if expected, ok := p.stageTimes.predict(r.Rank, float64(f.Total.Milliseconds())); ok && f.Total > 0 {
		likely = expected
	}
	if likely+engine > r.Due {
		f = p.Forecast(now, r, true)
		likely = f.Total
	}
	f.UnreadTokens, f.EngineTime, f.CorrectedTotal, f.Speed = unread, engine, likely, factor
	for _, other := range at.tickets {
		if other.rank <= r.Rank {
			f.TokensAhead += other.unread
		}
		if other.isStreaming() {
			f.Streams++
		}
	}
	return f
}

// cacheParts records the parts that the engine will have read, and evicts the least recently used ones beyond its
// capacity.
func (t *target) cacheParts(r Request, chains []string) {
	for i, x := range r.Parts {
		t.useCount++
		have := t.parts[chains[i]]
		if have == nil {
			have = &part{tokens: x.Tokens}
			t.parts[chains[i]] = have
			t.cachedTokens += int64(x.Tokens)
		}
		have.lastUse = t.useCount
	}
	running := int64(0)
	for _, other := range t.tickets {
		running += int64(other.tokens)
	}
	room := max(int64(partCacheFraction*float64(t.CacheTokens))-running, 0)
	for t.CacheTokens > 0 && t.cachedTokens > room && len(t.parts) > len(r.Parts) {
		t.evictLeastRecent()
	}
}

func (t *target) evictLeastRecent() {
	oldest := ""
	for chain, x := range t.parts {
		if oldest == "" || x.lastUse < t.parts[oldest].lastUse {
			oldest = chain
		}
	}
	t.cachedTokens -= int64(t.parts[oldest].tokens)
	delete(t.parts, oldest)
}

// FirstEvent records that the prompt of a request has been read.
func (p *Placer) FirstEvent(now time.Time, id uint64) {
	t := p.tickets[id]
	if t == nil {
		return
	}
	var took, usual time.Duration
	if !t.stagesDone.IsZero() {
		took = now.Sub(t.stagesDone)
		tokens := p.speeds.Factor(now, t.target) * float64(t.initialUnread)
		if nanos, ok := p.readTime.Predict(tokens); ok {
			usual = time.Duration(nanos)
		}
		p.engineTimes.add(t.rank, tokens, took)
		p.readTime.Add(tokens, float64(took))
		p.learnSpeed(now, t)
	}
	if at := p.targets[t.target]; at != nil && !t.worked {
		t.worked = true
		at.pace.Took(now, took, usual, 2) // the stream keeps its place
	}
	t.unread = 0
}

// End records the result of a request and releases its ticket.
func (p *Placer) End(now time.Time, id uint64, r Result) {
	t := p.tickets[id]
	if t == nil {
		return
	}
	p.removeTicket(now, id, r == Cancelled || r == Refused)
	p.leaveShare(now, t, r)
	if r == Served {
		p.unanswered.remove(t.ownPart)
	} else {
		p.unanswered.add(now, t.ownPart, t.due, t.asked || p.unanswered.asked(t.ownPart))
	}
	at := p.targets[t.target]
	if at == nil {
		return
	}
	switch r {
	case Served:
		at.failures = 0
		if !t.worked {
			at.pace.Worked(1)
		}
	case Failed:
		at.pace.Failed(now)
		at.pausedUntil = now.Add(min(initialBackoff<<at.failures, maxBackoff))
		at.failures = min(at.failures+1, 8)
		// It may have restarted with an empty cache.
		at.parts, at.cachedTokens = map[string]*part{}, 0
	case Full:
		at.pace.Failed(now)
		at.pausedUntil = now.Add(fullBackoff)
	case Cancelled, Refused:
	}
}

// removeTicket ends a ticket. A request whose stages were not complete has not been sent if it was cancelled.
func (p *Placer) removeTicket(now time.Time, id uint64, cancelled bool) {
	t := p.tickets[id]
	delete(p.tickets, id)
	at := p.targets[t.target]
	if at == nil {
		return
	}
	delete(at.tickets, id)
	if t.unread > 0 && !t.stagesDone.IsZero() {
		at.reading.interrupted = true
	}
	switch {
	case !t.stagesDone.IsZero():
		at.pace.Ended()
	case cancelled:
		at.pace.Release()
	default:
		at.pace.SentReserved(now, p.owner)
		at.pace.Ended()
	}
}

// expire removes tickets that their nodes never ended.
func (p *Placer) expire(now time.Time) {
	if now.Sub(p.lastExpiry) < expireInterval {
		return
	}
	p.lastExpiry = now
	p.unanswered.expire(now)
	for id, t := range p.tickets {
		if now.Sub(t.placedAt) > TicketTTL {
			p.removeTicket(now, id, false)
		}
	}
}
