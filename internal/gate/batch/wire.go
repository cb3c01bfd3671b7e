package batch

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/gate/stage"
)

// message is a message between entry nodes. Free, Forget and Cancel are sent without a response.
//
// All pieces of a stage have the same inputs, and a request may have dozens of pieces with as many inputs each. Each
// list of inputs is therefore sent once, and pieces refer to it by index.
type message struct {
	Service    string        `cbor:"1,keyasint,omitempty"`
	Region     string        `cbor:"2,keyasint,omitempty"`
	Jobs       []wireJob     `cbor:"3,keyasint,omitempty"`
	Free       []ResultRef   `cbor:"4,keyasint,omitempty"`
	Cancel     string        `cbor:"5,keyasint,omitempty"`
	Inputs     [][]string    `cbor:"6,keyasint,omitempty"`
	From       string        `cbor:"7,keyasint,omitempty"`  // peer address of the sender
	Results    []ResultState `cbor:"8,keyasint,omitempty"`  // results that the receiver does not account for yet
	Forget     []ResultRef   `cbor:"9,keyasint,omitempty"`  // results that another node accounts for by now
	UsageQuery []string      `cbor:"10,keyasint,omitempty"` // handles; the response lists those that are still used
}

// wireJob carries times as durations, because the clocks of two VMs differ.
type wireJob struct {
	Item     stage.Item    `cbor:"1,keyasint"` // without inputs
	Bytes    int64         `cbor:"2,keyasint"`
	Due      time.Duration `cbor:"3,keyasint"`
	TimeLeft time.Duration `cbor:"4,keyasint"`
	Rank     int           `cbor:"5,keyasint,omitempty"`
	Home     string        `cbor:"6,keyasint,omitempty"`
	Inputs   int           `cbor:"7,keyasint,omitempty"` // 1 + index in the message's list; 0: none
	Order    int           `cbor:"8,keyasint,omitempty"`
}

// jobResults is the response to forwarded jobs, in the same order.
type jobResults struct {
	Upstreams []string     `cbor:"1,keyasint,omitempty"`
	Results   []wireResult `cbor:"2,keyasint,omitempty"`
}

type wireResult struct {
	stage.Outcome
	Upstream int               `cbor:"3,keyasint,omitempty"` // 1 + index in the response's list; 0: none
	Timing   stage.PieceTiming `cbor:"4,keyasint,omitempty"`
}

// pack adds jobs to a message.
func (q *message) pack(jobs []stage.Job, now time.Time) {
	for _, j := range jobs {
		w := wireJob{Item: j.Item, Bytes: j.Bytes, Due: j.Due.Sub(now), TimeLeft: j.Deadline.Sub(now), Rank: j.Rank, Order: j.Order, Home: j.Home}
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

// unpack returns the jobs of a message, and the longest time for which any of their results is useful.
func (q *message) unpack(now time.Time) ([]stage.Job, time.Duration, error) {
	jobs := make([]stage.Job, len(q.Jobs))
	var maxTimeLeft time.Duration
	for i, j := range q.Jobs {
		if j.Inputs < 0 || j.Inputs > len(q.Inputs) {
			return nil, 0, errors.Newf("piece refers to inputs %d of %d", j.Inputs, len(q.Inputs))
		}
		if j.Inputs > 0 {
			j.Item.Inputs = q.Inputs[j.Inputs-1]
		}
		jobs[i] = stage.Job{
			Item: j.Item, Rank: j.Rank, Order: j.Order, Home: j.Home, Bytes: j.Bytes, Due: now.Add(j.Due), Deadline: now.Add(j.TimeLeft),
		}
		maxTimeLeft = max(maxTimeLeft, j.TimeLeft)
	}
	return jobs, maxTimeLeft, nil
}

func encodeResults(results []JobResult) ([]byte, error) {
	var t jobResults
	for _, m := range results {
		w := wireResult{Outcome: m.Outcome, Timing: m.Timing}
		if m.Upstream != "" {
			w.Upstream = 1 + slices.Index(t.Upstreams, m.Upstream)
			if w.Upstream == 0 {
				t.Upstreams = append(t.Upstreams, m.Upstream)
				w.Upstream = len(t.Upstreams)
			}
		}
		t.Results = append(t.Results, w)
	}
	return cbor.Marshal(t)
}

// decodeResults decodes the response of the node that accounts for the results.
func decodeResults(body []byte, owner string) ([]JobResult, error) {
	var t jobResults
	if err := cbor.Unmarshal(body, &t); err != nil {
		return nil, err
	}
	results := make([]JobResult, len(t.Results))
	for i, w := range t.Results {
		if w.Upstream < 0 || w.Upstream > len(t.Upstreams) {
			return nil, errors.Newf("result refers to upstream %d of %d", w.Upstream, len(t.Upstreams))
		}
		results[i] = JobResult{Outcome: w.Outcome, Owner: owner, Timing: w.Timing}
		if w.Upstream > 0 {
			results[i].Upstream = t.Upstreams[w.Upstream-1]
		}
	}
	return results, nil
}
