package soak

import (
	"net/http"
	"time"
)

// Times of a departure.
const (
	departureSettles = 4 * time.Second // from the acknowledgement, and from the restart of the control nodes, until no work comes
	departureLingers = 9 * time.Second // an upstream serves on for as long after the acknowledgement
	departureKill    = 60              // most milliseconds from the acknowledgement to the kill
)

// depart sends DELETE until it is acknowledged, and reports whether it was. No heartbeats follow until the next start.
func (u *upstream) depart() bool {
	u.mu.Lock()
	u.departed = true
	u.mu.Unlock()
	u.beats.Wait() // the last heartbeat is over
	for _, n := range numbers(1, controlNodes) {
		if status, _ := u.w.ask(http.MethodDelete, n, "/v1/traffic/upstreams/"+u.id, nil); status == http.StatusOK {
			return true
		}
	}
	return false
}

// judgeFrom sets the time from which a request that arrives breaks the promise.
func (u *upstream) judgeFrom(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.noWorkFrom = at
}

// comeBack is the next start after a departure.
func (u *upstream) comeBack() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.departed, u.noWorkFrom, u.born = false, time.Time{}, time.Now().UnixMilli()
	u.turnCold(false)
}

// checkDeparted records a request that arrives after a departure was acknowledged and known.
func (u *upstream) checkDeparted(id string) {
	u.mu.Lock()
	from := u.noWorkFrom
	u.mu.Unlock()
	if !from.IsZero() && time.Now().After(from) {
		u.w.violated("%s reaches %s %s after the time from which none may, since it left", id, u.id, time.Since(from).Round(time.Millisecond))
	}
}

// departure lets an upstream leave while nothing else is wrong, and kills all control nodes just after the acknowledgement.
func (s *schedule) departure() {
	s.wg.Wait()
	if !s.settled() {
		return // reported at the end
	}
	u := s.w.ups[s.rng.IntN(len(s.w.ups))]
	defer u.comeBack()
	if !u.depart() {
		return // nothing was promised
	}
	acked := time.Now()
	s.note("departure")
	s.w.pause(s.between(0, departureKill))
	s.killControlNodes()
	u.judgeFrom(time.Now().Add(departureSettles))
	s.w.pause(time.Until(acked.Add(departureLingers)))
}
