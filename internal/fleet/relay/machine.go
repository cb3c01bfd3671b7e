package relay

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"github.com/berylledge/berylledge/pkg/upapi"
)

// upstream is the state of an upstream of this data centre, received directly or from a peer.
type upstream struct {
	upapi.Announce
	renewed time.Time // last renewal, at this node's clock
	load    upapi.Load
	loadAt  time.Time
}

func (u *upstream) until() time.Time {
	return u.renewed.Add(time.Duration(u.LeaseMS) * time.Millisecond)
}

// directUpstream is an upstream that reports directly to this node.
type directUpstream struct {
	handle  uint64
	renewed time.Time // last renewal received directly
	relayed time.Time // last renewal sent to peers
	load    upapi.Load
	loadAt  time.Time
	sent    upapi.Load // last load sent to peers
	sentAt  time.Time
	loadDue bool // load is due to be sent to peers
}

// origin maps the handles of a peer to upstreams.
type origin struct {
	epoch   uint64
	version uint64
	ids     map[uint64]upapi.Renew
	asked   time.Time
}

// leave is a leave that some peers have not acknowledged yet.
type leave struct {
	gone    Gone
	waiting map[string]bool
	next    time.Time
	until   time.Time
}

type tombstone struct {
	incarnation uint64
	at          time.Time
}

// Machine is the state machine of one node. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	rng   *rand.Rand
	out   []Action
	epoch uint64
	seq   uint64
	peers SetPeers

	all        map[string]*upstream
	own        map[string]*directUpstream
	handles    uint64 // last allocated handle
	newDefs    bool   // the next batch is sent even if empty: new handles or a new peer
	defined    uint64 // last handle whose definition was sent in a batch
	origins    map[string]*origin
	tombstones map[string]tombstone
	leaves     map[uint64]*leave

	sentSummaries map[string]*sentSummary
	newestSummary map[string]uint64 // newest summary by data centre

	nextBatch, nextSummary, nextScan time.Time
}

// sentSummary is the last summary that was sent to a data centre.
type sentSummary struct {
	at    time.Time
	pools []Pool
}

const (
	leaveRetryInterval = 300 * time.Millisecond
	// leaveTimeout is the bound of P5: a peer that has not acknowledged by then is partitioned, and the lease expires there.
	leaveTimeout = 3 * time.Second
	// refreshLoad is the age after which an unchanged load report is resent.
	refreshLoad = 5 * time.Second
	// refreshSummary is the age after which an unchanged summary is resent.
	refreshSummary = 15 * time.Second
	// A renewal is relayed when 1/leaseFraction of the lease has passed since the last relayed one.
	leaseFraction     = 4
	wantRetryInterval = 500 * time.Millisecond
)

// New returns a machine without peers.
func New(cfg Config) *Machine {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cfg.ID)) // never fails
	return &Machine{
		cfg: cfg.withDefaults(), rng: rand.New(rand.NewPCG(cfg.Seed, h.Sum64())),
		all: map[string]*upstream{}, own: map[string]*directUpstream{}, origins: map[string]*origin{},
		tombstones: map[string]tombstone{}, leaves: map[uint64]*leave{}, sentSummaries: map[string]*sentSummary{}, newestSummary: map[string]uint64{},
	}
}

// Step takes one event and returns the actions that follow from it, in order.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.out = nil
	if m.epoch == 0 {
		m.epoch = uint64(now.UnixMilli())
		m.nextBatch = now.Add(time.Duration(m.rng.Int64N(int64(m.cfg.Every))))
		m.nextSummary = now.Add(time.Duration(m.rng.Int64N(int64(m.cfg.SummaryEvery))))
	}
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case Received:
		m.receive(now, ev.Message)
	case SetPeers:
		m.setPeers(ev)
	case Announced:
		m.announced(now, ev.Announce)
	case Renewed:
		if u := m.known(ev.Renew); u != nil {
			u.renewed = now
			m.adopt(ev.Renew.ID, now)
		}
	case Left:
		m.left(now, Gone{ev.Renew.ID, ev.Renew.Incarnation})
	case Loaded:
		m.loaded(now, ev.Load)
	}
	return m.out
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

func (m *Machine) send(to string, msg Message) {
	msg.From = m.cfg.ID
	m.emit(Send{To: to, Message: msg})
}

func (m *Machine) setPeers(p SetPeers) {
	m.newDefs = m.newDefs || slices.ContainsFunc(p.Local, func(id string) bool { return !slices.Contains(m.peers.Local, id) })
	m.peers = p
	maps.DeleteFunc(m.origins, func(id string, _ *origin) bool { return !slices.Contains(p.Local, id) })
	for _, seq := range slices.Sorted(maps.Keys(m.leaves)) {
		maps.DeleteFunc(m.leaves[seq].waiting, func(id string, _ bool) bool { return !slices.Contains(p.Local, id) })
		m.finishLeave(seq)
	}
}

func (m *Machine) known(r upapi.Renew) *upstream {
	if u := m.all[r.ID]; u != nil && u.Incarnation == r.Incarnation {
		return u
	}
	return nil
}

// storeAnnounce stores an announcement and reports whether it was accepted. It rejects an older incarnation and one that has left.
func (m *Machine) storeAnnounce(a upapi.Announce, at time.Time) bool {
	if g, ok := m.tombstones[a.ID]; ok && a.Incarnation <= g.incarnation {
		return false
	}
	u := m.all[a.ID]
	if u != nil && u.Incarnation > a.Incarnation {
		return false
	}
	if u == nil || u.Incarnation < a.Incarnation {
		u = &upstream{}
		m.all[a.ID] = u
	}
	u.Announce = a
	if at.After(u.renewed) {
		u.renewed = at
	}
	return true
}

func (m *Machine) announced(now time.Time, a upapi.Announce) {
	if u := m.all[a.ID]; u != nil && m.own[a.ID] != nil && reflect.DeepEqual(u.Announce, a) {
		u.renewed = now
		m.adopt(a.ID, now)
		return
	}
	if !m.storeAnnounce(a, now) {
		return
	}
	if o := m.own[a.ID]; o != nil && o.handle <= m.defined {
		delete(m.own, a.ID) // its handle was defined differently; it gets a new one
	}
	m.adopt(a.ID, now)
	m.nextBatch = minTime(m.nextBatch, now.Add(200*time.Millisecond)) // a new upstream should get work soon
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// adopt makes this node relay the state of an upstream. When an upstream switches entry nodes, the new node adopts it at
// its next renewal, and the old node stops because it receives no more renewals.
func (m *Machine) adopt(id string, now time.Time) *directUpstream {
	o := m.own[id]
	if o == nil {
		m.handles++
		o = &directUpstream{handle: m.handles}
		m.own[id] = o
		m.newDefs = true
	}
	o.renewed = now
	return o
}

func (m *Machine) loaded(now time.Time, l upapi.Load) {
	u := m.known(upapi.Renew{ID: l.ID, Incarnation: l.Incarnation})
	at := now.Add(-time.Duration(l.AgeMS) * time.Millisecond)
	if u == nil || !at.After(u.loadAt) {
		return
	}
	u.load, u.loadAt = l, at
	o := m.own[l.ID]
	if o == nil {
		return // it has not announced itself or renewed here yet
	}
	o.load, o.loadAt = l, at
	o.loadDue = o.sentAt.IsZero() || loadDiffers(l, o.sent, u.Slots) || now.Sub(o.sentAt) >= refreshLoad
}

// loadDiffers reports whether a load has changed enough to relay: by an eighth of the slots, a quarter of the queueing delay
// or a tenth of the KV cache use. Smaller changes are within the lag of the report itself.
func loadDiffers(a, b upapi.Load, slots int) bool {
	return differsBy(int64(a.Running+a.Waiting), int64(b.Running+b.Waiting), int64(max(slots/8, 1))) ||
		differsBy(a.QueueMS, b.QueueMS, max(b.QueueMS/4, 10)) || differsBy(a.KVUsedTokens, b.KVUsedTokens, max(b.KVUsedTokens/10, 1))
}

func differsBy(a, b, by int64) bool { return a-b >= by || b-a >= by }

func (m *Machine) tick(now time.Time) {
	if !now.Before(m.nextBatch) {
		every := max(m.cfg.Every, time.Duration(len(m.peers.Local))*time.Second/time.Duration(m.cfg.MaxMessages))
		m.nextBatch = now.Add(every)
		m.sendBatch(now)
	}
	for _, seq := range slices.Sorted(maps.Keys(m.leaves)) {
		m.sendLeave(now, seq)
	}
	if !now.Before(m.nextSummary) {
		m.nextSummary = now.Add(m.cfg.SummaryEvery)
		m.summarize(now)
	}
	if !now.Before(m.nextScan) {
		m.nextScan = now.Add(time.Second)
		m.deleteExpired(now)
	}
}

// sendBatch sends new definitions, due renewals and changed loads to all peers.
func (m *Machine) sendBatch(now time.Time) {
	msg := Message{Kind: KindBatch, Epoch: m.epoch, Version: m.handles}
	for _, id := range slices.Sorted(maps.Keys(m.own)) {
		o, u := m.own[id], m.all[id]
		if u == nil {
			continue
		}
		lease := time.Duration(u.LeaseMS) * time.Millisecond
		switch {
		case o.handle > m.defined:
			msg.Defs = append(msg.Defs, m.define(o, u, now))
			o.relayed = o.renewed
		case o.renewed.After(o.relayed) && now.Sub(o.relayed) >= lease/leaseFraction:
			msg.Renews = append(msg.Renews, Renewal{Handle: o.handle, AgeMS: ms(now.Sub(o.renewed))})
			o.relayed = o.renewed
		}
		if o.loadDue {
			o.loadDue, o.sent, o.sentAt = false, o.load, now
			msg.Loads = append(msg.Loads, Load{
				Handle: o.handle, Running: o.load.Running, Waiting: o.load.Waiting, QueueMS: o.load.QueueMS,
				KVKilo: o.load.KVUsedTokens >> 10, AgeMS: ms(now.Sub(o.loadAt)),
			})
		}
	}
	slices.SortFunc(msg.Defs, func(a, b Def) int { return cmp.Compare(a.Handle, b.Handle) })
	if len(msg.Defs)+len(msg.Renews)+len(msg.Loads) == 0 && !m.newDefs {
		return
	}
	m.newDefs, m.defined = false, m.handles
	for _, id := range m.peers.Local {
		m.send(id, msg)
	}
}

func (m *Machine) define(o *directUpstream, u *upstream, now time.Time) Def {
	return Define(o.handle, now.Sub(o.renewed), u.Announce, m.cfg.DataCentre, m.cfg.Region)
}

func ms(d time.Duration) int64 { return d.Milliseconds() }

// sendAllDefs sends all definitions to a peer that missed some.
func (m *Machine) sendAllDefs(now time.Time, to string) {
	msg := Message{Kind: KindBatch, Epoch: m.epoch, Version: m.handles, Full: true}
	for _, id := range slices.Sorted(maps.Keys(m.own)) {
		if o, u := m.own[id], m.all[id]; u != nil {
			msg.Defs = append(msg.Defs, m.define(o, u, now))
		}
	}
	m.send(to, msg)
}

func (m *Machine) receive(now time.Time, msg Message) {
	switch msg.Kind {
	case KindBatch:
		m.handleBatch(now, msg)
	case KindWant:
		m.sendAllDefs(now, msg.From)
	case KindBye:
		if msg.Gone != nil {
			m.remove(now, *msg.Gone, true)
			m.send(msg.From, Message{Kind: KindByeAck, Seq: msg.Seq})
		}
	case KindByeAck:
		if l := m.leaves[msg.Seq]; l != nil {
			delete(l.waiting, msg.From)
			m.finishLeave(msg.Seq)
		}
	case KindPools:
		m.handlePools(msg)
	}
}

func (m *Machine) handleBatch(now time.Time, msg Message) {
	o := m.origins[msg.From]
	if o == nil || o.epoch < msg.Epoch {
		o = &origin{epoch: msg.Epoch, ids: map[uint64]upapi.Renew{}}
		m.origins[msg.From] = o
	}
	if o.epoch > msg.Epoch {
		return // sent before the sender restarted
	}
	for _, d := range msg.Defs {
		m.applyDef(now, o, d)
	}
	if msg.Full {
		o.version = max(o.version, msg.Version)
	}
	for _, r := range msg.Renews {
		m.applyRenewal(now, o.ids[r.Handle], now.Add(-time.Duration(r.AgeMS)*time.Millisecond))
	}
	for _, l := range msg.Loads {
		m.applyLoad(now, o.ids[l.Handle], l)
	}
	if o.version < msg.Version && now.Sub(o.asked) >= wantRetryInterval {
		o.asked = now
		m.send(msg.From, Message{Kind: KindWant, Epoch: o.epoch})
	}
}

func (m *Machine) applyDef(now time.Time, o *origin, d Def) {
	at := now.Add(-time.Duration(d.AgeMS) * time.Millisecond)
	a := d.Announce(m.cfg.DataCentre, m.cfg.Region)
	o.ids[d.Handle] = upapi.Renew{ID: a.ID, Incarnation: a.Incarnation}
	if d.Handle == o.version+1 {
		o.version = d.Handle
	}
	old := m.all[a.ID]
	known := old != nil && old.Incarnation == a.Incarnation
	if known && !at.After(old.renewed) {
		return // a repeated definition must not shorten the lease
	}
	if m.storeAnnounce(a, at) {
		m.emit(ApplyAnnounce{Announce: a, At: at})
	}
}

func (m *Machine) applyRenewal(now time.Time, r upapi.Renew, at time.Time) {
	u := m.known(r)
	if u == nil || !at.After(u.renewed) || at.After(now) {
		return
	}
	u.renewed = at
	m.emit(ApplyRenew{Renew: r, At: at})
}

func (m *Machine) applyLoad(now time.Time, r upapi.Renew, l Load) {
	u := m.known(r)
	at := now.Add(-time.Duration(l.AgeMS) * time.Millisecond)
	if u == nil || !at.After(u.loadAt) {
		return
	}
	u.loadAt = at
	u.load = upapi.Load{
		ID: r.ID, Incarnation: r.Incarnation, Running: l.Running, Waiting: l.Waiting, QueueMS: l.QueueMS,
		KVUsedTokens: l.KVKilo << 10, AgeMS: l.AgeMS,
	}
	m.emit(ApplyLoad{Load: u.load})
}

// left sends a leave to all peers immediately and schedules retransmissions.
func (m *Machine) left(now time.Time, g Gone) {
	m.remove(now, g, false)
	m.seq++
	l := &leave{gone: g, waiting: map[string]bool{}, next: now, until: now.Add(leaveTimeout)}
	for _, id := range m.peers.Local {
		l.waiting[id] = true
	}
	m.leaves[m.seq] = l
	m.sendLeave(now, m.seq)
	m.finishLeave(m.seq)
}

// finishLeave reports a leave that no peer has to acknowledge any more.
func (m *Machine) finishLeave(seq uint64) {
	l := m.leaves[seq]
	if len(l.waiting) > 0 {
		return
	}
	delete(m.leaves, seq)
	m.emit(LeaveKnown{Renew: upapi.Renew{ID: l.gone.ID, Incarnation: l.gone.Incarnation}})
}

func (m *Machine) sendLeave(now time.Time, seq uint64) {
	l := m.leaves[seq]
	if !now.Before(l.until) {
		delete(m.leaves, seq)
		return
	}
	if now.Before(l.next) {
		return
	}
	l.next = now.Add(leaveRetryInterval)
	for _, id := range slices.Sorted(maps.Keys(l.waiting)) {
		m.send(id, Message{Kind: KindBye, Seq: seq, Gone: &l.gone})
	}
}

// remove deletes an upstream and keeps a tombstone against late announcements.
func (m *Machine) remove(now time.Time, g Gone, relayed bool) {
	if old, ok := m.tombstones[g.ID]; ok && old.incarnation >= g.Incarnation {
		return
	}
	m.tombstones[g.ID] = tombstone{g.Incarnation, now}
	if u := m.all[g.ID]; u != nil && u.Incarnation <= g.Incarnation {
		delete(m.all, g.ID)
		delete(m.own, g.ID)
	}
	if relayed {
		m.emit(ApplyLeave{Renew: upapi.Renew{ID: g.ID, Incarnation: g.Incarnation}})
	}
}

// deleteExpired deletes expired tombstones, upstreams and handles.
func (m *Machine) deleteExpired(now time.Time) {
	maps.DeleteFunc(m.tombstones, func(_ string, f tombstone) bool { return now.Sub(f.at) >= m.cfg.Forget })
	maps.DeleteFunc(m.all, func(_ string, u *upstream) bool { return now.Sub(u.until()) >= m.cfg.Forget })
	maps.DeleteFunc(m.own, func(id string, o *directUpstream) bool {
		u := m.all[id]
		return u == nil || now.Sub(o.renewed) > time.Duration(u.LeaseMS)*time.Millisecond
	})
	for _, o := range m.origins {
		maps.DeleteFunc(o.ids, func(_ uint64, r upapi.Renew) bool { return m.known(r) == nil })
	}
}
