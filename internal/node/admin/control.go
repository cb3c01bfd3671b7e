package admin

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/berylledge/berylledge/internal/fleet/member"
	"github.com/berylledge/berylledge/internal/node/ctrl"
	"github.com/berylledge/berylledge/internal/state/raft"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Suspect is a content fingerprint that was on upstreams when they died.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	Status      string `json:"status"` // suspect, held or isolated
	Deaths      int    `json:"deaths"` // distinct upstream deaths
	UntilMS     int64  `json:"until_ms"`
}

func (a *API) getQuarantine(r *http.Request) (any, *Error) {
	answer, e := a.query(r.Context(), ctrl.Query{What: ctrl.QueryQuarantine})
	if e != nil {
		return nil, e
	}
	out := []Suspect{}
	for _, s := range answer.Suspects {
		out = append(out, Suspect{Fingerprint: s.Fingerprint.String(), Status: s.Status.String(), Deaths: s.Deaths, UntilMS: s.ExpiresMS})
	}
	return out, nil
}

func (a *API) postClear(r *http.Request) (any, *Error) {
	o, e := readOrder[Order](r)
	if e != nil {
		return nil, e
	}
	fingerprint := pathvar.Vars(r)["fingerprint"]
	out := Done{Action: "quarantine_clear", Target: fingerprint, DryRun: o.DryRun, Reached: []string{}, Unreached: []Unreached{}}
	if o.DryRun {
		return a.tryClear(r, out)
	}
	result, err := a.o.Propose(r.Context(), rstate.ClearQuarantine{
		Fingerprint: fingerprint, Operator: o.Operator, AtMS: a.o.Clock.Now().UnixMilli(),
	})
	x, e := resultOf[rstate.ClearResult](result, err)
	if e == nil && !x.Cleared {
		e = fail(CodeNotFound, "the fingerprint is neither isolated nor suspected")
	}
	if e != nil {
		a.note(o.Operator, out.Action, fingerprint, e.Code)
		return nil, e
	}
	a.note(o.Operator, out.Action, fingerprint, "done")
	return out, nil
}

func (a *API) tryClear(r *http.Request, out Done) (any, *Error) {
	answer, e := a.query(r.Context(), ctrl.Query{What: ctrl.QueryQuarantine})
	if e != nil {
		return nil, e
	}
	for _, s := range answer.Suspects {
		if s.Fingerprint.String() == out.Target {
			return out, nil
		}
	}
	return nil, fail(CodeNotFound, "the fingerprint is neither isolated nor suspected")
}

// Control is the answer to GET /control.
type Control struct {
	Members   []ctrl.Member `json:"members"` // as each sees itself, ordered by name
	Unreached []Unreached   `json:"unreached"`
}

func (a *API) controlProcesses(ctx context.Context) ([]member.Node, *Error) {
	m, err := a.o.Membership(ctx)
	if err != nil {
		return nil, fail(CodeFailed, err.Error())
	}
	var out []member.Node
	for _, n := range m.Nodes {
		if n.Roles&member.RoleControl != 0 && n.State != member.Left {
			out = append(out, n)
		}
	}
	return out, nil
}

func (a *API) getControl(r *http.Request) (any, *Error) {
	nodes, e := a.controlProcesses(r.Context())
	if e != nil {
		return nil, e
	}
	var mu sync.Mutex
	found := map[string]ctrl.Member{}
	out := Control{Members: []ctrl.Member{}}
	out.Unreached = each(nodes, func(n member.Node) error {
		answer, err := a.ask(r.Context(), n.Address, ctrl.Query{What: ctrl.QueryStatus})
		if err == nil {
			mu.Lock()
			defer mu.Unlock()
			found[n.ID] = *answer.Status
		}
		return err
	})
	for _, n := range nodes {
		if s, ok := found[n.ID]; ok {
			out.Members = append(out.Members, s)
		}
	}
	return out, nil
}

// MemberOrder is the body of the changes of the control group. Member is a member id, or the name of a process if that
// is unambiguous.
type MemberOrder struct {
	Order
	Member string `json:"member"`
}

func (m MemberOrder) check() *Error {
	if m.Member == "" {
		return fail(CodeBadRequest, "member: the name or member id of a control node is required")
	}
	return m.Order.check()
}

func (a *API) postAdd(r *http.Request) (any, *Error) {
	o, e := readOrder[MemberOrder](r)
	if e != nil {
		return nil, e
	}
	nodes, e := a.controlProcesses(r.Context())
	if e != nil {
		return nil, e
	}
	for _, n := range nodes {
		if n.ID != o.Member {
			continue
		}
		// The identity of the data folder counts, not the name: a VM that lost its disk is another member.
		hello, err := call[ctrl.Hello](r.Context(), a, n.Address, peer.KindStatus, nil)
		if err != nil {
			return nil, fail(CodeRefused, err.Error())
		}
		return a.changeMembers(r.Context(), "control_add", o, raft.Change{Kind: raft.AddLearner, Member: hello.Member})
	}
	return nil, fail(CodeNotFound, "no control node is named "+o.Member+"; start it with --join first")
}

func (a *API) postPromote(r *http.Request) (any, *Error) {
	return a.changeKnown(r, "control_promote", raft.Promote)
}

func (a *API) postRemove(r *http.Request) (any, *Error) {
	return a.changeKnown(r, "control_remove", raft.Remove)
}

// changeKnown changes a member that the group lists.
func (a *API) changeKnown(r *http.Request, action string, kind raft.ChangeKind) (any, *Error) {
	o, e := readOrder[MemberOrder](r)
	if e != nil {
		return nil, e
	}
	_, leads, e := a.leader(r.Context())
	if e != nil {
		return nil, e
	}
	var matches []ctrl.Listed
	for _, m := range leads.Members {
		if m.ID == o.Member || m.Node == o.Member {
			matches = append(matches, m)
		}
	}
	switch len(matches) {
	case 0:
		return nil, fail(CodeNotFound, "the group has no member "+o.Member)
	case 1:
		return a.changeMembers(r.Context(), action, o, raft.Change{Kind: kind, Member: raft.Member{ID: matches[0].ID}})
	}
	ids := make([]string, len(matches))
	for i, m := range matches {
		ids[i] = m.ID
	}
	return nil, fail(CodeBadRequest, "member: several match, give one of "+strings.Join(ids, ", "))
}

// leader asks all control nodes at the same time who they are, so that one which is cut off costs no time of its own. Of
// two that claim to lead, the one of the lower term has not noticed yet that it was replaced.
func (a *API) leader(ctx context.Context) (address string, found *ctrl.Member, e *Error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, at := range a.o.ControlNodes() {
		wg.Go(func() {
			answer, err := a.ask(ctx, at, ctrl.Query{What: ctrl.QueryStatus})
			if err != nil || answer.Status == nil || answer.Status.Role != raft.Leader.String() {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if found == nil || found.Term < answer.Status.Term {
				address, found = at, answer.Status
			}
		})
	}
	wg.Wait()
	if found == nil {
		return "", nil, fail(CodeNotLeader, "no control node that answers leads at the moment; try again")
	}
	return address, found, nil
}

// changeMembers makes a change through the leader.
func (a *API) changeMembers(ctx context.Context, action string, o MemberOrder, c raft.Change) (any, *Error) {
	out := Done{Action: action, Target: c.Member.ID, DryRun: o.DryRun, Reached: []string{}, Unreached: []Unreached{}}
	if o.DryRun {
		return out, nil
	}
	address, _, e := a.leader(ctx)
	if e != nil {
		return nil, e
	}
	answer, err := a.ask(ctx, address, ctrl.Query{What: ctrl.QueryChange, Change: &c})
	switch {
	case err != nil:
		e = fail(CodeUnknown, err.Error())
	case answer.Code != "":
		e = &Error{Code: answer.Code, Message: answer.Message, Leader: ctrl.Name(answer.Leader)}
	}
	if e != nil {
		a.note(o.Operator, action, out.Target, e.Code)
		return nil, e
	}
	a.note(o.Operator, action, out.Target, "done")
	return out, nil
}

func (a *API) postExport(r *http.Request) (any, *Error) {
	o, e := readOrder[Order](r)
	if e != nil {
		return nil, e
	}
	if o.DryRun {
		return ctrl.Export{}, nil
	}
	answer, e := a.query(r.Context(), ctrl.Query{What: ctrl.QueryExport})
	if e != nil {
		return nil, e
	}
	a.note(o.Operator, "control_export", answer.Export.Path, "done")
	return answer.Export, nil
}
