package admit

import "time"

// usageBuckets is the number of buckets of the sliding window.
const usageBuckets = 20

// slotUsage integrates the slots held by each class and the concurrency limit over a sliding window.
type slotUsage struct {
	bucketWidth    time.Duration
	accountedUntil time.Time
	bucketStart    time.Time // start of the current bucket
	currentBucket  int
	slotSeconds    [usageBuckets][]float64 // by bucket and class
	limitSeconds   [usageBuckets]float64   // concurrency limit integrated over time, by bucket
	classTotals    []float64               // sum of slotSeconds by class
	limitTotal     float64                 // sum of limitSeconds
}

func newUsage(window time.Duration, classes int) *slotUsage {
	u := &slotUsage{bucketWidth: max(window/usageBuckets, time.Millisecond), classTotals: make([]float64, classes)}
	for i := range u.slotSeconds {
		u.slotSeconds[i] = make([]float64, classes)
	}
	return u
}

// advance accounts for the time since the last call, during which each class held its current number of slots.
func (u *slotUsage) advance(now time.Time, classes []*class, limit float64) {
	if u.accountedUntil.IsZero() {
		u.accountedUntil, u.bucketStart = now, now
	}
	if now.Sub(u.accountedUntil) > usageBuckets*u.bucketWidth { // the whole window has passed
		u.accountedUntil = now.Add(-usageBuckets * u.bucketWidth)
		u.bucketStart = u.accountedUntil
		u.reset()
	}
	for u.accountedUntil.Before(now) {
		end := u.bucketStart.Add(u.bucketWidth)
		until := end
		if now.Before(end) {
			until = now
		}
		u.add(until.Sub(u.accountedUntil).Seconds(), classes, limit)
		u.accountedUntil = until
		if until.Equal(end) {
			u.rotate(end)
		}
	}
}

func (u *slotUsage) add(seconds float64, classes []*class, limit float64) {
	for i, c := range classes {
		if c.inFlight > 0 {
			held := seconds * float64(c.inFlight)
			u.slotSeconds[u.currentBucket][i] += held
			u.classTotals[i] += held
		}
	}
	u.limitSeconds[u.currentBucket] += seconds * limit
	u.limitTotal += seconds * limit
}

// rotate starts a new bucket. It recomputes the totals so that rounding errors do not accumulate.
func (u *slotUsage) rotate(now time.Time) {
	u.bucketStart = now
	u.currentBucket = (u.currentBucket + 1) % usageBuckets
	clear(u.slotSeconds[u.currentBucket])
	u.limitSeconds[u.currentBucket] = 0
	clear(u.classTotals)
	u.limitTotal = 0
	for b := range u.slotSeconds {
		for i, held := range u.slotSeconds[b] {
			u.classTotals[i] += held
		}
		u.limitTotal += u.limitSeconds[b]
	}
}

func (u *slotUsage) reset() {
	for b := range u.slotSeconds {
		clear(u.slotSeconds[b])
		u.limitSeconds[b] = 0
	}
	clear(u.classTotals)
	u.limitTotal = 0
}

// fraction returns the share of the concurrency limit that a class used over the window.
func (u *slotUsage) fraction(class int) float64 {
	if u.limitTotal <= 0 {
		return 0
	}
	return u.classTotals[class] / u.limitTotal
}
