package admit

import "time"

// expectedSlotWait returns the expected time until the next slot is freed.
func (m *Machine) expectedSlotWait() time.Duration {
	return time.Duration(m.limit.serviceTime / max(m.limit.limit, 1) * float64(time.Second))
}

// estimateWait estimates how long a request that is not queued yet would wait for a slot. It takes the smaller of two
// bounds: the work ahead within the class at the class's guaranteed rate, or that work plus all more urgent work at the
// rate that the more urgent classes leave unused. The work ahead within the class follows from fair queueing: before a
// team's request is served, each other team with queued work receives at most as much service, by weight, as that team.
func (m *Machine) estimateWait(tr *trackedRequest) time.Duration {
	c, f := tr.flow.class, tr.flow
	weights := c.activeWeight
	if f.queued == 0 {
		weights += f.weight
	}
	workInClass := min(c.queuedTime, (f.queuedTime+tr.req.EstimatedTime.Seconds())*weights/f.weight)
	workAhead, usedAhead, guaranteedBehind := 0.0, 0.0, 0.0
	for i, other := range m.classes {
		switch {
		case other == c:
		case other.rank < c.rank || other.rank == c.rank && !other.longRunning:
			workAhead += other.queuedTime
			usedAhead += m.usage.fraction(i)
		case other.queued > 0:
			guaranteedBehind += m.guaranteedShare(other)
		}
	}
	slots := m.limit.limit
	if c.longRunning {
		slots = float64(m.longRunningSlots())
	}
	const minFreeFraction = 0.01 // keeps the estimate finite
	seconds := (workInClass + workAhead) / (slots * max(1-usedAhead-guaranteedBehind, minFreeFraction))
	if g := m.guaranteedShare(c); g > 0 {
		seconds = min(seconds, workInClass/(m.limit.limit*g))
	}
	return time.Duration(min(seconds*m.slowdown, 3600)*float64(time.Second)) + m.expectedSlotWait()
}

// evictFor evicts one queued request in favour of an arrival and reports whether it did. Each rank keeps its share of the
// queue: a rank below its share displaces any rank above its share, while a rank above its share displaces only ranks
// that are not more urgent. The victim is the newest request of the team with the longest queue by weight; within the
// arrival's own rank that queue must be longer than the one of the arrival's team.
func (m *Machine) evictFor(now time.Time, tr *trackedRequest) bool {
	ownRank := tr.flow.class.rank
	belowShare := m.rankQueued(ownRank) < m.guaranteedQueue(ownRank)
	for rank := len(m.policy.Ranks) - 1; rank >= 0; rank-- {
		if rank < ownRank && !belowShare {
			return false
		}
		if rank != ownRank && m.rankQueued(rank) <= m.guaranteedQueue(rank) {
			continue
		}
		victim := m.longestFlow(rank)
		if victim == nil {
			continue
		}
		if rank == ownRank && victim.backlog() <= float64(tr.flow.queued+1)/tr.flow.weight {
			continue
		}
		last := victim.tail
		m.removeQueued(now, last)
		m.refuse(last.req.ID, Evicted, m.expectedSlotWait())
		return true
	}
	return false
}

func (m *Machine) rankQueued(rank int) int {
	return m.class(rank, false).queued + m.class(rank, true).queued
}

// guaranteedQueue returns the queue length up to which a rank is safe from eviction by other ranks.
func (m *Machine) guaranteedQueue(rank int) int {
	return int(m.policy.share(rank) * float64(m.policy.MaxQueue))
}

// longestFlow returns the flow of a rank with the largest backlog, or nil.
func (m *Machine) longestFlow(rank int) *flow {
	a, okA := m.class(rank, false).byBacklog.top()
	b, okB := m.class(rank, true).byBacklog.top()
	switch {
	case !okA && !okB:
		return nil
	case !okA || okB && b.backlog() > a.backlog():
		return b
	default:
		return a
	}
}
