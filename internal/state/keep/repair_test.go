package keep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/state/raft"
)

func voter(id string, silent time.Duration) Peer {
	return Peer{Member: raft.Member{ID: id}, Silent: silent}
}

func learner(id string, lag uint64) Peer {
	return Peer{Member: raft.Member{ID: id, Learner: true}, Lag: lag}
}

// Guards against a group that stays short of a voter after the loss of a disk or a VM, and against a repair that itself
// costs the majority.
func TestDecide(t *testing.T) {
	lost := voter("lost", 0)
	lost.Lost = true
	dead := learner("dead", 0)
	dead.Silent = time.Minute
	for _, c := range []struct {
		name   string
		peers  []Peer
		voters int
		kind   raft.ChangeKind
		member string
	}{
		{"complete", []Peer{voter("b", 0), voter("c", 0)}, 5, 0, ""},
		{"silent voter without a substitute stays", []Peer{voter("b", 0), voter("c", time.Hour)}, 3, 0, ""},
		{"silent voter makes room for a substitute", []Peer{voter("b", 0), voter("c", time.Hour), learner("d", 0)}, 3, raft.Remove, "c"},
		{"substitute gets the free vote", []Peer{voter("b", 0), learner("d", 0)}, 3, raft.Promote, "d"},
		{"substitute that lags waits", []Peer{voter("b", 0), learner("d", 999)}, 3, 0, ""},
		{"voter whose folder is gone is removed at once", []Peer{voter("b", 0), lost}, 3, raft.Remove, "lost"},
		{"two more make five", []Peer{voter("b", 0), voter("c", 0), learner("d", 0), learner("e", 0)}, 5, raft.Promote, "d"},
		{"the fourth is followed by the fifth", []Peer{voter("b", 0), voter("c", 0), voter("d", 0), learner("e", 0)}, 5, raft.Promote, "e"},
		{"a fourth alone stays without a vote", []Peer{voter("b", 0), voter("c", 0), learner("d", 0)}, 5, 0, ""},
		{"a short interruption changes nothing", []Peer{voter("b", time.Second), voter("c", 0), learner("d", 0)}, 3, 0, ""},
		{"a learner that is gone is removed", []Peer{voter("b", 0), voter("c", 0), dead}, 3, raft.Remove, "dead"},
	} {
		change, ok := Decide(c.peers, c.voters)
		assert.Equal(t, ok, c.member != "", c.name)
		assert.Equal(t, change.Member.ID, c.member, c.name)
		if ok {
			assert.Equal(t, change.Kind, c.kind, c.name)
		}
	}
}
