package entry

import (
	_ "embed" // for the chart
	"encoding/json"

	"github.com/berylledge/berylledge/internal/base/chart"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/pkg/caller"
)

//go:embed request.json
var requestChart []byte

// Names in the chart of a request.
const (
	stateRefused  = "refused"
	stateAnswered = "answered"
	stateFailed   = "failed"

	eventAdmitted = "admitted"
	eventRefused  = "refused"
	eventEnded    = "ended"
	eventLastSent = "last_event_sent"
	eventWindow   = "window_passed"

	guardWhole = "whole"
	guardSent  = "sent"

	actionStart    = "start"
	actionRelease  = "release"
	actionKeep     = "keep"
	actionDrop     = "drop"
	actionNoteSent = "note_sent"
)

func loadChart() (*chart.Chart, error) {
	return chart.Load(requestChart, chart.Known{
		Guards:  []string{guardWhole, guardSent},
		Actions: []string{actionStart, actionRelease, actionKeep, actionDrop, actionNoteSent},
	})
}

// move takes a request along its chart and carries out the actions. n.mu is held. An event that the state does not handle
// changes nothing.
func (n *Node) move(r *request, name string) {
	t, ok := n.life.Next(r.state, name, func(guard string) bool {
		if guard == guardSent {
			return r.sent
		}
		return r.whole
	})
	if !ok {
		return
	}
	r.state = t.To
	for _, a := range t.Actions {
		switch a {
		case actionStart:
			n.o.Events.Emit(event.RequestAccepted, event.F("request", r.key.id), event.F("team", r.key.team),
				event.F("rank", r.run.Rank), event.F("pipeline", r.run.Pipeline.Name))
		case actionRelease:
			n.running--
			if t.To == stateRefused {
				delete(n.requests, r.key)
				r.input.Release()
				n.dropAnswer(r)
			}
		case actionKeep:
			r.ended = n.o.Clock.Now()
			n.done = append(n.done, r)
			n.keepAnswer(r)
		case actionNoteSent:
			r.sent = true
		case actionDrop:
			delete(n.requests, r.key)
			n.dropAnswer(r)
		}
	}
	n.idle.Broadcast()
}

// refuseRequest ends a request that was not admitted; a duplicate that waits for its answer gets the refusal too.
func (n *Node) refuseRequest(r *request, ref *caller.Refusal) {
	n.o.Events.Emit(event.RequestRefused, event.F("request", r.key.id), event.F("team", r.key.team),
		event.F("code", ref.Code), event.F("ran", ref.Ran))
	data, _ := json.Marshal(ref) // strings and numbers only
	r.run.Out.Finish(caller.EventError, data)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.move(r, eventRefused)
}

// finished reports whether the stages have ended.
func (r *request) finished() bool { return !r.ended.IsZero() }

// waiting reports whether the last event of a finished request has not been sent to a caller.
func (r *request) waiting() bool { return r.state == stateAnswered || r.state == stateFailed }
