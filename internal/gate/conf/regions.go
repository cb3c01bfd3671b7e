package conf

import (
	"net"
	"slices"
	"strings"

	"github.com/berylledge/berylledge/internal/gate/region"
)

// regionIndex holds the region sets of a table. It lists only routes, teams and hosts that are restricted.
type regionIndex struct {
	routes     map[*Route]region.Set
	teams      map[*Team]region.Set
	hosts      map[string]region.Set
	routeNames map[string][]*Route
	teamNames  map[string][]*Team
}

func (t *Table) indexRegions() {
	x := regionIndex{
		routes: map[*Route]region.Set{}, teams: map[*Team]region.Set{}, hosts: map[string]region.Set{},
		routeNames: map[string][]*Route{}, teamNames: map[string][]*Team{},
	}
	for i := range t.Config.Routes {
		r := &t.Config.Routes[i]
		x.routeNames[r.Name] = append(x.routeNames[r.Name], r)
		if set := region.Of(r.Regions); set.Limited() {
			x.routes[r] = set
			host := strings.ToLower(r.Host)
			x.hosts[host] = x.hosts[host].Intersect(set)
		}
	}
	for i := range t.Config.Teams {
		team := &t.Config.Teams[i]
		x.teamNames[team.Name] = append(x.teamNames[team.Name], team)
		if set := region.Of(team.Regions); set.Limited() {
			x.teams[team] = set
		}
	}
	t.regions = x
}

// Regions returns the regions that may serve the requests of a route for a team, which may be nil. Both lists bind.
func (t *Table) Regions(r *Route, team *Team) region.Set {
	var out region.Set
	if len(r.Regions) > 0 {
		out = t.regions.routes[r]
	}
	if team != nil && len(team.Regions) > 0 {
		out = out.Intersect(t.regions.teams[team])
	}
	return out
}

// RegionsNow returns the regions that may serve a request that another table, own, was used for: by the lists of the route and
// the team of the same names in t. Those of own apply if t does not have them.
func (t *Table) RegionsNow(own *Table, r *Route, team *Team) region.Set {
	routeSet, teamSet := own.Regions(r, nil), region.Set{}
	if now := t.sameRoute(r); now != nil {
		routeSet = t.Regions(now, nil)
	}
	if team != nil {
		teamSet = own.regions.teams[team]
		if now := t.sameTeam(team); now != nil {
			teamSet = t.regions.teams[now]
		}
	}
	return routeSet.Intersect(teamSet)
}

// sameRoute returns the route with the name of a route of another table, or nil. Names need not be unique: among several, it is
// the one with the same host and prefix.
func (t *Table) sameRoute(r *Route) *Route {
	list := t.regions.routeNames[r.Name]
	if len(list) == 1 {
		return list[0]
	}
	for _, now := range list {
		if strings.EqualFold(now.Host, r.Host) && now.Prefix == r.Prefix {
			return now
		}
	}
	return nil
}

// sameTeam returns the team with the name of a team of another table, or nil. Among several, it is one that shares a key with it.
func (t *Table) sameTeam(team *Team) *Team {
	list := t.regions.teamNames[team.Name]
	if len(list) == 1 {
		return list[0]
	}
	for _, now := range list {
		if slices.ContainsFunc(now.Keys, func(k KeyHash) bool { return slices.Contains(team.Keys, k) }) {
			return now
		}
	}
	return nil
}

// HostRegions returns the regions that all restricted routes of a host allow. The host may include a port.
func (t *Table) HostRegions(host string) region.Set {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return t.regions.hosts[strings.ToLower(host)]
}
