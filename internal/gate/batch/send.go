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

	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// maxAnswer bounds the answer of a stage upstream.
const maxAnswer = 1 << 20

// send makes one call of a stage upstream.
func (m *Batcher) send(c stage.Call) (stage.CallResult, []stage.Outcome, error) {
	now := m.o.Clock.Now()
	items := make([]stage.Item, len(c.Jobs))
	var most time.Duration
	for i, j := range c.Jobs {
		items[i] = j.Item
		items[i].TimeLeft = j.Deadline.Sub(now)
		most = max(most, items[i].TimeLeft)
	}
	body, err := m.o.Dialect.EncodeCall(items)
	if err != nil {
		return stage.CallFailed, nil, err
	}
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	patience := m.o.Clock.AfterFunc(min(c.Timeout, most), cancel)
	defer patience.Stop()
	header := m.header(c.Upstream)
	header.Set(m.o.Dialect.Headers.Deadline, strconv.FormatInt(most.Milliseconds(), 10))
	resp, err := m.o.Pool.Send(ctx, upcon.Request{
		Address: c.Address, Method: http.MethodPost, Target: m.o.Dialect.Paths.Call, Host: c.Address, Header: header, Body: body,
	})
	if err != nil {
		return stage.CallFailed, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		return stage.AddressReused, nil, errors.New("another upstream has the address")
	case resp.Status == http.StatusServiceUnavailable && resp.Header.Get(m.o.Dialect.Headers.NotRun) != "":
		return stage.QueueFull, nil, nil
	case resp.Status != http.StatusOK:
		return stage.CallFailed, nil, errors.Newf("status %d", resp.Status)
	case err != nil:
		return stage.CallFailed, nil, err
	}
	outcomes, err := m.o.Dialect.DecodeCall(answer)
	if err != nil {
		return stage.CallFailed, nil, err
	}
	if len(outcomes) != len(items) {
		return stage.CallFailed, nil, errors.Newf("%d results for %d pieces", len(outcomes), len(items))
	}
	return stage.Answered, outcomes, nil
}

func (m *Batcher) header(upstream string) http.Header {
	h := http.Header{"Content-Type": {"application/json"}}
	if upstream != "" {
		h.Set(m.o.Dialect.Headers.Expect, upstream)
	}
	return h
}

// Free gives up results of a service. source is the node that keeps account of them, as Made says; if another one has taken the
// queue over meanwhile, that one is told. If it has gone, the upstreams are told from here, since their memory would be taken
// until the results expire.
func (m *Batcher) Free(service, source string, results []ResultRef) {
	free, forget := m.split(service, source, results)
	for node, list := range free {
		if node != m.o.Peer && m.serves(node) {
			m.tell(node, ask{Service: service, Free: list, Forget: forget[node]})
			delete(forget, node)
			continue
		}
		m.freeOwn(service, list)
	}
	for node, list := range forget {
		if node != m.o.Peer {
			m.tell(node, ask{Service: service, Forget: list})
			continue
		}
		m.forgetOwn(service, list)
	}
}

func (m *Batcher) freeOwn(service string, results []ResultRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freeService(service, results)
}

func (m *Batcher) forgetOwn(service string, results []ResultRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(service, results)
}

// split sorts results by the nodes that are to free them, and those that only drop them from their account.
func (m *Batcher) split(service, source string, results []ResultRef) (free, forget map[string][]ResultRef) {
	free, forget = map[string][]ResultRef{}, map[string][]ResultRef{}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range results {
		nodes := m.holder.drop(service, r.Handle)
		if len(nodes) == 0 {
			nodes = []string{source}
		}
		last := len(nodes) - 1
		free[nodes[last]] = append(free[nodes[last]], r)
		for _, n := range nodes[:last] {
			forget[n] = append(forget[n], r)
		}
	}
	return free, forget
}

// forget drops results from the account of this node's queues. The lock is held.
func (m *Batcher) forget(service string, results []ResultRef) {
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.Handle
		m.users.unused(r.Handle)
	}
	for p, q := range m.queues {
		if p.service == service {
			q.Free(handles) // the upstreams are told by the node that keeps the queue now
		}
	}
}

// serves reports whether an entry node is known and takes work.
func (m *Batcher) serves(address string) bool {
	return slices.ContainsFunc(m.o.View().Entries, func(e roster.Entry) bool { return e.Peer == address && e.Ready })
}

func (m *Batcher) freeService(service string, results []ResultRef) {
	for p, q := range m.queues {
		if p.service == service {
			results = m.freeHere(q, results)
		}
	}
	m.freeUnknown(service, results)
}

// freeHere tells the upstreams of a queue to forget results, and returns those that the queue does not know. The lock is held.
func (m *Batcher) freeHere(q *queue, results []ResultRef) []ResultRef {
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.Handle
		m.users.unused(r.Handle)
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

// freeUnknown frees results of which no queue here keeps account, because the node that did has been restarted.
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

// sendFree tells an upstream to forget results. If the call fails, the upstream forgets them by itself some seconds later.
func (m *Batcher) sendFree(address string, handles []string) {
	body, err := m.o.Dialect.EncodeFree(handles)
	if err != nil { // a list of strings can always be encoded
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
			_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)) // the connection can then be kept
			_ = resp.Body.Close()
		}
	})
}

const freeTimeout = time.Second

// Cancel drops the pieces of a request that wait, here and at the nodes that were given some.
func (m *Batcher) Cancel(request string, sources []string) {
	for _, s := range sources {
		if s != m.o.Peer {
			m.tell(s, ask{Cancel: request})
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelHere(request)
}

func (m *Batcher) cancelHere(request string) {
	for _, q := range m.queues {
		q.Cancel(request)
	}
}

func (m *Batcher) tell(address string, q ask) {
	body, err := cbor.Marshal(q)
	if err != nil { // the message holds plain values only
		panic(err)
	}
	m.o.Hub.Send(address, peer.KindPieces, body)
}

// Owner returns the peer address of the node that keeps the queue of a service in a region.
func (m *Batcher) Owner(service, area string) string { return m.owner(place{service, area}) }

// Handle takes a message of another entry node.
func (m *Batcher) Handle(ctx context.Context, body []byte) ([]byte, error) {
	var q ask
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if len(q.Uses) > 0 {
		return cbor.Marshal(m.stillUsed(q.Uses))
	}
	if q.Cancel != "" || len(q.Free) > 0 || len(q.Forget) > 0 {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.freeService(q.Service, q.Free)
		m.forget(q.Service, q.Forget)
		if q.Cancel != "" {
			m.cancelHere(q.Cancel)
		}
		return nil, nil
	}
	jobs, last, err := q.unpack(m.o.Clock.Now())
	if err != nil {
		return nil, err
	}
	p := place{q.Service, q.Area}
	if q.From != "" {
		m.watch(ctx, q.From)
	}
	made := m.makeFor(ctx, p, jobs, q.Held, last)
	if q.From != "" {
		m.uses(p, q.From, made)
	}
	if ctx.Err() != nil || m.ctx.Err() != nil {
		return nil, errStops
	}
	return encodeMade(made)
}

// errStops is the answer of a node that stops before the pieces are made. The node that asked turns to another one.
var errStops = errors.New("this node stops")

// makeFor makes jobs of another node, for as long as one of them is of use.
func (m *Batcher) makeFor(ctx context.Context, p place, jobs []stage.Job, held []Held, last time.Duration) []JobResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := m.o.Clock.AfterFunc(last, cancel)
	defer timer.Stop()
	return m.makeHere(ctx, p, jobs, held)
}
