package upcon

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/wire/memory"
)

// How a scripted connection ends after its bytes.
const (
	closes  = iota
	resets  // the reader sees the reset
	stays   // open until the request's context ends, which happens once all bytes are read
	endings // number of the above
)

// What becomes of the request's body.
const (
	written    = iota // at once
	late              // written after the answer has ended
	resetWrite        // in progress until the answer has ended; then the writer sees the reset, and the reader an ordinary end
	blocked           // in progress until the request's context ends, which happens once all bytes are read
	uploads           // number of the above
)

// scripted is the connection of an upstream that sends the given bytes in pieces.
type scripted struct {
	in             []byte
	piece          int
	ending, upload int
	cancel         func() // ends the request's context

	headWritten bool // by the goroutine that sends the request
	ended       chan struct{}
	endOnce     sync.Once
	closed      chan struct{}
	closeOnce   sync.Once
}

func (c *scripted) Read(p []byte) (int, error) {
	if len(c.in) > 0 {
		n := copy(p[:min(len(p), c.piece)], c.in)
		c.in = c.in[n:]
		return n, nil
	}
	c.endOnce.Do(func() { close(c.ended) })
	if c.ending == stays || c.upload == blocked {
		c.cancel()
	}
	switch c.ending {
	case resets:
		return 0, syscall.ECONNRESET
	case stays:
		<-c.closed
		return 0, net.ErrClosed
	}
	return 0, io.EOF
}

func (c *scripted) Write(p []byte) (int, error) {
	if !c.headWritten { // settled before the body is written by another goroutine
		c.headWritten = true
		return len(p), nil
	}
	if c.upload == written {
		return len(p), nil
	}
	ended := c.ended
	if c.upload == blocked {
		ended = nil
	}
	select {
	case <-ended:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if c.upload == late {
		return len(p), nil
	}
	return 0, syscall.ECONNRESET
}

func (c *scripted) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

func (*scripted) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*scripted) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*scripted) SetDeadline(time.Time) error      { return nil }
func (*scripted) SetReadDeadline(time.Time) error  { return nil }
func (*scripted) SetWriteDeadline(time.Time) error { return nil }

// expected is what the bytes of an upstream justify.
type expected struct {
	answer bool // there is one
	whole  bool
	framed bool // the bytes alone say where it ends
	close  bool
	body   string
}

// judge reads the bytes with net/http and decides on its own about what net/http does not: statuses, the end of the connection, and
// chunks that HTTP/1.0 does not have.
func judge(data []byte, method string, ending, upload int) (e expected) {
	left := bytes.NewReader(data)
	br := bufio.NewReader(left)
	for {
		start := len(data) - left.Len() - br.Buffered()
		hr, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil || hr.StatusCode < 100 || hr.StatusCode > 599 || hr.StatusCode == http.StatusSwitchingProtocols {
			return expected{}
		}
		if !hr.ProtoAtLeast(1, 1) && announcesChunks(data[start:len(data)-left.Len()-br.Buffered()]) {
			return expected{}
		}
		if hr.StatusCode < 200 {
			continue
		}
		if hr.Header.Get("Request-Id") != "a" {
			return expected{}
		}
		body, err := io.ReadAll(hr.Body)
		e = expected{answer: true, whole: err == nil, framed: method == http.MethodHead || hr.ContentLength >= 0 || len(hr.TransferEncoding) > 0, close: hr.Close, body: string(body)}
		if !e.framed {
			e.whole = e.whole && ending == closes && (upload == written || upload == late)
		}
		return e
	}
}

func announcesChunks(head []byte) bool {
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	return err == nil && len(h["Transfer-Encoding"]) > 0
}

// FuzzAnswer guards against bytes of an upstream that crash or block the process, that make a part of an answer count as whole, whose
// connection is used again although the next answer on it might be another request's, or whose memory or connection stays in the account.
func FuzzAnswer(f *testing.F) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
	for i, s := range []string{
		head + "Content-Length: 4\r\n\r\npart", head + "Content-Length: 5\r\n\r\npart", head + "\r\npart", head + "Connection: close\r\n\r\npart",
		"HTTP/1.0 200 OK\r\nRequest-Id: a\r\n\r\npart",
		head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		head + "Transfer-Encoding: chunked\r\nContent-Length: 40\r\nTrailer: T\r\n\r\n4\r\npart\r\n0\r\nT: u\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.0 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"HTTP/1.0 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n4\r\npart\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nRequest-Id: a\r\nContent-Length: 4\r\n\r\npart", "HTTP/1.1 304 Not Modified\r\nRequest-Id: a\r\n\r\npart",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nRequest-Id: a\r\n\r\npart", "HTTP/1.1 000 \r\nRequest-Id: a\r\n\r\npart",
		"HTTP/1.1 600 \r\nRequest-Id: a\r\n\r\npart", "HTTP/1.1 +20 \r\nRequest-Id: a\r\n\r\npart", "\x00\r\n\r\n", "",
		head + "Content-Length: 4\r\nContent-Length: 4\r\n\r\npart", head + "Content-Length: 4, 4\r\n\r\npart", head + " folded\r\nContent-Length: 4\r\n\r\npart",
	} {
		for ending := range endings {
			f.Add([]byte(s), uint16(4096), uint8(ending), uint8(i%uploads), false)
			f.Add([]byte(s), uint16(1+i), uint8(ending), uint8((i+ending)%uploads), i%5 == 0 || s == head+"\r\npart")
		}
	}
	long := bytes.Repeat([]byte("x"), asideBytes+1)
	f.Fuzz(func(t *testing.T, data []byte, piece uint16, ending, upload uint8, isHead bool) {
		if len(data) > maxHead {
			t.Skip("a head may be over its limit")
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		nc := &scripted{
			in: data, piece: max(int(piece), 1), ending: int(ending) % endings, upload: int(upload) % uploads, cancel: cancel,
			ended: make(chan struct{}), closed: make(chan struct{}),
		}
		account := memory.New(memory.Options{Clock: clock.Real(), Bytes: 64 << 20, Descriptors: 100})
		p := New(Options{Clock: clock.Real(), IDHeader: "Request-Id", Account: account})
		defer p.Close()
		h := p.host("up")
		in := &meter{from: nc, left: unlimited, held: account.Reserve(memory.Answer, nil)}
		h.open = 1
		account.Outgoing(1)
		defer func() {
			u := account.Usage()
			assert.Equal(t, u.Held, int64(0))
			assert.Equal(t, u.Outgoing, len(h.idle))
		}()
		h.idle = []*conn{{pool: p, host: h, address: "up", nc: nc, in: in, br: bufio.NewReaderSize(in, readBuffer), until: time.Now().Add(time.Hour)}}
		r := request("up", "a")
		r.Body = long
		if isHead {
			r.Method = http.MethodHead
		}
		want := judge(data, r.Method, nc.ending, nc.upload)
		resp, err := p.Send(ctx, r)
		if err != nil {
			assert.Assert(t, !want.whole, "%v", err)
			assert.Equal(t, outcome(t, err), MaybeRan)
			assert.Equal(t, h.open, 0)
			return
		}
		assert.Assert(t, want.answer, "status %d of %q counts as an answer", resp.Status, data)
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			assert.Assert(t, !want.whole, "%v", err)
			_, again := resp.Body.Read(make([]byte, 1))
			assert.Assert(t, !errors.Is(again, io.EOF), "after %v", err)
		} else {
			assert.Assert(t, want.whole, "%q of %q counts as whole", body, data)
			assert.Equal(t, string(body), want.body)
		}
		assert.NilError(t, resp.Body.Close())
		if len(h.idle) > 0 {
			assert.Assert(t, err == nil && want.framed && !want.close && nc.upload != resetWrite && nc.upload != blocked, "the connection is kept")
		}
		assert.Equal(t, h.open, len(h.idle))
	})
}
