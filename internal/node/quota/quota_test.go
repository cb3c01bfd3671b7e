package quota

import (
	"errors"
	"runtime/debug"
	"syscall"
	"testing"

	"github.com/KimMachineGun/automemlimit/memlimit"
	"gotest.tools/v3/assert"
)

// Guards against a process without a bound: what is named goes first, then the least of what is known.
func TestLeastLimitHolds(t *testing.T) {
	none := func() (uint64, error) { return 0, memlimit.ErrNoLimit }
	for name, c := range map[string]struct {
		group, machine memlimit.Provider
		runtime        Limit
		want           Limit
	}{
		"machine alone":    {none, memlimit.Limit(1000), Limit{}, Limit{900, Machine}},
		"group below it":   {memlimit.Limit(500), memlimit.Limit(1000), Limit{}, Limit{450, Group}},
		"group above it":   {memlimit.Limit(1 << 62), memlimit.Limit(1000), Limit{}, Limit{900, Machine}},
		"runtime below":    {memlimit.Limit(500), memlimit.Limit(1000), Limit{400, Runtime}, Limit{400, Runtime}},
		"group over int64": {memlimit.Limit(1 << 63), memlimit.Limit(1000), Limit{}, Limit{900, Machine}},
		"nothing is known": {none, func() (uint64, error) { return 0, errors.New("not here") }, Limit{}, Limit{unknownBytes, Unknown}},
	} {
		assert.Equal(t, least(c.runtime, lessMargin(Group, c.group), lessMargin(Machine, c.machine)), c.want, name)
	}
}

// Guards against a setting that is not obeyed, and against defaults of 0, which would mean no bound.
func TestSettingGoesFirst(t *testing.T) {
	assert.Equal(t, Of(144_000_000, 3000), Quota{Limit{144_000_000, Setting}, Limit{3000, Setting}})
	var kernel syscall.Rlimit
	assert.NilError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &kernel))
	q := Of(0, 0)
	assert.Assert(t, q.Memory.Value > 0 && q.Memory.Source != Setting, "%v", q)
	assert.Equal(t, q.Files, Limit{int64(min(kernel.Cur, maxFiles)), Kernel})
}

// Guards against GOMEMLIMIT that is taken for all of the memory, or not at all.
func TestRuntimeLimitIsTaken(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(64_000_000))
	assert.Equal(t, Of(0, 0).Memory, Limit{96_000_000, Runtime})
	debug.SetMemoryLimit(20_000_000)
	assert.Equal(t, Of(0, 0).Memory, Limit{40_000_000, Runtime})
}
