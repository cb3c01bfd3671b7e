package admin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/fleet/member"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Timeline is the answer to GET /timeline.
type Timeline struct {
	Events []event.Event `json:"events"` // in the order of their hybrid clocks
	// Processes were asked and answered; the events of Unreached are missing.
	Processes []string    `json:"processes"`
	Unreached []Unreached `json:"unreached"`
}

// filter reads the filter of a request. until and node have no counterpart in event.Filter, so they are applied here.
type filter struct {
	event.Filter
	node  string
	until time.Time
}

func filterOf(r *http.Request) (filter, *Error) {
	q := r.URL.Query()
	f := filter{Filter: event.Filter{
		Request: q.Get("request"), Team: q.Get("team"), Upstream: q.Get("upstream"), Name: q.Get("name"),
	}, node: q.Get("node")}
	for name, t := range map[string]*time.Time{"since": &f.Since, "until": &f.until} {
		if v := q.Get(name); v != "" {
			var err error
			if *t, err = time.Parse(time.RFC3339Nano, v); err != nil {
				return f, fail(CodeBadRequest, name+": "+err.Error())
			}
		}
	}
	return f, nil
}

func (f filter) keep(events []event.Event) []event.Event {
	out := []event.Event{}
	for _, e := range events {
		// Match again: the time is rounded to seconds on its way to another process.
		if f.Match(e) && (f.node == "" || f.node == e.Node) && (f.until.IsZero() || !e.Stamp.Time().After(f.until)) {
			out = append(out, e)
		}
	}
	return out
}

func (a *API) getEvents(r *http.Request) (any, *Error) {
	f, e := filterOf(r)
	if e != nil {
		return nil, e
	}
	return f.keep(a.o.Events.Select(f.Filter)), nil
}

func (a *API) getTimeline(r *http.Request) (any, *Error) {
	f, e := filterOf(r)
	if e != nil {
		return nil, e
	}
	m, err := a.o.Membership(r.Context())
	if err != nil {
		return nil, fail(CodeFailed, err.Error())
	}
	nodes := slices.DeleteFunc(m.Nodes, func(n member.Node) bool {
		return n.State == member.Left || f.node != "" && n.ID != f.node
	})
	var mu sync.Mutex
	out := Timeline{Events: []event.Event{}}
	out.Unreached = each(nodes, func(n member.Node) error {
		events, err := a.eventsOf(r.Context(), n, f.Filter)
		if err == nil {
			mu.Lock()
			defer mu.Unlock()
			out.Events = append(out.Events, f.keep(events)...)
		}
		return err
	})
	out.Processes = reachedOf(nodes, out.Unreached)
	SortEvents(out.Events)
	return out, nil
}

func (a *API) eventsOf(ctx context.Context, n member.Node, f event.Filter) ([]event.Event, error) {
	if n.ID == a.o.Node {
		return a.o.Events.Select(f), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	return call[[]event.Event](ctx, a, n.Address, peer.KindEvents, f)
}

// SortEvents puts events of several processes in the order of their hybrid clocks.
func SortEvents(events []event.Event) {
	slices.SortStableFunc(events, func(x, y event.Event) int {
		switch {
		case x.Stamp.Less(y.Stamp):
			return -1
		case y.Stamp.Less(x.Stamp):
			return 1
		default:
			return strings.Compare(x.Node, y.Node)
		}
	})
}
