package stage

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// Parameters of the order.
const (
	slowPace       = 1.8             // an upstream whose calls take this much longer counts as slow
	slowRetry      = 2 * time.Second // without a call, a slow one is tried again
	paceWeight     = 0.5             // of the newest call
	classesPerRank = 2               // the second one is for requests that have begun and will be late
	lateRanks      = 2               // a piece whose request will be late counts as this much less urgent
	slackCalls     = 4               // a job with this many full calls of time waits for an upstream near its engine
	idlePart       = 0.25            // of the places of the next calls: with less, and calls over half full, calls are filled first
	halfFull       = 0.5
	filledWeight   = 0.1  // of the newest call
	slackPart      = 0.25 // of a job's spare time that it may wait for the next call near its engine
	roundsHeld     = 2    // rounds of full calls that may wait; beyond, pieces that would be late are refused
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
		g.class = UrgencyClass(j.Rank, g.late, len(j.Inputs) > 0)
		if q.begun[j.Request] > 0 {
			g.class = -1
		}
	}
}

// UrgencyClass orders work before its times do. Work of a request that will be late is worth little, so it yields to some that can
// still be on time; without this, one burst beyond capacity makes each request after it late as well. A request that has begun
// yields to its own rank only: what it has holds memory, and expires while it waits behind less urgent ones.
func UrgencyClass(rank int, late, begun bool) int {
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
	limit := q.limit(t)
	free := limit - t.used
	waiting := map[string]int{}
	for _, g := range q.groups {
		waiting[g.first().Home] += len(g.jobs)
	}
	var reserved *group
	if q.waiting > q.pool.Batch && q.pool.Batch > 2 {
		reserved = q.starved()
	}
	blocked := now.Before(t.blocked)
	at, all := q.rooms(now)
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
		if places <= 0 || j.Bytes > 0 && blocked || q.leaveTo(*j, t, waiting, now, at[j.Home], all) {
			continue
		}
		n := min(len(g.jobs), places)
		if all := q.needs(j.Request); q.begun[j.Request] == 0 && all <= limit && all > free {
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

// limit is the memory that is counted on at an upstream.
func (q *Queue) limit(t *target) int64 { return int64(min(t.limit, q.pool.RoomMB*bytesPerMB)) }

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

// room is what upstreams can take: those of one data centre, or all.
type room struct {
	idle   int       // places of calls that can begin now
	bytes  int64     // largest memory that one of these upstreams has left
	places int       // places of the next calls
	free   time.Time // when the first of these can begin
}

// rooms returns what the upstreams of each data centre can take, and what all can. Slow ones, and those that had no memory for results
// a moment ago, do not count.
func (q *Queue) rooms(now time.Time) (at map[string]room, all room) {
	ends := map[string]time.Time{}
	for _, o := range q.open {
		end := o.began.Add(q.callTime(len(o.jobs)))
		if first, ok := ends[o.target]; !ok || end.Before(first) {
			ends[o.target] = end
		}
	}
	at = map[string]room{}
	for id, t := range q.targets {
		if !q.usable(t, now) || now.Before(t.blocked) || t.pace >= slowPace {
			continue
		}
		one := room{places: q.pool.Batch, free: now}
		if t.calls < q.pool.Slots {
			one.idle, one.bytes = q.pool.Batch, q.limit(t)-t.used
		} else {
			one.free = clock.Later(now, ends[id])
		}
		at[t.DataCentre] = at[t.DataCentre].and(one)
		all = all.and(one)
	}
	return at, all
}

// and joins what two sets of upstreams can take.
func (r room) and(other room) room {
	if r.places == 0 {
		return other
	}
	if other.free.Before(r.free) {
		r.free = other.free
	}
	r.idle += other.idle
	r.bytes = max(r.bytes, other.bytes)
	r.places += other.places
	return r
}

// leaveTo reports whether a job should wait for an upstream in the data centre that needs its result: each piece of a stage reads all
// results of the stage before, so that one which runs elsewhere moves them all. One there takes it now, or with its next calls while
// the job is in no hurry. While few upstreams are idle and calls are well filled, calls are filled first.
func (q *Queue) leaveTo(j Job, t *target, waiting map[string]int, now time.Time, home, all room) bool {
	if j.Home == t.DataCentre || waiting[j.Home] > home.places {
		return false
	}
	full := q.callTime(q.pool.Batch)
	busy := float64(all.idle) < idlePart*float64(all.places)
	switch {
	case !now.Add(slackCalls * full).After(j.Due):
		return true
	case home.idle > 0 && q.needs(j.Request) > home.bytes:
		return false // the upstreams there have no memory for its results
	case q.waiting <= all.idle && waiting[j.Home] <= home.idle:
		return true
	case busy && q.filled > halfFull:
		return false
	}
	spare := j.Due.Sub(now) - full
	return home.free.Sub(now) <= time.Duration(slackPart*float64(spare))
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
