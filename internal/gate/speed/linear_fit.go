package speed

// LinearFit is a linear regression by exponentially weighted least squares. The zero value is ready to use.
type LinearFit struct {
	n, x, y, xx, xy float64 // weighted sums
	Decay           float64 // factor by which each new sample reduces the weight of older ones; 0: SampleDecay
}

// SampleDecay is the default decay of a fit.
const SampleDecay = 0.98

// minSampleWeight is the total sample weight required to use a fit.
const minSampleWeight = 8

// Add adds a sample.
func (l *LinearFit) Add(x, y float64) { l.AddWeighted(x, y, 1) }

// AddWeighted adds a sample with a weight.
func (l *LinearFit) AddWeighted(x, y, weight float64) {
	decay := l.Decay
	if decay == 0 {
		decay = SampleDecay
	}
	l.n = l.n*decay + weight
	l.x = l.x*decay + weight*x
	l.y = l.y*decay + weight*y
	l.xx = l.xx*decay + weight*x*x
	l.xy = l.xy*decay + weight*x*y
}

// Predict returns the expected value at x; false while there are too few samples.
func (l *LinearFit) Predict(x float64) (float64, bool) {
	if l.n < minSampleWeight {
		return 0, false
	}
	return max(l.y/l.n+l.Slope()*(x-l.x/l.n), 0), true
}

// Slope returns the slope of the fit. It is 0 while there are too few samples, and never negative.
func (l *LinearFit) Slope() float64 {
	meanX, meanY := l.x/l.n, l.y/l.n
	spread := l.xx/l.n - meanX*meanX
	if l.n < minSampleWeight || spread <= 0 {
		return 0
	}
	return max((l.xy/l.n-meanX*meanY)/spread, 0)
}
