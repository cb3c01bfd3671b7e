package member

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/wire/codec"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	KindPing      Kind = iota + 1 // Seq; answered by KindAck
	KindAck                       // Seq of the ping, report or indirect ping
	KindPingReq                   // Seq, Target: ping the target and pass its ack on
	KindNack                      // Seq: the target of KindPingReq did not answer in time
	KindGossip                    // Updates
	KindSync                      // Digests, Updates holds the sender's record; answered by KindSyncReply
	KindSyncReply                 // Updates: all records of the data centres in Digests
	KindSyncPush                  // Updates: records that are newer than those in the reply
	KindNotice                    // Seq, Updates; Relay: pass it to the whole data centre, then answer
	KindNoticeAck                 // Seq, DataCentre, Missing
	KindBeat                      // Digests of the own data centre, Status
	KindReport                    // the revision in the header changed; answered by KindAck
)

// Digest summarizes the present nodes of a data centre.
type Digest struct {
	DataCentre string `cbor:"1,keyasint"`
	Hash       uint64 `cbor:"2,keyasint,omitempty"`
}

// Message is the only message between member machines; which fields a kind uses is listed with the kinds.
type Message struct {
	Kind        Kind     `cbor:"1,keyasint"`
	From        string   `cbor:"2,keyasint"`
	Incarnation uint64   `cbor:"3,keyasint"`
	Revision    uint64   `cbor:"4,keyasint,omitempty"` // in force on the sender
	Hint        Hint     `cbor:"5,keyasint,omitzero"`
	Seq         uint64   `cbor:"6,keyasint,omitempty"`
	Target      string   `cbor:"7,keyasint,omitempty"`
	Updates     []Node   `cbor:"8,keyasint,omitempty"`
	Digests     []Digest `cbor:"9,keyasint,omitempty"`
	DataCentre  string   `cbor:"10,keyasint,omitempty"`
	Missing     []string `cbor:"11,keyasint,omitempty"`
	Relay       bool     `cbor:"12,keyasint,omitempty"`
	Status      *Status  `cbor:"13,keyasint,omitempty"`
	Silent      []string `cbor:"14,keyasint,omitempty"` // from a representative: data centres that it does not hear
}

// maxMessage bounds a decoded message; a sync reply of one data centre is the largest.
const maxMessage = 256 << 10

// Encode returns the CBOR form of a message.
func Encode(m Message) ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a message. It fails for messages above 256 KiB and for malformed ones.
func Decode(b []byte) (Message, error) {
	return codec.Decode[Message](b, maxMessage, "membership message")
}
