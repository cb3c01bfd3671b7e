package engine

import (
	"time"

	"github.com/berylledge/berylledge/internal/gate/stage"
)

// PendingStage is a stage that a request has to pass before it reaches its engine.
type PendingStage struct {
	Service string `cbor:"1,keyasint"`
	After   []int  `cbor:"2,keyasint,omitempty"` // stages whose results it needs, by position
	Pieces  int    `cbor:"3,keyasint"`
}

// Pool is what all upstreams of a stage service in the region can do together.
type Pool struct {
	Upstreams int
	Batch     int
	Call      time.Duration // of a call without pieces
	Item      time.Duration // for each piece
}

func (p Pool) callTime(pieces int) time.Duration {
	return p.Call + time.Duration(min(pieces, p.Batch))*p.Item
}

// rate is the number of pieces a second in full calls.
func (p Pool) rate() float64 {
	return float64(p.Upstreams*p.Batch) / p.callTime(p.Batch).Seconds()
}

// Forecast is what the stages of a request are expected to take.
type Forecast struct {
	Total time.Duration `cbor:"1,keyasint"` // until the last piece is made
	Wait  time.Duration `cbor:"2,keyasint"` // the part of it that is spent in queues
	Full  time.Duration `cbor:"3,keyasint"` // longest time of a full call among the stages
	// Hold is how long the first stage should wait, so that the pieces of later stages do not queue with results that take
	// up memory and expire.
	Hold time.Duration `cbor:"4,keyasint,omitempty"`
	// UnreadTokens and Ahead are prompt tokens that the engine has to read: the request's own, and those of requests of its rank or
	// a more urgent one that were placed there before.
	UnreadTokens int `cbor:"5,keyasint,omitempty"`
	TokensAhead  int `cbor:"6,keyasint,omitempty"`
	// Streams is the number of requests at the engine whose events are on their way, so that they pause while it reads the prompt.
	Streams int `cbor:"10,keyasint,omitempty"`
	// CorrectedTotal is Total as such forecasts have turned out lately, and Engine what the engine will take after the stages.
	CorrectedTotal time.Duration `cbor:"7,keyasint,omitempty"`
	EngineTime time.Duration `cbor:"8,keyasint,omitempty"`
	// Late says that the request cannot be on time, so that it yields to those that can.
	Late bool `cbor:"9,keyasint,omitempty"`
}

// noPoolWait stands for a service without upstreams.
const noPoolWait = time.Hour

// SetPools changes the stage services of the region.
func (p *Placer) SetPools(pools map[string]Pool) { p.pools = pools }

// StageDone notes that the pieces of one stage of a request have been made.
func (p *Placer) StageDone(now time.Time, id uint64, stage int) {
	t := p.tickets[id]
	if t == nil || stage < 0 || stage >= len(t.needs) || !t.staging() {
		return
	}
	t.needs[stage].Pieces = 0
	t.begun = true
	if t.staging() {
		return
	}
	t.ready = now
	if !t.late {
		p.stages.add(t.rank, float64(t.total.Milliseconds()), now.Sub(t.at))
	}
}

// ahead counts the pieces, by service, that the queues put before those of a request: of a more urgent class, or of the same one
// and due earlier.
func (p *Placer) ahead(now time.Time, class int, due time.Time) map[string]int {
	out := map[string]int{}
	for _, t := range p.tickets {
		if !t.staging() || now.Sub(t.due) > overdue {
			continue
		}
		other := stage.UrgencyClass(t.rank, t.late || now.After(t.due), t.begun)
		if other > class || other == class && t.due.After(due) {
			continue
		}
		for _, n := range t.needs {
			out[n.Service] += n.Pieces
		}
	}
	return out
}

// wait returns how long a service works on some pieces.
func (p *Placer) wait(service string, pieces int) time.Duration {
	pool := p.pools[service]
	if pool.Upstreams == 0 || pool.Batch == 0 {
		return noPoolWait
	}
	return time.Duration(float64(pieces) / pool.rate() * float64(time.Second))
}

// Forecast adds up waits and calls along the longest chain of a request's stages, which stands among others as one that will
// be on time or as one that will be late.
func (p *Placer) Forecast(now time.Time, r Request, late bool) Forecast {
	due := now.Add(r.Due)
	ahead := p.ahead(now, stage.UrgencyClass(r.Rank, late, false), due)
	ends := make([]Forecast, len(r.PendingStages))
	var out Forecast
	for i, n := range r.PendingStages {
		var begin Forecast
		for _, a := range n.After {
			if a >= 0 && a < i && ends[a].Total > begin.Total {
				begin = ends[a]
			}
		}
		ends[i] = begin
		if n.Pieces > 0 {
			// While the earlier stages run, the service works on what is before it.
			pool := p.pools[n.Service]
			wait := max(p.wait(n.Service, ahead[n.Service])-begin.Total, 0)
			if len(n.After) > 0 {
				out.Hold = max(out.Hold, wait-heldCalls*pool.callTime(pool.Batch))
			}
			ends[i].Total += wait + pool.callTime(n.Pieces)
			ends[i].Wait += wait
			ends[i].Full = max(begin.Full, pool.callTime(pool.Batch))
		}
		if ends[i].Total > out.Total {
			ends[i].Hold = out.Hold
			out = ends[i]
		}
	}
	out.Late = late
	return out
}

// heldCalls is the time, in full calls, that a piece with inputs may wait.
const heldCalls = 2

// overdue is how long after its due time a request still counts as work. Its entry node may have died.
const overdue = 2 * time.Second
