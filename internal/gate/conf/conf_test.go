package conf

import (
	"testing"

	"gotest.tools/v3/assert"
)

func testConfig() *Config {
	return &Config{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "A.example", Prefix: "/", Kind: Safe, Timeout: 1000, Split: []Weight{{"desk", 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/", Kind: Unsafe, Timeout: 1000, Split: []Weight{{"desk", 90}, {"spare", 10}}},
		},
		Services: []Service{{Name: "desk"}, {Name: "spare"}, {Name: "pool", Pool: &Pool{Slots: 1, Batch: 4}}},
		Teams:    []Team{{Name: "office", Keys: []KeyHash{HashKey("k1")}}},
	}
}

// Guards against matching a route with a shorter prefix or another host.
func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	table := NewTable(testConfig())
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "deep"},
		{"a.example:8080", "/x/", "deep"},
		{"A.EXAMPLE", "/x", "all"},
		{"a.example", "/y/x/", "all"},
		{"b.example", "/x/", ""},
	} {
		name := ""
		if r := table.Match(c.host, c.path); r != nil {
			name = r.Name
		}
		assert.Equal(t, name, c.want, "%s%s", c.host, c.path)
	}
}

// Guards against an invalid configuration that is accepted.
func TestCheckFindsEachProblem(t *testing.T) {
	assert.Equal(t, len(testConfig().Validate()), 0)
	for name, spoil := range map[string]func(*Config){
		"unknown service":     func(c *Config) { c.Routes[0].Split[0].Service = "none" },
		"same place":          func(c *Config) { c.Routes[0].Prefix = "/x/" },
		"no weight":           func(c *Config) { c.Routes[1].Split = []Weight{{"desk", 0}, {"spare", 0}} },
		"no timeout":          func(c *Config) { c.Routes[0].Timeout = 0 },
		"shared key":          func(c *Config) { c.Teams = append(c.Teams, Team{Name: "b", Keys: []KeyHash{HashKey("k1")}}) },
		"unknown kind":        func(c *Config) { c.Routes[0].Kind = "odd" },
		"prefix":              func(c *Config) { c.Routes[0].Prefix = "/x" },
		"stage service":       func(c *Config) { c.Routes[0].Stages = []Stage{{Service: "desk"}} },
		"stage after itself":  func(c *Config) { c.Routes[0].Stages = []Stage{{Service: "pool", After: []int{0}}} },
		"two services a name": func(c *Config) { c.Services = append(c.Services, Service{Name: "desk"}) },
	} {
		c := testConfig()
		spoil(c)
		assert.Assert(t, len(c.Validate()) > 0, name)
	}
}

// Guards against silently ignoring data after the configuration.
func TestDecodeReadsTheWholeBody(t *testing.T) {
	_, err := Decode([]byte(`{"version":1} {"version":2}`))
	assert.ErrorContains(t, err, "after the end")
	_, err = Decode([]byte(`{"version":1,"routes":[{"na`))
	assert.ErrorContains(t, err, "invalid configuration")
}

// Guards against sending requests to a service with weight 0, and against shares that do not match the weights.
func TestChooseFollowsTheWeights(t *testing.T) {
	r := &Route{Split: []Weight{{"a", 9}, {"b", 1}, {"c", 0}}}
	for _, c := range []struct {
		draw float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.9999999, "b"}, {1, "b"}} {
		assert.Equal(t, r.Choose(c.draw), c.want)
	}
}

// Guards against accepting an unknown key, or assigning a key to the wrong team.
func TestKeysBelongToOneTeam(t *testing.T) {
	table := NewTable(testConfig())
	team, ok := table.Team("k1")
	assert.Assert(t, ok)
	assert.Equal(t, team.Name, "office")
	_, ok = table.Team("k2")
	assert.Assert(t, !ok)
}

// Guards against a team's priority that makes all of its routes equally urgent: a burst of the least urgent
// requests would then delay the most urgent ones (incident SHORT).
func TestKindsOfOneTeamKeepTheirOrder(t *testing.T) {
	one, three := 1, 3
	c := &Config{
		Routes: []Route{{Name: "review", Priority: 0}, {Name: "hint", Priority: 1}, {Name: "check", Priority: 2}},
		Teams:  []Team{{Name: "office", Priority: &one}, {Name: "desk", Priority: &one}, {Name: "press", Priority: &three}, {Name: "plain"}},
	}
	table := NewTable(c)
	rank := func(route int, team int) int {
		if team < 0 {
			return table.Rank(&c.Routes[route], nil)
		}
		return table.Rank(&c.Routes[route], &c.Teams[team])
	}
	assert.Assert(t, rank(0, 0) < rank(1, 0) && rank(1, 0) < rank(2, 0), "the kinds of one team")
	assert.Assert(t, rank(0, 0) < rank(2, 1), "the kinds of teams with the same priority")
	assert.Assert(t, rank(2, 0) < rank(0, 2), "the team's priority goes before the route's")
	assert.Equal(t, rank(0, 3), rank(0, -1), "a team without a priority")
	assert.Assert(t, rank(0, -1) < rank(0, 0) && rank(2, 0) < rank(2, -1), "a route's own priority counts without a team's")
	assert.Equal(t, rank(0, -1), 0)
	assert.Equal(t, rank(2, 2), 7, "eight urgencies, without gaps")
}
