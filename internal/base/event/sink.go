package event

import (
	"io"
	"sync"
	"sync/atomic"
)

// Sink passes log lines on to a writer without making the one who logs wait: while the writer is slow, lines are kept up to
// a bound, and then left out and counted.
type Sink struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	mu      sync.RWMutex
	closed  bool
}

// sinkLines is the number of lines that a Sink keeps; about 1 MB.
const sinkLines = 4096

// NewSink starts a Sink.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, sinkLines), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for line := range s.lines {
			_, _ = w.Write(line) // there is no other place to report a failing log to
		}
	}()
	return s
}

// Write takes one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were left out.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what is kept and ends the Sink.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	<-s.done
}
