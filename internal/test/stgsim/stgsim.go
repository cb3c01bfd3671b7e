// Package stgsim simulates one region of a fleet that runs requests through stages before a model engine. The queues, the plans
// and the placer are the product's own; upstreams, engines, callers and the network are models on a virtual clock. So a load
// pattern can be replayed in a second, with the same arrivals for two versions of a decision.
//
// Usage:
//
//	result := stgsim.Run(stgsim.Options{Services: services, Kinds: kinds, Engines: 30, Bursts: bursts, Length: 20 * time.Second, Seed: 1})
//	fmt.Println(result.Kinds["review"].OnTime)
//
// # What is modelled
//
// A stage upstream works on one call at a time and queues some; a result takes memory from the turn of its call until it is
// freed or expires. An engine reads one prompt after the other, the most urgent first, and keeps the parts that it has read. The
// streams of its other requests pause while it reads a prompt. A caller that is refused comes back once, after the time that it was
// told. The network takes a fixed time.
//
// Not modelled are the links' and nodes' capacity, the time that streams take from each other, and failures of upstreams.
package stgsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/stage"
	"github.com/berylledge/berylledge/internal/test/eventq"
)

// Service is a pool of stage upstreams.
type Service struct {
	Name      string
	Upstreams int
	Pool      conf.Pool
}

// Stage is a stage of a kind of request.
type Stage struct {
	conf.Stage
	Share  float64 // of the requests that have it; 0 means all
	Pieces float64 // mean number of pieces; 0 means one
	Work   float64 // of a piece, against the pool's time; 0 means 1
}

// Kind is a kind of request.
type Kind struct {
	Name      string
	Rank      int
	PerSecond float64
	Worth     float64 // of an answer on time
	Late      float64 // of a later one
	Target    time.Duration
	Deadline  time.Duration
	Stages    []Stage
	Things    int           // documents that requests share
	Shared    int           // mean tokens of a document
	Own       int           // mean tokens of a request's own part
	Events    int           // of an answer; 0: the request ends with its first one
	Gap       time.Duration // longest pause between two events that is on time; 0: any
	// Team is that of its callers. DataCentre is where their requests come in; empty: at an entry VM drawn from Options.Entries.
	Team       string
	DataCentre string
}

// Burst multiplies the arrivals of a kind for some time.
type Burst struct {
	Kind  string // empty: all
	At    time.Duration
	For   time.Duration
	Times float64
}

// Options describe a run.
type Options struct {
	Services []Service
	Kinds    []Kind
	Bursts   []Burst
	Engines  int
	Length   time.Duration
	Seed     uint64
	// NewOwners are the moments at which other nodes take over all queues: what waits is handed over by the requests' nodes, the
	// account of results and calls is lost with the old owner.
	NewOwners []time.Duration
	Rate      int      // prompt tokens that an engine reads in a second; 0: 60,000
	HideGaps  bool     // the placer is not told which pauses are on time
	Entries   []string // data centres of the entry VMs
	// CountFrom and CountTo limit the counts to requests that were first sent between them; 0 for CountTo: all.
	CountFrom, CountTo time.Duration
	FairShares         bool // scarce room is divided fairly between teams and data centres
}

// Count says how the requests of a kind ended.
type Count struct {
	Sent    int // without those that came back
	OnTime  int // answered within their target
	Late    int // answered later
	Paused  int // of these, the first event was on time
	Refused int // answers of the system that sent a caller away
	// OverShare is the number of these that were for the share of the caller's team.
	OverShare int
	Earned    float64 // worth of the answers
	Owed      float64
	Stages    []time.Duration // of the answered requests, until their stages were done
	Engine    []time.Duration // of the answered requests, from there to the first event
}

// Result is the outcome of a run.
type Result struct {
	Kinds         map[string]*Count
	Calls         int
	Pieces        int
	Served        int // answered requests of all kinds, also outside the counted time
	CountedPieces int // sent to upstreams in the counted time
	NoRoom        int
	Reread        int // tokens of shared parts that were read again
}

// Worth is the part of the owed worth that was earned, over all kinds.
func (r Result) Worth() float64 {
	earned, owed := 0.0, 0.0
	for _, c := range r.Kinds {
		earned += c.Earned
		owed += c.Owed
	}
	return earned / owed
}

// Share is the part of the owed worth that a kind earned.
func (c *Count) Share() float64 { return c.Earned / c.Owed }

// Times of the model.
const (
	hop      = 2 * time.Millisecond // between two nodes of the region, and to an upstream
	tick     = 20 * time.Millisecond
	firstMin = 60 * time.Millisecond // from the send to an idle engine to the first event of an answer, without reading
)

// Rates of a model engine.
const (
	tokensPerSecond = 60_000                // of a prompt
	eventEvery      = 15 * time.Millisecond // between two events of a stream while no prompt is read
)

type world struct {
	o        Options
	now      time.Time
	agenda   eventq.Agenda
	rng      *rand.Rand
	queues   map[string]*owned
	pools    map[string]conf.Pool
	ups      map[string]*upstream // by id, which is the address too
	placer   *engine.Placer
	engines  map[string]*modelEngine
	handles  int
	attempts int
	live     map[*request]bool
	requests map[string]*request
	read     map[string]bool // shared parts that some engine has read
	result   Result
}

// owned is a queue at its present owner.
type owned struct {
	*stage.Queue
	service string
}

var start = time.Unix(1_000_000, 0)

// Run plays one run.
func Run(o Options) Result {
	if o.Rate == 0 {
		o.Rate = tokensPerSecond
	}
	w := &world{
		o: o, now: start, rng: rand.New(rand.NewPCG(o.Seed, 7)), queues: map[string]*owned{}, pools: map[string]conf.Pool{},
		ups: map[string]*upstream{}, placer: engine.New(), engines: map[string]*modelEngine{}, live: map[*request]bool{},
		requests: map[string]*request{}, read: map[string]bool{},
		result: Result{Kinds: map[string]*Count{}},
	}
	w.placer.SetFairShares(o.FairShares)
	pools := map[string]engine.Pool{}
	for _, s := range o.Services {
		w.pools[s.Name] = s.Pool
		pools[s.Name] = engine.Pool{Upstreams: s.Upstreams * s.Pool.Slots, Batch: s.Pool.Batch, Call: s.Pool.CallTime.Duration(), Item: s.Pool.ItemTime.Duration()}
		for i := range s.Upstreams {
			id := fmt.Sprint(s.Name, "-", i)
			w.ups[id] = &upstream{w: w, id: id, service: s.Name, pool: s.Pool, held: map[string]int64{}}
		}
		w.newOwner(s.Name)
	}
	var targets []engine.Target
	for i := range o.Engines {
		id := fmt.Sprint("engine-", i)
		w.engines[id] = &modelEngine{w: w, parts: map[string]bool{}, streams: map[*request]bool{}}
		targets = append(targets, engine.Target{ID: id, Slots: 64, CacheTokens: 580_000})
	}
	w.placer.SetTargets(targets)
	w.placer.SetPools(pools)
	for i := range o.Kinds {
		w.result.Kinds[o.Kinds[i].Name] = &Count{}
		w.nextArrival(&o.Kinds[i])
	}
	for _, at := range o.NewOwners {
		w.agenda.Add(start.Add(at), w.changeOwners)
	}
	w.agenda.Add(start.Add(tick), w.tick)
	end := start.Add(o.Length + 15*time.Second)
	for e, ok := w.agenda.Next(end); ok; e, ok = w.agenda.Next(end) {
		w.now = e.At
		e.Run()
	}
	return w.result
}

func (w *world) after(d time.Duration, run func()) { w.agenda.Add(w.now.Add(d), run) }

func (w *world) tick() {
	for _, q := range w.queues {
		w.pump(q)
	}
	w.after(tick, w.tick)
}

// newOwner gives a queue to a node that knows nothing of it.
func (w *world) newOwner(service string) {
	q := &owned{stage.NewQueue(w.pools[service]), service}
	var list []stage.Target
	for _, u := range w.ups {
		if u.service == service {
			list = append(list, stage.Target{ID: u.id, Address: u.id, DataCentre: "dc"})
		}
	}
	q.SetTargets(list)
	w.queues[service] = q
}

func (w *world) changeOwners() {
	for _, s := range w.o.Services {
		w.newOwner(s.Name)
	}
	for r := range w.live {
		r.tellHeld()
		r.handAgain()
	}
}

// rate is the present arrival rate of a kind.
func (w *world) rate(k *Kind) float64 {
	rate := k.PerSecond
	for _, b := range w.o.Bursts {
		if at := w.now.Sub(start); (b.Kind == "" || b.Kind == k.Name) && at >= b.At && at < b.At+b.For {
			rate *= b.Times
		}
	}
	return rate
}

func (w *world) nextArrival(k *Kind) {
	const step = 5 * time.Millisecond // short against the changes of the rate
	var draw func()
	draw = func() {
		if w.now.Sub(start) >= w.o.Length {
			return
		}
		for range w.poisson(w.rate(k) * step.Seconds()) {
			w.arrive(k)
		}
		w.after(step, draw)
	}
	draw()
}

func (w *world) poisson(mean float64) int {
	n, p, least := 0, w.rng.Float64(), math.Exp(-mean)
	for p > least {
		n++
		p *= w.rng.Float64()
	}
	return n
}

// spread draws a positive number with a mean, mostly within half and twice of it.
func (w *world) spread(mean, sigma float64) float64 {
	return mean * math.Exp(w.rng.NormFloat64()*sigma-sigma*sigma/2)
}

// pump sends the calls that are due, after the way to the upstream.
func (w *world) pump(q *owned) {
	calls, replies := q.Next(w.now)
	w.deliver(replies)
	for _, c := range calls {
		w.result.Calls++
		w.result.Pieces += len(c.Jobs)
		if w.counts(w.now) {
			w.result.CountedPieces += len(c.Jobs)
		}
		w.after(hop, func() {
			w.ups[c.Upstream].take(&call{Call: c, done: func(result stage.CallResult, outcomes []stage.Outcome) {
				w.after(hop, func() { w.called(q, c, result, outcomes) })
			}})
		})
	}
}

func (w *world) called(q *owned, c stage.Call, result stage.CallResult, outcomes []stage.Outcome) {
	for _, o := range outcomes {
		if o.Reason == stage.ReasonNoRoom {
			w.result.NoRoom++
		}
	}
	if w.queues[q.service] != q {
		return // its owner has gone, and with it all who waited there
	}
	replies, unwanted := q.Done(w.now, c.ID, result, outcomes)
	w.deliver(replies)
	w.free(q.service, unwanted, c.Upstream)
	w.pump(q)
}

func (w *world) deliver(replies []stage.Reply) {
	for _, r := range replies {
		x := w.requests[r.Request]
		if x == nil { // it has ended
			if r.Handle != "" {
				w.free(w.ups[r.Upstream].service, []string{r.Handle}, r.Upstream)
			}
			continue
		}
		w.after(hop, func() { x.took(r) })
	}
}

// free gives up results, at the queue's account and at the upstream.
func (w *world) free(service string, handles []string, upstream string) {
	if len(handles) == 0 {
		return
	}
	w.after(hop, func() {
		w.queues[service].Free(handles)
		w.after(hop, func() { w.ups[upstream].free(handles) })
	})
}
