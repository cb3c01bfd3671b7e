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

// run forms or joins the group and then monitors it. After a failed write it reopens the folder, because the fault of the
// disk may be temporary. The state is then what is on the disk; nothing was acknowledged before it was synced.
func (m *Member) run() {
	for m.ctx.Err() == nil {
		if m.node.Load() == nil && !m.joinOrForm() {
			_ = clock.Sleep(m.ctx, m.opts.Clock, formInterval)
			continue
		}
		err := m.monitor()
		if m.ctx.Err() != nil {
			return
		}
		m.opts.Events.Emit(event.ControlFailed, event.F("reason", err))
		if g := m.node.Swap(nil); g != nil {
			_ = g.Close() // returns the error already reported
		}
		m.reopen()
	}
}

// joinOrForm starts the Raft node, after it has joined or formed a group if the folder belongs to none.
func (m *Member) joinOrForm() bool {
	if m.store.Identity.Cluster == 0 && !m.form() {
		return false
	}
	err := m.startNode()
	if err != nil {
		m.opts.Events.Emit(event.ControlFailed, event.F("reason", err))
		m.reopen()
	}
	return err == nil
}

// reopen retries opening the folder until it succeeds. A damaged folder is replaced.
func (m *Member) reopen() {
	_ = m.store.Close() // the failed write already reported its error
	for m.ctx.Err() == nil {
		err := m.openFolder()
		var corrupt *store.CorruptError
		if errors.As(err, &corrupt) {
			err = m.replaceFolder(err)
		}
		if err == nil {
			return
		}
		m.opts.Events.Emit(event.ControlFailed, event.F("reason", err))
		_ = clock.Sleep(m.ctx, m.opts.Clock, reopenInterval)
	}
}

// reopenInterval is the time between two attempts to open the folder on a failing disk.
const reopenInterval = 500 * time.Millisecond

// form sets the identity of an initial voter or of a joining member; false means that it must be retried.
func (m *Member) form() bool {
	seeds := m.opts.Seeds()
	if m.opts.FirstStart && slices.Contains(seeds, m.opts.Address) {
		return m.formFromSeeds(seeds)
	}
	for _, a := range m.Addresses() {
		if h, err := m.queryMember(a); err == nil && h.Cluster != 0 {
			m.addAddresses(h.Members)
			return m.joinGroup(h)
		}
	}
	return false
}

// formFromSeeds forms the group of the seeds once all of them have replied. The first election then needs all of them (see
// package raft).
func (m *Member) formFromSeeds(seeds []string) bool {
	var members []raft.Member
	for _, a := range slices.Sorted(slices.Values(seeds)) {
		if a == m.opts.Address {
			members = append(members, m.identity.Load().Member)
			continue
		}
		h, err := m.queryMember(a)
		if err != nil {
			return false
		}
		if h.Cluster != 0 {
			m.addAddresses(h.Members)
			return m.joinGroup(h)
		}
		members = append(members, h.Member)
	}
	return m.setIdentity(func() error { return m.store.Form(members) })
}

// joinGroup joins a group that is already formed: with its list of initial voters if that contains this folder, else as a
// new member.
func (m *Member) joinGroup(h MemberInfo) bool {
	own := m.identity.Load().Member.ID
	if slices.ContainsFunc(h.Initial, func(v raft.Member) bool { return v.ID == own }) {
		return m.setIdentity(func() error { return m.store.Form(h.Initial) })
	}
	return m.setIdentity(func() error { return m.store.Join(h.Cluster) })
}

func (m *Member) setIdentity(f func() error) bool {
	if err := f(); err != nil {
		m.opts.Events.Emit(event.ControlFailed, event.F("reason", err))
		return false
	}
	m.loadIdentity()
	return true
}

// queryMember returns the identity of the member at an address and what it knows of the group.
func (m *Member) queryMember(address string) (MemberInfo, error) {
	var h MemberInfo
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	body, err := m.opts.Hub.Call(ctx, address, peer.KindStatus, nil)
	if err != nil {
		return h, err
	}
	return h, cbor.Unmarshal(body, &h)
}

// monitor repairs the group while this member leads it, and requests admission while no leader is known. It returns when the
// member is closed or its disk fails.
func (m *Member) monitor() error {
	view := newLivenessTable()
	var lastLeader string
	var leaderless, asked time.Time
	for clock.Sleep(m.ctx, m.opts.Clock, repairInterval) == nil {
		s, _ := m.Status()
		if s.Err != nil {
			return s.Err
		}
		if s.Writing {
			continue // the status of the other members is too old to act on
		}
		m.addAddresses(s.Raft.Members)
		if s.Raft.Leader != lastLeader {
			lastLeader = s.Raft.Leader
			m.opts.Events.Emit(event.LeaderChanged, event.F("leader", lastLeader), event.F("term", s.Raft.Term))
		}
		now := m.opts.Clock.Now()
		if s.Raft.Leader != "" {
			leaderless = time.Time{}
		} else if leaderless.IsZero() {
			leaderless = now
		}
		switch {
		case s.Raft.Role == raft.Leader:
			m.repair(view, s.Raft)
		case !leaderless.IsZero() && now.Sub(leaderless) > admissionRequestInterval && now.Sub(asked) > admissionRequestInterval:
			asked = now
			m.requestAdmission()
		}
	}
	return m.ctx.Err()
}

// requestAdmission sends the identity of this member to all known members. The leader adds it if it is not in the group.
func (m *Member) requestAdmission() {
	body, err := cbor.Marshal(m.identity.Load().Member)
	if err != nil { // cannot happen: a struct of plain values can always be encoded
		panic(err)
	}
	for _, a := range m.Addresses() {
		m.wg.Go(func() {
			ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
			defer cancel()
			// An address that does not reply is tried again in the next round.
			if reply, err := m.opts.Hub.Call(ctx, a, peer.KindAdmit, body); err == nil {
				var members []raft.Member
				if cbor.Unmarshal(reply, &members) == nil {
					m.addAddresses(members)
				}
			}
		})
	}
}

// admit adds the requesting member to the group if this member leads it. The reply lists the members of the group.
func (m *Member) admit(ctx context.Context, body []byte) ([]byte, error) {
	var asking raft.Member
	if err := cbor.Unmarshal(body, &asking); err != nil {
		return nil, err
	}
	g := m.node.Load()
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
	m.addAddresses([]raft.Member{asking})
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	err := m.change(ctx, raft.Change{Kind: raft.AddLearner, Member: asking})
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(s.Members)
}

func (m *Member) change(ctx context.Context, c raft.Change) error {
	g := m.node.Load()
	if g == nil {
		return errNotFormed
	}
	err := g.ChangeMembers(ctx, c)
	if err == nil {
		m.opts.Events.Emit(event.MembersChanged, event.F("members", describeChange(c)))
	}
	return err
}

func describeChange(c raft.Change) string {
	switch c.Kind {
	case raft.AddLearner:
		return "added as learner: " + c.Member.ID
	case raft.Promote:
		return "promoted to voter: " + c.Member.ID
	case raft.Remove:
		return "removed: " + c.Member.ID
	}
	return errors.Newf("change %d of %s", c.Kind, c.Member.ID).Error()
}
