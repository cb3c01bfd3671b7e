package roster

import (
	"slices"
	"time"
)

// Delta is a page of changes, in version order. Full means that this page and the following ones contain all records, so that
// the reader can discard any other record. More means that another page can be requested immediately.
type Delta struct {
	Version   uint64     `cbor:"1,keyasint"`
	Full      bool       `cbor:"2,keyasint,omitempty"`
	Upstreams []Upstream `cbor:"3,keyasint,omitempty"`
	Entries   []Entry    `cbor:"4,keyasint,omitempty"`
	More      bool       `cbor:"5,keyasint,omitempty"`
}

// ChangesSince returns the changes after a version, limited to a number of records. A reader at version 0, or one that missed
// the last change of a record that has been removed, receives all records.
func (reg *Registry) ChangesSince(now time.Time, version uint64, limit int) Delta {
	return reg.deltaPage(now, version, limit, func(o *recordMeta) uint64 { return o.version })
}

// OwnedChangesSince is like ChangesSince, but returns only records that this node owns, including those that it was the last to
// hear. Taking over a record from another owner counts as a change.
func (reg *Registry) OwnedChangesSince(now time.Time, version uint64, limit int) Delta {
	return reg.deltaPage(now, version, limit, func(o *recordMeta) uint64 {
		if o.owner != reg.cfg.Self {
			return 0
		}
		return o.syncVersion
	})
}

// deltaPage returns the records whose version, as returned by versionOf, is after a version. versionOf returns 0 for records to
// leave out.
func (reg *Registry) deltaPage(now time.Time, version uint64, limit int, versionOf func(*recordMeta) uint64) Delta {
	if version < reg.removedVersion || version > reg.version {
		version = 0
	}
	d := Delta{Version: reg.version, Full: version == 0}
	if version == reg.version {
		return d
	}
	var versions []uint64
	for o := range reg.eachMeta {
		if n := versionOf(o); n > version {
			versions = append(versions, n)
		}
	}
	if len(versions) > limit {
		slices.Sort(versions)
		d.Version, d.More = versions[limit-1], true
	}
	onPage := func(o *recordMeta) bool {
		n := versionOf(o)
		return n > version && n <= d.Version
	}
	for _, r := range reg.upstreams {
		if onPage(&r.recordMeta) {
			d.Upstreams = append(d.Upstreams, r.forMessage(now))
		}
	}
	for _, r := range reg.entries {
		if onPage(&r.recordMeta) {
			d.Entries = append(d.Entries, r.withAge(now, reg.lastHeardAt(&r.recordMeta)))
		}
	}
	sortRecords(d.Upstreams, d.Entries)
	return d
}

// eachMeta iterates over the metadata of all records.
func (reg *Registry) eachMeta(yield func(*recordMeta) bool) {
	for _, r := range reg.upstreams {
		if !yield(&r.recordMeta) {
			return
		}
	}
	for _, r := range reg.entries {
		if !yield(&r.recordMeta) {
			return
		}
	}
}
