package engine

import (
	"time"

	"github.com/berylledge/berylledge/internal/gate/stage"
)

// PendingStage is a stage that a request has to pass before it reaches its engine.
type PendingStage struct {
	Service string `cbor:"1,keyasint"`
	After   []int  `cbor:"2,keyasint,omitempty"` // indexes of the stages it depends on
	Pieces  int    `cbor:"3,keyasint"`
}

// Pool describes the combined capacity of all upstreams of a stage service in the region.
type Pool struct {
	Upstreams int
	Batch     int
	Call      time.Duration // fixed duration of a call
	Item      time.Duration // additional duration per piece
}

func (p Pool) callTime(pieces int) time.Duration {
	return p.Call + time.Duration(min(pieces, p.Batch))*p.Item
}

// rate returns the throughput in pieces per second with full calls.
func (p Pool) rate() float64 {
	return float64(p.Upstreams*p.Batch) / p.callTime(p.Batch).Seconds()
}

// Forecast is the expected latency of a request's stages and engine.
type Forecast struct {
	Total time.Duration `cbor:"1,keyasint"` // until the last piece is complete
	Wait  time.Duration `cbor:"2,keyasint"` // part of Total that is spent in queues
	Full  time.Duration `cbor:"3,keyasint"` // longest duration of a full call among the stages
	// Hold is how long to delay the first stage, so that pieces of later stages do not wait in queues with inputs that
	// occupy memory and expire.
	Hold time.Duration `cbor:"4,keyasint,omitempty"`
	// UnreadTokens and TokensAhead are prompt tokens that the engine has to read: the request's own, and those of
	// earlier requests with the same or a more urgent rank.
	UnreadTokens int `cbor:"5,keyasint,omitempty"`
	TokensAhead  int `cbor:"6,keyasint,omitempty"`
	// Speed is how long the engine takes to read a token, relative to the median engine.
	Speed float64 `cbor:"11,keyasint,omitempty"`
	// Streams is the number of requests at the engine that are streaming events and pause while it reads the prompt.
	Streams int `cbor:"10,keyasint,omitempty"`
	// CorrectedTotal is Total, corrected by recent forecast errors. EngineTime is the expected time at the engine after
	// the stages.
	CorrectedTotal time.Duration `cbor:"7,keyasint,omitempty"`
	EngineTime     time.Duration `cbor:"8,keyasint,omitempty"`
	// Late reports that the request cannot be on time and yields to those that can.
	Late bool `cbor:"9,keyasint,omitempty"`
	// Order sorts the request's pieces within its rank; lower comes first. OverShare reports that it is refused since its
	// team is far above its share of scarce room.
	Order     int  `cbor:"12,keyasint,omitempty"`
	OverShare bool `cbor:"13,keyasint,omitempty"`
}

// noUpstreamWait is the processing time assumed for a service without upstreams.
const noUpstreamWait = time.Hour

// SetPools sets the stage services of the region.
func (p *Placer) SetPools(pools map[string]Pool) { p.pools = pools }

// StageDone records that all pieces of a stage of a request are complete.
func (p *Placer) StageDone(now time.Time, id uint64, stage int) {
	t := p.tickets[id]
	if t == nil || stage < 0 || stage >= len(t.pending) || !t.hasPendingStages() {
		return
	}
	t.pending[stage].Pieces = 0
	t.started = true
	if t.hasPendingStages() {
		return
	}
	t.stagesDone = now
	if at := p.targets[t.target]; at != nil {
		at.pace.SentReserved(now, p.owner)
	}
	if !t.late {
		p.stageTimes.add(t.rank, float64(t.forecastTotal.Milliseconds()), now.Sub(t.placedAt))
	}
}

// piecesAhead counts the pieces, by service, that the queues process before those of a request: pieces of a more urgent
// class, or of the same class with a lower order or an earlier due time.
func (p *Placer) piecesAhead(now time.Time, class, order int, due time.Time) map[string]int {
	out := map[string]int{}
	for _, t := range p.tickets {
		if !t.hasPendingStages() || now.Sub(t.due) > maxOverdue {
			continue
		}
		other := stage.UrgencyClass(t.rank, t.late || now.After(t.due), t.started)
		// Only the order of others applies to a request without one: work in progress is counted by its due time then, as
		// before room was scarce.
		otherOrder := stage.OrderInClass(t.order, t.late || now.After(t.due), t.started, order != 0 || !t.started)
		if other > class || other == class && (otherOrder > order || otherOrder == order && t.due.After(due)) {
			continue
		}
		for _, n := range t.pending {
			out[n.Service] += n.Pieces
		}
	}
	return out
}

// processingTime returns how long a service needs to process some pieces.
func (p *Placer) processingTime(service string, pieces int) time.Duration {
	pool := p.pools[service]
	if pool.Upstreams == 0 || pool.Batch == 0 {
		return noUpstreamWait
	}
	return time.Duration(float64(pieces) / pool.rate() * float64(time.Second))
}

// Forecast sums the queueing and call times along the longest chain of a request's stages. late selects whether the
// request is scheduled at the lower urgency of late requests.
func (p *Placer) Forecast(now time.Time, r Request, late bool) Forecast {
	due := now.Add(r.Due)
	ahead := p.piecesAhead(now, stage.UrgencyClass(r.Rank, late, false), stage.OrderInClass(r.Order, late, false, true), due)
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
			// While the earlier stages run, the service works through the pieces ahead.
			pool := p.pools[n.Service]
			wait := max(p.processingTime(n.Service, ahead[n.Service])-begin.Total, 0)
			if len(n.After) > 0 {
				out.Hold = max(out.Hold, wait-maxInputWaitCalls*pool.callTime(pool.Batch))
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

// maxInputWaitCalls is how long a piece with inputs may wait in a queue, in durations of a full call.
const maxInputWaitCalls = 2

// maxOverdue is how long after its due time a request still counts as pending work. Its entry node may have died.
const maxOverdue = 2 * time.Second
