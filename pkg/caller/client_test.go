package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/test/loopip"
)

// vm is an entry VM that answers which one to use.
func vm(t *testing.T, answer func(self string) Entry) string {
	t.Helper()
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(answer(strings.TrimPrefix(s.URL, "http://")))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against requests that are refused by a VM which stops as planned: it names another one that the caller could not reach a
// moment ago, and was used itself instead.
func TestAVMThatStopsIsNotUsedInPlaceOfOneThatWasLost(t *testing.T) {
	lost := loopip.Address(t)
	stops := vm(t, func(string) Entry { return Entry{Address: lost, ValidMS: 2000, Stopping: true} })
	other := vm(t, func(self string) Entry { return Entry{Address: self, ValidMS: 2000} })
	c := New(Options{Seeds: []string{lost, stops, other}, Team: "crew"})
	defer c.Close()
	address, err := c.Entry(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, address, other)
}

// Guards against callers that fail because a VM which was just lost is still named by the others, and against those that have
// nowhere to go because the only other VM stops.
func TestTheAskedVMIsUsedWhileItNamesALostOne(t *testing.T) {
	lost := loopip.Address(t)
	unaware := vm(t, func(string) Entry { return Entry{Address: lost, ValidMS: 2000} })
	c := New(Options{Seeds: []string{lost, unaware}, Team: "crew"})
	defer c.Close()
	address, err := c.Entry(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, address, unaware)

	back := vm(t, func(self string) Entry { return Entry{Address: self, ValidMS: 2000} })
	stops := vm(t, func(string) Entry { return Entry{Address: back, ValidMS: 2000, Stopping: true} })
	c = New(Options{Seeds: []string{stops}, Team: "crew"})
	defer c.Close()
	c.avoid(back)
	address, err = c.Entry(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, address, back, "the VM that stops takes no request any more")
}
