package spread

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/wire/codec"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	KindAsk    Kind = iota + 1 // to a control node: which revision is the newest?
	KindLatest                 // Revision, Short, Stamp, Confirmed
	KindFetch                  // Have, Revision wanted
	KindBody                   // Revision, Digest and Steps from Have, or Snapshot; neither: the sender does not have it
	KindCheck                  // Revision and Short active on the sender
)

// StepTo is the difference that leads to a revision from the one before it in the list.
type StepTo struct {
	Revision uint64 `cbor:"1,keyasint"`
	Delta    []byte `cbor:"2,keyasint"` // the body, packed against the one before
}

// Message is the only message between spread machines; which fields a kind uses is listed with the kinds.
type Message struct {
	Kind      Kind     `cbor:"1,keyasint"`
	From      string   `cbor:"2,keyasint"`
	Seq       uint64   `cbor:"3,keyasint,omitempty"` // request number, echoed in the response
	Revision  uint64   `cbor:"4,keyasint,omitempty"`
	Have      uint64   `cbor:"5,keyasint,omitempty"`
	Short     uint64   `cbor:"6,keyasint,omitempty"`
	Stamp     uint64   `cbor:"7,keyasint,omitempty"`
	Confirmed bool     `cbor:"8,keyasint,omitempty"` // the control node has quorum
	Digest    []byte   `cbor:"9,keyasint,omitempty"`
	Steps     []StepTo `cbor:"10,keyasint,omitempty"`
	Snapshot  []byte   `cbor:"11,keyasint,omitempty"` // the body, packed alone
}

// maxMessageBytes bounds a decoded message; a compressed snapshot of the design size is below 100 KiB.
const maxMessageBytes = 4 << 20

// Encode returns the CBOR form of a message.
func Encode(m Message) ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a message. It fails for messages above 4 MiB and for malformed ones.
func Decode(b []byte) (Message, error) {
	return codec.Decode[Message](b, maxMessageBytes, "configuration message")
}
