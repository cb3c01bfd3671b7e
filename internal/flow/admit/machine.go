package admit

import (
	"math"
	"math/rand/v2"
	"time"
)

// Machine is the admission control of one entry node.
type Machine struct {
	policy    Policy
	classes   []*class // rank 0, rank 0 patient, rank 1, ...
	items     map[string]*item
	teams     map[string]*teamState
	expiry    heap[*item]
	usage     *usage
	limit     limiter
	random    *rand.Rand
	seq       uint64
	queued    int
	inFlight  int
	patient   int     // of inFlight
	slowdown  float64 // smoothed ratio of real to estimated time of finished requests
	margin    float64 // factor on estimated times that keeps late answers near the target
	nextSweep time.Time
	actions   []Action
}

// New returns a machine without requests.
func New(policy Policy) *Machine {
	m := &Machine{
		items: map[string]*item{}, teams: map[string]*teamState{}, slowdown: 1, margin: 1,
		random: rand.New(rand.NewPCG(policy.Seed, 0)),
	}
	m.expiry = heap[*item]{
		less: func(a, b *item) bool {
			if !a.latest.Equal(b.latest) {
				return a.latest.Before(b.latest)
			}
			return a.seq < b.seq
		},
		place: func(it *item) *int { return &it.expireAt },
	}
	m.configure(policy)
	return m
}

// Step takes one event. Times must not decrease from call to call. The returned slice is valid until the next Step.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	m.usage.advance(now, m.classes, m.limit.limit)
	if c, ok := ev.(Cancel); ok { // first, so that a cancelled request is not refused as well
		m.cancel(now, c.ID)
	}
	m.expire(now)
	m.sweep(now)
	switch ev := ev.(type) {
	case Arrive:
		m.arrive(now, ev.Request)
	case Finish:
		m.finish(now, ev)
	case Cancel, Tick:
	case SetPolicy:
		m.setPolicy(now, ev.Policy)
	}
	m.limit.adapt(now, m.inFlight)
	m.dispatch(now)
	return m.actions
}

// Wake returns the time of the next Tick that refuses a queued request; false means that none is needed.
func (m *Machine) Wake() (time.Time, bool) {
	it, ok := m.expiry.top()
	if !ok {
		return time.Time{}, false
	}
	return it.latest.Add(1), true
}

// Stats is a snapshot for metrics.
type Stats struct {
	Limit, InFlight, Queued, LongRunning int
}

// Stats returns the present load of the node.
func (m *Machine) Stats() Stats {
	return Stats{Limit: m.slots(), InFlight: m.inFlight, Queued: m.queued, LongRunning: m.patient}
}

func (m *Machine) slots() int { return int(m.limit.limit) }

func (m *Machine) patientSlots() int {
	return max(1, int(m.policy.PatientShare*m.limit.limit))
}

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) refuse(id string, reason Reason, retry time.Duration) {
	retry = min(max(retry, 50*time.Millisecond), 30*time.Second)
	jitter := 0.5 + m.random.Float64()
	m.act(Refuse{ID: id, Reason: reason, RetryAfter: time.Duration(float64(retry) * jitter)})
}

func (m *Machine) arrive(now time.Time, r Request) {
	if m.items[r.ID] != nil {
		return // acting on a repeated id would act on the first request
	}
	if r.Rank < 0 || r.Rank >= len(m.policy.Ranks) {
		r.Rank = len(m.policy.Ranks) - 1
	}
	if !(r.EstimatedCost > 0) || math.IsInf(r.EstimatedCost, 1) { // not positive, or not a number
		r.EstimatedCost = 1
	}
	r.EstimatedTime = max(r.EstimatedTime, 0)
	if retry, ok := m.takeTeam(now, r.Team); !ok {
		m.refuse(r.ID, TeamLimit, retry)
		return
	}
	it := m.newItem(r)
	wait := time.Duration(0)
	if !m.fits(&r) {
		wait = m.wait(it)
	}
	if !it.latest.IsZero() && now.Add(wait).After(it.latest) {
		m.releaseTeam(now, r.Team, false)
		m.refuse(r.ID, Deadline, now.Add(wait).Sub(it.latest))
		return
	}
	if !m.fits(&r) && m.queued >= m.policy.MaxQueue && !m.makeRoom(now, it) {
		m.releaseTeam(now, r.Team, false)
		m.refuse(r.ID, Overloaded, wait)
		return
	}
	m.enqueue(it)
	m.dispatch(now)
	if !it.running {
		m.act(Queue{ID: r.ID})
	}
}

func (m *Machine) newItem(r Request) *item {
	c := m.class(r.Rank, r.LongRunning)
	m.seq++
	it := &item{req: r, flow: c.flow(m.flowName(r.Team), m.policy.weight(r.Team)), seq: m.seq, expireAt: -1}
	if !r.Deadline.IsZero() {
		it.latest = r.Deadline.Add(-time.Duration(float64(r.EstimatedTime) * m.margin))
	}
	return it
}

func (m *Machine) flowName(team string) string {
	if m.policy.NoFairness {
		return ""
	}
	return team
}

func (m *Machine) class(rank int, patient bool) *class {
	if patient {
		return m.classes[2*rank+1]
	}
	return m.classes[2*rank]
}

// fits reports whether a request of this kind is admitted at once. After each dispatch a slot is free only if nothing
// but patient work at its bound is queued.
func (m *Machine) fits(r *Request) bool {
	return m.inFlight < m.slots() && (!r.LongRunning || m.patient < m.patientSlots())
}

func (m *Machine) enqueue(it *item) {
	m.items[it.req.ID] = it
	it.flow.class.push(it)
	m.queued++
	if !it.latest.IsZero() {
		m.expiry.push(it)
	}
}

func (m *Machine) dequeue(it *item) {
	it.flow.class.remove(it)
	m.expiry.remove(it)
	m.queued--
}

// drop takes a queued request out as not run.
func (m *Machine) drop(now time.Time, it *item) {
	m.dequeue(it)
	delete(m.items, it.req.ID)
	m.releaseTeam(now, it.req.Team, false)
}

func (m *Machine) expire(now time.Time) {
	for {
		it, ok := m.expiry.top()
		if !ok || !now.After(it.latest) {
			return
		}
		m.drop(now, it)
		m.refuse(it.req.ID, Deadline, m.holdTime())
	}
}

func (m *Machine) dispatch(now time.Time) {
	for m.inFlight < m.slots() {
		c := m.pick()
		if c == nil {
			return
		}
		it := c.serve()
		m.queued--
		m.expiry.remove(it)
		it.running, it.admitted = true, now
		m.inFlight++
		if c.patient {
			m.patient++
		}
		m.act(Admit{ID: it.req.ID})
	}
}

// shareSlack raises the share up to which a class is served first. Without it a class would be served only after its use
// has fallen below its share, so its average would stay slightly below.
const shareSlack = 1.05

// pick returns the class that is served next: the one furthest below its guaranteed share, or else the most urgent.
func (m *Machine) pick() *class {
	var first, below *class
	lowest := shareSlack
	for i, c := range m.classes {
		if c.queued == 0 || c.patient && m.patient >= m.patientSlots() {
			continue
		}
		if first == nil {
			first = c
		}
		g := m.guarantee(c)
		if ratio := m.usage.part(i) / g; g > 0 && ratio < lowest && float64(c.inFlight) < g*m.limit.limit {
			below, lowest = c, ratio
		}
	}
	if below != nil {
		return below
	}
	return first
}

// guarantee returns the part of the concurrency that a class is served first for. Patient work takes its part only while
// there is any.
func (m *Machine) guarantee(c *class) float64 {
	share := m.policy.share(c.rank)
	patient := m.class(c.rank, true)
	switch {
	case c.patient:
		return share * m.policy.PatientShare
	case patient.queued+patient.inFlight > 0:
		return share * (1 - m.policy.PatientShare)
	default:
		return share
	}
}

func (m *Machine) finish(now time.Time, ev Finish) {
	it := m.items[ev.ID]
	if it == nil || !it.running {
		return
	}
	if ev.Cost > 0 && !math.IsInf(ev.Cost, 1) {
		it.flow.class.settle(it.flow, ev.Cost-it.req.EstimatedCost)
	}
	m.limit.observe(now, it.admitted, ev.QueueDelay, it.req.LongRunning)
	m.learn(now, it, ev.Late)
	m.release(now, it)
}

// learn corrects the estimates. A late answer raises the margin by one step; answers in time lower it so that the two
// balance when the part of late answers is at the target.
func (m *Machine) learn(now time.Time, it *item, late bool) {
	const smoothing, step, maxMargin = 0.05, 0.02, 1.5
	if it.req.EstimatedTime > 0 {
		ratio := float64(now.Sub(it.admitted)) / float64(it.req.EstimatedTime)
		m.slowdown += smoothing * (min(ratio, 10) - m.slowdown)
	}
	if late {
		m.margin = min(m.margin+step, maxMargin)
	} else {
		m.margin = max(m.margin-step*m.policy.LateTarget/(1-min(m.policy.LateTarget, 0.5)), 1)
	}
}

func (m *Machine) release(now time.Time, it *item) {
	c := it.flow.class
	it.flow.running--
	c.inFlight--
	m.inFlight--
	if c.patient {
		m.patient--
	}
	delete(m.items, it.req.ID)
	m.releaseTeam(now, it.req.Team, true)
}

func (m *Machine) cancel(now time.Time, id string) {
	it := m.items[id]
	switch {
	case it == nil:
	case it.running:
		m.release(now, it)
	default:
		m.drop(now, it)
	}
}

func (m *Machine) sweep(now time.Time) {
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(time.Second)
	for _, c := range m.classes {
		c.sweep()
	}
	m.sweepTeams(now)
}
