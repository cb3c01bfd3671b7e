package gwnode

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/roster"
)

// exchangeSeeds puts other control nodes into the settings file of each running node, and waits until all use them.
func (f *fleet) exchangeSeeds(seeds ...int) {
	f.t.Helper()
	f.seeds = nil
	for _, n := range seeds {
		f.seeds = append(f.seeds, f.at(n, controlPort))
	}
	for n, p := range f.nodes {
		s := p.s
		s.Seeds = f.seeds
		f.write(n, s)
	}
	for _, p := range f.nodes {
		f.eventually("the seeds are exchanged", func() bool { return p.seedPeers()[0] == f.peerAt(seeds[0]) })
	}
}

func (f *fleet) peerAt(node int) string { return f.at(node, peerPort) }

// Guards against a fleet that depends on the control nodes that its settings named first: the seeds are exchanged for others, and the
// first ones are taken away one after the other.
func TestFleetGoesOnWhenItsSeedsAreExchanged(t *testing.T) {
	f := newFleet(t, 80)
	f.files = map[int]string{}
	for _, n := range []int{1, 2, 3, 11} {
		f.start(n, true)
	}
	f.put(1, f.config(5, "/x/"))
	f.eventually("the upstream is registered", func() bool { return f.beat(2, roster.Ready, 1) == 200 })
	f.eventually("the entry node serves", func() bool { return f.request(11, "/x/") == 200 })
	for _, n := range []int{4, 5, 6} {
		f.start(n, false)
		f.eventually("the new control node is in the group", func() bool { return f.read(n) == 5 })
	}
	f.exchangeSeeds(4, 5, 6)
	for _, n := range []int{1, 2} { // of six
		f.stop(n)
	}
	f.put(5, f.config(6, "/y/"))
	f.eventually("the running entry node has the new version", func() bool { return f.request(11, "/x/") == 404 })
	f.start(12, false) // knows the exchanged seeds only
	f.eventually("the upstream reports again", func() bool { return f.beat(6, roster.Ready, 2) == 200 })
	f.eventually("a new entry node serves", func() bool { return f.request(12, "/y/") == 200 })
	f.start(7, false)
	f.eventually("a further control node joins", func() bool { return f.read(7) == 6 })
}

// Guards against a settings file that is torn, or wrong, and leaves a process without seeds.
func TestAnUnusableSettingsFileChangesNothing(t *testing.T) {
	f := newFleet(t, 81)
	f.files = map[int]string{}
	p := f.start(1, true)
	before := p.seedPeers()
	assert.NilError(t, os.WriteFile(f.files[1], []byte(`{"seeds": ["10.0`), 0o600))
	p.Reload()
	assert.DeepEqual(t, p.seedPeers(), before)
	s := p.s
	s.Seeds = []string{"not an address"}
	f.write(1, s)
	p.Reload()
	assert.DeepEqual(t, p.seedPeers(), before)
}
