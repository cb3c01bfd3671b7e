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

type step struct {
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

	current version  // in force
	writing *version // checked, being persisted
	next    *version // committed while another one is being persisted; control nodes only
	history []step
	packed  []byte // compressed current body, made when it is first asked for

	target      uint64 // newest revision known to exist
	targetShort uint64
	confirmed   bool   // the revision in force is known not to be older than one of an earlier life
	floor       uint64 // revision that has to be in force before work is taken
	asked       bool   // a control node has answered since the start

	stamp    uint64
	heardAt  time.Time
	beatAt   time.Time
	started  bool
	peers    SetPeers
	has      map[string]uint64
	fetching *fetch
	attempts int
	tried    map[string]bool
	waiting  []Message // fetches to be answered once the revision is in force

	nextCheck, nextAsk, nextHeard time.Time
}

// beatValid is how long after a beat a control node answers for the group; the check-quorum interval of the group is
// of the same order, so a leader that lost its majority stops answering.
const beatValid = 3 * time.Second

// quickAttempts have the shortest time-out, so that three lost messages in a row stay within half of the 5 s that a
// revision may take. Later ones wait longer, for a source behind a slow link; a late answer counts in any case.
const quickAttempts = 3

// maxWaiting bounds the fetches that a node holds until it has the answer.
const maxWaiting = 256

// New returns a machine that has not started.
func New(cfg Config) *Machine {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cfg.ID)) // never fails
	return &Machine{
		cfg: cfg.withDefaults(), rng: rand.New(rand.NewPCG(cfg.Seed, h.Sum64())),
		has: map[string]uint64{}, tried: map[string]bool{},
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
		maps.DeleteFunc(m.has, func(id string, _ uint64) bool { return !slices.Contains(ev.Local, id) })
		m.pursue(now)
	case Hint:
		m.takeStamp(now, ev.Stamp, false)
		m.aim(now, ev.Revision, ev.Digest)
	case PeerHas:
		m.has[ev.ID] = max(m.has[ev.ID], ev.Revision)
	case Commit:
		m.commit(now, ev)
	case Beat:
		m.beat(now, ev.Stamp)
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
	m.heardAt = now
	m.nextCheck = now.Add(time.Duration(m.rng.Int64N(int64(m.cfg.CheckEvery))))
	if r.Revision == 0 {
		return
	}
	if sha256.Sum256(r.Body) != r.Digest {
		m.emit(Rejected{From: m.cfg.ID, Revision: r.Revision, Err: errors.New("the stored body does not have its digest")})
		return
	}
	m.confirmed = true
	if r.HeardAt.Before(now) {
		m.heardAt = r.HeardAt
	}
	m.activate(now, version{revision: r.Revision, body: r.Body, digest: r.Digest})
}

func (m *Machine) tick(now time.Time) {
	if !m.started {
		return
	}
	if f := m.fetching; f != nil && !now.Before(f.deadline) {
		m.giveUp(f)
	}
	m.pursue(now)
	if !now.Before(m.nextCheck) {
		m.nextCheck = now.Add(m.cfg.CheckEvery)
		m.check()
	}
	if m.cfg.Disk && !now.Before(m.nextHeard) {
		m.nextHeard = now.Add(time.Minute)
		m.emit(PersistHeard{At: m.heardAt})
	}
	m.ask(now)
}

// ask questions a control node: at once after the start, then regularly by the representatives, and by any node that
// gossip does not reach.
func (m *Machine) ask(now time.Time) {
	need := !m.asked && !m.confirmed || m.peers.Lead || now.Sub(m.heardAt) > 3*m.cfg.AskEvery
	if !need || now.Before(m.nextAsk) || len(m.peers.Control) == 0 || m.cfg.Control {
		return
	}
	m.nextAsk = now.Add(m.cfg.AskEvery)
	if !m.asked {
		m.nextAsk = now.Add(time.Second)
	}
	m.seq++
	m.send(m.peers.Control[m.rng.IntN(len(m.peers.Control))], Message{Kind: KindAsk, Seq: m.seq})
}

// check compares the revision in force with that of a random peer, which repairs lost gossip.
func (m *Machine) check() {
	if p := m.peers.Local; len(p) > 0 && m.current.revision > 0 {
		m.send(p[m.rng.IntN(len(p))], Message{
			Kind: KindCheck, Revision: m.current.revision, Short: Short(m.current.digest),
		})
	}
}

// takeStamp notes news of the control group. The first stamp after a start may be old, so only growth counts as news.
func (m *Machine) takeStamp(now time.Time, stamp uint64, direct bool) {
	if stamp > m.stamp {
		if m.stamp > 0 || direct {
			m.heardAt = now
		}
		m.stamp = stamp
	} else if direct {
		m.heardAt = now
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
				Stamp: m.stamp, Confirmed: m.inMajority(now),
			})
		}
	case KindLatest:
		m.takeLatest(now, msg)
	case KindFetch:
		m.takeFetch(now, msg)
	case KindBody:
		m.takeBody(now, msg)
	case KindCheck:
		m.takeCheck(now, msg)
	}
}

func (m *Machine) inMajority(now time.Time) bool {
	return !m.beatAt.IsZero() && now.Sub(m.beatAt) < beatValid
}

// takeLatest takes the answer of a control node. Only one that is in the majority counts: another one may have missed
// revisions that this node had in force before it was restarted.
func (m *Machine) takeLatest(now time.Time, msg Message) {
	if !msg.Confirmed {
		m.nextAsk = now.Add(200 * time.Millisecond)
		return
	}
	m.takeStamp(now, msg.Stamp, true)
	if !m.asked {
		m.asked = true
		m.floor = msg.Revision
	}
	if m.current.revision >= m.floor {
		m.confirmed = true
	}
	if m.target < msg.Revision {
		m.aim(now, msg.Revision, msg.Short)
	}
	m.pursue(now)
}

// commit takes a revision from the group of which this control node is a member.
func (m *Machine) commit(now time.Time, c Commit) {
	base := m.current
	if m.next != nil {
		base = *m.next
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
		if m.next != nil {
			v.steps = nil // a revision is skipped; its difference would not be found
		}
		m.next = &v
		return
	}
	m.accept(now, v)
}

// accept puts a checked revision in force, on a node with a disk after it was written.
func (m *Machine) accept(now time.Time, v version) {
	if m.cfg.Disk {
		m.writing = &v
		m.emit(Persist{Revision: v.revision, Digest: v.digest, Body: v.body, HeardAt: m.heardAt})
		return
	}
	m.activate(now, v)
}

func (m *Machine) activate(now time.Time, v version) {
	if v.revision <= m.current.revision {
		return
	}
	m.remember(v)
	m.current, m.packed, m.attempts = v, nil, 0
	m.current.steps = nil
	clear(m.tried)
	if v.revision >= m.target {
		m.target, m.targetShort = v.revision, Short(v.digest)
	}
	if v.revision >= m.floor && m.asked {
		m.confirmed = true
	}
	m.emit(Activate{Revision: v.revision, Body: v.body})
	m.emit(Publish{Stamp: m.stamp, Revision: v.revision, Digest: Short(v.digest)})
	held := m.waiting
	m.waiting = nil
	for _, w := range held {
		m.takeFetch(now, w)
	}
	if n := m.next; n != nil {
		m.next = nil
		m.accept(now, *n)
	}
	m.pursue(now)
}

// remember keeps the differences for nodes that are a few revisions behind.
func (m *Machine) remember(v version) {
	if len(v.steps) == 0 {
		m.history = nil
		return
	}
	at := v.from
	for _, s := range v.steps {
		m.history = append(m.history, step{at, s})
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

func (m *Machine) takeCheck(now time.Time, msg Message) {
	if slices.Contains(m.peers.Local, msg.From) {
		m.has[msg.From] = max(m.has[msg.From], msg.Revision)
	}
	switch cmp.Compare(msg.Revision, m.current.revision) {
	case 1:
		m.aim(now, msg.Revision, msg.Short)
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

// beat takes a heartbeat of the control group and passes it to the gossip.
func (m *Machine) beat(now time.Time, stamp uint64) {
	m.beatAt = now
	m.asked = true
	m.takeStamp(now, stamp, true)
	m.emit(Publish{Stamp: m.stamp, Revision: m.current.revision, Digest: Short(m.current.digest)})
}

// Serve returns which work the node may take.
func (m *Machine) Serve(now time.Time) Service {
	switch {
	case m.current.revision == 0 || !m.confirmed:
		return ServeNone
	case now.Sub(m.heardAt) > m.cfg.StaleAfter:
		return ServeUrgent
	default:
		return ServeAll
	}
}

// InForce returns the revision in force; 0 means none.
func (m *Machine) InForce() uint64 { return m.current.revision }

// StaleFor returns the time since the last news of the control group.
func (m *Machine) StaleFor(now time.Time) time.Duration { return now.Sub(m.heardAt) }
