package stage

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
)

// planWithResults returns a plan of three stages in a chain, with the results of the first two made in the given data centres.
func planWithResults(t *testing.T, first, second []string) *Plan {
	t.Helper()
	stages := []conf.Stage{
		{Service: "a", ResultBytes: 8_000},
		{Service: "b", After: []int{0}, ResultBytes: 60_000},
		{Service: "c", After: []int{1}, ResultBytes: 6_000},
	}
	p, err := NewPlan("r", "k", stages, []int{len(first), len(second), 16})
	assert.NilError(t, err)
	p.Ready()
	for stage, list := range [][]string{first, second} {
		for i, dataCentre := range list {
			p.RecordResult(stage, i, fmt.Sprint("h", stage, i), "owner", dataCentre)
		}
		p.Ready()
	}
	return p
}

// Guards against pieces that run next to the engine, which reads their small results, and fetch many large inputs from another data
// centre.
func TestPiecesRunWhereTheirInputsAre(t *testing.T) {
	dataCentreOf := func(upstream string) string { return upstream } // the tests name upstreams by their data centre
	p := planWithResults(t, []string{"x"}, []string{"x", "x", "x", "y"})
	assert.Equal(t, p.DataCentreFor(0, "e", dataCentreOf), "e", "nothing to read")
	assert.Equal(t, p.DataCentreFor(2, "e", dataCentreOf), "x", "most inputs are there")
	assert.Equal(t, p.DataCentreFor(1, "e", dataCentreOf), "e", "its own results are larger than its input")
	half := planWithResults(t, []string{"x"}, []string{"x", "e"})
	assert.Equal(t, half.DataCentreFor(2, "e", dataCentreOf), "e", "as many inputs, and the engine reads the results")
	unknown := planWithResults(t, []string{""}, []string{"", ""})
	assert.Equal(t, unknown.DataCentreFor(2, "e", dataCentreOf), "e")
}
