// Package roster is what a control node knows of the upstreams and entry nodes of the fleet.
//
// Upstreams register with heartbeats that may be late, repeated or out of order; entry nodes report with each question.
// A Board merges what a node hears itself with what other control nodes tell. It keeps a change number for each record, so
// that a reader can ask for what changed since its last question. It is a deterministic state machine without clock and
// network.
//
// Usage:
//
//	b := roster.New(roster.Config{Self: address, Epoch: start, SilentAfter: 4 * time.Second})
//	changed := b.Beat(now, roster.Upstream{ID: "r1", Born: 17, Sequence: 4, ...})
//	share := b.Share(lastVersion)         // for the other control nodes
//	if b.Take(now, share) { ... }         // there: true asks the sender for all that it holds
//	delta := b.Since(now, version, 256)   // for entry nodes
//
// # Holders
//
// The node that hears an upstream or an entry node holds its record. Renewals stay with the holder: it tells the other control
// nodes changes only, and each Share, also an empty one, renews all records that its sender holds. What control nodes tell each
// other so grows with the changes, not with the number of records. A record whose holder falls silent ages until another node
// hears its process.
//
// # Order of records
//
// An upstream's record is ordered by Born, then Sequence: a later start replaces an earlier one under the same id, and an
// older heartbeat changes nothing. A record that left stays as a tombstone, so that a late heartbeat of the same start does
// not bring it back. Of two records with one address, the one with the later start holds the address; the other is Gone.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/rendez"
)

// State is what an upstream says of itself.
type State uint8

// The states. Only Ready upstreams receive new work.
const (
	Ready State = iota + 1
	Draining
	Gone
)

// Upstream is one start of a process that serves requests.
type Upstream struct {
	ID         string `cbor:"1,keyasint" json:"id"`
	Service    string `cbor:"2,keyasint" json:"service"`
	Address    string `cbor:"3,keyasint" json:"address"`
	DataCentre string `cbor:"4,keyasint" json:"data_centre"`
	Slots      int    `cbor:"5,keyasint,omitempty" json:"slots"`
	State      State  `cbor:"6,keyasint" json:"state"`
	StartedMs       int64  `cbor:"7,keyasint,omitempty" json:"born_ms"`  // start of the process, Unix milliseconds
	Sequence   int64  `cbor:"8,keyasint,omitempty" json:"sequence"` // grows with each heartbeat of one start
	WarmupUntilMs  int64  `cbor:"9,keyasint,omitempty" json:"cold_ms"`  // Unix milliseconds; until then it is slow
	Silent     bool   `cbor:"10,keyasint,omitempty" json:"silent"`  // no heartbeat for SilentAfter
	AgeMs        int64  `cbor:"11,keyasint,omitempty" json:"-"`       // milliseconds since the heartbeat, when sent on
}

// Entry is an entry node as it reports itself.
type Entry struct {
	Node       string `cbor:"1,keyasint" json:"node"`
	Address    string `cbor:"2,keyasint" json:"address"` // for callers
	Peer       string `cbor:"3,keyasint" json:"peer"`    // for other processes
	DataCentre string `cbor:"4,keyasint" json:"data_centre"`
	Region     string `cbor:"5,keyasint" json:"region"`
	Ready      bool   `cbor:"6,keyasint" json:"ready"` // it takes new callers
	Started    int64  `cbor:"7,keyasint" json:"started"`
	ReportSequence     int64  `cbor:"8,keyasint" json:"report"` // grows with each report of one start
	AgeMs        int64  `cbor:"9,keyasint,omitempty" json:"-"`
}

// Config names a Board and holds its times.
type Config struct {
	Self        string        // peer address of this node
	Epoch       uint64        // identifies this start of the node
	SilentAfter time.Duration // without a heartbeat, an upstream is marked silent
	ForgetAfter time.Duration // a silent or gone upstream is removed
	EntryTimeout  time.Duration // without a report, an entry node is not given out
	// OwnerGrace is added to EntryAfter for entry nodes that report to another node: when that one falls silent they turn to
	// the next one first.
	OwnerGrace time.Duration
}

// origin is where a record comes from and when it changed.
type origin struct {
	heard   time.Time
	holder  string // peer address of the control node that hears it; empty: none does
	version uint64 // of the last change that matters to entry nodes
	shared  uint64 // of the last change that matters to other control nodes
}

type upstreamRecord struct {
	Upstream
	origin
}

type entryRecord struct {
	Entry
	origin
}

// Registry holds the records. It is not safe for concurrent use.
type Registry struct {
	cfg       Config
	version   uint64
	upstreams map[string]*upstreamRecord
	entries   map[string]*entryRecord
	addresses map[string]string // holder's id by address
	dropped   uint64            // highest version among the records that were removed
	peers     map[string]*peerState
}

// New returns an empty board.
func New(cfg Config) *Registry {
	return &Registry{
		cfg: cfg, upstreams: map[string]*upstreamRecord{}, entries: map[string]*entryRecord{}, addresses: map[string]string{},
		peers: map[string]*peerState{},
	}
}

// Version returns the number of changes so far.
func (b *Registry) Version() uint64 { return b.version }

// Heartbeat takes a heartbeat that this node received and reports whether it changed more than the time.
func (b *Registry) Heartbeat(now time.Time, u Upstream) bool { return b.takeUpstream(now, u, b.cfg.Self) }

// Leave marks the present start of an upstream as gone. It returns false if the upstream is not known or already gone.
func (b *Registry) Leave(now time.Time, id string) (Upstream, bool) {
	r := b.upstreams[id]
	if r == nil || r.State == Gone {
		return Upstream{}, false
	}
	u := r.Upstream
	u.State = Gone
	b.storeUpstream(now, r, u, b.cfg.Self)
	return u, true
}

// takeUpstream takes a record from the node that hears it.
func (b *Registry) takeUpstream(heard time.Time, u Upstream, from string) bool {
	r := b.upstreams[u.ID]
	if r == nil {
		if other := b.upstreams[b.addresses[u.Address]]; other != nil && other.State != Gone && other.StartedMs > u.StartedMs {
			return false // a late heartbeat of a process whose address another one has by now
		}
		r = &upstreamRecord{}
		b.upstreams[u.ID] = r
		b.storeUpstream(heard, r, u, from)
		return true
	}
	if !newer(u, r.Upstream) {
		b.takeOlder(heard, r, u, from)
		return false
	}
	if r.State == Gone && u.StartedMs <= r.StartedMs {
		return false
	}
	if meaning(u) == meaning(r.Upstream) && !r.Silent {
		r.Sequence, r.WarmupUntilMs = u.Sequence, u.WarmupUntilMs
		b.hold(&r.origin, heard, from, u.Silent)
		return false
	}
	b.storeUpstream(heard, r, u, from)
	return true
}

// takeOlder takes a record that is not newer than the one held: only who hears the upstream may change.
func (b *Registry) takeOlder(heard time.Time, r *upstreamRecord, u Upstream, from string) {
	same := u.StartedMs == r.StartedMs && u.Sequence == r.Sequence && u.State == r.State
	switch {
	case same && (r.holder == from || r.holder == "" && !u.Silent):
		b.hold(&r.origin, heard, from, u.Silent)
	case r.holder == b.cfg.Self && from != b.cfg.Self:
		b.version++
		r.shared = b.version // the other node heard an old heartbeat and must learn who holds the upstream
	}
}

// hold notes that a node hears the process of a record, or that it does not any more.
func (b *Registry) hold(o *origin, heard time.Time, from string, lost bool) {
	o.heard = clock.Later(o.heard, heard)
	if lost {
		from = ""
	}
	if o.holder == from {
		return
	}
	o.holder = from
	if from == b.cfg.Self {
		b.version++
		o.shared = b.version
	}
}

// newer orders the records of one id. Gone wins over other records of the same start, since it is the last word.
func newer(a, b Upstream) bool {
	if a.StartedMs != b.StartedMs {
		return a.StartedMs > b.StartedMs
	}
	if (a.State == Gone) != (b.State == Gone) {
		return a.State == Gone
	}
	return a.Sequence > b.Sequence
}

// meaning is the part of a record that readers act on.
func meaning(u Upstream) Upstream {
	u.Sequence, u.AgeMs, u.WarmupUntilMs, u.Silent = 0, 0, 0, false
	return u
}

func (b *Registry) storeUpstream(heard time.Time, r *upstreamRecord, u Upstream, from string) {
	lost := u.Silent
	u.AgeMs, u.Silent = 0, false
	r.Upstream = u
	b.hold(&r.origin, heard, from, lost)
	b.changed(&r.origin)
	if u.State == Gone {
		return
	}
	if other := b.upstreams[b.addresses[u.Address]]; other != nil && other != r && other.State != Gone {
		if other.StartedMs > u.StartedMs {
			r.State = Gone
			b.changed(&r.origin)
			return
		}
		other.State = Gone
		b.changed(&other.origin)
	}
	b.addresses[u.Address] = u.ID
}

// changed numbers a change for all readers.
func (b *Registry) changed(o *origin) {
	b.version++
	o.version, o.shared = b.version, b.version
}

// ReportEntry takes the report of an entry node that asked this node.
func (b *Registry) ReportEntry(now time.Time, e Entry) bool { return b.takeEntry(now, e, b.cfg.Self) }

func (b *Registry) takeEntry(heard time.Time, e Entry, from string) bool {
	e.AgeMs = 0
	r := b.entries[e.Node]
	if r == nil {
		r = &entryRecord{}
		b.entries[e.Node] = r
	} else if order := cmp.Or(cmp.Compare(e.Started, r.Started), cmp.Compare(e.ReportSequence, r.ReportSequence)); order <= 0 {
		// The same report again tells who hears the entry node, and that its holder does not hear it any more.
		if order < 0 || r.holder != from && r.holder != "" {
			return false
		}
		if e.Ready == r.Ready {
			b.hold(&r.origin, heard, from, false)
			return false
		}
	}
	quiet := r.Entry
	quiet.ReportSequence = e.ReportSequence
	changed := quiet != e
	r.Entry = e
	b.hold(&r.origin, heard, from, false)
	if changed {
		b.changed(&r.origin)
	}
	return changed
}

// Batch is a set of records.
type Batch struct {
	Upstreams []Upstream `cbor:"1,keyasint,omitempty"`
	Entries   []Entry    `cbor:"2,keyasint,omitempty"`
}

func sortRecords(upstreams []Upstream, entries []Entry) {
	slices.SortFunc(upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })
}

// aged returns a record as it is sent on, with its age.
func (r *upstreamRecord) aged(now, heard time.Time) Upstream {
	u := r.Upstream
	u.AgeMs = now.Sub(heard).Milliseconds()
	return u
}

func (r *entryRecord) aged(now, heard time.Time) Entry {
	e := r.Entry
	e.AgeMs = now.Sub(heard).Milliseconds()
	return e
}

// Merge takes what the control node at a peer address told and reports whether anything but times changed.
func (b *Registry) Merge(now time.Time, from string, batch Batch) bool {
	changed := false
	for _, u := range batch.Upstreams {
		if b.takeUpstream(before(now, u.AgeMs), u, from) {
			changed = true
		}
	}
	for _, e := range batch.Entries {
		if b.takeEntry(before(now, e.AgeMs), e, from) {
			changed = true
		}
	}
	return changed
}

func before(now time.Time, age int64) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// Tick marks upstreams that have fallen silent and forgets old records.
func (b *Registry) Tick(now time.Time) {
	for id, r := range b.upstreams {
		age := now.Sub(b.heardAt(&r.origin))
		switch {
		case age > b.cfg.ForgetAfter:
			if b.addresses[r.Address] == id {
				delete(b.addresses, r.Address)
			}
			delete(b.upstreams, id)
			b.dropped = max(b.dropped, r.version, r.shared)
		case age > b.cfg.SilentAfter && !r.Silent && r.State != Gone:
			r.Silent = true
			b.changed(&r.origin)
		}
	}
	for id, r := range b.entries {
		age := now.Sub(b.heardAt(&r.origin))
		switch {
		case age > b.cfg.ForgetAfter:
			delete(b.entries, id)
			b.dropped = max(b.dropped, r.version, r.shared)
		case age > b.entryAfter(&r.origin) && r.Ready:
			r.Ready = false
			b.changed(&r.origin)
		}
	}
	b.forgetPeers(now)
}

// entryAfter is the time without news after which an entry node is not given out.
func (b *Registry) entryAfter(o *origin) time.Duration {
	if o.holder == b.cfg.Self {
		return b.cfg.EntryTimeout
	}
	return b.cfg.EntryTimeout + b.cfg.OwnerGrace
}

// Delta is a page of what changed for a reader, in the order of the changes. Whole means that the reader gets all records with
// this page and those that follow it, and has none that is not among them. More means that another page follows at once.
type Delta struct {
	Version   uint64     `cbor:"1,keyasint"`
	Full     bool       `cbor:"2,keyasint,omitempty"`
	Upstreams []Upstream `cbor:"3,keyasint,omitempty"`
	Entries   []Entry    `cbor:"4,keyasint,omitempty"`
	More      bool       `cbor:"5,keyasint,omitempty"`
}

// ChangesSince returns the changes after a version, with at most the given number of records. A reader with version 0, or one that
// missed the last change of a record that is removed by now, gets all records.
func (b *Registry) ChangesSince(now time.Time, version uint64, most int) Delta {
	return b.page(now, version, most, func(o *origin) uint64 { return o.version })
}

// OwnedChangesSince returns the changes of the records that this node hears itself, or heard last, as Since does. That it began to hear a process
// which reported to another node before is such a change.
func (b *Registry) OwnedChangesSince(now time.Time, version uint64, most int) Delta {
	return b.page(now, version, most, func(o *origin) uint64 {
		if o.holder != b.cfg.Self {
			return 0
		}
		return o.shared
	})
}

// page returns the records whose number is after a version; 0 is the number of a record that the reader does not want.
func (b *Registry) page(now time.Time, version uint64, most int, number func(*origin) uint64) Delta {
	if version < b.dropped || version > b.version {
		version = 0
	}
	d := Delta{Version: b.version, Full: version == 0}
	if version == b.version {
		return d
	}
	var numbers []uint64
	for o := range b.origins {
		if n := number(o); n > version {
			numbers = append(numbers, n)
		}
	}
	if len(numbers) > most {
		slices.Sort(numbers)
		d.Version, d.More = numbers[most-1], true
	}
	in := func(o *origin) bool {
		n := number(o)
		return n > version && n <= d.Version
	}
	for _, r := range b.upstreams {
		if in(&r.origin) {
			d.Upstreams = append(d.Upstreams, r.Upstream)
		}
	}
	for _, r := range b.entries {
		if in(&r.origin) {
			d.Entries = append(d.Entries, r.aged(now, b.heardAt(&r.origin)))
		}
	}
	sortRecords(d.Upstreams, d.Entries)
	return d
}

// origins passes the origin of each record on.
func (b *Registry) origins(yield func(*origin) bool) {
	for _, r := range b.upstreams {
		if !yield(&r.origin) {
			return
		}
	}
	for _, r := range b.entries {
		if !yield(&r.origin) {
			return
		}
	}
}

// ReadyEntries returns the entry nodes that take callers, those of the data centre first, then of the region, then others. Parts after the
// first are left out once there are two nodes. Each caller gets a part in an order of its own that stays the same, so that all nodes
// have callers where an answer holds fewer addresses than there are nodes.
func (b *Registry) ReadyEntries(now time.Time, caller, dataCentre, region string) []Entry {
	var parts [3][]Entry
	for _, r := range b.entries {
		if !r.Ready || now.Sub(b.heardAt(&r.origin)) > b.entryAfter(&r.origin) {
			continue
		}
		switch {
		case r.DataCentre == dataCentre:
			parts[0] = append(parts[0], r.Entry)
		case r.Region == region:
			parts[1] = append(parts[1], r.Entry)
		default:
			parts[2] = append(parts[2], r.Entry)
		}
	}
	var out []Entry
	for _, part := range parts {
		if len(out) >= 2 {
			break
		}
		slices.SortFunc(part, func(a, b Entry) int { return rendez.Compare(caller, a.Node, b.Node) })
		out = append(out, part...)
	}
	return out
}

// Find returns the record of an upstream.
func (b *Registry) Find(id string) (Upstream, bool) {
	r := b.upstreams[id]
	if r == nil {
		return Upstream{}, false
	}
	return r.Upstream, true
}

// CountByState returns the number of upstreams by state.
func (b *Registry) CountByState() map[State]int {
	out := map[State]int{}
	for _, r := range b.upstreams {
		out[r.State]++
	}
	return out
}
