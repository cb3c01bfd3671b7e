package conf

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"
)

// Table is an immutable index of a configuration.
type Table struct {
	Config   *Config
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
	teams    map[KeyHash]*Team
	ranks    map[rankKey]int
	regions  regionIndex
}

// rankKey orders requests: first by the priority of their team, or of their route if the team has none, and then
// by the priority of their route. The second key preserves the order of one team's routes.
type rankKey struct{ primary, route int }

// NewTable builds a table. The configuration must not be modified afterwards.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, byHost: map[string][]*Route{}, services: map[string]*Service{}, teams: map[KeyHash]*Team{}, ranks: map[rankKey]int{}}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &c.Routes[i])
	}
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Teams {
		for _, k := range c.Teams[i].Keys {
			t.teams[k] = &c.Teams[i]
		}
	}
	t.assignRanks()
	t.indexRegions()
	return t
}

// assignRanks numbers all possible rank keys from 0 without gaps, because upstreams distinguish only a few
// ranks.
func (t *Table) assignRanks() {
	routes := map[int]bool{}
	for i := range t.Config.Routes {
		p := t.Config.Routes[i].Priority
		routes[p] = true
		t.ranks[rankKey{p, p}] = 0
	}
	for _, team := range t.Config.Teams {
		if team.Priority == nil {
			continue
		}
		for p := range routes {
			t.ranks[rankKey{*team.Priority, p}] = 0
		}
	}
	sorted := slices.SortedFunc(maps.Keys(t.ranks), func(a, b rankKey) int {
		return cmp.Or(cmp.Compare(a.primary, b.primary), cmp.Compare(a.route, b.route))
	})
	for rank, u := range sorted {
		t.ranks[u] = rank
	}
}

// Rank returns the priority rank of a route's requests for a team, which may be nil; 0 is the most urgent. The
// priority of a team takes precedence over that of the route. Among teams of equal priority, requests are
// ordered by that of the route.
func (t *Table) Rank(r *Route, team *Team) int {
	u := rankKey{r.Priority, r.Priority}
	if team != nil && team.Priority != nil {
		u.primary = *team.Priority
	}
	return t.ranks[u]
}

// Match returns the route with the longest matching prefix, or nil. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Team returns the team that a key belongs to.
func (t *Table) Team(key string) (*Team, bool) {
	team, ok := t.teams[HashKey(key)]
	return team, ok
}

// NeedsKey reports whether requests of a route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Config.Teams) > 0 && !r.Anonymous }

// Idempotent reports whether the work of a route's requests may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resume }

// Choose selects a service by weight. draw is a random number between 0 and 1.
func (r *Route) Choose(draw float64) string {
	total := 0.0
	for _, w := range r.Split {
		total += w.Weight
	}
	point := draw * total
	for _, w := range r.Split {
		if point -= w.Weight; point < 0 {
			return w.Service
		}
	}
	for _, w := range slices.Backward(r.Split) {
		if w.Weight > 0 {
			return w.Service
		}
	}
	return ""
}
