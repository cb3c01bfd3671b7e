package stage

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/speed"
)

// Job is a piece that waits to be computed.
type Job struct {
	Item
	Rank     int       // priority; 0 is the most urgent
	Order    int       // within the rank and class; lower comes first
	Home     string    // data centre that needs the result
	Bytes    int64     // approximate size of the result
	Due      time.Time // when it must be done for its request to be on time
	Deadline time.Time // when its result becomes useless
	Tag      uint64    // set by the caller and returned in the Reply

	added time.Time
}

// Call is a batch of jobs to send to an upstream.
type Call struct {
	ID       uint64
	Upstream string
	Address  string
	// StartedMs is the start of the upstream, Unix milliseconds.
	StartedMs int64
	Jobs      []Job
	// Timeout is how long the call may take before it counts as failed.
	Timeout time.Duration
}

// Reply is the final outcome of a job.
type Reply struct {
	Job
	Outcome
	Upstream string
	Timing   PieceTiming
}

// Waited returns how long a job has been queued.
func (j Job) Waited(now time.Time) time.Duration { return now.Sub(j.added) }

// Target is an upstream of the service.
type Target struct {
	ID         string
	Address    string
	DataCentre string
	Avoid      bool // it does not respond or is draining
	Pace       pace.Upstream
}

// CallResult tells how a call ended.
type CallResult uint8

// Results of a call.
const (
	Answered      CallResult = iota + 1
	QueueFull                // the upstream rejected the call because its queue is full; the pieces did not run
	AddressReused            // another upstream now has the address
	CallFailed               // not sent, or no valid response in time
)

// Timing and retry limits of a Queue.
const (
	fullBackoff    = 30 * time.Millisecond  // before the next call to an upstream whose queue was full
	memoryBackoff  = 100 * time.Millisecond // before the next call after a result did not fit into memory, unless one is freed earlier
	initialBackoff = 500 * time.Millisecond // after a failed call; doubles with each further failure
	maxBackoff     = 8 * time.Second
	expireInterval = 20 * time.Millisecond // between removals of expired results; short compared to their lifetime
	timeoutFactor  = 6                     // multiple of the expected duration of a call
	timeoutMargin  = 500 * time.Millisecond
	maxCallsPerJob = 3 // calls that may include the same job
)

type target struct {
	Target
	present         bool
	calls           int
	pausedUntil     time.Time
	failures        int
	results         map[string]storedResult // by handle
	usedBytes       int64                   // of stored results and of those being computed
	limitBytes      float64                 // estimated memory limit; result sizes are approximate
	memoryFullUntil time.Time               // no results are placed here until then, unless one is freed
	durationRatio   float64                 // moving average of actual to expected call duration
	lastCallEnd     time.Time
	load            load
	pace            pace.State
}

type storedResult struct {
	request string
	bytes   int64
	expires time.Time // when the upstream discards it
}

type openCall struct {
	target string
	jobs   []Job
	sentAt time.Time
	factor float64 // forecast factor of the target when it was sent
}

// Queue dispatches the pieces of one service in one region to its upstreams. It is not safe for concurrent use.
type Queue struct {
	pool    conf.Pool
	targets map[string]*target
	groups  []*group
	// byRequest indexes the groups by request.
	byRequest     map[string][]*group
	waiting       int // number of jobs in groups
	attempts      map[Key]int
	open          map[uint64]openCall
	cancelled     map[Key]bool   // jobs cancelled while part of a call
	memoryHolders map[string]int // number of stored results and of pieces in calls, by request
	lastID        uint64
	lastExpiry    time.Time // when expired results were last removed

	counters  Counters
	fillRatio float64 // moving average of the used fraction of a call's places

	rate      float64   // recently completed pieces per second while others waited; 0: unknown
	rateCount int       // pieces completed since rateStart
	rateStart time.Time // start of the current rate interval; zero: nothing waited
	owner     *pace.Owner

	callTimes speed.CallTimes
	speeds    *speed.Table
	heldBack  map[string]float64 // by data centre, the factor from which upstreams wait for faster ones; during Next
}

const bytesPerMB = 1e6

// Key identifies a job.
type Key struct {
	Request string
	Stage   int
	Piece   int
}

func keyOf(j Job) Key { return Key{j.Request, j.Stage, j.Piece} }

// NewQueue returns an empty queue.
func NewQueue(pool conf.Pool) *Queue {
	q := &Queue{
		targets: map[string]*target{}, attempts: map[Key]int{}, open: map[uint64]openCall{}, cancelled: map[Key]bool{},
		memoryHolders: map[string]int{}, byRequest: map[string][]*group{}, owner: pace.NewOwner(pace.Bounds{}),
		speeds: speed.New(), heldBack: map[string]float64{},
	}
	q.SetPool(pool)
	return q
}

// SetOwned tells whether this node is the one that owns the queue, by its own view. Before, cold upstreams get no calls.
func (q *Queue) SetOwned(now time.Time, owned bool) { q.owner.Set(now, owned) }

// SetIsolated tells whether this node may have lost the others, so that another one may call these upstreams too.
func (q *Queue) SetIsolated(now time.Time, isolated bool) { q.owner.SetIsolated(now, isolated) }

// SetBounds sets the bounds of cold upstreams.
func (q *Queue) SetBounds(b pace.Bounds) { q.owner = pace.NewOwner(b) }

// SetPool updates the properties of the upstreams.
func (q *Queue) SetPool(pool conf.Pool) {
	q.pool = pool
	q.callTimes.Configure(pool.CallTime.Duration(), pool.ItemTime.Duration())
}

// SetTargets replaces the set of upstreams. One with calls in flight is removed when they end.
func (q *Queue) SetTargets(list []Target) {
	for _, t := range q.targets {
		t.present = false
	}
	for _, t := range list {
		have := q.targets[t.ID]
		if have == nil {
			have = &target{results: map[string]storedResult{}, limitBytes: q.pool.ResultMemoryMB * bytesPerMB, durationRatio: 1}
			q.targets[t.ID] = have
		}
		if have.Pace.StartedMs != t.Pace.StartedMs {
			q.speeds.Forget(t.ID)
			have.load = load{}
		}
		have.Target, have.present = t, true
		have.pace.Update(t.Pace)
	}
	for id, t := range q.targets {
		if !t.present && t.calls == 0 && !t.pace.HasRecentSends(q.lastExpiry) {
			q.releaseTarget(t)
			delete(q.targets, id)
		}
	}
}

// releaseTarget drops the accounting of an upstream that has been removed.
func (q *Queue) releaseTarget(t *target) {
	q.speeds.Forget(t.ID)
	for _, r := range t.results {
		q.releaseOne(r.request)
	}
}

// releaseOne decrements the number of results and pieces in calls of a request.
func (q *Queue) releaseOne(request string) {
	if q.memoryHolders[request]--; q.memoryHolders[request] <= 0 {
		delete(q.memoryHolders, request)
	}
}

// Rate returns the recently completed pieces per second while others waited; 0: unknown.
func (q *Queue) Rate() float64 { return q.rate }

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return q.waiting }

// Add enqueues a job.
func (q *Queue) Add(now time.Time, j Job) {
	j.added = now
	q.enqueue(j)
}

// Cancel removes the waiting jobs of a request. Results of its calls in flight are returned as unwanted by Done.
func (q *Queue) Cancel(request string) {
	if len(q.byRequest[request]) > 0 {
		q.filterGroups(func(g *group) bool { return g.first().Request != request })
	}
	for _, o := range q.open {
		for _, j := range o.jobs {
			if j.Request == request {
				q.cancelled[keyOf(j)] = true
			}
		}
	}
}

// Next returns the calls to send now, and replies for jobs that cannot be computed.
func (q *Queue) Next(now time.Time) ([]Call, []Reply) {
	q.expire(now)
	replies := q.dropExpired(now)
	if q.waiting == 0 {
		q.rate, q.rateStart = 0, time.Time{} // nothing waits, so the rate does not reflect the capacity
		return nil, replies
	}
	targets := q.targetsByFinish(now)
	if !slices.ContainsFunc(targets, func(t *target) bool { return t.present && !t.Avoid }) {
		return nil, append(replies, q.refuseAll(now)...)
	}
	replies = append(replies, q.refuseBlocked(now)...)
	q.classify(now)
	clear(q.heldBack)
	var calls []Call
	for _, t := range targets {
		for q.canCall(t, now) {
			q.sortGroups(t.DataCentre)
			jobs := q.fillCall(t, now)
			if len(jobs) == 0 {
				break
			}
			calls = append(calls, q.startCall(t, jobs, now))
		}
	}
	return calls, append(replies, q.refuseLate(now)...)
}

func (q *Queue) canCall(t *target, now time.Time) bool {
	return q.available(t, now) && t.calls < q.pool.Slots && q.waiting > 0 && !q.othersFinishSooner(t, now)
}

func (q *Queue) available(t *target, now time.Time) bool {
	return t.present && !t.Avoid && !now.Before(t.pausedUntil) && q.mayCall(t, now)
}

// mayCall reports whether the state of an upstream permits a call. The window of one that has just started does not count if most
// of the others have started, too.
func (q *Queue) mayCall(t *target, now time.Time) bool {
	v := t.pace.Allow(now, q.owner)
	if v.OK || v.Cause != pace.New {
		return v.OK
	}
	fresh, all := 0, 0
	for _, t := range q.targets {
		if t.present && !t.Avoid && !now.Before(t.pausedUntil) {
			all++
			if t.pace.SlowStart && t.pace.IsNew(now) {
				fresh++
			}
		}
	}
	return pace.StartedTogether(fresh, all)
}

// targetsByFinish returns the targets sorted by the forecast duration of the work at each, a further call included, then by used
// memory and ID. It computes the factors of the targets.
func (q *Queue) targetsByFinish(now time.Time) []*target {
	out := make([]*target, 0, len(q.targets))
	for _, t := range q.targets {
		t.load.factor = t.load.report.Blend(now, q.speeds.Factor(now, t.ID))
		t.load.ahead = t.load.factor * float64(t.calls+1+t.load.foreignCalls(now))
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.load.ahead, b.load.ahead), cmp.Compare(a.usedBytes, b.usedBytes), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// callTime returns the expected duration of a call with n pieces at the median upstream, as learnt from calls.
func (q *Queue) callTime(n int) time.Duration {
	return q.callTimes.Expected(n)
}

// dropExpired drops jobs whose results would be useless, and jobs that have waited so long that their inputs will
// expire before the call. Recomputing such inputs would add to the load that made the jobs wait.
func (q *Queue) dropExpired(now time.Time) []Reply {
	var out []Reply
	end := now.Add(q.callTime(1))
	maxWait := q.inputLifetime()
	q.filterGroups(func(g *group) bool {
		j := g.first()
		if !end.After(j.Deadline) && (len(j.Inputs) == 0 || maxWait <= 0 || now.Sub(g.added) <= maxWait) {
			return true
		}
		out = append(out, q.endGroup(now, g, ReasonLate)...)
		return false
	})
	return out
}

func (q *Queue) refuseAll(now time.Time) []Reply {
	cause := pace.None
	for _, t := range q.targets {
		if t.present && t.pace.Leaving {
			cause = pace.Leaving
		}
	}
	var out []Reply
	q.filterGroups(func(g *group) bool {
		for _, r := range q.endGroup(now, g, ReasonRefused) {
			r.Cause, r.NoUpstream = cause, true
			out = append(out, r)
		}
		return false
	})
	return out
}

// refuseBlocked ends the jobs that no upstream can compute in time, because all of them are paused for longer.
func (q *Queue) refuseBlocked(now time.Time) []Reply {
	first := pace.Verdict{OK: true}
	for _, t := range q.targets {
		if !t.present || t.Avoid {
			continue
		}
		v := t.pace.Allow(now, q.owner)
		if v.Cause != pace.Paused && v.Cause != pace.Leaving {
			return nil
		}
		first = first.Earlier(v)
	}
	if first.OK || first.From.IsZero() {
		return nil
	}
	var out []Reply
	q.filterGroups(func(g *group) bool {
		if !first.From.Add(q.callTime(1)).After(g.first().Deadline) {
			return true
		}
		for _, r := range q.endGroup(now, g, ReasonRefused) {
			r.RetryIn, r.Cause = first.From.Sub(now), first.Cause
			out = append(out, r)
		}
		return false
	})
	return out
}

// endGroup returns replies that end all jobs of a group with a reason.
func (q *Queue) endGroup(now time.Time, g *group, reason Reason) []Reply {
	out := make([]Reply, len(g.jobs))
	for i, j := range g.jobs {
		out[i] = q.reply(now, time.Time{}, j, Outcome{Reason: reason}, "")
	}
	return out
}

// reply ends a job. began is when its last call was sent; zero if it was not part of any call.
func (q *Queue) reply(now, began time.Time, j Job, o Outcome, upstream string) Reply {
	spent := PieceTiming{Queued: now.Sub(j.added), Attempts: q.attempts[keyOf(j)]}
	if !began.IsZero() {
		spent.Queued, spent.InCall = began.Sub(j.added), now.Sub(began)
	}
	delete(q.attempts, keyOf(j))
	q.counters.addOutcome(o)
	return Reply{j, o, upstream, spent}
}

func (q *Queue) startCall(t *target, jobs []Job, now time.Time) Call {
	q.lastID++
	t.calls++
	clear(q.heldBack)
	t.pace.Sent(now, q.owner)
	for _, j := range jobs {
		t.usedBytes += j.Bytes
		q.attempts[keyOf(j)]++
	}
	q.open[q.lastID] = openCall{t.ID, jobs, now, t.load.factor}
	q.fillRatio += fillRatioWeight * (float64(len(jobs))/float64(q.pool.Batch) - q.fillRatio)
	q.counters.Calls++
	q.counters.Pieces += len(jobs)
	configured := q.pool.CallTime.Duration() + time.Duration(q.pool.Batch)*q.pool.ItemTime.Duration()
	timeout := time.Duration(q.pool.Queue+1)*max(q.callTime(q.pool.Batch), configured)*timeoutFactor/2 + timeoutMargin
	return Call{ID: q.lastID, Upstream: t.ID, Address: t.Address, StartedMs: t.Pace.StartedMs, Jobs: jobs, Timeout: timeout}
}

// Done records the end of a call. It returns replies for the finished jobs, and the handles of results whose requests
// were cancelled.
func (q *Queue) Done(now time.Time, id uint64, result CallResult, outcomes []Outcome) ([]Reply, []string) {
	o := q.open[id]
	delete(q.open, id)
	t := q.targets[o.target]
	t.calls--
	t.pace.Ended()
	if result == Answered && len(outcomes) != len(o.jobs) {
		result = CallFailed
	}
	switch result {
	case Answered:
		t.pace.Took(now, now.Sub(o.sentAt), q.callTime(len(o.jobs)), 1)
		t.failures = 0
		q.updateRate(now, len(o.jobs))
		q.learnDuration(t, o, now, outcomes)
	case QueueFull:
		t.pace.Failed(now)
		t.pausedUntil = now.Add(fullBackoff)
	case AddressReused, CallFailed:
		t.pace.Failed(now)
		t.pausedUntil = now.Add(min(initialBackoff<<t.failures, maxBackoff))
		t.failures = min(t.failures+1, 8)
	}
	var replies []Reply
	var unwanted []string
	for i, j := range o.jobs {
		out := Outcome{Reason: ReasonLost}
		if result == Answered {
			out = outcomes[i]
		}
		if out.Handle != "" {
			q.counters.addPlacement(j, t.DataCentre)
			t.results[out.Handle] = storedResult{j.Request, j.Bytes, now.Add(q.pool.HandleTTL.Duration())}
		} else {
			t.usedBytes -= j.Bytes
			q.releaseOne(j.Request)
		}
		if out.Reason == ReasonNoRoom {
			q.counters.NoRoom++
			t.limitBytes = max(float64(t.usedBytes), minLimitFraction*q.pool.ResultMemoryMB*bytesPerMB)
			t.memoryFullUntil = now.Add(memoryBackoff)
		}
		if q.cancelled[keyOf(j)] {
			delete(q.cancelled, keyOf(j))
			delete(q.attempts, keyOf(j))
			if out.Handle != "" {
				unwanted = append(unwanted, out.Handle)
				q.counters.Unwanted++
			}
			continue
		}
		if q.shouldRetry(j, result, out) {
			q.enqueue(j)
			continue
		}
		replies = append(replies, q.reply(now, o.sentAt, j, out, o.target))
	}
	if !t.present && t.calls == 0 && !t.pace.HasRecentSends(now) {
		q.releaseTarget(t)
		delete(q.targets, t.ID)
	}
	return replies, unwanted
}

// shouldRetry reports whether a job goes back into the queue.
func (q *Queue) shouldRetry(j Job, result CallResult, out Outcome) bool {
	if out.Handle != "" {
		return false
	}
	if result == QueueFull || result == Answered && out.Reason == ReasonNoRoom {
		q.attempts[keyOf(j)]-- // it did not run
		return true
	}
	if q.attempts[keyOf(j)] >= maxCallsPerJob {
		return false
	}
	return result != Answered || out.Reason == ReasonError
}

// Free drops the accounting of results that are no longer needed and returns their handles by upstream address.
func (q *Queue) Free(handles []string) map[string][]string {
	out := map[string][]string{}
	for _, h := range handles {
		for _, t := range q.targets {
			if r, ok := t.results[h]; ok {
				t.usedBytes -= r.bytes
				t.limitBytes = min(t.limitBytes+limitGrowthFraction*q.pool.ResultMemoryMB*bytesPerMB, q.pool.ResultMemoryMB*bytesPerMB)
				t.memoryFullUntil = time.Time{}
				q.releaseOne(r.request)
				delete(t.results, h)
				out[t.Address] = append(out[t.Address], h)
			}
		}
	}
	return out
}

// Adopt adds the accounting of a result that an upstream computed for the node that owned this queue before. It returns
// false if the result is already known or the upstream is not.
func (q *Queue) Adopt(now time.Time, upstream, handle, request string, bytes int64, left time.Duration) bool {
	t := q.targets[upstream]
	if t == nil {
		return false
	}
	if _, known := t.results[handle]; known {
		return false
	}
	t.results[handle] = storedResult{request, bytes, now.Add(left)}
	t.usedBytes += bytes
	q.memoryHolders[request]++
	return true
}

// expire drops the accounting of results that their upstreams have discarded.
func (q *Queue) expire(now time.Time) {
	if now.Sub(q.lastExpiry) < expireInterval {
		return
	}
	q.lastExpiry = now
	for _, t := range q.targets {
		for h, r := range t.results {
			if now.After(r.expires) {
				t.usedBytes -= r.bytes
				q.releaseOne(r.request)
				delete(t.results, h)
			}
		}
	}
}
