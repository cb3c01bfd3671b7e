package batch

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/gate/stage"
)

// ask is a message between entry nodes. Free and Cancel come without an answer.
//
// The pieces of a stage all have the same inputs, and a request may have dozens of pieces with as many inputs each; so inputs
// stand once, and pieces name them by position.
type ask struct {
	Service string     `cbor:"1,keyasint,omitempty"`
	Area    string     `cbor:"2,keyasint,omitempty"`
	Jobs    []wireJob  `cbor:"3,keyasint,omitempty"`
	Free    []ResultRef   `cbor:"4,keyasint,omitempty"`
	Cancel  string     `cbor:"5,keyasint,omitempty"`
	Inputs  [][]string `cbor:"6,keyasint,omitempty"`
	From    string     `cbor:"7,keyasint,omitempty"`  // peer address of the node that asks
	Held    []Held     `cbor:"8,keyasint,omitempty"`  // results of which the other node keeps no account yet
	Forget  []ResultRef   `cbor:"9,keyasint,omitempty"`  // results of which another node keeps account by now
	Uses    []string   `cbor:"10,keyasint,omitempty"` // handles: which of them are still used? The answer lists these
}

// wireJob carries times as durations, because the clocks of two VMs differ.
type wireJob struct {
	Item   stage.Item    `cbor:"1,keyasint"` // without its inputs
	Bytes  int64         `cbor:"2,keyasint"`
	Due    time.Duration `cbor:"3,keyasint"`
	Left   time.Duration `cbor:"4,keyasint"`
	Rank   int           `cbor:"5,keyasint,omitempty"`
	Home   string        `cbor:"6,keyasint,omitempty"`
	Inputs int           `cbor:"7,keyasint,omitempty"` // 1 + position in the message's list; 0: none
}

// told is the answer to pieces that were handed over, in their order.
type told struct {
	Upstreams []string   `cbor:"1,keyasint,omitempty"`
	Made      []wireMade `cbor:"2,keyasint,omitempty"`
}

type wireMade struct {
	stage.Outcome
	Upstream int         `cbor:"3,keyasint,omitempty"` // 1 + position in the answer's list; 0: none
	Spent    stage.PieceTiming `cbor:"4,keyasint,omitempty"`
}

// pack puts jobs into a message.
func (q *ask) pack(jobs []stage.Job, now time.Time) {
	for _, j := range jobs {
		w := wireJob{Item: j.Item, Bytes: j.Bytes, Due: j.Due.Sub(now), Left: j.Deadline.Sub(now), Rank: j.Rank, Home: j.Home}
		if len(j.Inputs) > 0 {
			w.Inputs = 1 + slices.IndexFunc(q.Inputs, func(have []string) bool { return slices.Equal(have, j.Inputs) })
			if w.Inputs == 0 {
				q.Inputs = append(q.Inputs, j.Inputs)
				w.Inputs = len(q.Inputs)
			}
			w.Item.Inputs = nil
		}
		q.Jobs = append(q.Jobs, w)
	}
}

// unpack returns the jobs of a message, and the longest time for which one of them is of use.
func (q *ask) unpack(now time.Time) ([]stage.Job, time.Duration, error) {
	jobs := make([]stage.Job, len(q.Jobs))
	var last time.Duration
	for i, j := range q.Jobs {
		if j.Inputs < 0 || j.Inputs > len(q.Inputs) {
			return nil, 0, errors.Newf("a piece names inputs %d of %d", j.Inputs, len(q.Inputs))
		}
		if j.Inputs > 0 {
			j.Item.Inputs = q.Inputs[j.Inputs-1]
		}
		jobs[i] = stage.Job{
			Item: j.Item, Rank: j.Rank, Home: j.Home, Bytes: j.Bytes, Due: now.Add(j.Due), Deadline: now.Add(j.Left),
		}
		last = max(last, j.Left)
	}
	return jobs, last, nil
}

func encodeMade(made []JobResult) ([]byte, error) {
	var t told
	for _, m := range made {
		w := wireMade{Outcome: m.Outcome, Spent: m.Timing}
		if m.Upstream != "" {
			w.Upstream = 1 + slices.Index(t.Upstreams, m.Upstream)
			if w.Upstream == 0 {
				t.Upstreams = append(t.Upstreams, m.Upstream)
				w.Upstream = len(t.Upstreams)
			}
		}
		t.Made = append(t.Made, w)
	}
	return cbor.Marshal(t)
}

// decodeMade reads the answer of the node that keeps account of the results.
func decodeMade(body []byte, source string) ([]JobResult, error) {
	var t told
	if err := cbor.Unmarshal(body, &t); err != nil {
		return nil, err
	}
	made := make([]JobResult, len(t.Made))
	for i, w := range t.Made {
		if w.Upstream < 0 || w.Upstream > len(t.Upstreams) {
			return nil, errors.Newf("a result names upstream %d of %d", w.Upstream, len(t.Upstreams))
		}
		made[i] = JobResult{Outcome: w.Outcome, Owner: source, Timing: w.Spent}
		if w.Upstream > 0 {
			made[i].Upstream = t.Upstreams[w.Upstream-1]
		}
	}
	return made, nil
}
