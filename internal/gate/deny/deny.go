// Package deny finds forwarded requests that crash the upstreams that run them, whichever node sends them.
//
// A content is what identifies a request when it comes again: its route's host and path, the caller and the body. A node
// that loses the connection of a request notes the start of the upstream under the content (Crashed); a content that is
// answered is cleared of what was noted until then (Worked). One with MostCrashes starts that are not cleared is blocked
// on all nodes until ForgetAfter has passed since the last of them.
//
// An upstream that dies takes many requests with it, and nearly all of them are innocent. They succeed when they are sent
// again, which clears them, so that only a content that loses one upstream after the other without an answer is blocked.
//
// Entry nodes bring their own notes to all control nodes with their questions (Own), and the control nodes tell all entry
// nodes of contents with two starts or more (Suspects). Records merge in any order and any number of times with the same
// result: the starts of a content only grow, and each is cleared once.
//
// The limits of the method: copies that are sent before a note has reached a node, some 300 ms, are not held back there. A
// note is lost if its node dies before a control node has it, and a single start that only one node noted if both die.
//
// Usage:
//
//	b := deny.New()
//	b.Crashed(now, deny.Sum(host, path, team, body), deny.Start("r1", born))
//	if left, blocked := b.Blocked(now, content); blocked { ... }
//	records, seen := b.Own(now, seen) // for a control node: other.Merge(now, records)
package deny

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/state/poison"
)

const (
	// MaxCrashes is the number of starts of upstreams that a content may take down before it is blocked.
	MaxCrashes = 3
	// RecordTTL is how long a content is remembered after its last note.
	RecordTTL = 10 * time.Minute
	// suspectFrom is the number of starts from which entry nodes are told: most contents have one and are innocent.
	suspectFrom = 2
	// maxRecords bounds the contents that are remembered; above it, a quarter is forgotten, the oldest notes first.
	maxRecords = 4096
	// maxStarts bounds the starts under one content; more of them change nothing.
	maxStarts = 16
)

// Sum returns the content of a request. It is built as that of a stage run is; a host holds no slash and a path begins with
// one, so they need no mark between them.
func Sum(host, path, team string, body []byte) poison.Fingerprint {
	return poison.Sum(team, host+path, body)
}

// IncarnationID identifies one start of an upstream by its id and the time of the start.
func IncarnationID(upstream string, born int64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(upstream)) // a hash takes everything
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(born)))
	return h.Sum64()
}

// Record is what is known of one content, as nodes tell each other.
type Record struct {
	Content poison.Fingerprint `cbor:"1,keyasint"`
	Crashes []uint64           `cbor:"2,keyasint,omitempty"` // starts of upstreams that broke while they ran it, sorted
	Cleared []uint64           `cbor:"3,keyasint,omitempty"` // those after which the content was answered, sorted
	Age     int64              `cbor:"4,keyasint,omitempty"` // milliseconds since the last note
}

type record struct {
	starts  map[uint64]bool // true: cleared
	noted   time.Time
	version uint64 // of the last change
	own     uint64 // of the last change by this node's own notes
}

func (r *record) open() int {
	n := 0
	for _, cleared := range r.starts {
		if !cleared {
			n++
		}
	}
	return n
}

// Blocklist holds the records of one process. It is safe for concurrent use.
type Blocklist struct {
	mu      sync.Mutex
	version uint64
	records map[poison.Fingerprint]*record
}

// New returns an empty board.
func New() *Blocklist { return &Blocklist{records: map[poison.Fingerprint]*record{}} }

// Len returns the number of contents. While it is 0, none need be computed.
func (b *Blocklist) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.records)
}

// RecordCrash notes that a start of an upstream broke while it ran a content, and returns the number of starts that count.
func (b *Blocklist) RecordCrash(now time.Time, c poison.Fingerprint, start uint64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	r := b.records[c]
	if r == nil {
		r = &record{starts: map[uint64]bool{}}
		b.records[c] = r
	}
	if _, known := r.starts[start]; !known && len(r.starts) < maxStarts {
		r.starts[start] = false
		b.changed(r, now)
		r.own = b.version
	}
	return r.open()
}

// RecordSuccess notes that a content was answered by an upstream, and reports whether that cleared it of anything.
func (b *Blocklist) RecordSuccess(now time.Time, c poison.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[c]
	if r == nil || r.open() == 0 {
		return false
	}
	for start := range r.starts {
		r.starts[start] = true
	}
	b.changed(r, now)
	r.own = b.version
	return true
}

func (b *Blocklist) changed(r *record, now time.Time) {
	b.version++
	r.version = b.version
	if now.After(r.noted) {
		r.noted = now
	}
}

// CrashCount returns the number of starts that count against a content.
func (b *Blocklist) CrashCount(c poison.Fingerprint) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[c]; r != nil {
		return r.open()
	}
	return 0
}

// Blocked reports whether a content must not be sent, and for how long.
func (b *Blocklist) Blocked(now time.Time, c poison.Fingerprint) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[c]
	if r == nil || r.open() < MaxCrashes {
		return 0, false
	}
	left := r.noted.Add(RecordTTL).Sub(now)
	return left, left > 0
}

// Merge takes what another process told and returns the contents that are blocked from now on.
func (b *Blocklist) Merge(now time.Time, list []Record) []poison.Fingerprint {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	var blocked []poison.Fingerprint
	for _, in := range list {
		noted := now.Add(-time.Duration(in.Age) * time.Millisecond)
		if now.Sub(noted) >= RecordTTL {
			continue
		}
		r := b.records[in.Content]
		if r == nil {
			r = &record{starts: map[uint64]bool{}}
			b.records[in.Content] = r
		}
		before := r.open()
		if r.merge(in) {
			b.changed(r, noted)
		}
		if before < MaxCrashes && r.open() >= MaxCrashes {
			blocked = append(blocked, in.Content)
		}
	}
	return blocked
}

// merge reports whether anything changed.
func (r *record) merge(in Record) bool {
	changed := false
	for _, start := range in.Cleared {
		if !r.starts[start] && (len(r.starts) < maxStarts || r.has(start)) {
			r.starts[start], changed = true, true
		}
	}
	for _, start := range in.Crashes {
		if !r.has(start) && len(r.starts) < maxStarts {
			r.starts[start], changed = false, true
		}
	}
	return changed
}

func (r *record) has(start uint64) bool {
	_, ok := r.starts[start]
	return ok
}

// LocalChanges returns the records that this node's own notes changed after a version, and the version as of which that holds. After
// version 0 it returns all records: a control node that restarted has none, and the nodes that noted them may be gone.
func (b *Blocklist) LocalChanges(now time.Time, after uint64) ([]Record, uint64) {
	return b.since(now, func(r *record) bool { return r.own > after || after == 0 })
}

// Suspects returns the records of contents with two starts or more that changed after a version, and the version as of
// which that holds.
func (b *Blocklist) Suspects(now time.Time, after uint64) ([]Record, uint64) {
	return b.since(now, func(r *record) bool { return r.version > after && len(r.starts) >= suspectFrom })
}

func (b *Blocklist) since(now time.Time, match func(*record) bool) ([]Record, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Record
	for c, r := range b.records {
		if !match(r) {
			continue
		}
		one := Record{Content: c, Age: max(now.Sub(r.noted).Milliseconds(), 0)}
		for start, cleared := range r.starts {
			if cleared {
				one.Cleared = append(one.Cleared, start)
			} else {
				one.Crashes = append(one.Crashes, start)
			}
		}
		slices.Sort(one.Crashes)
		slices.Sort(one.Cleared)
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b Record) int { return a.Content.Compare(b.Content) })
	return out, b.version
}

// forget removes what is old, and the oldest records above the limit.
func (b *Blocklist) forget(now time.Time) {
	for c, r := range b.records {
		if now.Sub(r.noted) >= RecordTTL {
			delete(b.records, c)
		}
	}
	if len(b.records) <= maxRecords {
		return
	}
	over := len(b.records) - maxRecords*3/4 // so that the search is not repeated with each note
	oldest := make([]poison.Fingerprint, 0, len(b.records))
	for c := range b.records {
		oldest = append(oldest, c)
	}
	slices.SortFunc(oldest, func(x, y poison.Fingerprint) int { return cmp.Compare(b.records[x].version, b.records[y].version) })
	for _, c := range oldest[:over] {
		delete(b.records, c)
	}
}
