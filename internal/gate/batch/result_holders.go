package batch

import (
	"slices"
	"time"
)

// resultTracker tracks the results that are used by this node's requests, and the nodes that account for them. Only the
// owner of a queue knows the memory use of its upstreams. When another node takes over a queue, the users of the
// results report them to it.
type resultTracker struct {
	results map[queueKey]map[string]*trackedResult // by handle
	owners  map[queueKey]ownerTerm
}

// ownerTerm is the node last used as the owner of a queue.
type ownerTerm struct {
	node string
	term int // incremented with each change of the owner
}

type trackedResult struct {
	request  string
	upstream string
	bytes    int64
	expires  time.Time // when the upstream discards it
	owners   []string  // nodes that account for the result, the current one last
	term     int       // term of the last owner it was reported to; an owner that returns may have restarted, so it has a new term
}

// ResultState describes a result in use to a node that takes over a queue.
type ResultState struct {
	Handle   string        `cbor:"1,keyasint"`
	Upstream string        `cbor:"2,keyasint"`
	Request  string        `cbor:"3,keyasint"`
	Bytes    int64         `cbor:"4,keyasint"`
	TimeLeft time.Duration `cbor:"5,keyasint"` // until the upstream discards it
}

// setOwner records the node now used as the owner of a queue.
func (h *resultTracker) setOwner(p queueKey, node string) {
	if h.owners == nil {
		h.owners = map[queueKey]ownerTerm{}
	}
	if last := h.owners[p]; last.node != node {
		h.owners[p] = ownerTerm{node, last.term + 1}
	}
}

// add records a result and the node that accounts for it.
func (h *resultTracker) add(p queueKey, handle, owner string, x *trackedResult) {
	if h.results == nil {
		h.results = map[queueKey]map[string]*trackedResult{}
	}
	if h.results[p] == nil {
		h.results[p] = map[string]*trackedResult{}
	}
	x.owners = []string{owner}
	if present := h.owners[p]; present.node == owner {
		x.term = present.term
	}
	h.results[p][handle] = x
}

// unknownToOwner returns the results of a queue that its owner does not account for.
func (h *resultTracker) unknownToOwner(now time.Time, p queueKey) []ResultState {
	var out []ResultState
	for handle, x := range h.results[p] {
		if now.Before(x.expires) && x.term != h.owners[p].term {
			out = append(out, ResultState{handle, x.upstream, x.request, x.bytes, x.expires.Sub(now)})
		}
	}
	return out
}

// markReported records that a node now accounts for the given results.
func (h *resultTracker) markReported(p queueKey, node string, list []ResultState) {
	present := h.owners[p]
	for _, r := range list {
		x := h.results[p][r.Handle]
		if x == nil {
			continue
		}
		x.owners = append(slices.DeleteFunc(x.owners, func(s string) bool { return s == node }), node)
		if present.node == node {
			x.term = present.term
		}
	}
}

// inUse reports whether a request of this node uses a result.
func (h *resultTracker) inUse(handle string) bool {
	for _, results := range h.results {
		if results[handle] != nil {
			return true
		}
	}
	return false
}

// remove drops a result and returns the nodes that account for it, the current one last.
func (h *resultTracker) remove(service, handle string) []string {
	for p, results := range h.results {
		if x := results[handle]; x != nil && p.service == service {
			delete(results, handle)
			return x.owners
		}
	}
	return nil
}

// expire drops results that their upstreams have discarded.
func (h *resultTracker) expire(now time.Time) {
	for _, results := range h.results {
		for handle, x := range results {
			if !now.Before(x.expires) {
				delete(results, handle)
			}
		}
	}
}
