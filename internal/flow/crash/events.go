package crash

import (
	"time"

	"github.com/berylledge/berylledge/internal/state/poison"
)

// Event is an input of Machine.Step.
//
//sumtype:decl
type Event interface{ event() }

// RunRequested asks to start a run. The machine responds with PermitRun, PermitSolo (after ClaimSolo) or RejectRun, at
// once or in a later step.
type RunRequested struct {
	ID          uint64
	Fingerprint poison.Fingerprint
}

// Started reports that the run was dispatched to an upstream.
type Started struct {
	ID          uint64
	Upstream    string
	Incarnation uint64
}

// ConnectRefused reports that the upstream refused the connection, so the run was not dispatched. The machine responds as
// to RunRequested.
type ConnectRefused struct{ ID uint64 }

// Recheck discards a permit that newer information may have invalidated (see PermitValid). The machine responds as to
// RunRequested.
type Recheck struct{ ID uint64 }

// Ended reports that the run ended while its upstream was alive, or that it could not be started. OK is set if the run
// produced its complete result.
type Ended struct {
	ID uint64
	OK bool
}

// ConnectionLost reports that the connection of the run broke or timed out. The failure must not be returned to the
// caller before ReleaseFailure.
type ConnectionLost struct{ ID uint64 }

// UpstreamDied reports that an incarnation of an upstream is gone: a higher incarnation was announced, its lease expired,
// or it refused a new connection. It is not sent for an upstream that announced its departure.
type UpstreamDied struct {
	Upstream    string
	Incarnation uint64
}

// UpstreamAlive reports a renewal or response from an incarnation of an upstream. At is a time at which the upstream was
// certainly alive: a renewal that was in transit when the upstream died proves nothing about runs that broke later. The
// zero value means now.
type UpstreamAlive struct {
	Upstream    string
	Incarnation uint64
	At          time.Time
}

// Cancelled reports that a request no longer waits for its permit or will not use it.
type Cancelled struct{ ID uint64 }

// EntriesReceived carries entries from the control group. A partial update is applied only if the node knows the entries
// as of BaseVersion or later; see HasGap. Updates older than the node's version are ignored.
type EntriesReceived struct {
	Version     uint64
	BaseVersion uint64
	Full        bool // Entries is the complete list
	Entries     []poison.Entry
}

// DeathRecorded reports that the control group applied a ReportDeath as the command with the given version.
type DeathRecorded struct {
	Upstream    string
	Incarnation uint64
	Version     uint64
}

// SoloClaimAnswered is the control group's reply to a ClaimSolo. Granted is also false if the group was unreachable.
type SoloClaimAnswered struct {
	ID          uint64
	Fingerprint poison.Fingerprint
	Granted     bool
	Until       time.Time
}

// Tick advances time. It is due every 100 ms while requests wait.
type Tick struct{}

func (RunRequested) event()      {}
func (Started) event()           {}
func (ConnectRefused) event()    {}
func (Recheck) event()           {}
func (Ended) event()             {}
func (ConnectionLost) event()    {}
func (UpstreamDied) event()      {}
func (UpstreamAlive) event()     {}
func (Cancelled) event()         {}
func (EntriesReceived) event()   {}
func (DeathRecorded) event()     {}
func (SoloClaimAnswered) event() {}
func (Tick) event()              {}

// Action is an output of Machine.Step for the node to carry out.
//
//sumtype:decl
type Action interface{ action() }

// PermitRun permits a run to start. Proven is set if the content succeeded recently; otherwise the upstream must be
// sampled by fingerprint (route.Request.Fingerprint).
type PermitRun struct {
	ID     uint64
	Proven bool
}

// ClaimSolo requests that an upstream be picked and poison.ClaimSolo proposed for it.
type ClaimSolo struct {
	ID          uint64
	Fingerprint poison.Fingerprint
}

// PermitSolo permits a run to start on the upstream of its claim. The run must be cancelled at Until.
type PermitSolo struct {
	ID    uint64
	Until time.Time
}

// RejectRun rejects a run as not run. Unless the content is isolated, the caller may retry after RetryAfter.
type RejectRun struct {
	ID          uint64
	Fingerprint poison.Fingerprint
	Status      poison.Status
	RetryAfter  time.Duration
}

// ReportDeath requests that poison.ReportDeath be proposed. It is repeated until DeathRecorded confirms it.
type ReportDeath struct{ Report poison.ReportDeath }

// ReportSuccess requests that poison.ReportSuccess be proposed.
type ReportSuccess struct{ Report poison.ReportSuccess }

// ReleaseFailure permits the failure of a run to be returned to the caller or retried with a new RunRequested.
type ReleaseFailure struct{ ID uint64 }

// EndSolo requests that poison.EndSolo be proposed, because a solo run ended.
type EndSolo struct {
	ID          uint64
	Fingerprint poison.Fingerprint
}

func (PermitRun) action()      {}
func (ClaimSolo) action()      {}
func (PermitSolo) action()     {}
func (RejectRun) action()      {}
func (ReportDeath) action()    {}
func (ReportSuccess) action()  {}
func (ReleaseFailure) action() {}
func (EndSolo) action()        {}
