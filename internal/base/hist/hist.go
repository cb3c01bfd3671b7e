// Package hist keeps distributions of durations for decisions: bounded memory, recent values only, quantiles.
//
// Usage:
//
//	h := hist.New(time.Minute)
//	h.Record(now, 12*time.Millisecond)
//	p95, known := h.Quantile(now, 0.95)
//
// A Window belongs to one state machine and is not safe for concurrent use. Values are kept with two significant
// digits between 100 microseconds and one hour; others are clamped.
package hist

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	unit     = 100 * time.Microsecond
	maxValue = int64(time.Hour / unit)
)

// Window is a histogram over the last one to two periods.
type Window struct {
	period  time.Duration
	started time.Time
	current *hdrhistogram.Histogram
	last    *hdrhistogram.Histogram
}

// New returns an empty window whose values are forgotten after one to two periods.
func New(period time.Duration) *Window {
	return &Window{period: period, current: newHistogram(), last: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxValue, 1) }

// Record adds a value.
func (w *Window) Record(now time.Time, d time.Duration) {
	w.rotate(now)
	v := min(max(int64(d/unit), 1), maxValue)
	_ = w.current.RecordValue(v) // clamped above, so it is in range
}

// Quantile returns the duration below which the share q (0 to 1) of the recent values lies; false without values.
func (w *Window) Quantile(now time.Time, q float64) (time.Duration, bool) {
	w.rotate(now)
	h := w.current
	if w.last.TotalCount() > 0 {
		h = newHistogram()
		h.Merge(w.last)
		h.Merge(w.current)
	}
	if h.TotalCount() == 0 {
		return 0, false
	}
	return time.Duration(h.ValueAtQuantile(q*100)) * unit, true
}

// Count returns the number of recent values.
func (w *Window) Count(now time.Time) int64 {
	w.rotate(now)
	return w.current.TotalCount() + w.last.TotalCount()
}

func (w *Window) rotate(now time.Time) {
	age := now.Sub(w.started)
	if age < w.period {
		return
	}
	w.current, w.last = w.last, w.current
	w.current.Reset()
	if age >= 2*w.period {
		w.last.Reset()
	}
	w.started = now
}
