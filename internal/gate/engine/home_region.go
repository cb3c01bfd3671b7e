package engine

import "github.com/berylledge/berylledge/internal/base/rendez"

// Region is a region with engines that a request can use.
type Region struct {
	Name    string
	Engines int
}

// crossRegionTokens is the number of tokens of shared parts from which a request is routed to the region that caches
// them: reading them again takes longer than a round trip to another region.
const crossRegionTokens = 2000

// HomeRegion returns the region where a request should run. A request with large shared parts goes to the region chosen
// by their hash; otherwise each region would read the same parts. Regions are weighted by their number of engines.
// Other requests stay in their own region, unless it has no engines.
func (r Request) HomeRegion(own string, areas []Region) string {
	shared := 0
	for _, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
		shared += p.Tokens
	}
	sizes := make([]rendez.WeightedNode, len(areas))
	usable := false
	for i, a := range areas {
		sizes[i] = rendez.WeightedNode{Name: a.Name, Weight: float64(a.Engines)}
		usable = usable || a.Name == own && a.Engines > 0
	}
	if usable && shared < crossRegionTokens {
		return own
	}
	chains := r.chains()
	key := ""
	if len(chains) > 1 {
		key = chains[len(chains)-2]
	}
	if home := rendez.Pick(key, sizes); home != "" {
		return home
	}
	return own
}
