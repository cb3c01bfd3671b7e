package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/gate/pick"
)

// Priority at a model engine, where 0 is the highest. Ranks beyond the range get maxPriority.
const (
	basePriority = 2
	maxPriority  = 9
)

var (
	errIncomplete    = errors.New("stream ended in the middle of an event")
	errEventTooLarge = errors.New("stream event is too large")
	errOtherType     = errors.New("the answer to a resumed stream has another content type than the stream")
	errNothingNew    = errors.New("the answer to a resumed stream has no event that the caller lacks")
	errUnnumbered    = errors.New("the answer to a resumed stream has an event without an id")
)

// forwardStream forwards a request whose response is a stream of server-sent events.
//
// Only complete events are forwarded. If the route allows it, a broken stream is then resumed at another
// upstream after the last complete event. The response keeps the header of the first upstream. A run that resumes a stream must go
// on with it: an answer of another kind, one that brings nothing new, and one whose events can't be ordered end the attempt like a
// broken connection.
func (x *exchange) forwardStream() {
	s := &eventStream{x: x, lastID: x.r.Header.Get(x.f.o.Dialect.Headers.LastEvent)}
	for {
		if refused := x.renewStages(); refused != nil {
			x.refuse(*refused)
			return
		}
		resp, refused := x.attempt(x.affinityKey(), s.headers())
		if refused != nil {
			x.refuse(*refused)
			return
		}
		if resp == nil {
			continue
		}
		if resp.Status != http.StatusOK {
			s.forwardFailure(resp)
			return
		}
		err := s.beginRun(resp)
		if err == nil {
			err = s.copyEvents(resp)
		}
		if err == nil {
			x.finishAttempt(resp, pick.Succeeded)
			x.recordSuccess()
			x.maybeRan = false
			x.logFinished(resp.Status, "")
			return
		}
		x.sent-- // handleSendError counts it again
		if refused := x.handleBadResponse(resp, err); refused != nil {
			x.refuse(*refused)
			return
		}
		if refused := s.prepareResume(); refused != nil {
			x.refuse(*refused)
			return
		}
	}
}

type eventStream struct {
	x           *exchange
	lastID      string    // id of the last event that the caller has received
	firstSent   bool      // the first event was forwarded
	lastEventAt time.Time // when the last event was forwarded
	partial     []byte    // bytes of an incomplete event
	mediaType   string    // of the stream, by the header that the caller has received
	unnumbered  bool      // an event without an id was forwarded, which a resumed run would repeat
	resuming    bool      // the present run goes on with an earlier one
	progressed  bool      // the present run has brought an event that the caller lacked
	runErr      error     // why the present run can't be used further
}

// beginRun notes the beginning of a run, and reports an error if it can't go on with what the caller has received.
func (s *eventStream) beginRun(resp *response) error {
	s.resuming, s.progressed, s.runErr = s.x.responseStarted, false, nil
	if !s.resuming {
		return nil
	}
	if t := mediaTypeOf(resp); t != s.mediaType && t != eventStreamType {
		return errOtherType
	}
	return nil
}

const eventStreamType = "text/event-stream"

// mediaTypeOf returns the content type of a response without its parameters.
func mediaTypeOf(resp *response) string {
	name, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

func (s *eventStream) headers() http.Header {
	x := s.x
	names := x.f.o.Dialect.Headers
	h := http.Header{}
	if s.lastID != "" {
		h.Set(names.LastEvent, s.lastID)
	}
	h.Set(names.Priority, strconv.Itoa(min(basePriority+max(x.rank(), 0), maxPriority)))
	if x.stages != nil {
		if inputs := x.stages.plan.Inputs(); len(inputs) > 0 {
			h.Set(names.Inputs, strings.Join(inputs, ","))
		}
	}
	return h
}

// forwardFailure forwards a response with another status than 200.
func (s *eventStream) forwardFailure(resp *response) {
	x := s.x
	body, whole, err := x.buffers.readBody(resp)
	if err != nil || x.responseStarted {
		_ = resp.Body.Close()
		x.finishAttempt(resp, pick.NoResponse)
		x.maybeRan = true
		x.refuse(x.gatewayError("the upstream failed", 0))
		return
	}
	x.forwardResponse(resp, body, whole)
}

// prepareResume recomputes the stages' results, which were freed when the first event arrived. A stream without ids is not resumed.
func (s *eventStream) prepareResume() *refusal {
	x := s.x
	s.keep(nil)
	if s.unnumbered {
		r := x.gatewayError("the stream broke off, and its events have no ids", 0)
		return &r
	}
	if x.stages == nil || x.stages.plan.Finished() {
		return nil
	}
	return x.stages.rerunLost()
}

// copyEvents forwards events until the stream ends. It returns nil if the stream is complete.
func (s *eventStream) copyEvents(resp *response) error {
	x := s.x
	buffer := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if writeErr := s.forwardEvents(resp, buffer[:n]); writeErr != nil {
				_ = resp.Body.Close()
				x.finishAttempt(resp, pick.Cancelled)
				x.logFinished(0, "writing the response to the caller: "+writeErr.Error())
				panic(http.ErrAbortHandler) // the caller disconnected
			}
		}
		switch {
		case s.runErr != nil:
			return s.runErr
		case errors.Is(err, io.EOF):
			return s.finish(resp)
		case err != nil:
			return err
		case len(s.partial) > maxEventBytes:
			return errEventTooLarge
		case !x.buffers.cover(len(s.partial)):
			return errBuffersInUse
		}
	}
}

// finish ends the response. Bytes after the last complete event are part of it, unless closing the connection is
// the only way for the upstream to mark the end: then the stream may be truncated.
func (s *eventStream) finish(resp *response) error {
	switch {
	case resp.Unframed && !isBlank(s.partial):
		return errIncomplete
	case s.resuming && !s.progressed:
		return errNothingNew
	}
	s.writeHead(resp)
	if len(s.partial) > 0 {
		_, _ = s.x.w.Write(s.partial) // fails only if the caller disconnected, and the stream has ended anyway
	}
	s.x.copyTrailer(resp)
	return nil
}

// writeHead sends the response header, before the first event.
func (s *eventStream) writeHead(resp *response) {
	x := s.x
	if x.responseStarted {
		return
	}
	x.responseStarted = true
	s.mediaType = mediaTypeOf(resp)
	x.firstByteAfter = x.f.o.Clock.Now().Sub(x.start)
	x.copyResponseHeader(resp)
	x.w.WriteHeader(resp.Status)
}

// forwardEvents forwards the complete events.
func (s *eventStream) forwardEvents(resp *response, data []byte) error {
	s.partial = append(s.partial, data...)
	whole, rest := s.takeEvents(s.partial)
	if len(rest) == len(s.partial) {
		return nil
	}
	s.writeHead(resp)
	now := s.x.f.o.Clock.Now()
	if s.firstSent {
		s.x.longestPause = max(s.x.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	if !s.firstSent {
		s.firstSent = true
		s.x.f.notifyFirstEvent(s.x.placement)
		if s.x.stages != nil {
			s.x.stages.releaseResults()
		}
	}
	_, err := s.x.w.Write(whole)
	if err == nil {
		err = http.NewResponseController(s.x.w).Flush()
	}
	s.keep(rest)
	return err
}

// keep replaces the incomplete event. The buffer of a large one is given up.
func (s *eventStream) keep(rest []byte) {
	if cap(s.partial) > ownBufferBytes {
		s.partial = nil
		s.x.buffers.release()
	}
	s.partial = append(s.partial[:0], rest...)
}

// takeEvents splits data into its complete events and the rest. It removes events that the caller already has and records
// the id of the last event. In a resumed run it ends with runErr at an event without an id, since the caller may have it. Both
// results are parts of data, which is changed.
func (s *eventStream) takeEvents(data []byte) (out, rest []byte) {
	out = data[:0]
	for {
		end := eventLength(data)
		if end == 0 {
			return out, data
		}
		one := data[:end]
		data = data[end:]
		id := eventID(one)
		if id != "" && s.lastID != "" && !isNewer(id, s.lastID) {
			continue
		}
		switch {
		case id != "":
			s.lastID = id
			s.progressed = true
		case !isControl(one) && s.resuming:
			s.runErr = errUnnumbered
			return out, nil
		case !isControl(one):
			s.unnumbered = true
		}
		out = append(out, one...)
	}
}

// affinityKey identifies requests that share a prompt prefix. It consists of all parts of the prefix except the
// last, which is specific to one request or session.
func (x *exchange) affinityKey() string {
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

// rank returns the priority rank of the request; 0 is the most urgent.
func (x *exchange) rank() int { return x.table.Rank(x.route, x.team) }

// homeDataCentre returns the data centre of the engine that will run the request. Stages run there, so that
// their results need not be sent between data centres.
func (x *exchange) homeDataCentre() string {
	if x.placement == nil {
		return x.f.o.DataCentre
	}
	return x.placement.upstream.DataCentre
}
