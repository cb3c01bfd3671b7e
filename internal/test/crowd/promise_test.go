package crowd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/test/rawup"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// ids is a set of ids of requests.
type ids struct {
	mu  sync.Mutex
	has map[string]int
}

func newIDs() *ids { return &ids{has: map[string]int{}} }

func (s *ids) add(id string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.has[id] = status
}

func (s *ids) copy() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.has))
	for id, status := range s.has {
		out[id] = status
	}
	return out
}

// promised are the statuses that promise that the request has not run and never will.
var promised = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// recorder is an upstream that notes each request that it has read whole and answers with a large body.
func recorder(t *testing.T, ran *ids, size int) string {
	text := strings.Repeat("a", size)
	names := proto.Own().Headers
	return rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		ran.add(r.Header.Get(names.RequestID), 0)
		c.WriteString(answerHead(r.Header) + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + text)
	}).Address
}

// stageUpstream makes the pieces of each call. A result is named by its request.
func stageUpstream(t *testing.T) string {
	return rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		items, err := pieceNames(r.Body)
		if err != nil {
			return
		}
		var list []string
		for _, i := range items {
			list = append(list, fmt.Sprintf(`{"handle":"10.0.0.9:80/%s"}`, i))
		}
		body := `{"items":[` + strings.Join(list, ",") + `]}`
		c.WriteString(answerHead(r.Header) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	}).Address
}

// Guards against refusals that break their promise beside a crowd: what got 408, 421, 429 or 503 must not have run and must not run later.
// The kinds of requests are small ones, bodies of all sizes, bodies that are cut while they are passed on, and requests with stages.
func TestRefusalsBesideACrowdKeepTheirPromise(t *testing.T) {
	const (
		callers = 200
		rounds  = 3
	)
	ran, refused := newIDs(), newIDs()
	s := startSystem(t, memoryMB, map[string]string{"good": recorder(t, ran, 300<<10)})
	s.put("/v1/traffic", stagedConfig(2))
	s.put("/v1/traffic/upstreams/made", upstreamOf("pieces", stageUpstream(t)))
	s.await("the staged route serves", func() error { return s.staged("staged-first") })
	body := strings.Repeat("b", bodyBytes)
	unfinishedOnes := newCrowd(t)
	for round := range rounds {
		unfinishedOnes.each(callers/4, at(s.entryIP, callersPort), unfinished(requestHead(1_000_000+round), body[1:]))
		newCrowd(t).each(callers, at(s.entryIP, callersPort), func(i int, c net.Conn) {
			_ = c.SetDeadline(time.Now().Add(patience))
			id := fmt.Sprintf("promise-%d-%d", round, i)
			path, extra := "/good/", ""
			if i%4 == 3 {
				path, extra = "/staged/", "Berylledge-Pieces: 5\r\nBerylledge-Piece-Key: k\r\n"
			}
			size := []int{0, 2, 60 << 10, 700 << 10, bodyBytes}[i%5]
			head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nBerylledge-Request: %s\r\n%s", path, host, id, extra)
			answered := make(chan struct{})
			go func() { // the answer may come before the body is sent
				defer close(answered)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return // a closed connection promises nothing
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				refused.add(id, resp.StatusCode)
			}()
			if i%2 == 0 {
				_ = write(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)+body[:size])
			} else {
				_ = write(c, head+"Transfer-Encoding: chunked\r\n\r\n")
				for n := 0; n < size; n += 32 << 10 {
					piece := body[:min(32<<10, size-n)]
					_ = write(c, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
				}
				_ = write(c, "0\r\n\r\n")
			}
			<-answered
		})
	}
	s.entry.settle()
	target{process: s.entry, mostMB: memoryMB, answers: s.ordinary}.check(t)
	counts := map[int]int{}
	worked := ran.copy()
	for id, status := range refused.copy() {
		counts[status]++
		if _, has := worked[id]; has && promised[status] {
			t.Errorf("%s got %d and has run", id, status)
		}
	}
	t.Logf("answers by status: %v; %d requests have run", counts, len(worked))
	assert.Assert(t, counts[http.StatusOK] > 0)
	assert.Assert(t, counts[http.StatusServiceUnavailable]+counts[http.StatusRequestTimeout] > 0, "the crowd was too small: nothing was refused")
}

// Guards against pieces of stages that cost the entry node memory by their number alone, which a header of a few bytes states.
func TestManyPiecesStayInMemory(t *testing.T) {
	const callers = 100
	s := startSystem(t, memoryMB, map[string]string{"good": goodUpstream(t)})
	s.put("/v1/traffic", stagedConfig(2))
	s.put("/v1/traffic/upstreams/made", upstreamOf("pieces", stub(t, nil))) // takes calls and answers none
	s.await("the staged route is known", func() error { return s.known("/staged/") })
	newCrowd(t).each(callers, at(s.entryIP, callersPort), func(i int, c net.Conn) {
		_ = write(c, strings.Replace(requestHead(i), "/good/", "/staged/", 1)+"Berylledge-Pieces: 10000\r\nBerylledge-Piece-Key: k\r\nContent-Length: 0\r\n\r\n")
	})
	s.entry.settle()
	target{process: s.entry, mostMB: memoryMB, answers: s.ordinary}.check(t)
}

// Guards against calls of stages that name the results of thousands of pieces for each piece: upstreams of the first stage answer, those of
// the second take the calls and answer none.
func TestManyInputsStayInMemory(t *testing.T) {
	const callers = 8
	s := startSystem(t, memoryMB, map[string]string{"good": goodUpstream(t)})
	s.put("/v1/traffic", stagedConfig(2))
	s.put("/v1/traffic/upstreams/made", upstreamOf("pieces", stageUpstream(t)))
	s.put("/v1/traffic/upstreams/deaf", upstreamOf("joined", stub(t, nil)))
	s.await("the joined route is known", func() error { return s.known("/joined/") })
	newCrowd(t).each(callers, at(s.entryIP, callersPort), func(i int, c net.Conn) {
		_ = write(c, strings.Replace(requestHead(i), "/good/", "/joined/", 1)+"Berylledge-Pieces: 5000,5000\r\nBerylledge-Piece-Key: k\r\nContent-Length: 0\r\n\r\n")
	})
	s.entry.settle()
	target{process: s.entry, mostMB: memoryMB, answers: s.ordinary}.check(t)
}

// stagedConfig has the route of startSystem, one with a stage before it, and one with two.
func stagedConfig(version uint64) conf.Config {
	route := func(name string, stages ...conf.Stage) conf.Route {
		return conf.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: conf.Unsafe, Timeout: 120_000, Target: 60_000, Attempts: 1,
			Split: []conf.Weight{{Service: "good", Weight: 1}}, Stages: stages,
		}
	}
	pool := &conf.Pool{Slots: 4, Queue: 4, Batch: 20, CallTime: 5, ItemTime: 1, ResultMemoryMB: 10_000, HandleTTL: 60_000}
	return conf.Config{
		Version: version, Limits: conf.Limits{HeaderBytes: headBytes, BodyBytes: bodyBytes, HeaderTime: headMS, IdleTime: idleMS},
		Services: []conf.Service{{Name: "good"}, {Name: "pieces", Pool: pool}, {Name: "joined", Pool: pool}},
		Routes: []conf.Route{
			route("good"), route("staged", conf.Stage{Service: "pieces", ResultBytes: 100}),
			route("joined", conf.Stage{Service: "pieces", ResultBytes: 100}, conf.Stage{Service: "joined", After: []int{0}, ResultBytes: 100}),
		},
	}
}

func upstreamOf(service, address string) roster.Upstream {
	return roster.Upstream{Service: service, Address: address, DataCentre: "a", State: roster.Ready, StartedMs: 5, Sequence: 1}
}

// staged sends an ordinary request to the route with a stage.
func (s *system) staged(id string) error {
	c, err := net.Dial("tcp", at(s.entryIP, callersPort))
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_ = write(c, "POST /staged/ HTTP/1.1\r\nHost: "+host+"\r\nConnection: close\r\nBerylledge-Request: "+id+
		"\r\nBerylledge-Pieces: 2\r\nBerylledge-Piece-Key: k\r\nContent-Length: 0\r\n\r\n")
	text, err := io.ReadAll(c)
	if err == nil && !strings.HasPrefix(string(text), "HTTP/1.1 200") {
		return fmt.Errorf("%.300s", text)
	}
	return err
}

// known fails while no route matches a path.
func (s *system) known(path string) error {
	err := ask(http.MethodPost, at(s.entryIP, callersPort), path, nil)
	if err != nil && strings.HasPrefix(err.Error(), "404") {
		return err
	}
	return nil
}

// pieceNames returns a name for each piece of a call.
func pieceNames(body []byte) ([]string, error) {
	var call struct {
		Items []struct {
			Request string `json:"request"`
			Piece   int    `json:"piece"`
		} `json:"items"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return nil, err
	}
	var out []string
	for _, i := range call.Items {
		out = append(out, fmt.Sprintf("%s-%d", i.Request, i.Piece))
	}
	return out, nil
}

// Guards against refusals of `serve` that break their promise beside a crowd: a submission that got 408, 429 or 503 must not have run and must
// not run later, and neither one whose refusal says that it has not run.
func TestRefusalsOfServeKeepTheirPromise(t *testing.T) {
	const callers = 200
	ran, answered := newIDs(), newIDs()
	p, address := pipelines(t, map[string]http.HandlerFunc{"good": func(w http.ResponseWriter, r *http.Request) {
		var call upapi.StageCall
		if json.NewDecoder(r.Body).Decode(&call) != nil {
			return
		}
		id, _, _ := strings.Cut(call.Input, " ")
		ran.add(id, 0)
		_ = json.NewEncoder(w).Encode(upapi.StageResult{Work: call.Work, Output: strings.Repeat("o", 300<<10)})
	}})
	_, body := submission("", "good", strings.Repeat("i", bodyBytes-1000))
	head, _ := submission("", "good", "")
	crowd := newCrowd(t)
	crowd.each(callers/2, address, unfinished(head, body[:len(body)-1]))
	newCrowd(t).each(callers, address, func(i int, c net.Conn) {
		id := fmt.Sprintf("promise-%d", i)
		size := []int{0, 60 << 10, 700 << 10, 1 << 20}[i%4]
		head, body := submission(id, "good", (id + " " + strings.Repeat("i", size))[:max(size, len(id)+1)])
		done := make(chan struct{})
		go func() {
			defer close(done)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return // a closed connection promises nothing
			}
			text, _ := io.ReadAll(resp.Body)
			status := resp.StatusCode
			var refused caller.Refusal
			if status != http.StatusOK && json.Unmarshal(text, &refused) == nil && refused.Ran == caller.NotRun {
				status = http.StatusServiceUnavailable
			}
			answered.add(id, status)
		}()
		_ = write(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))+body)
		<-done
	})
	p.settle()
	target{process: p, mostMB: memoryMB, answers: func() error { return submitted(address) }}.check(t)
	worked, counts := ran.copy(), map[int]int{}
	for id, status := range answered.copy() {
		counts[status]++
		if _, has := worked[id]; has && promised[status] {
			t.Errorf("%s got %d and has run", id, status)
		}
	}
	t.Logf("answers by status: %v; %d requests have run", counts, len(worked))
	assert.Assert(t, counts[http.StatusOK] > 0)
	assert.Assert(t, counts[http.StatusServiceUnavailable]+counts[http.StatusRequestTimeout] > 0, "the crowd was too small: nothing was refused")
}
