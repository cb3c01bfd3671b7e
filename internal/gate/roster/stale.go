package roster

import (
	"maps"
	"slices"
	"time"
)

// StaleSet names the upstreams of which nothing new may be known here: the control node that hears them does not answer, or their
// heartbeat is late. They may have said something since, such as that they are cold.
type StaleSet struct {
	Version uint64   `cbor:"1,keyasint"`           // increases with each change in a run of the control node
	IDs     []string `cbor:"2,keyasint,omitempty"` // sorted
}

// Contains reports whether an upstream is in the set.
func (s StaleSet) Contains(id string) bool {
	_, found := slices.BinarySearch(s.IDs, id)
	return found
}

// staleScanInterval is the time between two scans of all records while the same control nodes are heard.
const staleScanInterval = 250 * time.Millisecond

// staleState is what Registry keeps to update its StaleSet.
type staleState struct {
	set     StaleSet
	scanned time.Time
	unheard []string // owners that were not heard at the last scan, sorted
}

// UpdateStale updates the set of stale upstreams.
func (reg *Registry) UpdateStale(now time.Time) {
	st := &reg.stale
	unheard := reg.unheardPeers(now)
	if slices.Equal(unheard, st.unheard) && now.Sub(st.scanned) < staleScanInterval {
		return
	}
	st.unheard, st.scanned = unheard, now
	ids := reg.readyIDs(func(r *upstreamRecord) bool { return reg.isStale(now, r) })
	if !slices.Equal(ids, st.set.IDs) {
		st.set = StaleSet{Version: st.set.Version + 1, IDs: ids}
	}
}

// Stale returns the set of stale upstreams as of the last UpdateStale. It must not be modified.
func (reg *Registry) Stale() StaleSet { return reg.stale.set }

func (reg *Registry) unheardPeers(now time.Time) []string {
	var out []string
	for _, address := range slices.Sorted(maps.Keys(reg.peers)) {
		if !reg.hearsPeer(now, address) {
			out = append(out, address)
		}
	}
	return out
}

// hearsPeer reports whether another control node has sent a sync message lately and all changes before it are known.
func (reg *Registry) hearsPeer(now time.Time, address string) bool {
	p := reg.peers[address]
	return p != nil && now.Sub(p.lastSync) <= reg.cfg.StaleAfter
}

// readyIDs returns the sorted ids of the ready upstreams that fit.
func (reg *Registry) readyIDs(fits func(*upstreamRecord) bool) []string {
	var out []string
	for id, r := range reg.upstreams {
		if r.State == Ready && fits(r) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (reg *Registry) isStale(now time.Time, r *upstreamRecord) bool {
	switch r.owner {
	case reg.cfg.Self:
		return reg.isLate(now, r)
	case "":
		return now.Sub(reg.lastHeardAt(&r.recordMeta)) > reg.cfg.StaleAfter
	}
	return !reg.hearsPeer(now, r.owner) || reg.peers[r.owner].late[r.ID]
}

// isLate reports whether the heartbeat of an upstream that reports to this node is late, so that it may have reported elsewhere.
func (reg *Registry) isLate(now time.Time, r *upstreamRecord) bool {
	return now.Sub(r.lastHeard) > reg.cfg.LateAfter
}

// lateIDs returns the upstreams that report to this node and whose heartbeat is late.
func (reg *Registry) lateIDs(now time.Time) []string {
	return reg.readyIDs(func(r *upstreamRecord) bool { return r.owner == reg.cfg.Self && reg.isLate(now, r) })
}
