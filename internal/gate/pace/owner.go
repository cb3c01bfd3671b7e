package pace

import "time"

// Owner is a decider that is the only sender to the upstreams of a service in a region, and uses their whole limit.
type Owner struct {
	b     Bounds
	owned bool
	quiet time.Time // nothing is sent to cold upstreams until then
	alone isolation
}

// NewOwner returns a decider that does not own its upstreams yet.
func NewOwner(b Bounds) *Owner { return &Owner{b: b} }

// Set tells whether this node is the sender by its own view. Only the view counts and no timeout of a call: other nodes do not
// know of the timeout and still use the other decider.
func (o *Owner) Set(now time.Time, owned bool) {
	if owned && !o.owned {
		o.quiet = now.Add(changeover)
	}
	o.owned = owned
}

// SetIsolated tells whether this node may have lost the others, so that one of them may own the same upstreams.
func (o *Owner) SetIsolated(now time.Time, isolated bool) { o.alone.set(now, isolated) }

func (o *Owner) bounds() Bounds { return o.b }

func (o *Owner) share(now time.Time, _ *State, limit int) (int, time.Time) {
	switch {
	case !o.owned:
		return 0, now.Add(coldWindow)
	case now.Before(o.quiet):
		return 0, o.quiet
	case limit == 0:
		return 0, time.Time{}
	}
	return o.alone.limit(now, limit, o.b), time.Time{}
}
