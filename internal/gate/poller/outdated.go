package poller

import (
	"sync/atomic"
	"time"

	"github.com/berylledge/berylledge/internal/gate/roster"
)

// answerAge is the time since a control node has last answered, for readers of views. The time is that of the wall clock, since the
// monotonic one stands still while a VM is suspended; one that is set forward shows a view as old until the next answer.
type answerAge struct {
	at      atomic.Int64 // Unix nanoseconds
	derived atomic.Pointer[heldView]
}

func (a *answerAge) note(now time.Time) { a.at.Store(now.UnixNano()) }

func (a *answerAge) isOld(now time.Time) bool {
	return now.UnixNano()-a.at.Load() > int64(uninformedAfter)
}

// outdated returns a view in which all upstreams are stale.
func (a *answerAge) outdated(base *View) *View {
	if d := a.derived.Load(); d != nil && d.base == base {
		return d.view
	}
	v := base.with(func(u *roster.Upstream) { u.Stale = true })
	v.Uninformed = true
	a.derived.Store(&heldView{base, v})
	return v
}
