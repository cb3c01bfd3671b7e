package capac

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/fleet/member"
	"github.com/berylledge/berylledge/internal/fleet/relay"
	"github.com/berylledge/berylledge/internal/fleet/spread"
	"github.com/berylledge/berylledge/pkg/upapi"
)

func (h *Host) traffic(proto string) *Traffic {
	t := h.ByProto[proto]
	if t == nil {
		t = &Traffic{}
		h.ByProto[proto] = t
	}
	return t
}

// transmit carries encoded bytes to another node.
func (h *Host) transmit(proto string, to *Host, b []byte, err error, deliver func(*Host, []byte)) {
	if err != nil {
		panic(err) // a message that cannot be encoded is a fault of the code under test
	}
	t := h.traffic(proto)
	t.MessagesOut++
	t.BytesOut += int64(len(b))
	n := h.net
	if to == nil || n.Blocked != nil && n.Blocked(h, to) || n.rng.Float64() < n.opt.Loss {
		return
	}
	delay := otherside
	switch {
	case h.DataCentre == to.DataCentre:
		delay = sameDC
	case h.Region == to.Region:
		delay = sameRegion
	}
	delay += time.Duration(n.rng.ExpFloat64() * float64(delay) / 4)
	if h.Region != to.Region {
		delay += n.cross(regions{h.Region, to.Region}, len(b))
	}
	arrive := func() {
		if !to.Up {
			return
		}
		t := to.traffic(proto)
		t.MessagesIn++
		t.BytesIn += int64(len(b))
		deliver(to, b)
	}
	n.after(delay+to.Slow, arrive)
	if n.Duplicate > 0 && n.rng.Float64() < n.Duplicate {
		n.after(delay+time.Duration(n.rng.Int64N(int64(2*time.Second))), arrive)
	}
}

// cross sends bytes over the link between two regions and returns how long they wait for it and need.
func (n *Net) cross(link regions, bytes int) time.Duration {
	n.Crossed += int64(bytes)
	if n.opt.LinkRate == 0 {
		return 0
	}
	free := n.links[link]
	if free.Before(n.Now) {
		free = n.Now
	}
	free = free.Add(time.Duration(int64(bytes) * int64(time.Second) / n.opt.LinkRate))
	n.links[link] = free
	return free.Sub(n.Now)
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (h *Host) stepMember(ev member.Event) {
	changed := false
	for _, a := range h.Member.Step(h.net.Now, ev) {
		switch a := a.(type) {
		case member.Send:
			b, err := member.Encode(a.Message)
			to := h.net.byAddr[a.Address]
			if a.Address == "" {
				to = h.net.byID[a.ID]
			}
			h.transmit("member", to, b, err, func(to *Host, b []byte) {
				to.stepMember(member.Received{Message: must(member.Decode(b))})
			})
		case member.Changed:
			changed = true
			switch a.Node.State {
			case member.Failed:
				h.Failures[a.Node.ID] = h.net.Now
			case member.Suspect:
				h.Suspicions++
			case member.Alive, member.Draining, member.Left:
			}
		case member.Forgotten:
			changed = true
		case member.HintChanged:
			h.stepSpread(spread.Hint{
				Stamp: a.Hint.Stamp, Revision: a.Hint.Revision, Digest: a.Hint.Digest, From: a.From,
			})
		case member.PeerRevision:
			h.stepSpread(spread.PeerHas{ID: a.ID, Revision: a.Revision})
		case member.Reach:
			h.OutOfReach[a.DataCentre] = !a.OK
		case member.DrainDone:
			h.Drained = &a
		}
	}
	if changed {
		p := h.peers()
		h.stepSpread(p)
		h.stepRelay(h.relayPeers(p))
	}
}

// peers derives what the other machines need to know of the membership.
func (h *Host) peers() spread.SetPeers {
	p := spread.SetPeers{}
	var near, far []string
	for _, o := range h.Member.Nodes() {
		if o.ID == h.ID || !o.State.Present() {
			continue
		}
		if o.DataCentre == h.DataCentre {
			p.Local = append(p.Local, o.ID)
		}
		if o.Roles&member.RoleControl != 0 {
			switch {
			case o.DataCentre == h.DataCentre:
				p.Control = append(p.Control, o.ID)
			case o.Region == h.Region:
				near = append(near, o.ID)
			default:
				far = append(far, o.ID)
			}
		}
	}
	p.Control = append(append(p.Control, near...), far...)
	for _, id := range h.Member.Representatives(h.DataCentre) {
		if id == h.ID {
			p.Lead = true
		} else {
			p.Leads = append(p.Leads, id)
		}
	}
	return p
}

func (h *Host) stepSpread(ev spread.Event) {
	for _, a := range h.Spread.Step(h.net.Now, ev) {
		switch a := a.(type) {
		case spread.Send:
			b, err := spread.Encode(a.Message)
			h.transmit("spread", h.net.byID[a.To], b, err, func(to *Host, b []byte) {
				to.stepSpread(spread.Received{Message: must(spread.Decode(b))})
			})
		case spread.Persist:
			epoch := h.epoch
			h.net.after(diskSync, func() {
				if h.Up && h.epoch == epoch {
					h.disk = spread.Restored{Revision: a.Revision, Body: a.Body, Digest: a.Digest, HeardAt: a.HeardAt}
					h.stepSpread(spread.Persisted{Revision: a.Revision})
				}
			})
		case spread.PersistHeard:
			h.disk.HeardAt = a.At
		case spread.Activate:
			h.Active = append(h.Active, a.Revision)
			if h.Member != nil {
				h.stepMember(member.SetRevision{Revision: a.Revision})
			}
		case spread.Publish:
			if h.Member != nil {
				h.stepMember(member.SetHint{Hint: member.Hint{Stamp: a.Stamp, Revision: a.Revision, Digest: a.Digest}})
			}
		case spread.Conflict, spread.Rejected:
			h.Rejections = append(h.Rejections, a)
		}
	}
}

func (h *Host) relayPeers(p spread.SetPeers) relay.SetPeers {
	out := relay.SetPeers{Local: p.Local, Leads: p.Leads}
	if p.Lead {
		out.Leads = append(slices.Clone(p.Leads), h.ID)
	}
	dcs := map[string]bool{}
	for _, o := range h.Member.Nodes() {
		if o.DataCentre != h.DataCentre && o.State.Present() {
			dcs[o.DataCentre] = true
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(dcs)) {
		out.Far = append(out.Far, relay.Far{DataCentre: dc, Contacts: h.Member.Representatives(dc)})
	}
	return out
}

func (h *Host) stepRelay(ev relay.Event) {
	for _, a := range h.Relay.Step(h.net.Now, ev) {
		switch a := a.(type) {
		case relay.Send:
			b, err := relay.Encode(a.Message)
			h.transmit("relay", h.net.byID[a.To], b, err, func(to *Host, b []byte) {
				to.stepRelay(relay.Received{Message: must(relay.Decode(b))})
			})
		case relay.ApplyLeave:
			if _, ok := h.LeftAt[a.Renew.ID]; !ok {
				h.LeftAt[a.Renew.ID] = h.net.Now
			}
		case relay.Summary:
			h.Summaries[a.DataCentre] = a
		case relay.ApplyAnnounce, relay.ApplyRenew, relay.ApplyLoad:
		}
	}
}

// Runner is a simulated upstream. It announces itself, renews its lease every three seconds and reports a load that
// always differs from the last one.
type Runner struct {
	ID, DataCentre string
	Host           *Host // entry node that it talks to
	gone           bool
	count          int
}

const (
	runnerLease = 10 * time.Second
	runnerSlots = 16
)

func (n *Net) addRunner(h *Host, i int) {
	r := &Runner{ID: fmt.Sprintf("%s-up%d", h.ID, i), DataCentre: h.DataCentre, Host: h}
	n.Runners = append(n.Runners, r)
	n.after(2*time.Second+time.Duration(n.rng.Int64N(int64(time.Second))), func() { n.runner(r) })
}

func (n *Net) runner(r *Runner) {
	if r.gone {
		return
	}
	for i := 0; !r.Host.Up && i < len(n.Hosts); i++ {
		if h := n.Hosts[n.rng.IntN(len(n.Hosts))]; h.DataCentre == r.DataCentre {
			r.Host = h
		}
	}
	if r.Host.Up {
		if !r.Host.Relay.Knows(n.Now, r.ID) {
			r.Host.stepRelay(relay.Announced{Announce: upapi.Announce{
				ID: r.ID, Incarnation: 1, Kind: upapi.KindEngine, Models: []string{"pond-7b", "caption-3b:tabs"},
				DataCentre: r.DataCentre, Region: r.Host.Region, Address: "10.30.40.50:8000", Slots: runnerSlots,
				LeaseMS: runnerLease.Milliseconds(),
			}})
		} else if r.count%3 == 0 {
			r.Host.stepRelay(relay.Renewed{Renew: upapi.Renew{ID: r.ID, Incarnation: 1}})
		}
		r.Host.stepRelay(relay.Loaded{Load: upapi.Load{
			ID: r.ID, Incarnation: 1, Running: 2 + r.count%2*6 + n.rng.IntN(4), Waiting: n.rng.IntN(3),
			QueueMS: n.rng.Int64N(400), KVUsedTokens: n.rng.Int64N(500_000), AgeMS: n.rng.Int64N(100),
		}})
	}
	r.count++
	n.after(time.Second, func() { n.runner(r) })
}

// Leave lets a runner say to its entry node that it is leaving.
func (n *Net) Leave(r *Runner) {
	r.gone = true
	r.Host.LeftAt[r.ID] = n.Now
	r.Host.stepRelay(relay.Left{Renew: upapi.Renew{ID: r.ID, Incarnation: 1}})
}
