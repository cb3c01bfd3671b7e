// Package stream reassembles and buffers token streams: Assembler orders the chunks that an upstream sends and detects gaps,
// and Buffer keeps the events of a response so that a caller can resume after any of them.
//
// Usage:
//
//	a := stream.NewAssembler(work, 0)
//	for chunk := range chunks {
//		deliver(a.Add(chunk).Texts)
//	}
//	if err := a.Err(); err != nil { resume(a.Next()) }
//
//	b := stream.NewBuffer()
//	b.Append(caller.EventToken, data)
//	events, done, changed := b.EventsAfter(lastSeen)
package stream

import "sync"

// Event is one server-sent event of a response. IDs are consecutive, starting at 1.
type Event struct {
	ID   int
	Name string
	Data []byte
}

// Buffer holds the events of one response. It is safe for concurrent use by one writer and many readers.
type Buffer struct {
	mu      sync.Mutex
	events  []Event
	bytes   int
	done    bool
	changed chan struct{}
}

// NewBuffer returns an empty buffer.
func NewBuffer() *Buffer { return &Buffer{changed: make(chan struct{})} }

// Append adds an event. After Finish it does nothing, so a late writer cannot extend a finished response.
func (b *Buffer) Append(name string, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return
	}
	b.append(name, data)
	b.notifyReaders()
}

// Finish adds the last event. Only the first call has an effect, so a response ends exactly once. It reports whether
// this was the first call.
func (b *Buffer) Finish(name string, data []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return false
	}
	b.append(name, data)
	b.done = true
	b.notifyReaders()
	return true
}

func (b *Buffer) append(name string, data []byte) {
	b.events = append(b.events, Event{ID: len(b.events) + 1, Name: name, Data: data})
	b.bytes += len(data)
}

func (b *Buffer) notifyReaders() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// EventsAfter returns the events with an id above last, whether the response is finished, and a channel that is closed at
// the next change. The returned events must not be modified.
func (b *Buffer) EventsAfter(last int) (events []Event, done bool, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if last >= 0 && last < len(b.events) {
		events = b.events[last:len(b.events):len(b.events)]
	}
	return events, b.done, b.changed
}

// Len returns the number of events and the total size of their data.
func (b *Buffer) Len() (events, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.events), b.bytes
}
