package peer

import "time"

// liveness decides when a connection is checked. Between all pairs of processes, pings of idle connections would be most of what is
// sent; so one that was not used for quietAfter is left alone until it is used again.
type liveness struct {
	used  time.Time // when a message was last written
	quiet bool
}

// tick is called each pingEvery. It returns whether to ping, and by when something must have been read; zero: that stays as it is,
// since each sign of life sets it.
func (l *liveness) tick(now time.Time) (ping bool, readBy time.Time) {
	before := l.quiet
	l.quiet = now.Sub(l.used) > quietAfter
	switch {
	case l.quiet:
		return false, now.Add(idleTimeout + dialTimeout)
	case before:
		return true, now.Add(silentAfter)
	}
	return true, time.Time{}
}
