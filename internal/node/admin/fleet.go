package admin

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/berylledge/berylledge/internal/fleet/member"
	"github.com/berylledge/berylledge/internal/node/entry"
	"github.com/berylledge/berylledge/pkg/fleet"
)

// NodeInfo is one process as the asked process knows it.
type NodeInfo struct {
	Node        string   `json:"node"`
	Roles       []string `json:"roles"`
	DataCentre  string   `json:"data_centre"`
	Region      string   `json:"region"`
	State       string   `json:"state"`
	Address     string   `json:"address"` // for callers and operators; empty if it does not listen
	PeerAddress string   `json:"peer_address"`
	Revision    uint64   `json:"revision"`
}

func rolesOf(r member.Roles) []string {
	out := []string{}
	if r&member.RoleEntry != 0 {
		out = append(out, "entry")
	}
	if r&member.RoleControl != 0 {
		out = append(out, "control")
	}
	return out
}

func (a *API) getNodes(r *http.Request) (any, *Error) {
	nodes, e := a.reported(r.Context())
	if e != nil {
		return nil, e
	}
	out := []NodeInfo{}
	for _, n := range nodes {
		out = append(out, NodeInfo{
			Node: n.ID, Roles: rolesOf(n.Roles), DataCentre: n.DataCentre, Region: n.Region, State: n.State.String(),
			Address: n.Service, PeerAddress: n.Address, Revision: n.Revision,
		})
	}
	return out, nil
}

// NodeStatus is the state of the asked process.
type NodeStatus struct {
	Node     string `json:"node"`
	Entry    bool   `json:"entry"` // the fields below are those of the entry role
	Draining bool   `json:"draining"`
	Revision uint64 `json:"revision"`
	Limit    int    `json:"limit"` // requests that may run at the same time
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	Patient  int    `json:"patient"` // of those in flight, long work
}

func (a *API) getNode(*http.Request) (any, *Error) {
	out := NodeStatus{Node: a.o.Node}
	if n := a.o.Entry(); n != nil {
		s := n.Load()
		out.Entry, out.Draining, out.Revision = true, n.Draining(), n.Revision()
		out.Limit, out.InFlight, out.Queued, out.Patient = s.Limit, s.InFlight, s.Queued, s.LongRunning
	}
	return out, nil
}

func (a *API) postDrain(r *http.Request) (any, *Error) {
	o, e := readOrder[Order](r)
	if e != nil {
		return nil, e
	}
	out := Done{Action: "node_drain", Target: a.o.Node, DryRun: o.DryRun, Reached: []string{a.o.Node}, Unreached: []Unreached{}}
	if o.DryRun {
		return out, nil
	}
	if !a.o.Stop() {
		return nil, fail(CodeRefused, "the planned stop has begun already")
	}
	a.note(o.Operator, out.Action, out.Target, "begun")
	return out, nil
}

// Done is the answer to an order.
type Done struct {
	Action    string      `json:"action"`
	Target    string      `json:"target"`
	DryRun    bool        `json:"dry_run,omitempty"`
	Reached   []string    `json:"reached"` // processes that carried it out
	Unreached []Unreached `json:"unreached"`
}

// UpstreamInfo is one upstream as the asked entry node knows it.
type UpstreamInfo struct {
	ID          string   `json:"id"`
	Kind        string   `json:"kind"`
	Serves      []string `json:"serves"` // services and models
	DataCentre  string   `json:"data_centre"`
	Address     string   `json:"address"`
	Incarnation uint64   `json:"incarnation"`
	State       string   `json:"state"` // live, leaving, held or expired
	Slots       int      `json:"slots"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
}

func (a *API) entryNode() (*entry.Node, *Error) {
	if e := a.o.Entry(); e != nil {
		return e, nil
	}
	return nil, fail(CodeBadRequest, "this process is not an entry node; ask one")
}

func (a *API) getUpstreams(*http.Request) (any, *Error) {
	n, e := a.entryNode()
	if e != nil {
		return nil, e
	}
	now := a.o.Clock.Now()
	out := []UpstreamInfo{}
	for _, u := range n.Upstreams().View().All {
		state := "live"
		switch {
		case u.Leaving:
			state = "leaving"
		case !now.Before(u.LeaseUntil):
			state = "expired"
		case u.Held:
			state = "held"
		}
		out = append(out, UpstreamInfo{
			ID: u.ID, Kind: string(u.Kind), Serves: append(append([]string{}, u.Services...), u.Models...), DataCentre: u.DataCentre,
			Address: u.Address, Incarnation: u.Incarnation, State: state, Slots: u.Slots, Running: u.Load.Running, Waiting: u.Load.Waiting,
		})
	}
	return out, nil
}

// The marks of an upstream. A drain ends when the upstream starts again, an eject only with a restore.
const (
	markDrain   = "drain"
	markEject   = "eject"
	markRestore = "restore"
)

// holdUpstream gives the order to all entry nodes. Nodes that could not be reached, or start later, take it over from the
// others; see Start.
func (a *API) holdUpstream(mark string) func(*http.Request) (any, *Error) {
	return func(r *http.Request) (any, *Error) {
		o, e := readOrder[Order](r)
		if e != nil {
			return nil, e
		}
		id := pathvar.Vars(r)["id"]
		now := a.o.Events.Hybrid().Now()
		order := operate{Do: doHold, Upstream: id}
		order.Hold.Version, order.Hold.Released = now.WallNS+int64(now.Logical), mark == markRestore
		if mark != markRestore {
			incarnation, e := a.incarnation(id)
			if e != nil {
				return nil, e
			}
			if mark == markDrain {
				order.Hold.Incarnation = incarnation
			}
		}
		return a.spreadHold(r.Context(), o, mark, order)
	}
}

func (a *API) incarnation(id string) (uint64, *Error) {
	n, e := a.entryNode()
	if e != nil {
		return 0, e
	}
	u := n.Upstreams().View().Get(id)
	if u == nil {
		return 0, fail(CodeNotFound, "this node does not know upstream "+id)
	}
	return u.Incarnation, nil
}

func (a *API) spreadHold(ctx context.Context, o Order, mark string, order operate) (any, *Error) {
	m, err := a.o.Membership(ctx)
	if err != nil {
		return nil, fail(CodeFailed, err.Error())
	}
	var nodes []member.Node
	for _, n := range m.Nodes {
		if n.Roles&member.RoleEntry != 0 && n.State != member.Left {
			nodes = append(nodes, n)
		}
	}
	out := Done{
		Action: "upstream_" + mark, Target: order.Upstream, DryRun: o.DryRun, Reached: []string{}, Unreached: []Unreached{},
	}
	if o.DryRun {
		for _, n := range nodes {
			out.Reached = append(out.Reached, n.ID)
		}
		return out, nil
	}
	var mu sync.Mutex
	found := false
	out.Unreached = each(nodes, func(n member.Node) error {
		answer, err := a.send(ctx, n, order)
		mu.Lock()
		defer mu.Unlock()
		found = found || answer.Was || answer.Known && mark != markRestore
		return err
	})
	out.Reached = reachedOf(nodes, out.Unreached)
	outcome := "done"
	if !found {
		outcome = "not_found"
	}
	a.note(o.Operator, out.Action, out.Target, outcome)
	if !found {
		return nil, fail(CodeNotFound, "no entry node that was reached knows upstream "+order.Upstream+", or it was not held")
	}
	return out, nil
}

func reachedOf(nodes []member.Node, unreached []Unreached) []string {
	missing := map[string]bool{}
	for _, u := range unreached {
		missing[u.Node] = true
	}
	out := []string{}
	for _, n := range nodes {
		if !missing[n.ID] {
			out = append(out, n.ID)
		}
	}
	return out
}

func (a *API) getTeams(*http.Request) (any, *Error) {
	n, e := a.entryNode()
	if e != nil {
		return nil, e
	}
	cfg := n.Config()
	if cfg == nil {
		return nil, fail(CodeNotFound, "this node does not know a configuration yet")
	}
	return append([]fleet.Team{}, cfg.Teams...), nil
}

func (a *API) getRequest(r *http.Request) (any, *Error) {
	n, e := a.entryNode()
	if e != nil {
		return nil, e
	}
	found := n.Requests(pathvar.Vars(r)["id"])
	if len(found) == 0 {
		return nil, fail(CodeNotFound, "this node does not know the request; ask the entry node that runs it")
	}
	return found, nil
}

// Cancel is the body of POST /requests/{id}/cancel.
type Cancel struct {
	Order
	Team string `json:"team"` // may be empty if only one team uses the id
}

func (a *API) postCancel(r *http.Request) (any, *Error) {
	c, e := readOrder[Cancel](r)
	if e != nil {
		return nil, e
	}
	n, e := a.entryNode()
	if e != nil {
		return nil, e
	}
	id := pathvar.Vars(r)["id"]
	var teams []string
	for _, s := range n.Requests(id) {
		if c.Team == "" || c.Team == s.Team {
			teams = append(teams, s.Team)
		}
	}
	switch len(teams) {
	case 0:
		return nil, fail(CodeNotFound, "this node does not know the request; ask the entry node that runs it")
	case 1:
	default:
		return nil, fail(CodeBadRequest, "team: required, because the teams "+strings.Join(teams, ", ")+" use this id")
	}
	out := Done{Action: "request_cancel", Target: id, DryRun: c.DryRun, Reached: []string{a.o.Node}, Unreached: []Unreached{}}
	if !c.DryRun {
		n.CancelRequest(teams[0], id)
		a.note(c.Operator, out.Action, teams[0]+"/"+id, "done")
	}
	return out, nil
}
