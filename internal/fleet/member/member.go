// Package member keeps the membership of the entry and control nodes: who they are, which are alive, which are about to
// stop, and which configuration revision each has in force.
//
// Inside a data centre each node probes one other node per period (ping, then indirect pings through others, then a
// suspicion that the suspect can refute with a higher incarnation); changes travel as gossip of bounded size on the
// probes and on separate gossip messages. Between data centres a few representatives of each exchange a digest every
// second and changes at once. A node judges only nodes of its own data centre, so a partition between regions makes
// the remote records stale and never marks the nodes of a whole region as failed.
//
// A Machine is deterministic: it owns no clock, socket or goroutine and draws its random numbers from Config.Seed.
//
// Usage:
//
//	m := member.New(member.Config{Self: member.Node{ID: "e1", Address: "10.0.0.1:7000", DataCentre: "a", Region: "r"}})
//	for _, a := range m.Step(now, member.Start{}) { ... }  // execute each Send
//	m.Step(now, member.Tick{})                             // every 100 ms
//	m.Step(now, member.Received{Message: msg})
//	m.Step(now, member.Drain{})                            // before a planned stop; DrainDone, then Leave, follow
//
// The order of records of one node is (incarnation, state); the higher record wins everywhere, which makes the view
// converge independently of the order and number of deliveries.
package member

import (
	"time"
)

// State is the state of a node. For equal incarnations the higher value wins.
type State uint8

// The states of a node.
const (
	Alive    State = 1 // may be handed out to callers
	Draining State = 2 // serves what it has, is no longer handed out
	Suspect  State = 3 // does not answer probes; may still refute
	Failed   State = 4
	Left     State = 5 // stopped as planned
)

var stateNames = [...]string{"unknown", "alive", "draining", "suspect", "failed", "left"}

// String returns the name of the state as it is used in logs and formats.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

// Present reports whether a node in this state takes part in gossip: it is alive, draining or only suspected.
func (s State) Present() bool { return s >= Alive && s <= Suspect }

// Roles is a set of roles of a node.
type Roles uint8

// The roles of a node.
const (
	RoleEntry   Roles = 1
	RoleControl Roles = 2
)

// Node is one record of the membership.
type Node struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // Unix milliseconds of the start, plus one per refutation
	Address     string `cbor:"3,keyasint,omitempty"`
	DataCentre  string `cbor:"4,keyasint,omitempty"`
	Region      string `cbor:"5,keyasint,omitempty"`
	Roles       Roles  `cbor:"6,keyasint,omitempty"`
	State       State  `cbor:"7,keyasint"`
	Revision    uint64 `cbor:"8,keyasint,omitempty"`  // configuration revision known to be in force there
	Accuser     string `cbor:"9,keyasint,omitempty"`  // in gossip of a suspicion: the node that suspects
	Service     string `cbor:"10,keyasint,omitempty"` // address for callers; empty without the entry role
}

// Hint is the newest knowledge of the control group that travels with all messages.
type Hint struct {
	Stamp    uint64 `cbor:"1,keyasint,omitempty"` // of the control group's newest heartbeat; it only grows
	Revision uint64 `cbor:"2,keyasint,omitempty"` // newest committed configuration revision
	Digest   uint64 `cbor:"3,keyasint,omitempty"` // first 8 bytes of the digest of that revision's body
}

// Lag is a node that has a lower revision in force than the newest one of its data centre.
type Lag struct {
	ID       string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint,omitempty"`
}

// Status is what a representative tells other data centres about its own.
type Status struct {
	Present int       `cbor:"1,keyasint"`           // nodes that are alive, draining or suspected
	Newest  uint64    `cbor:"2,keyasint,omitempty"` // highest revision in force on a node
	Behind  []Lag     `cbor:"3,keyasint,omitempty"` // nodes with a lower revision, at most MaxBehind
	More    int       `cbor:"4,keyasint,omitempty"` // further nodes with a lower revision
	HeardAt time.Time `cbor:"-"`                    // when this node heard it; zero: never
}

// MaxBehind bounds Status.Behind, so that a heartbeat between data centres stays within a few hundred bytes.
const MaxBehind = 16

// Config is the configuration of a Machine. Zero durations and counts mean the default in the comment.
type Config struct {
	Self            Node          // Incarnation 0 means: the time of Start
	Seeds           []string      // addresses of nodes to join through
	Seed            uint64        // of the random numbers
	ProbeEvery      time.Duration // 1 s
	ProbeTimeout    time.Duration // 300 ms: direct ping; the rest of the period is for indirect pings
	IndirectProbes  int           // 3
	SuspicionMin    time.Duration // 3 s with ten nodes; grows with the logarithm of the number of nodes
	GossipEvery     time.Duration // 200 ms
	Fanout          int           // 3
	MaxUpdates      int           // 12 records on a message
	MaxUpdateBytes  int           // 900: a message then fits into one packet of 1,400 bytes
	SyncEvery       time.Duration // 10 s
	ReconnectEvery  time.Duration // 5 s
	BeatEvery       time.Duration // 1 s between data centres
	Representatives int           // 3 per data centre
	ForgetAfter     time.Duration // 10 min: failed and left nodes stay listed
	TombstoneFor    time.Duration // 24 h: their incarnation is remembered against old gossip
	RemoteForget    time.Duration // 1 h: nodes of a data centre that was not heard of
	DrainTimeout    time.Duration // 5 s: DrainDone then names the nodes that did not acknowledge
}

func or[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

func (c Config) withDefaults() Config {
	c.ProbeEvery = or(c.ProbeEvery, time.Second)
	c.ProbeTimeout = or(c.ProbeTimeout, 300*time.Millisecond)
	c.IndirectProbes = or(c.IndirectProbes, 3)
	c.SuspicionMin = or(c.SuspicionMin, 3*time.Second)
	c.GossipEvery = or(c.GossipEvery, 200*time.Millisecond)
	c.Fanout = or(c.Fanout, 3)
	c.MaxUpdates = or(c.MaxUpdates, 12)
	c.MaxUpdateBytes = or(c.MaxUpdateBytes, 900)
	c.SyncEvery = or(c.SyncEvery, 10*time.Second)
	c.ReconnectEvery = or(c.ReconnectEvery, 5*time.Second)
	c.BeatEvery = or(c.BeatEvery, time.Second)
	c.Representatives = or(c.Representatives, 3)
	c.ForgetAfter = or(c.ForgetAfter, 10*time.Minute)
	c.TombstoneFor = or(c.TombstoneFor, 24*time.Hour)
	c.RemoteForget = or(c.RemoteForget, time.Hour)
	c.DrainTimeout = or(c.DrainTimeout, 5*time.Second)
	return c
}

// Event is an input of a Machine.
type Event interface{ event() }

// Start is the first event; it fixes the incarnation and joins through the seeds.
type Start struct{}

// Tick lets time pass; it is due every 100 ms.
type Tick struct{}

// Received is a message from another node.
type Received struct{ Message Message }

// Drain begins a planned stop. DrainDone follows.
type Drain struct{}

// Leave ends it: the node says that it has left and sends nothing else afterwards.
type Leave struct{}

// SetHint is newer knowledge of the control group from a source of this process.
type SetHint struct{ Hint Hint }

// SetRevision says which revision is in force on this node.
type SetRevision struct{ Revision uint64 }

func (Start) event()       {}
func (Tick) event()        {}
func (Received) event()    {}
func (Drain) event()       {}
func (Leave) event()       {}
func (SetHint) event()     {}
func (SetRevision) event() {}

// Action is an output of a Machine.
type Action interface{ action() }

// Send is a message to a node. ID is empty when only the address is known (a seed). Address is empty when the node is
// not in the membership yet; the message then goes over the connection on which the node's last message came, or is
// dropped if there is none.
type Send struct {
	ID      string
	Address string
	Message Message
}

// Changed says that the record of a node changed; Before is 0 for a node that was not known.
type Changed struct {
	Node   Node
	Before State
}

// Forgotten says that a node is no longer listed.
type Forgotten struct{ ID string }

// HintChanged says that the stamp or the revision of the hint grew.
type HintChanged struct {
	Hint Hint
	From string // node whose message brought it; empty for SetHint
}

// PeerRevision says which revision a node of the own data centre has in force; it is sent when that grows.
type PeerRevision struct {
	ID       string
	Revision uint64
}

// Reach says whether a data centre is heard by the majority of the representatives of the own one. The records of a
// data centre out of reach are kept as they were; its nodes should not be handed out.
type Reach struct {
	DataCentre string
	OK         bool
}

// DrainDone says that each present node knows that this one is draining, but for those in Missing: node ids of the own
// data centre, names of other data centres, and node ids there.
type DrainDone struct{ Missing []string }

func (Send) action()         {}
func (Changed) action()      {}
func (Forgotten) action()    {}
func (HintChanged) action()  {}
func (PeerRevision) action() {}
func (Reach) action()        {}
func (DrainDone) action()    {}
