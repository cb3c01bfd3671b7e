package proxy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/conf"
)

// Guards against a late response whose log line gives no cause, or blames the upstream for a pause after the
// first event. The target is 500 ms and the longest allowed pause 100 ms.
func TestTheLineOfALateStreamSaysWhy(t *testing.T) {
	for _, c := range []struct {
		first, pause time.Duration
		late         string
	}{
		{400 * time.Millisecond, 90 * time.Millisecond, ""},
		{400 * time.Millisecond, 110 * time.Millisecond, "pause"},
		{510 * time.Millisecond, 110 * time.Millisecond, "upstream"},
	} {
		now := clock.NewFake(time.Now())
		up := newPacedUpstream(t)
		s := newTestProxyAt(t, now, func(r *conf.Route) {
			streamRoute(false)(r)
			r.Target, r.Gap = 500, 100
		}, up.Upstream)
		began := up.stream(t, s)
		up.send(t, "") // the request has arrived
		now.Advance(c.first)
		up.send(t, chunk(events(1, 1)))
		body := (<-began).Body
		readText(t, body, events(1, 1))
		now.Advance(c.pause)
		up.send(t, chunk(events(2, 2)))
		readText(t, body, events(2, 2))
		up.send(t, "0\r\n\r\n")
		up.end()
		readText(t, body, "")
		s.server.Close() // waits for the request to end
		lines := s.events.Select(event.Filter{Request: "id1", Name: "forward_finished"})
		assert.Equal(t, len(lines), 1)
		got := map[string]string{}
		for _, f := range lines[0].Fields {
			got[f.Name] = f.Value
		}
		assert.Equal(t, got["late"], c.late)
		assert.Equal(t, got["pause_ms"], fmt.Sprint(c.pause.Milliseconds()))
	}
}
