// Package event records numbered events: each has a number, a name and fields, goes to the log, and is kept in a bounded
// ring from which the time line over all processes is built.
//
// Usage:
//
//	log := event.New(event.Options{Node: "e1", Clock: c, Logger: hclog.Default()})
//	log.Emit(event.RequestAccepted, event.F("request", id), event.F("team", team))
//	for _, e := range log.Select(event.Filter{Request: id}) { ... }
//
// The catalogue in catalogue.go is the only place where numbers and names are given; docs/events.md is made from it.
package event

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// Field is a name and a value of an event.
type Field struct {
	Name  string `json:"name" cbor:"name"`
	Value string `json:"value" cbor:"value"`
}

// F makes a field; the value is formatted as fmt.Sprint does.
func F(name string, value any) Field { return Field{Name: name, Value: fmt.Sprint(value)} }

// Event is one entry of the time line.
type Event struct {
	Stamp  Stamp   `json:"stamp" cbor:"stamp"`
	Node   string  `json:"node" cbor:"node"`
	Code   Code    `json:"code" cbor:"code"`
	Name   string  `json:"name" cbor:"name"`
	Fields []Field `json:"fields,omitempty" cbor:"fields,omitempty"`
}

// Get returns the value of a field, or "".
func (e Event) Get(name string) string {
	for _, f := range e.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Filter selects events; an empty field selects all.
type Filter struct {
	Request  string    `json:"request,omitempty"`
	Team     string    `json:"team,omitempty"`
	Upstream string    `json:"upstream,omitempty"`
	Name     string    `json:"name,omitempty"`
	Since    time.Time `json:"since,omitzero"`
}

// Match reports whether the filter selects e.
func (f Filter) Match(e Event) bool {
	return matches(f.Request, e.Get("request")) && matches(f.Team, e.Get("team")) &&
		matches(f.Upstream, e.Get("upstream")) && (f.Name == "" || strings.HasPrefix(e.Name, f.Name)) &&
		!e.Stamp.Time().Before(f.Since)
}

func matches(want, got string) bool { return want == "" || want == got }

// Options configure a Log.
type Options struct {
	Node   string       // id of this process, in every event
	Clock  clock.Clock  // source of time
	Logger hclog.Logger // nil: events are only kept in the ring
	Keep   int          // events kept; 0 means DefaultKeep
	// PerSecond bounds the log lines of one kind in a second; 0 means no bound. What is left out is counted in a line of its
	// own, and the events are kept all the same.
	PerSecond int
}

// DefaultKeep is the number of events that a process keeps: about 2 MB at 250 bytes an event.
const DefaultKeep = 8192

// Log records events. It is safe for concurrent use.
type Log struct {
	node   string
	logger hclog.Logger
	hybrid *Hybrid

	mu   sync.Mutex
	ring []Event
	next int
	full bool

	perSecond int
	quotas    map[Code]*quota
}

// quota counts the lines of one kind in the present second.
type quota struct {
	second  int64
	printed int
	leftOut int
}

// New returns an empty log.
func New(o Options) *Log {
	if o.Keep <= 0 {
		o.Keep = DefaultKeep
	}
	return &Log{
		node: o.Node, logger: o.Logger, hybrid: NewHybrid(o.Clock), ring: make([]Event, o.Keep),
		perSecond: o.PerSecond, quotas: map[Code]*quota{},
	}
}

// Hybrid returns the clock that stamps the events; messages between processes carry its stamps.
func (l *Log) Hybrid() *Hybrid { return l.hybrid }

// Emit records an event. A code without an entry in the catalogue is a programming error and panics.
func (l *Log) Emit(code Code, fields ...Field) {
	kind, ok := Lookup(code)
	if !ok {
		panic(fmt.Sprintf("event: code %d is not in the catalogue", code))
	}
	e := Event{Stamp: l.hybrid.Now(), Node: l.node, Code: code, Name: kind.Name, Fields: fields}
	l.mu.Lock()
	l.ring[l.next] = e
	l.next = (l.next + 1) % len(l.ring)
	l.full = l.full || l.next == 0
	ok, leftOut := l.allow(code, e.Stamp.Time().Unix())
	l.mu.Unlock()
	if leftOut > 0 {
		l.Emit(LinesLeftOut, F("kind", kind.Name), F("count", leftOut))
	}
	if ok {
		l.print(kind, fields)
	}
}

// allow reports whether a line of this kind is printed, and how many were left out in the last second that had any. The lock
// is held.
func (l *Log) allow(code Code, second int64) (bool, int) {
	if l.perSecond <= 0 || code == LinesLeftOut {
		return true, 0
	}
	q := l.quotas[code]
	if q == nil {
		q = &quota{}
		l.quotas[code] = q
	}
	leftOut := 0
	if q.second != second {
		leftOut = q.leftOut
		*q = quota{second: second}
	}
	if q.printed >= l.perSecond {
		q.leftOut++
		return false, leftOut
	}
	q.printed++
	return true, leftOut
}

func (l *Log) print(kind Kind, fields []Field) {
	if l.logger == nil || l.logger.GetLevel() > kind.Level {
		return
	}
	args := make([]any, 0, 2+2*len(fields))
	args = append(args, "event", int(kind.Code))
	for _, f := range fields {
		args = append(args, f.Name, f.Value)
	}
	l.logger.Log(kind.Level, kind.Name, args...)
}

// Select returns the kept events that match, oldest first.
func (l *Log) Select(f Filter) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	start, n := 0, l.next
	if l.full {
		start, n = l.next, len(l.ring)
	}
	for i := range n {
		if e := l.ring[(start+i)%len(l.ring)]; f.Match(e) {
			out = append(out, e)
		}
	}
	return out
}
