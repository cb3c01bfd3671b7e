package proxy

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/stage"
	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/internal/wire/httpd"
)

// exchange is one request of a caller on its way through the node.
type exchange struct {
	f     *Front
	w     *callerWriter
	r     *http.Request
	began time.Time
	id    string

	table   *conf.Table
	route   *conf.Route
	service string
	team    *conf.Team
	body    []byte
	end     time.Time // when the final answer must be given
	// due is from when on the answer is late. The target counts from the caller's first attempt, as far as that is known.
	due time.Time

	ctx    context.Context // ends with the caller, or at end
	cancel context.CancelFunc

	plan *staging
	seat *seat // place at a model engine; nil: none was given
	// movedAway is set once the request has been moved to another region because of a refusal.
	movedAway bool
	sent      int  // upstreams that the request was sent to and that may have run it
	refusals  int  // upstreams that said that they did not run it
	maybeRan  bool // some upstream may have run it
	started   bool // a part of the answer was passed on
	upstream  string
	seated    time.Duration          // until a place at an engine was given
	held      time.Duration          // for which the stages were held back
	split     stage.LatencyBreakdown // of the stages' time
	staged    time.Duration          // until the stages were done
	lastSent  time.Duration          // until the last send to an upstream
	first     time.Duration          // until the first event or the answer was passed on
	pause     time.Duration          // longest time between two events that were passed on
	failed    map[string]bool        // upstreams that failed this request
	content   *poison.Fingerprint    // nil until it was needed
	informed  bool                   // news of the content were waited for since its last crash
}

// refusal is an answer of this node.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// Defaults of refusals.
const (
	retrySoon  = 300 * time.Millisecond // another node or a moment later may serve it
	retryLater = time.Second
)

func (x *exchange) serve() {
	if refused := x.accept(); refused != nil {
		x.refuse(*refused)
		return
	}
	x.limitTime()
	defer x.cancel()
	if !x.readBody() {
		return
	}
	x.f.countRequest(x.service)
	if refused := x.blocked(); refused != nil {
		x.refuse(*refused)
		return
	}
	x.forward()
}

// accept finds the route of the request and checks its key.
func (x *exchange) accept() *refusal {
	x.table = x.f.o.View().Table
	if x.table == nil {
		return &refusal{http.StatusServiceUnavailable, "no configuration is in force yet", retrySoon}
	}
	if x.id == "" {
		return &refusal{http.StatusBadRequest, "the request has no id", 0}
	}
	if size, most := headerBytes(x.r), x.table.Config.Limits.HeaderBytes; most > 0 && size > most {
		return &refusal{http.StatusRequestHeaderFieldsTooLarge, "the header is too large", 0}
	}
	x.route = x.table.Match(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil {
		return &refusal{http.StatusNotFound, "no route matches", 0}
	}
	if x.table.NeedsKey(x.route) {
		key, ok := strings.CutPrefix(x.r.Header.Get("Authorization"), x.f.o.Dialect.Headers.KeyScheme+" ")
		if ok {
			x.team, ok = x.table.Team(key)
		}
		if !ok {
			return &refusal{http.StatusUnauthorized, "the key is not known", 0}
		}
	}
	x.service = x.f.split(x.route)
	return nil
}

func headerBytes(r *http.Request) int {
	n := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// readBody reads the whole body, so that it can be sent again. It returns false if the request has ended: a caller that has not
// sent its body when the time of the request is over gets no answer later either.
func (x *exchange) readBody() bool {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return true
	}
	most := int64(x.table.Config.Limits.BodyBytes)
	in := io.Reader(x.r.Body)
	if most > 0 {
		in = http.MaxBytesReader(x.w.ResponseWriter, x.r.Body, most)
	}
	_ = x.w.control.SetReadDeadline(x.end) // without support for it, the caller is waited for
	body, err := io.ReadAll(in)
	switch {
	case err == nil:
		_ = x.w.control.SetReadDeadline(time.Time{}) // as above
		x.body = body
		return true
	case httpd.TooLarge(err):
		x.refuse(refusal{http.StatusRequestEntityTooLarge, "the body is too large", 0})
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close") // the rest of the body may come at any time
		// The server takes a caller whose read failed for gone, which it is not.
		x.writeRefusal(refusal{http.StatusRequestTimeout, "the body did not arrive in time", 0})
	default:
		x.log(0, "the body ended early: "+err.Error())
		panic(http.ErrAbortHandler) // closes the connection; the caller has gone or breaks the protocol
	}
	return false
}

// limitTime sets when the request ends: at the caller's deadline or the route's timeout, whichever is first.
func (x *exchange) limitTime() {
	x.due = x.began.Add(x.route.Target.Duration())
	left := x.route.Timeout.Duration()
	if ms, err := strconv.ParseFloat(x.r.Header.Get(x.f.o.Dialect.Headers.Deadline), 64); err == nil && ms > 0 {
		left = min(left, time.Duration(ms*float64(time.Millisecond)))
	}
	x.end = x.began.Add(left)
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithCancel(x.r.Context())
	timer := x.f.o.Clock.AfterFunc(x.left(), cancel)
	x.cancel = func() {
		timer.Stop()
		cancel()
	}
}

// slack is the time until the request is late.
func (x *exchange) slack() time.Duration {
	return x.due.Sub(x.f.o.Clock.Now())
}

func (x *exchange) left() time.Duration { return x.end.Sub(x.f.o.Clock.Now()) }

// gone reports whether the caller has left.
func (x *exchange) gone() bool { return x.r.Context().Err() != nil }

// expired reports whether the time of the request is over.
func (x *exchange) expired() bool { return !x.gone() && x.ctx.Err() != nil }

// forward runs the stages and sends the request on.
func (x *exchange) forward() {
	if x.usesEngines() {
		x.seat = x.seatFor()
		x.seated = x.f.o.Clock.Now().Sub(x.began)
		defer func() { x.f.noteEnd(x.seat, engine.Cancelled) }() // a ticket that has ended already is not known any more
	}
	if len(x.route.Stages) > 0 {
		refused := x.runStages()
		defer func() {
			if x.plan != nil {
				x.cancel()
				x.plan.end()
			}
		}()
		x.staged = x.f.o.Clock.Now().Sub(x.began)
		if x.plan != nil {
			x.split = x.plan.split()
		}
		if refused != nil {
			x.refuse(*refused)
			return
		}
	}
	if x.route.Kind == conf.Stream {
		x.stream()
		return
	}
	x.plain()
}

// runStages makes the pieces of all stages, if need be in another region than first planned.
func (x *exchange) runStages() *refusal {
	for {
		s, refused := x.newStaging()
		if refused != nil {
			return refused
		}
		x.plan = s
		refused = s.run()
		if refused == nil || !x.refusedHere(s) {
			return refused
		}
		s.end()
		x.plan = nil
	}
}

// refuse gives an answer of this node.
func (x *exchange) refuse(f refusal) {
	if x.gone() {
		x.log(0, "the caller has left")
		panic(http.ErrAbortHandler) // no one reads an answer
	}
	if x.started {
		x.log(0, f.reason)
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	x.writeRefusal(f)
}

func (x *exchange) writeRefusal(f refusal) {
	h := x.w.Header()
	if x.id != "" {
		h.Set(x.f.o.Dialect.Headers.RequestID, x.id)
	}
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := f.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(f.status)
	_, _ = io.WriteString(x.w, body) // the caller is gone; there is nothing left to do for it
	x.logRefusal(f)
}

// giveUp returns the answer to a request whose time is over or that cannot be sent on.
func (x *exchange) giveUp(reason string, retryAfter time.Duration) refusal {
	switch {
	case x.maybeRan && x.expired():
		return refusal{http.StatusGatewayTimeout, reason, 0}
	case x.maybeRan:
		return refusal{http.StatusBadGateway, reason, 0}
	}
	return refusal{http.StatusServiceUnavailable, reason, retryAfter}
}

func (x *exchange) name() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

func (x *exchange) logRefusal(f refusal) {
	x.f.o.Measure.refused(f.status)
	if x.sent > 0 || x.maybeRan {
		x.log(f.status, f.reason)
		return
	}
	version := uint64(0)
	if x.table != nil {
		version = x.table.Config.Version
	}
	forecast := x.forecast()
	x.f.o.Events.Emit(event.ForwardRefused, event.F("request", x.id), event.F("host", x.r.Host), event.F("path", shortened(x.r.URL.EscapedPath())),
		event.F("route", x.name()), event.F("team", x.teamName()), event.F("status", f.status), event.F("reason", f.reason), event.F("retry_after_ms", f.retryAfter.Milliseconds()),
		event.F("rank", x.rankOrNone()), event.F("age_ms", x.age().Milliseconds()), event.F("elapsed_ms", x.f.o.Clock.Now().Sub(x.began).Milliseconds()), event.F("forecast_ms", forecast.Total.Milliseconds()),
		event.F("wait_ms", forecast.Wait.Milliseconds()), event.F("queued_ms", x.split.Queued.Milliseconds()), event.F("version", version))
}

// forecast is what was expected of the request's stages and engine when it got its place; zero without a place.
func (x *exchange) forecast() engine.Forecast {
	if x.seat == nil {
		return engine.Forecast{}
	}
	return x.seat.forecast
}

// age is the time between the caller's first attempt, as far as that is known, and this one.
func (x *exchange) age() time.Duration {
	if x.due.IsZero() {
		return 0
	}
	return x.began.Add(x.route.Target.Duration()).Sub(x.due)
}

// rankOrNone is the urgency for a log line; -1 before the route is known.
func (x *exchange) rankOrNone() int {
	if x.route == nil {
		return -1
	}
	return x.rank()
}

// pathLogged bounds the part of a path that is logged.
const pathLogged = 80

func shortened(path string) string {
	if len(path) > pathLogged {
		return path[:pathLogged] + "..."
	}
	return path
}

// log writes the line of a request that has ended. Status 0 means that the connection was closed without a whole answer.
func (x *exchange) log(status int, reason string) {
	elapsed := x.f.o.Clock.Now().Sub(x.began)
	x.f.o.Measure.answered(status, elapsed)
	forecast := x.forecast()
	var target time.Duration
	if x.route != nil {
		target = x.route.Target.Duration()
	}
	x.f.o.Events.Emit(event.ForwardFinished, event.F("request", x.id), event.F("route", x.name()), event.F("team", x.teamName()),
		event.F("status", status), event.F("upstream", x.upstream), event.F("attempts", x.sent+x.refusals),
		event.F("target_ms", target.Milliseconds()), event.F("age_ms", x.age().Milliseconds()), event.F("seat_ms", x.seated.Milliseconds()), event.F("hold_ms", x.held.Milliseconds()),
		event.F("before_ms", x.split.Before.Milliseconds()), event.F("queued_ms", x.split.Queued.Milliseconds()),
		event.F("called_ms", x.split.InCall.Milliseconds()), event.F("handed_ms", x.split.Transfer.Milliseconds()),
		event.F("stage_ms", x.staged.Milliseconds()), event.F("sent_ms", x.lastSent.Milliseconds()), event.F("first_ms", x.first.Milliseconds()),
		event.F("pause_ms", x.pause.Milliseconds()), event.F("elapsed_ms", elapsed.Milliseconds()), event.F("late", x.lateBy(elapsed)),
		event.F("unread", forecast.UnreadTokens), event.F("ahead", forecast.TokensAhead), event.F("streams", forecast.Streams),
		event.F("ran", x.ranText()), event.F("reason", reason))
}

// lateBy names what made the answer late, for a log line; empty for one that was on time. Of several causes it is the first one
// that was enough by itself.
func (x *exchange) lateBy(elapsed time.Duration) string {
	if x.route == nil || x.due.IsZero() {
		return ""
	}
	slack := x.due.Sub(x.began)
	answered := elapsed
	if x.first > 0 {
		answered = x.first
	}
	switch {
	case slack <= 0:
		return "before"
	case x.staged > slack:
		return "stages"
	case answered > slack:
		return "upstream"
	case x.route.Gap > 0 && x.pause > x.route.Gap.Duration():
		return "pause"
	}
	return ""
}

func (x *exchange) ranText() string {
	switch {
	case x.maybeRan:
		return "maybe"
	case x.sent > 0:
		return "yes"
	}
	return "no"
}
