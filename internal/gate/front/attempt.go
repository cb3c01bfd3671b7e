package front

import (
	"sync"
	"time"
)

// deadlines infers how long ago the callers of a route sent their first attempt. A caller gives the time that it will wait; one
// that returns gives what is left of it. Where most requests of a route give the same time, that is the time of a first
// attempt, and less than it is what has passed since. Where they do not, nothing is inferred.
type deadlines struct {
	mu     sync.Mutex
	routes map[string]*recent
}

// recent holds the latest times that the callers of one route gave.
type recent struct {
	times [recentTimes]time.Duration
	next  int
	count int
}

const (
	recentTimes = 64
	leastTimes  = 8
)

// passed takes the time that a caller of a route will wait, and returns how long ago it sent its first attempt.
func (d *deadlines) passed(route string, wait time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = map[string]*recent{}
	}
	r := d.routes[route]
	if r == nil {
		if len(d.routes) >= mostRoutes {
			clear(d.routes) // routes that are gone are not worth an account of their own
		}
		r = &recent{}
		d.routes[route] = r
	}
	usual, known := r.usual()
	r.times[r.next] = wait
	r.next = (r.next + 1) % recentTimes
	r.count = min(r.count+1, recentTimes)
	if !known {
		return 0
	}
	return max(usual-wait, 0)
}

// mostRoutes bounds the routes that are remembered.
const mostRoutes = 4096

// usual returns the time that more than half of the latest requests gave.
func (r *recent) usual() (time.Duration, bool) {
	if r.count < leastTimes {
		return 0, false
	}
	// A value that more than half of them have is left over when different ones cancel each other out.
	var candidate time.Duration
	votes := 0
	for _, t := range r.times[:r.count] {
		switch {
		case votes == 0:
			candidate, votes = t, 1
		case t == candidate:
			votes++
		default:
			votes--
		}
	}
	n := 0
	for _, t := range r.times[:r.count] {
		if t == candidate {
			n++
		}
	}
	return candidate, 2*n > r.count
}
