package ctrl

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/state/raft"
	"github.com/berylledge/berylledge/internal/state/raftd"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/internal/wire/codec"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// What a Query asks for.
const (
	QueryHistory    = "history"    // the latest Count revisions, without their content
	QueryRevision   = "revision"   // one revision with its content; 0 is the latest
	QueryQuarantine = "quarantine" // isolated fingerprints and suspects
	QueryStatus     = "status"     // the member itself; needs no majority
	QueryChange     = "change"     // a membership change, which only the leader makes
	QueryExport     = "export"     // a snapshot file in the data folder
)

// Query is an operator's question to a control node.
type Query struct {
	What     string       `cbor:"1,keyasint"`
	Revision uint64       `cbor:"2,keyasint,omitempty"`
	Count    int          `cbor:"3,keyasint,omitempty"`
	Change   *raft.Change `cbor:"4,keyasint,omitempty"`
}

// The codes of an Answer that carries no result.
const (
	CodeNotLeader = "not_leader" // had no effect; Leader names the leader if it is known
	CodeRefused   = "refused"    // had no effect
	CodeUnknown   = "unknown"    // may have had an effect
	CodeNoQuorum  = "no_quorum"  // the member could not prove that its state is up to date
)

// Answer is the answer to a Query.
type Answer struct {
	Code      string              `cbor:"1,keyasint,omitempty"` // empty: done
	Message   string              `cbor:"2,keyasint,omitempty"`
	Leader    string              `cbor:"3,keyasint,omitempty"`
	Revisions []rstate.Revision   `cbor:"4,keyasint,omitempty"`
	Suspects  []rstate.CrashEntry `cbor:"5,keyasint,omitempty"`
	Status    *Member             `cbor:"7,keyasint,omitempty"`
	Export    *Export             `cbor:"8,keyasint,omitempty"`
}

// Member is the state of one member of the control group, as it sees itself.
type Member struct {
	Node     string            `cbor:"1,keyasint" json:"node"`
	ID       string            `cbor:"2,keyasint" json:"id"`
	Cluster  uint64            `cbor:"3,keyasint,omitempty" json:"cluster,string"` // 0 before the group is formed
	Role     string            `cbor:"4,keyasint,omitempty" json:"role"`
	Term     uint64            `cbor:"5,keyasint,omitempty" json:"term"`
	Leader   string            `cbor:"6,keyasint,omitempty" json:"leader"`
	Commit   uint64            `cbor:"7,keyasint,omitempty" json:"commit"`
	Last     uint64            `cbor:"8,keyasint,omitempty" json:"last"`
	Snapshot uint64            `cbor:"9,keyasint,omitempty" json:"snapshot"`
	Revision uint64            `cbor:"10,keyasint,omitempty" json:"revision"`
	Dropped  uint64            `cbor:"11,keyasint,omitempty" json:"dropped"`
	Failed   string            `cbor:"12,keyasint,omitempty" json:"failed,omitempty"`
	Members  []Listed          `cbor:"13,keyasint,omitempty" json:"members"`
	Match    map[string]uint64 `cbor:"14,keyasint,omitempty" json:"match,omitempty"` // on the leader
}

// Listed is a member as the group's configuration lists it.
type Listed struct {
	Node    string `cbor:"1,keyasint" json:"node"`
	ID      string `cbor:"2,keyasint" json:"id"`
	Address string `cbor:"3,keyasint" json:"address"`
	Learner bool   `cbor:"4,keyasint,omitempty" json:"learner"` // receives the log and does not vote
}

// Export describes a snapshot file.
type Export struct {
	Node  string `cbor:"1,keyasint" json:"node"`
	Path  string `cbor:"2,keyasint" json:"path"`
	Bytes int64  `cbor:"3,keyasint" json:"bytes"`
}

func (n *Node) serveQuery(ctx context.Context, body []byte) ([]byte, error) {
	q, err := codec.Decode[Query](body, peer.MaxMessage, "question")
	if err != nil {
		return nil, err
	}
	a, err := n.Query(ctx, q)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(a)
}

// maxHistory bounds the revisions of one answer.
const maxHistory = 2400

// Query answers a question. Answers about the replicated state hold all changes that were acknowledged before.
func (n *Node) Query(ctx context.Context, q Query) (Answer, error) {
	if q.What == QueryStatus {
		return Answer{Status: n.member()}, nil
	}
	g := n.running()
	if g == nil {
		return Answer{Code: CodeNoQuorum, Message: "the control group is not formed yet"}, nil
	}
	if q.What == QueryChange {
		if q.Change == nil {
			return Answer{}, errors.New("the query names no change")
		}
		return n.change(ctx, *q.Change), nil
	}
	// The goroutine of the node must not wait for the table, so the state is read after the proof, not in it.
	if err := g.Read(ctx, func() {}); err != nil {
		return Answer{Code: CodeNoQuorum, Message: err.Error()}, nil
	}
	switch q.What {
	case QueryHistory, QueryRevision, QueryQuarantine:
		return n.lookUp(q), nil
	case QueryExport:
		return n.exportFile(ctx)
	default:
		return Answer{}, errors.Newf("a query for %q is not known", q.What)
	}
}

func (n *Node) lookUp(q Query) (a Answer) {
	n.table.Query(func(s *rstate.State) {
		switch q.What {
		case QueryHistory:
			a.Revisions = s.History(min(max(q.Count, 1), maxHistory))
			for i := range a.Revisions {
				a.Revisions[i].Config = nil
			}
		case QueryRevision:
			r := s.Latest()
			if q.Revision != 0 {
				r = s.Revision(q.Revision)
			}
			if r != nil {
				a.Revisions = []rstate.Revision{*r}
			}
		case QueryQuarantine:
			a.Suspects = rstate.CrashEntries(s.Suspects())
		}
	})
	return a
}

func (n *Node) member() *Member {
	id := n.identity.Load()
	m := &Member{Node: n.o.Name, ID: id.Member.ID, Cluster: id.Cluster, Revision: n.Revision()}
	s, ok := n.Status()
	if !ok {
		return m
	}
	m.Role, m.Term, m.Leader, m.Commit = s.Raft.Role.String(), s.Raft.Term, s.Raft.Leader, s.Raft.Commit
	m.Last, m.Snapshot, m.Dropped = s.Raft.Last, s.Raft.SnapshotIndex, s.Dropped
	m.Match = s.Raft.Match
	for _, x := range s.Raft.Members {
		m.Members = append(m.Members, Listed{Name(x.ID), x.ID, x.Address, x.Learner})
	}
	if s.Err != nil {
		m.Failed = s.Err.Error()
	}
	return m
}

func (n *Node) change(ctx context.Context, c raft.Change) Answer {
	err := n.Change(ctx, c)
	var not *raftd.NotProposedError
	switch {
	case err == nil:
		n.o.Events.Emit(event.MembersChanged, event.F("members", fmt.Sprintf("%s %s", changeNames[c.Kind], c.Member.ID)))
		return Answer{}
	case !errors.As(err, &not):
		return Answer{Code: CodeUnknown, Message: err.Error()}
	case not.Reason == raft.ReasonNotLeader:
		return Answer{Code: CodeNotLeader, Message: err.Error(), Leader: not.Leader}
	default:
		return Answer{Code: CodeRefused, Message: err.Error()}
	}
}

var changeNames = map[raft.ChangeKind]string{raft.AddLearner: "add", raft.Promote: "promote", raft.Remove: "remove"}

func (n *Node) exportFile(ctx context.Context) (Answer, error) {
	path, err := filepath.Abs(filepath.Join(n.o.Data, fmt.Sprintf("export-%d.snapshot", n.o.Clock.Now().UnixMilli())))
	if err != nil {
		return Answer{}, err
	}
	if err := n.Export(ctx, path); err != nil {
		return Answer{}, err
	}
	info, err := os.Stat(path)
	if err != nil {
		return Answer{}, err
	}
	return Answer{Export: &Export{Node: n.o.Name, Path: path, Bytes: info.Size()}}, nil
}
