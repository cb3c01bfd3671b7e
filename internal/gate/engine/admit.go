package engine

import "time"

// Bounds of the time after which a refused caller is told to return.
const (
	leastRetry = 300 * time.Millisecond
	mostRetry  = 3 * time.Second
)

// queuedCalls is the number of full calls' time that a request must be expected to wait before it is refused because it
// will be late. Less may be an error of the forecast.
const queuedCalls = 2

// OnTime reports whether a request with this much time until it is late is expected to be answered by then.
func (f Forecast) OnTime(slack time.Duration) bool { return f.Likely+f.Engine <= slack }

// Admit decides on a request that this region would answer too late: slack is its time until it is late, left its time until
// its end. A refused one would keep its places from others that can still be on time; its caller can return after the time
// that is returned, when the queues are shorter.
func (f Forecast) Admit(slack, left time.Duration) (bool, time.Duration) {
	if f.OnTime(slack) || f.Wait < queuedCalls*f.Full && f.Total < left {
		return true, 0
	}
	return false, min(max(f.Wait, leastRetry), mostRetry, left/4)
}
