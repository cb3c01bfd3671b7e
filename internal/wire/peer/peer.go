// Package peer carries messages between the system's processes: CBOR over WebSocket.
//
// A Hub listens, and keeps one outgoing connection to each address that messages were sent to lately. Send is best
// effort, as the state machines above expect: a message may be lost, and the messages to one address are never mixed up.
// Call sends a question and waits for the answer on the same connection.
//
// Usage:
//
//	h, err := peer.New(peer.Options{ID: "e1", Address: "10.0.0.5:7002", Clock: c, Events: log, Handle: handle})
//	h.Send("10.0.0.6:7002", peer.KindMember, body)
//	reply, err := h.Call(ctx, "10.0.0.7:7002", peer.KindPropose, body)
//
// The body of a message is encoded by the package that it belongs to.
package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/websocket"
	"github.com/zeromicro/go-zero/rest"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/wire/dial"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/internal/wire/memory"
)

// Version is the version of the envelope and of the messages in it. A message of another version is refused.
const Version = 3

// Times of the check whether a connection still carries data: one that has gone silent breaks nothing by itself, and all
// messages on it would be lost until the kernel gives up.
const (
	pingEvery   = time.Second
	silentAfter = 2500 * time.Millisecond
	quietAfter  = 3 * time.Second // without a message, a connection is not checked until the next one
)

// Envelope surrounds each message.
type Envelope struct {
	Version uint8       `cbor:"1,keyasint"`
	Kind    Kind        `cbor:"2,keyasint"`
	From    string      `cbor:"3,keyasint"`
	Stamp   event.Stamp `cbor:"4,keyasint"`
	Call    uint64      `cbor:"5,keyasint,omitempty"` // number of a question, repeated in its answer
	Failed  string      `cbor:"6,keyasint,omitempty"` // in an answer: why there is no body
	Body    []byte      `cbor:"7,keyasint,omitempty"`
}

// Limits.
const (
	MaxMessage   = 16 << 20 // a snapshot of the replicated state is the largest message
	queueLength  = 512
	maxCalls     = 1024 // questions that are answered at the same time
	writeTimeout = 5 * time.Second
	dialTimeout  = 2 * time.Second
	dialPause    = 200 * time.Millisecond // after a failed dial
	idleTimeout  = 2 * time.Minute
)

const path = "/v1/peer"

// Handler takes a message. For a question it returns the answer; for other messages the result is not used.
type Handler func(ctx context.Context, from string, kind Kind, body []byte) ([]byte, error)

// Options configure a Hub.
type Options struct {
	ID       string
	Address  string
	Listener net.Listener // instead of Address
	Clock    clock.Clock
	Events   *event.Log
	Handle   Handler
	// Account counts connections and messages with what the process holds besides; nil: no bound for all together.
	Account *memory.Account
	// Refused is told which connections were refused because of a limit; nil: nobody is.
	Refused func(httpd.Refusal)
	// Dial opens the connections to other processes; nil: package dial does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Hub sends and receives messages.
type Hub struct {
	o      Options
	server *httpd.Server
	enc    cbor.EncMode
	dec    cbor.DecMode
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	slots  chan struct{}

	bytesIn  atomic.Int64
	received atomic.Int64
	dropped  atomic.Int64
	sent     [len(kindNames)]volume // by kind; an answer counts under the kind of its question

	mu      sync.Mutex
	links   map[string]*link
	inbound map[*websocket.Conn]bool
}

// Counters are totals since the start.
type Counters struct {
	BytesIn, BytesOut, MessagesIn, MessagesOut int64
	// Dropped counts messages that found the queue full or the address unreachable.
	Dropped int64
	Kinds   []KindVolume // what was sent, of the kinds with a message, in the order of their numbers
}

// New starts a hub.
func New(o Options) (*Hub, error) {
	h := &Hub{o: o, links: map[string]*link{}, inbound: map[*websocket.Conn]bool{}, slots: make(chan struct{}, maxCalls)}
	var err error
	if h.enc, err = cbor.CoreDetEncOptions().EncMode(); err != nil {
		return nil, errors.Wrap(err, "peer encoding")
	}
	if h.dec, err = (cbor.DecOptions{MaxNestedLevels: 8, MaxMapPairs: 64, MaxArrayElements: 1024}).DecMode(); err != nil {
		return nil, errors.Wrap(err, "peer decoding")
	}
	if h.o.Dial == nil {
		h.o.Dial = dial.Dialer{Clock: o.Clock, Timeout: dialTimeout}.DialContext
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.server, err = httpd.New(httpd.Options{
		Name: "peer", Address: o.Address, Listener: o.Listener, Account: o.Account, Side: memory.Peers,
		Refused: o.Refused,
	}, []rest.Route{
		{Method: http.MethodGet, Path: path, Handler: h.accept},
	})
	if err != nil {
		h.cancel()
		return nil, err
	}
	return h, nil
}

// Address returns the address on which the hub listens.
func (h *Hub) Address() string { return h.server.Address() }

// Counters returns the traffic so far.
func (h *Hub) Counters() Counters {
	c := Counters{BytesIn: h.bytesIn.Load(), MessagesIn: h.received.Load(), Dropped: h.dropped.Load()}
	for k := range h.sent {
		v := KindVolume{Kind: Kind(k), Messages: h.sent[k].messages.Load(), Bytes: h.sent[k].bytes.Load()}
		if v.Messages > 0 {
			c.Kinds = append(c.Kinds, v)
		}
		c.BytesOut += v.Bytes
		c.MessagesOut += v.Messages
	}
	return c
}

// Close ends all connections.
func (h *Hub) Close() {
	h.cancel()
	h.mu.Lock()
	for c := range h.inbound {
		_ = c.Close()
	}
	for _, l := range h.links {
		l.close()
	}
	h.mu.Unlock()
	_ = h.server.Close()
	h.wg.Wait()
}

func (h *Hub) envelope(kind Kind, call uint64, body []byte, failed string) ([]byte, error) {
	return h.enc.Marshal(Envelope{
		Version: Version, Kind: kind, From: h.o.ID, Stamp: h.o.Events.Hybrid().Now(), Call: call, Failed: failed, Body: body,
	})
}

// Send queues a message. It is dropped when the address cannot be reached or does not keep up.
func (h *Hub) Send(address string, kind Kind, body []byte) {
	data, err := h.envelope(kind, 0, body, "")
	if err != nil {
		return
	}
	if l := h.link(address); l != nil && !l.queue(outgoing{kind, data}) {
		h.dropped.Add(1)
	}
}

// LinkError says that a question was not answered. NotSent is true if the question certainly did not arrive.
type LinkError struct {
	Address string
	NotSent bool
	Cause   error
}

func (e *LinkError) Error() string { return fmt.Sprintf("peer %s: %s", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.Cause }

// RemoteError is the failure that the other side answered with.
type RemoteError struct {
	Address string
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s answered: %s", e.Address, e.Message)
}

// Call sends a question and waits for the answer.
func (h *Hub) Call(ctx context.Context, address string, kind Kind, body []byte) ([]byte, error) {
	l := h.link(address)
	if l == nil {
		return nil, &LinkError{address, true, errors.New("the hub is closed")}
	}
	number, answer := l.expect()
	defer l.forget(number)
	data, err := h.envelope(kind, number, body, "")
	if err != nil {
		return nil, &LinkError{address, true, err}
	}
	if !l.queue(outgoing{kind, data}) {
		return nil, &LinkError{address, true, errors.New("the queue is full or the peer cannot be reached")}
	}
	select {
	case e, ok := <-answer:
		switch {
		case !ok:
			return nil, &LinkError{address, false, errors.New("the connection broke")}
		case e.Failed != "":
			return nil, &RemoteError{address, e.Failed}
		default:
			return e.Body, nil
		}
	case <-ctx.Done():
		return nil, &LinkError{address, false, ctx.Err()}
	}
}

func (h *Hub) decode(data []byte) (Envelope, error) {
	var e Envelope
	if err := h.dec.Unmarshal(data, &e); err != nil {
		return e, err
	}
	if e.Version != Version {
		return e, errors.Newf("version %d is not supported", e.Version)
	}
	h.o.Events.Hybrid().Observe(e.Stamp)
	return e, nil
}

func (h *Hub) refused(from, reason string) {
	h.o.Events.Emit(event.PeerMessageRefused, event.F("peer", from), event.F("reason", reason))
}

var upgrader = websocket.Upgrader{HandshakeTimeout: dialTimeout, CheckOrigin: func(r *http.Request) bool {
	return r.Header.Get("Origin") == "" // a browser is never a peer
}}

// accept serves an incoming connection until it ends.
func (h *Hub) accept(w http.ResponseWriter, r *http.Request) {
	c, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return // Upgrade has answered
	}
	h.mu.Lock()
	h.inbound[c] = true
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.inbound, c)
		h.mu.Unlock()
		_ = c.Close()
	}()
	c.SetReadLimit(MaxMessage)
	// Work on questions ends with the connection: its answer would reach no one.
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	in := &inbound{hub: h, conn: c, ctx: ctx}
	for h.ctx.Err() == nil {
		_ = c.SetReadDeadline(h.o.Clock.Now().Add(idleTimeout + dialTimeout))
		if !in.receive(r.RemoteAddr) {
			return
		}
	}
}

// receive reads one message and hands it over. Connections whose message is not whole yield when the memory for them is in use.
func (in *inbound) receive(from string) bool {
	h := in.hub
	_, body, err := in.conn.NextReader()
	if err != nil {
		if errors.Is(err, websocket.ErrReadLimit) {
			h.refused(from, "larger than the limit")
		}
		return false
	}
	held := h.o.Account.Reserve(memory.Message, func() { _ = in.conn.SetReadDeadline(time.Unix(1, 0)) })
	handled := false
	defer func() {
		if !handled { // else it is released with the end of its handler
			held.Release()
		}
	}()
	data, err := held.ReadAll(body, -1)
	switch {
	case errors.Is(err, websocket.ErrReadLimit):
		h.refused(from, "larger than the limit")
	case errors.Is(err, memory.ErrFull), held.WasCut():
		h.refused(from, "the memory for messages is in use")
	}
	if err != nil {
		return false
	}
	if !held.Finish(memory.Message) { // cut at the last moment
		h.refused(from, "the memory for messages is in use")
		return false
	}
	h.bytesIn.Add(int64(len(data)))
	h.received.Add(1)
	e, err := h.decode(data)
	if err != nil {
		h.refused(from, err.Error())
		return false
	}
	handled = true
	in.take(e, held.Release)
	return true
}

// inbound is one incoming connection; answers to its questions are written to it.
type inbound struct {
	hub  *Hub
	conn *websocket.Conn
	ctx  context.Context // ends with the connection
	mu   sync.Mutex      // gorilla allows one writer
}

// take handles a message and calls done after that.
func (in *inbound) take(e Envelope, done func()) {
	h := in.hub
	if e.Call == 0 {
		defer done()
		_, _ = h.handle(h.ctx, e) // the handler reports what it cannot use
		return
	}
	select {
	case h.slots <- struct{}{}:
	default:
		defer done()
		in.answer(e, nil, errors.New("too many questions"))
		return
	}
	h.wg.Go(func() {
		defer done()
		defer func() { <-h.slots }()
		body, err := h.handle(in.ctx, e)
		in.answer(e, body, err)
	})
}

// handle hands a message over. A panic of the handler ends this message only.
func (h *Hub) handle(ctx context.Context, e Envelope) (body []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("the handler failed: %v", cause)
			h.o.Events.Emit(event.PeerHandlerFailed, event.F("peer", e.From), event.F("kind", e.Kind), event.F("reason", cause),
				event.F("stack", string(debug.Stack())))
		}
	}()
	return h.o.Handle(ctx, e.From, e.Kind, e.Body)
}

func (in *inbound) answer(question Envelope, body []byte, err error) {
	failed := ""
	if err != nil {
		failed = err.Error()
	}
	data, err := in.hub.envelope(KindReply, question.Call, body, failed)
	if err != nil {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	_ = in.conn.SetWriteDeadline(in.hub.o.Clock.Now().Add(writeTimeout))
	if in.conn.WriteMessage(websocket.BinaryMessage, data) == nil {
		in.hub.count(question.Kind, data)
	}
}
