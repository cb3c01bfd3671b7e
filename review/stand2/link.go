package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// links is a proxy in front of the peer ports of the core machines. It can cut one of them off from the others: connections stay open and
// carry nothing, as behind a partition, and what was written to them arrives once the cut has healed.
type links struct {
	f         *fleet
	listeners []net.Listener

	mu  sync.Mutex
	cut string // name of the core machine that is cut off; empty: none
	all bool   // it is cut off from all machines of the system
}

// newLinks starts a proxy for each core machine, which all processes then take for its address.
func newLinks(f *fleet) (*links, error) {
	k := &links{f: f}
	for name, n := range f.nodes {
		if n.kind != "core" {
			continue
		}
		l, err := net.Listen("tcp", net.JoinHostPort(n.advertised(), strconv.Itoa(peerPort)))
		if err != nil {
			return nil, err
		}
		k.listeners = append(k.listeners, l)
		go k.accept(l, name, net.JoinHostPort(n.ip, strconv.Itoa(peerPort)))
	}
	return k, nil
}

// setCut cuts a core machine off from the other core machines, or from all machines of the system. An empty name heals the cut.
func (k *links) setCut(name string, all bool) {
	k.f.rec.note("cut off from the other core machines: %q, from all machines: %v", name, all)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut, k.all = name, all
}

// isCut reports whether the link between two machines carries nothing.
func (k *links) isCut(from, to string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := k.f.nodes[from]
	return k.cut != "" && n != nil && (from == k.cut || to == k.cut) && (k.all || n.kind == "core")
}

// cutPoll is the time between two checks whether a cut has healed.
const cutPoll = 5 * time.Millisecond

func (k *links) wait(from, to string) {
	for k.isCut(from, to) {
		_ = clock.Sleep(noEnd, k.f.clock, cutPoll)
	}
}

func (k *links) accept(l net.Listener, to, address string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go k.join(c, to, address)
	}
}

// join passes a connection on. Who opened it is known from its first message, until which only the handshake passes.
func (k *links) join(c net.Conn, to, address string) {
	up, err := net.Dial("tcp", address)
	if err != nil {
		_ = c.Close()
		return
	}
	in := bufio.NewReaderSize(c, 1<<20)
	req, err := http.ReadRequest(in)
	if err == nil {
		err = req.Write(up)
	}
	back := bufio.NewReader(up)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(back, req)
	}
	if err == nil {
		err = resp.Write(c)
	}
	from := ""
	if err == nil {
		from, err = k.sender(in)
	}
	if err != nil {
		_ = c.Close()
		_ = up.Close()
		return
	}
	go k.pass(from, to, up, in, c)
	k.pass(from, to, c, back, up)
}

// pass copies one direction of a connection while its link is not cut.
func (k *links) pass(from, to string, dst io.Writer, src io.Reader, end net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := src.Read(buffer)
		k.wait(from, to)
		if n > 0 {
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
				_ = end.Close()
				return
			}
		}
		if err != nil {
			if c, ok := dst.(net.Conn); ok {
				_ = c.Close()
			}
			return
		}
	}
}

// sender returns the name of the machine whose first message waits in a connection, which it does not take.
func (k *links) sender(in *bufio.Reader) (string, error) {
	head, err := in.Peek(2)
	if err != nil {
		return "", err
	}
	length, at := int(head[1]&0x7f), 2
	switch length {
	case 126:
		if head, err = in.Peek(4); err != nil {
			return "", err
		}
		length, at = int(binary.BigEndian.Uint16(head[2:])), 4
	case 127:
		if head, err = in.Peek(10); err != nil {
			return "", err
		}
		length, at = int(binary.BigEndian.Uint64(head[2:])), 10
	}
	frame, err := in.Peek(min(at+4+length, in.Size()))
	if err != nil {
		return "", err
	}
	mask, text := frame[at:at+4], bytes.Clone(frame[at+4:])
	for i := range text {
		text[i] ^= mask[i%4]
	}
	for name := range k.f.nodes {
		// The name of the sender is a text of CBOR behind the key 3 of the envelope.
		if bytes.Contains(text, append([]byte{3, 0x60 + byte(len(name))}, name...)) {
			return name, nil
		}
	}
	return "", nil
}

func (k *links) close() {
	k.setCut("", false)
	for _, l := range k.listeners {
		_ = l.Close()
	}
}
