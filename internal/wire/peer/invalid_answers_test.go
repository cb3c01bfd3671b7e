package peer_test

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/websocket"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/test/rawup"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// ask sends a question.
func ask(t *testing.T, address string, body []byte) ([]byte, error) {
	t.Helper()
	a, _ := hub(t, "a", "127.0.0.1:0", ignore)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // well above the times after which a connection is given up
	defer cancel()
	return a.Call(ctx, address, peer.KindPropose, body)
}

// assertNoAnswer checks that a question failed, that it may have been handled, and that it was not held.
func assertNoAnswer(t *testing.T, got []byte, err error) {
	t.Helper()
	var link *peer.LinkError
	assert.Assert(t, errors.As(err, &link), "%q, %v", got, err)
	assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "the question is held")
	assert.Assert(t, !link.NotSent)
}

// Guards against a handshake with an invalid status that is taken for a connection, or that holds a question.
func TestInvalidHandshakeIsNoConnection(t *testing.T) {
	for _, status := range []string{"000 ", "99 ", "101 Switching Protocols", "200 OK", "204 No Content", "600 ", "1000 ", "abc "} {
		up := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
			c.WriteString("HTTP/1.1 " + status + "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: x\r\nContent-Length: 2\r\n\r\nok")
			c.Await() // the connection stays open
			c.End()
		})
		got, err := ask(t, up.Address, []byte("body"))
		assertNoAnswer(t, got, err)
		assert.Assert(t, len(up.Requests()) > 0, status)
	}
}

// Guards against a part of an answer that counts as whole, and against one that holds its question: the answer is whole as CBOR, but the
// frame or the message is not, or the question is still being written.
func TestPartOfAnAnswerIsNotWhole(t *testing.T) {
	const final, continued, binaryFrame = 0x80, 0, 0x2
	frame := func(bits byte, length int, payload []byte) []byte {
		head := []byte{bits | binaryFrame, 126, 0, 0}
		binary.BigEndian.PutUint16(head[2:], uint16(length))
		return append(head, payload...)
	}
	for name, c := range map[string]struct {
		cut   func(answer []byte) []byte
		reset bool
		long  bool // the question is not read
		whole bool
	}{
		"whole":                     {cut: func(a []byte) []byte { return frame(final, len(a), a) }, whole: true}, // shows that the others fail for the cut alone
		"cut frame, closed":         {cut: func(a []byte) []byte { return frame(final, len(a)+1, a) }},
		"cut frame, reset":          {cut: func(a []byte) []byte { return frame(final, len(a)+1, a) }, reset: true},
		"first fragment, closed":    {cut: func(a []byte) []byte { return frame(continued, len(a), a) }},
		"first fragment, reset":     {cut: func(a []byte) []byte { return frame(continued, len(a), a) }, reset: true},
		"cut frame, long question":  {cut: func(a []byte) []byte { return frame(final, len(a)+1, a) }, reset: true, long: true},
		"fragment, then the end":    {cut: func(a []byte) []byte { return append(frame(continued, len(a), a), 0x88, 0) }},
		"fragment, then not a part": {cut: func(a []byte) []byte { return append(frame(continued, len(a), a), frame(final, len(a), a)...) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				ws, err := (&websocket.Upgrader{}).Upgrade(w, r, nil)
				if err != nil {
					return
				}
				question := peer.Envelope{Call: 1} // the first of a hub
				if !c.long {
					if _, data, err := ws.ReadMessage(); err == nil {
						_ = cbor.Unmarshal(data, &question)
					}
				}
				question.Version, question.Kind, question.Body = peer.Version, peer.KindReply, []byte("part")
				answer, err := cbor.Marshal(question)
				if err != nil {
					t.Error(err)
				}
				raw := ws.NetConn()
				_, _ = raw.Write(c.cut(answer))
				if tcp, ok := raw.(*net.TCPConn); ok && c.reset {
					time.Sleep(20 * time.Millisecond) // the part is read before the reset would discard it
					_ = tcp.SetLinger(0)
				}
				_ = raw.Close()
			}))
			t.Cleanup(s.Close)
			body := []byte("body")
			if c.long {
				body = []byte(strings.Repeat("x", 12<<20)) // more than the socket buffers hold
			}
			got, err := ask(t, strings.TrimPrefix(s.URL, "http://"), body)
			if c.whole {
				assert.NilError(t, err)
				assert.Equal(t, string(got), "part")
				return
			}
			assertNoAnswer(t, got, err)
		})
	}
}
