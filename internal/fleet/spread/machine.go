package spread

import (
	"cmp"
	"crypto/sha256"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/pack"
)

type version struct {
	revision uint64
	body     []byte
	digest   Sum
	steps    []StepTo // that led to it, empty for a snapshot
	from     uint64   // revision that the steps start from
}

type historyEntry struct {
	from uint64
	StepTo
}

type fetch struct {
	to       string
	seq      uint64
	deadline time.Time
	full     bool
}

// Machine is the state machine of one node. It is not safe for concurrent use.
type Machine struct {
	cfg Config
	rng *rand.Rand
	out []Action
	seq uint64

	current    version  // active
	writing    *version // checked, being persisted
	queued     *version // committed while another one is being persisted; control nodes only
	history    []historyEntry
	compressed []byte // compressed current body, made when it is first asked for

	target          uint64 // newest revision known to exist
	targetShort     uint64
	confirmed       bool   // the revision in force is known not to be older than one of an earlier life
	minRevision     uint64 // revision that has to be in force before work is taken
	controlAnswered bool   // a control node has answered since the start

	stamp          uint64
	lastContact    time.Time
	lastHeartbeat  time.Time
	started        bool
	peers          SetPeers
	peerRevisions  map[string]uint64
	fetching       *fetch
	attempts       int
	triedSources   map[string]bool
	pendingFetches []Message // fetches to be answered once the revision is in force

	nextCheck, nextAsk, nextHeard time.Time
}

// heartbeatTTL is how long after a heartbeat a control node answers for the group; the check-quorum interval of the group is
// of the same order, so a leader that lost its majority stops answering.
const heartbeatTTL = 3 * time.Second

// quickAttempts have the shortest time-out, so that three lost messages in a row stay within half of the 5 s that a
// revision may take. Later ones wait longer, for a source behind a slow link; a late answer counts in any case.
const quickAttempts = 3

// maxPendingFetches bounds the fetch requests that a node holds until it has the revision.
const maxPendingFetches = 256

// New returns a machine that has not started.
func New(cfg Config) *Machine {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cfg.ID)) // never fails
	return &Machine{
		cfg: cfg.withDefaults(), rng: rand.New(rand.NewPCG(cfg.Seed, h.Sum64())),
		peerRevisions: map[string]uint64{}, triedSources: map[string]bool{},
	}
}

// Step takes one event and returns the actions that follow from it, in order.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.out = nil
	switch ev := ev.(type) {
	case Start:
		m.start(now, ev.Restored)
	case Tick:
		m.tick(now)
	case Received:
		m.receive(now, ev.Message)
	case SetPeers:
		m.peers = ev
		maps.DeleteFunc(m.peerRevisions, func(id string, _ uint64) bool { return !slices.Contains(ev.Local, id) })
		m.startFetch(now)
	case Hint:
		m.observeStamp(now, ev.Stamp, false)
		m.setTarget(now, ev.Revision, ev.Digest)
	case PeerHas:
		m.peerRevisions[ev.ID] = max(m.peerRevisions[ev.ID], ev.Revision)
	case Commit:
		m.handleCommit(now, ev)
	case Beat:
		m.handleHeartbeat(now, ev.Stamp)
	case Persisted:
		if w := m.writing; w != nil && w.revision == ev.Revision {
			m.writing = nil
			m.activate(now, *w)
		}
	case SetStaleAfter:
		m.cfg.StaleAfter = ev.D
	}
	return m.out
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

func (m *Machine) send(to string, msg Message) {
	msg.From = m.cfg.ID
	m.emit(Send{To: to, Message: msg})
}

// start takes over what the disk kept. A node without it waits for a control node, because a peer may be older than
// what this node had in force before it was restarted.
func (m *Machine) start(now time.Time, r Restored) {
	m.started = true
	m.lastContact = now
	m.nextCheck = now.Add(time.Duration(m.rng.Int64N(int64(m.cfg.CheckEvery))))
	if r.Revision == 0 {
		return
	}
	if sha256.Sum256(r.Body) != r.Digest {
		m.emit(Rejected{From: m.cfg.ID, Revision: r.Revision, Err: errors.New("stored body does not match its digest")})
		return
	}
	m.confirmed = true
	if r.HeardAt.Before(now) {
		m.lastContact = r.HeardAt
	}
	m.activate(now, version{revision: r.Revision, body: r.Body, digest: r.Digest})
}

func (m *Machine) tick(now time.Time) {
	if !m.started {
		return
	}
	if f := m.fetching; f != nil && !now.Before(f.deadline) {
		m.failFetch(f)
	}
	m.startFetch(now)
	if !now.Before(m.nextCheck) {
		m.nextCheck = now.Add(m.cfg.CheckEvery)
		m.sendCheck()
	}
	if m.cfg.Disk && !now.Before(m.nextHeard) {
		m.nextHeard = now.Add(time.Minute)
		m.emit(PersistHeard{At: m.lastContact})
	}
	m.queryControl(now)
}

// queryControl asks a control node for the newest revision: at once after the start, then regularly by the representatives, and by any node that
// gossip does not reach.
func (m *Machine) queryControl(now time.Time) {
	need := !m.controlAnswered && !m.confirmed || m.peers.Lead || now.Sub(m.lastContact) > 3*m.cfg.AskEvery
	if !need || now.Before(m.nextAsk) || len(m.peers.Control) == 0 || m.cfg.Control {
		return
	}
	m.nextAsk = now.Add(m.cfg.AskEvery)
	if !m.controlAnswered {
		m.nextAsk = now.Add(time.Second)
	}
	m.seq++
	m.send(m.peers.Control[m.rng.IntN(len(m.peers.Control))], Message{Kind: KindAsk, Seq: m.seq})
}

// sendCheck compares the active revision with that of a random peer, which repairs lost gossip.
func (m *Machine) sendCheck() {
	if p := m.peers.Local; len(p) > 0 && m.current.revision > 0 {
		m.send(p[m.rng.IntN(len(p))], Message{
			Kind: KindCheck, Revision: m.current.revision, Short: Short(m.current.digest),
		})
	}
}

// observeStamp records contact with the control group. The first stamp after a start may be old, so only an increase counts as contact.
func (m *Machine) observeStamp(now time.Time, stamp uint64, direct bool) {
	if stamp > m.stamp {
		if m.stamp > 0 || direct {
			m.lastContact = now
		}
		m.stamp = stamp
	} else if direct {
		m.lastContact = now
	}
}

func (m *Machine) receive(now time.Time, msg Message) {
	if !m.started {
		return
	}
	switch msg.Kind {
	case KindAsk:
		if m.cfg.Control {
			m.send(msg.From, Message{
				Kind: KindLatest, Seq: msg.Seq, Revision: m.current.revision, Short: Short(m.current.digest),
				Stamp: m.stamp, Confirmed: m.hasQuorum(now),
			})
		}
	case KindLatest:
		m.handleLatest(now, msg)
	case KindFetch:
		m.handleFetch(now, msg)
	case KindBody:
		m.handleBody(now, msg)
	case KindCheck:
		m.handleCheck(now, msg)
	}
}

func (m *Machine) hasQuorum(now time.Time) bool {
	return !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) < heartbeatTTL
}

// handleLatest processes the response of a control node. Only one with quorum counts: another one may have missed
// revisions that this node had in force before it was restarted.
func (m *Machine) handleLatest(now time.Time, msg Message) {
	if !msg.Confirmed {
		m.nextAsk = now.Add(200 * time.Millisecond)
		return
	}
	m.observeStamp(now, msg.Stamp, true)
	if !m.controlAnswered {
		m.controlAnswered = true
		m.minRevision = msg.Revision
	}
	if m.current.revision >= m.minRevision {
		m.confirmed = true
	}
	if m.target < msg.Revision {
		m.setTarget(now, msg.Revision, msg.Short)
	}
	m.startFetch(now)
}

// handleCommit processes a revision committed by the group of which this control node is a member.
func (m *Machine) handleCommit(now time.Time, c Commit) {
	base := m.current
	if m.queued != nil {
		base = *m.queued
	} else if m.writing != nil {
		base = *m.writing
	}
	if c.Revision <= base.revision {
		return
	}
	v := version{revision: c.Revision, body: c.Body, digest: sha256.Sum256(c.Body), from: base.revision}
	if base.revision > 0 {
		v.steps = []StepTo{{c.Revision, pack.Compress(c.Body, base.body)}}
	}
	m.confirmed = true
	if c.Revision >= m.target { // gossip may be ahead of the local log
		m.target, m.targetShort = c.Revision, Short(v.digest)
	}
	if m.writing != nil {
		if m.queued != nil {
			v.steps = nil // a revision is skipped; its difference would not be found
		}
		m.queued = &v
		return
	}
	m.accept(now, v)
}

// accept activates a verified revision, on a node with a disk after it was persisted.
func (m *Machine) accept(now time.Time, v version) {
	if m.cfg.Disk {
		m.writing = &v
		m.emit(Persist{Revision: v.revision, Digest: v.digest, Body: v.body, HeardAt: m.lastContact})
		return
	}
	m.activate(now, v)
}

func (m *Machine) activate(now time.Time, v version) {
	if v.revision <= m.current.revision {
		return
	}
	m.recordHistory(v)
	m.current, m.compressed, m.attempts = v, nil, 0
	m.current.steps = nil
	clear(m.triedSources)
	if v.revision >= m.target {
		m.target, m.targetShort = v.revision, Short(v.digest)
	}
	if v.revision >= m.minRevision && m.controlAnswered {
		m.confirmed = true
	}
	m.emit(Activate{Revision: v.revision, Body: v.body})
	m.emit(Publish{Stamp: m.stamp, Revision: v.revision, Digest: Short(v.digest)})
	held := m.pendingFetches
	m.pendingFetches = nil
	for _, w := range held {
		m.handleFetch(now, w)
	}
	if n := m.queued; n != nil {
		m.queued = nil
		m.accept(now, *n)
	}
	m.startFetch(now)
}

// recordHistory keeps the deltas for nodes that are a few revisions behind.
func (m *Machine) recordHistory(v version) {
	if len(v.steps) == 0 {
		m.history = nil
		return
	}
	at := v.from
	for _, s := range v.steps {
		m.history = append(m.history, historyEntry{at, s})
		at = s.Revision
	}
	size := 0
	for i := len(m.history) - 1; i >= 0; i-- {
		size += len(m.history[i].Delta)
		if size > m.cfg.HistoryBytes || len(m.history)-i > m.cfg.History {
			m.history = slices.Clone(m.history[i+1:])
			return
		}
	}
}

func (m *Machine) handleCheck(now time.Time, msg Message) {
	if slices.Contains(m.peers.Local, msg.From) {
		m.peerRevisions[msg.From] = max(m.peerRevisions[msg.From], msg.Revision)
	}
	switch cmp.Compare(msg.Revision, m.current.revision) {
	case 1:
		m.setTarget(now, msg.Revision, msg.Short)
	case -1:
		if m.confirmed {
			m.send(msg.From, Message{Kind: KindCheck, Revision: m.current.revision, Short: Short(m.current.digest)})
		}
	case 0:
		if msg.Revision > 0 && msg.Short != Short(m.current.digest) {
			m.emit(Conflict{Revision: msg.Revision, With: msg.From})
		}
	}
}

// handleHeartbeat processes a heartbeat of the control group and publishes it through gossip.
func (m *Machine) handleHeartbeat(now time.Time, stamp uint64) {
	m.lastHeartbeat = now
	m.controlAnswered = true
	m.observeStamp(now, stamp, true)
	m.emit(Publish{Stamp: m.stamp, Revision: m.current.revision, Digest: Short(m.current.digest)})
}

// Serve returns the class of requests that the node may serve.
func (m *Machine) Serve(now time.Time) Service {
	switch {
	case m.current.revision == 0 || !m.confirmed:
		return ServeNone
	case now.Sub(m.lastContact) > m.cfg.StaleAfter:
		return ServeUrgent
	default:
		return ServeAll
	}
}

// InForce returns the active revision; 0 means none.
func (m *Machine) InForce() uint64 { return m.current.revision }

// StaleFor returns the time since the last contact with the control group.
func (m *Machine) StaleFor(now time.Time) time.Duration { return now.Sub(m.lastContact) }
