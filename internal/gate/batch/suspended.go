package batch

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/poller"
)

// PaceTable returns the table of upstreams that are leaving or paused, as this process learnt from their answers.
func (m *Batcher) PaceTable() *pace.Table { return m.paceTable }

// NoteAnswer records what the head of an answer tells about a start of an upstream. It must be called before the body is read,
// which may break off.
func (m *Batcher) NoteAnswer(id string, startedMs int64, status int, h http.Header) {
	names := m.o.Dialect.Headers
	if status == http.StatusMisdirectedRequest && h.Get(names.UpstreamID) != id {
		return // another upstream now has the address
	}
	if isSet(h.Get(names.Leaving)) || names.LeavingAlias != "" && isSet(h.Get(names.LeavingAlias)) {
		if m.paceTable.Leave(id, startedMs) {
			m.o.Events.Emit(event.UpstreamSuspended, event.F("upstream", id), event.F("born_ms", startedMs), event.F("cause", pace.Leaving.String()),
				event.F("until", "its next start"))
		}
	}
	text := h.Get("Retry-After")
	if status != http.StatusServiceUnavailable || text == "" {
		return
	}
	d, ok := parsePause(text)
	if !ok {
		m.o.Events.Emit(event.PauseIgnored, event.F("upstream", id), event.F("value", strconv.Quote(text[:min(len(text), maxLoggedValue)])))
		return
	}
	if until, began := m.paceTable.Pause(m.o.Clock.Now(), id, startedMs, d); began {
		m.o.Events.Emit(event.UpstreamSuspended, event.F("upstream", id), event.F("born_ms", startedMs), event.F("cause", pace.Paused.String()),
			event.F("until", until.UTC().Format(time.RFC3339Nano)))
	}
}

// maxLoggedValue is the length, in bytes, at which a logged header value is truncated.
const maxLoggedValue = 40

// isSet reports whether the value of a header that marks a state means that the state holds.
func isSet(v string) bool { return v != "" && v != "0" && !strings.EqualFold(v, "false") }

// parsePause parses a Retry-After in seconds, with fractions. A pause above the range of a duration is as long as possible.
func parsePause(text string) (time.Duration, bool) {
	s, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(s) || math.IsInf(s, 0) || s <= 0 {
		return 0, false
	}
	if s >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, true
	}
	return max(time.Duration(s*float64(time.Second)), 1), true
}

// sweepPaces removes from the table what has ended.
func (m *Batcher) sweepPaces(now time.Time, view *poller.View) {
	if m.paceTable.Len() == 0 {
		return
	}
	starts := map[string]int64{}
	for _, list := range view.Services {
		for _, u := range list {
			starts[u.ID] = u.StartedMs
		}
	}
	for _, c := range m.paceTable.Sweep(now, func(id string) (int64, bool) { s, ok := starts[id]; return s, ok }) {
		m.o.Events.Emit(event.UpstreamResumed, event.F("upstream", c.ID), event.F("born_ms", c.StartedMs), event.F("cause", c.Cause.String()), event.F("reason", c.Reason))
	}
}
