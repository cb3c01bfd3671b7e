package engine

import "github.com/berylledge/berylledge/internal/base/rendez"

// Region is a region with engines that a request can use.
type Region struct {
	Name    string
	Engines int
}

// farTokens is the number of tokens of shared parts from which a request goes to the region where they lie: to read them takes
// longer than the way to another region and back.
const farTokens = 2000

// HomeRegion returns the region where a request should run: that of its shared parts, if they are large, or else its own one. Each region
// would read each part by itself otherwise. Regions have parts in proportion to their engines. Without engines in its own region a
// request goes to where there are some.
func (r Request) HomeRegion(own string, areas []Region) string {
	shared := 0
	for _, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
		shared += p.Tokens
	}
	sizes := make([]rendez.Share, len(areas))
	usable := false
	for i, a := range areas {
		sizes[i] = rendez.Share{Name: a.Name, Size: float64(a.Engines)}
		usable = usable || a.Name == own && a.Engines > 0
	}
	if usable && shared < farTokens {
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
