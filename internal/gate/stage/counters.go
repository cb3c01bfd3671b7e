package stage

import "time"

// Tally counts what a queue has done since it was made.
type Tally struct {
	Calls    int // sent to upstreams
	Pieces   int // that these calls held
	Completed     int // pieces with a result
	NoRoom   int // times that an upstream had no memory for a piece's result
	Late     int // pieces given up because their time had passed
	Refused  int // pieces given up because no upstream would take them in time
	Failed  int // pieces that failed for another reason
	Unwanted int // results that no one wanted any more when they came

	Away      int   // results made in another data centre than the one that needs them
	AwayBytes int64 // of these
}

func (t *Tally) count(o Outcome) {
	switch {
	case o.Handle != "":
		t.Completed++
	case o.Reason == ReasonLate:
		t.Late++
	case o.Reason == ReasonRefused:
		t.Refused++
	default:
		t.Failed++
	}
}

// place counts a result by where it was made.
func (t *Tally) place(j Job, dataCentre string) {
	if j.Home != dataCentre {
		t.Away++
		t.AwayBytes += j.Bytes
	}
}

// Snapshot is the state of a queue at a moment.
type Snapshot struct {
	Counters     Tally
	Waiting   []int         // jobs by rank; ranks above the last position share it
	OldestWait    time.Duration // longest time that a job has waited
	Upstreams int           // that take work
	Busy      int           // calls under way
	Results   int           // that the queue keeps account of
	UsedBytes      int64         // bytes of these and of results being made
	LimitBytes     int64         // bytes that the upstreams seem to have room for
}

// ranksShown is the number of ranks that a snapshot tells apart.
const ranksShown = 6

// Snapshot describes the queue for logs and metrics.
func (q *Queue) Snapshot(now time.Time) Snapshot {
	s := Snapshot{Counters: q.tally, Waiting: make([]int, ranksShown)}
	for _, g := range q.groups {
		s.Waiting[min(max(g.first().Rank, 0), ranksShown-1)] += len(g.jobs)
		s.OldestWait = max(s.OldestWait, now.Sub(g.added))
	}
	for _, t := range q.targets {
		s.Busy += t.calls
		s.Results += len(t.room)
		s.UsedBytes += t.used
		if t.present && !t.Avoid {
			s.Upstreams++
			s.LimitBytes += int64(t.limit)
		}
	}
	return s
}

// StageSpan is one group of pieces of a stage, as the entry node of their request saw it.
type StageSpan struct {
	Stage int
	Start time.Time
	End time.Time
	Timing Spent // of the piece that took longest
}

// LatencyBreakdown says where the time of a request's stages went, along the chain of stages that ended last. Its parts add up to the
// time from the request's arrival to the end of its stages, less what failed and was asked for again.
type LatencyBreakdown struct {
	Before time.Duration // until the first stage of the chain was asked for
	Queued time.Duration // in queues
	InCall time.Duration // in calls of upstreams
	Transfer time.Duration // between entry nodes, and in the calls' way
}

// CriticalPath returns the split of the chain of legs that ended last.
func CriticalPath(after func(stage int) []int, began time.Time, legs []StageSpan) LatencyBreakdown {
	var out LatencyBreakdown
	leg := lastOf(legs, nil)
	for leg != nil {
		out.Queued += leg.Timing.Queued
		out.InCall += leg.Timing.InCall
		out.Transfer += leg.End.Sub(leg.Start) - leg.Timing.Queued - leg.Timing.InCall
		out.Before = leg.Start.Sub(began)
		before := after(leg.Stage)
		if len(before) == 0 {
			break
		}
		leg = lastOf(legs, before)
	}
	return out
}

// lastOf returns the leg that ended last, of the stages given; nil for stages means all of them.
func lastOf(legs []StageSpan, stages []int) *StageSpan {
	var out *StageSpan
	for i := range legs {
		wanted := stages == nil
		for _, s := range stages {
			wanted = wanted || legs[i].Stage == s
		}
		if wanted && (out == nil || legs[i].End.After(out.End)) {
			out = &legs[i]
		}
	}
	return out
}
