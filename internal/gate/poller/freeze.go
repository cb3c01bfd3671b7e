package poller

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// A process that was frozen or suspended has the view of the time before, and requests may wait in its sockets. Until a control node
// has answered, or maxFreezeHold has passed, its view shows all upstreams as draining, so that nothing reaches an upstream of a data centre
// that was evacuated meanwhile. Fleets whose settings state no time within which evacuations must be obeyed do not wait.

const (
	// freezeAfter is the pause of the poller's loop after which the process counts as having been frozen. An evacuation must be obeyed 5 s
	// after its acknowledgement, so that a view that is 4 s old can still be used. The wall clock may be set forward by some seconds,
	// which looks the same.
	freezeAfter = 4 * time.Second
	// maxFreezeHold allows two questions that time out. Later the node serves with what it knows, as when its links are cut.
	maxFreezeHold = 2 * time.Second
	// freezePoll is the time between two checks of AwaitCurrent.
	freezePoll = 10 * time.Millisecond
)

// freezeGuard tracks whether the process was frozen. Times are Unix nanoseconds of the wall clock, since the monotonic clock stands still
// while a VM is suspended.
type freezeGuard struct {
	enabled bool         // set before the first use
	ticked  atomic.Int64 // last round of the poller's loop; 0: none yet
	since   atomic.Int64 // when the return was noticed; 0: not frozen
	held    atomic.Pointer[heldView]
}

// heldView is a view that was derived from another one.
type heldView struct{ base, view *View }

// tick notes a round of the poller's loop.
func (a *freezeGuard) tick(now time.Time) {
	a.check(now)
	if since := a.since.Load(); since != 0 && !isHeld(since, now) {
		a.since.Store(0)
	}
	a.ticked.Store(now.UnixNano())
}

// check reports whether the process has returned and no control node has answered since.
func (a *freezeGuard) check(now time.Time) bool {
	if !a.enabled {
		return false
	}
	ticked := a.ticked.Load() // before since: tick stores them in the other order
	since := a.since.Load()
	if since == 0 && ticked != 0 && now.UnixNano()-ticked > int64(freezeAfter) {
		since = now.UnixNano()
		a.since.CompareAndSwap(0, since)
	}
	return since != 0 && isHeld(since, now)
}

// isHeld reports whether work is still held back after a return that was noticed at a time. A wall clock that was set back ends it.
func isHeld(since int64, now time.Time) bool {
	elapsed := now.UnixNano() - since
	return elapsed >= 0 && elapsed < int64(maxFreezeHold)
}

// answered notes the answer of a control node that is sure to a question that was asked at a time.
func (a *freezeGuard) answered(asked time.Time) {
	if since := a.since.Load(); since != 0 && asked.UnixNano() >= since {
		a.ticked.Store(asked.UnixNano()) // else the next check would take the same pause for another return
		a.since.CompareAndSwap(since, 0)
	}
}

// hold returns a view in which all upstreams are draining.
func (a *freezeGuard) hold(base *View) *View {
	if h := a.held.Load(); h != nil && h.base == base {
		return h.view
	}
	v := base.with(func(u *roster.Upstream) { u.State = roster.Draining })
	a.held.Store(&heldView{base, v})
	return v
}

// with returns a view in which each upstream is changed.
func (v *View) with(change func(*roster.Upstream)) *View {
	out := *v
	out.Services = make(map[string][]roster.Upstream, len(v.Services))
	for name, list := range v.Services {
		list = slices.Clone(list)
		for i := range list {
			change(&list[i])
		}
		out.Services[name] = list
	}
	return &out
}

// AwaitCurrent returns at once, or after a time in which the process was frozen as soon as a control node has answered. It waits for
// maxFreezeHold at most, and no longer than the context.
func (p *Poller) AwaitCurrent(ctx context.Context) {
	for p.freeze.check(p.o.Clock.Now()) && clock.Sleep(ctx, p.o.Clock, freezePoll) == nil {
		continue
	}
}
