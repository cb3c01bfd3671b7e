package proxy

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// maxPlacers is the number of nodes that are asked for one place.
const maxPlacers = 8

// Bounds of attempts to place a request in another region.
const (
	farPlacers   = 2               // nodes that are asked
	unreachedFor = 2 * time.Second // the region is left alone after they were silent
)

// placeTimeout is how long an entry node waits for a place before it asks another node. It is well above a round trip in a
// region and well below the time until a first token.
const placeTimeout = 150 * time.Millisecond

// placeAsk is a message about places at the engines of a service in a region. Ended and Read come without an answer.
type placeAsk struct {
	Service string          `cbor:"1,keyasint"`
	Area    string          `cbor:"2,keyasint"`
	Request *engine.Request `cbor:"3,keyasint,omitempty"`
	Ticket  uint64          `cbor:"4,keyasint,omitempty"`
	Read    bool            `cbor:"5,keyasint,omitempty"` // the first event of the ticket's request came
	Staged  int             `cbor:"7,keyasint,omitempty"` // 1 + number of a stage whose pieces are made; 0: none
	Ended   engine.Result   `cbor:"6,keyasint,omitempty"` // how it ended
}

type placeTell struct {
	Ticket uint64 `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"` // empty: there is no engine
	// Forecast is that of the moment before the request was counted.
	Forecast engine.Forecast `cbor:"3,keyasint"`
	// Due is the time until the request is late. It is shorter than what was asked for if its caller has returned.
	Due time.Duration `cbor:"4,keyasint,omitempty"`
}

// seat is a request's place at an engine.
type seat struct {
	service, area, owner string
	ticket               uint64
	upstream             roster.Upstream
	read                 bool
	forecast             engine.Forecast
}

type placeKey struct{ service, area string }

// usesEngines reports whether the requests of the route go to model engines.
func (x *exchange) usesEngines() bool {
	s := x.table.Service(x.service)
	return s != nil && s.Engine != nil
}

// seatFor asks the node that places requests on the engines of a region for a place; nil if it knows none. The region is that of
// the shared parts of the prompt, if they are large and the region can be reached.
func (x *exchange) seatFor() *seat {
	f := x.f
	r := x.engineRequest()
	areas := f.engineAreas(x.service, x.route.Stages)
	home := r.HomeRegion(f.o.Region, f.reached(areas))
	s := x.seatIn(home, r)
	if s == nil && !f.reaches(home) {
		s = x.seatIn(r.HomeRegion(f.o.Region, f.reached(areas)), r)
	}
	return s
}

func (x *exchange) seatIn(area string, r engine.Request) *seat {
	f := x.f
	s := &seat{service: x.service, area: area}
	var tell placeTell
	asked := f.o.Clock.Now()
	var ok bool
	if s.owner, tell, ok = f.askPlace(x.ctx, placeAsk{Service: s.service, Area: s.area, Request: &r}); !ok {
		return nil
	}
	if due := asked.Add(tell.Due); tell.ID != "" && due.Before(x.due) {
		x.due = due
	}
	for _, u := range f.o.View().Services[x.service] {
		if u.ID == tell.ID {
			s.ticket, s.upstream, s.forecast = tell.Ticket, u, tell.Forecast
			return s
		}
	}
	if tell.ID != "" { // an engine that this node does not know yet
		s.ticket = tell.Ticket
		f.noteEnd(s, engine.Cancelled)
	}
	return nil
}

// askPlace asks the node that places requests for a place, and the one that stands in for it if it does not answer in time. All
// nodes turn to the same one, so it soon knows all requests: a node that chose by itself would know its own only, and its
// forecasts would let in every one of them. The result is false if the request ends meanwhile. If the placers of another region are silent, the way there may be cut: the result
// is false as well, and the region is left alone for a while, unless there is no other.
func (f *Front) askPlace(ctx context.Context, q placeAsk) (string, placeTell, bool) {
	far := q.Area != f.o.Region && f.reaches(q.Area)
	most := maxPlacers
	if far {
		most = farPlacers
	}
	for range most {
		owner := f.o.Maker.Owner(q.Service, q.Area)
		if owner == f.o.Maker.Self() {
			break
		}
		var tell placeTell
		err := f.callPlacer(ctx, owner, q, &tell)
		if err == nil {
			return owner, tell, true
		}
		if ctx.Err() != nil { // the caller has left, or its time is over
			return "", placeTell{}, false
		}
		f.o.Events.Emit(event.PlacerSilent, event.F("peer", owner), event.F("service", q.Service), event.F("region", q.Area), event.F("reason", err))
		f.o.Maker.MarkUnresponsive(owner)
	}
	if far {
		f.mu.Lock()
		f.unreached[q.Area] = f.o.Clock.Now().Add(unreachedFor)
		f.mu.Unlock()
		return "", placeTell{}, false
	}
	return f.o.Maker.Self(), f.place(q), true
}

// reaches reports whether requests may be placed in a region: in the own one always, elsewhere unless its placers were silent.
func (f *Front) reaches(area string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return area == f.o.Region || !f.o.Clock.Now().Before(f.unreached[area])
}

// reached returns the regions that can be reached, or all if that leaves none.
func (f *Front) reached(areas []engine.Region) []engine.Region {
	var out []engine.Region
	for _, a := range areas {
		if f.reaches(a.Name) {
			out = append(out, a)
		}
	}
	if len(out) == 0 {
		return areas
	}
	return out
}

func (f *Front) callPlacer(ctx context.Context, owner string, q placeAsk, tell *placeTell) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := f.o.Clock.AfterFunc(placeTimeout, cancel)
	defer timer.Stop()
	reply, err := f.o.Hub.Call(ctx, owner, peer.KindPlace, encodePlace(q))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(reply, tell)
}

// engineRequest reads what a placer must know from the headers. What cannot be read is left out.
func (x *exchange) engineRequest() engine.Request {
	names := x.f.o.Dialect.Headers
	r := engine.Request{Model: x.r.Header.Get(names.Model), Rank: x.rank()}
	r.Due, r.Gap = x.slack(), x.route.Gap.Duration()
	prompt, output, _ := strings.Cut(x.r.Header.Get(names.Tokens), ",")
	r.Prompt, _ = strconv.Atoi(strings.TrimSpace(prompt))
	r.Output, _ = strconv.Atoi(strings.TrimSpace(output))
	for _, text := range strings.Split(x.r.Header.Get(names.Prefix), ",") {
		id, size, _ := strings.Cut(strings.TrimSpace(text), ":")
		tokens, err := strconv.Atoi(size)
		if err != nil {
			break // the parts after it cannot be compared
		}
		r.Parts = append(r.Parts, engine.Part{ID: id, Tokens: tokens})
	}
	if x.plan == nil { // the stages are still to be run
		r.PendingStages = x.needs()
	}
	for id := range x.failed {
		r.Exclude = append(r.Exclude, id)
	}
	return r
}

// place gives a place from the placer that this node keeps.
func (f *Front) place(q placeAsk) placeTell {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.placer(placeKey{q.Service, q.Area})
	seat, ok := p.Place(now, *q.Request)
	if !ok {
		return placeTell{}
	}
	return placeTell{seat.Ticket, seat.ID, seat.Forecast, seat.Due.Sub(now)}
}

// placer returns the placer of a service with its present engines. The lock is held.
func (f *Front) placer(k placeKey) *engine.Placer {
	p := f.placers[k]
	if p == nil {
		p = engine.New()
		f.placers[k] = p
		f.o.Events.Emit(event.PlacerOpened, event.F("service", k.service), event.F("region", k.area),
			event.F("engines", len(f.engines(f.o.View(), k))))
	}
	p.SetTargets(f.engines(f.o.View(), k))
	p.SetPools(f.pools(k.area))
	return p
}

func (f *Front) engines(v *poller.View, k placeKey) []engine.Target {
	var out []engine.Target
	slots, tokens := 0, int64(0)
	if v.Table != nil {
		if s := v.Table.Service(k.service); s != nil && s.Engine != nil {
			slots, tokens = s.Engine.Slots, s.Engine.CacheTokens
		}
	}
	for _, u := range v.Services[k.service] {
		if u.State == roster.Ready && f.o.RegionOf[u.DataCentre] == k.area {
			out = append(out, engine.Target{ID: u.ID, Slots: slots, CacheTokens: tokens, Avoid: u.Silent})
		}
	}
	return out
}

// noteRead tells the placer that the prompt of a request has been read.
func (f *Front) noteRead(s *seat) {
	if s == nil || s.read {
		return
	}
	s.read = true
	f.tellPlacer(s, placeAsk{Ticket: s.ticket, Read: true})
}

// noteStaged tells the placer that the pieces of a stage have been made.
func (f *Front) noteStaged(s *seat, number int) {
	if s != nil {
		f.tellPlacer(s, placeAsk{Ticket: s.ticket, Staged: number + 1})
	}
}

// noteEnd tells the placer how a request ended.
func (f *Front) noteEnd(s *seat, r engine.Result) {
	if s != nil {
		f.tellPlacer(s, placeAsk{Ticket: s.ticket, Ended: r})
	}
}

func (f *Front) tellPlacer(s *seat, q placeAsk) {
	q.Service, q.Area = s.service, s.area
	if s.owner == f.o.Maker.Self() {
		f.takePlace(q)
		return
	}
	f.o.Hub.Send(s.owner, peer.KindPlace, encodePlace(q))
}

// takePlace takes news of a ticket.
func (f *Front) takePlace(q placeAsk) {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.placers[placeKey{q.Service, q.Area}]
	if p == nil {
		return // this node was started after the place was given
	}
	if q.Read {
		p.FirstEvent(now, q.Ticket)
	}
	if q.Staged > 0 {
		p.StageDone(now, q.Ticket, q.Staged-1)
	}
	if q.Ended != 0 {
		p.End(now, q.Ticket, q.Ended)
	}
}

// HandlePlace takes a message of another entry node.
func (f *Front) HandlePlace(body []byte) ([]byte, error) {
	var q placeAsk
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if q.Request == nil {
		f.takePlace(q)
		return nil, nil
	}
	return cbor.Marshal(f.place(q))
}

func encodePlace(q placeAsk) []byte {
	body, err := cbor.Marshal(q)
	if err != nil { // the message holds plain values only
		panic(err)
	}
	return body
}
