// Package serve builds one process of the system from its settings: the peer hub, the agent, and the roles entry and
// control.
//
// Usage:
//
//	p, err := serve.New(settings, serve.Options{Clock: clock.Real(), Logger: logger})
//	<-ctx.Done()     // SIGTERM
//	p.Drain(context.Background())
//	p.Close()
package serve

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/fleet/member"
	"github.com/berylledge/berylledge/internal/fleet/spread"
	"github.com/berylledge/berylledge/internal/flow/exec"
	"github.com/berylledge/berylledge/internal/node/admin"
	"github.com/berylledge/berylledge/internal/node/agent"
	"github.com/berylledge/berylledge/internal/node/crashd"
	"github.com/berylledge/berylledge/internal/node/ctrl"
	"github.com/berylledge/berylledge/internal/node/entry"
	"github.com/berylledge/berylledge/internal/node/flags"
	"github.com/berylledge/berylledge/internal/node/meter"
	"github.com/berylledge/berylledge/internal/node/quota"
	"github.com/berylledge/berylledge/internal/state/raftcl"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/internal/wire/memory"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// Options are what a process needs besides its settings.
type Options struct {
	Clock  clock.Clock
	Logger hclog.Logger // nil: events are only kept for the time line
	Quota  quota.Quota  // what the process may use; zero: what the settings name, or else the system permits
}

// Process is a running process.
type Process struct {
	settings flags.Settings
	clock    clock.Clock
	events   *event.Log
	account  *memory.Account
	refused  *quota.Refusals
	hub      *peer.Hub
	agent    *agent.Agent
	ctrl     *ctrl.Node // nil without the control role
	entry    *entry.Node
	access   *raftcl.Client
	admin    *admin.API
	meter    *meter.Meter
	server   *httpd.Server // administration of a process without the entry role
	stop     chan struct{} // closed when an operator asked for a planned stop
	stopOnce sync.Once
	guard    *crashd.Guard // nil without the entry role
	staticAt []string      // peer addresses of the control nodes that the settings name
	seeds    []string      // peer addresses of other nodes that the settings name
	started  time.Time
	ready    chan struct{} // closed when all parts that handle messages exist
}

// New starts a process. The settings must have passed their Check.
func New(s flags.Settings, o Options) (*Process, error) {
	if s.Seed == 0 {
		s.Seed = uint64(o.Clock.Now().UnixNano())
	}
	p := &Process{
		settings: s, clock: o.Clock, started: o.Clock.Now(), ready: make(chan struct{}), stop: make(chan struct{}),
		events: event.New(event.Options{Node: s.Node, Clock: o.Clock, Logger: o.Logger}),
	}
	if o.Quota == (quota.Quota{}) {
		o.Quota = s.Quota()
	}
	p.account, p.refused = o.Quota.Account(o.Clock), quota.NewRefusals(o.Clock, p.events)
	if err := p.start(); err != nil {
		p.Close()
		return nil, err
	}
	close(p.ready)
	p.admin.Start()
	p.events.Emit(event.ProcessStarted, append([]event.Field{
		event.F("roles", strings.Join(s.Roles, ",")), event.F("address", s.Listen),
	}, o.Quota.Fields()...)...)
	return p, nil
}

func (p *Process) start() error {
	s := p.settings
	// The listener for callers exists before the agent, because the agent tells its address to the others.
	var listener net.Listener
	var err error
	if s.Listen != "" {
		if listener, err = net.Listen("tcp", s.Listen); err != nil {
			return errors.Wrap(err, "listen for callers")
		}
		p.settings.Listen = listener.Addr().String()
	}
	p.hub, err = peer.New(peer.Options{
		ID: s.Node, Address: s.PeerListen, Clock: p.clock, Events: p.events, Handle: p.handle, Account: p.account, Refused: p.refused.Add,
	})
	if err != nil {
		return err
	}
	p.settings.PeerListen = p.hub.Address()
	p.makeAgent()
	p.access = raftcl.New(raftcl.Options{Clock: p.clock, Call: p.callControl, ControlNodes: p.controlAddresses})
	if s.Has(flags.RoleControl) {
		if err := p.startControl(); err != nil {
			return err
		}
	}
	p.makeAdmin()
	if p.meter, err = meter.New(meter.Options{Clock: p.clock, Read: p.sample, Account: p.account, Refused: p.refused}); err != nil {
		return err
	}
	if err := p.startServer(listener); err != nil {
		return err
	}
	p.agent.Start(p.hub)
	return nil
}

// startServer serves HTTP: the whole entry node, or the administration alone.
func (p *Process) startServer(listener net.Listener) error {
	if p.settings.Has(flags.RoleEntry) {
		return p.startEntry(listener)
	}
	if listener == nil {
		return nil
	}
	var err error
	p.server, err = httpd.New(httpd.Options{
		Name: "admin", Listener: listener, Account: p.account, Side: memory.Operators, BodyFactor: httpd.JSONFactor, Refused: p.refused.Add,
	}, p.routes())
	return err
}

func (p *Process) makeAdmin() {
	p.admin = admin.New(admin.Options{
		Node: p.settings.Node, Clock: p.clock, Events: p.events, Ready: p.ready, PeerAddress: p.settings.PeerListen,
		Control:    func() *ctrl.Node { return p.ctrl },
		Entry:      func() *entry.Node { return p.entry },
		Membership: p.agent.Membership, Call: p.hub.Call, ControlNodes: p.controlAddresses, Propose: p.access.Propose,
		Stop: p.askStop,
	})
}

func (p *Process) askStop() bool {
	first := false
	p.stopOnce.Do(func() {
		first = true
		close(p.stop)
	})
	return first
}

// StopAsked is closed when an operator has asked this process for a planned stop through the administration.
func (p *Process) StopAsked() <-chan struct{} { return p.stop }

func (p *Process) makeAgent() {
	s := p.settings
	self := member.Node{
		ID: s.Node, Address: s.PeerListen, Service: s.Listen, DataCentre: s.DataCentre, Region: s.Region,
	}
	if s.Has(flags.RoleEntry) {
		self.Roles |= member.RoleEntry
	}
	if s.Has(flags.RoleControl) {
		self.Roles |= member.RoleControl
	}
	p.seeds = append([]string(nil), s.Join...)
	for _, v := range s.Control {
		_, address, _ := strings.Cut(v, "=")
		p.staticAt = append(p.staticAt, address)
		if address != s.PeerListen {
			p.seeds = append(p.seeds, address)
		}
	}
	p.agent = agent.New(agent.Options{
		Self: self, Seeds: p.seeds, Seed: s.Seed, Clock: p.clock, Events: p.events, Activate: p.activate,
		Apply: agent.Apply{
			Announce: func(at time.Time, a upapi.Announce) { p.whenEntry(func(n *entry.Node) { n.RelayedAnnounce(at, a) }) },
			Renew:    func(at time.Time, r upapi.Renew) { p.whenEntry(func(n *entry.Node) { n.RelayedRenew(at, r) }) },
			Leave:    func(r upapi.Renew) { p.whenEntry(func(n *entry.Node) { n.TakeLeave(r) }) },
			Load:     func(l upapi.Load) { p.whenEntry(func(n *entry.Node) { n.Upstreams().Report(p.clock.Now(), l) }) },
		},
	})
}

func (p *Process) whenEntry(f func(*entry.Node)) {
	if p.entry != nil {
		f(p.entry)
	}
}

// activate puts a configuration in force. It was checked when the group accepted it.
func (p *Process) activate(revision uint64, body []byte) {
	cfg, err := fleet.Parse(body)
	if err != nil {
		p.events.Emit(event.ConfigRejected, event.F("revision", revision), event.F("peer", ""), event.F("reason", err))
		return
	}
	p.meter.SetConfig(cfg)
	p.whenEntry(func(n *entry.Node) { n.SetConfig(revision, cfg, max(len(p.entryNodes()), 1)) })
	if ms := cfg.Limits.StaleConfigMS; ms > 0 {
		// In a goroutine of its own, because this runs in the agent's.
		go p.agent.SetStaleAfter(time.Duration(ms) * time.Millisecond)
	}
}

func (p *Process) startControl() error {
	s := p.settings
	var config []byte
	if s.ConfigFile != "" {
		var err error
		if config, err = readConfig(s.ConfigFile); err != nil {
			return err
		}
	}
	var voters []ctrl.Voter
	for _, v := range s.Control {
		name, address, _ := strings.Cut(v, "=")
		voters = append(voters, ctrl.Voter{Name: name, Address: address})
	}
	var err error
	p.ctrl, err = ctrl.New(ctrl.Options{
		Name: s.Node, Address: s.PeerListen, Data: s.Data, Initial: voters, Join: s.Join, Config: config, Clock: p.clock,
		Events: p.events, Hub: p.hub, Seed: s.Seed, Commit: p.agent.Commit, Beat: p.agent.Beat,
		Nodes: p.entryPeers,
	})
	return err
}

func readConfig(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	cfg, err := fleet.Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	if problems := cfg.Check(); len(problems) > 0 {
		return nil, errors.Wrap(&fleet.InvalidError{Problems: problems}, path)
	}
	return cfg.Print(), nil
}

func (p *Process) startEntry(listener net.Listener) error {
	s := p.settings
	p.guard = crashd.New(crashd.Options{
		Node: s.Node, Clock: p.clock, Events: p.events, Propose: p.access.Propose, FetchSuspects: p.fetchSuspects,
	})
	var err error
	p.entry, err = entry.New(entry.Options{
		Node: s.Node, DataCentre: s.DataCentre, Region: s.Region, Listener: listener, Clock: p.clock, Events: p.events,
		Ledger: exec.Ledger(p.access), Members: p.entryNodes, Service: p.service, Ready: p.settled, EntryValid: s.EntryValid,
		SpreadDelay: s.SpreadDelay, DrainLimit: s.DrainLimit, Seed: s.Seed, Extra: p.routes(),
		Measure: p.meter.Measure(), Guard: p.guard, Account: p.account, Refused: p.refused.Add,
		Tell: entry.Tell{Announce: p.agent.Announced, Renew: p.agent.Renewed, Leave: p.agent.Left, Load: p.agent.Loaded},
	})
	return err
}

// service translates what the agent allows into the entry node's terms.
func (p *Process) service() entry.Service {
	switch p.agent.Service() {
	case spread.ServeAll:
		return entry.ServeAll
	case spread.ServeUrgent:
		return entry.ServeUrgent
	case spread.ServeNone:
	}
	return entry.ServeNone
}

// settleTime is how long a node that has just started is not given to callers: a few periods of the relay, in which the
// others tell it of the upstreams.
const settleTime = 3 * time.Second

// settled reports whether this node knows the fleet. One that the settings name no other node to has none to learn from.
func (p *Process) settled() bool {
	return len(p.seeds) == 0 || p.clock.Now().Sub(p.started) >= settleTime
}

// settling reports whether another node started a moment ago. Its incarnation is the time of its start; that of this
// process's clock and the other's may differ by the drift, which is small against settleTime.
func (p *Process) settling(n member.Node) bool {
	if n.ID == p.settings.Node {
		return !p.settled()
	}
	age := p.clock.Now().Sub(time.UnixMilli(int64(n.Incarnation)))
	return n.Revision == 0 || age < settleTime
}

func (p *Process) entryNodes() []entry.Member {
	var out []entry.Member
	for _, n := range p.agent.Nodes() {
		if n.Roles&member.RoleEntry == 0 || n.State != member.Alive && n.State != member.Draining && n.State != member.Suspect {
			continue
		}
		out = append(out, entry.Member{
			ID: n.ID, Address: n.Service, DataCentre: n.DataCentre, Region: n.Region, Draining: n.State != member.Alive,
			Settling: p.settling(n),
		})
	}
	return out
}

// controlAddresses returns the peer addresses of control nodes: the own one, those of the data centre, of the region, and
// the others. Before the membership is known they come from the settings.
func (p *Process) controlAddresses() []string {
	s := p.settings
	var own, near, region, rest []string
	for _, n := range p.agent.Nodes() {
		if n.Roles&member.RoleControl == 0 || n.State >= member.Failed {
			continue
		}
		switch {
		case n.ID == s.Node:
			own = append(own, n.Address)
		case n.DataCentre == s.DataCentre:
			near = append(near, n.Address)
		case n.Region == s.Region:
			region = append(region, n.Address)
		default:
			rest = append(rest, n.Address)
		}
	}
	out := append(append(append(own, near...), region...), rest...)
	if len(out) == 0 {
		return p.staticAt
	}
	return out
}

func (p *Process) callControl(ctx context.Context, address string, command []byte) ([]byte, error) {
	return p.askControl(ctx, address, peer.KindPropose, command)
}

// askControl brings a question to a control node, which may be this process.
func (p *Process) askControl(ctx context.Context, address string, kind peer.Kind, body []byte) ([]byte, error) {
	if p.ctrl != nil && address == p.settings.PeerListen {
		reply, _, err := p.ctrl.Handle(ctx, kind, body)
		return reply, err
	}
	return p.hub.Call(ctx, address, kind, body)
}

// handle takes the messages of the other processes.
func (p *Process) handle(ctx context.Context, from string, kind peer.Kind, body []byte) ([]byte, error) {
	select {
	case <-p.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.agent.Receive(from, kind, body) {
		return nil, nil
	}
	if kind == peer.KindCrash {
		return nil, p.learnSuspects(from, body)
	}
	if kind == peer.KindEvents {
		return p.serveEvents(body)
	}
	if kind == peer.KindOperate {
		return p.admin.Handle(ctx, body)
	}
	if p.ctrl != nil {
		if reply, ok, err := p.ctrl.Handle(ctx, kind, body); ok {
			return reply, err
		}
	}
	return nil, errors.Newf("messages of kind %d are not handled here", kind)
}

// Address returns the address for callers, PeerAddress that for other processes.
func (p *Process) Address() string { return p.settings.Listen }

// PeerAddress returns the address for other processes.
func (p *Process) PeerAddress() string { return p.settings.PeerListen }

// Entry returns the entry node, nil without the role.
func (p *Process) Entry() *entry.Node { return p.entry }

// Control returns the control node, nil without the role.
func (p *Process) Control() *ctrl.Node { return p.ctrl }

// Agent returns the agent.
func (p *Process) Agent() *agent.Agent { return p.agent }

// Events returns the events of this process.
func (p *Process) Events() *event.Log { return p.events }

// Propose brings a command to the control group.
func (p *Process) Propose() *raftcl.Client { return p.access }

// Drain stops the process as planned and returns the number of requests that were cut off. The others learn of it before
// the wait for handed-out addresses begins.
func (p *Process) Drain(ctx context.Context) int {
	told, cancel := context.WithTimeout(ctx, p.settings.SpreadDelay)
	p.agent.Drain(told)
	cancel()
	cut := 0
	if p.entry != nil {
		cut = p.entry.Drain(ctx)
	}
	p.agent.Leave()
	return cut
}

// Close ends the process at once.
func (p *Process) Close() {
	if p.admin != nil {
		p.admin.Close()
	}
	if p.entry != nil {
		p.entry.Close()
	}
	if p.server != nil {
		_ = p.server.Close()
	}
	if p.meter != nil {
		p.meter.Close()
	}
	if p.guard != nil {
		p.guard.Close()
	}
	if p.ctrl != nil {
		_ = p.ctrl.Close() // an error of the disk was reported as an event
	}
	if p.agent != nil {
		p.agent.Close()
	}
	if p.hub != nil {
		p.hub.Close()
	}
	p.events.Emit(event.ProcessStopped, event.F("reason", "closed"))
}
