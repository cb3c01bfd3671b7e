package ctlsrv

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/state/vdoc"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// An upstream that leaves serves for a while after the acknowledgement and may send nothing more, so that the system alone
// remembers it. The departure is therefore stored by the control group before it is acknowledged: it survives a restart of all
// control nodes, and a control node that was partitioned learns it with the log. The control nodes are also told directly,
// because an entry node polls one that may apply the log later.

var errNoMajority = errors.New("a majority of the control nodes could not be notified")

// leavingMessage is the body of a KindLeaving message.
type leavingMessage struct {
	From     string          `cbor:"1,keyasint"` // peer address
	Upstream roster.Upstream `cbor:"2,keyasint"`
}

// announceLeave returns nil once a departure is durable and a majority of the control nodes knows it.
func (s *Server) announceLeave(u roster.Upstream) error {
	ctx, cancel := context.WithTimeout(s.ctx, leaveTimeout)
	defer cancel()
	stored := make(chan error, 1)
	s.wg.Go(func() { stored <- s.storeLeave(ctx, u) })
	if !s.notifyMajority(u) {
		return errNoMajority
	}
	return <-stored
}

// departure is the body of a notice.
type departure struct {
	Upstream roster.Upstream `cbor:"1,keyasint"`
	AtMs     int64           `cbor:"2,keyasint"` // when it was proposed, Unix milliseconds
}

// departureLife is the age up to which a control node applies departures after its start. It is far longer than an upstream serves
// on, so that clocks which differ by minutes do not matter.
const departureLife = 10 * time.Minute

// storeLeave makes the control group store a departure, unless it has.
func (s *Server) storeLeave(ctx context.Context, u roster.Upstream) error {
	if s.isStored(u) {
		return nil
	}
	body := encode(departure{u, s.o.Clock.Now().UnixMilli()})
	return s.o.Member.ProposeNotice(ctx, vdoc.Notice{Key: u.ID, Body: body, Run: u.StartedMs, Step: uint8(u.State)})
}

// isStored reports whether the group has stored the departure of this run of an upstream. Draining upstreams repeat theirs with
// each heartbeat.
func (s *Server) isStored(u roster.Upstream) bool {
	n, ok := s.o.Member.Notice(u.ID)
	if !ok {
		return false
	}
	var d departure
	err := cbor.Unmarshal(n.Body, &d)
	return err == nil && d.Upstream.StartedMs == u.StartedMs && d.Upstream.State >= u.State
}

// applyNotices merges the departures that the group has stored since the last call.
func (s *Server) applyNotices(now time.Time) {
	list, last := s.o.Member.Notices(s.noticesSeen)
	s.noticesSeen = last
	if len(list) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range list {
		var d departure
		if err := cbor.Unmarshal(n.Body, &d); err != nil {
			continue // stored by a later release
		}
		if now.Sub(time.UnixMilli(d.AtMs)) < departureLife {
			s.roster.ApplyNotice(now, d.Upstream)
		}
	}
}

// notifyMajority tells the other members that an upstream is leaving, and reports whether a majority of the
// group knows it. The remaining calls continue in the background.
func (s *Server) notifyMajority(u roster.Upstream) bool {
	group := s.status()
	others, voters := group.others, group.voters
	need := voters / 2 // in addition to this node
	if need == 0 {
		return voters > 0
	}
	ctx, cancel := context.WithTimeout(s.ctx, leaveTimeout)
	body := encode(leavingMessage{s.o.Address, u})
	acks := make(chan bool, len(others))
	var calls sync.WaitGroup
	for _, address := range others {
		calls.Go(func() {
			_, err := s.o.Hub.Call(ctx, address, peer.KindLeaving, body)
			acks <- err == nil
		})
	}
	s.wg.Go(func() {
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

func (s *Server) handleLeaving(body []byte) error {
	var m leavingMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.Merge(s.o.Clock.Now(), m.From, roster.Batch{Upstreams: []roster.Upstream{m.Upstream}})
	return nil
}
