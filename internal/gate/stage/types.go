// Package stage runs the stages of requests: work in pieces that precedes a request at a model engine.
//
// Two deterministic state machines decide. A Plan follows one request through its graph of stages and says which pieces can
// be made now. A Queue belongs to one service in one data centre; it collects the pieces of all requests, fills the calls
// of the service's upstreams with them in the order of urgency, and keeps account of the memory that results take there.
//
// Usage:
//
//	p := stage.NewPlan(route.Stages, counts, key)
//	for _, item := range p.Ready() { q.Add(now, stage.Job{Item: item, Rank: 1, Deadline: deadline, ...}) }
//	calls := q.Next(now)                  // send each
//	replies := q.Done(now, call, outcome) // p.Made(...) or p.Failed(...)
//	inputs := p.Inputs()                  // once p.Finished()
package stage

import "time"

// Item is one piece of one stage of a request, as it is sent to an upstream.
type Item struct {
	Request string        `cbor:"1,keyasint"`
	Stage   int           `cbor:"2,keyasint"`
	Piece   int           `cbor:"3,keyasint"` // from 0
	TimeLeft    time.Duration `cbor:"4,keyasint"` // time in which the result is of use; 0: not limited
	Key     string        `cbor:"5,keyasint,omitempty"`
	Inputs  []string      `cbor:"6,keyasint,omitempty"` // handles of all pieces of the stages before; Key is empty then
}

// Outcome is what an upstream answered for one item: a handle of the result, or a reason.
type Outcome struct {
	Handle string `cbor:"1,keyasint,omitempty"`
	Reason Reason `cbor:"2,keyasint,omitempty"`
}

// Spent says where the time of a piece in a queue went.
type Spent struct {
	Queued time.Duration `cbor:"1,keyasint,omitempty"` // until its last call was sent; calls that failed before are part of it
	InCall time.Duration `cbor:"2,keyasint,omitempty"` // from then until the call was answered
	Calls  int           `cbor:"3,keyasint,omitempty"` // that it was part of
}

// Reason says why there is no result.
type Reason uint8

// The reasons.
const (
	ReasonNone    Reason = iota
	ReasonLate           // the time in which it is of use had passed
	ReasonGone           // an input no longer exists
	ReasonNoRoom         // the upstream has no memory for the result
	ReasonError          // the upstream failed
	ReasonLost           // the call was not answered
	ReasonRefused        // no upstream takes it in time
)

// String names the reason for log lines.
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
