package engine

import "time"

// Bounds of the time after which a refused caller is told to return.
const (
	leastRetry = 300 * time.Millisecond
	mostRetry  = 3 * time.Second
)

// queuedCalls is the number of full calls' time that a request which will be late may wait.
const queuedCalls = 2

// Admit decides on a request with this much time until its end. One that will be late is taken while little waits before it;
// otherwise its caller can return after the time that is returned, when the queues are shorter.
func (f Forecast) Admit(left time.Duration) (bool, time.Duration) {
	if !f.Late || f.Wait < queuedCalls*f.Full && f.CorrectedTotal+f.EngineTime < left {
		return true, 0
	}
	return false, min(max(f.Wait, leastRetry), mostRetry, left/4)
}
