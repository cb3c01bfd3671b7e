package batch

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// users remembers which entry nodes use the results of the queues that this node keeps. When the connection of one ends, it is
// asked what it still uses; the results of a node that has died would otherwise fill the upstreams' memory until they expire.
type users struct {
	results map[string]map[string]used // by node and handle
	links   map[context.Context]bool   // connections whose end is awaited
}

type used struct {
	place
	ResultRef
	until time.Time
}

// checkTimeout is how long a node may take to say what it uses. It is asked on a new connection.
const checkTimeout = 500 * time.Millisecond

// watch begins to await the end of a node's connection.
func (m *Batcher) watch(link context.Context, node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.users.links[link] {
		return
	}
	if m.users.links == nil {
		m.users.links = map[context.Context]bool{}
	}
	m.users.links[link] = true
	context.AfterFunc(link, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.users.links, link)
		if len(m.users.results[node]) > 0 && m.ctx.Err() == nil {
			m.wg.Go(func() { m.checkUser(node) })
		}
	})
}

// uses notes results that were handed to a node.
func (m *Batcher) uses(p place, node string, made []JobResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	until := m.o.Clock.Now().Add(m.keptFor(p.service))
	for _, x := range made {
		if x.Handle == "" {
			continue
		}
		if m.users.results == nil {
			m.users.results = map[string]map[string]used{}
		}
		if m.users.results[node] == nil {
			m.users.results[node] = map[string]used{}
		}
		m.users.results[node][x.Handle] = used{p, ResultRef{x.Handle, x.Upstream}, until}
	}
}

// checkUser asks a node which results it still uses, and frees the others. A node that does not answer has died.
func (m *Batcher) checkUser(node string) {
	m.mu.Lock()
	var handles []string
	for h := range m.users.results[node] {
		handles = append(handles, h)
	}
	m.mu.Unlock()
	still, err := m.askUses(node, handles)
	m.mu.Lock()
	defer m.mu.Unlock()
	freed := 0
	for _, h := range handles {
		x, ok := m.users.results[node][h]
		if !ok || still[h] {
			continue
		}
		delete(m.users.results[node], h)
		freed++
		if q := m.queues[x.place]; q != nil {
			m.freeHere(q, []ResultRef{x.ResultRef})
		}
	}
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	m.o.Events.Emit(event.ResultsDropped, event.F("peer", node), event.F("results", len(handles)), event.F("freed", freed), event.F("reason", reason))
}

func (m *Batcher) askUses(node string, handles []string) (map[string]bool, error) {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	timer := m.o.Clock.AfterFunc(checkTimeout, cancel)
	defer timer.Stop()
	body, err := cbor.Marshal(ask{Uses: handles})
	if err != nil { // a list of strings can always be encoded
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

// stillUsed returns the handles of a list that requests of this node use.
func (m *Batcher) stillUsed(handles []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, h := range handles {
		if m.holder.holds(h) {
			out = append(out, h)
		}
	}
	return out
}

// unused forgets that a node uses a result.
func (u *users) unused(handle string) {
	for _, results := range u.results {
		delete(results, handle)
	}
}

func (u *users) expire(now time.Time) {
	for node, results := range u.results {
		for h, x := range results {
			if !now.Before(x.until) {
				delete(results, h)
			}
		}
		if len(results) == 0 {
			delete(u.results, node)
		}
	}
}
