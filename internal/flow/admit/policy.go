package admit

import (
	"time"

	"github.com/berylledge/berylledge/pkg/fleet"
)

// Policy holds the settings of a Machine. The zero value of each field means the default in its comment.
type Policy struct {
	Ranks []Rank // most urgent first; one rank without a guaranteed share
	Teams map[string]Team
	// Nodes is the number of entry nodes that share the fleet-wide rate limits of teams; 1. Each node allows
	// MaxPerSecond/Nodes with a burst of one second's worth, at least 1 request. In any time t the fleet accepts at most
	// MaxPerSecond*t + max(Nodes, MaxPerSecond) requests of a team. If a part f of a team's arrivals reaches its busiest
	// node, the team is held to MaxPerSecond/(Nodes*f) at the least: its full rate when spread evenly, MaxPerSecond/Nodes
	// when all arrive at one node. While nodes have different values, the bound scales by the larger over the smaller.
	Nodes        int
	Limit        LimitKind     // Gradient
	InitialLimit int           // slots at the start; 32
	MinLimit     int           // 4
	MaxLimit     int           // 1024
	DelayTarget  time.Duration // queueing delay at upstreams that the limit tolerates; 10 ms, for AIMD 150 ms
	Window       time.Duration // over which shares are guaranteed; 5 s
	PatientShare float64       // part of the slots that patient work may hold at most; 0.25
	MaxQueue     int           // queued requests; 1024
	LateTarget   float64       // accepted part of late answers before estimates are scaled up; 0.01
	Seed         uint64        // of the jitter of RetryAfter
	NoShares     bool          // for comparison only: strict priority without guaranteed shares
	NoFairness   bool          // for comparison only: first come, first served inside a rank
}

// Rank is the policy of one rank.
type Rank struct {
	Share float64 // guaranteed part of the slots and of the queue, 0 to 1; all together at most 1
}

// Team is the policy of one team.
type Team struct {
	Weight       float64 // 0 means 1
	MaxPerSecond float64 // over the whole fleet; 0 means no limit
	MaxInFlight  int     // queued and admitted on this node; 0 means no limit
}

// PolicyFromConfig returns the policy of a configuration for one of the given number of entry nodes.
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
	orDefault(&p.PatientShare, 0.25)
	orDefault(&p.MaxQueue, 1024)
	orDefault(&p.LateTarget, 0.01)
	p.MinLimit = min(p.MinLimit, p.MaxLimit)
	p.PatientShare = min(p.PatientShare, 1)
	p.Ranks = normalize(p.Ranks)
	return p
}

// normalize returns the ranks with shares between 0 and 1 that add up to at most 1. fleet.Check refuses others; the
// bounds of the queue depend on it.
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

// share returns the guaranteed part of a rank.
func (p *Policy) share(rank int) float64 {
	if p.NoShares {
		return 0
	}
	return p.Ranks[rank].Share
}
