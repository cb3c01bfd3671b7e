package stage

import (
	"time"

	"github.com/berylledge/berylledge/internal/gate/pace"
)

// Target is an upstream of the service.
type Target struct {
	ID         string
	Address    string
	DataCentre string
	Avoid      bool // it does not respond or is draining
	Pace       pace.Upstream
}

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

func (q *Queue) available(t *target, now time.Time) bool {
	return t.present && !t.Avoid && !now.Before(t.pausedUntil) && q.mayCall(t, now)
}
