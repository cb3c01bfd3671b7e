package crashd

import (
	"context"
	"time"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/flow/crash"
	"github.com/berylledge/berylledge/internal/flow/exec"
	"github.com/berylledge/berylledge/internal/state/poison"
)

// RequestPermit implements exec.Guard. Content that is not suspected is permitted at once.
func (g *Guard) RequestPermit(ctx context.Context, f poison.Fingerprint, claim func() (string, bool)) exec.Permit {
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	actions := g.machine.Step(g.lastTick, crash.RunRequested{ID: id, Fingerprint: f})
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
	ch := g.addWaiter(id)
	for _, a := range actions {
		g.execute(a)
	}
	g.mu.Unlock()
	return g.waitForPermit(ctx, id, ch, claim)
}

// AwaitPermit implements exec.Guard.
func (g *Guard) AwaitPermit(ctx context.Context, id uint64, claim func() (string, bool)) exec.Permit {
	g.mu.Lock()
	ch := g.waiters[id]
	g.mu.Unlock()
	return g.waitForPermit(ctx, id, ch, claim)
}

// addWaiter registers a request for its actions. The caller holds g.mu.
func (g *Guard) addWaiter(id uint64) chan crash.Action {
	ch := make(chan crash.Action, 2)
	g.waiters[id] = ch
	return ch
}

func (g *Guard) removeWaiter(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
}

// waitForPermit waits until the run is permitted or rejected, claiming solo runs as requested by the machine.
func (g *Guard) waitForPermit(ctx context.Context, id uint64, ch chan crash.Action, claim func() (string, bool)) exec.Permit {
	defer g.removeWaiter(id)
	for {
		select {
		case a := <-ch:
			switch a := a.(type) {
			case crash.PermitRun:
				return exec.Permit{ID: id, Run: true, Proven: a.Proven}
			case crash.PermitSolo:
				return exec.Permit{ID: id, Run: true, Solo: true, Until: a.Until.Add(-maxClockDrift)}
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

// claimSolo claims a solo run from the control group. Each claim has its own id, so that ending one whose reply
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
	claimID := g.nextID
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := g.proposeAll(ctx, poison.ClaimSolo{Fingerprint: a.Fingerprint, Upstream: upstream, Node: g.o.Node, Run: claimID})
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err != nil: // the claim may have been granted
		g.propose(oneShotTimeout, poison.EndSolo{Fingerprint: a.Fingerprint, Node: g.o.Node, Run: claimID}, nil)
	case res.Granted:
		answer.Granted, answer.Until = true, time.UnixMilli(res.UntilMS)
		g.soloGrants[a.ID] = soloGrant{claimID, answer.Until}
		g.o.Events.Emit(event.SoloGranted, event.F("fingerprint", a.Fingerprint), event.F("upstream", upstream))
	}
	g.stepLocked(answer)
}

// Started implements exec.Guard.
func (g *Guard) Started(id uint64, upstream string, incarnation uint64) {
	g.stepAtLastTick(crash.Started{ID: id, Upstream: upstream, Incarnation: incarnation})
}

// ConnectRefused implements exec.Guard.
func (g *Guard) ConnectRefused(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addWaiter(id)
	g.stepLocked(crash.ConnectRefused{ID: id})
	if g.machine.AwaitingPermit(id) {
		return true
	}
	delete(g.waiters, id)
	return false
}

// PermitValid implements exec.Guard.
func (g *Guard) PermitValid(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.machine.PermitValid(g.lastTick, id) {
		return true
	}
	g.addWaiter(id)
	g.stepLocked(crash.Recheck{ID: id})
	return false
}

// Ended implements exec.Guard.
func (g *Guard) Ended(id uint64, ok bool) { g.stepAtLastTick(crash.Ended{ID: id, OK: ok}) }

// ConnectionLost implements exec.Guard. The machine bounds the wait, which does not end with the request: a caller that
// gets an early response could resend the content to another node before that node knows of the death.
func (g *Guard) ConnectionLost(id uint64) {
	g.mu.Lock()
	g.stepLocked(crash.ConnectionLost{ID: id})
	g.stepLocked(crash.Cancelled{ID: id}) // if the run was not started yet
	if !g.machine.AwaitingRelease(id) {
		g.mu.Unlock()
		return
	}
	ch := g.addWaiter(id)
	g.mu.Unlock()
	defer g.removeWaiter(id)
	select {
	case <-ch:
	case <-g.ctx.Done():
	}
}

// Abandoned implements exec.Guard.
func (g *Guard) Abandoned(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stepLocked(crash.ConnectionLost{ID: id})
	g.stepLocked(crash.Cancelled{ID: id})
}

// Cancelled implements exec.Guard.
func (g *Guard) Cancelled(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	g.stepLocked(crash.Cancelled{ID: id})
}

// UpstreamDied implements exec.Guard.
func (g *Guard) UpstreamDied(upstream string, incarnation uint64) {
	g.step(crash.UpstreamDied{Upstream: upstream, Incarnation: incarnation})
}

// UpstreamAlive implements exec.Guard.
func (g *Guard) UpstreamAlive(upstream string, incarnation uint64, at time.Time) {
	g.step(crash.UpstreamAlive{Upstream: upstream, Incarnation: incarnation, At: at})
}
