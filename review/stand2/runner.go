package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// beatEvery is the heartbeatMs of the deployment.
const beatEvery = 1200 * time.Millisecond

// arrival is a request that a runner began to work on.
type arrival struct {
	id, method, target string
	header             http.Header
	body               []byte
	at                 time.Time
	instance           string
}

// answer writes the response to a request and reports whether the connection stays open.
type answer func(r *runner, conn net.Conn, a arrival) bool

// runner is a stand-in for one runner.
type runner struct {
	f       *fleet
	id      string
	service string
	address string
	zone    string
	slots   int
	host    int // last number of its address
	answer  answer

	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc

	mu       sync.Mutex
	core     string    // the only core machine that it reports to; empty: any
	told     string    // address for its later heartbeats, by the last answer
	coldTill time.Time // when it stops being cold
	born     int64
	sequence int64
	state    string
	ran      []arrival
	conns    map[net.Conn]bool
	working  int
}

// addRunner starts a runner at an address of its own.
func (f *fleet) addRunner(service, id string, host int, zone string, answer answer) (*runner, error) {
	r := &runner{
		f: f, id: id, service: service, address: fmt.Sprintf("%s:%d", f.ip(host), runnerPort), zone: zone, slots: 64, host: host, answer: answer,
		born: f.clock.Now().UnixMilli(), state: "ready", conns: map[net.Conn]bool{},
	}
	var err error
	if r.listener, err = net.Listen("tcp", r.address); err != nil {
		return nil, err
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	go r.accept()
	go r.beats()
	return r, nil
}

func (r *runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *runner) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !r.take(c, req, body) {
			return
		}
	}
}

// take handles one request: it refuses one that is meant for another instance or has no id.
func (r *runner) take(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get(wire["request_id"])
	if expected := req.Header.Get(wire["expect"]); expected != "" && expected != r.id {
		return r.refuse(c, id, http.StatusMisdirectedRequest)
	}
	if req.RequestURI == wire["health"] {
		return r.answerHealth(c)
	}
	if id == "" && req.RequestURI != wire["call"] && req.RequestURI != wire["free"] {
		return r.refuse(c, id, http.StatusBadRequest)
	}
	a := arrival{id: id, method: req.Method, target: req.RequestURI, header: req.Header, body: body, at: r.f.clock.Now(), instance: r.id}
	r.mu.Lock()
	r.ran = append(r.ran, a)
	r.working++
	r.mu.Unlock()
	r.f.rec.note("runner %s runs %s %s %s", r.id, a.id, a.method, a.target)
	keep := r.answer(r, c, a)
	r.mu.Lock()
	r.working--
	r.mu.Unlock()
	return keep
}

// answerHealth says that the runner is healthy, and how long it stays cold.
func (r *runner) answerHealth(c net.Conn) bool {
	r.mu.Lock()
	cold := max(r.coldTill.Sub(r.f.clock.Now()).Milliseconds(), 0)
	r.mu.Unlock()
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", wire["instance"], r.id, wire["cold"], cold)
	return err == nil
}

func (r *runner) refuse(c net.Conn, id string, status int) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), wire["request_id"], id,
		wire["not_run"], wire["instance"], r.id)
	return err == nil
}

// runs returns what the runner began to work on.
func (r *runner) runs() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.ran...)
}

// plain answers with a body that names the request and the runner.
func plain(r *runner, c net.Conn, a arrival) bool {
	body := "answer to " + a.id + " by " + r.id + "\n"
	_, err := io.WriteString(c, head(r, a, http.StatusOK, "Content-Length: "+strconv.Itoa(len(body)))+body)
	return err == nil
}

func head(r *runner, a arrival, status int, lines ...string) string {
	out := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: sig.%s.%s\r\n", status, http.StatusText(status), wire["request_id"], a.id, wire["signature"], r.id, a.id)
	for _, l := range lines {
		out += l + "\r\n"
	}
	return out + "\r\n"
}

// beats sends heartbeats until the runner ends.
func (r *runner) beats() {
	for i := 0; ; i++ {
		ok := false
		for try := 0; try < 3 && !ok; try++ {
			ok = r.beat(r.reportsTo(fmt.Sprintf("core-%d", (i+try)%3+1))) == http.StatusOK
		}
		if clock.Sleep(r.ctx, r.f.clock, beatEvery) != nil {
			return
		}
	}
}

// reportsTo returns the core machine for the next heartbeat: a given one, unless the runner reports to one only.
func (r *runner) reportsTo(core string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return cmp.Or(r.core, core)
}

// beat sends one heartbeat to a core machine and returns the status, 0 without an answer.
func (r *runner) beat(core string) int {
	r.mu.Lock()
	r.sequence++
	body, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		wire["cold_field"]: max(r.coldTill.Sub(r.f.clock.Now()).Milliseconds(), 0),
		"stage":            "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": r.sequence, "born": r.born,
	})
	r.mu.Unlock()
	if err != nil {
		return 0
	}
	status, text, _ := call(http.MethodPut, r.f.controlURL(core, "/instances/"+r.id), body)
	var answer map[string]string
	if status == http.StatusOK && json.Unmarshal(text, &answer) == nil {
		r.mu.Lock()
		r.told = answer[wire["beat_field"]]
		r.mu.Unlock()
	}
	return status
}

// stop ends the runner as a crash does: its connections are closed and it says nothing more.
func (r *runner) stop() {
	r.cancel()
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}
