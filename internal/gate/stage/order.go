package stage

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// Scheduling parameters.
const (
	slowDurationRatio     = 1.8             // an upstream with this ratio of actual to expected call duration counts as slow
	slowRetryInterval     = 2 * time.Second // a slow upstream without calls for this long is tried again
	durationRatioWeight   = 0.5             // of the newest call in the moving average
	classesPerRank        = 2               // the second class is for requests in progress that will be late
	lateRankPenalty       = 2               // ranks by which a piece of a late request is demoted
	localWaitCalls        = 4               // a job with time for this many full calls waits for an upstream near its engine
	lowIdleFraction       = 0.25            // with fewer idle places than this, and calls above highFillRatio, filling calls takes precedence
	highFillRatio         = 0.5
	fillRatioWeight       = 0.1  // of the newest call in the moving average
	localWaitFraction     = 0.25 // of a job's spare time that it may wait for the next call near its engine
	minExcessRounds       = 1    // rounds of calls by which more must wait at home than elsewhere before work runs elsewhere
	minQueuedRounds       = 2    // rounds of full calls that may always wait; pieces beyond them that would be late are refused
	rateInterval          = 500 * time.Millisecond
	rateWeight            = 0.5  // of the newest interval in the moving average
	inputLifetimeFraction = 0.8  // of the result lifetime, after which inputs of queued pieces count as lost
	minLimitFraction      = 0.6  // of an upstream's configured memory that is assumed usable, even if results are rejected often
	limitGrowthFraction   = 0.03 // of the configured memory, by which the assumed limit grows for each freed result
)

// wouldBeLate reports whether a job that starts now makes its request late.
func (q *Queue) wouldBeLate(j Job, now time.Time) bool { return now.Add(q.callTime(1)).After(j.Due) }

// classify sets the sort keys of the groups. Requests that already hold memory come first, because the memory is freed
// only when they finish.
func (q *Queue) classify(now time.Time) {
	ordered := q.hasOrder()
	for _, g := range q.groups {
		j := g.first()
		g.late = q.wouldBeLate(*j, now)
		g.class = UrgencyClass(j.Rank, g.late, len(j.Inputs) > 0)
		g.order = OrderInClass(j.Order, g.late, len(j.Inputs) > 0, ordered)
		if q.memoryHolders[j.Request] > 0 {
			g.class, g.order = -1, 0
		}
	}
}

// UrgencyClass returns the primary sort key of work; lower is more urgent. Work of late requests is demoted below work
// that can still be on time. Otherwise, one burst beyond capacity would make every following request late as well. A
// request in progress is demoted only within its own rank, because its results hold memory and would expire while it
// waits behind less urgent requests.
func UrgencyClass(rank int, late, begun bool) int {
	switch {
	case late && begun:
		return classesPerRank*rank + 1
	case late:
		return classesPerRank * (rank + lateRankPenalty)
	}
	return classesPerRank * rank
}

// sortGroups sorts the groups for an upstream in a data centre. Within a class, groups whose results are needed in that
// data centre come first.
func (q *Queue) sortGroups(dataCentre string) {
	slices.SortStableFunc(q.groups, func(a, b *group) int {
		if a.class != b.class {
			return cmp.Compare(a.class, b.class)
		}
		if a.order != b.order {
			return cmp.Compare(a.order, b.order)
		}
		x, y := a.first(), b.first()
		if (x.Home == dataCentre) != (y.Home == dataCentre) {
			if x.Home == dataCentre {
				return -1
			}
			return 1
		}
		if a.late {
			return cmp.Or(x.Deadline.Compare(y.Deadline), cmp.Compare(x.Request, y.Request))
		}
		return cmp.Or(x.Due.Compare(y.Due), cmp.Compare(x.Request, y.Request))
	})
}

// refuseLate refuses jobs that would be late behind the jobs before them, at the recent completion rate. The first
// minQueuedRounds rounds of full calls are never refused.
func (q *Queue) refuseLate(now time.Time) []Reply {
	ready, calls := 0, 0.0 // calls that the upstreams end in the time of one call at the median upstream
	for _, t := range q.targets {
		if t.present && !t.Avoid {
			ready++
			calls += 1 / q.speeds.Factor(now, t.ID)
		}
	}
	minQueued := ready * q.pool.Batch * minQueuedRounds
	if q.waiting <= minQueued {
		return nil
	}
	q.classify(now)
	q.sortGroups("")
	rate := calls * float64(q.pool.Batch) / q.callTime(q.pool.Batch).Seconds()
	rate -= q.coldLoss(now)
	if q.rate > 0 {
		rate = min(rate, q.rate)
	}
	var out []Reply
	at := 0
	q.filterGroups(func(g *group) bool {
		at += len(g.jobs)
		begins := now.Add(time.Duration(float64(at) / rate * float64(time.Second)))
		if at <= minQueued || q.memoryHolders[g.first().Request] > 0 || !q.cannotFinishInTime(g, begins) {
			return true
		}
		out = append(out, q.endGroup(now, g, ReasonRefused)...)
		return false
	})
	return out
}

// coldLoss returns by how many pieces a second the limits of cold upstreams lower the rate of the upstreams.
func (q *Queue) coldLoss(now time.Time) float64 {
	loss := 0.0
	for _, t := range q.targets {
		if t.present && !t.Avoid && t.pace.IsCold(now) {
			full := 1 / (q.speeds.Factor(now, t.ID) * q.callTime(q.pool.Batch).Seconds())
			loss += max(full-t.pace.ColdPerSecond, 0) * float64(q.pool.Batch)
		}
	}
	return loss
}

// cannotFinishInTime reports whether a group that starts at the given time is useless: its inputs have expired or, if
// it has none, it is late.
func (q *Queue) cannotFinishInTime(g *group, begins time.Time) bool {
	if len(g.first().Inputs) > 0 {
		return begins.Sub(g.added) > q.inputLifetime()
	}
	return q.wouldBeLate(*g.first(), begins)
}

// inputLifetime is how long inputs may wait in the queue before they count as lost.
func (q *Queue) inputLifetime() time.Duration {
	return time.Duration(inputLifetimeFraction * float64(q.pool.HandleTTL.Duration()))
}

// updateRate updates the rate at which pieces complete while others wait. Full memory, slow upstreams and calls from
// other nodes lower it.
func (q *Queue) updateRate(now time.Time, made int) {
	if q.waiting == 0 {
		q.rateStart, q.rateCount = time.Time{}, 0
		return
	}
	if q.rateStart.IsZero() {
		q.rateStart, q.rateCount = now, 0
		return
	}
	q.rateCount += made
	span := now.Sub(q.rateStart)
	if span < rateInterval {
		return
	}
	rate := float64(q.rateCount) / span.Seconds()
	if q.rate == 0 {
		q.rate = rate
	}
	q.rate += rateWeight * (rate - q.rate)
	q.rateStart, q.rateCount = now, 0
}

// fillCall takes the first jobs that fit into one call and into the upstream's memory. A request is started only if all
// of its waiting pieces fit. Otherwise, some of its results would hold memory while the other pieces wait for memory.
//
// If more jobs wait than fit into the call, the last place is reserved for the first job of a lower rank that can still
// be on time, so that no rank starves.
func (q *Queue) fillCall(t *target, now time.Time) []Job {
	limit := q.memoryLimit(t)
	free := limit - t.usedBytes
	waiting := map[string]int{}
	for _, g := range q.groups {
		waiting[g.first().Home] += len(g.jobs)
	}
	var reserved *group
	if q.waiting > q.pool.Batch && q.pool.Batch > 2 {
		reserved = q.nextLowerRank()
	}
	blocked := now.Before(t.memoryFullUntil)
	at, all := q.capacities(now)
	var out []Job
	for _, g := range q.groups {
		places := q.pool.Batch - len(out)
		if reserved == g {
			reserved = nil
		}
		if reserved != nil {
			places--
		}
		if len(out) == q.pool.Batch {
			break
		}
		j := g.first()
		if places <= 0 || j.Bytes > 0 && blocked || q.shouldWaitForHome(*j, t, waiting, now, at, all) {
			continue
		}
		n := min(len(g.jobs), places)
		if all := q.pendingBytes(j.Request); q.memoryHolders[j.Request] == 0 && all <= limit && all > free {
			continue
		}
		if j.Bytes > 0 {
			n = min(n, int(max(free, 0)/j.Bytes))
		}
		if n == 0 {
			continue
		}
		free -= int64(n) * j.Bytes
		q.memoryHolders[j.Request] += n
		for _, rest := range q.byRequest[j.Request] {
			rest.class, rest.order = -1, 0 // the remaining jobs of the request come first from now on
		}
		out = append(out, q.takeJobs(g, n)...)
	}
	q.dropEmpty(out)
	return out
}

// memoryLimit returns the memory that is assumed usable at an upstream.
func (q *Queue) memoryLimit(t *target) int64 {
	return int64(min(t.limitBytes, q.pool.ResultMemoryMB*bytesPerMB))
}

// dropEmpty removes empty groups from the queue and from the index of the requests whose jobs were taken.
func (q *Queue) dropEmpty(taken []Job) {
	kept := q.groups[:0]
	for _, g := range q.groups {
		if len(g.jobs) > 0 {
			kept = append(kept, g)
		}
	}
	clear(q.groups[len(kept):])
	q.groups = kept
	for _, j := range taken {
		list := slices.DeleteFunc(q.byRequest[j.Request], func(g *group) bool { return len(g.jobs) == 0 })
		if len(list) == 0 {
			delete(q.byRequest, j.Request)
			continue
		}
		q.byRequest[j.Request] = list
	}
}

// pendingBytes returns the total result size of a request's waiting pieces.
func (q *Queue) pendingBytes(request string) int64 {
	all := int64(0)
	for _, g := range q.byRequest[request] {
		all += g.bytes
	}
	return all
}

// capacity is the call capacity of a set of upstreams.
type capacity struct {
	idlePlaces   int       // places in calls that can start now
	maxFreeBytes int64     // largest free memory of an upstream with idle places
	places       int       // places in the next calls, including calls that cannot start yet
	nextStart    time.Time // earliest start of the next call
}

// capacities returns the capacity by data centre, and the total. Slow upstreams, and those that recently had no memory
// for results, are excluded.
func (q *Queue) capacities(now time.Time) (at map[string]capacity, all capacity) {
	ends := map[string]time.Time{}
	for _, o := range q.open {
		end := q.forecastEnd(o)
		if first, ok := ends[o.target]; !ok || end.Before(first) {
			ends[o.target] = end
		}
	}
	at = map[string]capacity{}
	for id, t := range q.targets {
		if !q.available(t, now) || now.Before(t.memoryFullUntil) || t.durationRatio >= slowDurationRatio {
			continue
		}
		one := capacity{places: q.pool.Batch, nextStart: now}
		if t.calls < q.pool.Slots {
			one.idlePlaces, one.maxFreeBytes = q.pool.Batch, q.memoryLimit(t)-t.usedBytes
		} else {
			one.nextStart = clock.Later(now, ends[id])
		}
		at[t.DataCentre] = at[t.DataCentre].merge(one)
		all = all.merge(one)
	}
	return at, all
}

// merge combines the capacities of two sets of upstreams.
func (r capacity) merge(other capacity) capacity {
	if r.places == 0 {
		return other
	}
	if other.nextStart.Before(r.nextStart) {
		r.nextStart = other.nextStart
	}
	r.idlePlaces += other.idlePlaces
	r.maxFreeBytes = max(r.maxFreeBytes, other.maxFreeBytes)
	r.places += other.places
	return r
}

// shouldWaitForHome reports whether a job should wait for an upstream in the data centre that needs its result. Each
// piece reads all results of the preceding stage, so a piece that runs in another data centre transfers all of them. A
// job waits if an upstream at home can take it now, or in its next calls while the job has time to spare. When few
// upstreams are idle and calls are well filled, filling calls takes precedence.
func (q *Queue) shouldWaitForHome(j Job, t *target, waiting map[string]int, now time.Time, at map[string]capacity, all capacity) bool {
	home := at[j.Home]
	if j.Home == t.DataCentre || home.places == 0 {
		return false
	}
	if waiting[j.Home] > home.places {
		// All data centres may have more waiting than fits into the next calls. Work that changes places then moves its inputs
		// and gains nothing, unless clearly more waits at home.
		there := at[t.DataCentre]
		return float64(waiting[j.Home])/float64(home.places) < float64(waiting[t.DataCentre])/float64(max(there.places, 1))+minExcessRounds
	}
	full := q.callTime(q.pool.Batch)
	busy := float64(all.idlePlaces) < lowIdleFraction*float64(all.places)
	switch {
	case !now.Add(localWaitCalls * full).After(j.Due):
		return true
	case home.idlePlaces > 0 && q.pendingBytes(j.Request) > home.maxFreeBytes:
		return false // the home upstreams have no memory for its results
	case q.waiting <= all.idlePlaces && waiting[j.Home] <= home.idlePlaces:
		return true
	case busy && q.fillRatio > highFillRatio:
		return false
	}
	spare := j.Due.Sub(now) - full
	return home.nextStart.Sub(now) <= time.Duration(localWaitFraction*float64(spare))
}

// nextLowerRank returns the group with the earliest due time among the less urgent ranks that can still be on time, or
// nil.
func (q *Queue) nextLowerRank() *group {
	var best *group
	for _, g := range q.groups {
		if g.late || g.first().Rank <= q.groups[0].first().Rank {
			continue
		}
		if best == nil || g.first().Due.Before(best.first().Due) {
			best = g
		}
	}
	return best
}

// othersFinishSooner reports whether the upstreams that are not slow complete all waiting pieces before a call to this
// slow one would end. A slow upstream that has not been called for a while is tried again, because it may have
// recovered.
func (q *Queue) othersFinishSooner(t *target, now time.Time) bool {
	if q.fasterFinishSooner(t, now) {
		return true
	}
	if t.durationRatio < slowDurationRatio || now.Sub(t.lastCallEnd) > slowRetryInterval {
		return false
	}
	places := 0
	for _, other := range q.targets {
		if other.durationRatio < slowDurationRatio && q.available(other, now) {
			places += q.pool.Batch * q.pool.Slots
		}
	}
	return float64(q.waiting) <= float64(places)*(t.durationRatio-1)
}

// learnDuration learns from the duration of a call. Calls without any result are ignored, since they end early when memory is
// full.
func (q *Queue) learnDuration(t *target, o openCall, now time.Time, outcomes []Outcome) {
	t.lastCallEnd = now
	made := 0
	for _, out := range outcomes {
		if out.Handle != "" {
			made++
		}
	}
	if made == 0 {
		return
	}
	took := now.Sub(o.sentAt)
	ratio := float64(took) / float64(q.callTime(made))
	t.durationRatio += durationRatioWeight * (ratio - t.durationRatio)
	t.load.report.Learn(ratio)
	if made == len(outcomes) {
		q.learnSpeed(t, now, made, took)
	}
}
