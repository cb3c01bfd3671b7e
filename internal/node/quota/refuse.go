package quota

import (
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/base/stats"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/internal/wire/memory"
)

// Refusals counts refused peers, and writes at most one line a second for each limit.
type Refusals struct {
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

// NewRefusals returns an empty count.
func NewRefusals(c clock.Clock, events *event.Log) *Refusals {
	return &Refusals{clock: c, events: events, totals: map[string]int64{}, told: map[string]toldLimit{}}
}

// Add counts a refusal.
func (l *Refusals) Add(r httpd.Refusal) {
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

// Counts returns the refusals by limit since the start.
func (l *Refusals) Counts() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.totals))
	for limit, n := range l.totals {
		out[limit] = n
	}
	return out
}

// Names of metrics.
const (
	memoryHeld    = "memory_held_bytes"
	memoryBound   = "memory_bound_bytes"
	memoryCuts    = "memory_cuts_total"
	memoryRefused = "memory_refusals_total"
	connections   = "connections"
	limitReached  = "limit_reached_total"
)

// Metrics are those of an account and of refusals.
func Metrics() []stats.Metric {
	byKind := []string{"kind"}
	return []stats.Metric{
		{Name: memoryHeld, Type: stats.Gauge, Labels: byKind, Help: "Bytes that the account of memory holds, by kind: connection (with heads), body, upstream (bodies and pieces that wait for one), answer, message."},
		{Name: memoryBound, Type: stats.Gauge, Help: "Bytes that the account may hold."},
		{Name: memoryCuts, Type: stats.Counter, Labels: byKind, Help: "Unfinished or idle holders that were told to end, by kind."},
		{Name: memoryRefused, Type: stats.Counter, Labels: byKind, Help: "Holders for which there was no room, by kind."},
		{Name: connections, Type: stats.Gauge, Labels: []string{"state"}, Help: "Connections: open (incoming, of all listeners), busy (of which with a request), outgoing (to upstreams)."},
		{Name: limitReached, Type: stats.Counter, Labels: []string{"limit"}, Help: "Peers that were refused or cut off, by limit: see docs/OPERATIONS.md, callers outside the limits."},
	}
}

// Sample publishes the state of an account and the refusals. A nil *Refusals publishes nothing.
func (l *Refusals) Sample(page *stats.Page, a *memory.Account) {
	if l == nil {
		return
	}
	u := a.Usage()
	page.Set(memoryBound, float64(u.Bound), nil)
	for _, k := range u.Kinds {
		tags := stats.Tags{"kind": k.Kind.String()}
		page.Set(memoryHeld, float64(k.Bytes), tags)
		page.Raise(memoryCuts, k.Cuts, tags)
		page.Raise(memoryRefused, k.Refusals, tags)
	}
	page.Set(connections, float64(u.Open), stats.Tags{"state": "open"})
	page.Set(connections, float64(u.Busy), stats.Tags{"state": "busy"})
	page.Set(connections, float64(u.Outgoing), stats.Tags{"state": "outgoing"})
	for limit, n := range l.Counts() {
		page.Raise(limitReached, n, stats.Tags{"limit": limit})
	}
}
