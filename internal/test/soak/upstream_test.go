package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/gate/roster"
)

// mode is what an upstream does to requests.
type mode int

const (
	works mode = iota
	refuses
	fails
	hangs
	losesAnswers // it runs the request and resets the connection
	spoils       // it breaks off within the answer
	slows
	modes
)

// upstream is a stand-in that registers, serves and records what runs.
type upstream struct {
	w          *world
	id         string
	dataCentre string
	server     *http.Server
	before     *proxy
	address    string // of the proxy

	beats sync.WaitGroup // the heartbeat in progress

	mu         sync.Mutex
	mode       mode
	born       int64
	departed   bool      // it sends no heartbeats
	noWorkFrom time.Time // zero: work may come
	cold       coldState
}

func newUpstream(w *world, id, dataCentre, address, through string) (*upstream, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	before, err := newProxy(through, address)
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	u := &upstream{w: w, id: id, dataCentre: dataCentre, before: before, address: through, born: time.Now().UnixMilli()}
	u.turnCold(true)
	u.server = &http.Server{Handler: u}
	w.wg.Go(func() { _ = u.server.Serve(l) }) // returns when it is closed
	w.wg.Go(u.register)
	go func() {
		<-w.ctx.Done()
		_ = u.server.Close()
	}()
	return u, nil
}

func (u *upstream) close() { u.before.close() }

func (u *upstream) set(m mode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = m
}

// restart makes it another start of the same upstream.
func (u *upstream) restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.born = time.Now().UnixMilli()
	u.turnCold(false)
}

func (u *upstream) state() (mode, int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.mode, u.born
}

// register sends heartbeats; after a failure, to the next control node.
func (u *upstream) register() {
	node := 1
	for sequence := int64(1); u.w.ctx.Err() == nil; sequence++ {
		u.mu.Lock()
		born, cold := u.born, u.coldLeft()
		u.mu.Unlock()
		if !u.beginBeat() {
			u.w.pause(beatMS * time.Millisecond)
			continue
		}
		beat := roster.Upstream{
			Service: "desk", Address: u.address, DataCentre: u.dataCentre, Slots: 64, State: roster.Ready, StartedMs: born, Sequence: sequence,
			ColdMs: cold,
		}
		if status, _ := u.w.ask(http.MethodPut, node, "/v1/traffic/upstreams/"+u.id, beat); status != http.StatusOK {
			node = 1 + node%controlNodes
		} else {
			u.toldCold(cold)
		}
		u.beats.Done()
		u.w.pause(beatMS * time.Millisecond)
	}
}

// beginBeat reports whether a heartbeat may be sent, and counts it.
func (u *upstream) beginBeat() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.departed {
		u.beats.Add(1)
	}
	return !u.departed
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	kind := strings.Split(r.URL.Path, "/")[1]
	if r.Header.Get(names.ExpectUpstream) == u.id {
		u.judge(kind, id, time.Now())
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is not whole, so it does not run
	}
	m, _ := u.state()
	switch {
	case r.Header.Get(names.ExpectUpstream) != u.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case m == refuses:
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case m == hangs:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	u.checkDeparted(id)
	u.ran(kind, id)
	if m == slows {
		u.w.pause(slowAnswer)
	}
	u.w.pause(time.Duration(1+rand.IntN(20)) * time.Millisecond)
	switch {
	case m == losesAnswers:
		panic(http.ErrAbortHandler)
	case m == fails:
		w.WriteHeader(http.StatusInternalServerError)
	case kind == "stream":
		u.stream(w, r, id, m)
	default:
		text := id + " " + digest(string(body))
		w.Header().Set(names.Signature, "s")
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		if m == spoils {
			_, _ = io.WriteString(w, text[:len(text)/2]) // the rest is missing on purpose
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text) // a caller that has gone is not waited for
	}
}

func (u *upstream) stream(w http.ResponseWriter, r *http.Request, id string, m mode) {
	w.Header().Set(names.Signature, "s")
	w.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(r.Header.Get(names.LastEvent))
	if err != nil {
		last = 0 // from the beginning
	}
	for n := last + 1; n <= streamEvents; n++ {
		text := eventText(id, n)
		if m == spoils && n == last+3 {
			_, _ = io.WriteString(w, text[:len(text)/2]) // the rest is missing on purpose
			_ = http.NewResponseController(w).Flush()    // as above
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)            // a caller that has gone is not waited for
		_ = http.NewResponseController(w).Flush() // as above
		u.w.pause(5 * time.Millisecond)
	}
}

// ran records that a request runs, and checks that it may.
func (u *upstream) ran(kind, id string) {
	w := u.w
	w.mu.Lock()
	w.runs[id]++
	runs, told := w.runs[id], w.refused[id]
	w.mu.Unlock()
	switch {
	case kind == "once" && runs > 1, runs > mostSafe:
		w.violated("%s ran %d times, the last time at %s", id, runs, u.id)
	case told != "":
		w.violated("%s runs at %s after it was refused as not run: %s", id, u.id, told)
	}
}
