package stage

import (
	"fmt"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
)

// maxRecomputes limits how often one request may recompute pieces after failures or lost results.
const maxRecomputes = 3

// PiecesError reports invalid piece counts of a request.
type PiecesError struct{ Detail string }

func (e *PiecesError) Error() string { return "pieces: " + e.Detail }

// maxPieces limits the pieces of one stage.
const maxPieces = 10_000

// Plan tracks one request through its graph of stages. It is not safe for concurrent use.
type Plan struct {
	request    string
	key        string
	stages     []conf.Stage
	pieces     [][]piece // by stage
	terminal   []bool    // by stage: no other stage depends on it
	recomputes int
}

type piece struct {
	handle    string
	owner     string // node whose queue accounts for the result
	upstream  string // upstream that computed the result
	requested bool
	readers   int // stages that still need the result
}

// Freed is a result that is no longer needed.
type Freed struct {
	Service  string
	Owner    string // peer address of the node whose queue accounts for the result
	Handle   string
	Upstream string
}

// NewPlan returns the plan of a request with counts[i] pieces in stage i. A stage with 0 pieces is skipped.
func NewPlan(request, key string, stages []conf.Stage, counts []int) (*Plan, error) {
	if len(counts) != len(stages) {
		return nil, &PiecesError{fmt.Sprintf("%d counts are given for %d stages", len(counts), len(stages))}
	}
	p := &Plan{request: request, key: key, stages: stages, terminal: make([]bool, len(stages))}
	for i, n := range counts {
		if n < 0 || n > maxPieces {
			return nil, &PiecesError{fmt.Sprintf("stage %d has %d", i, n)}
		}
		p.terminal[i] = !slices.ContainsFunc(stages, func(s conf.Stage) bool { return slices.Contains(s.After, i) })
		p.pieces = append(p.pieces, make([]piece, n))
	}
	for i := range stages {
		for j := range p.pieces[i] {
			p.pieces[i][j].readers = p.countReaders(i)
		}
	}
	return p, nil
}

// countReaders returns the number of stages with pieces that depend on a stage.
func (p *Plan) countReaders(stage int) int {
	n := 0
	for i, s := range p.stages {
		if len(p.pieces) > i && len(p.pieces[i]) > 0 && slices.Contains(s.After, stage) {
			n++
		}
	}
	return n
}

// Depth returns the length of the longest dependency chain that starts with a stage, the stage itself included.
func (p *Plan) Depth(stage int) int {
	depth := 0
	for i, s := range p.stages {
		if len(p.pieces[i]) > 0 && slices.Contains(s.After, stage) {
			depth = max(depth, p.Depth(i))
		}
	}
	return depth + 1
}

// TimeAfter estimates the time needed by the stages after a stage, as one half-full call for each, in the stage's own
// pool.
func (p *Plan) TimeAfter(stage int, pool conf.Pool) time.Duration {
	one := pool.CallTime.Duration() + time.Duration(pool.Batch)*pool.ItemTime.Duration()/2
	return time.Duration(p.Depth(stage)-1) * one
}

// remainingDepth returns the length of the longest dependency chain that is not finished.
func (p *Plan) remainingDepth() int {
	left := 0
	for i := range p.stages {
		if slices.ContainsFunc(p.pieces[i], func(x piece) bool { return x.handle == "" }) {
			left = max(left, p.Depth(i))
		}
	}
	return left
}

// Ready returns the pieces that are ready to run and have not been returned before. The caller sets their TimeLeft.
//
// A stage that runs parallel to a longer chain starts only when the rest of that chain is no deeper than the stage
// itself. Otherwise its results would occupy memory while the request waits for the chain.
func (p *Plan) Ready() []Item {
	var out []Item
	left := p.remainingDepth()
	for i := range p.stages {
		inputs, ok := p.inputHandles(i)
		if !ok || p.Depth(i) < left {
			continue
		}
		for j := range p.pieces[i] {
			if p.pieces[i][j].requested {
				continue
			}
			p.pieces[i][j].requested = true
			item := Item{Request: p.request, Stage: i, Piece: j, Inputs: inputs}
			if len(p.stages[i].After) == 0 {
				item.Key = p.key
			}
			out = append(out, item)
		}
	}
	return out
}

// inputHandles returns the handles of all inputs of a stage; false if one is missing.
func (p *Plan) inputHandles(stage int) ([]string, bool) {
	var out []string
	for _, a := range p.stages[stage].After {
		for _, x := range p.pieces[a] {
			if x.handle == "" {
				return nil, false
			}
			out = append(out, x.handle)
		}
	}
	return out, true
}

// RecordResult records the result of a piece and returns results that are no longer needed.
func (p *Plan) RecordResult(stage, position int, handle, owner, upstream string) []Freed {
	x := &p.pieces[stage][position]
	if x.handle != "" { // computed twice, because the first call seemed lost
		return []Freed{{p.stages[stage].Service, owner, handle, upstream}}
	}
	x.handle, x.owner, x.upstream = handle, owner, upstream
	if slices.ContainsFunc(p.pieces[stage], func(y piece) bool { return y.handle == "" }) {
		return nil
	}
	var out []Freed
	for _, a := range p.stages[stage].After {
		out = append(out, p.release(a)...)
	}
	return out
}

// release decrements the reader count of a stage's results and returns those without readers.
func (p *Plan) release(stage int) []Freed {
	var out []Freed
	for j := range p.pieces[stage] {
		x := &p.pieces[stage][j]
		x.readers--
		if x.readers <= 0 && !p.terminal[stage] && x.handle != "" {
			out = append(out, Freed{p.stages[stage].Service, x.owner, x.handle, x.upstream})
		}
	}
	return out
}

// RecordFailure records that a piece was not computed. It returns false if the request cannot continue. Otherwise,
// Ready returns the piece again, and also its inputs if they may be lost.
func (p *Plan) RecordFailure(stage, position int, reason Reason) bool {
	if reason == ReasonLate || reason == ReasonRefused {
		return false
	}
	p.recomputes++
	if p.recomputes > maxRecomputes {
		return false
	}
	p.pieces[stage][position].requested = false
	if reason == ReasonGone {
		for _, a := range p.stages[stage].After {
			p.recompute(a)
		}
	}
	return true
}

// Withdraw makes a piece without result ready again, because it has to be requested elsewhere. It does not count as a failure.
func (p *Plan) Withdraw(stage, position int) { p.pieces[stage][position].requested = false }

// RecordLostResults records that the results of the terminal stages no longer exist. It returns false if the request
// cannot continue; see RecordFailure.
func (p *Plan) RecordLostResults() bool {
	p.recomputes++
	if p.recomputes > maxRecomputes {
		return false
	}
	for i, last := range p.terminal {
		if last {
			p.recompute(i)
		}
	}
	return true
}

// recompute resets the pieces of a stage and of all stages it depends on, whose results may have been freed.
func (p *Plan) recompute(stage int) {
	for j := range p.pieces[stage] {
		p.pieces[stage][j] = piece{readers: p.countReaders(stage)}
	}
	for _, a := range p.stages[stage].After {
		p.recompute(a)
	}
}

// HasNoResults reports whether no piece has a result yet.
func (p *Plan) HasNoResults() bool {
	for _, stage := range p.pieces {
		for _, x := range stage {
			if x.handle != "" {
				return false
			}
		}
	}
	return true
}

// StageFinished reports whether all pieces of a stage have results.
func (p *Plan) StageFinished(stage int) bool {
	return !slices.ContainsFunc(p.pieces[stage], func(x piece) bool { return x.handle == "" })
}

// Finished reports whether all pieces have results.
func (p *Plan) Finished() bool {
	for _, stage := range p.pieces {
		for _, x := range stage {
			if x.handle == "" {
				return false
			}
		}
	}
	return true
}

// Inputs returns the result handles of the terminal stages, in order. They are the inputs of the model engine.
func (p *Plan) Inputs() []string {
	var out []string
	for i, last := range p.terminal {
		if !last {
			continue
		}
		for _, x := range p.pieces[i] {
			out = append(out, x.handle)
		}
	}
	return out
}

// TakeResults removes all remaining results from the plan and returns them, to be freed when the request ends.
func (p *Plan) TakeResults() []Freed {
	var out []Freed
	for i := range p.pieces {
		for j := range p.pieces[i] {
			x := &p.pieces[i][j]
			if x.handle != "" && (p.terminal[i] || x.readers > 0) {
				out = append(out, Freed{p.stages[i].Service, x.owner, x.handle, x.upstream})
				x.handle, x.readers = "", 0
			}
		}
	}
	return out
}
