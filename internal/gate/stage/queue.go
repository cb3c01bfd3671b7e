package stage

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
)

// Job is a piece that waits to be made.
type Job struct {
	Item
	Rank     int       // 0 is the most urgent
	Home     string    // data centre in which the result is needed
	Bytes    int64     // approximate size of its result
	Due      time.Time // by when it should be made, so that its request is on time
	Deadline time.Time // from when on its result is of no use
	Tag      uint64    // chosen by the caller; returned with the result

	added time.Time
}

// Call is a call to be sent to an upstream.
type Call struct {
	ID       uint64
	Upstream string
	Address  string
	Jobs     []Job
	// Patience is how long the call may take before the upstream counts as silent.
	Patience time.Duration
}

// Reply is the end of a job.
type Reply struct {
	Job
	Outcome
	Upstream string
}

// Target is an upstream of the service.
type Target struct {
	ID         string
	Address    string
	DataCentre string
	Avoid      bool // it is silent or drains
}

// CallResult says how a call ended.
type CallResult uint8

// The results of a call.
const (
	Answered CallResult = iota + 1
	Full                // the upstream did not run it because its queue is full
	Moved               // another upstream has the address by now
	Broken              // not sent, or not answered in time
)

// Times of a Queue.
const (
	fullPause    = 30 * time.Millisecond  // before the next call to an upstream that was full
	roomPause    = 100 * time.Millisecond // the same, without room for a result, unless one is freed earlier
	brokenPause  = 500 * time.Millisecond
	mostPause    = 8 * time.Second
	patienceX    = 6 // times the time that a call should take
	patienceMore = 500 * time.Millisecond
	maxTries     = 3 // calls that one job is part of
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

type target struct {
	Target
	present bool
	calls   int
	pause   time.Time
	fails   int
	room    map[string]held // results by handle
	used    int64           // bytes of results and of those being made
	limit   float64         // bytes that it seems to have room for; sizes are approximate
	blocked time.Time       // until then a result finds no room, unless one is freed
	pace    float64         // time of its calls against what they should take
	called  time.Time       // end of its last call
}

type held struct {
	request string
	bytes   int64
	until   time.Time // when the upstream forgets it by itself
}

type open struct {
	target string
	jobs   []Job
	began  time.Time
}

// Queue hands the pieces of one service in one region to its upstreams. It is not safe for concurrent use.
type Queue struct {
	pool    conf.Pool
	targets map[string]*target
	jobs    []Job
	tries   map[Key]int
	open    map[uint64]open
	dropped map[Key]bool   // cancelled while part of a call
	begun   map[string]int // results and pieces under way here, by request
	nextID  uint64

	rate  float64   // pieces a second, made lately while others waited; 0: not known
	made  int       // since then
	since time.Time // zero: nothing waited
}

const bytesPerMB = 1e6

// Key names a job.
type Key struct {
	Request string
	Stage   int
	Piece   int
}

func keyOf(j Job) Key { return Key{j.Request, j.Stage, j.Piece} }

// NewQueue returns an empty queue.
func NewQueue(pool conf.Pool) *Queue {
	return &Queue{
		pool: pool, targets: map[string]*target{}, tries: map[Key]int{}, open: map[uint64]open{}, dropped: map[Key]bool{},
		begun: map[string]int{},
	}
}

// SetPool changes the description of the upstreams.
func (q *Queue) SetPool(pool conf.Pool) { q.pool = pool }

// SetTargets changes the upstreams.
func (q *Queue) SetTargets(list []Target) {
	for _, t := range q.targets {
		t.present = false
	}
	for _, t := range list {
		have := q.targets[t.ID]
		if have == nil {
			have = &target{room: map[string]held{}, limit: q.pool.RoomMB * bytesPerMB, pace: 1}
			q.targets[t.ID] = have
		}
		have.Target, have.present = t, true
	}
	for id, t := range q.targets {
		if !t.present && t.calls == 0 {
			q.forget(t)
			delete(q.targets, id)
		}
	}
}

// forget drops the account of a target that has left.
func (q *Queue) forget(t *target) {
	for _, r := range t.room {
		q.leave(r.request)
	}
}

// leave counts one result or piece of a request less.
func (q *Queue) leave(request string) {
	if q.begun[request]--; q.begun[request] <= 0 {
		delete(q.begun, request)
	}
}

// Len returns the number of jobs that wait, and Calls that of calls under way.
func (q *Queue) Len() int { return len(q.jobs) }

// Calls returns the number of calls under way.
func (q *Queue) Calls() int { return len(q.open) }

// Add takes a job.
func (q *Queue) Add(now time.Time, j Job) {
	j.added = now
	q.jobs = append(q.jobs, j)
}

// Cancel drops the jobs of a request. Results of calls under way are freed when they come.
func (q *Queue) Cancel(request string) {
	q.jobs = slices.DeleteFunc(q.jobs, func(j Job) bool { return j.Request == request })
	for _, o := range q.open {
		for _, j := range o.jobs {
			if j.Request == request {
				q.dropped[keyOf(j)] = true
			}
		}
	}
}

// Next returns calls to send now, and replies to jobs that cannot be made any more.
func (q *Queue) Next(now time.Time) ([]Call, []Reply) {
	q.expire(now)
	replies := q.dropLate(now)
	if len(q.jobs) == 0 {
		q.rate, q.since = 0, time.Time{} // nothing waits, so the rate says nothing about the capacity
		return nil, replies
	}
	if !slices.ContainsFunc(q.sorted(), func(t *target) bool { return t.present && !t.Avoid }) {
		return nil, append(replies, q.refuseAll()...)
	}
	var calls []Call
	for _, t := range q.sorted() {
		for q.mayCall(t, now) {
			q.order(now, t.DataCentre)
			jobs := q.fill(t, now)
			if len(jobs) == 0 {
				break
			}
			calls = append(calls, q.begin(t, jobs, now))
		}
	}
	return calls, append(replies, q.refuseLate(now)...)
}

func (q *Queue) mayCall(t *target, now time.Time) bool {
	return q.usable(t, now) && t.calls < q.pool.Slots && len(q.jobs) > 0 && !q.othersAreSooner(t, now)
}

func (q *Queue) usable(t *target, now time.Time) bool {
	return t.present && !t.Avoid && !now.Before(t.pause)
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

// sorted returns the targets with the least used room first.
func (q *Queue) sorted() []*target {
	out := make([]*target, 0, len(q.targets))
	for _, t := range q.targets {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.calls, b.calls), cmp.Compare(a.used, b.used), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// callTime is the approximate time of a call with n pieces.
func (q *Queue) callTime(n int) time.Duration {
	return q.pool.CallTime.Duration() + time.Duration(n)*q.pool.ItemTime.Duration()
}

// dropLate gives up jobs whose result could not be used any more, and those whose inputs have waited so long that they will be
// forgotten before the call. To make such inputs again would add to the load that made them wait.
func (q *Queue) dropLate(now time.Time) []Reply {
	var out []Reply
	end := now.Add(q.callTime(1))
	most := q.inputsLife()
	q.jobs = slices.DeleteFunc(q.jobs, func(j Job) bool {
		late := end.After(j.Deadline) || len(j.Inputs) > 0 && most > 0 && now.Sub(j.added) > most
		if late {
			out = append(out, q.reply(j, Outcome{Reason: ReasonLate}, ""))
		}
		return late
	})
	return out
}

func (q *Queue) refuseAll() []Reply {
	var out []Reply
	for _, j := range q.jobs {
		out = append(out, q.reply(j, Outcome{Reason: ReasonRefused}, ""))
	}
	q.jobs = nil
	return out
}

func (q *Queue) reply(j Job, o Outcome, upstream string) Reply {
	delete(q.tries, keyOf(j))
	return Reply{j, o, upstream}
}

// late reports whether a job that starts now makes its request late.
func (q *Queue) late(j Job, now time.Time) bool { return now.Add(q.callTime(1)).After(j.Due) }

// class orders jobs before their times do. Requests that hold memory here come first, because it is free again only when
// they are done. A request that will be late is worth little, so it yields to some that can still be on time; without this,
// one burst beyond capacity makes each request after it late as well. Pieces with inputs do not yield: their request has been
// worked on, and the inputs would be forgotten.
func (q *Queue) class(j Job, now time.Time) int {
	switch {
	case q.begun[j.Request] > 0:
		return -1
	case len(j.Inputs) == 0 && q.late(j, now):
		return j.Rank + lateRanks
	}
	return j.Rank
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
		out = append(out, q.reply(j, Outcome{Reason: ReasonRefused}, ""))
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

func (q *Queue) begin(t *target, jobs []Job, now time.Time) Call {
	q.nextID++
	t.calls++
	for _, j := range jobs {
		t.used += j.Bytes
		q.tries[keyOf(j)]++
	}
	q.open[q.nextID] = open{t.ID, jobs, now}
	patience := time.Duration(q.pool.Queue+1)*q.callTime(q.pool.Batch)*patienceX/2 + patienceMore
	return Call{ID: q.nextID, Upstream: t.ID, Address: t.Address, Jobs: jobs, Patience: patience}
}

// Done takes the end of a call. It returns replies, and handles that no one wants.
func (q *Queue) Done(now time.Time, id uint64, result CallResult, outcomes []Outcome) ([]Reply, []string) {
	o := q.open[id]
	delete(q.open, id)
	t := q.targets[o.target]
	t.calls--
	if result == Answered && len(outcomes) != len(o.jobs) {
		result = Broken
	}
	switch result {
	case Answered:
		t.fails = 0
		q.measure(now, len(o.jobs))
		q.notePace(t, o, now, outcomes)
	case Full:
		t.pause = now.Add(fullPause)
	case Moved, Broken:
		t.pause = now.Add(min(brokenPause<<t.fails, mostPause))
		t.fails = min(t.fails+1, 8)
	}
	var replies []Reply
	var unwanted []string
	for i, j := range o.jobs {
		out := Outcome{Reason: ReasonLost}
		if result == Answered {
			out = outcomes[i]
		}
		if out.Handle != "" {
			t.room[out.Handle] = held{j.Request, j.Bytes, now.Add(q.pool.HandleFor.Duration())}
		} else {
			t.used -= j.Bytes
			q.leave(j.Request)
		}
		if out.Reason == ReasonNoRoom {
			t.limit = max(float64(t.used), leastRoom*q.pool.RoomMB*bytesPerMB)
			t.blocked = now.Add(roomPause)
		}
		if q.dropped[keyOf(j)] {
			delete(q.dropped, keyOf(j))
			delete(q.tries, keyOf(j))
			if out.Handle != "" {
				unwanted = append(unwanted, out.Handle)
			}
			continue
		}
		if q.again(j, result, out) {
			q.jobs = append(q.jobs, j)
			continue
		}
		replies = append(replies, q.reply(j, out, o.target))
	}
	if !t.present && t.calls == 0 {
		q.forget(t)
		delete(q.targets, t.ID)
	}
	return replies, unwanted
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

// again reports whether a job goes back into the queue.
func (q *Queue) again(j Job, result CallResult, out Outcome) bool {
	if out.Handle != "" {
		return false
	}
	if result == Full || result == Answered && out.Reason == ReasonNoRoom {
		q.tries[keyOf(j)]-- // it was not run
		return true
	}
	if q.tries[keyOf(j)] >= maxTries {
		return false
	}
	return result != Answered || out.Reason == ReasonError
}

// Free takes handles whose results are not needed any more and returns them by the address of the upstream that has them.
func (q *Queue) Free(handles []string) map[string][]string {
	out := map[string][]string{}
	for _, h := range handles {
		for _, t := range q.targets {
			if r, ok := t.room[h]; ok {
				t.used -= r.bytes
				t.limit = min(t.limit+roomGrow*q.pool.RoomMB*bytesPerMB, q.pool.RoomMB*bytesPerMB)
				t.blocked = time.Time{}
				q.leave(r.request)
				delete(t.room, h)
				out[t.Address] = append(out[t.Address], h)
			}
		}
	}
	return out
}

// expire forgets results that their upstreams have forgotten.
func (q *Queue) expire(now time.Time) {
	for _, t := range q.targets {
		for h, r := range t.room {
			if now.After(r.until) {
				t.used -= r.bytes
				q.leave(r.request)
				delete(t.room, h)
			}
		}
	}
}

// Wait returns how long the jobs that wait keep the upstreams busy, roughly.
func (q *Queue) Wait() time.Duration {
	ready := 0
	for _, t := range q.targets {
		if t.present && !t.Avoid {
			ready++
		}
	}
	if ready == 0 || q.pool.Batch < 1 {
		return 0
	}
	calls := len(q.jobs)/q.pool.Batch + len(q.open)
	return time.Duration(calls) * q.callTime(q.pool.Batch) / time.Duration(ready)
}
