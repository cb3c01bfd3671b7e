package rtsim

import (
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/internal/flow/route"
)

const pool = "pool"

// Strategy is a way to choose an upstream.
type Strategy string

// The strategies.
const (
	// Routed is package route with all of its parts.
	Routed Strategy = "routed"
	// LoadOnly is package route without prefix affinity.
	LoadOnly Strategy = "load_only"
	// Hashed is package route with sampling by the fingerprint, each request with content of its own.
	Hashed Strategy = "hashed"
	// RoundRobin takes the upstreams in turn, on each node separately.
	RoundRobin Strategy = "round_robin"
	// LeastReported takes the upstream with the least reported load.
	LeastReported Strategy = "least_reported"
	// LeastOwn takes the upstream with the fewest outstanding requests of the node itself.
	LeastOwn Strategy = "least_own"
	// Uniform takes any upstream at random.
	Uniform Strategy = "uniform"
)

// RouteOptions are the parameters of package route.
type RouteOptions = route.Policy

type choice struct {
	id     string
	routed route.Choice
}

// strategy is what a node asks. Strategies other than those of package route ignore health.
type strategy interface {
	pick(now time.Time, v *upview.View, q *request, left time.Duration) (choice, bool)
	dispatched(now time.Time, c choice)
	done(now time.Time, c choice)
	succeeded(now time.Time, c choice, first, service time.Duration)
	failed(now time.Time, c choice, elapsed time.Duration)
	outrun(now time.Time, c choice, elapsed time.Duration)
}

func newStrategy(c Config, node uint64) strategy {
	seed := c.Seed*1000 + node
	switch c.Strategy {
	case RoundRobin, LeastReported, LeastOwn, Uniform:
		return &simple{kind: c.Strategy, own: map[string]int{}, next: int(mix(seed) % 1024), random: seed}
	case Routed, LoadOnly, Hashed:
	}
	p := route.DefaultPolicy()
	p.PrefillPerToken = prefillPerToken
	if c.Tune != nil {
		c.Tune(&p)
	}
	return &routed{r: route.New(p, seed), kind: c.Strategy, model: c.Families > 0, content: seed << 32}
}

// routed asks a route.Router.
type routed struct {
	r       *route.Router
	kind    Strategy
	model   bool
	content uint64
}

func (s *routed) pick(now time.Time, v *upview.View, q *request, left time.Duration) (choice, bool) {
	need := route.Request{
		Pool: pool, Model: s.model, PromptTokens: q.tokens, Rank: 1, DataCentre: "a", Region: "r", Exclude: q.exclude, TimeLeft: left,
		Repeatable: true,
	}
	if s.kind != LoadOnly {
		need.Prefixes = q.prefixes
	}
	if s.kind == Hashed {
		s.content++
		need.Fingerprint = mix(s.content)
	}
	c, err := s.r.Pick(now, v, need)
	if err != nil {
		return choice{}, false
	}
	return choice{c.Upstream.ID, c}, true
}

func (s *routed) dispatched(now time.Time, c choice) { s.r.Dispatched(now, c.routed) }
func (s *routed) done(now time.Time, c choice)       { s.r.Done(now, c.routed) }

func (s *routed) succeeded(now time.Time, c choice, first, service time.Duration) {
	s.r.Observe(now, c.id, route.Outcome{Result: route.Succeeded, Latency: first, Service: service})
}

func (s *routed) failed(now time.Time, c choice, elapsed time.Duration) {
	s.r.Observe(now, c.id, route.Outcome{Result: route.Failed, Latency: elapsed})
}

func (s *routed) outrun(now time.Time, c choice, elapsed time.Duration) {
	s.r.Observe(now, c.id, route.Outcome{Result: route.HedgeLost, Latency: elapsed})
}

// simple is one of the strategies that package route is compared with.
type simple struct {
	kind   Strategy
	own    map[string]int
	next   int
	random uint64
}

func (s *simple) pick(_ time.Time, v *upview.View, q *request, _ time.Duration) (choice, bool) {
	list := v.Pool(pool)
	s.next++
	best := ""
	least := 0
	for i := range list {
		u := list[(s.next+i)%len(list)]
		if slices.Contains(q.exclude, u.ID) {
			continue
		}
		var cost int
		switch s.kind {
		case LeastReported:
			cost = u.Load.Running + u.Load.Waiting
		case LeastOwn:
			cost = s.own[u.ID]
		case Uniform:
			s.random++
			cost = int(mix(s.random) >> 33)
		case RoundRobin, Routed, LoadOnly, Hashed:
			cost = i
		}
		if best == "" || cost < least {
			best, least = u.ID, cost
		}
	}
	return choice{id: best}, best != ""
}

func (s *simple) dispatched(_ time.Time, c choice) { s.own[c.id]++ }
func (s *simple) done(_ time.Time, c choice)       { s.own[c.id]-- }

func (s *simple) succeeded(time.Time, choice, time.Duration, time.Duration) {}
func (s *simple) failed(time.Time, choice, time.Duration)                   {}
func (s *simple) outrun(time.Time, choice, time.Duration)                   {}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
