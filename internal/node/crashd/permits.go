package crashd

import (
	"context"
	"time"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/flow/crash"
	"github.com/berylledge/berylledge/internal/flow/exec"
	"github.com/berylledge/berylledge/internal/state/poison"
)

// RequestPermit implements exec.Guard. Content that is not suspected gets its permit at once.
func (g *Guard) RequestPermit(ctx context.Context, f poison.Fingerprint, claim func() (string, bool)) exec.Permit {
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	actions := g.m.Step(g.recent, crash.RunRequested{ID: id, Fingerprint: f})
	if len(actions) == 1 {
		switch a := actions[0].(type) {
		case crash.PermitRun:
			g.mu.Unlock()
			return exec.Permit{ID: id, Run: true, Proven: a.Proven}
		case crash.RejectRun:
			g.mu.Unlock()
			return exec.Permit{ID: id, Status: a.Status}
		case crash.ClaimSolo, crash.PermitSolo, crash.ReleaseFailure, crash.ReportDeath, crash.ReportSuccess, crash.EndSolo:
		}
	}
	ch := g.expect(id)
	for _, a := range actions {
		g.do(a)
	}
	g.mu.Unlock()
	return g.wait(ctx, id, ch, claim)
}

// AwaitPermit implements exec.Guard.
func (g *Guard) AwaitPermit(ctx context.Context, id uint64, claim func() (string, bool)) exec.Permit {
	g.mu.Lock()
	ch := g.waiting[id]
	g.mu.Unlock()
	return g.wait(ctx, id, ch, claim)
}

// expect registers a request for its actions. The caller holds the lock.
func (g *Guard) expect(id uint64) chan crash.Action {
	ch := make(chan crash.Action, 2)
	g.waiting[id] = ch
	return ch
}

func (g *Guard) forget(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
}

// wait waits for a permit or a refusal, and claims solo runs meanwhile.
func (g *Guard) wait(ctx context.Context, id uint64, ch chan crash.Action, claim func() (string, bool)) exec.Permit {
	defer g.forget(id)
	for {
		select {
		case a := <-ch:
			switch a := a.(type) {
			case crash.PermitRun:
				return exec.Permit{ID: id, Run: true, Proven: a.Proven}
			case crash.PermitSolo:
				return exec.Permit{ID: id, Run: true, Solo: true, Until: a.Until.Add(-clockDrift)}
			case crash.RejectRun:
				return exec.Permit{ID: id, Status: a.Status}
			case crash.ClaimSolo:
				g.claimSolo(ctx, a, claim)
			case crash.ReleaseFailure, crash.ReportDeath, crash.ReportSuccess, crash.EndSolo:
			}
		case <-ctx.Done():
			g.step(crash.Cancelled{ID: id})
			return exec.Permit{ID: id}
		case <-g.ctx.Done():
			return exec.Permit{ID: id, Status: poison.Suspect}
		}
	}
}

// claimSolo asks the control group for a solo run. Each claim has a number of its own, so that the end of one whose answer
// was lost does not end a later one.
func (g *Guard) claimSolo(ctx context.Context, a crash.ClaimSolo, claim func() (string, bool)) {
	answer := crash.SoloClaimAnswered{ID: a.ID, Fingerprint: a.Fingerprint}
	upstream, ok := claim()
	if !ok {
		g.step(answer)
		return
	}
	g.mu.Lock()
	g.nextID++
	number := g.nextID
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := g.send(ctx, poison.ClaimSolo{Fingerprint: a.Fingerprint, Upstream: upstream, Node: g.o.Node, Run: number})
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err != nil: // it may have been granted
		g.propose(clearTimeout, poison.EndSolo{Fingerprint: a.Fingerprint, Node: g.o.Node, Run: number}, nil)
	case res.Granted:
		answer.Granted, answer.Until = true, time.UnixMilli(res.UntilMS)
		g.solos[a.ID] = grant{number, answer.Until}
		g.o.Events.Emit(event.SoloGranted, event.F("fingerprint", a.Fingerprint), event.F("upstream", upstream))
	}
	g.locked(answer)
}

// Started implements exec.Guard.
func (g *Guard) Started(id uint64, upstream string, incarnation uint64) {
	g.often(crash.Started{ID: id, Upstream: upstream, Incarnation: incarnation})
}

// ConnectRefused implements exec.Guard.
func (g *Guard) ConnectRefused(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expect(id)
	g.locked(crash.ConnectRefused{ID: id})
	if g.m.AwaitingPermit(id) {
		return true
	}
	delete(g.waiting, id)
	return false
}

// PermitValid implements exec.Guard.
func (g *Guard) PermitValid(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.m.PermitValid(g.recent, id) {
		return true
	}
	g.expect(id)
	g.locked(crash.Recheck{ID: id})
	return false
}

// Ended implements exec.Guard.
func (g *Guard) Ended(id uint64, ok bool) { g.often(crash.Ended{ID: id, OK: ok}) }

// ConnectionLost implements exec.Guard. The wait is bounded by the machine, and it does not end with the request: a caller that
// is answered early would send the content to another node before that one knows.
func (g *Guard) ConnectionLost(id uint64) {
	g.mu.Lock()
	g.locked(crash.ConnectionLost{ID: id})
	g.locked(crash.Cancelled{ID: id}) // one that was not started yet
	if !g.m.AwaitingRelease(id) {
		g.mu.Unlock()
		return
	}
	ch := g.expect(id)
	g.mu.Unlock()
	defer g.forget(id)
	select {
	case <-ch:
	case <-g.ctx.Done():
	}
}

// Abandoned implements exec.Guard.
func (g *Guard) Abandoned(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.locked(crash.ConnectionLost{ID: id})
	g.locked(crash.Cancelled{ID: id})
}

// Cancelled implements exec.Guard.
func (g *Guard) Cancelled(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	g.locked(crash.Cancelled{ID: id})
}

// UpstreamDied implements exec.Guard.
func (g *Guard) UpstreamDied(upstream string, incarnation uint64) {
	g.step(crash.UpstreamDied{Upstream: upstream, Incarnation: incarnation})
}

// UpstreamAlive implements exec.Guard.
func (g *Guard) UpstreamAlive(upstream string, incarnation uint64, at time.Time) {
	g.step(crash.UpstreamAlive{Upstream: upstream, Incarnation: incarnation, At: at})
}
