package batch

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// resultUsers tracks which entry nodes use the results of this node's queues. When the connection of a node ends, the
// node is asked which results it still uses. Otherwise, the results of a dead node would occupy the upstreams' memory
// until they expire.
type resultUsers struct {
	results map[string]map[string]usedResult // by node and handle
	watched map[context.Context]bool         // connections whose end is awaited
}

type usedResult struct {
	queueKey
	ResultRef
	expires time.Time
}

// usageQueryTimeout is how long a node may take to report which results it uses. The query uses a new connection.
const usageQueryTimeout = 500 * time.Millisecond

// watchConnection checks the results of a node when its connection ends.
func (m *Batcher) watchConnection(conn context.Context, node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.remoteUsers.watched[conn] {
		return
	}
	if m.remoteUsers.watched == nil {
		m.remoteUsers.watched = map[context.Context]bool{}
	}
	m.remoteUsers.watched[conn] = true
	context.AfterFunc(conn, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.remoteUsers.watched, conn)
		if len(m.remoteUsers.results[node]) > 0 && m.ctx.Err() == nil {
			m.wg.Go(func() { m.freeUnusedBy(node) })
		}
	})
}

// trackRemoteUse records results that were returned to a node.
func (m *Batcher) trackRemoteUse(p queueKey, node string, results []JobResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	until := m.o.Clock.Now().Add(m.resultLifetime(p.service))
	for _, x := range results {
		if x.Handle == "" {
			continue
		}
		if m.remoteUsers.results == nil {
			m.remoteUsers.results = map[string]map[string]usedResult{}
		}
		if m.remoteUsers.results[node] == nil {
			m.remoteUsers.results[node] = map[string]usedResult{}
		}
		m.remoteUsers.results[node][x.Handle] = usedResult{p, ResultRef{x.Handle, x.Upstream}, until}
	}
}

// freeUnusedBy asks a node which results it still uses, and frees the others. If it does not respond, it is considered
// dead and all of its results are freed.
func (m *Batcher) freeUnusedBy(node string) {
	m.mu.Lock()
	var handles []string
	for h := range m.remoteUsers.results[node] {
		handles = append(handles, h)
	}
	m.mu.Unlock()
	still, err := m.queryUsage(node, handles)
	m.mu.Lock()
	defer m.mu.Unlock()
	freed := 0
	for _, h := range handles {
		x, ok := m.remoteUsers.results[node][h]
		if !ok || still[h] {
			continue
		}
		delete(m.remoteUsers.results[node], h)
		freed++
		if q := m.queues[x.queueKey]; q != nil {
			m.freeInQueue(q, []ResultRef{x.ResultRef})
		}
	}
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	m.o.Events.Emit(event.ResultsDropped, event.F("peer", node), event.F("results", len(handles)), event.F("freed", freed), event.F("reason", reason))
}

// queryUsage asks a node which of the given handles it still uses.
func (m *Batcher) queryUsage(node string, handles []string) (map[string]bool, error) {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	timer := m.o.Clock.AfterFunc(usageQueryTimeout, cancel)
	defer timer.Stop()
	body, err := cbor.Marshal(message{UsageQuery: handles})
	if err != nil { // encoding a list of strings cannot fail
		panic(err)
	}
	reply, err := m.o.Hub.Call(ctx, node, peer.KindPieces, body)
	if err != nil {
		return nil, err
	}
	var list []string
	if err := cbor.Unmarshal(reply, &list); err != nil {
		return nil, err
	}
	out := map[string]bool{}
	for _, h := range list {
		out[h] = true
	}
	return out, nil
}

// stillUsed returns the given handles that requests of this node use.
func (m *Batcher) stillUsed(handles []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, h := range handles {
		if m.localResults.inUse(h) {
			out = append(out, h)
		}
	}
	return out
}

// removeHandle records that a result is no longer used by any node.
func (u *resultUsers) removeHandle(handle string) {
	for _, results := range u.results {
		delete(results, handle)
	}
}

func (u *resultUsers) expire(now time.Time) {
	for node, results := range u.results {
		for h, x := range results {
			if !now.Before(x.expires) {
				delete(results, h)
			}
		}
		if len(results) == 0 {
			delete(u.results, node)
		}
	}
}
