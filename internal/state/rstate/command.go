package rstate

import (
	"fmt"
	"strings"

	"github.com/berylledge/berylledge/pkg/upapi"
)

// Bounds of the fields of commands. A command outside them is refused when it is decoded and when it is applied.
const (
	MaxIDBytes     = 256     // names, keys, tokens and ids
	MaxNoteBytes   = 1024    // operator's note
	MaxConfigBytes = 1 << 20 // one configuration
	MaxOutput      = 4 << 10 // recorded output of one settled key
	HashBytes      = 32      // SHA-256
	maxTimeMS      = 1 << 48 // beyond the year 10000; sums of times cannot overflow below it
	maxDurationMS  = 30 * dayMS
)

// FieldError says which field of a command is outside its bounds.
type FieldError struct {
	Kind   string
	Field  string
	Reason string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("command %s: field %s %s", e.Kind, e.Field, e.Reason)
}

// Command is a change of the state. AtMS is the sender's time when it made the command; a resent command keeps it.
//
//sumtype:decl
type Command interface {
	isCommand()
	kind() kind
	at() int64
	check() error
}

// PutConfig makes a configuration the next revision if ExpectedRevision is still the latest. The first revision expects
// 0. A rollback is a PutConfig with the content of an old revision.
type PutConfig struct {
	ExpectedRevision uint64 `cbor:"1,keyasint"`
	ChangeID         string `cbor:"2,keyasint"` // chosen by the operator; a resend of the same change keeps it
	Operator         string `cbor:"3,keyasint"`
	Note             string `cbor:"4,keyasint,omitempty"`
	Config           []byte `cbor:"5,keyasint"` // as printed by fleet.Config.Print
	AtMS             int64  `cbor:"6,keyasint"`
}

// Claim asks for the right to run the work of (Team, Key) once.
//
// The holder of a granted token must dispatch at most once per token, and only before the dispatch deadline that the
// result carries. A resent Claim of an unsettled token is granted again, because the first answer may have been lost:
// the table cannot tell whether the holder has dispatched, so the holder itself must remember it. A holder that restarts
// has forgotten it and must not reuse a token of its previous run.
type Claim struct {
	Team      string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"` // identifies, with Team, the work; contains or implies its creation time
	BodyHash  []byte `cbor:"3,keyasint"` // SHA-256 of the request's body
	Token     string `cbor:"4,keyasint"` // fresh for each attempt, unique in the system
	RequestID string `cbor:"5,keyasint"`
	Node      string `cbor:"6,keyasint"`
	// KeyCreatedMS is the time that the key carries. It must be the same in each claim of a key.
	KeyCreatedMS int64 `cbor:"7,keyasint"`
	// DispatchDeadlineMS is the time after which the holder does not dispatch.
	DispatchDeadlineMS int64 `cbor:"8,keyasint"`
	AtMS               int64 `cbor:"9,keyasint"`
}

// Abandon gives up a token that was not used for a dispatch, whether or not its Claim has arrived. Its AtMS is not
// before that of the Claim.
type Abandon struct {
	Team  string `cbor:"1,keyasint"`
	Key   string `cbor:"2,keyasint"`
	Token string `cbor:"3,keyasint"`
	AtMS  int64  `cbor:"4,keyasint"`
}

// Outcome is how the work of a claim ended.
type Outcome string

// The outcomes. NotStarted needs a proof by the upstream that nothing ran.
const (
	OutcomeRan        Outcome = "ran"
	OutcomeFailed     Outcome = "failed"
	OutcomeNotStarted Outcome = "not_started"
)

// Settle records the outcome of a dispatched claim.
type Settle struct {
	Team    string  `cbor:"1,keyasint"`
	Key     string  `cbor:"2,keyasint"`
	Token   string  `cbor:"3,keyasint"`
	Outcome Outcome `cbor:"4,keyasint"`
	Output  []byte  `cbor:"5,keyasint,omitempty"`
	AtMS    int64   `cbor:"6,keyasint"`
}

// AcquireLease asks for authority over an upstream.
type AcquireLease struct {
	Upstream string `cbor:"1,keyasint"`
	Holder   string `cbor:"2,keyasint"` // unique to one run of a process
	TTLMS    int64  `cbor:"3,keyasint"`
	// ChecksFence says that the upstream refuses orders with an old fence.
	ChecksFence bool `cbor:"4,keyasint,omitempty"`
	// MaxOrderMS is the longest time that an order takes at this upstream, including its way there.
	MaxOrderMS int64 `cbor:"5,keyasint"`
	AtMS       int64 `cbor:"6,keyasint"`
}

// RenewLease extends a lease that has not ended.
type RenewLease struct {
	Upstream string `cbor:"1,keyasint"`
	Holder   string `cbor:"2,keyasint"`
	Fence    uint64 `cbor:"3,keyasint"`
	TTLMS    int64  `cbor:"4,keyasint"`
	AtMS     int64  `cbor:"5,keyasint"`
}

// ReleaseLease ends a lease early. The holder sends no order after it.
type ReleaseLease struct {
	Upstream string `cbor:"1,keyasint"`
	Holder   string `cbor:"2,keyasint"`
	Fence    uint64 `cbor:"3,keyasint"`
	AtMS     int64  `cbor:"4,keyasint"`
}

// RecordOrder asks for the right to send an order once. The holder sends it only after the result OrderIssued and only
// while its own clock is before the lease's end.
type RecordOrder struct {
	Upstream  string          `cbor:"1,keyasint"`
	Holder    string          `cbor:"2,keyasint"`
	Fence     uint64          `cbor:"3,keyasint"`
	OrderID   string          `cbor:"4,keyasint"`
	Order     upapi.OrderKind `cbor:"5,keyasint"`
	CreatedMS int64           `cbor:"6,keyasint"` // the same in each resend of an order
	AtMS      int64           `cbor:"7,keyasint"`
}

// GrantDownload asks to load Bytes from the rate-limited weight store.
type GrantDownload struct {
	DownloadID string `cbor:"1,keyasint"` // a resend keeps it; a new attempt after a refusal has a new one
	Upstream   string `cbor:"2,keyasint"`
	Bytes      int64  `cbor:"3,keyasint"`
	AtMS       int64  `cbor:"4,keyasint"`
}

// ClearQuarantine makes a fingerprint clean: its deaths are forgotten and it runs freely.
type ClearQuarantine struct {
	Fingerprint string `cbor:"1,keyasint"` // in hexadecimal
	Operator    string `cbor:"2,keyasint"`
	AtMS        int64  `cbor:"3,keyasint"`
}

func (PutConfig) isCommand()       {}
func (Claim) isCommand()           {}
func (Abandon) isCommand()         {}
func (Settle) isCommand()          {}
func (AcquireLease) isCommand()    {}
func (RenewLease) isCommand()      {}
func (ReleaseLease) isCommand()    {}
func (RecordOrder) isCommand()     {}
func (GrantDownload) isCommand()   {}
func (Crash) isCommand()           {}
func (ClearQuarantine) isCommand() {}

func (c PutConfig) at() int64       { return c.AtMS }
func (c Claim) at() int64           { return c.AtMS }
func (c Abandon) at() int64         { return c.AtMS }
func (c Settle) at() int64          { return c.AtMS }
func (c AcquireLease) at() int64    { return c.AtMS }
func (c RenewLease) at() int64      { return c.AtMS }
func (c ReleaseLease) at() int64    { return c.AtMS }
func (c RecordOrder) at() int64     { return c.AtMS }
func (c GrantDownload) at() int64   { return c.AtMS }
func (c Crash) at() int64           { return c.AtMS }
func (c ClearQuarantine) at() int64 { return c.AtMS }

// fields checks the fields of one command and keeps the first error.
type fields struct {
	kind kind
	err  error
}

func (f *fields) fail(field, reason string) {
	if f.err == nil {
		f.err = &FieldError{Kind: f.kind.String(), Field: field, Reason: reason}
	}
}

func (f *fields) id(field, v string) {
	switch {
	case v == "":
		f.fail(field, "is empty")
	case len(v) > MaxIDBytes:
		f.fail(field, fmt.Sprintf("has %d bytes; at most %d are allowed", len(v), MaxIDBytes))
	case strings.ContainsRune(v, 0): // the separator of combined map keys
		f.fail(field, "contains a NUL character")
	}
}

func (f *fields) size(field string, n, low, high int) {
	if n < low || n > high {
		f.fail(field, fmt.Sprintf("has %d bytes; %d to %d are allowed", n, low, high))
	}
}

func (f *fields) between(field string, v, low, high int64) {
	if v < low || v > high {
		f.fail(field, fmt.Sprintf("is %d; %d to %d are allowed", v, low, high))
	}
}

func (f *fields) time(field string, v int64) { f.between(field, v, 0, maxTimeMS) }

func (c PutConfig) check() error {
	f := fields{kind: c.kind()}
	f.id("change_id", c.ChangeID)
	f.id("operator", c.Operator)
	f.size("note", len(c.Note), 0, MaxNoteBytes)
	f.size("config", len(c.Config), 1, MaxConfigBytes)
	f.time("at_ms", c.AtMS)
	return f.err
}

func (c Claim) check() error {
	f := fields{kind: c.kind()}
	f.id("team", c.Team)
	f.id("key", c.Key)
	f.size("body_hash", len(c.BodyHash), HashBytes, HashBytes)
	f.id("token", c.Token)
	f.id("request_id", c.RequestID)
	f.id("node", c.Node)
	f.time("key_created_ms", c.KeyCreatedMS)
	f.time("dispatch_deadline_ms", c.DispatchDeadlineMS)
	f.time("at_ms", c.AtMS)
	return f.err
}

func (c Abandon) check() error {
	f := fields{kind: c.kind()}
	f.id("team", c.Team)
	f.id("key", c.Key)
	f.id("token", c.Token)
	f.time("at_ms", c.AtMS)
	return f.err
}

func (c Settle) check() error {
	f := fields{kind: c.kind()}
	f.id("team", c.Team)
	f.id("key", c.Key)
	f.id("token", c.Token)
	switch c.Outcome {
	case OutcomeRan, OutcomeFailed:
	case OutcomeNotStarted:
		f.size("output", len(c.Output), 0, 0)
	default:
		f.fail("outcome", "is not one of ran, failed, not_started")
	}
	f.size("output", len(c.Output), 0, MaxOutput)
	f.time("at_ms", c.AtMS)
	return f.err
}

func (c AcquireLease) check() error {
	f := fields{kind: c.kind()}
	f.id("upstream", c.Upstream)
	f.id("holder", c.Holder)
	f.between("ttl_ms", c.TTLMS, 1, maxDurationMS)
	f.between("max_order_ms", c.MaxOrderMS, 0, maxDurationMS)
	f.time("at_ms", c.AtMS)
	return f.err
}

func (c RenewLease) check() error {
	f := fields{kind: c.kind()}
	f.id("upstream", c.Upstream)
	f.id("holder", c.Holder)
	f.between("ttl_ms", c.TTLMS, 1, maxDurationMS)
	f.time("at_ms", c.AtMS)
	return f.err
}

func (c ReleaseLease) check() error {
	f := fields{kind: c.kind()}
	f.id("upstream", c.Upstream)
	f.id("holder", c.Holder)
	f.time("at_ms", c.AtMS)
	return f.err
}

func (c RecordOrder) check() error {
	f := fields{kind: c.kind()}
	f.id("upstream", c.Upstream)
	f.id("holder", c.Holder)
	f.id("order_id", c.OrderID)
	switch c.Order {
	case upapi.OrderLoad, upapi.OrderUnload, upapi.OrderRole:
	default:
		f.fail("order", "is not one of load, unload, role")
	}
	f.time("created_ms", c.CreatedMS)
	f.time("at_ms", c.AtMS)
	return f.err
}

func (c GrantDownload) check() error {
	f := fields{kind: c.kind()}
	f.id("download_id", c.DownloadID)
	f.id("upstream", c.Upstream)
	f.between("bytes", c.Bytes, 1, 1<<44)
	f.time("at_ms", c.AtMS)
	return f.err
}

func (c ClearQuarantine) check() error {
	f := fields{kind: c.kind()}
	f.id("fingerprint", c.Fingerprint)
	f.id("operator", c.Operator)
	f.time("at_ms", c.AtMS)
	return f.err
}
