// Package stream keeps token streams whole: Assembler puts the chunks that an upstream sends in order and finds gaps,
// and Buffer keeps the events of an answer so that a caller can resume after any of them.
//
// Usage:
//
//	a := stream.NewAssembler(work)
//	for chunk := range chunks {
//		deliver(a.Add(chunk).Texts)
//	}
//	if err := a.Err(); err != nil { resume(a.Next()) }
//
//	b := stream.NewBuffer()
//	b.Append(caller.EventToken, data)
//	events, done, changed := b.After(lastSeen)
package stream

import "sync"

// Event is one server-sent event of an answer. IDs count from 1 without gaps.
type Event struct {
	ID   int
	Name string
	Data []byte
}

// Buffer holds the events of one answer. It is safe for concurrent use by one writer and many readers.
type Buffer struct {
	mu      sync.Mutex
	events  []Event
	bytes   int
	done    bool
	changed chan struct{}
}

// NewBuffer returns an empty buffer.
func NewBuffer() *Buffer { return &Buffer{changed: make(chan struct{})} }

// Append adds an event; after Finish it does nothing, so a late writer cannot extend a finished answer.
func (b *Buffer) Append(name string, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return
	}
	b.append(name, data)
	b.wake()
}

// Finish adds the last event. Only the first call has an effect, so an answer ends exactly once; it reports whether
// this was the first.
func (b *Buffer) Finish(name string, data []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return false
	}
	b.append(name, data)
	b.done = true
	b.wake()
	return true
}

func (b *Buffer) append(name string, data []byte) {
	b.events = append(b.events, Event{ID: len(b.events) + 1, Name: name, Data: data})
	b.bytes += len(data)
}

func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// EventsAfter returns the events with an id above last, whether the answer is finished, and a channel that is closed at the
// next change. The returned events must not be changed.
func (b *Buffer) EventsAfter(last int) (events []Event, done bool, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if last >= 0 && last < len(b.events) {
		events = b.events[last:len(b.events):len(b.events)]
	}
	return events, b.done, b.changed
}

// Len returns the number of events and the bytes of their data.
func (b *Buffer) Len() (events, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.events), b.bytes
}
