package roster

import (
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// SyncMessage carries changes of the records that one control node owns to the others.
type SyncMessage struct {
	From      string     `cbor:"1,keyasint"`           // peer address of the sender
	Epoch     uint64     `cbor:"2,keyasint"`           // identifies the run of the sender
	Since     uint64     `cbor:"3,keyasint"`           // changes after this sender version; 0: all owned records
	Version   uint64     `cbor:"4,keyasint"`           // sender's current version
	Upstreams []Upstream `cbor:"5,keyasint,omitempty"` // Silent: the sender no longer hears the upstream
	Entries   []Entry    `cbor:"6,keyasint,omitempty"`
	Late      []string   `cbor:"7,keyasint,omitempty"` // ids of owned upstreams whose heartbeat is late
}

// peerState tracks the sync messages of another control node.
type peerState struct {
	epoch      uint64
	version    uint64          // up to which its changes have been received
	lastSync   time.Time       // time of its last sync message
	incomplete bool            // a sync message was lost; further ones renew nothing until a full sync
	late       map[string]bool // ids of its upstreams whose heartbeat is late, by its last sync message
}

// SyncSince returns the changes after a version of the records that this node owns.
func (reg *Registry) SyncSince(now time.Time, since uint64) SyncMessage {
	s := SyncMessage{From: reg.cfg.Self, Epoch: reg.cfg.Epoch, Since: since, Version: reg.version, Late: reg.lateIDs(now)}
	included := func(o *recordMeta) bool { return o.owner == reg.cfg.Self && o.syncVersion > since }
	for _, r := range reg.upstreams {
		if included(&r.recordMeta) {
			s.Upstreams = append(s.Upstreams, r.withAge(now, r.lastHeard))
		}
	}
	for _, r := range reg.entries {
		if included(&r.recordMeta) {
			s.Entries = append(s.Entries, r.withAge(now, r.lastHeard))
		}
	}
	sortRecords(s.Upstreams, s.Entries)
	return s
}

// ApplySync merges a sync message. It reports whether a full sync must be requested from the sender, because an earlier message
// was lost.
func (reg *Registry) ApplySync(now time.Time, s SyncMessage) bool {
	if s.From == "" || s.From == reg.cfg.Self {
		return false
	}
	p := reg.peers[s.From]
	if p == nil || p.epoch < s.Epoch {
		reg.releaseRecords(s.From)
		p = &peerState{epoch: s.Epoch, incomplete: true}
		reg.peers[s.From] = p
	}
	if s.Epoch < p.epoch {
		return false // sent before the sender restarted
	}
	if s.Since == 0 {
		reg.releaseRecords(s.From)
		p.incomplete = false
	} else if s.Since > p.version {
		p.incomplete = true
	}
	reg.Merge(now, s.From, Batch{s.Upstreams, s.Entries})
	if !p.incomplete {
		p.version, p.lastSync, p.late = max(p.version, s.Version), now, idSet(s.Late)
	}
	return p.incomplete
}

func idSet(ids []string) map[string]bool {
	out := make(map[string]bool, len(ids))
	for _, id := range ids {
		out[id] = true
	}
	return out
}

// releaseRecords clears the owner of all records of a node that restarted or sends a full sync. They age until they are heard
// again.
func (reg *Registry) releaseRecords(from string) {
	for o := range reg.eachMeta {
		if o.owner == from {
			o.lastHeard, o.owner = reg.lastHeardAt(o), ""
		}
	}
}

// lastHeardAt returns when the process of a record was last heard by this node or by the owner.
func (reg *Registry) lastHeardAt(o *recordMeta) time.Time {
	if p := reg.peers[o.owner]; p != nil {
		return clock.Later(o.lastHeard, p.lastSync)
	}
	return o.lastHeard
}

// removeStalePeers removes the control nodes that were not heard for ForgetAfter, and their ownership of records.
func (reg *Registry) removeStalePeers(now time.Time) {
	for from, p := range reg.peers {
		if !p.lastSync.IsZero() && now.Sub(p.lastSync) > reg.cfg.ForgetAfter {
			reg.releaseRecords(from)
			delete(reg.peers, from)
		}
	}
}

// SyncPosition is the version up to which the records of another control node have been received.
type SyncPosition struct {
	Address string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint,omitempty"`
}

// UnreachablePeers returns those of the given control nodes that were not heard for a time, with their sync positions.
func (reg *Registry) UnreachablePeers(now time.Time, addresses []string, after time.Duration) []SyncPosition {
	var out []SyncPosition
	for _, a := range addresses {
		k := SyncPosition{Address: a}
		if p := reg.peers[a]; p != nil {
			if now.Sub(p.lastSync) <= after {
				continue
			}
			k.Epoch, k.Version = p.epoch, p.version
		}
		out = append(out, k)
	}
	return out
}
