// Package stage schedules the preprocessing stages of requests. Each stage is split into pieces, which are computed
// before the request reaches its model engine.
//
// The package consists of two deterministic state machines. A Plan tracks one request through its graph of stages and
// reports which pieces are ready to run. A Queue belongs to one service in one region. It batches the pieces of all
// requests into calls to the service's upstreams, most urgent first, and tracks the memory that results occupy there.
//
// Usage:
//
//	p, err := stage.NewPlan(request, key, route.Stages, counts)
//	for _, item := range p.Ready() { q.Add(now, stage.Job{Item: item, Rank: 1, Deadline: deadline, ...}) }
//	calls, replies := q.Next(now) // send each call
//	replies, unwanted := q.Done(now, call, result, outcomes) // p.RecordResult(...) or p.RecordFailure(...)
//	inputs := p.Inputs() // once p.Finished()
package stage

import (
	"time"

	"github.com/berylledge/berylledge/internal/gate/pace"
)

// Item is one piece of a stage of a request, in the form sent to an upstream.
type Item struct {
	Request  string        `cbor:"1,keyasint"`
	Stage    int           `cbor:"2,keyasint"`
	Piece    int           `cbor:"3,keyasint"` // index within the stage, from 0
	TimeLeft time.Duration `cbor:"4,keyasint"` // how long the result remains useful; 0: no limit
	Key      string        `cbor:"5,keyasint,omitempty"`
	Inputs   []string      `cbor:"6,keyasint,omitempty"` // result handles of all pieces of the preceding stages; Key is empty if set
}

// Outcome is an upstream's answer for one item: a result handle, or the reason why there is none.
type Outcome struct {
	Handle string `cbor:"1,keyasint,omitempty"`
	Reason Reason `cbor:"2,keyasint,omitempty"`
	// RetryIn is the time until an upstream accepts work again, if all of them are paused; 0: not known.
	RetryIn time.Duration `cbor:"8,keyasint,omitempty"` // 3 to 7 are left to messages that embed an Outcome
	// Cause is why no upstream accepts work: all of them are paused or leaving.
	Cause pace.Cause `cbor:"9,keyasint,omitempty"`
	// NoUpstream is set if the queue's region has no upstream that accepts work, so that the piece may run in another one.
	NoUpstream bool `cbor:"10,keyasint,omitempty"`
}

// PieceTiming breaks down the time that a piece spent in a queue.
type PieceTiming struct {
	Queued   time.Duration `cbor:"1,keyasint,omitempty"` // until its last call was sent, including earlier failed calls
	InCall   time.Duration `cbor:"2,keyasint,omitempty"` // from sending the last call to its end
	Attempts int           `cbor:"3,keyasint,omitempty"` // number of calls that included the piece
}

// Reason is the reason why a piece has no result.
type Reason uint8

// Reasons why a piece has no result.
const (
	ReasonNone    Reason = iota
	ReasonLate           // the result would no longer be useful
	ReasonGone           // an input no longer exists
	ReasonNoRoom         // the upstream has no memory for the result
	ReasonError          // the upstream failed
	ReasonLost           // the call got no valid response
	ReasonRefused        // no upstream can compute it in time
)

// String returns the name of the reason as used in log lines.
func (r Reason) String() string {
	switch r {
	case ReasonNone:
		return "none"
	case ReasonLate:
		return "late"
	case ReasonGone:
		return "gone"
	case ReasonNoRoom:
		return "no_room"
	case ReasonError:
		return "error"
	case ReasonLost:
		return "lost"
	case ReasonRefused:
		return "refused"
	}
	return "unknown"
}
