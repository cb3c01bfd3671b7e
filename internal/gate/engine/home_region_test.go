package engine

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func subject(i, shared int) Request {
	return Request{Model: "m", Parts: []Part{{ID: fmt.Sprint("s", i), Tokens: shared}, {ID: fmt.Sprint("own", i), Tokens: 3000}}}
}

// Guards against each region reading every shared part: 1,000 subjects of 13,000 tokens each are requested in two
// regions.
func TestASubjectHasOneHomeWhoeverAsks(t *testing.T) {
	areas := []Region{{"north", 60}, {"south", 30}}
	homes := map[string]int{}
	for i := range 3000 {
		r := subject(i, 13_000)
		home := r.HomeRegion("north", areas)
		assert.Equal(t, r.HomeRegion("south", areas), home)
		homes[home]++
	}
	assert.Assert(t, homes["north"] > 1850 && homes["north"] < 2150, "%v: two thirds of the engines are in the north", homes)
}

// Guards against requests that cross regions for parts that are read faster than the round trip takes.
func TestASmallPromptStaysInItsRegion(t *testing.T) {
	areas := []Region{{"north", 60}, {"south", 30}}
	for i := range 100 {
		assert.Equal(t, subject(i, 500).HomeRegion("south", areas), "south")
	}
	assert.Equal(t, Request{}.HomeRegion("south", areas), "south")
}

// Guards against a lost region that moves the subjects of other regions, and against requests for a region without
// engines.
func TestALostRegionMovesItsOwnSubjectsOnly(t *testing.T) {
	areas := []Region{{"north", 60}, {"south", 30}, {"west", 30}}
	for i := range 1000 {
		r := subject(i, 13_000)
		before := r.HomeRegion("north", areas)
		after := r.HomeRegion("north", []Region{{"north", 60}, {"south", 30}, {"west", 0}})
		assert.Assert(t, after != "west")
		assert.Assert(t, before == "west" || before == after)
	}
	assert.Equal(t, subject(1, 10).HomeRegion("east", areas) != "east", true)
	assert.Equal(t, subject(1, 10).HomeRegion("east", nil), "east")
}
