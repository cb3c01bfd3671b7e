package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// recorder writes the record of a case.
type recorder struct {
	clock clock.Clock
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecorder(path string, c clock.Clock) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{clock: c, start: c.Now(), file: f}, nil
}

// note writes one line with the seconds since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", r.clock.Now().Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() { _ = r.file.Close() }
