package engine

import "time"

// unmet remembers requests that ended without an answer, by the part of their prompt that is theirs alone. A caller that returns
// sends the same prompt under another id, and its target counts from its first attempt.
type unmet struct {
	dues  map[string]time.Time
	order []entry // by time
}

type entry struct {
	part  string
	until time.Time
}

// Limits of what is remembered.
const (
	returnFor = 15 * time.Second // in which a caller may return
	mostUnmet = 20_000           // requests
)

func (u *unmet) add(now time.Time, part string, due time.Time) {
	if part == "" || len(u.order) >= mostUnmet {
		return
	}
	if u.dues == nil {
		u.dues = map[string]time.Time{}
	}
	u.dues[part] = due
	u.order = append(u.order, entry{part, now.Add(returnFor)})
}

// due returns from when on an answer is late, given what the request alone would say.
func (u *unmet) due(part string, own time.Time) time.Time {
	first, ok := u.dues[part]
	if !ok || !first.Before(own) {
		return own
	}
	return first
}

// forget is for a request that was answered: a session may name its next one by the same part.
func (u *unmet) forget(part string) { delete(u.dues, part) }

func (u *unmet) expire(now time.Time) {
	n := 0
	for n < len(u.order) && now.After(u.order[n].until) {
		delete(u.dues, u.order[n].part)
		n++
	}
	u.order = u.order[n:]
}

// ownPart names the request by the last part of its prompt; "" if it has none.
func ownPart(chains []string) string {
	if len(chains) == 0 {
		return ""
	}
	return chains[len(chains)-1]
}
