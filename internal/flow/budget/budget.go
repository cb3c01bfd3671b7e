// Package budget divides the time before a deadline among the stages of a pipeline, from the observed time of each stage.
//
// Usage:
//
//	b := budget.New(cfg)
//	estimate := b.Estimate(now, "ask", 0, 0.95)                // for admission: the whole pipeline
//	allowed := b.Split(now, deadline, "ask", []int{0, 1, 3})   // time-out of stage 0; stage 2 is skipped
//	b.Observe(now, "ask", 0, took)                             // then Split again for the next stage
//
// Observe is called for each finished attempt, and for an attempt that was given up with the time until then: leaving
// those out would make a stage that has become slow look fast. Until a stage has been observed its configured ExpectedMS
// stands in, and it keeps a falling weight up to MinObservations.
//
// A high estimate makes admission refuse all requests of a pipeline, and then nothing shows that the stage has recovered.
// So, when nothing was observed for ProbeAfter longer than a request should take, one caller gets the configured times and
// becomes a probe; if the probe finds a stage at less than half its median, the old observations of the stage are dropped.
//
// A Book is not safe for concurrent use.
package budget

import (
	"math"
	"time"

	"github.com/berylledge/berylledge/internal/base/hist"
	"github.com/berylledge/berylledge/pkg/fleet"
)

const (
	// Period is how long an observation counts at least; it is forgotten after two periods. A stage that slows down
	// shows in its 95th percentile after about a twentieth of this.
	Period = 10 * time.Second
	// MinObservations is the number from which observations alone count, so that a single outlier after an idle time does
	// not set the estimate of a stage.
	MinObservations = 5
	// ProbeAfter is how much longer than the configured times nothing may be observed before a request becomes a probe.
	ProbeAfter = time.Second

	defaultExpected = 100 * time.Millisecond // of fleet.Stage.ExpectedMS
	// cacheTime bounds the age of a quantile. A quantile merges two histograms, which is too slow for each request.
	cacheTime = 250 * time.Millisecond
	high      = 0.95
	median    = 0.5
)

// Estimator holds the distributions of all stages of a configuration.
type Estimator struct {
	pipelines map[string]*pipeline
}

type pipeline struct {
	stages  []*stage
	asked   time.Time // first estimate since the last observation; zero if there was none
	probing bool      // an estimate was given to a probe that has not ended
}

type stage struct {
	name     string
	expected time.Duration
	window   *hist.Window
	cache    [2]cached
	next     int // entry of the cache that is replaced next
}

type cached struct {
	q     float64
	until time.Time
	value time.Duration
}

// New returns a book without observations.
func New(cfg *fleet.Config) *Estimator {
	b := &Estimator{}
	b.SetConfig(cfg)
	return b
}

// SetConfig takes a new configuration. Stages whose pipeline and name stay keep their observations.
func (b *Estimator) SetConfig(cfg *fleet.Config) {
	next := make(map[string]*pipeline, len(cfg.Pipelines))
	for _, p := range cfg.Pipelines {
		old := b.pipelines[p.Name]
		list := make([]*stage, 0, len(p.Stages))
		for _, s := range p.Stages {
			st := old.find(s.Name)
			if st == nil {
				st = &stage{name: s.Name, window: hist.New(Period)}
			}
			st.expected = time.Duration(s.ExpectedMS) * time.Millisecond
			if s.ExpectedMS <= 0 {
				st.expected = defaultExpected
			}
			st.cache = [2]cached{}
			list = append(list, st)
		}
		next[p.Name] = &pipeline{stages: list}
	}
	b.pipelines = next
}

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

// stage returns a stage by its place, or nil.
func (p *pipeline) stage(i int) *stage {
	if p == nil || i < 0 || i >= len(p.stages) {
		return nil
	}
	return p.stages[i]
}

// Observe records the time that one stage took. Unknown stages are ignored: the configuration may have changed meanwhile.
func (b *Estimator) Observe(now time.Time, pipeline string, stage int, took time.Duration) {
	p := b.pipelines[pipeline]
	s := p.stage(stage)
	if s == nil {
		return
	}
	if p.probing && 2*took < s.quantile(now, median) {
		s.window = hist.New(Period)
		s.cache = [2]cached{}
	}
	p.asked = time.Time{}
	p.probing = p.probing && stage < len(p.stages)-1
	s.window.Record(now, took)
}

// Estimate returns the time within which the stages from the given one to the last end with probability quantile (0 to
// 1). It is 0 for an unknown pipeline.
func (b *Estimator) Estimate(now time.Time, pipeline string, fromStage int, quantile float64) time.Duration {
	p := b.pipelines[pipeline]
	if p == nil {
		return 0
	}
	return p.estimate(now, p.stages[min(max(fromStage, 0), len(p.stages)):], quantile)
}

// EstimateStages is Estimate for a list of stages, which leaves out those that the request skips.
func (b *Estimator) EstimateStages(now time.Time, pipeline string, stages []int, quantile float64) time.Duration {
	p := b.pipelines[pipeline]
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

func (p *pipeline) estimate(now time.Time, list []*stage, q float64) time.Duration {
	var sum estimate
	expected := time.Duration(0)
	for _, s := range list {
		sum.add(now, s, q)
		expected += s.expected
	}
	total := sum.total()
	switch {
	case p.asked.IsZero():
		p.asked = now
	case total > expected && now.Sub(p.asked) > expected+ProbeAfter:
		p.asked, p.probing = now, true
		return expected
	}
	return total
}

// estimate adds up distributions. The sum of high quantiles overstates the quantile of the sum, since independent stages
// are rarely all slow at once; so distances from the medians are added as squares.
type estimate struct{ medians, squares float64 }

func (e *estimate) add(now time.Time, s *stage, q float64) {
	mid := s.quantile(now, median)
	e.medians += float64(mid)
	if distance := float64(s.quantile(now, q) - mid); q >= median {
		e.squares += distance * distance
	} else {
		e.squares -= distance * distance
	}
}

func (e *estimate) total() time.Duration {
	return time.Duration(max(e.medians+math.Copysign(math.Sqrt(math.Abs(e.squares)), e.squares), 0))
}

// Split returns the time allowed to the first of the remaining stages, so that the others can still end in time. Each
// stage gets its median time, and the time beyond the medians is divided in proportion to the distance from the median to
// the 95th percentile. When even the medians do not fit, the time is divided in proportion to them. It is 0 after the
// deadline and without remaining stages; unknown stages get nothing.
func (b *Estimator) Split(now, deadline time.Time, pipeline string, remaining []int) time.Duration {
	left := float64(deadline.Sub(now))
	if left <= 0 || len(remaining) == 0 {
		return 0
	}
	p := b.pipelines[pipeline]
	var mid, spread, firstMid, firstSpread float64
	for n, i := range remaining {
		s := p.stage(i)
		if s == nil {
			continue
		}
		m := float64(s.quantile(now, median))
		d := max(float64(s.quantile(now, high))-m, m/10) // a stage without any spread still gets part of the slack
		mid += m
		spread += d
		if n == 0 {
			firstMid, firstSpread = m, d
		}
	}
	if mid <= 0 {
		return 0
	}
	if slack := left - mid; slack > 0 {
		return time.Duration(firstMid + slack*firstSpread/spread)
	}
	return time.Duration(left * firstMid / mid)
}

func (s *stage) quantile(now time.Time, q float64) time.Duration {
	for i := range s.cache {
		if c := &s.cache[i]; c.q == q && now.Before(c.until) {
			return c.value
		}
	}
	value := s.expected
	if observed, ok := s.window.Quantile(now, q); ok {
		weight := min(float64(s.window.Count(now))/MinObservations, 1)
		value += time.Duration(weight * float64(observed-s.expected))
	}
	s.cache[s.next] = cached{q: q, until: now.Add(cacheTime), value: value}
	s.next = (s.next + 1) % len(s.cache)
	return value
}
