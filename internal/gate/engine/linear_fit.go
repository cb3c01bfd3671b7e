package engine

import "time"

// line follows a quantity that grows with another one: exponentially weighted least squares.
type line struct {
	n, x, y, xx, xy float64 // weighted sums
}

// forget is the weight that older samples keep with each new one.
const forget = 0.98

// add takes a sample.
func (l *line) add(x, y float64) {
	l.n = l.n*forget + 1
	l.x = l.x*forget + x
	l.y = l.y*forget + y
	l.xx = l.xx*forget + x*x
	l.xy = l.xy*forget + x*y
}

// at returns the value that is expected at x; false before enough samples came.
func (l *line) at(x float64) (float64, bool) {
	if l.n < leastSamples {
		return 0, false
	}
	return max(l.y/l.n+l.slope()*(x-l.x/l.n), 0), true
}

// slope returns by how much the quantity grows with the other one; 0 before enough samples came, and instead of less.
func (l *line) slope() float64 {
	meanX, meanY := l.x/l.n, l.y/l.n
	spread := l.xx/l.n - meanX*meanX
	if l.n < leastSamples || spread <= 0 {
		return 0
	}
	return max((l.xy/l.n-meanX*meanY)/spread, 0)
}

// leastSamples is the weight of samples from which on a line is used.
const leastSamples = 8

// times expects durations for each rank.
type times struct {
	byRank map[int]*line // milliseconds
}

func (e *times) add(rank int, x float64, took time.Duration) {
	if e.byRank == nil {
		e.byRank = map[int]*line{}
	}
	l := e.byRank[rank]
	if l == nil {
		l = &line{}
		e.byRank[rank] = l
	}
	l.add(x, float64(took.Milliseconds()))
}

// expect returns false for a rank without samples.
func (e *times) expect(rank int, x float64) (time.Duration, bool) {
	l := e.byRank[rank]
	if l == nil {
		return 0, false
	}
	ms, ok := l.at(x)
	return time.Duration(ms * float64(time.Millisecond)), ok
}
