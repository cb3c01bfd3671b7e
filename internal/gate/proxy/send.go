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
	"github.com/berylledge/berylledge/internal/gate/pick"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// maxRefusals is the number of upstreams that may refuse a request before the caller is told to retry later.
const maxRefusals = 2

// maxFailedUpstreams is the number of failed upstreams after which a request is given up.
const maxFailedUpstreams = 4

// maxBufferedBytes is the size up to which a response is read completely before it is forwarded, so that a
// truncated one can be retried.
const maxBufferedBytes = 1 << 20

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
		r := x.gatewayError("no upstream of the service accepts requests", retryLater)
		return nil, &r
	}
	if (x.sent > 0 || x.refusals > 0) && !x.f.allowRetry(x.service) {
		x.finishAttempt(&response{upstream: u}, pick.Cancelled)
		r := x.gatewayError("the retry budget is used up", retryLater)
		return nil, &r
	}
	if x.sent > 0 || x.refusals > 0 {
		x.f.o.Metrics.retried()
	}
	start := x.f.o.Clock.Now()
	x.lastSentAfter = start.Sub(x.start)
	resp, err := x.f.o.Pool.Send(x.ctx, upcon.Request{
		Address: u.Address, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: x.upstreamHeader(u, extra),
		Body: x.body, Trailer: x.r.Trailer, HasBody: x.hasBody(), ID: x.id, Limit: x.f.connLimit(x.table.Service(x.service)),
	})
	a := &response{resp, u, start, x.f.o.Clock.Now().Sub(start)}
	if err != nil {
		return nil, x.handleSendError(a, err)
	}
	x.upstream = u.ID
	return x.classify(a)
}

// upstreamFor returns the upstream for the next attempt and counts a request to it. A request for a model engine
// uses its placement. If that engine has failed, or has begun to drain while the stages ran, upstreamFor
// requests another placement.
func (x *exchange) upstreamFor(affinity string) (roster.Upstream, bool) {
	if x.usesEngines() {
		if x.placement != nil && !x.f.stillReady(x.placement.upstream) {
			x.f.notifyEnd(x.placement, engine.Left)
			x.placement = nil
		}
		if x.placement == nil || x.failed[x.placement.upstream.ID] {
			x.placement = x.requestPlacement()
		}
		if x.placement != nil {
			x.f.beginRequest(x.placement.upstream.ID)
			return x.placement.upstream, true
		}
	}
	return x.f.chooseUpstream(x.service, pick.Want{Affinity: affinity, Exclude: x.failed})
}

// placementResults maps the result of an attempt to the one reported to the placer.
var placementResults = map[pick.Result]engine.Result{
	pick.Good: engine.Served, pick.Fault: engine.Served, pick.Full: engine.Full, pick.Cancelled: engine.Left,
	pick.Broken: engine.Failed, pick.Replaced: engine.Failed,
}

// finishAttempt records the result of an attempt.
func (x *exchange) finishAttempt(a *response, r pick.Result) {
	x.f.endRequest(a.upstream.ID, r, a.headAfter)
	if x.placement != nil && x.placement.upstream.ID == a.upstream.ID {
		x.f.notifyEnd(x.placement, placementResults[r])
	}
}

// checkAttempt returns a refusal if the request may not be sent (again).
func (x *exchange) checkAttempt() *refusal {
	var r refusal
	switch {
	case x.callerGone():
		r = x.gatewayError("caller disconnected", 0)
	case x.ctx.Err() != nil:
		r = x.gatewayError("the time of the request is over", retrySoon)
	case x.maybeRan && !x.route.Idempotent():
		r = x.gatewayError("the upstream did not answer, and the request may have run", 0)
	case x.sent >= max(x.route.Attempts, 1):
		r = x.gatewayError("all attempts of the route are used up", 0)
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

// handleSendError handles an attempt without a usable response.
func (x *exchange) handleSendError(a *response, err error) *refusal {
	x.exclude(a.upstream.ID)
	outcome := upcon.MaybeRan
	var failed *upcon.SendError
	if errors.As(err, &failed) {
		outcome = failed.Outcome
	}
	x.f.o.Events.Emit(event.ForwardRetried, event.F("request", x.id), event.F("upstream", a.upstream.ID),
		event.F("attempt", x.sent+1), event.F("outcome", outcome), event.F("reason", err))
	switch {
	case x.ctx.Err() != nil:
		x.finishAttempt(a, pick.Cancelled)
	case errors.Is(err, upcon.ErrAllInUse):
		x.finishAttempt(a, pick.Full)
	default:
		x.finishAttempt(a, pick.Broken)
	}
	if outcome == upcon.MaybeRan {
		x.sent++
		x.maybeRan = true
		if x.ctx.Err() == nil && isDisconnect(err) {
			x.recordCrash(a.upstream)
		}
	}
	return x.checkAttempt()
}

// classify decides how to handle a response. It returns the response only if it may be forwarded.
func (x *exchange) classify(a *response) (*response, *refusal) {
	h := x.f.o.Dialect.Headers
	signed := a.Header.Get(h.Signature) != ""
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		drainBody(a)
		x.finishAttempt(a, pick.Replaced)
		return nil, x.handleNotRun(a)
	case a.Header.Get(h.NotRun) != "":
		if a.Status == http.StatusConflict && x.stages != nil {
			drainBody(a)
			x.finishAttempt(a, pick.Good)
			return nil, x.rerunStages()
		}
		result := pick.Full
		if a.Status != http.StatusServiceUnavailable && a.Status != http.StatusTooManyRequests {
			result = pick.Fault
		}
		drainBody(a)
		x.finishAttempt(a, result)
		return nil, x.handleNotRun(a)
	case a.Status < 300 && !signed:
		return nil, x.handleBadResponse(a, errUnsigned)
	case a.Header.Get("Content-Encoding") != "" && a.Header.Get("Content-Encoding") != "identity":
		return nil, x.handleBadResponse(a, errEncoded)
	}
	x.sent++
	return a, nil
}

// handleNotRun handles a response that proves that the request did not run.
func (x *exchange) handleNotRun(a *response) *refusal {
	x.refusals++
	x.exclude(a.upstream.ID)
	x.f.o.Events.Emit(event.ForwardRetried, event.F("request", x.id), event.F("upstream", a.upstream.ID),
		event.F("attempt", x.sent+x.refusals), event.F("outcome", "not_run"), event.F("reason", a.Status))
	return x.checkAttempt()
}

// handleBadResponse handles a response that cannot be forwarded.
func (x *exchange) handleBadResponse(a *response, err error) *refusal {
	_ = a.Body.Close()
	return x.handleSendError(a, err)
}

// drainBody reads the rest of a short response, so that its connection can be reused.
func drainBody(a *response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxDrainBytes)) // on failure, Close below closes the connection
	_ = a.Body.Close()
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
func (x *exchange) copyResponseHeader(a *response) {
	h := x.w.Header()
	drop := connectionOptions(a.Header)
	for name, values := range a.Header {
		if !hopByHopHeaders[name] && !drop[name] {
			h[name] = values
		}
	}
	if _, ok := a.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil // stops net/http from guessing one
	}
	if _, ok := a.Header["Date"]; !ok {
		h["Date"] = nil
	}
}

// copyTrailer copies the trailer. It only has an effect on chunked responses, as trailers require.
func (x *exchange) copyTrailer(a *response) {
	for name, values := range a.Trailer() {
		for _, v := range values {
			x.w.Header().Add(http.TrailerPrefix+name, v)
		}
	}
}

// forwardUnary forwards a request that has a single response.
func (x *exchange) forwardUnary() {
	for {
		a, refused := x.attempt("", nil)
		if refused != nil {
			x.refuse(*refused)
			return
		}
		if a == nil {
			continue
		}
		body, whole, err := readUpTo(a.Body, maxBufferedBytes)
		if err != nil {
			x.sent-- // handleSendError counts it again
			if refused := x.handleBadResponse(a, err); refused != nil {
				x.refuse(*refused)
				return
			}
			continue
		}
		if whole && a.Status >= 500 && x.mayRetryFault() {
			x.finishAttempt(a, pick.Fault)
			x.exclude(a.upstream.ID)
			if again := x.retryAfterFault(a, body); again {
				continue
			}
			return
		}
		x.forwardResponse(a, body, whole)
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
	a, _ := x.attempt("", nil)
	if a == nil {
		x.upstream = first.upstream.ID
		x.writeBuffered(first, body)
		return false
	}
	second, whole, err := readUpTo(a.Body, maxBufferedBytes)
	if err != nil || !whole || a.Status >= 500 {
		_ = a.Body.Close()
		result := pick.Fault
		if err != nil {
			result = pick.Broken
		}
		x.finishAttempt(a, result)
		x.upstream = first.upstream.ID
		x.writeBuffered(first, body)
		return false
	}
	x.forwardResponse(a, second, whole)
	return false
}

// forwardResponse sends an upstream's response to the caller.
func (x *exchange) forwardResponse(a *response, body []byte, whole bool) {
	result := pick.Good
	if a.Status >= 500 {
		result = pick.Fault
	}
	x.finishAttempt(a, result)
	x.recordSuccess()
	if whole {
		x.writeBuffered(a, body)
		return
	}
	x.writeUnbuffered(a, body)
}

// writeBuffered sends a response that is held in memory.
func (x *exchange) writeBuffered(a *response, body []byte) {
	x.copyResponseHeader(a)
	length := int64(len(body))
	if x.r.Method == http.MethodHead {
		length = a.Length
	}
	if len(a.Trailer()) == 0 && length >= 0 && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		x.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.copyTrailer(a) // before the header is written, which makes the response chunked
	x.w.WriteHeader(a.Status)
	x.maybeRan = false
	_, err := x.w.Write(body)
	reason := ""
	if err != nil && x.r.Method != http.MethodHead {
		reason = "writing the response to the caller: " + err.Error()
	}
	x.logFinished(a.Status, reason)
}

// writeUnbuffered forwards a response that is too large to be buffered.
func (x *exchange) writeUnbuffered(a *response, first []byte) {
	defer a.Body.Close()
	x.copyResponseHeader(a)
	if a.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.w.WriteHeader(a.Status)
	x.responseStarted = true
	_, err := x.w.Write(first)
	if err == nil {
		_, err = io.Copy(x.w, a.Body)
	}
	if err != nil {
		x.logFinished(0, "response was truncated: "+err.Error())
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
	x.copyTrailer(a)
	x.logFinished(a.Status, "")
}

// readUpTo reads a body up to a limit. If the body is longer, whole is false.
func readUpTo(r io.Reader, limit int64) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r, limit+1))
	return body, int64(len(body)) <= limit, err
}
