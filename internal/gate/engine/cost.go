package engine

import "time"

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
	readTimePerToken time.Duration // time in which engines read one more prompt token; 0: unknown
	meanLateFraction float64       // fraction of an engine's streams that a prompt makes late, averaged over prompts
}

// cost returns the cost of running a request on the engine.
func (t *target) cost(r Request, chains []string, stats pauseStats) float64 {
	unread := t.unreadTokens(r, chains)
	own := float64(unread)
	cost := own
	for i, x := range r.Parts[:max(len(r.Parts)-1, 0)] {
		if t.parts[chains[i]] == nil {
			cost += (sharedTokenCost - 1) * float64(x.Tokens)
		}
	}
	reading := time.Duration(unread) * stats.readTimePerToken
	streams := false
	for _, other := range t.tickets {
		cost += runningRequestCost + lateStreamCost*other.weight()*lateFraction(reading, other.gap)
		if other.isStreaming() {
			streams = true
			cost += pausedStreamCost * own
		}
		if other.hasPendingStages() { // its prompt will be read while this request streams
			cost += lateStreamCost * pendingStagesWeight * lateFraction(time.Duration(other.unread)*stats.readTimePerToken, r.Gap)
		}
		if other.rank <= r.Rank {
			cost += other.weight() * float64(other.unread)
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

// updatePauseStats records the effect of a placed prompt on streams with the same permitted gap.
func (p *Placer) updatePauseStats(unread int, gap time.Duration) {
	p.meanLateFraction += (lateFraction(time.Duration(unread)*p.pauseStats().readTimePerToken, gap) - p.meanLateFraction) * (1 - sampleDecay)
}

func (p *Placer) pauseStats() pauseStats {
	return pauseStats{time.Duration(p.readTime.slope()), p.meanLateFraction}
}

// weight returns the fraction of a request's unread prompt that counts as ahead of another one. A request with pending
// stages reaches its engine later, and the engine reads other prompts until then.
func (t *ticket) weight() float64 {
	if t.hasPendingStages() {
		return pendingStagesWeight
	}
	return 1
}
