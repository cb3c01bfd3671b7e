package batch

import (
	"slices"
	"time"
)

// holder remembers the results that this node's requests use, and which nodes keep account of them. The memory of an upstream
// is known to the node that keeps its queue only; when another node takes over, the users of the results tell it.
type holder struct {
	results map[place]map[string]*holding // by handle
	owners  map[place]owner
}

// owner is the node that this one last turned to for a place.
type owner struct {
	node string
	term int // grows with each change
}

type holding struct {
	request  string
	upstream string
	bytes    int64
	until    time.Time // when the upstream forgets it
	sources  []string  // nodes that have it in an account, the present one last
	term     int       // of the owner that was told last; one that returns is told again, since it may have been restarted
}

// Held is a result that a request uses, as it is told to a node that takes over a queue.
type Held struct {
	Handle   string        `cbor:"1,keyasint"`
	Upstream string        `cbor:"2,keyasint"`
	Request  string        `cbor:"3,keyasint"`
	Bytes    int64         `cbor:"4,keyasint"`
	Left     time.Duration `cbor:"5,keyasint"` // until the upstream forgets it
}

// turn notes to which node this one turns for a place.
func (h *holder) turn(p place, node string) {
	if h.owners == nil {
		h.owners = map[place]owner{}
	}
	if last := h.owners[p]; last.node != node {
		h.owners[p] = owner{node, last.term + 1}
	}
}

// add notes a result and the node that made it.
func (h *holder) add(p place, handle, source string, x *holding) {
	if h.results == nil {
		h.results = map[place]map[string]*holding{}
	}
	if h.results[p] == nil {
		h.results[p] = map[string]*holding{}
	}
	x.sources = []string{source}
	if present := h.owners[p]; present.node == source {
		x.term = present.term
	}
	h.results[p][handle] = x
}

// unknown returns the results of a place of which its owner keeps no account.
func (h *holder) unknown(now time.Time, p place) []Held {
	var out []Held
	for handle, x := range h.results[p] {
		if now.Before(x.until) && x.term != h.owners[p].term {
			out = append(out, Held{handle, x.upstream, x.request, x.bytes, x.until.Sub(now)})
		}
	}
	return out
}

// told notes that a node keeps account of results from now on.
func (h *holder) told(p place, node string, list []Held) {
	present := h.owners[p]
	for _, r := range list {
		x := h.results[p][r.Handle]
		if x == nil {
			continue
		}
		x.sources = append(slices.DeleteFunc(x.sources, func(s string) bool { return s == node }), node)
		if present.node == node {
			x.term = present.term
		}
	}
}

// holds reports whether a request of this node uses a result.
func (h *holder) holds(handle string) bool {
	for _, results := range h.results {
		if results[handle] != nil {
			return true
		}
	}
	return false
}

// drop forgets a result and returns the nodes that keep account of it, the present one last.
func (h *holder) drop(service, handle string) []string {
	for p, results := range h.results {
		if x := results[handle]; x != nil && p.service == service {
			delete(results, handle)
			return x.sources
		}
	}
	return nil
}

// expire forgets results that their upstreams have forgotten.
func (h *holder) expire(now time.Time) {
	for _, results := range h.results {
		for handle, x := range results {
			if !now.Before(x.until) {
				delete(results, handle)
			}
		}
	}
}
