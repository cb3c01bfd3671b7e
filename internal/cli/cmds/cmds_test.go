package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/node/admin"
	"github.com/berylledge/berylledge/internal/node/ctrl"
	"github.com/berylledge/berylledge/internal/node/entry"
	"github.com/berylledge/berylledge/pkg/caller"
)

// Guards against columns that are lost, exchanged or not aligned in the output that operators and their scripts read.
func TestTables(t *testing.T) {
	nodes := []ctrl.Listed{{Node: "n1", ID: "n1.0a", Address: "10.0.0.1:7002"}, {Node: "n2", ID: "n2.0b", Learner: true}}
	for name, table := range map[string]struct {
		head string
		rows [][]any
	}{
		"history": {"REVISION TIME OPERATOR CHANGE SAME-AS NOTE", historyRows([]admin.Revision{
			{Revision: 12, AtMS: 1795000000123, Operator: "ann", ChangeID: "back", SameAs: 9, Note: "two words"},
			{Revision: 11, AtMS: 1795000000000, Operator: "bob", ChangeID: "c-1"},
		})},
		"nodes": {"NODE ROLES DATA-CENTRE REGION STATE REVISION ADDRESS PEER-ADDRESS", nodeRows([]admin.NodeInfo{
			{Node: "n1", Roles: []string{"entry", "control"}, DataCentre: "a", Region: "r", State: "alive", Address: "10.0.0.1:7001", PeerAddress: "10.0.0.1:7002", Revision: 7},
			{Node: "c1", Roles: []string{"control"}, DataCentre: "b", Region: "r", State: "failed", PeerAddress: "10.0.0.2:7002"},
		})},
		"upstreams": {"UPSTREAM KIND SERVES DATA-CENTRE STATE RUNNING WAITING SLOTS ADDRESS", upstreamRows([]admin.UpstreamInfo{
			{ID: "gen-1", Kind: "engine", Serves: []string{"pond-7b", "fern"}, DataCentre: "a", Address: "10.0.1.1:80", State: "held", Slots: 8, Running: 3, Waiting: 12},
		})},
		"quarantine": {"FINGERPRINT STATUS DEATHS UNTIL", suspectRows([]admin.Suspect{
			{Fingerprint: "5f2a", Status: "isolated", UntilMS: 1795000000000, Deaths: 2},
			{Fingerprint: "77", Status: "suspect", UntilMS: 1795000000000, Deaths: 1},
		})},
		"control": {"NODE VOTE ROLE TERM LEADER COMMIT REVISION MEMBER", controlRows(admin.Control{
			Members: []ctrl.Member{
				{Node: "n1", ID: "n1.0a", Role: "leader", Term: 3, Leader: "n1.0a", Commit: 99, Revision: 7, Members: nodes},
				{Node: "n2", ID: "n2.0b", Role: "follower", Term: 3, Leader: "n1.0a", Commit: 98, Revision: 7, Members: nodes},
			},
			Unreached: []admin.Unreached{{Node: "n3", Reason: "the connection broke"}},
		})},
		"requests": {"REQUEST TEAM PIPELINE RANK STATE EVENTS BYTES ACCEPTED DEADLINE", requestRows([]entry.RequestState{
			{ID: "r-17", Team: "crew", Pipeline: "ask", State: "running", AcceptedMS: 1795000000000, DeadlineMS: 1795000008000, Events: 4, Bytes: 120},
		})},
		"stages": {"STAGE UPSTREAM MS ATTEMPTS TOKENS OUTPUT", stageRows([]caller.StageEvent{
			{Stage: "answer", Upstream: "gen-1", Attempts: 2, ElapsedUS: 12345, Generated: 24},
			{Stage: "book", Output: "booking:7", Replayed: true},
			{Stage: "call", Skipped: true},
		})},
	} {
		var out bytes.Buffer
		assert.NilError(t, writeTable(&out, table.head, table.rows))
		golden.Assert(t, out.String(), name+".golden")
	}
}

// Guards against a page that needs other files, that mixes up lanes, or that runs what a caller chose as an id.
func TestTimelinePage(t *testing.T) {
	at := func(ms int64) event.Stamp { return event.Stamp{WallNS: ms * int64(time.Millisecond)} }
	var out bytes.Buffer
	assert.NilError(t, writeTimelineHTML(&out, "request <r>", admin.Timeline{
		Processes: []string{"n2", "n1"},
		Unreached: []admin.Unreached{{Node: "n3", Reason: "the connection broke"}},
		Events: []event.Event{
			{Stamp: at(1), Node: "n1", Code: 2001, Name: "request_accepted", Fields: []event.Field{event.F("request", "<script>alert(1)</script>")}},
			{Stamp: at(2), Node: "n2", Code: 6002, Name: "config_in_force", Fields: []event.Field{event.F("revision", 2)}},
		},
	}))
	golden.Assert(t, out.String(), "timeline.html.golden")
}

// server is a stand-in for a process. It records the changes that it gets; lose ends connections without an answer.
type server struct {
	*httptest.Server
	mu   sync.Mutex
	puts []admin.Put
}

func newServer(t *testing.T, answer func(w http.ResponseWriter, n int)) *server {
	s := &server{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var p admin.Put
		_ = json.NewDecoder(r.Body).Decode(&p)
		s.mu.Lock()
		s.puts = append(s.puts, p)
		n := len(s.puts)
		s.mu.Unlock()
		answer(w, n)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *server) got() []admin.Put {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]admin.Put(nil), s.puts...)
}

func (s *server) address() string { return strings.TrimPrefix(s.URL, "http://") }

func lose(w http.ResponseWriter, _ int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

func reply(status int, v any) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, _ int) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(v)
	}
}

func apply(t *testing.T, addresses ...string) (code int, out, errOut string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	assert.NilError(t, os.WriteFile(file, demoConfig().Print(), 0o600))
	var o, e bytes.Buffer
	code = Main(context.Background(), []string{
		"berylledge", "config", "apply", file, "--expect", "1", "--operator", "ann", "--address", strings.Join(addresses, ","),
	}, &o, &e, nil)
	return code, o.String(), e.String()
}

// Guards against a change that takes effect twice because it is sent again under another id after its answer was lost, and
// against a command that gives up although another process answers.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	first := newServer(t, lose)
	second := newServer(t, reply(http.StatusOK, admin.PutResult{Status: "replayed", Revision: 2}))
	code, out, errOut := apply(t, first.address(), second.address())
	assert.Equal(t, code, ExitOK, errOut)
	assert.Assert(t, strings.Contains(out, "replayed"), out)
	sent := append(first.got(), second.got()...)
	assert.Equal(t, len(second.got()), 1)
	assert.Assert(t, len(sent) > 1)
	for _, p := range sent {
		assert.Equal(t, p.ChangeID, sent[0].ChangeID)
	}
	assert.Assert(t, strings.Contains(errOut, sent[0].ChangeID), errOut)
}

// Guards against exit codes that do not tell an operator's script a lost change, an unknown outcome and a process that was
// never reached from one another.
func TestExitCodes(t *testing.T) {
	lost := newServer(t, lose)
	code, _, errOut := apply(t, lost.address())
	assert.Equal(t, code, ExitUnknown, errOut)

	gone := newServer(t, lose)
	gone.Close()
	code, _, errOut = apply(t, gone.address())
	assert.Equal(t, code, ExitFailed, errOut)

	conflict := newServer(t, reply(http.StatusConflict, admin.PutResult{
		Status: "conflict", Revision: 2, Winner: &admin.Winner{Revision: 2, Operator: "bob", ChangeID: "c-9"},
	}))
	code, _, errOut = apply(t, conflict.address())
	assert.Equal(t, code, ExitConflict)
	assert.Assert(t, strings.Contains(errOut, "bob") && strings.Contains(errOut, "c-9"), errOut)

	unknown := newServer(t, reply(http.StatusGatewayTimeout, admin.Error{Code: admin.CodeUnknown, Message: "m"}))
	code, _, _ = apply(t, unknown.address())
	assert.Equal(t, code, ExitUnknown)

	var out, e bytes.Buffer
	assert.Equal(t, Main(context.Background(), []string{"berylledge", "config", "check"}, &out, &e, nil), ExitUsage)
	assert.Equal(t, Main(context.Background(), []string{"berylledge", "node", "list", "--address", "127.0.0.1:1", "-o", "xml"}, &out, &e, nil), ExitUsage)
}

// Guards against a command that fails during an election instead of asking again.
func TestOrderIsRepeatedUntilThereIsALeader(t *testing.T) {
	s := newServer(t, func(w http.ResponseWriter, n int) {
		if n < 3 {
			reply(http.StatusConflict, admin.Error{Code: admin.CodeNotLeader})(w, n)
			return
		}
		reply(http.StatusOK, admin.Done{Action: "control_remove", Target: "c4.0a"})(w, n)
	})
	var out, e bytes.Buffer
	code := Main(context.Background(), []string{
		"berylledge", "control", "remove", "c4", "--operator", "ann", "--address", s.address(),
	}, &out, &e, nil)
	assert.Equal(t, code, ExitOK, e.String())
	assert.Equal(t, len(s.got()), 3)
}

// Guards against a command without an example, and against an administration command whose transcript is missing in the
// documentation.
func TestCommandsHaveExamplesAndTranscripts(t *testing.T) {
	page, err := os.ReadFile("../../../docs/admin_api.md")
	assert.NilError(t, err)
	administration := map[string]bool{
		"config": true, "node": true, "upstream": true, "team": true, "request": true, "quarantine": true, "control": true,
		"state": true, "timeline": true,
	}
	var walk func(path string, list []*cli.Command)
	walk = func(path string, list []*cli.Command) {
		for _, c := range list {
			name := path + " " + c.Name
			if c.Hidden {
				continue
			}
			if len(c.Commands) > 0 {
				walk(name, c.Commands)
				continue
			}
			assert.Assert(t, strings.Contains(c.Description, name), "%s has no example", name)
			if administration[strings.Fields(name)[1]] {
				assert.Assert(t, strings.Contains(string(page), "$ "+name), "%s has no transcript", name)
			}
		}
	}
	walk("berylledge", root(os.Stdout, os.Stderr, nil).Commands)
}
