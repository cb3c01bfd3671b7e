// Package ctrl is the control role of a process: a member of the control group with its data folder.
//
// At the first start, the initial voters exchange the ids of their data folders and form the group once all have
// answered. A member whose folder was lost has a new id; it finds that the group was formed without it and waits to be
// added, so it never votes under its old id.
//
// Usage:
//
//	n, err := ctrl.New(ctrl.Options{Name: "c1", Address: peerAddress, Data: folder, Initial: voters, Hub: hub, ...})
//	reply, err := n.Handle(ctx, kind, body) // from the peer hub
//	n.Close()
package ctrl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/state/raft"
	"github.com/berylledge/berylledge/internal/state/raftd"
	"github.com/berylledge/berylledge/internal/state/raftio"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/internal/state/store"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Voter is an initial voter as the settings name it.
type Voter struct {
	Name    string
	Address string // of its peer hub
}

// Options configure a Node.
type Options struct {
	Name    string
	Address string // of the own peer hub
	Data    string
	Initial []Voter // empty for a member that is added to a group later
	Join    []string
	Config  []byte // configuration to start a new group with; may be nil
	Clock   clock.Clock
	Events  *event.Log
	Hub     *peer.Hub
	Seed    uint64

	// Commit is called for the newest committed revision, Beat while this member knows itself in the majority.
	Commit func(revision uint64, body []byte)
	Beat   func(stamp uint64)
	// Nodes returns the addresses of the entry nodes, which are told of crash suspects.
	Nodes func() []string
}

// Node is a running control node.
type Node struct {
	o      Options
	store  *store.Store
	table  *rstate.Log
	post   *raftio.Transport
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	group  *raftd.Node // nil until the group is formed
	known  uint64      // revision that was last handed to Commit
	leader string

	identity atomic.Pointer[store.Identity]

	suspects atomic.Uint64 // version of the latest change of crash suspects that was applied here
	changed  chan struct{}
}

// Hello is the answer to a question for the identity of a control node.
type Hello struct {
	Member  raft.Member   `cbor:"1,keyasint"`
	Cluster uint64        `cbor:"2,keyasint,omitempty"` // 0 before the group is formed
	Initial []raft.Member `cbor:"3,keyasint,omitempty"`
}

// New opens the data folder, or makes one, and starts the node.
func New(o Options) (*Node, error) {
	n := &Node{
		o: o, table: rstate.NewLog(rstate.Limits{}), post: raftio.New(o.Address, o.Hub, o.Events), changed: make(chan struct{}, 1),
	}
	if err := n.open(); err != nil {
		return nil, err
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if n.store.Identity.Cluster != 0 {
		if err := n.start(); err != nil {
			n.cancel()
			return nil, errors.CombineErrors(err, n.store.Close())
		}
	}
	n.wg.Go(n.run)
	return n, nil
}

func (n *Node) open() error {
	var err error
	if n.store, err = store.OpenOrCreate(n.o.Data, n.o.Name, n.o.Address, rand.Reader, store.Options{}); err != nil {
		return err
	}
	n.keepIdentity()
	return nil
}

func (n *Node) keepIdentity() {
	id := n.store.Identity
	n.identity.Store(&id)
}

// start runs the member of a formed group.
func (n *Node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.post.SetAddresses(n.store.Identity.Bootstrap...)
	g, err := raftd.New(raftd.Config{
		Identity: n.store.Identity, Storage: n.store, Replica: replica{n}, Transport: n.post, Clock: n.o.Clock, Seed: n.o.Seed,
	})
	if err != nil {
		return err
	}
	n.group = g
	return nil
}

// Close stops the node and closes its folder.
func (n *Node) Close() error {
	n.cancel()
	n.wg.Wait()
	var err error
	if g := n.running(); g != nil {
		err = g.Close()
	}
	return errors.CombineErrors(err, n.store.Close())
}

func (n *Node) running() *raftd.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.group
}

// Table gives access to the replicated state as this member has it.
func (n *Node) Table() *rstate.Log { return n.table }

// Status returns the state of the member; false before the group is formed.
func (n *Node) Status() (raftd.Status, bool) {
	g := n.running()
	if g == nil {
		return raftd.Status{}, false
	}
	return g.Status(), true
}

// Handle takes a message of another process; ok is false if its kind does not belong to this package.
func (n *Node) Handle(ctx context.Context, kind peer.Kind, body []byte) (reply []byte, ok bool, err error) {
	switch kind {
	case peer.KindRaft:
		return nil, true, n.receive(body)
	case peer.KindPropose:
		reply, err = n.propose(ctx, body)
		return reply, true, err
	case peer.KindStatus:
		id := n.identity.Load()
		reply, err = cbor.Marshal(Hello{id.Member, id.Cluster, id.Bootstrap})
		return reply, true, err
	case peer.KindQuery:
		reply, err = n.serveQuery(ctx, body)
		return reply, true, err
	case peer.KindAskCrash:
		reply, err = n.suspectNews(rstate.CrashNews{})
		return reply, true, err
	case peer.KindMember, peer.KindSpread, peer.KindRelay, peer.KindReply, peer.KindEvents, peer.KindCrash, peer.KindOperate,
		peer.KindAdmit, peer.KindRoster, peer.KindFollow, peer.KindPieces, peer.KindPlace,
		peer.KindHeld, peer.KindLeaving:
	}
	return nil, false, nil
}

func (n *Node) receive(body []byte) error {
	msg, err := n.post.Decode(body)
	if err != nil {
		return err
	}
	if g := n.running(); g != nil {
		g.Receive(msg)
	}
	return nil
}

// DriftError refuses a command whose sender's clock differs too much: it would move the time of the replicated state.
type DriftError struct{ Ahead time.Duration }

func (e *DriftError) Error() string {
	return fmt.Sprintf("the clock of the sender is %s ahead", e.Ahead)
}

// maxAhead is the drift that rstate.Limits allows by default.
const maxAhead = 5 * time.Second

func (n *Node) propose(ctx context.Context, body []byte) ([]byte, error) {
	cmd, err := rstate.DecodeCommand(body)
	if err != nil {
		return nil, err
	}
	if ahead := time.UnixMilli(rstate.AtMS(cmd)).Sub(n.o.Clock.Now()); ahead > maxAhead {
		return nil, &DriftError{ahead}
	}
	g := n.running()
	if g == nil {
		return nil, errors.New("the control group is not formed yet")
	}
	return g.Propose(ctx, body)
}

// Change makes a membership change of the group.
func (n *Node) Change(ctx context.Context, c raft.Change) error {
	g := n.running()
	if g == nil {
		return errors.New("the control group is not formed yet")
	}
	if c.Kind == raft.AddLearner {
		n.post.SetAddresses(c.Member)
	}
	return g.ChangeMembers(ctx, c)
}

// Export writes a snapshot of the state to a file, for a restore.
func (n *Node) Export(ctx context.Context, path string) error {
	g := n.running()
	if g == nil {
		return errors.New("the control group is not formed yet")
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	err = g.Export(ctx, f)
	if err == nil {
		err = f.Sync()
	}
	return errors.CombineErrors(err, f.Close())
}

// replica hands committed entries to the table and notes new revisions.
type replica struct{ n *Node }

func (r replica) Apply(index uint64, data []byte) []byte {
	out := r.n.table.Apply(index, data)
	r.n.notice()
	r.n.noticeSuspects()
	return out
}

func (r replica) Snapshot() ([]byte, error) { return r.n.table.Snapshot() }

func (r replica) Restore(data []byte) error {
	err := r.n.table.Restore(data)
	if err == nil {
		r.n.notice()
		r.n.noticeSuspects()
	}
	return err
}

// notice hands the newest revision to Commit if it is new.
func (n *Node) notice() {
	var latest rstate.Revision
	n.table.Query(func(s *rstate.State) {
		if r := s.Latest(); r != nil && r.Revision > n.known {
			latest = *r
			latest.Config = slices.Clone(r.Config)
		}
	})
	if latest.Revision == 0 {
		return
	}
	n.known = latest.Revision
	n.o.Events.Emit(event.ConfigAccepted, event.F("revision", latest.Revision), event.F("operator", latest.Operator), event.F("change", latest.ChangeID))
	n.o.Commit(latest.Revision, latest.Config)
}

// initialChange names the change that brings the first configuration. All initial voters propose it, and the ledger of
// change ids makes it take effect once.
func initialChange(cluster uint64) string {
	return "initial-" + hex.EncodeToString([]byte{
		byte(cluster >> 56), byte(cluster >> 48), byte(cluster >> 40), byte(cluster >> 32),
		byte(cluster >> 24), byte(cluster >> 16), byte(cluster >> 8), byte(cluster),
	})
}
