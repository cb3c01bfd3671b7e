package rstate

import "github.com/berylledge/berylledge/pkg/fleet"

// Result is the answer to a command.
//
//sumtype:decl
type Result interface {
	isResult()
	resultKind() kind
}

// RefusedCode says why a command was not looked at.
type RefusedCode string

// The codes of Refused.
const (
	RefusedApplied RefusedCode = "applied"      // the index was applied before
	RefusedField   RefusedCode = "field"        // a field is outside its bounds
	RefusedDecode  RefusedCode = "decode"       // the bytes are not a command
	RefusedKind    RefusedCode = "unknown_kind" // this version does not know the kind of command
)

// Refused says that a command changed nothing.
type Refused struct {
	Code   RefusedCode `cbor:"1,keyasint"`
	Reason string      `cbor:"2,keyasint"`
}

// ConfigStatus is the kind of a ConfigResult.
type ConfigStatus string

// The answers to PutConfig.
const (
	ConfigAccepted ConfigStatus = "accepted"
	ConfigConflict ConfigStatus = "conflict" // the expected revision is not the latest
	ConfigReplayed ConfigStatus = "replayed" // this change was accepted before, as Revision
	ConfigInvalid  ConfigStatus = "invalid"  // see Problems
)

// Winner names the change that took the revision after the expected one.
type Winner struct {
	Operator string `cbor:"1,keyasint"`
	ChangeID string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
}

// ConfigResult answers PutConfig. Revision is the accepted revision, or else the latest one.
type ConfigResult struct {
	Status   ConfigStatus    `cbor:"1,keyasint"`
	Revision uint64          `cbor:"2,keyasint"`
	Winner   Winner          `cbor:"3,keyasint"`
	Problems []fleet.Problem `cbor:"4,keyasint,omitempty"`
}

// ClaimStatus is the kind of a ClaimResult.
type ClaimStatus string

// The answers to Claim. Only ClaimGranted allows a dispatch. ClaimAbandoned, ClaimFull and ClaimRefused say that this
// token will never be granted; they say nothing of other tokens of the key. With ClaimExpired nothing is known of
// earlier runs of the key, so a caller must not be told that it has not run.
const (
	ClaimGranted    ClaimStatus = "granted"
	ClaimInProgress ClaimStatus = "in_progress" // another token holds the key
	ClaimSettled    ClaimStatus = "settled"     // see Outcome and Output
	ClaimUnknown    ClaimStatus = "unknown"     // the holder did not settle before its dispatch deadline
	ClaimKeyReused  ClaimStatus = "key_reused"  // the key was used with another body or creation time
	ClaimExpired    ClaimStatus = "expired"     // the key is older than the retention period
	ClaimAbandoned  ClaimStatus = "abandoned"   // the token was given up before
	ClaimFull       ClaimStatus = "full"        // the ledger has reached its bound
	ClaimRefused    ClaimStatus = "refused"     // see Reason
)

// ClaimResult answers Claim. RequestID and DispatchDeadlineMS are those of the holder.
type ClaimResult struct {
	Status             ClaimStatus `cbor:"1,keyasint"`
	Outcome            Outcome     `cbor:"2,keyasint,omitempty"`
	Output             []byte      `cbor:"3,keyasint,omitempty"`
	RequestID          string      `cbor:"4,keyasint,omitempty"`
	DispatchDeadlineMS int64       `cbor:"5,keyasint,omitempty"`
	Reason             string      `cbor:"6,keyasint,omitempty"`
}

// AbandonStatus is the kind of an AbandonResult.
type AbandonStatus string

// The answers to Abandon. A holder that has not dispatched and has discarded its token may answer its caller with
// not_run whether or not an answer arrives; with Abandoned, the token no longer keeps the key from other claims.
const (
	Abandoned      AbandonStatus = "abandoned"
	AbandonSettled AbandonStatus = "settled" // the token has recorded an outcome, so it was used
	AbandonFull    AbandonStatus = "full"    // no room for a tombstone: a delayed claim may still take the key
)

// AbandonResult answers Abandon.
type AbandonResult struct {
	Status AbandonStatus `cbor:"1,keyasint"`
}

// SettleStatus is the kind of a SettleResult.
type SettleStatus string

// The answers to Settle.
const (
	SettleRecorded  SettleStatus = "recorded"        // also for a resend of the recorded outcome
	SettleFreed     SettleStatus = "freed"           // nothing ran; the key can be claimed with a new token
	SettleNotHolder SettleStatus = "not_holder"      // another token holds the key
	SettleDiffers   SettleStatus = "already_settled" // the token has recorded another outcome, see Outcome
	SettleNoClaim   SettleStatus = "no_claim"        // no claim of the token: never granted, abandoned, or expired
)

// SettleResult answers Settle. Outcome is the recorded one.
type SettleResult struct {
	Status  SettleStatus `cbor:"1,keyasint"`
	Outcome Outcome      `cbor:"2,keyasint,omitempty"`
}

// LeaseStatus is the kind of a LeaseResult.
type LeaseStatus string

// The answers to AcquireLease, RenewLease and ReleaseLease.
const (
	LeaseGranted  LeaseStatus = "granted"
	LeaseReleased LeaseStatus = "released"
	LeaseHeld     LeaseStatus = "held"    // by Holder, until ExpiresMS
	LeaseLost     LeaseStatus = "lost"    // the lease has ended or was granted to another holder
	LeaseFull     LeaseStatus = "full"    // too many leases
	LeaseRefused  LeaseStatus = "refused" // a duration is above its limit
)

// LeaseResult answers the commands on leases. The holder gives orders from NotBeforeMS to ExpiresMS.
type LeaseResult struct {
	Status LeaseStatus `cbor:"1,keyasint"`
	Lease  Lease       `cbor:"2,keyasint"`
}

// OrderStatus is the kind of an OrderResult.
type OrderStatus string

// The answers to RecordOrder. Only OrderIssued allows the order to be sent.
const (
	OrderIssued    OrderStatus = "issued"
	OrderDuplicate OrderStatus = "duplicate"   // the id was issued before, under Fence
	OrderStale     OrderStatus = "stale_fence" // the sender does not hold the lease; Fence is the current one
	OrderNotYet    OrderStatus = "not_yet"     // the lease is not effective before NotBeforeMS
	OrderExpired   OrderStatus = "expired"     // created longer ago than order ids are remembered
	OrderFull      OrderStatus = "full"
	OrderRefused   OrderStatus = "refused" // created_ms is in the future
)

// OrderResult answers RecordOrder.
type OrderResult struct {
	Status      OrderStatus `cbor:"1,keyasint"`
	Fence       uint64      `cbor:"2,keyasint,omitempty"`
	NotBeforeMS int64       `cbor:"3,keyasint,omitempty"`
}

// DownloadResult answers GrantDownload. RetryAfterMS is given when Granted is false.
type DownloadResult struct {
	Granted      bool  `cbor:"1,keyasint"`
	RetryAfterMS int64 `cbor:"2,keyasint,omitempty"`
}

// CrashResult answers Crash; see poison.Result. Granted, UntilMS and UpstreamTaken answer CrashAskSolo.
type CrashResult struct {
	Version       uint64       `cbor:"1,keyasint"`
	Before        uint64       `cbor:"2,keyasint"`
	Changed       []CrashEntry `cbor:"3,keyasint,omitempty"`
	Granted       bool         `cbor:"4,keyasint,omitempty"`
	UntilMS       int64        `cbor:"5,keyasint,omitempty"`
	UpstreamTaken bool         `cbor:"6,keyasint,omitempty"`
	// Brief says that too many entries changed to be listed; the node asks for all.
	Brief bool `cbor:"7,keyasint,omitempty"`
}

// ClearResult answers ClearQuarantine.
type ClearResult struct {
	Cleared bool `cbor:"1,keyasint"` // the fingerprint was isolated or suspected
}

func (Refused) isResult()        {}
func (ConfigResult) isResult()   {}
func (ClaimResult) isResult()    {}
func (AbandonResult) isResult()  {}
func (SettleResult) isResult()   {}
func (LeaseResult) isResult()    {}
func (OrderResult) isResult()    {}
func (DownloadResult) isResult() {}
func (CrashResult) isResult()    {}
func (ClearResult) isResult()    {}
