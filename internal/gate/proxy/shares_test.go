package proxy

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// Load: 200 requests are refused at the same moment with the same forecast, and one of them returns. Guards against callers that
// return all together, before there is room, or with a new due time.
func TestReturnsAreSpreadAndKept(t *testing.T) {
	p := newFakePlacers(t, map[string]string{"a": "n"})
	p.view.Services = map[string][]roster.Upstream{"models": {{ID: "engine", Service: "models", DataCentre: "a", State: roster.Ready}}}
	const wait = 800 * time.Millisecond
	var told []time.Duration
	for range 200 {
		x := &exchange{f: p.Forwarder, placement: &placement{}}
		told = append(told, x.refuseForRoom(wait).retryAfter)
		assert.Equal(t, x.unsentResult(), engine.Refused)
	}
	slices.Sort(told)
	assert.Assert(t, told[0] >= wait*3/4 && told[0] < wait*8/10, "%v", told[0])
	assert.Assert(t, told[199] <= wait*5/4 && told[199] > wait*12/10, "%v", told[199])

	q := placeRequest{Service: "models", Region: "n", Request: &engine.Request{
		Parts: []engine.Part{{ID: "own", Tokens: 10}}, Prompt: 10, Due: 2 * time.Second, Team: "a", DataCentre: "a",
	}}
	first := p.placeLocally(q)
	p.updateTicket(placeRequest{Service: "models", Region: "n", Ticket: first.Ticket, Result: engine.Refused})
	q.Request.Due = time.Minute
	again := p.placeLocally(q)
	assert.Assert(t, again.ID != "" && again.Due <= 2*time.Second, "%+v", again)
}

// Guards against refusals for a team's share that do not say so.
func TestRefusalsForTheShareSaySo(t *testing.T) {
	p := newFakePlacers(t, map[string]string{"a": "n"})
	counted := 0
	p.o.Metrics.OverShare = func() { counted++ }
	x := &exchange{f: p.Forwarder, placement: &placement{forecast: engine.Forecast{OverShare: true}}}
	assert.Equal(t, x.refuseForRoom(time.Second).reason, "team is above its share of the room")
	assert.Equal(t, counted, 1)
}

// Guards against requests that reach the placer without the names between which room is shared.
func TestThePlacerLearnsTeamAndDataCentre(t *testing.T) {
	p := newFakePlacers(t, map[string]string{"a": "n"})
	x := &exchange{f: p.Forwarder, r: httptest.NewRequest(http.MethodPost, "/", nil), table: &conf.Table{}, route: &conf.Route{}, team: &conf.Team{Name: "search"}}
	var got placeRequest
	r := x.engineRequest()
	assert.NilError(t, cbor.Unmarshal(encodePlaceRequest(placeRequest{Request: &r}), &got))
	assert.Equal(t, got.Request.Team, "search")
	assert.Equal(t, got.Request.DataCentre, "a")
}
