package proxy

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// maxPlacers is the number of nodes that are asked to place one request.
const maxPlacers = 8

// Limits for placing a request in another region.
const (
	maxRemotePlacers = 2               // nodes that are asked
	unreachableFor   = 2 * time.Second // no requests are placed in the region for this long after its placers timed out
)

// placementTimeout is how long an entry node waits for a placer before it asks another node. It is well above a
// round trip within a region and well below the time to the first token.
const placementTimeout = 150 * time.Millisecond

// placeRequest asks for a slot at an engine of a service in a region, or updates a ticket. Updates get no reply.
type placeRequest struct {
	Service    string          `cbor:"1,keyasint"`
	Region     string          `cbor:"2,keyasint"`
	Request    *engine.Request `cbor:"3,keyasint,omitempty"`
	Ticket     uint64          `cbor:"4,keyasint,omitempty"`
	FirstEvent bool            `cbor:"5,keyasint,omitempty"` // the first event of the response arrived
	StageDone  int             `cbor:"7,keyasint,omitempty"` // 1 + index of a stage whose pieces are done; 0: none
	Result     engine.Result   `cbor:"6,keyasint,omitempty"` // how the request ended
}

type placeReply struct {
	Ticket uint64 `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"` // empty: no engine is available
	// Forecast is the forecast from just before the request was counted.
	Forecast engine.Forecast `cbor:"3,keyasint"`
	// Due is the time until the request is late. It is shorter than requested if the placer knows an earlier
	// attempt of the caller.
	Due time.Duration `cbor:"4,keyasint,omitempty"`
	// Cold is set if the engine is cold, so that the ticket permits a single send to it.
	Cold bool `cbor:"5,keyasint,omitempty"`
	// RoomIn is set if all engines are at their limits. It is the time until one of them has room again.
	RoomIn time.Duration `cbor:"6,keyasint,omitempty"`
	// Cause is the limit. Earlier releases leave it out and know of cold engines only.
	Cause pace.Cause `cbor:"7,keyasint,omitempty"`
}

func (r placeReply) cause() pace.Cause {
	if r.Cause == pace.None && r.RoomIn > 0 {
		return pace.Cold
	}
	return r.Cause
}

// placement is the slot at a model engine that was assigned to a request.
type placement struct {
	service, region, owner string
	ticket                 uint64
	upstream               roster.Upstream
	firstEventReported     bool
	forecast               engine.Forecast
	asked                  time.Time // when the placer was asked
	ownerStarted           int64     // start of the process that runs the placer
	cold                   bool      // the placer knew that the engine is cold
	used                   bool      // a request was sent
}

type placeKey struct{ service, region string }

// usesEngines reports whether the requests of the route go to model engines.
func (x *exchange) usesEngines() bool {
	s := x.table.Service(x.service)
	return s != nil && s.Engine != nil
}

// requestPlacement asks the placer of a region for a slot at an engine, or returns nil if there is none. If the
// prompt shares large parts with other prompts and the region that holds them is reachable, it is that region.
func (x *exchange) requestPlacement() *placement {
	f := x.f
	r := x.engineRequest()
	regions := f.engineRegions(x.allowedRegions(), x.service, x.route.Stages)
	homeRegion := x.homeRegion(r, f.reachableRegions(regions))
	x.blocked = blocked{}
	p := x.placeInRegion(homeRegion, r)
	if p == nil && !f.reachable(homeRegion) {
		p = x.placeInRegion(x.homeRegion(r, f.reachableRegions(regions)), r)
	}
	if p == nil && x.blocked.cause != pace.None {
		p = x.placeElsewhere(regions, homeRegion, r)
	}
	return p
}

// placeInRegion asks the placer of a region for a slot at an engine. It returns nil if there is none or the request may not use
// the region: HomeRegion returns the node's own region if no other one has engines.
func (x *exchange) placeInRegion(region string, r engine.Request) *placement {
	f := x.f
	if !x.allowedRegions().Allows(region) {
		return nil
	}
	asked := f.o.Clock.Now()
	p := &placement{service: x.service, region: region, asked: asked}
	var reply placeReply
	var ok bool
	if p.owner, reply, ok = f.askPlacer(x.ctx, placeRequest{Service: p.service, Region: p.region, Request: &r}); !ok {
		return nil
	}
	if due := asked.Add(reply.Due); reply.ID != "" && due.Before(x.due) {
		x.due = due
	}
	for _, u := range f.o.View().Services[x.service] {
		if u.ID == reply.ID && u.State == roster.Ready {
			p.ticket, p.upstream, p.forecast, p.cold = reply.Ticket, u, reply.Forecast, reply.Cold
			p.ownerStarted = f.o.Batcher.OwnerInView(p.service, p.region).Started
			return p
		}
	}
	if reply.ID != "" { // this node does not know the engine yet
		p.ticket = reply.Ticket
		f.notifyEnd(p, engine.Cancelled)
	}
	x.noteBlocked(blocked{reply.cause(), reply.RoomIn})
	return nil
}

// askPlacer asks the node that places requests for the service and region, and the next one in turn if it does
// not reply in time. All nodes use the same placer, so it soon knows all requests. A node that placed requests
// by itself would know only its own, and its forecasts would admit every one of them. The result is false if the
// request ends in the meantime. If the placers of another region do not reply, the link may be down: the result
// is false as well, and the region is not used for a while, unless there is no other.
func (f *Forwarder) askPlacer(ctx context.Context, q placeRequest) (string, placeReply, bool) {
	remote := q.Region != f.o.Region && f.reachable(q.Region)
	attempts := maxPlacers
	if remote {
		attempts = maxRemotePlacers
	}
	for range attempts {
		owner := f.o.Batcher.Owner(q.Service, q.Region)
		if owner == f.o.Batcher.Self() {
			break
		}
		var reply placeReply
		err := f.callPlacer(ctx, owner, q, &reply)
		if err == nil {
			return owner, reply, true
		}
		if ctx.Err() != nil { // the caller disconnected, or the deadline passed
			return "", placeReply{}, false
		}
		f.o.Events.Emit(event.PlacerSilent, event.F("peer", owner), event.F("service", q.Service), event.F("region", q.Region), event.F("reason", err))
		f.o.Batcher.MarkUnresponsive(owner)
	}
	if remote {
		f.mu.Lock()
		f.unreachableUntil[q.Region] = f.o.Clock.Now().Add(unreachableFor)
		f.mu.Unlock()
		return "", placeReply{}, false
	}
	return f.o.Batcher.Self(), f.placeLocally(q), true
}

// reachable reports whether requests may be placed in a region: always in the node's own region, elsewhere
// unless its placers recently timed out.
func (f *Forwarder) reachable(region string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return region == f.o.Region || !f.o.Clock.Now().Before(f.unreachableUntil[region])
}

// reachableRegions returns the regions that are reachable, or all of them if none is.
func (f *Forwarder) reachableRegions(regions []engine.Region) []engine.Region {
	var out []engine.Region
	for _, a := range regions {
		if f.reachable(a.Name) {
			out = append(out, a)
		}
	}
	if len(out) == 0 {
		return regions
	}
	return out
}

// callPlacer asks a node for a placement. A node that answers later than placementTimeout, or after ctx has ended, has counted the
// request: the ticket is then cancelled, since it takes a slot and the room of a cold engine.
func (f *Forwarder) callPlacer(ctx context.Context, owner string, q placeRequest, result *placeReply) error {
	callCtx, cancel := context.WithCancel(f.ctx)
	limit := f.o.Clock.AfterFunc(lateReplyTimeout, cancel)
	replies := make(chan placerReply, 1)
	f.wg.Go(func() {
		defer cancel()
		defer limit.Stop()
		replies <- f.sendPlaceRequest(callCtx, owner, q)
	})
	timer := f.o.Clock.NewTimer(placementTimeout)
	defer timer.Stop()
	select {
	case r := <-replies:
		*result = r.placeReply
		return r.err
	case <-ctx.Done():
		f.cancelLateTicket(owner, q, replies)
		return ctx.Err()
	case <-timer.C():
		f.cancelLateTicket(owner, q, replies)
		return context.DeadlineExceeded
	}
}

// lateReplyTimeout is how long a reply is awaited to cancel its ticket. Later ones are rare, and the tickets expire.
const lateReplyTimeout = 2 * time.Second

type placerReply struct {
	placeReply
	err error
}

func (f *Forwarder) sendPlaceRequest(ctx context.Context, owner string, q placeRequest) (out placerReply) {
	body, err := f.o.Hub.Call(ctx, owner, peer.KindPlace, encodePlaceRequest(q))
	if err != nil {
		out.err = err
		return out
	}
	out.err = cbor.Unmarshal(body, &out.placeReply)
	return out
}

// cancelLateTicket cancels the ticket of a reply that nobody waits for any more.
func (f *Forwarder) cancelLateTicket(owner string, q placeRequest, replies <-chan placerReply) {
	f.wg.Go(func() {
		if r := <-replies; r.err == nil && r.Ticket != 0 {
			f.notifyEnd(&placement{service: q.Service, region: q.Region, owner: owner, ticket: r.Ticket}, engine.Cancelled)
		}
	})
}

// maxTokens is far more than any engine reads. Larger numbers would shift the placer's fits of reading times for thousands of requests.
const maxTokens = 1 << 24

// parseTokens parses a number of tokens that a caller states.
func parseTokens(text string) (n int, ok bool) {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 || n > maxTokens {
		return 0, false
	}
	return n, true
}

// engineRequest builds the request to the placer from the headers. Values that cannot be parsed are left out.
func (x *exchange) engineRequest() engine.Request {
	names := x.f.o.Dialect.Headers
	r := engine.Request{Model: x.r.Header.Get(names.Model), Rank: x.rank()}
	r.Due, r.Gap = x.slack(), x.route.Gap.Duration()
	r.Team, r.DataCentre = x.teamName(), x.f.o.DataCentre
	prompt, output, _ := strings.Cut(x.r.Header.Get(names.Tokens), ",")
	r.Prompt, _ = parseTokens(prompt)
	r.Output, _ = parseTokens(output)
	for _, text := range strings.Split(x.r.Header.Get(names.Prefix), ",") {
		id, size, _ := strings.Cut(strings.TrimSpace(text), ":")
		tokens, ok := parseTokens(size)
		if !ok {
			break // without this part, those after it cannot be compared
		}
		r.Parts = append(r.Parts, engine.Part{ID: id, Tokens: tokens})
	}
	if x.stages == nil { // the stages have not run yet
		r.PendingStages = x.stageNeeds()
	}
	for id := range x.failed {
		r.Exclude = append(r.Exclude, id)
	}
	r.Exclude = append(append(r.Exclude, x.newlyCold...), x.f.heldBack(x.service)...)
	return r
}

// placeLocally assigns a slot from this node's own placer.
func (f *Forwarder) placeLocally(q placeRequest) placeReply {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.placer(placeKey{q.Service, q.Region})
	assigned, ok := p.Place(now, *q.Request)
	for _, c := range p.SpeedChanges(now) {
		f.o.Events.Emit(event.EngineSpeed, event.F("service", q.Service), event.F("region", q.Region), event.F("upstream", c.ID),
			event.F("factor", strconv.FormatFloat(c.Factor, 'f', 2, 64)))
	}
	f.logScarceRoom(now, q, p)
	if !ok {
		b := blockedBy(now, assigned.Blocked)
		return placeReply{RoomIn: b.in, Cause: b.cause}
	}
	return placeReply{Ticket: assigned.Ticket, ID: assigned.ID, Forecast: assigned.Forecast, Due: assigned.Due.Sub(now), Cold: assigned.Cold}
}

// placer returns the placer of a service with its engine list updated. f.mu must be held.
func (f *Forwarder) placer(k placeKey) *engine.Placer {
	p := f.placers[k]
	if p == nil {
		p = engine.NewPaced(f.o.Pace)
		f.placers[k] = p
		f.o.Events.Emit(event.PlacerOpened, event.F("service", k.service), event.F("region", k.region),
			event.F("engines", len(f.engineTargets(f.o.View(), k))))
	}
	p.SetTargets(f.engineTargets(f.o.View(), k))
	p.SetPools(f.stagePools(k.region))
	if t := f.o.View().Table; t != nil {
		p.SetFairShares(t.Config.FairShares)
	}
	f.updateOwned(f.o.Clock.Now(), f.o.View(), k, p)
	return p
}

func (f *Forwarder) engineTargets(v *poller.View, k placeKey) []engine.Target {
	var out []engine.Target
	slots, tokens := 0, int64(0)
	var s *conf.Service
	if v.Table != nil {
		if s = v.Table.Service(k.service); s != nil && s.Engine != nil {
			slots, tokens = s.Engine.Slots, s.Engine.CacheTokens
		}
	}
	for _, u := range v.Services[k.service] {
		if u.State == roster.Ready && f.o.RegionOf[u.DataCentre] == k.region {
			out = append(out, engine.Target{ID: u.ID, Slots: slots, CacheTokens: tokens, Avoid: u.Silent, Pace: f.o.Batcher.PaceTable().Of(u, s)})
		}
	}
	return out
}

// EngineSpeeds is the range of the learnt speeds of a service's engines in a region: how long they take to read a token,
// relative to the median engine.
type EngineSpeeds struct {
	Service, Region string
	Least, Most     float64
}

// EngineSpeeds returns the learnt speeds of the engines that this node has placed requests on.
func (f *Forwarder) EngineSpeeds() []EngineSpeeds {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []EngineSpeeds
	for k, p := range f.placers {
		least, most := p.SpeedRange(now)
		out = append(out, EngineSpeeds{k.service, k.region, least, most})
	}
	return out
}

// notifyFirstEvent tells the placer that the prefill of a request is done.
func (f *Forwarder) notifyFirstEvent(s *placement) {
	if s == nil || s.firstEventReported {
		return
	}
	s.firstEventReported = true
	f.notifyPlacer(s, placeRequest{Ticket: s.ticket, FirstEvent: true})
}

// notifyStageDone tells the placer that the pieces of a stage are done.
func (f *Forwarder) notifyStageDone(s *placement, number int) {
	if s != nil {
		f.notifyPlacer(s, placeRequest{Ticket: s.ticket, StageDone: number + 1})
	}
}

// notifyEnd tells the placer how a request ended.
func (f *Forwarder) notifyEnd(s *placement, r engine.Result) {
	if s != nil {
		f.notifyPlacer(s, placeRequest{Ticket: s.ticket, Result: r})
	}
}

func (f *Forwarder) notifyPlacer(s *placement, q placeRequest) {
	q.Service, q.Region = s.service, s.region
	if s.owner == f.o.Batcher.Self() {
		f.updateTicket(q)
		return
	}
	f.o.Hub.Send(s.owner, peer.KindPlace, encodePlaceRequest(q))
}

// updateTicket applies an update to a ticket of this node's placer.
func (f *Forwarder) updateTicket(q placeRequest) {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.placers[placeKey{q.Service, q.Region}]
	if p == nil {
		return // this node was started after the ticket was issued
	}
	if q.FirstEvent {
		p.FirstEvent(now, q.Ticket)
	}
	if q.StageDone > 0 {
		p.StageDone(now, q.Ticket, q.StageDone-1)
	}
	if q.Result != 0 {
		p.End(now, q.Ticket, q.Result)
	}
}

// HandlePlace handles a placement message from another entry node.
func (f *Forwarder) HandlePlace(body []byte) ([]byte, error) {
	var q placeRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if q.Request == nil {
		f.updateTicket(q)
		return nil, nil
	}
	return cbor.Marshal(f.placeLocally(q))
}

func encodePlaceRequest(q placeRequest) []byte {
	body, err := cbor.Marshal(q)
	if err != nil { // cannot happen: all fields are plain values
		panic(err)
	}
	return body
}
