package engine

import "time"

// Parameters of the cost, in prompt tokens that the engine has to read.
const (
	sharedCost   = 2.2  // of a token of a shared part, against a token that must be read anyway
	stagedWeight = 0.3  // of a request whose stages still run, against one that has reached its engine
	streamCost   = 0.05 // of a token that must be read, for each stream that pauses meanwhile, however long it may
	runCost      = 40   // of each running request, which all slow each other down
	lateCost     = 6000 // of a stream that is late because of a pause
)

// pauses is what is known of the pauses that prompts cause.
type pauses struct {
	perToken time.Duration // in which engines read one more token of a prompt; 0 until it is known
	share    float64       // of the streams at an engine that are late because of a prompt, on the mean of the prompts
}

// cost is what it costs to run a request on the engine.
func (t *target) cost(r Request, chains []string, known pauses) float64 {
	unread := t.unread(r, chains)
	own := float64(unread)
	cost := own
	for i, x := range r.Parts[:max(len(r.Parts)-1, 0)] {
		if t.parts[chains[i]] == nil {
			cost += (sharedCost - 1) * float64(x.Tokens)
		}
	}
	reading := time.Duration(unread) * known.perToken
	streams := false
	for _, other := range t.tickets {
		cost += runCost + lateCost*other.weight()*lateShare(reading, other.gap)
		if other.streaming() {
			streams = true
			cost += streamCost * own
		}
		if other.staging() { // its prompt will be read while this request streams
			cost += lateCost * stagedWeight * lateShare(time.Duration(other.unread)*known.perToken, r.Gap)
		}
		if other.rank <= r.Rank {
			cost += other.weight() * float64(other.unread)
		}
	}
	if streams { // the next prompts avoid the engine already
		cost -= lateCost * known.share * (1 - lateShare(reading, r.Gap))
	}
	return cost
}

// lateShare is the share of streams that are late if they pause for some time. A pause below the longest one that is on time counts
// too, since the next prompt may follow at once.
func lateShare(pause, gap time.Duration) float64 {
	if gap <= 0 {
		return 0
	}
	share := min(float64(pause)/float64(gap), 1)
	return share * share
}

// learnPauses notes what a prompt that was placed does to streams like its own.
func (p *Placer) learnPauses(unread int, gap time.Duration) {
	p.share += (lateShare(time.Duration(unread)*p.pauses().perToken, gap) - p.share) * (1 - forget)
}

func (p *Placer) pauses() pauses { return pauses{time.Duration(p.reads.slope()), p.share} }

// weight is the part of a request's unread prompt that stands before another one: a request whose stages still run reaches its
// engine later, and the engine reads other prompts until then.
func (t *ticket) weight() float64 {
	if t.staging() {
		return stagedWeight
	}
	return 1
}
