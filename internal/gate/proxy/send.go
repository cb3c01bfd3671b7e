package proxy

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/pick"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// maxRefusals is the number of upstreams that may refuse a request before the caller is told to retry later.
const maxRefusals = 2

// maxFailedUpstreams is the number of failed upstreams after which a request is given up.
const maxFailedUpstreams = 4

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// response is the head of an upstream's response, with the upstream that sent it.
type response struct {
	*upcon.Response
	upstream  roster.Upstream
	start     time.Time
	headAfter time.Duration // time until the head arrived
}

var (
	errUnsigned = errors.New("successful response without a signature")
	errEncoded  = errors.New("response has a Content-Encoding")
)

// attempt sends the request to one upstream, with the extra headers added. If it returns neither a response nor
// a refusal, the request may be attempted again.
func (x *exchange) attempt(affinity string, extra http.Header) (*response, *refusal) {
	if refused := x.checkAttempt(); refused != nil {
		return nil, refused
	}
	u, ok := x.upstreamFor(affinity)
	if !ok {
		if x.waitForReturn() {
			return nil, x.checkAttempt()
		}
		r := x.noUpstream(x.service)
		return nil, &r
	}
	if x.f.isSuspended(u) { // an answer to another request has just said so
		x.finishAttempt(&response{upstream: u}, pick.Cancelled)
		return nil, x.checkAttempt()
	}
	if (x.sent > 0 || x.refusals > 0) && !x.f.allowRetry(x.service) {
		x.finishAttempt(&response{upstream: u}, pick.Cancelled)
		r := x.gatewayError("the retry budget is used up", retryLater)
		return nil, &r
	}
	if x.sent > 0 || x.refusals > 0 {
		x.f.o.Metrics.retried()
	}
	limit := x.f.connLimit(x.table.Service(x.service))
	if !x.mayUse(u) { // a new configuration has just come into force
		x.finishAttempt(&response{upstream: u}, pick.Cancelled)
		r := x.noUpstream(x.service)
		return nil, &r
	}
	start := x.f.o.Clock.Now()
	x.lastSentAfter = start.Sub(x.start)
	head, err := x.f.o.Pool.Send(x.ctx, upcon.Request{
		Address: u.Address, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: x.upstreamHeader(u, extra),
		Body: x.body, Trailer: x.r.Trailer, HasBody: x.hasBody(), ID: x.id, Limit: limit,
		Held: x.bodyHeld, NewConn: x.refusedBy[u.ID],
	})
	resp := &response{head, u, start, x.f.o.Clock.Now().Sub(start)}
	if err != nil {
		return nil, x.handleSendError(resp, err)
	}
	x.f.o.Batcher.NoteAnswer(u.ID, u.StartedMs, resp.Status, resp.Header)
	x.upstream = u.ID
	return x.classify(resp)
}

// upstreamFor returns the upstream for the next attempt and counts a request to it. A request for a model engine
// uses its placement. If that engine has failed, has begun to drain while the stages ran, or is no longer in an
// allowed region, upstreamFor requests another placement.
func (x *exchange) upstreamFor(affinity string) (roster.Upstream, bool) {
	if x.usesEngines() {
		x.renewPlacement()
		if x.placement != nil {
			if b := x.f.beginPlaced(x.placement.upstream); b.cause != pace.None {
				x.f.notifyEnd(x.placement, engine.Cancelled)
				x.placement = nil
				x.noteBlocked(b)
				return roster.Upstream{}, false
			}
			x.placement.used = true
			return x.placement.upstream, true
		}
		if x.placersBlock() {
			return roster.Upstream{}, false
		}
	}
	w := x.criteria(affinity)
	for range maxChoices {
		if u, ok := x.f.chooseUpstream(x.service, w); ok {
			return u, true
		}
		if b := x.f.blockedNow(x.service, w); b.cause != pace.None {
			x.noteBlocked(b)
			break
		}
	}
	return roster.Upstream{}, false
}

// maxChoices is how often an upstream is chosen: a limit that blocked the first choice may end before its cause is looked for.
const maxChoices = 2

// criteria returns what the upstream of the next attempt must satisfy.
func (x *exchange) criteria(affinity string) pick.Criteria {
	return pick.Criteria{
		Affinity: affinity, Exclude: x.failed, Service: x.f.serviceNow(x.service), SkipCold: x.usesEngines(), Allowed: x.allowedDataCentres(),
	}
}

// placementResults maps the result of an attempt to the one reported to the placer.
var placementResults = map[pick.Result]engine.Result{
	pick.Succeeded: engine.Served, pick.ErrorResponse: engine.Served, pick.Full: engine.Full, pick.Cancelled: engine.Cancelled,
	pick.NoResponse: engine.Failed, pick.AddressReused: engine.Failed,
}

// finishAttempt records the result of an attempt.
func (x *exchange) finishAttempt(resp *response, r pick.Result) {
	x.f.endRequest(resp.upstream.ID, r, resp.headAfter)
	if x.placement != nil && x.placement.upstream.ID == resp.upstream.ID {
		x.f.notifyEnd(x.placement, placementResults[r])
	}
}

// checkAttempt returns a refusal if the request may not be sent (again).
func (x *exchange) checkAttempt() *refusal {
	var r refusal
	switch {
	case x.callerGone():
		r = x.gatewayError("caller disconnected", 0)
	case x.f.reached(Finishing):
		return x.stopRefusal()
	case x.ctx.Err() != nil:
		r = x.gatewayError("the time of the request is over", retrySoon)
	case x.maybeRan && !x.route.Idempotent():
		r = x.gatewayError("the upstream did not answer, and the request may have run", 0)
	case x.bodyHeld.WasCut():
		r = x.gatewayError("the upstream did not take the body before others needed the memory", 0)
	case x.sent >= max(x.route.Attempts, 1):
		r = x.gatewayError("all attempts of the route are used up", 0)
	case x.refusals >= maxRefusals && !x.hasWarm() && x.isBlocked():
		r = x.noUpstream(x.service)
	case x.refusals >= maxRefusals:
		r = x.gatewayError("the upstreams are full", retrySoon)
	case len(x.failed) >= maxFailedUpstreams:
		r = x.gatewayError("the upstreams cannot be reached", retrySoon)
	default:
		return x.checkBlocked()
	}
	return &r
}

func (x *exchange) hasBody() bool { return x.r.ContentLength > 0 || len(x.r.TransferEncoding) > 0 }

func (x *exchange) exclude(id string) {
	if x.failed == nil {
		x.failed = map[string]bool{}
	}
	x.failed[id] = true
}

// noteRefusal notes that an upstream has refused the request, and may be sent it again.
func (x *exchange) noteRefusal(id string) {
	if x.refusedBy == nil {
		x.refusedBy = map[string]bool{}
	}
	x.refusedBy[id] = true
}

// handleSendError handles an attempt without a usable response.
func (x *exchange) handleSendError(resp *response, err error) *refusal {
	x.exclude(resp.upstream.ID)
	outcome := upcon.MaybeRan
	var failed *upcon.SendError
	if errors.As(err, &failed) {
		outcome = failed.Outcome
	}
	x.f.o.Events.Emit(event.ForwardRetried, event.F("request", x.id), event.F("upstream", resp.upstream.ID),
		event.F("attempt", x.sent+1), event.F("outcome", outcome), event.F("reason", err))
	switch {
	case x.ctx.Err() != nil:
		x.finishAttempt(resp, pick.Cancelled)
	case errors.Is(err, upcon.ErrAllInUse):
		x.finishAttempt(resp, pick.Full)
	default:
		x.finishAttempt(resp, pick.NoResponse)
	}
	if outcome == upcon.MaybeRan {
		x.sent++
		x.maybeRan = true
		switch {
		case x.f.reached(Ending): // this node broke off
		case x.ctx.Err() != nil:
			x.noteSilentRun(resp.upstream)
		case isDisconnect(err):
			x.recordCrash(resp.upstream)
		}
	}
	return x.checkAttempt()
}

// classify decides how to handle a response. It returns the response only if it may be forwarded.
func (x *exchange) classify(resp *response) (*response, *refusal) {
	h := x.f.o.Dialect.Headers
	signed := resp.Header.Get(h.Signature) != ""
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		drainBody(resp)
		x.finishAttempt(resp, pick.AddressReused)
		return nil, x.handleNotRun(resp)
	case resp.Header.Get(h.NotRun) != "":
		if resp.Status == http.StatusConflict && x.stages != nil {
			drainBody(resp)
			x.finishAttempt(resp, pick.Succeeded)
			x.noteRefusal(resp.upstream.ID)
			return nil, x.rerunStages()
		}
		result := pick.Full
		if resp.Status != http.StatusServiceUnavailable && resp.Status != http.StatusTooManyRequests {
			result = pick.ErrorResponse
		}
		drainBody(resp)
		x.finishAttempt(resp, result)
		return nil, x.handleNotRun(resp)
	case promisesNotRun[resp.Status]:
		drainBody(resp)
		return nil, x.handleUnproven(resp)
	case resp.Status < 300 && !signed:
		return nil, x.handleBadResponse(resp, errUnsigned)
	case resp.Header.Get("Content-Encoding") != "" && resp.Header.Get("Content-Encoding") != "identity":
		return nil, x.handleBadResponse(resp, errEncoded)
	}
	x.f.noteLoad(resp)
	x.sent++
	return resp, nil
}

// handleNotRun handles a response that proves that the request did not run.
func (x *exchange) handleNotRun(resp *response) *refusal {
	x.refusals++
	if x.f.isSuspended(resp.upstream) { // it may be used again after its pause
		x.noteRefusal(resp.upstream.ID)
	} else {
		x.exclude(resp.upstream.ID)
	}
	x.f.o.Events.Emit(event.ForwardRetried, event.F("request", x.id), event.F("upstream", resp.upstream.ID),
		event.F("attempt", x.sent+x.refusals), event.F("outcome", "not_run"), event.F("reason", resp.Status))
	return x.checkAttempt()
}

// promisesNotRun are the statuses that callers take for a promise that the request has not run and will not.
var promisesNotRun = map[int]bool{http.StatusRequestTimeout: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// handleUnproven handles a response whose status promises what the response does not prove.
func (x *exchange) handleUnproven(resp *response) *refusal {
	x.exclude(resp.upstream.ID)
	x.f.o.Events.Emit(event.ForwardRetried, event.F("request", x.id), event.F("upstream", resp.upstream.ID),
		event.F("attempt", x.sent+1), event.F("outcome", upcon.MaybeRan), event.F("reason", resp.Status))
	x.finishAttempt(resp, pick.ErrorResponse)
	x.sent++
	x.maybeRan = true
	r := x.checkAttempt()
	if r != nil && !x.route.Idempotent() {
		r.reason = "the upstream answered 503, and the request may have run"
	}
	return r
}

// handleBadResponse handles a response that cannot be forwarded.
func (x *exchange) handleBadResponse(resp *response, err error) *refusal {
	_ = resp.Body.Close()
	return x.handleSendError(resp, err)
}

// drainBody reads the rest of a short response, so that its connection can be reused.
func drainBody(resp *response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes)) // on failure, Close below closes the connection
	_ = resp.Body.Close()
}

const maxDrainBytes = 16 << 10

// upstreamHeader returns the headers to send to an upstream: the caller's, without hop-by-hop headers, the API
// key and headers that only this system may set.
func (x *exchange) upstreamHeader(u roster.Upstream, extra http.Header) http.Header {
	names := x.f.o.Dialect.Headers
	out := make(http.Header, len(x.r.Header)+4)
	drop := connectionOptions(x.r.Header)
	for name, values := range x.r.Header {
		if !hopByHopHeaders[name] && !drop[name] {
			out[name] = values
		}
	}
	for _, name := range x.f.o.Dialect.Reserved {
		out.Del(name)
	}
	if len(x.table.Config.Teams) > 0 {
		out.Del("Authorization")
	}
	out.Del(names.Team)
	if x.team != nil {
		out.Set(names.Team, x.team.Name)
	}
	out.Set(names.ExpectUpstream, u.ID)
	out.Set(names.Deadline, strconv.FormatInt(max(x.remaining().Milliseconds(), 1), 10))
	for name, values := range extra {
		out[textproto.CanonicalMIMEHeaderKey(name)] = values
	}
	return out
}

// connectionOptions returns the headers that are listed in the Connection header.
func connectionOptions(h http.Header) map[string]bool {
	out := map[string]bool{}
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

// copyResponseHeader copies the headers of an upstream's response.
func (x *exchange) copyResponseHeader(resp *response) {
	h := x.w.Header()
	drop := connectionOptions(resp.Header)
	for name, values := range resp.Header {
		if !hopByHopHeaders[name] && !drop[name] {
			h[name] = values
		}
	}
	if _, ok := resp.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil // stops net/http from guessing one
	}
	if _, ok := resp.Header["Date"]; !ok {
		h["Date"] = nil
	}
}

// copyTrailer copies the trailer. It only has an effect on chunked responses, as trailers require.
func (x *exchange) copyTrailer(resp *response) {
	for name, values := range resp.Trailer() {
		for _, v := range values {
			x.w.Header().Add(http.TrailerPrefix+name, v)
		}
	}
}

// forwardUnary forwards a request that has a single response.
func (x *exchange) forwardUnary() {
	for {
		resp, refused := x.attempt("", nil)
		if refused != nil {
			x.refuse(*refused)
			return
		}
		if resp == nil {
			continue
		}
		body, whole, err := x.buffers.readBody(resp)
		if err != nil {
			x.sent-- // handleSendError counts it again
			if refused := x.handleBadResponse(resp, err); refused != nil {
				x.refuse(*refused)
				return
			}
			continue
		}
		if whole && resp.Status >= 500 && x.mayRetryFault() {
			x.finishAttempt(resp, pick.ErrorResponse)
			x.exclude(resp.upstream.ID)
			if again := x.retryAfterFault(resp, body); again {
				continue
			}
			return
		}
		x.forwardResponse(resp, body, whole)
		return
	}
}

// mayRetryFault reports whether the request may be sent to another upstream after a 5xx response.
func (x *exchange) mayRetryFault() bool {
	return x.route.Kind == conf.Safe && x.sent < x.route.Attempts && x.remaining() > 0
}

// retryAfterFault tries another upstream after a 5xx response. If that gives no better response, the first one
// is forwarded.
func (x *exchange) retryAfterFault(first *response, body []byte) bool {
	x.f.o.Events.Emit(event.ForwardRetried, event.F("request", x.id), event.F("upstream", first.upstream.ID),
		event.F("attempt", x.sent), event.F("outcome", "fault"), event.F("reason", first.Status))
	var resp *response
	var refused *refusal
	for resp == nil && refused == nil {
		resp, refused = x.attempt("", nil)
	}
	if resp == nil {
		x.upstream = first.upstream.ID
		x.writeBuffered(first, body)
		return false
	}
	second, whole, err := x.buffers.readBody(resp)
	if err != nil || !whole || resp.Status >= 500 {
		_ = resp.Body.Close()
		result := pick.ErrorResponse
		if err != nil {
			result = pick.NoResponse
		}
		x.finishAttempt(resp, result)
		x.upstream = first.upstream.ID
		x.writeBuffered(first, body)
		return false
	}
	x.forwardResponse(resp, second, whole)
	return false
}

// forwardResponse sends an upstream's response to the caller.
func (x *exchange) forwardResponse(resp *response, body []byte, whole bool) {
	result := pick.Succeeded
	if resp.Status >= 500 {
		result = pick.ErrorResponse
	}
	x.finishAttempt(resp, result)
	x.recordSuccess()
	if whole {
		x.writeBuffered(resp, body)
		return
	}
	x.writeUnbuffered(resp, body)
}

// writeBuffered sends a response that is held in memory.
func (x *exchange) writeBuffered(resp *response, body []byte) {
	x.copyResponseHeader(resp)
	length := int64(len(body))
	if x.r.Method == http.MethodHead {
		length = resp.Length
	}
	if len(resp.Trailer()) == 0 && length >= 0 && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		x.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.copyTrailer(resp) // before the header is written, which makes the response chunked
	x.w.WriteHeader(resp.Status)
	x.maybeRan = false
	_, err := x.w.Write(body)
	reason := ""
	if err != nil && x.r.Method != http.MethodHead {
		reason = "writing the response to the caller: " + err.Error()
	}
	x.logFinished(resp.Status, reason)
}

// writeUnbuffered forwards a response that is too large to be buffered.
func (x *exchange) writeUnbuffered(resp *response, first []byte) {
	defer resp.Body.Close()
	x.copyResponseHeader(resp)
	if resp.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.w.WriteHeader(resp.Status)
	x.responseStarted = true
	_, err := x.w.Write(first)
	if err == nil {
		_, err = io.Copy(x.w, resp.Body)
	}
	if err != nil {
		x.logFinished(0, "response was truncated: "+err.Error())
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
	x.copyTrailer(resp)
	x.logFinished(resp.Status, "")
}
