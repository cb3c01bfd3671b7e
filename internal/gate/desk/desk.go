// Package desk is what a control node does for a fleet that forwards requests: it takes configurations from operators and
// heartbeats from upstreams, tells callers which entry nodes to use, and keeps entry nodes up to date.
//
// Usage:
//
//	d := desk.New(desk.Options{Dialect: lingo.Own(), Member: member, Hub: hub, ...})
//	httpd.New(httpd.Options{Address: control}, d.ControlRoutes())
//	httpd.New(httpd.Options{Address: directory}, d.DirectoryRoutes())
//	reply, ok, err := d.Handle(ctx, kind, body) // from the peer hub
//	d.Close()
//
// # Acknowledgements
//
// A configuration is acknowledged once the control group has committed it, or has committed a higher version. That an
// upstream leaves is acknowledged once more than half of the group knows it: an entry node asks several control nodes, so
// it learns of it even if this one is cut off a moment later. Other heartbeats are acknowledged at once.
package desk

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/blame"
	"github.com/berylledge/berylledge/internal/gate/feed"
	"github.com/berylledge/berylledge/internal/gate/lingo"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/state/keep"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Options configure a Desk.
type Options struct {
	Dialect    *lingo.Dialect
	Clock      clock.Clock
	Events     *event.Log
	Member     *keep.Member
	Hub        *peer.Hub
	BeatTo     string        // own address for heartbeats, told to upstreams; empty: they choose
	BeatEvery  time.Duration // interval of heartbeats
	EntryValid time.Duration // how long callers may keep an answer
	BodyBytes  int64         // largest configuration
}

// Times of the desk.
const (
	syncEvery   = time.Second
	proposeWait = 900 * time.Millisecond // operators turn to another node after a second
	readWait    = 900 * time.Millisecond
	leaveWait   = 800 * time.Millisecond
	missedBeats = 4 // heartbeats that may be missed before an upstream counts as silent
	forgetAfter = 45 * time.Second
	entryAfter  = 2 * time.Second // without a report, an entry node is not given to callers
	statusEvery = 100 * time.Millisecond
)

// Desk is a running desk.
type Desk struct {
	o      Options
	epoch  uint64 // identifies this start, so that entry nodes notice a restart
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	blame *blame.Board

	mu       sync.Mutex
	board    *roster.Board
	lastSync time.Time

	statusMu sync.Mutex
	statusAt time.Time
	sure     bool
	others   []string
	voters   int
}

// New starts a desk.
func New(o Options) *Desk {
	d := &Desk{
		o: o, epoch: uint64(o.Clock.Now().UnixNano()), blame: blame.New(),
		board: roster.New(roster.Config{
			SilentAfter: missedBeats * o.BeatEvery, ForgetAfter: forgetAfter, EntryAfter: entryAfter,
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

// run tells the other control nodes what this one has heard, and marks silent upstreams.
func (d *Desk) run() {
	for clock.Sleep(d.ctx, d.o.Clock, syncEvery) == nil {
		now := d.o.Clock.Now()
		d.mu.Lock()
		batch := d.board.Heard(now, d.lastSync)
		d.lastSync = now
		d.board.Tick(now)
		d.mu.Unlock()
		if len(batch.Upstreams)+len(batch.Entries) > 0 {
			d.tellOthers(batch)
		}
	}
}

func encodeBatch(batch roster.Batch) []byte {
	body, err := cbor.Marshal(batch)
	if err != nil { // records hold plain values only
		panic(err)
	}
	return body
}

func (d *Desk) tellOthers(batch roster.Batch) {
	body := encodeBatch(batch)
	for _, address := range d.o.Member.Addresses() {
		d.o.Hub.Send(address, peer.KindRoster, body)
	}
}

// tellMost sends a batch to the other members and reports whether more than half of the group has it. The calls to the rest go
// on in the background.
func (d *Desk) tellMost(batch roster.Batch) bool {
	_, others, voters := d.status()
	need := voters / 2 // besides this one
	if need == 0 {
		return voters > 0
	}
	ctx, cancel := context.WithTimeout(d.ctx, leaveWait)
	body := encodeBatch(batch)
	acks := make(chan bool, len(others))
	var calls sync.WaitGroup
	for _, address := range others {
		calls.Go(func() {
			_, err := d.o.Hub.Call(ctx, address, peer.KindRoster, body)
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

// status returns whether this member knows a leader, the peer addresses of the other voters, and the number of voters.
func (d *Desk) status() (sure bool, others []string, voters int) {
	now := d.o.Clock.Now()
	d.statusMu.Lock()
	defer d.statusMu.Unlock()
	if now.Sub(d.statusAt) < statusEvery {
		return d.sure, d.others, d.voters
	}
	d.statusAt = now
	s, ok := d.o.Member.Status()
	d.sure, d.others, d.voters = ok && s.Raft.Leader != "" && s.Err == nil, nil, 0
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
		var batch roster.Batch
		if err = cbor.Unmarshal(body, &batch); err == nil {
			d.mu.Lock()
			d.board.Merge(d.o.Clock.Now(), batch)
			d.mu.Unlock()
		}
		return nil, true, err
	case peer.KindFollow:
		reply, err = d.follow(body)
		return reply, true, err
	case peer.KindMember, peer.KindSpread, peer.KindRelay, peer.KindRaft, peer.KindReply, peer.KindPropose, peer.KindEvents,
		peer.KindStatus, peer.KindQuery, peer.KindOperate, peer.KindCrash, peer.KindAskCrash, peer.KindAdmit, peer.KindPieces,
		peer.KindPlace:
	}
	return nil, false, nil
}

// follow answers an entry node.
func (d *Desk) follow(body []byte) ([]byte, error) {
	var ask feed.Ask
	if err := cbor.Unmarshal(body, &ask); err != nil {
		return nil, err
	}
	sure, _, _ := d.status()
	tell := feed.Tell{Epoch: d.epoch, Sure: sure, Control: d.o.Member.Addresses()}
	if ask.Epoch != d.epoch {
		ask.Seen, ask.SuspectsSeen = 0, 0
	}
	now := d.o.Clock.Now()
	for _, c := range d.blame.Merge(now, ask.Crashes) {
		d.o.Events.Emit(event.ContentBlocked, event.F("content", c), event.F("peer", ask.Entry.Node))
	}
	tell.Suspects, tell.SuspectsVersion = d.blame.Suspects(now, ask.SuspectsSeen)
	d.mu.Lock()
	changed := d.board.Report(now, ask.Entry)
	tell.Delta = d.board.Since(now, ask.Seen)
	d.mu.Unlock()
	if changed {
		d.tellOthers(roster.Batch{Entries: []roster.Entry{ask.Entry}})
	}
	if doc := d.o.Member.Latest(); doc.Version > ask.Version {
		tell.Document = &doc
	}
	return cbor.Marshal(tell)
}

// Upstreams returns the number of registered upstreams by state, for metrics.
func (d *Desk) Upstreams() map[roster.State]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[roster.State]int{}
	for _, u := range d.board.All(d.o.Clock.Now()).Upstreams {
		out[u.State]++
	}
	return out
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
