package engine

import "time"

// unansweredRequests stores the due times of requests that ended without an answer, by the last part of their prompt,
// which identifies the request. A caller that retries sends the same prompt under another request ID, and its due time
// counts from the first attempt.
type unansweredRequests struct {
	dueTimes map[string]unansweredRequest
	order    []expiryEntry // by expiry time
}

type unansweredRequest struct {
	due   time.Time
	asked bool // its work is in the account of shares as demand
}

type expiryEntry struct {
	part    string
	expires time.Time
}

// Retention limits.
const (
	retryWindow   = 15 * time.Second // a later retry counts as a new request
	maxUnanswered = 20_000
)

func (u *unansweredRequests) add(now time.Time, part string, due time.Time, asked bool) {
	if part == "" || len(u.order) >= maxUnanswered {
		return
	}
	if u.dueTimes == nil {
		u.dueTimes = map[string]unansweredRequest{}
	}
	u.dueTimes[part] = unansweredRequest{due, asked}
	u.order = append(u.order, expiryEntry{part, now.Add(retryWindow)})
}

// due returns when the response to a request becomes late: the earlier of fallback and the due time of its first
// attempt.
func (u *unansweredRequests) due(part string, fallback time.Time) time.Time {
	first, ok := u.dueTimes[part]
	if !ok || !first.due.Before(fallback) {
		return fallback
	}
	return first.due
}

// asked reports whether the work of a request was entered as demand by an earlier attempt.
func (u *unansweredRequests) asked(part string) bool { return u.dueTimes[part].asked }

// remove drops a request that was answered, since a session may use the same part for its next request.
func (u *unansweredRequests) remove(part string) { delete(u.dueTimes, part) }

func (u *unansweredRequests) expire(now time.Time) {
	n := 0
	for n < len(u.order) && now.After(u.order[n].expires) {
		delete(u.dueTimes, u.order[n].part)
		n++
	}
	u.order = u.order[n:]
}

// ownPart returns the chain up to the last part of the prompt, which identifies the request; "" if there are no parts.
func ownPart(chains []string) string {
	if len(chains) == 0 {
		return ""
	}
	return chains[len(chains)-1]
}
