// Package region holds the set of regions that a request may use.
//
// Usage:
//
//	allowed := region.Of(route.Regions).Intersect(region.Of(team.Regions))
//	if allowed.Allows("north") { ... }
package region

import (
	"slices"
	"strings"
)

// Set is an immutable set of regions. The zero value contains all regions.
type Set struct {
	limited bool
	names   []string // sorted, without duplicates
}

// Of returns the set of the listed regions; all regions if the list is empty. Empty names are left out, because an unknown data
// centre has no region.
func Of(names []string) Set {
	if len(names) == 0 {
		return Set{}
	}
	list := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == "" })
	slices.Sort(list)
	return Set{limited: true, names: slices.Compact(list)}
}

// Allows reports whether the set contains a region.
func (s Set) Allows(name string) bool { return !s.limited || slices.Contains(s.names, name) }

// Limited reports whether the set excludes any region.
func (s Set) Limited() bool { return s.limited }

// Intersect returns the regions that both sets contain. It allocates only if the result differs from both.
func (s Set) Intersect(other Set) Set {
	switch {
	case !other.limited || s.limited && s.within(other):
		return s
	case !s.limited || other.within(s):
		return other
	}
	names := slices.DeleteFunc(slices.Clone(s.names), func(name string) bool { return !other.Allows(name) })
	return Set{limited: true, names: names}
}

// within reports whether all regions of a limited set are in the other one.
func (s Set) within(other Set) bool {
	for _, name := range s.names {
		if !other.Allows(name) {
			return false
		}
	}
	return true
}

// String returns the names of the regions, separated by commas, for messages.
func (s Set) String() string {
	switch {
	case !s.limited:
		return "all"
	case len(s.names) == 0:
		return "none"
	}
	return strings.Join(s.names, ", ")
}
