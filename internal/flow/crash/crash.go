// Package crash finds requests that crash the upstreams that run them, and keeps them from running again.
//
// It has two deterministic state machines. Fleet is the shared part: it is applied in the order of the control group's
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
//	for _, a := range m.Step(now, crash.Ask{ID: 1, Fingerprint: crash.Sum("ask", "rerank", input)}) {
//		switch a := a.(type) {
//		case crash.Run:       // dispatch, then Step(now, crash.Started{...})
//		case crash.ClaimSolo: // propose crash.AskSolo to the control group
//		...
//		}
//	}
package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// Fingerprint identifies the content of a stage run, whoever sent it.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Word returns the first 8 bytes as a number, for route.Need.Fingerprint.
func (f Fingerprint) Word() uint64 { return binary.LittleEndian.Uint64(f[:8]) }

// Sum returns the fingerprint of a stage run: the first half of the sha256 of the pipeline, the stage and the input, which
// may be given in parts.
// A cryptographic hash is used so that a team cannot construct a request that is isolated in place of another team's.
func Sum(pipeline, stage string, input ...[]byte) Fingerprint {
	// One buffer, usually on the stack, costs less than several writes to a hash.
	buf := make([]byte, 0, 512)
	for _, name := range []string{pipeline, stage} {
		// The lengths keep "a"+"bc" apart from "ab"+"c".
		buf = binary.LittleEndian.AppendUint64(buf, uint64(len(name)))
		buf = append(buf, name...)
	}
	for _, part := range input {
		buf = append(buf, part...)
	}
	sum := sha256.Sum256(buf)
	return Fingerprint(sum[:len(Fingerprint{})])
}

// Status is what the fleet thinks of a fingerprint.
type Status int

// The statuses.
const (
	// Clean fingerprints run freely.
	Clean Status = iota
	// Suspect ones run solo.
	Suspect
	// Held ones were running at two deaths and wait until those that ran beside them are cleared.
	Held
	// Isolated ones do not run until they expire or are cleared.
	Isolated
)

// String returns the name of the status as it appears in lists.
func (s Status) String() string {
	switch s {
	case Clean:
		return "clean"
	case Suspect:
		return "suspect"
	case Held:
		return "held"
	case Isolated:
		return "isolated"
	}
	return "unknown"
}

// Entry is a fingerprint with its status.
type Entry struct {
	Fingerprint Fingerprint
	Status      Status
	Deaths      int
	Expires     time.Time
}

// ParseFingerprint reads the hexadecimal form.
func ParseFingerprint(s string) (Fingerprint, bool) {
	var f Fingerprint
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, false
	}
	copy(f[:], b)
	return f, true
}
