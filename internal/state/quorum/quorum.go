// Package quorum runs a member of a control group that forms and repairs itself.
//
// At the first start of the system, the control nodes that the settings name as seeds form the group. Each other control
// node, and each one that comes with an empty folder later, finds the group through any member it can reach and asks to be
// added. The leader decides (Decide): a new member receives the log without a vote, gets a vote when it has caught up, and
// takes the place of a voter that has fallen silent or whose folder was lost. No operator is needed.
//
// A folder has an identity of its own, so a member that lost its disk never votes under its old identity, and a folder that
// is damaged is set aside and replaced by a new one.
//
// Usage:
//
//	m, err := quorum.New(quorum.Options{Address: peerAddress, Data: folder, First: true, Seeds: seeds, Hub: hub, ...})
//	reply, ok, err := m.Handle(ctx, kind, body) // from the peer hub
//	result, err := m.Propose(ctx, document)
//	doc, err := m.Read(ctx)
//	m.Close()
package quorum

import (
	"context"
	"crypto/rand"
	"os"
	"path/filepath"
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
	"github.com/berylledge/berylledge/internal/state/store"
	"github.com/berylledge/berylledge/internal/state/vdoc"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Options configure a Member.
type Options struct {
	Address    string          // of the own peer hub; identifies the VM
	Data       string          // folder for durable state
	FirstStart bool            // the system starts for the first time, so a group may be formed
	Seeds      func() []string // peer addresses of control nodes, as the settings name them now
	MaxVoters  int             // most voters of the group
	Clock      clock.Clock
	Events     *event.Log
	Hub        *peer.Hub
	Seed       uint64
	// Store configures the folder's store each time it is opened; nil: the defaults.
	Store func() store.Options
	// Notify is called for each new document that the group has committed, from the group's goroutine.
	Notify func(vdoc.Document)
}

// Times of the member.
const (
	formEvery    = 150 * time.Millisecond
	helloTimeout = 700 * time.Millisecond
	repairEvery  = 250 * time.Millisecond
	admitEvery   = 500 * time.Millisecond
	changeWait   = 2 * time.Second
)

// folderName is the subfolder of Options.Data, so that a damaged one can be set aside.
const folderName = "group"

// Member is a running member.
type Member struct {
	o       Options
	store   *store.Store
	replica *vdoc.Replica
	post    *raftio.Transport
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	identity atomic.Pointer[store.Identity]
	group    atomic.Pointer[raftd.Node] // nil until the group is formed

	mu    sync.Mutex
	known []string // addresses of members that were heard of
}

// Hello is the answer to a question for the identity of a member.
type Hello struct {
	Member  raft.Member   `cbor:"1,keyasint"`
	Cluster uint64        `cbor:"2,keyasint,omitempty"` // 0 before the group is formed
	Initial []raft.Member `cbor:"3,keyasint,omitempty"`
	Members []raft.Member `cbor:"4,keyasint,omitempty"` // as the answering member knows them
	Leader  string        `cbor:"5,keyasint,omitempty"` // id
}

// New opens the data folder, or makes one, and starts the member.
func New(o Options) (*Member, error) {
	m := &Member{o: o, replica: vdoc.New(o.Notify), post: raftio.New(o.Address, o.Hub, o.Events)}
	if err := m.open(); err != nil {
		return nil, err
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Go(m.run)
	return m, nil
}

func (m *Member) folder() string { return filepath.Join(m.o.Data, folderName) }

func (m *Member) open() error {
	if err := os.MkdirAll(m.o.Data, 0o700); err != nil {
		return errors.Wrap(err, "make the data folder")
	}
	err := m.openFolder()
	var corrupt *store.CorruptError
	if errors.As(err, &corrupt) {
		return m.replaceFolder(err)
	}
	return err
}

func (m *Member) openFolder() error {
	var o store.Options
	if m.o.Store != nil {
		o = m.o.Store()
	}
	s, err := store.OpenOrCreate(m.folder(), m.o.Address, m.o.Address, rand.Reader, o)
	if err != nil {
		return err
	}
	m.store = s
	m.keepIdentity()
	return nil
}

// replaceFolder sets a damaged folder aside and starts with a new one, whose identity no group contains. What the old one
// held is on the other members.
func (m *Member) replaceFolder(cause error) error {
	m.o.Events.Emit(event.FolderReplaced, event.F("reason", cause))
	if m.store != nil {
		_ = m.store.Close() // its content is not used any more
	}
	aside := m.folder() + ".damaged"
	if err := os.RemoveAll(aside); err != nil {
		return errors.Wrap(err, "remove the folder that was set aside earlier")
	}
	if err := os.Rename(m.folder(), aside); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "set the damaged folder aside")
	}
	m.o.FirstStart = false
	return m.openFolder()
}

func (m *Member) keepIdentity() {
	id := m.store.Identity
	m.identity.Store(&id)
}

// start runs the member of a formed group.
func (m *Member) start() error {
	m.learn(m.store.Identity.Bootstrap)
	g, err := raftd.New(raftd.Config{
		Identity: m.store.Identity, Storage: m.store, Replica: m.replica, Transport: m.post, Clock: m.o.Clock, Seed: m.o.Seed,
		SnapshotEvery: snapshotEvery, Raft: raft.Config{KeepEntries: keepEntries},
	})
	if err != nil {
		return err
	}
	m.group.Store(g)
	id := m.identity.Load()
	m.o.Events.Emit(event.GroupFormed, event.F("cluster", id.Cluster), event.F("initial", len(id.Bootstrap) > 0), event.F("member", id.Member.ID))
	return nil
}

// An entry is a whole configuration, so the log is cut often.
const (
	snapshotEvery = 64
	keepEntries   = 16
)

// Close stops the member and closes its folder.
func (m *Member) Close() error {
	m.cancel()
	m.wg.Wait()
	var err error
	if g := m.group.Load(); g != nil {
		err = g.Close()
	}
	return errors.CombineErrors(err, m.store.Close())
}

// ID returns the identity of the member's folder.
func (m *Member) ID() string { return m.identity.Load().Member.ID }

// Latest returns the newest document that this member has applied; it may lag behind the group.
func (m *Member) Latest() vdoc.Document { return m.replica.Latest() }

var errNotFormed = errors.New("the control group is not formed yet")

// Propose stores a document if its version is the highest. After an error the document may take effect or not.
func (m *Member) Propose(ctx context.Context, d vdoc.Document) (vdoc.Result, error) {
	g := m.group.Load()
	if g == nil {
		return vdoc.Result{}, errNotFormed
	}
	body, err := vdoc.Encode(d)
	if err != nil {
		return vdoc.Result{}, err
	}
	reply, err := g.Propose(ctx, body)
	if err != nil {
		return vdoc.Result{}, err
	}
	return vdoc.DecodeResult(reply)
}

// Read returns the newest document that was acknowledged anywhere before the call; an error if this member cannot be sure.
func (m *Member) Read(ctx context.Context) (vdoc.Document, error) {
	g := m.group.Load()
	if g == nil {
		return vdoc.Document{}, errNotFormed
	}
	var d vdoc.Document
	err := g.Read(ctx, func() { d = m.replica.Latest() })
	return d, err
}

// Status returns the state of the member; false before the group is formed.
func (m *Member) Status() (raftd.Status, bool) {
	g := m.group.Load()
	if g == nil {
		return raftd.Status{}, false
	}
	return g.Status(), true
}

// Addresses returns the peer addresses of all members known here, without the own one.
func (m *Member) Addresses() []string {
	out := slices.Clone(m.o.Seeds())
	if s, ok := m.Status(); ok {
		for _, v := range s.Raft.Members {
			out = append(out, v.Address)
		}
	}
	m.mu.Lock()
	out = append(out, m.known...)
	m.mu.Unlock()
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return a == "" || a == m.o.Address })
}

// Handle takes a message of another process; ok is false if its kind does not belong to this package.
func (m *Member) Handle(ctx context.Context, kind peer.Kind, body []byte) (reply []byte, ok bool, err error) {
	switch kind {
	case peer.KindRaft:
		return nil, true, m.receive(body)
	case peer.KindStatus:
		reply, err = cbor.Marshal(m.hello())
		return reply, true, err
	case peer.KindAdmit:
		reply, err = m.admit(ctx, body)
		return reply, true, err
	case peer.KindMember, peer.KindSpread, peer.KindRelay, peer.KindReply, peer.KindPropose, peer.KindEvents, peer.KindQuery,
		peer.KindOperate, peer.KindCrash, peer.KindAskCrash, peer.KindRoster, peer.KindFollow, peer.KindPieces, peer.KindPlace,
		peer.KindHeld, peer.KindLeaving:
	}
	return nil, false, nil
}

func (m *Member) hello() Hello {
	id := m.identity.Load()
	h := Hello{Member: id.Member, Cluster: id.Cluster, Initial: id.Bootstrap}
	if s, ok := m.Status(); ok {
		h.Members, h.Leader = s.Raft.Members, s.Raft.Leader
	}
	return h
}

func (m *Member) receive(body []byte) error {
	msg, err := m.post.Decode(body)
	if err != nil {
		return err
	}
	if g := m.group.Load(); g != nil {
		g.Receive(msg)
	}
	return nil
}

// learn keeps the addresses of members.
func (m *Member) learn(members []raft.Member) {
	m.post.SetAddresses(members...)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, v := range members {
		if v.Address == "" {
			continue
		}
		if !slices.Contains(m.known, v.Address) && len(m.known) < maxKnown {
			m.known = append(m.known, v.Address)
		}
	}
}

// maxKnown bounds the addresses that are remembered over many replacements.
const maxKnown = 64
