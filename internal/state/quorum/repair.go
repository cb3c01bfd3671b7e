package quorum

import (
	"context"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/state/raft"
)

// Limits of the repair. A voter that does not reply for replaceAfter is removed only if a learner can replace it, so a short
// interruption changes nothing in a group without spare members.
const (
	replaceAfter       = 2 * time.Second
	removeLearnerAfter = 20 * time.Second // a learner that does not reply for this long is removed
	maxPromoteLag      = 32               // maximum number of entries that a learner may lack when it is promoted
)

// PeerState is the leader's view of another member.
type PeerState struct {
	raft.Member
	Lost      bool          // its address replies with another identity, so its folder is gone
	SilentFor time.Duration // time since its last reply
	Lag       uint64        // number of log entries that it lacks
}

// NextChange returns the next membership change that the leader should make; false means none.
//
// The number of voters is kept odd, up to maxVoters: an even number needs a larger majority and tolerates no more failures.
// A voter that cannot return is removed at once, because it only enlarges the majority. A promotion that enlarges the
// majority is made only while the reachable voters form that majority without the promoted member, which may have failed
// since its last reply.
func NextChange(peers []PeerState, maxVoters int) (raft.Change, bool) {
	voterCount, liveVoters := 1, 1 // the leader itself
	var promotable []PeerState
	for _, p := range peers {
		switch {
		case !p.Learner:
			voterCount++
			if !p.Lost && p.SilentFor < replaceAfter {
				liveVoters++
			}
		case !p.Lost && p.SilentFor < replaceAfter && p.Lag <= maxPromoteLag:
			promotable = append(promotable, p)
		}
	}
	for _, p := range peers {
		if p.Lost || p.Learner && p.SilentFor > removeLearnerAfter {
			return raft.Change{Kind: raft.Remove, Member: p.Member}, true
		}
	}
	if len(promotable) == 0 {
		return raft.Change{}, false
	}
	belowMax := voterCount < maxVoters
	promotePair := len(promotable) >= 2 && voterCount+2 <= maxVoters && (voterCount == 1 || 2*liveVoters > voterCount+1)
	if belowMax && (voterCount%2 == 0 || promotePair) {
		return raft.Change{Kind: raft.Promote, Member: promotable[0].Member}, true
	}
	for _, p := range peers {
		if !p.Learner && p.SilentFor > replaceAfter {
			return raft.Change{Kind: raft.Remove, Member: p.Member}, true
		}
	}
	return raft.Change{}, false
}

// livenessTable records when each member last replied to a probe, and whether its address replied with another identity.
type livenessTable struct {
	mu        sync.Mutex
	lastReply map[string]time.Time // by id
	lost      map[string]bool
	probing   map[string]bool // a probe is outstanding
}

func newLivenessTable() *livenessTable {
	return &livenessTable{lastReply: map[string]time.Time{}, lost: map[string]bool{}, probing: map[string]bool{}}
}

// repair probes the other members and makes at most one membership change.
func (m *Member) repair(v *livenessTable, s raft.Status) {
	now := m.opts.Clock.Now()
	var peers []PeerState
	v.mu.Lock()
	for _, member := range s.Members {
		if member.ID == s.ID {
			continue
		}
		if v.lastReply[member.ID].IsZero() {
			v.lastReply[member.ID] = now
		}
		p := PeerState{Member: member, Lost: v.lost[member.ID], SilentFor: now.Sub(v.lastReply[member.ID])}
		if match := s.Match[member.ID]; match < s.Last {
			p.Lag = s.Last - match
		}
		peers = append(peers, p)
		if !v.probing[member.ID] {
			v.probing[member.ID] = true
			m.wg.Go(func() { m.probe(v, member) })
		}
	}
	v.mu.Unlock()
	change, ok := NextChange(peers, m.opts.MaxVoters)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, membershipChangeTimeout)
	defer cancel()
	// A refused change is reconsidered in the next round.
	if m.change(ctx, change) == nil && change.Kind == raft.Remove {
		v.mu.Lock()
		delete(v.lastReply, change.Member.ID)
		delete(v.lost, change.Member.ID)
		v.mu.Unlock()
	}
}

func (m *Member) probe(v *livenessTable, member raft.Member) {
	h, err := m.queryMember(member.Address)
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.probing, member.ID)
	if err != nil {
		return
	}
	if h.Member.ID == member.ID {
		v.lastReply[member.ID] = m.opts.Clock.Now()
		delete(v.lost, member.ID)
		return
	}
	v.lost[member.ID] = true
}
