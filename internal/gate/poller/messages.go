package poller

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/base/pack"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/gate/evac"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Query is the question of an entry node.
type Query struct {
	// Entry is the entry node's report to the control node that it follows. Without it, and without Held, the answer tells
	// no records.
	Entry   *roster.Entry `cbor:"1,keyasint,omitempty"`
	Epoch   uint64        `cbor:"2,keyasint,omitempty"` // of the control node's last answer
	Seen    uint64        `cbor:"3,keyasint,omitempty"` // version of its last Delta
	Version uint64        `cbor:"4,keyasint,omitempty"` // of the configuration in force here
	// Crashes are this node's notes of contents that crashed upstreams, those that the control node may not have.
	Crashes      []deny.Record `cbor:"5,keyasint,omitempty"`
	SuspectsSeen uint64        `cbor:"6,keyasint,omitempty"`  // version of the last Suspects
	Held         bool          `cbor:"7,keyasint,omitempty"`  // asks for the records that the control node hears itself
	Control      uint64        `cbor:"8,keyasint,omitempty"`  // ControlSum of the addresses known here
	Text         *Want         `cbor:"9,keyasint,omitempty"`  // asks for a newer configuration
	Evacuations  uint64        `cbor:"10,keyasint,omitempty"` // version of the set of evacuated data centres in force here
	Stale        uint64        `cbor:"11,keyasint,omitempty"` // version of the control node's last StaleSet
}

// Reply is the answer.
type Reply struct {
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
	Evacuations     *evac.Set             `cbor:"12,keyasint,omitempty"` // if newer than the question's
	CutOff          bool                  `cbor:"13,keyasint,omitempty"` // the control node has lost its group
	Stale           *roster.StaleSet      `cbor:"14,keyasint,omitempty"` // if it differs from that of the question
}

// Place is where a process runs.
type Place struct {
	DataCentre string `cbor:"1,keyasint,omitempty"`
	Region     string `cbor:"2,keyasint,omitempty"`
}

// packFrom is the number of records from which a Delta is compressed.
const packFrom = 16

// Encode returns an answer as it is sent.
func (t Reply) Encode() ([]byte, error) {
	if len(t.Delta.Upstreams)+len(t.Delta.Entries) >= packFrom {
		delta, err := cbor.Marshal(t.Delta)
		if err != nil {
			return nil, err
		}
		t.Packed, t.Delta = pack.Compress(delta, nil), roster.Delta{}
	}
	return cbor.Marshal(t)
}

// DecodeReply reads what Encode returned.
func DecodeReply(body []byte) (Reply, error) {
	var t Reply
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
func (p *Poller) follow(s *source) {
	for p.ask(s) {
		continue
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.asking = false
}

// ask asks once, and reports whether the next question should follow at once.
func (p *Poller) ask(s *source) bool {
	p.mu.Lock()
	as, q := p.question(s)
	told, timeout := s.crashes, min(askTimeout*time.Duration(1+s.failed), mostTimeout)
	p.mu.Unlock()
	q.Crashes, told = p.o.Crashes.LocalChanges(p.o.Clock.Now(), told)
	body, err := cbor.Marshal(q)
	if err != nil { // the question holds plain values only
		panic(err)
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	began := p.o.Clock.Now()
	answer, err := p.o.Hub.Call(ctx, s.address, peer.KindFollow, body)
	var reply Reply
	if err == nil {
		reply, err = DecodeReply(answer)
	}
	now := p.o.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failed(s)
		return false
	}
	s.crashes = told
	if s.epoch != reply.Epoch && s.epoch != 0 {
		s.crashes = 0 // it restarted, and has forgotten what it was told
	}
	p.noteContact(began, as, reply)
	again := p.take(now, s, as, reply)
	if reply.Sure {
		p.freeze.answered(began)
	}
	if as == followAll && p.primary() != s {
		p.AskNow() // the next one, which has to report this node before the directory drops it
	}
	if as == followAll {
		p.asked = clock.Later(p.asked, began)
		close(p.news)
		p.news = make(chan struct{})
	}
	return again && p.ctx.Err() == nil
}

// question returns what a control node is asked for now.
func (p *Poller) question(s *source) (duty, Query) {
	primary := p.primary()
	as := p.duty(primary, s)
	q := Query{
		Epoch: s.epoch, Version: p.version, SuspectsSeen: s.blame, Control: ControlSum(slices.Collect(maps.Keys(p.sources))),
		Evacuations: p.evacuations.Version,
	}
	switch as {
	case followAll:
		p.report++
		e := p.o.Self
		e.Started, e.ReportSequence, e.Ready = p.started.UnixNano(), p.report, p.ready.Load()
		q.Entry, q.Seen, q.Stale = &e, s.seen, s.stale.Version
	case followHeld:
		q.Held, q.Seen = true, s.held
		if known := p.apart[s.address]; s.held == 0 || known.Epoch != s.epoch {
			q.Epoch, q.Seen = known.Epoch, known.Version
		}
	case lookIn:
	}
	if as == followAll || s.sure && s.version > p.version && primary != nil && primary.version <= p.version {
		q.Text = p.text.want(s.address, p.version)
	}
	return as, q
}

// take takes an answer and reports whether there is more to ask for.
func (p *Poller) take(now time.Time, s *source, as duty, reply Reply) bool {
	p.answered = now
	p.lastAnswer.note(now)
	if p.lost {
		p.lost = false
		p.o.Events.Emit(event.ControlFound, event.F("control", s.address))
	}
	if s.epoch != reply.Epoch {
		s.seen, s.held, s.stale = 0, 0, roster.StaleSet{}
	}
	seen := s.seen + s.held
	s.epoch, s.place, s.version, s.sure, s.cutOff = reply.Epoch, reply.Place, reply.Version, reply.Sure, reply.CutOff
	s.failed, s.heard, s.told = 0, now, as
	p.newest.note(now, reply.Version, s.address)
	for _, a := range reply.Control {
		p.addSource(a)
	}
	if len(reply.Suspects) > 0 {
		for _, c := range p.o.Crashes.Merge(now, reply.Suspects) {
			p.o.Events.Emit(event.ContentBlocked, event.F("content", c), event.F("peer", s.address))
		}
	}
	s.blame = reply.SuspectsVersion
	// The set is taken before the configuration of the same answer, because the first configuration makes this node serve.
	changed := p.takeEvacuations(s.address, reply.Evacuations)
	changed = p.takePage(now, s, as, reply) || changed
	more := reply.Delta.More && s.seen+s.held > seen
	if reply.Text != nil && p.trusts(now, reply) {
		used, next := p.takePiece(s.address, reply.Text)
		changed, more = changed || used, more || next
	}
	if changed {
		p.publish(now)
	}
	return more
}

// takeEvacuations puts a newer set of evacuated data centres in force, and reports whether it did. The set of a control node that is
// not sure counts as well: whatever the log of the group holds was stored, and a higher version is later in the log.
func (p *Poller) takeEvacuations(from string, set *evac.Set) bool {
	if set == nil {
		return false
	}
	next, changed := p.evacuations.Merge(*set)
	if changed {
		p.evacuations = next
		p.o.Events.Emit(event.EvacuationInForce, event.F("version", next.Version), event.F("data_centres", strings.Join(next.DataCentres, ",")),
			event.F("peer", from))
	}
	return changed
}

// takePage takes the records of an answer.
func (p *Poller) takePage(now time.Time, s *source, as duty, reply Reply) bool {
	switch as {
	case lookIn:
		return false
	case followHeld:
		s.held = reply.Delta.Version
		return p.takeDelta(now, reply.Delta, s.speaks(), reply.Sure)
	case followAll:
	}
	s.seen = reply.Delta.Version
	changed := p.setApart(reply.Apart)
	changed = p.takeStale(s, reply.Stale) || changed
	if reply.Delta.Full {
		s.pass = now
	}
	changed = p.takeDelta(now, reply.Delta, s.speaks(), reply.Sure) || changed
	if s.pass.IsZero() || reply.Delta.More {
		return changed
	}
	p.noteUntold(now, s.pass)
	s.pass = time.Time{}
	return changed
}

// takeStale notes which upstreams the followed control node takes for stale, and reports whether they are others than before.
func (p *Poller) takeStale(s *source, set *roster.StaleSet) bool {
	if set != nil {
		s.stale = *set
	}
	changed := !slices.Equal(p.stale.IDs, s.stale.IDs)
	p.stale = s.stale
	return changed
}

// setApart notes the control nodes that the primary does not hear, and reports whether they are others than before.
func (p *Poller) setApart(list []roster.SyncPosition) bool {
	if len(list) == 0 && len(p.apart) == 0 {
		return false
	}
	before := p.apart
	p.apart = map[string]roster.SyncPosition{}
	for _, k := range list {
		p.addSource(k.Address)
		p.apart[k.Address] = k
	}
	return !maps.Equal(before, p.apart)
}

// unsureAfter is how long a node without a configuration waits for a control node that is sure to have the newest one.
const unsureAfter = 5 * time.Second

// trusts reports whether the first configuration may come from a control node. One that is not sure may lack what the group
// acknowledged before both restarted; its configuration is used if no other comes for long, so that a fleet whose group is lost
// serves.
func (p *Poller) trusts(now time.Time, reply Reply) bool {
	if p.table != nil || reply.Sure {
		return true
	}
	for _, s := range p.sources {
		if s.sure && s.failed == 0 {
			return false
		}
	}
	return now.Sub(p.started) >= unsureAfter
}
