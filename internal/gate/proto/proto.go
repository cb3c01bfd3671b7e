// Package proto describes the protocol with callers, upstreams and operators: names of headers and paths, and
// the encoding of bodies. Own returns the project's own protocol. An adapter for a platform with other names
// supplies another Dialect; all other packages use this project's types only.
//
// Usage:
//
//	d := proto.Own()
//	cfg, err := d.DecodeConfig(body)
//	id := request.Header.Get(d.Headers.RequestID)
package proto

import (
	"encoding/json"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

// Dialect is a variant of the protocol. Its functions are stateless and safe for concurrent use.
type Dialect struct {
	Headers Headers
	// Reserved lists headers that only this system may set. They are removed from callers' requests.
	Reserved []string
	Paths    Paths
	Query    Query

	DecodeConfig func(body []byte) (*conf.Config, error)
	// DecodeHeartbeat decodes a heartbeat; id is taken from the path.
	DecodeHeartbeat func(id string, body []byte) (roster.Upstream, error)
	// EncodeHeartbeatReply encodes the address to send further heartbeats to.
	EncodeHeartbeatReply func(address string) ([]byte, error)
	// EncodeEntries encodes the addresses of entry nodes and how long the caller may cache them.
	EncodeEntries func(addresses []string, valid time.Duration) ([]byte, error)
	EncodeCall    func(items []stage.Item) ([]byte, error)
	DecodeCall    func(body []byte) ([]stage.Outcome, error)
	EncodeFree    func(handles []string) ([]byte, error)
}

// Headers holds the names of request and response headers.
type Headers struct {
	RequestID      string // identifies one attempt of a caller; echoed by upstreams
	Deadline       string // milliseconds until the sender stops waiting
	ExpectUpstream string // id of the upstream that the request is addressed to
	Team           string // set by the system after it has verified the key
	Signature      string // set by upstreams on their responses
	NotRun         string // set by upstreams on responses to requests that they did not run
	Pieces         string // number of pieces in each stage, comma separated
	PieceKey       string // key of the pieces of the first stages
	Inputs         string // handles of the last stages' results, comma separated
	Model          string
	Tokens         string // prompt tokens and maximum output tokens, comma separated
	Prefix         string // parts of the prompt in order, as ID:TOKENS, comma separated
	Priority       string // priority at a model engine, from 0 (highest) to 9
	KeyScheme      string // scheme of the Authorization header that carries a team's key
	LastEvent      string // id of the last event that the client has received
	UpstreamID     string // id of the upstream in health check responses
	Load           string // set by upstreams: requests running and waiting, slots, and optionally the relative duration of work in percent
	Cold           string // set by upstreams: milliseconds for which they stay cold
	Leaving        string // set by upstreams that are leaving
	LeavingAlias   string // another accepted name of Leaving; empty: none
}

// Paths holds the paths of endpoints. A colon marks a path parameter.
type Paths struct {
	Config, Upstream, Entries, Ready string // served by this system
	Evacuation                       string // of a data centre; served by this system
	Call, Free                       string // served by stage upstreams
}

// Query holds the names of the query parameters with which a caller looks up entry nodes.
type Query struct{ DataCentre, Region, Host string }

// Own returns the project's own dialect.
func Own() *Dialect {
	return &Dialect{
		Headers: Headers{
			RequestID: "Berylledge-Request", Deadline: "Berylledge-Deadline-Ms", ExpectUpstream: "Berylledge-Upstream",
			Team: "Berylledge-Team", Signature: "Berylledge-Signature", NotRun: "Berylledge-Not-Run",
			Pieces: "Berylledge-Pieces", PieceKey: "Berylledge-Piece-Key", Inputs: "Berylledge-Inputs",
			Model: "Berylledge-Model", Tokens: "Berylledge-Tokens", Prefix: "Berylledge-Prefix",
			Priority: "Berylledge-Priority", KeyScheme: "Bearer", LastEvent: "Last-Event-Id",
			UpstreamID: "Berylledge-Upstream", Load: "Berylledge-Load", Cold: "Berylledge-Cold-Ms", Leaving: "Berylledge-Leaving",
		},
		Reserved: []string{"Berylledge-Upstream", "Berylledge-Team", "Berylledge-Inputs", "Berylledge-Priority", "Berylledge-Not-Run"},
		Paths: Paths{
			Config: "/v1/traffic", Upstream: "/v1/traffic/upstreams/:id", Entries: "/v1/traffic/entries", Ready: "/v1/ready",
			Call: "/v1/pieces/make", Free: "/v1/pieces/free", Evacuation: "/v1/traffic/evacuations/:data_centre",
		},
		Query:                Query{DataCentre: "data_centre", Region: "region", Host: "host"},
		DecodeConfig:         conf.Decode,
		DecodeHeartbeat:      decodeHeartbeat,
		EncodeHeartbeatReply: func(address string) ([]byte, error) { return json.Marshal(heartbeatReply{address}) },
		EncodeEntries: func(addresses []string, valid time.Duration) ([]byte, error) {
			return json.Marshal(entriesReply{addresses, valid.Milliseconds()})
		},
		EncodeCall: encodeCall,
		DecodeCall: decodeCall,
		EncodeFree: func(handles []string) ([]byte, error) { return json.Marshal(freeBody{handles}) },
	}
}

type heartbeatReply struct {
	Address string `json:"address"`
}

type entriesReply struct {
	Addresses []string `json:"addresses"`
	ValidMS   int64    `json:"valid_ms"`
}

type freeBody struct {
	Handles []string `json:"handles"`
}

func decodeHeartbeat(id string, body []byte) (roster.Upstream, error) {
	var u roster.Upstream
	if err := conf.DecodeJSON(body, &u); err != nil {
		return u, err
	}
	u.ID = id
	return u, ValidateHeartbeat(u)
}

type callItem struct {
	Request string   `json:"request"`
	Stage   int      `json:"stage"`
	Piece   int      `json:"piece"`
	LeftMS  int64    `json:"left_ms,omitempty"`
	Key     string   `json:"key,omitempty"`
	Inputs  []string `json:"inputs,omitempty"`
}

type callBody struct {
	Items []callItem `json:"items"`
}

func encodeCall(items []stage.Item) ([]byte, error) {
	var body callBody
	for _, i := range items {
		body.Items = append(body.Items, callItem{i.Request, i.Stage, i.Piece, i.TimeLeft.Milliseconds(), i.Key, i.Inputs})
	}
	return json.Marshal(body)
}

type callOutcome struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

func decodeCall(body []byte) ([]stage.Outcome, error) {
	var reply struct {
		Items []callOutcome `json:"items"`
	}
	if err := conf.DecodeJSON(body, &reply); err != nil {
		return nil, err
	}
	out := make([]stage.Outcome, len(reply.Items))
	for i, o := range reply.Items {
		out[i] = stage.Outcome{Handle: o.Handle, Reason: ParseReason(o.Reason, o.Handle)}
	}
	return out, nil
}

// ParseReason converts the reason in a response. An unknown reason without a handle is ReasonError.
func ParseReason(reason, handle string) stage.Reason {
	if handle != "" {
		return stage.ReasonNone
	}
	switch reason {
	case "late":
		return stage.ReasonLate
	case "gone":
		return stage.ReasonGone
	case "room", "no_room":
		return stage.ReasonNoRoom
	}
	return stage.ReasonError
}
