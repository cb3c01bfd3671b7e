// Package raftio carries the consensus messages of a group's member over the peer hub. It knows the addresses of the members, which
// the machine knows by id only.
//
// Usage:
//
//	p := raftio.New(address, hub, events)
//	p.Learn(members)
//	raftd.New(raftd.Config{Transport: p, ...})
//	msg, err := p.Decode(body) // of a message of peer.KindRaft
//	node.Receive(msg)
package raftio

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/state/raft"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Transport is the transport of one member. Its methods may be called from any goroutine.
type Transport struct {
	self   string // peer address
	hub    *peer.Hub
	events *event.Log

	mu      sync.Mutex
	address map[string]string // peer address by member id
}

// message is what travels. A member that was just added does not know its sender's address.
type message struct {
	Address string       `cbor:"1,keyasint"`
	Raft    raft.Message `cbor:"2,keyasint"`
}

// New returns the transport of the member at this peer address.
func New(self string, hub *peer.Hub, events *event.Log) *Transport {
	return &Transport{self: self, hub: hub, events: events, address: map[string]string{}}
}

// SetAddresses keeps the addresses of members; those without one are left out.
func (p *Transport) SetAddresses(members ...raft.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		if m.Address != "" {
			p.address[m.ID] = m.Address
		}
	}
}

// Send implements raftd.Transport. A message to a member whose address is not known is lost.
func (p *Transport) Send(to string, msg raft.Message) {
	p.mu.Lock()
	address := p.address[to]
	p.mu.Unlock()
	if address == "" {
		return
	}
	body, err := cbor.Marshal(message{p.self, msg})
	if err != nil { // messages of the machine hold plain values only
		panic(err)
	}
	p.hub.Send(address, peer.KindRaft, body)
}

// Decode returns the message in a body, and keeps the address of a sender that was not known. A body that cannot be decoded is
// logged.
func (p *Transport) Decode(body []byte) (raft.Message, error) {
	var m message
	if err := decMode.Unmarshal(body, &m); err != nil {
		p.events.Emit(event.PeerMessageRefused, event.F("peer", "control"), event.F("reason", err))
		return raft.Message{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address[m.Raft.From] == "" {
		p.address[m.Raft.From] = m.Address
	}
	return m.Raft, nil
}

// decMode bounds what a message makes the decoder allocate. One message carries many small entries to a member that lags, more items
// than package codec allows.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 17, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()
