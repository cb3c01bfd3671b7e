package stage

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the order.
const (
	slowPace       = 1.8             // an upstream whose calls take this much longer counts as slow
	slowRetry      = 2 * time.Second // without a call, a slow one is tried again
	paceWeight     = 0.5             // of the newest call
	classesPerRank = 2               // the second one is for requests that have begun and will be late
	lateRanks      = 2               // a piece whose request will be late counts as this much less urgent
	slackCalls     = 4               // a job with this many full calls of time waits for an upstream near its engine
	roundsHeld     = 2               // rounds of full calls that may wait; beyond, pieces that would be late are refused
	rateSpan       = 500 * time.Millisecond
	rateWeight     = 0.5  // of the newest span
	inputsPart     = 0.8  // part of the time that results are kept after which inputs in the queue count as lost
	leastRoom      = 0.6  // part of an upstream's memory that is counted on, however often results found no room
	roomGrow       = 0.03 // part of the memory that is counted on again for each result that was freed
)

// late reports whether a job that starts now makes its request late.
func (q *Queue) late(j Job, now time.Time) bool { return now.Add(q.callTime(1)).After(j.Due) }

// classify sets the keys by which groups are ordered. Requests that hold memory here come first, because it is free again only
// when they are done.
func (q *Queue) classify(now time.Time) {
	for _, g := range q.groups {
		j := g.first()
		g.late = q.late(*j, now)
		g.class = Class(j.Rank, g.late, len(j.Inputs) > 0)
		if q.begun[j.Request] > 0 {
			g.class = -1
		}
	}
}

// Class orders work before its times do. Work of a request that will be late is worth little, so it yields to some that can
// still be on time; without this, one burst beyond capacity makes each request after it late as well. A request that has begun
// yields to its own rank only: what it has holds memory, and expires while it waits behind less urgent ones.
func Class(rank int, late, begun bool) int {
	switch {
	case late && begun:
		return classesPerRank*rank + 1
	case late:
		return classesPerRank * (rank + lateRanks)
	}
	return classesPerRank * rank
}

// order sorts the groups for an upstream in a data centre. Of equal ones, those whose result is needed there come first.
func (q *Queue) order(dataCentre string) {
	slices.SortStableFunc(q.groups, func(a, b *group) int {
		if a.class != b.class {
			return cmp.Compare(a.class, b.class)
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

// refuseLate gives up jobs that will be late because of those before them, at the rate at which pieces were made lately.
// Some rounds of full calls may wait in any case.
func (q *Queue) refuseLate(now time.Time) []Reply {
	ready := 0
	for _, t := range q.targets {
		if t.present && !t.Avoid {
			ready++
		}
	}
	most := ready * q.pool.Batch * roundsHeld
	if q.waiting <= most {
		return nil
	}
	q.classify(now)
	q.order("")
	rate := float64(ready*q.pool.Batch) / q.callTime(q.pool.Batch).Seconds()
	if q.rate > 0 {
		rate = min(rate, q.rate)
	}
	var out []Reply
	at := 0
	q.keep(func(g *group) bool {
		at += len(g.jobs)
		begins := now.Add(time.Duration(float64(at) / rate * float64(time.Second)))
		if at <= most || q.begun[g.first().Request] > 0 || !q.hopeless(g, begins) {
			return true
		}
		out = append(out, q.giveUp(now, g, ReasonRefused)...)
		return false
	})
	return out
}

// hopeless reports whether a group that begins then is of no use: its inputs are forgotten, or, without inputs, it is late.
func (q *Queue) hopeless(g *group, begins time.Time) bool {
	if len(g.first().Inputs) > 0 {
		return begins.Sub(g.added) > q.inputsLife()
	}
	return q.late(*g.first(), begins)
}

// inputsLife is how long inputs may wait in the queue before they count as lost.
func (q *Queue) inputsLife() time.Duration {
	return time.Duration(inputsPart * float64(q.pool.HandleFor.Duration()))
}

// measure keeps the rate at which pieces are made while others wait. Memory for results, slow upstreams and calls of other
// nodes lower it.
func (q *Queue) measure(now time.Time, made int) {
	if q.waiting == 0 {
		q.since, q.made = time.Time{}, 0
		return
	}
	if q.since.IsZero() {
		q.since, q.made = now, 0
		return
	}
	q.made += made
	span := now.Sub(q.since)
	if span < rateSpan {
		return
	}
	rate := float64(q.made) / span.Seconds()
	if q.rate == 0 {
		q.rate = rate
	}
	q.rate += rateWeight * (rate - q.rate)
	q.since, q.made = now, 0
}

// fill takes the first jobs that fit into one call and into the upstream's memory. A request is begun only if all of its
// pieces that wait here fit: a part of them would hold memory while the rest waits for some.
//
// While more jobs wait than the call takes, its last place goes to the first job of a less urgent rank that can still
// be on time, so that no rank is without service.
func (q *Queue) fill(t *target, now time.Time) []Job {
	limit := min(t.limit, q.pool.RoomMB*bytesPerMB)
	free := int64(limit) - t.used
	waiting := map[string]int{}
	for _, g := range q.groups {
		waiting[g.first().Home] += len(g.jobs)
	}
	var reserved *group
	if q.waiting > q.pool.Batch && q.pool.Batch > 2 {
		reserved = q.starved()
	}
	blocked := now.Before(t.blocked)
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
		if places <= 0 || j.Bytes > 0 && blocked || q.leaveTo(*j, t, waiting, now) {
			continue
		}
		n := min(len(g.jobs), places)
		if all := q.needs(j.Request); q.begun[j.Request] == 0 && float64(all) <= limit && all > free {
			continue
		}
		if j.Bytes > 0 {
			n = min(n, int(max(free, 0)/j.Bytes))
		}
		if n == 0 {
			continue
		}
		free -= int64(n) * j.Bytes
		q.begun[j.Request] += n
		for _, rest := range q.byRequest[j.Request] {
			rest.class = -1 // what is left of the request comes first from now on
		}
		out = append(out, q.take(g, n)...)
	}
	q.dropEmpty(out)
	return out
}

// dropEmpty removes the groups from which all jobs were taken.
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

// needs returns the memory that all pieces of a request that wait here need.
func (q *Queue) needs(request string) int64 {
	all := int64(0)
	for _, g := range q.byRequest[request] {
		all += g.bytes
	}
	return all
}

// leaveTo reports whether a job should wait for an upstream in the data centre that needs its result: one there takes it with
// its next calls, and the job is in no hurry. Large results that cross data centres are dear.
func (q *Queue) leaveTo(j Job, t *target, waiting map[string]int, now time.Time) bool {
	if j.Home == t.DataCentre || now.Add(slackCalls*q.callTime(q.pool.Batch)).After(j.Due) {
		return false
	}
	places := 0
	for _, other := range q.targets {
		if other.DataCentre == j.Home && other.present && !other.Avoid && !now.Before(other.pause) {
			places += q.pool.Batch
		}
	}
	return waiting[j.Home] <= places
}

// starved returns the group of a less urgent rank that can be on time and is due first; nil for none.
func (q *Queue) starved() *group {
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

// othersAreSooner reports whether the upstreams that are not slow make all pieces that wait before a call of this slow one
// would end. An upstream that has not been called for a while is tried again, because it may have recovered.
func (q *Queue) othersAreSooner(t *target, now time.Time) bool {
	if t.pace < slowPace || now.Sub(t.called) > slowRetry {
		return false
	}
	places := 0
	for _, other := range q.targets {
		if other.pace < slowPace && q.usable(other, now) {
			places += q.pool.Batch * q.pool.Slots
		}
	}
	return float64(q.waiting) <= float64(places)*(t.pace-1)
}

// notePace compares the time of a call with what it should take. Calls in which results found no room end early and say
// nothing.
func (q *Queue) notePace(t *target, o open, now time.Time, outcomes []Outcome) {
	t.called = now
	made := 0
	for _, out := range outcomes {
		if out.Handle != "" {
			made++
		}
	}
	if made == 0 {
		return
	}
	t.pace += paceWeight * (float64(now.Sub(o.began))/float64(q.callTime(made)) - t.pace)
}
