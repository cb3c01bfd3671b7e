// Package roster is what a control node knows of the upstreams and entry nodes of the fleet.
//
// Upstreams register with heartbeats that may be late, repeated or out of order; entry nodes report with each question.
// A Board merges what a node hears itself with what other control nodes tell. It keeps a change number for each record, so
// that a reader can ask for what changed since its last question. It is a deterministic state machine without clock and
// network.
//
// Usage:
//
//	b := roster.New(roster.Config{SilentAfter: 4 * time.Second})
//	changed := b.Beat(now, roster.Upstream{ID: "r1", Born: 17, Sequence: 4, ...})
//	batch := b.Heard(lastRound)      // for the other control nodes: b.Merge(now, batch)
//	delta := b.Since(epoch, version) // for entry nodes
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
	Born       int64  `cbor:"7,keyasint,omitempty" json:"born_ms"`  // start of the process, Unix milliseconds
	Sequence   int64  `cbor:"8,keyasint,omitempty" json:"sequence"` // grows with each heartbeat of one start
	ColdUntil  int64  `cbor:"9,keyasint,omitempty" json:"cold_ms"`  // Unix milliseconds; until then it is slow
	Silent     bool   `cbor:"10,keyasint,omitempty" json:"silent"`  // no heartbeat for SilentAfter
	Age        int64  `cbor:"11,keyasint,omitempty" json:"-"`       // milliseconds since the heartbeat, when sent on
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
	Report     int64  `cbor:"8,keyasint" json:"report"` // grows with each report of one start
	Age        int64  `cbor:"9,keyasint,omitempty" json:"-"`
}

// Config holds the times of a Board.
type Config struct {
	SilentAfter time.Duration // without a heartbeat, an upstream is marked silent
	ForgetAfter time.Duration // a silent or gone upstream is removed
	EntryAfter  time.Duration // without a report, an entry node is not given out
}

type upstreamRecord struct {
	Upstream
	heard   time.Time
	direct  time.Time // last heard by this node itself
	version uint64
}

type entryRecord struct {
	Entry
	heard   time.Time
	direct  time.Time
	version uint64
}

// Board holds the records. It is not safe for concurrent use.
type Board struct {
	cfg       Config
	version   uint64
	upstreams map[string]*upstreamRecord
	entries   map[string]*entryRecord
	addresses map[string]string // holder's id by address
	dropped   uint64            // version at the last removal of a record
}

// New returns an empty board.
func New(cfg Config) *Board {
	return &Board{
		cfg: cfg, upstreams: map[string]*upstreamRecord{}, entries: map[string]*entryRecord{}, addresses: map[string]string{},
	}
}

// Beat takes a heartbeat that this node received and reports whether it changed more than the time.
func (b *Board) Beat(now time.Time, u Upstream) bool {
	changed := b.takeUpstream(now, u)
	if r := b.upstreams[u.ID]; r != nil && r.Born == u.Born && r.Sequence == u.Sequence {
		r.direct = now
	}
	return changed
}

// Leave marks the present start of an upstream as gone. It returns false if the upstream is not known or already gone.
func (b *Board) Leave(now time.Time, id string) (Upstream, bool) {
	r := b.upstreams[id]
	if r == nil || r.State == Gone {
		return Upstream{}, false
	}
	u := r.Upstream
	u.State = Gone
	b.storeUpstream(now, r, u)
	r.direct = now
	return u, true
}

func (b *Board) takeUpstream(heard time.Time, u Upstream) bool {
	r := b.upstreams[u.ID]
	if r == nil {
		if holder := b.upstreams[b.addresses[u.Address]]; holder != nil && holder.State != Gone && holder.Born > u.Born {
			return false // a late heartbeat of a process whose address another one has by now
		}
		r = &upstreamRecord{}
		b.upstreams[u.ID] = r
		b.storeUpstream(heard, r, u)
		return true
	}
	if !newer(u, r.Upstream) {
		return false
	}
	if r.State == Gone && u.Born <= r.Born {
		return false
	}
	changed := meaning(u) != meaning(r.Upstream) || r.Silent
	if !changed {
		r.Sequence, r.heard, r.ColdUntil = u.Sequence, later(r.heard, heard), u.ColdUntil
		return false
	}
	b.storeUpstream(heard, r, u)
	return true
}

// newer orders the records of one id. Gone wins over other records of the same start, since it is the last word.
func newer(a, b Upstream) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	if (a.State == Gone) != (b.State == Gone) {
		return a.State == Gone
	}
	return a.Sequence > b.Sequence
}

// meaning is the part of a record that readers act on.
func meaning(u Upstream) Upstream {
	u.Sequence, u.Age, u.ColdUntil, u.Silent = 0, 0, 0, false
	return u
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (b *Board) storeUpstream(heard time.Time, r *upstreamRecord, u Upstream) {
	b.version++
	u.Age, u.Silent = 0, false
	r.Upstream, r.heard, r.version = u, later(r.heard, heard), b.version
	if u.State == Gone {
		return
	}
	if other := b.upstreams[b.addresses[u.Address]]; other != nil && other != r && other.State != Gone {
		if other.Born > u.Born {
			b.version++
			r.State, r.version = Gone, b.version
			return
		}
		b.version++
		other.State, other.version = Gone, b.version
	}
	b.addresses[u.Address] = u.ID
}

// Report takes the report of an entry node that asked this node.
func (b *Board) Report(now time.Time, e Entry) bool {
	changed := b.takeEntry(now, e)
	if r := b.entries[e.Node]; r != nil {
		r.direct = now
	}
	return changed
}

func (b *Board) takeEntry(heard time.Time, e Entry) bool {
	e.Age = 0
	r := b.entries[e.Node]
	if r == nil {
		r = &entryRecord{}
		b.entries[e.Node] = r
	} else if cmp.Or(cmp.Compare(e.Started, r.Started), cmp.Compare(e.Report, r.Report)) <= 0 {
		return false
	}
	quiet := r.Entry
	quiet.Report = e.Report
	changed := quiet != e || heard.Sub(r.heard) > b.cfg.EntryAfter
	r.Entry, r.heard = e, later(r.heard, heard)
	if changed {
		b.version++
		r.version = b.version
	}
	return changed
}

// Batch is what one control node tells another.
type Batch struct {
	Upstreams []Upstream `cbor:"1,keyasint,omitempty"`
	Entries   []Entry    `cbor:"2,keyasint,omitempty"`
}

// Heard returns what this node heard itself at or after a time, with ages as of now.
func (b *Board) Heard(now, since time.Time) Batch {
	var out Batch
	for _, r := range b.upstreams {
		if !r.direct.Before(since) {
			u := r.Upstream
			u.Age = now.Sub(r.heard).Milliseconds()
			out.Upstreams = append(out.Upstreams, u)
		}
	}
	for _, r := range b.entries {
		if !r.direct.Before(since) {
			e := r.Entry
			e.Age = now.Sub(r.heard).Milliseconds()
			out.Entries = append(out.Entries, e)
		}
	}
	sortBatch(&out)
	return out
}

// All returns all records, for a control node that has just started.
func (b *Board) All(now time.Time) Batch { return b.Heard(now, time.Time{}) }

func sortBatch(out *Batch) {
	slices.SortFunc(out.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(out.Entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })
}

// Merge takes what another control node told and reports whether anything but times changed.
func (b *Board) Merge(now time.Time, batch Batch) bool {
	changed := false
	for _, u := range batch.Upstreams {
		heard := now.Add(-time.Duration(u.Age) * time.Millisecond)
		if b.takeUpstream(heard, u) {
			changed = true
		}
	}
	for _, e := range batch.Entries {
		if b.takeEntry(now.Add(-time.Duration(e.Age)*time.Millisecond), e) {
			changed = true
		}
	}
	return changed
}

// Tick marks upstreams that have fallen silent and forgets old records.
func (b *Board) Tick(now time.Time) {
	for id, r := range b.upstreams {
		age := now.Sub(r.heard)
		switch {
		case age > b.cfg.ForgetAfter:
			b.forget(id, r)
		case age > b.cfg.SilentAfter && !r.Silent && r.State != Gone:
			b.version++
			r.Silent, r.version = true, b.version
		}
	}
	for id, r := range b.entries {
		age := now.Sub(r.heard)
		switch {
		case age > b.cfg.ForgetAfter:
			delete(b.entries, id)
			b.version++
			b.dropped = b.version
		case age > b.cfg.EntryAfter && r.Ready:
			b.version++
			r.Ready, r.version = false, b.version
		}
	}
}

func (b *Board) forget(id string, r *upstreamRecord) {
	if b.addresses[r.Address] == id {
		delete(b.addresses, r.Address)
	}
	delete(b.upstreams, id)
	b.version++
	b.dropped = b.version
}

// Delta is what changed for a reader. Whole means that it replaces all that the reader has.
type Delta struct {
	Version   uint64     `cbor:"1,keyasint"`
	Whole     bool       `cbor:"2,keyasint,omitempty"`
	Upstreams []Upstream `cbor:"3,keyasint,omitempty"`
	Entries   []Entry    `cbor:"4,keyasint,omitempty"`
}

// Since returns the changes after a version; version 0, or one before a removal, gets all records.
func (b *Board) Since(now time.Time, version uint64) Delta {
	d := Delta{Version: b.version, Whole: version == 0 || version < b.dropped || version > b.version}
	for _, r := range b.upstreams {
		if d.Whole || r.version > version {
			u := r.Upstream
			u.Age = now.Sub(r.heard).Milliseconds()
			d.Upstreams = append(d.Upstreams, u)
		}
	}
	for _, r := range b.entries {
		if d.Whole || r.version > version {
			e := r.Entry
			e.Age = now.Sub(r.heard).Milliseconds()
			d.Entries = append(d.Entries, e)
		}
	}
	batch := Batch{d.Upstreams, d.Entries}
	sortBatch(&batch)
	return d
}

// Serving returns the entry nodes that take callers, those of the data centre first, then of the region, then others; each
// part is sorted by name. Parts after the first are left out once there are two nodes.
func (b *Board) Serving(now time.Time, dataCentre, region string) []Entry {
	var parts [3][]Entry
	for _, r := range b.entries {
		if !r.Ready || now.Sub(r.heard) > b.cfg.EntryAfter {
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
		slices.SortFunc(part, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })
		out = append(out, part...)
	}
	return out
}

// Find returns the record of an upstream.
func (b *Board) Find(id string) (Upstream, bool) {
	r := b.upstreams[id]
	if r == nil {
		return Upstream{}, false
	}
	return r.Upstream, true
}
