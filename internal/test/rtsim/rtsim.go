// Package rtsim compares ways to route by driving the state machines of packages upview, route and retry against a model
// of upstreams, in one goroutine and under a simulated time. The same Config gives the same Report.
//
// An upstream has a number of slots and a queue. A model engine first computes the part of the prompt that its cache does
// not hold; its cache keeps the most recently used prefix blocks. Nodes learn of load by reports that are late, and of
// caches by events that are late and partly lost.
//
// Usage:
//
//	rep := rtsim.Run(rtsim.Config{Seed: 1, Strategy: rtsim.Routed, Nodes: 6, Upstreams: 9, ...})
package rtsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/internal/flow/retry"
	"github.com/berylledge/berylledge/internal/test/eventq"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// Fault is what is wrong with the faulty half of the upstreams, from a third of the duration on.
type Fault string

// The faults.
const (
	NoFault   Fault = ""
	FailFast  Fault = "fail_fast"  // answers at once with an error
	Hang      Fault = "hang"       // never answers
	Flap      Fault = "flap"       // fails fast for 5 s, works for 5 s
	FailAll   Fault = "fail_all"   // all upstreams fail fast
	SlowTenth Fault = "slow_tenth" // one request in ten takes ten times as long, on any upstream
	Pause     Fault = "pause"      // one attempt in fifty takes ten times as long, whatever it runs
)

// Config describes one run.
type Config struct {
	Seed      uint64
	Strategy  Strategy
	Nodes     int
	Upstreams int
	Slots     int
	Rate      float64 // requests a second
	Duration  time.Duration
	Service   time.Duration // mean time in a slot, without the prompt
	Lag       time.Duration // age of a load report when it arrives
	Fault     Fault
	Hedge     bool
	Timeout   time.Duration // of one attempt; 0 means 2 s
	// HedgeAt is the quantile after which a hedge is sent; 0 means that of the default policy.
	HedgeAt float64
	// Favoured is the part of the requests that enter through the first node, beyond its equal part.
	Favoured float64
	// Slow makes the service times of the first third of the upstreams three times as long.
	Slow bool

	// Families is the number of long prompts that requests share the beginning of; 0 means plain stages.
	Families    int
	CacheBlocks int     // of each engine
	LostEvents  float64 // share of batches of cache events that are lost

	// Tune changes the router's parameters.
	Tune func(*RouteOptions)
}

// Report is the result of one run.
type Report struct {
	Requests, Served, Attempts int
	Hedges                     int
	P50, P95, P99              time.Duration // from arrival to the first byte, of served requests
	PromptTokens, SavedTokens  int64         // as the engines computed them
	SkewMax, SkewMean          float64       // largest number outstanding on one upstream over the mean, sampled each 100 ms
}

// Ratio returns the upstream requests per caller request.
func (r Report) Ratio() float64 { return float64(r.Attempts) / float64(max(r.Requests, 1)) }

// HitRatio returns the part of the prompt tokens that was in a cache.
func (r Report) HitRatio() float64 { return float64(r.SavedTokens) / float64(max(r.PromptTokens, 1)) }

// prefillPerToken is the time that an engine needs for a prompt token that is not in its cache.
const prefillPerToken = 100 * time.Microsecond

const tokensPerBlock = upapi.PrefixBlock / 4

// world is the state of one run.
type world struct {
	Config
	start     time.Time
	now       time.Time
	agenda    eventq.Agenda
	rng       *rand.Rand
	nodes     []*node
	ups       []*upstream
	families  [][]uint64
	report    Report
	latencies []time.Duration
	skews     []float64
}

type node struct {
	table    *upview.Table
	strategy strategy
	retry    *retry.Machine
}

// request is one caller request with its running attempts.
type request struct {
	node     *node
	at       time.Time
	prefixes []uint64
	tokens   int64
	service  time.Duration
	attempts []*attempt
	earlier  retry.Ran
	exclude  []string
	running  int
	over     bool
}

type attempt struct {
	req    *request
	number int
	up     *upstream
	at     time.Time
	ended  bool
	choice choice
}

// deadline is that of each request, or eight time-outs if that is longer.
const deadline = 8 * time.Second

// Run carries out one run.
func Run(c Config) Report {
	if c.Timeout == 0 {
		c.Timeout = 2 * time.Second
	}
	start := time.Unix(1_700_000_000, 0)
	w := &world{Config: c, start: start, now: start, rng: rand.New(rand.NewPCG(c.Seed, 11))}
	w.build()
	w.arrive()
	w.sample()
	end := start.Add(c.Duration + 2*max(deadline, 8*c.Timeout) - 1)
	for e, ok := w.agenda.Next(end); ok; e, ok = w.agenda.Next(end) {
		w.now = e.At
		e.Run()
	}
	w.summarize()
	return w.report
}

func (w *world) after(d time.Duration, f func()) {
	w.agenda.Add(w.now.Add(d), f)
}

func (w *world) active() bool { return w.now.Sub(w.start) < w.Duration }

func (w *world) build() {
	for i := range w.Upstreams {
		u := &upstream{w: w, index: i, cache: map[uint64]int{}}
		u.announce = upapi.Announce{
			ID: fmt.Sprintf("u%04d", i), Incarnation: 1, DataCentre: "a", Region: "r", Slots: w.Slots, LeaseMS: time.Hour.Milliseconds(),
		}
		if w.Families > 0 {
			u.announce.Kind, u.announce.Models = upapi.KindEngine, []string{pool}
		} else {
			u.announce.Kind, u.announce.Services = upapi.KindService, []string{pool}
		}
		w.ups = append(w.ups, u)
	}
	for i := range w.Nodes {
		p := retry.DefaultPolicy()
		if w.HedgeAt > 0 {
			p.HedgeQuantile = w.HedgeAt
		}
		if !w.Hedge {
			p.HedgeQuantile = 0
		}
		n := &node{table: upview.New(), retry: retry.New(p, w.Seed*1000+uint64(i))}
		for _, u := range w.ups {
			n.table.Announce(w.now.Add(-time.Minute), u.announce)
		}
		n.strategy = newStrategy(w.Config, uint64(i))
		w.nodes = append(w.nodes, n)
	}
	for _, u := range w.ups {
		// Upstreams report once a second, each at its own moment.
		w.after(time.Duration(w.rng.Int64N(int64(time.Second))), u.reportLoad)
	}
	for range w.Families {
		blocks := make([]uint64, 8+w.rng.IntN(33))
		for i := range blocks {
			blocks[i] = w.rng.Uint64()
		}
		w.families = append(w.families, blocks)
	}
}

// arrive starts one request and schedules the next one.
func (w *world) arrive() {
	if !w.active() {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/w.Rate*float64(time.Second)), w.arrive)
	w.report.Requests++
	n := w.rng.IntN(len(w.nodes))
	if w.Favoured > 0 && w.rng.Float64() < w.Favoured {
		n = 0
	}
	q := &request{
		node: w.nodes[n], at: w.now, earlier: retry.NotRun,
		service: time.Duration(w.rng.ExpFloat64() * float64(w.Service)),
	}
	if w.Fault == SlowTenth && w.rng.IntN(10) == 0 {
		q.service *= 10
	}
	if w.Families > 0 {
		// The popularity of families falls with the square root of their place, so a few are common and many are rare.
		f := w.rng.Float64()
		family := w.families[int(f*f*float64(len(w.families)))]
		q.prefixes = slices.Clone(family)
		for range 1 + w.rng.IntN(4) {
			q.prefixes = append(q.prefixes, w.rng.Uint64())
		}
		q.tokens = int64(len(q.prefixes)) * tokensPerBlock
	}
	w.attempt(q)
}

func (w *world) left(q *request) time.Duration { return max(deadline, 8*w.Timeout) - w.now.Sub(q.at) }

// attempt sends a request to one more upstream.
func (w *world) attempt(q *request) {
	c, ok := q.node.strategy.pick(w.now, q.node.table.View(), q, w.left(q))
	if !ok {
		q.over = q.running == 0
		return
	}
	w.report.Attempts++
	a := &attempt{req: q, number: len(q.attempts) + 1, up: w.find(c.id), at: w.now, choice: c}
	q.attempts = append(q.attempts, a)
	q.running++
	q.node.strategy.dispatched(w.now, c)
	a.up.take(a)
	timeout := min(w.Timeout, w.left(q))
	w.after(timeout, func() { w.failed(a, retry.ClassTimeout) })
	w.hedge(a)
}

func (w *world) hedge(a *attempt) {
	q := a.req
	if q.over || a.ended {
		return
	}
	switch h := q.node.retry.Hedge(w.now, retry.RunningAttempt{
		Pool: pool, Upstream: a.choice.id, Idempotent: true, Elapsed: w.now.Sub(a.at), TimeLeft: w.left(q), Attempts: len(q.attempts),
	}).(type) {
	case retry.Wait:
		w.after(h.For, func() { w.hedge(a) })
	case retry.StartHedge:
		w.report.Hedges++
		q.exclude = append(q.exclude, h.Exclude)
		w.attempt(q)
	case retry.NoHedge:
	}
}

func (w *world) find(id string) *upstream {
	i, _ := slices.BinarySearchFunc(w.ups, id, func(u *upstream, id string) int {
		switch {
		case u.announce.ID < id:
			return -1
		case u.announce.ID > id:
			return 1
		}
		return 0
	})
	return w.ups[i]
}

// firstByte is called when an attempt produces output: it wins, and the others are cancelled.
func (w *world) firstByte(a *attempt) {
	q := a.req
	if a.ended || q.over {
		return
	}
	q.over = true
	w.report.Served++
	w.latencies = append(w.latencies, w.now.Sub(q.at))
	q.node.retry.RecordSuccess()
	q.node.retry.RecordLatency(w.now, pool, w.now.Sub(q.attempts[0].at))
	for _, other := range q.attempts {
		if other != a && !other.ended {
			w.end(other)
			other.up.cancel(other)
			q.node.strategy.outrun(w.now, other.choice, w.now.Sub(other.at))
		}
	}
}

// finished is called when an attempt has completed.
func (w *world) finished(a *attempt, first time.Duration) {
	if a.ended {
		return
	}
	w.end(a)
	a.req.node.strategy.succeeded(w.now, a.choice, first, w.now.Sub(a.at))
}

func (w *world) end(a *attempt) {
	a.ended = true
	a.req.running--
	a.req.node.strategy.done(w.now, a.choice)
}

func (w *world) failed(a *attempt, class retry.Class) {
	q := a.req
	if a.ended || q.over {
		return
	}
	w.end(a)
	a.up.cancel(a)
	q.node.strategy.failed(w.now, a.choice, w.now.Sub(a.at))
	if q.running > 0 {
		return // a hedge is still running
	}
	switch d := q.node.retry.Decide(w.now, retry.Attempt{
		Upstream: a.choice.id, Number: len(q.attempts), Idempotent: true, PossiblyDispatched: true, EarlierRan: q.earlier,
		Class: class, TimeLeft: w.left(q),
	}).(type) {
	case retry.Retry:
		q.exclude = append(q.exclude, d.Exclude)
		w.after(d.After, func() { w.attempt(q) })
	case retry.Resume, retry.Fail:
		q.over = true
	}
}

// sample records the skew.
func (w *world) sample() {
	if !w.active() {
		return
	}
	w.after(100*time.Millisecond, w.sample)
	if w.now.Sub(w.start) < w.Duration/10 {
		return // the first tenth only warms up
	}
	most, sum := 0, 0
	for _, u := range w.ups {
		n := len(u.running) + len(u.waiting)
		most, sum = max(most, n), sum+n
	}
	if sum > 0 {
		w.skews = append(w.skews, float64(most)*float64(len(w.ups))/float64(sum))
	}
}

func (w *world) summarize() {
	slices.Sort(w.latencies)
	at := func(q float64) time.Duration {
		if len(w.latencies) == 0 {
			return 0
		}
		return w.latencies[int(q*float64(len(w.latencies)-1))]
	}
	w.report.P50, w.report.P95, w.report.P99 = at(0.5), at(0.95), at(0.99)
	for _, s := range w.skews {
		w.report.SkewMax = max(w.report.SkewMax, s)
		w.report.SkewMean += s / float64(len(w.skews))
	}
}
