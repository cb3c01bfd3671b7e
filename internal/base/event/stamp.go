package event

import (
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// Stamp is a hybrid logical clock time: wall time in nanoseconds and a counter that orders events with equal wall time.
// A stamp taken after a message was received is larger than the stamp that the message carries.
type Stamp struct {
	WallNS  int64  `json:"wall_ns" cbor:"wall_ns"`
	Logical uint32 `json:"logical" cbor:"logical"`
}

// Less reports whether s is before o.
func (s Stamp) Less(o Stamp) bool {
	if s.WallNS != o.WallNS {
		return s.WallNS < o.WallNS
	}
	return s.Logical < o.Logical
}

// Time returns the wall part.
func (s Stamp) Time() time.Time { return time.Unix(0, s.WallNS).UTC() }

// MaxDrift bounds how far a received stamp may lie in the future. A stamp beyond it comes from a broken clock and
// would drag the clocks of the whole fleet along.
const MaxDrift = 5 * time.Second

// Hybrid is a hybrid logical clock. It is safe for concurrent use.
type Hybrid struct {
	mu   sync.Mutex
	wall clock.Clock
	last Stamp
}

// NewHybrid returns a hybrid clock on top of a wall clock.
func NewHybrid(wall clock.Clock) *Hybrid { return &Hybrid{wall: wall} }

// Now returns a stamp larger than all stamps returned or observed before.
func (h *Hybrid) Now() Stamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	wall := h.wall.Now().UnixNano()
	if wall > h.last.WallNS {
		h.last = Stamp{WallNS: wall}
	} else {
		h.last.Logical++
	}
	return h.last
}

// Observe moves the clock past a stamp received from another process and reports false if the stamp was ignored
// because it lies more than MaxDrift in the future.
func (h *Hybrid) Observe(s Stamp) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.WallNS > h.wall.Now().Add(MaxDrift).UnixNano() {
		return false
	}
	if h.last.Less(s) {
		h.last = s
	}
	return true
}
