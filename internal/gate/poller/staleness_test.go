package poller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
)

// Guards against logs that do not tell a followed control node without the newest configuration from one whose bytes do not arrive.
func TestLateConfigurationIsLoggedOnceWithItsCause(t *testing.T) {
	f := newTestPoller()
	f.o.Events = event.New(event.Options{Clock: clock.NewFake(t0), Keep: 16})
	f.tell(t0, "a", withText(Reply{Sure: true}, 7, `{"version":7}`))
	f.sources["b"].told = lookIn
	f.take(t0, f.sources["b"], lookIn, Reply{Sure: true, Version: 9})
	primary := f.sources["a"]
	f.watch(t0.Add(lateAfter-time.Millisecond), primary)
	f.watch(t0.Add(lateAfter), primary)
	f.watch(t0.Add(2*lateAfter), primary)
	late := f.o.Events.Select(event.Filter{Name: "config_late"})
	assert.Equal(t, len(late), 1)
	fields := map[string]string{}
	for _, field := range late[0].Fields {
		fields[field.Name] = field.Value
	}
	assert.DeepEqual(t, fields, map[string]string{
		"revision": "9", "in_force": "7", "age_ms": "1000", "peer": "b", "control": "a", "control_revision": "7", "sure": "true", "arrived": "0",
	})
}
