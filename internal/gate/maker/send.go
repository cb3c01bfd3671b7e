package maker

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/gate/stage"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// maxAnswer bounds the answer of a stage upstream.
const maxAnswer = 1 << 20

// send makes one call of a stage upstream.
func (m *Maker) send(c stage.Call) (stage.CallResult, []stage.Outcome, error) {
	now := m.o.Clock.Now()
	items := make([]stage.Item, len(c.Jobs))
	var most time.Duration
	for i, j := range c.Jobs {
		items[i] = j.Item
		items[i].Left = j.Deadline.Sub(now)
		most = max(most, items[i].Left)
	}
	body, err := m.o.Dialect.EncodeCall(items)
	if err != nil {
		return stage.Broken, nil, err
	}
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	patience := m.o.Clock.AfterFunc(min(c.Patience, most), cancel)
	defer patience.Stop()
	header := m.header(c.Upstream)
	header.Set(m.o.Dialect.Headers.Deadline, strconv.FormatInt(most.Milliseconds(), 10))
	resp, err := m.o.Pool.Send(ctx, upcon.Request{
		Address: c.Address, Method: http.MethodPost, Target: m.o.Dialect.Paths.Call, Host: c.Address, Header: header, Body: body,
	})
	if err != nil {
		return stage.Broken, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		return stage.Moved, nil, errors.New("another upstream has the address")
	case resp.Status == http.StatusServiceUnavailable && resp.Header.Get(m.o.Dialect.Headers.NotRun) != "":
		return stage.Full, nil, nil
	case resp.Status != http.StatusOK:
		return stage.Broken, nil, errors.Newf("status %d", resp.Status)
	case err != nil:
		return stage.Broken, nil, err
	}
	outcomes, err := m.o.Dialect.DecodeCall(answer)
	if err != nil {
		return stage.Broken, nil, err
	}
	if len(outcomes) != len(items) {
		return stage.Broken, nil, errors.Newf("%d results for %d pieces", len(outcomes), len(items))
	}
	return stage.Answered, outcomes, nil
}

func (m *Maker) header(upstream string) http.Header {
	h := http.Header{"Content-Type": {"application/json"}}
	if upstream != "" {
		h.Set(m.o.Dialect.Headers.Expect, upstream)
	}
	return h
}

// Free gives up results of a service. source is the node that keeps account of them, as Made says.
func (m *Maker) Free(service, source string, handles []string) {
	if source != m.o.Peer {
		m.tell(source, ask{Service: service, Free: handles})
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freeService(service, handles)
}

func (m *Maker) freeService(service string, handles []string) {
	for p, q := range m.queues {
		if p.service == service {
			m.freeHere(q, handles)
		}
	}
}

// freeHere tells the upstreams to forget results. The lock is held. A result that is not freed because the call fails is
// forgotten by the upstream itself some seconds later.
func (m *Maker) freeHere(q *queue, handles []string) {
	for address, list := range q.Free(handles) {
		body, err := m.o.Dialect.EncodeFree(list)
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
}

const freeTimeout = time.Second

// Cancel drops the pieces of a request that wait, here and at the nodes that were given some.
func (m *Maker) Cancel(request string, sources []string) {
	for _, s := range sources {
		if s != m.o.Peer {
			m.tell(s, ask{Cancel: request})
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelHere(request)
}

func (m *Maker) cancelHere(request string) {
	for _, q := range m.queues {
		q.Cancel(request)
	}
}

func (m *Maker) tell(address string, q ask) {
	body, err := cbor.Marshal(q)
	if err != nil { // the message holds plain values only
		panic(err)
	}
	m.o.Hub.Send(address, peer.KindPieces, body)
}

// Owner returns the peer address of the node that keeps the queue of a service in a region.
func (m *Maker) Owner(service, area string) string { return m.owner(place{service, area}) }

// Handle takes a message of another entry node.
func (m *Maker) Handle(ctx context.Context, body []byte) ([]byte, error) {
	var q ask
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if q.Cancel != "" || len(q.Free) > 0 {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.freeService(q.Service, q.Free)
		if q.Cancel != "" {
			m.cancelHere(q.Cancel)
		}
		return nil, nil
	}
	now := m.o.Clock.Now()
	jobs := make([]stage.Job, len(q.Jobs))
	var last time.Duration
	for i, j := range q.Jobs {
		jobs[i] = stage.Job{
			Item: j.Item, Rank: j.Rank, Home: j.Home, Bytes: j.Bytes, Due: now.Add(j.Due), Deadline: now.Add(j.Left),
		}
		last = max(last, j.Left)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := m.o.Clock.AfterFunc(last, cancel)
	defer timer.Stop()
	return cbor.Marshal(m.makeHere(ctx, place{q.Service, q.Area}, jobs))
}
