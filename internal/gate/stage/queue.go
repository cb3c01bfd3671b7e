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
	Spent    Spent
}

// Waited returns how long a job has been in the queue.
func (j Job) Waited(now time.Time) time.Duration { return now.Sub(j.added) }

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
	QueueFull                // the upstream did not run it because its queue is full
	Moved               // another upstream has the address by now
	Broken              // not sent, or not answered in time
)

// Times of a Queue.
const (
	fullPause    = 30 * time.Millisecond  // before the next call to an upstream that was full
	roomPause    = 100 * time.Millisecond // the same, without room for a result, unless one is freed earlier
	brokenPause  = 500 * time.Millisecond
	mostPause    = 8 * time.Second
	sweepEvery   = 20 * time.Millisecond // for expired results; short against the time that they are kept
	patienceX    = 6                     // times the time that a call should take
	patienceMore = 500 * time.Millisecond
	maxTries     = 3 // calls that one job is part of
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
	groups  []*group
	// byRequest finds the groups of a request.
	byRequest map[string][]*group
	waiting   int // jobs in groups
	tries     map[Key]int
	open      map[uint64]open
	dropped   map[Key]bool   // cancelled while part of a call
	begun     map[string]int // results and pieces under way here, by request
	nextID    uint64
	swept     time.Time // when results were last looked through for expired ones

	tally  Tally
	filled float64 // part of the places of a call that are used, as a mean of the latest calls

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
		begun: map[string]int{}, byRequest: map[string][]*group{},
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

// Rate returns the pieces a second that were made lately while others waited; 0: not known.
func (q *Queue) Rate() float64 { return q.rate }

// Len returns the number of jobs that wait.
func (q *Queue) Len() int { return q.waiting }

// Add takes a job.
func (q *Queue) Add(now time.Time, j Job) {
	j.added = now
	q.push(j)
}

// Cancel drops the jobs of a request. Results of calls under way are freed when they come.
func (q *Queue) Cancel(request string) {
	if len(q.byRequest[request]) > 0 {
		q.keep(func(g *group) bool { return g.first().Request != request })
	}
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
	if q.waiting == 0 {
		q.rate, q.since = 0, time.Time{} // nothing waits, so the rate says nothing about the capacity
		return nil, replies
	}
	if !slices.ContainsFunc(q.sorted(), func(t *target) bool { return t.present && !t.Avoid }) {
		return nil, append(replies, q.refuseAll(now)...)
	}
	q.classify(now)
	var calls []Call
	for _, t := range q.sorted() {
		for q.mayCall(t, now) {
			q.order(t.DataCentre)
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
	return q.usable(t, now) && t.calls < q.pool.Slots && q.waiting > 0 && !q.othersAreSooner(t, now)
}

func (q *Queue) usable(t *target, now time.Time) bool {
	return t.present && !t.Avoid && !now.Before(t.pause)
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
	q.keep(func(g *group) bool {
		j := g.first()
		if !end.After(j.Deadline) && (len(j.Inputs) == 0 || most <= 0 || now.Sub(g.added) <= most) {
			return true
		}
		out = append(out, q.giveUp(now, g, ReasonLate)...)
		return false
	})
	return out
}

func (q *Queue) refuseAll(now time.Time) []Reply {
	var out []Reply
	q.keep(func(g *group) bool {
		out = append(out, q.giveUp(now, g, ReasonRefused)...)
		return false
	})
	return out
}

// giveUp ends all jobs of a group.
func (q *Queue) giveUp(now time.Time, g *group, reason Reason) []Reply {
	out := make([]Reply, len(g.jobs))
	for i, j := range g.jobs {
		out[i] = q.reply(now, time.Time{}, j, Outcome{Reason: reason}, "")
	}
	return out
}

// reply ends a job. began is when its last call was sent; zero: it was part of none.
func (q *Queue) reply(now, began time.Time, j Job, o Outcome, upstream string) Reply {
	spent := Spent{Queued: now.Sub(j.added), Calls: q.tries[keyOf(j)]}
	if !began.IsZero() {
		spent.Queued, spent.InCall = began.Sub(j.added), now.Sub(began)
	}
	delete(q.tries, keyOf(j))
	q.tally.count(o)
	return Reply{j, o, upstream, spent}
}

func (q *Queue) begin(t *target, jobs []Job, now time.Time) Call {
	q.nextID++
	t.calls++
	for _, j := range jobs {
		t.used += j.Bytes
		q.tries[keyOf(j)]++
	}
	q.open[q.nextID] = open{t.ID, jobs, now}
	q.filled += filledWeight * (float64(len(jobs))/float64(q.pool.Batch) - q.filled)
	q.tally.Calls++
	q.tally.Pieces += len(jobs)
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
	case QueueFull:
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
			q.tally.place(j, t.DataCentre)
			t.room[out.Handle] = held{j.Request, j.Bytes, now.Add(q.pool.HandleFor.Duration())}
		} else {
			t.used -= j.Bytes
			q.leave(j.Request)
		}
		if out.Reason == ReasonNoRoom {
			q.tally.NoRoom++
			t.limit = max(float64(t.used), leastRoom*q.pool.RoomMB*bytesPerMB)
			t.blocked = now.Add(roomPause)
		}
		if q.dropped[keyOf(j)] {
			delete(q.dropped, keyOf(j))
			delete(q.tries, keyOf(j))
			if out.Handle != "" {
				unwanted = append(unwanted, out.Handle)
				q.tally.Unwanted++
			}
			continue
		}
		if q.again(j, result, out) {
			q.push(j)
			continue
		}
		replies = append(replies, q.reply(now, o.began, j, out, o.target))
	}
	if !t.present && t.calls == 0 {
		q.forget(t)
		delete(q.targets, t.ID)
	}
	return replies, unwanted
}

// again reports whether a job goes back into the queue.
func (q *Queue) again(j Job, result CallResult, out Outcome) bool {
	if out.Handle != "" {
		return false
	}
	if result == QueueFull || result == Answered && out.Reason == ReasonNoRoom {
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

// Adopt takes a result into account that an upstream made for the node which kept this queue before. It returns false if the
// result is known or its upstream is not.
func (q *Queue) Adopt(now time.Time, upstream, handle, request string, bytes int64, left time.Duration) bool {
	t := q.targets[upstream]
	if t == nil {
		return false
	}
	if _, known := t.room[handle]; known {
		return false
	}
	t.room[handle] = held{request, bytes, now.Add(left)}
	t.used += bytes
	q.begun[request]++
	return true
}

// expire forgets results that their upstreams have forgotten.
func (q *Queue) expire(now time.Time) {
	if now.Sub(q.swept) < sweepEvery {
		return
	}
	q.swept = now
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
