package proxy

import "time"

// RetryBudget limits the retries of all entry nodes together. In each window, a service gets at most Ratio times
// its number of requests, plus Slack.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  int
}

// budgetMargin is the fraction of the budget that the nodes use. The rest covers windows that differ between
// nodes by up to one slice, and nodes that have only just learned of another node.
const budgetMargin = 0.7

// windowSlices is the number of slices in a window.
const windowSlices = 10

// retryLimiter enforces this node's share of the budget. It needs no communication: the ratio applies to the
// node's own requests, and the slack is divided evenly among the nodes. It is not safe for concurrent use.
type retryLimiter struct {
	limit    RetryBudget
	services map[string]*window
}

// window is a sliding window that counts requests and retries by slice.
type window struct {
	slice    int64
	requests [windowSlices]int
	retries  [windowSlices]int
}

func newRetryLimiter(b RetryBudget) *retryLimiter { return &retryLimiter{b, map[string]*window{}} }

func (l *retryLimiter) window(now time.Time, service string) *window {
	w := l.services[service]
	if w == nil {
		w = &window{}
		l.services[service] = w
	}
	slice := now.UnixNano() / max(int64(l.limit.Window)/windowSlices, 1)
	if elapsed := slice - w.slice; elapsed != 0 {
		// If the clock was set back, the window is also reset.
		for i := range int64(windowSlices) {
			if elapsed < 0 || elapsed >= windowSlices || i < elapsed {
				at := ((slice-i)%windowSlices + windowSlices) % windowSlices
				w.requests[at], w.retries[at] = 0, 0
			}
		}
		w.slice = slice
	}
	return w
}

func (w *window) sliceIndex() int { return int((w.slice%windowSlices + windowSlices) % windowSlices) }

func (l *retryLimiter) countRequest(now time.Time, service string) {
	w := l.window(now, service)
	w.requests[w.sliceIndex()]++
}

// allow counts a retry and returns true if the budget permits it. nodes is the number of nodes that share the
// slack.
func (l *retryLimiter) allow(now time.Time, service string, nodes int) bool {
	w := l.window(now, service)
	requests, retries := 0, 0
	for i := range windowSlices {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := budgetMargin * (l.limit.Ratio*float64(requests) + float64(l.limit.Slack)/float64(nodes))
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.sliceIndex()]++
	return true
}
