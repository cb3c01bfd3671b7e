package pace

import (
	"math/bits"
	"time"

	"github.com/berylledge/berylledge/internal/base/rendez"
)

// Parameters of the return after a pause and of a start.
const (
	// newStep is like windowStep for an upstream that has just started. It leaves time for the first answers, so that an upstream
	// that starts anew each second gets few requests.
	newStep = 150 * time.Millisecond
	// newFirst is how many requests such an upstream gets in the first step.
	newFirst = 4
	// slowFactor is the multiple of the usual time of its peers for the same work above which an upstream counts as slow. Engines of
	// one service differ by up to 1.7 from their mean.
	slowFactor = 2.5
	// windowStep is the time in which the number of senders and of their requests may double. It is several round trips within a
	// region, so that answers of the first requests are known in the next step.
	windowStep = 100 * time.Millisecond
	// windowTime ends the return: with few requests, completed work says little.
	windowTime = 10 * time.Second
	// defaultFirst is how many requests an upstream of unknown size gets in the first step of its return.
	defaultFirst = 4
	// maxFirst bounds them for large upstreams.
	maxFirst = 8
	// endOfWindow is the size of the window of an upstream of unknown size at which its return is complete.
	endOfWindow = 32
	maxSteps    = 16
	maxHolds    = 4 // doublings of the time between two requests
)

// window limits the requests to an upstream that returns. Requests in flight and requests in each step stay below its size, which
// grows with completed work and at most doubles in a step.
type window struct {
	opens   time.Time // end of the last pause, or start; zero: no window
	ended   time.Time // opens of the last window that ended
	isNew   bool      // it follows a start
	size    int       // 0: no request was permitted yet
	earlier int       // requests in flight when the first request was permitted
	step    int64
	sent    int // requests in the step
	rank    cachedRank

	holdUntil time.Time // no request before, after work that was slow or failed
	holds     int       // such pauses since work was last completed
}

// cachedRank is the place of a node among the senders to an upstream's start, in a generation of Shares.
type cachedRank struct {
	generation uint64
	rank       int
}

// open begins a window at the end of a pause.
func (w *window) open(at time.Time) {
	if at.After(w.opens) && at.After(w.ended) {
		*w = window{opens: at, rank: w.rank}
	}
}

// first returns how many requests the upstream may get from all senders in the first step.
func (s *State) first() int {
	switch {
	case s.window.isNew && s.Slots > 0:
		return min(s.Slots, newFirst)
	case s.window.isNew:
		return newFirst
	case s.Slots <= 0:
		return defaultFirst
	}
	return min(s.Slots, maxFirst)
}

func (w *window) stepTime() time.Duration {
	if w.isNew {
		return newStep
	}
	return windowStep
}

// expired reports whether the time of the window is over and the latest work was not slow.
func (w *window) expired(now time.Time) bool { return now.Sub(w.opens) > windowTime && w.holds == 0 }

// noteStart begins a window if the upstream has just started: its start has changed, or it is recent where no earlier one was known,
// as after a restart of this node. While it is cold, its rate is limited anyway.
func (s *State) noteStart(now time.Time) {
	if s.startKnown || !s.SlowStart {
		return
	}
	s.startKnown = true
	if s.restarted || s.StartedMs > 0 && now.Sub(time.UnixMilli(s.StartedMs)).Abs() < windowTime {
		s.window = window{opens: now, isNew: true}
		if end := s.ColdEnd(now); end.After(now) {
			s.window.opens = end
		}
	}
}

// IsNew reports whether the upstream has just started and its load still grows.
func (s *State) IsNew(now time.Time) bool {
	s.noteStart(now)
	w := &s.window
	return w.isNew && !w.opens.IsZero() && !w.expired(now)
}

// allowWindow reports whether the window permits one more request.
func (s *State) allowWindow(now time.Time, d Decider) Verdict {
	s.noteStart(now)
	w := &s.window
	if w.opens.IsZero() || w.isNew && now.Before(w.opens) {
		return Verdict{OK: true}
	}
	cause := Returning
	if w.isNew {
		cause = New
	}
	if w.expired(now) {
		w.ended, w.opens = w.opens, time.Time{}
		return Verdict{OK: true}
	}
	offset, first := d.entry(s)
	begin := w.opens.Add(offset)
	if now.Before(begin) {
		return Verdict{From: begin, Cause: cause}
	}
	if now.Before(w.holdUntil) {
		return Verdict{From: w.holdUntil, Cause: cause}
	}
	if w.size == 0 {
		w.size, w.earlier = first, s.inFlight
	}
	step := int64(now.Sub(begin) / w.stepTime())
	if step > w.step {
		w.step, w.sent = step, 0
	}
	step = w.step // a time that was read earlier may come later
	limit := min(w.size, first<<min(step, maxSteps))
	if w.sent >= limit || s.inFlight-w.earlier >= limit {
		return Verdict{From: begin.Add(time.Duration(step+1) * w.stepTime()), Cause: cause}
	}
	return Verdict{OK: true}
}

// Worked grows the window by n after the upstream has completed work. n is 1 for a request that has ended and 2 for a stream that
// has begun: either leaves room for two requests in place of one, so that the window doubles in the time of a request.
func (s *State) Worked(n int) {
	w := &s.window
	if w.size == 0 || w.opens.IsZero() {
		return
	}
	w.holds = 0
	end := s.Slots
	if end <= 0 {
		end = endOfWindow
	}
	if w.size += n; w.size >= end {
		w.ended, w.opens = w.opens, time.Time{}
	}
}

// Took records that completed work took a time in which the peers of the upstream usually do it, or more. Work that was clearly
// slower shrinks the window instead. n is as in Worked; a usual time of 0 is not known.
func (s *State) Took(now time.Time, took, usual time.Duration, n int) {
	if usual > 0 && float64(took) > slowFactor*float64(usual) {
		s.Failed(now)
		return
	}
	s.Worked(n)
}

// Failed records that the upstream did not complete work. Many nodes with a window of one request each are still too much for
// it, so that below one request the time between two grows.
func (s *State) Failed(now time.Time) {
	w := &s.window
	if w.size == 0 || w.opens.IsZero() {
		return
	}
	if w.size > 1 {
		w.size /= 2
		return
	}
	w.holdUntil = now.Add(w.stepTime() << w.holds)
	w.holds = min(w.holds+1, maxHolds)
}

// StartedTogether reports whether so many of the upstreams that could take work are new that their windows do not count: the others
// could not take the work, and after a power failure all of them start at the same time.
func StartedTogether(fresh, all int) bool { return 2*fresh > all }

// Ended records the end of a request that was sent.
func (s *State) Ended() { s.inFlight = max(s.inFlight-1, 0) }

func (o *Owner) entry(s *State) (time.Duration, int) { return 0, s.first() }

// entry lets the first nodes in the rendezvous order of the upstream's start return in the first step, and twice as many in each
// further one.
func (s *Shares) entry(u *State) (time.Duration, int) {
	r := &u.window.rank
	if r.generation != s.generation {
		*r = cachedRank{s.generation, s.rank(u.ID, u.StartedMs)}
	}
	first := u.first()
	own := 1
	if u.window.isNew { // a lone node must not take long
		own = max(first/max(len(s.nodes), 1), 1)
	}
	return returnOffset(r.rank, first, u.window.stepTime()), own
}

// rank returns how many nodes precede this one in the order of an upstream's start.
func (s *Shares) rank(id string, started int64) int {
	key := startKey(id, started)
	own, rank := rendez.Score(key, s.self), 0
	for _, n := range s.nodes {
		if score := rendez.Score(key, n); n != s.self && (score > own || score == own && n < s.self) {
			rank++
		}
	}
	return rank
}

// returnOffset returns when a node of a rank sends its first request after a pause. Group g has first x 2^g nodes and is spread over
// one step. Groups after the first one start half a step later, because the clocks of pauses differ by the delay of answers.
func returnOffset(rank, first int, step time.Duration) time.Duration {
	group := bits.Len(uint(rank/first+1)) - 1
	before := first * (1<<group - 1)
	size := first << group
	offset := step * time.Duration(group)
	if group > 0 {
		offset += step / 2
	}
	return offset + step*time.Duration(rank-before)/time.Duration(size)
}
