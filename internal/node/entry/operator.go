package entry

import (
	"slices"
	"strings"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/pkg/fleet"
)

// RequestState is what an operator sees of a request.
type RequestState struct {
	ID         string `json:"id"`
	Team       string `json:"team"`
	Pipeline   string `json:"pipeline"`
	Rank       int    `json:"rank"`
	State      string `json:"state"` // in the chart request.json
	AcceptedMS int64  `json:"accepted_ms"`
	DeadlineMS int64  `json:"deadline_ms"` // Unix time in milliseconds
	Events     int    `json:"events"`
	Bytes      int    `json:"bytes"`
}

// Requests returns the requests with an id, ordered by team: ids are unique in a team only.
func (n *Node) Requests(id string) []RequestState {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []RequestState
	for key, r := range n.requests {
		if key.id != id {
			continue
		}
		events, bytes := r.run.Out.Len()
		out = append(out, RequestState{
			ID: key.id, Team: key.team, Pipeline: r.run.Pipeline.Name, Rank: r.run.Rank, State: r.state,
			AcceptedMS: r.run.Accepted.UnixMilli(), DeadlineMS: r.run.Deadline.UnixMilli(), Events: events, Bytes: bytes,
		})
	}
	slices.SortFunc(out, func(a, b RequestState) int { return strings.Compare(a.Team, b.Team) })
	return out
}

// CancelRequest ends a request by an operator's order and reports whether it is known.
func (n *Node) CancelRequest(team, id string) bool {
	q := n.find(requestKey{team, id})
	if q == nil {
		return false
	}
	q.cancel()
	n.o.Events.Emit(event.RequestCancelled, event.F("request", id), event.F("team", team))
	return true
}

// Config returns the configuration in force, nil before the first. It must not be changed.
func (n *Node) Config() *fleet.Config {
	if c := n.config.Load(); c != nil {
		return c.cfg
	}
	return nil
}
