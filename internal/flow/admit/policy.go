package admit

import (
	"time"

	"github.com/berylledge/berylledge/pkg/fleet"
)

// Policy holds the settings of a Machine. A field that is zero means the default given in its comment.
type Policy struct {
	Ranks []Rank // most urgent first; default: one rank without a guaranteed share
	Teams map[string]Team
	// Nodes is the number of entry nodes that share the fleet-wide rate limits of teams; default 1. Each node allows
	// MaxPerSecond/Nodes with a burst of one second's worth, at least 1 request. In any time t the fleet accepts at most
	// MaxPerSecond*t + max(Nodes, MaxPerSecond) requests of a team. If a fraction f of a team's requests arrives at its
	// busiest node, the team gets at least MaxPerSecond/(Nodes*f): its full rate if they are spread evenly, and
	// MaxPerSecond/Nodes if all arrive at one node. While nodes disagree on Nodes, the bound on accepted requests grows by
	// the ratio of the larger to the smaller value.
	Nodes            int
	Limit            LimitKind     // default Gradient
	InitialLimit     int           // slots at the start; default 32
	MinLimit         int           // default 4
	MaxLimit         int           // default 1024
	DelayTarget      time.Duration // tolerated queueing delay at upstreams; default 10 ms, for AIMD 150 ms
	Window           time.Duration // period over which shares are guaranteed; default 5 s
	LongRunningShare float64       // maximum fraction of the slots for long-running requests; default 0.25
	MaxQueue         int           // maximum number of queued requests; default 1024
	MaxLateFraction  float64       // fraction of late answers above which estimates are scaled up; default 0.01
	Seed             uint64        // seeds the jitter of Refuse.RetryAfter
	NoShares         bool          // benchmark baseline: strict priority without guaranteed shares
	NoFairness       bool          // benchmark baseline: first come, first served within a rank
}

// Rank holds the settings of one priority rank.
type Rank struct {
	Share float64 // guaranteed fraction of the slots and of the queue, 0 to 1; the sum over all ranks is at most 1
}

// Team holds the settings of one team.
type Team struct {
	Weight       float64 // share relative to other teams; 0 means 1
	MaxPerSecond float64 // across the fleet; 0 means no limit
	MaxInFlight  int     // queued and admitted on this node; 0 means no limit
}

// PolicyFromConfig returns the policy of one entry node, where nodes is the number of entry nodes in the fleet.
func PolicyFromConfig(cfg *fleet.Config, nodes int, seed uint64) Policy {
	p := Policy{Nodes: nodes, Seed: seed, MaxLimit: cfg.Limits.MaxInFlight, Teams: make(map[string]Team, len(cfg.Teams))}
	for _, r := range cfg.Ranks {
		p.Ranks = append(p.Ranks, Rank{Share: r.Share})
	}
	for _, t := range cfg.Teams {
		p.Teams[t.Name] = Team{Weight: t.Weight, MaxPerSecond: t.MaxPerSecond, MaxInFlight: t.MaxInFlight}
	}
	return p
}

func orDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

func (p Policy) withDefaults() Policy {
	if len(p.Ranks) == 0 {
		p.Ranks = []Rank{{}}
	}
	orDefault(&p.Nodes, 1)
	orDefault(&p.InitialLimit, 32)
	orDefault(&p.MinLimit, 4)
	orDefault(&p.MaxLimit, 1024)
	orDefault(&p.Window, 5*time.Second)
	orDefault(&p.LongRunningShare, 0.25)
	orDefault(&p.MaxQueue, 1024)
	orDefault(&p.MaxLateFraction, 0.01)
	p.MinLimit = min(p.MinLimit, p.MaxLimit)
	p.LongRunningShare = min(p.LongRunningShare, 1)
	p.Ranks = normalize(p.Ranks)
	return p
}

// normalize replaces invalid shares by 0 and scales the shares down if they add up to more than 1. fleet.Check rejects
// such configurations; the bounds of the queue depend on valid shares.
func normalize(ranks []Rank) []Rank {
	out, sum := make([]Rank, len(ranks)), 0.0
	for i, r := range ranks {
		if r.Share > 0 && r.Share <= 1 { // false for NaN
			out[i] = r
			sum += r.Share
		}
	}
	if sum > 1 {
		for i := range out {
			out[i].Share /= sum
		}
	}
	return out
}

func (p *Policy) weight(team string) float64 {
	if w := p.Teams[team].Weight; w > 0 {
		return w
	}
	return 1
}

// share returns the guaranteed share of a rank.
func (p *Policy) share(rank int) float64 {
	if p.NoShares {
		return 0
	}
	return p.Ranks[rank].Share
}
