package stage

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the order.
const (
	slowPace   = 1.8             // an upstream whose calls take this much longer counts as slow
	slowRetry  = 2 * time.Second // without a call, a slow one is tried again
	paceWeight = 0.5             // of the newest call
	lateRanks  = 2               // a piece whose request will be late counts as this much less urgent
	slackCalls = 4               // a job with this many full calls of time waits for an upstream near its engine
	roundsHeld = 2               // rounds of full calls that may wait; beyond, pieces that would be late are refused
	rateSpan   = 500 * time.Millisecond
	rateWeight = 0.5  // of the newest span
	inputsPart = 0.8  // part of the time that results are kept after which inputs in the queue count as lost
	leastRoom  = 0.6  // part of an upstream's memory that is counted on, however often results found no room
	roomGrow   = 0.03 // part of the memory that is counted on again for each result that was freed
)

// late reports whether a job that starts now makes its request late.
func (q *Queue) late(j Job, now time.Time) bool { return now.Add(q.callTime(1)).After(j.Due) }

// class orders jobs before their times do. Requests that hold memory here come first, because it is free again only when
// they are done.
func (q *Queue) class(j Job, now time.Time) int {
	if q.begun[j.Request] > 0 {
		return -1
	}
	return Class(j.Rank, q.late(j, now))
}

// Class orders work before its times do: work of a request that will be late is worth little, so it yields to some that can
// still be on time. Without this, one burst beyond capacity makes each request after it late as well.
func Class(rank int, late bool) int {
	if late {
		return rank + lateRanks
	}
	return rank
}

// order sorts the jobs for an upstream in a data centre. Of equal ones, those whose result is needed there come first.
func (q *Queue) order(now time.Time, dataCentre string) {
	slices.SortStableFunc(q.jobs, func(a, b Job) int {
		classA, classB := q.class(a, now), q.class(b, now)
		if classA != classB {
			return cmp.Compare(classA, classB)
		}
		if (a.Home == dataCentre) != (b.Home == dataCentre) {
			if a.Home == dataCentre {
				return -1
			}
			return 1
		}
		if q.late(a, now) {
			return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.Request, b.Request))
		}
		return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Request, b.Request))
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
	keep := ready * q.pool.Batch * roundsHeld
	if len(q.jobs) <= keep {
		return nil
	}
	q.order(now, "")
	rate := float64(ready*q.pool.Batch) / q.callTime(q.pool.Batch).Seconds()
	if q.rate > 0 {
		rate = min(rate, q.rate)
	}
	var out []Reply
	at := 0
	q.jobs = slices.DeleteFunc(q.jobs, func(j Job) bool {
		at++
		begins := now.Add(time.Duration(float64(at) / rate * float64(time.Second)))
		if at <= keep || q.begun[j.Request] > 0 || !q.hopeless(j, begins) {
			return false
		}
		out = append(out, q.reply(now, time.Time{}, j, Outcome{Reason: ReasonRefused}, ""))
		return true
	})
	return out
}

// hopeless reports whether a job that begins then is of no use: its inputs are forgotten, or, without inputs, it is late.
func (q *Queue) hopeless(j Job, begins time.Time) bool {
	if len(j.Inputs) > 0 {
		return begins.Sub(j.added) > q.inputsLife()
	}
	return q.late(j, begins)
}

// inputsLife is how long inputs may wait in the queue before they count as lost.
func (q *Queue) inputsLife() time.Duration {
	return time.Duration(inputsPart * float64(q.pool.HandleFor.Duration()))
}

// measure keeps the rate at which pieces are made while others wait. Memory for results, slow upstreams and calls of other
// nodes lower it.
func (q *Queue) measure(now time.Time, made int) {
	if len(q.jobs) == 0 {
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
	needs := map[string]int64{}
	waiting := map[string]int{}
	for _, j := range q.jobs {
		needs[j.Request] += j.Bytes
		waiting[j.Home]++
	}
	last := -1
	if len(q.jobs) > q.pool.Batch && q.pool.Batch > 2 {
		last = q.starved(now)
	}
	var out []Job
	at := -1
	q.jobs = slices.DeleteFunc(q.jobs, func(j Job) bool {
		at++
		places := q.pool.Batch
		if last > at {
			places--
		}
		need := j.Bytes
		if q.begun[j.Request] == 0 && float64(needs[j.Request]) <= limit {
			need = needs[j.Request]
		}
		if len(out) >= places || need > free || j.Bytes > 0 && now.Before(t.blocked) || q.leaveTo(j, t, waiting, now) {
			return false
		}
		needs[j.Request] -= j.Bytes
		q.begun[j.Request]++
		free -= j.Bytes
		out = append(out, j)
		return true
	})
	return out
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

// starved returns the position of the job of a less urgent rank that has waited longest and can be on time; -1 for none.
func (q *Queue) starved(now time.Time) int {
	best := -1
	for i, j := range q.jobs {
		if j.Rank <= q.jobs[0].Rank || q.late(j, now) {
			continue
		}
		if best < 0 || j.Due.Before(q.jobs[best].Due) {
			best = i
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
	return float64(len(q.jobs)) <= float64(places)*(t.pace-1)
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
