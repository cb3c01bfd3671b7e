// Package quota tells how much memory and how many descriptors a process may use, and keeps what it must not exceed: the account
// of both, and the count of the peers that were refused because of it. `gate` and `serve` share it.
//
// What the settings name goes first. Without a setting the least of what the Go runtime (GOMEMLIMIT), the control group and the machine
// permit holds, so that no process is without a bound.
//
// Usage:
//
//	q := quota.Of(settings.MemoryBytes, settings.Descriptors)
//	q.LimitRuntime()
//	account := q.Account(clock.Real())
//	refused := quota.NewRefusals(clock.Real(), events)
//	httpd.New(httpd.Options{Account: account, Refused: refused.Add, ...}, routes)
//	refused.Sample(page, account) // metrics
package quota

import (
	"math"
	"runtime/debug"
	"syscall"

	"github.com/KimMachineGun/automemlimit/memlimit"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/wire/memory"
)

// Source is where a limit is known from.
type Source string

// Sources of limits.
const (
	Setting Source = "setting"
	Runtime Source = "runtime" // GOMEMLIMIT
	Group   Source = "cgroup"
	Machine Source = "machine"
	Kernel  Source = "rlimit" // RLIMIT_NOFILE
	Unknown Source = "unknown"
)

// Limit is a limit of the process.
type Limit struct {
	Value  int64
	Source Source
}

// Quota is what a process may use.
type Quota struct {
	Memory Limit // bytes
	Files  Limit // descriptors
}

// Of returns the quota of this process. Settings that are not above 0 name nothing.
func Of(memoryBytes int64, descriptors int) Quota {
	q := Quota{Memory: Limit{memoryBytes, Setting}, Files: Limit{int64(descriptors), Setting}}
	if memoryBytes <= 0 {
		q.Memory = least(ofRuntime(), lessMargin(Group, memlimit.FromCgroup), lessMargin(Machine, memlimit.FromSystem))
	}
	if descriptors <= 0 {
		q.Files = files()
	}
	return q
}

const (
	// marginPart of what a control group or a machine has is left to others: the kernel, buffers of sockets, and programs beside this one.
	marginPart = 10
	// unknownBytes holds where the system tells nothing.
	unknownBytes = 512_000_000
)

// lessMargin returns what a source permits; 0: it has no limit, or cannot be read.
func lessMargin(source Source, read memlimit.Provider) Limit {
	total, err := read()
	if err != nil || total > math.MaxInt64 {
		return Limit{Source: source}
	}
	return Limit{int64(total - total/marginPart), source}
}

// ofRuntime returns the memory of a process for which GOMEMLIMIT was chosen.
func ofRuntime() Limit {
	limit := debug.SetMemoryLimit(-1) // only reads it
	if limit == math.MaxInt64 {
		return Limit{Source: Runtime}
	}
	return Limit{memory.OfRuntimeLimit(limit), Runtime}
}

// least returns the smallest of the limits that exist.
func least(limits ...Limit) Limit {
	out := Limit{unknownBytes, Unknown}
	for _, l := range limits {
		if l.Value > 0 && (out.Source == Unknown || l.Value < out.Value) {
			out = l
		}
	}
	return out
}

// maxFiles bounds the descriptors where the kernel sets no limit.
const maxFiles = 1 << 20

// files returns the limit of the kernel, which the Go runtime has raised as far as it may.
func files() Limit {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return Limit{Source: Unknown}
	}
	return Limit{int64(min(l.Cur, maxFiles)), Kernel}
}

// LimitRuntime makes the collector work harder before the memory is used up.
func (q Quota) LimitRuntime() { memory.LimitRuntime(q.Memory.Value) }

// Account returns an empty account for the process.
func (q Quota) Account(c clock.Clock) *memory.Account {
	return memory.New(memory.Options{Clock: c, Bytes: memory.Bound(q.Memory.Value), Descriptors: int(q.Files.Value)})
}

// Fields are the quota for the line that a process writes at its start.
func (q Quota) Fields() []event.Field {
	return []event.Field{
		event.F("memory_bytes", q.Memory.Value), event.F("memory_from", string(q.Memory.Source)), event.F("memory_bound", memory.Bound(q.Memory.Value)),
		event.F("descriptors", q.Files.Value), event.F("descriptors_from", string(q.Files.Source)),
	}
}
