package raftio_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/state/raft"
	"github.com/berylledge/berylledge/internal/state/raftio"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// newMember returns the transport of a member, its address and the channel of messages that it receives.
func newMember(t *testing.T, id string) (*raftio.Transport, string, <-chan raft.Message) {
	t.Helper()
	events := event.New(event.Options{Node: id, Clock: clock.Real()})
	arrived := make(chan raft.Message, 9)
	var p *raftio.Transport
	ready := make(chan struct{})
	hub, err := peer.New(peer.Options{
		ID: id, Address: "127.0.0.1:0", Clock: clock.Real(), Events: events,
		Handle: func(_ context.Context, _ string, _ peer.Kind, body []byte) ([]byte, error) {
			<-ready
			msg, err := p.Decode(body)
			if err == nil {
				arrived <- msg
			}
			return nil, err
		},
	})
	assert.NilError(t, err)
	t.Cleanup(hub.Close)
	p = raftio.New(hub.Address(), hub, events)
	close(ready)
	return p, hub.Address(), arrived
}

func receiveNext(t *testing.T, arrived <-chan raft.Message) raft.Message {
	t.Helper()
	select {
	case msg := <-arrived:
		return msg
	case <-time.After(10 * time.Second):
		t.Fatal("no message")
		return raft.Message{}
	}
}

// Guards against a newly added member that cannot reply to its leader because it knows no address but its own.
func TestTheAddressOfASenderIsLearned(t *testing.T) {
	a, _, atA := newMember(t, "a")
	b, addressB, atB := newMember(t, "b")
	a.SetAddresses(raft.Member{ID: "b", Address: addressB}, raft.Member{ID: "c"})
	a.Send("c", raft.Message{From: "a", To: "c"}) // dropped: the address is unknown
	a.Send("b", raft.Message{From: "a", To: "b", Term: 7})
	assert.Equal(t, receiveNext(t, atB).Term, uint64(7))
	b.Send("a", raft.Message{From: "b", To: "a", Term: 8})
	assert.Equal(t, receiveNext(t, atA).Term, uint64(8))
}

// Guards against a malformed message that crashes a control node.
func TestMalformedMessagesAreRefused(t *testing.T) {
	p, _, _ := newMember(t, "a")
	for _, body := range [][]byte{nil, {0xff}, {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, []byte("text")} {
		_, err := p.Decode(body)
		assert.Assert(t, err != nil, "%x", body)
	}
}
