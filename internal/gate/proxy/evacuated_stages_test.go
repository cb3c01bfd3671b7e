package proxy

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// Pieces wait in the queue of a region whose upstreams of the service are all evacuated then. Guards against requests that are refused
// although another region can run their pieces, and against pieces that are still called in the evacuated one.
func TestQueuedPiecesLeaveAnEvacuatedRegion(t *testing.T) {
	for _, c := range []struct {
		name               string
		remoteOwner, older bool
	}{{name: "own queue"}, {name: "remote owner", remoteOwner: true}, {"owner knows first", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			called, release := make(chan bool, 100), make(chan bool)
			p := newRegionProxyBeside(t, c.remoteOwner, func(id string, _ *rawup.Conn, r *rawup.Request) bool {
				if id == "prepare-a" && r.URL.Path == proto.Own().Paths.Call {
					called <- true
					<-release
				}
				return false
			})
			var answers []<-chan result
			for i := range 4 {
				answers = append(answers, p.start(p.pieces(p.request("/stages/", fmt.Sprint("id", i)))))
			}
			wait(t, called)
			waitUntil(t, func() bool { return p.queued("prepare", "n") == 6+1 })
			if c.older {
				p.older.Store(p.view.Load())
			}
			p.setUpstreams("prepare", func(u *roster.Upstream) {
				if u.DataCentre == "a" {
					u.State = roster.Draining
				}
			})
			close(release)
			for _, answer := range answers {
				got := wait(t, answer)
				assert.Equal(t, got.status, http.StatusOK, got.body)
			}
			assert.Equal(t, made(p.ups["prepare-a"]), 1)
			assert.Assert(t, made(p.ups["prepare-b"]) > 0)
		})
	}
}

// made returns how many calls to make pieces an upstream got.
func made(up *rawup.Upstream) int {
	n := 0
	for _, r := range up.Requests() {
		if r.URL.Path == proto.Own().Paths.Call {
			n++
		}
	}
	return n
}
