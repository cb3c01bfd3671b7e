// Package admit implements the admission control of an entry node: which requests start, in which order, and which are
// refused before they run.
//
// Machine is a deterministic state machine: Step takes the current time and one event and returns actions. It uses no
// goroutine, clock, socket or global random source, and is not safe for concurrent use; the caller serialises events.
//
// Usage:
//
//	m := admit.New(admit.PolicyFromConfig(cfg, entryNodes, seed))
//	for _, a := range m.Step(now, admit.Arrive{Request: r}) {
//		switch a := a.(type) {
//		case admit.Admit:  // start the first stage of a.ID
//		case admit.Queue:  // wait for a later Admit or Refuse of a.ID
//		case admit.Refuse: // report "not run" with a.Reason and a.RetryAfter; never start the request
//		}
//	}
//	m.Step(now, admit.Finish{ID: id, Cost: cost, QueueDelay: waited, Late: late}) // exactly once for an admitted request
//
// Step answers each arrival with exactly one of Admit, Queue and Refuse. A queued request later gets exactly one of Admit
// and Refuse, unless it is cancelled. The caller delivers a Tick at the time that Wake returns (or every 10 ms), so that
// a queued request is refused as soon as it can no longer meet its deadline.
//
// Scheduling rules:
//
//   - Deadline: an arrival is refused if its expected queueing time plus its EstimatedTime exceeds the time left. A queued
//     request is refused once its EstimatedTime alone exceeds the time left. If more than Policy.MaxLateFraction of the
//     answers are late, the estimates are scaled up until they are not.
//   - Rank: strict priority between ranks, except that a rank with queued work is served first if it used less than its
//     guaranteed share of the concurrency over the last Policy.Window. A rank gets at most its share of the slots in this
//     way, so a rank that was idle cannot catch up all at once. Unused slots are lent to other ranks; a lent slot is
//     returned when the request that holds it finishes.
//   - Team: start-time fair queueing within a rank, by EstimatedCost, corrected by the actual cost at Finish.
//   - Long-running requests: a separate class within each rank. Policy.LongRunningShare of the rank's share is its minimum,
//     and Policy.LongRunningShare of all slots is its maximum.
//   - Full queue: each rank keeps its share of the queue. Beyond that, the least urgent rank loses the newest request of
//     the team with the longest queue.
//   - Concurrency limit: adapts to the observed queueing delay, see LimitKind.
package admit

import "time"

// Request holds the properties of a caller's request that admission depends on.
type Request struct {
	ID            string // unique among the requests that are queued or admitted
	Team          string
	Rank          int           // 0 is the most urgent; values outside Policy.Ranks mean the least urgent rank
	Pipeline      string        // for reports; does not affect admission
	Deadline      time.Time     // zero means none
	EstimatedCost float64       // same unit as Finish.Cost; 0 or less means 1
	EstimatedTime time.Duration // high quantile of the time from admission to the answer
	LongRunning   bool          // long request with a late deadline, see the package comment
}

// Event is an input of Step: Arrive, Finish, Cancel, Tick or SetPolicy.
//
//sumtype:decl
type Event interface{ event() }

// Arrive submits a new request.
type Arrive struct{ Request Request }

// Finish reports that an admitted request has ended, successfully or not. An ID that is not admitted is ignored.
type Finish struct {
	ID         string
	Cost       float64       // actual cost; 0 keeps the estimate
	QueueDelay time.Duration // time spent in the queues of upstreams; negative if unknown
	Late       bool          // the answer missed the deadline
}

// Cancel removes a queued or admitted request. No action follows for it. An unknown ID is ignored.
type Cancel struct{ ID string }

// Tick advances time without any other event.
type Tick struct{}

// SetPolicy replaces the policy. Admitted requests keep running; queued requests stay queued unless they exceed the new
// MaxQueue.
type SetPolicy struct{ Policy Policy }

func (Arrive) event()    {}
func (Finish) event()    {}
func (Cancel) event()    {}
func (Tick) event()      {}
func (SetPolicy) event() {}

// Action is an output of Step: Admit, Queue or Refuse.
//
//sumtype:decl
type Action interface{ action() }

// Admit starts a request. It occupies one slot of the concurrency limit until Finish or Cancel.
type Admit struct{ ID string }

// Queue reports that the request is queued; Admit or Refuse follows.
type Queue struct{ ID string }

// Refuse reports that the request has not run and will not run.
type Refuse struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration // suggested delay before a retry, multiplied by a seeded jitter of 0.5 to 1.5
}

func (Admit) action()  {}
func (Queue) action()  {}
func (Refuse) action() {}

// Reason is the reason for a refusal.
type Reason string

// Reasons for a refusal.
const (
	Overloaded Reason = "overloaded" // the queue is full and holds nothing less urgent
	Deadline   Reason = "deadline"   // the deadline cannot be met according to the estimates
	TeamLimit  Reason = "team_limit" // the team is at its rate or in-flight limit
	Evicted    Reason = "evicted"    // evicted from the queue for more urgent work or a team with a shorter queue
)
