package upview

import (
	"sync"

	"github.com/berylledge/berylledge/pkg/upapi"
)

// MaxPrefixes is the maximum number of prefixes tracked per engine; the oldest are evicted. With blocks of upapi.PrefixBlock
// bytes it covers 2 MiB of prompts. It takes 332 KB for an engine that shares no prefix with others, so 51 MB for the 156
// engines of a data centre.
const MaxPrefixes = 2048

// maxHolders limits the number of engines tracked per prefix. A prefix that all engines hold, such as a shared system
// prompt, does not help to choose between them.
const maxHolders = 8

// maxGaps is the maximum number of sequence gaps after which a prefix is still used. Beyond it, the confidence is below 1/16
// and counts as 0.
const maxGaps = 4

// prefixIndex tracks which engines hold which prefixes. Entries are hints: an engine may have evicted a prefix although its
// eviction event has not arrived.
type prefixIndex struct {
	mu      sync.RWMutex
	limit   int
	engines map[string]*engineCache
	holders map[uint64][]string
}

// engineCache is the known content of the prefix cache of one engine.
type engineCache struct {
	incarnation uint64
	next        uint64 // sequence number after the highest one received
	gaps        uint32
	entries     map[uint64]entry
	arrivals    []uint64 // queue of prefixes in arrival order; may contain removed prefixes, which are skipped
	head        int
}

type entry struct {
	seq  uint64
	gaps uint32 // value of engineCache.gaps when the entry was recorded
}

func newPrefixIndex(limit int) *prefixIndex {
	return &prefixIndex{limit: limit, engines: map[string]*engineCache{}, holders: map[uint64][]string{}}
}

// CacheEvents applies a batch of cache events and reports whether the incarnation is known. Events may be late or missing. A
// gap in the sequence numbers halves the confidence in all earlier entries of the engine, but never makes the engine
// ineligible. A late event can only remove a prefix, because a later event may already have superseded an insertion.
func (t *Table) CacheEvents(b upapi.CacheEvents) bool {
	t.mu.Lock()
	u := t.byID[b.ID]
	known := u != nil && u.Incarnation == b.Incarnation
	t.mu.Unlock()
	if known {
		t.cache.applyBatch(b)
	}
	return known
}

func (x *prefixIndex) applyBatch(b upapi.CacheEvents) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engines[b.ID]
	if e == nil || e.incarnation != b.Incarnation {
		x.removeEngineLocked(b.ID)
		e = &engineCache{incarnation: b.Incarnation, entries: map[uint64]entry{}}
		x.engines[b.ID] = e
	}
	for _, ev := range b.Events {
		x.apply(b.ID, e, ev)
	}
}

func (x *prefixIndex) apply(id string, e *engineCache, ev upapi.CacheEvent) {
	late := ev.Seq < e.next
	if !late {
		if ev.Seq > e.next && e.next > 0 {
			e.gaps++
		}
		e.next = ev.Seq + 1
	}
	switch {
	case ev.Evicted:
		if old, ok := e.entries[ev.Prefix]; ok && old.seq < ev.Seq {
			x.removePrefix(id, e, ev.Prefix)
		}
	case !late:
		if _, ok := e.entries[ev.Prefix]; !ok {
			x.addHolder(id, ev.Prefix)
			e.arrivals = append(e.arrivals, ev.Prefix)
		}
		e.entries[ev.Prefix] = entry{seq: ev.Seq, gaps: e.gaps}
		x.enforceLimit(id, e)
	}
}

// enforceLimit removes the oldest prefixes above the limit and compacts the arrival queue when it reaches twice the limit.
func (x *prefixIndex) enforceLimit(id string, e *engineCache) {
	for len(e.entries) > x.limit {
		x.removePrefix(id, e, e.arrivals[e.head])
		e.head++
	}
	if len(e.arrivals) < 2*x.limit {
		return
	}
	kept := e.arrivals[:0]
	seen := make(map[uint64]bool, len(e.entries))
	for _, p := range e.arrivals[e.head:] {
		if _, ok := e.entries[p]; ok && !seen[p] {
			seen[p] = true
			kept = append(kept, p)
		}
	}
	e.arrivals, e.head = kept, 0
}

func (x *prefixIndex) addHolder(id string, prefix uint64) {
	list := x.holders[prefix]
	if len(list) >= maxHolders {
		list = list[1:]
	}
	x.holders[prefix] = append(list, id)
}

func (x *prefixIndex) removePrefix(id string, e *engineCache, prefix uint64) {
	if _, ok := e.entries[prefix]; !ok {
		return
	}
	delete(e.entries, prefix)
	list := x.holders[prefix]
	kept := make([]string, 0, len(list))
	for _, h := range list {
		if h != id {
			kept = append(kept, h)
		}
	}
	if len(kept) == 0 {
		delete(x.holders, prefix)
	} else {
		x.holders[prefix] = kept
	}
}

func (x *prefixIndex) removeEngine(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.removeEngineLocked(id)
}

func (x *prefixIndex) removeEngineLocked(id string) {
	e := x.engines[id]
	if e == nil {
		return
	}
	for p := range e.entries {
		x.removePrefix(id, e, p)
	}
	delete(x.engines, id)
}

// confidence is the assumed probability that an entry is still cached, given the sequence gaps since it was recorded.
func (e *engineCache) confidence(prefix uint64) float64 {
	got, ok := e.entries[prefix]
	if !ok || e.gaps-got.gaps > maxGaps {
		return 0
	}
	return 1 / float64(uint32(1)<<(e.gaps-got.gaps))
}

// Cached returns the number of leading prompt blocks, identified by their prefix hashes, that an upstream probably holds, and
// the confidence in that (0 to 1). It chooses the known block with the highest product of depth and confidence. All blocks
// before a cached block are cached too, because an engine evicts from the end of a prefix.
func (v *View) Cached(u *Upstream, prefixes []uint64) (blocks int, confidence float64) {
	v.cache.mu.RLock()
	defer v.cache.mu.RUnlock()
	e := v.cache.engines[u.ID]
	if e == nil || e.incarnation != u.Incarnation {
		return 0, 0
	}
	best := 0.0
	for i := len(prefixes) - 1; i >= 0; i-- {
		// A shallower block with high confidence can be worth more than a deeper one with low confidence.
		if t := e.confidence(prefixes[i]); t*float64(i+1) > best {
			best, blocks, confidence = t*float64(i+1), i+1, t
		}
		if best >= float64(i) {
			break
		}
	}
	return blocks, confidence
}

// Holders appends to ids up to limit engines that probably hold one of the prefixes, deepest prefix first, and returns the
// result. The order is deterministic for a given order of events.
func (v *View) Holders(ids []string, prefixes []uint64, limit int) []string {
	v.cache.mu.RLock()
	defer v.cache.mu.RUnlock()
	start := len(ids)
	for i := len(prefixes) - 1; i >= 0; i-- {
		for _, id := range v.cache.holders[prefixes[i]] {
			if len(ids)-start >= limit {
				return ids
			}
			if !contains(ids[start:], id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
