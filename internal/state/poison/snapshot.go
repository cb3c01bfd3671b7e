package poison

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// The shapes of a snapshot. Times are in milliseconds since 1970, as those of the log entries are.
type (
	fleetImage struct {
		Version uint64       `cbor:"1,keyasint"`
		Changed uint64       `cbor:"2,keyasint"`
		Deaths  []deathImage `cbor:"3,keyasint"` // oldest first
		Solos   []soloImage  `cbor:"4,keyasint"` // by fingerprint
		Entries []entryImage `cbor:"5,keyasint"` // by fingerprint
	}
	deathImage struct {
		Upstream    string        `cbor:"1,keyasint"`
		Incarnation uint64        `cbor:"2,keyasint"`
		AtMS        int64         `cbor:"3,keyasint"`
		Members     []memberImage `cbor:"4,keyasint"`
		Cleared     []Fingerprint `cbor:"5,keyasint"`
		Overflow    bool          `cbor:"6,keyasint,omitempty"`
	}
	memberImage struct {
		Fingerprint Fingerprint `cbor:"1,keyasint"`
		Version     uint64      `cbor:"2,keyasint"`
	}
	soloImage struct {
		Fingerprint Fingerprint `cbor:"1,keyasint"`
		Upstream    string      `cbor:"2,keyasint"`
		Node        string      `cbor:"3,keyasint"`
		Run         uint64      `cbor:"4,keyasint"`
		UntilMS     int64       `cbor:"5,keyasint"`
	}
	entryImage struct {
		Fingerprint Fingerprint `cbor:"1,keyasint"`
		Status      Status      `cbor:"2,keyasint"`
		Deaths      int         `cbor:"3,keyasint"`
		ExpiresMS   int64       `cbor:"4,keyasint"`
	}
)

// Snapshot returns the state as CBOR. Equal states have equal bytes. The policy is not part of it. Its size is bounded by
// MaxRecords and MaxMembers: about 1.5 MB with the default policy.
func (f *Registry) Snapshot() ([]byte, error) {
	im := fleetImage{Version: f.version, Changed: f.changed}
	for _, d := range f.deaths {
		out := deathImage{Upstream: d.upstream, Incarnation: d.incarnation, AtMS: d.at.UnixMilli(), Overflow: d.overflow}
		for _, fp := range sortedKeys(d.members) {
			out.Members = append(out.Members, memberImage{fp, d.members[fp]})
		}
		out.Cleared = sortedKeys(d.cleared)
		im.Deaths = append(im.Deaths, out)
	}
	for _, fp := range sortedKeys(f.solos) {
		s := f.solos[fp]
		im.Solos = append(im.Solos, soloImage{fp, s.upstream, s.node, s.run, s.until.UnixMilli()})
	}
	for _, e := range f.List() {
		im.Entries = append(im.Entries, entryImage{e.Fingerprint, e.Status, e.Deaths, e.Expires.UnixMilli()})
	}
	return encMode.Marshal(im)
}

func sortedKeys[V any](m map[Fingerprint]V) []Fingerprint {
	return slices.SortedFunc(maps.Keys(m), Fingerprint.Compare)
}

// RestoreRegistry returns the fleet of a snapshot. It refuses one that exceeds the bounds of the policy.
func RestoreRegistry(policy RegistryPolicy, data []byte) (*Registry, error) {
	var im fleetImage
	if err := decMode.Unmarshal(data, &im); err != nil {
		return nil, errors.Wrap(err, "crash suspects")
	}
	if len(im.Deaths) > policy.MaxRecords {
		return nil, errors.Newf("crash suspects: %d deaths; at most %d are allowed", len(im.Deaths), policy.MaxRecords)
	}
	f := NewRegistry(policy)
	f.version, f.changed = im.Version, im.Changed
	for _, in := range im.Deaths {
		if n := len(in.Members) + len(in.Cleared); n > policy.MaxMembers {
			return nil, errors.Newf("crash suspects: %d members of a death; at most %d are allowed", n, policy.MaxMembers)
		}
		d := &death{
			upstream: in.Upstream, incarnation: in.Incarnation, at: moment(in.AtMS), overflow: in.Overflow,
			members: map[Fingerprint]uint64{}, cleared: map[Fingerprint]bool{},
		}
		for _, m := range in.Members {
			d.members[m.Fingerprint] = m.Version
		}
		for _, fp := range in.Cleared {
			d.cleared[fp] = true
		}
		f.deaths = append(f.deaths, d)
	}
	for _, s := range im.Solos {
		f.solos[s.Fingerprint] = solo{s.Upstream, s.Node, s.Run, moment(s.UntilMS)}
	}
	for _, e := range im.Entries {
		f.entries[e.Fingerprint] = Entry{e.Fingerprint, e.Status, e.Deaths, moment(e.ExpiresMS)}
	}
	return f, nil
}

// moment is in UTC, because entries are compared with those of a replica that did not restore a snapshot.
func moment(ms int64) time.Time { return time.UnixMilli(ms).UTC() }

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 8, MaxArrayElements: 1 << 15, MaxMapPairs: 64,
	}.DecMode())
)

// must is for modes whose options are constants.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
