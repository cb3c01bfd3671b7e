package peer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/test/leak"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

func TestMain(m *testing.M) { leak.Verify(m) }

func hub(t *testing.T, id, address string, handle peer.Handler) (*peer.Hub, *event.Log) {
	t.Helper()
	events := event.New(event.Options{Node: id, Clock: clock.Real(), Keep: 64})
	h, err := peer.New(peer.Options{ID: id, Address: address, Clock: clock.Real(), Events: events, Handle: handle})
	assert.NilError(t, err)
	t.Cleanup(h.Close)
	return h, events
}

func ignore(context.Context, string, peer.Kind, []byte) ([]byte, error) { return nil, nil }

// Guards against messages that are reordered on one connection, and against answers that reach another question.
func TestMessagesArriveInOrderAndAnswersMatch(t *testing.T) {
	got := make(chan byte, 100)
	a, _ := hub(t, "a", "127.0.0.1:0", ignore)
	b, _ := hub(t, "b", "127.0.0.1:0", func(_ context.Context, _ string, kind peer.Kind, body []byte) ([]byte, error) {
		if kind == peer.KindMember {
			got <- body[0]
			return nil, nil
		}
		if body[0] == 99 {
			return nil, errors.New("no")
		}
		return []byte{body[0] + 1}, nil
	})
	for i := range byte(50) {
		a.Send(b.Address(), peer.KindMember, []byte{i})
	}
	for i := range byte(50) {
		assert.Equal(t, <-got, i)
	}
	for i := range byte(50) {
		reply, err := a.Call(context.Background(), b.Address(), peer.KindPropose, []byte{i})
		assert.NilError(t, err)
		assert.Equal(t, reply[0], i+1)
	}
	_, err := a.Call(context.Background(), b.Address(), peer.KindPropose, []byte{99})
	var remote *peer.RemoteError
	assert.Assert(t, errors.As(err, &remote))
}

// Guards against a hub that does not find a restarted peer again, and against a question to a dead peer that hangs.
func TestLinkRecoversAfterRestart(t *testing.T) {
	a, _ := hub(t, "a", "127.0.0.1:0", ignore)
	b, _ := hub(t, "b", "127.0.0.1:0", ignore)
	address := b.Address()
	_, err := a.Call(context.Background(), address, peer.KindStatus, nil)
	assert.NilError(t, err)
	b.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = a.Call(ctx, address, peer.KindStatus, nil)
	var link *peer.LinkError
	assert.Assert(t, errors.As(err, &link))
	hub(t, "b", address, ignore)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := a.Call(ctx, address, peer.KindStatus, nil); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithDelay(20*time.Millisecond))
}

// Guards against a process that takes messages which are malformed, of another version, or from a browser.
func TestBadMessagesAreRefused(t *testing.T) {
	h, events := hub(t, "a", "127.0.0.1:0", func(context.Context, string, peer.Kind, []byte) ([]byte, error) {
		t.Error("a bad message was handled")
		return nil, nil
	})
	url := "ws://" + h.Address() + "/v1/peer"
	for _, bad := range [][]byte{[]byte("not cbor"), {0xa1, 0x01, 0x18, 0x63}} {
		c, resp, err := websocket.DefaultDialer.Dial(url, nil)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.NilError(t, c.WriteMessage(websocket.BinaryMessage, bad))
		_, _, err = c.ReadMessage()
		assert.Assert(t, err != nil)
		c.Close()
	}
	assert.Equal(t, len(events.Select(event.Filter{Name: "peer_message_refused"})), 2)
	_, resp, err := websocket.DefaultDialer.Dial(url, http.Header{"Origin": {"http://example.org"}})
	assert.Assert(t, err != nil)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusForbidden)
}

func FuzzDecode(f *testing.F) {
	h, err := peer.New(peer.Options{
		ID: "f", Address: "127.0.0.1:0", Clock: clock.Real(),
		Events: event.New(event.Options{Clock: clock.Real(), Keep: 1}), Handle: ignore,
	})
	if err != nil {
		f.Fatal(err)
	}
	defer h.Close()
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := h.Decode(data)
		if err == nil && e.Version != peer.Version {
			t.Fatalf("version %d was taken", e.Version)
		}
	})
}

// Guards against messages that are lost without a trace because the other process is gone.
func TestDroppedMessagesAreCounted(t *testing.T) {
	gone, _ := hub(t, "gone", "127.0.0.1:0", ignore)
	gone.Close()
	h, _ := hub(t, "a", "127.0.0.1:0", ignore)
	h.Send(gone.Address(), peer.KindMember, []byte{1})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := h.Counters().Dropped; n != 1 {
			return poll.Continue("%d messages are counted", n)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// Guards against messages that go on into a connection that has gone silent: the other side reads, and never answers a ping.
func TestASilentConnectionIsGivenUp(t *testing.T) {
	t.Parallel()
	conns := make(chan bool, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		up := websocket.Upgrader{}
		c, err := up.Upgrade(w, r, nil)
		if err != nil {
			return
		}
		defer c.Close()
		conns <- true
		c.SetPingHandler(func(string) error { return nil })
		for {
			if _, _, err := c.ReadMessage(); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	h, _ := hub(t, "a", "127.0.0.1:0", ignore)
	poll.WaitOn(t, func(poll.LogT) poll.Result { // sends until a second connection is made
		h.Send(server.Listener.Addr().String(), peer.KindMember, []byte{1})
		if len(conns) < 2 {
			return poll.Continue("the silent connection is still in use")
		}
		return poll.Success()
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(30*time.Second))
}

// Guards against one message that takes a whole process down, with all that it serves.
func TestAHandlerThatPanicsEndsItsMessageOnly(t *testing.T) {
	b, events := hub(t, "b", "127.0.0.1:0", func(_ context.Context, _ string, kind peer.Kind, body []byte) ([]byte, error) {
		if kind == peer.KindCrash {
			var none []byte
			_ = none[len(body)]
		}
		return body, nil
	})
	a, _ := hub(t, "a", "127.0.0.1:0", ignore)
	a.Send(b.Address(), peer.KindCrash, []byte{1})
	_, err := a.Call(t.Context(), b.Address(), peer.KindCrash, []byte{1})
	var remote *peer.RemoteError
	assert.Assert(t, errors.As(err, &remote), "%v", err)
	reply, err := a.Call(t.Context(), b.Address(), peer.KindStatus, []byte{7})
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, []byte{7})
	assert.Equal(t, len(events.Select(event.Filter{Name: "peer_handler_failed"})), 2)
}
