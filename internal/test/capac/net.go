// Package capac measures what the membership, the distribution of the configuration and the relay of upstream state
// cost a node, and derives the capacity of the design from it. It also drives the tests of these three machines.
//
// All nodes run in one goroutine over an in-memory queue of encoded messages with latency, loss, one-way loss,
// partitions, slow nodes and restarts. Time is simulated; equal seeds give equal runs, except for the CPU time and the
// heap, which are those of the process.
//
// Usage:
//
//	n := capac.NewNet(capac.Options{Seed: 1, Layout: capac.Spread(40, 9, 4, 3)})
//	n.Run(30 * time.Second)
//	n.Commit([]byte(`{"format_version":1}`))
//	n.RunUntil(5*time.Second, func() bool { return n.InForceEverywhere(1) })
package capac

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/berylledge/berylledge/internal/fleet/member"
	"github.com/berylledge/berylledge/internal/fleet/relay"
	"github.com/berylledge/berylledge/internal/fleet/spread"
)

// Place is where a node of a layout runs.
type Place struct {
	ID, DataCentre, Region string
	Control                bool
	Disk                   bool
	Runners                int
}

// Spread lays out n nodes over data centres and regions, the first of them, one per data centre in turn, as control
// nodes.
func Spread(n, dataCentres, regions, control int) []Place {
	var out []Place
	for i := range n {
		dc := i % dataCentres
		out = append(out, Place{
			ID: fmt.Sprintf("n%03d", i), DataCentre: fmt.Sprintf("dc%d", dc), Region: fmt.Sprintf("r%d", dc%regions),
			Control: i < control, Disk: i < control,
		})
	}
	return out
}

// Options configure a Net.
type Options struct {
	Seed   uint64
	Layout []Place
	Loss   float64       // share of messages that are lost
	Member member.Config // Self, Seeds and Seed are filled in
	Relay  relay.Config  // the identity and Seed are filled in
	// LinkRate is how many bytes a second pass from one region to another, all nodes together; 0 means any number.
	LinkRate int64
	// StaleAfter is the bound for nodes without news of the control group; 0 means the default.
	StaleAfter time.Duration
}

// Traffic counts messages and encoded bytes.
type Traffic struct{ MessagesIn, MessagesOut, BytesIn, BytesOut int64 }

// Host is one simulated node.
type Host struct {
	Place
	Up      bool
	Slow    time.Duration // added to the handling of each message
	Member  *member.Machine
	Spread  *spread.Machine
	Relay   *relay.Machine
	ByProto map[string]*Traffic
	Drained *member.DrainDone
	// Active lists the revisions that were put in force, over all lives of the node.
	Active []uint64
	// Failures lists the nodes that this one saw change to failed, with the time.
	Failures map[string]time.Time
	// LeftAt lists the times at which this node learned that an upstream leaves, by relay or directly.
	LeftAt map[string]time.Time
	// Summaries is the newest summary of each other data centre.
	Summaries map[string]relay.Summary
	// OutOfReach holds the data centres that this node was told are out of reach.
	OutOfReach map[string]bool
	// Rejections lists the bodies that were refused.
	Rejections []spread.Action
	Suspicions int // records that turned to suspect
	net        *Net
	disk       spread.Restored
	epoch      int
}

// regions names the link from one region to another.
type regions struct{ from, to string }

type delivery struct {
	at    time.Time
	order uint64
	run   func()
}

type queue []delivery

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Net is a set of simulated nodes and the network between them.
type Net struct {
	Now     time.Time
	Hosts   []*Host
	Runners []*Runner
	// Blocked decides which directed links are cut; nil means none.
	Blocked func(from, to *Host) bool
	// Duplicate is the share of messages that arrive a second time, up to 2 s later.
	Duplicate float64
	// Crossed counts the encoded bytes that were sent from one region to another.
	Crossed int64

	opt    Options
	rng    *rand.Rand
	q      queue
	order  uint64
	byID   map[string]*Host
	byAddr map[string]*Host
	links  map[regions]time.Time // when all that was sent so far has passed
	leader bool                  // the control group has a leader; Beat is sent
	body   []byte
	rev    uint64
	stamp  uint64
}

const (
	tickEvery  = 100 * time.Millisecond
	beatEvery  = 2 * time.Second
	sameDC     = 300 * time.Microsecond
	sameRegion = 1200 * time.Microsecond
	otherside  = 25 * time.Millisecond
	diskSync   = 5 * time.Millisecond
)

// NewNet starts all nodes of the layout within the first second.
func NewNet(o Options) *Net {
	n := &Net{
		Now: time.Unix(1_800_000_000, 0), opt: o, rng: rand.New(rand.NewPCG(o.Seed, 1)),
		byID: map[string]*Host{}, byAddr: map[string]*Host{}, links: map[regions]time.Time{}, leader: true,
	}
	for _, p := range o.Layout {
		h := &Host{Place: p, net: n, ByProto: map[string]*Traffic{}, Failures: map[string]time.Time{}}
		h.OutOfReach = map[string]bool{}
		h.LeftAt, h.Summaries = map[string]time.Time{}, map[string]relay.Summary{}
		n.Hosts = append(n.Hosts, h)
		n.byID[p.ID], n.byAddr[addressOf(p.ID)] = h, h
		n.after(time.Duration(n.rng.Int64N(int64(time.Second))), func() { n.Start(h) })
		for i := range p.Runners {
			n.addRunner(h, i)
		}
	}
	n.after(time.Second, n.beat)
	return n
}

func addressOf(id string) string { return "10.20.30." + id[1:] + ":7000" }

// Host returns a node by id.
func (n *Net) Host(id string) *Host { return n.byID[id] }

func (n *Net) after(d time.Duration, f func()) {
	n.order++
	heap.Push(&n.q, delivery{n.Now.Add(d), n.order, f})
}

// Run lets time pass.
func (n *Net) Run(d time.Duration) { n.RunUntil(d, func() bool { return false }) }

// RunUntil lets time pass until the condition holds, which is checked every 20 ms, and returns how long that took; the
// result is d when it never held.
func (n *Net) RunUntil(d time.Duration, cond func() bool) time.Duration {
	begin, check := n.Now, n.Now
	end := n.Now.Add(d)
	for len(n.q) > 0 && !n.q[0].at.After(end) {
		for !check.After(n.q[0].at) {
			if n.Now = check; cond() {
				return n.Now.Sub(begin)
			}
			check = check.Add(20 * time.Millisecond)
		}
		e := heap.Pop(&n.q).(delivery)
		n.Now = e.at
		e.run()
	}
	n.Now = end
	return d
}

// Start begins a life of a node, with what its disk kept.
func (n *Net) Start(h *Host) {
	h.Up = true
	h.epoch++
	h.Drained = nil
	cfg := n.opt.Member
	roles := member.RoleEntry
	if h.Control {
		roles |= member.RoleControl
	}
	cfg.Self = member.Node{
		ID: h.ID, Address: addressOf(h.ID), DataCentre: h.DataCentre, Region: h.Region, Roles: roles,
	}
	cfg.Seed = n.opt.Seed<<16 ^ uint64(h.epoch)
	for _, s := range n.Hosts[:min(3, len(n.Hosts))] {
		cfg.Seeds = append(cfg.Seeds, addressOf(s.ID))
	}
	h.Member = member.New(cfg)
	h.Spread = spread.New(spread.Config{ID: h.ID, Seed: cfg.Seed, Disk: h.Disk, Control: h.Control, StaleAfter: n.opt.StaleAfter})
	rc := n.opt.Relay
	rc.ID, rc.DataCentre, rc.Region, rc.Seed = h.ID, h.DataCentre, h.Region, cfg.Seed
	h.Relay = relay.New(rc)
	h.stepSpread(spread.Start{Restored: h.disk})
	h.stepMember(member.Start{})
	if h.Control && n.rev > 0 {
		h.stepSpread(spread.Commit{Revision: n.rev, Body: n.body})
	}
	n.tick(h, h.epoch)
}

// Stop kills a node without warning.
func (n *Net) Stop(h *Host) { h.Up = false }

func (n *Net) tick(h *Host, epoch int) {
	if !h.Up || h.epoch != epoch {
		return
	}
	h.stepMember(member.Tick{})
	h.stepSpread(spread.Tick{})
	h.stepRelay(relay.Tick{})
	n.after(tickEvery, func() { n.tick(h, epoch) })
}

func (n *Net) beat() {
	if n.leader {
		n.stamp++
		for _, h := range n.Hosts {
			if h.Up && h.Control {
				h.stepSpread(spread.Beat{Stamp: n.stamp})
			}
		}
	}
	n.after(beatEvery, n.beat)
}

// SetLeader says whether the control group has a leader, that is, whether control nodes speak for the group.
func (n *Net) SetLeader(ok bool) { n.leader = ok }

// Commit makes the next revision known to all running control nodes within 30 ms, as the log of the group does.
func (n *Net) Commit(body []byte) uint64 {
	n.rev++
	n.body = body
	rev := n.rev
	for _, h := range n.Hosts {
		if h.Control {
			n.after(time.Duration(n.rng.Int64N(int64(30*time.Millisecond))), func() {
				if h.Up {
					h.stepSpread(spread.Commit{Revision: rev, Body: body})
				}
			})
		}
	}
	return rev
}

// InForceEverywhere reports whether all running nodes have at least this revision.
func (n *Net) InForceEverywhere(rev uint64) bool {
	for _, h := range n.Hosts {
		if h.epoch == 0 || h.Up && h.Spread.InForce() < rev {
			return false
		}
	}
	return true
}

// Converged reports whether each running node sees exactly the running ones as alive.
func (n *Net) Converged() bool {
	up := 0
	for _, h := range n.Hosts {
		if h.epoch == 0 {
			return false
		}
		if h.Up {
			up++
		}
	}
	for _, h := range n.Hosts {
		if !h.Up {
			continue
		}
		alive := 0
		for _, o := range h.Member.Nodes() {
			if o.State == member.Alive {
				if !n.byID[o.ID].Up {
					return false
				}
				alive++
			}
		}
		if alive != up {
			return false
		}
	}
	return true
}

// Drain begins the planned stop of a node.
func (n *Net) Drain(h *Host) { h.stepMember(member.Drain{}) }

// LeaveNode ends it.
func (n *Net) LeaveNode(h *Host) {
	h.stepMember(member.Leave{})
	h.Up = false
}
