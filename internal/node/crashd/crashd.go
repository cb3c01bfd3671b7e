// Package crashd runs crash protection on an entry node: it owns the node's crash.Machine, makes requests wait for permits,
// proposes commands to the control group, and receives what other nodes reported.
//
// Usage:
//
//	g := crashd.New(crashd.Options{Node: "e1", Clock: clk, Events: log, Propose: client.Propose, FetchSuspects: queryControlNode})
//	runner := exec.New(exec.Options{Guard: g, ...})
//	g.ApplyUpdate(news)         // sent by the leader of the control group
//	g.UpstreamDied("gen-1", 17) // a lease expired, or a higher incarnation was announced
//	g.Close()
//
// FetchSuspects makes up for lost updates. It is called every 10 s and as soon as a gap is detected.
//
// While the control group is unreachable, content that is not suspected runs as usual. A suspect waits for its grant
// for up to crash.Policy.MaxWait and is then rejected as not run: without the group, two nodes could run it at the
// same time, and each run of a suspect may cost an upstream. The death of an upstream is reported again every second for
// crash.Policy.Retention; until it is recorded, the node withholds the content on its own.
package crashd

import (
	"context"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/flow/crash"
	"github.com/berylledge/berylledge/internal/flow/exec"
	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/internal/state/rstate"
)

// Options configures a Guard.
type Options struct {
	Node   string
	Clock  clock.Clock
	Events *event.Log
	// Propose submits a command to the control group. An error means that the outcome is unknown.
	Propose func(ctx context.Context, c rstate.Command) (rstate.Result, error)
	// FetchSuspects requests all suspects from a control node.
	FetchSuspects func(ctx context.Context) (rstate.CrashNews, error)
	Policy        crash.Policy // zero: crash.DefaultPolicy
}

const (
	tickInterval = 100 * time.Millisecond
	// fetchInterval limits how long a lost update stays unnoticed.
	fetchInterval   = 10 * time.Second
	fetchRetryDelay = time.Second
	fetchTimeout    = 2 * time.Second
	// proposeTimeout limits one attempt of a report or claim. The machine repeats unconfirmed reports at the same interval.
	proposeTimeout = time.Second
	// oneShotTimeout limits messages that the machine does not repeat: the end of a solo run, and a success.
	oneShotTimeout = 10 * time.Second
	// maxClockDrift is the drift that rstate.Limits allows: the end of a grant is a time of the group's clock.
	maxClockDrift = 5 * time.Second
)

// Guard implements exec.Guard. It is safe for concurrent use.
type Guard struct {
	o        Options
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	fetchNow chan struct{}

	mu           sync.Mutex
	closed       bool
	machine      *crash.Machine
	nextID       uint64
	lastTick     time.Time // sufficient for events whose exact time does not matter
	waiters      map[uint64]chan crash.Action
	soloGrants   map[uint64]soloGrant // by run id
	lastStatuses map[poison.Fingerprint]poison.Status
}

// soloGrant identifies the claim under which a solo run was granted.
type soloGrant struct {
	claimID uint64
	until   time.Time
}

var _ exec.Guard = (*Guard)(nil)

// New starts a Guard. Close stops it.
func New(o Options) *Guard {
	if o.Policy == (crash.Policy{}) {
		o.Policy = crash.DefaultPolicy()
	}
	g := &Guard{
		o: o, machine: crash.New(o.Policy), fetchNow: make(chan struct{}, 1), waiters: map[uint64]chan crash.Action{},
		soloGrants: map[uint64]soloGrant{}, lastStatuses: map[poison.Fingerprint]poison.Status{},
		// Starts at the current time, so that claims after a restart are not mistaken for resends of earlier ones.
		nextID: uint64(o.Clock.Now().UnixNano()), lastTick: o.Clock.Now(),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.wg.Go(g.tickLoop)
	g.wg.Go(g.fetchLoop)
	return g
}

// Close stops the guard and fails requests that still wait for a permit.
func (g *Guard) Close() {
	g.cancel()
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
}

// step delivers an event to the machine and executes the resulting actions.
func (g *Guard) step(ev crash.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stepLocked(ev)
}

// stepLocked is step for callers that hold g.mu.
func (g *Guard) stepLocked(ev crash.Event) {
	for _, a := range g.machine.Step(g.o.Clock.Now(), ev) {
		g.execute(a)
	}
}

// stepAtLastTick is step for events on the hot path. It uses the time of the last tick to avoid reading the clock.
func (g *Guard) stepAtLastTick(ev crash.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.machine.Step(g.lastTick, ev) {
		g.execute(a)
	}
}

// execute carries out an action. The caller holds g.mu.
func (g *Guard) execute(a crash.Action) {
	switch a := a.(type) {
	case crash.PermitRun:
		g.deliver(a.ID, a)
	case crash.ClaimSolo:
		g.deliver(a.ID, a)
	case crash.PermitSolo:
		g.deliver(a.ID, a)
	case crash.RejectRun:
		g.deliver(a.ID, a)
	case crash.ReleaseFailure:
		g.deliver(a.ID, a)
	case crash.ReportDeath:
		g.reportDeath(a.Report)
	case crash.ReportSuccess:
		g.propose(oneShotTimeout, a.Report, nil)
	case crash.EndSolo:
		if s, ok := g.soloGrants[a.ID]; ok {
			delete(g.soloGrants, a.ID)
			g.propose(oneShotTimeout, poison.EndSolo{Fingerprint: a.Fingerprint, Node: g.o.Node, Run: s.claimID}, nil)
		}
	}
}

// deliver hands an action to the request that waits for it. At most one is outstanding, so the channel has room.
func (g *Guard) deliver(id uint64, a crash.Action) {
	if ch := g.waiters[id]; ch != nil {
		select {
		case ch <- a:
		default:
		}
	}
}

func (g *Guard) reportDeath(r poison.ReportDeath) {
	g.propose(proposeTimeout, r, func(res rstate.CrashResult) {
		g.o.Events.Emit(event.DeathReported, event.F("upstream", r.Upstream), event.F("incarnation", r.Incarnation),
			event.F("members", len(r.Members)))
		g.step(crash.DeathRecorded{Upstream: r.Upstream, Incarnation: r.Incarnation, Version: res.Version})
	})
}

// propose submits a command to the control group in the background. done receives the result of the last part; it is not
// called on failure. The caller holds g.mu.
func (g *Guard) propose(timeout time.Duration, cmd poison.Command, done func(rstate.CrashResult)) {
	if g.closed {
		return
	}
	g.wg.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, timeout)
		defer cancel()
		if res, err := g.proposeAll(ctx, cmd); err == nil && done != nil {
			done(res)
		}
	})
}

// proposeAll submits all parts of a command and applies the entries that they changed.
func (g *Guard) proposeAll(ctx context.Context, cmd poison.Command) (last rstate.CrashResult, err error) {
	for _, c := range rstate.CrashCommands(cmd, g.o.Clock.Now().UnixMilli()) {
		res, err := g.o.Propose(ctx, c)
		if err != nil {
			return last, err
		}
		r, ok := res.(rstate.CrashResult)
		if !ok {
			return last, &RefusedError{Result: res}
		}
		g.applyEntries(eventFromResult(r))
		last = r
	}
	return last, nil
}

// RefusedError reports that the group did not apply a command.
type RefusedError struct{ Result rstate.Result }

func (e *RefusedError) Error() string { return "the control group rejected the command" }

// ApplyUpdate processes an update from the control group.
func (g *Guard) ApplyUpdate(n rstate.CrashNews) { g.applyEntries(eventFromUpdate(n)) }

func (g *Guard) applyEntries(e crash.EntriesReceived) {
	g.mu.Lock()
	if g.machine.HasGap(e) {
		g.mu.Unlock()
		select {
		case g.fetchNow <- struct{}{}:
		default:
		}
		return
	}
	g.stepLocked(e)
	changed := g.changedEntries()
	g.mu.Unlock()
	for _, c := range changed {
		switch c.Status {
		case poison.Clean:
			g.o.Events.Emit(event.SuspectCleared, event.F("fingerprint", c.Fingerprint))
		case poison.Isolated:
			g.o.Events.Emit(event.RequestIsolated, event.F("fingerprint", c.Fingerprint), event.F("deaths", c.Deaths))
		case poison.Suspect, poison.Held:
			g.o.Events.Emit(event.RequestSuspected, event.F("fingerprint", c.Fingerprint), event.F("status", c.Status), event.F("deaths", c.Deaths))
		}
	}
}

// changedEntries returns the entries whose status differs from the last emitted event. The caller holds g.mu.
func (g *Guard) changedEntries() []poison.Entry {
	var out []poison.Entry
	next := map[poison.Fingerprint]poison.Status{}
	for _, e := range g.machine.List(g.o.Clock.Now()) {
		next[e.Fingerprint] = e.Status
		if g.lastStatuses[e.Fingerprint] != e.Status {
			out = append(out, e)
		}
	}
	for fp := range g.lastStatuses {
		if _, ok := next[fp]; !ok {
			out = append(out, poison.Entry{Fingerprint: fp})
		}
	}
	g.lastStatuses = next
	return out
}

// List returns the suspects known to this node.
func (g *Guard) List() []poison.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.List(g.o.Clock.Now())
}

func (g *Guard) tickLoop() {
	for clock.Sleep(g.ctx, g.o.Clock, tickInterval) == nil {
		g.mu.Lock()
		now := g.o.Clock.Now()
		g.lastTick = now
		g.stepLocked(crash.Tick{})
		for id, s := range g.soloGrants { // runs that died emit no EndSolo: their grants ended with the death report
			if now.After(s.until) {
				delete(g.soloGrants, id)
			}
		}
		g.mu.Unlock()
	}
}

// fetchLoop fetches all suspects at the start, every 10 s, and when updates were missed.
func (g *Guard) fetchLoop() {
	for g.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(g.ctx, fetchTimeout)
		n, err := g.o.FetchSuspects(ctx)
		cancel()
		pause := fetchInterval
		if err == nil {
			g.ApplyUpdate(n)
		} else {
			pause = fetchRetryDelay
		}
		t := g.o.Clock.NewTimer(pause)
		select {
		case <-t.C():
		case <-g.fetchNow:
			// A lagging control node may not have the missed update yet. The delay avoids fetching in a tight loop.
			_ = clock.Sleep(g.ctx, g.o.Clock, tickInterval/2)
		case <-g.ctx.Done():
		}
		t.Stop()
	}
}
