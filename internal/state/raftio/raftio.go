// Package raftio sends and receives Raft messages over the peer hub. It maps member ids, which the Raft machine uses, to peer
// addresses.
//
// Usage:
//
//	p := raftio.New(address, hub, events)
//	p.SetAddresses(members...)
//	raftd.New(raftd.Config{Transport: p, ...})
//	msg, err := p.Decode(body) // body of a peer.KindRaft message
//	node.Receive(msg)
package raftio

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/state/raft"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Transport sends the Raft messages of one member. Its methods may be called from any goroutine.
type Transport struct {
	localAddress string // peer address
	hub          *peer.Hub
	events       *event.Log

	mu        sync.Mutex
	addresses map[string]string // peer address by member id
}

// envelope is the encoded form of a message. It carries the sender's address, which a newly added member does not know yet.
type envelope struct {
	Address string       `cbor:"1,keyasint"`
	Raft    raft.Message `cbor:"2,keyasint"`
}

// New returns the transport of the member with the given peer address.
func New(self string, hub *peer.Hub, events *event.Log) *Transport {
	return &Transport{localAddress: self, hub: hub, events: events, addresses: map[string]string{}}
}

// SetAddresses records the addresses of members; members without an address are ignored.
func (p *Transport) SetAddresses(members ...raft.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		if m.Address != "" {
			p.addresses[m.ID] = m.Address
		}
	}
}

// Send implements raftd.Transport. A message to a member with an unknown address is dropped.
func (p *Transport) Send(to string, msg raft.Message) {
	p.mu.Lock()
	address := p.addresses[to]
	p.mu.Unlock()
	if address == "" {
		return
	}
	body, err := cbor.Marshal(envelope{p.localAddress, msg})
	if err != nil { // cannot happen: messages contain only plain values
		panic(err)
	}
	p.hub.Send(address, peer.KindRaft, body)
}

// Decode decodes a message, and records the address of its sender if it is unknown. A decoding error is logged and returned.
func (p *Transport) Decode(body []byte) (raft.Message, error) {
	var m envelope
	if err := decMode.Unmarshal(body, &m); err != nil {
		p.events.Emit(event.PeerMessageRefused, event.F("peer", "control"), event.F("reason", err))
		return raft.Message{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addresses[m.Raft.From] == "" {
		p.addresses[m.Raft.From] = m.Address
	}
	return m.Raft, nil
}

// decMode bounds the memory that the decoder allocates for a message. A message to a member that lags can contain more small
// entries than package codec allows.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 17, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()
