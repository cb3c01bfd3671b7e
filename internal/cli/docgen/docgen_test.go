package docgen_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/cli/docgen"
	"github.com/berylledge/berylledge/internal/node/flags"
)

// Guards against a generated page that no longer says what the code does.
func TestPagesAreCurrent(t *testing.T) {
	for name, want := range map[string]string{
		"config.schema.json": docgen.Schema(), "config.md": docgen.Config(), "settings.md": docgen.Settings(flags.Flags()),
	} {
		got, err := os.ReadFile("../../../docs/" + name)
		assert.NilError(t, err)
		assert.Equal(t, string(got), want, "run `make docs`")
	}
}

// Guards against a setting without a row, since the page leaves out a flag that cannot describe itself, and against an
// empty column of defaults, which the flags' GetDefaultText gives before they are parsed.
func TestSettingsHoldEachFlag(t *testing.T) {
	page := docgen.Settings(flags.Flags())
	for _, f := range flags.Flags() {
		assert.Assert(t, strings.Contains(page, "| `--"+f.Names()[0]+"` | `BERYLLEDGE_"), f.Names()[0])
	}
	assert.Assert(t, strings.Contains(page, "`BERYLLEDGE_ENTRY_VALID` | duration | 30s |"))
	assert.Assert(t, strings.Contains(page, "`BERYLLEDGE_ROLES` | list | entry |"))
}

// Guards against a schema that is not valid, that refuses a printed configuration, or that takes what Check refuses.
func TestSchemaTellsValidFromInvalid(t *testing.T) {
	doc, err := jsonschema.UnmarshalJSON(strings.NewReader(docgen.Schema()))
	assert.NilError(t, err)
	c := jsonschema.NewCompiler()
	assert.NilError(t, c.AddResource("config.schema.json", doc))
	compiled, err := c.Compile("config.schema.json")
	assert.NilError(t, err)
	data, err := os.ReadFile("../../../pkg/fleet/testdata/small.json")
	assert.NilError(t, err)
	validate := func(text string) error {
		value, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
		assert.NilError(t, err)
		return compiled.Validate(value)
	}
	printed := string(data)
	assert.NilError(t, validate(printed))
	for old, changed := range map[string]string{
		`"name": "crew"`: `"name": "Crew"`, `"share": 0.5`: `"share": 1.5`, `"deadline_ms": 8000`: `"deadline_ms": 0`,
		`"kind": "generate"`: `"kind": "think"`, `"ranks"`: `"rank"`, `"format_version": 1`: `"format_version": 2`,
		`"max_tokens": 200`: `"max_tokens": "200"`, `"param": "book"`: `"param": ""`, `"name": "office"`: `"name": "office", "weight": 0.0001`,
		`"reserved_kbits": 4000`: `"reserved_kbits": -1`, `"replicas": 2`: `"replicas": 2.5`,
	} {
		assert.Assert(t, strings.Contains(printed, old), old)
		assert.Assert(t, validate(strings.Replace(printed, old, changed, 1)) != nil, changed)
	}
}

// Guards against a service unit that kills a planned stop which keeps within its settings.
func TestServiceUnitWaitsForAPlannedStop(t *testing.T) {
	data, err := os.ReadFile("../../../deploy/berylledge.service")
	assert.NilError(t, err)
	_, rest, ok := strings.Cut(string(data), "\nTimeoutStopSec=")
	assert.Assert(t, ok)
	value, _, _ := strings.Cut(rest, "\n")
	limit, err := time.ParseDuration(value + "s")
	assert.NilError(t, err)
	var longest time.Duration
	for _, f := range flags.Flags() {
		if d, ok := f.(*cli.DurationFlag); ok { // all durations of serve are parts of a planned stop
			longest += d.Value
		}
	}
	assert.Assert(t, longest > 0 && limit > longest, "%s is not above %s", limit, longest)
}
