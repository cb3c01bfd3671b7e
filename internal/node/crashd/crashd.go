// Package crashd runs the crash defence of an entry node: it owns the node's crash.Machine, lets the requests wait, brings
// proposals to the control group, and learns what the other nodes reported.
//
// Usage:
//
//	g := crashd.New(crashd.Options{Node: "e1", Clock: clk, Events: log, Propose: client.Propose, Fetch: askControlNode})
//	runner := exec.New(exec.Options{Guard: g, ...})
//	g.Learn(news)          // what the leader of the control group sent
//	g.Died("gen-1", 17)    // a lease ran out, or a higher incarnation was announced
//	g.Close()
//
// News that are lost are made up for by Fetch, every 10 s and as soon as a gap shows.
//
// While the control group cannot be reached, content that is not suspected runs as before. A suspect that needs a grant
// waits for it up to crash.Policy.MaxWait and is then refused as not run: without the group two nodes could run it at the
// same time, and each run of a suspect may cost an upstream. The death of an upstream is reported again every second for
// crash.Policy.Remember; until then the node holds back its content by itself.
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

// Options configure a Guard.
type Options struct {
	Node   string
	Clock  clock.Clock
	Events *event.Log
	// Propose brings a command to the control group. An error says that the outcome is not known.
	Propose func(ctx context.Context, c rstate.Command) (rstate.Result, error)
	// FetchSuspects asks a control node for all suspects.
	FetchSuspects  func(ctx context.Context) (rstate.CrashNews, error)
	Policy crash.Policy // zero: crash.DefaultPolicy
}

const (
	tickEvery = 100 * time.Millisecond
	// fetchEvery bounds how long lost news are missed.
	fetchEvery   = 10 * time.Second
	fetchRetry   = time.Second
	fetchTimeout = 2 * time.Second
	// proposeTimeout bounds one try of a report or claim. The machine repeats reports and claims after as long.
	proposeTimeout = time.Second
	// clearTimeout bounds messages that the machine does not repeat: the end of a solo run, and a success.
	clearTimeout = 10 * time.Second
	// clockDrift is what rstate.Limits allows: the end of a grant is a time of the group's clock.
	clockDrift = 5 * time.Second
)

// Guard implements exec.Guard. It is safe for concurrent use.
type Guard struct {
	o      Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	gap    chan struct{}

	mu      sync.Mutex
	closed  bool
	m       *crash.Machine
	nextID  uint64
	recent  time.Time // of the last tick; exact enough for events whose time decides nothing
	waiting map[uint64]chan crash.Action
	solos   map[uint64]grant // by the id of the run
	known   map[poison.Fingerprint]poison.Status
}

// grant is the claim under which a solo run was granted.
type grant struct {
	run   uint64
	until time.Time
}

var _ exec.Guard = (*Guard)(nil)

// New starts a guard.
func New(o Options) *Guard {
	if o.Policy == (crash.Policy{}) {
		o.Policy = crash.DefaultPolicy()
	}
	g := &Guard{
		o: o, m: crash.New(o.Policy), gap: make(chan struct{}, 1), waiting: map[uint64]chan crash.Action{},
		solos: map[uint64]grant{}, known: map[poison.Fingerprint]poison.Status{},
		// Starts with the time, so that the claims of a node that restarted are not taken for resends of earlier ones.
		nextID: uint64(o.Clock.Now().UnixNano()), recent: o.Clock.Now(),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.wg.Go(g.tick)
	g.wg.Go(g.fetch)
	return g
}

// Close ends the guard. Requests that still wait end with their contexts.
func (g *Guard) Close() {
	g.cancel()
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
}

// step delivers an event and carries out the actions.
func (g *Guard) step(ev crash.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.locked(ev)
}

func (g *Guard) locked(ev crash.Event) {
	for _, a := range g.m.Step(g.o.Clock.Now(), ev) {
		g.do(a)
	}
}

// often delivers an event of the normal path, without the cost of reading the clock.
func (g *Guard) often(ev crash.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.m.Step(g.recent, ev) {
		g.do(a)
	}
}

// do carries out an action. The caller holds the lock.
func (g *Guard) do(a crash.Action) {
	switch a := a.(type) {
	case crash.PermitRun:
		g.tell(a.ID, a)
	case crash.ClaimSolo:
		g.tell(a.ID, a)
	case crash.PermitSolo:
		g.tell(a.ID, a)
	case crash.RejectRun:
		g.tell(a.ID, a)
	case crash.ReleaseFailure:
		g.tell(a.ID, a)
	case crash.ReportDeath:
		g.report(a.Report)
	case crash.ReportSuccess:
		g.propose(clearTimeout, a.Report, nil)
	case crash.EndSolo:
		if s, ok := g.solos[a.ID]; ok {
			delete(g.solos, a.ID)
			g.propose(clearTimeout, poison.EndSolo{Fingerprint: a.Fingerprint, Node: g.o.Node, Run: s.run}, nil)
		}
	}
}

// tell hands an action to the request that waits for it. One is outstanding at most, so the channel has room.
func (g *Guard) tell(id uint64, a crash.Action) {
	if ch := g.waiting[id]; ch != nil {
		select {
		case ch <- a:
		default:
		}
	}
}

func (g *Guard) report(r poison.ReportDeath) {
	g.propose(proposeTimeout, r, func(res rstate.CrashResult) {
		g.o.Events.Emit(event.DeathReported, event.F("upstream", r.Upstream), event.F("incarnation", r.Incarnation),
			event.F("members", len(r.Members)))
		g.step(crash.DeathRecorded{Upstream: r.Upstream, Incarnation: r.Incarnation, Version: res.Version})
	})
}

// propose brings a command to the control group in the background. done gets the result of the last part; without an
// answer it is not called. The caller holds the lock.
func (g *Guard) propose(timeout time.Duration, cmd poison.Command, done func(rstate.CrashResult)) {
	if g.closed {
		return
	}
	g.wg.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, timeout)
		defer cancel()
		if res, err := g.send(ctx, cmd); err == nil && done != nil {
			done(res)
		}
	})
}

// send proposes a command and learns what it changed.
func (g *Guard) send(ctx context.Context, cmd poison.Command) (last rstate.CrashResult, err error) {
	for _, c := range rstate.CrashCommands(cmd, g.o.Clock.Now().UnixMilli()) {
		res, err := g.o.Propose(ctx, c)
		if err != nil {
			return last, err
		}
		r, ok := res.(rstate.CrashResult)
		if !ok {
			return last, &RefusedError{Result: res}
		}
		g.learn(learnedResult(r))
		last = r
	}
	return last, nil
}

// RefusedError says that the group did not apply a command.
type RefusedError struct{ Result rstate.Result }

func (e *RefusedError) Error() string { return "the control group refused the command" }

// ApplyUpdate takes what the control group sent.
func (g *Guard) ApplyUpdate(n rstate.CrashNews) { g.learn(learnedNews(n)) }

func (g *Guard) learn(e crash.EntriesReceived) {
	g.mu.Lock()
	if g.m.HasGap(e) {
		g.mu.Unlock()
		select {
		case g.gap <- struct{}{}:
		default:
		}
		return
	}
	g.locked(e)
	changed := g.changes()
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

// changes returns the entries whose status differs from what was reported as an event before. The caller holds the lock.
func (g *Guard) changes() []poison.Entry {
	var out []poison.Entry
	next := map[poison.Fingerprint]poison.Status{}
	for _, e := range g.m.List(g.o.Clock.Now()) {
		next[e.Fingerprint] = e.Status
		if g.known[e.Fingerprint] != e.Status {
			out = append(out, e)
		}
	}
	for fp := range g.known {
		if _, ok := next[fp]; !ok {
			out = append(out, poison.Entry{Fingerprint: fp})
		}
	}
	g.known = next
	return out
}

// List returns the suspects that this node knows.
func (g *Guard) List() []poison.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.m.List(g.o.Clock.Now())
}

func (g *Guard) tick() {
	for clock.Sleep(g.ctx, g.o.Clock, tickEvery) == nil {
		g.mu.Lock()
		now := g.o.Clock.Now()
		g.recent = now
		g.locked(crash.Tick{})
		for id, s := range g.solos { // the grants of runs that died have ended with the report
			if now.After(s.until) {
				delete(g.solos, id)
			}
		}
		g.mu.Unlock()
	}
}

// fetch asks for all suspects at the start, every 10 s and when news were missed.
func (g *Guard) fetch() {
	for g.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(g.ctx, fetchTimeout)
		n, err := g.o.FetchSuspects(ctx)
		cancel()
		pause := fetchEvery
		if err == nil {
			g.ApplyUpdate(n)
		} else {
			pause = fetchRetry
		}
		t := g.o.Clock.NewTimer(pause)
		select {
		case <-t.C():
		case <-g.gap:
			// A control node that lags may not have the missed news yet; it is asked again soon, but not in a loop.
			_ = clock.Sleep(g.ctx, g.o.Clock, tickEvery/2)
		case <-g.ctx.Done():
		}
		t.Stop()
	}
}
