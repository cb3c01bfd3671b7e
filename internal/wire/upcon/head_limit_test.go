package upcon

import (
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/test/rawup"
)

// tooMuch is more than a bounded reader and the buffers of two sockets take, in bytes.
const tooMuch = 64 << 20

// pour writes a text over and over, until the other side closes or too much was taken, and counts the bytes.
func pour(c *rawup.Conn, text string, count *atomic.Int64) {
	for count.Load() < tooMuch {
		n, err := c.Write([]byte(text))
		count.Add(int64(n))
		if err != nil {
			break
		}
	}
	c.End()
}

// Guards against an upstream in trouble whose answer's head does not end: it would fill the memory of the node, whose process is
// then ended with all requests on it.
func TestAHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, start := range map[string]string{"a field": "HTTP/1.1 200 OK\r\nX-Fill: ", "fields": "HTTP/1.1 200 OK\r\n", "no head": ""} {
		text := strings.Repeat("a", 64<<10)
		if name == "fields" {
			text = strings.Repeat("X-Fill: aaaaaaaa\r\n", 4<<10)
		}
		var count atomic.Int64
		up := rawup.New(t, func(c *rawup.Conn, _ *rawup.Request) {
			c.WriteString(start)
			pour(c, text, &count)
		})
		_, err := send(t, newPool(), request(up.Address, "a"))
		assert.Assert(t, errors.Is(err, ErrHeadTooLarge), "%s: %v", name, err)
		assert.Equal(t, outcome(t, err), MaybeRan)
		assert.Assert(t, count.Load() < tooMuch, "%s: %d bytes were taken", name, count.Load())
	}
}
