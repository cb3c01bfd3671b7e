package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

// retrySpread is the fraction by which a Retry-After differs from the forecast at most, up and down. Callers that were
// refused together would otherwise return together.
const retrySpread = 0.25

// refuseForRoom returns the refusal of a request that the placer does not admit.
func (x *exchange) refuseForRoom(after time.Duration) *refusal {
	x.noRoom = true
	reason := "the queues of the stages are too long"
	if x.placement.forecast.OverShare {
		reason = "team is above its share of the room"
		x.f.o.Metrics.refusedForShare()
	}
	return &refusal{http.StatusServiceUnavailable, reason, x.f.spreadRetry(after)}
}

// unsentResult is the result of a request that was not sent to its engine. The placer takes those that were refused for
// want of room as a sign that room is scarce.
func (x *exchange) unsentResult() engine.Result {
	if x.noRoom || x.stages != nil && x.stages.reason == stage.ReasonRefused {
		return engine.Refused
	}
	return engine.Cancelled
}

// spreadRetry returns a random duration that differs from d by at most retrySpread.
func (f *Forwarder) spreadRetry(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(d) * (1 - retrySpread + 2*retrySpread*f.rng.Float64()))
}

// logScarceRoom logs how scarce room is shared.
func (f *Forwarder) logScarceRoom(now time.Time, q placeRequest, p *engine.Placer) {
	part := func(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }
	for _, r := range p.ShareReports(now) {
		f.o.Events.Emit(event.RoomScarce, event.F("service", q.Service), event.F("region", q.Region), event.F("rank", r.Rank),
			event.F("teams", r.Teams), event.F("above", r.Above), event.F("below", r.Below), event.F("team", r.Team), event.F("given", part(r.Given)),
			event.F("fair", part(r.Fair)), event.F("data_centre", r.Source), event.F("taken", part(r.Taken)))
	}
}
