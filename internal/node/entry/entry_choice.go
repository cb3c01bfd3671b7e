package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/rendez"
)

// Member is an entry node that may be given to callers.
type Member struct {
	ID         string
	Address    string
	DataCentre string
	Region     string
	Draining   bool
	Settling   bool // started a moment ago: it may not know the configuration and the upstreams yet
}

// loadFactor bounds the answers that name one node to this multiple of its fair share.
const loadFactor = 1.25

// chooser picks the entry node for a caller: rendezvous hashing by the caller's key, so that callers spread evenly and
// keep their node while it lives, with a bound on the part that one node receives.
type chooser struct {
	self  Member
	chmu  sync.Mutex
	given map[string][]time.Time // times of recent answers by node
}

// choose returns the node for a key. Members in the data centre of the asked node go first, then those in its region.
func (c *chooser) choose(now time.Time, key string, members []Member, valid time.Duration) (Member, bool) {
	near := nearest(members, c.self)
	if len(near) == 0 {
		return Member{}, false
	}
	slices.SortFunc(near, func(a, b Member) int {
		return rendez.Compare(key, a.ID, b.ID)
	})
	c.chmu.Lock()
	defer c.chmu.Unlock()
	if c.given == nil {
		c.given = map[string][]time.Time{}
	}
	total := c.expire(now.Add(-valid))
	limit := int(loadFactor*float64(total+1)/float64(len(near))) + 1
	for _, m := range near {
		if len(c.given[m.ID]) < limit {
			c.given[m.ID] = append(c.given[m.ID], now)
			return m, true
		}
	}
	return near[0], true
}

// maxGiven bounds the remembered answers of one node.
const maxGiven = 10_000

func (c *chooser) expire(before time.Time) (total int) {
	for id, times := range c.given {
		first := 0
		for first < len(times) && (times[first].Before(before) || len(times)-first > maxGiven) {
			first++
		}
		c.given[id] = times[first:]
		total += len(times) - first
		if first == len(times) {
			delete(c.given, id)
		}
	}
	return total
}

func nearest(members []Member, self Member) []Member {
	live := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Draining })
	if settled := filter(live, func(m Member) bool { return !m.Settling }); len(settled) > 0 {
		live = settled
	}
	for _, match := range []func(Member) bool{
		func(m Member) bool { return m.DataCentre == self.DataCentre },
		func(m Member) bool { return m.Region == self.Region },
	} {
		if near := filter(live, match); len(near) > 0 {
			return near
		}
	}
	return live
}

func filter(in []Member, keep func(Member) bool) (out []Member) {
	for _, m := range in {
		if keep(m) {
			out = append(out, m)
		}
	}
	return out
}
