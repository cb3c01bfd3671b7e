// Package pace decides when an upstream may get work. Its states read no clock and use no network; the caller passes the time.
//
// Usage:
//
//	owner := pace.NewOwner(pace.Bounds{ColdOverage: 1.5, ColdSlack: 5}) // of a decider that is the only sender
//	owner.Set(now, true)
//	var s pace.State // one for each upstream
//	s.Update(pace.Upstream{ID: "r1", StartedMs: 17, ColdUntil: end, ColdPerSecond: 4})
//	if v := s.Allow(now, owner); v.OK {
//		s.Reserve()
//		s.Sent(now, owner) // now or later
//	}
//
// A Table holds what answers of upstreams told: that a start of an upstream is leaving, or wants a pause. All deciders of a process
// read it through Table.Of.
//
// # Windows
//
// An upstream that returns from a pause or, where its service asks for it, has just started gets its load step by step. Nodes
// begin in the rendezvous order of its start, twice as many in each step, and the requests of each grow with completed work that
// was as quick as that of the peers.
//
// # Cold upstreams
//
// A cold upstream bears a few requests a second, summed over all senders. Only a decider that knows all sends to an upstream can
// use that number as a whole: the placer of a service's engines or the owner of a stage queue (Owner). Deciders that run on
// each node (Shares) divide it: the first nodes in the rendezvous order of the upstream's start send a whole number of requests a
// second each, and the other nodes send nothing.
//
// A node that has lost the control group may have been replaced by others that use the whole limit, so that its deciders keep to the
// slack of the limit (SetIsolated). With one cut, the sum over both sides thus stays within the bound.
//
// An upstream that no control node hears, or only one that can't be reached, may have turned cold unnoticed and counts as cold until its
// next heartbeat is known.
//
// Work that is placed now and sent later counts from its placement until a second after its send. No window of a second can
// therefore hold more sends than the limit, whenever the work that has been placed is sent.
package pace

import (
	"math"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// coldWindow is the sliding window in which requests to a cold upstream are counted.
const coldWindow = time.Second

// changeover is for how long a new decider sends nothing to cold upstreams. The sends of its predecessor in the last second still
// count, and views of nodes differ for up to a second after a change.
const changeover = 2 * time.Second

// reunion is for how long a node that was isolated keeps to the slack. The others learn up to 1.5 s after it that it is back, and what
// they sent until then counts for another second.
const reunion = 3 * time.Second

// Cause is the reason why an upstream may not get work.
type Cause uint8

// Causes. Nodes send the numbers to each other, so that new ones go to the end.
const (
	None      Cause = iota
	Cold            // it is cold and at its limit
	Leaving         // it said that it is leaving
	Paused          // it asked for a pause
	Returning       // its pause is over, and its load grows step by step
	New             // it has just started, and peers can take the work
	causes
)

// String returns the name of the cause as used in log lines.
func (c Cause) String() string {
	switch c {
	case Cold:
		return "cold"
	case Leaving:
		return "leaving"
	case Paused:
		return "paused"
	case Returning:
		return "returning"
	case New:
		return "new"
	case None, causes:
	}
	return "none"
}

// isolation is the state of a decider whose node may have lost the others: they take it for gone and use the whole limit among
// themselves. Only the slack is left for it.
type isolation struct {
	on    bool
	until time.Time // the others have learnt by then that the node is back, and what they sent before no longer counts
}

func (i *isolation) set(now time.Time, on bool) {
	if i.on && !on {
		i.until = now.Add(reunion)
	}
	i.on = on
}

// limit returns the part of a limit that is left.
func (i *isolation) limit(now time.Time, limit int, b Bounds) int {
	if i.on || now.Before(i.until) {
		return min(limit, int(b.ColdSlack))
	}
	return limit
}

// Bounds are the limits that hold for all senders together.
type Bounds struct {
	ColdOverage float64 // multiple of its cold rate that a cold upstream may get in any second; 0: 1
	ColdSlack   float64 // requests in addition, for deciders that may have been replaced without knowing it
}

// limit returns how many requests a cold upstream may get in any window. A rate below one request a second gets a longer window
// if the slack permits a whole request.
func (b Bounds) limit(perSecond float64) (int, time.Duration) {
	if b.ColdOverage == 0 {
		b.ColdOverage = 1
	}
	rate := perSecond * b.ColdOverage
	if n := int(rate); n > 0 {
		return min(n, maxLimit), coldWindow
	}
	if rate > 0 && rate+b.ColdSlack >= 1 {
		return 1, time.Duration(math.Min(float64(coldWindow)/rate, float64(maxWindow)))
	}
	return 0, coldWindow
}

// Bounds of what a configuration can demand.
const (
	maxLimit  = 10_000 // a higher rate is no limit in practice, and each send is recorded
	maxWindow = time.Minute
)

// Upstream is what is known of a start of an upstream.
type Upstream struct {
	ID            string
	StartedMs     int64         // Unix milliseconds by its own clock
	ColdUntil     time.Time     // end of the cold time that it reported, by the local clock; zero: none
	ColdTime      time.Duration // cold time after a start according to the configuration
	ColdPerSecond float64       // requests a second that it bears while cold; 0: no limit
	SlowStart     bool          // its load grows step by step after a start
	Slots         int           // requests or calls that it takes at the same time, with its queue; 0: not known
	MaybeCold     bool          // no control node that can be reached hears it, so that it may have turned cold unnoticed
	Leaving       bool          // it gets no new work
	PausedUntil   time.Time     // it gets no work before; zero: no pause
}

// IsPaced reports whether a service states that its upstreams are cold after a start, so that their load grows step by step.
func IsPaced(s *conf.Service) bool { return s != nil && (s.ColdPerSecond > 0 || s.ColdTime > 0) }

// Of returns what a view and the configuration of an upstream's service, which may be nil, tell of an upstream.
func Of(u roster.Upstream, s *conf.Service) Upstream {
	out := Upstream{ID: u.ID, StartedMs: u.StartedMs, ColdUntil: u.ColdUntil, Slots: u.Slots}
	if s != nil {
		out.ColdTime, out.ColdPerSecond = s.ColdTime.Duration(), s.ColdPerSecond
		out.MaybeCold = (u.Silent || u.Stale) && s.ColdPerSecond > 0
		out.SlowStart = IsPaced(s)
		switch {
		case s.Engine != nil:
			out.Slots = s.Engine.Slots
		case s.Pool != nil:
			out.Slots = s.Pool.Slots + s.Pool.Queue
		}
	}
	return out
}

// Decider states how much of an upstream's limit this node may use.
type Decider interface {
	// share returns the part of a limit, and when it may be larger.
	share(now time.Time, s *State, limit int) (int, time.Time)
	// entry returns after which time the node may send to an upstream that returns, and how many requests at first.
	entry(s *State) (time.Duration, int)
	bounds() Bounds
}

// Verdict tells whether an upstream may get work now.
type Verdict struct {
	OK    bool
	From  time.Time // when it may get work again, at the earliest; zero: not before its next start
	Cause Cause
}

// Earlier returns that of two verdicts against an upstream that ends first. A verdict for one does not count.
func (v Verdict) Earlier(other Verdict) Verdict {
	switch {
	case other.OK:
		return v
	case v.OK || v.From.IsZero():
		return other
	case !other.From.IsZero() && other.From.Before(v.From):
		return other
	}
	return v
}

// State is the state of one upstream. The zero value is an upstream without a limit.
type State struct {
	Upstream
	firstSeen time.Time // first use with the present start
	reserved  int       // placed and not sent
	inFlight  int       // placed or sent, and not ended
	window    window

	startKnown bool        // it was decided whether the start is new
	restarted  bool        // an earlier start was known
	sends      []time.Time // ring of the latest sends
	next       int         // index of the oldest send
	cached     cachedShare
}

// Update sets what is known of the upstream. A newer start does not release the limit, as sends to the earlier one may arrive at
// its address.
func (s *State) Update(u Upstream) {
	if u.StartedMs != s.StartedMs {
		s.firstSeen, s.cached, s.window = time.Time{}, cachedShare{}, window{}
		s.startKnown, s.restarted = false, s.ID != ""
	}
	s.window.open(u.PausedUntil)
	s.Upstream = u
}

// ColdEnd returns the end of the upstream's cold time, or a time that has passed.
func (s *State) ColdEnd(now time.Time) time.Time {
	if s.ColdPerSecond <= 0 {
		return time.Time{}
	}
	if s.firstSeen.IsZero() {
		s.firstSeen = now
	}
	end := s.ColdUntil
	if s.ColdTime > 0 && s.StartedMs > 0 {
		configured := time.UnixMilli(s.StartedMs)
		if configured.After(s.firstSeen) { // its clock is ahead
			configured = s.firstSeen
		}
		if configured = configured.Add(s.ColdTime); configured.After(end) {
			end = configured
		}
	}
	if unheard := now.Add(coldWindow); s.MaybeCold && unheard.After(end) {
		end = unheard // until its next heartbeat, at the earliest a moment from now
	}
	return end
}

// IsCold reports whether the upstream is cold and its rate is limited.
func (s *State) IsCold(now time.Time) bool { return s.ColdPerSecond > 0 && s.ColdEnd(now).After(now) }

// Allow reports whether one more request may be sent, or placed.
func (s *State) Allow(now time.Time, d Decider) Verdict {
	switch {
	case s.Leaving:
		return Verdict{Cause: Leaving}
	case now.Before(s.PausedUntil):
		return Verdict{From: s.PausedUntil, Cause: Paused}
	}
	v := s.allowWindow(now, d)
	if !v.OK && v.Cause != New {
		return v
	}
	// The window of a start is a preference that deciders pass over when nothing else is left, so it must not hide the limit of
	// an upstream that has turned cold again.
	if c := s.allowCold(now, d); !c.OK {
		return c
	}
	return v
}

// allowCold reports whether the limit of a cold upstream permits one more request.
func (s *State) allowCold(now time.Time, d Decider) Verdict {
	if s.ColdPerSecond <= 0 {
		return Verdict{OK: true}
	}
	end := s.ColdEnd(now)
	if !end.After(now) {
		return Verdict{OK: true}
	}
	limit, window := d.bounds().limit(s.ColdPerSecond)
	share, later := d.share(now, s, limit)
	from := end
	switch room := share - s.reserved; {
	case share <= 0:
		if !later.IsZero() {
			from = later
		}
	case room <= 0:
		from = now.Add(window) // placed work is sent before; when is not known
	default:
		last := s.latest(room)
		if last.IsZero() || now.Sub(last) >= window {
			return Verdict{OK: true}
		}
		from = last.Add(window)
	}
	if from.After(end) {
		from = end
	}
	return Verdict{From: from, Cause: Cold}
}

// Reserve counts a request that is placed and not sent yet.
func (s *State) Reserve() {
	s.reserved++
	s.begin()
}

// Release ends the count of a placed request that will not be sent.
func (s *State) Release() {
	s.reserved = max(s.reserved-1, 0)
	s.Ended()
}

// SentReserved records the send of a placed request.
func (s *State) SentReserved(now time.Time, d Decider) {
	s.reserved = max(s.reserved-1, 0)
	s.record(now, d)
}

func (s *State) begin() {
	s.inFlight++
	s.window.sent++
}

// Sent records the send of a request that was not placed before. Sends to a warm upstream count too, as it may turn cold.
func (s *State) Sent(now time.Time, d Decider) {
	s.begin()
	s.record(now, d)
}

func (s *State) record(now time.Time, d Decider) {
	if s.ColdPerSecond <= 0 {
		return
	}
	limit, _ := d.bounds().limit(s.ColdPerSecond)
	if limit != len(s.sends) {
		s.resize(limit)
	}
	if limit == 0 {
		return
	}
	s.sends[s.next] = now
	s.next = (s.next + 1) % limit
}

// HasRecentSends reports whether sends of the last seconds still count, so that the state must be kept.
func (s *State) HasRecentSends(now time.Time) bool {
	return s.reserved > 0 || now.Sub(s.latest(1)) < changeover
}

// latest returns the time of the n-th latest send; zero if it is not known.
func (s *State) latest(n int) time.Time {
	if n > len(s.sends) {
		return time.Time{}
	}
	return s.sends[(s.next-n+len(s.sends))%len(s.sends)]
}

// resize changes the number of recorded sends, after a change of the configuration.
func (s *State) resize(n int) {
	kept := make([]time.Time, n)
	for i := 1; i <= min(n, len(s.sends)); i++ {
		kept[n-i] = s.latest(i)
	}
	s.sends, s.next = kept, 0
}
