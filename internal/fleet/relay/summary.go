package relay

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// fanOut is the number of children of a node in the dissemination tree. Three reaches 40 nodes in four levels.
const fanOut = 3

// summarize sends the summary of the own data centre to the others for which this representative is responsible.
func (m *Machine) summarize(now time.Time) {
	leads := slices.Sorted(slices.Values(m.peers.Leads))
	me := slices.Index(leads, m.cfg.ID)
	if me < 0 {
		return
	}
	pools := m.pools(now)
	for i, f := range m.peers.Far {
		if i%len(leads) != me || len(f.Contacts) == 0 {
			continue
		}
		t := m.sentSummaries[f.DataCentre]
		if t != nil && now.Sub(t.at) < refreshSummary && !poolsDiffer(t.pools, pools) {
			continue
		}
		m.sentSummaries[f.DataCentre] = &sentSummary{now, pools}
		m.send(f.Contacts[m.rng.IntN(len(f.Contacts))], Message{
			Kind: KindPools, DataCentre: m.cfg.DataCentre, Region: m.cfg.Region, Version: uint64(now.UnixMilli()), Pools: pools,
		})
	}
}

// pools aggregates the known upstreams of this data centre per service or model, ordered by name.
func (m *Machine) pools(now time.Time) []Pool {
	type sum struct {
		live, free int
		delays     []int64
	}
	sums := map[string]*sum{}
	for _, u := range m.all {
		for _, name := range slices.Concat(u.Services, u.Models) {
			s := sums[name]
			if s == nil {
				s = &sum{}
				sums[name] = s
			}
			if now.Before(u.until()) {
				s.live++
				s.free += max(u.Slots-u.load.Running-u.load.Waiting, 0)
				s.delays = append(s.delays, u.load.QueueMS)
			}
		}
	}
	var out []Pool
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		s := sums[name]
		p := Pool{Name: name, Live: s.live, Free: s.free}
		if n := len(s.delays); n > 0 {
			slices.Sort(s.delays)
			p.QueueMS = s.delays[min(int(m.cfg.Quantile*float64(n)), n-1)]
		}
		out = append(out, p)
	}
	return out
}

func poolsDiffer(a, b []Pool) bool {
	return !slices.EqualFunc(a, b, func(a, b Pool) bool {
		return a.Name == b.Name && a.Live == b.Live && !differsBy(int64(a.Free), int64(b.Free), int64(max(a.Free/8, 1))) &&
			!differsBy(a.QueueMS, b.QueueMS, max(a.QueueMS/4, 10))
	})
}

// handlePools handles a summary of another data centre and forwards it. The receiver of the summary is the root of a tree
// over the own data centre, whose order depends on the summary: a node that is down cuts off different nodes each time.
func (m *Machine) handlePools(msg Message) {
	if msg.DataCentre == m.cfg.DataCentre || msg.Version <= m.newestSummary[msg.DataCentre] {
		return
	}
	m.newestSummary[msg.DataCentre] = msg.Version
	m.emit(Summary{DataCentre: msg.DataCentre, Region: msg.Region, Pools: msg.Pools})
	if msg.Root == "" {
		msg.Root = m.cfg.ID
	}
	order := m.tree(msg)
	at := slices.Index(order, m.cfg.ID)
	if at < 0 {
		return
	}
	for c := at*fanOut + 1; c <= at*fanOut+fanOut && c < len(order); c++ {
		m.send(order[c], msg)
	}
}

// tree orders the nodes of the data centre for one summary: the root, then the others by a hash of id and version.
func (m *Machine) tree(msg Message) []string {
	type rank struct {
		id   string
		hash uint64
	}
	ranks := make([]rank, 0, len(m.peers.Local)+1)
	for _, id := range append([]string{m.cfg.ID}, m.peers.Local...) {
		r := rank{id: id}
		if id != msg.Root {
			h := fnv.New64a()
			_, _ = h.Write([]byte(id)) // never fails
			r.hash = max((h.Sum64()^msg.Version)*0x9e3779b97f4a7c15, 1)
		}
		ranks = append(ranks, r)
	}
	slices.SortFunc(ranks, func(a, b rank) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id)) })
	out := make([]string, len(ranks))
	for i, r := range ranks {
		out[i] = r.id
	}
	return out
}

// Live returns the number of upstreams of the data centre whose lease has not expired.
func (m *Machine) Live(now time.Time) int {
	n := 0
	for _, u := range m.all {
		if now.Before(u.until()) {
			n++
		}
	}
	return n
}

// Knows reports whether an upstream may receive new work as far as this node knows.
func (m *Machine) Knows(now time.Time, id string) bool {
	u := m.all[id]
	return u != nil && now.Before(u.until())
}
