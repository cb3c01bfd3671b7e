package gwnode

import (
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/internal/wire/memory"
)

const bytesPerMB = 1_000_000

// MemoryBytes returns the memory that the process may use; 0: not known.
func (l Limits) MemoryBytes() int64 { return int64(l.MemoryMB * bytesPerMB) }

// newAccount returns the account of a process; nil if its memory is not known.
func newAccount(l Limits, c clock.Clock) *memory.Account {
	if l.MemoryBytes() <= 0 {
		return nil
	}
	return memory.New(memory.Options{Clock: c, Bytes: memory.Bound(l.MemoryBytes()), Descriptors: l.Descriptors})
}

// refusalLog counts refused peers, and writes at most one line a second for each limit.
type refusalLog struct {
	clock  clock.Clock
	events *event.Log

	mu     sync.Mutex
	totals map[string]int64
	told   map[string]toldLimit
}

type toldLimit struct {
	at    time.Time
	total int64
}

// refusalEvery is the time between two lines on the same limit: a crowd must not cost a line for each of its callers.
const refusalEvery = time.Second

func newRefusalLog(c clock.Clock, events *event.Log) *refusalLog {
	return &refusalLog{clock: c, events: events, totals: map[string]int64{}, told: map[string]toldLimit{}}
}

func (l *refusalLog) add(r httpd.Refusal) {
	now := l.clock.Now()
	l.mu.Lock()
	l.totals[r.Limit]++
	total, last := l.totals[r.Limit], l.told[r.Limit]
	due := last.at.IsZero() || now.Sub(last.at) >= refusalEvery
	if due {
		l.told[r.Limit] = toldLimit{now, total}
	}
	l.mu.Unlock()
	if due {
		l.events.Emit(event.LimitReached, event.F("limit", r.Limit), event.F("peer", r.Peer), event.F("held", r.Held),
			event.F("count", total-last.total))
	}
}

// counts returns the refusals by limit since the start.
func (l *refusalLog) counts() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.totals))
	for limit, n := range l.totals {
		out[limit] = n
	}
	return out
}
