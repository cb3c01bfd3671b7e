package engine

import (
	"time"

	"github.com/berylledge/berylledge/internal/gate/speed"
)

// Cost parameters, in prompt tokens that the engine has to read.
const (
	sharedTokenCost     = 2.2  // for each unread token of a shared part, instead of 1
	pendingStagesWeight = 0.3  // of a request with pending stages, relative to one that has reached its engine
	pausedStreamCost    = 0.05 // for each unread token and each stream that pauses meanwhile, regardless of the pause's length
	runningRequestCost  = 40   // for each running request, since they all slow each other down
	lateStreamCost      = 6000 // for a stream that becomes late because of a pause
)

// pauseStats describes how reading prompts pauses the streams of an engine.
type pauseStats struct {
	readTimePerToken time.Duration // time in which the median engine reads one more prompt token; 0: unknown
	meanLateFraction float64       // fraction of an engine's streams that a prompt makes late, averaged over prompts
}

// readTime returns the time in which the median engine reads some prompt tokens.
func (s pauseStats) readTime(tokens float64) time.Duration {
	return time.Duration(tokens * float64(s.readTimePerToken))
}

// cost returns the cost of running a request on the engine.
// factor is how long the engine takes to read a token, relative to the median engine.
func (t *target) cost(r Request, chains []string, stats pauseStats, factor float64) float64 {
	own := factor * float64(t.unreadTokens(r, chains))
	cost := own
	for i, x := range r.Parts[:max(len(r.Parts)-1, 0)] {
		if t.parts[chains[i]] == nil {
			cost += (sharedTokenCost - 1) * float64(x.Tokens)
		}
	}
	reading := stats.readTime(own)
	streams := false
	for _, other := range t.tickets {
		cost += runningRequestCost + lateStreamCost*other.weight()*lateFraction(reading, other.gap)
		if other.isStreaming() {
			streams = true
			cost += pausedStreamCost * own
		}
		if other.hasPendingStages() { // its prompt will be read while this request streams
			cost += lateStreamCost * pendingStagesWeight * lateFraction(stats.readTime(factor*float64(other.unread)), r.Gap)
		}
		if other.rank <= r.Rank {
			cost += other.weight() * factor * float64(other.unread)
		}
	}
	if streams { // future prompts already avoid the engine
		cost -= lateStreamCost * stats.meanLateFraction * (1 - lateFraction(reading, r.Gap))
	}
	return cost
}

// lateFraction returns the estimated fraction of streams that become late if they pause for some time. A pause shorter
// than the permitted gap counts too, since another prompt may follow immediately.
func lateFraction(pause, gap time.Duration) float64 {
	if gap <= 0 {
		return 0
	}
	share := min(float64(pause)/float64(gap), 1)
	return share * share
}

// updatePauseStats records the effect of a placed prompt on streams with the same permitted gap. tokens is the number of
// tokens that the median engine would read in the same time.
func (p *Placer) updatePauseStats(tokens float64, gap time.Duration) {
	p.meanLateFraction += (lateFraction(p.pauseStats().readTime(tokens), gap) - p.meanLateFraction) * (1 - speed.SampleDecay)
}

func (p *Placer) pauseStats() pauseStats {
	return pauseStats{time.Duration(p.readTime.Slope()), p.meanLateFraction}
}

// weight returns the fraction of a request's unread prompt that counts as ahead of another one. A request with pending
// stages reaches its engine later, and the engine reads other prompts until then.
func (t *ticket) weight() float64 {
	if t.hasPendingStages() {
		return pendingStagesWeight
	}
	return 1
}
