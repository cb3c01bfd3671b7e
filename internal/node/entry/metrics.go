package entry

import (
	"time"

	"github.com/berylledge/berylledge/internal/flow/exec"
	"github.com/berylledge/berylledge/pkg/caller"
)

// Measure are hooks for metrics; a nil hook is left out. They are called from the goroutines of requests and must not
// block.
type Measure struct {
	// Refused is called for each submission that was refused before it was admitted. Team and rank are as submitted, so
	// they may be unknown names.
	Refused func(team, rank string, r *caller.Refusal)
	// Ended is called once for each admitted request.
	Ended func(team, rank string, elapsed time.Duration, e End)
}

// End is how an admitted request ended.
type End = exec.Result

// Stage is what one stage of a request cost.
type Stage = exec.StageResult

func (m Measure) refused(team, rank string, r *caller.Refusal) {
	if m.Refused != nil {
		m.Refused(team, rank, r)
	}
}

// measureEnd reports the end of a request. The rank is named by the configuration in force, which may have dropped it.
func (n *Node) measureEnd(r *request, elapsed time.Duration, e End) {
	if n.o.Measure.Ended == nil {
		return
	}
	rank := ""
	if c := n.config.Load(); c != nil && r.run.Rank < len(c.cfg.Ranks) {
		rank = c.cfg.Ranks[r.run.Rank].Name
	}
	n.o.Measure.Ended(r.key.team, rank, elapsed, e)
}
