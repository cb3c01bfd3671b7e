package conf

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that may use a region which its route or team forbids, and against an allocation for each request of a
// route without a list.
func TestRegionsOfRouteAndTeamBothBind(t *testing.T) {
	c := testConfig()
	c.Routes[0].Regions = []string{"north", "south"}
	c.Teams = append(c.Teams, Team{Name: "lab", Regions: []string{"south", "west"}})
	assert.Equal(t, len(c.Validate()), 0)
	table := NewTable(c)
	all, deep, office, lab := &c.Routes[0], &c.Routes[1], &c.Teams[0], &c.Teams[1]
	assert.Equal(t, table.Regions(all, nil).String(), "north, south")
	assert.Equal(t, table.Regions(all, office).String(), "north, south")
	assert.Equal(t, table.Regions(all, lab).String(), "south")
	assert.Equal(t, table.Regions(deep, lab).String(), "south, west")
	assert.Assert(t, !table.Regions(deep, office).Limited())
	assert.Equal(t, testing.AllocsPerRun(100, func() { table.RegionsNow(table, deep, office) }), 0.0)
}

// Guards against a waiting request that keeps to the lists of an old configuration, and against one that loses its restriction
// because its route or team was removed, or because another route has the same name.
func TestRegionsNowFollowTheNewestLists(t *testing.T) {
	old := testConfig()
	old.Routes[0].Regions, old.Teams[0].Regions = []string{"north"}, []string{"north", "south"}
	own := NewTable(old)
	now := func(change func(*Config)) string {
		c := testConfig()
		change(c)
		return NewTable(c).RegionsNow(own, &old.Routes[0], &old.Teams[0]).String()
	}
	assert.Equal(t, now(func(*Config) {}), "all")
	assert.Equal(t, now(func(c *Config) { c.Routes[0].Regions = []string{"south"} }), "south")
	assert.Equal(t, now(func(c *Config) { c.Routes[0].Prefix, c.Routes[0].Regions = "/moved/", []string{"south"} }), "south")
	assert.Equal(t, now(func(c *Config) { c.Teams[0].Keys, c.Teams[0].Regions = nil, []string{"west"} }), "west")
	assert.Equal(t, now(func(c *Config) { c.Routes = c.Routes[1:] }), "north")
	assert.Equal(t, now(func(c *Config) { c.Teams = nil }), "north, south")
	assert.Equal(t, now(func(c *Config) { c.Routes, c.Teams = nil, nil }), "north")
	assert.Equal(t, now(func(c *Config) { c.Routes[1].Name, c.Routes[1].Regions = "all", []string{"west"} }), "all")
	assert.Equal(t, now(func(c *Config) {
		c.Teams = append(c.Teams, Team{Name: "office", Regions: []string{"west"}})
	}), "all")
}

// Guards against a directory that names entry nodes in a region which one of the host's routes forbids.
func TestHostRegionsAllowWhatAllRestrictedRoutesAllow(t *testing.T) {
	c := testConfig()
	c.Routes[0].Regions, c.Routes[1].Regions = []string{"north", "south"}, []string{"south", "west"}
	c.Routes = append(c.Routes, Route{Name: "free", Host: "b.example", Prefix: "/", Kind: Safe, Timeout: 1000, Split: []Weight{{"desk", 1}}})
	table := NewTable(c)
	assert.Equal(t, table.HostRegions("A.Example:443").String(), "south")
	assert.Equal(t, table.HostRegions("b.example").String(), "all")
	assert.Equal(t, table.HostRegions("").String(), "all")
}
