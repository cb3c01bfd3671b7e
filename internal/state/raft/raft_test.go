package raft

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property-based tests; BERYLLEDGE_RUNS sets the number of runs (100 in CI).
func TestMain(m *testing.M) {
	flag.Parse()
	set := func(name, value string) {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	set("rapid.seed", "20261204")
	set("rapid.nofailfile", "true")
	if runs := os.Getenv("BERYLLEDGE_RUNS"); runs != "" {
		set("rapid.checks", runs)
	}
	os.Exit(m.Run())
}

// Guards against lost or reordered committed entries, two leaders in a term and stale reads under message loss,
// duplication, reordering, one-way and full partitions, crashes during a write, wiped disks and membership changes, in
// combination.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 5).Draw(t, "size")
		s := newSimulation(t, size, rapid.Uint64().Draw(t, "seed"))
		s.run(4 * time.Second)
		steps := rapid.IntRange(20, 100).Draw(t, "steps")
		for range steps {
			n := s.pickNode(rapid.IntRange(0, size+1).Draw(t, "node"))
			o := s.pickNode(rapid.IntRange(0, size+1).Draw(t, "other"))
			applyRandomAction(s, n, o, rapid.IntRange(0, 16).Draw(t, "act"))
		}
		s.healAndVerify()
	})
}

func applyRandomAction(s *simulation, n, o *simNode, kind int) {
	switch kind {
	case 0, 1:
		s.propose(n, 1)
	case 2:
		if l := s.leader(); l != nil {
			s.propose(l, 10)
		}
	case 3:
		s.read(n)
	case 4:
		for _, n := range s.nodes {
			s.read(n)
		}
	case 5:
		s.crash(n)
	case 6:
		s.start(n)
	case 7:
		s.wipe(n)
	case 8:
		s.block(n, o)
	case 9: // one-way partition: n receives nothing, but the others receive its messages
		for _, o := range s.nodes {
			s.block(o, n)
		}
	case 10: // full partition, long enough for several elections
		for _, o := range s.nodes {
			s.block(o, n)
			s.block(n, o)
		}
		s.propose(n, 3) // by a leader that can no longer commit
		s.run(5 * time.Second)
	case 11:
		s.lossPercent, s.duplicatePercent = 20, 20
	case 12:
		s.lossPercent, s.duplicatePercent, s.blocked = 0, 0, map[[2]string]bool{}
	case 13:
		s.snapshot(n)
	case 14:
		s.repair()
	case 15:
		s.remove(n)
	case 16:
		s.run(1500 * time.Millisecond)
	}
	if s.rng.IntN(4) == 0 {
		s.run(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
	} else {
		s.run(time.Duration(s.rng.IntN(60)) * time.Millisecond)
	}
}

// Guards against lost entries when a second VM fails right after the first one has been replaced.
func TestSecondMemberLossAfterReplacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3, rapid.Uint64().Draw(t, "seed"))
		s.run(4 * time.Second)
		for round := range 3 {
			l := s.leader()
			s.check(l != nil, "no leader in round %d", round)
			s.propose(l, 20)
			s.run(100 * time.Millisecond)
			s.snapshot(l)
			s.wipe(s.nodes[rapid.IntRange(0, 2).Draw(t, "wiped")])
			for i := 0; s.repair(); i++ {
				s.check(i < 100, "not repaired: %+v", s.state())
				s.run(200 * time.Millisecond)
			}
			second := s.nodes[rapid.IntRange(0, 2).Draw(t, "lost")]
			s.crash(second)
			s.run(5 * time.Second)
			before := s.ackedIndex
			s.check(s.leader() != nil, "no leader after the second loss: %+v", s.state())
			s.propose(s.leader(), 1)
			s.run(time.Second)
			s.check(s.ackedIndex > before, "no commit after the second loss: %+v", s.state())
			s.start(second)
			s.run(2 * time.Second)
		}
		s.healAndVerify()
	})
}

// Guards against two groups formed from overlapping but unequal lists of initial voters.
func TestUnequalBootstrapListsFormNoGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 4, rapid.Uint64().Draw(t, "seed"))
		all := s.nodes[0].bootstrap
		for i, n := range s.nodes {
			list := all[:3]
			if i >= 2 {
				list = all[1:]
			}
			n.m, n.disk, n.writing, n.bootstrap = nil, DurableState{}, nil, list
			s.cluster = ClusterID(0, list)
			s.start(n)
		}
		s.run(20 * time.Second)
		s.check(len(s.leaders) == 0, "leaders elected: %v", s.leaders)
	})
}

// Guards against a leader that continues in a minority, and against a rejoining member that deposes the leader with a
// higher term.
func TestPartitionedMemberNeitherLeadsNorDisrupts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3, rapid.Uint64().Draw(t, "seed"))
		s.run(4 * time.Second)
		old := s.leader()
		s.check(old != nil, "no leader")
		for _, o := range s.nodes {
			s.block(o, old)
			s.block(old, o)
		}
		s.run(1300 * time.Millisecond)
		s.check(old.m.role != Leader, "leader did not step down without a quorum")
		s.run(30 * time.Second)
		term, l := s.leader().m.hardState.Term, s.leader()
		s.check(old.m.hardState.Term < term, "isolated member raised its term")
		s.blocked = map[[2]string]bool{}
		s.run(5 * time.Second)
		s.check(s.leader() == l && l.m.hardState.Term == term, "returning member disrupted the leader")
		s.block(l, old) // old no longer hears the leader, and its log is as new as all others
		s.run(5 * time.Second)
		s.check(s.leader() == l && l.m.hardState.Term == term, "member that does not hear the leader disrupted it")
	})
}

// Guards against a membership change that overlaps an uncommitted one, and against invalid ones: promoting a member that
// is no learner, or adding a member twice.
func TestMembershipChangesAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3, rapid.Uint64().Draw(t, "seed"))
		s.run(4 * time.Second)
		l := s.leader()
		reason := func(c Change) Reason {
			for _, a := range l.m.Step(s.now, ChangeMembers{ID: 1 << 40, Change: c}) {
				if f, ok := a.(ProposalFailed); ok {
					return f.Reason
				}
			}
			return ReasonNone
		}
		s.check(reason(Change{Kind: Promote, Member: Member{ID: "x"}}) == ReasonInvalid, "unknown member promoted")
		s.check(reason(Change{Kind: AddLearner, Member: Member{ID: l.id}}) == ReasonInvalid, "member added twice")
		s.check(reason(Change{Kind: AddLearner, Member: Member{ID: "x"}}) == ReasonNone, "learner refused")
		s.check(reason(Change{Kind: Remove, Member: Member{ID: "x"}}) == ReasonChangePending, "overlapping change")
		for _, n := range s.nodes {
			if n != l {
				s.crash(n)
			}
		}
		s.check(reason(Change{Kind: Promote, Member: Member{ID: "x"}}) == ReasonChangePending, "overlapping change")
	})
}

// Guards against a follower that never catches up: all append messages in its window were lost, and then the log was
// compacted past them. Heartbeats then carried index 0 and were never rejected.
func TestFollowerCatchesUpAfterCompactionPastLostMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3, rapid.Uint64().Draw(t, "seed"))
		s.run(4 * time.Second)
		l := s.leader()
		follower := s.nodes[(l.slot+1)%3]
		s.crash(follower)
		for range rapid.IntRange(1, 5).Draw(t, "batches") {
			s.propose(l, 10)
			s.run(100 * time.Millisecond)
		}
		s.snapshot(l)
		s.start(follower)
		s.run(3 * time.Second)
		s.check(follower.applied == uint64(len(s.committed)), "follower lags: %+v", s.state())
	})
}

// Guards against split votes after all control nodes were killed at once and restarted: the members become candidates
// simultaneously, and no leader is elected within an election timeout.
func TestARestartedGroupHasALeaderWithinAnElectionTimeout(t *testing.T) {
	for _, size := range []int{3, 5, 7, 9} {
		t.Run(fmt.Sprint("members=", size), func(t *testing.T) {
			restarts, late := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, size, rapid.Uint64().Draw(t, "seed"))
				restarts++
				if s.restartAll() > DefaultElectionTimeout {
					late++
				}
			})
			assert.Assert(t, late*20 <= restarts, "%d of %d groups elected no leader within an election timeout", late, restarts)
		})
	}
}
