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

// maxRefusals is the number of upstreams that may refuse a request before the caller is told to come back.
const maxRefusals = 2

// maxUnsent is the number of upstreams without a connection that are tried for one request.
const maxUnsent = 4

// maxBuffered is the size up to which an answer is read whole before it is passed on, so that a broken one can be replaced.
const maxBuffered = 1 << 20

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// answer is the head of an upstream's answer together with who gave it.
type answer struct {
	*upcon.Response
	from  roster.Upstream
	began time.Time
	head  time.Duration // until the head arrived
}

var (
	errUnsigned = errors.New("a success without a signature")
	errEncoded  = errors.New("the answer is encoded")
)

// attempt sends the request to one upstream. A nil answer with a nil refusal means: try again. extra headers are added.
func (x *exchange) attempt(affinity string, extra http.Header) (*answer, *refusal) {
	if refused := x.mayAttempt(); refused != nil {
		return nil, refused
	}
	u, ok := x.upstreamFor(affinity)
	if !ok {
		r := x.giveUp("no upstream of the service takes work", retryLater)
		return nil, &r
	}
	if (x.sent > 0 || x.refusals > 0) && !x.f.mayRepeat(x.service) {
		x.finished(&answer{from: u}, pick.Cancelled)
		r := x.giveUp("the retry budget is used up", retryLater)
		return nil, &r
	}
	if x.sent > 0 || x.refusals > 0 {
		x.f.o.Measure.repeated()
	}
	began := x.f.o.Clock.Now()
	x.lastSent = began.Sub(x.began)
	resp, err := x.f.o.Pool.Send(x.ctx, upcon.Request{
		Address: u.Address, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: x.upstreamHeader(u, extra),
		Body: x.body, Trailer: x.r.Trailer, HasBody: x.hasBody(), ID: x.id, Limit: x.f.connections(x.table.Service(x.service)),
	})
	a := &answer{resp, u, began, x.f.o.Clock.Now().Sub(began)}
	if err != nil {
		return nil, x.unanswered(a, err)
	}
	x.upstream = u.ID
	return x.judge(a)
}

// upstreamFor returns the upstream for the next attempt and counts a request to it. A request for model engines uses its
// place. When that has failed, or the engine has
// begun to leave while the stages ran, it asks for another one.
func (x *exchange) upstreamFor(affinity string) (roster.Upstream, bool) {
	if x.usesEngines() {
		if x.seat != nil && !x.f.takesWork(x.seat.upstream) {
			x.f.noteEnd(x.seat, engine.Cancelled)
			x.seat = nil
		}
		if x.seat == nil || x.failed[x.seat.upstream.ID] {
			x.seat = x.seatFor()
		}
		if x.seat != nil {
			x.f.begin(x.seat.upstream.ID)
			return x.seat.upstream, true
		}
	}
	return x.f.choose(x.service, pick.Criteria{Affinity: affinity, Exclude: x.failed})
}

// seatResults translates the end of a request for the placer.
var seatResults = map[pick.Result]engine.Result{
	pick.Succeeded: engine.Served, pick.ErrorResponse: engine.Served, pick.Full: engine.Full, pick.Cancelled: engine.Cancelled,
	pick.NoResponse: engine.Failed, pick.AddressReused: engine.Failed,
}

// finished takes the end of an attempt.
func (x *exchange) finished(a *answer, r pick.Result) {
	x.f.ended(a.from.ID, r, a.head)
	if x.seat != nil && x.seat.upstream.ID == a.from.ID {
		x.f.noteEnd(x.seat, seatResults[r])
	}
}

// mayAttempt checks what the request has used up.
func (x *exchange) mayAttempt() *refusal {
	var r refusal
	switch {
	case x.gone():
		r = x.giveUp("the caller has left", 0)
	case x.ctx.Err() != nil:
		r = x.giveUp("the time of the request is over", retrySoon)
	case x.maybeRan && !x.route.Idempotent():
		r = x.giveUp("the upstream did not answer, and the request may have run", 0)
	case x.sent >= max(x.route.Attempts, 1):
		r = x.giveUp("no further upstream may be tried", 0)
	case x.refusals >= maxRefusals:
		r = x.giveUp("the upstreams are full", retrySoon)
	case len(x.failed) >= maxUnsent:
		r = x.giveUp("the upstreams cannot be reached", retrySoon)
	default:
		return x.blocked()
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

// unanswered takes a request without an answer.
func (x *exchange) unanswered(a *answer, err error) *refusal {
	x.exclude(a.from.ID)
	outcome := upcon.MaybeRan
	var failed *upcon.SendError
	if errors.As(err, &failed) {
		outcome = failed.Outcome
	}
	x.f.o.Events.Emit(event.ForwardRetried, event.F("request", x.id), event.F("upstream", a.from.ID),
		event.F("attempt", x.sent+1), event.F("outcome", outcome), event.F("reason", err))
	switch {
	case x.ctx.Err() != nil:
		x.finished(a, pick.Cancelled)
	case errors.Is(err, upcon.ErrAllInUse):
		x.finished(a, pick.Full)
	default:
		x.finished(a, pick.NoResponse)
	}
	if outcome == upcon.MaybeRan {
		x.sent++
		x.maybeRan = true
		if x.ctx.Err() == nil && brokeOff(err) {
			x.noteCrash(a.from)
		}
	}
	return x.mayAttempt()
}

// judge decides what an answer means.
func (x *exchange) judge(a *answer) (*answer, *refusal) {
	h := x.f.o.Dialect.Headers
	signed := a.Header.Get(h.Signature) != ""
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		discard(a)
		x.finished(a, pick.AddressReused)
		return nil, x.refused(a)
	case a.Header.Get(h.NotRun) != "":
		if a.Status == http.StatusConflict && x.plan != nil {
			discard(a)
			x.finished(a, pick.Succeeded)
			return nil, x.restage()
		}
		result := pick.Full
		if a.Status != http.StatusServiceUnavailable && a.Status != http.StatusTooManyRequests {
			result = pick.ErrorResponse
		}
		discard(a)
		x.finished(a, result)
		return nil, x.refused(a)
	case a.Status < 300 && !signed:
		return nil, x.spoilt(a, errUnsigned)
	case a.Header.Get("Content-Encoding") != "" && a.Header.Get("Content-Encoding") != "identity":
		return nil, x.spoilt(a, errEncoded)
	}
	x.sent++
	return a, nil
}

// refused takes an answer that proves that the request did not run.
func (x *exchange) refused(a *answer) *refusal {
	x.refusals++
	x.exclude(a.from.ID)
	x.f.o.Events.Emit(event.ForwardRetried, event.F("request", x.id), event.F("upstream", a.from.ID),
		event.F("attempt", x.sent+x.refusals), event.F("outcome", "not_run"), event.F("reason", a.Status))
	return x.mayAttempt()
}

// spoilt takes an answer that cannot be passed on.
func (x *exchange) spoilt(a *answer, err error) *refusal {
	_ = a.Body.Close()
	return x.unanswered(a, err)
}

// discard reads the rest of a short answer, so that its connection can be kept.
func discard(a *answer) {
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxDiscard)) // if it fails, the connection is closed below
	_ = a.Body.Close()
}

const maxDiscard = 16 << 10

// upstreamHeader returns the headers for an upstream: the caller's, without those of the connection, the key and those that
// only this system sets.
func (x *exchange) upstreamHeader(u roster.Upstream, extra http.Header) http.Header {
	names := x.f.o.Dialect.Headers
	out := make(http.Header, len(x.r.Header)+4)
	drop := connectionOptions(x.r.Header)
	for name, values := range x.r.Header {
		if !hopHeaders[name] && !drop[name] {
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
	out.Set(names.Expect, u.ID)
	out.Set(names.Deadline, strconv.FormatInt(max(x.left().Milliseconds(), 1), 10))
	for name, values := range extra {
		out[textproto.CanonicalMIMEHeaderKey(name)] = values
	}
	return out
}

// connectionOptions are the headers that the Connection header names.
func connectionOptions(h http.Header) map[string]bool {
	out := map[string]bool{}
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

// copyHead passes the head of an answer on.
func (x *exchange) copyHead(a *answer) {
	h := x.w.Header()
	drop := connectionOptions(a.Header)
	for name, values := range a.Header {
		if !hopHeaders[name] && !drop[name] {
			h[name] = values
		}
	}
	if _, ok := a.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http would guess one
	}
	if _, ok := a.Header["Date"]; !ok {
		h["Date"] = nil
	}
}

// copyTrailer passes on what came after the body. It works for answers in chunks only, as trailers do.
func (x *exchange) copyTrailer(a *answer) {
	for name, values := range a.Trailer() {
		for _, v := range values {
			x.w.Header().Add(http.TrailerPrefix+name, v)
		}
	}
}

// plain forwards a request with one answer.
func (x *exchange) plain() {
	for {
		a, refused := x.attempt("", nil)
		if refused != nil {
			x.refuse(*refused)
			return
		}
		if a == nil {
			continue
		}
		body, whole, err := readUpTo(a.Body, maxBuffered)
		if err != nil {
			x.sent-- // unanswered counts it
			if refused := x.spoilt(a, err); refused != nil {
				x.refuse(*refused)
				return
			}
			continue
		}
		if whole && a.Status >= 500 && x.worthRepeating() {
			x.finished(a, pick.ErrorResponse)
			x.exclude(a.from.ID)
			if again := x.repeatAfterFault(a, body); again {
				continue
			}
			return
		}
		x.passOn(a, body, whole)
		return
	}
}

// worthRepeating reports whether an upstream's own failure may be answered by another upstream instead.
func (x *exchange) worthRepeating() bool {
	return x.route.Kind == conf.Safe && x.sent < x.route.Attempts && x.left() > 0
}

// repeatAfterFault tries other upstreams after a failure; if none gives a better answer, the failure itself is passed on.
func (x *exchange) repeatAfterFault(first *answer, body []byte) bool {
	x.f.o.Events.Emit(event.ForwardRetried, event.F("request", x.id), event.F("upstream", first.from.ID),
		event.F("attempt", x.sent), event.F("outcome", "fault"), event.F("reason", first.Status))
	a, _ := x.attempt("", nil)
	if a == nil {
		x.upstream = first.from.ID
		x.write(first, body)
		return false
	}
	second, whole, err := readUpTo(a.Body, maxBuffered)
	if err != nil || !whole || a.Status >= 500 {
		_ = a.Body.Close()
		result := pick.ErrorResponse
		if err != nil {
			result = pick.NoResponse
		}
		x.finished(a, result)
		x.upstream = first.from.ID
		x.write(first, body)
		return false
	}
	x.passOn(a, second, whole)
	return false
}

// passOn gives an upstream's answer to the caller.
func (x *exchange) passOn(a *answer, body []byte, whole bool) {
	result := pick.Succeeded
	if a.Status >= 500 {
		result = pick.ErrorResponse
	}
	x.finished(a, result)
	x.noteAnswer()
	if whole {
		x.write(a, body)
		return
	}
	x.writeLong(a, body)
}

// write gives a whole answer.
func (x *exchange) write(a *answer, body []byte) {
	x.copyHead(a)
	length := int64(len(body))
	if x.r.Method == http.MethodHead {
		length = a.Length
	}
	if len(a.Trailer()) == 0 && length >= 0 && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		x.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.copyTrailer(a) // before the head, so that the answer goes in chunks
	x.w.WriteHeader(a.Status)
	x.maybeRan = false
	_, err := x.w.Write(body)
	reason := ""
	if err != nil && x.r.Method != http.MethodHead {
		reason = "the caller did not take the answer: " + err.Error()
	}
	x.log(a.Status, reason)
}

// writeLong passes on an answer that is too long to be kept.
func (x *exchange) writeLong(a *answer, first []byte) {
	defer a.Body.Close()
	x.copyHead(a)
	if a.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.w.WriteHeader(a.Status)
	x.started = true
	_, err := x.w.Write(first)
	if err == nil {
		_, err = io.Copy(x.w, a.Body)
	}
	if err != nil {
		x.log(0, "the answer broke off: "+err.Error())
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	x.copyTrailer(a)
	x.log(a.Status, "")
}

// readUpTo reads a body; whole is false if there is more than most bytes.
func readUpTo(r io.Reader, most int64) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r, most+1))
	return body, int64(len(body)) <= most, err
}
