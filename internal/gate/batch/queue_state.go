package batch

import (
	"fmt"
	"strings"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

// logQueues writes a line for each queue that has done something since its last one, and forgets results that have expired.
func (m *Maker) logQueues() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Clock.Now()
	m.holder.expire(now)
	m.users.expire(now)
	for _, q := range m.queues {
		s := q.Snapshot(now)
		if s.Tally == q.logged && q.Len() == 0 {
			continue
		}
		last := q.logged
		q.logged = s.Tally
		m.o.Events.Emit(event.QueueState, event.F("service", q.service), event.F("region", q.area), event.F("waiting", byRank(s.Waiting)),
			event.F("oldest_ms", s.Oldest.Milliseconds()), event.F("per_second", int(q.Rate())), event.F("upstreams", s.Upstreams),
			event.F("busy", s.Busy), event.F("calls", s.Tally.Calls-last.Calls), event.F("pieces", s.Tally.Pieces-last.Pieces),
			event.F("made", s.Tally.Made-last.Made), event.F("no_room", s.Tally.NoRoom-last.NoRoom), event.F("late", s.Tally.Late-last.Late),
			event.F("refused", s.Tally.Refused-last.Refused), event.F("unwanted", s.Tally.Unwanted-last.Unwanted),
			event.F("away", s.Tally.Away-last.Away), event.F("away_kb", (s.Tally.AwayBytes-last.AwayBytes)/1000),
			event.F("results", s.Results), event.F("used_kb", s.Used/1000), event.F("limit_kb", s.Limit/1000))
	}
}

func byRank(waiting []int) string {
	text := make([]string, len(waiting))
	for i, n := range waiting {
		text[i] = fmt.Sprint(n)
	}
	return strings.Join(text, "/")
}

// QueueState is the state of a queue that this node keeps.
type QueueState struct {
	Service, Region string
	stage.Snapshot
}

// Queues returns the state of each queue that this node keeps.
func (m *Maker) Queues() []QueueState {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Clock.Now()
	var out []QueueState
	for p, q := range m.queues {
		out = append(out, QueueState{p.service, p.area, q.Snapshot(now)})
	}
	return out
}
