package pace

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// absentFor is for how long the state of an upstream is kept after its record has vanished. Control nodes that restart have no
// records until the next heartbeats arrive.
const absentFor = 2 * time.Minute

// maxPause bounds a pause, so that its end can be represented.
const maxPause = 10 * 365 * 24 * time.Hour

// Table holds what the answers of upstreams told about their starts: that they are leaving, or want a pause. A process has one
// table for all its deciders. It is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	entries map[string]*suspension
	size    atomic.Int32 // of entries, so that the usual case takes no lock
	totals  [causes]int64
}

type suspension struct {
	startedMs   int64
	leaving     bool
	pausedUntil time.Time
	resumed     bool      // the end of the pause was returned by Sweep
	missing     time.Time // since when there is no record; zero: there is one
}

// Change is the end of a state that kept an upstream from getting work.
type Change struct {
	ID        string
	StartedMs int64
	Cause     Cause
	Reason    string
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]*suspension{}} }

// Of is like the function Of, with what the table holds for the upstream's start. A nil table holds nothing.
func (t *Table) Of(u roster.Upstream, s *conf.Service) Upstream {
	out := Of(u, s)
	if t.Len() == 0 {
		return out
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	if e := t.entries[u.ID]; e.binds(u.StartedMs) {
		out.Leaving, out.PausedUntil = e.leaving, e.pausedUntil
	}
	return out
}

// binds reports whether the state is that of a start. The record of an earlier start is an old one.
func (e *suspension) binds(startedMs int64) bool { return e != nil && startedMs <= e.startedMs }

// IsSuspended reports whether a start of an upstream must not get work now, why, and until when; a zero time means until its next start.
func (t *Table) IsSuspended(now time.Time, id string, startedMs int64) (Cause, time.Time) {
	if t.Len() == 0 {
		return None, time.Time{}
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[id]
	switch {
	case !e.binds(startedMs):
		return None, time.Time{}
	case e.leaving:
		return Leaving, time.Time{}
	case now.Before(e.pausedUntil):
		return Paused, e.pausedUntil
	}
	return None, time.Time{}
}

// entry returns the state of a start, or nil if a later start is known. t.mu must be held.
func (t *Table) entry(id string, startedMs int64) *suspension {
	e := t.entries[id]
	if e != nil && startedMs < e.startedMs {
		return nil
	}
	if e == nil || startedMs > e.startedMs {
		e = &suspension{startedMs: startedMs}
		t.entries[id] = e
		t.size.Store(int32(len(t.entries)))
	}
	return e
}

// Leave records that a start of an upstream is leaving. It reports whether that is news.
func (t *Table) Leave(id string, startedMs int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id, startedMs)
	if e == nil || e.leaving {
		return false
	}
	e.leaving = true
	t.totals[Leaving]++
	return true
}

// Pause records that a start of an upstream must get nothing for a time. It returns the end of the pause and whether a pause began:
// answers to requests that were under way only extend it.
func (t *Table) Pause(now time.Time, id string, startedMs int64, d time.Duration) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id, startedMs)
	if e == nil || e.leaving || d <= 0 {
		return time.Time{}, false
	}
	began := !now.Before(e.pausedUntil)
	if until := now.Add(min(d, maxPause)); until.After(e.pausedUntil) {
		e.pausedUntil, e.resumed = until, false
	}
	if began {
		t.totals[Paused]++
	}
	return e.pausedUntil, began
}

// Sweep removes what has ended and returns the changes. started returns the start of an upstream in the present view.
func (t *Table) Sweep(now time.Time, started func(id string) (int64, bool)) []Change {
	if t.Len() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Change
	for id, e := range t.entries {
		cause := Paused
		if e.leaving {
			cause = Leaving
		}
		end := func(reason string) {
			if !e.resumed {
				out = append(out, Change{id, e.startedMs, cause, reason})
			}
			delete(t.entries, id)
		}
		start, known := started(id)
		switch {
		case known && start > e.startedMs:
			end("new start")
			continue
		case known:
			e.missing = time.Time{}
		case e.missing.IsZero():
			e.missing = now
		case now.Sub(e.missing) > absentFor:
			end("gone")
			continue
		}
		switch {
		case e.leaving || now.Before(e.pausedUntil):
		case !e.resumed:
			out = append(out, Change{id, e.startedMs, cause, "pause over"})
			e.resumed = true
		case now.Sub(e.pausedUntil) > windowTime: // all deciders have seen the pause
			delete(t.entries, id)
		}
	}
	t.size.Store(int32(len(t.entries)))
	return out
}

// Len returns the number of upstreams of which the table holds something.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return int(t.size.Load())
}

// Counts returns how many upstreams get no work now, by cause.
func (t *Table) Counts(now time.Time) map[Cause]int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[Cause]int{Leaving: 0, Paused: 0}
	for _, e := range t.entries {
		switch {
		case e.leaving:
			out[Leaving]++
		case now.Before(e.pausedUntil):
			out[Paused]++
		}
	}
	return out
}

// Totals returns how often upstreams were suspended, by cause.
func (t *Table) Totals() map[Cause]int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return map[Cause]int64{Leaving: t.totals[Leaving], Paused: t.totals[Paused]}
}
