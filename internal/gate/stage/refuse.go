package stage

import (
	"time"

	"github.com/berylledge/berylledge/internal/gate/pace"
)

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
