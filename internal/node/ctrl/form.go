package ctrl

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/state/raft"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

const (
	formEvery    = 200 * time.Millisecond
	helloTimeout = time.Second
	watchEvery   = 200 * time.Millisecond
	beatEvery    = 2 * time.Second
	beatTimeout  = time.Second
)

// run forms or joins the group, proposes the first configuration and then watches the group.
func (n *Node) run() {
	for n.running() == nil {
		if n.form() {
			if err := n.start(); err != nil {
				n.o.Events.Emit(event.ControlFailed, event.F("reason", err))
				return
			}
			break
		}
		if clock.Sleep(n.ctx, n.o.Clock, formEvery) != nil {
			return
		}
	}
	n.wg.Go(n.proposeInitial)
	n.wg.Go(n.watchSuspects)
	n.watch()
}

// form asks the others who they are and takes the identity of a voter or of a joining member; false means: ask again.
func (n *Node) form() bool {
	if len(n.o.Initial) == 0 {
		return n.join(n.o.Join)
	}
	var members []raft.Member
	for _, v := range n.o.Initial {
		if v.Name == n.o.Name {
			members = append(members, n.identity.Load().Member)
			continue
		}
		h, err := n.hello(v.Address)
		if err != nil {
			return false
		}
		if h.Cluster != 0 {
			return n.adopt(h)
		}
		members = append(members, h.Member)
	}
	return n.become(func() error { return n.store.Form(members) })
}

// adopt follows a voter that has formed already: with the same list if it names this folder, else as a new member. The
// second case is a VM whose disk was lost after the group was formed.
func (n *Node) adopt(h Hello) bool {
	own := n.identity.Load().Member.ID
	if slices.ContainsFunc(h.Initial, func(m raft.Member) bool { return m.ID == own }) {
		return n.become(func() error { return n.store.Form(h.Initial) })
	}
	return n.become(func() error { return n.store.Join(h.Cluster) })
}

func (n *Node) join(addresses []string) bool {
	for _, a := range addresses {
		if h, err := n.hello(a); err == nil && h.Cluster != 0 {
			return n.become(func() error { return n.store.Join(h.Cluster) })
		}
	}
	return false
}

func (n *Node) become(f func() error) bool {
	if err := f(); err != nil {
		n.o.Events.Emit(event.ControlFailed, event.F("reason", err))
		return false
	}
	n.keepIdentity()
	return true
}

func (n *Node) hello(address string) (Hello, error) {
	var h Hello
	ctx, cancel := context.WithTimeout(n.ctx, helloTimeout)
	defer cancel()
	body, err := n.o.Hub.Call(ctx, address, peer.KindStatus, nil)
	if err != nil {
		return h, err
	}
	return h, cbor.Unmarshal(body, &h)
}

// proposeInitial brings the first configuration into a new group.
func (n *Node) proposeInitial() {
	if n.o.Config == nil {
		return
	}
	for n.ctx.Err() == nil && n.Revision() == 0 {
		ctx, cancel := context.WithTimeout(n.ctx, beatTimeout)
		body, err := rstate.EncodeCommand(rstate.PutConfig{
			ChangeID: initialChange(n.identity.Load().Cluster), Operator: "settings", Note: "first configuration",
			Config: n.o.Config, AtMS: n.o.Clock.Now().UnixMilli(),
		})
		if err == nil {
			_, err = n.running().Propose(ctx, body)
		}
		cancel()
		if err == nil {
			return
		}
		_ = clock.Sleep(n.ctx, n.o.Clock, formEvery)
	}
}

// Revision returns the newest committed revision that this member knows.
func (n *Node) Revision() uint64 {
	var rev uint64
	n.table.Query(func(s *rstate.State) {
		if r := s.Latest(); r != nil {
			rev = r.Revision
		}
	})
	return rev
}

// watch keeps the addresses of members, reports changes of the leader, and beats while in the majority.
func (n *Node) watch() {
	var beat time.Time
	for {
		s := n.running().Status()
		n.post.SetAddresses(s.Raft.Members...)
		n.noteLeader(s.Raft)
		if s.Err != nil {
			n.o.Events.Emit(event.ControlFailed, event.F("reason", s.Err))
			return
		}
		if now := n.o.Clock.Now(); !now.Before(beat) && !s.Writing {
			beat = now.Add(beatEvery)
			n.beat(s.Raft.Term)
		}
		if clock.Sleep(n.ctx, n.o.Clock, watchEvery) != nil {
			return
		}
	}
}

func (n *Node) noteLeader(s raft.Status) {
	if s.Leader == n.leader {
		return
	}
	n.leader = s.Leader
	n.o.Events.Emit(event.LeaderChanged, event.F("leader", Name(s.Leader)), event.F("term", s.Term))
}

// Name returns the node's name in a member id.
func Name(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[:i]
	}
	return id
}

// beat proves by a linearizable read that this member is in the majority. The stamp grows over leaders, because the term
// is in its upper half, and under one leader with the seconds.
func (n *Node) beat(term uint64) {
	ctx, cancel := context.WithTimeout(n.ctx, beatTimeout)
	defer cancel()
	if n.running().Read(ctx, func() {}) == nil {
		n.o.Beat(term<<32 | uint64(n.o.Clock.Now().Unix())&0xffffffff)
	}
}
