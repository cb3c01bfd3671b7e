// Package ctlsrv is what a control node does for a fleet that forwards requests: it takes configurations from operators and
// heartbeats from upstreams, tells callers which entry nodes to use, and keeps entry nodes up to date.
//
// Usage:
//
//	d := ctlsrv.New(ctlsrv.Options{Dialect: proto.Own(), Member: member, Hub: hub, ...})
//	httpd.New(httpd.Options{Address: control}, d.ControlRoutes())
//	httpd.New(httpd.Options{Address: directory}, d.DirectoryRoutes())
//	reply, ok, err := d.Handle(ctx, kind, body) // from the peer hub
//	d.Close()
//
// # What control nodes tell each other
//
// A control node tells the others what it hears itself: changes within shareEvery, and an empty Share each syncEvery, which renews
// all records that it holds (package roster). One that misses a Share asks its sender for all that it holds.
//
// # Acknowledgements
//
// A configuration is acknowledged once the control group has committed it, or has committed a higher version. That an
// upstream leaves is acknowledged once more than half of the group knows it: an entry node asks several control nodes, so
// it learns of it even if this one is cut off a moment later. Other heartbeats are acknowledged at once.
package ctlsrv

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/state/quorum"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Options configure a Desk.
type Options struct {
	Dialect    *proto.Dialect
	Clock      clock.Clock
	Events     *event.Log
	Member     *quorum.Member
	Hub        *peer.Hub
	BeatTo     string        // own address for heartbeats, told to upstreams; empty: they choose
	BeatEvery  time.Duration // interval of heartbeats
	EntryValid time.Duration // how long callers may keep an answer
	Address    string        // own peer address, as other control nodes know it
	Place      poller.Place  // of this node
}

// Times of the desk.
const (
	syncEvery   = time.Second
	shareEvery  = 100 * time.Millisecond
	apartAfter  = 2500 * time.Millisecond // two lost Shares in a row are no cut
	heldWait    = 2 * time.Second
	proposeWait = 900 * time.Millisecond // operators turn to another node after a second
	readWait    = 900 * time.Millisecond
	leaveWait   = 800 * time.Millisecond
	missedBeats = 4 // heartbeats that may be missed before an upstream counts as silent
	forgetAfter = 45 * time.Second
	entryAfter  = 2 * time.Second // without a report, an entry node is not given to callers
	holderGrace = 2 * time.Second // longer than an entry node takes to turn to another control node
	statusEvery = 100 * time.Millisecond
)

// maxRecords bounds the records of one answer to an entry node, some 25 kB.
const maxRecords = 256

// Desk is a running desk.
type Desk struct {
	o      Options
	epoch  uint64 // identifies this start, so that entry nodes notice a restart
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	blame *deny.Board

	texts texts

	mu     sync.Mutex
	board  *roster.Registry
	shared uint64          // version of the board up to which the others were told
	asking map[string]bool // control nodes that are asked for all that they hold, by address

	statusMu sync.Mutex
	statusAt time.Time
	sure     bool
	others   []string
	voters   int
}

// New starts a desk.
func New(o Options) *Desk {
	epoch := uint64(o.Clock.Now().UnixNano())
	d := &Desk{
		o: o, epoch: epoch, blame: deny.New(), asking: map[string]bool{},
		board: roster.New(roster.Config{
			Self: o.Address, Epoch: epoch, SilentAfter: missedBeats * o.BeatEvery, ForgetAfter: forgetAfter, EntryTimeout: entryAfter,
			OwnerGrace: holderGrace,
		}),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.wg.Go(d.run)
	return d
}

// Close ends the desk.
func (d *Desk) Close() {
	d.cancel()
	d.wg.Wait()
}

// run tells the other control nodes what this one hears, and marks silent upstreams.
func (d *Desk) run() {
	var synced time.Time
	for clock.Sleep(d.ctx, d.o.Clock, shareEvery) == nil {
		now := d.o.Clock.Now()
		due := now.Sub(synced) >= syncEvery
		if due {
			synced = now
		}
		d.share(now, due)
	}
}

// share tells the others what changed; always, if it is due.
func (d *Desk) share(now time.Time, due bool) {
	if s, any := d.news(now, due); any || due {
		d.tellOthers(shared{Share: s})
	}
}

// news returns what the others were not told yet, and whether there is anything. After it, they count as told if so, or if it is due.
func (d *Desk) news(now time.Time, due bool) (roster.SyncMessage, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if due {
		d.board.Tick(now)
	} else if d.board.Version() == d.shared {
		return roster.SyncMessage{}, false
	}
	s := d.board.SyncSince(now, d.shared)
	any := len(s.Upstreams)+len(s.Entries) > 0
	if any || due {
		d.shared = s.Version
	}
	return s, any
}

// shared is the message of KindRoster.
type shared struct {
	Share   roster.SyncMessage `cbor:"1,keyasint"`
	Crashes []deny.Record      `cbor:"2,keyasint,omitempty"` // notes of an entry node that this node has just taken
}

// leaving is the message of KindLeaving.
type leaving struct {
	From     string          `cbor:"1,keyasint"` // peer address
	Upstream roster.Upstream `cbor:"2,keyasint"`
}

func encode(v any) []byte {
	body, err := cbor.Marshal(v)
	if err != nil { // messages hold plain values only
		panic(err)
	}
	return body
}

func (d *Desk) tellOthers(m shared) {
	body := encode(m)
	for _, address := range d.o.Member.Addresses() {
		d.o.Hub.Send(address, peer.KindRoster, body)
	}
}

// tellMost tells the other members that an upstream leaves, and reports whether more than half of the group knows it. The calls
// to the rest go on in the background.
func (d *Desk) tellMost(u roster.Upstream) bool {
	_, others, voters := d.status()
	need := voters / 2 // besides this one
	if need == 0 {
		return voters > 0
	}
	ctx, cancel := context.WithTimeout(d.ctx, leaveWait)
	body := encode(leaving{d.o.Address, u})
	acks := make(chan bool, len(others))
	var calls sync.WaitGroup
	for _, address := range others {
		calls.Go(func() {
			_, err := d.o.Hub.Call(ctx, address, peer.KindLeaving, body)
			acks <- err == nil
		})
	}
	d.wg.Go(func() {
		calls.Wait()
		cancel()
	})
	for range others {
		if <-acks {
			need--
		}
		if need == 0 {
			return true
		}
	}
	return false
}

// status returns whether this member is sure of all that was acknowledged before its group's leader was elected, the peer
// addresses of the other voters, and the number of voters.
func (d *Desk) status() (sure bool, others []string, voters int) {
	now := d.o.Clock.Now()
	d.statusMu.Lock()
	defer d.statusMu.Unlock()
	if now.Sub(d.statusAt) < statusEvery {
		return d.sure, d.others, d.voters
	}
	d.statusAt = now
	s, ok := d.o.Member.Status()
	d.sure, d.others, d.voters = ok && s.Raft.Current && s.Err == nil, nil, 0
	for _, m := range s.Raft.Members {
		if m.Learner {
			continue
		}
		d.voters++
		if m.ID != s.Raft.ID {
			d.others = append(d.others, m.Address)
		}
	}
	return d.sure, d.others, d.voters
}

// Handle takes a message of another process; ok is false if its kind does not belong to this package.
func (d *Desk) Handle(_ context.Context, kind peer.Kind, body []byte) (reply []byte, ok bool, err error) {
	switch kind {
	case peer.KindRoster:
		return nil, true, d.takeShare(body)
	case peer.KindHeld:
		return encode(shared{Share: d.held()}), true, nil
	case peer.KindLeaving:
		return nil, true, d.takeLeaving(body)
	case peer.KindFollow:
		reply, err = d.follow(body)
		return reply, true, err
	case peer.KindMember, peer.KindSpread, peer.KindRelay, peer.KindRaft, peer.KindReply, peer.KindPropose, peer.KindEvents,
		peer.KindStatus, peer.KindQuery, peer.KindOperate, peer.KindCrash, peer.KindAskCrash, peer.KindAdmit, peer.KindPieces,
		peer.KindPlace:
	}
	return nil, false, nil
}

// takeShare takes what another control node tells, and asks it for all that it holds if something is missing.
func (d *Desk) takeShare(body []byte) error {
	var m shared
	if err := cbor.Unmarshal(body, &m); err != nil {
		d.o.Events.Emit(event.PeerMessageRefused, event.F("peer", "control"), event.F("reason", err))
		return err
	}
	now := d.o.Clock.Now()
	d.noteCrashes(now, m.Crashes, m.Share.From)
	if m.Share.From == "" {
		return nil
	}
	if d.take(now, m.Share) {
		d.wg.Go(func() { d.askHeld(m.Share.From) })
	}
	return nil
}

// take merges a Share and reports whether its sender must be asked for all that it holds. It is asked once at a time.
func (d *Desk) take(now time.Time, s roster.SyncMessage) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.board.ApplySync(now, s) || d.asking[s.From] {
		return false
	}
	d.asking[s.From] = true
	return true
}

// held returns all that this node hears itself.
func (d *Desk) held() roster.SyncMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.board.SyncSince(d.o.Clock.Now(), 0)
}

// askHeld asks a control node for all that it holds. Without an answer the next Share leads here again.
func (d *Desk) askHeld(address string) {
	ctx, cancel := context.WithTimeout(d.ctx, heldWait)
	defer cancel()
	reply, err := d.o.Hub.Call(ctx, address, peer.KindHeld, nil)
	var m shared
	if err == nil {
		err = cbor.Unmarshal(reply, &m)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.asking, address)
	if err == nil {
		d.board.ApplySync(d.o.Clock.Now(), m.Share)
	}
}

func (d *Desk) takeLeaving(body []byte) error {
	var m leaving
	if err := cbor.Unmarshal(body, &m); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.board.Merge(d.o.Clock.Now(), m.From, roster.Batch{Upstreams: []roster.Upstream{m.Upstream}})
	return nil
}

func (d *Desk) noteCrashes(now time.Time, notes []deny.Record, from string) {
	for _, c := range d.blame.Merge(now, notes) {
		d.o.Events.Emit(event.ContentBlocked, event.F("content", c), event.F("peer", from))
	}
}

// follow answers an entry node.
func (d *Desk) follow(body []byte) ([]byte, error) {
	var ask poller.Ask
	if err := cbor.Unmarshal(body, &ask); err != nil {
		return nil, err
	}
	sure, _, _ := d.status()
	control := d.o.Member.Addresses()
	latest := d.o.Member.Latest()
	tell := poller.Tell{Epoch: d.epoch, Sure: sure, Version: latest.Version, Place: d.o.Place}
	if poller.ControlSum(append(control, d.o.Address)) != ask.Control {
		tell.Control = append(control, d.o.Address)
	}
	if ask.Epoch != d.epoch {
		ask.Seen, ask.SuspectsSeen = 0, 0
	}
	now := d.o.Clock.Now()
	if len(ask.Crashes) > 0 {
		d.noteCrashes(now, ask.Crashes, "entry")
		if ask.Entry != nil {
			d.tellOthers(shared{Crashes: ask.Crashes})
		}
	}
	tell.Suspects, tell.SuspectsVersion = d.blame.Suspects(now, ask.SuspectsSeen)
	tell.Delta, tell.Apart = d.records(now, &ask, control)
	if ask.Text != nil {
		tell.Text = d.texts.piece(latest, ask.Version, *ask.Text)
	}
	return tell.Encode()
}

// records returns the records that a question asks for, and to an entry node that follows this node the control nodes that it does
// not hear.
func (d *Desk) records(now time.Time, ask *poller.Ask, control []string) (roster.Delta, []roster.SyncPosition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case ask.Entry != nil:
		d.board.ReportEntry(now, *ask.Entry)
		return d.board.ChangesSince(now, ask.Seen, maxRecords), d.board.UnreachablePeers(now, control, apartAfter)
	case ask.Held:
		return d.board.OwnedChangesSince(now, ask.Seen, maxRecords), nil
	}
	return roster.Delta{}, nil
}

// Upstreams returns the number of registered upstreams by state, for metrics.
func (d *Desk) Upstreams() map[roster.State]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.board.CountByState()
}

// Suspects returns the number of contents that entry nodes reported after a crash, for metrics.
func (d *Desk) Suspects() int { return d.blame.Len() }

func plain(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // the caller is gone; it asks again
}

func jsonBody(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // the caller is gone; it asks again
}
