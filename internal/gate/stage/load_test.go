package stage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/speed"
	"github.com/berylledge/berylledge/internal/test/eventq"
)

// Parameters of the simulated upstreams. Calls take longer than configured, as measured on a fleet.
const (
	realCall       = 153 * time.Millisecond
	realPiece      = 2850 * time.Microsecond
	slowDown       = 2.5 // times the usual duration
	slowDownTime   = 600 * time.Millisecond
	meanNormalTime = 3400 * time.Millisecond // between slow-downs, which therefore take 15% of the time
)

func configured() conf.Pool {
	return conf.Pool{Slots: 1, Queue: 2, Batch: 8, CallTime: 150, ItemTime: 2, ResultMemoryMB: 1000, HandleTTL: 60_000}
}

// simUpstream models an upstream that works on one call at a time.
type simUpstream struct {
	duration float64 // of work, relative to the usual one
	slow     bool
	left     float64 // work that is left of the call, in nanoseconds at the median upstream
	since    time.Time
	step     int // invalidates planned events
	call     *Call
	ended    time.Time // of the last call
}

func (u *simUpstream) pace() float64 {
	if u.slow {
		return u.duration * slowDown
	}
	return u.duration
}

type queueSim struct {
	q      *Queue
	agenda eventq.Agenda
	now    time.Time
	rng    *rand.Rand
	ups    map[string]*simUpstream
	// forget makes the queue decide as without any knowledge of speeds.
	forget bool
	// report is what the fourth figure of the load header is relative to; 0: not sent, 1: the upstream's own usual time, 2: that of the
	// service.
	report int
	added  map[string]time.Time
	waits  []time.Duration
	next   int
}

func newQueueSim(seed uint64, forget bool, report int, durations ...float64) *queueSim {
	s := &queueSim{
		q: NewQueue(configured()), now: t0, rng: rand.New(rand.NewPCG(seed, 3)), ups: map[string]*simUpstream{}, forget: forget, report: report,
		added: map[string]time.Time{},
	}
	var list []Target
	for i, d := range durations {
		id := fmt.Sprintf("u%02d", i)
		s.ups[id] = &simUpstream{duration: d}
		list = append(list, Target{ID: id, Address: id})
		s.after(time.Duration(s.rng.ExpFloat64()*float64(meanNormalTime)), func() { s.change(s.ups[id]) })
	}
	s.q.SetTargets(list)
	return s
}

func (s *queueSim) after(d time.Duration, run func()) { s.agenda.Add(s.now.Add(d), run) }

// change begins or ends a slow-down.
func (s *queueSim) change(u *simUpstream) {
	s.advance(u)
	u.slow = !u.slow
	s.plan(u)
	next := slowDownTime
	if !u.slow {
		next = time.Duration(s.rng.ExpFloat64() * float64(meanNormalTime))
	}
	s.after(next, func() { s.change(u) })
}

func (s *queueSim) advance(u *simUpstream) {
	u.left -= float64(s.now.Sub(u.since)) / u.pace()
	u.since = s.now
}

func (s *queueSim) plan(u *simUpstream) {
	u.step++
	if u.call == nil {
		return
	}
	step := u.step
	s.after(time.Duration(max(u.left, 0)*u.pace()), func() {
		if u.step == step {
			s.end(u)
		}
	})
}

func (s *queueSim) end(u *simUpstream) {
	c := u.call
	u.call, u.ended = nil, s.now
	if s.report > 0 {
		l := speed.Load{Slots: 1, Duration: u.pace()}
		if s.report == 1 {
			l.Duration /= u.duration
		}
		s.q.ReportLoad(s.now, c.Upstream, l)
	}
	outcomes := make([]Outcome, len(c.Jobs))
	var handles []string
	for i, j := range c.Jobs {
		outcomes[i].Handle = fmt.Sprint(c.ID, "/", i)
		handles = append(handles, outcomes[i].Handle)
		s.waits = append(s.waits, s.now.Sub(s.added[j.Request]))
		delete(s.added, j.Request)
	}
	s.q.Done(s.now, c.ID, Answered, outcomes)
	s.q.Free(handles)
	s.pump()
}

func (s *queueSim) pump() {
	if s.forget {
		s.q.speeds, s.q.callTimes = speed.New(), speed.CallTimes{}
		s.q.SetPool(s.q.pool)
	}
	calls, _ := s.q.Next(s.now)
	for _, c := range calls {
		u := s.ups[c.Upstream]
		u.call, u.since = &c, s.now
		u.left = float64(realCall + time.Duration(len(c.Jobs))*realPiece)
		s.plan(u)
	}
	if s.q.Len() > 0 {
		s.after(20*time.Millisecond, s.pump)
	}
}

func (s *queueSim) add(n int) {
	for range n {
		s.next++
		name := fmt.Sprint(s.next)
		s.added[name] = s.now
		s.q.Add(s.now, Job{Item: Item{Request: name}, Bytes: 1, Due: s.now.Add(time.Minute), Deadline: s.now.Add(2 * time.Minute)})
	}
	s.pump()
}

func (s *queueSim) run(d time.Duration) {
	end := s.now.Add(d)
	for e, ok := s.agenda.Next(end); ok; e, ok = s.agenda.Next(end) {
		s.now = e.At
		e.Run()
	}
	s.now = end
}

// burst adds pieces at once, and returns how long they take and by how much the ends of the upstreams' last calls differ on average
// from the last of all.
func (s *queueSim) burst(n int) (took, idle time.Duration) {
	began := s.now
	s.add(n)
	for s.q.Len() > 0 || len(s.q.open) > 0 {
		s.run(time.Millisecond)
	}
	last := began
	for _, u := range s.ups {
		if u.ended.After(last) {
			last = u.ended
		}
	}
	for _, u := range s.ups {
		idle += last.Sub(maxTime(u.ended, began)) / time.Duration(len(s.ups))
	}
	s.run(time.Second)
	return last.Sub(began), idle
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func uneven() []float64 { return []float64{0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6} }

// bursts returns the mean time of bursts, and by how much upstreams are idle before their end.
func bursts(forget bool, report, pieces int) (took, idle time.Duration) {
	const n = 150
	s := newQueueSim(7, forget, report, uneven()...)
	for range 20 {
		s.burst(pieces) // to learn
	}
	for range n {
		a, b := s.burst(pieces)
		took, idle = took+a/n, idle+b/n
	}
	return took, idle
}

// Guards against calls to slow upstreams that end long after the faster ones have nothing left to do. With the load header, a
// slow-down of some hundred milliseconds counts as well, whatever the figure is relative to.
func TestUnevenUpstreamsFinishTogether(t *testing.T) {
	for _, pieces := range []int{40, 72, 144, 288} {
		before, idleBefore := bursts(true, 0, pieces)
		t.Logf("pieces=%d nothing is known: %v, idle %v", pieces, before, idleBefore)
		for report := range 3 {
			after, idle := bursts(false, report, pieces)
			t.Logf("pieces=%d report=%d: %v, idle %v", pieces, report, after, idle)
			assert.Assert(t, float64(after) < 0.97*float64(before), "pieces=%d report=%d: %v, before %v", pieces, report, after, before)
			assert.Assert(t, idle < idleBefore, "pieces=%d report=%d: idle %v, before %v", pieces, report, idle, idleBefore)
		}
	}
}

// steady returns the times of pieces at a part of the capacity, in ascending order.
func steady(load float64, forget bool, report int) []time.Duration {
	s := newQueueSim(7, forget, report, uneven()...)
	capacity := 0.0
	for _, d := range uneven() {
		capacity += 8 / ((realCall + 8*realPiece).Seconds() * d * (0.85 + 0.15*slowDown))
	}
	arrivals := rand.New(rand.NewPCG(1, 1))
	for s.now.Sub(t0) < 60*time.Second {
		if s.now.Sub(t0) < 20*time.Second { // it learns
			s.waits = nil
		}
		s.run(time.Duration(arrivals.ExpFloat64() * 4 / (load * capacity) * float64(time.Second)))
		s.add(4)
	}
	slices.Sort(s.waits)
	return s.waits
}

// Guards against pieces that go to a slow upstream while a faster one is idle or will soon be.
func TestUnevenUpstreamsUnderSteadyLoad(t *testing.T) {
	for _, load := range []float64{0.2, 0.5, 0.7, 0.85} {
		p95 := func(forget bool, report int) time.Duration {
			w := steady(load, forget, report)
			at := func(q float64) time.Duration { return w[int(q*float64(len(w)-1))].Round(time.Millisecond) }
			t.Logf("load=%v forget=%v report=%d pieces=%d median=%v p95=%v p99=%v", load, forget, report, len(w), at(0.5), at(0.95), at(0.99))
			return at(0.95)
		}
		before := p95(true, 0)
		for report := range 3 {
			after := p95(false, report)
			limit := before
			if load > 0.8 && report == 0 { // little is left to choose; seeds differ by 2% in both directions
				limit += before / 20
			}
			assert.Assert(t, after < limit, "load=%v report=%d: 95%% within %v, before %v", load, report, after, before)
		}
	}
}

// Guards against forecasts that are too good because calls take longer than configured, also while upstreams are slow for short times.
func TestQueueLearnsTheTimeOfItsCalls(t *testing.T) {
	s := newQueueSim(7, false, 0, uneven()...)
	for i := range 100 {
		s.burst(30 + i%7*20)
	}
	for _, n := range []int{1, 4, 8} {
		want := realCall + time.Duration(n)*realPiece
		got := s.q.callTime(n)
		assert.Assert(t, math.Abs(float64(got)/float64(want)-1) < 0.04, "%d pieces: %v, want %v", n, got, want)
	}
}

// Guards against decisions that change although all upstreams are as fast as configured.
func TestEqualUpstreamsAreChosenAsConfigured(t *testing.T) {
	run := func(forget bool) []string {
		q := NewQueue(configured())
		var list []Target
		for i := range 5 {
			list = append(list, Target{ID: fmt.Sprint("u", i), DataCentre: fmt.Sprint(i % 2)})
		}
		q.SetTargets(list)
		var out []string
		var open []Call
		rng := rand.New(rand.NewPCG(1, 2))
		now := t0
		for i := range 2000 {
			for k := range rng.IntN(12) {
				q.Add(now, Job{
					Item: Item{Request: fmt.Sprint(i, k)}, Home: fmt.Sprint(k % 2), Bytes: 1, Due: now.Add(700 * time.Millisecond),
					Deadline: now.Add(5 * time.Second),
				})
			}
			if forget {
				q.speeds, q.callTimes = speed.New(), speed.CallTimes{}
				q.SetPool(q.pool)
			}
			calls, replies := q.Next(now)
			for _, c := range calls {
				out = append(out, fmt.Sprint(c.Upstream, requests(c.Jobs)))
			}
			for _, r := range replies {
				out = append(out, fmt.Sprint(r.Request, r.Reason))
			}
			open = append(open, calls...)
			now = now.Add(10 * time.Millisecond)
			open = slices.DeleteFunc(open, func(c Call) bool {
				took := now.Sub(q.open[c.ID].sentAt)
				if want := 150*time.Millisecond + time.Duration(len(c.Jobs))*2*time.Millisecond; took < want {
					return false
				}
				began := q.open[c.ID].sentAt
				end := began.Add(150*time.Millisecond + time.Duration(len(c.Jobs))*2*time.Millisecond)
				outcomes := make([]Outcome, len(c.Jobs))
				for i := range outcomes {
					outcomes[i].Handle = fmt.Sprint(c.ID, "/", i)
					defer q.Free([]string{outcomes[i].Handle})
				}
				q.ReportLoad(end, c.Upstream, speed.Load{Slots: 1, Duration: 1})
				q.Done(end, c.ID, Answered, outcomes)
				return true
			})
		}
		return out
	}
	assert.DeepEqual(t, run(false), run(true))
}

// Guards against pieces that wait without end for a fast upstream that hangs, and against a choice by the last report alone: calls in
// flight count.
func TestSlowUpstreamIsUsedWhenTheFastOneHangs(t *testing.T) {
	q := NewQueue(configured())
	q.SetTargets([]Target{{ID: "fast"}, {ID: "slow"}})
	now := t0
	for range 30 {
		for id, took := range map[string]time.Duration{"fast": 100 * time.Millisecond, "slow": 230 * time.Millisecond} {
			expected := time.Duration(q.speeds.Estimate(now, id) * float64(150*time.Millisecond))
			q.speeds.Learn(now, id, took, expected, expected)
		}
	}
	add := func(n int) {
		for i := range n {
			q.Add(now, Job{Item: Item{Request: fmt.Sprint(now.UnixNano(), i)}, Bytes: 1, Due: now.Add(time.Hour), Deadline: now.Add(time.Hour)})
		}
	}
	q.ReportLoad(now, "slow", speed.Load{Slots: 1})
	add(1)
	calls, _ := q.Next(now)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, calls[0].Upstream, "fast")
	q.ReportLoad(now, "fast", speed.Load{Slots: 1, Duration: 0.01})
	now = now.Add(90 * time.Millisecond)
	add(1)
	calls, _ = q.Next(now)
	assert.Equal(t, len(calls), 0, "the fast upstream ends sooner")
	now = now.Add(500 * time.Millisecond)
	calls, _ = q.Next(now)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, calls[0].Upstream, "slow")
}

// Load pattern: faster upstreams are idle, but their memory is full. Guards against pieces that wait for memory although a slower
// upstream has some.
func TestSlowUpstreamIsUsedWhenTheFastOnesHaveNoMemory(t *testing.T) {
	pool := configured()
	pool.ResultMemoryMB = 0.001
	q := NewQueue(pool)
	q.SetTargets([]Target{{ID: "fast"}, {ID: "slow"}})
	for range 30 {
		for id, took := range map[string]time.Duration{"fast": 100 * time.Millisecond, "slow": 230 * time.Millisecond} {
			expected := time.Duration(q.speeds.Estimate(t0, id) * float64(150*time.Millisecond))
			q.speeds.Learn(t0, id, took, expected, expected)
		}
	}
	q.Adopt(t0, "fast", "h", "old", 800, time.Hour)
	for i := range 2 {
		j := job("r", time.Minute, 150)
		j.Piece = i
		q.Add(t0, j)
	}
	calls, _ := q.Next(t0)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, calls[0].Upstream, "slow")
	assert.Equal(t, len(calls[0].Jobs), 2)
}
