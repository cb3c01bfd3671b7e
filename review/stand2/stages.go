package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// piece identifies a piece of a request.
type piece struct {
	request      string
	stage, index int
}

// pieces knows which piece each result belongs to, and what was given wrong inputs.
type pieces struct {
	mu     sync.Mutex
	made   map[string]piece
	next   int
	faults []string
	// after holds the stages that each stage needs, and counts the pieces of each stage of all requests.
	after  [][]int
	counts func(request string) []int
}

func newPieces(after [][]int, counts func(string) []int) *pieces {
	return &pieces{made: map[string]piece{}, after: after, counts: counts}
}

func (p *pieces) fault(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, fmt.Sprintf(format, args...))
}

func (p *pieces) faultList() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.faults...)
}

type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// checkInputs records a fault unless the inputs are all pieces of the stages, each once, of one request.
func (p *pieces) checkInputs(what, request string, stages []int, inputs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	want := 0
	wanted := map[int]bool{}
	for _, s := range stages {
		wanted[s] = true
		want += p.counts(request)[s]
	}
	seen := map[piece]bool{}
	for _, h := range inputs {
		m, ok := p.made[h]
		if !ok || m.request != request || !wanted[m.stage] || seen[m] {
			p.faults = append(p.faults, fmt.Sprintf("%s of %s is given %s, which is %v", what, request, h, m))
		}
		seen[m] = true
	}
	if len(seen) != want {
		p.faults = append(p.faults, fmt.Sprintf("%s of %s is given %d of %d inputs", what, request, len(seen), want))
	}
}

// stageAnswer answers the calls of stages after a time for the call and for each piece.
func (p *pieces) stageAnswer(callTime, itemTime time.Duration) answer {
	var slot sync.Mutex
	return func(r *runner, c net.Conn, a arrival) bool {
		if a.target == wire["free"] {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			return err == nil
		}
		var in struct {
			Items []stageItem `json:"items"`
		}
		if json.Unmarshal(a.body, &in) != nil {
			return false
		}
		slot.Lock()
		_ = clock.Sleep(r.ctx, r.f.clock, callTime+time.Duration(len(in.Items))*itemTime)
		slot.Unlock()
		if r.ctx.Err() != nil {
			return false
		}
		var out struct {
			Items []map[string]string `json:"items"`
		}
		for _, item := range in.Items {
			if len(p.after[item.Stage]) > 0 {
				p.checkInputs(fmt.Sprintf("piece %d of stage %d", item.Piece, item.Stage), item.ID, p.after[item.Stage], item.Inputs)
			} else if item.Key != "key-"+item.ID && item.Key != poisonKey {
				p.fault("piece %d of %s has the key %s", item.Piece, item.ID, item.Key)
			}
			p.mu.Lock()
			p.next++
			handle := fmt.Sprintf("%s/%x", r.address, p.next)
			p.made[handle] = piece{item.ID, item.Stage, item.Piece}
			p.mu.Unlock()
			out.Items = append(out.Items, map[string]string{"handle": handle})
		}
		body, _ := json.Marshal(out)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: 0,0,1\r\nContent-Length: %d\r\n\r\n%s", wire["load"], len(body), body)
		return err == nil
	}
}

// streamAnswer answers with events every interval, from the one after Last-Event-Id on. The inputs must be the results of the last stages.
func (p *pieces) streamAnswer(events int, interval time.Duration, last []int) answer {
	return func(r *runner, c net.Conn, a arrival) bool {
		if p != nil {
			p.checkInputs("the model", a.id, last, strings.Split(a.header.Get(wire["inputs"]), ","))
		}
		if _, err := io.WriteString(c, head(r, a, http.StatusOK, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")); err != nil {
			return false
		}
		first, _ := strconv.Atoi(a.header.Get(wire["last_event"]))
		for i := first + 1; i <= events; i++ {
			if clock.Sleep(r.ctx, r.f.clock, interval) != nil {
				return false
			}
			event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, a.id, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}
