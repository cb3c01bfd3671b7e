package ctlsrv

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/state/raft"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

const (
	voters = 5
	lone   = 2 // the only control node of its data centre, which is cut off from the others
	// linkLatency is that between control nodes, and from an entry node to those of other data centres.
	linkLatency = 100 * time.Millisecond
)

// Worst cases of raft: a follower notices that its leader is gone after two election timeouts, the leader that it is alone after one
// and a heartbeat, and then some messages elect the next leader.
const (
	followerNotices = 2 * raft.DefaultElectionTimeout
	leaderNotices   = raft.DefaultElectionTimeout + raft.DefaultHeartbeat
	newLeaderAfter  = followerNotices + 8*linkLatency
)

// cutGroup is a group of control nodes without sockets, in a bubble of virtual time.
type cutGroup struct {
	servers   []*Server
	wg        sync.WaitGroup
	cutAt     time.Time
	loneLeads bool
	lossy     bool // the Shares of the lone node in the last interval before the cut are lost
	late      bool // the lone node is not sure until shortly before the cut, so that the entry node begins to follow it about then
}

func newCutGroup() *cutGroup {
	g := &cutGroup{}
	for i := range voters {
		o := Options{Address: fmt.Sprint("c", i), HeartbeatInterval: time.Second, Place: poller.Place{DataCentre: fmt.Sprint("d", i), Region: "r"}}
		epoch := uint64(i + 1)
		g.servers = append(g.servers, &Server{o: o, epoch: epoch, fetching: map[string]bool{}, roster: newRegistry(&o, epoch)})
	}
	return g
}

func (g *cutGroup) reaches(from, to int) bool {
	since := time.Since(g.cutAt)
	if since < 0 {
		return from != lone || !g.lossy || since < -syncInterval
	}
	return from != lone && to != lone
}

// status returns what a control node knows of its group.
func (g *cutGroup) status(i int) groupStatus {
	since := time.Since(g.cutAt)
	current, contact := true, true
	switch {
	case g.loneLeads && i == lone:
		current, contact = since < leaderNotices, since < 0
	case g.loneLeads:
		contact = since < 0 || since >= newLeaderAfter
		current = since < followerNotices || contact
	case i == lone:
		current, contact = since < followerNotices && (!g.late || since > -shareInterval), since < 0
	}
	out := groupStatus{current: current, contact: time.Now(), voters: voters}
	if !contact {
		out.contact = g.cutAt
	}
	for _, s := range g.servers {
		if s != g.servers[i] {
			out.others = append(out.others, s.o.Address)
		}
	}
	return out
}

// run shares the records of a control node as Server.run does.
func (g *cutGroup) run(ctx context.Context, i int, wait time.Duration) {
	if clock.Sleep(ctx, clock.Real(), wait) != nil {
		return
	}
	s := g.servers[i]
	var synced time.Time
	for clock.Sleep(ctx, clock.Real(), shareInterval) == nil {
		now := time.Now()
		due := now.Sub(synced) >= syncInterval
		if due {
			synced = now
		}
		share, changed := s.unshared(now, due)
		if !changed && !due {
			continue
		}
		for to := range g.servers {
			if to != i && g.reaches(i, to) {
				g.wg.Go(func() { g.deliver(ctx, i, to, share) })
			}
		}
	}
}

func (g *cutGroup) deliver(ctx context.Context, from, to int, share roster.SyncMessage) {
	s := g.servers[to]
	if clock.Sleep(ctx, clock.Real(), linkLatency) != nil || !s.mergeShare(time.Now(), share) {
		return
	}
	if clock.Sleep(ctx, clock.Real(), 2*linkLatency) != nil {
		return
	}
	held := g.servers[from].held()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fetching, share.From)
	if g.reaches(from, to) {
		s.roster.ApplySync(time.Now(), held)
	}
}

// Call answers a question of the entry node, which is in the data centre of the lone control node.
func (g *cutGroup) Call(ctx context.Context, address string, _ peer.Kind, body []byte) ([]byte, error) {
	var q poller.Query
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	for i, s := range g.servers {
		if s.o.Address != address {
			continue
		}
		latency := linkLatency
		if i == lone {
			latency = time.Millisecond
		}
		if err := clock.Sleep(ctx, clock.Real(), latency); err != nil {
			return nil, err
		}
		now, group := time.Now(), g.status(i)
		reply := poller.Reply{
			Epoch: s.epoch, Sure: group.current, Place: s.o.Place, Control: append([]string{address}, group.others...), CutOff: s.cutOff(now, group),
		}
		reply.Delta, reply.Apart = s.records(now, &q, group.others)
		answer, err := reply.Encode()
		if err != nil {
			return nil, err
		}
		return answer, clock.Sleep(ctx, clock.Real(), latency)
	}
	return nil, fmt.Errorf("no control node at %s", address)
}

// named reports whether the directory of the first control node names the entry node.
func (g *cutGroup) named() bool {
	s := g.servers[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.roster.ReadyEntries(time.Now(), roster.Caller{DataCentre: g.servers[lone].o.Place.DataCentre, Region: "r"})) > 0
}

// silence returns for how long the directory did not name the entry node in the 10 s after the cut. The seed decides how long before
// it the control nodes shared and the entry node asked.
func (g *cutGroup) silence(t *testing.T, seed uint64) (total time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	within := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
	ctx, cancel := context.WithCancel(t.Context())
	defer g.wg.Wait()
	defer cancel()
	c := clock.Real()
	before := 15*time.Second + within(5*time.Second)
	g.cutAt = time.Now().Add(before)
	for i := range g.servers {
		wait := within(syncInterval)
		g.wg.Go(func() { g.run(ctx, i, wait) })
	}
	p := poller.New(poller.Options{
		Self:  roster.Entry{Node: fmt.Sprint("e", seed), Address: "e", DataCentre: g.servers[lone].o.Place.DataCentre, Region: "r"},
		Seeds: func() []string { return []string{g.servers[lone].o.Address} }, Dialect: proto.Own(), Clock: c,
		Events: event.New(event.Options{Node: "e", Clock: c}), Hub: g, Crashes: deny.New(),
	})
	defer p.Close()
	p.SetReady(true)
	assert.NilError(t, clock.Sleep(ctx, c, before))
	const step = 10 * time.Millisecond
	for range 1000 {
		if !g.named() {
			total += step
		}
		assert.NilError(t, clock.Sleep(ctx, c, step))
	}
	return total
}

// Guards against entry nodes that are not given to callers after the control node that they follow was cut off from its group, since
// they take longer to report to another one than the directory waits: "for 660 ms the directory did not name the entry nodes whose
// control node was cut off 4 s before".
func TestEntryNodeOfACutOffControlNodeStaysNamed(t *testing.T) {
	for _, c := range []struct {
		name   string
		seeds  uint64
		change func(*cutGroup)
	}{
		{"follower", 60, func(*cutGroup) {}},
		{"follower, Shares lost", 60, func(g *cutGroup) { g.lossy = true }},
		{"follower, found at the cut", 200, func(g *cutGroup) { g.late = true }},
		{"leader", 60, func(g *cutGroup) { g.loneLeads = true }},
		{"leader, Shares lost", 60, func(g *cutGroup) { g.loneLeads, g.lossy = true, true }},
	} {
		for seed := range c.seeds {
			t.Run(fmt.Sprint(c.name, "/", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := newCutGroup()
					c.change(g)
					silence := g.silence(t, seed)
					assert.Assert(t, silence == 0, "not named for %v", silence)
				})
			})
		}
	}
}

// Guards against entry nodes that all look for another control node while the group elects a leader, and against one that stays with
// a node of the smaller part.
func TestControlNodeIsCutOffWithoutLeaderAndMajority(t *testing.T) {
	now := time.Unix(1000, 0)
	o := Options{Address: "self", HeartbeatInterval: time.Second}
	for _, c := range []struct {
		voters, heard int // heard: beside this node
		contact       time.Duration
		want          bool
	}{
		{5, 2, time.Hour, false},
		{5, 1, time.Hour, true},
		{5, 1, leaderLostAfter, true},
		{5, 0, leaderLostAfter - 1, false},
		{4, 1, time.Hour, true},
		{3, 1, time.Hour, false},
		{2, 0, time.Hour, true},
		{1, 0, time.Hour, false},
		{0, 0, time.Hour, false},
	} {
		s := &Server{o: o, roster: newRegistry(&o, 1)}
		group := groupStatus{contact: now.Add(-c.contact), voters: c.voters}
		for i := range max(c.voters-1, 0) {
			address := fmt.Sprint("c", i)
			group.others = append(group.others, address)
			at := now.Add(-votersLostAfter)
			if i >= c.heard {
				at = at.Add(-1)
			}
			s.roster.ApplySync(at, roster.SyncMessage{From: address, Epoch: 1, Version: 1})
		}
		assert.Equal(t, s.cutOff(now, group), c.want, "%+v", c)
	}
}
