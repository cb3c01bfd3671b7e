package gwnode

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/conf"
)

// largeConfig returns a configuration of many routes whose names look random.
func (f *fleet) largeConfig(version uint64, routes int) *conf.Config {
	c := f.config(version, "/x/")
	for i := range routes {
		r := c.Routes[0]
		r.Name, r.Prefix = fmt.Sprintf("r-%07x", i*2654435761%0xfffffff), fmt.Sprintf("/%x/%x/", i, i*40503%0xffff)
		c.Routes = append(c.Routes, r)
	}
	c.Routes[1].Timeout = conf.MS(2000 + version)
	return c
}

func (f *fleet) sent() int64 {
	total := int64(0)
	for _, p := range f.nodes {
		total += p.hub.Counters().BytesOut
	}
	return total
}

// Guards against whole configurations for each node and each version: "1,000 routes in ten versions within 5 s, then power loss"
// filled the link between two regions, the control nodes behind it lost their leader, and entry nodes there served an old version.
func TestQuickVersionsOfALargeConfigurationFillNoLink(t *testing.T) {
	f := newFleet(t, 71)
	for n := 1; n <= 3; n++ {
		f.start(n, true)
	}
	const entries, versions, routes = 4, 10, 1000
	f.put(1, f.largeConfig(1, routes))
	for n := 11; n < 11+entries; n++ {
		f.start(n, true)
	}
	inForce := func(version uint64) func() bool {
		return func() bool {
			for n := 11; n < 11+entries; n++ {
				if table := f.nodes[n].poller.View().Table; table == nil || table.Config.Version != version {
					return false
				}
			}
			return true
		}
	}
	f.eventually("the first configuration is in force", inForce(1))
	before := f.sent()
	for v := uint64(2); v <= versions+1; v++ {
		f.put(1, f.largeConfig(v, routes))
	}
	f.eventually("the last configuration is in force", inForce(versions+1))
	document, err := json.Marshal(f.largeConfig(versions+1, routes))
	assert.NilError(t, err)
	perNode := (f.sent() - before) / (entries + 2)
	assert.Assert(t, perNode < versions*int64(len(document))/4, "%d bytes for each node, one document has %d", perNode, len(document))

	for n := range f.nodes {
		f.stop(n)
	}
	for n := 1; n <= 3; n++ {
		f.start(n, false)
	}
	for n := 11; n < 11+entries; n++ {
		f.start(n, false)
	}
	f.eventually("the last configuration is in force again", inForce(versions+1))
}

// Guards against a control node that ends, or stays out of its group, because its disk was full for a while, and against an order that
// is acknowledged and lost there.
func TestControlNodeGoesOnWhenItsDiskHasRoomAgain(t *testing.T) {
	f := newFleet(t, 79)
	for n := 1; n <= 2; n++ {
		f.start(n, true)
	}
	f.room.Store(256 << 10)
	f.start(3, true)
	version := uint64(0)
	f.eventually("the disk of one node is full", func() bool {
		version++
		f.put(1, f.largeConfig(version, 1000))
		return len(f.nodes[3].events.Select(event.Filter{Name: "control_failed"})) > 0
	})
	version++
	f.put(1, f.largeConfig(version, 1000))
	f.room.Store(0)
	f.eventually("the node has all versions again", func() bool { return f.read(3) == version })
	f.stop(1)
	version++
	f.put(3, f.largeConfig(version, 1000))
	assert.Equal(t, f.read(2), version)
}

// leads reports whether a control node leads its group.
func (f *fleet) leads(node int) bool {
	s, ok := f.nodes[node].member.Status()
	return ok && s.Raft.Leader == f.nodes[node].member.ID()
}

// Guards against a leader with a full disk that loses an acknowledged order, that acknowledges one it could not write, or that keeps
// the others from acknowledging.
func TestFullDiskKeepsWhatWasAcknowledged(t *testing.T) {
	f := newFleet(t, 99)
	f.room.Store(256 << 10)
	f.start(3, true) // the only one with little room
	f.room.Store(0)
	for n := 1; n <= 2; n++ {
		f.start(n, true)
	}
	version := uint64(1)
	f.put(1, f.largeConfig(version, 10))
	f.eventually("the node with little room leads", func() bool {
		for n := 1; n <= 2; n++ {
			if f.leads(n) {
				f.stop(n)
				f.eventually("another node leads", func() bool { return f.leads(3) || f.leads(3-n) })
				f.start(n, false)
			}
		}
		return f.leads(3)
	})
	f.room.Store(256 << 10) // node 3 opens its folder again with as little room
	acknowledged := version
	f.eventually("its disk is full", func() bool {
		version++
		if status, _ := f.do("PUT", "http://"+f.at(3, controlPort)+"/v1/traffic", f.largeConfig(version, 1000)); status == 200 {
			acknowledged = version
		}
		return len(f.nodes[3].events.Select(event.Filter{Name: "control_failed"})) > 0
	})
	for n := 1; n <= 2; n++ {
		f.eventually("the others hold what was acknowledged", func() bool { return f.read(n) >= acknowledged })
	}
	version++
	f.put(2, f.largeConfig(version, 1000))
	acknowledged = version
	assert.Assert(t, !f.leads(3))

	f.room.Store(0)
	for n := 1; n <= 3; n++ {
		f.stop(n)
	}
	for n := 1; n <= 3; n++ {
		f.start(n, false)
	}
	for n := 1; n <= 3; n++ {
		f.eventually("nothing is lost by a restart of all", func() bool { return f.read(n) == acknowledged })
	}
}
