// Package deny detects forwarded requests that crash the upstreams that run them, across all nodes.
//
// A fingerprint identifies a request when it is sent again. It covers the route's host and path, the team and the body.
// A node that loses the connection of a request records the incarnation of the upstream under the request's fingerprint
// (RecordCrash). When a request is answered, the crashes recorded under its fingerprint until then are cleared
// (RecordSuccess). A fingerprint with MaxCrashes uncleared incarnations is blocked on all nodes until RecordTTL has
// passed since the last update.
//
// An upstream that dies takes many requests with it, and nearly all of them are innocent. They succeed when they are
// retried, which clears them. Only a request that loses one upstream after another without an answer is blocked.
//
// Entry nodes send their own records to all control nodes along with their queries (LocalChanges), and the control
// nodes send the fingerprints with at least two incarnations to all entry nodes (Suspects). Merging is commutative and
// idempotent: the set of incarnations of a fingerprint only grows, and each incarnation is cleared at most once.
//
// Limitations: copies of a request that are sent within about 300 ms, before a record has reached a node, are not held
// back there. A record is lost if its node dies before a control node has it. A single incarnation that only one node
// recorded is also lost if that node and the control nodes die.
//
// Usage:
//
//	b := deny.New()
//	b.RecordCrash(now, deny.Sum(host, path, team, body), deny.IncarnationID("r1", born))
//	if left, blocked := b.Blocked(now, fingerprint); blocked { ... }
//	records, seen := b.LocalChanges(now, seen) // on the control node: other.Merge(now, records)
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
	// MaxCrashes is the number of upstream incarnations that a request may crash before it is blocked.
	MaxCrashes = 3
	// RecordTTL is how long a fingerprint is kept after its last update.
	RecordTTL = 10 * time.Minute
	// suspectCrashes is the number of incarnations from which entry nodes are told about a fingerprint. Most
	// fingerprints have only one and are innocent.
	suspectCrashes = 2
	// maxRecords limits the number of fingerprints. When it is exceeded, the least recently updated ones are evicted
	// down to three quarters of it.
	maxRecords = 4096
	// maxIncarnations limits the incarnations stored for one fingerprint. More of them would not change the outcome.
	maxIncarnations = 16
)

// Sum returns the fingerprint of a request. It is computed like that of a stage run. No separator is needed between
// host and path, since a host contains no slash and a path begins with one.
func Sum(host, path, team string, body []byte) poison.Fingerprint {
	return poison.Sum(team, host+path, body)
}

// IncarnationID returns the ID of one incarnation of an upstream, derived from the upstream's ID and start time.
func IncarnationID(upstream string, born int64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(upstream)) // a hash never returns an error
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(born)))
	return h.Sum64()
}

// Record is the state of one fingerprint, as exchanged between nodes.
type Record struct {
	Fingerprint poison.Fingerprint `cbor:"1,keyasint"`
	Crashes     []uint64           `cbor:"2,keyasint,omitempty"` // uncleared incarnations that failed while running it, sorted
	Cleared     []uint64           `cbor:"3,keyasint,omitempty"` // incarnations whose crash was cleared by a later answer, sorted
	Age         int64              `cbor:"4,keyasint,omitempty"` // milliseconds since the last update
}

type record struct {
	incarnations map[uint64]bool // true: cleared
	lastUpdate   time.Time
	version      uint64 // Blocklist version of the last change
	localVersion uint64 // Blocklist version of the last change made by this node itself
}

func (r *record) uncleared() int {
	n := 0
	for _, cleared := range r.incarnations {
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

// New returns an empty Blocklist.
func New() *Blocklist { return &Blocklist{records: map[poison.Fingerprint]*record{}} }

// Len returns the number of fingerprints. While it is 0, callers need not compute any.
func (b *Blocklist) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.records)
}

// RecordCrash records that an incarnation of an upstream failed while it ran a request, and returns the number of
// uncleared incarnations.
func (b *Blocklist) RecordCrash(now time.Time, c poison.Fingerprint, incarnation uint64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evict(now)
	r := b.records[c]
	if r == nil {
		r = &record{incarnations: map[uint64]bool{}}
		b.records[c] = r
	}
	if _, known := r.incarnations[incarnation]; !known && len(r.incarnations) < maxIncarnations {
		r.incarnations[incarnation] = false
		b.markChanged(r, now)
		r.localVersion = b.version
	}
	return r.uncleared()
}

// RecordSuccess records that a request was answered by an upstream, and reports whether that cleared any crashes.
func (b *Blocklist) RecordSuccess(now time.Time, c poison.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[c]
	if r == nil || r.uncleared() == 0 {
		return false
	}
	for incarnation := range r.incarnations {
		r.incarnations[incarnation] = true
	}
	b.markChanged(r, now)
	r.localVersion = b.version
	return true
}

func (b *Blocklist) markChanged(r *record, now time.Time) {
	b.version++
	r.version = b.version
	if now.After(r.lastUpdate) {
		r.lastUpdate = now
	}
}

// CrashCount returns the number of uncleared incarnations of a fingerprint.
func (b *Blocklist) CrashCount(c poison.Fingerprint) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[c]; r != nil {
		return r.uncleared()
	}
	return 0
}

// Blocked reports whether a request must not be sent, and for how long.
func (b *Blocklist) Blocked(now time.Time, c poison.Fingerprint) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[c]
	if r == nil || r.uncleared() < MaxCrashes {
		return 0, false
	}
	left := r.lastUpdate.Add(RecordTTL).Sub(now)
	return left, left > 0
}

// Merge merges records of another process and returns the fingerprints that have become blocked.
func (b *Blocklist) Merge(now time.Time, list []Record) []poison.Fingerprint {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evict(now)
	var blocked []poison.Fingerprint
	for _, in := range list {
		updated := now.Add(-time.Duration(in.Age) * time.Millisecond)
		if now.Sub(updated) >= RecordTTL {
			continue
		}
		r := b.records[in.Fingerprint]
		if r == nil {
			r = &record{incarnations: map[uint64]bool{}}
			b.records[in.Fingerprint] = r
		}
		before := r.uncleared()
		if r.merge(in) {
			b.markChanged(r, updated)
		}
		if before < MaxCrashes && r.uncleared() >= MaxCrashes {
			blocked = append(blocked, in.Fingerprint)
		}
	}
	return blocked
}

// merge reports whether anything changed.
func (r *record) merge(in Record) bool {
	changed := false
	for _, incarnation := range in.Cleared {
		if !r.incarnations[incarnation] && (len(r.incarnations) < maxIncarnations || r.contains(incarnation)) {
			r.incarnations[incarnation], changed = true, true
		}
	}
	for _, incarnation := range in.Crashes {
		if !r.contains(incarnation) && len(r.incarnations) < maxIncarnations {
			r.incarnations[incarnation], changed = false, true
		}
	}
	return changed
}

func (r *record) contains(incarnation uint64) bool {
	_, ok := r.incarnations[incarnation]
	return ok
}

// LocalChanges returns the records that this node itself changed after a version, and the current version. After
// version 0 it returns all records, including those of other nodes: a restarted control node has none, and the nodes
// that made them may be gone.
func (b *Blocklist) LocalChanges(now time.Time, after uint64) ([]Record, uint64) {
	return b.collect(now, func(r *record) bool { return r.localVersion > after || after == 0 })
}

// Suspects returns the records with at least two incarnations that changed after a version, and the current version.
func (b *Blocklist) Suspects(now time.Time, after uint64) ([]Record, uint64) {
	return b.collect(now, func(r *record) bool { return r.version > after && len(r.incarnations) >= suspectCrashes })
}

func (b *Blocklist) collect(now time.Time, match func(*record) bool) ([]Record, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Record
	for c, r := range b.records {
		if !match(r) {
			continue
		}
		one := Record{Fingerprint: c, Age: max(now.Sub(r.lastUpdate).Milliseconds(), 0)}
		for incarnation, cleared := range r.incarnations {
			if cleared {
				one.Cleared = append(one.Cleared, incarnation)
			} else {
				one.Crashes = append(one.Crashes, incarnation)
			}
		}
		slices.Sort(one.Crashes)
		slices.Sort(one.Cleared)
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b Record) int { return a.Fingerprint.Compare(b.Fingerprint) })
	return out, b.version
}

// evict removes expired records, and the least recently updated ones above the limit.
func (b *Blocklist) evict(now time.Time) {
	for c, r := range b.records {
		if now.Sub(r.lastUpdate) >= RecordTTL {
			delete(b.records, c)
		}
	}
	if len(b.records) <= maxRecords {
		return
	}
	over := len(b.records) - maxRecords*3/4 // to avoid sorting again on each new record
	oldest := make([]poison.Fingerprint, 0, len(b.records))
	for c := range b.records {
		oldest = append(oldest, c)
	}
	slices.SortFunc(oldest, func(x, y poison.Fingerprint) int { return cmp.Compare(b.records[x].version, b.records[y].version) })
	for _, c := range oldest[:over] {
		delete(b.records, c)
	}
}
