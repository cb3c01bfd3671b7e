// Package agent runs the machines that tie a process to the others: membership (member), distribution of the
// configuration (spread) and dissemination of upstream state (relay).
//
// One goroutine owns the three machines and delivers events to them in the order of arrival; what they decide is sent
// through a peer.Hub or handed to the callbacks of Options. Readers use the immutable snapshots of Nodes and Service.
//
// Usage:
//
//	a := agent.New(agent.Options{Self: node, Seeds: seeds, Clock: c, Events: log, Activate: entry.SetConfig, ...})
//	hub, err := peer.New(peer.Options{Handle: ... a.Receive ...})
//	a.Start(hub)
//	a.Commit(revision, body) // on control nodes
//	a.Drain(ctx)             // returns once the others know, then a.Leave(); a.Close()
package agent

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/fleet/member"
	"github.com/berylledge/berylledge/internal/fleet/relay"
	"github.com/berylledge/berylledge/internal/fleet/spread"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// Options configure an Agent.
type Options struct {
	Self   member.Node
	Seeds  []string
	Seed   uint64
	Clock  clock.Clock
	Events *event.Log

	// Activate puts a configuration in force. It is called from the agent's goroutine, with rising revisions.
	Activate func(revision uint64, body []byte)
	// Apply takes upstream state that other nodes relayed; nil on a node without the entry role.
	Apply Apply
}

// Apply is what a node does with relayed upstream state. The times are those at which the upstream spoke.
type Apply struct {
	Announce func(at time.Time, a upapi.Announce)
	Renew    func(at time.Time, r upapi.Renew)
	Leave    func(r upapi.Renew)
	Load     func(l upapi.Load)
}

// Agent is a running agent.
type Agent struct {
	o      Options
	hub    *peer.Hub
	inbox  chan func(now time.Time)
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// Owned by the goroutine.
	member  *member.Machine
	spread  *spread.Machine
	relay   *relay.Machine
	address map[string]string
	drained []chan []string
	leaving map[upapi.Renew][]chan struct{} // callers of Left

	nodes   atomic.Pointer[[]member.Node]
	service atomic.Uint32
	dropped atomic.Int64
}

const (
	tickEvery   = 100 * time.Millisecond
	inboxLength = 4096
	// wideRelay is the number of nodes up to which upstream state is relayed to all nodes of the fleet. Above it, nodes of
	// other data centres get summaries only, since the full state would exceed a node's budget of 15 KB/s.
	wideRelay = 16
)

// New returns an agent that has not started.
func New(o Options) *Agent {
	a := &Agent{
		o: o, inbox: make(chan func(time.Time), inboxLength), address: map[string]string{}, leaving: map[upapi.Renew][]chan struct{}{},
		member: member.New(member.Config{Self: o.Self, Seeds: o.Seeds, Seed: o.Seed}),
		spread: spread.New(spread.Config{ID: o.Self.ID, Seed: o.Seed, Control: o.Self.Roles&member.RoleControl != 0}),
		relay:  relay.New(relay.Config{ID: o.Self.ID, DataCentre: o.Self.DataCentre, Region: o.Self.Region, Seed: o.Seed}),
	}
	a.nodes.Store(&[]member.Node{o.Self})
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// Start begins to take part in the fleet.
func (a *Agent) Start(hub *peer.Hub) {
	a.hub = hub
	a.wg.Go(func() {
		now := a.o.Clock.Now()
		a.stepMember(now, member.Start{})
		a.stepSpread(now, spread.Start{})
		a.setPeers(now)
		a.run()
	})
}

// Close ends the agent without telling the others.
func (a *Agent) Close() {
	a.cancel()
	a.wg.Wait()
}

func (a *Agent) run() {
	tick := a.o.Clock.NewTimer(tickEvery)
	defer tick.Stop()
	for {
		select {
		case f := <-a.inbox:
			f(a.o.Clock.Now())
		case <-tick.C():
			now := a.o.Clock.Now()
			a.stepMember(now, member.Tick{})
			a.stepSpread(now, spread.Tick{})
			a.stepRelay(now, relay.Tick{})
			tick.Reset(tickEvery)
		case <-a.ctx.Done():
			return
		}
		a.service.Store(uint32(a.spread.Serve(a.o.Clock.Now())))
	}
}

// do queues work for the goroutine. A full inbox drops it, which the machines treat like a lost message.
func (a *Agent) do(f func(now time.Time)) bool {
	select {
	case a.inbox <- f:
		return true
	default:
		a.dropped.Add(1)
		return false
	}
}

// must queues work that may not be lost.
func (a *Agent) must(f func(now time.Time)) {
	select {
	case a.inbox <- f:
	case <-a.ctx.Done():
	}
}

// Receive takes a message of another process and reports whether its kind belongs to this package.
func (a *Agent) Receive(from string, kind peer.Kind, body []byte) bool {
	var err error
	switch kind {
	case peer.KindMember:
		var m member.Message
		if m, err = member.Decode(body); err == nil {
			a.do(func(now time.Time) { a.stepMember(now, member.Received{Message: m}) })
		}
	case peer.KindSpread:
		var m spread.Message
		if m, err = spread.Decode(body); err == nil {
			a.do(func(now time.Time) { a.stepSpread(now, spread.Received{Message: m}) })
		}
	case peer.KindRelay:
		var m relay.Message
		if m, err = relay.Decode(body); err == nil {
			a.do(func(now time.Time) { a.stepRelay(now, relay.Received{Message: m}) })
		}
	case peer.KindRaft, peer.KindReply, peer.KindPropose, peer.KindEvents, peer.KindStatus, peer.KindQuery, peer.KindOperate,
		peer.KindCrash, peer.KindAskCrash, peer.KindAdmit, peer.KindRoster, peer.KindFollow, peer.KindPieces, peer.KindPlace,
		peer.KindHeld, peer.KindLeaving:
		return false
	}
	if err != nil {
		a.o.Events.Emit(event.PeerMessageRefused, event.F("peer", from), event.F("reason", err))
	}
	return true
}

// Nodes returns the present membership. The slice must not be changed.
func (a *Agent) Nodes() []member.Node { return *a.nodes.Load() }

// Membership is the membership with the nodes that know most of each data centre.
type Membership struct {
	Nodes           []member.Node
	Representatives map[string][]string // ids by data centre
}

// Membership asks the machine for its present knowledge. Unlike Nodes, the revisions in it are up to date.
func (a *Agent) Membership(ctx context.Context) (Membership, error) {
	answer := make(chan Membership, 1)
	ask := func(time.Time) {
		m := Membership{a.member.Nodes(), map[string][]string{}}
		for _, n := range m.Nodes {
			if _, ok := m.Representatives[n.DataCentre]; !ok {
				m.Representatives[n.DataCentre] = a.member.Representatives(n.DataCentre)
			}
		}
		answer <- m
	}
	select {
	case a.inbox <- ask:
	case <-a.ctx.Done():
		return Membership{}, a.ctx.Err()
	case <-ctx.Done():
		return Membership{}, ctx.Err()
	}
	select {
	case m := <-answer:
		return m, nil
	case <-a.ctx.Done():
		return Membership{}, a.ctx.Err()
	case <-ctx.Done():
		return Membership{}, ctx.Err()
	}
}

// Service returns the work that this node may take, judged by its configuration.
func (a *Agent) Service() spread.Service { return spread.Service(a.service.Load()) }

// Dropped returns the number of messages that found the inbox full.
func (a *Agent) Dropped() int64 { return a.dropped.Load() }

// Commit tells a control node's agent that the group has committed a revision.
func (a *Agent) Commit(revision uint64, body []byte) {
	a.must(func(now time.Time) { a.stepSpread(now, spread.Commit{Revision: revision, Body: body}) })
}

// Beat says that this control node knows itself in the majority; see spread.Beat.
func (a *Agent) Beat(stamp uint64) {
	a.must(func(now time.Time) { a.stepSpread(now, spread.Beat{Stamp: stamp}) })
}

// SetStaleAfter sets how long the node serves normal work without news of the control group.
func (a *Agent) SetStaleAfter(d time.Duration) {
	a.must(func(now time.Time) { a.stepSpread(now, spread.SetStaleAfter{D: d}) })
}

// Announced passes an announcement on that an upstream made to this node.
func (a *Agent) Announced(m upapi.Announce) {
	a.do(func(now time.Time) { a.stepRelay(now, relay.Announced{Announce: m}) })
}

// Renewed passes a renewal on.
func (a *Agent) Renewed(m upapi.Renew) {
	a.do(func(now time.Time) { a.stepRelay(now, relay.Renewed{Renew: m}) })
}

// Left passes on that an upstream leaves. It returns nil once all present nodes that this one relays upstream state to know it, and
// otherwise the error of ctx; the others are then told for a while longer.
func (a *Agent) Left(ctx context.Context, m upapi.Renew) error {
	known := make(chan struct{})
	a.must(func(now time.Time) {
		a.leaving[m] = append(a.leaving[m], known)
		a.stepRelay(now, relay.Left{Renew: m})
	})
	select {
	case <-known:
		return nil
	case <-ctx.Done():
	case <-a.ctx.Done():
	}
	a.must(func(time.Time) { a.forgetLeave(m, known) })
	return errors.Newf("not all nodes know that %s leaves", m.ID)
}

// forgetLeave removes a caller of Left that no longer waits.
func (a *Agent) forgetLeave(m upapi.Renew, known chan struct{}) {
	a.leaving[m] = slices.DeleteFunc(a.leaving[m], func(c chan struct{}) bool { return c == known })
	if len(a.leaving[m]) == 0 {
		delete(a.leaving, m)
	}
}

// leaveKnown wakes the callers of Left.
func (a *Agent) leaveKnown(m upapi.Renew) {
	for _, known := range a.leaving[m] {
		close(known)
	}
	delete(a.leaving, m)
}

// Loaded passes a load report on.
func (a *Agent) Loaded(m upapi.Load) {
	a.do(func(now time.Time) { a.stepRelay(now, relay.Loaded{Load: m}) })
}

// Drain tells the others that this node stops and returns the nodes that did not acknowledge it in time.
func (a *Agent) Drain(ctx context.Context) []string {
	done := make(chan []string, 1)
	a.must(func(now time.Time) {
		a.drained = append(a.drained, done)
		a.stepMember(now, member.Drain{})
	})
	select {
	case missing := <-done:
		return missing
	case <-ctx.Done():
		return nil
	}
}

// Leave tells the others that this node has stopped. Nothing else is sent afterwards.
func (a *Agent) Leave() {
	done := make(chan struct{})
	a.must(func(now time.Time) {
		a.stepMember(now, member.Leave{})
		close(done)
	})
	select {
	case <-done:
	case <-a.ctx.Done():
	}
}
