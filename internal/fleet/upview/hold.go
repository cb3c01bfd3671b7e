package upview

import (
	"maps"
	"time"

	"github.com/berylledge/berylledge/pkg/upapi"
)

// Hold takes an upstream out of service by operator request, or reverses that if Released is set. Holds are stored
// separately from announcements, because an upstream announces itself again whenever it switches to another entry node.
// Nodes exchange their holds; for each upstream the hold with the highest version wins on every node.
type Hold struct {
	Version int64 `cbor:"1,keyasint"` // Unix time of the operator request, in nanoseconds
	// Incarnation limits the hold to one incarnation of the upstream; 0 applies to later incarnations too.
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Released    bool   `cbor:"3,keyasint,omitempty"`
}

// newer reports whether h replaces o.
func (h Hold) newer(o Hold) bool {
	if h.Version != o.Version {
		return h.Version > o.Version
	}
	return o.Released && !h.Released // for equal versions from two nodes, an active hold wins as the safer choice
}

// appliesTo reports whether the hold keeps the announced incarnation out of service.
func (h Hold) appliesTo(a upapi.Announce) bool {
	return !h.Released && (h.Incarnation == 0 || h.Incarnation >= a.Incarnation)
}

// maxHolds limits the number of stored holds, which operators create manually.
const maxHolds = 10_000

// SetHold stores a hold unless a newer one is known. A held upstream gets no new work; work in flight continues. SetHold
// reports whether the upstream is known and whether it was held before. A hold for an unknown upstream takes effect when the
// upstream announces itself.
func (t *Table) SetHold(id string, h Hold) (known, wasHeld bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, has := t.holds[id]
	u := t.byID[id]
	if u != nil {
		known, wasHeld = true, u.Held
	} else {
		wasHeld = has && !before.Released
	}
	if has && !h.newer(before) || !has && len(t.holds) >= maxHolds {
		return known, wasHeld
	}
	t.holds[id] = h
	if u != nil {
		c := *u
		c.Held = h.appliesTo(u.Announce)
		t.storeUpdated(&c)
	}
	return known, wasHeld
}

// Holds returns all holds by upstream id, including released ones.
func (t *Table) Holds() map[string]Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.holds)
}

// holdRetention is how long a hold without effect is kept, so that a node that was disconnected does not reintroduce an
// older hold.
const holdRetention = 24 * time.Hour

// removeObsoleteHolds removes holds that have been without effect for longer than holdRetention. The caller holds t.mu.
func (t *Table) removeObsoleteHolds(now time.Time) {
	for id, h := range t.holds {
		u := t.byID[id]
		obsolete := h.Released || u != nil && !h.appliesTo(u.Announce)
		if obsolete && now.Sub(time.Unix(0, h.Version)) > holdRetention {
			delete(t.holds, id)
		}
	}
}
