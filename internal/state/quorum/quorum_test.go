package quorum

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a control node that died while it made its folder, and then ends at each start because the folder counts
// as made.
func TestInterruptedMakingOfFolderIsRepeated(t *testing.T) {
	m := &Member{o: Options{Address: "127.0.0.1:1", Data: t.TempDir()}}
	assert.NilError(t, os.Mkdir(m.folder(), 0o700))
	for _, name := range []string{"lock", "state.db.new"} {
		assert.NilError(t, os.WriteFile(filepath.Join(m.folder(), name), nil, 0o600))
	}
	assert.NilError(t, m.open())
	first := m.ID()
	assert.NilError(t, m.store.Close())
	assert.NilError(t, m.open())
	assert.Equal(t, m.ID(), first)
	assert.NilError(t, m.store.Close())
}
