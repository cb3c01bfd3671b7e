package gwnode

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// named returns the entry nodes that the directory names to a caller, in order of their numbers, or the status of a failure.
func (f *fleet) named(control int, dataCentre, region, host string, nodes ...int) string {
	url := fmt.Sprintf("http://%s/v1/traffic/entries?data_centre=%s&region=%s&host=%s", f.at(control, directoryPort), dataCentre, region, host)
	status, text := f.do("GET", url, nil)
	if status != 200 {
		return fmt.Sprint("status ", status) // it has not heard an entry node yet
	}
	out := ""
	for _, n := range nodes {
		if strings.Contains(text, f.at(n, callersPort)) {
			out += fmt.Sprint(n, " ")
		}
	}
	return strings.TrimSpace(out)
}

// Guards against a list of regions that some control node or entry node reads too late or not at all: the directory would name entry
// nodes that must send the host's requests to another region, and these would use a region that the route no longer allows.
func TestRegionsOfARouteTakeEffectOnAllNodes(t *testing.T) {
	f := newFleet(t, 98)
	f.place = map[int]poller.Place{2: {DataCentre: "b", Region: "south"}, 12: {DataCentre: "b", Region: "south"}}
	for _, n := range []int{1, 2, 3, 11, 12} {
		f.start(n, true)
	}
	f.put(1, f.config(1, "/x/"))
	f.eventually("the upstream is registered", func() bool { return f.beat(1, roster.Ready, 1) == 200 }) // in data centre a, north
	for _, n := range []int{11, 12} {
		f.eventually("the entry nodes serve", func() bool { return f.request(n, "/x/") == 200 })
	}
	for _, control := range []int{1, 2} {
		f.eventually("both entry nodes are named", func() bool { return f.named(control, "c", "west", "api.example", 11, 12) == "11 12" })
	}
	restrict := func(version uint64, region, inWest, inSouth string, status int) {
		c := f.config(version, "/x/")
		c.Routes[0].Regions = []string{region}
		f.put(1, c)
		for _, control := range []int{1, 2} {
			f.within(inForceWithin, "the directory follows", func() bool { return f.named(control, "c", "west", "api.example", 11, 12) == inWest })
			assert.Equal(t, f.named(control, "b", "south", "api.example", 11, 12), inSouth)
			assert.Equal(t, f.named(control, "c", "west", "other.example", 11, 12), "11 12")
		}
		for _, n := range []int{11, 12} {
			f.within(inForceWithin, "the entry node follows", func() bool { return f.request(n, "/x/") == status })
		}
	}
	restrict(2, "south", "12", "12", 503)
	restrict(3, "north", "11", "11 12", 200) // callers in the south keep the entry node near them
}
