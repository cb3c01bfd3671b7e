package proxy

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// Five pieces of a group fail and the one after them succeeds, so that the request ends. Guards against the result that nobody frees: it
// holds memory of the upstream until it expires.
func TestResultsBesideFailedPiecesAreFreed(t *testing.T) {
	const failing = 5
	freed := make(chan string, 100)
	p := newRegionProxy(t, func(id string, c *rawup.Conn, r *rawup.Request) bool {
		if !strings.HasPrefix(id, "prepare") {
			return false
		}
		if r.URL.Path == proto.Own().Paths.Free {
			freed <- string(r.Body)
			return false
		}
		var call struct{ Items []struct{ Piece int } }
		assert.Check(t, json.Unmarshal(r.Body, &call))
		answers := make([]string, len(call.Items))
		for i, item := range call.Items {
			answers[i] = `{"reason":"error"}`
			if item.Piece >= failing {
				answers[i] = `{"handle":"kept"}`
			}
		}
		text := `{"items":[` + strings.Join(answers, ",") + `]}`
		c.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
		return true
	})
	r := p.pieces(p.request("/stages/", "id1"))
	r.Header.Set("Berylledge-Pieces", fmt.Sprintf("%d,1", failing+1))
	got := p.do(r)
	assert.Equal(t, got.status, 503, got.body)
	assert.Assert(t, strings.Contains(wait(t, freed), "kept"))
}
