package rstate

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// FormatVersion is the version of the encoding of commands and results.
const FormatVersion = 1

// MaxCommandBytes bounds an encoded command: one configuration and its audit fields.
const MaxCommandBytes = MaxConfigBytes + 4<<10

// kind numbers the commands and results in their encoding. Numbers are never reused; 10 and 72 were an earlier quarantine.
type kind uint64

const (
	kindPutConfig       kind = 1
	kindClaim           kind = 2
	kindAbandon         kind = 3
	kindSettle          kind = 4
	kindAcquireLease    kind = 5
	kindRenewLease      kind = 6
	kindReleaseLease    kind = 7
	kindRecordOrder     kind = 8
	kindGrantDownload   kind = 9
	kindClearQuarantine kind = 11
	kindCrash           kind = 12

	kindRefused        kind = 64
	kindConfigResult   kind = 65
	kindClaimResult    kind = 66
	kindAbandonResult  kind = 67
	kindSettleResult   kind = 68
	kindLeaseResult    kind = 69
	kindOrderResult    kind = 70
	kindDownloadResult kind = 71
	kindClearResult    kind = 73
	kindCrashResult    kind = 74
)

var kindNames = map[kind]string{
	kindPutConfig: "put_config", kindClaim: "claim", kindAbandon: "abandon", kindSettle: "settle",
	kindAcquireLease: "acquire_lease", kindRenewLease: "renew_lease", kindReleaseLease: "release_lease",
	kindRecordOrder: "record_order", kindGrantDownload: "grant_download", kindCrash: "crash",
	kindClearQuarantine: "clear_quarantine",
}

func (k kind) String() string {
	if name := kindNames[k]; name != "" {
		return name
	}
	return fmt.Sprintf("kind %d", uint64(k))
}

func (PutConfig) kind() kind       { return kindPutConfig }
func (Claim) kind() kind           { return kindClaim }
func (Abandon) kind() kind         { return kindAbandon }
func (Settle) kind() kind          { return kindSettle }
func (AcquireLease) kind() kind    { return kindAcquireLease }
func (RenewLease) kind() kind      { return kindRenewLease }
func (ReleaseLease) kind() kind    { return kindReleaseLease }
func (RecordOrder) kind() kind     { return kindRecordOrder }
func (GrantDownload) kind() kind   { return kindGrantDownload }
func (Crash) kind() kind           { return kindCrash }
func (ClearQuarantine) kind() kind { return kindClearQuarantine }

func (Refused) resultKind() kind        { return kindRefused }
func (ConfigResult) resultKind() kind   { return kindConfigResult }
func (ClaimResult) resultKind() kind    { return kindClaimResult }
func (AbandonResult) resultKind() kind  { return kindAbandonResult }
func (SettleResult) resultKind() kind   { return kindSettleResult }
func (LeaseResult) resultKind() kind    { return kindLeaseResult }
func (OrderResult) resultKind() kind    { return kindOrderResult }
func (DownloadResult) resultKind() kind { return kindDownloadResult }
func (CrashResult) resultKind() kind    { return kindCrashResult }
func (ClearResult) resultKind() kind    { return kindClearResult }

// UnknownKindError says that the bytes hold a command or result of a kind that this version does not know.
type UnknownKindError struct{ Kind uint64 }

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("kind %d is not known to this version", e.Kind)
}

// VersionError says that the bytes are of another format version.
type VersionError struct{ Version uint64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("format version %d is not supported; this version reads %d", e.Version, FormatVersion)
}

// SizeError says that the bytes are larger than their bound.
type SizeError struct{ Bytes, Limit int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("%d bytes; at most %d are allowed", e.Bytes, e.Limit)
}

// envelope is the outer shape of a command, result or snapshot: [version, kind, body].
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Kind    kind
	Body    cbor.RawMessage
}

var (
	encMode    = mustEncMode()
	decMode    = mustDecMode(64)
	bigDecMode = mustDecMode(1 << 24) // for snapshots, whose lists hold all records
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode(elements int) cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8:              cbor.UTF8RejectInvalid,
		MaxNestedLevels:   8,
		MaxArrayElements:  elements,
		MaxMapPairs:       64,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func encode(k kind, v any) ([]byte, error) {
	body, err := encMode.Marshal(v)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", k)
	}
	return encMode.Marshal(envelope{Version: FormatVersion, Kind: k, Body: body})
}

func open(mode cbor.DecMode, data []byte) (envelope, error) {
	var e envelope
	if err := mode.Unmarshal(data, &e); err != nil {
		return e, errors.Wrap(err, "decode envelope")
	}
	if e.Version != FormatVersion {
		return e, &VersionError{e.Version}
	}
	return e, nil
}

func body[T any](e envelope) (T, error) {
	var v T
	if err := decMode.Unmarshal(e.Body, &v); err != nil {
		return v, errors.Wrapf(err, "decode %s", e.Kind)
	}
	return v, nil
}

// EncodeCommand returns the bytes of a command. Equal commands have equal bytes. It returns a FieldError if a field is
// outside its bounds.
func EncodeCommand(c Command) ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	return encode(c.kind(), c)
}

// DecodeCommand returns the command in the bytes. Unknown fields, duplicate fields, tags and values of unbounded length
// are refused. Errors: SizeError, VersionError, UnknownKindError, FieldError or an error of the codec.
func DecodeCommand(data []byte) (Command, error) {
	if len(data) > MaxCommandBytes {
		return nil, &SizeError{len(data), MaxCommandBytes}
	}
	e, err := open(decMode, data)
	if err != nil {
		return nil, err
	}
	decoder := commandDecoders[e.Kind]
	if decoder == nil {
		return nil, &UnknownKindError{uint64(e.Kind)}
	}
	c, err := decoder(e)
	if err != nil {
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

// commandDecoders and resultDecoders hold the kinds that this version knows.
var (
	commandDecoders = map[kind]func(envelope) (Command, error){
		kindPutConfig: asCommand[PutConfig], kindClaim: asCommand[Claim], kindAbandon: asCommand[Abandon],
		kindSettle: asCommand[Settle], kindAcquireLease: asCommand[AcquireLease], kindRenewLease: asCommand[RenewLease],
		kindReleaseLease: asCommand[ReleaseLease], kindRecordOrder: asCommand[RecordOrder],
		kindGrantDownload: asCommand[GrantDownload], kindCrash: asCommand[Crash],
		kindClearQuarantine: asCommand[ClearQuarantine],
	}
	resultDecoders = map[kind]func(envelope) (Result, error){
		kindRefused: asResult[Refused], kindConfigResult: asResult[ConfigResult], kindClaimResult: asResult[ClaimResult],
		kindAbandonResult: asResult[AbandonResult], kindSettleResult: asResult[SettleResult],
		kindLeaseResult: asResult[LeaseResult], kindOrderResult: asResult[OrderResult],
		kindDownloadResult: asResult[DownloadResult], kindCrashResult: asResult[CrashResult],
		kindClearResult: asResult[ClearResult],
	}
)

func asCommand[T Command](e envelope) (Command, error) { return body[T](e) }

func asResult[T Result](e envelope) (Result, error) { return body[T](e) }

// EncodeResult returns the bytes of a result.
func EncodeResult(r Result) ([]byte, error) { return encode(r.resultKind(), r) }

// DecodeResult returns the result in the bytes, with the errors of DecodeCommand.
func DecodeResult(data []byte) (Result, error) {
	if len(data) > MaxCommandBytes {
		return nil, &SizeError{len(data), MaxCommandBytes}
	}
	e, err := open(decMode, data)
	if err != nil {
		return nil, err
	}
	decoder := resultDecoders[e.Kind]
	if decoder == nil {
		return nil, &UnknownKindError{uint64(e.Kind)}
	}
	return decoder(e)
}
