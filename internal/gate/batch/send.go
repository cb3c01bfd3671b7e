package batch

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// Limits of the response of a stage upstream. Many calls may be in progress at the same time.
const (
	maxResponseBytes = 16 << 10
	maxItemBytes     = 1 << 10 // for each piece, in addition
)

// send sends one call of a queue to a stage upstream and decodes its response.
func (m *Batcher) send(q *queue, c stage.Call) (stage.CallResult, []stage.Outcome, error) {
	now := m.o.Clock.Now()
	items := make([]stage.Item, len(c.Jobs))
	var maxTimeLeft time.Duration
	for i, j := range c.Jobs {
		items[i] = j.Item
		items[i].TimeLeft = j.Deadline.Sub(now)
		maxTimeLeft = max(maxTimeLeft, items[i].TimeLeft)
	}
	body, err := m.o.Dialect.EncodeCall(items)
	if err != nil {
		return stage.CallFailed, nil, err
	}
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	timer := m.o.Clock.AfterFunc(min(c.Timeout, maxTimeLeft), cancel)
	defer timer.Stop()
	header := m.header(c.Upstream)
	header.Set(m.o.Dialect.Headers.Deadline, strconv.FormatInt(maxTimeLeft.Milliseconds(), 10))
	resp, err := m.o.Pool.Send(ctx, upcon.Request{
		Address: c.Address, Method: http.MethodPost, Target: m.o.Dialect.Paths.Call, Host: c.Address, Header: header, Body: body, Hold: true,
	})
	if err != nil {
		return stage.CallFailed, nil, err
	}
	defer resp.Body.Close()
	m.NoteAnswer(c.Upstream, c.StartedMs, resp.Status, resp.Header)
	answer, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxResponseBytes+len(items)*maxItemBytes)))
	result, outcomes, err := m.decodeAnswer(resp, answer, err, items)
	if err == nil && result == stage.Answered {
		err = m.checkOwnAnswer(c, outcomes)
	}
	if err != nil {
		resp.Discard() // what follows on the connection may belong to another call as well
		if result == stage.Answered {
			result = stage.CallFailed
		}
		return result, nil, err
	}
	m.noteLoad(q, c.Upstream, resp)
	if !namesResult(outcomes) {
		resp.Discard()
	}
	return result, outcomes, nil
}

// decodeAnswer decodes the response to a call. readErr is the error of reading its body.
func (m *Batcher) decodeAnswer(resp *upcon.Response, answer []byte, readErr error, items []stage.Item) (stage.CallResult, []stage.Outcome, error) {
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		return stage.AddressReused, nil, errors.New("the address now belongs to another upstream")
	case resp.Status == http.StatusServiceUnavailable && resp.Header.Get(m.o.Dialect.Headers.NotRun) != "":
		return stage.QueueFull, nil, nil
	case resp.Status != http.StatusOK:
		return stage.CallFailed, nil, errors.Newf("unexpected status %d", resp.Status)
	case readErr != nil:
		return stage.CallFailed, nil, readErr
	}
	outcomes, err := m.o.Dialect.DecodeCall(answer)
	if err != nil {
		return stage.CallFailed, nil, err
	}
	if len(outcomes) != len(items) {
		return stage.CallFailed, nil, errors.Newf("response has %d results for %d pieces", len(outcomes), len(items))
	}
	for i := range outcomes {
		if outcomes[i].Handle != "" && !proto.ValidHandle(outcomes[i].Handle) {
			return stage.CallFailed, nil, errors.Newf("response has a handle that cannot be sent: %.40q", outcomes[i].Handle)
		}
	}
	return stage.Answered, outcomes, nil
}

func (m *Batcher) header(upstream string) http.Header {
	h := http.Header{"Content-Type": {"application/json"}}
	if upstream != "" {
		h.Set(m.o.Dialect.Headers.ExpectUpstream, upstream)
	}
	return h
}

// Free frees results of a service. owner is the node that accounts for them, as in JobResult. If another node has taken
// over the queue since, that node is told instead. If the owner is gone, this node tells the upstreams itself;
// otherwise the results would occupy their memory until they expire.
func (m *Batcher) Free(service, owner string, results []ResultRef) {
	free, forget := m.groupByOwner(service, owner, results)
	for node, list := range free {
		if node != m.o.Peer && m.isReady(node) {
			m.sendMessage(node, message{Service: service, Free: list, Forget: forget[node]})
			delete(forget, node)
			continue
		}
		m.freeLocal(service, list)
	}
	for node, list := range forget {
		if node != m.o.Peer {
			m.sendMessage(node, message{Service: service, Forget: list})
			continue
		}
		m.forgetLocal(service, list)
	}
}

func (m *Batcher) freeLocal(service string, results []ResultRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freeService(service, results)
}

func (m *Batcher) forgetLocal(service string, results []ResultRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(service, results)
}

// groupByOwner groups results by the nodes that have to free them, and by the nodes that only drop their accounting.
func (m *Batcher) groupByOwner(service, owner string, results []ResultRef) (free, forget map[string][]ResultRef) {
	free, forget = map[string][]ResultRef{}, map[string][]ResultRef{}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range results {
		nodes := m.localResults.remove(service, r.Handle)
		if len(nodes) == 0 {
			nodes = []string{owner}
		}
		last := len(nodes) - 1
		free[nodes[last]] = append(free[nodes[last]], r)
		for _, n := range nodes[:last] {
			forget[n] = append(forget[n], r)
		}
	}
	return free, forget
}

// forget drops the accounting of results in this node's queues. The caller holds the lock.
func (m *Batcher) forget(service string, results []ResultRef) {
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.Handle
		m.remoteUsers.removeHandle(r.Handle)
	}
	for p, q := range m.queues {
		if p.service == service {
			q.Free(handles) // the current owner of the queue tells the upstreams
		}
	}
}

// isReady reports whether an entry node is known and accepts work.
func (m *Batcher) isReady(address string) bool {
	return slices.ContainsFunc(m.o.View().Entries, func(e roster.Entry) bool { return e.Peer == address && e.Ready })
}

// freeService frees results in all queues of a service. The caller holds the lock.
func (m *Batcher) freeService(service string, results []ResultRef) {
	for p, q := range m.queues {
		if p.service == service {
			results = m.freeInQueue(q, results)
		}
	}
	m.freeUnknown(service, results)
}

// freeInQueue tells the upstreams of a queue to free results, and returns those that the queue does not account for.
// The caller holds the lock.
func (m *Batcher) freeInQueue(q *queue, results []ResultRef) []ResultRef {
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.Handle
		m.remoteUsers.removeHandle(r.Handle)
	}
	known := map[string]bool{}
	for address, list := range q.Free(handles) {
		for _, h := range list {
			known[h] = true
		}
		m.sendFree(address, list)
	}
	return slices.DeleteFunc(slices.Clone(results), func(r ResultRef) bool { return known[r.Handle] })
}

// freeUnknown frees results that no queue of this node accounts for, because the node that did has restarted.
func (m *Batcher) freeUnknown(service string, results []ResultRef) {
	byAddress := map[string][]string{}
	for _, u := range m.o.View().Services[service] {
		for _, r := range results {
			if r.Upstream == u.ID {
				byAddress[u.Address] = append(byAddress[u.Address], r.Handle)
			}
		}
	}
	for address, list := range byAddress {
		m.sendFree(address, list)
	}
}

// sendFree tells an upstream to free results. If the call fails, the results expire at the upstream a few seconds
// later. The caller holds the lock, so that nothing is started once Close waits.
func (m *Batcher) sendFree(address string, handles []string) {
	if m.ctx.Err() != nil {
		return
	}
	body, err := m.o.Dialect.EncodeFree(handles)
	if err != nil { // encoding a list of strings cannot fail
		panic(err)
	}
	m.wg.Go(func() {
		ctx, cancel := context.WithCancel(m.ctx)
		defer cancel()
		timer := m.o.Clock.AfterFunc(freeTimeout, cancel)
		defer timer.Stop()
		resp, err := m.o.Pool.Send(ctx, upcon.Request{
			Address: address, Method: http.MethodPost, Target: m.o.Dialect.Paths.Free, Host: address, Header: m.header(""), Body: body,
		})
		if err == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes)) // allows the connection to be reused
			_ = resp.Body.Close()
		}
	})
}

const freeTimeout = time.Second

// Cancel removes the waiting pieces of a request, here and at the nodes they were forwarded to.
func (m *Batcher) Cancel(request string, owners []string) {
	for _, s := range owners {
		if s != m.o.Peer {
			m.sendMessage(s, message{Cancel: request})
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelLocal(request, queueKey{})
}

// CancelQueue removes the waiting pieces of a request from the queue of a service in a region, here and at the node that they were
// forwarded to. Its pieces in other queues are kept.
func (m *Batcher) CancelQueue(request, service, region, owner string) {
	if owner != m.o.Peer {
		m.sendMessage(owner, message{Cancel: request, Service: service, Region: region})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelLocal(request, queueKey{service, region})
}

// cancelLocal removes the waiting pieces of a request from one queue, or from all if only is zero.
func (m *Batcher) cancelLocal(request string, only queueKey) {
	for p, q := range m.queues {
		if only == (queueKey{}) || only == p {
			q.Cancel(request)
		}
	}
}

func (m *Batcher) sendMessage(address string, q message) {
	body, err := cbor.Marshal(q)
	if err != nil { // the message holds plain values only, so encoding cannot fail
		panic(err)
	}
	m.o.Hub.Send(address, peer.KindPieces, body)
}

// Owner returns the peer address of the node that owns the queue of a service in a region.
func (m *Batcher) Owner(service, region string) string {
	return m.queueOwner(queueKey{service, region})
}

// Handle processes a message from another entry node.
func (m *Batcher) Handle(ctx context.Context, body []byte) ([]byte, error) {
	var q message
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if len(q.UsageQuery) > 0 {
		return cbor.Marshal(m.stillUsed(q.UsageQuery))
	}
	if q.Cancel != "" || len(q.Free) > 0 || len(q.Forget) > 0 {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.freeService(q.Service, q.Free)
		m.forget(q.Service, q.Forget)
		if q.Cancel != "" {
			m.cancelLocal(q.Cancel, queueKey{q.Service, q.Region})
		}
		return nil, nil
	}
	jobs, maxTimeLeft, err := q.unpack(m.o.Clock.Now())
	if err != nil {
		return nil, err
	}
	held, ok := ReservePieces(m.o.Memory, len(jobs))
	if !ok {
		return encodeResults(refusedJobs(len(jobs)))
	}
	defer held.Release()
	p := queueKey{q.Service, q.Region}
	if q.From != "" {
		m.watchConnection(ctx, q.From)
	}
	results := m.runForPeer(ctx, p, jobs, q.Results, maxTimeLeft)
	if q.From != "" {
		m.trackRemoteUse(p, q.From, results)
	}
	if ctx.Err() != nil || m.ctx.Err() != nil {
		return nil, errStopping
	}
	return encodeResults(results)
}

// errStopping is the response of a node that stops before the pieces are complete. The sender then uses another node.
var errStopping = errors.New("node is stopping")

// runForPeer runs jobs of another node, until none of their results is useful.
func (m *Batcher) runForPeer(ctx context.Context, p queueKey, jobs []stage.Job, held []ResultState, maxTimeLeft time.Duration) []JobResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := m.o.Clock.AfterFunc(maxTimeLeft, cancel)
	defer timer.Stop()
	return m.runLocally(ctx, p, jobs, held)
}
