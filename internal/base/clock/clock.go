// Package clock gives the present time and timers through an interface, so that tests decide how time passes.
//
// Usage:
//
//	c := clock.Real()              // in main
//	f := clock.NewFake(start)      // in tests
//	t := c.NewTimer(time.Second)
//	<-t.C()
//
// No other package may call time.Now or create timers; the linter checks it.
package clock

import (
	"context"
	"time"
)

// Clock gives the present time and creates timers.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
	// NewTimer returns a timer that sends the time on its channel once d has passed.
	NewTimer(d time.Duration) Timer
	// AfterFunc calls f in its own goroutine once d has passed.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a single event in the future.
type Timer interface {
	// C returns the channel on which the time is sent; nil for a timer made by AfterFunc.
	C() <-chan time.Time
	// Stop prevents the timer from firing and reports whether it was still pending.
	Stop() bool
	// Reset makes the timer fire after d and reports whether it was still pending.
	Reset(d time.Duration) bool
}

// Sleep waits until d has passed or ctx ends; it returns the error of ctx in the second case.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := c.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type realClock struct{}

// Real returns the clock of the operating system.
func Real() Clock { return realClock{} }

func (realClock) Now() time.Time { return time.Now() }

func (realClock) NewTimer(d time.Duration) Timer { return realTimer{time.NewTimer(d)} }

func (realClock) AfterFunc(d time.Duration, f func()) Timer { return realTimer{time.AfterFunc(d, f)} }

type realTimer struct{ t *time.Timer }

func (r realTimer) C() <-chan time.Time        { return r.t.C }
func (r realTimer) Stop() bool                 { return r.t.Stop() }
func (r realTimer) Reset(d time.Duration) bool { return r.t.Reset(d) }

// Later returns the later one of two times.
func Later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
