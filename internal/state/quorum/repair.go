package quorum

import (
	"context"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/state/raft"
)

// Times of the repair. A voter that is silent for replaceAfter is replaced only if another member waits for its place, so
// a short interruption costs nothing while the group is complete.
const (
	replaceAfter = 2 * time.Second
	dropAfter    = 20 * time.Second // a member without a vote that does not answer is removed
	maxLag       = 32               // entries that a member may lack when it gets a vote
)

// Peer is what the leader knows of another member.
type Peer struct {
	raft.Member
	Lost   bool          // its address answers under another identity, so its folder is gone
	Silent time.Duration // since it last answered
	Lag    uint64        // entries that it lacks
}

// Decide returns the next change of the members, made by the leader, or false. voters is the number of voters aimed at.
//
// The group is kept at an odd number of voters up to that number: an even one needs a larger majority and bears no more
// losses. A voter that cannot return is removed at once, because it only enlarges the majority. A vote that enlarges the
// majority is given only while the voters that answer suffice without it: the member may have died since it was heard.
func Decide(peers []Peer, voters int) (raft.Change, bool) {
	have, live := 1, 1 // the leader itself
	var waiting []Peer
	for _, p := range peers {
		switch {
		case !p.Learner:
			have++
			if !p.Lost && p.Silent < replaceAfter {
				live++
			}
		case !p.Lost && p.Silent < replaceAfter && p.Lag <= maxLag:
			waiting = append(waiting, p)
		}
	}
	for _, p := range peers {
		if p.Lost || p.Learner && p.Silent > dropAfter {
			return raft.Change{Kind: raft.Remove, Member: p.Member}, true
		}
	}
	if len(waiting) == 0 {
		return raft.Change{}, false
	}
	room := have < voters
	pair := len(waiting) >= 2 && have+2 <= voters && (have == 1 || 2*live > have+1)
	if room && (have%2 == 0 || pair) {
		return raft.Change{Kind: raft.Promote, Member: waiting[0].Member}, true
	}
	for _, p := range peers {
		if !p.Learner && p.Silent > replaceAfter {
			return raft.Change{Kind: raft.Remove, Member: p.Member}, true
		}
	}
	return raft.Change{}, false
}

// view keeps when each member last answered the leader's question for its identity.
type view struct {
	mu    sync.Mutex
	heard map[string]time.Time // by id
	lost  map[string]bool
	busy  map[string]bool // a question is under way
}

func newView() *view {
	return &view{heard: map[string]time.Time{}, lost: map[string]bool{}, busy: map[string]bool{}}
}

// repair asks the other members who they are and makes at most one change.
func (m *Member) repair(v *view, s raft.Status) {
	now := m.o.Clock.Now()
	var peers []Peer
	v.mu.Lock()
	for _, member := range s.Members {
		if member.ID == s.ID {
			continue
		}
		if v.heard[member.ID].IsZero() {
			v.heard[member.ID] = now
		}
		p := Peer{Member: member, Lost: v.lost[member.ID], Silent: now.Sub(v.heard[member.ID])}
		if match := s.Match[member.ID]; match < s.Last {
			p.Lag = s.Last - match
		}
		peers = append(peers, p)
		if !v.busy[member.ID] {
			v.busy[member.ID] = true
			m.wg.Go(func() { m.probe(v, member) })
		}
	}
	v.mu.Unlock()
	change, ok := Decide(peers, m.o.MaxVoters)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, changeWait)
	defer cancel()
	// A change that is refused now is decided again in the next round.
	if m.change(ctx, change) == nil && change.Kind == raft.Remove {
		v.mu.Lock()
		delete(v.heard, change.Member.ID)
		delete(v.lost, change.Member.ID)
		v.mu.Unlock()
	}
}

func (m *Member) probe(v *view, member raft.Member) {
	h, err := m.ask(member.Address)
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.busy, member.ID)
	if err != nil {
		return
	}
	if h.Member.ID == member.ID {
		v.heard[member.ID] = m.o.Clock.Now()
		delete(v.lost, member.ID)
		return
	}
	v.lost[member.ID] = true
}
