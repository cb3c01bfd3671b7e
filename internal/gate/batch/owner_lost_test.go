package batch

import (
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/rendez"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// Load pattern: half of the entry nodes are killed at once, among them several preferred owners of a queue. Guards
// against nodes that each run a queue of their own from then on, and fill the upstreams without knowing of each other
// (incident SHORT).
func TestPiecesReachTheOnlyLiveNode(t *testing.T) {
	const dead = 4
	a, b, _ := newPair(t, answerWithHandles)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := closed.Addr().String()
	assert.NilError(t, closed.Close())
	var owner string
	for _, e := range a.o.View().Entries {
		if e.Peer == b.Self() {
			owner = e.Node
		}
	}
	entries := a.o.View().Entries
	for i := 0; len(entries) < 2+dead; i++ {
		name := fmt.Sprint("dead", i)
		if rendez.Score("s", name) > rendez.Score("s", owner) {
			peer := fmt.Sprint("127.0.0.", 10+i%200, address[len("127.0.0.1"):])
			entries = append(entries, roster.Entry{Node: name, Peer: peer, DataCentre: "a", Region: "n", Ready: true})
		}
	}
	a.o.View().Entries = entries
	made, err := a.Run(t.Context(), "s", "n", jobs(1))
	assert.NilError(t, err)
	assert.Equal(t, made[0].Owner, b.Self())
}
