// Package crash detects requests that crash the upstreams that run them, and prevents them from running again.
//
// It uses two deterministic state machines. poison.Registry is replicated: it applies commands in the order of the control
// group's log and decides the status of each content fingerprint. Machine runs on each entry node: it tracks attempts,
// reports upstream deaths and requests permission to run a suspect.
//
// When an upstream dies, each request that was running on it becomes a suspect. A suspect runs only under a grant from the
// control group (a solo run): one run at a time per fingerprint, and one suspect at a time per upstream. A successful
// run clears the suspect. A second death under the same fingerprint stops it from running. The fingerprint is isolated
// once every other fingerprint present at one of its deaths has been cleared; until then it is held, because
// another one, not yet identified, may be the cause. Solo runs therefore delay innocent requests but
// do not isolate them. Limitation: if two upstreams die of unrelated causes while running the same request and nothing
// else, the request is isolated. Operators can list and clear entries, and entries expire.
//
// A request that crashes upstreams takes down at most 2 of them, one before it is a suspect and one in its solo run,
// provided that no node dispatches it before learning of the first death. Four rules ensure this. A failure is returned
// to the caller only after the node knows that the death report is applied (action ReleaseFailure), so a caller that
// waits for the response cannot retry ahead of the report. Upstreams for a stage are sampled by fingerprint
// (route.Request.Fingerprint), so copies sent at the same time through several nodes reach the same two upstreams of the
// pool. After a node learns of a death, it delays content without a recent success until the report should have arrived.
// And a permit is checked again (PermitValid) after the upstream is chosen.
// docs/notes/routing.md describes the limits.
//
// Usage on a node, where replies from the control group arrive as EntriesReceived and SoloClaimAnswered events:
//
//	m := crash.New(crash.DefaultPolicy())
//	for _, a := range m.Step(now, crash.RunRequested{ID: 1, Fingerprint: poison.Sum("ask", "rerank", input)}) {
//		switch a := a.(type) {
//		case crash.PermitRun: // dispatch, then Step(now, crash.Started{...})
//		case crash.ClaimSolo: // propose poison.ClaimSolo to the control group
//		...
//		}
//	}
package crash

import "time"

// Policy holds the parameters of a Machine. See DefaultPolicy for usable values.
type Policy struct {
	// EvidenceTimeout is how long a run that lost its connection waits for evidence that its upstream died or survived.
	EvidenceTimeout time.Duration
	// Retention is how long such runs are kept for late evidence, such as an expired lease.
	Retention time.Duration
	// ReportTimeout is the longest time for which a failure is withheld from the caller until the death report is known
	// to be applied. Unconfirmed reports are resent at this interval.
	ReportTimeout time.Duration
	// RetryDelay is the delay before a denied solo claim is made again, and the retry delay suggested to the caller of a
	// rejected run.
	RetryDelay time.Duration
	// PostDeathDelay is the delay of a run whose connection was refused, and of all unproven content after the node
	// learns of a death, so that the fingerprints that died with the upstream are known before the run reaches another one.
	PostDeathDelay time.Duration
	// MaxProven is the number of fingerprints remembered as having succeeded.
	MaxProven int
	// MaxWait is the longest wait for a solo run, after which the request is rejected as not run.
	MaxWait time.Duration
}

// DefaultPolicy returns the parameters explained in docs/notes/routing.md.
func DefaultPolicy() Policy {
	return Policy{
		EvidenceTimeout: 500 * time.Millisecond, Retention: 30 * time.Second, ReportTimeout: time.Second,
		RetryDelay: 100 * time.Millisecond, PostDeathDelay: 100 * time.Millisecond, MaxProven: 4096, MaxWait: 10 * time.Second,
	}
}
