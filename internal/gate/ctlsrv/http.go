package ctlsrv

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/state/vdoc"
	"github.com/berylledge/berylledge/internal/wire/httpd"
)

// ControlRoutes returns the routes for operators and upstreams.
func (s *Server) ControlRoutes() []rest.Route {
	paths := s.o.Dialect.Paths
	return []rest.Route{
		{Method: http.MethodPut, Path: paths.Config, Handler: s.putConfig},
		{Method: http.MethodGet, Path: paths.Config, Handler: s.getConfig},
		{Method: http.MethodPut, Path: paths.Upstream, Handler: s.putUpstream},
		{Method: http.MethodDelete, Path: paths.Upstream, Handler: s.deleteUpstream},
		{Method: http.MethodPost, Path: paths.Evacuation, Handler: s.evacuate},
		{Method: http.MethodDelete, Path: paths.Evacuation, Handler: s.revokeEvacuation},
	}
}

// DirectoryRoutes returns the routes for callers that look up entry nodes.
func (s *Server) DirectoryRoutes() []rest.Route {
	return []rest.Route{{Method: http.MethodGet, Path: s.o.Dialect.Paths.Entries, Handler: s.getEntryNodes}}
}

// putConfig stores a configuration if its version is the highest. An older or repeated version is acknowledged
// as well, as long as it is valid.
func (s *Server) putConfig(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		status := http.StatusBadRequest
		if httpd.TooLarge(err) {
			status = http.StatusRequestEntityTooLarge
		}
		s.respondToPut(w, status, 0, 0, err.Error())
		return
	}
	cfg, err := s.o.Dialect.DecodeConfig(body)
	if err == nil {
		if problems := cfg.Validate(); len(problems) > 0 {
			err = &conf.InvalidError{Problems: problems}
		}
	}
	if err != nil {
		s.respondToPut(w, http.StatusBadRequest, 0, 0, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	result, err := s.o.Member.Propose(ctx, vdoc.Document{Version: cfg.Version, Body: body})
	if err != nil {
		// The proposal may still be committed; the operator sends it again.
		s.respondToPut(w, http.StatusServiceUnavailable, cfg.Version, 0, err.Error())
		return
	}
	s.respondToPut(w, http.StatusOK, cfg.Version, result.Version, "")
}

func (s *Server) respondToPut(w http.ResponseWriter, status int, version, storedVersion uint64, reason string) {
	s.o.Events.Emit(event.ConfigOrder, event.F("version", version), event.F("stored", storedVersion), event.F("status", status), event.F("reason", reason))
	if status == http.StatusOK {
		writeJSON(w, []byte("{}"))
		return
	}
	writeText(w, status, reason)
}

// getConfig returns the newest configuration as it was sent, or 503 if this node cannot be sure which one that
// is.
func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	doc, err := s.o.Member.Read(ctx)
	if err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if doc.Version == 0 {
		writeText(w, http.StatusServiceUnavailable, "no configuration is stored yet")
		return
	}
	writeJSON(w, doc.Body)
}

// putUpstream handles the heartbeat of an upstream. An invalid heartbeat is rejected and has no other effect.
func (s *Server) putUpstream(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeText(w, http.StatusBadRequest, err.Error())
		return
	}
	u, err := s.o.Dialect.DecodeHeartbeat(pathvar.Vars(r)["id"], body)
	if err != nil {
		writeText(w, http.StatusBadRequest, err.Error())
		return
	}
	if s.applyHeartbeat(u) {
		if err := s.announceLeave(u); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
	}
	if s.hasLostGroup() {
		writeText(w, http.StatusServiceUnavailable, errLostGroup.Error())
		return
	}
	reply, err := s.o.Dialect.EncodeHeartbeatReply(s.o.HeartbeatAddress)
	if err != nil {
		writeText(w, http.StatusInternalServerError, err.Error())
		return
	}
	writeJSON(w, reply)
}

// errLostGroup answers a heartbeat that this node has applied, but that the other control nodes will not learn. The upstream then sends
// it to one of them.
var errLostGroup = errors.New("this control node is cut off from the others, which need the heartbeat too")

// hasLostGroup reports whether this node was in touch with its group since its start and is cut off from it.
func (s *Server) hasLostGroup() bool {
	group := s.status()
	return !group.contact.IsZero() && s.cutOff(s.o.Clock.Now(), group)
}

// applyHeartbeat applies a heartbeat and reports whether the other nodes must be notified before it is
// acknowledged. They must after one that says the upstream is draining, including a repeated one, since they may have
// missed the first.
func (s *Server) applyHeartbeat(u roster.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, known := s.roster.Find(u.ID)
	changed := s.roster.Heartbeat(s.o.Clock.Now(), u)
	if changed {
		poller.LogUpstream(s.o.Events, u)
	}
	return u.State == roster.Draining && (changed || known && before.State == roster.Draining)
}

// deleteUpstream handles the message of an upstream that has stopped or will stop soon.
func (s *Server) deleteUpstream(w http.ResponseWriter, r *http.Request) {
	id := pathvar.Vars(r)["id"]
	if err := proto.ValidateID(id); err != nil {
		writeText(w, http.StatusBadRequest, err.Error())
		return
	}
	switch err := s.awaitSender(r); {
	case errors.Is(err, errBody):
		writeText(w, http.StatusBadRequest, err.Error())
		return
	case err != nil:
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	u := s.applyLeave(id)
	poller.LogUpstream(s.o.Events, u)
	if err := s.announceLeave(u); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, []byte("{}"))
}

// applyLeave records that an upstream has left and returns its entry. An upstream that this node does not know is recorded
// as gone.
func (s *Server) applyLeave(id string) roster.Upstream {
	now := s.o.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.roster.Leave(now, id)
	if ok {
		return u
	}
	if u, ok = s.roster.Find(id); !ok {
		// The other control nodes may know it from a heartbeat that has not reached this node yet.
		u = roster.Upstream{ID: id, State: roster.Gone, StartedMs: now.UnixMilli()}
		s.roster.Heartbeat(now, u)
	}
	return u
}

// maxEntryNodes limits the number of addresses in one response.
const maxEntryNodes = 64

// getEntryNodes returns the addresses of entry nodes that are ready for the caller.
func (s *Server) getEntryNodes(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	allowed := s.hosts.of(s.o.Member.Latest(), q.Get(s.o.Dialect.Query.Host), s.o.Dialect.DecodeConfig)
	nodes := s.readyEntryNodes(roster.Caller{
		Name: caller, DataCentre: q.Get(s.o.Dialect.Query.DataCentre), Region: q.Get(s.o.Dialect.Query.Region), Allowed: allowed,
	})
	if len(nodes) == 0 {
		writeText(w, http.StatusServiceUnavailable, "no entry node is known")
		return
	}
	addresses := make([]string, 0, len(nodes))
	for _, n := range nodes[:min(len(nodes), maxEntryNodes)] {
		addresses = append(addresses, n.Address)
	}
	body, err := s.o.Dialect.EncodeEntries(addresses, s.o.EntryValid)
	if err != nil {
		writeText(w, http.StatusInternalServerError, err.Error())
		return
	}
	writeJSON(w, body)
}

func (s *Server) readyEntryNodes(caller roster.Caller) []roster.Entry {
	now := s.o.Clock.Now()
	caller.Peers, caller.Query = s.askers.add(now, caller.DataCentre, caller.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.ReadyEntries(now, caller)
}
