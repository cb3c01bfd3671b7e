package gated

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/conf"
)

// serveCallers starts a server with limits and returns its address.
func serveCallers(t *testing.T, limits conf.Limits, handler http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: handler, ConnState: connState}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(&callerListener{Listener: l, clock: clock.Real(), limits: func() conf.Limits { return limits }})
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return l.Addr().String()
}

// closedWithin reports how long the server leaves a connection open, at most a time.
func closedWithin(t *testing.T, c net.Conn, most time.Duration) (time.Duration, bool) {
	t.Helper()
	began := time.Now()
	assert.NilError(t, c.SetReadDeadline(began.Add(most)))
	_, err := io.Copy(io.Discard, c)
	timeout, ok := err.(net.Error)
	return time.Since(began), !ok || !timeout.Timeout()
}

// Guards against a caller that sends a byte of its request now and then and keeps a connection for as long as it likes.
func TestACallerThatSendsItsHeadByteByByteIsCutOff(t *testing.T) {
	t.Parallel()
	address := serveCallers(t, conf.Limits{HeaderTime: 300, IdleTime: 5000}, func(http.ResponseWriter, *http.Request) {})
	for _, first := range []string{"", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"} { // on a new connection, and on a kept one
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, first)
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for range 100 {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					_, _ = io.WriteString(c, "G")
				}
			}
		}()
		took, closed := closedWithin(t, c, 2*time.Second)
		assert.Assert(t, closed, "after %s", took)
	}
}

// Guards against sound connections that are cut: one that rests, and one whose request takes longer than a head may.
func TestSoundConnectionsOfCallersAreKept(t *testing.T) {
	t.Parallel()
	address := serveCallers(t, conf.Limits{HeaderTime: 200, IdleTime: 600}, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(400 * time.Millisecond)
		fmt.Fprint(w, "ok")
	})
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	answer := make([]byte, 1024)
	for range 2 {
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		n, err := c.Read(answer)
		assert.NilError(t, err)
		assert.Equal(t, string(answer[:15]), "HTTP/1.1 200 OK", "%d", n)
		time.Sleep(400 * time.Millisecond) // longer than a head may take, shorter than a connection may rest
	}
	took, closed := closedWithin(t, c, 3*time.Second)
	assert.Assert(t, closed && took < time.Second, "unused for %s", took)
}
