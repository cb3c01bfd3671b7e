package raftd

import (
	"time"

	"github.com/berylledge/berylledge/internal/state/raft"
)

// seenWindow is the number of recent request ids per member in which a leader detects duplicate messages. Older ids are
// ignored.
const seenWindow = 8192

// forwardTable holds the requests that this node has forwarded and the request ids that it has seen from other members.
type forwardTable struct {
	// nextID is initialized with the start time, so that ids stay unique across restarts.
	nextID uint64
	sent   map[uint64]forwarded
	order  []uint64 // ids in order of their deadlines
	seen   map[string]*seenIDs
	// startTerm is the term at startup. This node may have accepted requests of this or an earlier term before it restarted.
	startTerm uint64
}

type forwarded struct {
	req      *request
	term     uint64
	deadline time.Time
}

type seenIDs struct {
	max uint64
	ids map[uint64]bool
}

func newForwardTable(startTerm, firstID uint64) forwardTable {
	return forwardTable{
		nextID: firstID, sent: map[uint64]forwarded{}, seen: map[string]*seenIDs{}, startTerm: startTerm,
	}
}

func (f *forwardTable) add(r *request, term uint64, deadline time.Time) uint64 {
	f.nextID++
	f.sent[f.nextID] = forwarded{req: r, term: term, deadline: deadline}
	f.order = append(f.order, f.nextID)
	return f.nextID
}

func (f *forwardTable) remove(id uint64) (forwarded, bool) {
	w, ok := f.sent[id]
	delete(f.sent, id)
	return w, ok
}

// deadline returns when the oldest forwarded request expires.
func (f *forwardTable) deadline() (time.Time, bool) {
	for len(f.order) > 0 {
		if w, ok := f.sent[f.order[0]]; ok {
			return w.deadline, true
		}
		f.order = f.order[1:]
	}
	return time.Time{}, false
}

// markSeen records an id from another member and reports whether it is new.
func (f *forwardTable) markSeen(from string, id uint64) bool {
	s := f.seen[from]
	if s == nil {
		s = &seenIDs{ids: map[uint64]bool{}}
		f.seen[from] = s
	}
	if s.ids[id] || id+seenWindow <= s.max {
		return false
	}
	s.ids[id] = true
	s.max = max(s.max, id)
	if len(s.ids) > 2*seenWindow {
		for old := range s.ids {
			if old+seenWindow <= s.max {
				delete(s.ids, old)
			}
		}
	}
	return true
}

// onForward handles a request from a follower. A proposal of another term is refused. If its term is not later than
// startTerm, this node may have accepted the same message before a restart, so the outcome is unknown.
func (l *loop) onForward(msg raft.Message) {
	f := *msg.Forward
	if !l.forwards.markSeen(msg.From, f.ID) {
		return
	}
	leader, term := l.m.Leader()
	reply := raft.Forward{ID: f.ID, Read: f.Read}
	switch {
	case leader == l.cfg.Identity.Member.ID && (f.Read || msg.Term == term):
		id := l.registerRequest(requestOrigin{from: msg.From, id: f.ID})
		if f.Read {
			l.events = append(l.events, raft.Read{ID: id})
		} else {
			l.events = append(l.events, raft.Propose{ID: id, Data: f.Data})
		}
		return
	case msg.Term <= l.forwards.startTerm && !f.Read:
		reply.Reason = raft.ReasonUnknown
	default:
		reply.Reason = raft.ReasonNotLeader
	}
	l.send(raft.Message{Kind: raft.KindForwardReply, To: msg.From, Forward: &reply})
}

func (l *loop) onForwardReply(msg raft.Message) {
	w, ok := l.forwards.remove(msg.Forward.ID)
	if !ok {
		return
	}
	l.completeLocal(w.req, *msg.Forward)
	if leader, term := l.m.Leader(); leader != "" && term > w.term {
		l.dispatchWaiting() // an earlier leader may have refused the request, and the current one is already known
	}
}

// expireForwards ends the forwarded requests whose reply is overdue. A read is retried; the outcome of a proposal is
// unknown.
func (l *loop) expireForwards() {
	now := l.cfg.Clock.Now()
	for {
		at, ok := l.forwards.deadline()
		if !ok || at.After(now) {
			return
		}
		w, _ := l.forwards.remove(l.forwards.order[0])
		if w.req.kind == kindRead {
			l.awaitingLeader = append(l.awaitingLeader, w.req)
			continue
		}
		w.req.complete(nil, &OutcomeUnknownError{Err: l.notProposed(raft.ReasonUnknown)})
	}
}
