package entry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

func members(n int, dc string) (out []Member) {
	for i := range n {
		id := fmt.Sprintf("%s%d", dc, i)
		out = append(out, Member{ID: id, Address: id + ":1", DataCentre: dc, Region: "r"})
	}
	return out
}

// Guards against one VM that gets far more callers than its share, and against callers that move without a reason.
func TestChooseSpreadsEvenlyAndKeepsCallers(t *testing.T) {
	c := chooser{self: Member{ID: "a0", DataCentre: "a", Region: "r"}}
	all := append(members(6, "a"), members(3, "b")...)
	now, counts, first := time.Unix(0, 0), map[string]int{}, map[string]string{}
	for i := range 600 {
		key := fmt.Sprintf("caller %d", i)
		m, ok := c.choose(now, key, all, time.Minute)
		assert.Assert(t, ok)
		assert.Equal(t, m.DataCentre, "a", "a VM of another data centre was given")
		counts[m.ID]++
		first[key] = m.ID
	}
	for id, n := range counts {
		assert.Assert(t, n <= 600/6*5/4+1, "%s was given %d times", id, n)
	}
	now = now.Add(2 * time.Minute)
	moved := 0
	for key, id := range first {
		if m, _ := c.choose(now, key, all, time.Minute); m.ID != id {
			moved++
		}
	}
	assert.Assert(t, moved < 60, "%d of 600 callers moved without a change of the members", moved)
}

// Guards against an answer that names a VM which is about to stop, and against no answer while another data centre lives.
func TestChooseAvoidsDrainingMembers(t *testing.T) {
	c := chooser{self: Member{ID: "a0", DataCentre: "a", Region: "r"}}
	near, far := members(1, "a"), members(1, "b")
	near[0].Draining = true
	m, ok := c.choose(time.Unix(0, 0), "k", append(near, far...), time.Minute)
	assert.Assert(t, ok)
	assert.Equal(t, m.ID, "b0")
	far[0].Draining = true
	_, ok = c.choose(time.Unix(0, 0), "k", append(near, far...), time.Minute)
	assert.Assert(t, !ok)
}

// Guards against a lower bound of the limit that lets a node send more than its part of the slots of the scarcest pool.
func TestScarcestCountsLiveSlotsOfUsedPools(t *testing.T) {
	now, table := time.Unix(100, 0), upview.New()
	for id, a := range map[string]upapi.Announce{
		"a": {Services: []string{"encode"}, Slots: 40}, "b": {Models: []string{"m"}, Slots: 8}, "c": {Models: []string{"m"}, Slots: 4},
		"gone": {Models: []string{"m"}, Slots: 90}, "unused": {Services: []string{"other"}, Slots: 1},
	} {
		a.ID, a.Incarnation, a.LeaseMS = id, 1, 1000
		at := now
		if id == "gone" {
			at = now.Add(-time.Minute)
		}
		table.Announce(at, a)
	}
	cfg := &fleet.Config{Pipelines: []fleet.Pipeline{{Stages: []fleet.Stage{
		{Kind: fleet.Encode}, {Kind: fleet.Generate, Model: "m"}, {Kind: fleet.Rerank},
	}}}}
	assert.Equal(t, scarcest(cfg, table.View(), now), 12)
}
