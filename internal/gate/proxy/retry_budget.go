package proxy

import "time"

// RetryBudget bounds the repeats of all entry nodes together: in each window a service gets at most Ratio times its requests,
// and Slack more.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  int
}

// margin is the part of the fleet's budget that is used. The rest covers nodes that count in windows that differ by up to
// one slice, or that have just learned of another node.
const margin = 0.7

// parts is the number of slices of a window.
const parts = 10

// budget is this node's part. It needs no messages: the ratio applies to the node's own requests, and the slack is shared
// evenly. It is not safe for concurrent use.
type budget struct {
	b        RetryBudget
	services map[string]*window
}

// window counts in parts of the budget's window.
type window struct {
	slice    int64
	requests [parts]int
	repeats  [parts]int
}

func newBudget(b RetryBudget) *budget { return &budget{b, map[string]*window{}} }

func (b *budget) window(now time.Time, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	slice := now.UnixNano() / max(int64(b.b.Window)/parts, 1)
	if gone := slice - w.slice; gone != 0 {
		// A clock that was set back starts a new window as well.
		for i := range int64(parts) {
			if gone < 0 || gone >= parts || i < gone {
				at := ((slice-i)%parts + parts) % parts
				w.requests[at], w.repeats[at] = 0, 0
			}
		}
		w.slice = slice
	}
	return w
}

func (w *window) at() int { return int((w.slice%parts + parts) % parts) }

func (b *budget) request(now time.Time, service string) {
	w := b.window(now, service)
	w.requests[w.at()]++
}

// repeat counts a repeat if the budget allows it; nodes is the number of nodes that share the slack.
func (b *budget) repeat(now time.Time, service string, nodes int) bool {
	w := b.window(now, service)
	requests, repeats := 0, 0
	for i := range parts {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := margin * (b.b.Ratio*float64(requests) + float64(b.b.Slack)/float64(nodes))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.at()]++
	return true
}
