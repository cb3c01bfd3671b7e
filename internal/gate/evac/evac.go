// Package evac holds the set of evacuated data centres, to whose upstreams no process of the fleet sends new work.
//
// The log of the control group orders the operators' orders, so that the last accepted order for a data centre wins. An order is a
// permanent notice of package vdoc, and its revocation removes the notice. A Set is what the log says up to an index, so that of two
// sets the one with the higher version is the newer one, whichever control nodes they come from.
//
// Usage:
//
//	err := member.ChangePermanent(ctx, vdoc.Change{Notice: evac.Notice("dc-1")})              // order
//	err = member.ChangePermanent(ctx, vdoc.Change{Notice: evac.Notice("dc-1"), Remove: true}) // revocation
//	set := evac.FromNotices(member.Permanent())
//	current, changed := current.Merge(set)
//	if current.Contains(upstream.DataCentre) { ... }
package evac

import (
	"slices"
	"strings"

	"github.com/berylledge/berylledge/internal/state/vdoc"
)

// Set is the set of evacuated data centres at an index of the control group's log. It must not be modified.
type Set struct {
	Version     uint64   `cbor:"1,keyasint,omitempty"` // log index of the last order that changed the set; 0: none was ever stored
	DataCentres []string `cbor:"2,keyasint,omitempty"` // sorted
}

// keyPrefix separates the keys of evacuations from those of other permanent notices.
const keyPrefix = "evacuation/"

// Notice returns the notice that stores the evacuation of a data centre.
func Notice(dataCentre string) vdoc.Notice { return vdoc.Notice{Key: keyPrefix + dataCentre} }

// FromNotices returns the set that the permanent notices at a log index describe.
func FromNotices(list []vdoc.Notice, index uint64) Set {
	s := Set{Version: index}
	for _, n := range list {
		if name, ok := strings.CutPrefix(n.Key, keyPrefix); ok {
			s.DataCentres = append(s.DataCentres, name)
		}
	}
	slices.Sort(s.DataCentres)
	return s
}

// Contains reports whether a data centre is evacuated.
func (s Set) Contains(dataCentre string) bool {
	_, ok := slices.BinarySearch(s.DataCentres, dataCentre)
	return ok
}

// Merge returns the newer one of two sets, and whether that is the other one.
func (s Set) Merge(other Set) (Set, bool) {
	if other.Version <= s.Version {
		return s, false
	}
	return other, true
}
