package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/flow/stream"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/pkg/caller"
)

func refusal(code caller.Code, format string, args ...any) *caller.Refusal {
	return &caller.Refusal{Code: code, Ran: caller.NotRun, Message: fmt.Sprintf(format, args...)}
}

// status maps codes to HTTP; docs/caller_api.md lists the same.
func status(code caller.Code) int {
	switch code {
	case caller.CodeBadRequest, caller.CodeKeyRequired:
		return http.StatusBadRequest
	case caller.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case caller.CodeHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case caller.CodeUnknownPipeline, caller.CodeNotFound:
		return http.StatusNotFound
	case caller.CodeUnknownTeam:
		return http.StatusForbidden
	case caller.CodeDuplicateID, caller.CodeKeyReused, caller.CodeKeyInProgress, caller.CodeKeyUnknown, caller.CodeCancelled:
		return http.StatusConflict
	case caller.CodeKeyExpired:
		return http.StatusGone
	case caller.CodeTeamLimit:
		return http.StatusTooManyRequests
	case caller.CodeQuarantined:
		return http.StatusUnprocessableEntity
	case caller.CodeUpstreamFailed:
		return http.StatusBadGateway
	case caller.CodeDeadline:
		return http.StatusGatewayTimeout
	case caller.CodeOverloaded, caller.CodeSuspected, caller.CodeNoUpstream, caller.CodeNoQuorum, caller.CodeNoConfig, caller.CodeDraining:
		return http.StatusServiceUnavailable
	case caller.CodeInternal:
	}
	return http.StatusInternalServerError
}

func refuse(w http.ResponseWriter, r *caller.Refusal) {
	if r.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((r.RetryAfterMS+999)/1000, 10))
	}
	httpd.WriteJSON(w, status(r.Code), r)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	refuse(w, refusal(caller.CodeNotFound, "no route for %s %s", r.Method, r.URL.Path))
}

func longHeader(w http.ResponseWriter, _ *http.Request) {
	refuse(w, refusal(caller.CodeHeaderTooLarge, "the header is over %d bytes", httpd.MaxHeaderBytes))
}

func (n *Node) serveEntry(w http.ResponseWriter, r *http.Request) {
	members := []Member{n.self}
	if n.o.Members != nil {
		members = n.o.Members()
	}
	if n.draining.Load() {
		for i := range members {
			members[i].Draining = members[i].Draining || members[i].ID == n.self.ID
		}
	}
	if len(members) == 1 && n.o.Ready != nil && !n.o.Ready() {
		refuse(w, refusal(caller.CodeNoConfig, "this VM has just started and knows no other one yet"))
		return
	}
	key := r.URL.Query().Get("key")
	if key == "" {
		key = r.Header.Get(caller.HeaderTeam) + "\x00" + r.RemoteAddr
	}
	m, ok := n.choose(n.o.Clock.Now(), key, members, n.o.EntryValid)
	if !ok {
		refuse(w, refusal(caller.CodeDraining, "no entry VM is available"))
		return
	}
	httpd.WriteJSON(w, http.StatusOK, caller.Entry{
		Address: m.Address, ValidMS: n.o.EntryValid.Milliseconds(), Stopping: n.draining.Load(),
	})
}

func (n *Node) serveSubmit(w http.ResponseWriter, r *http.Request) {
	var s caller.Submit
	if err := httpd.ReadJSON(r, &s); err != nil {
		if httpd.TooLarge(err) {
			refuse(w, refusal(caller.CodeTooLarge, "the body is over %d bytes", maxBody))
			return
		}
		refuse(w, refusal(caller.CodeBadRequest, "the body is not a submission: %s", err))
		return
	}
	httpd.ReleaseBody(r) // the handler waits for the answer, and the input is counted with the request
	x, ref := n.prepare(r.Header.Get(caller.HeaderTeam), s)
	var q *request
	if ref == nil {
		q, ref = n.admitRequest(r.Context(), x)
	}
	if ref != nil {
		ref.RequestID = s.ID
		n.o.Measure.refused(r.Header.Get(caller.HeaderTeam), s.Rank, ref)
		refuse(w, ref)
		return
	}
	n.answer(w, r, q, 0)
}

// lookup finds the request that a path names, for the team that made it. A request of another team is answered like an
// unknown one, so that ids cannot be probed.
func (n *Node) lookup(w http.ResponseWriter, r *http.Request) *request {
	id := pathvar.Vars(r)["id"]
	q := n.find(requestKey{r.Header.Get(caller.HeaderTeam), id})
	if q == nil {
		ref := refusal(caller.CodeNotFound, "request %q is not known here; its answer may have been forgotten", id)
		ref.Ran, ref.RequestID = caller.RanUnknown, id
		refuse(w, ref)
	}
	return q
}

func (n *Node) serveFetch(w http.ResponseWriter, r *http.Request) {
	q := n.lookup(w, r)
	if q == nil {
		return
	}
	after := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		var err error
		if after, err = strconv.Atoi(last); err != nil || after < 0 {
			refuse(w, refusal(caller.CodeBadRequest, "Last-Event-ID %q is not a number of an event", last))
			return
		}
		n.o.Events.Emit(event.RequestResumed, event.F("request", q.key.id), event.F("after", after))
	}
	n.answer(w, r, q, after)
}

func (n *Node) serveCancel(w http.ResponseWriter, r *http.Request) {
	q := n.lookup(w, r)
	if q == nil {
		return
	}
	q.cancel()
	n.o.Events.Emit(event.RequestCancelled, event.F("request", q.key.id), event.F("team", q.key.team))
	n.markRead(q)
	httpd.WriteJSON(w, http.StatusOK, struct{}{})
}

// answer sends the events of a request after the given one, as a stream or as one JSON value.
func (n *Node) answer(w http.ResponseWriter, r *http.Request, q *request, after int) {
	defer n.read(q, w)()
	if !strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		n.answerWhole(w, r, q)
		return
	}
	first := true
	var out *httpd.EventWriter
	for {
		events, done, changed := q.run.Out.EventsAfter(after)
		if first && len(events) > 0 && events[0].ID == 1 && events[0].Name == caller.EventError {
			n.answerError(w, q, events[0]) // nothing was sent yet, so the status can say it
			return
		}
		if len(events) > 0 || done {
			if first {
				out, first = httpd.NewEventWriter(w), false
			}
			for _, e := range events {
				out.Write(e.ID, e.Name, e.Data)
			}
			if out.Flush(n.o.Clock.Now()) != nil {
				return // the caller is gone; it may resume
			}
			after += len(events)
		}
		if done {
			n.markRead(q)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (n *Node) answerError(w http.ResponseWriter, q *request, e stream.Event) {
	var ref caller.Refusal
	if err := json.Unmarshal(e.Data, &ref); err != nil {
		ref = *refusal(caller.CodeInternal, "%s", err)
		ref.Ran = caller.RanUnknown
	}
	refuse(w, &ref)
	n.markRead(q)
}

func (n *Node) answerWhole(w http.ResponseWriter, r *http.Request, q *request) {
	for {
		events, done, changed := q.run.Out.EventsAfter(0)
		if done {
			n.writeWhole(w, q, events)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// writeWhole answers a request that has ended.
func (n *Node) writeWhole(w http.ResponseWriter, q *request, events []stream.Event) {
	last := events[len(events)-1]
	if last.Name == caller.EventError {
		n.answerError(w, q, last)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = writeAnswer(w, q.key.id, events) // the caller is gone; it will ask again
	n.markRead(q)
}
