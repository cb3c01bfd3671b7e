// Package admin is the administration interface of a process: HTTP routes under /v1/admin for operators, and the
// questions by which one process carries an operator's order to the others.
//
// Any process that listens for HTTP takes any order. Questions and changes of replicated state go to a control node,
// changes of the control group to its leader, orders about upstreams to all entry nodes. docs/admin_api.md lists the
// routes and shapes; a test compares it with Routes.
//
// Usage:
//
//	a := admin.New(admin.Options{Node: "e1", Clock: c, Events: log, Access: client, ...})
//	server := httpd.New(httpd.Options{...}, a.Routes())
//	a.Start()
//	reply, err := a.Handle(ctx, body) // peer.KindOperate, from the peer hub
//
// # Authentication
//
// Options.Allow decides on each request before its handler runs. It is nil for now: whoever reaches the address is an
// operator, so the address must be reachable from the operators' network only.
package admin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/node/agent"
	"github.com/berylledge/berylledge/internal/node/ctrl"
	"github.com/berylledge/berylledge/internal/node/entry"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Prefix is the path under which all routes are.
const Prefix = "/v1/admin"

// Options configure an API. The functions may be called as soon as Ready is closed.
type Options struct {
	Node    string
	Clock   clock.Clock
	Events  *event.Log
	Ready   <-chan struct{}
	Control func() *ctrl.Node // nil without the role
	Entry   func() *entry.Node

	// Membership returns the present membership; Call sends a question to another process.
	Membership func(ctx context.Context) (agent.Membership, error)
	Call       func(ctx context.Context, address string, kind peer.Kind, body []byte) ([]byte, error)
	// ControlNodes returns the peer addresses of control nodes, nearest first.
	ControlNodes func() []string
	PeerAddress  string
	Propose      func(ctx context.Context, c rstate.Command) (rstate.Result, error)
	// Stop begins the planned stop of this process; false if it has begun before.
	Stop func() bool
	// Allow refuses a request whose sender may not make it; nil allows all.
	Allow func(r *http.Request) error
}

// API serves the routes.
type API struct {
	o      Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns an API that has not started.
func New(o Options) *API {
	a := &API{o: o}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// Bounds of the time that an order takes.
const (
	// changeTimeout covers an election of up to two seconds and the change itself.
	changeTimeout = 8 * time.Second
	// reachTimeout bounds the question to one other process, so that a silently partitioned one delays an answer little.
	reachTimeout = 2 * time.Second
)

// Error is the body of each status of 400 or more.
type Error struct {
	Code     string   `json:"code"`
	Message  string   `json:"message"`
	Leader   string   `json:"leader,omitempty"`   // with not_leader
	Problems []string `json:"problems,omitempty"` // with bad_request
	Status   int      `json:"-"`
}

func (e *Error) Error() string { return e.Code + ": " + e.Message }

// The codes of an Error.
const (
	CodeBadRequest = "bad_request" // nothing was done
	CodeForbidden  = "forbidden"   // nothing was done
	CodeNotFound   = "not_found"   // nothing was done
	CodeNotLeader  = "not_leader"  // nothing was done; ask again
	CodeRefused    = "refused"     // nothing was done
	CodeNoQuorum   = "no_quorum"   // nothing was done: no control node could prove that its state is up to date
	CodeUnknown    = "unknown"     // the change may or may not take effect
	CodeFailed     = "failed"      // a fault of the system
)

var statuses = map[string]int{
	CodeBadRequest: http.StatusBadRequest, CodeForbidden: http.StatusForbidden, CodeNotFound: http.StatusNotFound,
	CodeNotLeader: http.StatusConflict, CodeRefused: http.StatusConflict, CodeNoQuorum: http.StatusServiceUnavailable,
	CodeUnknown: http.StatusGatewayTimeout, CodeFailed: http.StatusInternalServerError,
}

func fail(code, message string) *Error { return &Error{Code: code, Message: message} }

// Routes returns the routes in the order of the documentation.
func (a *API) Routes() []rest.Route {
	get, put, post := http.MethodGet, http.MethodPut, http.MethodPost
	table := []struct {
		method, path string
		serve        func(*http.Request) (any, *Error)
	}{
		{get, "/config", a.getConfig},
		{put, "/config", a.putConfig},
		{get, "/config/history", a.getHistory},
		{get, "/config/status", a.getConfigStatus},
		{get, "/config/revisions/:revision", a.getRevision},
		{get, "/nodes", a.getNodes},
		{get, "/node", a.getNode},
		{post, "/node/drain", a.postDrain},
		{get, "/upstreams", a.getUpstreams},
		{post, "/upstreams/:id/drain", a.holdUpstream(markDrain)},
		{post, "/upstreams/:id/eject", a.holdUpstream(markEject)},
		{post, "/upstreams/:id/restore", a.holdUpstream(markRestore)},
		{get, "/teams", a.getTeams},
		{get, "/requests/:id", a.getRequest},
		{post, "/requests/:id/cancel", a.postCancel},
		{get, "/quarantine", a.getQuarantine},
		{post, "/quarantine/:fingerprint/clear", a.postClear},
		{get, "/control", a.getControl},
		{post, "/control/add", a.postAdd},
		{post, "/control/promote", a.postPromote},
		{post, "/control/remove", a.postRemove},
		{post, "/control/export", a.postExport},
		{get, "/events", a.getEvents},
		{get, "/timeline", a.getTimeline},
	}
	out := make([]rest.Route, 0, len(table))
	for _, r := range table {
		out = append(out, rest.Route{Method: r.method, Path: Prefix + r.path, Handler: a.handler(r.serve)})
	}
	return out
}

func (a *API) handler(serve func(*http.Request) (any, *Error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-a.o.Ready:
		case <-r.Context().Done():
			return
		}
		if a.o.Allow != nil {
			if err := a.o.Allow(r); err != nil {
				writeError(w, fail(CodeForbidden, err.Error()))
				return
			}
		}
		ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
		defer cancel()
		v, e := serve(r.WithContext(ctx))
		if e != nil {
			writeError(w, e)
			return
		}
		status := http.StatusOK
		if s, ok := v.(statusCoder); ok {
			status = s.httpStatus()
		}
		httpd.WriteJSON(w, status, v)
	}
}

// statusCoder is a result with a status other than 200.
type statusCoder interface{ httpStatus() int }

func writeError(w http.ResponseWriter, e *Error) {
	status, ok := statuses[e.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	httpd.WriteJSON(w, status, e)
}

// Order is the part of each change that says who makes it.
type Order struct {
	Operator string `json:"operator"`
	DryRun   bool   `json:"dry_run,omitempty"` // report what would be done
}

func (o Order) check() *Error {
	if o.Operator == "" || len(o.Operator) > rstate.MaxIDBytes {
		return fail(CodeBadRequest, "operator: 1 to 256 bytes are required")
	}
	return nil
}

// readOrder decodes the body of a change.
func readOrder[T interface{ check() *Error }](r *http.Request) (v T, e *Error) {
	if err := httpd.ReadJSON(r, &v); err != nil {
		return v, fail(CodeBadRequest, err.Error())
	}
	return v, v.check()
}

// note puts a change into the event log, where the time line finds it.
func (a *API) note(operator, action, target, outcome string) {
	a.o.Events.Emit(event.OperatorChange, event.F("operator", operator), event.F("action", action),
		event.F("target", target), event.F("outcome", outcome))
}
