package stage

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/gate/pace"
)

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

// CallResult tells how a call ended.
type CallResult uint8

// Results of a call.
const (
	Answered      CallResult = iota + 1
	QueueFull                // the upstream rejected the call because its queue is full; the pieces did not run
	AddressReused            // another upstream now has the address
	CallFailed               // not sent, or no valid response in time
)

type openCall struct {
	target string
	jobs   []Job
	sentAt time.Time
	factor float64 // forecast factor of the target when it was sent
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
	q.noteResult(t, o, now, result, outcomes)
	var replies []Reply
	var unwanted []string
	for i, j := range o.jobs {
		out := Outcome{Reason: ReasonLost}
		if result == Answered {
			out = outcomes[i]
		}
		q.storeOutcome(t, j, now, out)
		switch {
		case q.cancelled[keyOf(j)]:
			delete(q.cancelled, keyOf(j))
			delete(q.attempts, keyOf(j))
			if out.Handle != "" {
				unwanted = append(unwanted, out.Handle)
				q.counters.Unwanted++
			}
		case q.shouldRetry(j, result, out):
			q.enqueue(j)
		default:
			replies = append(replies, q.reply(now, o.sentAt, j, out, o.target))
		}
	}
	if !t.present && t.calls == 0 && !t.pace.HasRecentSends(now) {
		q.releaseTarget(t)
		delete(q.targets, t.ID)
	}
	return replies, unwanted
}

// noteResult notes at the upstream how a call to it ended.
func (q *Queue) noteResult(t *target, o openCall, now time.Time, result CallResult, outcomes []Outcome) {
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
}

// storeOutcome counts the result of a job, or that there is none, at its upstream.
func (q *Queue) storeOutcome(t *target, j Job, now time.Time, out Outcome) {
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
