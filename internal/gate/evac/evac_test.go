package evac

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/state/vdoc"
)

// Guards against an older set that replaces a newer one, and against one that empties the set because it was never set.
func TestHigherVersionWins(t *testing.T) {
	s := Set{Version: 7, DataCentres: []string{"a"}}
	for _, c := range []struct {
		other   Set
		changed bool
	}{{Set{}, false}, {Set{Version: 6}, false}, {Set{Version: 7}, false}, {Set{Version: 8}, true}} {
		got, changed := s.Merge(c.other)
		assert.Equal(t, changed, c.changed)
		assert.Equal(t, got.Contains("a"), !c.changed)
	}
}

// Guards against permanent notices of other kinds that are taken for evacuations, and against a list that is not sorted, in which
// Contains finds nothing.
func TestSetIsReadFromNotices(t *testing.T) {
	s := FromNotices([]vdoc.Notice{Notice("b"), {Key: "other/c"}, Notice("a")}, 9)
	assert.DeepEqual(t, s, Set{Version: 9, DataCentres: []string{"a", "b"}})
	assert.Assert(t, s.Contains("a") && s.Contains("b") && !s.Contains("c") && !s.Contains(""))
}
