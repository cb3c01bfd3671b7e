package admit

import (
	"cmp"
	"slices"
	"time"
)

func (m *Machine) configure(policy Policy) {
	p := policy.withDefaults()
	m.policy = p
	m.limit.configure(&p)
	if len(m.classes) != 2*len(p.Ranks) {
		m.classes = m.classes[:0:0]
		for rank := range p.Ranks {
			m.classes = append(m.classes, newClass(rank, false), newClass(rank, true))
		}
		m.usage = nil
	}
	if m.usage == nil || m.usage.bucketWidth != newUsage(p.Window, 0).bucketWidth {
		m.usage = newUsage(p.Window, len(m.classes))
	}
}

// setPolicy applies a policy. If the number of ranks or the use of fair queueing changes, all requests move to new queues
// in order of arrival; otherwise the queues and their virtual times are kept.
func (m *Machine) setPolicy(now time.Time, policy Policy) {
	requeue := len(policy.withDefaults().Ranks) != len(m.policy.Ranks) || policy.NoFairness != m.policy.NoFairness
	if requeue {
		m.classes = nil
	}
	m.configure(policy)
	if requeue {
		m.requeueAll()
	} else {
		for _, c := range m.classes {
			c.updateWeights(m.policy.weight)
		}
	}
	for m.queued > m.policy.MaxQueue && m.evictAboveShare(now) {
		continue
	}
}

// requeueAll assigns all requests to the current classes in order of arrival.
func (m *Machine) requeueAll() {
	all := make([]*trackedRequest, 0, len(m.requests))
	for _, tr := range m.requests {
		all = append(all, tr)
	}
	slices.SortFunc(all, func(a, b *trackedRequest) int { return cmp.Compare(a.seq, b.seq) })
	for _, tr := range all {
		tr.req.Rank = min(tr.req.Rank, len(m.policy.Ranks)-1)
		c := m.class(tr.req.Rank, tr.req.LongRunning)
		tr.flow = c.flow(m.flowName(tr.req.Team), m.policy.weight(tr.req.Team))
		if tr.running {
			tr.flow.running++
			c.inFlight++
			continue
		}
		c.push(tr)
	}
}

// evictAboveShare evicts one request from the least urgent rank that exceeds its share of the queue and reports whether
// there was one.
func (m *Machine) evictAboveShare(now time.Time) bool {
	for rank := len(m.policy.Ranks) - 1; rank >= 0; rank-- {
		if m.rankQueued(rank) > m.guaranteedQueue(rank) {
			last := m.longestFlow(rank).tail
			m.removeQueued(now, last)
			m.refuse(last.req.ID, Evicted, m.expectedSlotWait())
			return true
		}
	}
	return false
}
