package stage

import (
	"fmt"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
)

// maxRemade is the number of times that the pieces of one request are made once more because their results were lost.
const maxRemade = 3

// PiecesError refuses the piece counts of a request.
type PiecesError struct{ Detail string }

func (e *PiecesError) Error() string { return "pieces: " + e.Detail }

// maxPieces bounds the pieces of one stage.
const maxPieces = 10_000

// Plan follows one request through its stages. It is not safe for concurrent use.
type Plan struct {
	request string
	key     string
	stages  []conf.Stage
	pieces  [][]piece // by stage
	last    []bool    // by stage: no other stage follows
	remade  int
}

type piece struct {
	handle   string
	source   string // who keeps account of the result
	upstream string // that made it
	asked    bool
	readers  int // stages that still need the result
}

// Freed is a result that no one needs any more.
type Freed struct {
	Service  string
	Owner   string // who keeps account of it
	Handle   string
	Upstream string
}

// NewPlan returns the plan of a request with counts pieces in each stage. A stage with 0 pieces is left out.
func NewPlan(request, key string, stages []conf.Stage, counts []int) (*Plan, error) {
	if len(counts) != len(stages) {
		return nil, &PiecesError{fmt.Sprintf("%d counts are given for %d stages", len(counts), len(stages))}
	}
	p := &Plan{request: request, key: key, stages: stages, last: make([]bool, len(stages))}
	for i, n := range counts {
		if n < 0 || n > maxPieces {
			return nil, &PiecesError{fmt.Sprintf("stage %d has %d", i, n)}
		}
		p.last[i] = !slices.ContainsFunc(stages, func(s conf.Stage) bool { return slices.Contains(s.After, i) })
		p.pieces = append(p.pieces, make([]piece, n))
	}
	for i := range stages {
		for j := range p.pieces[i] {
			p.pieces[i][j].readers = p.readersOf(i)
		}
	}
	return p, nil
}

// readersOf counts the stages with pieces that need the results of a stage.
func (p *Plan) readersOf(stage int) int {
	n := 0
	for i, s := range p.stages {
		if len(p.pieces) > i && len(p.pieces[i]) > 0 && slices.Contains(s.After, stage) {
			n++
		}
	}
	return n
}

// Depth returns the number of stages that must run one after the other from a stage on, itself included.
func (p *Plan) Depth(stage int) int {
	depth := 0
	for i, s := range p.stages {
		if len(p.pieces[i]) > 0 && slices.Contains(s.After, stage) {
			depth = max(depth, p.Depth(i))
		}
	}
	return depth + 1
}

// TimeAfter is the time to leave for the stages after a stage: a call of middling size for each, as in the stage's own pool.
func (p *Plan) TimeAfter(stage int, pool conf.Pool) time.Duration {
	one := pool.CallTime.Duration() + time.Duration(pool.Batch)*pool.ItemTime.Duration()/2
	return time.Duration(p.Depth(stage)-1) * one
}

// left returns the number of stages that must still run one after the other.
func (p *Plan) left() int {
	left := 0
	for i := range p.stages {
		if slices.ContainsFunc(p.pieces[i], func(x piece) bool { return x.handle == "" }) {
			left = max(left, p.Depth(i))
		}
	}
	return left
}

// Ready returns the pieces that can be made now and were not returned before. The caller sets their time left.
//
// A stage beside a longer chain begins only when the rest of that chain takes as long as the stage: its results would
// otherwise take up memory while the request waits for the chain.
func (p *Plan) Ready() []Item {
	var out []Item
	left := p.left()
	for i := range p.stages {
		inputs, ok := p.inputsOf(i)
		if !ok || p.Depth(i) < left {
			continue
		}
		for j := range p.pieces[i] {
			if p.pieces[i][j].asked {
				continue
			}
			p.pieces[i][j].asked = true
			item := Item{Request: p.request, Stage: i, Piece: j, Inputs: inputs}
			if len(p.stages[i].After) == 0 {
				item.Key = p.key
			}
			out = append(out, item)
		}
	}
	return out
}

// inputsOf returns the handles that a stage needs; false while one is missing.
func (p *Plan) inputsOf(stage int) ([]string, bool) {
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

// RecordResult records a result, and returns results that are not needed any more.
func (p *Plan) RecordResult(stage, position int, handle, source, upstream string) []Freed {
	x := &p.pieces[stage][position]
	if x.handle != "" { // made twice, after a call that seemed lost
		return []Freed{{p.stages[stage].Service, source, handle, upstream}}
	}
	x.handle, x.source, x.upstream = handle, source, upstream
	if slices.ContainsFunc(p.pieces[stage], func(y piece) bool { return y.handle == "" }) {
		return nil
	}
	var out []Freed
	for _, a := range p.stages[stage].After {
		out = append(out, p.release(a)...)
	}
	return out
}

// release notes that one reader of a stage's results is done.
func (p *Plan) release(stage int) []Freed {
	var out []Freed
	for j := range p.pieces[stage] {
		x := &p.pieces[stage][j]
		x.readers--
		if x.readers <= 0 && !p.last[stage] && x.handle != "" {
			out = append(out, Freed{p.stages[stage].Service, x.source, x.handle, x.upstream})
		}
	}
	return out
}

// RecordFailure records that a piece was not made. It returns false when the request cannot go on; otherwise the piece, and the
// inputs that may be gone, are returned by Ready again.
func (p *Plan) RecordFailure(stage, position int, reason Reason) bool {
	if reason == ReasonLate || reason == ReasonRefused {
		return false
	}
	p.remade++
	if p.remade > maxRemade {
		return false
	}
	p.pieces[stage][position].asked = false
	if reason == ReasonGone {
		for _, a := range p.stages[stage].After {
			p.remake(a)
		}
	}
	return true
}

// RecordLostResults records that the results of the last stages no longer exist; see Failed.
func (p *Plan) RecordLostResults() bool {
	p.remade++
	if p.remade > maxRemade {
		return false
	}
	for i, last := range p.last {
		if last {
			p.remake(i)
		}
	}
	return true
}

// remake makes the pieces of a stage once more, and before them those whose results were freed.
func (p *Plan) remake(stage int) {
	for j := range p.pieces[stage] {
		p.pieces[stage][j] = piece{readers: p.readersOf(stage)}
	}
	for _, a := range p.stages[stage].After {
		p.remake(a)
	}
}

// HasNoResults reports whether no piece has been made.
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

// Finished reports whether all pieces are made.
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

// Inputs returns the handles of the last stages' results, in order.
func (p *Plan) Inputs() []string {
	var out []string
	for i, last := range p.last {
		if !last {
			continue
		}
		for _, x := range p.pieces[i] {
			out = append(out, x.handle)
		}
	}
	return out
}

// TakeResults returns the results that exist, for a request that ends. Afterwards the plan holds none.
func (p *Plan) TakeResults() []Freed {
	var out []Freed
	for i := range p.pieces {
		for j := range p.pieces[i] {
			x := &p.pieces[i][j]
			if x.handle != "" && (p.last[i] || x.readers > 0) {
				out = append(out, Freed{p.stages[i].Service, x.source, x.handle, x.upstream})
				x.handle, x.readers = "", 0
			}
		}
	}
	return out
}
