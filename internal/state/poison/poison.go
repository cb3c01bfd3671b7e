// Package poison is the part of the crash defence that a control group replicates: it records which contents were running on
// upstreams that died, and decides the status of each. It is a deterministic state machine; package poison has the part of one
// entry node and describes how both work together.
//
// Usage:
//
//	f := poison.NewFleet(poison.DefaultFleetPolicy())
//	res := f.Apply(entryTime, poison.ReportDeath{Upstream: "gen-1", Incarnation: 17, Members: members})
//	for _, e := range res.Changed { ... } // to be sent to all entry nodes
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// Fingerprint identifies the content of a stage run, or of a forwarded request, whoever sent it.
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
