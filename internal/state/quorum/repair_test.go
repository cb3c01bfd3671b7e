package quorum

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/state/raft"
)

func voter(id string, silent time.Duration) PeerState {
	return PeerState{Member: raft.Member{ID: id}, SilentFor: silent}
}

func learner(id string, lag uint64) PeerState {
	return PeerState{Member: raft.Member{ID: id, Learner: true}, Lag: lag}
}

// Guards against a group that does not replace a voter after the loss of a disk or a VM, and against a repair that itself
// loses the majority.
func TestNextChange(t *testing.T) {
	lost := voter("lost", 0)
	lost.Lost = true
	dead := learner("dead", 0)
	dead.SilentFor = time.Minute
	for _, c := range []struct {
		name   string
		peers  []PeerState
		voters int
		kind   raft.ChangeKind
		member string
	}{
		{"complete", []PeerState{voter("b", 0), voter("c", 0)}, 5, 0, ""},
		{"silent voter without a substitute stays", []PeerState{voter("b", 0), voter("c", time.Hour)}, 3, 0, ""},
		{"silent voter makes room for a substitute", []PeerState{voter("b", 0), voter("c", time.Hour), learner("d", 0)}, 3, raft.Remove, "c"},
		{"substitute gets the free vote", []PeerState{voter("b", 0), learner("d", 0)}, 3, raft.Promote, "d"},
		{"substitute that lags waits", []PeerState{voter("b", 0), learner("d", 999)}, 3, 0, ""},
		{"voter whose folder is gone is removed at once", []PeerState{voter("b", 0), lost}, 3, raft.Remove, "lost"},
		{"two more make five", []PeerState{voter("b", 0), voter("c", 0), learner("d", 0), learner("e", 0)}, 5, raft.Promote, "d"},
		{"the fourth is followed by the fifth", []PeerState{voter("b", 0), voter("c", 0), voter("d", 0), learner("e", 0)}, 5, raft.Promote, "e"},
		{"a fourth alone stays without a vote", []PeerState{voter("b", 0), voter("c", 0), learner("d", 0)}, 5, 0, ""},
		{"a short interruption changes nothing", []PeerState{voter("b", time.Second), voter("c", 0), learner("d", 0)}, 3, 0, ""},
		{"a learner that is gone is removed", []PeerState{voter("b", 0), voter("c", 0), dead}, 3, raft.Remove, "dead"},
	} {
		change, ok := NextChange(c.peers, c.voters)
		assert.Equal(t, ok, c.member != "", c.name)
		assert.Equal(t, change.Member.ID, c.member, c.name)
		if ok {
			assert.Equal(t, change.Kind, c.kind, c.name)
		}
	}
}

// Guards, over all groups of up to 6 other members, against a membership change that loses an existing majority: the
// reachable voters must be able to commit it, even if a promoted member has failed since its last reply. Guards also
// against endless changes.
func TestEachChangeLeavesAMajority(t *testing.T) {
	const maxPeers, maxVoters = 6, 7
	lost := voter("", 0)
	lost.Lost = true
	kinds := []PeerState{voter("", 0), voter("", time.Minute), lost, learner("", 0), learner("", 999), {
		Member: raft.Member{Learner: true}, SilentFor: time.Minute,
	}}
	var checkGroups func(peers []PeerState, kind int)
	checkGroups = func(peers []PeerState, kind int) {
		for _, voters := range []int{1, 3, 5, maxVoters} {
			checkChanges(t, peers, voters)
		}
		if len(peers) == maxPeers {
			return
		}
		for k := kind; k < len(kinds); k++ {
			p := kinds[k]
			p.ID = string(rune('a' + len(peers)))
			checkGroups(append(slices.Clone(peers), p), k)
		}
	}
	checkGroups(nil, 0)
}

// checkChanges applies the changes of NextChange until there are none, while the state of the members stays the same.
func checkChanges(t *testing.T, peers []PeerState, voters int) {
	t.Helper()
	start := peers
	peers = slices.Clone(peers)
	for step := range 20 {
		liveVoters, voterCount := 1, 1
		for _, p := range peers {
			if p.Learner {
				continue
			}
			voterCount++
			if !p.Lost && p.SilentFor == 0 {
				liveVoters++
			}
		}
		if 2*liveVoters <= voterCount {
			return // the leader cannot change anything
		}
		change, ok := NextChange(peers, voters)
		if !ok {
			return
		}
		at := slices.IndexFunc(peers, func(p PeerState) bool { return p.ID == change.Member.ID })
		switch change.Kind {
		case raft.Promote:
			// A single voter cannot promote a second one without depending on it.
			if voterCount > 1 && 2*liveVoters <= voterCount+1 {
				t.Fatalf("%+v, %d voters: after %d changes, promoting %s leaves %d reachable voters of %d", start, voters, step, change.Member.ID, liveVoters, voterCount+1)
			}
			peers[at].Learner = false
		case raft.Remove:
			if p := peers[at]; !p.Learner && !p.Lost && p.SilentFor == 0 {
				t.Fatalf("%+v: a reachable voter is removed", start)
			}
			peers = slices.Delete(peers, at, at+1)
		case raft.AddLearner:
			t.Fatalf("%+v: unexpected AddLearner; members request their own admission", start)
		}
	}
	t.Fatalf("%+v, %d voters: the changes do not end", start, voters)
}
