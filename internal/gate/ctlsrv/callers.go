package ctlsrv

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// callerPeriod is the time in which callers are counted. They ask again within 5 s.
const callerPeriod = 10 * time.Second

// Bounds of what callers can make a callerCounter hold. A directory that sees more callers needs no count.
const (
	maxCountedCallers     = 4096 // of a data centre
	maxCountedDataCentres = 256
)

// callerCounter counts the callers of each data centre. The zero value is ready to use.
type callerCounter struct {
	mu       sync.Mutex
	began    time.Time
	present  map[string]map[uint64]struct{} // hashes of callers, by data centre
	previous map[string]int                 // number of callers in the period before
	queries  uint64
}

// add counts a query of a caller. It returns the number of callers of its data centre that have asked lately, and the number of the
// query.
func (c *callerCounter) add(now time.Time, dataCentre, caller string) (callers int, query uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if age := now.Sub(c.began); c.present == nil || age >= callerPeriod {
		previous := map[string]int{}
		for name, list := range c.present {
			if age < 2*callerPeriod {
				previous[name] = len(list)
			}
		}
		c.began, c.present, c.previous = now, map[string]map[uint64]struct{}{}, previous
	}
	c.queries++
	list := c.present[dataCentre]
	if list == nil {
		if len(c.present) >= maxCountedDataCentres {
			return 0, c.queries
		}
		list = map[uint64]struct{}{}
		c.present[dataCentre] = list
	}
	if len(list) < maxCountedCallers {
		list[xxhash.Sum64String(caller)] = struct{}{}
	}
	return max(len(list), c.previous[dataCentre]), c.queries
}
