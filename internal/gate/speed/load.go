package speed

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Load is what an upstream reports about itself with an answer.
type Load struct {
	Running, Waiting, Slots int
	// Duration is how long work takes on the machine at this moment, relative to the usual time; 0: not reported.
	Duration float64
}

// Bounds of the figures of a load header.
const (
	maxLoadCount   = 1_000_000
	maxLoadPercent = 100 * maxRatio
)

// ParseLoad parses the value of a load header: three or four numbers, separated by commas or spaces. It returns false for any other
// value, which is then ignored as a whole.
func ParseLoad(text string) (Load, bool) {
	const maxLength = 128
	if len(text) > maxLength {
		return Load{}, false
	}
	text = strings.TrimSpace(text)
	fields := strings.Split(text, ",")
	if len(fields) == 1 {
		fields = strings.Fields(text)
	}
	if len(fields) < 3 || len(fields) > 4 {
		return Load{}, false
	}
	var counts [3]int
	for i := range counts {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || n < 0 || n > maxLoadCount {
			return Load{}, false
		}
		counts[i] = n
	}
	out := Load{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	if len(fields) == 3 {
		return out, true
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(fields[3]), 64)
	if err != nil || !(percent > 0) || percent > maxLoadPercent {
		return Load{}, false
	}
	out.Duration = percent / 100
	return out, true
}

// reportHalfLife is the time in which a reported figure loses half of its weight: the figure changes many times a second, and slow-downs
// last about 600 ms.
const reportHalfLife = 250 * time.Millisecond

// usualWeight is the weight of the newest report in the average of an upstream's reports.
const usualWeight = 0.1

// Report is the last reported duration of an upstream. Upstreams may state it relative to their own usual time or to that of their
// service, so that only its deviation from their usual figure is used. The zero value is an upstream without a report.
type Report struct {
	at       time.Time
	fresh    bool    // not yet compared with the duration of its work
	reported float64 // logarithm of the last figure
	bias     float64 // average logarithm of the ratio of measured to reported duration
}

// Add records a reported duration, relative to the usual one.
func (r *Report) Add(now time.Time, duration float64) {
	if !(duration > 0) || math.IsInf(duration, 0) {
		return
	}
	r.at, r.fresh = now, true
	r.reported = clamp(math.Log(duration), math.Log(maxRatio))
}

// Learn records that work which has just ended took a multiple of the expected time. It follows Add for the same answer, and has no
// effect if the answer carried no report.
func (r *Report) Learn(multiple float64) {
	if !r.fresh || !(multiple > 0) {
		return
	}
	r.fresh = false
	r.bias += usualWeight * (clamp(math.Log(multiple)-r.reported, math.Log(maxRatio)) - r.bias)
}

// Blend returns the factor of an upstream: the reported one while it is new, and the learnt one later.
func (r *Report) Blend(now time.Time, learnt float64) float64 {
	if !r.IsFresh(now) {
		return learnt
	}
	weight := r.weight(now)
	log := math.Log(learnt)
	log += weight * (r.bias + r.reported - log)
	if math.Abs(log) <= deadBand {
		return 1
	}
	return min(max(math.Exp(log), MinFactor), MaxFactor)
}

// minReportWeight is the weight below which a report is ignored, a second after it arrived.
const minReportWeight = 0.06

// IsFresh reports whether the last report still counts.
func (r *Report) IsFresh(now time.Time) bool { return r.weight(now) >= minReportWeight }

func (r *Report) weight(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return math.Exp2(-max(float64(now.Sub(r.at)), 0) / float64(reportHalfLife))
}
