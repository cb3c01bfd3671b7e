package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

type entry struct {
	Node
	since    time.Time // of the present state
	before   State     // state before a suspicion
	local    bool      // verdict formed while this node was isolated; not gossiped, any peer's knowledge replaces it
	accusers []string
}

type tombstone struct {
	incarnation uint64
	at          time.Time
}

type rumour struct {
	id   string
	sent int
	once bool // probably known to the others; sent to one peer, after all others
}

func compareRumours(a, b rumour) int {
	if a.once != b.once {
		if a.once {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.sent, b.sent)
}

// remote is what is known about another data centre.
type remote struct {
	heard   time.Time // last heartbeat of a representative
	asked   time.Time // last request for its records
	status  Status
	sinceID int // heartbeats since the own record was sent along
}

// Machine is the membership state machine of one node. It is not safe for concurrent use.
type Machine struct {
	cfg  Config
	rng  *rand.Rand
	self Node
	left bool
	out  []Action
	seq  uint64

	nodes   map[string]*entry // without the node itself
	tombs   map[string]tombstone
	digests map[string]uint64 // by data centre
	remotes map[string]*remote
	queue   []rumour
	outbox  []string // ids whose records other data centres are to be told

	learning int // how the records of the present message are passed on

	hint     Hint
	hintLeft int // gossip messages that still carry a new revision

	dirty bool // the fields below are out of date
	local []*entry
	dcs   []string // other data centres with present nodes
	byDC  map[string][]*entry
	reps  map[string][]*entry
	isRep bool

	silent  []string            // data centres that this representative does not hear
	claims  map[string][]string // the same of the representatives of the own data centre, by id
	outside map[string]bool     // data centres out of reach by majority

	started   time.Time
	lastHeard time.Time
	isolated  bool
	health    int // local health: 0 is healthy; probe time-outs are multiplied by 1+health
	probe     *probe
	order     []string // nodes still to be probed in this pass
	relays    map[uint64]relayedPing
	drain     *notice
	fans      map[string]*notice
	reports   map[string]int // representatives that have not yet acknowledged the own revision: attempts

	nextProbe, nextGossip, nextSync, nextReconnect, nextBeat, nextScan, nextReport time.Time
}

// New returns a machine that has not started. Config.Self needs ID, Address, DataCentre and Region.
func New(cfg Config) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, hashID(cfg.Self.ID))), self: cfg.Self, dirty: true,
		nodes: map[string]*entry{}, tombs: map[string]tombstone{}, digests: map[string]uint64{},
		remotes: map[string]*remote{}, relays: map[uint64]relayedPing{}, fans: map[string]*notice{},
		reports: map[string]int{}, claims: map[string][]string{}, outside: map[string]bool{},
	}
	m.self.State = Alive
	return m
}

// Step takes one event and returns the actions that follow from it, in order.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.out = nil
	switch ev := ev.(type) {
	case Start:
		m.start(now)
	case Tick:
		m.tick(now)
	case Received:
		m.receive(now, ev.Message)
	case Drain:
		m.startDrain(now)
	case Leave:
		m.leave()
	case SetHint:
		m.mergeHint(ev.Hint, "")
	case SetRevision:
		m.setRevision(now, ev.Revision)
	}
	return m.out
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

func (m *Machine) start(now time.Time) {
	if m.self.Incarnation == 0 {
		m.self.Incarnation = uint64(now.UnixMilli())
	}
	m.started, m.lastHeard = now, now
	m.digests[m.self.DataCentre] ^= digestOf(m.self)
	m.nextProbe = now.Add(m.jitter(m.cfg.ProbeEvery))
	m.nextBeat = now.Add(m.jitter(m.cfg.BeatEvery))
	m.nextSync = now.Add(m.jitter(m.cfg.SyncEvery))
	m.nextReconnect = now.Add(m.cfg.ProbeEvery)
	seeds := slices.DeleteFunc(slices.Clone(m.cfg.Seeds), func(a string) bool { return a == m.self.Address })
	if len(seeds) > 0 { // one, because each answers with all records; reconnect tries others when it does not
		m.sendTo("", seeds[m.rng.IntN(len(seeds))], m.syncRequest())
	}
}

// jitter returns a random part of d, so that nodes started together do not act together.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

func (m *Machine) tick(now time.Time) {
	if m.left || m.started.IsZero() {
		return
	}
	if !m.isolated && now.Sub(m.lastHeard) > isolatedAfter*m.cfg.ProbeEvery && len(m.peers()) > 0 {
		m.isolate()
	}
	m.tickProbe(now)
	m.tickNotices(now)
	m.flushOutbox()
	if due(now, &m.nextGossip, m.cfg.GossipEvery) {
		m.gossip()
	}
	if due(now, &m.nextScan, time.Second) {
		m.scan(now)
	}
	if due(now, &m.nextSync, m.cfg.SyncEvery) {
		if p := m.peers(); len(p) > 0 {
			m.send(p[m.rng.IntN(len(p))], m.syncRequest())
		}
	}
	if due(now, &m.nextReconnect, m.cfg.ReconnectEvery) {
		m.reconnect(now)
	}
	if due(now, &m.nextBeat, m.cfg.BeatEvery) {
		m.beat(now)
	}
	if len(m.reports) > 0 && due(now, &m.nextReport, time.Second) {
		m.sendReports()
	}
}

// due reports whether a periodic task is due and plans its next time. A late task is not made up for.
func due(now time.Time, next *time.Time, every time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = next.Add(every)
	if next.Before(now) {
		*next = now.Add(every)
	}
	return true
}

// receive handles one message. Records in it are judged by themselves, so late and repeated messages are harmless.
func (m *Machine) receive(now time.Time, msg Message) {
	if m.left || m.started.IsZero() || msg.From == m.self.ID || msg.From == "" {
		return
	}
	m.header(now, msg)
	m.learning = m.howToSpread(now, msg)
	var corrections []Node
	for _, u := range msg.Updates {
		if c, refused := m.merge(now, u); refused {
			corrections = append(corrections, c)
		}
	}
	m.learning = spreadFully
	if c, ok := m.outdated(msg); ok {
		corrections = append(corrections, c)
	}
	switch msg.Kind {
	case KindPing:
		m.reply(msg, Message{Kind: KindAck, Seq: msg.Seq, Updates: corrections})
	case KindAck:
		m.ack(now, msg)
	case KindPingReq:
		m.pingFor(now, msg)
	case KindNack:
		m.nack(msg)
	case KindGossip:
	case KindSync:
		m.answerSync(msg, corrections)
	case KindSyncReply:
		m.takeSync(msg)
	case KindSyncPush:
		if len(corrections) > 0 {
			m.reply(msg, Message{Kind: KindGossip, Updates: corrections})
		}
	case KindNotice:
		m.takeNotice(now, msg)
	case KindNoticeAck:
		m.takeNoticeAck(now, msg)
	case KindBeat:
		m.takeBeat(now, msg)
	case KindReport:
		m.reply(msg, Message{Kind: KindAck, Seq: msg.Seq, Updates: corrections})
	}
}

// header takes what each message carries: proof that the sender can reach this node, its revision and the hint.
func (m *Machine) header(now time.Time, msg Message) {
	m.lastHeard = now
	wasIsolated := m.isolated
	m.isolated = false
	m.mergeHint(msg.Hint, msg.From)
	e := m.nodes[msg.From]
	if e == nil {
		return
	}
	if e.local && msg.Incarnation >= e.Incarnation {
		n := e.Node
		n.State = max(e.before, Alive)
		m.set(now, e, n)
	}
	if msg.Incarnation >= e.Incarnation && msg.Revision > e.Revision {
		e.Revision = msg.Revision
		if e.DataCentre == m.self.DataCentre {
			m.emit(PeerRevision{ID: e.ID, Revision: e.Revision})
		}
	}
	if slices.Contains(m.reps[m.self.DataCentre], e) {
		m.claims[e.ID] = msg.Silent
	}
	if wasIsolated {
		m.send(e, m.syncRequest())
	}
}

func (m *Machine) mergeHint(h Hint, from string) {
	grown := false
	if h.Stamp > m.hint.Stamp {
		m.hint.Stamp, grown = h.Stamp, true
	}
	if h.Revision > m.hint.Revision {
		m.hint.Revision, m.hint.Digest, grown = h.Revision, h.Digest, true
		m.hintLeft = m.transmits()
		m.tellAllRegions()
	}
	if grown {
		m.emit(HintChanged{Hint: m.hint, From: from})
	}
}

// transmits is the number of messages that carry one change: enough to reach each node with high probability.
func (m *Machine) transmits() int { return 3 + 2*bits.Len(uint(len(m.peers())+1)) }

// refresh recomputes what is derived from the records, after they changed.
func (m *Machine) refresh() {
	if !m.dirty {
		return
	}
	m.dirty = false
	m.local, m.dcs = nil, nil
	m.byDC, m.reps = map[string][]*entry{}, map[string][]*entry{}
	for _, e := range m.nodes {
		if e.State.Present() {
			m.byDC[e.DataCentre] = append(m.byDC[e.DataCentre], e)
		}
	}
	for dc, list := range m.byDC {
		slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
		if dc != m.self.DataCentre {
			m.dcs = append(m.dcs, dc)
			m.reps[dc] = m.elect(list)
		}
	}
	slices.Sort(m.dcs)
	m.local = m.byDC[m.self.DataCentre]
	own := &entry{Node: m.self}
	reps := m.elect(append([]*entry{own}, m.local...))
	m.isRep = slices.Contains(reps, own)
	m.reps[m.self.DataCentre] = slices.DeleteFunc(reps, func(e *entry) bool { return e == own })
	if m.isRep {
		for _, dc := range m.dcs {
			if m.remotes[dc] == nil {
				m.remotes[dc] = &remote{}
			}
		}
	}
}

// elect chooses the representatives of a data centre: control nodes first, because they need the summaries, then by a
// hash, so that all nodes with the same view choose the same ones and no node is preferred everywhere.
func (m *Machine) elect(list []*entry) []*entry {
	var able []*entry
	for _, e := range list {
		if e.State == Alive || e.State == Draining {
			able = append(able, e)
		}
	}
	slices.SortFunc(able, func(a, b *entry) int {
		return cmp.Or(-cmp.Compare(a.Roles&RoleControl, b.Roles&RoleControl), cmp.Compare(hashID(a.ID), hashID(b.ID)))
	})
	return able[:min(len(able), m.cfg.Representatives)]
}

// peers returns the present nodes of the own data centre without this one, ordered by id.
func (m *Machine) peers() []*entry {
	m.refresh()
	return m.local
}
