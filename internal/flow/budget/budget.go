// Package budget divides the time until a deadline among the stages of a pipeline, based on observed stage times.
//
// Usage:
//
//	e := budget.New(cfg)
//	estimate := e.Estimate(now, "ask", 0, 0.95)                // for admission: the whole pipeline
//	allowed := e.Split(now, deadline, "ask", []int{0, 1, 3})   // timeout of stage 0; stage 2 is skipped
//	e.Observe(now, "ask", 0, took)                             // then Split again for the next stage
//
// Call Observe for each finished attempt, and for each abandoned attempt with the time until it was abandoned: without the
// latter, a stage that has become slow would look fast. Until a stage has been observed, its configured ExpectedMS is used;
// it keeps a decreasing weight until there are MinObservations.
//
// A high estimate makes admission refuse all requests of a pipeline, so nothing would show that the stage has recovered.
// Therefore, if nothing was observed for ProbeAfter longer than the configured times, one caller gets an estimate from the
// configured times and acts as a probe. If the probe observes a stage at less than half its median, the old observations of
// that stage are dropped.
//
// An Estimator is not safe for concurrent use.
package budget

import (
	"math"
	"time"

	"github.com/berylledge/berylledge/internal/base/hist"
	"github.com/berylledge/berylledge/pkg/fleet"
)

const (
	// Period is the minimum time for which an observation counts; it is dropped after at most two periods. If a stage slows
	// down, its 95th percentile shows it after about a twentieth of a period.
	Period = 10 * time.Second
	// MinObservations is the number of observations from which the configured time is ignored. It prevents a single outlier
	// after an idle time from determining the estimate of a stage.
	MinObservations = 5
	// ProbeAfter is the time without observations, in addition to the configured times, after which a request becomes a
	// probe.
	ProbeAfter = time.Second

	defaultExpectedTime = 100 * time.Millisecond // used if fleet.Stage.ExpectedMS is not set
	// quantileTTL is how long a computed quantile is reused. Computing one merges two histograms, which is too slow to do
	// for each request.
	quantileTTL    = 250 * time.Millisecond
	highQuantile   = 0.95
	medianQuantile = 0.5
)

// Estimator estimates stage times from the observations of all stages of a configuration.
type Estimator struct {
	pipelines map[string]*pipeline
}

type pipeline struct {
	stages          []*stage
	firstEstimateAt time.Time // first estimate since the last observation; zero if none
	probing         bool      // a probe was given an estimate and has not ended
}

type stage struct {
	name           string
	expectedTime   time.Duration
	window         *hist.Window
	cache          [2]cachedQuantile
	nextCacheEntry int // index of the cache entry to replace next
}

// cachedQuantile is a computed quantile that may be reused for a while.
type cachedQuantile struct {
	q     float64 // 0 to 1
	until time.Time
	value time.Duration
}

// New returns an estimator without observations.
func New(cfg *fleet.Config) *Estimator {
	e := &Estimator{}
	e.SetConfig(cfg)
	return e
}

// SetConfig replaces the configuration. A stage keeps its observations if its pipeline and its name are unchanged.
func (e *Estimator) SetConfig(cfg *fleet.Config) {
	next := make(map[string]*pipeline, len(cfg.Pipelines))
	for _, p := range cfg.Pipelines {
		old := e.pipelines[p.Name]
		list := make([]*stage, 0, len(p.Stages))
		for _, s := range p.Stages {
			st := old.find(s.Name)
			if st == nil {
				st = &stage{name: s.Name, window: hist.New(Period)}
			}
			st.expectedTime = time.Duration(s.ExpectedMS) * time.Millisecond
			if s.ExpectedMS <= 0 {
				st.expectedTime = defaultExpectedTime
			}
			st.cache = [2]cachedQuantile{}
			list = append(list, st)
		}
		next[p.Name] = &pipeline{stages: list}
	}
	e.pipelines = next
}

// find returns the stage of the given name, or nil.
func (p *pipeline) find(name string) *stage {
	if p == nil {
		return nil
	}
	for _, s := range p.stages {
		if s.name == name {
			return s
		}
	}
	return nil
}

// stage returns the stage at index i, or nil.
func (p *pipeline) stage(i int) *stage {
	if p == nil || i < 0 || i >= len(p.stages) {
		return nil
	}
	return p.stages[i]
}

// Observe records the time that a stage took. Unknown stages are ignored, since the configuration may have changed.
func (e *Estimator) Observe(now time.Time, pipeline string, stage int, took time.Duration) {
	p := e.pipelines[pipeline]
	s := p.stage(stage)
	if s == nil {
		return
	}
	if p.probing && 2*took < s.quantile(now, medianQuantile) {
		s.window = hist.New(Period)
		s.cache = [2]cachedQuantile{}
	}
	p.firstEstimateAt = time.Time{}
	p.probing = p.probing && stage < len(p.stages)-1
	s.window.Record(now, took)
}

// Estimate returns the time in which the stages from fromStage to the last finish with probability quantile (0 to 1). It is
// 0 for an unknown pipeline.
func (e *Estimator) Estimate(now time.Time, pipeline string, fromStage int, quantile float64) time.Duration {
	p := e.pipelines[pipeline]
	if p == nil {
		return 0
	}
	return p.estimate(now, p.stages[min(max(fromStage, 0), len(p.stages)):], quantile)
}

// EstimateStages is like Estimate for a list of stages, such as those that a request does not skip.
func (e *Estimator) EstimateStages(now time.Time, pipeline string, stages []int, quantile float64) time.Duration {
	p := e.pipelines[pipeline]
	list := make([]*stage, 0, len(stages))
	for _, i := range stages {
		if s := p.stage(i); s != nil {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return 0
	}
	return p.estimate(now, list, quantile)
}

// estimate returns the estimate for a list of stages, or the configured times if the request becomes a probe.
func (p *pipeline) estimate(now time.Time, list []*stage, q float64) time.Duration {
	var sum quantileSum
	expected := time.Duration(0)
	for _, s := range list {
		sum.add(now, s, q)
		expected += s.expectedTime
	}
	total := sum.total()
	switch {
	case p.firstEstimateAt.IsZero():
		p.firstEstimateAt = now
	case total > expected && now.Sub(p.firstEstimateAt) > expected+ProbeAfter:
		p.firstEstimateAt, p.probing = now, true
		return expected
	}
	return total
}

// quantileSum approximates a quantile of the sum of independent distributions. The sum of high quantiles would overstate it,
// because independent stages are rarely all slow at once. Therefore the distances from the medians are added in quadrature.
type quantileSum struct{ median, signedSquares float64 }

func (qs *quantileSum) add(now time.Time, s *stage, q float64) {
	median := s.quantile(now, medianQuantile)
	qs.median += float64(median)
	if distance := float64(s.quantile(now, q) - median); q >= medianQuantile {
		qs.signedSquares += distance * distance
	} else {
		qs.signedSquares -= distance * distance
	}
}

func (qs *quantileSum) total() time.Duration {
	return time.Duration(max(qs.median+math.Copysign(math.Sqrt(math.Abs(qs.signedSquares)), qs.signedSquares), 0))
}

// Split returns the timeout of the first remaining stage that leaves the others enough time before the deadline. Each stage
// gets its median time, and the slack is divided in proportion to the distance from the median to the 95th percentile. If
// the time is shorter than the sum of the medians, it is divided in proportion to the medians. The result is 0 after the
// deadline, without remaining stages, and for an unknown stage.
func (e *Estimator) Split(now, deadline time.Time, pipeline string, remaining []int) time.Duration {
	left := float64(deadline.Sub(now))
	if left <= 0 || len(remaining) == 0 {
		return 0
	}
	p := e.pipelines[pipeline]
	var medianSum, spreadSum, firstMedian, firstSpread float64
	for n, i := range remaining {
		s := p.stage(i)
		if s == nil {
			continue
		}
		median := float64(s.quantile(now, medianQuantile))
		spread := max(float64(s.quantile(now, highQuantile))-median, median/10) // so that a stage without spread still gets part of the slack
		medianSum += median
		spreadSum += spread
		if n == 0 {
			firstMedian, firstSpread = median, spread
		}
	}
	if medianSum <= 0 {
		return 0
	}
	if slack := left - medianSum; slack > 0 {
		return time.Duration(firstMedian + slack*firstSpread/spreadSum)
	}
	return time.Duration(left * firstMedian / medianSum)
}

// quantile returns a quantile of the observed times, mixed with the expected time while there are few observations.
func (s *stage) quantile(now time.Time, q float64) time.Duration {
	for i := range s.cache {
		if c := &s.cache[i]; c.q == q && now.Before(c.until) {
			return c.value
		}
	}
	value := s.expectedTime
	if observed, ok := s.window.Quantile(now, q); ok {
		weight := min(float64(s.window.Count(now))/MinObservations, 1)
		value += time.Duration(weight * float64(observed-s.expectedTime))
	}
	s.cache[s.nextCacheEntry] = cachedQuantile{q: q, until: now.Add(quantileTTL), value: value}
	s.nextCacheEntry = (s.nextCacheEntry + 1) % len(s.cache)
	return value
}
