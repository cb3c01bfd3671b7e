package ctlsrv

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against counts that include callers which have gone, that mix data centres, and against memory that callers can fill.
func TestCallersAreCountedForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	var c callerCounter
	for i := range 30 {
		n, query := c.add(now, "a", fmt.Sprint(i%10))
		assert.Equal(t, n, min(i+1, 10))
		assert.Equal(t, query, uint64(i+1))
	}
	n, _ := c.add(now, "b", "1")
	assert.Equal(t, n, 1)
	n, _ = c.add(now.Add(callerPeriod), "a", "1")
	assert.Equal(t, n, 10)
	n, _ = c.add(now.Add(2*callerPeriod), "a", "2")
	assert.Equal(t, n, 1)
	c.add(now.Add(2*callerPeriod), "a", "3")
	n, _ = c.add(now.Add(5*callerPeriod), "a", "1")
	assert.Equal(t, n, 1)
	for i := range 2 * maxCountedCallers {
		c.add(now.Add(5*callerPeriod), fmt.Sprint("x", i), "1")
		n, _ = c.add(now.Add(5*callerPeriod), "a", fmt.Sprint("y", i))
	}
	assert.Equal(t, n, maxCountedCallers)
	assert.Equal(t, len(c.present), maxCountedDataCentres)
}
