package peer_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/wire/memory"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// A message is whole and being handled when the memory is used up. Guards against a message that is cut then: that frees nothing, but ends
// the connection and with it all questions that wait for answers there.
func TestWholeMessagesDoNotYield(t *testing.T) {
	account := memory.New(memory.Options{Clock: clock.Real(), Bytes: 1_000_000})
	arrived, handled := make(chan bool), make(chan bool)
	b, err := peer.New(peer.Options{
		ID: "b", Address: "127.0.0.1:0", Clock: clock.Real(), Events: event.New(event.Options{Node: "b", Clock: clock.Real()}), Account: account,
		Handle: func(context.Context, string, peer.Kind, []byte) ([]byte, error) {
			arrived <- true
			<-handled
			return nil, nil
		},
	})
	assert.NilError(t, err)
	t.Cleanup(b.Close)
	a, _ := hub(t, "a", "127.0.0.1:0", ignore)
	a.Send(b.Address(), peer.KindMember, make([]byte, 100_000))
	<-arrived
	other := account.Reserve(memory.Body, nil)
	assert.Check(t, !other.Cover(740_000))
	other.Release()
	for _, k := range account.Usage().Kinds {
		assert.Check(t, k.Cuts == 0, "%v", k)
	}
	close(handled)
}
