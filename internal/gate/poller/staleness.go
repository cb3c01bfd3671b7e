package poller

import (
	"time"

	"github.com/berylledge/berylledge/internal/base/event"
)

// lateAfter is how long a newer configuration may be known without being in force here before a line says so.
const lateAfter = time.Second

// newest is the newest configuration that a control node said it has.
type newest struct {
	version uint64
	peer    string    // the control node that said so first
	since   time.Time // when it did
	logged  bool
}

// note takes the version of a control node's answer.
func (n *newest) note(now time.Time, version uint64, peer string) {
	if version > n.version {
		*n = newest{version: version, peer: peer, since: now}
	}
}

// watch logs which control node is followed when that changes, and a configuration that is late here.
func (p *Poller) watch(now time.Time, primary *source) {
	if primary != nil && primary.address != p.followed {
		p.followed = primary.address
		p.o.Events.Emit(event.ControlFollowed, event.F("control", primary.address), event.F("sure", primary.sure),
			event.F("data_centre", primary.place.DataCentre), event.F("revision", primary.version))
	}
	n := &p.newest
	if n.logged || n.version <= p.version || now.Sub(n.since) < lateAfter {
		return
	}
	n.logged = true
	has, sure := uint64(0), false
	if primary != nil {
		has, sure = primary.version, primary.sure
	}
	p.o.Events.Emit(event.ConfigLate, event.F("revision", n.version), event.F("in_force", p.version), event.F("age_ms", now.Sub(n.since).Milliseconds()),
		event.F("peer", n.peer), event.F("control", p.followed), event.F("control_revision", has), event.F("sure", sure),
		event.F("arrived", len(p.text.body)))
}

// Behind returns for how long a newer configuration than the one in force has been known here; 0 if none is.
func (p *Poller) Behind() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newest.version <= p.version {
		return 0
	}
	return p.o.Clock.Now().Sub(p.newest.since)
}
