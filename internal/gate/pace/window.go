package pace

import (
	"math/bits"
	"time"

	"github.com/berylledge/berylledge/internal/base/rendez"
)

// Parameters of the return after a pause.
const (
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
)

// window limits the requests to an upstream that returns. Requests in flight and requests in each step stay below its size, which
// grows with completed work and at most doubles in a step.
type window struct {
	opens   time.Time // end of the last pause; zero: no window
	size    int       // 0: no request was permitted yet
	earlier int       // requests in flight when the first request was permitted
	step    int64
	sent    int // requests in the step
	rank    cachedRank
}

// cachedRank is the place of a node among the senders to an upstream's start, in a generation of Shares.
type cachedRank struct {
	generation uint64
	rank       int
}

// open begins a window at the end of a pause.
func (w *window) open(at time.Time) {
	if at.After(w.opens) {
		*w = window{opens: at, rank: w.rank}
	}
}

// first returns how many requests the upstream may get from all senders in the first step of its return.
func (u *Upstream) first() int {
	if u.Slots <= 0 {
		return defaultFirst
	}
	return min(u.Slots, maxFirst)
}

// allowWindow reports whether the window permits one more request.
func (s *State) allowWindow(now time.Time, d Decider) Verdict {
	w := &s.window
	if w.opens.IsZero() {
		return Verdict{OK: true}
	}
	if now.Sub(w.opens) > windowTime {
		w.opens = time.Time{}
		return Verdict{OK: true}
	}
	offset, first := d.entry(s)
	begin := w.opens.Add(offset)
	if now.Before(begin) {
		return Verdict{From: begin, Cause: Returning}
	}
	if w.size == 0 {
		w.size, w.earlier = first, s.inFlight
	}
	step := int64(now.Sub(begin) / windowStep)
	if step != w.step {
		w.step, w.sent = step, 0
	}
	limit := min(w.size, first<<min(step, maxSteps))
	if w.sent >= limit || s.inFlight-w.earlier >= limit {
		return Verdict{From: begin.Add(time.Duration(step+1) * windowStep), Cause: Returning}
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
	end := s.Slots
	if end <= 0 {
		end = endOfWindow
	}
	if w.size += n; w.size >= end {
		w.opens = time.Time{}
	}
}

// Failed records that the upstream did not complete work.
func (s *State) Failed() {
	if s.window.size > 1 {
		s.window.size /= 2
	}
}

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
	return returnOffset(r.rank, u.first()), 1
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
func returnOffset(rank, first int) time.Duration {
	group := bits.Len(uint(rank/first+1)) - 1
	before := first * (1<<group - 1)
	size := first << group
	offset := windowStep * time.Duration(group)
	if group > 0 {
		offset += windowStep / 2
	}
	return offset + windowStep*time.Duration(rank-before)/time.Duration(size)
}
