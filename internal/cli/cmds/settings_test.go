package cmds_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/cli/cmds"
	"github.com/berylledge/berylledge/pkg/fleet"
)

// Guards against a start with an invalid configuration that names only its first problem, or that ends with a code after
// which a service manager tries again.
func TestServeNamesAllProblemsOfTheConfiguration(t *testing.T) {
	dir := t.TempDir()
	c := fleet.New()
	c.Ranks, c.Teams = []fleet.Rank{{Name: "urgent", Share: 5}}, fleet.Names("crew", "crew")
	path := filepath.Join(dir, "config.json")
	assert.NilError(t, os.WriteFile(path, c.Print(), 0o600))
	var out, errs bytes.Buffer
	code := cmds.Main(t.Context(), []string{
		"berylledge", "serve", "--node", "c1", "--roles", "control", "--data-centre", "a", "--region", "r",
		"--peer-listen", "127.0.0.1:0", "--control", "c1=127.0.0.1:1", "--data", filepath.Join(dir, "state"), "--config-file", path,
	}, &out, &errs, nil)
	assert.Equal(t, code, cmds.ExitUsage, errs.String())
	for _, p := range c.Check() {
		assert.Assert(t, strings.Contains(errs.String(), p.Error()), "%v is missing in %s", p, errs.String())
	}
	_, err := os.Stat(filepath.Join(dir, "state"))
	assert.Assert(t, os.IsNotExist(err), "the data folder was made")
}
