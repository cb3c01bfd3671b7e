package roster

import (
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// SyncMessage is what one control node tells the others about the records that it holds.
type SyncMessage struct {
	From      string     `cbor:"1,keyasint"`           // peer address of the sender
	Epoch     uint64     `cbor:"2,keyasint"`           // of its start
	Since     uint64     `cbor:"3,keyasint"`           // the sender's version after which changes are told; 0: all records that it holds
	Version   uint64     `cbor:"4,keyasint"`           // the sender's version now
	Upstreams []Upstream `cbor:"5,keyasint,omitempty"` // Silent: the sender does not hear it any more
	Entries   []Entry    `cbor:"6,keyasint,omitempty"`
}

// peerState is what is known of another control node that holds records.
type peerState struct {
	epoch   uint64
	version uint64    // up to which its changes have arrived here
	at      time.Time // of its last Share
	missed  bool      // a Share is missing, so that the next ones renew nothing
}

// SyncSince returns the changes after a version of the records that this node holds.
func (b *Registry) SyncSince(now time.Time, since uint64) SyncMessage {
	s := SyncMessage{From: b.cfg.Self, Epoch: b.cfg.Epoch, Since: since, Version: b.version}
	in := func(o *origin) bool { return o.holder == b.cfg.Self && o.shared > since }
	for _, r := range b.upstreams {
		if in(&r.origin) {
			s.Upstreams = append(s.Upstreams, r.aged(now, r.heard))
		}
	}
	for _, r := range b.entries {
		if in(&r.origin) {
			s.Entries = append(s.Entries, r.aged(now, r.heard))
		}
	}
	sortRecords(s.Upstreams, s.Entries)
	return s
}

// ApplySync merges a Share. It reports whether the sender must be asked for all that it holds, because an earlier Share did not
// arrive.
func (b *Registry) ApplySync(now time.Time, s SyncMessage) bool {
	if s.From == "" || s.From == b.cfg.Self {
		return false
	}
	p := b.peers[s.From]
	if p == nil || p.epoch < s.Epoch {
		b.release(s.From)
		p = &peerState{epoch: s.Epoch, missed: true}
		b.peers[s.From] = p
	}
	if s.Epoch < p.epoch {
		return false // sent before the node restarted
	}
	if s.Since == 0 {
		b.release(s.From)
		p.missed = false
	} else if s.Since > p.version {
		p.missed = true
	}
	b.Merge(now, s.From, Batch{s.Upstreams, s.Entries})
	if !p.missed {
		p.version, p.at = max(p.version, s.Version), now
	}
	return p.missed
}

// release lets the records age that a node held: it restarted, or is about to tell which ones it holds.
func (b *Registry) release(from string) {
	for o := range b.origins {
		if o.holder == from {
			o.heard, o.holder = b.heardAt(o), ""
		}
	}
}

// heardAt returns when a record's process was last heard, by this node or by the one that holds it.
func (b *Registry) heardAt(o *origin) time.Time {
	if p := b.peers[o.holder]; p != nil {
		return clock.Later(o.heard, p.at)
	}
	return o.heard
}

// forgetPeers removes the nodes that were not heard for long, together with their hold on records.
func (b *Registry) forgetPeers(now time.Time) {
	for from, p := range b.peers {
		if !p.at.IsZero() && now.Sub(p.at) > b.cfg.ForgetAfter {
			b.release(from)
			delete(b.peers, from)
		}
	}
}

// SyncPosition is how far this node knows the records of another control node.
type SyncPosition struct {
	Address string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint,omitempty"`
}

// UnreachablePeers returns those of the given control nodes that were not heard for a time.
func (b *Registry) UnreachablePeers(now time.Time, addresses []string, after time.Duration) []SyncPosition {
	var out []SyncPosition
	for _, a := range addresses {
		k := SyncPosition{Address: a}
		if p := b.peers[a]; p != nil {
			if now.Sub(p.at) <= after {
				continue
			}
			k.Epoch, k.Version = p.epoch, p.version
		}
		out = append(out, k)
	}
	return out
}
