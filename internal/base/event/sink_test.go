package event

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// stuck is a writer that blocks until it is released.
type stuck struct {
	release chan bool
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// Guards against a request that waits for the log.
func TestSinkNeverBlocks(t *testing.T) {
	w := &stuck{release: make(chan bool)}
	s := NewSink(w)
	for range sinkLines + 100 {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, s.Dropped() >= 99)
	close(w.release)
	s.Close()
	assert.Equal(t, int64(strings.Count(w.String(), "line"))+s.Dropped(), int64(sinkLines+100))
	_, err := s.Write([]byte("late\n"))
	assert.NilError(t, err)
}

// Guards against a log that grows with the load, and against lines that are missing without a trace.
func TestLinesOfOneKindAreBounded(t *testing.T) {
	var out bytes.Buffer
	c := clock.NewFake(time.Unix(1000, 0))
	l := New(Options{Node: "n", Clock: c, Logger: hclog.New(&hclog.LoggerOptions{Output: &out}), PerSecond: 3})
	for range 10 {
		l.Emit(ForwardRefused, F("request", "a"))
	}
	assert.Equal(t, strings.Count(out.String(), "forward_refused"), 3)
	c.Advance(time.Second)
	l.Emit(ForwardRefused, F("request", "b"))
	assert.Equal(t, strings.Count(out.String(), "forward_refused:"), 4)
	assert.Assert(t, strings.Contains(out.String(), "count=7"), out.String())
	assert.Equal(t, len(l.Select(Filter{Name: "forward_refused"})), 11, "the time line has them all")
}
