// Package spread replicates configuration revisions from the control group to all nodes and tracks how long a node has
// been out of contact with the control group.
//
// The control group's log of revisions is the only source. The number and digest of the newest revision travel as
// gossip (internal/fleet/member); a node that learns of a newer one fetches the difference from a node of its own data
// centre that has it, from one of the data centre's representatives, which hold the request until they can answer it, or
// from a control node. A body is activated only after its digest was verified and, on a node with a disk, after it was
// persisted. A revision is never replaced by a lower one.
//
// Usage:
//
//	m := spread.New(spread.Config{ID: "e1", Seed: 1, Disk: true})
//	m.Step(now, spread.Start{Restored: fromDisk})
//	m.Step(now, spread.SetPeers{...})                  // whenever the membership changes
//	m.Step(now, spread.Hint{...})                      // from member.HintChanged
//	m.Step(now, spread.Tick{})                         // every 100 ms
//	if m.Serve(now) != spread.ServeAll { ... }
//
// Actions: Send goes to a peer; Persist is answered by Persisted; Activate makes a revision active (and is passed to
// member.SetRevision); Publish is passed to member.SetHint.
package spread

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Service is the class of requests that a node may serve, as far as its configuration decides it.
type Service uint8

// Service levels. Requests that need a claim are admitted by the claim instead.
const (
	ServeNone   Service = iota // no revision, or not yet known whether the revision is the newest
	ServeUrgent                // no contact with the control group for longer than StaleAfter
	ServeAll
)

// Sum is the SHA-256 digest of a configuration body.
type Sum = [sha256.Size]byte

// Short returns the first 64 bits of a digest, which gossip carries in a Hint.
func Short(s Sum) uint64 { return binary.BigEndian.Uint64(s[:8]) }

// Config is the configuration of a Machine. Zero values mean the default in the comment.
type Config struct {
	ID           string
	Seed         uint64
	Disk         bool          // Persist is answered by Persisted; false: no state survives a restart
	Control      bool          // gets Commit and Beat from the control group
	StaleAfter   time.Duration // 10 min
	FetchTimeout time.Duration // 700 ms, grows from the fourth attempt
	CheckEvery   time.Duration // 10 s: comparison with a random peer
	AskEvery     time.Duration // 5 s: interval of KindAsk requests to a control node
	History      int           // 64 revisions whose differences are kept
	HistoryBytes int           // 256 KiB for them
}

func (c Config) withDefaults() Config {
	if c.StaleAfter == 0 {
		c.StaleAfter = 10 * time.Minute
	}
	if c.FetchTimeout == 0 {
		c.FetchTimeout = 700 * time.Millisecond
	}
	if c.CheckEvery == 0 {
		c.CheckEvery = 10 * time.Second
	}
	if c.AskEvery == 0 {
		c.AskEvery = 5 * time.Second
	}
	if c.History == 0 {
		c.History = 64
	}
	if c.HistoryBytes == 0 {
		c.HistoryBytes = 256 << 10
	}
	return c
}

// Restored is the state read from disk at startup. The zero value means that there is none.
type Restored struct {
	Revision uint64
	Body     []byte
	Digest   Sum
	HeardAt  time.Time // last contact with the control group
}

// Event is an input of a Machine.
type Event interface{ event() }

// Start is the first event. A restored body that does not match its digest is rejected.
type Start struct{ Restored Restored }

// Tick runs timers; it is due every 100 ms.
type Tick struct{}

// Received is a message from another node.
type Received struct{ Message Message }

// SetPeers replaces the peer lists, which exclude the node itself.
type SetPeers struct {
	Local   []string // nodes of the same data centre
	Leads   []string // representatives of the data centre, which poll control nodes
	Lead    bool     // whether this node is a representative
	Control []string // control nodes, nearest first
}

// Hint is the newest heartbeat stamp and revision received through gossip.
type Hint struct {
	Stamp    uint64
	Revision uint64
	Digest   uint64 // Short of the digest of that revision
	From     string // node that sent it, if any
}

// PeerHas says that a node of the same data centre has activated a revision.
type PeerHas struct {
	ID       string
	Revision uint64
}

// Commit is a revision that the control group has committed, on a control node.
type Commit struct {
	Revision uint64
	Body     []byte
}

// Beat is sent on a control node about every 2 s, but only while it knows that a majority of the control group follows
// the same leader. Stamp grows with each beat of the group, also across leaders: the term in the upper bits, a counter
// in the lower ones.
type Beat struct{ Stamp uint64 }

// Persisted reports that a Persist has completed.
type Persisted struct{ Revision uint64 }

// SetStaleAfter changes Config.StaleAfter, since the configuration itself sets it.
type SetStaleAfter struct{ D time.Duration }

func (Start) event()         {}
func (Tick) event()          {}
func (Received) event()      {}
func (SetPeers) event()      {}
func (Hint) event()          {}
func (PeerHas) event()       {}
func (Commit) event()        {}
func (Beat) event()          {}
func (Persisted) event()     {}
func (SetStaleAfter) event() {}

// Action is an output of a Machine.
type Action interface{ action() }

// Send is a message to a node.
type Send struct {
	To      string
	Message Message
}

// Persist asks for a revision to be written and synced; Persisted answers.
type Persist struct {
	Revision uint64
	Digest   Sum
	Body     []byte
	HeardAt  time.Time
}

// PersistHeard asks for the time of the last contact to be written. It needs no answer and no sync.
type PersistHeard struct{ At time.Time }

// Activate makes a revision the active one.
type Activate struct {
	Revision uint64
	Body     []byte
}

// Publish passes the latest heartbeat stamp and the active revision to gossip.
type Publish struct{ Stamp, Revision, Digest uint64 }

// Conflict reports that another node has the same revision with another digest, which no correct group produces.
type Conflict struct {
	Revision uint64
	With     string
}

// Rejected reports a body that failed verification, and why.
type Rejected struct {
	From     string
	Revision uint64
	Err      error
}

func (Send) action()         {}
func (Persist) action()      {}
func (PersistHeard) action() {}
func (Activate) action()     {}
func (Publish) action()      {}
func (Conflict) action()     {}
func (Rejected) action()     {}
