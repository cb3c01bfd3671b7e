package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/state/raft"
	"github.com/berylledge/berylledge/internal/state/store"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// run forms or finds the group, then repairs it while this member leads it, and asks to be added while it has no leader.
// After a failed write it opens the folder again: the disk may have refused the write for a while only. The state is then
// what the disk holds, and nothing that was not synced had been acknowledged.
func (m *Member) run() {
	for m.ctx.Err() == nil {
		if m.group.Load() == nil && !m.enter() {
			_ = clock.Sleep(m.ctx, m.o.Clock, formEvery)
			continue
		}
		err := m.attend()
		if m.ctx.Err() != nil {
			return
		}
		m.o.Events.Emit(event.ControlFailed, event.F("reason", err))
		if g := m.group.Swap(nil); g != nil {
			_ = g.Close() // returns the error that was reported
		}
		m.reopen()
	}
}

// enter starts the member if it belongs to a group, after finding one if it does not.
func (m *Member) enter() bool {
	if m.store.Identity.Cluster == 0 && !m.form() {
		return false
	}
	err := m.start()
	if err != nil {
		m.o.Events.Emit(event.ControlFailed, event.F("reason", err))
		m.reopen()
	}
	return err == nil
}

// reopen opens the folder again until the disk allows it. A damaged folder is replaced.
func (m *Member) reopen() {
	_ = m.store.Close() // its error, if any, was reported by the write that failed
	for m.ctx.Err() == nil {
		err := m.openFolder()
		var corrupt *store.CorruptError
		if errors.As(err, &corrupt) {
			err = m.replaceFolder(err)
		}
		if err == nil {
			return
		}
		m.o.Events.Emit(event.ControlFailed, event.F("reason", err))
		_ = clock.Sleep(m.ctx, m.o.Clock, reopenPause)
	}
}

// reopenPause is the time between two attempts to use a disk that fails.
const reopenPause = 500 * time.Millisecond

// form takes the identity of an initial voter or of a member that joins; false means: try again.
func (m *Member) form() bool {
	seeds := m.o.Seeds()
	if m.o.FirstStart && slices.Contains(seeds, m.o.Address) {
		return m.formWith(seeds)
	}
	for _, a := range m.Addresses() {
		if h, err := m.ask(a); err == nil && h.Cluster != 0 {
			m.learn(h.Members)
			return m.adopt(h)
		}
	}
	return false
}

// formWith forms the group of the seeds once all have answered. The first election then needs all of them (package raft).
func (m *Member) formWith(seeds []string) bool {
	var members []raft.Member
	for _, a := range slices.Sorted(slices.Values(seeds)) {
		if a == m.o.Address {
			members = append(members, m.identity.Load().Member)
			continue
		}
		h, err := m.ask(a)
		if err != nil {
			return false
		}
		if h.Cluster != 0 {
			m.learn(h.Members)
			return m.adopt(h)
		}
		members = append(members, h.Member)
	}
	return m.become(func() error { return m.store.Form(members) })
}

// adopt follows a member of a formed group: with its list of initial voters if this folder is in it, else as a new member.
func (m *Member) adopt(h Hello) bool {
	own := m.identity.Load().Member.ID
	if slices.ContainsFunc(h.Initial, func(v raft.Member) bool { return v.ID == own }) {
		return m.become(func() error { return m.store.Form(h.Initial) })
	}
	return m.become(func() error { return m.store.Join(h.Cluster) })
}

func (m *Member) become(f func() error) bool {
	if err := f(); err != nil {
		m.o.Events.Emit(event.ControlFailed, event.F("reason", err))
		return false
	}
	m.keepIdentity()
	return true
}

// ask returns who runs at an address.
func (m *Member) ask(address string) (Hello, error) {
	var h Hello
	ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
	defer cancel()
	body, err := m.o.Hub.Call(ctx, address, peer.KindStatus, nil)
	if err != nil {
		return h, err
	}
	return h, cbor.Unmarshal(body, &h)
}

// attend watches the group until the member is closed or its disk fails.
func (m *Member) attend() error {
	view := newView()
	var lastLeader string
	var leaderless, asked time.Time
	for clock.Sleep(m.ctx, m.o.Clock, repairEvery) == nil {
		s, _ := m.Status()
		if s.Err != nil {
			return s.Err
		}
		if s.Writing {
			continue // what it says of the other members is too old to act on
		}
		m.learn(s.Raft.Members)
		if s.Raft.Leader != lastLeader {
			lastLeader = s.Raft.Leader
			m.o.Events.Emit(event.LeaderChanged, event.F("leader", lastLeader), event.F("term", s.Raft.Term))
		}
		now := m.o.Clock.Now()
		if s.Raft.Leader != "" {
			leaderless = time.Time{}
		} else if leaderless.IsZero() {
			leaderless = now
		}
		switch {
		case s.Raft.Role == raft.Leader:
			m.repair(view, s.Raft)
		case !leaderless.IsZero() && now.Sub(leaderless) > admitEvery && now.Sub(asked) > admitEvery:
			asked = now
			m.askToBeAdded()
		}
	}
	return m.ctx.Err()
}

// askToBeAdded offers this member to the members that it knows; the leader adds it if it is not in the group.
func (m *Member) askToBeAdded() {
	body, err := cbor.Marshal(m.identity.Load().Member)
	if err != nil { // a struct of strings can always be encoded
		panic(err)
	}
	for _, a := range m.Addresses() {
		m.wg.Go(func() {
			ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
			defer cancel()
			// An address that does not answer is asked again in the next round.
			if reply, err := m.o.Hub.Call(ctx, a, peer.KindAdmit, body); err == nil {
				var members []raft.Member
				if cbor.Unmarshal(reply, &members) == nil {
					m.learn(members)
				}
			}
		})
	}
}

// admit adds a member that asks for it, on the leader. It answers with the members that it knows.
func (m *Member) admit(ctx context.Context, body []byte) ([]byte, error) {
	var asking raft.Member
	if err := cbor.Unmarshal(body, &asking); err != nil {
		return nil, err
	}
	g := m.group.Load()
	if g == nil {
		return nil, errNotFormed
	}
	s := g.Status().Raft
	if s.Role != raft.Leader {
		return cbor.Marshal(s.Members)
	}
	if slices.ContainsFunc(s.Members, func(v raft.Member) bool { return v.ID == asking.ID }) {
		return cbor.Marshal(s.Members)
	}
	m.learn([]raft.Member{asking})
	ctx, cancel := context.WithTimeout(ctx, changeWait)
	defer cancel()
	err := m.change(ctx, raft.Change{Kind: raft.AddLearner, Member: asking})
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(s.Members)
}

func (m *Member) change(ctx context.Context, c raft.Change) error {
	g := m.group.Load()
	if g == nil {
		return errNotFormed
	}
	err := g.ChangeMembers(ctx, c)
	if err == nil {
		m.o.Events.Emit(event.MembersChanged, event.F("members", changeText(c)))
	}
	return err
}

func changeText(c raft.Change) string {
	switch c.Kind {
	case raft.AddLearner:
		return "added without a vote: " + c.Member.ID
	case raft.Promote:
		return "given a vote: " + c.Member.ID
	case raft.Remove:
		return "removed: " + c.Member.ID
	}
	return errors.Newf("change %d of %s", c.Kind, c.Member.ID).Error()
}
