package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/node/gwnode"
)

// Bounds of the parts that only a share of the seeds plays.
const (
	evacuationWithin = 5 * time.Second // from the acknowledgement until nothing reaches the data centre
	listWithin       = 3 * time.Second // from the change of a route's list until it is obeyed
	coldKnownWithin  = 1500 * time.Millisecond
	coldFor          = 5 * time.Second
	coldPerSecond    = 8
	coldOverage      = 1.5
	coldSlack        = 5
	inProxy          = time.Second // a harmed proxy before the upstream may delay a request for as long after the harm
)

// regionOf lists the data centres. Only fleets with evacuations or region lists have upstreams in the second one.
var regionOf = map[string]string{"a": "north", "b": "south"}

// parts says which of them a seed plays.
type parts struct{ evacuations, cold, lists bool }

// partsOf draws from another stream than the faults, so that a seed keeps its faults when parts are added.
func partsOf(seed uint64) (parts, *rand.Rand) {
	rng := rand.New(rand.NewPCG(seed, 2000))
	return parts{rng.IntN(2) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0}, rng
}

func (p parts) twoCentres() bool { return p.evacuations || p.lists }

func (p parts) settings(s *gwnode.Settings) {
	if p.twoCentres() {
		s.Regions = regionOf
	}
	if p.evacuations {
		s.Bounds.EvacuationMS = conf.MS(evacuationWithin.Milliseconds())
	}
	if p.cold {
		s.Bounds.ColdOverage, s.Bounds.ColdSlack = coldOverage, coldSlack
	}
}

// list is a version of the restricted route's regions.
type list struct {
	regions []string
	from    time.Time // the change was first sent
	until   time.Time // the next change was acknowledged; zero: it is the last one
}

// rules is what the upstreams judge requests by.
type rules struct {
	mu        sync.Mutex
	evacuated map[string]time.Time // by data centre: the acknowledgement
	lists     []list
	via       map[string]int // entry node by request
}

func newRules() *rules { return &rules{evacuated: map[string]time.Time{}, via: map[string]int{}} }

func (r *rules) sent(id string, entry int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.via[id] = entry
}

// evacuate sets the acknowledgement of an order; zero: the order may be revoked from now on.
func (r *rules) evacuate(dataCentre string, acked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if acked.IsZero() {
		delete(r.evacuated, dataCentre)
		return
	}
	r.evacuated[dataCentre] = acked
}

// change notes a list that is about to be sent, and returns what to call once it is acknowledged.
func (r *rules) change(regions []string) (acked func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.lists) - 1
	r.lists = append(r.lists, list{regions: regions, from: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if last >= 0 {
			r.lists[last].until = time.Now()
		}
	}
}

// allows reports whether a list allowed the region at a time or within listWithin before.
func (r *rules) allows(region string, at time.Time) bool {
	for _, l := range r.lists {
		ended := !l.until.IsZero() && at.Sub(l.until) > listWithin
		if !ended && (len(l.regions) == 0 || slices.Contains(l.regions, region)) {
			return true
		}
	}
	return false
}

// drawList returns the next list; most changes of the configuration keep the old one.
func drawList(rng *rand.Rand, old []string) []string {
	if rng.IntN(4) != 0 {
		return old
	}
	return [][]string{{"north"}, {"south"}, {"north", "south"}, nil}[rng.IntN(4)]
}

// judge checks that a request may reach the upstream at a time. It runs before the body is read.
func (u *upstream) judge(kind, id string, at time.Time) {
	w, r := u.w, u.w.rules
	delayed := at.Sub(u.before.lastHarm()) < inProxy // it may have been sent long ago
	r.mu.Lock()
	acked, evacuated := r.evacuated[u.dataCentre]
	entry := w.f.nodes[r.via[id]]
	allowed := kind != bound || r.allows(regionOf[u.dataCentre], at)
	r.mu.Unlock()
	away := entry == nil || at.Sub(entry.lastDisturbed()) < evacuationWithin
	if late := at.Sub(acked); evacuated && late > evacuationWithin {
		if delayed || away {
			w.count("not judged: evacuated")
		} else {
			w.violated("%s by %s reaches %s %s after the evacuation of %s was acknowledged", id, entry.name, u.id, late, u.dataCentre)
		}
	}
	if !allowed {
		if delayed || away {
			w.count("not judged: list")
		} else {
			w.violated("%s by %s reaches %s in %s, which no list allowed for %s", id, entry.name, u.id, regionOf[u.dataCentre], listWithin)
		}
	}
	if n, over := u.coldRequests(at, delayed); over {
		u.mu.Lock()
		since, told := at.Sub(u.cold.until.Add(-coldFor)), at.Sub(u.cold.told)
		u.mu.Unlock()
		by := "an unknown node"
		if entry != nil {
			by = entry.name
		}
		w.violated("%s by %s is request %d within a second to %s, which is cold for %s and told so %s ago", id, by, n, u.id, since, told)
	}
}

// coldState is the cold time of an upstream. It is part of its state.
type coldState struct {
	until    time.Time
	told     time.Time // a heartbeat that told it was acknowledged, and nothing has disturbed the nodes since
	known    bool      // all entry nodes know of it
	arrivals []time.Time
}

// turnCold begins a cold time, as a start does. Nodes learn at once from the record of a new upstream, so that they know it.
// The caller holds u.mu.
func (u *upstream) turnCold(known bool) {
	if u.w.parts.cold {
		u.cold = coldState{until: time.Now().Add(coldFor), known: known}
	}
}

// coldLeft returns the milliseconds that a heartbeat tells. The caller holds u.mu.
func (u *upstream) coldLeft() int64 { return max(0, time.Until(u.cold.until).Milliseconds()) }

// toldCold notes an acknowledged heartbeat. Once all nodes and the links between them were undisturbed for coldKnownWithin
// after one, all entry nodes know the cold time.
func (u *upstream) toldCold(leftMS int64) {
	disturbed := u.w.f.lastDisturbed()
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case leftMS == 0 || leftMS < u.coldLeft(): // it tells of an earlier cold time
	case u.cold.told.IsZero() || u.cold.told.Before(disturbed):
		u.cold.told = time.Now()
	case time.Since(u.cold.told) > coldKnownWithin:
		u.cold.known = true
	}
}

// coldRequests counts the requests in the last second of a known cold time, and reports whether they exceed the bound.
func (u *upstream) coldRequests(at time.Time, delayed bool) (int, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := &u.cold
	if !c.known || at.After(c.until) {
		return 0, false
	}
	if delayed { // requests of several seconds may arrive together
		c.arrivals = nil
		return 0, false
	}
	u.w.count("judged: cold")
	c.arrivals = append(slices.DeleteFunc(c.arrivals, func(t time.Time) bool { return at.Sub(t) >= time.Second }), at)
	return len(c.arrivals), float64(len(c.arrivals)) > coldPerSecond*coldOverage+coldSlack
}

// order sends an order of the operator until it is acknowledged, and returns when it was; zero: it was not.
func (s *schedule) order(rng *rand.Rand, method, dataCentre string) time.Time {
	for range 200 {
		if status, _ := s.w.ask(method, 1+rng.IntN(controlNodes), "/v1/traffic/evacuations/"+dataCentre, nil); status == http.StatusOK {
			return time.Now()
		}
		s.w.pause(100 * time.Millisecond)
	}
	s.w.violated("%s of the evacuation of %s is not acknowledged", method, dataCentre)
	return time.Time{}
}

// evacuations plays orders and revocations until the end, half of them beside the kill of a control node.
func (s *schedule) evacuations(rng *rand.Rand, end time.Time) {
	beside := func(method, dataCentre string) time.Time {
		var kill sync.WaitGroup
		defer kill.Wait()
		p, after := s.f.nodes[1+rng.IntN(controlNodes)], time.Duration(rng.IntN(60))*time.Millisecond
		if rng.IntN(2) == 0 {
			s.note("control node killed beside an order")
			kill.Go(func() {
				s.w.fault(func() { s.w.pause(after); s.stopped(p, p.kill) })
			})
		}
		return s.order(rng, method, dataCentre)
	}
	for time.Now().Before(end) {
		dataCentre := []string{"a", "b"}[rng.IntN(2)]
		s.w.pause(time.Duration(rng.IntN(1500)) * time.Millisecond)
		if acked := beside(http.MethodPost, dataCentre); !acked.IsZero() {
			s.w.rules.evacuate(dataCentre, acked)
			s.note("evacuation")
		}
		s.w.pause(evacuationWithin + time.Duration(500+rng.IntN(3000))*time.Millisecond)
		s.w.rules.evacuate(dataCentre, time.Time{})
		beside(http.MethodDelete, dataCentre)
	}
}

// lastEvacuation checks that an order outlives a restart of all control nodes, also at an entry node that starts after it.
func (s *schedule) lastEvacuation(rng *rand.Rand) {
	dataCentre := []string{"a", "b"}[rng.IntN(2)]
	acked := s.order(rng, http.MethodPost, dataCentre)
	if acked.IsZero() {
		return
	}
	s.w.rules.evacuate(dataCentre, acked)
	s.note("evacuation over a restart")
	s.killControlNodes()
	s.w.fault(func() {
		p := s.f.nodes[firstEntry+rng.IntN(entryNodes)]
		s.stopped(p, p.kill)
	})
	if !s.settled() {
		s.w.violated("not all nodes serve within %s after the last evacuation", settleWithin)
	}
	s.w.pause(time.Until(acked.Add(2*evacuationWithin + 2*time.Second)))
}

// turnCold turns upstreams cold now and then.
func (s *schedule) turnCold(rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		s.w.pause(time.Duration(1500+rng.IntN(2500)) * time.Millisecond)
		u := s.w.all[rng.IntN(len(s.w.all))]
		u.mu.Lock()
		u.turnCold(false)
		u.mu.Unlock()
		s.note("upstream turned cold")
	}
}

// playParts starts what a seed plays beside the faults, each with its own stream.
func (s *schedule) playParts(wg *sync.WaitGroup, rng *rand.Rand, end time.Time) {
	stream := func() *rand.Rand { return rand.New(rand.NewPCG(rng.Uint64(), 2001)) }
	orders, turns := stream(), stream()
	if s.w.parts.evacuations {
		wg.Go(func() { s.evacuations(orders, end) })
	}
	if s.w.parts.cold {
		wg.Go(func() { s.turnCold(turns, end) })
	}
}

func (p parts) String() string {
	return fmt.Sprintf("evacuations %t, cold %t, lists %t", p.evacuations, p.cold, p.lists)
}
