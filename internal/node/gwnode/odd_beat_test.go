package gwnode

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/roster"
)

// Guards against one odd heartbeat of another writer that ends the processes which read the list of upstreams, or keeps them from
// following it, and against a departure under such an id.
func TestOddHeartbeatChangesNothing(t *testing.T) {
	f := newFleet(t, 83)
	p := f.startSmallest()
	base := "http://" + f.at(1, controlPort) + "/v1/traffic/upstreams/"
	odd := roster.Upstream{Service: "desk", Address: "127.0.0.1:99999", DataCentre: "a", State: roster.Ready, StartedMs: 9, Sequence: 1}
	status, _ := f.do("PUT", base+"odd", odd)
	assert.Equal(t, status, 400, "a port out of range")
	odd.Address = f.up.Address
	status, _ = f.do("PUT", base+"a%0d%0aX-Other:%201", odd)
	assert.Equal(t, status, 400, "an id that is no header")
	status, _ = f.do("DELETE", base+"a%0d%0aX-Other:%201", nil)
	assert.Equal(t, status, 400, "an id that is no header")
	for name, text := range map[string]string{
		"deep": strings.Repeat("[", 1<<20), "deep field": `{"service":` + strings.Repeat(`{"a":`, 1<<18), "number": `{"sequence":1e999}`,
	} {
		assert.Equal(t, putText(t, base+"odd", text), 400, name)
	}
	assert.Equal(t, len(p.poller.View().Services["desk"]), 1)
	assert.Equal(t, f.request(11, "/x/"), 200)
	f.eventually("the list is followed", func() bool {
		return f.beat(1, roster.Draining, 2) == 200 && f.request(11, "/x/") == 503
	})
}

func putText(t *testing.T, url, text string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, strings.NewReader(text))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}
