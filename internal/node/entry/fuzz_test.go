package entry_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/node/entry"
	"github.com/berylledge/berylledge/internal/test/inmem"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// Guards against a body that crashes an entry node, or that is taken although it is not what the interface describes.
func FuzzBodies(f *testing.F) {
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	n, err := entry.New(entry.Options{
		Node: "f", DataCentre: "a", Region: "r", Address: "127.0.0.1:0", Clock: c,
		Events: event.New(event.Options{Clock: c, Keep: 16}), Ledger: inmem.New(),
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(n.Close)
	n.SetConfig(1, testConfig(), 1)
	paths := []string{caller.PathRequests, upapi.PathAnnounce, upapi.PathRenew, upapi.PathLeave, upapi.PathLoad, upapi.PathCacheEvents}
	f.Add(uint8(0), `{"pipeline":"ask","rank":"urgent","input":"x"}`)
	f.Add(uint8(0), `{"pipeline":"ask","rank":"urgent","deadline_ms":-1}`)
	f.Add(uint8(1), `{"id":"u","incarnation":1,"kind":"engine","address":"127.0.0.1:1","slots":1,"lease_ms":500}`)
	f.Add(uint8(4), `{"id":"u","incarnation":1,"running":-1,"age_ms":-9223372036854775808}`)
	f.Add(uint8(5), `{"id":"u","incarnation":1,"events":[{"seq":1,"prefix":2}]}`)
	f.Fuzz(func(t *testing.T, path uint8, body string) {
		r := httptest.NewRequest(http.MethodPost, paths[int(path)%len(paths)], strings.NewReader(body))
		r.Header.Set(caller.HeaderTeam, "crew")
		w := httptest.NewRecorder()
		n.ServeHTTP(w, r)
		if w.Code == http.StatusInternalServerError {
			t.Fatalf("%s: %s", r.URL.Path, w.Body)
		}
	})
}
