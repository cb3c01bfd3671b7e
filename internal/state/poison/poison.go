// Package poison is the replicated part of crash protection, applied by the control group: it records which content was
// running on upstreams that died, and decides the status of each fingerprint. It is a deterministic state machine. Package
// crash has the part of one entry node and describes how both work together.
//
// Usage:
//
//	r := poison.NewRegistry(poison.DefaultRegistryPolicy())
//	res := r.Apply(entryTime, poison.ReportDeath{Upstream: "gen-1", Incarnation: 17, Members: members})
//	for _, e := range res.Changed { ... } // send to all entry nodes
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// Fingerprint identifies the content of a stage run or of a forwarded request, independent of the sender.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Uint64 returns the first 8 bytes as a little-endian integer, for route.Request.Fingerprint.
func (f Fingerprint) Uint64() uint64 { return binary.LittleEndian.Uint64(f[:8]) }

// Sum returns the fingerprint of a stage run: the first half of the SHA-256 of the pipeline, the stage and the input,
// which may be given in parts. The hash is cryptographic so that a team cannot construct a request that gets another
// team's request isolated.
func Sum(pipeline, stage string, input ...[]byte) Fingerprint {
	// One buffer, usually on the stack, is cheaper than several writes to a hash.
	buf := make([]byte, 0, 512)
	for _, name := range []string{pipeline, stage} {
		// The length prefixes distinguish "a"+"bc" from "ab"+"c".
		buf = binary.LittleEndian.AppendUint64(buf, uint64(len(name)))
		buf = append(buf, name...)
	}
	for _, part := range input {
		buf = append(buf, part...)
	}
	sum := sha256.Sum256(buf)
	return Fingerprint(sum[:len(Fingerprint{})])
}

// Status determines whether and how a fingerprint may run.
type Status int

// Statuses of a fingerprint.
const (
	// Clean fingerprints run without restriction.
	Clean Status = iota
	// Suspect fingerprints run only under a solo grant.
	Suspect
	// Held fingerprints were running at MaxDeaths or more deaths and wait until those that ran beside them are cleared.
	Held
	// Isolated fingerprints do not run until they expire or are cleared.
	Isolated
)

// String returns the name of the status as shown in lists.
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

// Entry is the status of a fingerprint, with the number of its deaths and its expiry.
type Entry struct {
	Fingerprint Fingerprint
	Status      Status
	Deaths      int
	Expires     time.Time
}

// ParseFingerprint parses the hexadecimal form.
func ParseFingerprint(s string) (Fingerprint, bool) {
	var f Fingerprint
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, false
	}
	copy(f[:], b)
	return f, true
}
