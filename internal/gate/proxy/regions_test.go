package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/batch"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/test/rawup"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// regionProxy is a Forwarder in region n with upstreams in the regions n, s and w.
type regionProxy struct {
	*testProxy
	view   atomic.Pointer[poller.View]
	owner  *batch.Batcher                // runs the queues of region n
	ups    map[string]*rawup.Upstream    // by ID, which is the service and the data centre
	older  atomic.Pointer[poller.View]   // what the Forwarder knows in place of view; nil: the same
	onView func()                        // called before the Forwarder reads the view; may be nil
	place  func(placeRequest) placeReply // answers for the placers of other nodes
	stream bool                          // all routes are streams that may resume
}

var testRegions = map[string]string{"a": "n", "b": "s", "c": "w"}

// newRegionProxy starts a Forwarder with a route for each kind of choice: /plain/, /engine/ and /stages/, the last one with an
// engine and two stages. answer replaces the answers of upstreams; false leaves the request to the usual answer.
func newRegionProxy(t *testing.T, answer func(id string, c *rawup.Conn, r *rawup.Request) bool) *regionProxy {
	return newRegionProxyBeside(t, false, answer)
}

// newRegionProxyBeside starts a Forwarder whose node owns all queues, or one beside a node that owns those of region n.
func newRegionProxyBeside(t *testing.T, remoteOwner bool, answer func(id string, c *rawup.Conn, r *rawup.Request) bool) *regionProxy {
	p := &regionProxy{
		ups: map[string]*rawup.Upstream{}, place: func(placeRequest) placeReply { return placeReply{Ticket: 7, ID: "models-a"} },
	}
	view := &poller.View{Services: map[string][]roster.Upstream{}}
	for _, service := range []string{"desk", "models", "prepare", "join"} {
		for _, dc := range []string{"a", "b", "c"} {
			id := service + "-" + dc
			p.ups[id] = rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
				switch {
				case answer != nil && answer(id, c, r):
				case service == "prepare" || service == "join":
					c.WriteString(stageAnswer(id, r))
				default:
					c.WriteString(rawResponse(200, r.Header.Get("Berylledge-Request"), "ok", signed))
				}
			})
			view.Services[service] = append(view.Services[service], roster.Upstream{
				ID: id, Service: service, Address: p.ups[id].Address, DataCentre: dc, State: roster.Ready,
			})
		}
	}
	view.Table = conf.NewTable(regionConfig(nil))
	p.view.Store(view)
	c := clock.Real()
	events := event.New(event.Options{Node: "e1", Clock: c})
	d := proto.Own()
	pool := upcon.New(upcon.Options{Clock: c, IDHeader: d.Headers.RequestID})
	hub := func(name string, handle func(context.Context, []byte) ([]byte, error)) *peer.Hub {
		h, err := peer.New(peer.Options{
			ID: name, Address: "127.0.0.1:0", Clock: c, Events: events,
			Handle: func(ctx context.Context, _ string, kind peer.Kind, body []byte) ([]byte, error) {
				if kind == peer.KindPlace {
					var q placeRequest
					if err := cbor.Unmarshal(body, &q); err != nil {
						return nil, err
					}
					return cbor.Marshal(p.place(q))
				}
				return handle(ctx, body)
			},
		})
		assert.NilError(t, err)
		t.Cleanup(h.Close)
		return h
	}
	batcher := func(name string, h *peer.Hub) *batch.Batcher {
		return batch.New(batch.Options{
			Node: name, Peer: h.Address(), RegionOf: testRegions, Dialect: d, Clock: c, Events: events, View: p.view.Load, Hub: h, Pool: pool,
		})
	}
	own := hub("e1", func(context.Context, []byte) ([]byte, error) { return nil, nil })
	mk := batcher("e1", own)
	p.owner = mk
	if remoteOwner {
		h := hub("e2", func(ctx context.Context, body []byte) ([]byte, error) { return p.owner.Handle(ctx, body) })
		p.owner = batcher("e2", h)
		t.Cleanup(p.owner.Close)
		view.Entries = []roster.Entry{{Node: "e2", Peer: h.Address(), DataCentre: "a", Region: "n", Ready: true}}
	}
	f := New(Options{
		Node: "e1", DataCentre: "a", Region: "n", RegionOf: testRegions, Dialect: d, Clock: c, Events: events,
		View: p.loadView, Pool: pool, Batcher: mk, Hub: own, RetryBudget: RetryBudget{Ratio: 1, Window: time.Second, Slack: 100},
		Crashes: deny.New(), ReportCrashes: func() {}, RefreshCrashes: func(context.Context) {},
	})
	server := httptest.NewServer(f)
	t.Cleanup(func() {
		server.Close()
		f.Close()
		mk.Close()
		pool.Close()
	})
	p.testProxy = &testProxy{t, f, server, events, new(atomic.Int32), &p.view}
	return p
}

func (p *regionProxy) loadView() *poller.View {
	if p.onView != nil {
		p.onView()
	}
	if v := p.older.Load(); v != nil {
		return v
	}
	return p.view.Load()
}

func stageAnswer(id string, r *rawup.Request) string {
	var call struct{ Items []struct{ Piece int } }
	_ = json.Unmarshal(r.Body, &call) // a request to free results has no items
	handles := make([]string, len(call.Items))
	for i, item := range call.Items {
		handles[i] = fmt.Sprintf(`{"handle":"%s-%s-%d"}`, id, r.Header.Get("Berylledge-Deadline-Ms"), item.Piece)
	}
	text := `{"items":[` + strings.Join(handles, ",") + `]}`
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func regionConfig(change func(*conf.Config)) *conf.Config {
	// The length of the queue makes an unanswered call last 2.2 s, longer than a change of the lists takes.
	pool := &conf.Pool{Slots: 1, Queue: 30, Batch: 8, CallTime: 10, ItemTime: 1, ResultMemoryMB: 1, HandleTTL: 4000, LinkMbps: 1000}
	cfg := &conf.Config{
		Version: 1,
		Services: []conf.Service{
			{Name: "desk"}, {Name: "models", Engine: &conf.Engine{Slots: 4, CacheTokens: 10_000}}, {Name: "prepare", Pool: pool}, {Name: "join", Pool: pool},
		},
		Teams:  []conf.Team{{Name: "office", Keys: []conf.KeyHash{conf.HashKey("secret")}}},
		Limits: conf.Limits{BodyBytes: 100, HeaderBytes: 4096},
	}
	for _, r := range []conf.Route{
		{Name: "plain", Split: []conf.Weight{{Service: "desk", Weight: 1}}},
		{Name: "engine", Split: []conf.Weight{{Service: "models", Weight: 1}}},
		{
			Name: "stages", Split: []conf.Weight{{Service: "models", Weight: 1}},
			Stages: []conf.Stage{{Service: "prepare", ResultBytes: 1}, {Service: "join", After: []int{0}, ResultBytes: 1}},
		},
	} {
		r.Host, r.Prefix, r.Kind, r.Timeout, r.Target, r.Attempts = "api.example", "/"+r.Name+"/", conf.Safe, 20_000, 10_000, 3
		cfg.Routes = append(cfg.Routes, r)
	}
	if change != nil {
		change(cfg)
	}
	return cfg
}

// allow puts a configuration in force that restricts all routes and the team.
func (p *regionProxy) allow(routes, team []string) {
	p.configure(func(cfg *conf.Config) {
		for i := range cfg.Routes {
			cfg.Routes[i].Regions = routes
			if p.stream {
				cfg.Routes[i].Kind, cfg.Routes[i].Resume = conf.Stream, true
			}
		}
		cfg.Teams[0].Regions = team
	})
}

func (p *regionProxy) configure(change func(*conf.Config)) {
	now := *p.view.Load()
	cfg := regionConfig(change)
	cfg.Version = now.Table.Config.Version + 1
	assert.Equal(p.t, len(cfg.Validate()), 0)
	now.Table = conf.NewTable(cfg)
	p.view.Store(&now)
}

// setUpstreams changes the upstreams of a service.
func (p *regionProxy) setUpstreams(service string, change func(*roster.Upstream)) {
	now := *p.view.Load()
	services := map[string][]roster.Upstream{}
	for name, list := range now.Services {
		services[name] = slices.Clone(list)
	}
	for i := range services[service] {
		change(&services[service][i])
	}
	now.Services = services
	p.view.Store(&now)
}

func (p *regionProxy) ask(route, id string) result {
	return p.do(p.pieces(p.request("/"+route+"/", id)))
}

func (p *regionProxy) pieces(r *http.Request) *http.Request {
	r.Header.Set("Berylledge-Pieces", "2,1")
	r.Header.Set("Berylledge-Piece-Key", "k")
	return r
}

// reached returns the data centres whose upstreams have got a request, sorted.
func (p *regionProxy) reached() string {
	out := map[string]bool{}
	for id, up := range p.ups {
		if len(up.Requests()) > 0 {
			out[id[len(id)-1:]] = true
		}
	}
	list := make([]string, 0, len(out))
	for dc := range out {
		list = append(list, dc)
	}
	slices.Sort(list)
	return strings.Join(list, "")
}

// placerRegions returns the regions whose placers were asked, sorted.
func (p *regionProxy) placerRegions() string {
	p.forwarder.mu.Lock()
	defer p.forwarder.mu.Unlock()
	var list []string
	for key := range p.forwarder.placers {
		list = append(list, key.region)
	}
	slices.Sort(list)
	return strings.Join(list, "")
}

// The nearest upstreams of all services are in region n. Guards against requests, retries, pieces of stages and placements that
// leave the regions which both the route and the team allow, whether or not these regions can serve.
func TestRouteStaysInItsRegions(t *testing.T) {
	fails := func(dc string) func(string, *rawup.Conn, *rawup.Request) bool {
		return func(id string, c *rawup.Conn, _ *rawup.Request) bool {
			if id[len(id)-1:] != dc || strings.HasPrefix(id, "prepare") || strings.HasPrefix(id, "join") {
				return false
			}
			c.Reset()
			return true
		}
	}
	for _, c := range []struct {
		name         string
		routes, team []string
		answer       func(string, *rawup.Conn, *rawup.Request) bool
		change       func(*roster.Upstream)
		status       int
		reached      string
	}{
		{name: "unrestricted", status: 200, reached: "a"},
		{name: "own region", routes: []string{"n"}, status: 200, reached: "a"},
		{name: "another region", routes: []string{"s"}, status: 200, reached: "b"},
		{name: "region of the team", team: []string{"s"}, status: 200, reached: "b"},
		{name: "both lists bind", routes: []string{"s", "n"}, team: []string{"w", "s"}, status: 200, reached: "b"},
		{name: "no common region", routes: []string{"s"}, team: []string{"n"}, status: 503, reached: ""},
		{name: "unknown region", routes: []string{"x"}, status: 503, reached: ""},
		{name: "broken upstreams", routes: []string{"s"}, answer: fails("b"), status: 502, reached: "b"},
		{name: "own region fails, others forbidden", routes: []string{"n"}, answer: fails("a"), status: 502, reached: "a"},
		{
			name: "gone upstreams", routes: []string{"s"}, status: 503, reached: "",
			change: func(u *roster.Upstream) {
				if u.DataCentre == "b" {
					u.State = roster.Gone
				}
			},
		},
	} {
		for _, route := range []string{"plain", "engine", "stages"} {
			t.Run(c.name+", "+route, func(t *testing.T) {
				p := newRegionProxy(t, c.answer)
				p.allow(c.routes, c.team)
				for _, service := range []string{"desk", "models"} {
					if c.change != nil {
						p.setUpstreams(service, c.change)
					}
				}
				got := p.ask(route, "id1")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, c.status, got.body)
				assert.Equal(t, p.reached(), c.reached)
				if c.status != http.StatusServiceUnavailable {
					home := ""
					if route != "plain" {
						home = testRegions[c.reached]
					}
					assert.Equal(t, p.placerRegions(), home)
					return
				}
				assert.Equal(t, p.placerRegions(), "")
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, after >= retryLater.Seconds()/2 && after <= retryLater.Seconds()*3/2)
				assert.Assert(t, strings.Contains(got.body, "in the allowed regions: "), got.body)
				assert.Equal(t, len(p.events.Select(event.Filter{Name: "forward_refused"})), 1)
			})
		}
	}
}

// Silent upstreams, and those that failed a moment ago, are tried if there is no other. Guards against taking one of a forbidden
// region instead.
func TestPausedUpstreamsOfForbiddenRegionsAreNotTried(t *testing.T) {
	for _, route := range []string{"plain", "engine"} {
		p := newRegionProxy(t, nil)
		p.allow([]string{"s"}, nil)
		for _, service := range []string{"desk", "models"} {
			p.setUpstreams(service, func(u *roster.Upstream) { u.Silent = true })
		}
		assert.Equal(t, p.ask(route, "id1").status, 200)
		assert.Equal(t, p.reached(), "b", route)
	}
}

// Guards against stages that run although no allowed region has an upstream for a later one, and against a stage in a forbidden
// region.
func TestStageWithoutAllowedUpstreamIsRefusedAtOnce(t *testing.T) {
	p := newRegionProxy(t, nil)
	p.allow([]string{"s"}, nil)
	p.setUpstreams("join", func(u *roster.Upstream) {
		if u.DataCentre == "b" {
			u.Silent = true
		}
	})
	got := p.ask("stages", "id1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(got.body, "service join"), got.body)
	assert.Equal(t, p.reached(), "")
}

// Both stages have their only upstream near the engine in a forbidden region, or in the other allowed one. Guards against a choice
// of the nearest upstream that ignores the lists.
func TestStagesMoveOnlyToAllowedRegions(t *testing.T) {
	p := newRegionProxy(t, nil)
	p.allow([]string{"s", "w"}, nil)
	p.setUpstreams("prepare", func(u *roster.Upstream) { u.Silent = u.DataCentre == "b" })
	p.setUpstreams("join", func(u *roster.Upstream) { u.Silent = u.DataCentre == "c" })
	assert.Equal(t, p.ask("stages", "id1").status, 200)
	assert.Equal(t, p.reached(), "bc")
}

// A configuration that allows another region comes into force at each point at which the Forwarder reads its view. Guards against a
// choice by the lists of the old configuration that is sent after the Forwarder could know the new one.
func TestNothingIsSentByAnOldList(t *testing.T) {
	for _, route := range []string{"plain", "engine"} {
		last := int32(0)
		for k := int32(1); k <= last+1; k++ {
			var reads atomic.Int32
			var late, sent atomic.Bool
			p := newRegionProxy(t, func(id string, _ *rawup.Conn, _ *rawup.Request) bool {
				sent.Store(true)
				late.Store(late.Load() || strings.HasSuffix(id, "-a") && reads.Load() >= k)
				return false
			})
			p.allow([]string{"n"}, nil)
			p.onView = func() {
				if sent.Load() {
					return
				}
				if reads.Add(1) == k {
					p.allow([]string{"s"}, nil)
				}
			}
			got := p.ask(route, "id1")
			assert.Assert(t, got.status == 200 || got.status == 503, "%d: %s", got.status, got.body)
			assert.Assert(t, !late.Load(), "%s: switched at read %d of %d", route, k, reads.Load())
			if k > reads.Load() {
				break
			}
			last = reads.Load()
		}
		assert.Assert(t, last > 3)
	}
}

// Guards against pieces that are called in a region after the list excludes it. One request is in a call that is never answered, the
// others wait behind it; all must be served in the region that is allowed now, well before their time is over.
func TestQueuedPiecesLeaveARegionThatIsNoLongerAllowed(t *testing.T) {
	for _, remoteOwner := range []bool{false, true} {
		t.Run(fmt.Sprint("remote owner ", remoteOwner), func(t *testing.T) { testQueuedPiecesLeave(t, remoteOwner) })
	}
}

func testQueuedPiecesLeave(t *testing.T, remoteOwner bool) {
	called := make(chan bool, 100)
	p := newRegionProxyBeside(t, remoteOwner, func(id string, c *rawup.Conn, r *rawup.Request) bool {
		if id != "prepare-a" {
			return false
		}
		called <- true
		_, _ = c.Read(make([]byte, 1)) // until the connection ends
		return true
	})
	p.allow([]string{"n"}, nil)
	var answers []<-chan result
	for i := range 4 {
		answers = append(answers, p.start(p.pieces(p.request("/stages/", fmt.Sprint("id", i)))))
	}
	wait(t, called)
	waitUntil(t, func() bool { return p.queued("prepare", "n") == 6+1 })
	assert.NilError(t, clock.Sleep(t.Context(), clock.Real(), 2*regionCheckInterval)) // the lists are compared more than once
	changed := time.Now()
	p.allow([]string{"s"}, nil)
	for _, answer := range answers {
		got := wait(t, answer)
		assert.Equal(t, got.status, 200, got.body)
	}
	assert.Assert(t, time.Since(changed) < 3*time.Second)
	waitUntil(t, func() bool { return p.queued("prepare", "n") == 0 }) // all pieces there have been called or cancelled
	assert.Equal(t, len(p.ups["prepare-a"].Requests()), 1)
	for id, up := range p.ups {
		if id != "prepare-a" && id != "prepare-b" && id != "join-b" && id != "models-b" {
			assert.Equal(t, len(up.Requests()), 0, id)
		}
	}
}

// queued returns the number of pieces that wait in a queue, and of its calls in flight.
func (p *regionProxy) queued(service, region string) int {
	n := 0
	for _, q := range p.owner.Queues() {
		if q.Service == service && q.Region == region {
			n += q.CallsInFlight
			for _, waiting := range q.Waiting {
				n += waiting
			}
		}
	}
	return n
}

func waitUntil(t *testing.T, check func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for !check() {
		assert.NilError(t, clock.Sleep(ctx, clock.Real(), 5*time.Millisecond))
	}
}

// The list changes while the engine refuses the request, when all stages are done. Guards against a second attempt in the new region
// that reads the results in the old one.
func TestResultsInARegionThatIsNoLongerAllowedAreMadeAgain(t *testing.T) {
	var p *regionProxy
	p = newRegionProxy(t, func(id string, c *rawup.Conn, r *rawup.Request) bool {
		switch id {
		case "models-a":
			p.allow([]string{"s"}, nil)
			c.WriteString(rawResponse(503, r.Header.Get("Berylledge-Request"), "full", "Berylledge-Not-Run: 1"))
			return true
		case "models-b":
			c.WriteString(streamHead(r.Header.Get("Berylledge-Request")) + chunk(events(1, 2)) + "0\r\n\r\n")
			return true
		}
		return false
	})
	p.stream = true
	p.allow([]string{"n"}, nil)
	got := p.ask("stages", "id1")
	assert.Equal(t, got.status, 200, got.body)
	assert.Equal(t, got.body, events(1, 2))
	sent := p.ups["models-b"].Requests()
	assert.Equal(t, len(sent), 1)
	inputs := sent[0].Header.Get("Berylledge-Inputs")
	assert.Assert(t, strings.HasPrefix(inputs, "join-b-"), inputs)
	assert.Equal(t, len(p.ups["prepare-b"].Requests()) > 0, true)
}

// Guards against a stream that resumes in a forbidden region, and against one that may not follow a changed list.
func TestBrokenStreamResumesInAllowedRegions(t *testing.T) {
	for _, moves := range []bool{false, true} {
		var p *regionProxy
		p = newRegionProxy(t, func(id string, c *rawup.Conn, r *rawup.Request) bool {
			head := streamHead(r.Header.Get("Berylledge-Request"))
			if id != "desk-a" {
				c.WriteString(head + chunk(events(4, 6)) + "0\r\n\r\n")
				return true
			}
			if moves {
				p.allow([]string{"w"}, nil)
			}
			c.WriteString(head + chunk(events(1, 3)))
			c.End()
			return true
		})
		p.stream = true
		p.allow([]string{"n"}, nil)
		got := p.ask("plain", "id1")
		if moves {
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, events(1, 6))
			assert.Equal(t, p.reached(), "ac")
			continue
		}
		assert.Assert(t, got.err != nil)
		assert.Equal(t, got.body, events(1, 3))
		assert.Equal(t, p.reached(), "a")
	}
}

// Callers in a region that a route does not allow send requests without shared parts. Guards against an engine region that gets
// all of them while another allowed one is idle.
func TestRequestsFromForbiddenRegionsUseAllAllowedOnes(t *testing.T) {
	p := newRegionProxy(t, nil)
	p.allow([]string{"s", "w"}, nil)
	for i := range 40 {
		assert.Equal(t, p.ask("engine", fmt.Sprint("id", i)).status, 200)
	}
	for _, id := range []string{"models-b", "models-c"} {
		assert.Assert(t, len(p.ups[id].Requests()) >= 8, "%s: %d of 40", id, len(p.ups[id].Requests()))
	}
	assert.Equal(t, p.reached(), "bc")
}

// The node that owns a queue stops after the list excluded the queue's region, while the request is still in progress elsewhere. Guards
// against cancelled pieces that the next owner, here the node itself, runs in that region.
func TestCancelledPiecesAreNotRunByTheNextOwner(t *testing.T) {
	called, engine, release := make(chan bool, 10), make(chan bool, 10), make(chan bool)
	p := newRegionProxyBeside(t, true, func(id string, c *rawup.Conn, _ *rawup.Request) bool {
		switch id {
		case "prepare-a":
			called <- true
			_, _ = c.Read(make([]byte, 1)) // until the connection ends
			return true
		case "models-b":
			engine <- true
			<-release
		}
		return false
	})
	p.allow([]string{"n"}, nil)
	answer := p.start(p.pieces(p.request("/stages/", "id1")))
	wait(t, called)
	p.allow([]string{"s"}, nil)
	wait(t, engine)
	now := *p.view.Load()
	now.Entries = nil
	p.view.Store(&now)
	p.owner.Close()
	assert.NilError(t, clock.Sleep(t.Context(), clock.Real(), 200*time.Millisecond)) // longer than the next owner takes to send a call
	close(release)
	assert.Equal(t, wait(t, answer).status, 200)
	for _, q := range p.forwarder.o.Batcher.Queues() {
		assert.Assert(t, q.Region != "n", "the queue of %s was taken over", q.Service)
	}
	assert.Equal(t, len(p.ups["prepare-a"].Requests()), 1)
}
