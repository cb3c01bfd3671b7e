// Package feed keeps an entry node up to date: it asks control nodes for the configuration, the upstreams and the other
// entry nodes, and reports the entry node to them with each question.
//
// One control node, the nearest that is sure of the group's leader, is asked often; the others are asked in turn, so that
// what only one of them knows arrives as well, and so that the loss of any of them changes nothing.
//
// Usage:
//
//	f := feed.New(feed.Options{Self: entry, Seeds: seeds, Hub: hub, Dialect: d, ...})
//	view := f.View() // immutable
//	f.SetReady(false)
//	f.Close()
package feed

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/blame"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/lingo"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/state/vdoc"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Ask is the question of an entry node.
type Ask struct {
	Entry   roster.Entry `cbor:"1,keyasint"`
	Epoch   uint64       `cbor:"2,keyasint,omitempty"` // of the control node's last answer
	Seen    uint64       `cbor:"3,keyasint,omitempty"` // version of its last Delta
	Version uint64       `cbor:"4,keyasint,omitempty"` // of the configuration in force here
	// Crashes are this node's notes of contents that crashed upstreams, those that the control node may not have.
	Crashes      []blame.Record `cbor:"5,keyasint,omitempty"`
	SuspectsSeen uint64         `cbor:"6,keyasint,omitempty"` // version of the last Suspects
}

// Tell is the answer.
type Tell struct {
	Epoch    uint64         `cbor:"1,keyasint"`
	Sure     bool           `cbor:"2,keyasint"` // the control node knows the leader of its group
	Delta    roster.Delta   `cbor:"3,keyasint"`
	Document *vdoc.Document `cbor:"4,keyasint,omitempty"` // a newer configuration
	Control  []string       `cbor:"5,keyasint,omitempty"` // peer addresses of the other control nodes
	// Suspects are contents that crashed upstreams and changed since the version of the question.
	Suspects        []blame.Record `cbor:"6,keyasint,omitempty"`
	SuspectsVersion uint64         `cbor:"7,keyasint,omitempty"`
}

// Options configure a Feed.
type Options struct {
	Self    roster.Entry // Started and Report are set by the feed
	Seeds   func() []string
	Dialect *lingo.Dialect
	Clock   clock.Clock
	Events  *event.Log
	Hub     *peer.Hub
	Blame   *blame.Board
	// Changed is called after each change of the view. It must not block, and may call View and SetReady only.
	Changed func(*View)
}

// Times of the feed. All control nodes are asked once in roundEvery, however many there are.
const (
	primaryEvery = 250 * time.Millisecond
	roundEvery   = 1200 * time.Millisecond
	askTimeout   = 800 * time.Millisecond
	lostAfter    = 2 * time.Second
	unsureAfter  = 2 * time.Second // longer than an election takes
	forgetAfter  = 60 * time.Second
	maxControl   = 32
)

// View is what an entry node knows. It does not change.
type View struct {
	Table    *conf.Table // nil before the first configuration
	Services map[string][]roster.Upstream
	Entries  []roster.Entry // that report themselves ready or not, sorted by name
}

// Feed is a running feed.
type Feed struct {
	o      Options
	view   atomic.Pointer[View]
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{}
	ready  atomic.Bool

	mu        sync.Mutex
	report    int64
	started   time.Time
	table     *conf.Table
	version   uint64
	upstreams map[string]*known
	entries   map[string]*knownEntry
	sources   map[string]*source // by peer address
	answered  time.Time
	asked     time.Time     // when the latest question that was answered was asked
	news      chan struct{} // closed with each answer
	lost      bool
}

type known struct {
	roster.Upstream
	told     time.Time
	silentAt map[string]bool // control nodes that do not hear it, by address
	logged   standing
}

type knownEntry struct {
	roster.Entry
	heard time.Time
}

// source is a control node.
type source struct {
	address string
	epoch   uint64
	seen    uint64
	sure    bool
	took    time.Duration // of the last answer
	failed  int           // questions without an answer in a row
	asking  bool
	asked   time.Time
	heard   time.Time // when it last answered
	crashes uint64    // version of the own notes of crashes that it has
	blame   uint64    // version of the last Suspects
}

// New starts a feed.
func New(o Options) *Feed {
	f := &Feed{
		o: o, started: o.Clock.Now(), upstreams: map[string]*known{}, entries: map[string]*knownEntry{},
		sources: map[string]*source{}, wake: make(chan struct{}, 1), answered: o.Clock.Now(),
		news: make(chan struct{}),
	}
	f.view.Store(&View{Services: map[string][]roster.Upstream{}})
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.wg.Go(f.run)
	return f
}

// Close ends the feed.
func (f *Feed) Close() {
	f.cancel()
	f.wg.Wait()
}

// View returns the present knowledge.
func (f *Feed) View() *View { return f.view.Load() }

// SetReady says whether this node takes new callers. The control nodes are told at once.
func (f *Feed) SetReady(ready bool) {
	if f.ready.Swap(ready) != ready {
		f.AskNow()
	}
}

// AskNow asks, and so tells, all control nodes at once.
func (f *Feed) AskNow() {
	select {
	case f.wake <- struct{}{}:
	default: // a wake is planned already
	}
}

// consultAge is the age up to which an answer counts as news. It bounds the questions ahead of time.
const consultAge = 100 * time.Millisecond

// Consult returns when a control node has answered a question that was asked a moment ago, or after the context's end.
func (f *Feed) Consult(ctx context.Context) {
	since := f.o.Clock.Now().Add(-consultAge)
	asked := false
	for {
		f.mu.Lock()
		fresh, news := f.asked.After(since), f.news
		f.mu.Unlock()
		if fresh {
			return
		}
		if !asked {
			asked = true
			f.AskNow()
		}
		select {
		case <-news:
		case <-ctx.Done():
			return
		}
	}
}

const tickEvery = 50 * time.Millisecond

func (f *Feed) run() {
	tick := f.o.Clock.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			tick.Reset(tickEvery)
		case <-f.wake:
			f.askAllNext()
		case <-f.ctx.Done():
			return
		}
		f.askDue(f.o.Clock.Now())
	}
}

// askAllNext makes a question to each control node due.
func (f *Feed) askAllNext() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sources {
		s.asked = time.Time{}
	}
}

// askDue starts the questions that are due.
func (f *Feed) askDue(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.o.Seeds() {
		f.addSource(a)
	}
	primary := f.primary()
	for _, s := range f.sources {
		if !s.asking && now.Sub(s.asked) >= f.every(primary, s) {
			s.asking, s.asked = true, now
			f.wg.Go(func() { f.ask(s) })
		}
	}
	if !f.lost && now.Sub(f.answered) > lostAfter {
		f.lost = true
		f.o.Events.Emit(event.ControlLost, event.F("age_ms", now.Sub(f.answered).Milliseconds()), event.F("control", len(f.sources)))
	}
}

// every is the time between two questions to a control node.
func (f *Feed) every(primary, s *source) time.Duration {
	if s == primary || f.table == nil {
		return primaryEvery
	}
	return roundEvery
}

func (f *Feed) addSource(address string) {
	if address != "" && f.sources[address] == nil && len(f.sources) < maxControl {
		f.sources[address] = &source{address: address}
	}
}

// primary returns the control node that answers fastest among those that are sure; nil if none is.
func (f *Feed) primary() *source {
	var best *source
	for _, s := range f.sources {
		if !s.sure || s.failed > 0 {
			continue
		}
		if best == nil || s.took < best.took || s.took == best.took && s.address < best.address {
			best = s
		}
	}
	return best
}

func (f *Feed) ask(s *source) {
	f.mu.Lock()
	f.report++
	q := Ask{Entry: f.o.Self, Epoch: s.epoch, Seen: s.seen, Version: f.version}
	q.Entry.Started, q.Entry.Report, q.Entry.Ready = f.started.UnixNano(), f.report, f.ready.Load()
	q.SuspectsSeen = s.blame
	told := s.crashes
	f.mu.Unlock()
	q.Crashes, told = f.o.Blame.Own(f.o.Clock.Now(), told)
	body, err := cbor.Marshal(q)
	if err != nil { // the question holds plain values only
		panic(err)
	}
	ctx, cancel := context.WithTimeout(f.ctx, askTimeout)
	defer cancel()
	began := f.o.Clock.Now()
	reply, err := f.o.Hub.Call(ctx, s.address, peer.KindFollow, body)
	var tell Tell
	if err == nil {
		err = cbor.Unmarshal(reply, &tell)
	}
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	s.asking = false
	if err != nil {
		f.failed(s)
		return
	}
	s.failed, s.sure, s.heard = 0, tell.Sure, now
	s.crashes = told
	if s.epoch != tell.Epoch && s.epoch != 0 {
		s.crashes = 0 // it restarted, and has forgotten what it was told
	}
	// A moving average, so that one slow answer does not change the primary node.
	if took := now.Sub(began); s.took == 0 {
		s.took = took
	} else {
		s.took += (took - s.took) / 8
	}
	f.take(now, s, tell)
	if began.After(f.asked) {
		f.asked = began
	}
	close(f.news)
	f.news = make(chan struct{})
}

// failed counts a question without an answer. A node that is not a seed and does not answer for long is forgotten.
func (f *Feed) failed(s *source) {
	s.failed++
	if s.failed > maxFailed && !slices.Contains(f.o.Seeds(), s.address) {
		delete(f.sources, s.address)
	}
}

// maxFailed is the number of rounds after which a control node counts as removed.
const maxFailed = 20

func (f *Feed) take(now time.Time, s *source, tell Tell) {
	f.answered = now
	if f.lost {
		f.lost = false
		f.o.Events.Emit(event.ControlFound, event.F("control", s.address))
	}
	s.epoch, s.seen = tell.Epoch, tell.Delta.Version
	for _, a := range tell.Control {
		f.addSource(a)
	}
	if len(tell.Suspects) > 0 {
		for _, c := range f.o.Blame.Merge(now, tell.Suspects) {
			f.o.Events.Emit(event.ContentBlocked, event.F("content", c), event.F("peer", s.address))
		}
	}
	s.blame = tell.SuspectsVersion
	changed := f.takeDelta(now, tell.Delta, s.address, tell.Sure)
	if tell.Document != nil && tell.Document.Version > f.version && f.trusts(now, tell) {
		changed = f.takeDocument(tell.Document, s.address) || changed
	}
	if changed {
		f.publish(now)
	}
}

// trusts reports whether the first configuration may come from a control node. One that knows no leader may lack what the
// group acknowledged before both restarted; its configuration is used if no other comes soon.
func (f *Feed) trusts(now time.Time, tell Tell) bool {
	return f.table != nil || tell.Sure || now.Sub(f.started) >= unsureAfter
}

// takeDocument puts a configuration in force. It was checked before the group took it.
func (f *Feed) takeDocument(d *vdoc.Document, from string) bool {
	cfg, err := f.o.Dialect.DecodeConfig(d.Body)
	if err != nil {
		f.o.Events.Emit(event.ConfigRejected, event.F("revision", d.Version), event.F("peer", from), event.F("reason", err))
		return false
	}
	f.table, f.version = conf.NewTable(cfg), d.Version
	f.o.Events.Emit(event.ConfigInForce, event.F("revision", d.Version))
	return true
}

func (f *Feed) takeDelta(now time.Time, d roster.Delta, from string, sure bool) bool {
	changed := false
	for _, u := range d.Upstreams {
		have := f.upstreams[u.ID]
		if have != nil && !replaces(u, have.Upstream) {
			delete(have.silentAt, from) // it speaks of an older start or heartbeat
			continue
		}
		next := &known{Upstream: u, told: now, silentAt: map[string]bool{}}
		if have != nil {
			next.logged = have.logged
			if have.Born == u.Born {
				next.silentAt = have.silentAt
			}
		}
		delete(next.silentAt, from)
		if u.Silent {
			next.silentAt[from] = true
		}
		next.Age, next.Silent = 0, false
		if have == nil || have.Upstream != next.Upstream || u.Silent || len(next.silentAt) > 0 {
			changed = true
		}
		f.upstreams[u.ID] = next
	}
	for _, e := range d.Entries {
		if !sure && !e.Ready {
			continue // a control node that is cut off takes the others for gone
		}
		heard := now.Add(-time.Duration(e.Age) * time.Millisecond)
		e.Age = 0
		have := f.entries[e.Node]
		if have != nil && (e.Started < have.Started || e.Started == have.Started && e.Report < have.Report) {
			continue
		}
		f.entries[e.Node] = &knownEntry{e, heard}
		changed = true
	}
	for id, u := range f.upstreams {
		if (len(u.silentAt) > 0 || u.State == roster.Gone) && now.Sub(u.told) > forgetAfter {
			delete(f.upstreams, id)
			changed = true
		}
	}
	return changed
}

// replaces reports whether a control node's record is at least as new as the one held.
func replaces(u, have roster.Upstream) bool {
	if u.Born != have.Born {
		return u.Born > have.Born
	}
	if have.State == roster.Gone {
		return false
	}
	return u.State == roster.Gone || u.Sequence >= have.Sequence
}

// silent reports whether no control node that answers hears an upstream. While control nodes are cut off from each other, each
// upstream reports to one side only.
func (f *Feed) silent(now time.Time, u *known) bool {
	if len(u.silentAt) == 0 {
		return false
	}
	for _, s := range f.sources {
		if now.Sub(s.heard) < lostAfter && !u.silentAt[s.address] {
			return false
		}
	}
	return true
}

// standing is what matters to a request of an upstream's record.
type standing struct {
	born   int64
	state  roster.State
	silent bool
}

func seenAs(u roster.Upstream) standing { return standing{u.Born, u.State, u.Silent} }

// LogUpstream writes a line when a node begins to see an upstream in another way.
func LogUpstream(log *event.Log, u roster.Upstream) {
	switch {
	case u.State != roster.Ready:
		log.Emit(event.UpstreamLeaving, event.F("upstream", u.ID))
	case u.Silent:
		log.Emit(event.UpstreamExpired, event.F("upstream", u.ID))
	default:
		log.Emit(event.UpstreamAnnounced, event.F("upstream", u.ID), event.F("kind", u.Service), event.F("address", u.Address))
	}
}

func (f *Feed) publish(now time.Time) {
	v := &View{Table: f.table, Services: map[string][]roster.Upstream{}}
	for _, u := range f.upstreams {
		out := u.Upstream
		out.Silent = f.silent(now, u)
		if now := seenAs(out); now != u.logged {
			u.logged = now
			LogUpstream(f.o.Events, out)
		}
		if u.State != roster.Gone {
			v.Services[u.Service] = append(v.Services[u.Service], out)
		}
	}
	for _, list := range v.Services {
		slices.SortFunc(list, func(a, b roster.Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	for id, e := range f.entries {
		if now.Sub(e.heard) > forgetAfter {
			delete(f.entries, id)
			continue
		}
		v.Entries = append(v.Entries, e.Entry)
	}
	slices.SortFunc(v.Entries, func(a, b roster.Entry) int { return strings.Compare(a.Node, b.Node) })
	f.view.Store(v)
	if f.o.Changed != nil {
		f.o.Changed(v)
	}
}
