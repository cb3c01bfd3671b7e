package peer

import (
	"context"
	"sync"

	"github.com/gorilla/websocket"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// outgoing is an encoded message that waits to be written.
type outgoing struct {
	kind Kind
	data []byte
}

// link is the outgoing side to one address: a queue, a goroutine that dials and writes, and one that reads answers.
type link struct {
	hub     *Hub
	address string
	out     chan outgoing
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	closed  bool
	failing bool // the last dial failed
	number  uint64
	answers map[uint64]chan Envelope
}

// link returns the link to an address and starts it if there is none; nil after Close.
func (h *Hub) link(address string) *link {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return nil
	}
	if l := h.links[address]; l != nil {
		return l
	}
	l := &link{hub: h, address: address, out: make(chan outgoing, queueLength), answers: map[uint64]chan Envelope{}}
	l.ctx, l.cancel = context.WithCancel(h.ctx)
	h.links[address] = l
	h.wg.Go(l.run)
	return l
}

func (l *link) close() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// queue adds a message and reports whether there was room.
func (l *link) queue(m outgoing) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.failing && len(l.out) > 0 {
		return false // while dialling fails, one message is kept to try again with
	}
	select {
	case l.out <- m:
		return true
	default:
		return false
	}
}

func (l *link) expect() (uint64, chan Envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	c := make(chan Envelope, 1)
	l.answers[l.number] = c
	return l.number, c
}

func (l *link) forget(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.answers, number)
}

// breakCalls ends all waiting questions after the connection broke.
func (l *link) breakCalls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for number, c := range l.answers {
		close(c)
		delete(l.answers, number)
	}
}

func (l *link) setFailing(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = on
}

// run dials when there is something to send, writes until the connection breaks or is idle, and starts over.
func (l *link) run() {
	defer l.breakCalls()
	for l.ctx.Err() == nil {
		var first outgoing
		select {
		case first = <-l.out:
		case <-l.ctx.Done():
			return
		}
		conn := l.dial()
		l.setFailing(conn == nil)
		if conn == nil {
			l.hub.dropped.Add(1) // first
			l.breakCalls()
			_ = clock.Sleep(l.ctx, l.hub.o.Clock, dialPause)
			continue
		}
		l.serve(conn, first)
		l.breakCalls()
	}
}

func (l *link) dial() *websocket.Conn {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	d := websocket.Dialer{HandshakeTimeout: dialTimeout, NetDialContext: l.hub.o.Dial}
	conn, resp, err := d.DialContext(ctx, "ws://"+l.address+path, nil)
	if err != nil {
		return nil
	}
	_ = resp.Body.Close()
	conn.SetReadLimit(MaxMessage)
	return conn
}

// serve writes messages to a connection and reads its answers until it ends.
func (l *link) serve(conn *websocket.Conn, first outgoing) {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	l.hub.wg.Go(func() {
		defer cancel()
		l.read(conn)
	})
	defer conn.Close()
	idle := l.hub.o.Clock.NewTimer(idleTimeout)
	defer idle.Stop()
	ping := l.hub.o.Clock.NewTimer(pingEvery)
	defer ping.Stop()
	check := liveness{used: l.hub.o.Clock.Now()}
	for next := first; ; {
		if next.data != nil {
			_ = conn.SetWriteDeadline(l.hub.o.Clock.Now().Add(writeTimeout))
			if conn.WriteMessage(websocket.BinaryMessage, next.data) != nil {
				return
			}
			l.hub.count(next.kind, next.data)
			idle.Reset(idleTimeout)
			check.used = l.hub.o.Clock.Now()
		}
		select {
		case next = <-l.out:
		case <-ping.C():
			next = outgoing{}
			if l.check(conn, &check) != nil {
				return
			}
			ping.Reset(pingEvery)
		case <-idle.C():
			return
		case <-ctx.Done():
			return
		}
	}
}

// check asks the other side for a sign of life, which read waits for, if the connection is in use.
func (l *link) check(conn *websocket.Conn, c *liveness) error {
	now := l.hub.o.Clock.Now()
	ping, readBy := c.tick(now)
	if !readBy.IsZero() {
		if err := conn.SetReadDeadline(readBy); err != nil {
			return err
		}
	}
	if !ping {
		return nil
	}
	return conn.WriteControl(websocket.PingMessage, nil, now.Add(writeTimeout))
}

// read takes the answers on a connection. Without an answer to a ping within silentAfter it ends the connection.
func (l *link) read(conn *websocket.Conn) {
	alive := func() { _ = conn.SetReadDeadline(l.hub.o.Clock.Now().Add(silentAfter)) }
	alive()
	conn.SetPongHandler(func(string) error {
		alive()
		return nil
	})
	for {
		_, data, err := conn.ReadMessage()
		if err != nil {
			return
		}
		alive()
		l.hub.bytesIn.Add(int64(len(data)))
		l.hub.received.Add(1)
		e, err := l.hub.decode(data)
		if err != nil || e.Kind != KindReply {
			l.hub.refused(l.address, "an answer that cannot be used")
			return
		}
		l.mu.Lock()
		if c := l.answers[e.Call]; c != nil {
			delete(l.answers, e.Call)
			c <- e // has room for the one answer
		}
		l.mu.Unlock()
	}
}
