package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// reply is what a client saw of an answer.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error // of the connection or the body; nil: the answer is complete
	took   time.Duration
}

func (p reply) String() string {
	return fmt.Sprintf("status %d, %d bytes, after %d ms, error %v", p.status, len(p.body), p.took.Milliseconds(), p.err)
}

// dialFront opens a client's connection.
func (f *fleet) dialFront(name string) (net.Conn, error) {
	return net.DialTimeout("tcp", fmt.Sprintf("%s:%d", f.nodes[name].ip, frontPort), time.Second)
}

// request encodes a request.
func request(method, target, host, id string, lines []string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", method, target, host, wire["request_id"], id)
	for _, l := range lines {
		b.WriteString(l + "\r\n")
	}
	if len(body) > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// exchange sends raw bytes on a connection and reads one answer.
func (f *fleet) exchange(c net.Conn, in *bufio.Reader, method string, raw []byte, most time.Duration) reply {
	start := f.clock.Now()
	_ = c.SetDeadline(start.Add(most))
	if _, err := c.Write(raw); err != nil {
		return reply{err: err, took: f.clock.Now().Sub(start)}
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return reply{err: err, took: f.clock.Now().Sub(start)}
	}
	out := reply{status: resp.StatusCode, header: resp.Header}
	out.body, out.err = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	out.took = f.clock.Now().Sub(start)
	return out
}

// send sends one request on a new connection and records the answer.
func (f *fleet) send(front, method, target, host, id string, lines []string, body []byte, most time.Duration) reply {
	c, err := f.dialFront(front)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	p := f.exchange(c, bufio.NewReader(c), method, request(method, target, host, id, lines, body), most)
	f.rec.note("client sent %s %s %s to %s, answer: %v %s", id, method, target, front, p, firstLine(p.body))
	return p
}

func firstLine(body []byte) string {
	line, _, _ := strings.Cut(string(body[:min(len(body), 80)]), "\n")
	return line
}
