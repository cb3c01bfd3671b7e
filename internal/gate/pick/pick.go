// Package pick chooses the upstream for a request among those of its service, from what this entry node has seen of them:
// its own requests in flight, failures, and how long answers take. Reports of upstreams lag and all nodes read the same
// ones, so the own view decides.
//
// Usage:
//
//	c := pick.New()
//	u, ok := c.Choose(now, list, pick.Want{Near: near, Affinity: "5c1e07a2"})
//	c.Begin(u.ID)
//	c.End(now, u.ID, pick.Good, took)
//
// # Order
//
// Upstreams in the own data centre come first, then those of the region, then others; a farther one is chosen only when no
// nearer one is usable. Requests with an affinity go to the first upstream in the rendezvous order of its key that does not
// have clearly more requests than the others, so that all entry nodes use the same caches without talking to each other.
package pick

import (
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/base/rendez"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// Result says how a request ended at an upstream.
type Result uint8

// The results.
const (
	Succeeded      Result = iota + 1
	ErrorResponse            // the upstream answered with a failure of its own
	Full             // it refused the request because it is full
	Cancelled        // this side gave up
	NoResponse           // no usable answer, or no connection
	AddressReused         // another upstream has the address
)

// Parameters of the choice.
const (
	smoothing   = 0.2 // weight of the newest answer in moving averages
	faultCost   = 4.0 // how much a share of faults counts against the load
	slack       = 1.25
	slackMore   = 2
	firstPause  = 500 * time.Millisecond
	mostPause   = 8 * time.Second
	fullPause   = 150 * time.Millisecond
	forgetAfter = time.Minute
)

// Criteria describes what a request needs.
type Criteria struct {
	Distance     func(dataCentre string) int // distance, 0 for the own data centre
	Affinity string                      // empty: none
	Exclude  map[string]bool             // ids that failed this request
}

type state struct {
	inFlight int
	faults   float64 // moving share of faults
	took     float64 // moving average, milliseconds; 0: not known
	pause    time.Time
	fails    int
	seen     time.Time
}

// Chooser keeps what is known of the upstreams. It is not safe for concurrent use.
type Chooser struct {
	upstreams map[string]*state
}

// New returns a Chooser that knows nothing.
func New() *Chooser { return &Chooser{upstreams: map[string]*state{}} }

func (c *Chooser) state(id string) *state {
	s := c.upstreams[id]
	if s == nil {
		s = &state{}
		c.upstreams[id] = s
	}
	return s
}

// Choose returns an upstream; false if none may receive work.
func (c *Chooser) Choose(now time.Time, list []roster.Upstream, w Criteria) (roster.Upstream, bool) {
	var usable, paused []roster.Upstream
	for _, u := range list {
		if u.State != roster.Ready || w.Exclude[u.ID] {
			continue
		}
		if now.Before(c.state(u.ID).pause) || u.Silent {
			paused = append(paused, u)
			continue
		}
		usable = append(usable, u)
	}
	if len(usable) > 0 {
		return c.best(nearest(usable, w.Distance), w), true
	}
	// All have failed lately. One of them is tried, because a pause is a guess.
	return c.earliest(paused)
}

func nearest(list []roster.Upstream, near func(string) int) []roster.Upstream {
	if near == nil {
		return list
	}
	least := near(list[0].DataCentre)
	for _, u := range list[1:] {
		least = min(least, near(u.DataCentre))
	}
	var out []roster.Upstream
	for _, u := range list {
		if near(u.DataCentre) == least {
			out = append(out, u)
		}
	}
	return out
}

func (c *Chooser) earliest(list []roster.Upstream) (roster.Upstream, bool) {
	var out roster.Upstream
	found := false
	for _, u := range list {
		if !found || c.state(u.ID).pause.Before(c.state(out.ID).pause) {
			out, found = u, true
		}
	}
	return out, found
}

func (c *Chooser) best(list []roster.Upstream, w Criteria) roster.Upstream {
	if w.Affinity != "" {
		return c.home(list, w.Affinity)
	}
	typical := c.typicalTime(list)
	var out roster.Upstream
	least := 0.0
	for i, u := range list {
		if cost := c.cost(u, typical); i == 0 || cost < least {
			out, least = u, cost
		}
	}
	return out
}

// typicalTime is the median time of answers; 0 if none is known.
func (c *Chooser) typicalTime(list []roster.Upstream) float64 {
	var times []float64
	for _, u := range list {
		if t := c.state(u.ID).took; t > 0 {
			times = append(times, t)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

func (c *Chooser) cost(u roster.Upstream, typical float64) float64 {
	s := c.state(u.ID)
	cost := float64(s.inFlight+1) * (1 + faultCost*s.faults)
	if typical > 0 && s.took > 0 {
		cost *= s.took / typical
	}
	return cost
}

// home returns the first upstream in the order of the key whose load is not clearly above the average.
func (c *Chooser) home(list []roster.Upstream, key string) roster.Upstream {
	total := 0
	for _, u := range list {
		total += c.state(u.ID).inFlight
	}
	most := int(slack*float64(total)/float64(len(list))) + slackMore
	order := slices.Clone(list)
	slices.SortFunc(order, func(a, b roster.Upstream) int { return rendez.Compare(key, a.ID, b.ID) })
	for _, u := range order {
		if c.state(u.ID).inFlight < most {
			return u
		}
	}
	return order[0]
}

// Begin counts a request to an upstream.
func (c *Chooser) Begin(id string) { c.state(id).inFlight++ }

// End takes the result of a request that Begin counted. took is the time until the answer began.
func (c *Chooser) End(now time.Time, id string, r Result, took time.Duration) {
	s := c.state(id)
	s.inFlight--
	s.seen = now
	switch r {
	case Succeeded:
		s.fails = 0
		s.faults *= 1 - smoothing
		ms := float64(took) / float64(time.Millisecond)
		if s.took == 0 {
			s.took = ms
		}
		s.took += smoothing * (ms - s.took)
	case ErrorResponse:
		s.faults += smoothing * (1 - s.faults)
	case Full:
		s.pause = now.Add(fullPause)
	case NoResponse, AddressReused:
		s.faults += smoothing * (1 - s.faults)
		s.pause = now.Add(min(firstPause<<s.fails, mostPause))
		s.fails = min(s.fails+1, 8)
	case Cancelled:
	}
}

// Sweep forgets upstreams that have not been used for a while.
func (c *Chooser) Sweep(now time.Time) {
	for id, s := range c.upstreams {
		if s.inFlight == 0 && now.Sub(s.seen) > forgetAfter {
			delete(c.upstreams, id)
		}
	}
}
