package admin

import (
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/berylledge/berylledge/internal/fleet/member"
	"github.com/berylledge/berylledge/internal/node/ctrl"
	"github.com/berylledge/berylledge/internal/state/raftcl"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/pkg/fleet"
)

// Revision is one entry of the audit history. Config is set when one revision is asked for and its content is kept.
type Revision struct {
	Revision uint64          `json:"revision"`
	ChangeID string          `json:"change_id"`
	Operator string          `json:"operator"`
	Note     string          `json:"note"`
	AtMS     int64           `json:"at_ms"`
	SHA256   string          `json:"sha256"`
	SameAs   uint64          `json:"same_as,omitempty"` // earlier revision with equal content
	Config   json.RawMessage `json:"config,omitempty"`
}

func revisionOf(r rstate.Revision) Revision {
	return Revision{
		Revision: r.Revision, ChangeID: r.ChangeID, Operator: r.Operator, Note: r.Note, AtMS: r.AtMS,
		SHA256: hex.EncodeToString(r.Hash), SameAs: r.SameAs, Config: json.RawMessage(r.Config),
	}
}

func (a *API) getConfig(r *http.Request) (any, *Error) { return a.revision(r, 0) }

func (a *API) getRevision(r *http.Request) (any, *Error) {
	n, err := strconv.ParseUint(pathvar.Vars(r)["revision"], 10, 64)
	if err != nil || n == 0 {
		return nil, fail(CodeBadRequest, "revision: a number from 1 is required")
	}
	return a.revision(r, n)
}

func (a *API) revision(r *http.Request, n uint64) (any, *Error) {
	answer, e := a.query(r.Context(), ctrl.Query{What: ctrl.QueryRevision, Revision: n})
	if e != nil {
		return nil, e
	}
	if len(answer.Revisions) == 0 {
		return nil, fail(CodeNotFound, "the history does not hold this revision")
	}
	return revisionOf(answer.Revisions[0]), nil
}

// defaultHistory is the number of revisions listed unless the request asks for another.
const defaultHistory = 50

func (a *API) getHistory(r *http.Request) (any, *Error) {
	count := defaultHistory
	if v := r.URL.Query().Get("count"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 {
			return nil, fail(CodeBadRequest, "count: a number from 1 is required")
		}
		count = n
	}
	answer, e := a.query(r.Context(), ctrl.Query{What: ctrl.QueryHistory, Count: count})
	if e != nil {
		return nil, e
	}
	out := []Revision{}
	for _, rev := range answer.Revisions {
		out = append(out, revisionOf(rev))
	}
	return out, nil
}

// Put is the body of PUT /config.
type Put struct {
	Order
	ExpectedRevision uint64          `json:"expected_revision"` // 0: there is none yet
	ChangeID         string          `json:"change_id"`         // a resend of the same change keeps it
	Note             string          `json:"note,omitempty"`
	Config           json.RawMessage `json:"config"`
}

func (p Put) check() *Error {
	if e := p.Order.check(); e != nil {
		return e
	}
	if p.ChangeID == "" || len(p.ChangeID) > rstate.MaxIDBytes {
		return fail(CodeBadRequest, "change_id: 1 to 256 bytes are required")
	}
	if len(p.Note) > rstate.MaxNoteBytes {
		return fail(CodeBadRequest, "note: 1024 bytes are allowed")
	}
	return nil
}

// StatusValid is the status of a dry run that would be accepted; the others are those of rstate.ConfigResult.
const StatusValid = "valid"

// PutResult is the answer to PUT /config.
type PutResult struct {
	Status   string `json:"status"` // accepted, replayed, conflict, invalid, or valid for a dry run
	Revision uint64 `json:"revision"`
	// Winner names the change that took the revision after the expected one.
	Winner   *Winner         `json:"winner,omitempty"`
	Problems []fleet.Problem `json:"problems,omitempty"`
}

// Winner is a change that was accepted.
type Winner struct {
	Revision uint64 `json:"revision"`
	Operator string `json:"operator"`
	ChangeID string `json:"change_id"`
}

func (p PutResult) httpStatus() int {
	switch p.Status {
	case string(rstate.ConfigConflict):
		return http.StatusConflict
	case string(rstate.ConfigInvalid):
		return http.StatusUnprocessableEntity
	default:
		return http.StatusOK
	}
}

func (a *API) putConfig(r *http.Request) (any, *Error) {
	p, e := readOrder[Put](r)
	if e != nil {
		return nil, e
	}
	cfg, err := fleet.Parse(p.Config)
	if err != nil {
		return PutResult{Status: string(rstate.ConfigInvalid), Problems: []fleet.Problem{{Place: "config", Message: err.Error()}}}, nil
	}
	if problems := cfg.Check(); len(problems) > 0 {
		return PutResult{Status: string(rstate.ConfigInvalid), Problems: problems}, nil
	}
	if p.DryRun {
		return a.tryPut(r, p)
	}
	result, err := a.o.Propose(r.Context(), rstate.PutConfig{
		ExpectedRevision: p.ExpectedRevision, ChangeID: p.ChangeID, Operator: p.Operator, Note: p.Note,
		Config: cfg.Print(), AtMS: a.o.Clock.Now().UnixMilli(),
	})
	x, e := resultOf[rstate.ConfigResult](result, err)
	if e != nil {
		a.note(p.Operator, "config_put", p.ChangeID, e.Code)
		return nil, e
	}
	a.note(p.Operator, "config_put", p.ChangeID, string(x.Status))
	return putResult(x), nil
}

func putResult(x rstate.ConfigResult) PutResult {
	out := PutResult{Status: string(x.Status), Revision: x.Revision, Problems: x.Problems}
	if x.Winner.Revision != 0 {
		out.Winner = &Winner{Revision: x.Winner.Revision, Operator: x.Winner.Operator, ChangeID: x.Winner.ChangeID}
	}
	return out
}

// tryPut answers what a change would meet now; another change may come before it.
func (a *API) tryPut(r *http.Request, p Put) (any, *Error) {
	answer, e := a.query(r.Context(), ctrl.Query{What: ctrl.QueryHistory, Count: 1})
	if e != nil {
		return nil, e
	}
	out := PutResult{Status: StatusValid}
	if len(answer.Revisions) > 0 {
		latest := answer.Revisions[0]
		out.Revision = latest.Revision
		if latest.Revision != p.ExpectedRevision {
			out.Status = string(rstate.ConfigConflict)
			out.Winner = &Winner{Revision: latest.Revision, Operator: latest.Operator, ChangeID: latest.ChangeID}
		}
	}
	return out, nil
}

// resultOf returns the result of a command, and separates commands that certainly had no effect from those whose outcome
// is not known.
func resultOf[T rstate.Result](result rstate.Result, err error) (out T, e *Error) {
	var unavailable *raftcl.UnavailableError
	switch {
	case errors.As(err, &unavailable):
		return out, fail(CodeUnknown, err.Error()+"; send the same order again to learn the outcome")
	case err != nil:
		return out, fail(CodeBadRequest, err.Error())
	}
	if refused, ok := result.(rstate.Refused); ok {
		return out, fail(CodeBadRequest, refused.Reason)
	}
	out, ok := result.(T)
	if !ok {
		return out, fail(CodeFailed, "the control group gave an answer of another kind")
	}
	return out, nil
}

// NodeRevision is the configuration in force on one process.
type NodeRevision struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	Revision   uint64 `json:"revision"`
	Current    bool   `json:"current"` // the revision is the latest or higher
	// Reported is false if no node of the data centre answered; Revision is then the last that was heard of.
	Reported bool `json:"reported"`
}

// ConfigStatus is the answer to GET /config/status.
type ConfigStatus struct {
	Revision   uint64         `json:"revision"` // the latest accepted one
	Everywhere bool           `json:"everywhere"`
	Nodes      []NodeRevision `json:"nodes"` // those which have not failed or left
}

func (a *API) getConfigStatus(r *http.Request) (any, *Error) {
	answer, e := a.query(r.Context(), ctrl.Query{What: ctrl.QueryHistory, Count: 1})
	if e != nil {
		return nil, e
	}
	out := ConfigStatus{Nodes: []NodeRevision{}}
	if len(answer.Revisions) > 0 {
		out.Revision = answer.Revisions[0].Revision
	}
	nodes, e := a.reported(r.Context())
	if e != nil {
		return nil, e
	}
	out.Everywhere = out.Revision > 0
	for _, n := range nodes {
		if n.State == member.Failed || n.State == member.Left {
			continue
		}
		current := n.Revision >= out.Revision && n.reported
		out.Everywhere = out.Everywhere && current
		out.Nodes = append(out.Nodes, NodeRevision{
			Node: n.ID, DataCentre: n.DataCentre, State: n.State.String(), Revision: n.Revision, Current: current, Reported: n.reported,
		})
	}
	return out, nil
}
