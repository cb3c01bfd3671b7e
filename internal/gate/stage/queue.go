package stage

import (
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/speed"
)

// Job is a piece that waits to be computed.
type Job struct {
	Item
	Rank     int       // priority; 0 is the most urgent
	Order    int       // within the rank and class; lower comes first
	Home     string    // data centre that needs the result
	Bytes    int64     // approximate size of the result
	Due      time.Time // when it must be done for its request to be on time
	Deadline time.Time // when its result becomes useless
	Tag      uint64    // set by the caller and returned in the Reply

	added time.Time
}

// Reply is the final outcome of a job.
type Reply struct {
	Job
	Outcome
	Upstream string
	Timing   PieceTiming
}

// Waited returns how long a job has been queued.
func (j Job) Waited(now time.Time) time.Duration { return now.Sub(j.added) }

// Timing and retry limits of a Queue.
const (
	fullBackoff    = 30 * time.Millisecond  // before the next call to an upstream whose queue was full
	memoryBackoff  = 100 * time.Millisecond // before the next call after a result did not fit into memory, unless one is freed earlier
	initialBackoff = 500 * time.Millisecond // after a failed call; doubles with each further failure
	maxBackoff     = 8 * time.Second
	expireInterval = 20 * time.Millisecond // between removals of expired results; short compared to their lifetime
	timeoutFactor  = 6                     // multiple of the expected duration of a call
	timeoutMargin  = 500 * time.Millisecond
	maxCallsPerJob = 3 // calls that may include the same job
)

// Queue dispatches the pieces of one service in one region to its upstreams. It is not safe for concurrent use.
type Queue struct {
	pool    conf.Pool
	targets map[string]*target
	groups  []*group
	// byRequest indexes the groups by request.
	byRequest     map[string][]*group
	waiting       int // number of jobs in groups
	attempts      map[Key]int
	open          map[uint64]openCall
	cancelled     map[Key]bool   // jobs cancelled while part of a call
	memoryHolders map[string]int // number of stored results and of pieces in calls, by request
	lastID        uint64
	lastExpiry    time.Time // when expired results were last removed

	counters  Counters
	fillRatio float64 // moving average of the used fraction of a call's places

	rate      float64   // recently completed pieces per second while others waited; 0: unknown
	rateCount int       // pieces completed since rateStart
	rateStart time.Time // start of the current rate interval; zero: nothing waited
	owner     *pace.Owner

	callTimes speed.CallTimes
	speeds    *speed.Table
	heldBack  map[string]float64 // by data centre, the factor from which upstreams wait for faster ones; during Next
}

const bytesPerMB = 1e6

// Key identifies a job.
type Key struct {
	Request string
	Stage   int
	Piece   int
}

func keyOf(j Job) Key { return Key{j.Request, j.Stage, j.Piece} }

// NewQueue returns an empty queue.
func NewQueue(pool conf.Pool) *Queue {
	q := &Queue{
		targets: map[string]*target{}, attempts: map[Key]int{}, open: map[uint64]openCall{}, cancelled: map[Key]bool{},
		memoryHolders: map[string]int{}, byRequest: map[string][]*group{}, owner: pace.NewOwner(pace.Bounds{}),
		speeds: speed.New(), heldBack: map[string]float64{},
	}
	q.SetPool(pool)
	return q
}

// SetOwned tells whether this node is the one that owns the queue, by its own view. Before, cold upstreams get no calls.
func (q *Queue) SetOwned(now time.Time, owned bool) { q.owner.Set(now, owned) }

// SetIsolated tells whether this node may have lost the others, so that another one may call these upstreams too.
func (q *Queue) SetIsolated(now time.Time, isolated bool) { q.owner.SetIsolated(now, isolated) }

// SetBounds sets the bounds of cold upstreams.
func (q *Queue) SetBounds(b pace.Bounds) { q.owner = pace.NewOwner(b) }

// SetPool updates the properties of the upstreams.
func (q *Queue) SetPool(pool conf.Pool) {
	q.pool = pool
	q.callTimes.Configure(pool.CallTime.Duration(), pool.ItemTime.Duration())
}

// Rate returns the recently completed pieces per second while others waited; 0: unknown.
func (q *Queue) Rate() float64 { return q.rate }

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return q.waiting }

// Add enqueues a job.
func (q *Queue) Add(now time.Time, j Job) {
	j.added = now
	q.enqueue(j)
}

// Cancel removes the waiting jobs of a request. Results of its calls in flight are returned as unwanted by Done.
func (q *Queue) Cancel(request string) {
	if len(q.byRequest[request]) > 0 {
		q.filterGroups(func(g *group) bool { return g.first().Request != request })
	}
	for _, o := range q.open {
		for _, j := range o.jobs {
			if j.Request == request {
				q.cancelled[keyOf(j)] = true
			}
		}
	}
}

// Free drops the accounting of results that are no longer needed and returns their handles by upstream address.
func (q *Queue) Free(handles []string) map[string][]string {
	out := map[string][]string{}
	for _, h := range handles {
		for _, t := range q.targets {
			if r, ok := t.results[h]; ok {
				t.usedBytes -= r.bytes
				t.limitBytes = min(t.limitBytes+limitGrowthFraction*q.pool.ResultMemoryMB*bytesPerMB, q.pool.ResultMemoryMB*bytesPerMB)
				t.memoryFullUntil = time.Time{}
				q.releaseOne(r.request)
				delete(t.results, h)
				out[t.Address] = append(out[t.Address], h)
			}
		}
	}
	return out
}

// Adopt adds the accounting of a result that an upstream computed for the node that owned this queue before. It returns
// false if the result is already known or the upstream is not.
func (q *Queue) Adopt(now time.Time, upstream, handle, request string, bytes int64, left time.Duration) bool {
	t := q.targets[upstream]
	if t == nil {
		return false
	}
	if _, known := t.results[handle]; known {
		return false
	}
	t.results[handle] = storedResult{request, bytes, now.Add(left)}
	t.usedBytes += bytes
	q.memoryHolders[request]++
	return true
}

// expire drops the accounting of results that their upstreams have discarded.
func (q *Queue) expire(now time.Time) {
	if now.Sub(q.lastExpiry) < expireInterval {
		return
	}
	q.lastExpiry = now
	for _, t := range q.targets {
		for h, r := range t.results {
			if now.After(r.expires) {
				t.usedBytes -= r.bytes
				q.releaseOne(r.request)
				delete(t.results, h)
			}
		}
	}
}
