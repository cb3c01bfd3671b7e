package stage

import "time"

// Counters counts the events of a queue since its creation.
type Counters struct {
	Calls     int // calls sent to upstreams
	Pieces    int // pieces in these calls, including repeats
	Completed int // pieces with a result
	NoRoom    int // times that an upstream had no memory for a piece's result
	Late      int // pieces dropped because their time limit had passed
	Refused   int // pieces refused because no upstream could compute them in time
	Failed    int // pieces that failed for another reason
	Unwanted  int // results that arrived after their request was cancelled

	Remote      int   // results computed outside the data centre that needs them
	RemoteBytes int64 // total size of the Remote results
}

func (t *Counters) addOutcome(o Outcome) {
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

// addPlacement records where a result was computed.
func (t *Counters) addPlacement(j Job, dataCentre string) {
	if j.Home != dataCentre {
		t.Remote++
		t.RemoteBytes += j.Bytes
	}
}

// Snapshot is the state of a queue at one point in time.
type Snapshot struct {
	Counters      Counters
	Waiting       []int         // jobs by rank; the last element also counts all higher ranks
	OldestWait    time.Duration // longest time that a waiting job has been queued
	Upstreams     int           // upstreams that accept work
	CallsInFlight int
	Results       int   // results that the queue accounts for
	UsedBytes     int64 // memory of these results and of those being computed
	LimitBytes    int64 // estimated memory limit of all upstreams that accept work
	// CallTime and PieceTime are the learnt fixed time of a call and the time of each piece in it, at the median upstream.
	CallTime, PieceTime time.Duration
	// Least and Most are the lowest and the highest learnt duration of work of an upstream, relative to the median one.
	Least, Most float64
	Reporting   int // upstreams that reported the duration of their work in the last second
}

// snapshotRanks is the number of ranks that a snapshot counts separately.
const snapshotRanks = 6

// Snapshot returns the state of the queue for logs and metrics.
func (q *Queue) Snapshot(now time.Time) Snapshot {
	s := Snapshot{Counters: q.counters, Waiting: make([]int, snapshotRanks), Least: 1, Most: 1}
	s.CallTime, s.PieceTime = q.callTimes.Times()
	for _, g := range q.groups {
		s.Waiting[min(max(g.first().Rank, 0), snapshotRanks-1)] += len(g.jobs)
		s.OldestWait = max(s.OldestWait, now.Sub(g.added))
	}
	for _, t := range q.targets {
		s.CallsInFlight += t.calls
		s.Results += len(t.results)
		s.UsedBytes += t.usedBytes
		if t.present && !t.Avoid {
			s.Upstreams++
			factor := q.speeds.Factor(now, t.ID)
			if t.load.report.IsFresh(now) {
				s.Reporting++
			}
			s.Least, s.Most = min(s.Least, factor), max(s.Most, factor)
			s.LimitBytes += int64(t.limitBytes)
		}
	}
	return s
}

// GroupSpan is the time span of one group of pieces of a stage, as measured by the entry node of the request.
type GroupSpan struct {
	Stage  int
	Start  time.Time
	End    time.Time
	Timing PieceTiming // of the slowest piece
}

// LatencyBreakdown splits the latency of a request's stages along the critical path. The parts add up to the time from
// the request's arrival to the end of its stages, except for work that failed and was requested again.
type LatencyBreakdown struct {
	Before   time.Duration // until the first stage of the path was requested
	Queued   time.Duration // in queues
	InCall   time.Duration // in calls to upstreams
	Transfer time.Duration // between entry nodes and on the network
}

// CriticalPath returns the breakdown along the chain of stages that ended last. after returns the stages that a stage
// depends on.
func CriticalPath(after func(stage int) []int, began time.Time, spans []GroupSpan) LatencyBreakdown {
	var out LatencyBreakdown
	span := latestEnd(spans, nil)
	for span != nil {
		out.Queued += span.Timing.Queued
		out.InCall += span.Timing.InCall
		out.Transfer += span.End.Sub(span.Start) - span.Timing.Queued - span.Timing.InCall
		out.Before = span.Start.Sub(began)
		before := after(span.Stage)
		if len(before) == 0 {
			break
		}
		span = latestEnd(spans, before)
	}
	return out
}

// latestEnd returns the span that ended last among the given stages; nil selects all stages.
func latestEnd(spans []GroupSpan, stages []int) *GroupSpan {
	var out *GroupSpan
	for i := range spans {
		wanted := stages == nil
		for _, s := range stages {
			wanted = wanted || spans[i].Stage == s
		}
		if wanted && (out == nil || spans[i].End.After(out.End)) {
			out = &spans[i]
		}
	}
	return out
}
