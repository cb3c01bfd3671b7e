// Package raft implements the Raft consensus algorithm of the control group as a deterministic state machine.
//
// Step takes the current time and one event and returns the actions that the caller must execute, in order. The
// machine owns no goroutine, socket, file, clock or global random source.
//
// Usage:
//
//	m := raft.New(cfg, restored)
//	for _, a := range m.Step(now, raft.Propose{ID: 1, Data: data}) {
//		switch a := a.(type) {
//		case raft.Persist:  // write and sync, then m.Step(now, raft.Persisted{Seq: a.Seq})
//		case raft.Send:     // hand a.Message to the transport; it may be lost, repeated or reordered
//		case raft.Apply:    // give each entry of kind EntryData to the replica
//		...
//		}
//	}
//	timer.Reset(m.Deadline().Sub(now)) // then m.Step(now, raft.Tick{})
//
// # Durability
//
// At most one Persist is outstanding. Proposals that arrive while it is outstanding are written by the next one, so
// that many entries share one sync. A message that depends on durable state (a vote, an acknowledgement of entries) is
// deferred until the Persist that covers it is confirmed. The leader sends entries before they are on its own disk, but
// counts itself towards the quorum only after the confirmation. Entries are applied once they are committed and durable
// locally.
//
// # Elections
//
// A member requests pre-votes before it increments its term, so that a member that rejoins does not depose a working
// leader. A member that has received a message from a leader within ElectionTimeout refuses both kinds of vote. A leader
// that has not received replies from a quorum for ElectionTimeout steps down. A candidate that does not win retries
// sooner than that, because simultaneous candidates split the vote, and backs off exponentially.
//
// # Formation and identity
//
// A new group is formed from an explicit member list that must be equal on all initial voters. Config.Cluster is
// derived from it by ClusterID, and a message with another cluster id is ignored. While its log is empty, a member needs
// the pre-votes of all initial voters instead of a quorum: with overlapping but unequal lists, two quorums could
// otherwise form two groups. A member id identifies one incarnation of a data folder. A VM whose disk was wiped gets a
// new id, which no configuration contains, so it cannot vote under its old id.
//
// # Messages from unknown ids
//
// Replies from an id outside the current configuration are ignored. A vote request from an unknown id is ignored
// unless its log is strictly newer than the local one: then the local configuration may be outdated, and refusing the
// vote could leave the group with no electable member. Entries from an unknown leader of the same cluster are accepted,
// because a new member does not know the configuration yet.
package raft

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"
	"time"
)

// Defaults of Config. The election timeout allows for round trips of tens of milliseconds between regions and for disk
// syncs of some 100 ms under load.
const (
	DefaultElectionTimeout     = time.Second
	DefaultHeartbeat           = 200 * time.Millisecond
	DefaultMaxMessageBytes     = 256 << 10
	DefaultMaxInflight         = 8
	DefaultMaxUncommittedBytes = 16 << 20
	DefaultKeepEntries         = 256
	DefaultPromoteLag          = 64
)

// Member is one member of the group.
type Member struct {
	// ID identifies one incarnation of a VM's data folder; it is never reused.
	ID string `cbor:"1,keyasint"`
	// Address is the transport address of the member; the machine does not interpret it.
	Address string `cbor:"2,keyasint,omitempty"`
	// Learner is true for a member that receives the log but does not vote.
	Learner bool `cbor:"3,keyasint,omitempty"`
}

// Config holds the settings of a machine. Zero durations and limits mean the defaults.
type Config struct {
	// ID is the id of this member.
	ID string
	// Cluster is the id of the group; see ClusterID.
	Cluster uint64
	// Bootstrap lists the initial voters. It is empty in a member that joins an existing group.
	Bootstrap []Member
	// Seed determines the election jitter together with ID.
	Seed uint64
	// ElectionTimeout is the minimum time without a leader before an election; random jitter adds up to as much again.
	ElectionTimeout time.Duration
	// Heartbeat is the interval between heartbeats of a leader.
	Heartbeat time.Duration
	// MaxMessageBytes bounds the entry data in one append message; a single larger entry is still sent.
	MaxMessageBytes int
	// MaxInflight bounds the unacknowledged append messages to one member.
	MaxInflight int
	// MaxUncommittedBytes bounds the data of uncommitted proposals; further proposals are refused.
	MaxUncommittedBytes int
	// KeepEntries is the number of entries before a snapshot that stay in the log, so that a member that lags slightly
	// catches up without a snapshot.
	KeepEntries uint64
	// PromoteLag is the maximum number of entries by which a learner may lag when it is promoted.
	PromoteLag uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&c.MaxInflight, DefaultMaxInflight)
	setDefault(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.PromoteLag, DefaultPromoteLag)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// ClusterID derives the id of a group from its initial voters and an epoch. The order of the list does not matter.
// The epoch is 0 for a new group; a restore from an exported snapshot uses a fresh random epoch, so that the restored
// group and the old one refuse each other's messages.
func ClusterID(epoch uint64, initial []Member) uint64 {
	ids := make([]string, 0, len(initial))
	for _, m := range initial {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	text := binary.BigEndian.AppendUint64(nil, epoch)
	sum := sha256.Sum256(append(text, strings.Join(ids, "\x00")...))
	return binary.BigEndian.Uint64(sum[:8])
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

const (
	// EntryData is an entry for the replica.
	EntryData EntryKind = iota
	// EntryNoop is the empty entry that a new leader appends first in its term.
	EntryNoop
	// EntryMembers is an entry with a new configuration of the group.
	EntryMembers
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members []Member  `cbor:"5,keyasint,omitempty"`
}

// entryOverhead is the approximate size in bytes of an encoded entry without its data.
const entryOverhead = 16

func (e Entry) size() int { return entryOverhead + len(e.Data) }

// HardState is the state that must be durable before a vote or an acknowledgement is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint,omitempty"`
	// Commit is a lower bound of the commit index. It is written along with other changes and causes no sync of its own.
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the state of the replica and the configuration after the entry at Index.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint"`
}

// DurableState is the stored state from which a machine starts. The zero value stands for an empty folder.
type DurableState struct {
	HardState HardState
	Snapshot  *Snapshot
	// Entries are contiguous and reach back to Snapshot.Index+1 or further.
	Entries []Entry
}

// Kind is the kind of a message.
type Kind uint8

const (
	// KindAppend carries entries, or none as a heartbeat.
	KindAppend Kind = iota + 1
	// KindAppendReply answers KindAppend and KindSnapshot.
	KindAppendReply
	// KindPreVote asks whether the receiver would grant a vote in Term.
	KindPreVote
	// KindPreVoteReply answers KindPreVote.
	KindPreVoteReply
	// KindVote requests a vote in Term.
	KindVote
	// KindVoteReply answers KindVote.
	KindVoteReply
	// KindSnapshot carries a snapshot.
	KindSnapshot
	// KindForward carries a proposal or a read request from a follower to the leader. The machine ignores it; package
	// raftd handles it.
	KindForward
	// KindForwardReply answers KindForward.
	KindForwardReply
)

// Message is a message between two members. Fields that a kind does not name are zero.
type Message struct {
	Kind    Kind   `cbor:"1,keyasint"`
	Cluster uint64 `cbor:"2,keyasint"`
	From    string `cbor:"3,keyasint"`
	To      string `cbor:"4,keyasint"`
	// Term is the term of the sender; in KindPreVote and a granted KindPreVoteReply it is the requested term.
	Term uint64 `cbor:"5,keyasint,omitempty"`
	// Index and LogTerm identify an entry: the one before Entries (append; echoed in the reply) or the last one (votes).
	Index   uint64  `cbor:"6,keyasint,omitempty"`
	LogTerm uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Commit  uint64  `cbor:"9,keyasint,omitempty"`
	// Round numbers the heartbeat rounds of a leader; the reply echoes it.
	Round uint64 `cbor:"10,keyasint,omitempty"`
	// Match is the last index up to which the follower's log is durable and equal to the leader's.
	Match uint64 `cbor:"11,keyasint,omitempty"`
	// Reject refuses an append or a vote.
	Reject bool `cbor:"12,keyasint,omitempty"`
	// HintIndex and HintTerm tell the leader where to continue after a rejected append: HintTerm is the term of the
	// conflicting entry and HintIndex the first index of that term, or HintTerm is 0 and HintIndex the last index + 1.
	HintIndex uint64    `cbor:"13,keyasint,omitempty"`
	HintTerm  uint64    `cbor:"14,keyasint,omitempty"`
	Snapshot  *Snapshot `cbor:"15,keyasint,omitempty"`
	Forward   *Forward  `cbor:"16,keyasint,omitempty"`
}

// Forward is the content of KindForward and KindForwardReply.
type Forward struct {
	// ID is chosen by the sender and echoed in the reply.
	ID uint64 `cbor:"1,keyasint"`
	// Read is true for a read request and its reply.
	Read bool `cbor:"2,keyasint,omitempty"`
	// Data is the proposal, or the result of the replica in the reply.
	Data []byte `cbor:"3,keyasint,omitempty"`
	// Index is, in a reply, the index of the entry or the index that the reader must have applied.
	Index uint64 `cbor:"4,keyasint,omitempty"`
	// Reason is, in a reply, ReasonNone on success.
	Reason Reason `cbor:"5,keyasint,omitempty"`
}

// Reason is the cause of a request's failure.
type Reason uint8

const (
	// ReasonNone stands for success.
	ReasonNone Reason = iota
	// ReasonNotLeader means that this member does not lead; the request had no effect.
	ReasonNotLeader
	// ReasonOverloaded means that too much data is uncommitted; the request had no effect.
	ReasonOverloaded
	// ReasonSuperseded means that another entry was committed at the proposal's index; the proposal never takes effect.
	ReasonSuperseded
	// ReasonUnknown means that the outcome cannot be determined, for example because a snapshot replaced the log.
	ReasonUnknown
	// ReasonNotReady means that the leader has not committed an entry of its term yet; the change had no effect.
	ReasonNotReady
	// ReasonChangePending means that an earlier membership change is uncommitted; the change had no effect.
	ReasonChangePending
	// ReasonInvalid means that the change cannot be applied to the current configuration; it had no effect.
	ReasonInvalid
	// ReasonLagging means that the learner is too far behind to be promoted; the change had no effect.
	ReasonLagging
	// ReasonNoQuorum means that too few of the resulting voters are reachable; the change had no effect.
	ReasonNoQuorum
	// ReasonStopped means that the member stopped before it accepted the request; the request had no effect.
	ReasonStopped
)

var reasonText = [...]string{
	"no reason", "not the leader", "too much uncommitted data", "another entry was committed instead",
	"outcome unknown after a snapshot", "leader not ready", "membership change pending", "invalid membership change",
	"learner lags behind", "too few active voters", "member stopped",
}

// String returns a short text for log lines and error messages.
func (r Reason) String() string {
	if int(r) < len(reasonText) {
		return reasonText[r]
	}
	return "unspecified reason"
}

// Event is an input of the machine.
//
//sumtype:decl
type Event interface{ event() }

// Tick tells the machine that time has passed.
type Tick struct{}

// Received is the arrival of a message.
type Received struct{ Message Message }

// Propose requests that an entry be appended. ID is chosen by the caller and unique among its open requests.
type Propose struct {
	ID   uint64
	Data []byte
}

// Read requests a linearizable read.
type Read struct{ ID uint64 }

// Persisted confirms that the Persist with this number is durable.
type Persisted struct{ Seq uint64 }

// ChangeMembers requests one membership change.
type ChangeMembers struct {
	ID     uint64
	Change Change
}

// SnapshotTaken provides the state of the replica after the entry at Index, which must have been applied.
type SnapshotTaken struct {
	Index uint64
	Data  []byte
}

// Batch is a list of events that share one round of messages and one Persist.
type Batch struct{ Events []Event }

func (Tick) event()          {}
func (Received) event()      {}
func (Propose) event()       {}
func (Read) event()          {}
func (Persisted) event()     {}
func (ChangeMembers) event() {}
func (SnapshotTaken) event() {}
func (Batch) event()         {}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

const (
	// AddLearner adds a non-voting member.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner that has caught up a voter.
	Promote
	// Remove removes a voter or a learner.
	Remove
)

// Change is a membership change of a single member. Promote and Remove use only Member.ID.
type Change struct {
	Kind   ChangeKind `cbor:"1,keyasint"`
	Member Member     `cbor:"2,keyasint"`
}

// Action is an output of the machine.
//
//sumtype:decl
type Action interface{ action() }

// Persist requests an atomic, synced write. Parts are written in the order of the fields.
type Persist struct {
	// Seq is to be returned in Persisted.
	Seq       uint64
	HardState HardState
	// Snapshot replaces the stored snapshot unless nil.
	Snapshot *Snapshot
	// Reset removes all stored entries first, because a snapshot received from the leader replaces the log.
	Reset bool
	// Compact removes the stored entries up to and including this index.
	Compact uint64
	// Entries replace all stored entries from Entries[0].Index on.
	Entries []Entry
}

// Send requests that a message be sent. The machine tolerates loss, duplication and reordering.
type Send struct {
	To      string
	Message Message
}

// Apply delivers committed entries in order, without gaps or repetition since the start or the last Restore.
type Apply struct{ Entries []Entry }

// Restore requests that the replica load a snapshot. After a start with a snapshot it precedes every Apply.
type Restore struct{ Snapshot Snapshot }

// ProposalDone reports that the entry of a proposal or membership change has been applied by the preceding Apply.
type ProposalDone struct{ ID, Index uint64 }

// ProposalFailed reports that a proposal or membership change failed, or, with ReasonUnknown, that its outcome cannot
// be determined.
type ProposalFailed struct {
	ID     uint64
	Reason Reason
}

// ReadReady reports that the applied state includes all writes that were acknowledged before the read was requested.
type ReadReady struct{ ID, Index uint64 }

// ReadFailed reports that this member could not confirm that it is the leader.
type ReadFailed struct {
	ID     uint64
	Reason Reason
}

// LeaderChanged reports that the known leader has changed; Leader is empty if none is known.
type LeaderChanged struct {
	Term   uint64
	Leader string
}

func (Persist) action()        {}
func (Send) action()           {}
func (Apply) action()          {}
func (Restore) action()        {}
func (ProposalDone) action()   {}
func (ProposalFailed) action() {}
func (ReadReady) action()      {}
func (ReadFailed) action()     {}
func (LeaderChanged) action()  {}

// Role is the role of a member in its current term.
type Role uint8

const (
	// Follower replicates the log of the leader, or waits for a leader.
	Follower Role = iota
	// PreCandidate requests pre-votes.
	PreCandidate
	// Candidate requests votes.
	Candidate
	// Leader appends proposals and replicates them.
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r&3]
}

// Status is a snapshot of a machine's state for monitoring.
type Status struct {
	ID      string
	Cluster uint64
	Role    Role
	Term    uint64
	Leader  string
	// First and Last are the first and last index in the log.
	First, Last     uint64
	Commit, Applied uint64
	// Current is true while a leader is known and this member has applied an entry of the leader's term, and therefore
	// every write acknowledged before the leader was elected. Later writes may not have arrived yet.
	Current bool
	// LeaderUntil is when this member stops regarding the leader as active unless it receives another message from it.
	// On the leader it is when the leader steps down unless further voters reply.
	LeaderUntil time.Time
	// Contact is when this member last heard from the leader of its term; on the leader, when it last heard from a quorum.
	Contact time.Time
	// SnapshotIndex is the index of the last snapshot.
	SnapshotIndex uint64
	Members       []Member
	// Match maps each member to its last known durable index; it is set on the leader only.
	Match map[string]uint64
}
