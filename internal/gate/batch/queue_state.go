package batch

import (
	"fmt"
	"strings"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

// logQueues logs the state of each queue that has been active since its last log line, and drops expired results.
func (m *Batcher) logQueues() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Clock.Now()
	m.localResults.expire(now)
	m.remoteUsers.expire(now)
	view := m.o.View()
	m.sweepPaces(now, view)
	for _, q := range m.queues {
		m.updateOwned(view, q)
		s := q.Snapshot(now)
		if s.Counters == q.lastLogged && q.Len() == 0 {
			continue
		}
		last := q.lastLogged
		q.lastLogged = s.Counters
		m.o.Events.Emit(event.QueueState, event.F("service", q.service), event.F("region", q.region), event.F("waiting", byRank(s.Waiting)),
			event.F("oldest_ms", s.OldestWait.Milliseconds()), event.F("per_second", int(q.Rate())), event.F("upstreams", s.Upstreams),
			event.F("busy", s.CallsInFlight), event.F("calls", s.Counters.Calls-last.Calls), event.F("pieces", s.Counters.Pieces-last.Pieces),
			event.F("made", s.Counters.Completed-last.Completed), event.F("no_room", s.Counters.NoRoom-last.NoRoom), event.F("late", s.Counters.Late-last.Late),
			event.F("refused", s.Counters.Refused-last.Refused), event.F("unwanted", s.Counters.Unwanted-last.Unwanted),
			event.F("away", s.Counters.Remote-last.Remote), event.F("away_kb", (s.Counters.RemoteBytes-last.RemoteBytes)/1000),
			event.F("results", s.Results), event.F("used_kb", s.UsedBytes/1000), event.F("limit_kb", s.LimitBytes/1000),
			event.F("call_us", s.CallTime.Microseconds()), event.F("piece_us", s.PieceTime.Microseconds()),
			event.F("reporting", s.Reporting),
			event.F("speeds", fmt.Sprintf("%.2f/%.2f", s.Least, s.Most)))
	}
}

// byRank formats the numbers of waiting jobs by rank.
func byRank(waiting []int) string {
	text := make([]string, len(waiting))
	for i, n := range waiting {
		text[i] = fmt.Sprint(n)
	}
	return strings.Join(text, "/")
}

// QueueState is the state of a queue that this node owns.
type QueueState struct {
	Service, Region string
	stage.Snapshot
}

// Queues returns the state of each queue that this node owns.
func (m *Batcher) Queues() []QueueState {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Clock.Now()
	var out []QueueState
	for p, q := range m.queues {
		out = append(out, QueueState{p.service, p.region, q.Snapshot(now)})
	}
	return out
}
