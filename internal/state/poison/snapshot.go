package poison

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// CBOR layout of a snapshot. Times are in Unix milliseconds, like those of the log entries.
type (
	registrySnapshot struct {
		Version uint64          `cbor:"1,keyasint"`
		Changed uint64          `cbor:"2,keyasint"`
		Deaths  []deathSnapshot `cbor:"3,keyasint"` // oldest first
		Solos   []soloSnapshot  `cbor:"4,keyasint"` // ordered by fingerprint
		Entries []entrySnapshot `cbor:"5,keyasint"` // ordered by fingerprint
	}
	deathSnapshot struct {
		Upstream    string           `cbor:"1,keyasint"`
		Incarnation uint64           `cbor:"2,keyasint"`
		AtMS        int64            `cbor:"3,keyasint"`
		Members     []memberSnapshot `cbor:"4,keyasint"`
		Cleared     []Fingerprint    `cbor:"5,keyasint"`
		Overflow    bool             `cbor:"6,keyasint,omitempty"`
	}
	memberSnapshot struct {
		Fingerprint Fingerprint `cbor:"1,keyasint"`
		Version     uint64      `cbor:"2,keyasint"`
	}
	soloSnapshot struct {
		Fingerprint Fingerprint `cbor:"1,keyasint"`
		Upstream    string      `cbor:"2,keyasint"`
		Node        string      `cbor:"3,keyasint"`
		Run         uint64      `cbor:"4,keyasint"`
		UntilMS     int64       `cbor:"5,keyasint"`
	}
	entrySnapshot struct {
		Fingerprint Fingerprint `cbor:"1,keyasint"`
		Status      Status      `cbor:"2,keyasint"`
		Deaths      int         `cbor:"3,keyasint"`
		ExpiresMS   int64       `cbor:"4,keyasint"`
	}
)

// Snapshot returns the state, without the policy, as CBOR. Equal states have equal bytes. MaxDeathRecords and MaxMembers
// bound its size: about 1.5 MB with the default policy.
func (r *Registry) Snapshot() ([]byte, error) {
	snap := registrySnapshot{Version: r.version, Changed: r.lastChange}
	for _, d := range r.deaths {
		out := deathSnapshot{Upstream: d.upstream, Incarnation: d.incarnation, AtMS: d.at.UnixMilli(), Overflow: d.overflow}
		for _, fp := range sortedKeys(d.members) {
			out.Members = append(out.Members, memberSnapshot{fp, d.members[fp]})
		}
		out.Cleared = sortedKeys(d.cleared)
		snap.Deaths = append(snap.Deaths, out)
	}
	for _, fp := range sortedKeys(r.solos) {
		s := r.solos[fp]
		snap.Solos = append(snap.Solos, soloSnapshot{fp, s.upstream, s.node, s.run, s.until.UnixMilli()})
	}
	for _, e := range r.List() {
		snap.Entries = append(snap.Entries, entrySnapshot{e.Fingerprint, e.Status, e.Deaths, e.Expires.UnixMilli()})
	}
	return encMode.Marshal(snap)
}

func sortedKeys[V any](m map[Fingerprint]V) []Fingerprint {
	return slices.SortedFunc(maps.Keys(m), Fingerprint.Compare)
}

// RestoreRegistry returns the registry stored in a snapshot. It returns an error if the snapshot exceeds the bounds of the
// policy.
func RestoreRegistry(policy RegistryPolicy, data []byte) (*Registry, error) {
	var snap registrySnapshot
	if err := decMode.Unmarshal(data, &snap); err != nil {
		return nil, errors.Wrap(err, "decode crash suspects snapshot")
	}
	if len(snap.Deaths) > policy.MaxDeathRecords {
		return nil, errors.Newf("crash suspects snapshot: %d deaths exceed the limit of %d", len(snap.Deaths), policy.MaxDeathRecords)
	}
	r := NewRegistry(policy)
	r.version, r.lastChange = snap.Version, snap.Changed
	for _, in := range snap.Deaths {
		if n := len(in.Members) + len(in.Cleared); n > policy.MaxMembers {
			return nil, errors.Newf("crash suspects snapshot: %d members of a death exceed the limit of %d", n, policy.MaxMembers)
		}
		d := &death{
			upstream: in.Upstream, incarnation: in.Incarnation, at: timeFromMillis(in.AtMS), overflow: in.Overflow,
			members: map[Fingerprint]uint64{}, cleared: map[Fingerprint]bool{},
		}
		for _, m := range in.Members {
			d.members[m.Fingerprint] = m.Version
		}
		for _, fp := range in.Cleared {
			d.cleared[fp] = true
		}
		r.deaths = append(r.deaths, d)
	}
	for _, s := range snap.Solos {
		r.solos[s.Fingerprint] = soloGrant{s.Upstream, s.Node, s.Run, timeFromMillis(s.UntilMS)}
	}
	for _, e := range snap.Entries {
		r.entries[e.Fingerprint] = Entry{e.Fingerprint, e.Status, e.Deaths, timeFromMillis(e.ExpiresMS)}
	}
	return r, nil
}

// timeFromMillis returns a time in UTC, so that entries compare equal to those of a replica that did not restore a snapshot.
func timeFromMillis(ms int64) time.Time { return time.UnixMilli(ms).UTC() }

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 8, MaxArrayElements: 1 << 15, MaxMapPairs: 64,
	}.DecMode())
)

// must panics on error. It is for modes whose options are constants.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
