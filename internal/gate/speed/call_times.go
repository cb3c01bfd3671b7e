package speed

import (
	"math"
	"time"
)

// Learning parameters of CallTimes.
const (
	callDecay = 0.99 // keeps the fit steady over about 100 calls
	// callPrior is the weight of the configured times, in calls.
	callPrior = 8
	// callScale is the relative deviation at which a call counts half. Slow-downs to 2.5 times hardly count.
	callScale = 0.25
	// maxCallDeviation bounds the logarithm of the deviation of one call, for example of one that hung for seconds.
	maxCallDeviation = 1.5
	// typicalStep bounds how far one call moves the typical deviation, so that it follows the median.
	typicalStep = 0.05
	// maxCallRatio bounds learnt times, relative to configured ones.
	maxCallRatio = 4
	// callDeadBand is the relative difference up to which learnt times count as the configured ones.
	callDeadBand = 0.01
)

// CallTimes learns how long calls of a service take: a fixed time and a time for each piece. It starts with configured times. The
// zero value knows nothing; set the configured times first.
type CallTimes struct {
	fixed, piece time.Duration // configured
	fit          LinearFit     // nanoseconds by pieces
	typical      float64       // logarithm of the ratio of measured to expected time that calls usually have
	learnt       bool          // learnt times differ from the configured ones
	learntFixed  float64       // nanoseconds
	learntPiece  float64
}

// Configure sets the configured times. Changed ones drop what was learnt.
func (c *CallTimes) Configure(fixed, piece time.Duration) {
	if c.fixed != fixed || c.piece != piece {
		*c = CallTimes{fixed: fixed, piece: piece, fit: LinearFit{Decay: callDecay}}
	}
}

// Expected returns the expected duration of a call with n pieces. It is never below the configured one: pieces of some stages take less
// time than others, and forecasts from many light pieces were too good for the others (1% less worth in simulations of whole requests).
func (c *CallTimes) Expected(n int) time.Duration {
	configured := c.fixed + time.Duration(n)*c.piece
	if !c.learnt {
		return configured
	}
	learnt := c.learntFixed + float64(n)*c.learntPiece
	return time.Duration(min(max(learnt, float64(configured)), maxCallRatio*float64(configured)))
}

// Times returns the fixed time and the time for each piece as measured, even if that is below the configured times.
func (c *CallTimes) Times() (fixed, piece time.Duration) {
	if !c.learnt {
		return c.fixed, c.piece
	}
	return time.Duration(c.learntFixed), time.Duration(c.learntPiece)
}

// Learn records the duration of a call with n pieces, at an upstream that is as fast as the median. The influence of a call falls with
// its deviation from the usual duration, so that slow-downs of single upstreams hardly count.
func (c *CallTimes) Learn(n int, took time.Duration) {
	expected := c.Expected(n)
	if n <= 0 || took <= 0 || expected <= 0 {
		return
	}
	deviation := math.Log(float64(took)/float64(expected)) - c.typical
	sample := float64(expected) * math.Exp(c.typical+clamp(deviation, maxCallDeviation))
	c.fit.AddWeighted(float64(n), sample, 1/(1+deviation*deviation/(callScale*callScale)))
	c.typical += clamp(deviation, typicalStep) / 2
	c.update()
}

// update computes the learnt times. The configured ones count as callPrior calls at the same numbers of pieces, since calls that all
// hold the same number tell nothing about the time of a piece.
func (c *CallTimes) update() {
	l := &c.fit
	meanX, meanY := l.x/l.n, l.y/l.n
	configured := float64(c.fixed) + meanX*float64(c.piece)
	mean := (meanY*l.n + callPrior*configured) / (l.n + callPrior)
	spreadX := max(l.xx-l.n*meanX*meanX, 0)
	prior := callPrior * max(meanX*meanX, 1) / 12 // of calls that hold between half and one and a half times the mean number, evenly spread
	piece := (l.xy - l.n*meanX*meanY + prior*float64(c.piece)) / (spreadX + prior)
	piece = min(max(piece, 0), mean/max(meanX, 1))
	c.learntPiece, c.learntFixed = piece, mean-piece*meanX
	c.learnt = math.Abs(mean/configured-1) > callDeadBand || math.Abs(piece-float64(c.piece))*meanX > callDeadBand*configured
}
