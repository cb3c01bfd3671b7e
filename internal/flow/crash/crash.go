// Package crash finds requests that crash the upstreams that run them, and keeps them from running again.
//
// It has two deterministic state machines. poison.Fleet is the shared part: it is applied in the order of the control group's
// log and decides the status of each fingerprint. Machine is the part of one entry node: it watches attempts, reports
// the deaths of upstreams and asks for permission to run a suspect.
//
// When an upstream dies, each request that was running on it becomes a suspect. A suspect runs only with a grant of the
// control group (a solo run): one run at a time for each fingerprint, and one suspect at a time on each upstream. A run
// that succeeds clears its suspect. One that dies is the suspect's second death; from then on it does not run. It is
// isolated when all others that ran beside it at one of its deaths have been cleared; until then it is held, because
// another one, unknown before, may have been the cause. An innocent request is therefore delayed by the solo runs, but
// not isolated. The limit of the method: two upstreams that die of other causes under the same request, while nothing
// else runs beside it, isolate it; an operator can list and clear entries, and they expire.
//
// One poisonous request takes down at most 2 upstreams if it is not dispatched by nodes that do not know yet: one
// before it is a suspect and one in its solo run. Four rules keep the others from dispatching it. A failure is answered
// only after the report is known to the node (action Release), so a caller that waits for the answer cannot outrun it.
// A node samples upstreams for a stage by the fingerprint (route.Need.Fingerprint), so copies sent at the same time
// through several nodes go to the same two upstreams of the pool. A node that hears of a death lets content that has not
// succeeded lately wait for the report. And a permit is checked again (Stands) once the upstream is chosen.
// docs/notes/routing.md states the limits.
//
// Usage (on a node; the control group's answers come back as Learned and SoloAnswer events):
//
//	m := crash.New(crash.DefaultPolicy())
//	for _, a := range m.Step(now, crash.Ask{ID: 1, Fingerprint: poison.Sum("ask", "rerank", input)}) {
//		switch a := a.(type) {
//		case crash.Run:       // dispatch, then Step(now, crash.Started{...})
//		case crash.ClaimSolo: // propose poison.AskSolo to the control group
//		...
//		}
//	}
package crash

import "time"

// Policy holds the parameters of a Machine. DefaultPolicy fills all of them.
type Policy struct {
	// Confirm is how long a broken attempt waits for evidence that its upstream died or survived.
	Confirm time.Duration
	// Remember is how long broken attempts are kept for evidence that comes late, such as an expired lease.
	Remember time.Duration
	// HoldAnswer is the longest time for which the answer to a failure is held back until the report is known.
	HoldAnswer time.Duration
	// Retry is the delay before a claim that was not granted is made again, and the delay that held callers are told.
	Retry time.Duration
	// Refused is the delay of a run after an upstream refused its connection, and of all contents that are not proven
	// after the node heard of a death: what died with the upstream should be known before the run goes to another one.
	Refused time.Duration
	// Proven is the number of contents that are remembered as having succeeded.
	Proven int
	// MaxWait is the longest wait of a request for a solo run; it is refused afterwards as not run.
	MaxWait time.Duration
}

// DefaultPolicy returns the parameters that docs/notes/routing.md explains.
func DefaultPolicy() Policy {
	return Policy{
		Confirm: 500 * time.Millisecond, Remember: 30 * time.Second, HoldAnswer: time.Second,
		Retry: 100 * time.Millisecond, Refused: 100 * time.Millisecond, Proven: 4096, MaxWait: 10 * time.Second,
	}
}
