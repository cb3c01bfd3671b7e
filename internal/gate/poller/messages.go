package poller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/base/pack"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Ask is the question of an entry node.
type Ask struct {
	// Entry is the entry node's report to the control node that it follows. Without it, and without Held, the answer tells
	// no records.
	Entry   *roster.Entry `cbor:"1,keyasint,omitempty"`
	Epoch   uint64        `cbor:"2,keyasint,omitempty"` // of the control node's last answer
	Seen    uint64        `cbor:"3,keyasint,omitempty"` // version of its last Delta
	Version uint64        `cbor:"4,keyasint,omitempty"` // of the configuration in force here
	// Crashes are this node's notes of contents that crashed upstreams, those that the control node may not have.
	Crashes      []deny.Record `cbor:"5,keyasint,omitempty"`
	SuspectsSeen uint64        `cbor:"6,keyasint,omitempty"` // version of the last Suspects
	Held         bool          `cbor:"7,keyasint,omitempty"` // asks for the records that the control node hears itself
	Control      uint64        `cbor:"8,keyasint,omitempty"` // ControlSum of the addresses known here
	Text         *Want         `cbor:"9,keyasint,omitempty"` // asks for a newer configuration
}

// Tell is the answer.
type Tell struct {
	Epoch   uint64       `cbor:"1,keyasint"`
	Sure    bool         `cbor:"2,keyasint"` // the control node has all that was acknowledged before its group's leader was elected
	Delta   roster.Delta `cbor:"3,keyasint"`
	Version uint64       `cbor:"4,keyasint,omitempty"` // of the control node's configuration
	Control []string     `cbor:"5,keyasint,omitempty"` // peer addresses of all control nodes, if the question's sum differs
	// Suspects are contents that crashed upstreams and changed since the version of the question.
	Suspects        []deny.Record         `cbor:"6,keyasint,omitempty"`
	SuspectsVersion uint64                `cbor:"7,keyasint,omitempty"`
	Place           Place                 `cbor:"8,keyasint"`           // of the control node
	Apart           []roster.SyncPosition `cbor:"9,keyasint,omitempty"` // control nodes that it does not hear, and what it has of them
	Text            *Piece                `cbor:"10,keyasint,omitempty"`
	Packed          []byte                `cbor:"11,keyasint,omitempty"` // a compressed Delta, in place of Delta
}

// Place is where a process runs.
type Place struct {
	DataCentre string `cbor:"1,keyasint,omitempty"`
	Region     string `cbor:"2,keyasint,omitempty"`
}

// packFrom is the number of records from which a Delta is compressed.
const packFrom = 16

// Encode returns an answer as it is sent.
func (t Tell) Encode() ([]byte, error) {
	if len(t.Delta.Upstreams)+len(t.Delta.Entries) >= packFrom {
		delta, err := cbor.Marshal(t.Delta)
		if err != nil {
			return nil, err
		}
		t.Packed, t.Delta = pack.Compress(delta, nil), roster.Delta{}
	}
	return cbor.Marshal(t)
}

// DecodeTell reads what Encode returned.
func DecodeTell(body []byte) (Tell, error) {
	var t Tell
	if err := cbor.Unmarshal(body, &t); err != nil || len(t.Packed) == 0 {
		return t, err
	}
	delta, err := pack.Expand(t.Packed, nil, pack.MostBytes)
	if err != nil {
		return t, err
	}
	return t, cbor.Unmarshal(delta, &t.Delta)
}

// ControlSum identifies a set of addresses, in any order.
func ControlSum(addresses []string) uint64 {
	sum := uint64(0)
	for _, a := range addresses {
		sum += xxhash.Sum64String(a)
	}
	return sum
}

// Bounds of a question.
const (
	askTimeout  = 800 * time.Millisecond
	mostTimeout = 3 * time.Second // after failures, since a slow link may be the cause
)

// follow asks a control node, and again while it has more to tell.
func (f *Feed) follow(s *source) {
	for f.ask(s) {
		continue
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.asking = false
}

// ask asks once, and reports whether the next question should follow at once.
func (f *Feed) ask(s *source) bool {
	f.mu.Lock()
	as, q := f.question(s)
	told, timeout := s.crashes, min(askTimeout*time.Duration(1+s.failed), mostTimeout)
	f.mu.Unlock()
	q.Crashes, told = f.o.Blame.LocalChanges(f.o.Clock.Now(), told)
	body, err := cbor.Marshal(q)
	if err != nil { // the question holds plain values only
		panic(err)
	}
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	defer cancel()
	began := f.o.Clock.Now()
	reply, err := f.o.Hub.Call(ctx, s.address, peer.KindFollow, body)
	var tell Tell
	if err == nil {
		tell, err = DecodeTell(reply)
	}
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.failed(s)
		return false
	}
	s.crashes = told
	if s.epoch != tell.Epoch && s.epoch != 0 {
		s.crashes = 0 // it restarted, and has forgotten what it was told
	}
	again := f.take(now, s, as, tell)
	if as == followAll {
		f.asked = clock.Later(f.asked, began)
		close(f.news)
		f.news = make(chan struct{})
	}
	return again && f.ctx.Err() == nil
}

// question returns what a control node is asked for now.
func (f *Feed) question(s *source) (duty, Ask) {
	primary := f.primary()
	as := f.duty(primary, s)
	q := Ask{Epoch: s.epoch, Version: f.version, SuspectsSeen: s.blame, Control: ControlSum(slices.Collect(maps.Keys(f.sources)))}
	switch as {
	case followAll:
		f.report++
		e := f.o.Self
		e.Started, e.ReportSequence, e.Ready = f.started.UnixNano(), f.report, f.ready.Load()
		q.Entry, q.Seen = &e, s.seen
	case followHeld:
		q.Held, q.Seen = true, s.held
		if known := f.apart[s.address]; s.held == 0 || known.Epoch != s.epoch {
			q.Epoch, q.Seen = known.Epoch, known.Version
		}
	case lookIn:
	}
	if as == followAll || s.sure && s.version > f.version && primary != nil && primary.version <= f.version {
		q.Text = f.text.want(s.address, f.version)
	}
	return as, q
}

// take takes an answer and reports whether there is more to ask for.
func (f *Feed) take(now time.Time, s *source, as duty, tell Tell) bool {
	f.answered = now
	if f.lost {
		f.lost = false
		f.o.Events.Emit(event.ControlFound, event.F("control", s.address))
	}
	if s.epoch != tell.Epoch {
		s.seen, s.held = 0, 0
	}
	seen := s.seen + s.held
	s.epoch, s.place, s.version, s.sure = tell.Epoch, tell.Place, tell.Version, tell.Sure
	s.failed, s.heard, s.told = 0, now, as
	f.newest.note(now, tell.Version, s.address)
	for _, a := range tell.Control {
		f.addSource(a)
	}
	if len(tell.Suspects) > 0 {
		for _, c := range f.o.Blame.Merge(now, tell.Suspects) {
			f.o.Events.Emit(event.ContentBlocked, event.F("content", c), event.F("peer", s.address))
		}
	}
	s.blame = tell.SuspectsVersion
	changed := f.takePage(now, s, as, tell)
	more := tell.Delta.More && s.seen+s.held > seen
	if tell.Text != nil && f.trusts(now, tell) {
		used, next := f.takePiece(s.address, tell.Text)
		changed, more = changed || used, more || next
	}
	if changed {
		f.publish(now)
	}
	return more
}

// takePage takes the records of an answer.
func (f *Feed) takePage(now time.Time, s *source, as duty, tell Tell) bool {
	switch as {
	case lookIn:
		return false
	case followHeld:
		s.held = tell.Delta.Version
		return f.takeDelta(now, tell.Delta, s.speaks(), tell.Sure)
	case followAll:
	}
	s.seen = tell.Delta.Version
	changed := f.setApart(tell.Apart)
	if tell.Delta.Full {
		s.pass = now
	}
	changed = f.takeDelta(now, tell.Delta, s.speaks(), tell.Sure) || changed
	if s.pass.IsZero() || tell.Delta.More {
		return changed
	}
	f.noteUntold(now, s.pass)
	s.pass = time.Time{}
	return changed
}

// setApart notes the control nodes that the primary does not hear, and reports whether they are others than before.
func (f *Feed) setApart(list []roster.SyncPosition) bool {
	if len(list) == 0 && len(f.apart) == 0 {
		return false
	}
	before := f.apart
	f.apart = map[string]roster.SyncPosition{}
	for _, k := range list {
		f.addSource(k.Address)
		f.apart[k.Address] = k
	}
	return !maps.Equal(before, f.apart)
}

// unsureAfter is how long a node without a configuration waits for a control node that is sure to have the newest one.
const unsureAfter = 5 * time.Second

// trusts reports whether the first configuration may come from a control node. One that is not sure may lack what the group
// acknowledged before both restarted; its configuration is used if no other comes for long, so that a fleet whose group is lost
// serves.
func (f *Feed) trusts(now time.Time, tell Tell) bool {
	if f.table != nil || tell.Sure {
		return true
	}
	for _, s := range f.sources {
		if s.sure && s.failed == 0 {
			return false
		}
	}
	return now.Sub(f.started) >= unsureAfter
}
