package quorum

import (
	"slices"
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

// Guards, over all groups of up to 6 other members, against a change of the members that costs a majority that was there:
// the voters that answer must be able to commit it, even if a member that gets its vote has died since it last answered.
// Guards also against changes without end.
func TestEachChangeLeavesAMajority(t *testing.T) {
	const others, most = 6, 7
	lost := voter("", 0)
	lost.Lost = true
	kinds := []Peer{voter("", 0), voter("", time.Minute), lost, learner("", 0), learner("", 999), {
		Member: raft.Member{Learner: true}, Silent: time.Minute,
	}}
	var try func(peers []Peer, kind int)
	try = func(peers []Peer, kind int) {
		for _, voters := range []int{1, 3, 5, most} {
			checkChanges(t, peers, voters)
		}
		if len(peers) == others {
			return
		}
		for k := kind; k < len(kinds); k++ {
			p := kinds[k]
			p.ID = string(rune('a' + len(peers)))
			try(append(slices.Clone(peers), p), k)
		}
	}
	try(nil, 0)
}

// checkChanges applies one change after the other while the members stay as they are.
func checkChanges(t *testing.T, peers []Peer, voters int) {
	t.Helper()
	start := peers
	peers = slices.Clone(peers)
	for step := range 20 {
		live, have := 1, 1
		for _, p := range peers {
			if p.Learner {
				continue
			}
			have++
			if !p.Lost && p.Silent == 0 {
				live++
			}
		}
		if 2*live <= have {
			return // the leader cannot change anything
		}
		change, ok := Decide(peers, voters)
		if !ok {
			return
		}
		at := slices.IndexFunc(peers, func(p Peer) bool { return p.ID == change.Member.ID })
		switch change.Kind {
		case raft.Promote:
			// A single voter cannot gain a second one without relying on it.
			if have > 1 && 2*live <= have+1 {
				t.Fatalf("%+v, %d voters: after %d changes, promoting %s leaves %d sure voters of %d", start, voters, step, change.Member.ID, live, have+1)
			}
			peers[at].Learner = false
		case raft.Remove:
			if p := peers[at]; !p.Learner && !p.Lost && p.Silent == 0 {
				t.Fatalf("%+v: a voter that answers is removed", start)
			}
			peers = slices.Delete(peers, at, at+1)
		case raft.AddLearner:
			t.Fatalf("%+v: members ask to be added", start)
		}
	}
	t.Fatalf("%+v, %d voters: changes without end", start, voters)
}
