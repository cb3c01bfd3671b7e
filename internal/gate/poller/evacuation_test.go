package poller

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/evac"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

func evacuation(tell Reply, version uint64, dataCentres ...string) Reply {
	tell.Evacuations = &evac.Set{Version: version, DataCentres: dataCentres}
	return tell
}

func upstreamIn(dataCentre string, sequence int64) Reply {
	tell := upstream(roster.Ready, sequence, false)
	tell.Delta.Upstreams[0].DataCentre = dataCentre
	return tell
}

// Guards against an evacuation that a later record, an older set or an answer without a set takes back, and against upstreams that
// stay without work after the revocation.
func TestUpstreamsOfAnEvacuatedDataCentreAreShownAsDraining(t *testing.T) {
	f := newTestPoller()
	f.tell(t0, "a", upstreamIn("dc", 1))
	f.tell(t0, "a", evacuation(Reply{}, 7, "dc"))
	assert.Equal(t, f.state(t).State, roster.Draining)
	f.tell(t0, "a", upstreamIn("dc", 2))
	f.tell(t0, "b", evacuation(Reply{Sure: true}, 6))
	f.tell(t0, "b", Reply{Sure: true})
	assert.Equal(t, f.state(t).State, roster.Draining)
	f.tell(t0, "b", evacuation(Reply{}, 9))
	assert.Equal(t, f.state(t).State, roster.Ready)
	f.tell(t0, "a", evacuation(Reply{}, 12, "other"))
	assert.Equal(t, f.state(t).State, roster.Ready)
}

// Guards against a view that shows the first configuration, with which the node serves, before the evacuation of the same answer.
func TestFirstConfigurationComesWithTheEvacuation(t *testing.T) {
	f := newTestPoller()
	f.tell(t0, "b", upstreamIn("dc", 1))
	f.o.Changed = func(v *View) {
		assert.Equal(t, v.Table != nil, v.Evacuations.Contains("dc"))
	}
	f.take(t0, f.sources["a"], followAll, evacuation(withText(Reply{Sure: true}, 5, `{"version":5}`), 7, "dc"))
	assert.Assert(t, f.View().Table != nil)
	assert.Equal(t, f.state(t).State, roster.Draining)
}

// Guards against a question that names no version: each answer would carry the set, 1,200 times a second with 300 entry nodes.
func TestQuestionNamesTheEvacuationInForce(t *testing.T) {
	f := newTestPoller()
	f.tell(t0, "a", evacuation(Reply{}, 7, "dc"))
	_, q := f.question(f.sources["b"])
	assert.Equal(t, q.Evacuations, uint64(7))
}

// Guards against a line for each upstream of an evacuated data centre, and against a line for each answer.
func TestEvacuationIsLoggedOnce(t *testing.T) {
	f := newTestPoller()
	f.tell(t0, "a", upstreamIn("dc", 1))
	f.o.Events = event.New(event.Options{Clock: clock.NewFake(t0), Keep: 16})
	for range 2 {
		f.tell(t0, "a", evacuation(Reply{}, 7, "dc"))
		f.tell(t0, "b", evacuation(upstreamIn("dc", 2), 7, "dc"))
	}
	var codes []event.Code
	for _, e := range f.o.Events.Select(event.Filter{}) {
		codes = append(codes, e.Code)
	}
	assert.DeepEqual(t, codes, []event.Code{event.EvacuationInForce})
}
