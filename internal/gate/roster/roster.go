// Package roster tracks the upstreams and entry nodes that a control node knows.
//
// Upstreams register with heartbeats that may be late, repeated or out of order; entry nodes report with each poll.
// A Registry merges the messages that its node receives with the sync messages of other control nodes. Each record carries a
// version, so that a reader can request the changes since its last poll. The Registry is a deterministic state machine: it
// reads no clock and uses no network.
//
// Usage:
//
//	r := roster.New(roster.Config{Self: address, Epoch: start, SilentAfter: 4 * time.Second})
//	changed := r.Heartbeat(now, roster.Upstream{ID: "r1", StartedMs: 17, Sequence: 4, ...})
//	msg := r.SyncSince(now, lastVersion)        // for the other control nodes
//	if r.ApplySync(now, msg) { ... }            // on a peer: true requests a full sync from the sender
//	delta := r.ChangesSince(now, version, 256)  // for entry nodes
//
// # Ownership
//
// The control node that hears an upstream or an entry node owns its record. Renewals stay with the owner: it sends only changes
// to the other control nodes, and each SyncMessage, even an empty one, renews all records that its sender owns. Sync traffic
// therefore grows with the number of changes, not with the number of records. If an owner fails, its records age until another
// node hears their processes.
//
// # Order of records
//
// An upstream's records are ordered by StartedMs, then Sequence: a later start replaces an earlier one with the same ID, and an
// older heartbeat is ignored. The record of an upstream that left stays as a tombstone, so that a late heartbeat of the same
// start does not restore it. If two records have the same address, the later start keeps the address and the other becomes Gone.
//
// # Stale upstreams
//
// A record says what its upstream reported last, as far as this node knows. While the owner can't be reached, or the heartbeat is late, the
// upstream may have reported something since to a node that can't be reached. UpdateStale determines these upstreams, and Stale returns
// them for entry nodes, which must not rely on their records.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// State is the lifecycle state that an upstream reports.
type State uint8

// Upstream states. Only Ready upstreams receive new requests.
const (
	Ready State = iota + 1
	Draining
	Gone
)

// Upstream describes one run of a process that serves requests. A restart is a new run.
type Upstream struct {
	ID         string `cbor:"1,keyasint" json:"id"`
	Service    string `cbor:"2,keyasint" json:"service"`
	Address    string `cbor:"3,keyasint" json:"address"`
	DataCentre string `cbor:"4,keyasint" json:"data_centre"`
	Slots      int    `cbor:"5,keyasint,omitempty" json:"slots"`
	State      State  `cbor:"6,keyasint" json:"state"`
	StartedMs  int64  `cbor:"7,keyasint,omitempty" json:"born_ms"`  // start time of the process, Unix milliseconds
	Sequence   int64  `cbor:"8,keyasint,omitempty" json:"sequence"` // increases with each heartbeat of a run
	Silent     bool   `cbor:"10,keyasint,omitempty" json:"silent"`  // no heartbeat for SilentAfter
	AgeMs      int64  `cbor:"11,keyasint,omitempty" json:"-"`       // milliseconds since the last heartbeat; set in messages only
	// ColdMs is for how many milliseconds from now the upstream stays cold; set in messages only, because clocks differ. The
	// key is not 9, which earlier releases use for a Unix time.
	ColdMs int64 `cbor:"12,keyasint,omitempty" json:"cold_ms"`
	// ColdUntil is the end of the cold time by the local clock; zero: not cold.
	ColdUntil time.Time `cbor:"-" json:"-"`
	// Stale says that the upstream may have reported something since that is not known here. Set in views of entry nodes only.
	Stale bool `cbor:"-" json:"-"`
}

// coldShift is by how much the end of a cold time must move before the record counts as changed. It exceeds the usual variation
// of the delay of heartbeats.
const coldShift = 300 * time.Millisecond

// Received returns a record from a message with the end of the cold time by the local clock.
func (u Upstream) Received(now time.Time) Upstream {
	u.ColdUntil = time.Time{}
	if u.ColdMs > 0 {
		u.ColdUntil = now.Add(time.Duration(u.ColdMs) * time.Millisecond)
	}
	u.ColdMs = 0
	return u
}

// forMessage returns a record as it is sent.
func (u Upstream) forMessage(now time.Time) Upstream {
	u.ColdMs = max(u.ColdUntil.Sub(now).Milliseconds(), 0)
	u.ColdUntil = time.Time{}
	return u
}

// ColdChanged reports whether the end of the cold time of a newer record differs from that of an earlier one by more than the
// variation of the delay of messages: it is later, or the cold time has ended early.
func ColdChanged(now time.Time, earlier, newer Upstream) bool {
	if newer.ColdUntil.IsZero() {
		return earlier.ColdUntil.Sub(now) > coldShift
	}
	return newer.ColdUntil.Sub(now) > 0 && newer.ColdUntil.Sub(earlier.ColdUntil) > coldShift
}

// Entry describes an entry node, as reported by that node.
type Entry struct {
	Node           string `cbor:"1,keyasint" json:"node"`
	Address        string `cbor:"2,keyasint" json:"address"` // for callers
	Peer           string `cbor:"3,keyasint" json:"peer"`    // for other processes
	DataCentre     string `cbor:"4,keyasint" json:"data_centre"`
	Region         string `cbor:"5,keyasint" json:"region"`
	Ready          bool   `cbor:"6,keyasint" json:"ready"` // accepts new callers
	Started        int64  `cbor:"7,keyasint" json:"started"`
	ReportSequence int64  `cbor:"8,keyasint" json:"report"` // increases with each report of a run
	AgeMs          int64  `cbor:"9,keyasint,omitempty" json:"-"`
	Capacity       int    `cbor:"10,keyasint,omitempty" json:"capacity"` // thousandths of a processor core; 0: unknown
}

// Config configures a Registry.
type Config struct {
	Self        string        // peer address of this node
	Epoch       uint64        // identifies this run of the node
	SilentAfter time.Duration // time without a heartbeat after which an upstream is marked silent
	// OwnerTimeout is the least time without a sync message of another control node after which the upstreams that it owns are marked
	// silent. It must be longer than the interval of these messages, which SilentAfter need not be.
	OwnerTimeout time.Duration
	// StaleAfter is the time without a sync message of another control node, and LateAfter that without a heartbeat to this node,
	// after which an upstream may have said something that is not known here.
	StaleAfter   time.Duration
	LateAfter    time.Duration
	ForgetAfter  time.Duration // time without a message after which a record is removed
	EntryTimeout time.Duration // time without a report after which an entry node is not returned to callers
	// OwnerGrace is added to EntryTimeout for entry nodes that report to another control node. If that node fails, they need
	// time to switch to the next one.
	OwnerGrace time.Duration
}

// recordMeta holds the owner and the versions of a record.
type recordMeta struct {
	lastHeard   time.Time
	owner       string // peer address of the control node that hears the process; empty if none does
	version     uint64 // version of the last change that entry nodes must receive
	syncVersion uint64 // version of the last change that other control nodes must receive
}

type upstreamRecord struct {
	Upstream
	recordMeta
}

type entryRecord struct {
	Entry
	recordMeta
}

// Registry holds the records. It is not safe for concurrent use.
type Registry struct {
	cfg            Config
	version        uint64
	upstreams      map[string]*upstreamRecord
	entries        map[string]*entryRecord
	addresses      map[string]string // ID of the upstream that has the address
	removedVersion uint64            // highest version of any removed record
	peers          map[string]*peerState
	stale          staleState
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	return &Registry{
		cfg: cfg, upstreams: map[string]*upstreamRecord{}, entries: map[string]*entryRecord{}, addresses: map[string]string{},
		peers: map[string]*peerState{},
	}
}

// Version returns the version of the last change.
func (reg *Registry) Version() uint64 { return reg.version }

// Heartbeat processes a heartbeat received by this node. It reports whether more than the time of the record changed.
func (reg *Registry) Heartbeat(now time.Time, u Upstream) bool {
	return reg.mergeUpstream(now, now, u.Received(now), reg.cfg.Self)
}

// Leave marks the current run of an upstream as gone. It returns false if the upstream is unknown or already gone.
func (reg *Registry) Leave(now time.Time, id string) (Upstream, bool) {
	r := reg.upstreams[id]
	if r == nil || r.State == Gone {
		return Upstream{}, false
	}
	u := r.Upstream
	u.State = Gone
	reg.storeUpstream(now, r, u, reg.cfg.Self)
	return u, true
}

// ApplyNotice merges a record that the control group has stored, so that this node need not have heard the upstream. It reports
// whether the record changed.
func (reg *Registry) ApplyNotice(now time.Time, u Upstream) bool {
	owner := ""
	if r := reg.upstreams[u.ID]; r != nil {
		if !supersedes(u, r.Upstream) {
			return false
		}
		owner = r.owner
	}
	u.ColdMs = 0 // as of the time when the record was stored, which may be long ago
	return reg.mergeUpstream(now, now, u.Received(now), owner)
}

// mergeUpstream merges a record received from the control node that hears the upstream.
func (reg *Registry) mergeUpstream(now, heard time.Time, u Upstream, from string) bool {
	r := reg.upstreams[u.ID]
	if r == nil {
		if other := reg.upstreams[reg.addresses[u.Address]]; other != nil && other.State != Gone && other.StartedMs > u.StartedMs {
			return false // late heartbeat of a process whose address was reused
		}
		r = &upstreamRecord{}
		reg.upstreams[u.ID] = r
		reg.storeUpstream(heard, r, u, from)
		return true
	}
	if !supersedes(u, r.Upstream) {
		reg.mergeStale(heard, r, u, from)
		return false
	}
	if r.State == Gone && u.StartedMs <= r.StartedMs {
		return false
	}
	if significantFields(u) == significantFields(r.Upstream) && !r.Silent && !ColdChanged(now, r.Upstream, u) {
		r.Sequence = u.Sequence // ColdUntil stays as readers know it, so that small shifts add up to a change
		reg.setOwner(&r.recordMeta, heard, from, u.Silent)
		return false
	}
	reg.storeUpstream(heard, r, u, from)
	return true
}

// mergeStale merges a record that is not newer than the stored one. Only the owner may change.
func (reg *Registry) mergeStale(heard time.Time, r *upstreamRecord, u Upstream, from string) {
	same := u.StartedMs == r.StartedMs && u.Sequence == r.Sequence && u.State == r.State
	switch {
	case same && (r.owner == from || r.owner == "" && !u.Silent):
		reg.setOwner(&r.recordMeta, heard, from, u.Silent)
	case r.owner == reg.cfg.Self && from != reg.cfg.Self:
		reg.version++
		r.syncVersion = reg.version // the other node received an old heartbeat and must learn the owner
	}
}

// setOwner records that a node hears the process of a record, or that it no longer does.
func (reg *Registry) setOwner(o *recordMeta, heard time.Time, from string, notHeard bool) {
	o.lastHeard = clock.Later(o.lastHeard, heard)
	if notHeard {
		from = ""
	}
	if o.owner == from {
		return
	}
	o.owner = from
	if from == reg.cfg.Self {
		reg.version++
		o.syncVersion = reg.version
	}
}

// supersedes reports whether a is newer than b, a record with the same ID. Gone supersedes every other record of the same run,
// since it is the final state.
func supersedes(a, b Upstream) bool {
	if a.StartedMs != b.StartedMs {
		return a.StartedMs > b.StartedMs
	}
	if (a.State == Gone) != (b.State == Gone) {
		return a.State == Gone
	}
	return a.Sequence > b.Sequence
}

// significantFields returns a record with only the fields whose changes are sent to readers.
func significantFields(u Upstream) Upstream {
	u.Sequence, u.AgeMs, u.Silent, u.ColdUntil = 0, 0, false, time.Time{}
	return u
}

func (reg *Registry) storeUpstream(heard time.Time, r *upstreamRecord, u Upstream, from string) {
	notHeard := u.Silent
	u.AgeMs, u.Silent = 0, false
	r.Upstream = u
	reg.setOwner(&r.recordMeta, heard, from, notHeard)
	reg.markChanged(&r.recordMeta)
	if u.State == Gone {
		return
	}
	if other := reg.upstreams[reg.addresses[u.Address]]; other != nil && other != r && other.State != Gone {
		if other.StartedMs > u.StartedMs {
			r.State = Gone
			reg.markChanged(&r.recordMeta)
			return
		}
		other.State = Gone
		reg.markChanged(&other.recordMeta)
	}
	reg.addresses[u.Address] = u.ID
}

// markChanged assigns a new version to a record, for entry nodes and control nodes.
func (reg *Registry) markChanged(o *recordMeta) {
	reg.version++
	o.version, o.syncVersion = reg.version, reg.version
}

// ReportEntry processes the report of an entry node that polled this node. It reports whether the record changed.
func (reg *Registry) ReportEntry(now time.Time, e Entry) bool {
	return reg.mergeEntry(now, e, reg.cfg.Self)
}

func (reg *Registry) mergeEntry(heard time.Time, e Entry, from string) bool {
	e.AgeMs = 0
	r := reg.entries[e.Node]
	if r == nil {
		r = &entryRecord{}
		reg.entries[e.Node] = r
	} else if order := cmp.Or(cmp.Compare(e.Started, r.Started), cmp.Compare(e.ReportSequence, r.ReportSequence)); order <= 0 {
		// A repeated report only updates the owner, or ends readiness when the owner no longer hears the entry node.
		if order < 0 && r.owner == reg.cfg.Self && from != reg.cfg.Self {
			reg.version++
			r.syncVersion = reg.version // the other node received an old report and must learn the owner
		}
		if order < 0 || r.owner != from && r.owner != "" {
			return false
		}
		if e.Ready == r.Ready {
			reg.setOwner(&r.recordMeta, heard, from, false)
			return false
		}
	}
	previous := r.Entry
	previous.ReportSequence = e.ReportSequence
	changed := previous != e
	r.Entry = e
	reg.setOwner(&r.recordMeta, heard, from, false)
	if changed {
		reg.markChanged(&r.recordMeta)
	}
	return changed
}

// Batch is a set of records received together.
type Batch struct {
	Upstreams []Upstream `cbor:"1,keyasint,omitempty"`
	Entries   []Entry    `cbor:"2,keyasint,omitempty"`
}

func sortRecords(upstreams []Upstream, entries []Entry) {
	slices.SortFunc(upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })
}

// withAge returns a copy of a record with its age, for sending.
func (r *upstreamRecord) withAge(now, heard time.Time) Upstream {
	u := r.forMessage(now)
	u.AgeMs = now.Sub(heard).Milliseconds()
	return u
}

func (r *entryRecord) withAge(now, heard time.Time) Entry {
	e := r.Entry
	e.AgeMs = now.Sub(heard).Milliseconds()
	return e
}

// Merge merges records received from the control node at a peer address. It reports whether anything but times changed.
func (reg *Registry) Merge(now time.Time, from string, batch Batch) bool {
	changed := false
	for _, u := range batch.Upstreams {
		if reg.mergeUpstream(now, timeOfAge(now, u.AgeMs), u.Received(now), from) {
			changed = true
		}
	}
	for _, e := range batch.Entries {
		if reg.mergeEntry(timeOfAge(now, e.AgeMs), e, from) {
			changed = true
		}
	}
	return changed
}

func timeOfAge(now time.Time, age int64) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// Tick marks silent upstreams and unavailable entry nodes, and removes expired records.
func (reg *Registry) Tick(now time.Time) {
	for id, r := range reg.upstreams {
		age := now.Sub(reg.lastHeardAt(&r.recordMeta))
		missed := age > reg.silentTimeout(&r.recordMeta)
		switch {
		case age > reg.cfg.ForgetAfter:
			if reg.addresses[r.Address] == id {
				delete(reg.addresses, r.Address)
			}
			delete(reg.upstreams, id)
			reg.removedVersion = max(reg.removedVersion, r.version, r.syncVersion)
		case missed && !r.Silent && r.State != Gone:
			r.Silent = true
			reg.markChanged(&r.recordMeta)
		case !missed && r.Silent && r.owner != "" && r.State != Gone: // a sync message of the owner was late
			r.Silent = false
			reg.markChanged(&r.recordMeta)
		}
	}
	for id, r := range reg.entries {
		age := now.Sub(reg.lastHeardAt(&r.recordMeta))
		switch {
		case age > reg.cfg.ForgetAfter:
			delete(reg.entries, id)
			reg.removedVersion = max(reg.removedVersion, r.version, r.syncVersion)
		case age > reg.entryTimeout(&r.recordMeta) && r.Ready:
			r.Ready = false
			reg.markChanged(&r.recordMeta)
		}
	}
	reg.removeStalePeers(now)
}

// silentTimeout returns the time without a heartbeat after which an upstream counts as silent. Sync messages renew those that another
// control node hears, and may be further apart than heartbeats.
func (reg *Registry) silentTimeout(o *recordMeta) time.Duration {
	if o.owner == reg.cfg.Self || o.owner == "" {
		return reg.cfg.SilentAfter
	}
	return max(reg.cfg.SilentAfter, reg.cfg.OwnerTimeout)
}

// entryTimeout returns the time without a report after which an entry node counts as unavailable.
func (reg *Registry) entryTimeout(o *recordMeta) time.Duration {
	if o.owner == reg.cfg.Self {
		return reg.cfg.EntryTimeout
	}
	return reg.cfg.EntryTimeout + reg.cfg.OwnerGrace
}

// Find returns the record of an upstream.
func (reg *Registry) Find(id string) (Upstream, bool) {
	r := reg.upstreams[id]
	if r == nil {
		return Upstream{}, false
	}
	return r.Upstream, true
}

// CountByState returns the number of upstreams in each state.
func (reg *Registry) CountByState() map[State]int {
	out := map[State]int{}
	for _, r := range reg.upstreams {
		out[r.State]++
	}
	return out
}
