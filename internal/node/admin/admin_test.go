package admin_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/node/admin"
	"github.com/berylledge/berylledge/internal/node/ctrl"
	"github.com/berylledge/berylledge/internal/node/flags"
	"github.com/berylledge/berylledge/internal/node/serve"
	"github.com/berylledge/berylledge/internal/state/store"
	"github.com/berylledge/berylledge/internal/test/fake"
	"github.com/berylledge/berylledge/internal/test/leak"
	"github.com/berylledge/berylledge/internal/test/loopip"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

func TestMain(m *testing.M) { leak.Verify(m) }

func config(team string) *fleet.Config {
	return &fleet.Config{
		FormatVersion: fleet.FormatVersion, Ranks: []fleet.Rank{{Name: "urgent", Share: 0.5}}, Teams: []fleet.Team{{Name: team}},
		Pipelines: []fleet.Pipeline{{Name: "ask", DeadlineMS: 8000, Stages: []fleet.Stage{{Name: "encode", Kind: fleet.Encode}}}},
	}
}

// system is a control node without the entry role, and two entry nodes without the control role, so that each order
// crosses processes.
type system struct {
	t              *testing.T
	control, e1    *serve.Process
	e2             *serve.Process
	peer, dataPath string
}

func newProcess(t *testing.T, s flags.Settings) *serve.Process {
	t.Helper()
	s.DataCentre, s.Region, s.Listen, s.LogLevel = "a", "r", "127.0.0.1:0", "error"
	s.EntryValid, s.SpreadDelay, s.DrainLimit, s.Seed = 200*time.Millisecond, 200*time.Millisecond, 5*time.Second, 7
	assert.NilError(t, s.Check())
	p, err := serve.New(s, serve.Options{Clock: clock.Real()})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}

func start(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, peer: loopip.Address(t), dataPath: t.TempDir()}
	file := filepath.Join(s.dataPath, "config.json")
	assert.NilError(t, os.WriteFile(file, config("crew").Print(), 0o600))
	s.control = newProcess(t, flags.Settings{
		Node: "c1", Roles: []string{flags.RoleControl}, PeerListen: s.peer, Control: []string{"c1=" + s.peer},
		Data: filepath.Join(s.dataPath, "c1"), ConfigFile: file,
	})
	s.e1, s.e2 = s.entry("e1"), s.entry("e2")
	s.awaitStatus(func(st admin.ConfigStatus) bool { return st.Everywhere && len(st.Nodes) == 3 })
	return s
}

func (s *system) entry(name string) *serve.Process {
	return newProcess(s.t, flags.Settings{Node: name, Roles: []string{flags.RoleEntry}, PeerListen: "127.0.0.1:0", Join: []string{s.peer}})
}

// do sends a request to a process and decodes the answer into out unless that is nil.
func (s *system) do(p *serve.Process, method, path string, body, out any) int {
	s.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(s.t, err)
	r, err := http.NewRequest(method, "http://"+p.Address()+admin.Prefix+path, bytes.NewReader(data))
	assert.NilError(s.t, err)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(s.t, err)
	defer resp.Body.Close()
	if out != nil {
		assert.NilError(s.t, json.NewDecoder(resp.Body).Decode(out))
	}
	return resp.StatusCode
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (s *system) awaitStatus(ok func(admin.ConfigStatus) bool) {
	s.t.Helper()
	await(s.t, "status of the configuration", func() bool {
		var st admin.ConfigStatus
		return s.do(s.e1, http.MethodGet, "/config/status", nil, &st) == http.StatusOK && ok(st)
	})
}

func put(team, operator, change string, expected uint64) admin.Put {
	return admin.Put{
		Order: admin.Order{Operator: operator}, ExpectedRevision: expected, ChangeID: change, Note: "test", Config: config(team).Print(),
	}
}

// Guards against a lost update: two operators change the same revision at the same time, through different processes.
// Exactly one wins, the other is told who. Guards also against a second revision when an answer was lost and the change
// is sent again, and against an audit history without the operator.
func TestRacingChangesHaveOneWinner(t *testing.T) {
	s := start(t)
	var results [2]admin.PutResult
	var codes [2]int
	puts := []admin.Put{put("north", "ann", "change-a", 1), put("south", "bob", "change-b", 1)}
	var wg sync.WaitGroup
	for i, p := range []*serve.Process{s.e1, s.e2} {
		wg.Go(func() { codes[i] = s.do(p, http.MethodPut, "/config", puts[i], &results[i]) })
	}
	wg.Wait()
	win, lose := 0, 1
	if results[0].Status != "accepted" {
		win, lose = 1, 0
	}
	assert.Equal(t, results[win].Status, "accepted")
	assert.Equal(t, codes[lose], http.StatusConflict)
	assert.DeepEqual(t, results[lose], admin.PutResult{
		Status: "conflict", Revision: 2, Winner: &admin.Winner{Revision: 2, Operator: puts[win].Operator, ChangeID: puts[win].ChangeID},
	})

	var again admin.PutResult
	assert.Equal(t, s.do(s.control, http.MethodPut, "/config", puts[win], &again), http.StatusOK)
	assert.Equal(t, again.Status, "replayed")
	assert.Equal(t, again.Revision, uint64(2))
	var history []admin.Revision
	s.do(s.e1, http.MethodGet, "/config/history", nil, &history)
	assert.Equal(t, len(history), 2)
	assert.Equal(t, history[0].Operator, puts[win].Operator)
	s.awaitStatus(func(st admin.ConfigStatus) bool { return st.Everywhere && st.Revision == 2 })
}

// Guards against a configuration that is refused with its first problem only, a dry run that changes something, and a
// change without an operator.
func TestChangesAreCheckedBeforeTheyAreProposed(t *testing.T) {
	s := start(t)
	bad := config("Not A Name")
	bad.Ranks = nil
	p := put("x", "ann", "change-1", 1)
	p.Config = bad.Print()
	var r admin.PutResult
	assert.Equal(t, s.do(s.e1, http.MethodPut, "/config", p, &r), http.StatusUnprocessableEntity)
	assert.Equal(t, len(r.Problems), 2)

	p = put("north", "ann", "change-2", 1)
	p.DryRun = true
	assert.Equal(t, s.do(s.e1, http.MethodPut, "/config", p, &r), http.StatusOK)
	assert.Equal(t, r.Status, admin.StatusValid)
	p.ExpectedRevision = 0
	assert.Equal(t, s.do(s.e1, http.MethodPut, "/config", p, &r), http.StatusConflict)
	var current admin.Revision
	s.do(s.e1, http.MethodGet, "/config", nil, &current)
	assert.Equal(t, current.Revision, uint64(1))

	var e admin.Error
	assert.Equal(t, s.do(s.e1, http.MethodPut, "/config", put("north", "", "change-3", 1), &e), http.StatusBadRequest)
	assert.Equal(t, e.Code, admin.CodeBadRequest)
}

// Guards against a time line that silently lacks the events of a process which died.
func TestTimelineNamesUnreachableProcess(t *testing.T) {
	s := start(t)
	var tl admin.Timeline
	s.do(s.e1, http.MethodGet, "/timeline?name=process_started", nil, &tl)
	assert.DeepEqual(t, tl.Processes, []string{"c1", "e1", "e2"})
	assert.Equal(t, len(tl.Unreached), 0)
	assert.Equal(t, len(tl.Events), 3)
	s.e2.Close()
	s.do(s.e1, http.MethodGet, "/timeline?name=process_started", nil, &tl)
	assert.DeepEqual(t, tl.Processes, []string{"c1", "e1"})
	assert.Equal(t, len(tl.Unreached), 1)
	assert.Equal(t, tl.Unreached[0].Node, "e2")
	assert.Equal(t, len(tl.Events), 2)
	for i := range tl.Events[1:] {
		assert.Assert(t, !tl.Events[i+1].Stamp.Less(tl.Events[i].Stamp))
	}
}

// Guards against a drain order that is not carried out, is carried out twice, or leaves the node in the answers to callers.
func TestDrainOfNode(t *testing.T) {
	s := start(t)
	order := admin.Order{Operator: "ann", DryRun: true}
	assert.Equal(t, s.do(s.e2, http.MethodPost, "/node/drain", order, nil), http.StatusOK)
	select {
	case <-s.e2.StopAsked():
		t.Fatal("a dry run began the stop")
	default:
	}
	order.DryRun = false
	assert.Equal(t, s.do(s.e2, http.MethodPost, "/node/drain", order, nil), http.StatusOK)
	<-s.e2.StopAsked()
	assert.Equal(t, s.do(s.e2, http.MethodPost, "/node/drain", order, nil), http.StatusConflict)
	assert.Equal(t, s.e2.Drain(context.Background()), 0)
	await(t, "e2 has left", func() bool {
		var nodes []admin.NodeInfo
		s.do(s.e1, http.MethodGet, "/nodes", nil, &nodes)
		return !slices.ContainsFunc(nodes, func(n admin.NodeInfo) bool { return n.Node == "e2" && n.State != "left" })
	})
	s.awaitStatus(func(st admin.ConfigStatus) bool { return st.Everywhere && len(st.Nodes) == 2 })
}

// Guards against an upstream that gets new work on a node other than the asked one, on a node that starts later, or after
// it has announced itself again, while an operator holds it.
func TestUpstreamIsHeldOnAllEntryNodes(t *testing.T) {
	s := start(t)
	u, err := fake.New(fake.Options{
		ID: "enc", Kind: upapi.KindEncoder, Services: []string{"encode"}, DataCentre: "a", Region: "r", Clock: clock.Real(),
		Entries: []string{s.e1.Address()},
	})
	assert.NilError(t, err)
	t.Cleanup(u.Close)
	state := func(p *serve.Process) string {
		var list []admin.UpstreamInfo
		s.do(p, http.MethodGet, "/upstreams", nil, &list)
		if len(list) != 1 {
			return ""
		}
		return list[0].State
	}
	both := func(want string) {
		t.Helper()
		await(t, want, func() bool { return state(s.e1) == want && state(s.e2) == want })
	}
	both("live")
	order := admin.Order{Operator: "ann"}
	for _, mark := range []string{"drain", "eject"} {
		var done admin.Done
		assert.Equal(t, s.do(s.e2, http.MethodPost, "/upstreams/enc/"+mark, order, &done), http.StatusOK)
		assert.DeepEqual(t, done.Reached, []string{"e1", "e2"})
		both("held")
		assert.Equal(t, s.do(s.e1, http.MethodPost, "/upstreams/enc/restore", order, nil), http.StatusOK)
		both("live")
	}
	assert.Equal(t, s.do(s.e1, http.MethodPost, "/upstreams/enc/eject", order, nil), http.StatusOK)
	late := s.entry("e3")
	await(t, "a node that starts later takes the order over", func() bool { return state(late) == "held" })
	assert.Equal(t, s.do(late, http.MethodPost, "/upstreams/enc/restore", order, nil), http.StatusOK)
	both("live")
	assert.Equal(t, s.do(s.e1, http.MethodPost, "/upstreams/other/drain", order, nil), http.StatusNotFound)
	assert.Equal(t, s.do(s.e1, http.MethodPost, "/upstreams/other/eject", order, nil), http.StatusNotFound)
	assert.Equal(t, len(s.e1.Entry().Upstreams().Holds()), 1, "an order that was answered with not_found is not kept")
	assert.Equal(t, s.do(s.e1, http.MethodPost, "/upstreams/enc/restore", order, nil), http.StatusNotFound)
}

// Guards against a membership change that only works at the process which leads, a member that is shown under another
// identity, and an export that cannot be read.
func TestControlGroupIsChangedThroughAnyProcess(t *testing.T) {
	s := start(t)
	newProcess(t, flags.Settings{
		Node: "c2", Roles: []string{flags.RoleControl}, PeerListen: "127.0.0.1:0", Join: []string{s.peer},
		Data: filepath.Join(s.dataPath, "c2"),
	})
	order := admin.MemberOrder{Order: admin.Order{Operator: "ann"}, Member: "c2"}
	await(t, "c2 is added", func() bool { return s.do(s.e1, http.MethodPost, "/control/add", order, nil) == http.StatusOK })
	await(t, "c2 is promoted", func() bool { return s.do(s.e2, http.MethodPost, "/control/promote", order, nil) == http.StatusOK })
	var c admin.Control
	await(t, "both are voters", func() bool {
		s.do(s.e1, http.MethodGet, "/control", nil, &c)
		return len(c.Members) == 2 && len(c.Members[0].Members) == 2 && !c.Members[0].Members[1].Learner &&
			c.Members[1].Commit >= c.Members[0].Commit
	})
	assert.Equal(t, c.Members[1].ID, c.Members[0].Members[1].ID)
	await(t, "c2 is removed", func() bool { return s.do(s.e1, http.MethodPost, "/control/remove", order, nil) == http.StatusOK })
	assert.Equal(t, s.do(s.e1, http.MethodPost, "/control/remove", order, nil), http.StatusNotFound)

	var e ctrl.Export
	assert.Equal(t, s.do(s.control, http.MethodPost, "/control/export", order.Order, &e), http.StatusOK)
	s.restore(e.Path)
	var tl admin.Timeline
	s.do(s.e1, http.MethodGet, "/timeline?name=operator_change", nil, &tl)
	assert.Assert(t, len(tl.Events) >= 4, "%v", tl.Events)
	for _, ev := range tl.Events {
		assert.Equal(t, ev.Get("operator"), "ann")
	}
}

// restore starts a new group from an export and compares its configuration.
func (s *system) restore(path string) {
	s.t.Helper()
	f, err := os.Open(path)
	assert.NilError(s.t, err)
	defer f.Close()
	export, err := store.ReadExport(f)
	assert.NilError(s.t, err)
	address, dir := loopip.Address(s.t), filepath.Join(s.dataPath, "c9")
	_, err = store.Restore(dir, export, "c9", address, rand.Reader)
	assert.NilError(s.t, err)
	p := newProcess(s.t, flags.Settings{
		Node: "c9", Roles: []string{flags.RoleControl}, PeerListen: address, Control: []string{"c9=" + address}, Data: dir,
	})
	var got, want admin.Revision
	await(s.t, "the restored group answers", func() bool { return s.do(p, http.MethodGet, "/config", nil, &got) == http.StatusOK })
	s.do(s.control, http.MethodGet, "/config", nil, &want)
	assert.DeepEqual(s.t, got, want)
}

// Guards against a check of operators that some route does not pass, once there is one.
func TestEachRouteAsksForPermission(t *testing.T) {
	ready := make(chan struct{})
	close(ready)
	api := admin.New(admin.Options{Ready: ready, Allow: func(*http.Request) error { return fmt.Errorf("no") }})
	for _, r := range api.Routes() {
		w := &answer{header: http.Header{}}
		req, err := http.NewRequest(r.Method, r.Path, strings.NewReader("{}"))
		assert.NilError(t, err)
		r.Handler(w, req)
		assert.Equal(t, w.status, http.StatusForbidden, r.Path)
	}
}

type answer struct {
	header http.Header
	status int
}

func (a *answer) Header() http.Header         { return a.header }
func (a *answer) WriteHeader(status int)      { a.status = status }
func (a *answer) Write(b []byte) (int, error) { return len(b), nil }

// Guards against a route that is not documented, and a documented one that does not exist.
func TestRoutesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/admin_api.md")
	assert.NilError(t, err)
	var documented, routes []string
	for _, m := range regexp.MustCompile("(?m)^\\| `(GET|PUT|POST) (/[^`]*)` \\|").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, m[1]+" "+admin.Prefix+m[2])
	}
	for _, r := range admin.New(admin.Options{}).Routes() {
		routes = append(routes, r.Method+" "+regexp.MustCompile(`:(\w+)`).ReplaceAllString(r.Path, "{$1}"))
	}
	assert.DeepEqual(t, documented, routes)
}
