package rstate

import (
	"cmp"
	"container/heap"
	"slices"
)

// entry is one value of an aging map. at is the moment up to which it is kept.
type entry[V any] struct {
	key   string
	at    int64
	slot  int // place in the heap
	value V
}

// aging is a map whose entries expire. Equal sequences of calls give equal contents: expiry and eviction go by moment,
// then by key, and never by the order of a Go map.
type aging[V any] struct {
	byKey map[string]*entry[V]
	order entryHeap[V]
}

func newAging[V any]() *aging[V] { return &aging[V]{byKey: map[string]*entry[V]{}} }

func (a *aging[V]) len() int { return len(a.byKey) }

func (a *aging[V]) has(key string) bool { return a.byKey[key] != nil }

// get returns a pointer to the stored value, or nil.
func (a *aging[V]) get(key string) *V {
	if e := a.byKey[key]; e != nil {
		return &e.value
	}
	return nil
}

// put adds or replaces an entry.
func (a *aging[V]) put(key string, at int64, v V) {
	if e := a.byKey[key]; e != nil {
		e.at, e.value = at, v
		heap.Fix(&a.order, e.slot)
		return
	}
	e := &entry[V]{key: key, at: at, value: v}
	a.byKey[key] = e
	heap.Push(&a.order, e)
}

func (a *aging[V]) remove(key string) {
	if e := a.byKey[key]; e != nil {
		heap.Remove(&a.order, e.slot)
		delete(a.byKey, key)
	}
}

// expire drops the entries whose moment is at or before the limit and returns them.
func (a *aging[V]) expire(limit int64) []*entry[V] {
	var out []*entry[V]
	for len(a.order) > 0 && a.order[0].at <= limit {
		out = append(out, a.evict())
	}
	return out
}

// evict drops the entry that would expire first.
func (a *aging[V]) evict() *entry[V] {
	e := heap.Pop(&a.order).(*entry[V])
	delete(a.byKey, e.key)
	return e
}

// sorted returns the entries ordered by key.
func (a *aging[V]) sorted() []*entry[V] {
	out := slices.Clone([]*entry[V](a.order))
	slices.SortFunc(out, func(x, y *entry[V]) int { return cmp.Compare(x.key, y.key) })
	return out
}

type entryHeap[V any] []*entry[V]

func (h entryHeap[V]) Len() int { return len(h) }

func (h entryHeap[V]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].key < h[j].key
}

func (h entryHeap[V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].slot, h[j].slot = i, j
}

func (h *entryHeap[V]) Push(x any) {
	e := x.(*entry[V])
	e.slot = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap[V]) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// values returns the values ordered by key.
func values[V any](a *aging[V]) []V {
	out := make([]V, 0, a.len())
	for _, e := range a.sorted() {
		out = append(out, e.value)
	}
	return out
}
