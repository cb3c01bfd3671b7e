package clock

import (
	"sort"
	"sync"
	"time"
)

// Fake is a clock that stands still until Advance is called.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	nextID uint64
	timers map[uint64]*fakeTimer
}

// NewFake returns a clock that shows start.
func NewFake(start time.Time) *Fake {
	return &Fake{now: start, timers: map[uint64]*fakeTimer{}}
}

// Now returns the time set by the last Advance.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock by d and fires the timers that are due, in the order of their times.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	target := f.now.Add(d)
	for {
		due := f.due(target)
		if due == nil {
			break
		}
		at := due.at // read under the lock: the owner of the timer may call Reset at any time
		f.now = at
		delete(f.timers, due.id)
		f.mu.Unlock()
		due.fire(at)
		f.mu.Lock()
	}
	f.now = target
	f.mu.Unlock()
}

// Waiting returns the number of pending timers.
func (f *Fake) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
}

func (f *Fake) due(target time.Time) *fakeTimer {
	list := make([]*fakeTimer, 0, len(f.timers))
	for _, t := range f.timers {
		if !t.at.After(target) {
			list = append(list, t)
		}
	}
	if len(list) == 0 {
		return nil
	}
	sort.Slice(list, func(i, j int) bool {
		if !list[i].at.Equal(list[j].at) {
			return list[i].at.Before(list[j].at)
		}
		return list[i].id < list[j].id
	})
	return list[0]
}

// NewTimer returns a timer that fires when the clock has been advanced by d.
func (f *Fake) NewTimer(d time.Duration) Timer {
	t := &fakeTimer{clock: f, c: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

// AfterFunc calls fn when the clock has been advanced by d.
func (f *Fake) AfterFunc(d time.Duration, fn func()) Timer {
	t := &fakeTimer{clock: f, fn: fn}
	t.Reset(d)
	return t
}

type fakeTimer struct {
	clock *Fake
	id    uint64
	at    time.Time
	c     chan time.Time
	fn    func()
}

func (t *fakeTimer) C() <-chan time.Time { return t.c }

func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.timers[t.id]
	delete(t.clock.timers, t.id)
	return pending
}

func (t *fakeTimer) Reset(d time.Duration) bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.timers[t.id]
	delete(t.clock.timers, t.id)
	t.clock.nextID++
	t.id = t.clock.nextID
	t.at = t.clock.now.Add(max(d, 0))
	t.clock.timers[t.id] = t
	return pending
}

func (t *fakeTimer) fire(at time.Time) {
	if t.fn != nil {
		go t.fn()
		return
	}
	select {
	case t.c <- at:
	default:
	}
}
