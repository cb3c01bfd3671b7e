package proto

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/roster"
)

func goodUpstream() roster.Upstream {
	return roster.Upstream{ID: "u1", Service: "desk", Address: "10.0.0.1:80", DataCentre: "a", Slots: 1, State: roster.Ready, StartedMs: 1764979200000, Sequence: 4}
}

// Guards against a heartbeat of another writer that names an upstream to use: each entry node would try to reach it, or send its id in
// a header.
func TestOddHeartbeatNamesNoUpstream(t *testing.T) {
	assert.NilError(t, ValidateHeartbeat(goodUpstream()))
	for name, change := range map[string]func(*roster.Upstream){
		"no id":                    func(u *roster.Upstream) { u.ID = "" },
		"id with a line end":       func(u *roster.Upstream) { u.ID = "a\r\nX-Other: 1" },
		"id with a space":          func(u *roster.Upstream) { u.ID = "a b" },
		"id not in ASCII":          func(u *roster.Upstream) { u.ID = "é" },
		"long id":                  func(u *roster.Upstream) { u.ID = strings.Repeat("a", maxNameBytes+1) },
		"no service":               func(u *roster.Upstream) { u.Service = "" },
		"service with NUL":         func(u *roster.Upstream) { u.Service = "de\x00sk" },
		"data centre of odd bytes": func(u *roster.Upstream) { u.DataCentre = "a\xff" },
		"no data centre":           func(u *roster.Upstream) { u.DataCentre = "" },
		"no address":               func(u *roster.Upstream) { u.Address = "" },
		"no port":                  func(u *roster.Upstream) { u.Address = "10.0.0.1" },
		"port 0":                   func(u *roster.Upstream) { u.Address = "10.0.0.1:0" },
		"port out of range":        func(u *roster.Upstream) { u.Address = "10.0.0.1:65536" },
		"negative port":            func(u *roster.Upstream) { u.Address = "10.0.0.1:-1" },
		"host name":                func(u *roster.Upstream) { u.Address = "host:80" },
		"no state":                 func(u *roster.Upstream) { u.State = 0 },
		"gone":                     func(u *roster.Upstream) { u.State = roster.Gone },
		"negative slots":           func(u *roster.Upstream) { u.Slots = -1 },
		"too many slots":           func(u *roster.Upstream) { u.Slots = 1 << 40 },
		"start too large":          func(u *roster.Upstream) { u.StartedMs = 1 << 60 },
		"negative start":           func(u *roster.Upstream) { u.StartedMs = -1 },
		"sequence too large":       func(u *roster.Upstream) { u.Sequence = 1 << 60 },
		"negative cold time":       func(u *roster.Upstream) { u.ColdMs = -1 },
		"cold for too long":        func(u *roster.Upstream) { u.ColdMs = 600_001 },
	} {
		u := goodUpstream()
		change(&u)
		assert.Assert(t, ValidateHeartbeat(u) != nil, name)
	}
}

// Guards against a handle of a stage upstream that adds a header, or another handle, to the request of a model engine.
func TestOddHandleIsNotSent(t *testing.T) {
	assert.Assert(t, ValidHandle("10.0.0.1:80/5c1e07a2e440"))
	for _, handle := range []string{"", "a,b", "a\r\nX-Other: 1", "a b", strings.Repeat("a", maxNameBytes+1)} {
		assert.Assert(t, !ValidHandle(handle), "%q", handle)
	}
}
