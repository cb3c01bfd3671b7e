// Package rstate is the replicated state of the control group: configuration revisions, the ledger of work that may not
// repeat, leases and orders over upstreams, the weight store's token bucket and the quarantine of crash suspects.
//
// A State is a pure function of its limits and of the commands applied so far. It reads no clock, starts no goroutine
// and draws no random number, so replicas that apply the same log hold equal states (Digest). Each command carries
// at_ms, the time in milliseconds since 1970 at which its sender made it; the state's time is the highest at_ms applied
// and never runs backwards. A sender whose clock is ahead moves the state's time ahead for everybody; the runtime must
// therefore refuse a proposal whose at_ms is more than Limits.ClockDriftMS ahead of the leader's clock.
//
// Usage:
//
//	s := rstate.New(rstate.Limits{})
//	switch r := s.Apply(index, rstate.Claim{Team: "crew", Key: "booking-17", ...}).(type) {
//	case rstate.ClaimResult:
//		if r.Status == rstate.ClaimGranted { ... } // dispatch once, before r.DispatchDeadlineMS
//	case rstate.Refused:
//		...
//	}
//
// Log holds the same state behind byte slices, for the runtime that executes the consensus machine's actions.
//
// Configuration. PutConfig is compare-and-set on the revision, so one of several racing operators wins and the others
// learn its name. A change id makes a resend harmless while it is remembered (Limits.ChangeIDMS and MaxChangeIDs); after
// that the expected revision is stale and the resend conflicts. Limits.RetentionMS, QuarantineMS and MaxUpstreamDeaths of
// an accepted configuration are in force from the next command on.
//
// Ledger. A key is identified by team and key, and it has one creation time, which each of its claims repeats. The key
// goes through these states, of which only "free" lets a claim be granted:
//
//	free --Claim--> in progress --dispatch deadline--> unknown
//	in progress or unknown --Settle ran, failed--> settled
//	in progress or unknown --Settle not_started, Abandon--> free
//	any --retention--> expired
//
// The states in progress, unknown and settled are those of a record; expired needs none. The holder's duties are at
// Claim. docs/protocol.md ties the transitions to the model that was checked.
//
// Leases. At most one process holds the lease of an upstream, and its orders must be recorded before they are sent. A
// lease ends by the state's time; the holder stops by its own clock. The difference between the two is at most
// Limits.ClockDriftMS, and the next holder of an upstream that ignores fences waits for it and for the longest order.
// Times of leases are absolute, so a holder needs a clock within the drift bound of all others.
//
// Rules for upgrades. All replicas must compute the same state from the same log. The limits are therefore part of the
// state and of its snapshot; the rules of fleet.Config.Check for a given format version must not change; and a new kind
// of command may be proposed only when each member of the group runs a version that knows it.
package rstate

import "github.com/berylledge/berylledge/internal/state/poison"

// Limits bound the state. A zero value means the default in its comment. All replicas of a group must start from equal
// limits; afterwards the limits travel in the snapshot. Times are in milliseconds.
type Limits struct {
	// MaxRecords bounds ledger records and tombstones together; 200,000. New claims are refused beyond it.
	MaxRecords int `cbor:"1,keyasint"`
	// MaxOutputBytes bounds recorded outputs plus MaxOutput for each unsettled claim; 64 MiB.
	MaxOutputBytes int64 `cbor:"2,keyasint"`
	// RetentionMS is how long after its creation a key can be claimed; 24 h. The configuration's limits take precedence.
	RetentionMS int64 `cbor:"3,keyasint"`
	// MaxDispatchMS is the longest time from a claim's at_ms to its dispatch deadline; 1 h, the longest deadline.
	MaxDispatchMS int64 `cbor:"4,keyasint"`
	// ClockDriftMS is the greatest difference between any two clocks of the system at one moment; 5 s.
	ClockDriftMS int64 `cbor:"5,keyasint"`

	// MaxRevisions bounds the audit history of the configuration; 2,400, two days of changes at the design size.
	MaxRevisions int `cbor:"6,keyasint"`
	// MaxContents is the number of latest revisions whose content is kept for a rollback; 32.
	MaxContents int `cbor:"7,keyasint"`
	// ChangeIDMS is how long a change id is remembered; 24 h.
	ChangeIDMS int64 `cbor:"8,keyasint"`
	// MaxChangeIDs is how many change ids are remembered; 4,096. The oldest is forgotten first.
	MaxChangeIDs int `cbor:"9,keyasint"`

	// MaxLeases bounds the upstreams under a lease; 10,000.
	MaxLeases int `cbor:"10,keyasint"`
	// MaxLeaseMS is the longest lease; 5 min.
	MaxLeaseMS int64 `cbor:"11,keyasint"`
	// MaxOrderMS is the longest time that an order may take at an upstream; 30 min.
	MaxOrderMS int64 `cbor:"12,keyasint"`
	// OrderMemoryMS is how long after its creation an order can be recorded; 1 h.
	OrderMemoryMS int64 `cbor:"13,keyasint"`
	// MaxOrders bounds the remembered order ids; 65,536. New orders are refused beyond it.
	MaxOrders int `cbor:"14,keyasint"`

	// StoreBytesPerSec is the rate of the weight store; 1 GB/s.
	StoreBytesPerSec int64 `cbor:"15,keyasint"`
	// StoreBurstBytes is the bucket of the weight store; 20 GB.
	StoreBurstBytes int64 `cbor:"16,keyasint"`
	// DownloadMemoryMS is how long the answer to a download request is remembered; 10 min.
	DownloadMemoryMS int64 `cbor:"17,keyasint"`
	// MaxDownloads bounds the remembered answers; 4,096.
	MaxDownloads int `cbor:"18,keyasint"`

	// QuarantineMS is how long a suspect or an isolated fingerprint is kept; 1 h. The configuration takes precedence.
	QuarantineMS int64 `cbor:"19,keyasint"`
	// MaxUpstreamDeaths is the number of distinct upstream deaths that isolates a fingerprint; 2. The configuration
	// takes precedence.
	MaxUpstreamDeaths int `cbor:"20,keyasint"`
}

func (l Limits) withDefaults() Limits {
	setInt := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	setLong := func(v *int64, d int64) {
		if *v <= 0 {
			*v = d
		}
	}
	setInt(&l.MaxRecords, 200_000)
	setLong(&l.MaxOutputBytes, 64<<20)
	setLong(&l.RetentionMS, dayMS)
	setLong(&l.MaxDispatchMS, hourMS)
	setLong(&l.ClockDriftMS, 5_000)
	setInt(&l.MaxRevisions, 2_400)
	setInt(&l.MaxContents, 32)
	setLong(&l.ChangeIDMS, dayMS)
	setInt(&l.MaxChangeIDs, 4_096)
	setInt(&l.MaxLeases, 10_000)
	setLong(&l.MaxLeaseMS, 5*60_000)
	setLong(&l.MaxOrderMS, 30*60_000)
	setLong(&l.OrderMemoryMS, hourMS)
	setInt(&l.MaxOrders, 65_536)
	setLong(&l.StoreBytesPerSec, 1_000_000_000)
	setLong(&l.StoreBurstBytes, 20_000_000_000)
	setLong(&l.DownloadMemoryMS, 10*60_000)
	setInt(&l.MaxDownloads, 4_096)
	setLong(&l.QuarantineMS, hourMS)
	setInt(&l.MaxUpstreamDeaths, 2)
	return l
}

const (
	hourMS = int64(3_600_000)
	dayMS  = 24 * hourMS
)

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	limits  Limits
	applied uint64 // index of the last applied command
	nowMS   int64

	revisions []Revision // ascending, without gaps
	changes   *aging[change]
	rules     rules // taken from the latest configuration

	// horizonMS is the greatest value that "now minus retention" ever had. It does not go back when the retention is
	// lengthened: records up to it are gone, so a key created before it could have run.
	horizonMS   int64
	records     *aging[record]
	tombstones  *aging[struct{}]
	outputBytes int64

	fence          uint64 // last fence granted for any upstream
	leases         *aging[Lease]
	orders         *aging[order]
	orderHorizonMS int64

	bucket    bucket
	downloads *aging[DownloadResult]

	suspects *poison.Registry
}

// New returns an empty state.
func New(limits Limits) *State {
	s := &State{limits: limits.withDefaults()}
	s.changes = newAging[change]()
	s.records = newAging[record]()
	s.tombstones = newAging[struct{}]()
	s.leases = newAging[Lease]()
	s.orders = newAging[order]()
	s.downloads = newAging[DownloadResult]()
	s.bucket = bucket{Level: s.limits.StoreBurstBytes * bucketUnit}
	s.rules = s.rulesOf(nil)
	s.suspects = poison.NewRegistry(s.crashPolicy())
	return s
}

// Apply applies the command at an index of the log and returns its result. An index that was applied before, and a
// command with fields outside their bounds, change nothing and return Refused.
func (s *State) Apply(index uint64, cmd Command) Result {
	if index <= s.applied {
		return Refused{Code: RefusedApplied, Reason: "the index was applied before"}
	}
	s.applied = index
	if err := cmd.check(); err != nil {
		return Refused{Code: RefusedField, Reason: err.Error()}
	}
	s.advance(cmd.at())
	switch c := cmd.(type) {
	case PutConfig:
		return s.putConfig(c)
	case Claim:
		return s.claim(c)
	case Abandon:
		return s.abandon(c)
	case Settle:
		return s.settle(c)
	case AcquireLease:
		return s.acquireLease(c)
	case RenewLease:
		return s.renewLease(c)
	case ReleaseLease:
		return s.releaseLease(c)
	case RecordOrder:
		return s.recordOrder(c)
	case GrantDownload:
		return s.grantDownload(c)
	case Crash:
		return s.applyCrash(c.command())
	case ClearQuarantine:
		return s.clearQuarantine(c)
	}
	return Refused{Code: RefusedKind, Reason: "the kind of command is not supported"}
}

// advance moves the state's time and drops what has expired by then.
func (s *State) advance(atMS int64) {
	s.nowMS = max(s.nowMS, atMS)
	s.changes.expire(s.nowMS)
	s.advanceLedger()
	s.leases.expire(s.nowMS)
	s.orderHorizonMS = max(s.orderHorizonMS, s.nowMS-s.limits.OrderMemoryMS)
	s.orders.expire(s.orderHorizonMS)
	s.downloads.expire(s.nowMS)
}

// Applied returns the index of the last applied command.
func (s *State) Applied() uint64 { return s.applied }

// NowMS returns the state's time.
func (s *State) NowMS() int64 { return s.nowMS }

// Counts are the sizes of the parts of a state, for metrics.
type Counts struct {
	Revisions, ChangeIDs, Records, Tombstones, Leases, Orders, Downloads, Suspects, Isolated int
	OutputBytes                                                                              int64
}

// Counts returns the sizes of the parts of the state.
func (s *State) Counts() Counts {
	isolated := 0
	for _, e := range s.suspects.List() {
		if e.Status == poison.Isolated {
			isolated++
		}
	}
	return Counts{
		Revisions: len(s.revisions), ChangeIDs: s.changes.len(), Records: s.records.len(),
		Tombstones: s.tombstones.len(), Leases: s.leases.len(), Orders: s.orders.len(),
		Downloads: s.downloads.len(), Suspects: s.suspects.Len() - isolated, Isolated: isolated,
		OutputBytes: s.outputBytes,
	}
}
