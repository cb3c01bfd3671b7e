package proxy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/test/rawup"
)

// extraLines are streams with empty lines that end no event.
var extraLines = []string{
	"id: 1\ndata: a\n\n\nid: 2\ndata: b\n\n",
	"id: 1\r\ndata: a\r\n\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
	"id: 1\ndata: a\n\n\r\n\r\nid: 2\r\ndata: b\n\n\n\n",
	"\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\n",
	"id: 1\rdata: a\r\r\rid: 2\rdata: b\r\r",
	"id: 1\ndata: a\n\n: comment\n\n\n\n",
}

// Guards against a stream that stops for good, with a goroutine that never ends, when an upstream sends more empty
// lines than an event needs.
func TestExtraEmptyLinesAreForwarded(t *testing.T) {
	for _, body := range extraLines {
		for _, size := range []int{1, 3, len(body)} {
			t.Run(fmt.Sprintf("%q in chunks of %d", body, size), func(t *testing.T) {
				up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
					c.WriteString(streamHead(r.Header.Get("Berylledge-Request")))
					for _, part := range split(body, size) {
						c.WriteString(chunk(part))
					}
					c.WriteString("0\r\n\r\n")
				})
				s := newTestProxy(t, streamRoute(true), up)
				r := s.request("/x/", "id1")
				s.server.Client().Timeout = 5 * time.Second
				got := s.do(r)
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, body)
			})
		}
	}
}

// Guards against a complete stream that is taken for a truncated one, because an empty line follows its last event and
// only the end of the connection ends it.
func TestEmptyLineAtTheEndIsNotATruncatedEvent(t *testing.T) {
	body := events(1, 2) + "\n"
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString("HTTP/1.1 200 OK\r\nBerylledge-Request: " + r.Header.Get("Berylledge-Request") + "\r\n" + signed + "\r\n\r\n" + body)
		c.End()
	})
	s := newTestProxy(t, streamRoute(false), up)
	got := s.do(s.request("/x/", "id1"))
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, body)
	assert.Equal(t, len(up.Requests()), 1)
}

// Guards against events that are merged, lost or forwarded again when a stream with extra empty lines is resumed.
func TestStreamWithExtraEmptyLinesIsResumed(t *testing.T) {
	broke := false
	answer := func(c *rawup.Conn, r *rawup.Request) {
		head := streamHead(r.Header.Get("Berylledge-Request"))
		if !broke {
			broke = true
			c.WriteString(head + chunk("id: 1\ndata: x1\n\n\nid: 2\ndata: x2\n\n\nid: 3\nda"))
			c.End()
			return
		}
		c.WriteString(head + chunk("\n"+events(2, 3)) + "0\r\n\r\n")
	}
	s := newTestProxy(t, streamRoute(true), rawup.New(t, answer), rawup.New(t, answer))
	got := s.do(s.request("/x/", "id1"))
	assert.NilError(t, got.err)
	assert.Equal(t, strings.ReplaceAll(got.body, "\n\n\n", "\n\n"), events(1, 3))
}

// Guards against a division into events that depends on how the bytes arrive.
func TestEventsDoNotDependOnTheReads(t *testing.T) {
	rng := rand.New(rand.NewPCG(34, 3))
	const letters = "\n\r:ab"
	for range 2000 {
		data := make([]byte, rng.IntN(24))
		for i := range data {
			data[i] = letters[rng.IntN(len(letters))]
		}
		var forwarded, rest []byte
		for left := data; len(left) > 0; {
			n := min(1+rng.IntN(4), len(left))
			rest = append(rest, left[:n]...)
			left = left[n:]
			s := eventStream{}
			var taken []byte
			taken, rest = s.takeEvents(rest)
			forwarded = append(forwarded, taken...)
		}
		assert.Equal(t, string(forwarded)+string(rest), string(data))
		assert.Equal(t, eventLength(rest), 0, "%q of %q", rest, data)
	}
}

func split(text string, size int) []string {
	var out []string
	for len(text) > size {
		out = append(out, text[:size])
		text = text[size:]
	}
	return append(out, text)
}
