// Package speed learns how fast the upstreams of a service are in comparison with each other.
//
// A Table keeps a factor for each upstream: how long a piece of work takes there, divided by what it takes at the median
// upstream of the service. It is a deterministic state machine without I/O and is not safe for concurrent use.
//
// Usage:
//
//	t := speed.New()
//	expected := model(work * t.Estimate(now, id))
//	t.Learn(now, id, took, expected, expected)
//	finish := ahead * t.Factor(now, id)
//
// Learning is slow, so that a short slow-down does not count as the speed of an upstream. A slow-down of the whole service
// changes no factor. Upstreams without any evidence, and those close to the median, have the factor 1.
package speed

import (
	"math"
	"slices"
	"time"
)

// Bounds of factors.
const (
	MinFactor = 0.25
	MaxFactor = 4
	// maxRatio bounds estimates. It is wider than the bounds of factors, so that an extreme upstream does not shift the
	// average over all upstreams.
	maxRatio = 16
)

// Learning parameters.
const (
	// priorWeight is the weight of the assumption that an upstream is as fast as the median, in time of work.
	priorWeight = 1500 * time.Millisecond
	// maxWeight bounds the weight of past evidence. With slow-downs to 2.5 times during 15% of the time, 600 ms each,
	// estimates of equal upstreams differ by about 5%.
	maxWeight = 8 * time.Second
	// maxStep bounds the logarithm of a single ratio of actual to expected time, relative to the current estimate.
	maxStep = 0.5
	// maxGeneralWeight bounds the weight of one ratio in the moving average over all upstreams.
	maxGeneralWeight = 0.02
	// deadBand is the logarithm of the factor up to which an upstream counts as being as fast as the median. Between it
	// and twice its value, the applied factor rises linearly to the learnt one.
	deadBand = 0.1
	// After slowGrace without new evidence, the learnt slowness of an upstream halves every slowHalfLife, so that it gets
	// work again and can be seen to have recovered. Without the grace time, 1.6 was learnt as 1.4.
	slowGrace    = 10 * time.Second
	slowHalfLife = 20 * time.Second
)

type record struct {
	ratio     float64   // logarithm of the ratio of actual to expected time
	weight    float64   // of past evidence, in seconds of work
	learnedAt time.Time // when evidence was last added
}

// Table holds the learnt factors of the upstreams of one service.
type Table struct {
	records map[string]*record
	general float64 // logarithm of the ratio of actual to expected time, averaged over all upstreams
	median  float64 // of the ratios of the upstreams with sufficient evidence
	ratios  []float64
}

// New returns a table in which all upstreams have the factor 1.
func New() *Table { return &Table{records: map[string]*record{}} }

// Learn records that work at an upstream took some time. expected must include Estimate. weight is the part of expected
// that depends on the speed of the upstream.
func (t *Table) Learn(now time.Time, id string, took, expected, weight time.Duration) {
	if took <= 0 || expected <= 0 || weight <= 0 {
		return
	}
	r := t.records[id]
	if r == nil {
		r = &record{ratio: t.median}
		t.records[id] = r
	}
	r.ratio = t.median + t.log(now, id)
	r.weight *= r.evidenceLeft(now)
	r.learnedAt = now
	step := clamp(math.Log(float64(took)/float64(expected))-t.general, maxStep)
	added := weight.Seconds()
	t.general += step * min(added/(maxWeight.Seconds()*float64(len(t.records))), maxGeneralWeight)
	r.ratio += step * min(added/(priorWeight.Seconds()+r.weight+added), 1)
	r.ratio = t.median + clamp(r.ratio-t.median, math.Log(maxRatio))
	r.weight = min(r.weight+added, maxWeight.Seconds())
	t.updateMedian()
}

// Forget drops what is known of an upstream, for example because it has restarted.
func (t *Table) Forget(id string) {
	if t.records[id] != nil {
		delete(t.records, id)
		t.updateMedian()
	}
}

// Estimate returns the learnt factor of an upstream. Unlike Factor, it is also exact close to 1.
func (t *Table) Estimate(now time.Time, id string) float64 { return math.Exp(t.log(now, id)) }

// Factor returns the factor by which the time of work at an upstream is multiplied in decisions.
func (t *Table) Factor(now time.Time, id string) float64 {
	log := t.log(now, id)
	excess := math.Abs(log)
	switch {
	case excess <= deadBand:
		return 1
	case excess < 2*deadBand:
		log = math.Copysign(2*(excess-deadBand), log)
	}
	return min(max(math.Exp(log), MinFactor), MaxFactor)
}

// log returns the logarithm of an upstream's factor.
func (t *Table) log(now time.Time, id string) float64 {
	r := t.records[id]
	if r == nil {
		return 0
	}
	log := r.ratio - t.median
	if log > 0 {
		log *= r.evidenceLeft(now)
	}
	return clamp(log, math.Log(maxRatio))
}

// evidenceLeft returns the fraction of past evidence that still counts.
func (r *record) evidenceLeft(now time.Time) float64 {
	age := now.Sub(r.learnedAt) - slowGrace
	if age <= 0 || r.learnedAt.IsZero() {
		return 1
	}
	return math.Exp2(-float64(age) / float64(slowHalfLife))
}

// updateMedian recomputes the median over the upstreams whose evidence outweighs the prior assumption.
func (t *Table) updateMedian() {
	t.ratios = t.ratios[:0]
	for _, r := range t.records {
		if r.weight >= priorWeight.Seconds() {
			t.ratios = append(t.ratios, r.ratio)
		}
	}
	n := len(t.ratios)
	if n == 0 {
		t.median = 0
		return
	}
	slices.Sort(t.ratios)
	t.median = (t.ratios[(n-1)/2] + t.ratios[n/2]) / 2
}

func clamp(x, bound float64) float64 { return min(max(x, -bound), bound) }
