// Package batch runs the pieces of stages. It collects the pieces of all entry nodes of a region in one queue, so that
// calls to the stage upstreams are full, and sends these calls.
//
// For each service and region, one entry node owns the queue (package stage). It is chosen by rendezvous hashing over
// the ready nodes, and the other nodes forward their pieces to it. When two nodes temporarily disagree about the owner,
// both call the upstreams, which queue or reject excess calls. No consensus is needed.
//
// Usage:
//
//	b := batch.New(batch.Options{Node: "e1", Peer: peerAddress, View: feed.View, Hub: hub, Pool: pool, ...})
//	results, err := b.Run(ctx, "encoders", "north", jobs) // one result for each job, in order
//	b.Free("encoders", results[0].Owner, []batch.ResultRef{{results[0].Handle, results[0].Upstream}})
//	b.Cancel(requestID, owners)
package batch

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/base/rendez"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
	"github.com/berylledge/berylledge/internal/wire/memory"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// Options configure a Batcher.
type Options struct {
	Node string
	Peer string // peer address of this node
	// RegionOf maps data centres to regions.
	RegionOf map[string]string
	Dialect  *proto.Dialect
	Clock    clock.Clock
	Events   *event.Log
	View     func() *poller.View
	Hub      *peer.Hub
	Pool     *upcon.Pool
	Pace     pace.Bounds
	// Memory counts the pieces of other nodes with what the process holds besides; nil: no bound for all together.
	Memory *memory.Account
}

// JobResult is the result of one job.
type JobResult struct {
	stage.Outcome
	Upstream string
	Owner    string // peer address of the node whose queue accounts for the result
	Timing   stage.PieceTiming
}

// Timing and limits of a Batcher.
const (
	dispatchInterval   = 20 * time.Millisecond // while jobs wait for a backoff or for memory
	unresponsivePeriod = 2 * time.Second       // for which pieces are not forwarded to a node that did not respond
	logInterval        = time.Second           // between two log lines about a queue
	maxForwards        = 8                     // nodes that one group of jobs is forwarded to
)

// Batcher forwards pieces to the owners of their queues and runs the queues that this node owns.
type Batcher struct {
	o      Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	queues        map[queueKey]*queue
	replyHandlers map[uint64]func(stage.Reply)
	nextTag       uint64
	unresponsive  map[string]time.Time // end of the unresponsive period, by peer address
	localResults  resultTracker
	remoteUsers   resultUsers
	answers       answerLog
	paceTable     *pace.Table
}

type queueKey struct{ service, region string }

type queue struct {
	queueKey
	*stage.Queue
	dispatchScheduled bool           // a timer for the next dispatch is set
	lastLogged        stage.Counters // as of the last log line about the queue
	ownedView         *poller.View   // the view by which it was last decided whether this node owns the queue
}

// ResultRef identifies a result at the upstream that computed it.
type ResultRef struct {
	Handle   string `cbor:"1,keyasint"`
	Upstream string `cbor:"2,keyasint"`
}

// New starts a Batcher.
func New(o Options) *Batcher {
	m := &Batcher{o: o, queues: map[queueKey]*queue{}, replyHandlers: map[uint64]func(stage.Reply){}, unresponsive: map[string]time.Time{}, paceTable: pace.NewTable()}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Go(func() {
		for clock.Sleep(m.ctx, o.Clock, logInterval) == nil {
			m.logQueues()
		}
	})
	return m
}

// Close stops the Batcher and cancels calls in flight.
func (m *Batcher) Close() {
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	m.wg.Wait()
}

// Run runs jobs of one service in a region and waits for all of them. Jobs that no other node accepts run in this
// node's own queue. The error is that of ctx.
func (m *Batcher) Run(ctx context.Context, service, region string, jobs []stage.Job) ([]JobResult, error) {
	p := queueKey{service, region}
	for range maxForwards {
		owner := m.queueOwner(p)
		if owner == m.o.Peer {
			break
		}
		results, err := m.forward(ctx, owner, p, jobs)
		if err == nil {
			m.trackResults(p, jobs, results)
			return results, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		m.MarkUnresponsive(owner)
	}
	held := m.resultsUnknownTo(p, m.o.Peer)
	results := m.runLocally(ctx, p, jobs, held)
	m.mu.Lock()
	m.localResults.markReported(p, m.o.Peer, held)
	m.mu.Unlock()
	m.trackResults(p, jobs, results)
	return results, nil
}

// trackResults records the results that are now used by requests of this node.
func (m *Batcher) trackResults(p queueKey, jobs []stage.Job, results []JobResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	until := m.o.Clock.Now().Add(m.resultLifetime(p.service))
	for i, x := range results {
		if x.Handle != "" {
			m.localResults.add(p, x.Handle, x.Owner, &trackedResult{request: jobs[i].Request, upstream: x.Upstream, bytes: jobs[i].Bytes, expires: until})
		}
	}
}

// resultsUnknownTo returns the tracked results that the current owner of a queue does not account for.
func (m *Batcher) resultsUnknownTo(p queueKey, owner string) []ResultState {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.localResults.setOwner(p, owner)
	return m.localResults.unknownToOwner(m.o.Clock.Now(), p)
}

// resultLifetime returns how long the upstreams of a service keep a result.
func (m *Batcher) resultLifetime(service string) time.Duration {
	if t := m.o.View().Table; t != nil {
		if s := t.Service(service); s != nil && s.Pool != nil {
			return s.Pool.HandleTTL.Duration()
		}
	}
	return 0
}

// MarkUnresponsive temporarily excludes a node that did not respond from the choice of owners.
func (m *Batcher) MarkUnresponsive(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresponsive[address] = m.o.Clock.Now().Add(unresponsivePeriod)
}

// Self returns the peer address of this node, in the form returned by Owner.
func (m *Batcher) Self() string { return m.o.Peer }

// queueOwner returns the peer address of the entry node that owns a queue.
func (m *Batcher) queueOwner(p queueKey) string {
	now := m.o.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	e := p.ownerAmong(m.o.View().Entries, func(e roster.Entry) bool { return !now.Before(m.unresponsive[e.Peer]) })
	return cmp.Or(e.Peer, m.o.Peer)
}

// OwnerInView returns the entry node that owns the queue of a service in a region by this node's view, whether or not it
// responds. It is zero if the view has none.
func (m *Batcher) OwnerInView(service, region string) roster.Entry {
	return queueKey{service, region}.ownerAmong(m.o.View().Entries, func(roster.Entry) bool { return true })
}

func (p queueKey) ownerAmong(entries []roster.Entry, usable func(roster.Entry) bool) roster.Entry {
	// Owners follow capacity only if that of all nodes is known, so that nodes which do not report it choose the same owner.
	weighted := !slices.ContainsFunc(entries, func(e roster.Entry) bool { return e.Ready && e.Region == p.region && e.Capacity <= 0 })
	best, out := 0.0, -1
	for i := range entries {
		e := &entries[i]
		if !e.Ready || e.Region != p.region || !usable(*e) {
			continue
		}
		n := rendez.WeightedNode{Name: e.Node, Weight: 1}
		if weighted {
			n.Weight = float64(e.Capacity)
		}
		if score := rendez.WeightedScore(p.service, n); out < 0 || score > best {
			best, out = score, i
		}
	}
	if out < 0 {
		return roster.Entry{}
	}
	return entries[out]
}

// forward sends jobs to another entry node and waits for their results.
func (m *Batcher) forward(ctx context.Context, owner string, p queueKey, jobs []stage.Job) ([]JobResult, error) {
	q := message{Service: p.service, Region: p.region, From: m.o.Peer, Results: m.resultsUnknownTo(p, owner)}
	q.pack(jobs, m.o.Clock.Now())
	body, err := cbor.Marshal(q)
	if err != nil { // jobs hold plain values only, so encoding cannot fail
		panic(err)
	}
	reply, err := m.o.Hub.Call(ctx, owner, peer.KindPieces, body)
	if err != nil {
		return nil, err
	}
	results, err := decodeResults(reply, owner)
	if err != nil {
		return nil, err
	}
	if len(results) != len(jobs) {
		return nil, errors.Newf("response has %d results for %d pieces", len(results), len(jobs))
	}
	m.mu.Lock()
	m.localResults.markReported(p, owner, q.Results)
	m.mu.Unlock()
	return results, nil
}

// runLocally adds jobs to the queue of this node and waits for all of them. held are results that the queue may not
// account for yet.
func (m *Batcher) runLocally(ctx context.Context, p queueKey, jobs []stage.Job, held []ResultState) []JobResult {
	results := make([]JobResult, len(jobs))
	done := make(chan struct{})
	left := len(jobs)
	if left == 0 {
		return results
	}
	m.mu.Lock()
	q := m.queue(p)
	if q == nil {
		m.mu.Unlock()
		for i := range results {
			results[i].Reason = stage.ReasonRefused
		}
		return results
	}
	m.adopt(q, held)
	tags := make([]uint64, len(jobs))
	for i, j := range jobs {
		m.nextTag++
		j.Tag, tags[i] = m.nextTag, m.nextTag
		m.replyHandlers[j.Tag] = func(r stage.Reply) { // called with the lock held
			results[i] = JobResult{Outcome: r.Outcome, Upstream: r.Upstream, Owner: m.o.Peer, Timing: r.Timing}
			if left--; left == 0 {
				close(done)
			}
		}
		q.Add(m.o.Clock.Now(), j)
	}
	m.dispatch(q)
	m.mu.Unlock()
	select {
	case <-done:
		return results
	case <-ctx.Done():
	case <-m.ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, tag := range tags {
		delete(m.replyHandlers, tag)
		q.Cancel(jobs[i].Request)
	}
	out := slices.Clone(results)
	for i := range out {
		if out[i].Handle == "" && out[i].Reason == stage.ReasonNone {
			out[i].Reason = stage.ReasonLate
		}
	}
	return out
}

// adopt adds the accounting of an earlier owner's results to a queue. The caller holds the lock.
func (m *Batcher) adopt(q *queue, held []ResultState) {
	now := m.o.Clock.Now()
	adopted := 0
	for _, h := range held {
		if q.Adopt(now, h.Upstream, h.Handle, h.Request, h.Bytes, h.TimeLeft) {
			adopted++
		}
	}
	if adopted > 0 {
		m.o.Events.Emit(event.ResultsAdopted, event.F("service", q.service), event.F("region", q.region), event.F("results", adopted))
	}
}

// queue returns a queue after updating its upstreams, or nil if the service does not run stages.
func (m *Batcher) queue(p queueKey) *queue {
	view := m.o.View()
	if view.Table == nil {
		return nil
	}
	service := view.Table.Service(p.service)
	if service == nil || service.Pool == nil {
		return nil
	}
	q := m.queues[p]
	if q == nil {
		q = &queue{queueKey: p, Queue: stage.NewQueue(*service.Pool)}
		q.SetBounds(m.o.Pace)
		m.queues[p] = q
		m.o.Events.Emit(event.QueueOpened, event.F("service", p.service), event.F("region", p.region),
			event.F("upstreams", len(view.Services[p.service])), event.F("version", view.Table.Config.Version))
	}
	q.SetPool(*service.Pool)
	q.SetTargets(m.targets(view, p, service))
	m.updateOwned(view, q)
	return q
}

// updateOwned tells a queue whether this node owns it by its view. The caller holds the lock.
func (m *Batcher) updateOwned(view *poller.View, q *queue) {
	if q.ownedView == view || !view.IsPaced(q.service) {
		return
	}
	q.ownedView = view
	now := m.o.Clock.Now()
	q.SetOwned(now, m.OwnerInView(q.service, q.region).Peer == m.o.Peer)
	q.SetIsolated(now, view.Isolated)
}

func (m *Batcher) targets(view *poller.View, p queueKey, service *conf.Service) []stage.Target {
	var out []stage.Target
	for _, u := range view.Services[p.service] {
		if m.o.RegionOf[u.DataCentre] == p.region {
			known := m.paceTable.Of(u, service)
			out = append(out, stage.Target{
				ID: u.ID, Address: u.Address, DataCentre: u.DataCentre, Avoid: u.Silent || u.State != roster.Ready || known.Leaving,
				Pace: known,
			})
		}
	}
	return out
}

// dispatch sends the calls that are due. The caller holds the lock.
func (m *Batcher) dispatch(q *queue) {
	if m.ctx.Err() != nil {
		return
	}
	calls, replies := q.Next(m.o.Clock.Now())
	m.deliver(q, replies)
	for _, c := range calls {
		m.wg.Go(func() { m.call(q, c) })
	}
	if q.Len() > 0 && !q.dispatchScheduled {
		q.dispatchScheduled = true
		m.o.Clock.AfterFunc(dispatchInterval, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			q.dispatchScheduled = false
			if fresh := m.queue(q.queueKey); fresh != nil {
				m.dispatch(fresh)
			}
		})
	}
}

func (m *Batcher) deliver(q *queue, replies []stage.Reply) {
	now := m.o.Clock.Now()
	for _, r := range replies {
		if r.Handle == "" {
			m.o.Events.Emit(event.PieceFailed, event.F("request", r.Request), event.F("stage", r.Stage), event.F("piece", r.Piece),
				event.F("service", q.service), event.F("region", q.region), event.F("upstream", r.Upstream), event.F("reason", r.Reason),
				event.F("queued", q.Len()), event.F("per_second", math.Round(q.Rate())),
				event.F("waited_ms", r.Waited(now).Milliseconds()), event.F("left_ms", r.Deadline.Sub(now).Milliseconds()))
		}
		if f := m.replyHandlers[r.Tag]; f != nil {
			delete(m.replyHandlers, r.Tag)
			f(r)
			continue
		}
		if r.Handle != "" { // the waiting request has ended
			m.freeInQueue(q, []ResultRef{{r.Handle, r.Upstream}})
		}
	}
}

// call sends one call and passes its outcome to the queue.
func (m *Batcher) call(q *queue, c stage.Call) {
	result, outcomes, err := m.send(q, c)
	if err != nil {
		m.o.Events.Emit(event.CallFailed, event.F("upstream", c.Upstream), event.F("pieces", len(c.Jobs)),
			event.F("outcome", result), event.F("reason", err))
	}
	m.mu.Lock()
	replies, unwanted := q.Done(m.o.Clock.Now(), c.ID, result, outcomes)
	m.deliver(q, replies)
	for _, handle := range unwanted {
		m.freeInQueue(q, []ResultRef{{handle, c.Upstream}})
	}
	if fresh := m.queue(q.queueKey); fresh != nil {
		m.dispatch(fresh)
	}
	m.mu.Unlock()
}
