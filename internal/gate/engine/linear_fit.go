package engine

import "time"

// linearFit is a linear regression by exponentially weighted least squares.
type linearFit struct {
	n, x, y, xx, xy float64 // weighted sums
	decay           float64 // factor by which each new sample reduces the weight of older ones; 0: sampleDecay
}

const sampleDecay = 0.98

// add adds a sample.
func (l *linearFit) add(x, y float64) { l.addWeighted(x, y, 1) }

// addWeighted adds a sample with a weight.
func (l *linearFit) addWeighted(x, y, weight float64) {
	decay := l.decay
	if decay == 0 {
		decay = sampleDecay
	}
	l.n = l.n*decay + weight
	l.x = l.x*decay + weight*x
	l.y = l.y*decay + weight*y
	l.xx = l.xx*decay + weight*x*x
	l.xy = l.xy*decay + weight*x*y
}

// predict returns the expected value at x; false while there are too few samples.
func (l *linearFit) predict(x float64) (float64, bool) {
	if l.n < minSampleWeight {
		return 0, false
	}
	return max(l.y/l.n+l.slope()*(x-l.x/l.n), 0), true
}

// slope returns the slope of the fit. It is 0 while there are too few samples, and never negative.
func (l *linearFit) slope() float64 {
	meanX, meanY := l.x/l.n, l.y/l.n
	spread := l.xx/l.n - meanX*meanX
	if l.n < minSampleWeight || spread <= 0 {
		return 0
	}
	return max((l.xy/l.n-meanX*meanY)/spread, 0)
}

// minSampleWeight is the total sample weight required to use a fit.
const minSampleWeight = 8

// durationModel predicts durations with a separate fit for each rank.
type durationModel struct {
	byRank map[int]*linearFit // milliseconds
}

func (e *durationModel) add(rank int, x float64, took time.Duration) {
	if e.byRank == nil {
		e.byRank = map[int]*linearFit{}
	}
	l := e.byRank[rank]
	if l == nil {
		l = &linearFit{}
		e.byRank[rank] = l
	}
	l.add(x, float64(took.Milliseconds()))
}

// predict returns false for a rank with too few samples.
func (e *durationModel) predict(rank int, x float64) (time.Duration, bool) {
	l := e.byRank[rank]
	if l == nil {
		return 0, false
	}
	ms, ok := l.predict(x)
	return time.Duration(ms * float64(time.Millisecond)), ok
}
