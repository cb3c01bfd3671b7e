package region

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a set that allows more than both lists: an empty intersection must not become "all regions", and the empty
// name, which is the region of an unknown data centre, must not be allowed.
func TestSetAllowsWhatAllListsAllow(t *testing.T) {
	north, both, south := Of([]string{"north"}), Of([]string{"south", "north", "south"}), Of([]string{"south"})
	for _, c := range []struct {
		set  Set
		want string
	}{
		{Set{}, "all"},
		{Of(nil), "all"},
		{Of([]string{}), "all"},
		{Of([]string{""}), "none"},
		{both, "north, south"},
		{Set{}.Intersect(north), "north"},
		{north.Intersect(Set{}), "north"},
		{north.Intersect(both), "north"},
		{both.Intersect(north), "north"},
		{north.Intersect(south), "none"},
		{north.Intersect(south).Intersect(both), "none"},
		{Of([]string{"a", "b"}).Intersect(Of([]string{"b", "c"})), "b"},
	} {
		assert.Equal(t, c.set.String(), c.want)
		assert.Equal(t, c.set.Limited(), c.want != "all")
		assert.Equal(t, c.set.Allows(""), c.want == "all")
		assert.Equal(t, c.set.Allows("north"), c.want == "all" || c.want == "north" || c.want == "north, south")
	}
}
