// Package caller holds the shapes of the caller interface and a client for it.
//
// Usage:
//
//	c := caller.New(caller.Options{Seeds: []string{"http://10.0.0.5:7001"}, Team: "crew"})
//	answer, err := c.Do(ctx, caller.Submit{Pipeline: "ask", Rank: "urgent", Input: "history of pond 12"}, nil)
//	var refusal *caller.Refusal
//	if errors.As(err, &refusal) && refusal.Ran == caller.NotRun { ... }
//
// The client asks which entry VM to use, keeps the answer for as long as it is valid, resumes broken streams, and sends
// idempotent requests again through another entry VM when its own is lost. docs/caller_api.md is the contract in prose.
package caller

import "fmt"

// Paths of the caller interface.
const (
	PathEntry    = "/v1/entry"
	PathRequests = "/v1/requests"
)

// HeaderTeam names the team that a request is made for.
const HeaderTeam = "Berylledge-Team"

// Entry is the answer to GET /v1/entry.
type Entry struct {
	Address string `json:"address"`  // IP number and port
	ValidMS int64  `json:"valid_ms"` // how long the answer may be kept
	// Stopping says that the VM which answers stops as planned: it is not to be used, also where Address cannot be reached.
	Stopping bool `json:"stopping,omitempty"`
}

// Submit is the body of POST /v1/requests.
type Submit struct {
	// ID names the request for fetch, resume and cancel; the node makes one when it is empty.
	ID       string            `json:"id,omitempty"`
	Pipeline string            `json:"pipeline"`
	Rank     string            `json:"rank"`
	Input    string            `json:"input"`
	Params   map[string]string `json:"params,omitempty"` // read by the conditions of stages
	// DeadlineMS is the time left for the whole answer; 0 means the pipeline's deadline, which is also the maximum.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// IdempotencyKey is required when the pipeline runs a stage that may not repeat. KeyCreatedMS is the Unix time in
	// milliseconds at which the caller made the key; a key older than the retention time is refused.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	KeyCreatedMS   int64  `json:"key_created_ms,omitempty"`
}

// Ran says whether refused or failed work ran.
type Ran string

// NotRun promises that the work did not run and will not run.
const (
	NotRun     Ran = "not_run"
	DidRun     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// Code says why a request was refused or failed.
type Code string

// The codes of refusals. docs/caller_api.md lists their meaning and HTTP status.
const (
	CodeBadRequest      Code = "bad_request"
	CodeTooLarge        Code = "too_large"
	CodeHeaderTooLarge  Code = "header_too_large"
	CodeUnknownPipeline Code = "unknown_pipeline"
	CodeUnknownTeam     Code = "unknown_team"
	CodeNotFound        Code = "not_found"
	CodeDuplicateID     Code = "duplicate_id"
	CodeKeyRequired     Code = "key_required"
	CodeKeyReused       Code = "key_reused"
	CodeKeyExpired      Code = "key_expired"
	CodeKeyInProgress   Code = "key_in_progress"
	CodeKeyUnknown      Code = "key_unknown"
	CodeDeadline        Code = "deadline"
	CodeOverloaded      Code = "overloaded"
	CodeTeamLimit       Code = "team_limit"
	CodeNoUpstream      Code = "no_upstream"
	CodeUpstreamFailed  Code = "upstream_failed"
	CodeNoQuorum        Code = "no_quorum"
	CodeNoConfig        Code = "no_config"
	CodeDraining        Code = "draining"
	CodeCancelled       Code = "cancelled"
	CodeQuarantined     Code = "quarantined"
	CodeSuspected       Code = "suspected"
	CodeInternal        Code = "internal"
)

// Refusal is the body of each status of 400 or more, and the data of an "error" event.
type Refusal struct {
	Code         Code   `json:"code"`
	Ran          Ran    `json:"ran"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	// ProtectedRan says whether the stage that may not repeat ran; it is set for requests that have one. Ran speaks of all
	// stages: a booking that was not started after its pipeline's encode stage has Ran "ran" and ProtectedRan "not_run".
	ProtectedRan Ran `json:"protected_ran,omitempty"`
	Status       int `json:"-"`
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Ran, r.Message)
}

// Names of server-sent events. An event's id is its number in the stream of the request, from 1.
const (
	EventStage = "stage" // data: StageEvent
	EventToken = "token" // data: Token
	EventEnd   = "end"   // data: End; the answer is whole
	EventError = "error" // data: Refusal; the answer is not whole
)

// StageEvent says that a stage ended.
type StageEvent struct {
	Stage     string `json:"stage"`
	Skipped   bool   `json:"skipped,omitempty"`
	Upstream  string `json:"upstream,omitempty"`
	Attempts  int    `json:"attempts,omitempty"`
	ElapsedUS int64  `json:"elapsed_us"`
	Prefill   int64  `json:"prefill_tokens,omitempty"`
	Cached    int64  `json:"cached_tokens,omitempty"`
	Generated int64  `json:"generated_tokens,omitempty"`
	BusyUS    int64  `json:"busy_us,omitempty"`
	// Output is set for call stages only, e.g. the number of a booking.
	Output string `json:"output,omitempty"`
	// Replayed says that the outcome was recorded by an earlier request with the same key.
	Replayed bool `json:"replayed,omitempty"`
}

// Token is a part of the answer.
type Token struct {
	Text string `json:"text"`
}

// End closes a stream. The answer is whole if Tokens token events were received; Bytes is the length of their text.
type End struct {
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"`
	Bytes     int    `json:"bytes"`
	ElapsedUS int64  `json:"elapsed_us"`
}

// Answer is a whole answer: the body of a response that is not streamed, and the result of Client.Do.
type Answer struct {
	RequestID string       `json:"request_id"`
	Output    string       `json:"output"`
	Stages    []StageEvent `json:"stages"`
	End       End          `json:"end"`
}
