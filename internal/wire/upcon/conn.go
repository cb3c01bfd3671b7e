package upcon

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/wire/memory"
)

// conn is one connection. It belongs to one request at a time.
type conn struct {
	pool    *Pool
	host    *host
	address string
	nc      net.Conn
	in      *meter // between nc and br
	br      *bufio.Reader
	until   time.Time // when it may no longer be used
	stop    func() bool
	wrote   bool // a byte of the present request was written
	written chan error
	once    sync.Once
}

func (c *conn) close() {
	c.once.Do(func() {
		_ = c.nc.Close()
		c.in.held.Release()
		c.pool.leave(c.host)
	})
}

// abort ends a request whose context has ended. It only closes the socket, which makes the reader and writer return.
func (c *conn) abort() { _ = c.nc.Close() }

// clean reports whether nothing has arrived on an idle connection and it is open.
func (c *conn) clean() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		idle = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// exchange writes the request and reads the head of the answer.
func (c *conn) exchange(r Request, idHeader string) (*Response, error) {
	c.wrote, c.written = false, make(chan error, 1)
	head, payload := encodeHead(r), encodeBody(r)
	if len(payload) <= asideBytes {
		c.written <- c.write(append(head, payload...))
	} else {
		// The head goes out here, so that wrote is settled before the answer is awaited.
		if err := c.write(head); err != nil {
			c.written <- err
		} else {
			body, written, held := payload, c.written, r.Held
			go func() { written <- c.writeBody(body, held) }()
		}
	}
	if !c.wrote {
		return nil, <-c.written
	}
	hr, err := c.readHead(r.Method)
	if err != nil {
		return nil, err
	}
	if r.ID != "" && hr.Header.Get(idHeader) != r.ID {
		return nil, ErrForeign
	}
	resp := &Response{Status: hr.StatusCode, Header: hr.Header, Length: hr.ContentLength, head: hr}
	resp.Unframed = hr.ContentLength < 0 && len(hr.TransferEncoding) == 0 && r.Method != http.MethodHead // HEAD: there is no body
	resp.Body = &body{c: c, in: hr.Body, reusable: !hr.Close && !resp.Unframed, unframed: resp.Unframed, keep: keepFor(hr.Header, c.pool.o.IdleFor), hold: r.Hold}
	return resp, nil
}

const (
	// bodyPiece is written at a time, so that an upstream that takes nothing shows.
	bodyPiece = 64 << 10
	// stalledAfter is how long an upstream may take nothing before its body yields to others.
	stalledAfter = 2 * time.Second
)

// writeBody writes a body. While the upstream does not take it, it yields the memory that is held for it.
func (c *conn) writeBody(body []byte, held *memory.Reservation) error {
	for len(body) > 0 {
		held.Stall(stalledAfter, c.abort)
		n, err := c.nc.Write(body[:min(len(body), bodyPiece)])
		if !held.Arrived() {
			return ErrStalled
		}
		if err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

func (c *conn) write(data []byte) error {
	n, err := c.nc.Write(data)
	c.wrote = n > 0
	return err
}

// readHead reads the head of an answer and skips informational ones before it. All of them together are bounded: a faulty upstream
// may send bytes without end.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.in.begin(maxHead)
	defer c.in.end()
	for {
		if err := c.copyOldHead(); err != nil {
			return nil, err
		}
		hr, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if !hr.ProtoAtLeast(1, 1) && c.announcedChunks() {
			return nil, ErrFraming
		}
		switch status := hr.StatusCode; {
		case status < http.StatusContinue || status == http.StatusSwitchingProtocols || status > maxStatus:
			return nil, ErrStatus // what follows is not known to be an answer
		case status >= http.StatusOK:
			return hr, nil
		}
	}
}

// copyOldHead makes a copy of the head that follows, unless it is one of HTTP/1.1. It waits for the first byte only, so that a head
// that is not one is refused at once.
func (c *conn) copyOldHead() error {
	c.in.copied = nil
	if _, err := c.br.Peek(1); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	buffered, _ := c.br.Peek(c.br.Buffered()) // cannot fail
	if !bytes.HasPrefix(buffered, []byte("HTTP/1.1")) {
		c.in.copied = bytes.NewBuffer(bytes.Clone(buffered))
	}
	return nil
}

// announcedChunks reports whether the head that was copied has a Transfer-Encoding. net/http removes the field from answers of
// HTTP/1.0, which has no chunks, and takes the chunks with their sizes for a body that the end of the connection ends.
func (c *conn) announcedChunks() bool {
	head := c.in.copied.Bytes()
	_, fields, _ := bytes.Cut(head[:len(head)-c.br.Buffered()], []byte("\n"))
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	return err != nil || len(h["Transfer-Encoding"]) > 0
}

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599
