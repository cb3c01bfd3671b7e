package poller

import (
	"slices"
	"strings"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// takeDelta takes the records of an answer and reports whether the view changes. A control node that is not sure does not say that
// an entry node is gone.
func (p *Poller) takeDelta(now time.Time, d roster.Delta, from speaker, sure bool) bool {
	changed := false
	for _, u := range d.Upstreams {
		u = u.Received(now)
		have := p.upstreams[u.ID]
		if have != nil && !replaces(u, have.Upstream) {
			changed = have.note(now, u, from) || changed
			continue
		}
		next := &known{Upstream: u, told: now, heard: map[speaker]bool{}}
		if have != nil {
			next.logged = have.logged
			if have.StartedMs == u.StartedMs {
				next.heard = have.heard
				if !roster.ColdChanged(now, have.Upstream, u) {
					next.ColdUntil = have.ColdUntil // the delay of the message differs
				}
			}
		}
		next.AgeMs, next.Silent = 0, false
		if have == nil && next.State == roster.Gone {
			next.logged = seenAs(next.Upstream) // never used here, so its departure is no news
		}
		changed = next.hear(from, !u.Silent) || changed || have == nil || have.Upstream != next.Upstream
		p.upstreams[u.ID] = next
	}
	for _, e := range d.Entries {
		if !sure && !e.Ready {
			continue // a control node that is cut off takes the others for gone
		}
		e.AgeMs = 0
		have := p.entries[e.Node]
		if have != nil && (e.Started < have.Started || e.Started == have.Started && e.ReportSequence < have.ReportSequence) {
			have.told, have.untold = now, time.Time{}
			continue
		}
		quiet := e
		if have != nil {
			quiet.ReportSequence = have.ReportSequence
		}
		changed = changed || have == nil || quiet != have.Entry
		p.entries[e.Node] = &knownEntry{Entry: e, told: now}
	}
	return p.forget(now) || changed
}

// note takes a record that is older than the one held. Renewals are not passed on, so that its heartbeat may be older than one
// that another control node told, and its word on whether the upstream is heard still counts.
func (u *known) note(now time.Time, word roster.Upstream, from speaker) bool {
	if word.StartedMs != u.StartedMs {
		delete(u.heard, from)
		return false
	}
	u.told, u.untold = now, time.Time{}
	return u.hear(from, !word.Silent)
}

// hear notes whether a control node hears the upstream, and reports whether it said something else before.
func (u *known) hear(from speaker, heard bool) bool {
	before, said := u.heard[from]
	u.heard[from] = heard
	return !said || before != heard
}

// missed reports whether some control node does not hear the upstream.
func (u *known) missed() bool {
	for _, heard := range u.heard {
		if !heard {
			return true
		}
	}
	return false
}

// noteUntold marks the records that a transfer of all records, which began at a time, did not contain. They are dropped after
// forgetAfter: a control node that has just started has not heard all upstreams yet.
func (p *Poller) noteUntold(now, began time.Time) {
	for _, u := range p.upstreams {
		if u.told.Before(began) && u.untold.IsZero() {
			u.untold = now
		}
	}
	for _, e := range p.entries {
		if e.told.Before(began) && e.untold.IsZero() {
			e.untold = now
		}
	}
}

// forget removes the records that have been silent, gone or untold for long, and reports whether there were any.
func (p *Poller) forget(now time.Time) bool {
	old := func(since time.Time) bool { return !since.IsZero() && now.Sub(since) > forgetAfter }
	before := len(p.upstreams) + len(p.entries)
	for id, u := range p.upstreams {
		if old(u.untold) || (u.missed() || u.State == roster.Gone) && old(u.told) {
			delete(p.upstreams, id)
		}
	}
	for node, e := range p.entries {
		if old(e.untold) || !e.Ready && old(e.told) {
			delete(p.entries, node)
		}
	}
	return len(p.upstreams)+len(p.entries) != before
}

// replaces reports whether a control node's record is at least as new as the one held.
func replaces(u, have roster.Upstream) bool {
	if u.StartedMs != have.StartedMs {
		return u.StartedMs > have.StartedMs
	}
	if have.State == roster.Gone {
		return false
	}
	return u.State == roster.Gone || u.Sequence >= have.Sequence
}

// speaks returns a control node as it speaks in its last answer.
func (s *source) speaks() speaker { return speaker{s.address, s.told == followHeld} }

// silent reports whether no control node that this node follows hears an upstream. While control nodes are cut off from each
// other, each upstream reports to one side only. The primary hears, or knows who hears, what it has said nothing else of; of the
// others that counts only for the upstreams that they named.
func (p *Poller) silent(now time.Time, u *known) bool {
	if !u.missed() {
		return false
	}
	for _, s := range p.sources {
		if s.told == lookIn || now.Sub(s.heard) >= lostAfter {
			continue
		}
		if heard, said := u.heard[s.speaks()]; heard || !said && s.told == followAll {
			return false
		}
	}
	return true
}

// standing is what matters to a request of an upstream's record.
type standing struct {
	born   int64
	state  roster.State
	silent bool
}

func seenAs(u roster.Upstream) standing { return standing{u.StartedMs, u.State, u.Silent} }

// LogUpstream writes a line when a node begins to see an upstream in another way.
func LogUpstream(log *event.Log, u roster.Upstream) {
	switch {
	case u.State != roster.Ready:
		log.Emit(event.UpstreamLeaving, event.F("upstream", u.ID))
	case u.Silent:
		log.Emit(event.UpstreamExpired, event.F("upstream", u.ID))
	default:
		log.Emit(event.UpstreamAnnounced, event.F("upstream", u.ID), event.F("kind", u.Service), event.F("address", u.Address))
	}
}

// noteContact notes an answer to a question that was asked at a time.
func (p *Poller) noteContact(asked time.Time, as duty, reply Reply) {
	if reply.Sure && !reply.CutOff && as == followAll {
		p.sureAt = clock.Later(p.sureAt, asked)
	}
}

// isolated reports whether other entry nodes may take this one for gone: it follows a control node that is cut off, or none that is
// sure has answered lately.
func (p *Poller) isolated(now time.Time) bool {
	s := p.primary()
	return s == nil || s.cutOff || now.Sub(p.sureAt) > isolatedAfter
}

// isUninformed reports whether no control node has answered lately.
func (p *Poller) isUninformed(now time.Time) bool { return now.Sub(p.answered) > uninformedAfter }

func (p *Poller) publish(now time.Time) {
	v := &View{
		Table: p.table, Services: map[string][]roster.Upstream{}, Evacuations: p.evacuations,
		Isolated: p.isolated(now), Uninformed: p.isUninformed(now),
	}
	for _, u := range p.upstreams {
		out := u.Upstream
		out.Silent = p.silent(now, u)
		out.Stale = v.Uninformed || p.stale.Contains(u.ID)
		if now := seenAs(out); now != u.logged {
			u.logged = now
			LogUpstream(p.o.Events, out)
		}
		if out.State == roster.Ready && p.evacuations.Contains(out.DataCentre) {
			out.State = roster.Draining // not logged for each upstream, since a data centre may have a thousand
		}
		if u.State != roster.Gone {
			v.Services[u.Service] = append(v.Services[u.Service], out)
		}
	}
	for _, list := range v.Services {
		slices.SortFunc(list, func(a, b roster.Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	for _, e := range p.entries {
		v.Entries = append(v.Entries, e.Entry)
	}
	slices.SortFunc(v.Entries, func(a, b roster.Entry) int { return strings.Compare(a.Node, b.Node) })
	p.view.Store(v)
	if p.o.Changed != nil {
		p.o.Changed(v)
	}
}
