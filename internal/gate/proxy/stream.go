package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/gate/pick"
)

// Urgency at a model engine: 0 is first. Ranks above the range share its end.
const (
	firstPriority = 2
	lastPriority  = 9
)

var (
	errIncomplete = errors.New("the stream ended within an event")
	errEndless    = errors.New("an event of the stream is too large")
)

// maxEvent bounds what is kept of an event that is not whole, in bytes.
const maxEvent = 1 << 20

// stream forwards a request whose answer is a sequence of events.
//
// Only whole events are passed on, so that a stream that breaks off can go on at another upstream after the last whole one,
// where the route allows that. The answer keeps the head of the first upstream.
func (x *exchange) stream() {
	s := &streaming{x: x, last: x.r.Header.Get(x.f.o.Dialect.Headers.LastEvent)}
	for {
		a, refused := x.attempt(x.affinity(), s.headers())
		if refused != nil {
			x.refuse(*refused)
			return
		}
		if a == nil {
			continue
		}
		if a.Status != http.StatusOK {
			s.failure(a)
			return
		}
		err := s.pass(a)
		if err == nil {
			x.finished(a, pick.Succeeded)
			x.noteAnswer()
			x.maybeRan = false
			x.log(a.Status, "")
			return
		}
		x.sent-- // unanswered counts it
		if refused := x.spoilt(a, err); refused != nil {
			x.refuse(*refused)
			return
		}
		if refused := s.prepareResume(); refused != nil {
			x.refuse(*refused)
			return
		}
	}
}

type streaming struct {
	x     *exchange
	last  string    // id of the last event that the caller has
	first bool      // the first event was passed on
	at    time.Time // when the last event was passed on
	rest  []byte    // bytes of an event that is not whole
}

func (s *streaming) headers() http.Header {
	x := s.x
	names := x.f.o.Dialect.Headers
	h := http.Header{}
	if s.last != "" {
		h.Set(names.LastEvent, s.last)
	}
	h.Set(names.Priority, strconv.Itoa(min(firstPriority+max(x.rank(), 0), lastPriority)))
	if x.plan != nil {
		if inputs := x.plan.plan.Inputs(); len(inputs) > 0 {
			h.Set(names.Inputs, strings.Join(inputs, ","))
		}
	}
	return h
}

// failure passes on an upstream's own failure.
func (s *streaming) failure(a *answer) {
	x := s.x
	body, whole, err := readUpTo(a.Body, maxBuffered)
	if err != nil || x.started {
		_ = a.Body.Close()
		x.finished(a, pick.NoResponse)
		x.maybeRan = true
		x.refuse(x.giveUp("the upstream failed", 0))
		return
	}
	x.passOn(a, body, whole)
}

// prepareResume makes the stages' results again, which were given up when the first event came.
func (s *streaming) prepareResume() *refusal {
	x := s.x
	s.rest = nil
	if x.plan == nil || x.plan.plan.Finished() {
		return nil
	}
	return x.plan.again()
}

// pass forwards events until the stream ends. nil means that it ended as its upstream meant it to.
func (s *streaming) pass(a *answer) error {
	x := s.x
	buffer := make([]byte, 16<<10)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if writeErr := s.events(a, buffer[:n]); writeErr != nil {
				_ = a.Body.Close()
				x.finished(a, pick.Cancelled)
				x.log(0, "the caller did not take the answer: "+writeErr.Error())
				panic(http.ErrAbortHandler) // the caller has gone
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return s.finish(a)
		case err != nil:
			return err
		case len(s.rest) > maxEvent:
			return errEndless
		}
	}
}

// finish ends the answer. Bytes after the last whole event belong to it, unless the end of the connection is the only sign
// that the stream is complete.
func (s *streaming) finish(a *answer) error {
	if len(s.rest) > 0 && a.Unframed {
		return errIncomplete
	}
	s.begin(a)
	if len(s.rest) > 0 {
		_, _ = s.x.w.Write(s.rest) // the caller has gone; the stream has ended anyway
	}
	s.x.copyTrailer(a)
	return nil
}

// begin passes the head on, before the first event.
func (s *streaming) begin(a *answer) {
	x := s.x
	if x.started {
		return
	}
	x.started = true
	x.first = x.f.o.Clock.Now().Sub(x.began)
	x.copyHead(a)
	x.w.WriteHeader(a.Status)
}

// events passes whole events on.
func (s *streaming) events(a *answer, data []byte) error {
	s.rest = append(s.rest, data...)
	end := lastBoundary(s.rest)
	if end == 0 {
		return nil
	}
	whole := s.unseen(s.rest[:end])
	s.begin(a)
	now := s.x.f.o.Clock.Now()
	if s.first {
		s.x.pause = max(s.x.pause, now.Sub(s.at))
	}
	s.at = now
	if !s.first {
		s.first = true
		s.x.f.noteRead(s.x.seat)
		if s.x.plan != nil {
			s.x.plan.release()
		}
	}
	_, err := s.x.w.Write(whole)
	if err == nil {
		err = http.NewResponseController(s.x.w).Flush()
	}
	s.rest = append(s.rest[:0], s.rest[end:]...)
	return err
}

// unseen drops events that the caller has already, and notes the id of the last one. The data holds whole events.
func (s *streaming) unseen(data []byte) []byte {
	var out []byte
	for len(data) > 0 {
		end := firstBoundary(data)
		one := data[:end]
		data = data[end:]
		id := eventID(one)
		if id != "" && s.last != "" && !after(id, s.last) {
			continue
		}
		if id != "" {
			s.last = id
		}
		out = append(out, one...)
	}
	return out
}

// after compares ids, which are numbers that grow; others count as new.
func after(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// boundaries end an event.
var boundaries = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// firstBoundary returns the length of the first event, and lastBoundary that of all whole events; 0 if there is none.
func firstBoundary(data []byte) int {
	best := 0
	for _, b := range boundaries {
		if i := bytes.Index(data, b); i >= 0 && (best == 0 || i+len(b) < best) {
			best = i + len(b)
		}
	}
	return best
}

func lastBoundary(data []byte) int {
	best := 0
	for _, b := range boundaries {
		if i := bytes.LastIndex(data, b); i >= 0 {
			best = max(best, i+len(b))
		}
	}
	return best
}

// affinity is what requests that share a part of their prompt have in common: all parts of the prefix but the last, which
// belongs to one request or session.
func (x *exchange) affinity() string {
	if !x.route.Affinity {
		return ""
	}
	parts := strings.Split(x.r.Header.Get(x.f.o.Dialect.Headers.Prefix), ",")
	if len(parts) > 1 {
		parts = parts[:len(parts)-1]
	}
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i], _, _ = strings.Cut(strings.TrimSpace(p), ":")
	}
	return x.r.Header.Get(x.f.o.Dialect.Headers.Model) + "/" + strings.Join(ids, ",")
}

// rank is the urgency of the request, 0 for the most urgent.
func (x *exchange) rank() int { return x.table.Rank(x.route, x.team) }

// home returns the data centre of the engine that will run the request. Stages run there, so that their results do not
// cross data centres.
func (x *exchange) home() string {
	if x.seat == nil {
		return x.f.o.DataCentre
	}
	return x.seat.upstream.DataCentre
}
