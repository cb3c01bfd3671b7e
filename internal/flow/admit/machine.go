package admit

import (
	"math"
	"math/rand/v2"
	"time"
)

// Machine is the admission control of one entry node.
type Machine struct {
	policy         Policy
	classes        []*class // two per rank: 2*rank, and 2*rank+1 for long-running requests
	requests       map[string]*trackedRequest
	teams          map[string]*teamState
	expiry         heap[*trackedRequest]
	usage          *slotUsage
	limit          limiter
	rng            *rand.Rand
	seq            uint64
	queued         int
	inFlight       int
	longRunning    int     // long-running requests among inFlight
	slowdown       float64 // smoothed ratio of actual to estimated time of finished requests
	estimateFactor float64 // multiplies estimated times so that late answers stay near Policy.MaxLateFraction
	nextCleanup    time.Time
	actions        []Action
}

// New returns a machine without requests.
func New(policy Policy) *Machine {
	m := &Machine{
		requests: map[string]*trackedRequest{}, teams: map[string]*teamState{}, slowdown: 1, estimateFactor: 1,
		rng: rand.New(rand.NewPCG(policy.Seed, 0)),
	}
	m.expiry = heap[*trackedRequest]{
		less: func(a, b *trackedRequest) bool {
			if !a.admitBy.Equal(b.admitBy) {
				return a.admitBy.Before(b.admitBy)
			}
			return a.seq < b.seq
		},
		index: func(tr *trackedRequest) *int { return &tr.expiryIndex },
	}
	m.configure(policy)
	return m
}

// Step processes one event. Times must not decrease between calls. The returned slice is valid until the next Step.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	m.usage.advance(now, m.classes, m.limit.limit)
	if c, ok := ev.(Cancel); ok { // before expire, which could refuse the cancelled request
		m.cancel(now, c.ID)
	}
	m.expire(now)
	m.removeIdle(now)
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

// Wake returns the time at which a Tick would refuse a queued request, or false if no Tick is needed.
func (m *Machine) Wake() (time.Time, bool) {
	tr, ok := m.expiry.top()
	if !ok {
		return time.Time{}, false
	}
	return tr.admitBy.Add(1), true
}

// Stats is a snapshot of the load for metrics.
type Stats struct {
	Limit, InFlight, Queued, LongRunning int
}

// Stats returns the current load of the node.
func (m *Machine) Stats() Stats {
	return Stats{Limit: m.slots(), InFlight: m.inFlight, Queued: m.queued, LongRunning: m.longRunning}
}

func (m *Machine) slots() int { return int(m.limit.limit) }

func (m *Machine) longRunningSlots() int {
	return max(1, int(m.policy.LongRunningShare*m.limit.limit))
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) refuse(id string, reason Reason, retry time.Duration) {
	retry = min(max(retry, 50*time.Millisecond), 30*time.Second)
	jitter := 0.5 + m.rng.Float64()
	m.emit(Refuse{ID: id, Reason: reason, RetryAfter: time.Duration(float64(retry) * jitter)})
}

func (m *Machine) arrive(now time.Time, r Request) {
	if m.requests[r.ID] != nil {
		return // the ID still identifies the earlier request, which must not be affected
	}
	if r.Rank < 0 || r.Rank >= len(m.policy.Ranks) {
		r.Rank = len(m.policy.Ranks) - 1
	}
	if !(r.EstimatedCost > 0) || math.IsInf(r.EstimatedCost, 1) { // not positive, or NaN
		r.EstimatedCost = 1
	}
	r.EstimatedTime = max(r.EstimatedTime, 0)
	if retry, ok := m.chargeTeam(now, r.Team); !ok {
		m.refuse(r.ID, TeamLimit, retry)
		return
	}
	tr := m.track(r)
	wait := time.Duration(0)
	if !m.hasFreeSlot(&r) {
		wait = m.estimateWait(tr)
	}
	if !tr.admitBy.IsZero() && now.Add(wait).After(tr.admitBy) {
		m.releaseTeam(now, r.Team, false)
		m.refuse(r.ID, Deadline, now.Add(wait).Sub(tr.admitBy))
		return
	}
	if !m.hasFreeSlot(&r) && m.queued >= m.policy.MaxQueue && !m.evictFor(now, tr) {
		m.releaseTeam(now, r.Team, false)
		m.refuse(r.ID, Overloaded, wait)
		return
	}
	m.enqueue(tr)
	m.dispatch(now)
	if !tr.running {
		m.emit(Queue{ID: r.ID})
	}
}

// track returns the state of a new request, which is not queued yet.
func (m *Machine) track(r Request) *trackedRequest {
	c := m.class(r.Rank, r.LongRunning)
	m.seq++
	tr := &trackedRequest{req: r, flow: c.flow(m.flowName(r.Team), m.policy.weight(r.Team)), seq: m.seq, expiryIndex: -1}
	if !r.Deadline.IsZero() {
		tr.admitBy = r.Deadline.Add(-time.Duration(float64(r.EstimatedTime) * m.estimateFactor))
	}
	return tr
}

func (m *Machine) flowName(team string) string {
	if m.policy.NoFairness {
		return ""
	}
	return team
}

func (m *Machine) class(rank int, longRunning bool) *class {
	if longRunning {
		return m.classes[2*rank+1]
	}
	return m.classes[2*rank]
}

// hasFreeSlot reports whether a request of this kind is admitted at once. After a dispatch a slot is free only if nothing
// is queued except long-running requests at their limit.
func (m *Machine) hasFreeSlot(r *Request) bool {
	return m.inFlight < m.slots() && (!r.LongRunning || m.longRunning < m.longRunningSlots())
}

func (m *Machine) enqueue(tr *trackedRequest) {
	m.requests[tr.req.ID] = tr
	tr.flow.class.push(tr)
	m.queued++
	if !tr.admitBy.IsZero() {
		m.expiry.push(tr)
	}
}

func (m *Machine) dequeue(tr *trackedRequest) {
	tr.flow.class.remove(tr)
	m.expiry.remove(tr)
	m.queued--
}

// removeQueued removes a queued request, which counts as not run.
func (m *Machine) removeQueued(now time.Time, tr *trackedRequest) {
	m.dequeue(tr)
	delete(m.requests, tr.req.ID)
	m.releaseTeam(now, tr.req.Team, false)
}

func (m *Machine) expire(now time.Time) {
	for {
		tr, ok := m.expiry.top()
		if !ok || !now.After(tr.admitBy) {
			return
		}
		m.removeQueued(now, tr)
		m.refuse(tr.req.ID, Deadline, m.expectedSlotWait())
	}
}

func (m *Machine) dispatch(now time.Time) {
	for m.inFlight < m.slots() {
		c := m.nextClass()
		if c == nil {
			return
		}
		tr := c.popNext()
		m.queued--
		m.expiry.remove(tr)
		tr.running, tr.admittedAt = true, now
		m.inFlight++
		if c.longRunning {
			m.longRunning++
		}
		m.emit(Admit{ID: tr.req.ID})
	}
}

// shareSlack raises the share up to which a class is served first. Without it a class would be preferred only after its
// use has fallen below its share, so its average would stay slightly below the share.
const shareSlack = 1.05

// nextClass returns the class to serve next: the one furthest below its guaranteed share, or else the most urgent one with
// queued work.
func (m *Machine) nextClass() *class {
	var mostUrgent, mostBelowShare *class
	lowestRatio := shareSlack
	for i, c := range m.classes {
		if c.queued == 0 || c.longRunning && m.longRunning >= m.longRunningSlots() {
			continue
		}
		if mostUrgent == nil {
			mostUrgent = c
		}
		g := m.guaranteedShare(c)
		if ratio := m.usage.fraction(i) / g; g > 0 && ratio < lowestRatio && float64(c.inFlight) < g*m.limit.limit {
			mostBelowShare, lowestRatio = c, ratio
		}
	}
	if mostBelowShare != nil {
		return mostBelowShare
	}
	return mostUrgent
}

// guaranteedShare returns the fraction of the concurrency up to which a class is served first. Part of a rank's share is
// reserved for long-running requests only while the rank has any.
func (m *Machine) guaranteedShare(c *class) float64 {
	share := m.policy.share(c.rank)
	longRunning := m.class(c.rank, true)
	switch {
	case c.longRunning:
		return share * m.policy.LongRunningShare
	case longRunning.queued+longRunning.inFlight > 0:
		return share * (1 - m.policy.LongRunningShare)
	default:
		return share
	}
}

func (m *Machine) finish(now time.Time, ev Finish) {
	tr := m.requests[ev.ID]
	if tr == nil || !tr.running {
		return
	}
	if ev.Cost > 0 && !math.IsInf(ev.Cost, 1) {
		tr.flow.class.correctCost(tr.flow, ev.Cost-tr.req.EstimatedCost)
	}
	m.limit.observe(now, tr.admittedAt, ev.QueueDelay, tr.req.LongRunning)
	m.adjustEstimates(now, tr, ev.Late)
	m.release(now, tr)
}

// adjustEstimates updates the correction factors of the estimates. A late answer raises estimateFactor by one step; timely
// answers lower it by an amount that balances this when the fraction of late answers is at Policy.MaxLateFraction.
func (m *Machine) adjustEstimates(now time.Time, tr *trackedRequest, late bool) {
	const smoothing, step, maxFactor = 0.05, 0.02, 1.5
	if tr.req.EstimatedTime > 0 {
		ratio := float64(now.Sub(tr.admittedAt)) / float64(tr.req.EstimatedTime)
		m.slowdown += smoothing * (min(ratio, 10) - m.slowdown)
	}
	if late {
		m.estimateFactor = min(m.estimateFactor+step, maxFactor)
	} else {
		m.estimateFactor = max(m.estimateFactor-step*m.policy.MaxLateFraction/(1-min(m.policy.MaxLateFraction, 0.5)), 1)
	}
}

func (m *Machine) release(now time.Time, tr *trackedRequest) {
	c := tr.flow.class
	tr.flow.running--
	c.inFlight--
	m.inFlight--
	if c.longRunning {
		m.longRunning--
	}
	delete(m.requests, tr.req.ID)
	m.releaseTeam(now, tr.req.Team, true)
}

func (m *Machine) cancel(now time.Time, id string) {
	tr := m.requests[id]
	switch {
	case tr == nil:
	case tr.running:
		m.release(now, tr)
	default:
		m.removeQueued(now, tr)
	}
}

// removeIdle deletes idle flows and team states, at most once a second.
func (m *Machine) removeIdle(now time.Time) {
	if now.Before(m.nextCleanup) {
		return
	}
	m.nextCleanup = now.Add(time.Second)
	for _, c := range m.classes {
		c.removeIdleFlows()
	}
	m.removeIdleTeams(now)
}
