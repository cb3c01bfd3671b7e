package peer

import (
	"fmt"
	"sync/atomic"
)

// Kind says which package a message belongs to.
type Kind uint8

// The kinds of messages. KindPropose, KindEvents, KindStatus, KindQuery, KindOperate, KindAskCrash, KindAdmit, KindFollow,
// KindPieces, KindPlace, KindHeld and KindLeaving are questions of Call; KindPieces and KindPlace also carry messages without an
// answer.
const (
	KindMember   Kind = 1
	KindSpread   Kind = 2
	KindRelay    Kind = 3
	KindRaft     Kind = 4
	KindReply    Kind = 5
	KindPropose  Kind = 6
	KindEvents   Kind = 7
	KindStatus   Kind = 8
	KindQuery    Kind = 9  // of operators, to a control node
	KindOperate  Kind = 10 // of operators, to any process
	KindCrash    Kind = 11
	KindAskCrash Kind = 12
	KindAdmit    Kind = 13 // of a member that wants to be added to a control group
	KindRoster   Kind = 14 // registrations of upstreams and entry nodes, between control nodes
	KindFollow   Kind = 15 // of an entry node, to a control node
	KindPieces   Kind = 16 // work on stages, between entry nodes
	KindPlace    Kind = 17 // places at model engines, between entry nodes
	KindHeld     Kind = 18 // asks a control node for the registrations that it hears itself
	KindLeaving  Kind = 19 // an upstream leaves, between control nodes
)

var kindNames = [...]string{
	KindMember: "member", KindSpread: "spread", KindRelay: "relay", KindRaft: "raft", KindReply: "reply", KindPropose: "propose",
	KindEvents: "events", KindStatus: "status", KindQuery: "query", KindOperate: "operate", KindCrash: "crash",
	KindAskCrash: "ask_crash", KindAdmit: "admit", KindRoster: "roster", KindFollow: "follow", KindPieces: "pieces",
	KindPlace: "place", KindHeld: "held", KindLeaving: "leaving",
}

// String returns the name of a kind as metrics and log lines have it.
func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind_%d", k)
}

// KindVolume is what was sent of one kind. An answer counts under the kind of its question.
type KindVolume struct {
	Kind            Kind
	Messages, Bytes int64
}

type volume struct{ messages, bytes atomic.Int64 }

// count notes a message that was written. One of an unknown kind, which an answer to a newer process may be, counts under 0.
func (h *Hub) count(kind Kind, data []byte) {
	if int(kind) >= len(h.sent) {
		kind = 0
	}
	h.sent[kind].messages.Add(1)
	h.sent[kind].bytes.Add(int64(len(data)))
}
