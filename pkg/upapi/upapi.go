// Package upapi holds the shapes of the interface between berylledge and its upstreams.
//
// An upstream announces itself to an entry node, renews its lease, reports load, publishes cache events and says when
// it leaves. An entry node calls its stages, streams generations from it and gives it orders. All bodies are JSON; token
// streams are server-sent events in the shape of the OpenAI completions interface, extended by the field "berylledge".
// docs/upstream_api.md is the contract in prose.
//
// Usage (a program that registers an upstream):
//
//	a := upapi.Announce{ID: "enc-1", Incarnation: 1, Kind: upapi.KindEncoder, Services: []string{"encode"}, ...}
//	http.Post(entry+upapi.PathAnnounce, "application/json", body(a))
package upapi

// Paths on an entry node.
const (
	PathAnnounce    = "/v1/upstreams/announce"
	PathRenew       = "/v1/upstreams/renew"
	PathLeave       = "/v1/upstreams/leave"
	PathLoad        = "/v1/upstreams/load"
	PathCacheEvents = "/v1/upstreams/cache_events"
)

// Paths on an upstream.
const (
	PathStage       = "/v1/stage"
	PathCompletions = "/v1/completions"
	PathCancel      = "/v1/cancel"
	PathKVExport    = "/v1/kv/export"
	PathKVImport    = "/v1/kv/import"
	PathOrders      = "/v1/orders"
)

// Kind is the kind of an upstream.
type Kind string

// The kinds of upstreams.
const (
	KindEncoder   Kind = "encoder"
	KindRetriever Kind = "retriever"
	KindReranker  Kind = "reranker"
	KindEngine    Kind = "engine"
	KindService   Kind = "service"
)

// Role is what a model engine does.
type Role string

// The roles of a model engine. An empty role means RoleMixed.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Announce makes an upstream known. A higher incarnation replaces a lower one of the same id.
type Announce struct {
	ID            string   `json:"id" cbor:"id"`
	Incarnation   uint64   `json:"incarnation" cbor:"incarnation"`
	Kind          Kind     `json:"kind" cbor:"kind"`
	Services      []string `json:"services,omitempty" cbor:"services,omitempty"` // names that stages refer to
	Models        []string `json:"models,omitempty" cbor:"models,omitempty"`     // loaded models, "model:adapter" for an adapter
	Role          Role     `json:"role,omitempty" cbor:"role,omitempty"`
	DataCentre    string   `json:"data_centre" cbor:"data_centre"`
	Region        string   `json:"region" cbor:"region"`
	Address       string   `json:"address" cbor:"address"` // IP number and port
	Slots         int      `json:"slots" cbor:"slots"`     // requests that it runs at the same time
	ChecksFence   bool     `json:"checks_fence" cbor:"checks_fence"`
	AcceptsOrders bool     `json:"accepts_orders" cbor:"accepts_orders"`
	LeaseMS       int64    `json:"lease_ms" cbor:"lease_ms"` // silence after which it gets no new work
}

// Renew extends the lease. Leave has the same shape and ends it.
type Renew struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	// Entries are addresses of entry nodes, the answering one first. An upstream that loses its entry node announces
	// itself to another one of them before its lease runs out.
	Entries []string `json:"entries"`
}

// RenewReply tells an upstream whether the entry node knows it; if not, it announces itself again.
type RenewReply struct {
	Known   bool     `json:"known"`
	Entries []string `json:"entries,omitempty"` // see AnnounceReply
}

// Load is a report of load; it describes a moment in the past.
type Load struct {
	ID           string `json:"id" cbor:"id"`
	Incarnation  uint64 `json:"incarnation" cbor:"incarnation"`
	Running      int    `json:"running" cbor:"running"`
	Waiting      int    `json:"waiting" cbor:"waiting"`
	QueueMS      int64  `json:"queue_ms" cbor:"queue_ms"`             // queueing delay of the last started request
	KVUsedTokens int64  `json:"kv_used_tokens" cbor:"kv_used_tokens"` // model engines only
	AgeMS        int64  `json:"age_ms" cbor:"age_ms"`                 // how long ago this was measured
}

// CacheEvent says that an engine holds, or no longer holds, a prompt prefix. Events arrive late and with gaps; a gap
// in Seq means that events are missing.
type CacheEvent struct {
	Seq     uint64 `json:"seq" cbor:"seq"`
	Prefix  uint64 `json:"prefix" cbor:"prefix"` // hash of the prefix, see PrefixHashes
	Evicted bool   `json:"evicted,omitempty" cbor:"evicted,omitempty"`
}

// CacheEvents is a batch of events of one engine.
type CacheEvents struct {
	ID          string       `json:"id"`
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// Work identifies a piece of work. It is in each message to an upstream and in each result; a result whose Work differs
// from the one that was asked for belongs to another request and is dropped.
type Work struct {
	RequestID string `json:"request_id"`
	Stage     string `json:"stage"`
	Attempt   int    `json:"attempt"`
}

// StageCall asks for one run of a stage that is not a generation.
type StageCall struct {
	Work
	Service        string `json:"service"`
	Model          string `json:"model,omitempty"`
	Input          string `json:"input"`           // the caller's input
	Prior          string `json:"prior,omitempty"` // output of the stage before
	Team           string `json:"team"`
	Priority       int    `json:"priority"`    // 0 is the most urgent
	DeadlineMS     int64  `json:"deadline_ms"` // time left when the call was sent
	IdempotencyKey string `json:"idempotency_key,omitempty"`
}

// StageResult is the answer to a StageCall.
type StageResult struct {
	Work
	Output string `json:"output"`
	Cost   Cost   `json:"cost"`
}

// Cost is what a piece of work used.
type Cost struct {
	PrefillTokens   int64 `json:"prefill_tokens,omitempty" cbor:"prefill_tokens,omitempty"`
	CachedTokens    int64 `json:"cached_tokens,omitempty" cbor:"cached_tokens,omitempty"` // part of the prompt that was in the cache
	GeneratedTokens int64 `json:"generated_tokens,omitempty" cbor:"generated_tokens,omitempty"`
	BusyUS          int64 `json:"busy_us,omitempty" cbor:"busy_us,omitempty"`   // time in a slot
	QueueUS         int64 `json:"queue_us,omitempty" cbor:"queue_us,omitempty"` // time in the queue for a slot
}

// Completion starts or resumes a generation. With ResumeFrom above 0 the stream begins at that offset.
type Completion struct {
	Work
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	Priority   int    `json:"priority"`
	Team       string `json:"team"`
	DeadlineMS int64  `json:"deadline_ms"`
	ResumeFrom int    `json:"resume_from,omitempty"`
}

// Chunk is one event of a token stream.
type Chunk struct {
	ID      string    `json:"id"`
	Object  string    `json:"object"` // "text_completion"
	Model   string    `json:"model"`
	Choices []Choice  `json:"choices"`
	Ext     Extension `json:"berylledge"`
}

// Choice is the OpenAI shape of generated text.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"` // "stop" or "length" in the last chunk
}

// Extension places a chunk in its stream. A stream is whole only when a chunk with End came and Count chunks with
// offsets 0 to Count-1 were received.
type Extension struct {
	Work
	Offset int  `json:"offset"`
	End    bool `json:"end,omitempty"`
	Count  int  `json:"count,omitempty"`
	Cost   Cost `json:"cost,omitzero"`
}

// Cancel stops a piece of work and frees its slot.
type Cancel struct {
	Work
}

// KVExport asks an engine for the cache of a prefix; the reply body is KV.
type KVExport struct {
	Model  string `json:"model"`
	Prefix uint64 `json:"prefix"`
}

// KV is the cache of a prefix in transit.
type KV struct {
	Model  string `json:"model"`
	Prefix uint64 `json:"prefix"`
	Tokens int64  `json:"tokens"`
	Data   []byte `json:"data"`
}

// OrderKind is the kind of a platform order.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order tells an upstream to change. An upstream that checks fencing numbers refuses an order whose Fence is below the
// highest it has seen. An order with an ID that was carried out before has no further effect.
type Order struct {
	ID      string    `json:"id"`
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"` // model, "model:adapter", or "model@version"
	Role    Role      `json:"role,omitempty"`
	Version string    `json:"version,omitempty"`
}

// OrderReply is the answer to an Order.
type OrderReply struct {
	Done   bool   `json:"done"`
	Fence  uint64 `json:"fence"` // highest fencing number seen
	Reason string `json:"reason,omitempty"`
}

// ErrorCode says why an upstream did not complete work.
type ErrorCode string

// The codes of upstream errors. With the codes NotStarted and Busy the upstream promises that nothing ran.
const (
	CodeNotStarted ErrorCode = "not_started"
	CodeBusy       ErrorCode = "busy"
	CodeFailed     ErrorCode = "failed"
	CodeStaleFence ErrorCode = "stale_fence"
	CodeBadRequest ErrorCode = "bad_request"
	CodeUnknown    ErrorCode = "unknown_work"
)

// Error is the body of each status of 400 or more.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}
