package agent

import (
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/fleet/member"
	"github.com/berylledge/berylledge/internal/fleet/relay"
	"github.com/berylledge/berylledge/internal/fleet/spread"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

func (a *Agent) send(address string, kind peer.Kind, body []byte, err error) {
	if err != nil { // the messages hold only plain values, which can always be encoded
		panic(err)
	}
	a.hub.Send(address, kind, body)
}

func (a *Agent) stepMember(now time.Time, e member.Event) {
	changed := false
	for _, action := range slices.Clone(a.member.Step(now, e)) {
		switch x := action.(type) {
		case member.Send:
			body, err := member.Encode(x.Message)
			a.send(x.Address, peer.KindMember, body, err)
		case member.Changed:
			changed = true
			a.noteChange(x)
		case member.Forgotten:
			changed = true
		case member.HintChanged:
			a.stepSpread(now, spread.Hint{Stamp: x.Hint.Stamp, Revision: x.Hint.Revision, Digest: x.Hint.Digest, From: x.From})
		case member.PeerRevision:
			a.stepSpread(now, spread.PeerHas{ID: x.ID, Revision: x.Revision})
		case member.DrainDone:
			for _, c := range a.drained {
				c <- x.Missing // has room for the one answer
			}
			a.drained = nil
		}
	}
	if changed {
		a.setPeers(now)
	}
}

func (a *Agent) noteChange(c member.Changed) {
	if c.Node.ID == a.o.Self.ID || c.Node.State == c.Before {
		return
	}
	id := event.F("peer", c.Node.ID)
	switch c.Node.State {
	case member.Alive:
		a.o.Events.Emit(event.NodeJoined, id, event.F("address", c.Node.Address))
	case member.Draining, member.Left:
		a.o.Events.Emit(event.NodeLeaving, id)
	case member.Failed:
		a.o.Events.Emit(event.NodeFailed, id)
	case member.Suspect:
	}
}

// setPeers tells the other machines who there is, and publishes the membership.
func (a *Agent) setPeers(now time.Time) {
	nodes := a.member.Nodes()
	a.nodes.Store(&nodes)
	clear(a.address)
	p := peersOf(a.o.Self, nodes)
	for _, n := range nodes {
		a.address[n.ID] = n.Address
	}
	leads := a.member.Representatives(a.o.Self.DataCentre)
	a.stepSpread(now, spread.SetPeers{
		Local: p.local, Leads: without(leads, a.o.Self.ID), Lead: slices.Contains(leads, a.o.Self.ID), Control: p.control,
	})
	relayed := relay.SetPeers{Local: p.local, Leads: leads}
	if p.present <= wideRelay {
		relayed.Local, relayed.Leads = p.all, nil
	} else {
		for _, dc := range p.far {
			relayed.Far = append(relayed.Far, relay.Far{DataCentre: dc, Contacts: a.member.Representatives(dc)})
		}
	}
	a.stepRelay(now, relayed)
}

// peers sorts the present nodes other than the own one by what the machines need.
type peers struct {
	present int
	all     []string // entry nodes
	local   []string // of the own data centre
	control []string // nearest first
	far     []string // other data centres
}

func peersOf(self member.Node, nodes []member.Node) peers {
	var p peers
	var near, region, rest []string
	for _, n := range nodes {
		if !n.State.Present() || n.ID == self.ID {
			continue
		}
		p.present++
		if n.Roles&member.RoleEntry != 0 {
			p.all = append(p.all, n.ID)
		}
		if n.DataCentre == self.DataCentre {
			p.local = append(p.local, n.ID)
		} else if !slices.Contains(p.far, n.DataCentre) {
			p.far = append(p.far, n.DataCentre)
		}
		if n.Roles&member.RoleControl == 0 {
			continue
		}
		switch {
		case n.DataCentre == self.DataCentre:
			near = append(near, n.ID)
		case n.Region == self.Region:
			region = append(region, n.ID)
		default:
			rest = append(rest, n.ID)
		}
	}
	p.control = slices.Concat(near, region, rest)
	return p
}

func without(ids []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(x string) bool { return x == id })
}

func (a *Agent) stepSpread(now time.Time, e spread.Event) {
	for _, action := range slices.Clone(a.spread.Step(now, e)) {
		switch x := action.(type) {
		case spread.Send:
			if address := a.address[x.To]; address != "" {
				body, err := spread.Encode(x.Message)
				a.send(address, peer.KindSpread, body, err)
			}
		case spread.Activate:
			a.o.Events.Emit(event.ConfigInForce, event.F("revision", x.Revision))
			a.o.Activate(x.Revision, x.Body)
			a.stepMember(now, member.SetRevision{Revision: x.Revision})
		case spread.Publish:
			a.stepMember(now, member.SetHint{Hint: member.Hint{Stamp: x.Stamp, Revision: x.Revision, Digest: x.Digest}})
		case spread.Conflict:
			a.o.Events.Emit(event.ConfigRejected, event.F("revision", x.Revision), event.F("peer", x.With), event.F("reason", "another body under the same revision"))
		case spread.Rejected:
			a.o.Events.Emit(event.ConfigRejected, event.F("revision", x.Revision), event.F("peer", x.From), event.F("reason", x.Err))
		case spread.Persist, spread.PersistHeard:
			// Config.Disk is false: the group keeps revisions, and a restarted node takes no work before it knows the newest.
		}
	}
}

func (a *Agent) stepRelay(now time.Time, e relay.Event) {
	for _, action := range slices.Clone(a.relay.Step(now, e)) {
		switch x := action.(type) {
		case relay.Send:
			if address := a.address[x.To]; address != "" {
				body, err := relay.Encode(x.Message)
				a.send(address, peer.KindRelay, body, err)
			}
		case relay.ApplyAnnounce:
			if a.o.Apply.Announce != nil {
				a.o.Apply.Announce(x.At, x.Announce)
			}
		case relay.ApplyRenew:
			if a.o.Apply.Renew != nil {
				a.o.Apply.Renew(x.At, x.Renew)
			}
		case relay.ApplyLeave:
			if a.o.Apply.Leave != nil {
				a.o.Apply.Leave(x.Renew)
			}
		case relay.LeaveKnown:
			a.leaveKnown(x.Renew)
		case relay.ApplyLoad:
			if a.o.Apply.Load != nil {
				a.o.Apply.Load(x.Load)
			}
		case relay.Summary:
			// Used above wideRelay nodes, where work for another data centre is forwarded to an entry node there.
		}
	}
}
