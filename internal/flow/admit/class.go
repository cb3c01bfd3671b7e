package admit

import (
	"time"
)

// trackedRequest is a queued or admitted request. Queued requests form a linked list per flow.
type trackedRequest struct {
	req         Request
	flow        *flow
	seq         uint64
	running     bool // admitted and not finished
	admittedAt  time.Time
	admitBy     time.Time // latest admission that still meets the deadline; zero without one
	expiryIndex int       // index in Machine.expiry, or -1
	prev        *trackedRequest
	next        *trackedRequest
}

// flow is the queue of one team in one class.
type flow struct {
	team         string
	class        *class
	weight       float64
	start        float64 // virtual start time of the head of the queue
	finish       float64 // virtual finish time of the last request served
	head, tail   *trackedRequest
	queued       int
	queuedTime   float64 // sum of the estimated times, in seconds
	running      int
	seq          uint64 // order of creation, breaks ties
	startIndex   int    // index in class.byStart, or -1
	backlogIndex int    // index in class.byBacklog, or -1
}

// backlog returns the queue length divided by the weight. The flow with the largest backlog loses a request on eviction.
func (f *flow) backlog() float64 { return float64(f.queued) / f.weight }

// class holds the long-running or the other requests of one rank. It serves its flows by start-time fair queueing.
type class struct {
	rank         int
	longRunning  bool
	flows        map[string]*flow
	byStart      heap[*flow]
	byBacklog    heap[*flow]
	virtualTime  float64
	queued       int
	queuedTime   float64
	activeWeight float64
	inFlight     int
	lastFlowSeq  uint64
}

func newClass(rank int, longRunning bool) *class {
	c := &class{rank: rank, longRunning: longRunning, flows: map[string]*flow{}}
	c.byStart = heap[*flow]{
		less: func(a, b *flow) bool {
			if a.start != b.start {
				return a.start < b.start
			}
			return a.seq < b.seq
		},
		index: func(f *flow) *int { return &f.startIndex },
	}
	c.byBacklog = heap[*flow]{
		less: func(a, b *flow) bool {
			if x, y := a.backlog(), b.backlog(); x != y {
				return x > y
			}
			return a.seq < b.seq
		},
		index: func(f *flow) *int { return &f.backlogIndex },
	}
	return c
}

// flow returns the flow of a team, creating it if needed.
func (c *class) flow(team string, weight float64) *flow {
	f := c.flows[team]
	if f == nil {
		c.lastFlowSeq++
		f = &flow{team: team, class: c, weight: weight, seq: c.lastFlowSeq, startIndex: -1, backlogIndex: -1}
		c.flows[team] = f
	}
	return f
}

func (c *class) push(tr *trackedRequest) {
	f := tr.flow
	tr.prev, tr.next = f.tail, nil
	if f.tail != nil {
		f.tail.next = tr
	} else {
		f.head = tr
	}
	f.tail = tr
	f.queued++
	f.queuedTime += tr.req.EstimatedTime.Seconds()
	c.queued++
	c.queuedTime += tr.req.EstimatedTime.Seconds()
	if f.queued == 1 {
		f.start = max(c.virtualTime, f.finish)
		c.activeWeight += f.weight
		c.byStart.push(f)
		c.byBacklog.push(f)
		return
	}
	c.byBacklog.fix(f)
}

func (c *class) remove(tr *trackedRequest) {
	f := tr.flow
	if tr.prev != nil {
		tr.prev.next = tr.next
	} else {
		f.head = tr.next
	}
	if tr.next != nil {
		tr.next.prev = tr.prev
	} else {
		f.tail = tr.prev
	}
	tr.prev, tr.next = nil, nil
	f.queued--
	f.queuedTime -= tr.req.EstimatedTime.Seconds()
	c.queued--
	c.queuedTime -= tr.req.EstimatedTime.Seconds()
	if f.queued > 0 {
		c.byBacklog.fix(f)
		return
	}
	f.queuedTime = 0
	c.activeWeight -= f.weight
	if c.queued == 0 { // discards accumulated rounding errors
		c.queuedTime, c.activeWeight = 0, 0
	}
	c.byStart.remove(f)
	c.byBacklog.remove(f)
}

// popNext removes and returns the request with the smallest virtual start time. The class must have queued work.
func (c *class) popNext() *trackedRequest {
	f, _ := c.byStart.top()
	tr := f.head
	c.remove(tr)
	c.virtualTime = max(c.virtualTime, f.start)
	f.finish = f.start + tr.req.EstimatedCost/f.weight
	f.start = f.finish
	c.byStart.fix(f)
	f.running++
	c.inFlight++
	return tr
}

// correctCost charges a flow the difference between the actual and the estimated cost of a request.
func (c *class) correctCost(f *flow, difference float64) {
	f.finish += difference / f.weight
	if f.queued > 0 {
		f.start = max(c.virtualTime, f.finish)
		c.byStart.fix(f)
	}
}

func (c *class) updateWeights(weight func(team string) float64) {
	for _, f := range c.flows {
		w := weight(f.team)
		if w == f.weight {
			continue
		}
		if f.queued > 0 {
			c.activeWeight += w - f.weight
		}
		f.weight = w
		c.byBacklog.fix(f)
	}
}

// removeIdleFlows deletes flows without requests that have received no more than the other flows. If nothing is queued
// there is no contention, and all flows without requests are deleted.
func (c *class) removeIdleFlows() {
	for team, f := range c.flows {
		if f.queued == 0 && f.running == 0 && (c.queued == 0 || f.finish <= c.virtualTime) {
			delete(c.flows, team)
		}
	}
}
