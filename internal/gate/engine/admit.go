package engine

import "time"

// Bounds of the time after which a refused caller is told to retry.
const (
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// maxLateWaitCalls is the queueing time, in durations of a full call, up to which a request that will be late is still
// admitted.
const maxLateWaitCalls = 2

// Admit decides whether to accept a request with the given time until its deadline. A request that will be late is
// accepted only while the queues are short, and one whose team is far above its share is not. Otherwise, Admit returns the
// time after which its caller should retry.
func (f Forecast) Admit(timeLeft time.Duration) (bool, time.Duration) {
	if !f.OverShare && (!f.Late || f.Wait < maxLateWaitCalls*f.Full && f.CorrectedTotal+f.EngineTime < timeLeft) {
		return true, 0
	}
	return false, min(max(f.Wait, minRetryAfter), maxRetryAfter, timeLeft/4)
}
