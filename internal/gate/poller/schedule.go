package poller

import (
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/base/rendez"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// Times between two questions to a control node.
const (
	primaryEvery = 250 * time.Millisecond
	apartEvery   = 1200 * time.Millisecond
	turnEvery    = 1200 * time.Millisecond // one of the others is looked in on
	helloEvery   = 500 * time.Millisecond  // to each one, while none is known that is sure
	mostBackoff  = 10 * time.Second        // to one that does not answer
)

// maxFailed is the number of questions in a row without an answer after which a control node counts as removed.
const maxFailed = 10

// duty is what a control node is asked for.
type duty uint8

const (
	lookIn     duty = iota // whether it is there, whether it is sure, and which configuration it has
	followAll              // all that it knows
	followHeld             // what it hears itself
)

// source is a control node.
type source struct {
	address string
	place   Place // as it said
	epoch   uint64
	seen    uint64 // version of its last page of all that it knows
	held    uint64 // version of its last page of what it hears itself
	version uint64 // of its configuration
	sure    bool
	cutOff  bool      // it has lost its group
	told    duty      // of its last answer
	pass    time.Time // start of a transfer of all records that has not ended yet
	failed  int       // questions without an answer in a row
	asking  bool
	asked   time.Time
	heard   time.Time       // when it last answered
	crashes uint64          // version of the own notes of crashes that it has
	blame   uint64          // version of the last Suspects
	stale   roster.StaleSet // as it told last
}

func (p *Poller) addSource(address string) {
	if address != "" && p.sources[address] == nil && len(p.sources) < maxControl {
		p.sources[address] = &source{address: address}
	}
}

// primary returns the control node that this node follows, or nil. One that is cut off from its group comes last, since nobody else
// learns what it hears. Without a group that has a leader none is sure, and the node stays with one that answers.
func (p *Poller) primary() *source {
	var best *source
	for _, s := range p.sources {
		if s.failed == 0 && !s.heard.IsZero() && (best == nil || p.better(s, best)) {
			best = s
		}
	}
	return best
}

func (p *Poller) better(a, b *source) bool {
	if a.cutOff != b.cutOff {
		return b.cutOff
	}
	if a.sure != b.sure {
		return a.sure
	}
	if x, y := p.distance(a), p.distance(b); x != y {
		return x < y
	}
	return rendez.Compare(p.o.Self.Node, a.address, b.address) < 0 // another order for each entry node
}

// distance orders control nodes by where they are: in the own data centre, the own region, elsewhere.
func (p *Poller) distance(s *source) int {
	switch {
	case s.place.Region != p.o.Self.Region:
		return 2
	case s.place.DataCentre != p.o.Self.DataCentre:
		return 1
	}
	return 0
}

// hurry makes the questions due that carry what this node has to tell.
func (p *Poller) hurry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	primary := p.primary()
	for _, s := range p.sources {
		if primary == nil || p.duty(primary, s) != lookIn {
			s.asked = time.Time{}
		}
	}
}

func (p *Poller) duty(primary, s *source) duty {
	if s == primary {
		return followAll
	}
	if _, apart := p.apart[s.address]; apart {
		return followHeld
	}
	return lookIn
}

// askDue starts the questions that are due.
func (p *Poller) askDue(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.o.Seeds() {
		p.addSource(a)
	}
	p.watch(now, p.primary())
	for _, s := range p.due(now) {
		s.asking, s.asked = true, now
		p.wg.Go(func() { p.follow(s) })
	}
	if v := p.view.Load(); p.table != nil && (p.isolated(now) != v.Isolated || p.isUninformed(now) != v.Uninformed) {
		p.publish(now)
	}
	if !p.lost && now.Sub(p.answered) > lostAfter {
		p.lost = true
		p.o.Events.Emit(event.ControlLost, event.F("age_ms", now.Sub(p.answered).Milliseconds()), event.F("control", len(p.sources)))
	}
}

// due returns the control nodes to ask now.
func (p *Poller) due(now time.Time) []*source {
	var out []*source
	var turn *source
	primary := p.primary()
	for _, s := range p.sources {
		if s.asking {
			continue
		}
		if every := p.every(primary, s); every > 0 {
			if now.Sub(s.asked) >= every {
				out = append(out, s)
			}
			continue
		}
		if now.Sub(s.asked) >= backoff(s) && (turn == nil || s.asked.Before(turn.asked)) {
			turn = s
		}
	}
	if turn != nil && now.Sub(p.turned) >= turnEvery {
		p.turned = now
		out = append(out, turn)
	}
	return out
}

// every is the time between two questions to a control node; 0: it is asked in turn with others. A primary that is not sure may
// belong to the smaller part of a divided group, so that another one is looked for.
func (p *Poller) every(primary, s *source) time.Duration {
	switch {
	case primary == nil:
		return helloEvery
	case s == primary:
		return primaryEvery
	case !primary.sure || primary.cutOff:
		return helloEvery
	case p.duty(primary, s) == followHeld && s.failed == 0:
		return apartEvery
	}
	return 0
}

// backoff is the least time between two questions to a control node that is asked in turn.
func backoff(s *source) time.Duration {
	return min(turnEvery<<min(s.failed, maxFailed), mostBackoff)
}

// failed counts a question without an answer. A node that is not a seed and does not answer for long is forgotten.
func (p *Poller) failed(s *source) {
	s.failed++
	if s.failed > maxFailed && !slices.Contains(p.o.Seeds(), s.address) {
		delete(p.sources, s.address)
	}
}
