package ctrl

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a control node that died while it made its folder, and then ends at each start because the folder counts
// as made.
func TestInterruptedMakingOfFolderIsRepeated(t *testing.T) {
	n := &Node{o: Options{Name: "c1", Address: "127.0.0.1:1", Data: t.TempDir()}}
	for _, name := range []string{"lock", "state.db.new"} {
		assert.NilError(t, os.WriteFile(filepath.Join(n.o.Data, name), nil, 0o600))
	}
	assert.NilError(t, n.open())
	first := n.store.Identity.Member.ID
	assert.NilError(t, n.store.Close())
	assert.NilError(t, n.open())
	assert.Equal(t, n.store.Identity.Member.ID, first)
	assert.NilError(t, n.store.Close())
}
