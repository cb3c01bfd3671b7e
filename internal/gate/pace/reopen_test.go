package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// servedAfterPause plays a lone node and an upstream of 12 slots that answers after 20 ms, with work always waiting, from 2 to 9 s after a
// pause. If kept is true, the table holds the pause as long as it does in a process. It returns the requests served and the
// milliseconds in which one was held back.
func servedAfterPause(kept bool) (served, refused int) {
	t0 := time.Unix(1_700_000_000, 0)
	d := NewShares(Bounds{}, "vm")
	d.SetNodes(t0, []string{"vm"})
	var s State
	u := Upstream{ID: "u", StartedMs: 5, Slots: 12, PausedUntil: t0}
	s.Update(u)
	var ends []time.Time
	for ms := 0; ms < 9000; ms++ {
		now := t0.Add(time.Duration(ms) * time.Millisecond)
		for len(ends) > 0 && !ends[0].After(now) {
			ends = ends[1:]
			s.Ended()
			s.Took(now, 20*time.Millisecond, 0, 1)
			if ms > 2000 {
				served++
			}
		}
		if !kept && s.window.opens.IsZero() {
			u.PausedUntil = time.Time{}
		}
		for len(ends) < 12 { // as many as it has slots
			s.Update(u)
			if !s.Allow(now, d).OK {
				if ms > 2000 {
					refused++
				}
				break
			}
			s.Sent(now, d)
			ends = append(ends, now.Add(20*time.Millisecond))
		}
	}
	return served, refused
}

// Guards against a return that begins anew each time it is complete, as long as the table still holds the pause.
func TestReturnAfterAPauseHappensOnce(t *testing.T) {
	want, _ := servedAfterPause(false)
	served, refused := servedAfterPause(true)
	assert.Equal(t, served, want)
	assert.Equal(t, refused, 0)
}

// Guards against a count that begins anew because a caller read the clock just before the step of another one and came after it: a
// node then sends more in a step of its return than its window permits.
func TestStepOfAReturnDoesNotGoBack(t *testing.T) {
	t0 := time.Unix(1_700_000_000, 0)
	d := NewShares(Bounds{}, "vm")
	d.SetNodes(t0, []string{"vm"})
	var s State
	s.Update(Upstream{ID: "u", StartedMs: 5, Slots: 64, PausedUntil: t0})
	sent := 0
	send := func(at time.Duration) {
		now := t0.Add(at)
		if s.Allow(now, d).OK {
			s.Sent(now, d)
			s.Ended()
			s.Worked(1)
			sent++
		}
	}
	send(0)
	for range 10 {
		send(windowStep)
		send(windowStep - time.Millisecond)
	}
	assert.Equal(t, sent, 3, "one request in the first step and two in the second")
}
