// Package proto describes what berylledge speaks with callers, upstreams and operators when it forwards requests: names of
// headers and paths, and the form of the bodies. Own returns the project's interface. An adapter for a platform with other
// names supplies another Dialect; everything behind it works with the types of this project.
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

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

// Dialect is a way to speak. It is plain data; its functions keep no state and may be called from any goroutine.
type Dialect struct {
	Headers Headers
	// Reserved lists headers that only the system may set; they are dropped from callers' requests.
	Reserved []string
	Paths    Paths
	Query    Query

	DecodeConfig func(body []byte) (*conf.Config, error)
	// DecodeBeat reads a heartbeat; id comes from the path.
	DecodeBeat func(id string, body []byte) (roster.Upstream, error)
	// EncodeBeatReply names the address for the next heartbeats.
	EncodeBeatReply func(address string) ([]byte, error)
	// EncodeEntries tells a caller where to connect, and for how long it may keep the answer.
	EncodeEntries func(addresses []string, valid time.Duration) ([]byte, error)
	EncodeCall    func(items []stage.Item) ([]byte, error)
	DecodeCall    func(body []byte) ([]stage.Outcome, error)
	EncodeFree    func(handles []string) ([]byte, error)
}

// Headers are the names of headers of requests and answers.
type Headers struct {
	RequestID  string // identifies one attempt of a caller; echoed by upstreams
	Deadline   string // milliseconds that the sender still waits
	Expect     string // id of the upstream that the request is meant for
	Team       string // set by the system after it has checked the key
	Signature  string // set by upstreams on their answers
	NotRun     string // set by upstreams on answers to requests that they did not run
	Pieces     string // number of pieces of each stage, comma separated
	PieceKey   string // key of the pieces of the first stages
	Inputs     string // handles of the last stages' results, comma separated
	Model      string
	Tokens     string // prompt tokens and most output tokens, comma separated
	Prefix     string // parts of the prompt in order, as ID:TOKENS, comma separated
	Priority   string // urgency at a model engine, 0 to 9; 0 is first
	KeyScheme  string // scheme of the Authorization header that carries a team's key
	LastEvent  string // id of the last event that the receiver has
	UpstreamID string // id of the upstream in answers to health checks
}

// Paths are the paths of calls. A colon marks a variable part.
type Paths struct {
	Config, Upstream, Entries, Ready string // calls that this system answers
	Call, Free                       string // calls to stage upstreams
}

// Query holds the names of the query parameters of a caller that asks for entry nodes.
type Query struct{ DataCentre, Region string }

// Own returns the project's own dialect.
func Own() *Dialect {
	return &Dialect{
		Headers: Headers{
			RequestID: "Berylledge-Request", Deadline: "Berylledge-Deadline-Ms", Expect: "Berylledge-Upstream",
			Team: "Berylledge-Team", Signature: "Berylledge-Signature", NotRun: "Berylledge-Not-Run",
			Pieces: "Berylledge-Pieces", PieceKey: "Berylledge-Piece-Key", Inputs: "Berylledge-Inputs",
			Model: "Berylledge-Model", Tokens: "Berylledge-Tokens", Prefix: "Berylledge-Prefix",
			Priority: "Berylledge-Priority", KeyScheme: "Bearer", LastEvent: "Last-Event-Id",
			UpstreamID: "Berylledge-Upstream",
		},
		Reserved: []string{"Berylledge-Upstream", "Berylledge-Team", "Berylledge-Inputs", "Berylledge-Priority", "Berylledge-Not-Run"},
		Paths: Paths{
			Config: "/v1/traffic", Upstream: "/v1/traffic/upstreams/:id", Entries: "/v1/traffic/entries", Ready: "/v1/ready",
			Call: "/v1/pieces/make", Free: "/v1/pieces/free",
		},
		Query:           Query{DataCentre: "data_centre", Region: "region"},
		DecodeConfig:    conf.Decode,
		DecodeBeat:      decodeBeat,
		EncodeBeatReply: func(address string) ([]byte, error) { return json.Marshal(beatReply{address}) },
		EncodeEntries: func(addresses []string, valid time.Duration) ([]byte, error) {
			return json.Marshal(entriesReply{addresses, valid.Milliseconds()})
		},
		EncodeCall: encodeCall,
		DecodeCall: decodeCall,
		EncodeFree: func(handles []string) ([]byte, error) { return json.Marshal(freeCall{handles}) },
	}
}

type beatReply struct {
	Address string `json:"address"`
}

type entriesReply struct {
	Addresses []string `json:"addresses"`
	ValidMS   int64    `json:"valid_ms"`
}

type freeCall struct {
	Handles []string `json:"handles"`
}

func decodeBeat(id string, body []byte) (roster.Upstream, error) {
	var u roster.Upstream
	if err := conf.DecodeJSON(body, &u); err != nil {
		return u, err
	}
	u.ID = id
	return u, CheckBeat(u)
}

// CheckBeat refuses a heartbeat that does not name a usable upstream.
func CheckBeat(u roster.Upstream) error {
	switch {
	case u.ID == "" || u.Service == "" || u.Address == "":
		return errors.New("id, service and address are required")
	case u.State != roster.Ready && u.State != roster.Draining:
		return errors.New("the state must be ready or draining")
	}
	return nil
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
		out[i] = stage.Outcome{Handle: o.Handle, Reason: ReasonFrom(o.Reason, o.Handle)}
	}
	return out, nil
}

// ReasonFrom translates the word of an answer. An outcome without a handle and with an unknown word is an error.
func ReasonFrom(word, handle string) stage.Reason {
	if handle != "" {
		return stage.ReasonNone
	}
	switch word {
	case "late":
		return stage.ReasonLate
	case "gone":
		return stage.ReasonGone
	case "room", "no_room":
		return stage.ReasonNoRoom
	}
	return stage.ReasonError
}
