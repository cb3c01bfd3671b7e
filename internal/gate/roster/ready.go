package roster

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/berylledge/berylledge/internal/base/rendez"
	"github.com/berylledge/berylledge/internal/gate/region"
)

// Caller asks for entry nodes.
type Caller struct {
	Name       string // its address
	DataCentre string
	Region     string
	Allowed    region.Set // regions that its requests may use
	// Peers is the number of callers that have asked for the same data centre lately, and Query the number of this query. They are
	// used only if entry nodes differ in size.
	Peers int
	Query uint64
}

// ReadyEntries returns the entry nodes that accept callers: first those in the caller's data centre, then those in its region,
// then those in other regions that the caller's requests may use; if there is none, all others. It stops after the first group
// that brings the total to two or more. Within a group the order is stable for
// each caller but differs between callers, so that every node receives callers even if a response holds fewer addresses than
// there are nodes.
//
// Of a group of nodes of different capacity, only some are returned, chosen so that callers which pick one at random spread by capacity.
func (reg *Registry) ReadyEntries(now time.Time, caller Caller) []Entry {
	var parts [4][]Entry
	for _, r := range reg.entries {
		if !r.Ready || now.Sub(reg.lastHeardAt(&r.recordMeta)) > reg.entryTimeout(&r.recordMeta) {
			continue
		}
		switch {
		case r.DataCentre == caller.DataCentre:
			parts[0] = append(parts[0], r.Entry)
		case r.Region == caller.Region:
			parts[1] = append(parts[1], r.Entry)
		case caller.Allowed.Allows(r.Region):
			parts[2] = append(parts[2], r.Entry)
		default:
			parts[3] = append(parts[3], r.Entry)
		}
	}
	var out []Entry
	for i, part := range parts {
		if len(out) >= 2 || i == 3 && len(out) > 0 {
			break
		}
		out = append(out, order(part, &caller)...)
	}
	return out
}

// Selection of entry nodes of different capacity.
const (
	// minNamed leaves a caller alternatives if one of the nodes fails.
	minNamed = 4
	maxNamed = 64
	// maxNamedFraction is the fraction of the callers to which the largest node is named. More would be closer to all, and then the
	// fraction could not follow the capacity any more.
	maxNamedFraction = 0.95
	// minNamings is how many callers the smallest node must be named to on average, so that chance leaves no node without callers.
	minNamings = 10
)

// order returns the nodes of a group that are named to a caller, in the order for that caller.
func order(part []Entry, caller *Caller) []Entry {
	weights, total := capacities(part)
	if len(part) == 0 || slices.Min(weights) == slices.Max(weights) {
		slices.SortFunc(part, func(a, b Entry) int { return rendez.Compare(caller.Name, a.Node, b.Node) })
		return part
	}
	n := int(maxNamedFraction * total / slices.Max(weights))
	n = min(max(n, minNamed), maxNamed, len(part))
	key := caller.Name
	if smallest := float64(n) * slices.Min(weights) / total; float64(caller.Peers)*smallest < minNamings {
		// With lists that are stable for few callers, some nodes would get no caller at all.
		key += "\x00" + strconv.FormatUint(caller.Query, 10)
	}
	type scored struct {
		Entry
		score float64
	}
	list := make([]scored, len(part))
	for i, e := range part {
		named := min(float64(n)*weights[i]/total, maxNamedFraction) // fraction of the callers to which it is to be named
		// Of n nodes drawn without replacement, each is included with about the probability 1-exp(-weight*c), for some c.
		list[i] = scored{e, rendez.WeightedScore(key, rendez.WeightedNode{Name: e.Node, Weight: -math.Log1p(-named)})}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Node, b.Node)) })
	out := make([]Entry, n)
	for i := range out {
		out[i] = list[i].Entry
	}
	return out
}

// capacities returns the capacities of nodes, and their sum. A node of unknown capacity, of an earlier release, counts as the smallest
// known one.
func capacities(part []Entry) (weights []float64, total float64) {
	smallest := 0
	for _, e := range part {
		if e.Capacity > 0 && (smallest == 0 || e.Capacity < smallest) {
			smallest = e.Capacity
		}
	}
	weights = make([]float64, len(part))
	for i, e := range part {
		weights[i] = float64(max(e.Capacity, smallest, 1))
		total += weights[i]
	}
	return weights, total
}
