package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/node/gwnode"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// goMemory is a limit of the Go runtime for a process that may use memoryMB.
const goMemory = "GOMEMLIMIT=64000000"

// unfinished sends bodies that stop a byte short of their end, with a length and in chunks.
func unfinished(head string, body string) func(i int, c net.Conn) {
	return func(i int, c net.Conn) {
		if i%2 == 0 {
			_ = write(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+1)) && write(c, body)
			return
		}
		_ = write(c, head+fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(body)+1)) && write(c, body)
	}
}

// Guards against a process without a bound because nobody told it one: it must take one from what the runtime, its cgroup or its
// machine allow. The limit of the runtime is the one that a test may lower.
func TestBoundOfMemoryNeedsNoSetting(t *testing.T) {
	const callers = 100
	body := strings.Repeat("b", bodyBytes-1)
	told := launch{env: []string{goMemory}}
	t.Run("entry node", func(t *testing.T) {
		s := startSystemWith(t, gwnode.Limits{}, told, map[string]string{"good": goodUpstream(t)})
		newCrowd(t).each(callers, at(s.entryIP, callersPort), unfinished(requestHead(0), body))
		s.entry.settle()
		target{process: s.entry, mostMB: memoryMB, answers: s.ordinary}.check(t)
	})
	t.Run("serve", func(t *testing.T) {
		told := told
		told.files = maxFiles
		p, ip := serveNodeWith(t, told)
		head, submit := submission("", "good", body[:bodyBytes-1000])
		newCrowd(t).each(callers, at(ip, servePort), unfinished(head, submit[:len(submit)-1]))
		p.settle()
		target{process: p, mostMB: memoryMB, answers: func() error { return answers(at(ip, servePort)) }}.check(t)
	})
	t.Run("control node", func(t *testing.T) {
		s := startSystemWith(t, gwnode.Limits{}, told, map[string]string{"good": goodUpstream(t)})
		address := at(s.controlIP, controlPort)
		newCrowd(t).each(callers, address, unfinished("PUT /v1/traffic HTTP/1.1\r\nHost: x\r\n", `{"version":2,"x":"`+body))
		s.control.settle()
		target{process: s.control, mostMB: memoryMB, answers: func() error { return answers(address) }}.check(t)
	})
}

// Guards against bounds that hold only if the configuration names limits: without header_bytes, body_bytes, header_ms and idle_ms, heads and
// bodies end with the memory alone.
func TestConfigurationWithoutLimitsStaysInMemory(t *testing.T) {
	const callers = 60
	forms := map[string]func(i int, c net.Conn){
		"heads":  func(i int, c net.Conn) { _ = write(c, requestHead(i)+strings.Repeat(shortLines(17_576), 9)) }, // 949 kB
		"bodies": unfinished(requestHead(0), strings.Repeat("b", 4*bodyBytes)),
		"small":  func(i int, c net.Conn) { _ = write(c, requestHead(i)+"Content-Length: 1\r\n\r\n") },
		"idle":   func(int, net.Conn) {},
		"many lines": func(i int, c net.Conn) {
			_ = write(c, requestHead(i)+"Content-Length: 1\r\n"+shortLines(17_576)+"\r\n")
		},
	}
	for name, send := range forms {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t, memoryMB, map[string]string{"good": goodUpstream(t)})
			c := stagedConfig(2)
			c.Limits = conf.Limits{}
			s.put("/v1/traffic", c)
			s.await("the configuration is in force", func() error { return s.known("/staged/") })
			newCrowd(t).each(5*callers, at(s.entryIP, callersPort), send)
			s.entry.settle()
			target{process: s.entry, mostMB: memoryMB, answers: s.ordinary}.check(t)
		})
	}
}

// pipelines starts a process of `berylledge serve` with one call stage for each pipeline, and an upstream for it that answers by its name.
func pipelines(t *testing.T, answers map[string]http.HandlerFunc) (p *process, address string) {
	t.Helper()
	cfg := &fleet.Config{
		FormatVersion: fleet.FormatVersion, Ranks: []fleet.Rank{{Name: "normal", Share: 1}}, Teams: []fleet.Team{{Name: "crew"}},
	}
	for name := range answers {
		cfg.Pipelines = append(cfg.Pipelines, fleet.Pipeline{
			Name: name, DeadlineMS: 60_000, Stages: []fleet.Stage{{Name: name, Kind: fleet.Call, Service: name, ExpectedMS: 5}},
		})
	}
	path := filepath.Join(t.TempDir(), "config.json")
	assert.NilError(t, os.WriteFile(path, cfg.Print(), 0o600))
	p, ip := serveNode(t, memoryMB, "--config-file", path, "--entry-valid", "1s", "--spread-delay", "200ms", "--drain-limit", "10s")
	address = at(ip, servePort)
	for name, answer := range answers {
		up := httptest.NewServer(answer)
		t.Cleanup(func() {
			up.CloseClientConnections()
			up.Close()
		})
		announce, err := json.Marshal(upapi.Announce{
			ID: name, Incarnation: 1, Kind: upapi.KindService, Services: []string{name}, DataCentre: "a", Region: "r",
			Address: up.Listener.Addr().String(), Slots: 1000, LeaseMS: 60_000,
		})
		assert.NilError(t, err)
		(&system{t: t}).await("announce "+name, func() error { return ask(http.MethodPost, address, upapi.PathAnnounce, announce) })
	}
	(&system{t: t}).await("a submission is answered", func() error { return submitted(address) })
	return p, address
}

// submission is a request to `berylledge serve` up to the length of its body, and the body.
func submission(id, pipeline, input string) (head, body string) {
	data, _ := json.Marshal(caller.Submit{ID: id, Pipeline: pipeline, Rank: "normal", Input: input}) // strings only
	return "POST " + caller.PathRequests + " HTTP/1.1\r\nHost: x\r\n" + caller.HeaderTeam + ": crew\r\nContent-Type: application/json\r\n", string(data)
}

// submitted fails unless an ordinary submission is answered.
func submitted(address string) error {
	head, body := submission("", "good", "in")
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = write(c, head+fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", len(body))+body)
	answer, err := io.ReadAll(c)
	if err == nil && !strings.HasPrefix(string(answer), "HTTP/1.1 200") {
		return fmt.Errorf("%.300s", answer)
	}
	return err
}

// result answers a call of a stage.
func result(size int) http.HandlerFunc {
	output := strings.Repeat("o", size)
	return func(w http.ResponseWriter, r *http.Request) {
		var call upapi.StageCall
		if json.NewDecoder(r.Body).Decode(&call) != nil {
			return
		}
		_ = json.NewEncoder(w).Encode(upapi.StageResult{Work: call.Work, Output: output})
	}
}

// hang reads a call of a stage and answers nothing until its caller has gone.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// Guards against submissions, inputs of requests that wait, and answers that are kept, of which `serve` bounded each and not all together.
func TestPipelinesStayInMemory(t *testing.T) {
	const callers = 100
	good := result(2)
	check := func(t *testing.T, p *process, address string) {
		t.Helper()
		p.settle()
		target{process: p, mostMB: memoryMB, answers: func() error { return submitted(address) }}.check(t)
	}
	t.Run("unfinished submissions", func(t *testing.T) {
		p, address := pipelines(t, map[string]http.HandlerFunc{"good": good})
		head, body := submission("", "good", strings.Repeat("i", bodyBytes-1000))
		newCrowd(t).each(callers, address, unfinished(head, body[:len(body)-1]))
		check(t, p, address)
	})
	t.Run("inputs of requests that wait", func(t *testing.T) {
		p, address := pipelines(t, map[string]http.HandlerFunc{"good": good, "hang": hang})
		newCrowd(t).each(callers, address, func(i int, c net.Conn) {
			head, body := submission(fmt.Sprintf("wait%d", i), "hang", strings.Repeat("i", 1<<20))
			_ = write(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))+body)
			_ = c.Close() // requests go on without their caller, who may ask for the answer later
		})
		check(t, p, address)
	})
	t.Run("answers that are kept", func(t *testing.T) {
		p, address := pipelines(t, map[string]http.HandlerFunc{"good": good, "large": result(900 << 10)})
		newCrowd(t).each(callers, address, func(i int, c net.Conn) {
			head, body := submission(fmt.Sprintf("kept%d", i), "large", "in")
			_ = write(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))+body)
			_, _ = io.ReadFull(c, make([]byte, 64)) // the answer has begun, so that it is kept
		})
		check(t, p, address)
	})
}
