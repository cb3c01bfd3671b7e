package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// Bounds of an announcement.
const (
	minLeaseMS = 500
	maxLeaseMS = 60_000
	maxNames   = 256
)

func upstreamError(w http.ResponseWriter, message string) {
	httpd.WriteJSON(w, http.StatusBadRequest, upapi.Error{Code: upapi.CodeBadRequest, Message: message})
}

// read decodes a message of an upstream and answers with an error if it cannot.
func read[T any](w http.ResponseWriter, r *http.Request) (v T, ok bool) {
	if err := httpd.ReadJSON(r, &v); err != nil {
		upstreamError(w, err.Error())
		return v, false
	}
	return v, true
}

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	a, ok := read[upapi.Announce](w, r)
	if !ok {
		return
	}
	if problem := checkAnnounce(a); problem != "" {
		upstreamError(w, problem)
		return
	}
	n.takeAnnounce(n.o.Clock.Now(), a)
	if n.o.Tell.Announce != nil {
		n.o.Tell.Announce(a)
	}
	httpd.WriteJSON(w, http.StatusOK, upapi.AnnounceReply{Entries: n.contacts()})
}

// maxContacts bounds the entry nodes that an upstream is told.
const maxContacts = 4

// contacts returns this node and others that an upstream can turn to, of the own data centre first.
func (n *Node) contacts() []string {
	out := []string{n.self.Address}
	if n.draining.Load() {
		out = nil
	}
	if n.o.Members == nil {
		return out
	}
	members := n.o.Members()
	for _, near := range []bool{true, false} {
		for _, m := range members {
			if len(out) < maxContacts && !m.Draining && m.ID != n.self.ID && (m.DataCentre == n.self.DataCentre) == near {
				out = append(out, m.Address)
			}
		}
	}
	return out
}

// RelayedAnnounce takes an announcement that another node received at the given time. It is checked again, since the
// other node may run another version.
func (n *Node) RelayedAnnounce(at time.Time, a upapi.Announce) {
	if checkAnnounce(a) == "" {
		n.takeAnnounce(at, a)
	}
}

func (n *Node) takeAnnounce(at time.Time, a upapi.Announce) {
	old := n.ups.View().Get(a.ID)
	if n.ups.Announce(at, a) {
		if old != nil && old.Incarnation < a.Incarnation && !old.Leaving {
			n.diedUpstream(old)
		}
		n.o.Events.Emit(event.UpstreamAnnounced, event.F("upstream", a.ID), event.F("kind", a.Kind), event.F("address", a.Address))
	}
}

func checkAnnounce(a upapi.Announce) string {
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 {
		return "address: not an IP number with a port: " + a.Address
	}
	switch a.Kind {
	case upapi.KindEncoder, upapi.KindRetriever, upapi.KindReranker, upapi.KindEngine, upapi.KindService:
	default:
		return "kind: unknown: " + string(a.Kind)
	}
	switch {
	case a.ID == "" || len(a.ID) > maxID:
		return "id: 1 to 128 bytes are allowed"
	case a.Slots < 1:
		return "slots: at least 1"
	case a.LeaseMS < minLeaseMS || a.LeaseMS > maxLeaseMS:
		return "lease_ms: 500 to 60000 are allowed"
	case len(a.Services)+len(a.Models) > maxNames:
		return "services and models: at most 256 together"
	default:
		return ""
	}
}

func (n *Node) serveRenew(w http.ResponseWriter, r *http.Request) {
	m, ok := read[upapi.Renew](w, r)
	if !ok {
		return
	}
	known := n.RelayedRenew(n.o.Clock.Now(), m)
	if known && n.o.Tell.Renew != nil {
		n.o.Tell.Renew(m)
	}
	httpd.WriteJSON(w, http.StatusOK, upapi.RenewReply{Known: known, Entries: n.contacts()})
}

func (n *Node) serveLeave(w http.ResponseWriter, r *http.Request) {
	m, ok := read[upapi.Renew](w, r)
	if !ok {
		return
	}
	n.TakeLeave(m)
	if n.o.Tell.Leave != nil {
		ctx, cancel := context.WithTimeout(r.Context(), leaveTimeout)
		defer cancel()
		if err := n.o.Tell.Leave(ctx, m); err != nil {
			httpd.WriteJSON(w, http.StatusServiceUnavailable, upapi.Error{Code: upapi.CodeBusy, Message: err.Error() + "; send it again"})
			return
		}
	}
	httpd.WriteJSON(w, http.StatusOK, struct{}{})
}

// leaveTimeout bounds the wait for the other nodes, so that the upstream can turn to another one soon.
const leaveTimeout = 800 * time.Millisecond

// renewTransit bounds how long a renewal is on its way: an upstream that it speaks of may have died meanwhile.
const renewTransit = time.Second

// RelayedRenew takes a renewal that this or another node received at the given time and reports whether the incarnation is
// known.
func (n *Node) RelayedRenew(at time.Time, m upapi.Renew) bool {
	known := n.ups.Renew(at, m)
	if known && n.o.Guard != nil {
		n.o.Guard.UpstreamAlive(m.ID, m.Incarnation, at.Add(-renewTransit))
	}
	return known
}

// diedUpstream brings the evidence that an incarnation is gone to the crash defence.
func (n *Node) diedUpstream(u *upview.Upstream) {
	if n.o.Guard != nil {
		n.o.Guard.UpstreamDied(u.ID, u.Incarnation)
	}
}

// TakeLeave takes the word of an upstream that it leaves.
func (n *Node) TakeLeave(m upapi.Renew) {
	if n.ups.Leave(m) {
		n.o.Events.Emit(event.UpstreamLeaving, event.F("upstream", m.ID))
	}
}

func (n *Node) serveLoad(w http.ResponseWriter, r *http.Request) {
	l, ok := read[upapi.Load](w, r)
	if !ok {
		return
	}
	if n.ups.Report(n.o.Clock.Now(), l) && n.o.Tell.Load != nil {
		n.o.Tell.Load(l)
	}
	httpd.WriteJSON(w, http.StatusOK, struct{}{})
}

func (n *Node) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	e, ok := read[upapi.CacheEvents](w, r)
	if !ok {
		return
	}
	n.ups.CacheEvents(e)
	httpd.WriteJSON(w, http.StatusOK, struct{}{})
}
