// Package relay replicates upstream state from the entry node that received it to the other nodes of the data centre, and
// sends summaries of the data centre to other data centres.
//
// Announcements, lease extensions and load go in one batch per period from the node that received them to each peer.
// A batch identifies an upstream by an integer handle; a receiver that missed the definition of a handle requests all
// definitions. A leave is sent at once and repeated until each peer has acknowledged it, which is reported (LeaveKnown): the
// node that received it may end before it has told all others, and the upstream sends nothing more. Between data centres a
// representative sends per pool the number of live upstreams, the free slots and a quantile of the queueing delay; inside the receiving
// data centre the summary travels along a tree that differs with each summary, so that no node carries all of it.
//
// A node of another data centre therefore does not know single upstreams: it sends work to an entry node there, which
// knows which upstreams are leaving.
//
// Usage:
//
//	m := relay.New(relay.Config{ID: "e1", DataCentre: "a", Region: "r", Seed: 1})
//	m.Step(now, relay.SetPeers{...})            // whenever the membership changes
//	m.Step(now, relay.Announced{Announce: a})   // with upview.Table.Announce, for upstreams that talk to this node
//	m.Step(now, relay.Tick{})                   // every 100 ms
//
// Actions: Send goes to a peer; Apply* go to the upview.Table; Summary goes to the routing.
package relay

import (
	"cmp"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/wire/codec"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// Config is the configuration of a Machine. Zero values mean the default in the comment.
type Config struct {
	ID, DataCentre, Region string
	Seed                   uint64
	Every                  time.Duration // 1 s between batches
	MaxMessages            int           // 40 batches per second at most; with more peers the period grows
	SummaryEvery           time.Duration // 5 s
	Quantile               float64       // 0.9 of the queueing delays in a summary
	Forget                 time.Duration // 10 min: leaves are remembered against late announcements
}

func (c Config) withDefaults() Config {
	if c.Every == 0 {
		c.Every = time.Second
	}
	if c.MaxMessages == 0 {
		c.MaxMessages = 40
	}
	if c.SummaryEvery == 0 {
		c.SummaryEvery = 5 * time.Second
	}
	if c.Quantile == 0 {
		c.Quantile = 0.9
	}
	if c.Forget == 0 {
		c.Forget = 10 * time.Minute
	}
	return c
}

// Event is an input of a Machine.
type Event interface{ event() }

// Tick advances the timers. The caller sends one every 100 ms.
type Tick struct{}

// Received is a message from another node.
type Received struct{ Message Message }

// Far is another data centre.
type Far struct {
	DataCentre string
	Contacts   []string // its representatives
}

// SetPeers replaces the membership view.
type SetPeers struct {
	Local []string // other present nodes of the own data centre
	Leads []string // representatives of the own data centre, including this node if it is one
	Far   []Far
}

// Announced is an announcement that an upstream sent to this node.
type Announced struct{ Announce upapi.Announce }

// Renewed is a renewal that an upstream sent to this node.
type Renewed struct{ Renew upapi.Renew }

// Left is a leave request that an upstream sent to this node.
type Left struct{ Renew upapi.Renew }

// Loaded is a load report that an upstream sent to this node.
type Loaded struct{ Load upapi.Load }

func (Tick) event()      {}
func (Received) event()  {}
func (SetPeers) event()  {}
func (Announced) event() {}
func (Renewed) event()   {}
func (Left) event()      {}
func (Loaded) event()    {}

// Action is an output of a Machine.
type Action interface{ action() }

// Send is a message to a node.
type Send struct {
	To      string
	Message Message
}

// ApplyAnnounce registers an upstream that announced itself to another node. At is the time of its last renewal, computed
// from the age in the message.
type ApplyAnnounce struct {
	Announce upapi.Announce
	At       time.Time
}

// ApplyRenew extends a lease as if the renewal had arrived at the time At. It is only emitted when that extends it.
type ApplyRenew struct {
	Renew upapi.Renew
	At    time.Time
}

// ApplyLeave marks an upstream as leaving.
type ApplyLeave struct{ Renew upapi.Renew }

// LeaveKnown says that all peers have acknowledged a leave that an upstream sent to this node.
type LeaveKnown struct{ Renew upapi.Renew }

// ApplyLoad applies a load report. Its age includes the time it spent in the relay.
type ApplyLoad struct{ Load upapi.Load }

// Summary describes the pools of another data centre.
type Summary struct {
	DataCentre, Region string
	Pools              []Pool
}

func (Send) action()          {}
func (ApplyAnnounce) action() {}
func (ApplyRenew) action()    {}
func (ApplyLeave) action()    {}
func (LeaveKnown) action()    {}
func (ApplyLoad) action()     {}
func (Summary) action()       {}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	KindBatch  Kind = iota + 1 // Epoch, Version, Defs, Renews, Loads; Full: Defs is the complete set
	KindWant                   // Epoch: send a full batch
	KindBye                    // Seq, Gone
	KindByeAck                 // Seq
	KindPools                  // DataCentre, Region, Version, Pools; Root is set inside the receiving data centre
)

// Def defines a handle. It has the fields of upapi.Announce without their names, which are more than half of its size.
// An empty data centre or region is that of the sender; an upstream may talk to a node of another data centre.
type Def struct {
	_             struct{} `cbor:",toarray"`
	Handle        uint64
	AgeMS         int64 // since the last renewal
	ID            string
	Incarnation   uint64
	Kind          upapi.Kind
	Services      []string
	Models        []string
	Role          upapi.Role
	DataCentre    string
	Region        string
	Address       string
	Slots         int
	ChecksFence   bool
	AcceptsOrders bool
	LeaseMS       int64
}

// Define returns the definition of a handle that a node of a data centre and region sends.
func Define(handle uint64, age time.Duration, a upapi.Announce, dataCentre, region string) Def {
	d := Def{
		Handle: handle, AgeMS: age.Milliseconds(), ID: a.ID, Incarnation: a.Incarnation, Kind: a.Kind, Services: a.Services,
		Models: a.Models, Role: a.Role, Address: a.Address, Slots: a.Slots, ChecksFence: a.ChecksFence,
		AcceptsOrders: a.AcceptsOrders, LeaseMS: a.LeaseMS,
	}
	if a.DataCentre != dataCentre {
		d.DataCentre = a.DataCentre
	}
	if a.Region != region {
		d.Region = a.Region
	}
	return d
}

// Announce returns the announcement in a definition that came from a node of this data centre and region.
func (d Def) Announce(dataCentre, region string) upapi.Announce {
	return upapi.Announce{
		ID: d.ID, Incarnation: d.Incarnation, Kind: d.Kind, Services: d.Services, Models: d.Models, Role: d.Role,
		DataCentre: cmp.Or(d.DataCentre, dataCentre), Region: cmp.Or(d.Region, region), Address: d.Address, Slots: d.Slots, ChecksFence: d.ChecksFence,
		AcceptsOrders: d.AcceptsOrders, LeaseMS: d.LeaseMS,
	}
}

// Renewal extends the lease of an upstream.
type Renewal struct {
	_      struct{} `cbor:",toarray"`
	Handle uint64
	AgeMS  int64
}

// Load is a load report in short form.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Handle  uint64
	Running int
	Waiting int
	QueueMS int64
	KVKilo  int64 // used tokens of the KV cache in units of 1,024
	AgeMS   int64
}

// Pool summarizes the upstreams of a data centre that offer one service or model.
type Pool struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Live    int
	Free    int   // slots
	QueueMS int64 // quantile of the queueing delays
}

// Gone identifies an incarnation of an upstream that is leaving.
type Gone struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Message is the only message between relay machines; which fields a kind uses is listed with the kinds.
type Message struct {
	Kind       Kind      `cbor:"1,keyasint"`
	From       string    `cbor:"2,keyasint"`
	Epoch      uint64    `cbor:"3,keyasint,omitempty"` // start time of the sender's process in Unix milliseconds
	Version    uint64    `cbor:"4,keyasint,omitempty"` // of a batch: the last handle; of a summary: its time
	Defs       []Def     `cbor:"5,keyasint,omitempty"`
	Renews     []Renewal `cbor:"6,keyasint,omitempty"`
	Loads      []Load    `cbor:"7,keyasint,omitempty"`
	Full       bool      `cbor:"8,keyasint,omitempty"`
	Seq        uint64    `cbor:"9,keyasint,omitempty"`
	Gone       *Gone     `cbor:"10,keyasint,omitempty"`
	DataCentre string    `cbor:"11,keyasint,omitempty"`
	Region     string    `cbor:"12,keyasint,omitempty"`
	Pools      []Pool    `cbor:"13,keyasint,omitempty"`
	Root       string    `cbor:"14,keyasint,omitempty"`
}

// maxMessage bounds a decoded message; a full batch of 500 upstreams of one node is below it.
const maxMessage = 256 << 10

// Encode returns the CBOR form of a message.
func Encode(m Message) ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a message. It fails for messages above 256 KiB and for malformed ones.
func Decode(b []byte) (Message, error) { return codec.Decode[Message](b, maxMessage, "relay message") }
