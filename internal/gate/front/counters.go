package front

import (
	"fmt"
	"sync"
	"time"
)

// latencyBounds are the upper bounds of the buckets of the latency histogram, in milliseconds.
var latencyBounds = [...]int64{10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000}

// Counters are totals since the start, for metrics.
type Counters struct {
	Status  map[int]int64 // final answers by status; 0: closed without a whole answer
	Refused map[int]int64 // those of them that this node gave
	Latency [len(latencyBounds) + 1]int64
	Repeats int64
}

type counters struct {
	mu sync.Mutex
	c  Counters
}

func (c *counters) finish(status int, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.c.Status == nil {
		c.c.Status = map[int]int64{}
	}
	c.c.Status[status]++
	for i, bound := range latencyBounds {
		if took.Milliseconds() <= bound {
			c.c.Latency[i]++
			return
		}
	}
	c.c.Latency[len(latencyBounds)]++
}

func (c *counters) refuse(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.c.Refused == nil {
		c.c.Refused = map[int]int64{}
	}
	c.c.Refused[status]++
}

func (c *counters) repeat() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.c.Repeats++
}

// WriteMetrics passes each counter on as name, labels and value.
func (f *Front) WriteMetrics(line func(name, labels string, value any)) {
	c := &f.counters
	c.mu.Lock()
	defer c.mu.Unlock()
	for status, n := range c.c.Status {
		line("answers", fmt.Sprintf(`{status="%d"}`, status), n)
	}
	for status, n := range c.c.Refused {
		line("refusals", fmt.Sprintf(`{status="%d"}`, status), n)
	}
	total := int64(0)
	for i, bound := range latencyBounds {
		total += c.c.Latency[i]
		line("answer_ms_bucket", fmt.Sprintf(`{le="%d"}`, bound), total)
	}
	line("answer_ms_bucket", `{le="+Inf"}`, total+c.c.Latency[len(latencyBounds)])
	line("repeats", "", c.c.Repeats)
	line("in_flight", "", f.InFlight())
}
