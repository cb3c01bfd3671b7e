// Package admit decides which requests an entry node runs, in which order, and which it refuses as not run.
//
// Machine is a deterministic state machine: Step takes the present time and one event and returns actions. It owns no
// goroutine, clock, socket or global random source, and is not safe for concurrent use; the runtime serialises events.
//
// Usage:
//
//	m := admit.New(admit.PolicyOf(cfg, entryNodes, seed))
//	for _, a := range m.Step(now, admit.Arrive{Request: r}) {
//		switch a := a.(type) {
//		case admit.Admit:  // start the first stage of a.ID
//		case admit.Queue:  // wait for a later Admit or Refuse of a.ID
//		case admit.Refuse: // answer "not run" with a.Reason and a.RetryAfter; the request must never be started
//		}
//	}
//	m.Step(now, admit.Finish{ID: id, Cost: cost, QueueDelay: waited, Late: late}) // exactly once for an admitted request
//
// Each arrival gets exactly one of Admit, Queue and Refuse at once; a queued request later gets exactly one of Admit and
// Refuse, unless it is cancelled. The runtime delivers a Tick at the time that Wake returns (or every 10 ms), so that a
// queued request is refused when it can no longer meet its deadline.
//
// How a request is treated:
//
//   - Deadline: an arrival is refused when the expected queueing time plus its EstimatedTime exceed the time left. A
//     queued request is refused when its EstimatedTime alone exceeds the time left. When more than Policy.LateTarget of
//     the answers are late, the estimates are scaled up until they are not.
//   - Rank: strict priority, but a rank with queued work that held less than its share of the concurrency over the last
//     Policy.Window is served first. A rank never receives more than its share of the slots in this way, so a rank that
//     was idle cannot claim the past at once. Slots that a rank does not use are lent; a lent slot comes back when the
//     work in it finishes.
//   - Team: start-time fair queueing inside a rank by EstimatedCost, corrected by the settled cost at Finish.
//   - Patient work: scheduled as a class of its own in its rank, with Policy.PatientShare of the rank's share as its
//     minimum and Policy.PatientShare of all slots as its maximum.
//   - Full queue: each rank keeps its share of the queue; above that the least urgent rank loses its newest request of
//     the team with the longest queue.
//   - Concurrency limit: adapts from the observed queueing delay, see LimitKind.
package admit

import "time"

// Request is one request of a caller.
type Request struct {
	ID            string // unique among the requests that are queued or admitted
	Team          string
	Rank          int           // 0 is the most urgent; values outside the policy mean the least urgent rank
	Pipeline      string        // for the runtime's reports; not used in decisions
	Deadline      time.Time     // zero means none
	EstimatedCost float64       // in the unit of Finish.Cost; values that are not positive mean 1
	EstimatedTime time.Duration // from admission to the answer, as a high quantile
	LongRunning   bool          // long work with a long deadline, see the package comment
}

// Event is the input of Step.
//
//sumtype:decl
type Event interface{ event() }

// Arrive is a new request.
type Arrive struct{ Request Request }

// Finish is the end of an admitted request, successful or not. An id that is not admitted is ignored.
type Finish struct {
	ID         string
	Cost       float64       // settled cost; 0 keeps the estimate
	QueueDelay time.Duration // time spent in queues of upstreams; negative means not known
	Late       bool          // the answer missed the deadline
}

// Cancel ends a queued or admitted request without an answer. An unknown id is ignored.
type Cancel struct{ ID string }

// Tick lets time pass.
type Tick struct{}

// SetPolicy replaces the policy. Requests that are queued or admitted stay so unless the new bounds are narrower.
type SetPolicy struct{ Policy Policy }

func (Arrive) event()    {}
func (Finish) event()    {}
func (Cancel) event()    {}
func (Tick) event()      {}
func (SetPolicy) event() {}

// Action is the output of Step.
//
//sumtype:decl
type Action interface{ action() }

// Admit starts a request, which holds one slot of the concurrency limit until Finish or Cancel.
type Admit struct{ ID string }

// Queue says that the request waits; Admit or Refuse follows.
type Queue struct{ ID string }

// Refuse says that the request has not run and will not run.
type Refuse struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration // when another try is sensible, spread by a seeded jitter of half to one and a half
}

func (Admit) action()  {}
func (Queue) action()  {}
func (Refuse) action() {}

// Reason is why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	Overloaded Reason = "overloaded" // the queue is full and holds nothing less urgent
	Deadline   Reason = "deadline"   // the deadline cannot be met by the estimates
	TeamLimit  Reason = "team_limit" // the team is at its rate or in-flight limit
	Evicted    Reason = "evicted"    // queued, then displaced by more urgent work or by a team with a shorter queue
)
