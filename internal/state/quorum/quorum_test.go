package quorum

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a control node that fails at each start after it was killed while creating its folder: the incomplete
// folder exists and was taken for a complete one.
func TestInterruptedFolderCreationIsRetried(t *testing.T) {
	m := &Member{opts: Options{Address: "127.0.0.1:1", Data: t.TempDir()}}
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
