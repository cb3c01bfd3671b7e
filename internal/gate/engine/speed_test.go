package engine

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/speed"
	"github.com/berylledge/berylledge/internal/test/eventq"
)

// Parameters of the simulated engines.
const (
	readFixed      = 3 * time.Millisecond
	slowDown       = 2.5 // times the usual reading time
	slowDownTime   = 600 * time.Millisecond
	meanNormalTime = 3400 * time.Millisecond // between slow-downs, which therefore take 15% of the time
	meanStreamTime = 1500 * time.Millisecond
	lateAfter      = 1500 * time.Millisecond
	timeToLearn    = 20 * time.Second
)

// simEngine models an engine that reads one prompt after the other.
type simEngine struct {
	duration float64 // of reading, relative to the usual one
	slow     bool
	cached   map[string]bool
	waiting  []*simRequest
	left     time.Duration // reading time that is left of the first waiting prompt, at the usual pace
	since    time.Time     // when left was computed
	step     int           // invalidates planned events
}

type simRequest struct {
	Request
	ticket uint64
	placed time.Time
}

type engineSim struct {
	p      *Placer
	agenda eventq.Agenda
	now    time.Time
	rng    *rand.Rand
	// arrivalRNG is separate, so that arrivals do not depend on decisions.
	arrivalRNG *rand.Rand
	engines    map[string]*simEngine
	// forget drops what was learnt of speeds before each placement.
	forget  bool
	stream  time.Duration // mean time from the first event to the end
	waits   map[float64][]time.Duration
	placed  int
	changed int // placements that the learnt speeds changed
}

func newEngineSim(seed uint64, durations ...float64) *engineSim {
	s := &engineSim{
		p: New(), now: t0, rng: rand.New(rand.NewPCG(seed, 0)), arrivalRNG: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*simEngine{}, waits: map[float64][]time.Duration{},
	}
	var list []Target
	for i, d := range durations {
		id := fmt.Sprintf("e%02d", i)
		list = append(list, Target{ID: id})
		s.engines[id] = &simEngine{duration: d, cached: map[string]bool{}}
		s.after(s.exp(meanNormalTime), func() { s.switchPace(s.engines[id]) })
	}
	s.p.SetTargets(list)
	return s
}

func (s *engineSim) after(d time.Duration, run func()) { s.agenda.Add(s.now.Add(d), run) }

func (s *engineSim) exp(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

func (s *engineSim) run(d time.Duration) {
	end := s.now.Add(d)
	for e, ok := s.agenda.Next(end); ok; e, ok = s.agenda.Next(end) {
		s.now = e.At
		e.Run()
	}
	s.now = end
}

func (s *engineSim) switchPace(e *simEngine) {
	s.progress(e)
	e.slow = !e.slow
	s.plan(e)
	d := slowDownTime
	if !e.slow {
		d = s.exp(meanNormalTime)
	}
	s.after(d, func() { s.switchPace(e) })
}

func (e *simEngine) pace() float64 {
	if e.slow {
		return e.duration * slowDown
	}
	return e.duration
}

func (s *engineSim) progress(e *simEngine) {
	e.left -= time.Duration(float64(s.now.Sub(e.since)) / e.pace())
	e.since = s.now
}

func (s *engineSim) plan(e *simEngine) {
	e.step++
	if step := e.step; len(e.waiting) > 0 {
		s.after(time.Duration(float64(max(e.left, 0))*e.pace()), func() {
			if e.step == step {
				s.answer(e)
			}
		})
	}
}

func (s *engineSim) read(e *simEngine) {
	if len(e.waiting) > 0 {
		r := e.waiting[0]
		unread := r.Prompt
		for i, chain := range r.chains() {
			if e.cached[chain] {
				unread -= r.Parts[i].Tokens
			}
			e.cached[chain] = true
		}
		e.left, e.since = readFixed+time.Duration(unread)*tokenReadTime, s.now
	}
	s.plan(e)
}

func (s *engineSim) answer(e *simEngine) {
	r := e.waiting[0]
	e.waiting = e.waiting[1:]
	s.p.FirstEvent(s.now, r.ticket)
	if s.now.Sub(t0) > timeToLearn {
		s.waits[e.duration] = append(s.waits[e.duration], s.now.Sub(r.placed))
	}
	s.after(s.exp(s.stream), func() { s.p.End(s.now, r.ticket, Served) })
	s.read(e)
}

// request returns a request with 100 to 50,000 prompt tokens. Two of three share a part of 2,000 to 10,000 tokens.
func (s *engineSim) request() Request {
	s.placed++
	own := int(100 * math.Pow(400, s.arrivalRNG.Float64()))
	r := Request{Prompt: own, Parts: []Part{{fmt.Sprint("own", s.placed), own}}, Due: lateAfter}
	if s.arrivalRNG.IntN(3) > 0 {
		doc := int(100 * math.Pow(s.arrivalRNG.Float64(), 2))
		shared := Part{fmt.Sprint("doc", doc), 2000 + 80*doc}
		r.Parts, r.Prompt = []Part{shared, r.Parts[0]}, own+shared.Tokens
	}
	return r
}

// arrivals places requests at a rate per second.
func (s *engineSim) arrivals(rate float64) {
	r := s.request()
	if s.forget {
		s.p.speeds = speed.New()
	}
	learnt, chains := s.p.speeds, r.chains()
	s.p.speeds = speed.New()
	unlearnt := s.p.best(s.now, r, chains, onlyIdle)
	s.p.speeds = learnt
	if s.p.best(s.now, r, chains, onlyIdle) != unlearnt {
		s.changed++
	}
	seat, ok := s.p.Place(s.now, r)
	if ok {
		e := s.engines[seat.ID]
		e.waiting = append(e.waiting, &simRequest{r, seat.Ticket, s.now})
		if len(e.waiting) == 1 {
			s.read(e)
		}
	}
	s.after(time.Duration(s.arrivalRNG.ExpFloat64()/rate*float64(time.Second)), func() { s.arrivals(rate) })
}

// classTimes are the times to the first event at the engines of one speed.
type classTimes struct {
	duration         float64
	requests         int
	median, p95, p99 time.Duration
	late             float64
}

func (s *engineSim) classes() []classTimes {
	var out []classTimes
	for _, d := range slices.Sorted(maps.Keys(s.waits)) {
		w := s.waits[d]
		slices.Sort(w)
		late, _ := slices.BinarySearch(w, lateAfter)
		at := func(q float64) time.Duration { return w[int(q*float64(len(w)-1))].Round(time.Millisecond) }
		out = append(out, classTimes{d, len(w), at(0.5), at(0.95), at(0.99), 1 - float64(late)/float64(len(w))})
	}
	return out
}

func repeat(n int, durations ...float64) []float64 {
	var out []float64
	for _, d := range durations {
		out = append(out, slices.Repeat([]float64{d}, n)...)
	}
	return out
}

// runUneven simulates a load and returns the result for each speed of engines.
func runUneven(t *testing.T, forget bool, rate float64, stream time.Duration) (*engineSim, []classTimes) {
	t.Helper()
	s := newEngineSim(1, repeat(20, 0.6, 1, 1.6)...)
	s.forget, s.stream = forget, stream
	s.arrivals(rate)
	s.run(timeToLearn + 40*time.Second)
	classes := s.classes()
	assert.Equal(t, len(classes), 3)
	for _, c := range classes {
		t.Logf("rate=%v stream=%v learning=%v duration=%v requests=%d median=%v p95=%v p99=%v late=%.2f%%",
			rate, stream, !forget, c.duration, c.requests, c.median, c.p95, c.p99, 100*c.late)
	}
	return s, classes
}

// spread returns the quotient of the largest and the smallest median.
func spread(classes []classTimes) float64 {
	least, most := classes[0].median, classes[0].median
	for _, c := range classes {
		least, most = min(least, c.median), max(most, c.median)
	}
	return float64(most) / float64(least)
}

// Load pattern: engines of three speeds at their combined capacity, about 350 requests a second. Guards against engines
// that get the same work whatever their speed, so that requests wait at slow ones while fast ones are idle.
func TestUnevenUpstreamsFinishTogether(t *testing.T) {
	const capacityRate = 350
	_, before := runUneven(t, true, capacityRate, 0)
	s, after := runUneven(t, false, capacityRate, 0)
	assert.Assert(t, spread(before) > 1.25, "the load shows the fault")
	assert.Assert(t, spread(after) <= 1.25, "%v", after)
	for id, e := range s.engines {
		f := s.p.speeds.Estimate(s.now, id)
		assert.Assert(t, f > 0.85*e.duration && f < 1.15*e.duration, "%s: %.2f, but learnt %.2f", id, e.duration, f)
	}
}

// Load pattern: engines of three speeds at 94% of their capacity, with streams. Guards against late requests at slow
// engines.
func TestUnevenUpstreamsAreOnTimeNearCapacity(t *testing.T) {
	late := func(forget bool) (all float64, slowest float64) {
		_, classes := runUneven(t, forget, 330, meanStreamTime)
		n := 0
		for _, c := range classes {
			all += c.late * float64(c.requests)
			n += c.requests
		}
		return all / float64(n), classes[2].late
	}
	allBefore, slowestBefore := late(true)
	allAfter, slowestAfter := late(false)
	t.Logf("late: %.2f%% before, %.2f%% after", 100*allBefore, 100*allAfter)
	assert.Assert(t, allAfter < allBefore && slowestAfter < slowestBefore)
}

// Load pattern: engines of the same speed with slow-downs. Guards against noise that is taken for speed and moves
// requests away from engines that have read their shared parts.
func TestEqualEnginesKeepTheirOrder(t *testing.T) {
	for seed := range uint64(3) {
		s := newEngineSim(seed, repeat(60, 1)...)
		s.stream = meanStreamTime
		s.arrivals(300)
		s.run(60 * time.Second)
		changed := float64(s.changed) / float64(s.placed)
		t.Logf("%.2f%% of the placements changed", 100*changed)
		assert.Assert(t, changed < 0.02)
		for id := range s.engines {
			f := s.p.speeds.Factor(s.now, id)
			assert.Assert(t, f > 0.8 && f < 1.25, "%s: %.2f", id, f)
		}
	}
}

// Guards against an engine that is taken for slow for good: it gets work again, and is seen to have recovered.
func TestRecoveredEngineGetsWorkAgain(t *testing.T) {
	s := newEngineSim(4, repeat(10, 1, 4)...)
	s.arrivals(20)
	s.run(30 * time.Second)
	assert.Assert(t, s.p.speeds.Factor(s.now, "e19") > 1.5, "%v", s.p.speeds.Factor(s.now, "e19"))
	for _, e := range s.engines {
		e.duration = 1
	}
	s.run(2 * time.Minute)
	for id := range s.engines {
		f := s.p.speeds.Factor(s.now, id)
		assert.Assert(t, f < 1.25, "%s: %.2f", id, f)
	}
}

// learnAt lets an engine read prompts one after the other. All of a burst wait at the engine from its beginning.
func learnAt(t *testing.T, p *Placer, id string, burst int, perToken time.Duration) {
	t.Helper()
	exclude := slices.Collect(maps.Keys(p.targets))
	exclude = slices.DeleteFunc(exclude, func(other string) bool { return other == id })
	var tickets []uint64
	for i := range burst {
		tokens := 2000 + 500*(i%3)
		ticket, _ := place(t, p, Request{Parts: []Part{{fmt.Sprint("own", p.lastID), tokens}}, Prompt: tokens, Exclude: exclude})
		tickets = append(tickets, ticket)
	}
	now := t0
	for _, ticket := range tickets {
		now = now.Add(time.Duration(p.tickets[ticket].initialUnread) * perToken)
		p.FirstEvent(now, ticket)
		p.End(now, ticket, Served)
	}
}

// Guards against a queue at an engine that is taken for slowness.
func TestQueueIsNotTakenForSlowness(t *testing.T) {
	p := newPlacer(3)
	for range 30 {
		for i, burst := range []int{1, 10, 1} {
			learnAt(t, p, fmt.Sprint("e", i), burst, tokenReadTime)
			p.targets[fmt.Sprint("e", i)].reading = readMeter{} // the next round begins at t0 again
		}
	}
	for id := range p.targets {
		f := p.speeds.Estimate(t0, id)
		assert.Assert(t, f > 0.95 && f < 1.05, "%s: %.2f", id, f)
	}
}

// Guards against the prompt of a cancelled request whose reading time counts for the next one.
func TestInterruptedReadingIsNotMeasured(t *testing.T) {
	p := newPlacer(3)
	others := []string{"e1", "e2"}
	for i := range 200 {
		for _, id := range others {
			learnAt(t, p, id, 3, tokenReadTime)
			p.targets[id].reading = readMeter{}
		}
		cancelled, _ := place(t, p, Request{Parts: []Part{{fmt.Sprint("cancelled", i), 6000}}, Prompt: 6000, Exclude: others})
		ticket, _ := place(t, p, Request{Parts: []Part{{fmt.Sprint("next", i), 6000}}, Prompt: 6000, Exclude: others})
		p.End(t0.Add(time.Millisecond), cancelled, Cancelled)
		now := t0.Add(12_000 * tokenReadTime)
		p.FirstEvent(now, ticket)
		p.End(now, ticket, Served)
		p.targets["e0"].reading.lastEvent = time.Time{}
	}
	assert.Equal(t, p.speeds.Factor(t0, "e0"), 1.0)
}

// Guards against a restarted engine that is judged by its former run, and against operators who do not see speeds.
func TestRestartedEngineBeginsAtTheUsualSpeed(t *testing.T) {
	p := newPlacer(3)
	list := []Target{{ID: "e0", Pace: pace.Upstream{StartedMs: 1}}, {ID: "e1", Pace: pace.Upstream{StartedMs: 1}}, {ID: "e2", Pace: pace.Upstream{StartedMs: 1}}}
	p.SetTargets(list)
	for range 40 {
		for i, perToken := range []time.Duration{tokenReadTime, 2 * tokenReadTime, tokenReadTime} {
			learnAt(t, p, fmt.Sprint("e", i), 3, perToken)
			p.targets[fmt.Sprint("e", i)].reading = readMeter{}
		}
	}
	changes := p.SpeedChanges(t0)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].ID, "e1")
	assert.Assert(t, changes[0].Factor > 1.7 && changes[0].Factor < 2.2, "%v", changes)
	r := Request{Prompt: 2000, Exclude: []string{"e0", "e2"}}
	seat, _ := p.Place(t0, r)
	assert.Equal(t, seat.Forecast.Speed, changes[0].Factor)
	assert.Equal(t, len(p.SpeedChanges(t0.Add(time.Second))), 0)
	list[1].Pace.StartedMs = 2
	p.SetTargets(list)
	assert.Equal(t, p.speeds.Factor(t0, "e1"), 1.0)
	assert.DeepEqual(t, p.SpeedChanges(t0.Add(2*time.Second)), []SpeedChange{{"e1", 1}})
}
