package gwnode

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/conf"
)

// pipe is a caller's connection without a server: the test says what the server would.
type pipe struct {
	t      *testing.T
	clock  *clock.Fake
	caller net.Conn
	conn   *callerConn
}

func newPipe(t *testing.T, limits conf.Limits) *pipe {
	caller, server := net.Pipe()
	c := clock.NewFake(time.Now())
	p := &pipe{t, c, caller, &callerConn{
		Conn: server, listener: &callerListener{clock: c, limits: func() conf.Limits { return limits }},
	}}
	t.Cleanup(func() {
		caller.Close()
		server.Close()
	})
	p.conn.listener.connState(p.conn, http.StateNew)
	return p
}

// send lets the server read a byte of the caller.
func (p *pipe) send() {
	p.t.Helper()
	go func() { _, _ = p.caller.Write([]byte("G")) }()
	_, err := p.conn.Read(make([]byte, 1))
	assert.NilError(p.t, err)
}

// pending reports whether the server would close the connection some time.
func (p *pipe) pending() bool { return p.clock.Waiting() > 0 }

// awaitClosed waits until the server has closed the connection: it does so in a goroutine of its timer.
func (p *pipe) awaitClosed() {
	p.t.Helper()
	assert.NilError(p.t, p.caller.SetReadDeadline(time.Now().Add(patience)))
	_, err := p.caller.Read(make([]byte, 1))
	assert.Equal(p.t, err, io.EOF)
}

// Guards against a caller that sends a byte of its request now and then and keeps a connection for as long as it likes.
func TestACallerThatSendsItsHeadByteByByteIsCutOff(t *testing.T) {
	for name, begin := range map[string]func(*pipe){
		"on a new connection": func(*pipe) {},
		"on a kept one": func(p *pipe) {
			p.send()
			p.conn.listener.connState(p.conn, http.StateActive)
			p.conn.listener.connState(p.conn, http.StateIdle)
		},
	} {
		p := newPipe(t, conf.Limits{HeaderTime: 300, IdleTime: 5000})
		begin(p)
		for range 3 {
			p.send()
			p.clock.Advance(99 * time.Millisecond)
		}
		assert.Assert(t, p.pending(), "%s: closed before its time", name)
		p.clock.Advance(3 * time.Millisecond)
		p.awaitClosed()
	}
}

// Guards against sound connections that are cut: one that rests, and one whose request takes longer than a head may.
func TestSoundConnectionsOfCallersAreKept(t *testing.T) {
	p := newPipe(t, conf.Limits{HeaderTime: 200, IdleTime: 600})
	for range 3 {
		p.clock.Advance(599 * time.Millisecond) // unused
		assert.Assert(t, p.pending())
		p.send()
		p.clock.Advance(199 * time.Millisecond) // the head
		assert.Assert(t, p.pending())
		p.conn.listener.connState(p.conn, http.StateActive)
		assert.Assert(t, !p.pending(), "a request may take as long as its route allows")
		p.conn.listener.connState(p.conn, http.StateIdle)
	}
	p.clock.Advance(601 * time.Millisecond) // unused for longer than is allowed
	p.awaitClosed()
}

// Guards against limits that the server of callers does not apply.
func TestTheServerAppliesTheLimitOfHeads(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limits := conf.Limits{HeaderTime: 100, IdleTime: 3_600_000}
	callers := &callerListener{Listener: l, clock: clock.Real(), limits: func() conf.Limits { return limits }}
	s := &http.Server{ConnState: callers.connState}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(callers)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	_, err = io.WriteString(c, "GET / HT") // and no more
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(patience)))
	_, err = in.ReadByte()
	assert.Equal(t, err, io.EOF)
}
