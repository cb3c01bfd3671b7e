package httpd

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/wire/memory"
)

// script is a connection whose bytes arrive in pieces of one size and which ends after them.
type script struct {
	mu     sync.Mutex
	in     []byte
	piece  int
	out    bytes.Buffer
	closed chan struct{}
	once   sync.Once
}

func (c *script) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.in) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.piece)], c.in)
	c.in = c.in[n:]
	return n, nil
}

func (c *script) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out.Write(p)
}

func (c *script) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (*script) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*script) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*script) SetDeadline(time.Time) error      { return nil }
func (*script) SetReadDeadline(time.Time) error  { return nil }
func (*script) SetWriteDeadline(time.Time) error { return nil }

// onlyConn is a listener with one connection.
type onlyConn struct {
	conn net.Conn
	once sync.Once
	done chan struct{}
}

func (l *onlyConn) Accept() (c net.Conn, err error) {
	l.once.Do(func() { c = l.conn })
	if c == nil {
		<-l.done
		return nil, net.ErrClosed
	}
	return c, nil
}

func (*onlyConn) Close() error   { return nil }
func (*onlyConn) Addr() net.Addr { return &net.TCPAddr{} }

// serveScript serves the bytes and returns the requests as the handler saw them. With guard nil there is none.
func serveScript(data []byte, piece int, guard *Guard) (seen, out string) {
	c := &script{in: data, piece: piece, closed: make(chan struct{})}
	var list strings.Builder
	s := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if guard != nil {
			counted, release := guard.countBody(w, r)
			defer release()
			r = counted
		}
		body, err := io.ReadAll(r.Body)
		fmt.Fprintf(&list, "%s %s %s %v %q %v\n", r.Method, r.RequestURI, r.Host, r.Header, body, err)
		w.Header()["Date"] = nil
	})}
	only := &onlyConn{conn: c, done: make(chan struct{})}
	l := net.Listener(only)
	if guard != nil {
		l, s.ConnState = guard.Listen(l), guard.ConnState
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	<-c.closed
	close(only.done)
	<-ended
	_ = s.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return list.String(), c.out.String()
}

// FuzzRequest guards against heads and bodies that the guard changes or refuses without need: with and without it, the handler sees the
// same requests, whatever their lines, and nothing stays in the account.
func FuzzRequest(f *testing.F) {
	head := "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
	for _, s := range []string{
		head + "\r\nabc" + head + "\r\n\n\n\n", "\r\n\r\n" + head + "\r\nabc", head + "\r\nabc\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
		head + strings.Repeat("a:\r\n", 1500) + "\r\nabc", head + "x: y\r\n z\r\n\tw\r\n\r\nab",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n3\r\nabc\r\n0\r\nT: u\r\n\r\nGET /b HTTP/1.0\n\n",
		"GET / HTTP/1.1\nHost: x\n\n", "\x00\xff\r\n", head + strings.Repeat("\n", 3000), "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a", 9000),
	} {
		f.Add([]byte(s), uint16(4096))
		f.Add([]byte(s), uint16(1))
	}
	f.Fuzz(func(t *testing.T, data []byte, piece uint16) {
		if len(data) > 64<<10 {
			t.Skip("larger than what net/http reads ahead by far")
		}
		size := max(int(piece), 1)
		account := memory.New(memory.Options{Clock: clock.Real(), Bytes: 64 << 20, Descriptors: 100})
		var mu sync.Mutex
		var limits []string
		guard := &Guard{Clock: clock.Real(), Account: account, Refused: func(r Refusal) {
			mu.Lock()
			defer mu.Unlock()
			limits = append(limits, r.Limit)
		}}
		seen, out := serveScript(data, size, guard)
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, len(limits), 0, "refused without need: %v", limits)
		// The guard passes over a few line ends before the first request, where net/http refuses them.
		first := data[:min(len(data), maxEmptyBytes)]
		passed := len(first) - len(bytes.TrimLeft(first, "\r\n"))
		wantSeen, wantOut := serveScript(data[passed:], size, nil)
		assert.Equal(t, seen, wantSeen)
		assert.Equal(t, out, wantOut)
		u := account.Usage()
		assert.Assert(t, u.Held == 0 && u.Open == 0 && u.Busy == 0, "%+v", u)
	})
}
