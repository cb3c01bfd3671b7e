package gwnode

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/zeromicro/go-zero/rest"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/base/stats"
	"github.com/berylledge/berylledge/internal/gate/batch"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/ctlsrv"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/proxy"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/node/quota"
	"github.com/berylledge/berylledge/internal/state/quorum"
	"github.com/berylledge/berylledge/internal/state/store"
	"github.com/berylledge/berylledge/internal/state/vdoc"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/internal/wire/memory"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// Options are what a process needs besides its settings.
type Options struct {
	Dialect *proto.Dialect
	Clock   clock.Clock
	Logger  hclog.Logger
	Path    string // settings file, read again when it changes
	// Store configures the store of a control node each time it is opened; nil: the defaults.
	Store func() store.Options
	// Quota is what the process may use; zero: what the settings name, or else the system permits.
	Quota quota.Quota
	// Dial opens connections to the other processes of the system; nil: package dial does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Process is a running process.
type Process struct {
	s      Settings
	o      Options
	events *event.Log
	seeds  atomic.Pointer[[]string] // peer addresses
	hub    *peer.Hub
	ready  chan struct{} // closed when all parts that handle messages exist
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	member  *quorum.Member // control nodes
	control *ctlsrv.Server

	poller    *poller.Poller  // entry nodes
	blocklist *deny.Blocklist // contents that crash upstreams, as this entry node knows them
	batcher   *batch.Batcher
	forwarder *proxy.Forwarder
	pool      *upcon.Pool
	http      *http.Server
	callers   *callerListener

	account  *memory.Account
	refused  *quota.Refusals
	page     *stats.Page        // metrics; nil without an address for them
	sampled  map[queueName]bool // queues whose state was published last; owned by the page's goroutine
	servers  []*httpd.Server
	draining atomic.Bool
}

// reloadEvery is how often the settings file is looked at; it may change without a signal.
const reloadEvery = time.Second

// New starts a process.
func New(s Settings, o Options) (*Process, error) {
	p := &Process{
		s: s, o: o, ready: make(chan struct{}),
		events: event.New(event.Options{Node: s.Node, Clock: o.Clock, Logger: o.Logger, Keep: keptEvents, PerSecond: linesPerSecond}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if p.o.Quota == (quota.Quota{}) {
		p.o.Quota = s.Limits.Quota()
	}
	p.account, p.refused = p.o.Quota.Account(o.Clock), quota.NewRefusals(o.Clock, p.events)
	p.setSeeds(s)
	if err := p.start(); err != nil {
		p.Close()
		return nil, err
	}
	close(p.ready)
	p.wg.Go(p.watchSettings)
	p.wg.Go(p.logTraffic)
	p.events.Emit(event.ProcessStarted, append([]event.Field{
		event.F("roles", p.roles()), event.F("address", s.Listen.Callers+s.Listen.Control),
	}, p.o.Quota.Fields()...)...)
	return p, nil
}

// keptEvents is the number of events kept for the time line; a small VM has no memory for more.
const keptEvents = 1024

// linesPerSecond bounds the log lines of one kind. Lines cost processor time as all other work does.
const linesPerSecond = 200

func (p *Process) roles() string {
	var out []string
	if p.s.Listen.Callers != "" {
		out = append(out, "entry")
	}
	if p.s.Listen.Control != "" {
		out = append(out, "control")
	}
	return strings.Join(out, ",")
}

func (p *Process) setSeeds(s Settings) {
	list := s.seedPeers()
	p.seeds.Store(&list)
}

func (p *Process) seedPeers() []string { return *p.seeds.Load() }

func (p *Process) start() error {
	var err error
	address := p.s.ownPeer()
	p.hub, err = peer.New(peer.Options{
		ID: p.s.Node, Address: p.s.peerAddress(p.s.IP), Clock: p.o.Clock, Events: p.events, Handle: p.handle, Dial: p.o.Dial,
		Account: p.account, Refused: p.refused.Add,
	})
	if err != nil {
		return err
	}
	if p.s.Metrics > 0 {
		if err := p.startMetrics(); err != nil {
			return err
		}
	}
	if p.s.Listen.Control != "" {
		if err := p.startControl(address); err != nil {
			return err
		}
	}
	if p.s.Listen.Callers != "" {
		if err := p.startEntry(address); err != nil {
			return err
		}
	}
	if p.page == nil {
		return nil
	}
	return p.serve("metrics", net.JoinHostPort(p.s.IP, strconv.Itoa(p.s.Metrics)), []rest.Route{p.metricsRoute()})
}

// serve starts a server for go-zero routes.
func (p *Process) serve(name, address string, routes []rest.Route) error {
	s, err := httpd.New(httpd.Options{
		Name: name, Address: address, MaxBytes: maxConfigBytes, Account: p.account, Side: memory.Operators,
		Refused: p.refused.Add,
	}, routes)
	if err != nil {
		return err
	}
	p.servers = append(p.servers, s)
	return nil
}

// maxConfigBytes bounds what operators and upstreams send.
const maxConfigBytes = 8 << 20

func (p *Process) startControl(address string) error {
	var err error
	p.member, err = quorum.New(quorum.Options{
		Address: address, Data: p.s.Data, FirstStart: p.s.FirstStart, Seeds: p.seedPeers, MaxVoters: 2*p.s.Losses + 1 + spareVoters,
		Clock: p.o.Clock, Events: p.events, Hub: p.hub, Seed: uint64(p.o.Clock.Now().UnixNano()), Store: p.o.Store, Notify: p.stored,
	})
	if err != nil {
		return err
	}
	beat := p.s.BeatMS.Duration()
	if beat == 0 {
		beat = defaultBeat
	}
	valid := entryValid
	if most := seconds(p.s.Bounds.EntryValidS, entryValid); most < valid {
		valid = most
	}
	p.control = ctlsrv.New(ctlsrv.Options{
		Dialect: p.o.Dialect, Clock: p.o.Clock, Events: p.events, Member: p.member, Hub: p.hub, HeartbeatAddress: p.s.Listen.Control,
		HeartbeatInterval: beat, EntryValid: valid, Address: address,
		Place: poller.Place{DataCentre: p.s.DataCentre, Region: p.s.Region}, RegionOf: p.s.Regions,
	})
	if err := p.serve("control", p.s.Listen.Control, p.control.ControlRoutes()); err != nil {
		return err
	}
	if p.s.Listen.Directory == "" {
		return nil
	}
	return p.serve("directory", p.s.Listen.Directory, p.control.DirectoryRoutes())
}

// spareVoters is added to the smallest group that bears the losses, so that the group keeps its majority while one member
// is restarted during a loss.
const spareVoters = 2

func (p *Process) stored(d vdoc.Document) {
	p.events.Emit(event.ConfigAccepted, event.F("revision", d.Version), event.F("operator", ""), event.F("change", ""))
}

func (p *Process) startEntry(address string) error {
	listener, err := net.Listen("tcp", p.s.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	p.pool = upcon.New(upcon.Options{Clock: p.o.Clock, IDHeader: p.o.Dialect.Headers.RequestID, Account: p.account})
	// The callback may run before New has returned, so it waits for the assignment.
	assigned := make(chan struct{})
	changed := func(v *poller.View) {
		<-assigned
		p.viewChanged(v)
	}
	p.blocklist = deny.New()
	p.poller = poller.New(poller.Options{
		Self: roster.Entry{
			Node: p.s.Node, Address: p.s.Listen.Callers, Peer: address, DataCentre: p.s.DataCentre, Region: p.s.Region,
			Capacity: p.s.Limits.capacity(),
		},
		Seeds: p.seedPeers, Dialect: p.o.Dialect, Clock: p.o.Clock, Events: p.events, Hub: p.hub, Crashes: p.blocklist, Changed: changed,
		HoldAfterFreeze: p.s.Bounds.EvacuationMS > 0,
	})
	close(assigned)
	p.batcher = batch.New(batch.Options{
		Node: p.s.Node, Peer: address, RegionOf: p.s.Regions, Dialect: p.o.Dialect, Clock: p.o.Clock, Events: p.events, View: p.poller.View,
		Hub: p.hub, Pool: p.pool, Pace: p.s.Bounds.pace(), Memory: p.account,
	})
	b := p.s.Bounds
	ratio := b.RetryRatio
	if ratio == 0 {
		ratio = defaultRetryRatio
	}
	p.forwarder = proxy.New(proxy.Options{
		Node: p.s.Node, DataCentre: p.s.DataCentre, Region: p.s.Region, RegionOf: p.s.Regions, Dialect: p.o.Dialect,
		Clock: p.o.Clock, Events: p.events, View: p.poller.View, Pool: p.pool, Batcher: p.batcher, Hub: p.hub,
		RetryBudget: proxy.RetryBudget{Ratio: ratio, Window: seconds(b.RetryWindowS, defaultRetryWindow), Slack: int(b.RetrySlack)},
		Pace:        b.pace(),
		Crashes:     p.blocklist, Metrics: p.measure(), ReportCrashes: p.poller.AskNow, RefreshCrashes: p.poller.Consult, Seed: uint64(p.o.Clock.Now().UnixNano()),
		Memory: p.account, Limited: p.refused.Add,
	})
	guard := &httpd.Guard{
		Clock: p.o.Clock, Account: p.account, HeadBytes: func() int { return p.callerLimits().HeaderBytes }, Refused: p.refused.Add,
	}
	p.callers = &callerListener{Listener: guard.Listen(listener), clock: p.o.Clock, limits: p.callerLimits, guard: guard}
	p.http = &http.Server{Handler: http.HandlerFunc(p.serveCaller), ConnState: p.callers.connState, ErrorLog: log.New(io.Discard, "", 0)}
	p.wg.Go(func() { _ = p.http.Serve(p.callers) }) // returns an error once the listener is closed
	if p.s.Listen.Ready == "" {
		return nil
	}
	return p.serve("ready", p.s.Listen.Ready, []rest.Route{
		{Method: http.MethodGet, Path: p.o.Dialect.Paths.Ready, Handler: p.answerReady},
	})
}

// serveCaller handles the request of a caller. One that has waited while the process was frozen is served once the view is current.
func (p *Process) serveCaller(w http.ResponseWriter, r *http.Request) {
	p.poller.AwaitCurrent(r.Context())
	p.forwarder.ServeHTTP(w, r)
}

// viewChanged makes the node ready once it has a configuration and knows an upstream.
func (p *Process) viewChanged(v *poller.View) {
	if v.Table != nil && len(v.Services) > 0 && !p.draining.Load() {
		p.poller.SetReady(true)
	}
}

func (p *Process) isReady() bool { return p.poller.View().Table != nil && !p.draining.Load() }

func (p *Process) answerReady(w http.ResponseWriter, _ *http.Request) {
	if p.isReady() {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, "not ready", http.StatusServiceUnavailable)
}

// callerLimits are the present limits of callers' connections.
func (p *Process) callerLimits() conf.Limits {
	if t := p.poller.View().Table; t != nil {
		return t.Config.Limits
	}
	return conf.Limits{}
}

// handle takes the messages of the other processes.
func (p *Process) handle(ctx context.Context, from string, kind peer.Kind, body []byte) ([]byte, error) {
	select {
	case <-p.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.member != nil {
		if reply, ok, err := p.member.Handle(ctx, kind, body); ok {
			return reply, err
		}
		if reply, ok, err := p.control.Handle(ctx, kind, body); ok {
			return reply, err
		}
	}
	if p.poller != nil {
		p.poller.AwaitCurrent(ctx)
	}
	if p.batcher != nil && kind == peer.KindPieces {
		return p.batcher.Handle(ctx, body)
	}
	if p.forwarder != nil && kind == peer.KindPlace {
		return p.forwarder.HandlePlace(body)
	}
	return nil, errors.Newf("messages of kind %d from %s are not handled here", kind, from)
}

// watchSettings reads the settings file again when it has changed.
func (p *Process) watchSettings() {
	if p.o.Path == "" {
		return
	}
	last, _ := os.ReadFile(p.o.Path) // read a moment ago; an error shows in the next round
	for clock.Sleep(p.ctx, p.o.Clock, reloadEvery) == nil {
		now, err := os.ReadFile(p.o.Path)
		if err != nil || string(now) == string(last) {
			continue
		}
		last = now
		p.Reload()
	}
}

// Reload reads the settings file and takes the seeds from it. Other settings need a restart. A file that cannot be used
// changes nothing.
func (p *Process) Reload() {
	s, err := ReadSettings(p.o.Path)
	if err != nil {
		p.events.Emit(event.ProcessReload, event.F("seeds", ""), event.F("reason", err))
		return
	}
	p.setSeeds(s)
	p.events.Emit(event.ProcessReload, event.F("seeds", strings.Join(s.Seeds, ",")), event.F("reason", ""))
}

// Times of a planned stop, as parts of the time until the process is killed.
const (
	lingerPart = 0.3  // callers that know the address may still connect
	sendPart   = 0.6  // what is sent to an upstream later could not end in time
	finishPart = 0.92 // requests in flight are finished until then
	closePart  = 0.97 // their answers are written until then
)

// replyTime is the time to write answers when a second signal ends a planned stop.
const replyTime = 200 * time.Millisecond

// Drain stops the process as planned. It returns the number of requests that were cut off.
func (p *Process) Drain(ctx context.Context) int {
	if p.forwarder == nil {
		return 0
	}
	stop := seconds(p.s.Bounds.StopS, defaultStop)
	after := func(part float64, f func()) clock.Timer {
		return p.o.Clock.AfterFunc(time.Duration(part*float64(stop)), f)
	}
	p.draining.Store(true)
	p.poller.SetReady(false)
	p.forwarder.Drain(proxy.Draining)
	p.events.Emit(event.DrainStarted, event.F("in_flight", p.forwarder.InFlight()), event.F("wait_ms", stop.Milliseconds()))
	finish, cancel := context.WithCancel(context.Background())
	defer cancel()
	arrivals, endArrivals := context.WithCancel(ctx)
	defer endArrivals()
	defer after(sendPart, func() {
		endArrivals()
		p.forwarder.Drain(proxy.Finishing)
	}).Stop()
	defer after(finishPart, func() { p.forwarder.Drain(proxy.Ending) }).Stop()
	defer after(closePart, cancel).Stop()
	defer context.AfterFunc(ctx, func() { // a second signal ends the wait
		p.forwarder.Drain(proxy.Ending)
		p.o.Clock.AfterFunc(replyTime, cancel)
	})()
	_ = clock.Sleep(ctx, p.o.Clock, time.Duration(lingerPart*float64(stop)))
	p.forwarder.Drain(proxy.Refusing)
	_ = p.callers.Close()
	p.http.SetKeepAlivesEnabled(false) // closes unused connections
	p.callers.awaitClosed(arrivals)    // Shutdown would drop a request whose head ends later, without an answer
	_ = p.http.Shutdown(finish)        // what is left is counted below
	cut := p.forwarder.InFlight()
	p.events.Emit(event.DrainFinished, event.F("cut_off", cut))
	return cut
}

// Close ends the process at once.
func (p *Process) Close() {
	p.cancel()
	if p.http != nil {
		_ = p.http.Close()
	}
	if p.forwarder != nil {
		p.forwarder.Close()
	}
	if p.batcher != nil {
		p.batcher.Close()
	}
	if p.poller != nil {
		p.poller.Close()
	}
	if p.pool != nil {
		p.pool.Close()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
	if p.page != nil {
		p.page.Close()
	}
	if p.control != nil {
		p.control.Close()
	}
	if p.member != nil {
		_ = p.member.Close() // an error of the disk was reported as an event
	}
	if p.hub != nil {
		p.hub.Close()
	}
	p.wg.Wait()
	p.events.Emit(event.ProcessStopped, event.F("reason", "closed"))
}
