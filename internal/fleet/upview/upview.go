// Package upview maintains a node's view of the upstreams: their identities, leases, reported load and cached prompt
// prefixes.
//
// A Table applies announcements, load reports, cache events and summaries from other data centres, and returns immutable
// Views, which readers may keep indefinitely. Readers pass the time at which leases are checked, so a View needs no timer.
//
// A View is built when it is requested, not when a report arrives: with 1,400 upstreams that report once a second, a full
// copy per report costs more than the routing itself. A change of load or lease copies and patches only the affected lists;
// a change of members, services or models rebuilds them all. Prefix caches are the exception to immutability: they are
// large, change often and are only hints, so each View reads their current state (View.Cached).
//
// Usage:
//
//	t := upview.New()
//	t.Announce(now, a)
//	v := t.View()
//	for _, u := range v.Pool("encode") { if u.Live(now) { ... } }
package upview

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/berylledge/berylledge/pkg/upapi"
)

// Upstream is the known state of one upstream. It is immutable once published in a View.
type Upstream struct {
	upapi.Announce
	Leaving    bool
	Draining   bool // gets no new work while its models or role are changed
	LeaseUntil time.Time
	Since      time.Time // first announcement of this incarnation
	Load       upapi.Load
	LoadAt     time.Time // time at which Load was measured
	Held       bool      // taken out of service by an operator
}

// Live reports whether the upstream may receive new work.
func (u *Upstream) Live(now time.Time) bool {
	return !u.Leaving && !u.Draining && !u.Held && now.Before(u.LeaseUntil)
}

// View is an immutable snapshot of the upstreams.
type View struct {
	All          []*Upstream // sorted by id
	pools        map[string][]*Upstream
	byDataCentre map[poolKey][]*Upstream
	hashes       poolHashes
	summaries    map[string][]Summary
	cache        *prefixIndex
}

// poolHashes holds the hashes of the upstream ids in the lists of a View.
type poolHashes struct {
	pools        map[string][]uint64
	byDataCentre map[poolKey][]uint64
}

// poolKey identifies the part of a pool in one data centre.
type poolKey struct{ pool, dataCentre string }

// Pool returns the upstreams that offer a service or model, sorted by id, live or not.
func (v *View) Pool(name string) []*Upstream { return v.pools[name] }

// PoolIn returns the upstreams of a pool in one data centre, sorted by id, live or not.
func (v *View) PoolIn(name, dataCentre string) []*Upstream {
	return v.byDataCentre[poolKey{name, dataCentre}]
}

// Hashes returns the xxhash64 of each upstream id of a pool, in the order of Pool. All nodes compute the same hashes, so
// choices based on them agree. They are stored in a separate list because reading them from 1,400 upstreams would cause a
// cache miss for each.
func (v *View) Hashes(name string) []uint64 { return v.hashes.pools[name] }

// HashesIn is like Hashes for one data centre, in the order of PoolIn.
func (v *View) HashesIn(name, dataCentre string) []uint64 {
	return v.hashes.byDataCentre[poolKey{name, dataCentre}]
}

// Get returns the upstream with the given id, or nil.
func (v *View) Get(id string) *Upstream {
	i, ok := search(v.All, id)
	if !ok {
		return nil
	}
	return v.All[i]
}

func search(list []*Upstream, id string) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(u *Upstream, id string) int { return strings.Compare(u.ID, id) })
}

// Table collects updates and publishes them as Views. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	byID      map[string]*Upstream
	summaries map[poolKey]Summary
	holds     map[string]Hold
	patched   map[string]*Upstream // versions stored since the last publication
	rebuild   bool                 // members, services or models changed since the last publication
	stale     atomic.Bool          // view lacks changes made since the last publication
	view      atomic.Pointer[View]
	cache     *prefixIndex
}

// New returns an empty table.
func New() *Table {
	t := &Table{
		byID:      map[string]*Upstream{},
		summaries: map[poolKey]Summary{},
		holds:     map[string]Hold{},
		patched:   map[string]*Upstream{},
		cache:     newPrefixIndex(MaxPrefixes),
	}
	t.publish()
	return t
}

// View returns the current view. It includes all changes made before the call.
func (t *Table) View() *View {
	if t.stale.Load() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.stale.Load() {
			t.publish()
		}
	}
	return t.view.Load()
}

// Announce applies an announcement and reports whether it introduces an unknown id or a higher incarnation. An announcement
// of a lower incarnation is a late message and is ignored; so is one of an incarnation that is leaving.
func (t *Table) Announce(now time.Time, a upapi.Announce) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.byID[a.ID]
	if old != nil && (old.Incarnation > a.Incarnation || old.Incarnation == a.Incarnation && old.Leaving) {
		return false
	}
	u := &Upstream{Announce: a, LeaseUntil: now.Add(leaseDuration(a)), Since: now}
	isNew := old == nil || old.Incarnation < a.Incarnation
	if h, ok := t.holds[a.ID]; ok {
		u.Held = h.appliesTo(a)
	}
	if !isNew {
		u.Since, u.Load, u.LoadAt, u.Draining = old.Since, old.Load, old.LoadAt, old.Draining
	}
	if old == nil || !sameLists(old, u) {
		t.rebuild = true
	}
	t.storeUpdated(u)
	return isNew
}

// sameLists reports whether two versions of an upstream belong to the same lists of a View.
func sameLists(a, b *Upstream) bool {
	return a.DataCentre == b.DataCentre && slices.Equal(a.Services, b.Services) && slices.Equal(a.Models, b.Models)
}

func leaseDuration(a upapi.Announce) time.Duration {
	return time.Duration(a.LeaseMS) * time.Millisecond
}

// Renew extends a lease and reports whether the incarnation is known.
func (t *Table) Renew(now time.Time, r upapi.Renew) bool {
	return t.update(r.ID, r.Incarnation, func(u *Upstream) { u.LeaseUntil = now.Add(leaseDuration(u.Announce)) })
}

// Leave marks an upstream as leaving and reports whether the incarnation is known.
func (t *Table) Leave(r upapi.Renew) bool {
	return t.update(r.ID, r.Incarnation, func(u *Upstream) { u.Leaving = true })
}

// SetDraining sets or clears the draining flag of an upstream and reports whether the incarnation is known.
func (t *Table) SetDraining(id string, incarnation uint64, draining bool) bool {
	return t.update(id, incarnation, func(u *Upstream) { u.Draining = draining })
}

// Report applies a load report unless a newer one is known, and reports whether the incarnation is known.
func (t *Table) Report(now time.Time, l upapi.Load) bool {
	at := now.Add(-time.Duration(l.AgeMS) * time.Millisecond)
	return t.update(l.ID, l.Incarnation, func(u *Upstream) {
		if at.After(u.LoadAt) {
			u.Load, u.LoadAt = l, at
		}
	})
}

// update applies f to an upstream and reports whether the incarnation is known.
func (t *Table) update(id string, incarnation uint64, f func(*Upstream)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.byID[id]
	if old == nil || old.Incarnation != incarnation {
		return false
	}
	// A version created since the last publication is not in any View yet, so it is modified in place.
	u := t.patched[id]
	if u == nil {
		c := *old
		u = &c
	}
	f(u)
	t.storeUpdated(u)
	return true
}

// storeUpdated stores a new version of an upstream for the next publication. The caller holds t.mu.
func (t *Table) storeUpdated(u *Upstream) {
	t.byID[u.ID] = u
	t.patched[u.ID] = u
	t.stale.Store(true)
}

// ExpiredRetention is how long an expired upstream stays in the table. Its incarnation is kept for that time, so a late
// message of an old incarnation cannot re-add it.
const ExpiredRetention = 10 * time.Minute

// Expired returns the upstreams whose lease expired after since and no later than now, and removes those that expired more
// than ExpiredRetention ago. It also removes obsolete holds.
func (t *Table) Expired(since, now time.Time) []*Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*Upstream
	for id, u := range t.byID {
		if u.LeaseUntil.After(since) && !u.LeaseUntil.After(now) {
			// Copied because a change before the next publication modifies the version in the table in place.
			c := *u
			out = append(out, &c)
		}
		if now.Sub(u.LeaseUntil) > ExpiredRetention {
			delete(t.byID, id)
			delete(t.patched, id)
			t.cache.removeEngine(id)
			t.rebuild = true
			t.stale.Store(true)
		}
	}
	t.removeObsoleteHolds(now)
	slices.SortFunc(out, byID)
	return out
}

func byID(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) }

// publish makes all changes since the last publication visible. The caller holds t.mu.
func (t *Table) publish() {
	old := t.view.Load()
	if old == nil || t.rebuild {
		t.view.Store(t.build())
	} else {
		t.view.Store(t.patch(old))
	}
	t.rebuild = false
	clear(t.patched)
	t.stale.Store(false)
}

// build returns a view built from all upstreams in the table.
func (t *Table) build() *View {
	v := &View{
		All:          make([]*Upstream, 0, len(t.byID)),
		pools:        map[string][]*Upstream{},
		byDataCentre: map[poolKey][]*Upstream{},
		hashes:       poolHashes{pools: map[string][]uint64{}, byDataCentre: map[poolKey][]uint64{}},
		summaries:    t.summaryLists(),
		cache:        t.cache,
	}
	for _, u := range t.byID {
		v.All = append(v.All, u)
	}
	slices.SortFunc(v.All, byID)
	for _, u := range v.All {
		hash := xxhash.Sum64String(u.ID)
		eachPool(u, func(name string) {
			v.pools[name] = append(v.pools[name], u)
			v.hashes.pools[name] = append(v.hashes.pools[name], hash)
			p := poolKey{name, u.DataCentre}
			v.byDataCentre[p] = append(v.byDataCentre[p], u)
			v.hashes.byDataCentre[p] = append(v.hashes.byDataCentre[p], hash)
		})
	}
	return v
}

// patch returns a copy of a view in which the changed upstreams are replaced. Lists without a changed upstream are shared.
func (t *Table) patch(old *View) *View {
	v := &View{
		All:          slices.Clone(old.All),
		pools:        make(map[string][]*Upstream, len(old.pools)),
		byDataCentre: make(map[poolKey][]*Upstream, len(old.byDataCentre)),
		hashes:       old.hashes,
		summaries:    t.summaryLists(),
		cache:        t.cache,
	}
	for id, u := range t.patched {
		replace(v.All, id, u)
		eachPool(u, func(name string) {
			cloneListOnce(v.pools, old.pools, name)
			replace(v.pools[name], id, u)
			p := poolKey{name, u.DataCentre}
			cloneListOnce(v.byDataCentre, old.byDataCentre, p)
			replace(v.byDataCentre[p], id, u)
		})
	}
	shareUnchanged(v.pools, old.pools)
	shareUnchanged(v.byDataCentre, old.byDataCentre)
	return v
}

// eachPool calls f with the name of each service and model that an upstream offers.
func eachPool(u *Upstream, f func(name string)) {
	for _, name := range u.Services {
		f(name)
	}
	for _, name := range u.Models {
		f(name)
	}
}

func replace(list []*Upstream, id string, u *Upstream) {
	if i, ok := search(list, id); ok {
		list[i] = u
	}
}

// cloneListOnce copies the list of a key unless it was copied before.
func cloneListOnce[K comparable](to, from map[K][]*Upstream, key K) {
	if _, ok := to[key]; !ok {
		to[key] = slices.Clone(from[key])
	}
}

// shareUnchanged adds the lists that were not copied, without copying them.
func shareUnchanged[K comparable](to, from map[K][]*Upstream) {
	for key, list := range from {
		if _, ok := to[key]; !ok {
			to[key] = list
		}
	}
}
