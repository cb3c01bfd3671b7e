// Package rawup is a stand-in upstream whose answers are given byte for byte, so that tests can break the protocol in each
// way in which a faulty upstream does.
//
// Usage:
//
//	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
//		c.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
//	})
//	up.Address      // where it listens
//	up.Requests()   // what it has read so far
package rawup

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Request is a request that was read whole.
type Request struct {
	*http.Request
	Body []byte
	Conn int // number of the connection, from 1
}

// Conn is the connection of a request.
type Conn struct {
	net.Conn
	in     *bufio.Reader
	closed bool
}

// Await waits until the other side sends more bytes, which are not consumed, or ends the connection; a read deadline bounds it.
func (c *Conn) Await() { _, _ = c.in.Peek(1) }

// WriteString sends bytes as they are. An error shows in what the other side sees.
func (c *Conn) WriteString(text string) { _, _ = io.WriteString(c.Conn, text) }

// End closes the connection.
func (c *Conn) End() {
	c.closed = true
	_ = c.Close()
}

// Reset closes the connection so that the other side sees a reset.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.End()
}

// Upstream is a running stand-in.
type Upstream struct {
	Address  string
	listener net.Listener
	answer   func(*Conn, *Request)
	wg       sync.WaitGroup

	mu       sync.Mutex
	requests []*Request
	conns    map[net.Conn]bool
	opened   int
}

// New starts a stand-in that ends with the test. answer is called for each request, one at a time on a connection.
func New(t testing.TB, answer func(*Conn, *Request)) *Upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &Upstream{Address: l.Addr().String(), listener: l, answer: answer, conns: map[net.Conn]bool{}}
	u.wg.Go(u.accept)
	t.Cleanup(u.Close)
	return u
}

// Close ends the stand-in and its connections.
func (u *Upstream) Close() {
	_ = u.listener.Close()
	u.mu.Lock()
	for c := range u.conns {
		_ = c.Close()
	}
	u.mu.Unlock()
	u.wg.Wait()
}

// Requests returns what was read so far.
func (u *Upstream) Requests() []*Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*Request(nil), u.requests...)
}

func (u *Upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.opened++
		number := u.opened
		u.conns[c] = true
		u.mu.Unlock()
		u.wg.Go(func() { u.serve(c, number) })
	}
}

func (u *Upstream) serve(c net.Conn, number int) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		hr, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(hr.Body)
		if err != nil {
			return
		}
		r := &Request{hr, body, number}
		u.mu.Lock()
		u.requests = append(u.requests, r)
		u.mu.Unlock()
		conn := &Conn{Conn: c, in: br}
		u.answer(conn, r)
		if conn.closed {
			return
		}
	}
}
