// Package batch has the pieces of stages made: it brings them together from all entry nodes of a region, so that the
// calls of the stage upstreams are full, and sends the calls.
//
// For each service and region one entry node, chosen by rendezvous hashing over those that are ready, keeps the queue
// (package stage). The others hand their pieces to it. Two nodes that differ for a moment about who that is both call the
// upstreams, which queue or refuse what is too much; no agreement is needed.
//
// Usage:
//
//	m := batch.New(batch.Options{Node: "e1", Peer: peerAddress, View: feed.View, Hub: hub, Pool: pool, ...})
//	made, err := m.Make(ctx, "encoders", "north", jobs) // one result for each job, in order
//	m.Free("encoders", made[0].Source, []batch.Result{{made[0].Handle, made[0].Upstream}})
//	m.Cancel(requestID)
package batch

import (
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
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// Options configure a Maker.
type Options struct {
	Node string
	Peer string // own peer address
	// RegionOf gives the regions by data centre.
	RegionOf map[string]string
	Dialect  *proto.Dialect
	Clock    clock.Clock
	Events   *event.Log
	View     func() *poller.View
	Hub      *peer.Hub
	Pool     *upcon.Pool
}

// JobResult is the result of one job.
type JobResult struct {
	stage.Outcome
	Upstream string
	Owner   string // peer address of the node that keeps account of the result
	Timing    stage.PieceTiming
}

// Times of a Maker.
const (
	pumpEvery  = 20 * time.Millisecond // while jobs wait for a pause or for room
	avoidFor   = 2 * time.Second       // a node that did not answer is not given pieces
	stateEvery = time.Second           // between two lines about a queue
	maxHand    = 8                     // nodes that one group of jobs is handed to
)

// Batcher is a running maker.
type Batcher struct {
	o      Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	queues  map[place]*queue
	waiting map[uint64]func(stage.Reply)
	nextTag uint64
	avoid   map[string]time.Time // by peer address
	holder  holder
	users   users
}

type place struct{ service, area string } // area is a region

type queue struct {
	place
	*stage.Queue
	timed  bool        // a pump is planned
	logged stage.Counters // at the last line about the queue
}

// ResultRef names a result at the upstream that made it.
type ResultRef struct {
	Handle   string `cbor:"1,keyasint"`
	Upstream string `cbor:"2,keyasint"`
}

// New starts a maker.
func New(o Options) *Batcher {
	m := &Batcher{o: o, queues: map[place]*queue{}, waiting: map[uint64]func(stage.Reply){}, avoid: map[string]time.Time{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Go(func() {
		for clock.Sleep(m.ctx, o.Clock, stateEvery) == nil {
			m.logQueues()
		}
	})
	return m
}

// Close ends the maker. Calls under way are given up.
func (m *Batcher) Close() {
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	m.wg.Wait()
}

// Run has jobs of one service made in a region and waits for all of them. The error says that no node took them.
func (m *Batcher) Run(ctx context.Context, service, area string, jobs []stage.Job) ([]JobResult, error) {
	p := place{service, area}
	for range maxHand {
		owner := m.owner(p)
		if owner == m.o.Peer {
			break
		}
		made, err := m.hand(ctx, owner, p, jobs)
		if err == nil {
			m.hold(p, jobs, made)
			return made, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		m.MarkUnresponsive(owner)
	}
	held := m.heldFor(p, m.o.Peer)
	made := m.makeHere(ctx, p, jobs, held)
	m.mu.Lock()
	m.holder.told(p, m.o.Peer, held)
	m.mu.Unlock()
	m.hold(p, jobs, made)
	return made, nil
}

// hold notes the results that the requests of this node use from now on.
func (m *Batcher) hold(p place, jobs []stage.Job, made []JobResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	until := m.o.Clock.Now().Add(m.keptFor(p.service))
	for i, x := range made {
		if x.Handle != "" {
			m.holder.add(p, x.Handle, x.Owner, &holding{request: jobs[i].Request, upstream: x.Upstream, bytes: jobs[i].Bytes, until: until})
		}
	}
}

// heldFor returns the results of which the present owner of a queue keeps no account.
func (m *Batcher) heldFor(p place, owner string) []Held {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder.turn(p, owner)
	return m.holder.unknown(m.o.Clock.Now(), p)
}

// keptFor is how long the upstreams of a service keep a result.
func (m *Batcher) keptFor(service string) time.Duration {
	if t := m.o.View().Table; t != nil {
		if s := t.Service(service); s != nil && s.Pool != nil {
			return s.Pool.HandleFor.Duration()
		}
	}
	return 0
}

// MarkUnresponsive leaves out a node that did not answer when owners are chosen, for a while.
func (m *Batcher) MarkUnresponsive(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.avoid[address] = m.o.Clock.Now().Add(avoidFor)
}

// Self returns the own peer address, as Owner gives it.
func (m *Batcher) Self() string { return m.o.Peer }

// owner returns the peer address of the entry node that keeps the queue of a place.
func (m *Batcher) owner(p place) string {
	now := m.o.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	best, address := uint64(0), ""
	for _, e := range m.o.View().Entries {
		if !e.Ready || e.Region != p.area || now.Before(m.avoid[e.Peer]) {
			continue
		}
		if score := rendez.Weight(p.service, e.Node); address == "" || score > best {
			best, address = score, e.Peer
		}
	}
	if address == "" {
		return m.o.Peer
	}
	return address
}

// hand brings jobs to another entry node.
func (m *Batcher) hand(ctx context.Context, owner string, p place, jobs []stage.Job) ([]JobResult, error) {
	q := ask{Service: p.service, Area: p.area, From: m.o.Peer, Held: m.heldFor(p, owner)}
	q.pack(jobs, m.o.Clock.Now())
	body, err := cbor.Marshal(q)
	if err != nil { // jobs hold plain values only
		panic(err)
	}
	reply, err := m.o.Hub.Call(ctx, owner, peer.KindPieces, body)
	if err != nil {
		return nil, err
	}
	made, err := decodeMade(reply, owner)
	if err != nil {
		return nil, err
	}
	if len(made) != len(jobs) {
		return nil, errors.Newf("%d results for %d pieces", len(made), len(jobs))
	}
	m.mu.Lock()
	m.holder.told(p, owner, q.Held)
	m.mu.Unlock()
	return made, nil
}

// makeHere puts jobs into the queue of this node and waits for all of them. held are results that it may not know.
func (m *Batcher) makeHere(ctx context.Context, p place, jobs []stage.Job, held []Held) []JobResult {
	made := make([]JobResult, len(jobs))
	done := make(chan struct{})
	left := len(jobs)
	if left == 0 {
		return made
	}
	m.mu.Lock()
	q := m.queue(p)
	if q == nil {
		m.mu.Unlock()
		for i := range made {
			made[i].Reason = stage.ReasonRefused
		}
		return made
	}
	m.adopt(q, held)
	tags := make([]uint64, len(jobs))
	for i, j := range jobs {
		m.nextTag++
		j.Tag, tags[i] = m.nextTag, m.nextTag
		m.waiting[j.Tag] = func(r stage.Reply) { // called with the lock held
			made[i] = JobResult{Outcome: r.Outcome, Upstream: r.Upstream, Owner: m.o.Peer, Timing: r.Timing}
			if left--; left == 0 {
				close(done)
			}
		}
		q.Add(m.o.Clock.Now(), j)
	}
	m.pump(q)
	m.mu.Unlock()
	select {
	case <-done:
		return made
	case <-ctx.Done():
	case <-m.ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, tag := range tags {
		delete(m.waiting, tag)
		q.Cancel(jobs[i].Request)
	}
	out := slices.Clone(made)
	for i := range out {
		if out[i].Handle == "" && out[i].Reason == stage.ReasonNone {
			out[i].Reason = stage.ReasonLate
		}
	}
	return out
}

// adopt takes results of an earlier owner into the account of a queue. The lock is held.
func (m *Batcher) adopt(q *queue, held []Held) {
	now := m.o.Clock.Now()
	adopted := 0
	for _, h := range held {
		if q.Adopt(now, h.Upstream, h.Handle, h.Request, h.Bytes, h.Left) {
			adopted++
		}
	}
	if adopted > 0 {
		m.o.Events.Emit(event.ResultsAdopted, event.F("service", q.service), event.F("region", q.area), event.F("results", adopted))
	}
}

// queue returns the queue of a place with its present upstreams; nil if the service does not run stages.
func (m *Batcher) queue(p place) *queue {
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
		q = &queue{place: p, Queue: stage.NewQueue(*service.Pool)}
		m.queues[p] = q
		m.o.Events.Emit(event.QueueOpened, event.F("service", p.service), event.F("region", p.area),
			event.F("upstreams", len(view.Services[p.service])), event.F("version", view.Table.Config.Version))
	}
	q.SetPool(*service.Pool)
	q.SetTargets(m.targets(view, p))
	return q
}

func (m *Batcher) targets(view *poller.View, p place) []stage.Target {
	var out []stage.Target
	for _, u := range view.Services[p.service] {
		if m.o.RegionOf[u.DataCentre] == p.area {
			out = append(out, stage.Target{
				ID: u.ID, Address: u.Address, DataCentre: u.DataCentre, Avoid: u.Silent || u.State != roster.Ready,
			})
		}
	}
	return out
}

// pump sends the calls that are due. The lock is held.
func (m *Batcher) pump(q *queue) {
	if m.ctx.Err() != nil {
		return
	}
	calls, replies := q.Next(m.o.Clock.Now())
	m.deliver(q, replies)
	for _, c := range calls {
		m.wg.Go(func() { m.call(q, c) })
	}
	if q.Len() > 0 && !q.timed {
		q.timed = true
		m.o.Clock.AfterFunc(pumpEvery, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			q.timed = false
			if fresh := m.queue(q.place); fresh != nil {
				m.pump(fresh)
			}
		})
	}
}

func (m *Batcher) deliver(q *queue, replies []stage.Reply) {
	now := m.o.Clock.Now()
	for _, r := range replies {
		if r.Handle == "" {
			m.o.Events.Emit(event.PieceFailed, event.F("request", r.Request), event.F("stage", r.Stage), event.F("piece", r.Piece),
				event.F("service", q.service), event.F("region", q.area), event.F("upstream", r.Upstream), event.F("reason", r.Reason),
				event.F("queued", q.Len()), event.F("per_second", math.Round(q.Rate())),
				event.F("waited_ms", r.Waited(now).Milliseconds()), event.F("left_ms", r.Deadline.Sub(now).Milliseconds()))
		}
		if f := m.waiting[r.Tag]; f != nil {
			delete(m.waiting, r.Tag)
			f(r)
			continue
		}
		if r.Handle != "" { // the one who wanted it has gone
			m.freeHere(q, []ResultRef{{r.Handle, r.Upstream}})
		}
	}
}

// call sends one call and hands its end to the queue.
func (m *Batcher) call(q *queue, c stage.Call) {
	result, outcomes, err := m.send(c)
	if err != nil {
		m.o.Events.Emit(event.CallFailed, event.F("upstream", c.Upstream), event.F("pieces", len(c.Jobs)),
			event.F("outcome", result), event.F("reason", err))
	}
	m.mu.Lock()
	replies, unwanted := q.Done(m.o.Clock.Now(), c.ID, result, outcomes)
	m.deliver(q, replies)
	for _, handle := range unwanted {
		m.freeHere(q, []ResultRef{{handle, c.Upstream}})
	}
	if fresh := m.queue(q.place); fresh != nil {
		m.pump(fresh)
	}
	m.mu.Unlock()
}
