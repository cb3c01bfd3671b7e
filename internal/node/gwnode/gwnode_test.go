package gwnode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/internal/state/store"
	"github.com/berylledge/berylledge/internal/test/netem"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// fleet is a set of processes on loopback, one address for each, as VMs would have them.
type fleet struct {
	t     *testing.T
	net   int // third part of the addresses, so that tests beside each other do not meet
	dirs  map[int]string
	nodes map[int]*Process
	seeds []string
	up    *rawup.Upstream
	born  int64                // start of the upstream
	place map[int]poller.Place // of nodes that are not in data centre "a" of region "north"
	room  atomic.Int64         // bytes of a control node's data file, for nodes that open it from now on; 0: any number
	every conf.MS              // between two heartbeats
	stopS float64              // seconds of a planned stop
	links *netem.Net           // nil: the nodes reach each other at full speed
	sizes map[int]Limits       // of nodes that know their size
	files map[int]string       // settings files that the nodes watch; nil: they watch none
	cold  pace.Bounds          // of requests to cold upstreams
}

const (
	controlPort   = 7201
	directoryPort = 7202
	callersPort   = 7203
	readyPort     = 7204
	peerPort      = 7205
	metricsPort   = 7206
	patience      = 20 * time.Second
)

func newFleet(t *testing.T, network int) *fleet {
	f := &fleet{t: t, net: network, dirs: map[int]string{}, nodes: map[int]*Process{}, born: 5, every: 300, stopS: 2}
	for i := 1; i <= 3; i++ {
		f.seeds = append(f.seeds, f.at(i, controlPort))
	}
	f.up = rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\nBerylledge-Request: %s\r\nBerylledge-Signature: s\r\nContent-Length: 2\r\n\r\nok",
			r.Header.Get("Berylledge-Request")))
	})
	t.Cleanup(func() {
		for _, p := range f.nodes {
			p.Close()
		}
	})
	return f
}

func (f *fleet) ip(node int) string { return fmt.Sprintf("127.0.%d.%d", f.net, node) }

func (f *fleet) at(node, port int) string { return fmt.Sprintf("%s:%d", f.ip(node), port) }

// start starts a control node, or an entry node for numbers from 11.
func (f *fleet) start(node int, first bool) *Process {
	f.t.Helper()
	place, ok := f.place[node]
	if !ok {
		place = poller.Place{DataCentre: "a", Region: "north"}
	}
	s := Settings{
		Node: fmt.Sprint("n", node), IP: f.ip(node), DataCentre: place.DataCentre, Region: place.Region, Regions: f.regions(),
		PeerPort: peerPort, Metrics: metricsPort, Seeds: f.seeds, FirstStart: first, BeatMS: f.every, Losses: 1,
		Bounds: Bounds{StopS: f.stopS, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 50, EntryValidS: 5, ColdOverage: f.cold.ColdOverage, ColdSlack: f.cold.ColdSlack},
		Limits: f.sizes[node],
	}
	if node < 11 {
		if f.dirs[node] == "" {
			f.dirs[node] = f.t.TempDir()
		}
		s.Listen = Listen{Control: f.at(node, controlPort), Directory: f.at(node, directoryPort)}
		s.Data = f.dirs[node]
	} else {
		s.Listen = Listen{Callers: f.at(node, callersPort), Ready: f.at(node, readyPort)}
	}
	assert.Equal(f.t, len(s.check()), 0)
	o := Options{Dialect: proto.Own(), Clock: clock.Real(), Store: func() store.Options { return store.Options{MaxFileBytes: int(f.room.Load())} }}
	if f.links != nil {
		f.links.Place(f.ip(node), place.Region)
		o.Dial = f.links.Dialer(f.ip(node))
	}
	if f.files != nil {
		f.files[node] = filepath.Join(f.t.TempDir(), "settings.json")
		f.write(node, s)
		o.Path = f.files[node]
	}
	p, err := New(s, o)
	assert.NilError(f.t, err)
	f.nodes[node] = p
	return p
}

// write writes the settings file of a node.
func (f *fleet) write(node int, s Settings) {
	f.t.Helper()
	data, err := json.Marshal(s)
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(f.files[node], data, 0o600))
}

// startSmallest starts control node 1 as a group of its own and entry node 11, with a configuration and one upstream.
func (f *fleet) startSmallest() *Process {
	f.t.Helper()
	f.seeds = f.seeds[:1]
	f.start(1, true)
	p := f.start(11, true)
	f.put(1, f.config(5, "/x/"))
	f.eventually("the upstream is registered", func() bool { return f.beat(1, roster.Ready, 1) == 200 })
	f.eventually("the entry node is ready", func() bool { return p.isReady() && len(p.poller.View().Services) == 1 })
	return p
}

// regions returns the region of each data centre.
func (f *fleet) regions() map[string]string {
	out := map[string]string{"a": "north"}
	for _, p := range f.place {
		out[p.DataCentre] = p.Region
	}
	return out
}

func (f *fleet) stop(node int) {
	f.nodes[node].Close()
	delete(f.nodes, node)
}

func (f *fleet) do(method, url string, body any, header ...string) (int, string) {
	f.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(f.t, err)
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	assert.NilError(f.t, err)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	r.Host = "api.example"
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body) // a part is enough for the message of a failed test
	return resp.StatusCode, string(text)
}

// eventually repeats a check until it holds.
func (f *fleet) eventually(what string, check func() bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	for !check() {
		if clock.Sleep(ctx, clock.Real(), 50*time.Millisecond) != nil {
			f.t.Fatalf("not within %s: %s", patience, what)
		}
	}
}

func (f *fleet) config(version uint64, prefix string) *conf.Config {
	return &conf.Config{
		Version:  version,
		Routes:   []conf.Route{{Name: "r", Host: "api.example", Prefix: prefix, Kind: conf.Safe, Timeout: 2000, Split: []conf.Weight{{Service: "desk", Weight: 1}}}},
		Services: []conf.Service{{Name: "desk"}},
	}
}

// put sends a configuration to a control node until it is acknowledged.
func (f *fleet) put(node int, c *conf.Config) {
	f.t.Helper()
	f.eventually("the configuration is acknowledged", func() bool {
		status, _ := f.do("PUT", "http://"+f.at(node, controlPort)+"/v1/traffic", c)
		return status == 200
	})
}

func (f *fleet) read(node int) uint64 {
	status, text := f.do("GET", "http://"+f.at(node, controlPort)+"/v1/traffic", nil)
	var c conf.Config
	if status != 200 || json.Unmarshal([]byte(text), &c) != nil {
		return 0
	}
	return c.Version
}

func (f *fleet) beat(node int, state roster.State, sequence int64) int {
	u := roster.Upstream{
		Service: "desk", Address: f.up.Address, DataCentre: "a", State: state, StartedMs: f.born, Sequence: sequence,
	}
	status, _ := f.do("PUT", "http://"+f.at(node, controlPort)+"/v1/traffic/upstreams/u1", u)
	return status
}

func (f *fleet) request(node int, path string) int {
	status, _ := f.do("GET", "http://"+f.at(node, callersPort)+path, nil, "Berylledge-Request", "id1")
	return status
}

// Guards against a fleet that does not come up by itself, and against a request, a heartbeat or a configuration that gets
// lost between the processes.
func TestFleetServesFromTheFirstStart(t *testing.T) {
	f := newFleet(t, 61)
	for _, n := range []int{11, 3, 1, 2, 4, 12} { // 4 is no seed
		f.start(n, true)
	}
	assert.Equal(t, f.request(11, "/x/"), 503, "no configuration yet")
	status, _ := f.do("GET", "http://"+f.at(11, readyPort)+"/v1/ready", nil)
	assert.Equal(t, status, 503)
	f.put(2, f.config(3, "/x/"))
	f.eventually("the upstream is registered", func() bool { return f.beat(4, roster.Ready, 1) == 200 })
	for _, n := range []int{11, 12} {
		f.eventually("each entry node serves", func() bool { return f.request(n, "/x/") == 200 })
	}
	f.eventually("both entry nodes are given out", func() bool {
		_, text := f.do("GET", "http://"+f.at(1, directoryPort)+"/v1/traffic/entries?data_centre=a&region=north", nil)
		return strings.Contains(text, f.ip(11)) && strings.Contains(text, f.ip(12))
	})
	assert.Equal(t, f.request(11, "/y/"), 404)
	f.put(1, f.config(9, "/y/"))
	f.eventually("the new configuration is in force", func() bool { return f.request(12, "/y/") == 200 })
	assert.Equal(t, f.request(12, "/x/"), 404)
	f.put(3, f.config(4, "/old/")) // acknowledged, without effect
	assert.Equal(t, f.read(3), uint64(9))
	invalid := f.config(12, "/x/")
	invalid.Routes[0].Timeout = 0
	status, _ = f.do("PUT", "http://"+f.at(1, controlPort)+"/v1/traffic", invalid)
	assert.Equal(t, status, 400)
	status, _ = f.do("PUT", "http://"+f.at(1, controlPort)+"/v1/traffic/upstreams/u2", "not a heartbeat")
	assert.Equal(t, status, 400)
	f.eventually("the leave is acknowledged", func() bool { return f.beat(1, roster.Draining, 2) == 200 })
	f.eventually("no work for an upstream that leaves", func() bool { return f.request(11, "/y/") == 503 })
	assert.Equal(t, f.beat(2, roster.Ready, 1), 200, "a late heartbeat is acknowledged")
	assert.Equal(t, f.request(11, "/y/"), 503, "and changes nothing")
}

// Guards against an acknowledged configuration that is lost with a disk, and against a group that stays incomplete after it:
// the second loss would then be final.
func TestGroupRepairsItselfAfterEachLostDisk(t *testing.T) {
	f := newFleet(t, 62)
	for n := 1; n <= 3; n++ {
		f.start(n, true)
	}
	f.put(1, f.config(5, "/x/"))
	for lost := 1; lost <= 3; lost++ {
		f.stop(lost)
		f.dirs[lost] = ""
		f.start(lost, false)
		f.eventually("the new member has the configuration and a vote", func() bool {
			s, ok := f.nodes[lost].member.Status()
			voters, votes := 0, false // a snapshot may hold three voters of before the loss
			for _, m := range s.Raft.Members {
				if !m.Learner {
					voters++
					votes = votes || m.ID == f.nodes[lost].member.ID()
				}
			}
			return ok && votes && voters == 3 && len(s.Raft.Members) == 3 && f.read(lost) == 5
		})
	}
	f.put(2, f.config(6, "/x/"))
	assert.Equal(t, f.read(3), uint64(6))
}

// metaBytes is the size of the two pages at the start of a data file that name its present root.
const metaBytes = 2 * 4096

// Guards against a member that ends for good, or votes with a state that it has lost, because its folder is damaged.
func TestDamagedFolderIsReplaced(t *testing.T) {
	f := newFleet(t, 63)
	for n := 1; n <= 3; n++ {
		f.start(n, true)
	}
	f.put(1, f.config(5, "/x/"))
	before := f.nodes[2].member.ID()
	f.stop(2)
	file := filepath.Join(f.dirs[2], "group", "state.db")
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	for i := metaBytes; i < len(data); i += 97 { // in each page that can hold data, since any may be unused
		data[i] ^= 0xff
	}
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	f.start(2, false)
	f.eventually("the member is back", func() bool { return f.read(2) == 5 })
	assert.Assert(t, f.nodes[2].member.ID() != before)
}

// Guards against answers that differ between control nodes: one without a majority must not answer.
func TestNodeWithoutMajorityDoesNotAnswerReads(t *testing.T) {
	f := newFleet(t, 64)
	for n := 1; n <= 3; n++ {
		f.start(n, true)
	}
	f.put(1, f.config(5, "/x/"))
	f.stop(1)
	f.stop(2)
	f.eventually("the lonely node refuses", func() bool {
		status, _ := f.do("GET", "http://"+f.at(3, controlPort)+"/v1/traffic", nil)
		return status == 503
	})
	assert.Equal(t, f.beat(3, roster.Draining, 7), 503, "it cannot say that the others know")
	f.start(1, false)
	f.eventually("the majority answers again", func() bool { return f.read(3) == 5 })
}

// Guards against requests that are cut off by a planned stop, and against callers that are still sent to the node.
func TestPlannedStopFinishesRequests(t *testing.T) {
	f := newFleet(t, 65)
	release := make(chan bool)
	f.up = rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		<-release
		c.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\nBerylledge-Request: %s\r\nBerylledge-Signature: s\r\nContent-Length: 2\r\n\r\nok",
			r.Header.Get("Berylledge-Request")))
	})
	p := f.startSmallest()
	result := make(chan int)
	go func() { result <- f.request(11, "/x/") }()
	f.eventually("the request is under way", func() bool { return p.forwarder.InFlight() == 1 })
	drained := make(chan int)
	go func() { drained <- p.Drain(context.Background()) }()
	f.eventually("the node is not ready", func() bool {
		status, _ := f.do("GET", "http://"+f.at(11, readyPort)+"/v1/ready", nil)
		return status == 503
	})
	f.eventually("the node is not given out", func() bool {
		status, _ := f.do("GET", "http://"+f.at(1, directoryPort)+"/v1/traffic/entries?data_centre=a&region=north", nil)
		return status == 503
	})
	close(release)
	assert.Equal(t, <-result, 200)
	assert.Equal(t, <-drained, 0)
	c, err := net.Dial("tcp", f.at(11, callersPort))
	if err == nil {
		_ = c.Close()
	}
	assert.Assert(t, err != nil, "the listener is closed")
}

// Guards against a request that crashes each upstream that runs it and comes again at another entry node each time, against
// a control node that forgets what it was told when it restarts, and against other requests that are blocked with it.
func TestCrashingContentIsBlockedOnAllNodes(t *testing.T) {
	f := newFleet(t, 66)
	var runs atomic.Int32
	f.up = rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		if r.RequestURI == "/x/bad" {
			runs.Add(1)
			c.Reset()
			return
		}
		c.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\nBerylledge-Request: %s\r\nBerylledge-Signature: s\r\nContent-Length: 2\r\n\r\nok",
			r.Header.Get("Berylledge-Request")))
	})
	for n := 1; n <= 3; n++ {
		f.start(n, true)
	}
	f.put(1, f.config(5, "/x/"))
	for n := 11; n <= 13; n++ {
		p := f.start(n, false)
		f.born++
		f.eventually("the upstream is registered", func() bool { return f.beat(1, roster.Ready, 1) == 200 })
		f.eventually("the entry node knows its latest start", func() bool {
			list := p.poller.View().Services["desk"]
			return p.isReady() && len(list) == 1 && list[0].StartedMs == f.born
		})
		assert.Equal(t, f.request(n, "/x/bad"), http.StatusBadGateway)
	}
	assert.Equal(t, runs.Load(), int32(deny.MaxCrashes))
	for _, n := range []int{11, 12, 13} {
		f.eventually("each entry node refuses it", func() bool { return f.request(n, "/x/bad") == http.StatusServiceUnavailable })
	}
	assert.Assert(t, runs.Load() <= 2*deny.MaxCrashes, "%d runs", runs.Load())
	before := runs.Load()
	for n := 1; n <= 3; n++ {
		f.stop(n)
		f.start(n, false)
		f.eventually("the entry nodes ask it", func() bool { return f.read(n) == 5 })
	}
	f.eventually("the upstream is registered again", func() bool { return f.beat(1, roster.Ready, 2) == 200 })
	f.eventually("the control nodes are told again", func() bool {
		_, blocked := f.nodes[11].blocklist.Blocked(time.Now(), f.badContent())
		return blocked && f.nodes[1].control.Suspects() > 0 && f.nodes[2].control.Suspects() > 0 && f.nodes[3].control.Suspects() > 0
	})
	p := f.start(14, false)
	f.eventually("a new entry node is ready", func() bool { return p.isReady() && len(p.poller.View().Services) == 1 })
	f.eventually("it serves others", func() bool { return f.request(14, "/x/good") == http.StatusOK })
	assert.Equal(t, f.request(14, "/x/bad"), http.StatusServiceUnavailable)
	assert.Equal(t, runs.Load(), before)
}

func (f *fleet) badContent() poison.Fingerprint {
	return deny.Sum("api.example", "/x/bad", "", []byte("null"))
}

// Guards against settings that only show their fault later.
func TestSettingsAreChecked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	write := func(text string) error {
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := ReadSettings(path)
		return err
	}
	good := `{"node":"e1","ip":"10.0.0.1","data_centre":"a","peer_port":7000,"listen":{"callers":"10.0.0.1:80"},"new_field":1}`
	assert.NilError(t, write(good))
	for old, bad := range map[string]string{
		`"ip":"10.0.0.1"`: `"ip":"host"`, `"peer_port":7000`: `"peer_port":0`, `"node":"e1"`: `"node":""`,
		`"callers":"10.0.0.1:80"`: `"callers":"10.0.0.1"`, `{"callers":"10.0.0.1:80"}`: `{"control":"10.0.0.1:80"}`,
		`"new_field":1}`: `"new_field":`, `"peer_port":7000,`: `"peer_port":7000,"seeds":["10.0.0.2:80","control-1:80"],`,
	} {
		err := write(strings.Replace(good, old, bad, 1))
		assert.ErrorContains(t, err, "settings", bad)
	}
}
