package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Load pattern: callers that were refused return in a burst. Guards against requests whose target has passed before they return,
// and which take the place of fresh ones that can still be on time (incident SHORT).
func TestAReturningCallerIsKnownByTheTimeItHasLeft(t *testing.T) {
	var d deadlines
	for range 20 {
		assert.Equal(t, d.passed("r", 12*time.Second), time.Duration(0))
	}
	assert.Equal(t, d.passed("r", 10_700*time.Millisecond), 1300*time.Millisecond)
	assert.Equal(t, d.passed("r", 13*time.Second), time.Duration(0))
	assert.Equal(t, d.passed("other", 2*time.Second), time.Duration(0), "routes have times of their own")
}

// Guards against callers with times of their own that are taken for returning ones, and refused for it.
func TestCallersWithDifferentTimesAreAllFresh(t *testing.T) {
	var d deadlines
	for i := range 200 {
		assert.Equal(t, d.passed("r", time.Duration(i%5+1)*time.Second), time.Duration(0))
	}
	for range recentTimes {
		d.passed("r", 3*time.Second)
	}
	assert.Equal(t, d.passed("r", 2*time.Second), time.Second, "an account that adapts")
}
