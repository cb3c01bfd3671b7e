package engine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// readPeriodDecay keeps the fit steady over about 500 prompts, since it is the reference for the speeds of engines.
const readPeriodDecay = 0.998

// shortPrompt is the number of tokens from which the weight of a prompt in the fit falls with its length. Deviations grow
// with the length, so equal weights would leave the fixed part of the time uncertain.
const shortPrompt = 1000

// maxDeviation bounds the influence of one prompt on the fit, for example of one at an engine that hung for seconds.
const maxDeviation = 4

// readMeter finds out when an engine read a prompt.
type readMeter struct {
	lastEvent time.Time // when the newest first event arrived
	// interrupted reports that a request ended before its first event. It is not known how much of its prompt was read,
	// so the next measurement is discarded.
	interrupted bool
}

// begin returns when the engine began to read the prompt of a request whose first event has just arrived; false if that
// is not known. An engine reads one prompt after the other, so it began at the preceding first event or when the request
// arrived, whichever was later. A queue at the engine is therefore not taken for slowness.
func (m *readMeter) begin(now time.Time, t *ticket) (time.Time, bool) {
	began, ok := clock.Later(t.stagesDone, m.lastEvent), !m.interrupted
	m.lastEvent, m.interrupted = now, false
	return began, ok
}

// learnSpeed learns the speed of an engine from the first event of a request.
func (p *Placer) learnSpeed(now time.Time, t *ticket) {
	at := p.targets[t.target]
	if at == nil || t.unread == 0 {
		return
	}
	began, ok := at.reading.begin(now, t)
	if !ok {
		return
	}
	took := now.Sub(began)
	tokens := p.speeds.Estimate(now, t.target) * float64(t.initialUnread)
	expected, known := p.readPeriod.Predict(tokens)
	reading := p.readPeriod.Slope() * tokens
	sample := float64(took)
	if known && expected > 0 {
		sample = min(sample, maxDeviation*expected)
	}
	p.readPeriod.AddWeighted(tokens, sample, shortPrompt/(shortPrompt+tokens))
	if known {
		p.speeds.Learn(now, t.target, took, time.Duration(max(expected, reading)), time.Duration(reading))
	}
}

// SpeedChange tells that the learnt speed of an engine has changed.
type SpeedChange struct {
	ID     string
	Factor float64 // how long the engine takes to read a token, relative to the median engine
}

// SpeedRange returns the lowest and the highest factor of the engines; 1 and 1 if there are none.
func (p *Placer) SpeedRange(now time.Time) (float64, float64) {
	least, most := 1.0, 1.0
	for id := range p.targets {
		factor := p.speeds.Factor(now, id)
		least, most = min(least, factor), max(most, factor)
	}
	return least, most
}

// Reports of changed speeds.
const (
	speedChangeInterval = time.Second
	minSpeedChange      = 1.2
)

// SpeedChanges returns the engines whose factor has changed by a fifth or more since it was last returned. It looks at
// most once a second.
func (p *Placer) SpeedChanges(now time.Time) []SpeedChange {
	if now.Sub(p.lastSpeedChange) < speedChangeInterval {
		return nil
	}
	p.lastSpeedChange = now
	var out []SpeedChange
	for id, t := range p.targets {
		factor := p.speeds.Factor(now, id)
		if math.Abs(math.Log(factor/cmp.Or(t.loggedSpeed, 1))) >= math.Log(minSpeedChange) {
			t.loggedSpeed = factor
			out = append(out, SpeedChange{id, factor})
		}
	}
	slices.SortFunc(out, func(a, b SpeedChange) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
