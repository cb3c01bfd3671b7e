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
	if m.usage == nil || m.usage.width != newUsage(p.Window, 0).width {
		m.usage = newUsage(p.Window, len(m.classes))
	}
}

// setPolicy puts a policy in force. When the number of ranks or the use of fair queueing changes, all requests move to
// new queues in the order of their arrival; otherwise the queues and their virtual times stay.
func (m *Machine) setPolicy(now time.Time, policy Policy) {
	rebuild := len(policy.withDefaults().Ranks) != len(m.policy.Ranks) || policy.NoFairness != m.policy.NoFairness
	if rebuild {
		m.classes = nil
	}
	m.configure(policy)
	if rebuild {
		m.rebuild()
	} else {
		for _, c := range m.classes {
			c.reweigh(m.policy.weight)
		}
	}
	for m.queued > m.policy.MaxQueue && m.shrink(now) {
		continue
	}
}

func (m *Machine) rebuild() {
	all := make([]*item, 0, len(m.items))
	for _, it := range m.items {
		all = append(all, it)
	}
	slices.SortFunc(all, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	for _, it := range all {
		it.req.Rank = min(it.req.Rank, len(m.policy.Ranks)-1)
		c := m.class(it.req.Rank, it.req.LongRunning)
		it.flow = c.flow(m.flowName(it.req.Team), m.policy.weight(it.req.Team))
		if it.running {
			it.flow.running++
			c.inFlight++
			continue
		}
		c.push(it)
	}
}

// shrink evicts one request from the least urgent rank above its share of the queue and reports whether there was one.
func (m *Machine) shrink(now time.Time) bool {
	for rank := len(m.policy.Ranks) - 1; rank >= 0; rank-- {
		if m.rankQueued(rank) > m.queueShare(rank) {
			last := m.longest(rank).tail
			m.drop(now, last)
			m.refuse(last.req.ID, Evicted, m.holdTime())
			return true
		}
	}
	return false
}
