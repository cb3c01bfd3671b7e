package admit

import (
	"math"
	"time"
)

// LimitKind selects the algorithm that adapts the concurrency limit.
type LimitKind int

// Limit algorithms. All but Fixed adjust the limit once per period. A period lasts as long as an average request, because
// the effect of a change cannot be observed earlier. At equal latency of urgent work Gradient has the higher goodput,
// since its smaller steps leave fewer slots unused (see docs/notes/admission.md).
const (
	// Gradient scales the limit by the fraction of a request's time that is not queueing delay beyond the target. If the
	// limit was reached in the period, it adds half the square root of the limit to allow growth.
	Gradient LimitKind = iota
	// AIMD multiplies the limit by 0.85 if the mean queueing delay of a period exceeds the target, and otherwise adds 1 if
	// the limit was reached in the period.
	AIMD
	// Fixed keeps the limit at Policy.InitialLimit.
	Fixed
)

const (
	decreaseFactor       = 0.85
	minPeriod            = 100 * time.Millisecond
	serviceTimeSmoothing = 0.1
	gradientStep         = 0.2
	// gradientGrowth scales the growth term of Gradient. At 1, limits of about 16 per node kept a standing queue at the
	// upstreams as long as the work itself, which delayed urgent requests.
	gradientGrowth = 0.5
	// The limit never exceeds peakFactor times the peak use of the period plus peakHeadroom. Otherwise it stays at a value
	// that no load has tested, and a flood fills the queues of the upstreams before the limit is lowered.
	peakFactor   = 1.5
	peakHeadroom = 4
)

// defaultDelayTarget returns a delay target per algorithm; with these values urgent requests have about the same latency
// under overload with each of them.
func defaultDelayTarget(kind LimitKind) time.Duration {
	if kind == AIMD {
		return 150 * time.Millisecond
	}
	return 10 * time.Millisecond
}

// limiter adapts the concurrency limit of a node.
type limiter struct {
	kind               LimitKind
	delayTarget        time.Duration
	minLimit, maxLimit float64
	limit              float64
	serviceTime        float64 // smoothed time from admission to finish, in seconds
	periodStart        time.Time
	saturated          bool    // the limit was reached in the period
	peak               int     // largest number in flight in the period
	delays             float64 // sum over the samples, in seconds
	serviceTimes       float64 // sum over the samples, in seconds
	samples            int
	uncongestedPeriods int // since the last period with queueing; enlarge the steps of Gradient
}

func (l *limiter) configure(p *Policy) {
	if l.limit == 0 || p.Limit == Fixed {
		l.limit = float64(p.InitialLimit)
	}
	l.kind, l.delayTarget = p.Limit, p.DelayTarget
	if l.delayTarget <= 0 {
		l.delayTarget = defaultDelayTarget(p.Limit)
	}
	l.minLimit, l.maxLimit = float64(p.MinLimit), float64(p.MaxLimit)
	l.limit = min(max(l.limit, l.minLimit), l.maxLimit)
}

// observe records a finished request. Requests admitted before the period started ran under an older limit and do not
// count towards it.
func (l *limiter) observe(now, admitted time.Time, delay time.Duration, longRunning bool) {
	serviceTime := now.Sub(admitted).Seconds()
	if !longRunning { // long requests would make the period far longer than the upstreams take to react
		if l.serviceTime == 0 {
			l.serviceTime = serviceTime
		}
		l.serviceTime += serviceTimeSmoothing * (serviceTime - l.serviceTime)
	}
	if delay < 0 || admitted.Before(l.periodStart) {
		return
	}
	l.delays += delay.Seconds()
	l.serviceTimes += serviceTime
	l.samples++
}

// adapt updates the limit at the end of each period.
func (l *limiter) adapt(now time.Time, inFlight int) {
	full := inFlight >= int(l.limit)
	l.peak = max(l.peak, inFlight)
	l.saturated = l.saturated || full
	period := max(minPeriod, time.Duration(l.serviceTime*float64(time.Second)))
	if l.samples == 0 || now.Sub(l.periodStart) < period {
		return
	}
	meanDelay, serviceTime := l.delays/float64(l.samples), l.serviceTimes/float64(l.samples)
	switch l.kind {
	case AIMD:
		l.stepAIMD(meanDelay)
	case Gradient:
		l.stepGradient(meanDelay, serviceTime)
	case Fixed:
	}
	if l.kind != Fixed {
		l.limit = min(l.limit, peakFactor*float64(l.peak)+peakHeadroom)
	}
	l.limit = min(max(l.limit, l.minLimit), l.maxLimit)
	l.peak = inFlight
	l.periodStart, l.saturated, l.delays, l.serviceTimes, l.samples = now, full, 0, 0, 0
}

func (l *limiter) stepAIMD(meanDelay float64) {
	switch {
	case meanDelay > l.delayTarget.Seconds():
		l.limit *= decreaseFactor
	case l.saturated:
		l.limit++
	}
}

func (l *limiter) stepGradient(meanDelay, serviceTime float64) {
	base := max(serviceTime-meanDelay, 1e-3)
	next := l.limit * min(max((base+l.delayTarget.Seconds())/(base+meanDelay), 0.5), 1)
	if l.saturated {
		next += gradientGrowth * math.Sqrt(l.limit)
	}
	if meanDelay > l.delayTarget.Seconds()/4 {
		l.uncongestedPeriods = 0
	}
	l.limit += min(gradientStep*float64(1+l.uncongestedPeriods), 1) * (next - l.limit)
	l.uncongestedPeriods++
}
