package memory

import (
	"os"
	"runtime/debug"
)

// Bound returns the bytes of an account for a process with that much memory.
func Bound(machine int64) int64 {
	return max(int64(float64(machine-baseBytes)*countedPart), machine/8)
}

// RuntimeLimit returns the limit for debug.SetMemoryLimit.
func RuntimeLimit(machine int64) int64 { return max(machine-runtimeBytes, machine/2) }

// OfRuntimeLimit returns the memory for which RuntimeLimit returns a limit.
func OfRuntimeLimit(limit int64) int64 { return min(limit+runtimeBytes, 2*limit) }

// LimitRuntime makes the collector work harder before the memory of the machine is used up. It changes nothing if that is not known or the
// environment sets GOMEMLIMIT.
func LimitRuntime(machine int64) {
	if machine > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(RuntimeLimit(machine))
	}
}

// HeadCost returns what a head takes once it is parsed: its lines as strings and entries of a map, and their copy for the other side.
func HeadCost(bytes, lines int) int64 { return int64(bytes*headByteFactor + lines*headLineBytes) }
