package engine

import (
	"time"

	"github.com/berylledge/berylledge/internal/gate/share"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

// tokensPerSecond is the assumed reading speed of an engine in the account of shares. It only weighs prompts against
// pieces; the learnt speed would change the weight of work between its two entries.
const tokensPerSecond = 50_000

// minShareDueFraction is the part of its time that a request of a team far above its share must be expected to take
// before it is refused. An earlier refusal would leave capacity unused.
const minShareDueFraction = 0.5

func (r Request) caller() share.Caller {
	return share.Caller{Rank: r.Rank, Team: r.Team, DataCentre: r.DataCentre}
}

// work returns the time in seconds for which a request occupies the whole region: its pieces at their services, and its
// prompt at the engines. It does not depend on what engines have cached, so that a request that returns counts the same.
// Callers state these sizes, so that a request counts as no more than the lifetime of its ticket, and never as less than nothing.
func (p *Placer) work(r Request) float64 {
	out := float64(max(r.Prompt, 0)) / (tokensPerSecond * float64(max(len(p.targets), 1)))
	for _, n := range r.PendingStages {
		if pool := p.pools[n.Service]; pool.Upstreams > 0 && pool.Batch > 0 {
			out += float64(n.Pieces) / pool.rate()
		}
	}
	return min(out, TicketTTL.Seconds())
}

// enterShare records a request in the account and returns the standing of its caller without the room that it gets now. A
// request that has returned asks for the same work as before.
func (p *Placer) enterShare(now time.Time, r Request, t *ticket) share.Standing {
	if !p.fairShares {
		return share.Even
	}
	t.caller, t.work = r.caller(), p.work(r)
	t.asked = !p.unanswered.asked(t.ownPart)
	if t.asked {
		p.shares.Ask(now, t.caller, t.work)
	}
	s := p.shares.Standing(now, t.caller)
	p.shares.Give(now, t.caller, t.work)
	return s
}

// leaveShare records the end of a request. Room that was not used is no longer counted, but a request that has begun has
// used it.
func (p *Placer) leaveShare(now time.Time, t *ticket, r Result) {
	left := share.Left(t.work, now.Sub(t.placedAt))
	switch {
	case t.work == 0: // not in the account
	case r == Refused && t.started:
		p.shares.Refuse(now, t.caller, 0)
	case r == Refused:
		p.shares.Refuse(now, t.caller, left)
	case r != Cancelled || t.started || !t.stagesDone.IsZero():
	case t.asked:
		p.shares.Withdraw(now, t.caller, left)
		t.asked = false
	default:
		p.shares.Return(now, t.caller, left)
	}
}

// order returns the order of a request within its rank.
func order(s share.Standing) int {
	switch {
	case s == share.Below:
		return stage.FirstOrder
	case s >= share.Above:
		return stage.LastOrder
	}
	return 0
}

// exceedsShare reports whether a request of a team far above its share is refused: it has to wait for a full call at
// least, and would use most of its time.
func exceedsShare(s share.Standing, f Forecast, due time.Duration) bool {
	if s < share.FarAbove || f.Full == 0 && f.TokensAhead == 0 || f.Wait < f.Full {
		return false
	}
	return f.Late || f.CorrectedTotal+f.EngineTime > time.Duration(minShareDueFraction*float64(due))
}

// ShareReports returns at most one report a second for each rank in which room is scarce.
func (p *Placer) ShareReports(now time.Time) []share.Report { return p.shares.Reports(now) }
