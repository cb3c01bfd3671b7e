package place

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/berylledge/berylledge/pkg/upapi"
)

// retryAfterFailure is the delay before an engine may change again after a failed order.
const retryAfterFailure = time.Minute

// maxRanks is the number of priority ranks that are tracked separately; less urgent ranks are merged into the last.
const maxRanks = 8

// recordDemand adds a demand report to the smoothed demand of its pool.
func (p *Planner) recordDemand(now time.Time, e Demand) {
	d := p.demands[e.Pool]
	if d == nil {
		d = p.addDemand(now, e.Pool)
	}
	rank := min(max(e.Rank, 0), maxRanks-1)
	// The ranks of a pool are reported at the same time, so each report is weighted by the time since the last tick, not
	// since the last report.
	d.reported[rank] = true
	d.byRank[rank] += p.smoothingWeight(now.Sub(d.at)) * (e.Busy - d.byRank[rank])
	d.prefill += p.smoothingWeight(now.Sub(d.at)) * (e.Prefill - d.prefill)
	if e.Busy > 0 {
		d.lastBusy = now
	}
}

func (p *Planner) addDemand(now time.Time, pool string) *poolDemand {
	d := &poolDemand{at: now, byRank: make([]float64, maxRanks), reported: make([]bool, maxRanks)}
	p.demands[pool] = d
	p.pools = sortedKeys(p.demands)
	return d
}

// decayUnreported decays the demand of ranks that were not reported since the last tick.
func (p *Planner) decayUnreported(now time.Time, d *poolDemand) {
	for r := range d.byRank {
		if !d.reported[r] {
			d.byRank[r] *= 1 - p.smoothingWeight(now.Sub(d.at))
		}
		d.reported[r] = false
	}
	d.at = now
}

// decayDemands decays the unreported demand of all pools and removes idle adapters, so that memory use is proportional to
// the pools in use.
func (p *Planner) decayDemands(now time.Time) {
	removed := false
	for pool, d := range p.demands {
		p.decayUnreported(now, d)
		if strings.Contains(pool, ":") && now.Sub(d.lastBusy) >= 2*p.policy.AdapterIdleTimeout {
			delete(p.demands, pool)
			removed = true
		}
	}
	if removed {
		p.pools = sortedKeys(p.demands)
	}
}

// smoothingWeight returns the weight of a new value in exponential smoothing after the given interval, which counts as at
// least one second.
func (p *Planner) smoothingWeight(since time.Duration) float64 {
	return 1 - math.Exp2(-float64(max(since, time.Second))/float64(p.policy.HalfLife))
}

// busySlots returns the smoothed demand for a model and its adapters, summed over the ranks up to and including rank.
func (p *Planner) busySlots(model string, rank int) float64 {
	sum := 0.0
	for _, pool := range p.pools {
		if base, _, _ := strings.Cut(pool, ":"); base == model {
			for r, b := range p.demands[pool].byRank {
				if r <= rank {
					sum += b
				}
			}
		}
	}
	return sum
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// baseModel returns the base model that an engine holds or is changing to, or "" if there is none.
func (e *engine) baseModel() string {
	if e.change != nil {
		return e.change.model
	}
	for _, m := range e.Models {
		if !strings.Contains(m, ":") {
			return m
		}
	}
	return ""
}

// enginesFor returns the engines that hold a model or are changing to it, sorted by id, and their total number of slots.
func (p *Planner) enginesFor(model string) (list []*engine, slots float64) {
	for _, id := range p.ids {
		if e := p.engines[id]; e.baseModel() == model {
			list = append(list, e)
			slots += float64(e.Slots)
		}
	}
	return list, slots
}

func (p *Planner) tick(now time.Time) {
	if !p.storeUpdatedAt.IsZero() {
		p.storeBudgetMB = min(p.storeBudgetMB+p.policy.StoreMBPerSecond*now.Sub(p.storeUpdatedAt).Seconds(), p.policy.StoreBurstMB)
	}
	p.storeUpdatedAt = now
	for _, id := range p.ids {
		p.advanceChange(now, p.engines[id])
	}
	for _, m := range p.policy.Models {
		p.updateThresholds(now, m)
	}
	p.decayDemands(now)
	if p.pendingChanges() >= p.policy.MaxConcurrentChanges {
		return
	}
	if !p.placeModel(now) && !p.placeAdapter(now) {
		p.placeRole(now)
	}
}

func (p *Planner) pendingChanges() int {
	n := 0
	for _, e := range p.engines {
		if e.change != nil {
			n++
		}
	}
	return n
}

// updateThresholds records since when a model has been short of slots and since when it could give up an engine.
func (p *Planner) updateThresholds(now time.Time, m Model) {
	d := p.demands[m.Name]
	if d == nil {
		d = p.addDemand(now, m.Name)
	}
	list, slots := p.enginesFor(m.Name)
	busy := p.busySlots(m.Name, maxRanks)
	d.highSince = conditionSince(now, d.highSince, len(list) < m.Min || busy > p.policy.HighUtilization*slots)
	d.lowSince = conditionSince(now, d.lowSince, busy <= p.policy.LowUtilization*slots*float64(len(list)-1)/float64(max(len(list), 1)))
}

// conditionSince updates the time since which a condition has held; it is zero while the condition does not hold.
func conditionSince(now, old time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case old.IsZero():
		return now
	default:
		return old
	}
}

// heldFor reports whether a condition has held for at least d.
func heldFor(now, since time.Time, d time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= d
}

// placeModel starts the most urgent model change, if any, and reports whether it did.
func (p *Planner) placeModel(now time.Time) bool {
	for rank := range maxRanks {
		for _, m := range p.policy.Models {
			d := p.demands[m.Name]
			_, slots := p.enginesFor(m.Name)
			shortAtRank := heldFor(now, d.highSince, p.policy.HighDuration) && p.busySlots(m.Name, rank) > p.policy.HighUtilization*slots
			shortOverall := rank == maxRanks-1 && heldFor(now, d.highSince, p.policy.HighDuration)
			if !shortAtRank && !shortOverall {
				continue
			}
			if e := p.selectDonor(now, m.Name, rank); e != nil && p.takeStoreBudget(m.SizeMB) {
				p.startModelChange(now, e, m)
				return true
			}
		}
	}
	return false
}

// selectDonor returns the best engine to reassign to a model that is short of slots for work up to a rank: preferably an
// empty engine, otherwise one whose model keeps enough slots for its own work of the same or more urgent ranks.
func (p *Planner) selectDonor(now time.Time, wanted string, rank int) *engine {
	var best *engine
	for _, id := range p.ids {
		e := p.engines[id]
		if !p.canChange(now, e) || e.baseModel() == wanted || !p.canReleaseEngine(now, e.baseModel(), rank) {
			continue
		}
		if best == nil || e.baseModel() == "" && best.baseModel() != "" || (e.baseModel() == "") == (best.baseModel() == "") && e.Running < best.Running {
			best = e
		}
	}
	return best
}

func (p *Planner) canChange(now time.Time, e *engine) bool {
	return e.change == nil && e.lifecycle.State() == Live && (e.changedAt.IsZero() || now.Sub(e.changedAt) >= p.policy.MinDwell)
}

// canReleaseEngine reports whether a model can give up an engine for work of a rank.
func (p *Planner) canReleaseEngine(now time.Time, model string, rank int) bool {
	i := slices.IndexFunc(p.policy.Models, func(m Model) bool { return m.Name == model })
	if i < 0 {
		return true // holds no model, or one that is no longer in the policy
	}
	list, slots := p.enginesFor(model)
	left := slots * float64(len(list)-1) / float64(len(list))
	if len(list) <= p.policy.Models[i].Min {
		return false
	}
	if heldFor(now, p.demands[model].lowSince, p.policy.LowDuration) {
		return true
	}
	// Less urgent work of the donor's model does not block more urgent work; its work of the same or more urgent ranks does.
	return rank < maxRanks-1 && p.busySlots(model, rank) <= p.policy.LowUtilization*left && p.busySlots(model, maxRanks) > p.busySlots(model, rank)
}

func (p *Planner) startModelChange(now time.Time, e *engine, m Model) {
	c := &change{model: m.Name, sizeMB: m.SizeMB}
	held := slices.Clone(e.Models)
	slices.SortStableFunc(held, func(a, b string) int { return strings.Count(b, ":") - strings.Count(a, ":") }) // adapters first
	for _, old := range held {
		c.orders = append(c.orders, p.newOrder(upapi.Order{Kind: upapi.OrderUnload, Model: old}))
	}
	c.orders = append(c.orders, p.newOrder(upapi.Order{Kind: upapi.OrderLoad, Model: m.Name}))
	if e.Role != "" && e.Role != upapi.RoleMixed {
		c.orders = append(c.orders, p.newOrder(upapi.Order{Kind: upapi.OrderRole, Role: upapi.RoleMixed}))
	}
	p.startChange(now, e, c)
}

func (p *Planner) newOrder(o upapi.Order) upapi.Order {
	p.orderCount++
	o.ID = fmt.Sprintf("place-%d", p.orderCount)
	return o
}

// startChange begins a change. An engine without models and requests needs no drain.
func (p *Planner) startChange(now time.Time, e *engine, c *change) {
	c.since = now
	e.change = c
	if c.drained || len(e.Models) == 0 && e.Running == 0 {
		c.drained = true
	} else {
		e.lifecycle.Apply(ChangePlanned)
		p.emit(Drain{e.ID})
	}
	p.advanceChange(now, e)
}

// advanceChange performs the next step of the pending change of an engine, if it is due.
func (p *Planner) advanceChange(now time.Time, e *engine) {
	c := e.change
	if c == nil {
		return
	}
	switch age := now.Sub(c.since); {
	case !c.drained && e.Running > 0:
		if age >= p.policy.DrainTimeout {
			p.storeBudgetMB = min(p.storeBudgetMB+c.sizeMB, p.policy.StoreBurstMB)
			p.endChange(now, e, ChangeAbandoned)
		}
	// A load report measured before all nodes received the drain can show an idle engine that still gets requests, so the
	// drain lasts at least as long as P5 allows for its propagation.
	case !c.drained && age < drainPropagation:
	case c.sent:
		if age >= p.policy.OrderTimeout {
			p.failChange(now, e)
		}
	default:
		c.drained, c.sent, c.since = true, true, now
		p.emit(Order{e.ID, c.orders[0]})
	}
}

// drainPropagation is the time after which all nodes have received a drain (P5).
const drainPropagation = 3 * time.Second

// takeStoreBudget charges a load to the weight store budget and reports whether the budget allows it. A load larger than
// the burst may start when the budget is full.
func (p *Planner) takeStoreBudget(sizeMB float64) bool {
	if p.storeBudgetMB < min(sizeMB, p.policy.StoreBurstMB) {
		return false
	}
	p.storeBudgetMB -= sizeMB
	return true
}

// handleOrderResult continues or ends the change that the order belongs to.
func (p *Planner) handleOrderResult(now time.Time, a OrderResult) {
	for _, id := range p.ids {
		e := p.engines[id]
		c := e.change
		if c == nil || !c.sent || c.orders[0].ID != a.OrderID {
			continue
		}
		if !a.OK {
			p.failChange(now, e)
			return
		}
		c.orders, c.sent, c.since = c.orders[1:], false, now
		if len(c.orders) == 0 {
			p.endChange(now, e, Changed)
			return
		}
		p.advanceChange(now, e)
		return
	}
}

// failChange abandons a change. The next report of the engine says what it holds.
func (p *Planner) failChange(now time.Time, e *engine) {
	p.endChange(now, e, ChangeAbandoned)
	e.changedAt = now.Add(retryAfterFailure - p.policy.MinDwell)
}

func (p *Planner) endChange(now time.Time, e *engine, event LifecycleEvent) {
	e.change = nil
	e.changedAt = now
	if e.lifecycle.State() == Draining {
		e.lifecycle.Apply(event)
		p.emit(Resume{e.ID})
	}
}

// placeAdapter loads an adapter that is in demand and on no engine or on too few. Loading an adapter does not disturb
// other requests, so it needs no drain; on a full engine, an idle adapter is unloaded first.
func (p *Planner) placeAdapter(now time.Time) bool {
	for _, pool := range p.pools {
		base, _, isAdapter := strings.Cut(pool, ":")
		d := p.demands[pool]
		if !isAdapter || d.lastBusy.IsZero() || now.Sub(d.lastBusy) >= p.policy.AdapterIdleTimeout {
			continue
		}
		list, _ := p.enginesFor(base)
		slots := 0.0
		for _, e := range list {
			if slices.Contains(e.Models, pool) {
				slots += float64(e.Slots)
			}
		}
		d.highSince = conditionSince(now, d.highSince, p.totalDemand(d) > p.policy.HighUtilization*slots)
		if slots > 0 && !heldFor(now, d.highSince, p.policy.HighDuration) {
			continue
		}
		if p.loadAdapter(now, pool, list) {
			return true
		}
	}
	return false
}

func (p *Planner) totalDemand(d *poolDemand) float64 {
	sum := 0.0
	for _, b := range d.byRank {
		sum += b
	}
	return sum
}

func (p *Planner) loadAdapter(now time.Time, pool string, list []*engine) bool {
	for _, e := range list {
		if e.change != nil || e.lifecycle.State() != Live || slices.Contains(e.Models, pool) {
			continue
		}
		c := &change{model: e.baseModel(), drained: true}
		if adapters := len(e.Models) - 1; adapters >= p.policy.MaxAdapters {
			idle := p.idleAdapter(now, e)
			if idle == "" {
				continue
			}
			c.orders = append(c.orders, p.newOrder(upapi.Order{Kind: upapi.OrderUnload, Model: idle}))
		}
		c.orders = append(c.orders, p.newOrder(upapi.Order{Kind: upapi.OrderLoad, Model: pool}))
		p.startChange(now, e, c)
		return true
	}
	return false
}

func (p *Planner) idleAdapter(now time.Time, e *engine) string {
	for _, m := range e.Models {
		if d := p.demands[m]; strings.Contains(m, ":") && (d == nil || now.Sub(d.lastBusy) >= p.policy.AdapterIdleTimeout) {
			return m
		}
	}
	return ""
}

// placeRole moves one engine between prefill and decode if the number of prefill engines differs from the demand by more
// than one. Without this margin, a fractional target between two numbers would make an engine switch back and forth.
func (p *Planner) placeRole(now time.Time) {
	for _, m := range p.policy.Models {
		list, _ := p.enginesFor(m.Name)
		if p.policy.MinEnginesForRoles == 0 || len(list) < p.policy.MinEnginesForRoles || p.busySlots(m.Name, maxRanks) == 0 {
			continue
		}
		want := p.demands[m.Name].prefill * float64(len(list))
		have := 0.0
		for _, e := range list {
			if e.Role == upapi.RolePrefill {
				have++
			}
		}
		role, from := upapi.RolePrefill, upapi.RoleDecode
		switch {
		case want-have > 1:
		case have-want > 1:
			role, from = upapi.RoleDecode, upapi.RolePrefill
		default:
			continue
		}
		for _, e := range list {
			if p.canChange(now, e) && (e.Role == from || role == upapi.RolePrefill && e.Role != role) {
				c := &change{model: m.Name, orders: []upapi.Order{p.newOrder(upapi.Order{Kind: upapi.OrderRole, Role: role})}}
				p.startChange(now, e, c)
				return
			}
		}
	}
}
