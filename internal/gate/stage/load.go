package stage

import (
	"math"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/gate/speed"
)

// load is what is known of the speed and the load of an upstream.
type load struct {
	report     speed.Report
	foreign    int // calls of other senders at the last report
	reportedAt time.Time

	// Forecasts, updated by each call to Next.
	factor float64 // duration of calls, relative to the median upstream
	ahead  float64 // duration of the work at the upstream and of a further call, in calls at the median upstream
}

// foreignTime is for how long calls of other senders count after a report. Calls usually end within that time.
const foreignTime = 500 * time.Millisecond

// foreignCalls returns the calls of other senders at the upstream. There are some while two nodes both take themselves for the
// owner of the queue.
func (l *load) foreignCalls(now time.Time) int {
	if l.foreign == 0 || now.Sub(l.reportedAt) > foreignTime {
		return 0
	}
	return l.foreign
}

// ReportLoad records what an upstream reported with the answer to a call. It must be called before Done.
func (q *Queue) ReportLoad(now time.Time, upstream string, l speed.Load) {
	t := q.targets[upstream]
	if t == nil {
		return
	}
	// The figures do not tell whose calls they count, so that own calls are subtracted.
	t.load.foreign, t.load.reportedAt = max(l.Running+l.Waiting-t.calls, 0), now
	if l.Duration > 0 {
		t.load.report.Add(now, l.Duration)
	}
}

// learnSpeed learns from a call that yielded all of its results.
func (q *Queue) learnSpeed(t *target, now time.Time, pieces int, took time.Duration) {
	estimate := q.speeds.Estimate(now, t.ID)
	expected := time.Duration(estimate * float64(q.callTime(pieces)))
	q.speeds.Learn(now, t.ID, took, expected, expected)
	q.callTimes.Learn(pieces, time.Duration(float64(took)/estimate))
}

// forecastEnd returns when a call is expected to end.
func (q *Queue) forecastEnd(o openCall) time.Time {
	return o.sentAt.Add(time.Duration(o.factor * float64(q.callTime(len(o.jobs)))))
}

// minFasterRatio is the least ratio of the factors of two upstreams at which calls wait for the faster one.
const minFasterRatio = 1.15

// fasterFinishSooner reports whether faster upstreams of the same data centre complete all waiting pieces before a call to this one
// would end, although they may be busy now. Upstreams of other data centres are not compared, since shouldWaitForHome decides between
// these.
//
// What holds for an upstream also holds for a slower one, as long as no call begins.
func (q *Queue) fasterFinishSooner(t *target, now time.Time) bool {
	if held, ok := q.heldBack[t.DataCentre]; ok && t.load.factor >= held {
		return true
	}
	if !q.waitsForFaster(t, now) {
		return false
	}
	q.heldBack[t.DataCentre] = t.load.factor
	return true
}

func (q *Queue) waitsForFaster(t *target, now time.Time) bool {
	var faster []*target
	for _, other := range q.targets {
		if q.isFaster(other, t, now) {
			faster = append(faster, other)
		}
	}
	if len(faster) == 0 || !q.completeWithin(faster, t.load.factor, now) {
		return false
	}
	// Idle upstreams that lack memory for a request would not take it, so that it would wait until memory is freed.
	largest, all := q.waitingBytes()
	faster = slices.DeleteFunc(faster, func(other *target) bool { return q.memoryLimit(other)-other.usedBytes < largest })
	for _, other := range faster {
		all -= q.memoryLimit(other) - other.usedBytes
	}
	return all <= 0 && q.completeWithin(faster, t.load.factor, now)
}

// waitingBytes returns the size of the waiting results of the request with the largest ones, and of all.
func (q *Queue) waitingBytes() (largest, all int64) {
	for _, g := range q.groups {
		largest = max(largest, q.pendingBytes(g.first().Request))
		all += g.bytes
	}
	return largest, all
}

// isFaster reports whether an upstream takes calls and is clearly faster than another one in its data centre.
func (q *Queue) isFaster(other, t *target, now time.Time) bool {
	return other.load.factor*minFasterRatio < t.load.factor && other.load.factor > 0 && other.DataCentre == t.DataCentre &&
		other.durationRatio < slowDurationRatio && !now.Before(other.memoryFullUntil) && q.available(other, now)
}

// completeWithin reports whether upstreams complete all waiting pieces before a call ends that begins now at an upstream with a
// factor.
func (q *Queue) completeWithin(list []*target, factor float64, now time.Time) bool {
	next := float64(q.callTime(min(q.waiting, q.pool.Batch)))
	left := factor * next
	calls := 0.0
	for _, t := range list {
		calls += float64(max(q.pool.Slots-t.calls, 0)) * t.callsWithin(next, left)
		if t.calls == 0 {
			continue
		}
		for _, o := range q.open {
			if o.target == t.ID {
				calls += t.callsWithin(next, left-remaining(now, q.forecastEnd(o)))
			}
		}
	}
	return float64(q.waiting) <= calls*float64(q.pool.Batch)
}

// callsWithin returns how many calls one slot of an upstream completes in the time left. call is the duration of a call at the median
// upstream.
func (t *target) callsWithin(call, left float64) float64 {
	return max(math.Floor(left/(t.load.factor*call)), 0)
}

// remaining returns for how many more nanoseconds a call is expected to run. One that is overdue is expected to take as long again
// as it is overdue, so that work does not wait for an upstream that hangs.
func remaining(now, end time.Time) float64 {
	if now.After(end) {
		return float64(now.Sub(end))
	}
	return float64(end.Sub(now))
}
