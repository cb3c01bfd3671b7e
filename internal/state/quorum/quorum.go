// Package quorum runs a member of a control group that forms and repairs its membership without an operator.
//
// At the first start of the system, the control nodes listed as seeds in the settings form the group. Every other control
// node, and every one that starts with an empty folder later, finds the group through any reachable member and asks to be
// added. The leader decides on each change (NextChange): a new member receives the log as a learner, becomes a voter once it
// has caught up, and replaces a voter that does not reply or whose folder was lost.
//
// Each folder has its own identity, so a member that lost its disk never votes under its old identity. A damaged folder is
// moved aside and replaced by a new one.
//
// Usage:
//
//	m, err := quorum.New(quorum.Options{Address: peerAddress, Data: folder, FirstStart: true, Seeds: seeds, Hub: hub, ...})
//	reply, ok, err := m.Handle(ctx, kind, body) // from the peer hub
//	result, err := m.Propose(ctx, document)
//	doc, err := m.Read(ctx)
//	err = m.ChangePermanent(ctx, vdoc.Change{Notice: notice})
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
	Address    string          // address of the local peer hub; identifies the VM
	Data       string          // folder for durable state
	FirstStart bool            // the system starts for the first time, so a group may be formed
	Seeds      func() []string // peer addresses of control nodes in the current settings
	MaxVoters  int             // maximum number of voters
	Clock      clock.Clock
	Events     *event.Log
	Hub        *peer.Hub
	Seed       uint64 // seeds the election jitter of the Raft node
	// Store returns the options with which the store is opened; nil means the defaults.
	Store func() store.Options
	// Notify is called for each newly committed document, from the goroutine of the Raft node.
	Notify func(vdoc.Document)
}

// Intervals and timeouts of a member.
const (
	// formInterval is the pause between attempts to form or join a group.
	formInterval   = 150 * time.Millisecond
	callTimeout    = 700 * time.Millisecond
	repairInterval = 250 * time.Millisecond
	// admissionRequestInterval is the time without a leader after which admission is requested, and the time between requests.
	admissionRequestInterval = 500 * time.Millisecond
	membershipChangeTimeout  = 2 * time.Second
)

// groupFolder is the subfolder of Options.Data that holds the state. A damaged one is moved aside within Options.Data.
const groupFolder = "group"

// Member is a running member of the control group.
type Member struct {
	opts      Options
	store     *store.Store
	replica   *vdoc.Replica
	transport *raftio.Transport
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	identity atomic.Pointer[store.Identity]
	node     atomic.Pointer[raftd.Node] // nil while this member runs no Raft node: before it belongs to a group, or while its folder is reopened

	mu             sync.Mutex
	knownAddresses []string // peer addresses of current and former members
}

// MemberInfo is the reply to peer.KindStatus: the identity of a member and what it knows of the group.
type MemberInfo struct {
	Member  raft.Member   `cbor:"1,keyasint"`
	Cluster uint64        `cbor:"2,keyasint,omitempty"` // 0 if the member belongs to no group
	Initial []raft.Member `cbor:"3,keyasint,omitempty"`
	Members []raft.Member `cbor:"4,keyasint,omitempty"` // the members of the group, as far as the replying member knows
	Leader  string        `cbor:"5,keyasint,omitempty"` // member id of the leader; empty if unknown
}

// New opens or creates the data folder and starts the member.
func New(o Options) (*Member, error) {
	m := &Member{opts: o, replica: vdoc.New(o.Notify), transport: raftio.New(o.Address, o.Hub, o.Events)}
	if err := m.open(); err != nil {
		return nil, err
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Go(m.run)
	return m, nil
}

func (m *Member) folder() string { return filepath.Join(m.opts.Data, groupFolder) }

func (m *Member) open() error {
	if err := os.MkdirAll(m.opts.Data, 0o700); err != nil {
		return errors.Wrap(err, "create the data folder")
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
	if m.opts.Store != nil {
		o = m.opts.Store()
	}
	s, err := store.OpenOrCreate(m.folder(), m.opts.Address, m.opts.Address, rand.Reader, o)
	if err != nil {
		return err
	}
	m.store = s
	m.loadIdentity()
	return nil
}

// replaceFolder moves a damaged folder aside and creates a new one with a new identity, so the member must be added to
// the group again. The other members still have the data of the old one.
func (m *Member) replaceFolder(cause error) error {
	m.opts.Events.Emit(event.FolderReplaced, event.F("reason", cause))
	if m.store != nil {
		_ = m.store.Close() // its content is no longer used
	}
	aside := m.folder() + ".damaged"
	if err := os.RemoveAll(aside); err != nil {
		return errors.Wrap(err, "remove the previous damaged folder")
	}
	if err := os.Rename(m.folder(), aside); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "move the damaged folder aside")
	}
	m.opts.FirstStart = false
	return m.openFolder()
}

// loadIdentity refreshes the copy of the store's identity that other goroutines read.
func (m *Member) loadIdentity() {
	id := m.store.Identity
	m.identity.Store(&id)
}

// startNode starts the Raft node of a member that belongs to a group.
func (m *Member) startNode() error {
	m.addAddresses(m.store.Identity.Bootstrap)
	g, err := raftd.New(raftd.Config{
		Identity: m.store.Identity, Storage: m.store, Replica: m.replica, Transport: m.transport, Clock: m.opts.Clock, Seed: m.opts.Seed,
		SnapshotEvery: snapshotEvery, Raft: raft.Config{KeepEntries: keepEntries},
	})
	if err != nil {
		return err
	}
	m.node.Store(g)
	id := m.identity.Load()
	m.opts.Events.Emit(event.GroupFormed, event.F("cluster", id.Cluster), event.F("initial", len(id.Bootstrap) > 0), event.F("member", id.Member.ID))
	return nil
}

// Each entry contains a whole configuration document, so the log is compacted often.
const (
	snapshotEvery = 64 // log entries between two snapshots
	keepEntries   = 16 // log entries kept before a snapshot, for members that lag slightly
)

// Close stops the member and closes its folder.
func (m *Member) Close() error {
	m.cancel()
	m.wg.Wait()
	var err error
	if g := m.node.Load(); g != nil {
		err = g.Close()
	}
	return errors.CombineErrors(err, m.store.Close())
}

// ID returns the member id, which identifies the current folder.
func (m *Member) ID() string { return m.identity.Load().Member.ID }

// Latest returns the newest document applied by this member; it may lag behind the group.
func (m *Member) Latest() vdoc.Document { return m.replica.Latest() }

var errNotFormed = errors.New("the control group is not formed yet")

// Propose stores a document if its version is the highest. After an error the document may or may not take effect.
func (m *Member) Propose(ctx context.Context, d vdoc.Document) (vdoc.Result, error) {
	body, err := vdoc.Encode(d)
	if err != nil {
		return vdoc.Result{}, err
	}
	return m.propose(ctx, body)
}

// ProposeNotice stores a notice; once it returns nil, the notice survives a restart of all members. After an error the notice may
// or may not take effect.
func (m *Member) ProposeNotice(ctx context.Context, n vdoc.Notice) error {
	body, err := vdoc.EncodeNotice(n)
	if err != nil {
		return err
	}
	_, err = m.propose(ctx, body)
	return err
}

var errFull = errors.Newf("the control group stores %d permanent notices, which is the limit", vdoc.MaxPermanent)

// ChangePermanent carries out a change of the permanent notices; once it returns nil, the change survives a restart of all members.
// After an error it may or may not take effect, but not after a newer change that was acknowledged: what is delivered late is
// rejected. This holds only if the caller still waits for the change when ChangePermanent is called, and ctx ends when it no longer
// does: a caller that has given up may have made a newer one elsewhere. The After of the change is ignored.
func (m *Member) ChangePermanent(ctx context.Context, c vdoc.Change) error {
	for {
		after, err := m.accepted(ctx)
		if err != nil {
			return err
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		c.After = after
		result, err := m.proposeChange(ctx, c)
		switch {
		case err != nil:
			return err
		case result.Full:
			return errFull
		case !result.Conflict:
			return nil
		}
	}
}

func (m *Member) proposeChange(ctx context.Context, c vdoc.Change) (vdoc.Result, error) {
	body, err := vdoc.EncodeChange(c)
	if err != nil {
		return vdoc.Result{}, err
	}
	return m.propose(ctx, body)
}

// accepted returns the number of the last change that was acknowledged by any member before the call, or a later one.
func (m *Member) accepted(ctx context.Context) (number uint64, err error) {
	err = m.read(ctx, func() { number = m.replica.Accepted() })
	return number, err
}

// Permanent returns the permanent notices that this member has applied, and the log index of the last change of them.
func (m *Member) Permanent() (list []vdoc.Notice, index uint64) { return m.replica.Permanent() }

func (m *Member) propose(ctx context.Context, command []byte) (vdoc.Result, error) {
	g := m.node.Load()
	if g == nil {
		return vdoc.Result{}, errNotFormed
	}
	reply, err := g.Propose(ctx, command)
	if err != nil {
		return vdoc.Result{}, err
	}
	return vdoc.DecodeResult(reply)
}

// Notice returns the latest notice under a key that this member has applied.
func (m *Member) Notice(key string) (vdoc.Notice, bool) { return m.replica.Notice(key) }

// Notices returns the notices that this member has applied after the one with a number, and the number of the last one.
func (m *Member) Notices(after uint64) (list []vdoc.Notice, last uint64) {
	return m.replica.Notices(after)
}

// Read is a linearizable read: it returns the newest document acknowledged by any member before the call, or an error if
// this member cannot confirm that.
func (m *Member) Read(ctx context.Context) (vdoc.Document, error) {
	var d vdoc.Document
	err := m.read(ctx, func() { d = m.replica.Latest() })
	return d, err
}

// read calls f once this member has applied all that was acknowledged before the call.
func (m *Member) read(ctx context.Context, f func()) error {
	g := m.node.Load()
	if g == nil {
		return errNotFormed
	}
	return g.Read(ctx, f)
}

// Status returns the state of the member; false if this member runs no Raft node.
func (m *Member) Status() (raftd.Status, bool) {
	g := m.node.Load()
	if g == nil {
		return raftd.Status{}, false
	}
	return g.Status(), true
}

// Addresses returns the peer addresses of the seeds and of all known members, except this one.
func (m *Member) Addresses() []string {
	out := slices.Clone(m.opts.Seeds())
	if s, ok := m.Status(); ok {
		for _, v := range s.Raft.Members {
			out = append(out, v.Address)
		}
	}
	m.mu.Lock()
	out = append(out, m.knownAddresses...)
	m.mu.Unlock()
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return a == "" || a == m.opts.Address })
}

// Handle processes a message from another process; ok is false if its kind does not belong to this package.
func (m *Member) Handle(ctx context.Context, kind peer.Kind, body []byte) (reply []byte, ok bool, err error) {
	switch kind {
	case peer.KindRaft:
		return nil, true, m.receive(body)
	case peer.KindStatus:
		reply, err = cbor.Marshal(m.memberInfo())
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

func (m *Member) memberInfo() MemberInfo {
	id := m.identity.Load()
	info := MemberInfo{Member: id.Member, Cluster: id.Cluster, Initial: id.Bootstrap}
	if s, ok := m.Status(); ok {
		info.Members, info.Leader = s.Raft.Members, s.Raft.Leader
	}
	return info
}

func (m *Member) receive(body []byte) error {
	msg, err := m.transport.Decode(body)
	if err != nil {
		return err
	}
	if g := m.node.Load(); g != nil {
		g.Receive(msg)
	}
	return nil
}

// addAddresses records the addresses of members.
func (m *Member) addAddresses(members []raft.Member) {
	m.transport.SetAddresses(members...)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, v := range members {
		if v.Address == "" {
			continue
		}
		if !slices.Contains(m.knownAddresses, v.Address) && len(m.knownAddresses) < maxKnownAddresses {
			m.knownAddresses = append(m.knownAddresses, v.Address)
		}
	}
}

// maxKnownAddresses bounds the addresses kept when many members are replaced over time.
const maxKnownAddresses = 64
