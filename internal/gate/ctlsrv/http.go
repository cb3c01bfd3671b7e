package ctlsrv

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/state/vdoc"
	"github.com/berylledge/berylledge/internal/wire/httpd"
)

// ControlRoutes serve operators and upstreams.
func (d *Desk) ControlRoutes() []rest.Route {
	paths := d.o.Dialect.Paths
	return []rest.Route{
		{Method: http.MethodPut, Path: paths.Config, Handler: d.putConfig},
		{Method: http.MethodGet, Path: paths.Config, Handler: d.getConfig},
		{Method: http.MethodPut, Path: paths.Upstream, Handler: d.beat},
		{Method: http.MethodDelete, Path: paths.Upstream, Handler: d.leave},
	}
}

// DirectoryRoutes serve callers that ask where to connect.
func (d *Desk) DirectoryRoutes() []rest.Route {
	return []rest.Route{{Method: http.MethodGet, Path: d.o.Dialect.Paths.Entries, Handler: d.entries}}
}

// putConfig stores a configuration if its version is the highest. The same order may come again: it is acknowledged as long
// as it is valid.
func (d *Desk) putConfig(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		status := http.StatusBadRequest
		if httpd.TooLarge(err) {
			status = http.StatusRequestEntityTooLarge
		}
		d.ordered(w, status, 0, 0, err.Error())
		return
	}
	cfg, err := d.o.Dialect.DecodeConfig(body)
	if err == nil {
		if problems := cfg.Check(); len(problems) > 0 {
			err = &conf.InvalidError{Problems: problems}
		}
	}
	if err != nil {
		d.ordered(w, http.StatusBadRequest, 0, 0, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeWait)
	defer cancel()
	result, err := d.o.Member.Propose(ctx, vdoc.Document{Version: cfg.Version, Body: body})
	if err != nil {
		// It may take effect all the same; the operator sends it again.
		d.ordered(w, http.StatusServiceUnavailable, cfg.Version, 0, err.Error())
		return
	}
	d.ordered(w, http.StatusOK, cfg.Version, result.Version, "")
}

func (d *Desk) ordered(w http.ResponseWriter, status int, version, stored uint64, reason string) {
	d.o.Events.Emit(event.ConfigOrder, event.F("version", version), event.F("stored", stored), event.F("status", status), event.F("reason", reason))
	if status == http.StatusOK {
		jsonBody(w, []byte("{}"))
		return
	}
	plain(w, status, reason)
}

// getConfig returns the newest configuration, as it was sent, or 503 if this node cannot be sure which one it is.
func (d *Desk) getConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readWait)
	defer cancel()
	doc, err := d.o.Member.Read(ctx)
	if err != nil {
		plain(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if doc.Version == 0 {
		plain(w, http.StatusServiceUnavailable, "no configuration is stored yet")
		return
	}
	jsonBody(w, doc.Body)
}

// beat takes the heartbeat of an upstream. One that cannot be read is refused and has no effect on others.
func (d *Desk) beat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		plain(w, http.StatusBadRequest, err.Error())
		return
	}
	u, err := d.o.Dialect.DecodeBeat(pathvar.Vars(r)["id"], body)
	if err != nil {
		plain(w, http.StatusBadRequest, err.Error())
		return
	}
	if d.takeBeat(u) && !d.tellMost(u) {
		plain(w, http.StatusServiceUnavailable, "the other control nodes cannot be told")
		return
	}
	reply, err := d.o.Dialect.EncodeBeatReply(d.o.BeatTo)
	if err != nil {
		plain(w, http.StatusInternalServerError, err.Error())
		return
	}
	jsonBody(w, reply)
}

// takeBeat takes a heartbeat and reports whether the others must be told before it is acknowledged. A repeated word that the upstream
// leaves may not have reached them the first time.
func (d *Desk) takeBeat(u roster.Upstream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, known := d.board.Find(u.ID)
	changed := d.board.Heartbeat(d.o.Clock.Now(), u)
	if changed {
		poller.LogUpstream(d.o.Events, u)
	}
	return u.State == roster.Draining && (changed || known && before.State == roster.Draining)
}

// leave takes the word of an upstream that it has left or leaves at once.
func (d *Desk) leave(w http.ResponseWriter, r *http.Request) {
	u := d.takeLeave(pathvar.Vars(r)["id"])
	poller.LogUpstream(d.o.Events, u)
	if !d.tellMost(u) {
		plain(w, http.StatusServiceUnavailable, "the other control nodes cannot be told")
		return
	}
	jsonBody(w, []byte("{}"))
}

func (d *Desk) takeLeave(id string) roster.Upstream {
	now := d.o.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.board.Leave(now, id)
	if ok {
		return u
	}
	if u, ok = d.board.Find(id); !ok {
		// The other control nodes may know it by a heartbeat that has not arrived here yet.
		u = roster.Upstream{ID: id, State: roster.Gone, StartedMs: now.UnixMilli()}
		d.board.Heartbeat(now, u)
	}
	return u
}

// maxEntries bounds the addresses in one answer.
const maxEntries = 64

func (d *Desk) entries(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	nodes := d.serving(caller, q.Get(d.o.Dialect.Query.DataCentre), q.Get(d.o.Dialect.Query.Region))
	if len(nodes) == 0 {
		plain(w, http.StatusServiceUnavailable, "no entry node is known")
		return
	}
	addresses := make([]string, 0, len(nodes))
	for _, n := range nodes[:min(len(nodes), maxEntries)] {
		addresses = append(addresses, n.Address)
	}
	body, err := d.o.Dialect.EncodeEntries(addresses, d.o.EntryValid)
	if err != nil {
		plain(w, http.StatusInternalServerError, err.Error())
		return
	}
	jsonBody(w, body)
}

func (d *Desk) serving(caller, dataCentre, region string) []roster.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.board.ReadyEntries(d.o.Clock.Now(), caller, dataCentre, region)
}
